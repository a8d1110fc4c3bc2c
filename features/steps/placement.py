"""Steps for placement: simulated time, no network."""

from __future__ import annotations

import random

from behave import given, then, when

from hornbeamgw.core import balancing, placement
from hornbeamgw.core.balancing import Choice, Load, candidate_of
from hornbeamgw.core.membership import Member
from hornbeamgw.testing import simulated
from hornbeamgw.testing.simulated import Fleet, Kind

AIM = 0.2
NORMAL = 0.06
ME = Member("me", "suva-1", "fiji", 1)


def server(name, data_centre, slots=6):
    return Member(name, data_centre, "fiji", 1, 0, service="s", slots=slots)


@given(
    'servers "{one}" in {dc_one} that takes {ms_one:d} ms '
    'and "{two}" in {dc_two} that takes {ms_two:d} ms'
)
def two(context, one, dc_one, ms_one, two, dc_two, ms_two):
    context.now = 100.0
    context.traits = placement.RouteTraits(AIM)
    context.traits.service = NORMAL
    context.by_name = {}
    for name, data_centre, took in ((one, dc_one, ms_one), (two, dc_two, ms_two)):
        load = Load(context.now)
        load.slowness = took / 1000 / NORMAL
        placement.note_report(load, 6, 0.0, context.now)
        context.by_name[name] = candidate_of(server(name, data_centre), load)


@given("answers are {size:d} bytes large")
def large(context, size):
    context.traits.size = size


@given('"{name}" reports no free slot and a wait of {wait:d} ms')
def full(context, name, wait):
    placement.note_report(context.by_name[name].load, 0, wait / 1000, context.now)


@given('"{name}" reports {free:d} free slots and no wait')
def free(context, name, free):
    placement.note_report(context.by_name[name].load, free, 0.0, context.now)


@when("{ms:d} ms pass")
def passes(context, ms):
    context.now += ms / 1000
    for candidate in context.by_name.values():
        load = candidate.load
        if load.wait and context.now - load.reported_at > load.wait:
            placement.note_report(load, 6, 0.0, context.now)


@when('{count:d} lookups are sent to "{name}"')
def sent(context, count, name):
    context.by_name[name].load.sent_since_report += count


@when('"{name}" fails {failed:d} of {count:d} requests')
def fails(context, name, failed, count):
    for number in range(count):
        placement.note_outcome(context.by_name[name].load, number % 2 == 0, context.now)


@when('"{name}" can\'t be reached')
def unreachable(context, name):
    balancing.note_unreachable(context.by_name[name].load, context.now)


@then('{wanted:d} of {count:d} lookups of suva-1 go to "{name}"')
def go_to(context, wanted, count, name):
    chosen = [
        placement.choose(
            Choice(ME, list(context.by_name.values()), (), context.traits, AIM, context.now),
            random.Random(seed),
        )
        for seed in range(count)
    ]
    assert sum(c.member.address == name for c in chosen) >= wanted, [
        c.member.address for c in chosen
    ]


@given(
    "5 servers of speeds 0.5, 1, 1, 1.5 and 1 with 6 slots, "
    "and lookups at {factor:g} of what they can do"
)
def five(context, factor):
    context.speeds = (0.5, 1.0, 1.0, 1.5, 1.0)
    context.factor = factor


@when("{daemons:d} daemons place {seconds:d} seconds of lookups by both ways")
def both_ways(context, daemons, seconds):
    kind = Kind("lookup", NORMAL, AIM, 0.5, 1)
    requests = simulated.arrivals([kind], 6 * sum(context.speeds), context.factor, seconds, seed=3)
    context.in_time = {
        name: Fleet(context.speeds, 6, "objective", name, daemons).run(requests, 3).in_time.total()
        for name in ("expected_finish", "two_choice")
    }


@then('"{better}" answers more in time than "{worse}"')
def more(context, better, worse):
    assert context.in_time[better] > context.in_time[worse], context.in_time
