"""Steps for starts: what a process of its own loads."""

from __future__ import annotations

import asyncio
import hashlib
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from urllib.parse import urlencode

import msgspec
from behave import then, when
from settings import GOOD

from hornbeamgw.core.query import encode_query
from hornbeamgw.testing.fleet import Fleet, NodeSpec, request_json

LOADED = """
import sys
import hornbeamgw.daemon.main
from hornbeamgw.core.options import parse_settings
import msgspec
loaded, problems = parse_settings(sys.argv[1], "s", {})
print(msgspec.json.encode([sorted(sys.modules), str(loaded and loaded.settings)]).decode())
"""

REPOSITORY = Path(__file__).resolve().parents[2]
OPENSSL_AFTERWARDS = """
import sys
from hornbeamgw.daemon.openssl import import_without_openssl
import_without_openssl()
import hashlib
digest = hashlib.sha256(b"text").hexdigest()
import ssl
print(digest, ssl.create_default_context().check_hostname, "_ssl" in sys.modules)
"""
TLS = """
from hornbeamgw.daemon.openssl import import_without_openssl
import_without_openssl()
import asyncio, sys
from hornbeamgw.daemon.loop import factories_by_name
received = []
async def accept(reader, writer):
    received.append(await reader.read())
async def main(loop):
    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        await asyncio.open_connection("127.0.0.1", port, ssl=True)
        print("connected")
    except (NotImplementedError, RuntimeError) as error:
        print(f"refused: {error}")
    await asyncio.sleep(0.2)
    print(received)
with asyncio.Runner(loop_factory=factories_by_name[sys.argv[1]]) as runner:
    runner.run(main(runner.get_loop()))
"""
LISTENING = """
import asyncio, json, sys
import hornbeamgw.testing.memory
from hornbeamgw.core.options import parse_settings
from hornbeamgw.daemon import loop
from hornbeamgw.daemon.main import Daemon
loaded, problems = parse_settings(sys.argv[1], "s", {})
assert loaded, problems
async def main():
    daemon = Daemon(loaded.settings, 1)
    addresses = await daemon.start()
    print(json.dumps([addresses, sorted(sys.modules)]))
loop.run(main())
"""
METRICS = """
import asyncio, json, sys
import hornbeamgw.testing.memory
from hornbeamgw.core.options import parse_settings
from hornbeamgw.daemon import loop
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.daemon.main import Daemon
loaded, problems = parse_settings(sys.argv[1], "s", {})
async def main():
    daemon = Daemon(loaded.settings, 1)
    addresses = await daemon.start()
    client = HttpClient(addresses["admin"], 5)
    first = await client.request("GET", "/metrics")
    modules = sorted(sys.modules)
    others = [await client.request("GET", target) for target in json.loads(sys.argv[2])]
    answers = [[answer.status, answer.body.decode()] for answer in (first, *others)]
    print(json.dumps([modules, answers]))
loop.run(main())
"""
CACHED = """
import os, sys
import hornbeamgw.daemon.main
own = [m for name, m in sys.modules.items() if name.startswith("hornbeamgw")]
print(len(own), [m.__name__ for m in own if not os.path.exists(m.__cached__)])
"""

ENTRY_POINT = """
import runpy, sys
try:
    runpy.run_module("hornbeamgw.daemon", run_name="__main__", alter_sys=True)
finally:
    import os, json
    mapped = {os.path.basename(line.split()[-1]) for line in open("/proc/self/maps")}
    libraries = sorted({name.partition(".")[0] for name in mapped})
    print(json.dumps([libraries, sorted(sys.modules)]))
"""


def run(code, *arguments):
    command = [sys.executable, "-c", code, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=True).stdout


def read(context, text):
    modules, context.settings = msgspec.json.decode(run(LOADED, text))
    context.modules = set(modules)


@when("a process loads a daemon and reads settings written as JSON")
def reads_json(context):
    read(context, msgspec.json.encode(GOOD).decode())


