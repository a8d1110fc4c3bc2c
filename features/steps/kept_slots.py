"""Steps for kept slots: plays of a mesh in simulated time."""

from __future__ import annotations

from collections import Counter

from behave import then, when

from hornbeamgw.core import kept_slots
from hornbeamgw.testing import mesh_load
from hornbeamgw.testing.mesh_model import Mesh


@when(
    "{count:d} plays of {seconds:d} seconds of exports beside confirmations and calls"
    " run at {factor:g} of the slots"
)
def plays(context, count, seconds, factor):
    context.requested, context.served, context.failed_runs = Counter(), Counter(), Counter()
    for seed in range(count):
        load = mesh_load.long_beside_short(factor)
        outcome = Mesh(load, "objective", "in_time", seed).run(seconds)
        context.requested += outcome.requested
        context.served += outcome.in_time + outcome.late
        context.failed_runs += outcome.failed_runs


def served_ratio(context, name):
    return context.served[name] / context.requested[name]


@then("confirmations and calls are served at least {ratio:g} of the time")
def urgent_served(context, ratio):
    found = {name: served_ratio(context, name) for name in ("confirmation", "check")}
    assert min(found.values()) >= ratio, found


@then("at most {ratio:g} of the lookups that ran failed because a call of theirs was refused")
def few_failed(context, ratio):
    counts = context.failed_runs["lookup"], context.served["lookup"]
    assert counts[0] <= ratio * (counts[0] + counts[1]), counts


@then("no route is served less than a quarter as often as all")
def none_starved(context):
    mean = context.served.total() / context.requested.total()
    found = {name: served_ratio(context, name) for name in context.requested}
    assert min(found.values()) >= mean / 4, (mean, found)


@then(
    "a server with {slots:d} slots keeps {kept:d} where urgent requests use {use:g}"
    " and {running:d} of them run"
)
def keeps(context, slots, kept, use, running):
    assert kept_slots.kept_slots(slots, use, running) == kept
