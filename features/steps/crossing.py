"""Steps for crossing: what is chosen, and how likely an answer is late; no network."""

from __future__ import annotations

import random
from collections import Counter

from behave import given, then, when

from hornbeamgw.core import crossing, placement
from hornbeamgw.core.balancing import Choice, Load, candidate_of
from hornbeamgw.core.membership import Member
from hornbeamgw.core.placement import RouteTraits
from hornbeamgw.testing import mesh_load
from hornbeamgw.testing.mesh_model import Mesh

NOW = 100.0
SLOTS = 6
ME = Member("me", "kgn-1", "jm", 1)


def candidate(name, data_centre, wait_ms):
    load = Load(NOW)
    free = 0 if wait_ms else SLOTS
    placement.note_report(load, free, wait_ms / 1000, NOW)
    return candidate_of(Member(name, data_centre, "jm", 1, 0, service="s", slots=SLOTS), load)


@given("{kind} of {work:d} ms with {aim:d} ms to answer, {size:d} bytes large")
def of_kind(context, kind, work, aim, size):
    context.aim = aim / 1000
    context.passed = 0.0
    context.tried = []
    context.traits = RouteTraits(context.aim)
    context.traits.service = work / 1000
    context.traits.deviation = 0.5 * work / 1000
    context.traits.size = size


@given("a server near that has a wait of {wait:d} ms, and one far with no wait")
def near_and_far(context, wait):
    context.near = candidate("near", "kgn-1", wait)
    context.candidates = [context.near, candidate("far", "spt-1", 0)]


@given("only a server far with no wait")
def only_far(context):
    context.candidates = [candidate("far", "spt-1", 0)]


@given("{passed:d} ms of its time have passed")
def passed(context, passed):
    context.passed = passed / 1000


@given("the server near refused it")
def refused(context):
    context.tried = ["near"]


@then("the server near works at two thirds of the speed")
@given("the server near works at two thirds of the speed")
def half(context):
    context.near.load.slowness = 1.5


@then("the server near works at a fifth of the speed")
def fifth(context):
    context.near.load.slowness = 5.0


@given("the server near fails half of its requests")
def fails(context):
    for number in range(20):
        placement.note_outcome(context.near.load, number % 2 == 0, NOW)


@then("it goes {where:w}")
def goes(context, where):
    objective = NOW + context.aim - context.passed
    choice = Choice(
        ME, context.candidates, context.tried, context.traits, context.aim, NOW, objective
    )
    chosen = {crossing.choose(choice, random.Random(seed)) for seed in range(20)}
    names = {"nowhere" if c is None else c.member.address for c in chosen}
    assert names == {where}, names


@given(
    "answers that take {mean:d} ms, {deviation:d} ms more or less, with {left:d} ms left"
)  # fmt: skip
def answers(context, mean, deviation, left):
    traits = RouteTraits(1.0)
    traits.service = mean / 1000
    traits.deviation = deviation / 1000
    context.late = crossing.late_probability(traits, 1.0, 0.0, left / 1000)


@then("between {least:d} and {most:d} of 100 come late")
def come_late(context, least, most):
    assert least <= 100 * context.late <= most, context.late


@given("the load of four data centres at {factor:g} times its rate, speeds drawn by seeds 1 to 2")
def load(context, factor):
    context.loads = {seed: mesh_load.few_servers(factor, seed) for seed in (1, 2)}


@when("it is played for {seconds:d} seconds by the soonest end and by the chance to be late")
def played(context, seconds):
    context.goodput_ratio, context.moved = Counter(), Counter()
    for chooser in ("expected_finish", "in_time"):
        for seed, offered in context.loads.items():
            outcome = Mesh(offered, "objective", chooser, seed).run(seconds)
            context.goodput_ratio[chooser] += outcome.goodput_ratio(offered.kinds) / len(
                context.loads
            )
            context.moved[chooser] += outcome.cross_dc_bytes


@then("the latter earns at least as much less one in twenty-five")
def earns(context):
    assert (
        context.goodput_ratio["in_time"] >= context.goodput_ratio["expected_finish"] - 0.04
    ), context.goodput_ratio


@then("it moves at most half of the bytes")
def moves(context):
    assert context.moved["in_time"] <= context.moved["expected_finish"] / 2, context.moved


@then("neither earns more than the bound, one in twenty aside")
def bounded(context):
    bounds = [mesh_load.max_worth_ratio(offered) for offered in context.loads.values()]
    most = sum(bounds) / len(bounds) + 0.05
    assert max(context.goodput_ratio.values()) <= most, (context.goodput_ratio, bounds)