@when("a process loads a daemon and reads settings written as YAML")
def reads_yaml(context):
    reads_json(context)
    context.expected = context.settings
    read(context, msgspec.yaml.encode(GOOD).decode())


@when("a process loads a daemon with the adapter to the mesh platform")
def with_adapter(context):
    code = "import sys; import hornbeamgw.daemon.main; from hornbeamgw.daemon import plugins; "
    code += f"plugins.load({str(REPOSITORY / 'platform')!r}, ['mesh_platform']); "
    context.modules = set(run(code + "print(*sys.modules)").split())
    assert "mesh_platform.store" in context.modules


@when("a process starts a daemon and asks it for metrics")
def metrics(context):
    others = msgspec.json.encode(["/metrics?format=text", "http://x/metrics"]).decode()
    printed = run(METRICS, listening_settings("127.0.0.1:0"), others).splitlines()[-1]
    modules, context.answers = msgspec.json.decode(printed)
    context.modules = set(modules)


@then('it answers with metrics, also for "{second}" and "{third}"')
def metrics_answers(context, second, third):
    assert len(context.answers) == 3
    for status, body in context.answers:
        assert status == 200 and "hornbeamgw_ready" in body, (status, body[:200])


@when("{count:d} random queries are encoded")
def queries(context, count):
    rng = random.Random(13)
    texts = ["10.0.0.7:7400", "a/b", "", "\0", "+ %", "~_.-", "\u00e9\u4e2d", "A&b=c#"]
    context.queries = []
    for _ in range(count):
        drawn = "".join(chr(rng.randrange(1, 0x250)) for _ in range(rng.randrange(8)))
        context.queries.append({rng.choice(texts): drawn, drawn: rng.randrange(10**6)})


@then("each is encoded as the standard library does")
def as_urlencode(context):
    for query in context.queries:
        assert encode_query(query) == urlencode(query), query


@then('it has loaded none of "{names}"')
def none_of(context, names):
    found = context.modules & set(names.split(", "))
    assert not found, found


@then("it has loaded at most {count:d} modules")
def at_most(context, count):
    assert len(context.modules) <= count, len(context.modules)


@then("it has read the same settings")
def same(context):
    assert context.settings == context.expected
    assert "yaml" in context.modules


@when("the entry point of a daemon is run")
def entry_point(context):
    folders = os.pathsep.join(path for path in sys.path if path.endswith("site-packages"))
    with tempfile.NamedTemporaryFile("w", suffix=".json") as settings:
        settings.write('{"unknown": 1}')
        settings.flush()
        ended = subprocess.run(
            [sys.executable, "-S", "-c", ENTRY_POINT, settings.name],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=REPOSITORY,
            env={**os.environ, "PYTHONPATH": folders},
        )
    assert ended.returncode == 2, ended.stderr[-2000:]
    libraries, modules = msgspec.json.decode(ended.stdout.splitlines()[-1])
    context.modules = {*modules, *libraries}


@then('it has loaded "{names}"')
def all_of(context, names):
    missing = set(names.split(", ")) - context.modules
    assert not missing, missing


def listening_settings(address, **others):
    settings = {**GOOD, "address": address, "callers": address, "admin": address, "ready": address}
    settings["platform"] = {"address": "127.0.0.1:1", "adapter": "memory"}
    return msgspec.json.encode({**settings, **others}).decode()


@when('a process starts a daemon on "{address}"')
def starts_on(context, address):
    printed = run(LISTENING, listening_settings(address)).splitlines()[-1]
    context.addresses, modules = msgspec.json.decode(printed)
    context.modules = set(modules)


@then('all its addresses are of the host "{host}"')
def of_host(context, host):
    assert len(context.addresses) == 4, context.addresses
    hosts = {key: at.rpartition(":")[0].strip("[]") for key, at in context.addresses.items()}
    assert set(hosts.values()) == {host}, context.addresses


