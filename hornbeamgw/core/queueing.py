"""Queueing: which requests may wait for a slot; policies register themselves.

*deadline* lets a request wait while it may still meet its deadline, and serves the nearest
deadline first. Past saturation that serves mostly answers that come too late to be of full use.

*objective* answers the pattern of the users' heavy days: work of 15, 60 and 240 ms shares six
slots that are asked for 1.1 times over, and an answer after its objective is worth a third. A
request waits only if a schedule of all that runs and waits puts its end before its objective, if
it pushes nothing past its own that is as urgent, and if shorter work still finds its slots in
time. Whoever can't be served in time hears so at once and may ask elsewhere; who was let in is
dropped only for a more urgent priority, or once the deadline is out of reach. Work that can
only be late takes slots that are free, since each slot second spent on it makes one more caller
come back.

Beside short calls that are more urgent, long work leaves a slot free. Such calls are made by
requests that hold a slot of another service meanwhile: where work of 640 ms fills all slots, each
of them waits for a tenth of a second, and the service that makes them is full before its time.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from hornbeamgw.core import backlog, service_times
from hornbeamgw.core.slots import (
    AdmissionState,
    QueuePolicy,
    Request,
    Slack,
    Use,
    policies_by_name,
)
from hornbeamgw.core.verdict import Reason

# A cold server works at half its speed (cold_x of the users' sheets).
COLD_FACTOR = 2.0
# Room left for the way back and for what the estimate misses, as a part of the objective.
MARGIN = 0.1
# Of its time to the deadline a late request keeps this part for its work, lest it be cut off.
LATE_MARGIN = 0.85
# Longer work waits at most this part of the time that shorter work can, which is at most this
# part as long, and was seen within this time (s).
SLACK_PART = 0.5
SHORTER_PART = 0.5
SLACK_MEMORY_S = 2.0
# Work should wait at most this many times as long as it takes. On the grown deployments calls of
# 19 ms waited 55 to 100 ms at three quarters of their load, and their callers' slots with them.
STRETCH = 3.0
# Servers with fewer slots can't spare one, and it isn't worth it for calls that would use less than
# this part of it; how much they use is averaged over this time (s).
LEAST_SLOTS_TO_HOLD = 4
LEAST_USE_TO_HOLD = 0.25
USE_AVERAGED_S = 2.0
# A slot may be held by work that can only be late while this many others are free.
FREE_SLOTS_FOR_LATE = 1


# Nearest deadline first


def _deadline_wait(state: AdmissionState, request: Request, now: float) -> float:
    ahead = sum(queued.deadline <= request.deadline for queued in state.queue)
    return (ahead + 1) * state.service_time / max(1, state.slots)


def _deadline_refusal(state: AdmissionState, request: Request, now: float) -> Reason | None:
    if now + _deadline_wait(state, request, now) >= request.deadline:
        return Reason.QUEUE_TIMEOUT
    return None


def _deadline_order(state: AdmissionState, now: float) -> list[Request]:
    return sorted(state.queue, key=lambda r: r.deadline)


def _deadline_too_late(state: AdmissionState, now: float) -> list[Request]:
    return [r for r in state.queue if now + state.service_time / 2 >= r.deadline]


def _deadline_room(state: AdmissionState, request: Request, now: float) -> float:
    return state.service_time * (1 + len(state.queue))


# Expected end against the objective


def length(state: AdmissionState, request: Request, now: float) -> float:
    """Return how long (s) a request is expected to hold its slot if it starts now."""
    mean = service_times.expected_time(state.times, request.route, request.aim)
    known = request.route in state.times.estimates_by_route
    return mean * (COLD_FACTOR if now < state.warm_at and not known else 1.0)


def free_times(state: AdmissionState, now: float) -> list[float]:
    """Return when (s) each slot is expected to be free."""
    free = []
    for attempt, request in state.running_by_attempt.items():
        age = now - state.started_by_attempt.get(attempt, now)
        free.append(now + service_times.remaining(length(state, request, now), age))
    return free + [now] * (state.slots - len(free))


def _limit(request: Request) -> float:
    return request.objective - MARGIN * request.aim - request.transfer


def _due(state: AdmissionState, request: Request, now: float) -> float:
    """Return by when (s) a request should start.

    That is its latest start, and for short work much sooner: a check of 19 ms has 250 ms to spare,
    but the request that makes it holds a slot elsewhere as long as it waits.
    """
    held = length(state, request, now)
    return min(_limit(request) - held, request.arrived + STRETCH * held)


def _order(state: AdmissionState, requests: Sequence[Request], now: float) -> list[Request]:
    """Return the waiting by when they should start; one that missed it keeps its place."""
    return sorted(requests, key=lambda r: _due(state, r, now))


def _ends(state: AdmissionState, ordered: Sequence[Request], now: float) -> list[float]:
    lengths = [length(state, request, now) for request in ordered]
    begins = backlog.start_times(free_times(state, now), lengths)
    return [begin + held for begin, held in zip(begins, lengths, strict=True)]


def _in_reach(request: Request, end: float, now: float) -> bool:
    """Return whether an end leaves enough time before the deadline."""
    return end + request.transfer <= now + LATE_MARGIN * (request.deadline - now)


def _longest_wait(state: AdmissionState, request: Request, now: float) -> float:
    """Return how long (s) a request may wait, that shorter work still finds a slot in time.

    Work of 240 ms with an objective of 600 ms could fill the queue 300 ms ahead, and work of
    48 ms that has 170 ms to wait would be refused, though one of the former costs five of it.
    """
    held = length(state, request, now)
    slacks = [
        known.slack
        for known in state.slacks_by_route.values()
        if known.priority <= request.priority and _is_shorter(known, held, now)
    ]
    return min(slacks, default=math.inf) * SLACK_PART


def _is_shorter(known: Slack, held: float, now: float) -> bool:
    """Return whether a route was seen of late that takes much less than a time (s)."""
    return known.length < SHORTER_PART * held and now - known.seen_at < SLACK_MEMORY_S


def _objective_keeps_last(state: AdmissionState, request: Request, now: float) -> bool:
    """Return whether a request leaves the last free slot to shorter work that is more urgent."""
    if state.slots < LEAST_SLOTS_TO_HOLD:
        return False
    held = length(state, request, now)
    use = sum(
        _use_of(state, route, now)
        for route, known in state.slacks_by_route.items()
        if known.priority < request.priority and _is_shorter(known, held, now)
    )
    if use < LEAST_USE_TO_HOLD:
        return False
    running = state.running_by_attempt.values()
    return not any(other.priority < request.priority for other in running)


def _use_of(state: AdmissionState, route: str, now: float) -> float:
    """Return how many slots requests of a route have used of late, on average."""
    known = state.uses_by_route.get(route)
    return 0.0 if known is None else known.slots * math.exp((known.at - now) / USE_AVERAGED_S)


def note_start(state: AdmissionState, request: Request, now: float) -> None:
    """Count the slot that a request takes from now on."""
    added = length(state, request, now) / USE_AVERAGED_S
    state.uses_by_route[request.route] = Use(_use_of(state, request.route, now) + added, now)


def _note_slack(state: AdmissionState, request: Request, now: float) -> None:
    held = length(state, request, now)
    slack = max(0.0, request.aim * (1 - MARGIN) - held - request.transfer)
    state.slacks_by_route[request.route] = Slack(slack, held, request.priority, now)


def _objective_refusal(state: AdmissionState, request: Request, now: float) -> Reason | None:
    _note_slack(state, request, now)
    ordered = _order(state, [*state.queue, request], now)
    ends = dict(zip(ordered, _ends(state, ordered, now), strict=True))
    end = ends[request]
    wait = end - length(state, request, now) - now
    if end > _limit(request) or wait > _longest_wait(state, request, now):
        return Reason.NO_SLOT
    before = _order(state, state.queue, now)
    ends_before = dict(zip(before, _ends(state, before, now), strict=True))
    for other in before:
        harmed = ends_before[other] <= _limit(other) < ends[other]
        if harmed and other.priority <= request.priority:
            return Reason.NO_SLOT
    return None


def _objective_may_start(state: AdmissionState, request: Request, now: float) -> bool:
    """Return whether a request may take a free slot at once."""
    _note_slack(state, request, now)
    end = now + length(state, request, now)
    if any(waiting.priority <= request.priority for waiting in state.queue):
        return False
    if end + request.transfer <= request.objective:
        return True
    free = state.slots - len(state.running_by_attempt)
    wanted = 0 if request.came_back else FREE_SLOTS_FOR_LATE
    return free > wanted and _in_reach(request, end, now)


def _objective_order(state: AdmissionState, now: float) -> list[Request]:
    return _order(state, state.queue, now)


def _objective_too_late(state: AdmissionState, now: float) -> list[Request]:
    """Return the waiting whose deadline is out of reach."""
    ordered = _order(state, state.queue, now)
    ends = _ends(state, ordered, now)
    return [
        request
        for request, end in zip(ordered, ends, strict=True)
        if not _in_reach(request, end, now)
    ]


def _objective_room(state: AdmissionState, request: Request, now: float) -> float:
    """Return when such a request could start, were nothing else to come meanwhile."""
    ordered = _order(state, [*state.queue, request], now)
    held = length(state, request, now)
    end = _ends(state, ordered, now)[ordered.index(request)]
    slack = max(0.0, request.aim * (1 - MARGIN) - held - request.transfer)
    return max(held / max(1, state.slots), end - held - now - slack)


def _objective_wait(state: AdmissionState, request: Request, now: float) -> float:
    """Return how long a request would wait at its place among those that wait."""
    ordered = _order(state, [*state.queue, request], now)
    end = _ends(state, ordered, now)[ordered.index(request)]
    return max(0.0, end - length(state, request, now) - now)


policies_by_name["deadline"] = QueuePolicy(
    lambda state, request, now: True,
    _deadline_refusal,
    _deadline_order,
    _deadline_too_late,
    _deadline_room,
    _deadline_wait,
    lambda state, request, now: False,
)
policies_by_name["objective"] = QueuePolicy(
    _objective_may_start,
    _objective_refusal,
    _objective_order,
    _objective_too_late,
    _objective_room,
    _objective_wait,
    _objective_keeps_last,
)


def wait_for_newcomer(state: AdmissionState, now: float) -> float:
    """Return how long (s) a request that arrives now is expected to wait for a slot."""
    if len(state.running_by_attempt) + len(state.queue) < state.slots:
        return 0.0
    lengths = [length(state, request, now) for request in state.queue]
    return max(0.0, backlog.start_times(free_times(state, now), [*lengths, 0.0])[-1] - now)
