"""Steps for placement: simulated time, no network."""

from __future__ import annotations

import heapq
import random

from behave import given, then, when

from hornbeamgw.core import admission, balancing, placement
from hornbeamgw.core.admission import Admitted, AttemptId, Refused, Request
from hornbeamgw.core.balancing import Candidate, Choice, Load
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.snapshot import Limits

AIM = 0.2
NORMAL = 0.06
ME = Member("me", "suva-1", "fiji", 1)
WIDE = Limits(10_000, 0, 64)


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
        context.by_name[name] = Candidate(server(name, data_centre), load)


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
    context.by_name[name].load.sent_since += count


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
    context.rate = factor * sum(context.speeds) * 6 / NORMAL


def simulate(context, name, daemons, seconds):
    """Return how many lookups end in time; reports come with each answer, as on the wire."""
    rng = random.Random(3)
    choose = balancing.chooser_of(name)
    servers = [server(f"s{i}", f"suva-{i % 3}") for i in range(len(context.speeds))]
    states = []
    for _ in servers:
        state = admission.AdmissionState("objective")
        state.service, state.slots, state.server_state = "s", 6, ServerState.SERVING
        states.append(state)
    loads = [[Load(0.0) for _ in servers] for _ in range(daemons)]
    traits = [placement.RouteTraits(AIM) for _ in range(daemons)]
    running, info, in_time, number, now = [], {}, 0, 0, 0.0

    def report(index, daemon, at):
        state = states[index]
        wait = admission.expected_wait(state, at)
        placement.note_report(loads[daemon][index], admission.free_slots(state), wait, at)

    def begin(index, decisions, at):
        for decision in decisions:
            if isinstance(decision, Admitted):
                attempt = decision.request.attempt
                work = info[attempt][1] / context.speeds[index]
                heapq.heappush(running, (at + work, attempt, index, at, decision.request))

    def finish_until(limit):
        nonlocal in_time
        while running and running[0][0] <= limit:
            end, attempt, index, began, request = heapq.heappop(running)
            daemon = info[attempt][0]
            loads[daemon][index].outstanding -= 1
            in_time += end <= request.objective
            begin(index, admission.finish(states[index], attempt, began, end), end)
            placement.note_answer(traits[daemon], loads[daemon][index], end - began, 1500)
            report(index, daemon, end)

    while now < seconds:
        now += rng.expovariate(context.rate)
        finish_until(now)
        daemon, tried = rng.randrange(daemons), []
        for _ in range(3):
            candidates = [
                Candidate(m, load) for m, load in zip(servers, loads[daemon], strict=True)
            ]
            choice = Choice(ME, candidates, tried, traits[daemon], AIM, now)
            chosen = choose(choice, rng)
            index = servers.index(chosen.member)
            tried.append(chosen.member.address)
            number += 1
            attempt = AttemptId("a", daemon, number)
            info[attempt] = (daemon, rng.lognormvariate(0, 0.5) * NORMAL / 1.13)
            request = Request(attempt, "all", WIDE, now + 0.5, "lookup", now + AIM, AIM, 1)
            chosen.load.sent_since += 1
            decision = admission.admit(states[index], request, "s", now)
            if not isinstance(decision, Refused):
                chosen.load.outstanding += 1
                begin(index, [decision], now)
                break
            report(index, daemon, now)
    finish_until(1e9)
    return in_time


@when("{daemons:d} daemons place {seconds:d} seconds of lookups by both ways")
def both_ways(context, daemons, seconds):
    context.in_time = {
        name: simulate(context, name, daemons, seconds)
        for name in ("expected_finish", "two_choice")
    }


@then('"{better}" answers more in time than "{worse}"')
def more(context, better, worse):
    assert context.in_time[better] > context.in_time[worse], context.in_time