@when("a process starts a daemon whose port for callers is in use")
def in_use(context):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        callers = f"127.0.0.1:{taken.getsockname()[1]}"
        text = listening_settings("127.0.0.1:0", callers=callers)
        context.ended = subprocess.run(
            [sys.executable, "-c", LISTENING, text], capture_output=True, text=True, timeout=60
        )


@then('it fails with "{message}"')
def fails_with(context, message):
    assert context.ended.returncode == 1, context.ended
    assert message in context.ended.stderr.lower(), context.ended.stderr


@when('a daemon is started as deployed with the event loop "{name}"')
def start_on_loop(context, name):
    async def start():
        async with Fleet("loops", {"event_loop": name}, as_deployed=True) as fleet:
            node = await fleet.start_node(NodeSpec("dc-1", "region-1"))
            context.maps = Path(f"/proc/{node.daemon.process.pid}/maps").read_text()
            context.answer = await request_json(node.admin, "GET", "/version")
            context.exit_code = await node.daemon.stop()

    asyncio.run(start())


@then('its process has {what} and no "{library}"')
def maps(context, what, library):
    assert library not in context.maps, library
    assert ("uvloop" in context.maps) == (what == "uvloop"), what


@then("a request to it is answered")
def is_answered(context):
    assert context.answer["in_force"] == 0, context.answer
    assert context.exit_code == 0, context.exit_code


@when("a process that keeps OpenSSL out imports it afterwards")
def openssl_afterwards(context):
    context.output = run(OPENSSL_AFTERWARDS)


@then("it gets the real one, and the same digests as before")
def real_openssl(context):
    digest = hashlib.sha256(b"text").hexdigest()
    assert context.output.split() == [digest, "True", "True"], context.output


@when('a process that keeps OpenSSL out opens a connection with TLS on "{name}"')
def tls(context, name):
    context.output = run(TLS, name)


@then("the connection fails, and nothing was sent")
def tls_refused(context):
    refusal, received = context.output.splitlines()
    assert refusal.startswith("refused: "), context.output
    assert received in ("[]", "[b'']"), context.output


@when("the last command of the build is run on a copy of the code")
def build(context):
    line = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())["build"]
    folder = tempfile.TemporaryDirectory(prefix="hornbeamgw-")
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    for name in ("hornbeamgw", "platform"):
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(REPOSITORY / name, Path(folder.name) / name, ignore=ignored)
    context.changes = ""
    # Nothing is installed: only the commands after the installation are run.
    commands = line.partition(" && ")[2].replace("python3", sys.executable)
    subprocess.run(commands, shell=True, check=True, cwd=folder.name, timeout=60)


def run_copy(context, code):
    command = [sys.executable, "-c", code]
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(
        command,
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
        cwd=context.folder,
        env=environment,
    ).stdout


@then("each module of a daemon that is started from the copy has its compiled file")
def compiled(context):
    count, _, without = run_copy(context, CACHED).partition(" ")
    assert int(count) > 100, count
    assert without.strip() == "[]", without


@then("a module that changes afterwards is not run from its compiled file")
def changed(context):
    module = Path(context.folder) / "hornbeamgw" / "core" / "floor.py"
    status, text = module.stat(), module.read_text()
    # A constant changes, but neither the size nor the time of the file, as in a checkout with fixed
    # times.
    first = next(line for line in text.splitlines() if line.startswith('"""'))
    module.write_text(text.replace(first, first.replace("e", "E", 1)))
    os.utime(module, ns=(status.st_atime_ns, status.st_mtime_ns))
    printed = run_copy(context, "import hornbeamgw.core.floor as f; print(f.__doc__)")
    assert printed.splitlines()[0] == first.replace("e", "E", 1).strip('"'), printed


