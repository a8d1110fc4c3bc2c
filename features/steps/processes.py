"""Steps for daemons as processes."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
from behave import given, then, when
from calls import BODIES

from hornbeamgw.daemon import heads
from hornbeamgw.daemon.http1 import HttpClient, header
from hornbeamgw.testing.fleet import Fleet, NodeSpec, request_json
from hornbeamgw.testing.local import edit_from_bodies

LIMIT_S = 30.0


@given("a fleet of 2 processes with a roster server beside the second")
def two(context):
    fleet = context.fleet = Fleet("processes")

    async def start():
        await fleet.__aenter__()
        places = [NodeSpec("suva-1", "fiji"), NodeSpec("suva-1", "fiji", "roster")]
        await fleet.start_nodes(places)
        answer = await request_json(
            fleet.nodes[0].admin, "POST", "/edits", edit_from_bodies(BODIES, "e")
        )
        assert answer == {"version": 1}, answer
        assert await fleet.wait_in_force(1, LIMIT_S)
        await wait_until(fleet, lambda rows: any(r["service"] == "roster" for r in rows))

    context.closers.append(fleet.__aexit__)
    context.runner.run(start())


async def wait_until(fleet, condition):
    """Wait until the first daemon's view of the members meets a condition."""
    async with asyncio.timeout(LIMIT_S):
        while not condition(
            (await request_json(fleet.nodes[0].admin, "GET", "/status"))["members"]
        ):
            await asyncio.sleep(0.05)


async def begin_call(context, work_ms):
    """Begin a call by the first daemon, and wait until it runs at the backend server."""
    nodes = context.fleet.nodes
    client = HttpClient(nodes[0].callers, LIMIT_S)
    headers = [(b"host", b"test.example"), (b"x-request-id", b"r1")]
    target = f"/rosters?work_ms={work_ms}&size=10"
    context.call = asyncio.ensure_future(client.request("GET", target, headers))
    backend = nodes[1].backend.bound_addresses["listening"]
    async with asyncio.timeout(LIMIT_S):
        while not (await request_json(backend, "GET", "/control/report"))["running"]:
            await asyncio.sleep(0.02)


@when("the second daemon is told to stop while a call runs there")
def stop_once(context):
    async def stop():
        await begin_call(context, 1000)
        daemon = context.fleet.nodes[1].daemon
        daemon.signal(signal.SIGTERM)
        context.response = await context.call
        context.code = await daemon.process.wait()

    context.runner.run(stop())


@when('the second daemon gets SIGHUP with log level "{level}" while a call runs there')
def hang_up(context, level):
    async def signalled():
        await begin_call(context, 300)
        daemon = context.fleet.nodes[1].daemon
        path = daemon.settings_path
        path.write_text(path.read_text().replace("INFO", level))
        daemon.signal(signal.SIGHUP)
        context.response = await context.call
        await asyncio.sleep(0.1)
        assert daemon.alive, daemon.process.returncode

    context.runner.run(signalled())


@then('its log tells that "{key}" is in force')
def reloaded(context, key):
    lines = context.fleet.nodes[1].daemon.log_path.read_text().splitlines()
    rows = [msgspec.json.decode(line) for line in lines]
    said = [row for row in rows if row.get("message") == "settings reloaded"]
    assert said and key in said[0]["in_force"], rows


@then("the call is answered whole")
def answered(context):
    assert context.response.status == 200 and len(context.response.body) == 10


@then("the daemon exits with code 0")
def exit_zero(context):
    assert context.code == 0, context.code


@then('a later call is told "{verdict}"')
def later(context, verdict):
    async def ask_again():
        client = HttpClient(context.fleet.nodes[0].callers, LIMIT_S)
        return await client.request("GET", "/rosters", [(b"host", b"test.example")])

    response = context.runner.run(ask_again())
    assert header(response.headers, heads.VERDICT) == verdict.encode(), response


@when("the second daemon is told twice to stop while a call runs there")
def stop_twice(context):
    async def stop():
        await begin_call(context, 15_000)
        daemon = context.fleet.nodes[1].daemon
        daemon.signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        daemon.signal(signal.SIGTERM)
        context.code = await daemon.process.wait()
        await daemon.log_task
        context.response = await context.call

    context.runner.run(stop())


@then("the daemon exits with code 3 and its log names the call that was cut off")
def cut_off(context):
    lines = context.fleet.nodes[1].daemon.log_path.read_text().splitlines()
    rows = [msgspec.json.decode(line) for line in lines]
    said = [row["cut_off"] for row in rows if "cut_off" in row]
    call_id = header(context.response.headers, heads.CALL_ID).decode()
    assert context.code == 3 and said and call_id in said[0], (context.code, said)


@then('its log tells that this call waited for the "{what}", and for how long')
def cut_off_why(context, what):
    lines = context.fleet.nodes[1].daemon.log_path.read_text().splitlines()
    rows = [msgspec.json.decode(line) for line in lines]
    call_id = header(context.response.headers, heads.CALL_ID).decode()
    told = [row for row in rows if row.get("call_id") == call_id and "waits_for" in row]
    assert [row["waits_for"] for row in told] == [what], rows
    assert told[0]["waited_ms"] > 0 and told[0]["passed_on"] == 0, told


