"""Steps for the catalogue and its edits."""

from __future__ import annotations

from pathlib import Path

from behave import given, then, when
from result import Err, Ok

from hornbeamgw.core.catalogue import Item, parse_file, validate
from hornbeamgw.core.edit import EMPTY_CATALOGUE, Change, Edit, accept, apply_delta


def entry(name, slots=1):
    """Return the body of an entry."""
    return {"name": name, "owner": "o", "traffic_class": "c", "limits": {"slots": slots}}


def edit_of(edit_id, *changes):
    """Return an edit of (name, revision, slots)."""
    rows = [
        Change(key=f"entry/{name}", based_on=revision, body=entry(name, slots))
        for name, revision, slots in changes
    ]
    return Edit(edit_id=edit_id, author="t", changes=rows)


@when('the catalogue file "{text}" is checked')
def check_text(context, text):
    parsed, problems = parse_file(text, "file.yaml")
    items = {key: Item(0, body) for key, body in parsed.bodies_by_key.items()}
    context.problems = problems or validate(items, "file.yaml")


@then('a problem names "{key}" with "{value}"')
def names_problem(context, key, value):
    found = [p for p in context.problems if p.key == key and value in str(p.given)]
    assert found, context.problems
    assert found[0].source == "file.yaml" and found[0].expected


@then("there are {count:d} problems")
def count_problems(context, count):
    assert len(context.problems) == count, context.problems


@then("the example catalogues have no problems")
def examples_good(context):
    paths = sorted(Path("catalogue").glob("*.yaml"))
    assert len(paths) >= 2
    for path in paths:
        parsed, problems = parse_file(path.read_text(), str(path))
        items = {key: Item(0, body) for key, body in parsed.bodies_by_key.items()}
        assert not problems and not validate(items), path


@given("a catalogue with entries a and b")
def two_entries(context):
    delta = accept(EMPTY_CATALOGUE, edit_of("e0", ("a", 0, 1), ("b", 0, 1)), 0).unwrap()
    context.catalogue = apply_delta(EMPTY_CATALOGUE, delta).unwrap()


@when("operator 1 edits {first} and operator 2 edits {second} from the same base")
def race(context, first, second):
    context.first = accept(context.catalogue, edit_of("e1", (first, 1, 2)), 0)
    after = apply_delta(context.catalogue, context.first.unwrap()).unwrap()
    context.second = accept(after, edit_of("e2", (second, 1, 3)), 0)


@then("both edits are accepted")
def both(context):
    assert isinstance(context.first, Ok) and isinstance(context.second, Ok)


@then("the second edit conflicts and shows revision 1 and revision 2")
def conflicts(context):
    assert isinstance(context.second, Err)
    (conflict,) = context.second.err_value.conflicts
    assert (conflict.based_on, conflict.current_revision) == (1, 2)
    assert conflict.current["limits"]["slots"] == 2
    assert conflict.wanted["limits"]["slots"] == 3