SCHEMA_OF = """
from hornbeamgw.daemon.codec import schema
print("compiled" if hasattr(schema, "loader") else "text")
"""
SAME_SCHEMA = """
import capnp
from hornbeamgw.daemon import codec, frames, schema
from hornbeamgw.core.membership import Member
text = capnp.load(schema.TEXT_PATH)
structs = {name for name, found in vars(text).items() if hasattr(found, "new_message")}
assert structs <= set(vars(codec.schema)), structs
for name in structs:
    ours, theirs = getattr(codec.schema, name).schema, getattr(text, name).schema
    assert ours.node.as_builder().to_bytes() == theirs.node.as_builder().to_bytes(), name
view = frames.View([Member("127.0.0.1:1", "dc", "r", 1, service="s", slots=3)])
payload = codec.encode_frame(view)[4:]
with text.Frame.from_bytes(payload) as raw:
    copied = raw.as_builder().to_bytes()
    assert raw.view[0].service == "s"
assert codec.decode_frame(copied) == codec.decode_frame(payload) == view
print("same", len(structs))
"""


def schema_folder(context):
    return Path(context.folder) / "hornbeamgw" / "schema"


@when("the text of the schema changes")
def text_changes(context):
    path = schema_folder(context) / "messages.capnp"
    path.write_text(path.read_text() + "# another line\n")


def compiled_path(context):
    return Path(context.folder) / "target" / "messages.compiled"


@when("the compiled schema is cut off")
def cut_off(context):
    path = compiled_path(context)
    path.write_bytes(path.read_bytes()[:-900])


@when("the compiled schema is missing")
def missing(context):
    compiled_path(context).unlink()


@when("the library lacks what the loading uses")
def lacks(context):
    context.changes = "import capnp.lib.capnp as library; del library.SchemaLoader"


@then("a daemon that is started from the copy reads the compiled schema")
def reads_compiled(context):
    assert run_copy(context, SCHEMA_OF).strip() == "compiled"


@then("a daemon that is started from the copy reads the text of the schema")
def reads_text(context):
    assert run_copy(context, f"{context.changes}\n{SCHEMA_OF}").strip() == "text"


@then("its structs and messages are those of the text")
def same_schema(context):
    kind, count = run_copy(context, SAME_SCHEMA).split()
    assert kind == "same" and int(count) > 20, count


@when('a process imports the name "{name}" of the package')
def export(context, name):
    context.name = name
    code = f"from hornbeamgw import {name}; print({name}.__module__)"
    context.output = run(code)


@then('it is that of the module "{module}"')
def exported(context, module):
    assert context.output.strip() == f"hornbeamgw.core.{module}", context.output


IMPORT_ALL = """
import importlib, pkgutil, sys
for name in {blocked!r}:
    sys.modules[name] = None
import hornbeamgw.backends, hornbeamgw.core, hornbeamgw.daemon
for package in (hornbeamgw.backends, hornbeamgw.core, hornbeamgw.daemon):
    for module in pkgutil.walk_packages(package.__path__, package.__name__ + "."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
"""
DEVELOPERS_PACKAGES = ("behave", "black", "hdrh", "hypothesis", "matplotlib", "mypy", "ruff")


@when(
    "all modules of the core, the daemon and the back ends are imported "
    "without the packages for developers"
)
def import_all(context):
    code = IMPORT_ALL.format(blocked=DEVELOPERS_PACKAGES)
    context.imported = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)


@then("none of them is missing")
def none_missing(context):
    assert context.imported.returncode == 0, context.imported.stderr


IMPORT_CODECS = """
from hornbeamgw.daemon import schema
with open(schema.TEXT_PATH, "rb") as file:
    schema.load = lambda: schema.load_compiled(schema.compile_schema(), file.read())
    import hornbeamgw.daemon.codec
import hornbeamgw.daemon.datagrams
"""


@when("the modules that encode messages are imported with a compiled schema")
def import_codecs(context):
    context.imported = subprocess.run(
        [sys.executable, "-c", IMPORT_CODECS], capture_output=True, text=True
    )
