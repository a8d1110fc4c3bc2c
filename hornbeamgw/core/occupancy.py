"""Occupancy: which slots of a backend server are used by requests that nobody waits for.

Requests are cut off when their deadline passes, their caller leaves or their connection is lost. To
close the connection does not end the work at every server. If the server answers all the same, the
work has ended. If it closes its end, it has either stopped the work or goes on with it unseen. The
slot then counts as used for as long as such a request may take, unless this server is known to stop
the work on requests whose connection is closed.

That is learned from health checks, which wait for a slot like other requests. If one is answered at
once while the requests that run, together with those just cut off, would use all slots, the server
has probably stopped one of the latter. Checks that are answered while requests that were not cut
off use all slots do not wait for a slot, and teach nothing.

A daemon that has just been started knows nothing of the requests of its former process. Daemons
that had sent some tell it for how long they may go on. So long, the server counts as full.
"""

from __future__ import annotations

import enum
import math
from typing import NamedTuple

from hornbeamgw.core import rate_limit, service_times
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.service_times import Estimate, ServiceTimes
from hornbeamgw.core.slots import AdmissionState, AttemptId, CutRequest, ServerHabits

# Mean absolute deviations above the mean service time that few requests exceed: one in 50 of an
# exponential distribution.
LONGEST_DEVIATIONS = 4.0
# Margin for servers that are slower while they are busy, relative to the mean service time.
MEAN_MARGIN_FACTOR = 1.25
# Longest service time of a route without an estimate, relative to the time until the cut and to the
# typical service time.
UNMEASURED_FACTOR = 3.0
# Longest time after the cut for which a request counts as running at a server without any sign of
# life.
MAX_HOLD_S = 10.0
# Interval between two health checks of a server. The long one is for a server that probably goes
# on, or has failed the last check.
CHECK_INTERVAL_S = 0.05
LONG_CHECK_INTERVAL_S = 0.5
# A health check that is answered within this time has not waited for a slot. One is sent only if it
# could be expected to wait longer, with at least the given probability.
CHECK_S = 0.01
MIN_WAIT_PROBABILITY = 0.8
# Checks that must have been seen to wait while other requests used all slots.
MIN_WAITS = 2
# Probability that a check is answered within `CHECK_S` at a server with a free slot.
PROMPT_PROBABILITY = 0.9
# Added to the probability of a free slot, as the estimates of service times are inexact.
ESTIMATE_MARGIN = 0.1
# Likelihood ratio of a prompt answer after another request has ended, which explains it as well.
EXPLAINED_RATIO = 0.7
# Evidence from which a server counts as one that stops the work. The evidence of a server that goes
# on reaches it with a probability of one in as many at most.
MIN_EVIDENCE = 100.0
# Ratio of the standard deviation to the mean absolute deviation of a normal distribution.
DEVIATION_RATIO = 1.25
MIN_DEVIATION_S = 0.001
# Service times with a larger ratio of deviation to mean may be distributed exponentially, for which
# it is 0.74.
MAX_REGULAR_RATIO = 0.3


def former_work_until(started_at: float, typical: float) -> float:
    """Return the time (s) until which a request may go on that was sent through a lost daemon.

    It was sent at `started_at` (s), and requests of its route typically take `typical` seconds.
    """
    return started_at + min(MAX_HOLD_S, UNMEASURED_FACTOR * typical)


def longest_time(times: ServiceTimes, cut: CutRequest) -> float:
    """Return the time in seconds that a request may take from its start."""
    known = times.estimates_by_route.get(cut.route)
    if known is None:
        until_cut = cut.cut_at - cut.started_at
        return min(MAX_HOLD_S, UNMEASURED_FACTOR * max(until_cut, cut.typical))
    return MEAN_MARGIN_FACTOR * known.mean + LONGEST_DEVIATIONS * known.deviation


def free_at(habits: ServerHabits, times: ServiceTimes, cut: CutRequest) -> float:
    """Return the time (s) at which the slot of a request without an answer counts as free.

    A server that stood still may begin the work only when it shows signs of life again.
    """
    longest = longest_time(times, cut)
    if cut.closed_at is not None:
        return cut.closed_at if habits.stops_on_close else cut.started_at + longest
    return cut.cut_at + MAX_HOLD_S if cut.alive_at is None else cut.alive_at + longest


def with_life(habits: ServerHabits, times: ServiceTimes, cut: CutRequest) -> CutRequest:
    """Return a request with the server's first sign of life after its expected end."""
    if cut.alive_at is None and habits.alive_at > cut.started_at + longest_time(times, cut):
        return cut._replace(alive_at=habits.alive_at)
    return cut


def record_cut(times: ServiceTimes, cut: CutRequest) -> None:
    """Update the service time of a route with a request that would have taken longer.

    That teaches nothing unless few requests, or without a measurement not the typical one, take as
    long as it had until the cut.
    """
    elapsed = cut.cut_at - cut.started_at
    known = times.estimates_by_route.get(cut.route)
    if known is not None and elapsed > known.mean + LONGEST_DEVIATIONS * known.deviation:
        service_times.record(times, cut.route, elapsed)
    if known is None and elapsed > cut.typical:
        times.estimates_by_route[cut.route] = Estimate(elapsed, elapsed)


