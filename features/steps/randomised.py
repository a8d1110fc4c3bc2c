"""Steps for randomised runs."""

from __future__ import annotations

from behave import then, when
from hypothesis.stateful import run_state_machine_as_test

from hornbeamgw.core import invariants
from properties import departures_soak
from properties.fleet_machine import PROFILE, STEPS_BY_KIND, FleetMachine
from properties.moods import CALM
from properties.quarantine_machine import PROFILE as QUARANTINE_PROFILE
from properties.quarantine_machine import QuarantineMachine
from properties.runs_machine import PROFILE as RUNS_PROFILE
from properties.runs_machine import RunsMachine

KINDS = len(CALM)
# 358 showed a late heartbeat of a later run under the name of one that was known to have left.
DEPARTURE_SEEDS = [*range(1, 31), 358]


def fault_of(machine, profile):
    """Return what a randomised run found and how, or an empty text."""
    try:
        run_state_machine_as_test(machine, settings=profile)
    except AssertionError as error:
        return f"{error!r}: {error.__notes__}"
    return ""


@when("the randomised fleet runs with fixed seeds")
def run_fleet(context):
    STEPS_BY_KIND.clear()
    run_state_machine_as_test(FleetMachine, settings=PROFILE)


@then("every kind of step happened and no invariant was violated")
def none_violated(context):
    assert len(STEPS_BY_KIND) >= KINDS, STEPS_BY_KIND
    assert not invariants.violations_by_name


@when("heartbeats and farewells of many runs arrive in any order, late and twice")
def run_servers(context):
    context.fault = fault_of(RunsMachine, RUNS_PROFILE)


@then("no run came back that was followed, has left or drains")
def none_came_back(context):
    assert not context.fault, context.fault


@when("servers end under one request and by other causes, and records come in any order")
def run_quarantine(context):
    context.fault = fault_of(QuarantineMachine, QUARANTINE_PROFILE)


@then("all daemons agree on the cause, and what was answered is refused nowhere")
def agree(context):
    assert not context.fault, context.fault


@when("a daemon is killed again and again with fixed seeds, and servers beside it leave")
def leave(context):
    context.worlds = {seed: departures_soak.play(seed) for seed in DEPARTURE_SEEDS}


@then("no acknowledged departure was forgotten, and sound servers are served in the end")
def none_forgotten(context):
    broken = {seed: world.broken[0] for seed, world in context.worlds.items() if world.broken}
    assert not broken, broken
    for cause in ("kills", "acknowledged", "sound"):
        assert all(world.counts[cause] for world in context.worlds.values()), cause
