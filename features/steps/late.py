"""Steps for late answers: one server at a fixed time, and plays of a mesh in simulated time."""

from __future__ import annotations

import math
from unittest import mock

from behave import given, then, when

from hornbeamgw.core import admission, late, service_times
from hornbeamgw.core.admission import Admitted, AttemptId, Queued, Refused, Request
from hornbeamgw.core.slots import SlotUse
from hornbeamgw.daemon import codec, frames
from hornbeamgw.testing import mesh_load, simulated
from hornbeamgw.testing.mesh_model import Mesh

NOW = 100.0


def arrive(context, route, objective, deadline, is_late=False, accepts_late=True):
    """Let a request arrive; a late one has 50 ms of its objective left."""
    context.number += 1
    first_try_at = NOW - (objective - 0.05 if is_late else 0.0)
    request = Request(
        AttemptId("a", 1, context.number),
        "all",
        simulated.HIGH_LIMITS,
        first_try_at + deadline,
        route,
        first_try_at + objective,
        objective,
        priority=2,
        arrived_at=NOW,
        accepts_late=accepts_late,
    )
    context.decision = admission.admit(context.state, request, simulated.SERVICE, NOW)
    return context.decision


FRAMES = [
    frames.Call(1, "id", "service", "entry", True, 100, 1, b"head", b"", True),
    frames.OutlookRequest(1, "service", "entry", "route", 1, 1, 1, 1, False),
]
FRAMES += [frame._replace(organisation="a") for frame in FRAMES]


@then("a call and a query that accept it are the same once sent, with an organisation and without")
def same_once_sent(context):
    for frame in FRAMES:
        sent = frame._replace(accepts_late=True)
        assert codec.decode_frame(codec.encode_frame(sent)[codec.LENGTH_PREFIX_BYTES :]) == sent


@then("they take no more bytes than others")
def no_more_bytes(context):
    for frame in FRAMES:
        sent = frame._replace(accepts_late=True)
        assert len(codec.encode_frame(sent)) == len(codec.encode_frame(frame))


@given("a server whose {slots:d} slots hold work of {work:d} ms")
def full(context, slots, work):
    context.state = simulated.new_server("objective", slots)
    context.number = 0
    service_times.record(context.state.service_time_estimates, "work", work / 1000)
    for _ in range(slots):
        assert isinstance(arrive(context, "work", 0.7, 2.0), Admitted)
    # The slots were taken by a burst in an otherwise idle second.
    context.state.timely_use = SlotUse(slots / 4, NOW)


@given("timely requests have used all slots in the last seconds")
def used(context):
    context.state.timely_use = SlotUse(context.state.slots, NOW)


@when(
    "a {kind} request of {work:d} ms with an objective of {objective:d} ms"
    " and a deadline of {deadline:d} ms arrives"
)
def request_arrives(context, kind, work, objective, deadline):
    service_times.record(context.state.service_time_estimates, kind, work / 1000)
    arrive(context, kind, objective / 1000, deadline / 1000, is_late=kind == "late")


@when("a late request with other servers to try arrives")
def first_server(context):
    service_times.record(context.state.service_time_estimates, "late", 0.15)
    arrive(context, "late", 0.7, 2.0, is_late=True, accepts_late=False)


@when("{count:d} slots become free one after another")
def become_free(context, count):
    context.started = []
    running = list(context.state.running_by_attempt)
    for index, attempt in enumerate(running[:count]):
        now = NOW + 0.15 + index / 1000
        decisions = admission.finish(context.state, attempt, NOW, now)
        context.started += [d.request.route for d in decisions if isinstance(d, Admitted)]


@then("it waits as a late one")
def waits(context):
    assert isinstance(context.decision, Queued), context.decision
    assert context.decision.request.is_late, context.decision


@then("the timely request starts first, and then the late one")
def timely_first(context):
    assert context.started == ["timely", "late"], context.started


@then("it is refused at once, and told when to return")
def refused(context):
    assert isinstance(context.decision, Refused), context.decision
    assert context.decision.failure.retry_after_ms > 0, context.decision


@when("{count:d} plays of {seconds:d} seconds of such a load run with late answers and without")
def plays(context, count, seconds):
    load = mesh_load.generous_deadlines(1.0)
    ratios = {"with": late.MIN_DEADLINE_RATIO, "without": math.inf}
    context.kinds, context.outcomes_by_way = load.kinds, {}
    for way, ratio in ratios.items():
        with mock.patch.object(late, "MIN_DEADLINE_RATIO", ratio):
            context.outcomes_by_way[way] = [
                Mesh(load, "objective", "in_time", seed).run(seconds) for seed in range(count)
            ]


def mean_value(context, way):
    values = [outcome.goodput_ratio(context.kinds) for outcome in context.outcomes_by_way[way]]
    return sum(values) / len(values)


@then("the value of the answers is at least {gain:g} higher with late answers")
def more_value(context, gain):
    values = {way: mean_value(context, way) for way in context.outcomes_by_way}
    assert values["with"] >= values["without"] + gain, values


@then("the answers in time are at most {loss:g} fewer")
def in_time(context, loss):
    ratios = {
        way: sum(o.in_time.total() for o in outcomes) / sum(o.requested.total() for o in outcomes)
        for way, outcomes in context.outcomes_by_way.items()
    }
    assert ratios["with"] >= ratios["without"] - loss, ratios


@then("at most {ratio:g} of the requests that waited as late ones were refused afterwards")
def few_dropped(context, ratio):
    outcomes = context.outcomes_by_way["with"]
    queued = sum(outcome.queued_late.total() for outcome in outcomes)
    dropped = sum(outcome.dropped.total() for outcome in outcomes)
    assert queued and dropped <= ratio * queued, (queued, dropped)
