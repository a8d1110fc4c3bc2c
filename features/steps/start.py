"""Steps for starts: what a process of its own loads."""

from __future__ import annotations

import subprocess
import sys

import msgspec
from behave import then, when
from settings import GOOD

LOADED = """
import sys
import hornbeamgw.daemon.main
from hornbeamgw.core.options import parse_settings
import msgspec
loaded, problems = parse_settings(sys.argv[1], "s", {})
print(msgspec.json.encode([sorted(sys.modules), str(loaded and loaded.settings)]).decode())
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
