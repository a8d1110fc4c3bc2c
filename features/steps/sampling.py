"""Steps for sampling: simulated time, no network."""

from __future__ import annotations

import random

from behave import given, then, when

from hornbeamgw.core import admission, crossing, placement, sampling, service_times
from hornbeamgw.core.admission import AttemptId, Queued, Refused, Request
from hornbeamgw.core.balancing import Choice, Load, candidate_of
from hornbeamgw.core.membership import Member
from hornbeamgw.core.placement import RouteTraits
from hornbeamgw.testing import simulated
from hornbeamgw.testing.simulated import HIGH_LIMITS, Fleet, Kind

LOOKUP = Kind("lookup", 0.076, 0.486, 1.296, 1)
DATA_CENTRES = 3
NOW = 100.0


@given(
    "{count:d} servers with {slots:d} slots of speeds 0.5, 1 and 1.5, "
    "and lookups at {factor:g} of what they can do"
)
def servers(context, count, slots, factor):
    context.speeds = [(0.5, 1.0, 1.5)[index % 3] for index in range(count)]
    context.slots, context.factor = slots, factor
    members = [
        Member(f"s{i}", f"dc-{i // 3 % DATA_CENTRES}", "region", 1, service="s", slots=slots)
        for i in range(count)
    ]
    candidates = [candidate_of(member, Load(NOW)) for member in members]
    me = Member("me", "dc-0", "region", 1)
    context.choice = Choice(
        me, candidates, (), RouteTraits(LOOKUP.latency_objective), LOOKUP.latency_objective, NOW
    )


@when("{daemons:d} daemons place {seconds:d} seconds of lookups by asking and by memory")
def both_ways(context, daemons, seconds):
    capacity = context.slots * sum(context.speeds)
    requests = simulated.arrivals([LOOKUP], capacity, context.factor, seconds, seed=5)
    context.outcomes = {
        name: Fleet(context.speeds, context.slots, "objective", name, daemons).run(requests, 5)
        for name in ("asking", "expected_finish")
    }


@when(
    "{daemons:d} daemons in {centres:d} data centres place {seconds:d} seconds of lookups by asking"
)
def by_asking(context, daemons, centres, seconds):
    capacity = context.slots * sum(context.speeds)
    requests = simulated.arrivals([LOOKUP], capacity, context.factor, seconds, seed=5)
    fleet = Fleet(context.speeds, context.slots, "objective", "asking", daemons, centres)
    context.outcomes = {"asking": fleet.run(requests, 5)}


def unserved(outcome):
    return outcome.requested.total() - outcome.served.total()


@then("asking refuses at most a third as many")
def refuses(context):
    asking, memory = context.outcomes["asking"], context.outcomes["expected_finish"]
    assert unserved(asking) * 3 <= unserved(memory), (unserved(asking), unserved(memory))


@then("asking answers more in time")
def more(context):
    asking, memory = context.outcomes["asking"], context.outcomes["expected_finish"]
    assert asking.in_time.total() > memory.in_time.total(), (asking.in_time, memory.in_time)


@then("no server is asked")
def none_asked(context):
    assert not sampling.should_query(context.choice)


@when("one of them is known to be three times as fast as the rest")
def fast(context):
    context.fast = context.choice.candidates[0]
    context.fast.load.slowness = 1 / 3


@then("all servers asked first are of the own data centre, and that one is among them")
def near(context):
    assert sampling.should_query(context.choice)
    asked = sampling.sample(context.choice, True, random.Random(1))
    assert len(asked) == sampling.QUERIED_FASTEST + sampling.QUERIED_AT_RANDOM
    assert {c.member.data_centre for c in asked} == {"dc-0"}
    assert context.fast in asked


@then("those asked next are of other data centres")
def far(context):
    asked = sampling.sample(context.choice, False, random.Random(1))
    assert len(asked) == sampling.QUERIED_FASTEST + sampling.QUERIED_REMOTE_AT_RANDOM
    assert "dc-0" not in {c.member.data_centre for c in asked}


@when("the best one found near has a wait of {wait:d} ms, and answers are {size:d} bytes large")
def near_found(context, wait, size):
    context.found = context.choice.candidates[0]
    placement.note_report(context.found.load, 0, wait / 1000, NOW)
    context.choice.traits.size = size


