"""Steps for fairness: one server with five slots, in simulated time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter

from behave import then, when

from hornbeamgw.core import admission, fairness
from hornbeamgw.core.admission import Admitted, AttemptId, Request
from hornbeamgw.core.slots import FairnessState
from hornbeamgw.core.snapshot import Organisation
from hornbeamgw.testing import simulated

ORGANISATIONS, SIZE_EXPONENT = 30, 1.2
SLOTS, SERVICE_S, OBJECTIVE_S, DEADLINE_S = 5, 0.178, 0.579, 1.242
LOAD = 0.8
QUOTA_RATIO = 1.6
SIZES = [1 / rank**SIZE_EXPONENT for rank in range(1, ORGANISATIONS + 1)]
RATES = [size / sum(SIZES) * LOAD * SLOTS / SERVICE_S for size in SIZES]


def name_of(rank):
    return f"organisation-{rank}"


class Play:
    """One play of a server that requests of organisations reach."""

    def __init__(self, seed, excess_rank=0):
        self.rng = random.Random(seed)
        self.state = simulated.new_server("objective", SLOTS)
        quotas = {
            name_of(rank): Organisation(name_of(rank), 0, QUOTA_RATIO * rate, 0.0)
            for rank, rate in enumerate(RATES, 1)
        }
        self.state.fairness.weights_by_organisation = fairness.weights(quotas)
        self.rates = list(RATES)
        if excess_rank:
            self.rates[excess_rank - 1] *= 10
        self.requested, self.in_time = Counter(), Counter()
        self.running, self.order = [], itertools.count()

    def run(self, seconds):
        now, ranks = 0.0, range(1, ORGANISATIONS + 1)
        while now < seconds:
            now += self.rng.expovariate(sum(self.rates))
            self.finish_until(now)
            self.arrive(now, self.rng.choices(ranks, self.rates)[0])
        self.finish_until(now + 100)
        return self

    def arrive(self, now, rank):
        self.requested[rank] += 1
        attempt = AttemptId("a", rank, next(self.order))
        request = Request(
            attempt, "all", simulated.HIGH_LIMITS, now + DEADLINE_S, "lookup", now + OBJECTIVE_S,
            OBJECTIVE_S, 1, arrived_at=now, organisation=name_of(rank),
        )  # fmt: skip
        self.begin(now, [admission.admit(self.state, request, simulated.SERVICE, now)])

    def begin(self, now, decisions):
        for decision in decisions:
            if isinstance(decision, Admitted):
                end = now + SERVICE_S * self.rng.lognormvariate(-0.125, 0.5)
                heapq.heappush(self.running, (end, next(self.order), now, decision.request))

    def finish_until(self, limit):
        while self.running and self.running[0][0] <= limit:
            end, _, started, request = heapq.heappop(self.running)
            self.in_time[request.attempt.incarnation] += end <= request.objective
            self.begin(end, admission.finish(self.state, request.attempt, started, end))


def in_time_ratio(plays, ranks):
    requested = sum(play.requested[rank] for play in plays for rank in ranks)
    return sum(play.in_time[rank] for play in plays for rank in ranks) / requested


@when(
    "the organisation of rank {rank:d} sends ten times its usual load,"
    " in {count:d} plays of {seconds:d} seconds"
)
def excess(context, rank, count, seconds):
    context.usual = [Play(seed).run(seconds) for seed in range(count)]
    context.plays = [Play(seed, rank).run(seconds) for seed in range(count)]
    context.others = [other for other in range(1, ORGANISATIONS + 1) if other != rank]


@then("the others are answered in time within {difference:g} of what they are without it")
def others_served(context, difference):
    ratios = [in_time_ratio(plays, context.others) for plays in (context.usual, context.plays)]
    assert ratios[1] >= ratios[0] - difference, ratios


@then("the smallest tenth of them is answered in time within {difference:g} of their mean")
def smallest_served(context, difference):
    mean = in_time_ratio(context.plays, context.others)
    smallest = in_time_ratio(context.plays, context.others[-ORGANISATIONS // 10 :])
    assert smallest >= mean - difference, (smallest, mean)


@when("no organisation sends more than usual, in {count:d} plays of {seconds:d} seconds")
def usual(context, count, seconds):
    context.plays = [Play(seed).run(seconds) for seed in range(count)]


@then("the largest three are answered in time within {difference:g} of the mean")
def largest_served(context, difference):
    mean = in_time_ratio(context.plays, range(1, ORGANISATIONS + 1))
    largest = in_time_ratio(context.plays, (1, 2, 3))
    assert largest >= mean - difference, (largest, mean)


@when("{count:d} organisations have sent one request each")
def many(context, count):
    context.fairness = FairnessState()
    for number in range(count):
        now = number / 10
        fairness.record_demand(context.fairness, name_of(number), SLOTS, now)
        fairness.record_start(context.fairness, name_of(number), SERVICE_S, SLOTS, now)


@then("at most {count:d} of them are remembered")
def remembered(context, count):
    assert len(context.fairness.finish_by_organisation) <= count
    assert len(context.fairness.active_by_organisation) <= count


@when("{count:d} requests without an organisation are queued")
def without(context, count):
    context.queue = [
        Request(AttemptId("a", 1, number), "all", simulated.HIGH_LIMITS, DEADLINE_S)
        for number in range(count)
    ]


@then("none of them is ahead of its share")
def none_ahead(context):
    ahead = fairness.leads_ahead_of_share(
        FairnessState(), context.queue, lambda request: SERVICE_S, SLOTS, 0.0
    )
    assert not ahead and fairness.behind_their_rank(context.queue, ahead) == context.queue
