"""Queueing: policies that decide which requests may wait for a slot, and in which order.

A backend server runs at most one request per slot.

The *deadline* policy queues a request if it can still meet its deadline, earliest deadline first.

The *objective* policy aims at answers within the latency objective. A request is queued only if

- it is expected to end within its objective, given all running and queued requests,
- it does not delay an equally or more urgent request beyond its objective, and
- shorter requests are still expected to get a slot in time.

Other requests are refused at once, so that the caller's daemon can try another server. A queued
request is dropped only if more urgent ones delay it too much, or if its deadline can no longer be
met. A request that will miss its objective but not its deadline runs only if enough slots are free.

Long requests leave free slots to short, more urgent ones (`kept_slots`), whose callers hold a slot
of another service while they wait.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Sequence

from hornbeamgw.core import fairness, former_work, kept_slots, late, service_times
from hornbeamgw.core.slots import (
    AdmissionState,
    QueuePolicy,
    Request,
    RouteSlack,
    SlotUse,
    policies_by_name,
)
from hornbeamgw.core.verdict import Reason

# Expected service time on a server that has just started, relative to a warm server. Used for
# routes without a measurement. Servers of known deployments work at half their speed until they are
# warm.
COLD_SERVICE_TIME_FACTOR = 2.0
# Ratio of the latency objective that is reserved for the network and for estimation errors.
OBJECTIVE_MARGIN_RATIO = 0.1
# A request counts as able to meet its deadline if it is expected to end within this ratio of the
# time that is left until the deadline.
DEADLINE_USE_RATIO = 0.85
# A request is queued only if its expected wait is at most this ratio of the time that requests of
# shorter routes can wait within their latency objective.
MAX_SLACK_USE_RATIO = 0.5
# A route counts as shorter than a request if its service time is below `SHORTER_WORK_RATIO` of the
# request's, and if the route's last request arrived less than `SLACK_RETENTION_S` ago.
SHORTER_WORK_RATIO = 0.5
SLACK_RETENTION_S = 2.0
# Longest wait that is aimed at for a request, as a multiple of its service time. Without it, calls
# of 19 ms waited 55 to 100 ms at three quarters of the load, and so did the slots of their callers.
TARGET_WAIT_FACTOR = 3.0
# The average slot use of a route decays exponentially with this time constant.
SLOT_USE_TIME_CONSTANT_S = 2.0
# A request that will miss its latency objective and is not a retry starts only if at least this
# number of slots stays free.
MIN_SPARE_SLOTS_FOR_LATE = 1


def start_times(slots_free_at: Iterable[float], durations: Sequence[float]) -> list[float]:
    """Return the start time of each queued request in seconds; infinite if there are no slots.

    Each request, in queue order, takes the slot that becomes free first (list scheduling).

    Parameters
    ----------
    slots_free_at : iterable of float
        Time in seconds at which each slot becomes free.
    durations : sequence of float
        Service time in seconds of each request, in queue order.
    """
    slots = list(slots_free_at)
    if not slots:
        return [float("inf")] * len(durations)
    heapq.heapify(slots)
    starts = []
    for duration in durations:
        start = slots[0]
        starts.append(start)
        heapq.heapreplace(slots, start + duration)
    return starts


# Earliest deadline first


def _deadline_wait(state: AdmissionState, request: Request, now: float) -> float:
    """Return the expected wait for a slot in seconds, behind requests with an earlier deadline."""
    ahead = sum(queued.deadline <= request.deadline for queued in state.queue)
    usable = former_work.usable_slots(state, now)
    if usable:
        return (ahead + 1) * state.mean_service_time / usable
    former = former_work.held_until(state, now) - now if former_work.is_held(state, now) else 0.0
    return former + (ahead + 1) * state.mean_service_time / max(1, state.slots)


def _is_too_late(state: AdmissionState, request: Request, start: float, now: float) -> bool:
    """Return whether a request that starts at a time (s) can't be expected to meet its deadline."""
    known = state.service_time_estimates.estimates_by_route.get(request.route)
    service_time = state.mean_service_time / 2 if known is None else known.mean
    return start >= request.deadline or not _can_meet_deadline(request, start + service_time, now)


