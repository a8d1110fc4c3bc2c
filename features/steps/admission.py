"""Steps for admission."""

from __future__ import annotations

from behave import given, then, when

from hornbeamgw.core import admission
from hornbeamgw.core.admission import Admitted, AttemptId, Queued, Refused, Request
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.snapshot import Limits

DEADLINE = 5.0


@given('a backend server of "{service}" with {slots:d} slots that is "{state}"')
def server(context, service, slots, state):
    context.state = admission.AdmissionState()
    context.state.service = service
    context.state.slots = slots
    context.state.server_state = ServerState[state.upper()]
    context.number = 0
    context.requests = []


@given('{count:d} of its slots are reserved for "{entry}"')
def reserve(context, count, entry):
    context.state.reserved_by_entry = {entry: count}


def arrive(context, service, limits, entry="bulk", deadline=DEADLINE):
    context.number += 1
    request = Request(AttemptId("a", 1, context.number), entry, limits, deadline)
    context.requests.append(request)
    return admission.admit(context.state, request, service, 0.0)


@when('a request for "{service}" arrives')
def one(context, service):
    context.decisions = [arrive(context, service, Limits(2, 0, 0))]


@when(
    '{n:d} requests of "{entry}" with {slots:d} slots, {res:d} reserved and queue {queue:d} arrive'
)
def many(context, n, entry, slots, res, queue):
    limits = Limits(slots, res, queue)
    context.decisions = [arrive(context, "roster", limits, entry) for _ in range(n)]


@then('it is refused as "{reason}" with verdict "{verdict}"')
def refused(context, reason, verdict):
    (decision,) = context.decisions
    assert isinstance(decision, Refused), decision
    assert decision.failure.reason == reason and decision.failure.verdict == verdict
    assert not context.state.running_by_attempt


@then("{count:d} of them is admitted")
def admitted(context, count):
    assert sum(isinstance(d, Admitted) for d in context.decisions) == count, context.decisions


@when("time passes their deadline")
def late(context):
    context.dropped = admission.next_decisions(context.state, DEADLINE + 1)


@then('the queued ones are refused as "{reason}" with a time to come back')
def dropped(context, reason):
    assert len(context.dropped) == 2
    for decision in context.dropped:
        assert decision.failure.reason == reason and decision.failure.retry_after_ms > 0


@when("requests arrive with deadlines 9, 7 and 5")
def deadlines(context):
    decisions = [arrive(context, "roster", Limits(1, 0, 5), deadline=d) for d in (9.0, 7.0, 5.0)]
    assert [type(d) for d in decisions] == [Admitted, Queued, Queued]


@when("the first one ends")
def first_ends(context):
    context.after = admission.finish(context.state, context.requests[0].attempt, 0.0, 0.1)


@then("the one with deadline {deadline:d} runs next")
def nearest(context, deadline):
    assert [d.request.deadline for d in context.after] == [deadline], context.after


@when("somebody asks about an attempt that has not arrived")
def ask_unknown(context):
    context.asked = AttemptId("a", 1, 77)
    context.answer = admission.resolve(context.state, context.asked, 1.0, 0.0)


@when("somebody asks about an attempt older than the memory")
def ask_old(context):
    age = admission.ATTEMPT_RETENTION_S
    context.answer = admission.resolve(context.state, AttemptId("a", 1, 77), age, 100.0)


@when("the same attempt arrives again")
def again(context):
    context.second = admission.admit(context.state, context.requests[0], "roster", 0.1)


@then('the second is refused with verdict "{verdict}" and one runs')
def refused_again(context, verdict):
    assert isinstance(context.second, Refused), context.second
    assert context.second.failure.verdict == verdict, context.second
    assert len(context.state.running_by_attempt) == 1


@when("somebody asks about that attempt")
def ask_running(context):
    context.answer = admission.resolve(context.state, context.requests[0].attempt, 1.0, 0.0)


@when("somebody asks about the queued attempt")
def ask_queued(context):
    context.answer = admission.resolve(context.state, context.requests[1].attempt, 1.0, 0.0)


@then('the answer is "{verdict}"')
def answer(context, verdict):
    assert context.answer == verdict, context.answer


@then('the attempt is refused as "{reason}" when it arrives late')
def fenced(context, reason):
    request = Request(context.asked, "bulk", Limits(2, 0, 0), DEADLINE)
    decision = admission.admit(context.state, request, "roster", 0.5)
    assert isinstance(decision, Refused) and decision.failure.reason == reason, decision


@then("the end of the first one admits nothing")
def admits_nothing(context):
    assert admission.finish(context.state, context.requests[0].attempt, 0.0, 0.1) == []
