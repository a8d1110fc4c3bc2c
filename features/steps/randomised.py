"""Steps for randomised runs."""

from __future__ import annotations

from behave import then, when
from hypothesis.stateful import run_state_machine_as_test

from hornbeamgw.core import invariants
from properties.fleet_machine import PROFILE, STEPS_BY_KIND, FleetMachine
from properties.moods import CALM

KINDS = len(CALM)


@when("the randomised fleet runs with fixed seeds")
def run_fleet(context):
    STEPS_BY_KIND.clear()
    run_state_machine_as_test(FleetMachine, settings=PROFILE)


@then("every kind of step happened and no invariant was violated")
def none_violated(context):
    assert len(STEPS_BY_KIND) >= KINDS, STEPS_BY_KIND
    assert not invariants.violations
