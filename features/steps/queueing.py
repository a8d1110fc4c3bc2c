"""Steps for queueing: simulated time, no network."""

from __future__ import annotations

import heapq
import random

from behave import given, then, when

from hornbeamgw.core import admission, service_times
from hornbeamgw.core.admission import Admitted, AttemptId, Queued, Refused, Request
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.snapshot import Limits

WIDE = Limits(10_000, 0, 64)
DEADLINE_BY_KIND = {"lookup": 0.5, "report": 1.5, "check": 0.2, "work": 1.5}


def new_state(slots, policy="objective"):
    state = admission.AdmissionState(policy)
    state.service = "roster"
    state.slots = slots
    state.server_state = ServerState.SERVING
    return state


def learn(state, kind, work_ms):
    service_times.note(state.times, kind, work_ms / 1000)


def arrive(context, kind, work_ms, objective_ms, now=None, **fields):
    now = context.now if now is None else now
    learn(context.state, kind, work_ms)
    context.number += 1
    aim = objective_ms / 1000
    request = Request(
        AttemptId("a", 1, context.number),
        "all",
        WIDE,
        now + DEADLINE_BY_KIND[kind],
        kind,
        fields.pop("objective", now + aim),
        aim,
        **{"priority": 1, **fields},
    )
    context.decisions = [admission.admit(context.state, request, "roster", now)]
    return context.decisions[0]


@given("an idle server with {slots:d} slots")
def idle(context, slots):
    context.state, context.now, context.number = new_state(slots), 100.0, 0


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
    arrive(context, "lookup", 60, objective, objective=context.now + left, came_back=True)


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
    rng = random.Random(7)
    context.slots = slots
    context.arrivals = []
    kinds = [("lookup", 0.06, 0.2, 5), ("report", 0.24, 0.6, 1)]
    mean = sum(work * weight for _, work, _, weight in kinds) / sum(k[3] for k in kinds)
    now = 0.0
    while now < seconds:
        now += rng.expovariate(factor * slots / mean)
        kind, work, aim, _ = rng.choices(kinds, [k[3] for k in kinds])[0]
        context.arrivals.append((now, kind, rng.lognormvariate(0, 0.5) * work / 1.13, aim))


def serve(context, policy):
    """Return how many of each kind were offered, served, and in time."""
    state = new_state(context.slots, policy)
    served, in_time, asked = {}, {}, {}
    running, work_by_attempt = [], {}

    def take(decisions, now):
        for decision in decisions:
            if isinstance(decision, Admitted):
                end = now + work_by_attempt[decision.request.attempt]
                heapq.heappush(running, (end, decision.request.attempt, now, decision.request))

    def finish_until(limit):
        while running and running[0][0] <= limit:
            end, attempt, began, request = heapq.heappop(running)
            if end <= request.deadline:
                served[request.route] = served.get(request.route, 0) + 1
            if end <= request.objective:
                in_time[request.route] = in_time.get(request.route, 0) + 1
            take(admission.finish(state, attempt, began, end), end)

    for number, (now, kind, work, aim) in enumerate(context.arrivals):
        finish_until(now)
        take(admission.next_decisions(state, now), now)
        asked[kind] = asked.get(kind, 0) + 1
        attempt = AttemptId("a", 1, number)
        work_by_attempt[attempt] = work
        deadline = now + DEADLINE_BY_KIND[kind]
        request = Request(attempt, "all", WIDE, deadline, kind, now + aim, aim, 1)
        take([admission.admit(state, request, "roster", now)], now)
    finish_until(1e9)
    return asked, served, in_time


@when("both ways to queue serve them")
def both(context):
    context.by_policy = {name: serve(context, name) for name in ("deadline", "objective")}


@then('"{better}" answers at least {factor:g} times as many in time as "{worse}"')
def more_in_time(context, better, factor, worse):
    counts = {name: sum(found[2].values()) for name, found in context.by_policy.items()}
    assert counts[better] >= factor * counts[worse], context.by_policy


@then("no kind is served less than a quarter as often as all")
def none_starved(context):
    asked, served, _ = context.by_policy["objective"]
    mean = sum(served.values()) / sum(asked.values())
    for kind, count in asked.items():
        assert served.get(kind, 0) / count >= mean / 4, context.by_policy