@then("leaving the data centre is {worth}")
def leaving(context, worth):
    is_worth = crossing.is_remote_better(context.choice, context.found)
    assert is_worth is (worth == "worth"), crossing.expected_loss(context.choice, context.found)


def request(number, aim):
    attempt = AttemptId("a", 1, number)
    return Request(
        attempt, "all", HIGH_LIMITS, NOW + 1.0, "lookup", NOW + aim, aim, 1, arrived_at=NOW
    )


@given("a server with {slots:d} slots that are taken for {ms:d} ms more")
def taken(context, slots, ms):
    context.state = simulated.new_server("objective", slots)
    for number in range(slots):
        service_times.record(context.state.service_time_estimates, "lookup", ms / 1000)
        admission.admit(context.state, request(number, 1.0), simulated.SERVICE, NOW)


@then("a lookup that can wait is told it would be taken, and is")
def can_wait(context):
    context.fates = dict(context.state.records_by_attempt)
    wanted = request(10, 0.5)
    told = admission.outlook(context.state, wanted, simulated.SERVICE, NOW)
    assert told.would_admit and abs(told.wait - 0.1) < 0.02, told
    context.untouched = (list(context.state.queue), dict(context.state.records_by_attempt))
    assert isinstance(admission.admit(context.state, wanted, simulated.SERVICE, NOW), Queued)


@then("a lookup that can't wait is told when to come back, and is refused")
def cannot_wait(context):
    wanted = request(11, 0.15)
    told = admission.outlook(context.state, wanted, simulated.SERVICE, NOW)
    assert not told.would_admit and told.retry_after_ms > 0, told
    assert isinstance(admission.admit(context.state, wanted, simulated.SERVICE, NOW), Refused)


@then("asking alone leaves nothing behind")
def nothing_left(context):
    assert context.untouched == ([], context.fates)


@given("{count:d} reports of {ms:d} ms that wait there")
def reports_wait(context, count, ms):
    service_times.record(context.state.service_time_estimates, "report", ms / 1000)
    for number in range(count):
        report = request(100 + number, 2.0)._replace(route="report", deadline=NOW + 5.0)
        assert isinstance(admission.admit(context.state, report, simulated.SERVICE, NOW), Queued)


@then("a check of {ms:d} ms is told a wait of about {wait:d} ms")
def check_wait(context, ms, wait):
    service_times.record(context.state.service_time_estimates, "check", ms / 1000)
    check = request(200, 1.0)._replace(route="check")
    told = admission.outlook(context.state, check, simulated.SERVICE, NOW)
    assert told.would_admit and abs(told.wait - wait / 1000) < 0.02, told


@then("there are fewer than {limit:g} queries for each lookup")
def few_queries(context, limit):
    outcome = context.outcomes["asking"]
    assert outcome.queries < limit * outcome.requested.total(), outcome.queries


@then("{ratio:g} of the lookups are answered in time")
def answered_in_time(context, ratio):
    outcome = context.outcomes["asking"]
    assert outcome.in_time.total() >= ratio * outcome.requested.total(), outcome.in_time


@when(
    "a server reported {free:d} free slots {age:d} ms ago, "
    "and {sent:d} requests have been sent to it since"
)
def reported(context, free, age, sent):
    context.found = context.choice.candidates[0]
    placement.note_report(context.found.load, free, 0.0, NOW - age / 1000)
    context.found.load.sent_since_report = sent


@when("a server reported 5 free slots 50 ms ago, and it {what}")
def reported_but(context, what):
    candidate = context.choice.candidates[3 if what == "is in another data centre" else 0]
    context.found = candidate
    placement.note_report(candidate.load, 5, 0.0, NOW - 0.05)
    if what == "is slower than most":
        candidate.load.slowness = 1.5
    elif what == "fails some requests":
        placement.note_outcome(candidate.load, True, NOW)
    elif what == "has been tried already":
        context.choice = context.choice._replace(tried=(candidate.key,))


@then("it {verb} used without a query")
def used_without_query(context, verb):
    found = sampling.recently_free(context.choice, random.Random(1))
    assert found == (context.found if verb == "is" else None), found
