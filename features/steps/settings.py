"""Steps for settings."""

from __future__ import annotations

import ipaddress
import random
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
from behave import then, when

from hornbeamgw.core.options import is_address, parse_settings, split_address

GOOD = {
    "fleet": "test",
    "data_centre": "suva-1",
    "region": "fiji",
    "address": "127.0.0.1:0",
    "callers": "127.0.0.1:0",
    "admin": "127.0.0.1:0",
    "platform": {"address": "127.0.0.1:1"},
}


def settings_text(**changed):
    """Return a settings file with some keys (dots for nested ones) changed."""
    document = {key: dict(v) if isinstance(v, dict) else v for key, v in GOOD.items()}
    for key, value in changed.items():
        section, _, name = key.rpartition(".")
        place = document.setdefault(section, {}) if section else document
        place[name] = value
    return msgspec.yaml.encode(document).decode()


@when('a settings file is read in which "{key}" is "{value}"')
def read_bad(context, key, value):
    value = int(value) if value.isdigit() else value
    context.problems = parse_settings(settings_text(**{key: value}), "s.yaml", {})[1]


@when('a settings file is read in which "{key}" is ""')
def read_empty(context, key):
    context.problems = parse_settings(settings_text(**{key: ""}), "s.yaml", {})[1]


@then('a settings problem names "{key}"')
def named(context, key):
    assert [p for p in context.problems if p.key == key and p.source == "s.yaml"], context.problems


@when('settings are read with the environment variable "{name}" set to "{value}"')
def with_environment(context, name, value):
    context.loaded, problems = parse_settings(settings_text(), "s.yaml", {name: value})
    assert not problems, problems


@then('the data centre is "{value}" from "{source}"')
def from_environment(context, value, source):
    assert context.loaded.settings.data_centre == value
    assert context.loaded.sources_by_key["data_centre"] == source
    assert context.loaded.sources_by_key["fleet"] == "s.yaml"
    assert context.loaded.sources_by_key["statsd"] == "default"


@when('the command "settings check" is run on a file with two bad values')
def run_check(context):
    with tempfile.TemporaryDirectory() as folder:
        context.path = Path(folder) / "bad.yaml"
        context.path.write_text(settings_text(log_level=3, fleet=4))
        command = [sys.executable, "-m", "hornbeamgw", "settings", "check", str(context.path)]
        context.done = subprocess.run(command, capture_output=True, text=True, timeout=60)


@then("it ends with exit code 2 and two lines that name the file")
def ended_bad(context):
    lines = [line for line in context.done.stderr.splitlines() if str(context.path) in line]
    assert context.done.returncode == 2 and len(lines) == 2, context.done


@when('the address "{address}" is checked')
def check_address(context, address):
    context.accepted = is_address(address)


@then("it is {verdict:w}")
def judged(context, verdict):
    assert context.accepted == (verdict == "accepted"), context.accepted


def library_judges(address):
    """Return whether the standard library takes the host and the port is a port."""
    try:
        host, port = split_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 <= port <= 65_535


@when("{count:d} random texts that resemble addresses are checked")
def random_addresses(context, count):
    rng = random.Random(5)
    parts = ("0", "00", "01", "1", "9", "10", "99", "100", "199", "249", "250", "255", "256", "")
    parts += ("-1", "+1", " 1", "1 ", "1\n", "a", "::1", "\u0661", "1e1", "0x1")
    usual = parts[3:12]
    context.judged = []
    for _ in range(count):
        octets = [rng.choice(usual if rng.random() < 0.9 else parts) for _ in range(4)]
        octets += ["1"] if rng.random() < 0.05 else []
        address = f"{'.'.join(octets)}:{rng.choice(('80', '0', '65536', '', 'x'))}"
        context.judged.append((address, is_address(address), library_judges(address)))


@then("each is judged as the standard library judges it")
def as_library(context):
    wrong = [row for row in context.judged if row[1] != row[2]]
    assert not wrong, wrong[:5]
    accepted = sum(row[1] for row in context.judged)
    assert 100 < accepted < len(context.judged) - 100, accepted


def document_with(key, value):
    document = {name: dict(v) if isinstance(v, dict) else v for name, v in GOOD.items()}
    section, _, name = key.rpartition(".")
    place = document.setdefault(section, {}) if section else document
    typed = {"true": True, "null": None, "1": 1, "64": 64, "-1": -1}
    place[name] = float(value) if value.startswith("30.") else typed.get(value, value)
    return document


@when('settings with "{key}" as "{value}" are read from JSON and from YAML')
@when('settings with "{key}" as "" are read from JSON and from YAML')
def read_both(context, key, value=""):
    document = document_with(key, value)
    texts = [msgspec.json.encode(document).decode(), msgspec.yaml.encode(document).decode()]
    assert texts[0].startswith("{") and not texts[1].startswith("{"), texts
    context.both = [parse_settings(text, "s", {}) for text in texts]


@then("both give the same settings and the same problems")
def same_both(context):
    from_json, from_yaml = context.both
    assert from_json == from_yaml, context.both
    assert (from_json[0] is None) == bool(from_json[1]), from_json


@when("a settings file is read whose text is a flow mapping of YAML")
def flow_mapping(context):
    lines = [f"{key}: {msgspec.json.encode(value).decode()}" for key, value in GOOD.items()]
    context.loaded, problems = parse_settings("{" + ", ".join(lines) + "}", "s", {})
    assert not problems, problems


@then("it gives the settings that it states")
def states(context):
    assert context.loaded.settings.fleet == GOOD["fleet"]
    assert context.loaded.settings.platform_address == GOOD["platform"]["address"]
