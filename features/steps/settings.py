"""Steps for settings."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
from behave import then, when

from hornbeamgw.core.options import parse_settings

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