def _deadline_refusal(state: AdmissionState, request: Request, now: float) -> Reason | None:
    start = now + _deadline_wait(state, request, now)
    return Reason.QUEUE_TIMEOUT if _is_too_late(state, request, start, now) else None


def _deadline_order(state: AdmissionState, now: float) -> list[Request]:
    return sorted(state.queue, key=lambda r: r.deadline)


def _deadline_too_late(state: AdmissionState, now: float) -> list[Request]:
    return [r for r in state.queue if _is_too_late(state, r, now, now)]


def _deadline_retry_after(state: AdmissionState, request: Request, now: float) -> float:
    return state.mean_service_time * (1 + len(state.queue))


# Latency objective


def expected_service_time(state: AdmissionState, request: Request, now: float) -> float:
    """Return the expected service time in seconds of a request that starts now."""
    mean = service_times.expected_time(
        state.service_time_estimates, request.route, request.latency_objective
    )
    is_measured = request.route in state.service_time_estimates.estimates_by_route
    return mean * (COLD_SERVICE_TIME_FACTOR if now < state.warm_at and not is_measured else 1.0)


def slot_free_times(state: AdmissionState, now: float) -> list[float]:
    """Return the time (s) at which each slot is expected to become free."""
    free = []
    for attempt, request in state.running_by_attempt.items():
        age = now - state.started_by_attempt.get(attempt, now)
        free.append(now + service_times.remaining(expected_service_time(state, request, now), age))
    # More requests than there are slots may run after the server has announced fewer.
    free = sorted(free)[max(0, len(free) - state.slots) :]
    usable = max(0, former_work.usable_slots(state, now) - len(free))
    held = state.slots - len(free) - usable
    return free + [now] * usable + [former_work.held_until(state, now)] * held


def _latest_end(request: Request) -> float:
    """Return the time (s) by which a request must end to be answered within its objective.

    A margin and the time to transfer the answer are subtracted.
    """
    return request.objective - OBJECTIVE_MARGIN_RATIO * request.latency_objective - request.transfer


def _target_start(state: AdmissionState, request: Request, now: float) -> float:
    """Return the time (s) by which a request should start.

    This is the latest start that meets the objective, or earlier for short requests, since their
    callers often hold a slot of another service while they wait.
    """
    service_time = expected_service_time(state, request, now)
    return min(
        _latest_end(request) - service_time, request.arrived_at + TARGET_WAIT_FACTOR * service_time
    )


def _by_target_start(
    state: AdmissionState, requests: Sequence[Request], now: float
) -> list[Request]:
    """Return the requests sorted by target start, the earliest first, and late ones last.

    Requests of organisations that are ahead of their shares go behind the others of their rank.
    """
    ordered = sorted(
        requests, key=lambda r: (_waits_as_late(state, r, now), _target_start(state, r, now))
    )
    return fairness.behind_their_rank(ordered, _ahead_of_share(state, requests, now))


def _ahead_of_share(
    state: AdmissionState, requests: Sequence[Request], now: float
) -> dict[Request, float]:
    """Return the leads of organisations ahead of their shares; `requests` by arrival."""
    return fairness.leads_ahead_of_share(
        state.fairness,
        requests,
        lambda r: expected_service_time(state, r, now),
        state.slots,
        now,
    )


def _waits_as_late(state: AdmissionState, request: Request, now: float) -> bool:
    """Return whether a queued request waits behind all that can be in time."""
    if request.is_late:
        return True
    is_too_late = now + expected_service_time(state, request, now) > _latest_end(request)
    return is_too_late and late.has_value(request)


def _may_wait_late(state: AdmissionState, request: Request, now: float) -> bool:
    """Return whether a request that can't be in time is expected to be served all the same."""
    if not request.accepts_late or not late.has_value(request):
        return False
    end = late.expected_end(
        state,
        request,
        lambda other: expected_service_time(state, other, now),
        slot_free_times(state, now),
        now,
    )
    left = late.LATE_DEADLINE_USE_RATIO * (request.deadline - now)
    return end + request.transfer <= now + left


