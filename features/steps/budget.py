"""Steps for retry budgets, splits and returns: plain functions, no network."""

from __future__ import annotations

import random
from collections import Counter

from behave import given, then, when

from hornbeamgw.core import caller_retries, retry_budget, split
from hornbeamgw.core.organisations.rank import rank
from hornbeamgw.core.retry_budget import Bound, BudgetState
from hornbeamgw.core.snapshot import Destination, Entry, Limits, Organisation, Route

MANY_TRIES = 200
ENTRY = Entry("all", "o", "c", Limits(1, 0, 0))
ROUTE = Route("r", "h", "/", frozenset(), (), ENTRY, True, 500, 200, 2, 1)


@given("{count:d} daemons with a bound of {ratio:g} and a slack of {slack:d} in {window:g} seconds")
def daemons(context, count, ratio, slack, window):
    context.bound = Bound(ratio, slack, window)
    context.states = [BudgetState(context.bound) for _ in range(count)]
    for state in context.states:
        retry_budget.note_members(state, count)


@when("each wants to repeat all of its {rate:d} requests a second for {seconds:d} seconds")
def repeat_all(context, rate, seconds):
    context.requests, context.repeats = [], []
    for number in range(rate * seconds):
        now = number / rate
        for state in context.states:
            retry_budget.note_request(state, "roster", now)
            context.requests.append(now)
            if retry_budget.take_retry(state, "roster", now):
                context.repeats.append(now)


@when("each wants to repeat half of {urgent:d} urgent and {other:d} other requests a second for {seconds:d} seconds")  # fmt: skip  # noqa: E501
def repeat_half(context, urgent, other, seconds):
    rng = random.Random(3)
    context.requests, context.repeats, context.urgent = [], [], 0
    rate = urgent + other
    for number in range(rate * seconds):
        now = number / rate
        for state in context.states:
            priority = 1 if rng.random() < urgent / rate else 2
            retry_budget.note_request(state, "roster", now, priority)
            context.requests.append(now)
            wants = rng.random() < 0.5
            if wants and retry_budget.take_retry(state, "roster", now, priority):
                context.repeats.append(now)
                context.urgent += priority == 1


@then("at least {part:g} of the repeats were urgent")
def mostly_urgent(context, part):
    assert context.urgent >= part * len(context.repeats), (context.urgent, len(context.repeats))


def in_window(times, end, window):
    return sum(end - window < time <= end for time in times)


def allowed(context, end):
    requests = in_window(context.requests, end, context.bound.window)
    return context.bound.ratio * requests + context.bound.slack


@then("no window of {window:d} seconds holds more repeats than the bound")
def bounded(context, window):
    for end in range(1, 31):
        assert in_window(context.repeats, end, window) <= allowed(context, end)


@then("at least half of the bound was used")
def used(context):
    assert in_window(context.repeats, 20, 10) >= 0.5 * allowed(context, 20)


@when("{count:d} requests begin beside a server half of whose work is repeated")
def inner(context, count):
    (state,) = context.states
    for _ in range(count):
        retry_budget.note_request(state, "roster", 1.0)
        retry_budget.note_nested_retry(state, "roster", 0.5, 1.0)


@then("no repeat is allowed")
def none_allowed(context):
    assert not retry_budget.take_retry(context.states[0], "roster", 1.0)


@given('{count:d} daemons that share a route "{weights}"')
def route(context, count, weights):
    parsed = [int(weight) for weight in weights.split(",")]
    parts = [Destination(f"s{i}", w / sum(parsed)) for i, w in enumerate(parsed)]
    context.weights = {part.service: part.share for part in parts}
    kept = tuple(part for part in parts if part.share)
    methods = frozenset({"*"})
    context.route = Route("r", "h", "/", methods, kept, ENTRY, True, 500, 200, 2, 1)
    context.splits = [(split.SplitState(), random.Random(seed)) for seed in range(count)]


@when("each of them hands out {count:d} requests")
def hand_out(context, count):
    context.chosen = Counter(
        split.choose(state, context.route, rng)
        for state, rng in context.splits
        for _ in range(count)
    )


@then("each part's share is within {error:g} of its weight")
def shares(context, error):
    total = sum(context.chosen.values())
    for service, weight in context.weights.items():
        assert abs(context.chosen[service] / total - weight) <= error + 1e-9, context.chosen


@given('callers of "{name}" have {left:d} ms at first')
def first_tries(context, name, left):
    context.caller_retries, context.name, context.left = caller_retries.ReturnState(), name, left
    assert caller_retries.elapsed_before(context.caller_retries, name, left, 0.0) == 0


@when("one comes with {left:d} ms")
def comes(context, left):
    context.elapsed = caller_retries.elapsed_before(context.caller_retries, context.name, left, 0.1)


@given('first tries of "{name}" whose times differ between {low:d} and {high:d} ms')
def differing_first_tries(context, name, low, high):
    context.caller_retries, context.name = caller_retries.ReturnState(), name
    rng = random.Random(1)
    for _ in range(MANY_TRIES):
        caller_retries.elapsed_before(context.caller_retries, name, rng.randint(low, high), 0.0)


@then("it is taken for a first try")
def first(context):
    assert context.elapsed == 0


@then("it has tried for {elapsed:d} ms")
def tried(context, elapsed):
    assert abs(context.elapsed - elapsed / 1000) < 1e-9, context.elapsed


@then("it has tried for about {elapsed:d} ms")
def tried_about(context, elapsed):
    assert abs(context.elapsed - elapsed / 1000) < 0.02, context.elapsed


@when(
    "{urgent:d} requests of an organisation of priority 0 "
    "and {others:d} of one of priority 1 arrive"
)
def organisations_arrive(context, urgent, others):
    state = context.states[0]
    for number in range(urgent + others):
        priority = rank(Organisation("o", int(number >= urgent)), ROUTE)
        retry_budget.note_request(state, "roster", 1.0, priority)


@then("{count:d} repeats of the latter are allowed")
def repeats_allowed(context, count):
    priority = rank(Organisation("o", 1), ROUTE)
    taken = sum(
        retry_budget.take_retry(context.states[0], "roster", 1.0, priority) for _ in range(100)
    )
    assert taken == count, taken
