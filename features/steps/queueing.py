"""Steps for queueing: simulated time, no network."""

from __future__ import annotations

import heapq

from behave import given, then, when

from hornbeamgw.core import admission, occupancy, service_times
from hornbeamgw.core.admission import Admitted, AttemptId, Queued, Refused, Request
from hornbeamgw.core.service_times import ServiceTimes
from hornbeamgw.core.slots import CutRequest, ServerHabits
from hornbeamgw.testing import simulated
from hornbeamgw.testing.simulated import HIGH_LIMITS, Fleet, Kind

DEADLINE_BY_KIND = {"lookup": 0.5, "report": 1.5, "check": 0.2, "work": 1.5}
DEADLINE_BY_KIND |= {"call": 0.9, "long report": 5.0}


def learn(state, kind, work_ms):
    service_times.record(state.service_time_estimates, kind, work_ms / 1000)


def arrive(context, kind, work_ms, objective_ms, now=None, **fields):
    now = context.now if now is None else now
    learn(context.state, kind, work_ms)
    context.number += 1
    aim = objective_ms / 1000
    request = Request(
        AttemptId("a", 1, context.number),
        "all",
        HIGH_LIMITS,
        now + DEADLINE_BY_KIND[kind],
        kind,
        fields.pop("objective", now + aim),
        aim,
        **{"priority": 1, "arrived_at": now, **fields},
    )
    context.decisions = [admission.admit(context.state, request, simulated.SERVICE, now)]
    return context.decisions[0]


@given("an idle server with {slots:d} slots")
def idle(context, slots):
    context.state = simulated.new_server("objective", slots)
    context.now, context.number = 100.0, 0


def fill(context, count, slots, work_ms, age_ms=0.0, priority=1):
    idle(context, slots)
    learn(context.state, "work", work_ms)
    for _ in range(count):
        began = context.now - age_ms / 1000
        decision = arrive(context, "work", work_ms, 600, now=began, priority=priority)
        assert isinstance(decision, Admitted)


@given("a busy server whose {slots:d} slots hold work of {work:d} ms that has just begun")
def busy(context, slots, work):
    fill(context, slots, slots, work)


@given(
    "a busy server whose {used:d} slots of {slots:d} hold work of {work:d} ms that has just begun"
)
def nearly_busy(context, used, slots, work):
    fill(context, used, slots, work)


@given("a busy server whose {n:d} slots hold work of {work:d} ms that is {age:d} ms old")
def busy_for_a_while(context, n, work, age):
    fill(context, n, n, work, age)


@given(
    "requests that take {work:d} ms, one of which was cut off after {cut_ms:d} ms"
    " at a server that stood still"
)
def cut_off(context, work, cut_ms):
    context.times, context.habits = ServiceTimes(), ServerHabits()
    for _ in range(50):
        service_times.record(context.times, "work", work / 1000)
    context.cut = CutRequest("work", 0.0, cut_ms / 1000, 1.0)


@given(
    "requests expected to take {typical:d} ms, of which {count:d} were cut off after {cut_ms:d} ms"
)
def had_little_time(context, typical, count, cut_ms):
    idle(context, 4)
    state, now, cut_at = context.state, context.now, context.now + cut_ms / 1000
    context.times, context.habits = state.service_time_estimates, state.habits
    cut = CutRequest("work", now, cut_at, typical / 1000, closed_at=cut_at)
    for number in range(count):
        attempt = AttemptId("a", 1, number)
        request = Request(attempt, "all", HIGH_LIMITS, cut_at, "work")
        assert isinstance(admission.admit(state, request, simulated.SERVICE, now), Admitted)
        state.cuts_by_attempt[attempt] = cut
        admission.finish(state, attempt, now, cut_at, is_cut=True)
    context.cut = cut._replace(started_at=0.0, cut_at=cut_ms / 1000, closed_at=cut_ms / 1000)


@when("the server shows signs of life after {ms:d} ms")
def alive(context, ms):
    context.habits.alive_at = ms / 1000


@then("the slot of that request is in use at {used:d} ms, and free at {free:d} ms")
def slot_used(context, used, free):
    cut = occupancy.with_life(context.habits, context.times, context.cut)
    found = 1000 * occupancy.free_at(context.habits, context.times, cut)
    assert used < found <= free, found


@given("{count:d} more that are {age:d} ms old")
def older(context, count, age):
    for _ in range(count):
        decision = arrive(context, "work", 60, 600, now=context.now - age / 1000)
        assert isinstance(decision, Admitted)


@when("the server announces {slots:d} slots")
def announces(context, slots):
    context.state.slots = slots


@then("a lookup of {work:d} ms with an objective of {objective:d} ms is told a wait of {wait:d} ms")
def told_wait(context, work, objective, wait):
    assert isinstance(arrive(context, "lookup", work, objective), Queued)
    request = context.state.queue.pop()
    found = 1000 * context.state.policy.wait(context.state, request, context.now)
    assert abs(found - wait) < 1, found


@when("a lookup of {work:d} ms with an objective of {objective:d} ms arrives")
def lookup(context, work, objective):
    context.lookup = arrive(context, "lookup", work, objective)


@when("a report of {work:d} ms with an objective of {objective:d} ms arrives")
def report(context, work, objective):
    assert isinstance(arrive(context, "report", work, objective), Queued)