def command(context, *words, code=0):
    """Run the command line against the first daemon and return what it printed."""
    admin = ["--daemon", context.fleet.nodes[0].admin]
    line = [sys.executable, "-m", "hornbeamgw", *words, *admin]
    done = subprocess.run(line, capture_output=True, text=True, timeout=60)
    assert done.returncode == code, done
    return done.stdout + done.stderr


def json_of(context, *words):
    """Run a command with JSON output."""
    return msgspec.json.decode(command(context, *words, "--output", "json"))


@then('"catalogue show" gives a file that "catalogue apply" takes without a change')
def show(context):
    folder = Path(context.fleet.folder)
    context.old = folder / "old.yaml"
    context.old.write_text(command(context, "catalogue", "show"))
    assert json_of(context, "catalogue", "apply", str(context.old))["changes"] == 0


@then('"catalogue apply --wait" of an edited file is in force on both daemons')
def apply(context):
    new = context.old.with_name("new.yaml")
    new.write_text(context.old.read_text().replace("slots: 6", "slots: 5"))
    words = ("catalogue", "apply", str(new), "--wait", "--author", "ana")
    assert json_of(context, *words)["version"] == 2
    rows = context.runner.run(context.fleet.versions())
    assert [row["in_force"] for row in rows] == [2, 2]


@then('"catalogue apply" of the older file ends with exit code 3 and shows both sides')
def conflict(context):
    context.old.write_text(context.old.read_text().replace("slots: 6", "slots: 4"))
    text = command(context, "catalogue", "apply", str(context.old), code=3)
    assert "entry/all: based on revision 1, current is 2" in text, text
    assert "'slots': 5" in text and "'slots': 4" in text


@then('"catalogue diff" of the older file shows the change')
def diff(context):
    (row,) = json_of(context, "catalogue", "diff", str(context.old))
    assert row["key"] == "entry/all" and row["what"] == "change"
    assert row["wanted"]["limits"]["slots"] == 4


@then('"catalogue history" names both versions')
def history(context):
    rows = json_of(context, "catalogue", "history")
    assert [(row["version"], row["author"]) for row in rows] == [(1, "test"), (2, "ana")]


@then('"status" shows both members and no laggard')
def status(context):
    document = json_of(context, "status")
    assert len(document["members"]) == 2 and document["laggards"] == [], document
    assert document["in_force"] == {"2": 2}
    assert "in force: 2 at 2" in command(context, "status")


@then('"explain" names the route, its limits and the backend server')
def explain(context):
    words = ("explain", "GET", "/rosters/7", "--host", "test.example")
    document = json_of(context, *words)
    assert document["route"] == "rosters" and document["limits"]["slots"] == 5
    assert [e["address"] for e in document["endpoints"]] == [context.fleet.nodes[1].address]
    assert "no route takes" in command(context, "explain", "PUT", "/rosters", "--host", "h")


@then('"histograms" has a row for the owner and class')
def histograms(context):
    async def call():
        client = HttpClient(context.fleet.nodes[0].callers, LIMIT_S)
        await client.request("GET", "/rosters", [(b"host", b"test.example")])

    context.runner.run(call())
    picture = context.old.with_name("histograms.png")
    (row,) = json_of(context, "histograms", "--plot", str(picture))
    assert picture.read_bytes().startswith(b"\x89PNG")
    found = (row["owner"], row["class"], row["verdict"], row["count"])
    assert found == ("o", "c", "answered", 1), row


@then('"timeline" shows how each daemon got the version')
def timeline(context):
    rows = json_of(context, "timeline", "2")
    assert sorted(row["arrival"]["path"] for row in rows) == ["commit", "push"], rows
    picture = context.old.with_name("timeline.png")
    command(context, "timeline", "2", "--plot", str(picture))
    assert picture.read_bytes().startswith(b"\x89PNG")
    assert all(row["in_force_at"] >= row["accepted_at"] for row in rows)


@then("a daemon that is not there gives exit code 1")
def not_there(context):
    line = [sys.executable, "-m", "hornbeamgw", "status", "--daemon", "127.0.0.1:1"]
    done = subprocess.run(line, capture_output=True, text=True, timeout=60)
    assert done.returncode == 1 and "127.0.0.1:1" in done.stderr, done


@then("no descriptor of a daemon is an io_uring and it has no child")
def no_uring(context):
    for node in context.fleet.nodes:
        pid = node.daemon.process.pid
        folder = Path(f"/proc/{pid}/fd")
        targets = [os.readlink(entry) for entry in folder.iterdir() if entry.is_symlink()]
        assert targets and not [t for t in targets if "io_uring" in t], targets
        assert Path(f"/proc/{pid}/task/{pid}/children").read_text() == ""