def _expected_ends(state: AdmissionState, ordered: Sequence[Request], now: float) -> list[float]:
    durations = [expected_service_time(state, request, now) for request in ordered]
    starts_at = start_times(slot_free_times(state, now), durations)
    return [start + service_time for start, service_time in zip(starts_at, durations, strict=True)]


def _can_meet_deadline(request: Request, end: float, now: float) -> bool:
    """Return whether a request that ends at `end` (s) leaves enough margin to its deadline."""
    return end + request.transfer <= now + DEADLINE_USE_RATIO * (request.deadline - now)


def _max_wait(state: AdmissionState, request: Request, now: float) -> float:
    """Return the longest expected wait in seconds with which a request may still be queued.

    Without a limit on the wait, long requests with a generous objective fill the queue so far ahead
    that several short requests are refused for each of them.
    """
    service_time = expected_service_time(state, request, now)
    slacks = [
        route_slack.slack
        for route_slack in state.slacks_by_route.values()
        if route_slack.priority <= request.priority and _is_shorter(route_slack, service_time, now)
    ]
    return min(slacks, default=math.inf) * MAX_SLACK_USE_RATIO


def _is_shorter(route_slack: RouteSlack, service_time: float, now: float) -> bool:
    """Return whether a recently seen route has a much shorter service time than the given one."""
    return (
        route_slack.expected_service_time < SHORTER_WORK_RATIO * service_time
        and now - route_slack.seen_at < SLACK_RETENTION_S
    )


def _objective_kept_slots(state: AdmissionState, request: Request, now: float) -> int:
    """Return how many free slots are kept for shorter, more urgent requests than this one."""
    service_time = expected_service_time(state, request, now)
    slot_use = sum(
        _slot_use(state, route, now)
        for route, route_slack in state.slacks_by_route.items()
        if route_slack.priority < request.priority and _is_shorter(route_slack, service_time, now)
    )
    running = sum(other.priority < request.priority for other in state.running_by_attempt.values())
    return kept_slots.kept_slots(state.slots, slot_use, running)


def _slot_use(state: AdmissionState, route: str, now: float) -> float:
    """Return the decaying average of the slots used by requests of a route."""
    recorded = state.slot_use_by_route.get(route)
    return (
        0.0
        if recorded is None
        else recorded.slots * math.exp((recorded.at - now) / SLOT_USE_TIME_CONSTANT_S)
    )


def record_start(state: AdmissionState, request: Request, now: float) -> None:
    """Add a started request to the average slot use of its route."""
    service_time = expected_service_time(state, request, now)
    fairness.record_start(state.fairness, request.organisation, service_time, state.slots, now)
    added = service_time / SLOT_USE_TIME_CONSTANT_S
    state.slot_use_by_route[request.route] = SlotUse(
        _slot_use(state, request.route, now) + added, now
    )


def record_admission(state: AdmissionState, request: Request, now: float) -> None:
    """Add an admitted request to the use of slots by timely requests if it can be in time."""
    service_time = expected_service_time(state, request, now)
    if not request.is_late and now + service_time <= request.objective:
        late.record_timely_use(state, service_time, now)


def _record_slack(state: AdmissionState, request: Request, now: float) -> None:
    """Record how long requests of this route can wait and still meet their objective."""
    service_time = expected_service_time(state, request, now)
    slack = max(
        0.0,
        request.latency_objective * (1 - OBJECTIVE_MARGIN_RATIO) - service_time - request.transfer,
    )
    state.slacks_by_route[request.route] = RouteSlack(slack, service_time, request.priority, now)


def _objective_refusal(state: AdmissionState, request: Request, now: float) -> Reason | None:
    _record_slack(state, request, now)
    refusal = _timely_refusal(state, request, now)
    return refusal if refusal is None or not _may_wait_late(state, request, now) else None


def _objective_queued(state: AdmissionState, request: Request, now: float) -> Request:
    is_late = _timely_refusal(state, request, now) is not None
    return request._replace(is_late=True) if is_late else request