class Outcome(enum.StrEnum):
    """What a health check has shown.

    `WAITED` and `NO_WAIT` show whether checks wait for a slot, `WEIGHED` and `LEARNED` whether the
    server stops the work on requests that are cut off.
    """

    NOTHING = "nothing"
    WAITED = "waited"
    NO_WAIT = "no_wait"
    WEIGHED = "weighed"
    LEARNED = "learned"


class SlotCheck(NamedTuple):
    """A health check under way.

    Attributes
    ----------
    sent_at : float
        Time (s) at which it was sent.
    running : frozenset
        The requests that ran then and had not been cut off.
    free_probability : float
        Probability that it finds a free slot within `CHECK_S` if no request was stopped.
    """

    sent_at: float
    running: frozenset[AttemptId]
    free_probability: float


def _running(state: AdmissionState) -> frozenset[AttemptId]:
    """Return the running requests that were not cut off."""
    return frozenset(state.running_by_attempt.keys() - state.cuts_by_attempt.keys())


def _longer_than(known: Estimate, age: float) -> float:
    """Return the probability that a request takes longer, by a normal distribution."""
    deviation = max(MIN_DEVIATION_S, DEVIATION_RATIO * known.deviation)
    return math.erfc((age - known.mean) / deviation / math.sqrt(2)) / 2


def _survival(known: Estimate, cut: CutRequest, now: float) -> float:
    """Return the probability that a request that is not stopped still runs.

    If service times vary much, it is the smaller one for a normal and an exponential distribution.
    """
    at_cut = _longer_than(known, cut.cut_at - cut.started_at)
    normal = _longer_than(known, now - cut.started_at) / at_cut if at_cut else 0.0
    if known.deviation <= MAX_REGULAR_RATIO * known.mean:
        return normal
    return min(normal, math.exp((cut.cut_at - now) / known.mean))


def _free_slot_probability(state: AdmissionState, running: int, until: float) -> float:
    """Return the probability of a free slot at a time (s) if no request is stopped."""
    estimates = state.service_time_estimates.estimates_by_route
    survivals = [
        _survival(estimates[cut.route], cut, until)
        for cut in state.cuts_by_attempt.values()
        if cut.route in estimates and cut.closed_at is not None
    ]
    # The probability of each number of requests that have ended.
    ended = [1.0]
    for survival in survivals:
        ended = [
            (ended[n] * survival if n < len(ended) else 0.0)
            + (ended[n - 1] * (1 - survival) if n else 0.0)
            for n in range(len(ended) + 1)
        ]
    return sum(ended[max(0, running + len(survivals) - state.slots + 1) :])


def is_check_due(state: AdmissionState, now: float) -> bool:
    """Return whether a health check sent now may show something that is not known yet."""
    habits = state.habits
    if habits.stops_on_close or habits.is_check_useless or not habits.has_cut_any:
        return False
    if state.server_state is not ServerState.SERVING or now < habits.next_check_at:
        return False
    if rate_limit.is_limited(state.rate_limit):
        return False
    running = len(_running(state))
    if habits.checks_waited < MIN_WAITS:
        return running >= state.slots
    free = _free_slot_probability(state, running, now + CHECK_S)
    return running < state.slots and free <= 1 - MIN_WAIT_PROBABILITY


def begin_check(state: AdmissionState, now: float) -> SlotCheck:
    """Return a check that is sent now."""
    is_unlikely = state.habits.evidence < 1.0
    interval = LONG_CHECK_INTERVAL_S if is_unlikely else CHECK_INTERVAL_S
    state.habits.next_check_at = now + interval
    running = _running(state)
    free = _free_slot_probability(state, len(running), now + CHECK_S)
    return SlotCheck(now, running, free)


def _likelihood_ratio(is_prompt: bool, is_explained: bool, free: float) -> float:
    """Return how much more likely an answer is if the server stops what is cut off.

    `free` is the probability of a free slot if it goes on, in which case the expectation of the
    result is at most 1.
    """
    if not is_prompt:
        return (1 - PROMPT_PROBABILITY) / max(ESTIMATE_MARGIN, 1 - free - ESTIMATE_MARGIN)
    return EXPLAINED_RATIO if is_explained else PROMPT_PROBABILITY / (free + ESTIMATE_MARGIN)


def record_check(state: AdmissionState, check: SlotCheck, is_answered: bool, now: float) -> Outcome:
    """Record that a check was answered now, or has failed, and return what it has shown."""
    habits = state.habits
    running = len(check.running & _running(state))
    is_prompt = is_answered and now <= check.sent_at + CHECK_S
    if not is_answered:
        habits.next_check_at = now + LONG_CHECK_INTERVAL_S
    if len(check.running) >= state.slots:
        if is_answered and running >= state.slots:
            habits.is_check_useless = True
            return Outcome.NO_WAIT
        if is_prompt or not is_answered:
            return Outcome.NOTHING
        habits.checks_waited += 1
        return Outcome.WAITED
    is_explained = running < len(check.running)
    habits.evidence *= _likelihood_ratio(is_prompt, is_explained, check.free_probability)
    # Lets a server that stops the work be recognised after some checks that were slow.
    habits.evidence = max(1 / MIN_EVIDENCE, habits.evidence)
    if habits.evidence < MIN_EVIDENCE:
        return Outcome.WEIGHED
    habits.stops_on_close = True
    return Outcome.LEARNED


def record_full(state: AdmissionState) -> None:
    """Record that the server refused a request for want of a slot that counted as free."""
    state.habits.stops_on_close = False
    state.habits.evidence = 1.0
