"""Steps for rate limits: simulated time, no network."""

from __future__ import annotations

import heapq
from collections import Counter

from behave import given, then, when

from hornbeamgw.core import admission, service_times
from hornbeamgw.core.admission import Admitted, AttemptId, Queued, Refused, Request
from hornbeamgw.core.declaration import Heard, run_fingerprint
from hornbeamgw.core.dialect import HORNBEAMGW, AnswerHead
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT
from hornbeamgw.core.verdict import Reason, Verdict
from hornbeamgw.daemon import codec, frames
from hornbeamgw.daemon.declarations import ServerDeclarations
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.testing import simulated
from hornbeamgw.testing.simulated import HIGH_LIMITS

SIGNED = HORNBEAMGW._replace(signature=b"signature")
URGENT, NORMAL = 0, 2
SERVICE_S = 0.01
MANY_DIGITS = b"1" * 5000


def answer(*limits, leaving=(), is_signed=True):
    named = [(SIGNED.rate_limit, limit) for limit in limits]
    said = [(SIGNED.leaving, text) for text in leaving]
    signature = [(b"signature", b"s")] if is_signed else []
    return AnswerHead(200, [*signature, *named, *said])


def begin(context, slots=100):
    context.now, context.number, context.started = 100.0, 0, []
    context.left, context.counts = [], Counter()
    context.state = simulated.new_server("objective", slots)
    context.declarations = ServerDeclarations(
        SIGNED, context.counts, context.state, lambda: None, context.left.append
    )
    announced = Announcement("lookup", "10.0.0.1:1", slots, 9, ServerState.SERVING, 1e9, "i-1")
    context.declarations.begin_run(announced)
    service_times.record(context.state.service_time_estimates, "r", SERVICE_S)


def hear(context, head, has_run=True, sent_at=None):
    sent_at = context.now if sent_at is None else sent_at
    context.now += 0.001
    context.declarations.note_answer(head, has_run, sent_at, context.now)


@given("a server whose answers name {limit:g} a second")
def named(context, limit):
    begin(context)
    hear(context, answer(b"%g" % limit))


@when("an answer names 5,000 digits")
def many_digits(context):
    hear(context, answer(MANY_DIGITS))


@when('an answer names "{text}"')
def named_text(context, text):
    hear(context, answer(*(part.encode() for part in text.split('" and "'))))


@when('an answer names ""')
def named_nothing(context):
    hear(context, answer(b""))


@when('an answer says "{text}" on whether it leaves')
def says_leaving(context, text):
    hear(context, answer(b"20", leaving=[part.encode() for part in text.split('" and "')]))


@then("the server leaves")
def leaves(context):
    assert context.left == ["i-1"], context.left


@then("the server stays")
def stays(context):
    assert not context.left


@given("a gate beside a server that has said that it leaves")
def gate_of_leaving(context):
    async def begin_gate():
        context.gate = Gate(lambda: EMPTY_SNAPSHOT, lambda: None)
        context.announced = Announcement(
            "lookup", "10.0.0.1:1", 6, 9, ServerState.SERVING, 1e9, "i-1"
        )
        context.gate.announce(context.announced)
        said = AnswerHead(200, [(HORNBEAMGW.leaving, b"1")])
        context.gate.declarations.note_answer(said, True, 1.0, 1.0)

    context.runner.run(begin_gate())


@when("its announcement expires, and it announces itself as ready")
def announces_again(context):
    async def again():
        context.gate.expire(2e9)
        assert context.gate.announcement is None
        context.gate.announce(context.announced)

    context.runner.run(again())


@then("the gate drains")
def gate_drains(context):
    assert context.gate.state.server_state is ServerState.DRAINING, context.gate.announcement


@then("its limit is {limit:g}")
def has_limit(context, limit):
    assert context.state.rate_limit.limit == limit, context.state.rate_limit.limit


@then("it has no limit")
def no_limit(context):
    assert context.state.rate_limit.limit is None, context.state.rate_limit.limit


@when("an answer names none, to a request from before the last that did")
def names_none_before(context):
    hear(context, answer(), sent_at=context.now - 0.0005)


@when("an answer names none, to a request from after the last that did")
def names_none_after(context):
    context.now += 1.0
    hear(context, answer())


@when("an answer names none, and is a refusal")
def refusal_names_none(context):
    context.now += 1.0
    hear(context, answer(), has_run=False)


@when("an answer names none, and is without a signature")
def unsigned_names_none(context):
    context.now += 1.0
    hear(context, answer(is_signed=False))


def request(context, priority, now):
    context.number += 1
    attempt = AttemptId("a", 1, context.number)
    return Request(
        attempt, "all", HIGH_LIMITS, now + 30, "r", now + 20, 20.0, priority, arrived_at=now
    )


def arrive(context, priority, now):
    """Let a request arrive; one that starts ends at once."""
    asked = request(context, priority, now)
    decision = admission.admit(context.state, asked, simulated.SERVICE, now)
    if isinstance(decision, Admitted):
        context.started.append(priority)
        admission.finish(context.state, asked.attempt, now, now + SERVICE_S)
    return decision


def run(context, rates, seconds):
    context.started, context.arrived = [], Counter()
    moments = sorted(
        (context.now + number / rate, priority)
        for priority, rate in rates.items()
        for number in range(round(rate * seconds))
    )
    for now, priority in moments:
        context.arrived[priority] += 1
        arrive(context, priority, now)
    context.now += seconds


@when("requests arrive {rate:d} times a second for {seconds:d} seconds")
def arrivals(context, rate, seconds):
    run(context, {NORMAL: rate}, seconds)