def _timely_refusal(state: AdmissionState, request: Request, now: float) -> Reason | None:
    """Return why a request may not wait among those that can be in time, or None if it may."""
    ordered = _by_target_start(state, [*state.queue, request], now)
    ends = dict(zip(ordered, _expected_ends(state, ordered, now), strict=True))
    end = ends[request]
    wait = end - expected_service_time(state, request, now) - now
    if end > _latest_end(request) or wait > _max_wait(state, request, now):
        return Reason.NO_SLOT
    before = _by_target_start(state, state.queue, now)
    ends_before = dict(zip(before, _expected_ends(state, before, now), strict=True))
    ahead = _ahead_of_share(state, [*state.queue, request], now)
    for other in before:
        becomes_late = ends_before[other] <= _latest_end(other) < ends[other]
        yields = other.priority == request.priority and other in ahead and request not in ahead
        if becomes_late and other.priority <= request.priority and not yields:
            return Reason.NO_SLOT
    return None


def _objective_may_start(state: AdmissionState, request: Request, now: float) -> bool:
    """Return whether a request may take a free slot at once."""
    _record_slack(state, request, now)
    end = now + expected_service_time(state, request, now)
    if any(waiting.priority <= request.priority for waiting in state.queue):
        return False
    if end + request.transfer <= request.objective:
        return True
    free = former_work.usable_slots(state, now) - len(state.running_by_attempt)
    min_spare = 0 if request.is_retry else MIN_SPARE_SLOTS_FOR_LATE
    return free > min_spare and _can_meet_deadline(request, end, now)


def _objective_order(state: AdmissionState, now: float) -> list[Request]:
    return _by_target_start(state, state.queue, now)


def _objective_too_late(state: AdmissionState, now: float) -> list[Request]:
    """Return the queued requests that can no longer meet their deadline."""
    ordered = _by_target_start(state, state.queue, now)
    ends = _expected_ends(state, ordered, now)
    return [
        request
        for request, end in zip(ordered, ends, strict=True)
        if not _can_meet_deadline(request, end, now)
        and (not request.is_late or end + request.transfer > request.deadline)
    ]


def _objective_retry_after(state: AdmissionState, request: Request, now: float) -> float:
    """Return the delay in seconds after which a refused request may be sent again.

    It is then expected to meet its latency objective if no other request arrives before it.
    """
    ordered = _by_target_start(state, [*state.queue, request], now)
    service_time = expected_service_time(state, request, now)
    end = _expected_ends(state, ordered, now)[ordered.index(request)]
    slack = max(
        0.0,
        request.latency_objective * (1 - OBJECTIVE_MARGIN_RATIO) - service_time - request.transfer,
    )
    return max(service_time / max(1, state.slots), end - service_time - now - slack)


def _objective_wait(state: AdmissionState, request: Request, now: float) -> float:
    """Return the expected wait for a slot in seconds of a request that would join the queue now."""
    ordered = _by_target_start(state, [*state.queue, request], now)
    end = _expected_ends(state, ordered, now)[ordered.index(request)]
    return max(0.0, end - expected_service_time(state, request, now) - now)


policies_by_name["deadline"] = QueuePolicy(
    lambda state, request, now: True,
    _deadline_refusal,
    _deadline_order,
    _deadline_too_late,
    _deadline_retry_after,
    _deadline_wait,
    lambda state, request, now: 0,
    lambda state, request, now: request,
)
policies_by_name["objective"] = QueuePolicy(
    _objective_may_start,
    _objective_refusal,
    _objective_order,
    _objective_too_late,
    _objective_retry_after,
    _objective_wait,
    _objective_kept_slots,
    _objective_queued,
)


def expected_wait(state: AdmissionState, now: float) -> float:
    """Return the expected wait for a slot in seconds of a request that joins the queue last."""
    usable = former_work.usable_slots(state, now)
    if len(state.running_by_attempt) + len(state.queue) < usable:
        return 0.0
    durations = [expected_service_time(state, request, now) for request in state.queue]
    return max(0.0, start_times(slot_free_times(state, now), [*durations, 0.0])[-1] - now)