@when("{count:d} checks of {work:d} ms with an objective of {objective:d} ms arrive")
def checks(context, count, work, objective):
    context.checks = [arrive(context, "check", work, objective) for _ in range(count)]


@when("reports of {work:d} ms with an objective of {objective:d} ms arrive until one is refused")
def reports(context, work, objective):
    while not isinstance(arrive(context, "report", work, objective), Refused):
        assert context.number < 100


@then("a lookup of {work:d} ms with an objective of {objective:d} ms still finds room")
def finds_room(context, work, objective):
    assert not isinstance(arrive(context, "lookup", work, objective), Refused)


@when("a lookup arrives {elapsed:d} ms into its objective of {objective:d} ms")
def late_lookup(context, elapsed, objective):
    left = (objective - elapsed) / 1000
    arrive(context, "lookup", 60, objective, objective=context.now + left)


@when(
    "a lookup that was refused before arrives {elapsed:d} ms into its objective of {objective:d} ms"
)
def returned_lookup(context, elapsed, objective):
    left = (objective - elapsed) / 1000
    arrive(context, "lookup", 60, objective, objective=context.now + left, is_retry=True)


@when("a slot is free")
def slot_free(context):
    first = next(iter(context.state.running_by_attempt))
    now = context.now + 0.06
    context.started = admission.finish(context.state, first, context.now, now)


@then("it is refused at once and told when there will be room")
def refused(context):
    (decision,) = context.decisions
    assert isinstance(decision, Refused), decision
    assert decision.failure.verdict == "not_run" and decision.failure.retry_after_ms > 0


@then("it waits")
def waits(context):
    assert isinstance(context.decisions[0], Queued), context.decisions


@then("it runs")
def runs(context):
    assert isinstance(context.decisions[0], Admitted), context.decisions


@then("the lookup runs next")
def lookup_next(context):
    (decision,) = context.started
    assert isinstance(decision, Admitted) and decision.request.route == "lookup", decision


@then("no check is refused afterwards")
def no_check_refused(context):
    state, now = context.state, context.now
    assert not any(isinstance(decision, Refused) for decision in context.checks)
    running = [(now + 0.06, attempt) for attempt in state.running_by_attempt]
    heapq.heapify(running)
    while running:
        now, attempt = heapq.heappop(running)
        for decision in admission.finish(state, attempt, now - 0.06, now):
            held = 0.015 if decision.request.route == "check" else 0.24
            refused_check = isinstance(decision, Refused) and decision.request.route == "check"
            assert not refused_check, decision
            if isinstance(decision, Admitted):
                heapq.heappush(running, (now + held, decision.request.attempt))


@given("{seconds:d} seconds of lookups and reports at {factor:g} times what {slots:d} slots can do")
def offered(context, seconds, factor, slots):
    kinds = [Kind("lookup", 0.06, 0.2, 0.5, 5), Kind("report", 0.24, 0.6, 1.5, 1)]
    context.slots = slots
    context.arrivals = simulated.arrivals(kinds, slots, factor, seconds, seed=7)


@when("both ways to queue serve them")
def both(context):
    context.by_policy = {
        name: Fleet([1.0], context.slots, name, "expected_finish", 1).run(context.arrivals, 7)
        for name in ("deadline", "objective")
    }


@then('"{better}" answers at least {factor:g} times as many in time as "{worse}"')
def more_in_time(context, better, factor, worse):
    counts = {name: outcome.in_time.total() for name, outcome in context.by_policy.items()}
    assert counts[better] >= factor * counts[worse], counts


@then("no kind is served less than a quarter as often as all")
def none_starved(context):
    outcome = context.by_policy["objective"]
    mean = outcome.served.total() / outcome.requested.total()
    for kind, count in outcome.requested.items():
        assert outcome.served[kind] / count >= mean / 4, (outcome.requested, outcome.served)


@given("urgent calls of {work:d} ms have come {rate:d} times a second for {seconds:d} seconds")
def urgent_calls(context, work, rate, seconds):
    for _ in range(rate * seconds):
        context.now += 1 / rate
        decision = arrive(context, "call", work, 270, priority=1)
        assert isinstance(decision, Admitted), decision
        started = context.now
        admission.finish(
            context.state, decision.request.attempt, started - work / 1000, context.now
        )


@given("nothing has come for {seconds:d} seconds")
def nothing(context, seconds):
    context.now += seconds


@when("{count:d} reports of {work:d} ms with an objective of {objective:d} ms arrive")
def reports_arrive(context, count, work, objective):
    for _ in range(count):
        arrive(context, "long report", work, objective, priority=2)


@then("{count:d} slots are taken")
def taken(context, count):
    assert len(context.state.running_by_attempt) == count, len(context.state.running_by_attempt)


@then("an urgent call of {work:d} ms runs at once")
def urgent_runs(context, work):
    assert isinstance(arrive(context, "call", work, 270, priority=1), Admitted)


@then("a report that was waiting does not run before one has ended")
def waits_on(context):
    waiting = list(context.state.queue)
    assert waiting and not admission.next_decisions(context.state, context.now)
    report = next(r for r in context.state.running_by_attempt.values() if r.priority == 2)
    decided = admission.finish(context.state, report.attempt, context.now - 0.6, context.now)
    assert [d.request for d in decided if isinstance(d, Admitted)] == waiting[:1], decided