@when(
    "urgent requests arrive {rate:d} times a second and others {others:d} times a second"
    " for {seconds:d} seconds"
)
def two_priorities(context, rate, others, seconds):
    run(context, {URGENT: rate, NORMAL: others}, seconds)


@then("between {least:d} and {most:d} are started")
def started_between(context, least, most):
    assert least <= len(context.started) <= most, len(context.started)


@then("{ratio:g} of the urgent ones are started")
def urgent_started(context, ratio):
    started, arrived = context.started.count(URGENT), context.arrived[URGENT]
    assert started >= ratio * arrived, (started, arrived)


@when("it is idle for {seconds:d} seconds, and its limit falls to {limit:g}")
def falls(context, seconds, limit):
    context.now += seconds
    hear(context, answer(b"%g" % limit))


@when("its limit rises to {limit:g}")
def rises(context, limit):
    hear(context, answer(b"%g" % limit))


@given("a server without a limit, with {slots:d} slots, at which 2 requests run and 6 wait")
def waiting(context, slots):
    begin(context, slots)
    priorities = [NORMAL, NORMAL, NORMAL, NORMAL, URGENT, NORMAL, NORMAL, NORMAL]
    decisions = [
        admission.admit(
            context.state, request(context, p, context.now), simulated.SERVICE, context.now
        )
        for p in priorities
    ]
    assert [type(d) for d in decisions] == [Admitted] * 2 + [Queued] * 6, decisions


@when("it names a limit of {limit:g} a second")
def names(context, limit):
    hear(context, answer(b"%g" % limit))
    context.decisions = admission.next_decisions(context.state, context.now)


@then("{count:d} of those that wait are refused, and the most urgent one still waits")
def shed(context, count):
    refused = [d for d in context.decisions if isinstance(d, Refused)]
    reasons = {(d.failure.reason, d.failure.verdict) for d in refused}
    assert len(refused) == count and len(refused) == len(context.decisions), context.decisions
    assert reasons == {(Reason.RATE_LIMITED, Verdict.NOT_RUN)}, reasons
    assert [r.priority for r in context.state.queue] == [URGENT], context.state.queue


@when(
    "{count:d} requests arrive at once, {urgent:d} of them urgent,"
    " and those that are refused come back when told"
)
def come_back(context, count, urgent):
    context.tries, context.began = Counter(), context.now + 10
    is_urgent = [number * urgent % count < urgent for number in range(count)]
    assert sum(is_urgent) == urgent
    priorities = [URGENT if each else NORMAL for each in is_urgent]
    context.priorities = priorities
    coming = [(context.began, number) for number in range(count)]
    while coming:
        now, number = heapq.heappop(coming)
        context.tries[number] += 1
        decision = arrive(context, priorities[number], now)
        if isinstance(decision, Refused):
            wait = decision.failure.retry_after_ms / 1000
            heapq.heappush(coming, (now + wait, number))
        context.ended = now


@then("all {count:d} are started within {seconds:g} seconds")
def all_started(context, count, seconds):
    assert len(context.started) == count, len(context.started)
    assert context.ended - context.began <= seconds, context.ended - context.began


@then("all of them are started at the first or second try")
def tries(context):
    assert max(context.tries.values()) <= 2, context.tries


@then("all urgent ones are started at the first or second try")
def tries_of_urgent(context):
    tries_by_number = {n: c for n, c in context.tries.items() if context.priorities[n] == URGENT}
    assert max(tries_by_number.values()) <= 2, tries_by_number


def limit_of(text):
    return None if text == "none" else float(text)


def crossed(limit):
    heard = Heard(7, limit, True)
    call = frames.Call(1, "c", "s", "e", True, 9, 1, b"", b"", True, heard=heard)
    reply = frames.Reply(1, 200, b"", b"", True, 3, declared=heard)
    return [
        codec.decode_frame(codec.encode_frame(frame)[codec.LENGTH_PREFIX_BYTES :]) == frame
        for frame in (call, reply)
    ]


@then("a limit of {limit} that was heard arrives")
def arrives(context, limit):
    assert crossed(limit_of(limit)) == [True, True]


@then("a limit of {limit} that was heard is no frame")
def refused_by_codec(context, limit):
    try:
        crossed(limit_of(limit))
    except codec.CodecError as error:
        assert "rate limit" in str(error), error
        return
    raise AssertionError(f"{limit} was decoded")


@given("a server that has not answered yet")
def silent(context):
    begin(context)


@given("a server that has answered")
def answered(context):
    begin(context)
    hear(context, answer())


@when("a request is sent, and another daemon tells again of a limit of {limit:g}")
def tells_again(context, limit):
    context.sent_at = context.now
    context.now += 0.5
    heard_elsewhere(context, limit, "this run")


@when("an answer to that request names none")
def names_none_to_that(context):
    hear(context, answer(), sent_at=context.sent_at)


RUNS = {
    "this run": run_fingerprint("i-1", 0),
    "another run": run_fingerprint("i-0", 0),
    "a nameless one": run_fingerprint("", 0),
}


@when("another daemon has heard a limit of {limit:g} from {run}")
def heard_elsewhere(context, limit, run):
    before = context.state.rate_limit.limit
    context.declarations.note_heard(Heard(RUNS[run], limit, False), context.now)
    is_learned = context.state.rate_limit.limit != before
    context.learned = getattr(context, "learned", 0) + is_learned
    assert context.counts["declarations.heard"] == context.learned, context.counts
