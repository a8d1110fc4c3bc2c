"""Late responses: let requests that can't be in time wait for slots that others leave idle.

Load pattern: demand comes in waves of several seconds and exceeds the capacity at the crest, while
servers are idle in the trough. Callers wait for several times the latency objective, and a late
answer still has part of its value to them.

A request waits as a late one only at the last server that its daemon would try
(`is_last_resort`), since another one may still answer in time.

What callers need: a late answer never takes the time of one that can be in time, and a request is
refused at once if it is not expected to be served before its deadline. So a late request waits only
if the slots that timely requests leave idle suffice for it and for the late requests before it. The
use of slots by timely requests in the last seconds is taken as their use in the next ones.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from hornbeamgw.core.slots import AdmissionState, Request, SlotUse

# A late answer is waited for if the deadline is more than this multiple of the latency objective
# after the first try. Requests with deadlines of 2 to 2.5 times their objective have no time to
# wait; callers that do wait allow 2.7 to 8 times, within the timeouts of their routes.
MIN_DEADLINE_RATIO = 2.55
# A late request is queued only if it is expected to end within this ratio of the time that is left
# until its deadline. It is less than the ratio beyond which queued requests are dropped
# (`queueing.DEADLINE_USE_RATIO`), as demand may rise while it waits.
LATE_DEADLINE_USE_RATIO = 0.6
# Time constant of the average use of slots by timely requests. It spans a few clumps of arrivals,
# and is short enough to follow waves of 10 to 15 s.
TIMELY_USE_TIME_CONSTANT_S = 1.5
# Slots that are not counted as idle, as the last free slot is kept for short, urgent requests.
MIN_SPARE_SLOTS = 1


def has_value(request: Request) -> bool:
    """Return whether a late response to a request is worth waiting for."""
    first_try_at = request.objective - request.latency_objective
    return request.deadline - first_try_at > MIN_DEADLINE_RATIO * request.latency_objective


def is_last_resort(refusals: int, max_refusals: int, untried: int, has_sampled: bool) -> bool:
    """Return whether a call has no better choice than to wait at the next server it is sent to.

    Parameters
    ----------
    refusals, max_refusals : int
        Refusals by servers so far, and the number after which the call fails.
    untried : int
        Number of servers that have not refused the call.
    has_sampled : bool
        Whether samples of the servers were queried in all rounds, so that the best is known.
    """
    return has_sampled or untried <= 1 or refusals >= max_refusals - 1


def timely_use(state: AdmissionState, now: float) -> float:
    """Return the decaying average of the slots used by requests that could be in time.

    It begins with all slots, since nothing is known of the demand for a server that has just begun.
    """
    recorded = state.timely_use
    if recorded is None:
        return float(state.slots)
    return recorded.slots * math.exp((recorded.at - now) / TIMELY_USE_TIME_CONSTANT_S)


def record_timely_use(state: AdmissionState, service_time: float, now: float) -> None:
    """Add an admitted request that can be in time to the average use of slots."""
    added = service_time / TIMELY_USE_TIME_CONSTANT_S
    state.timely_use = SlotUse(timely_use(state, now) + added, now)


def expected_end(
    state: AdmissionState,
    request: Request,
    service_time: Callable[[Request], float],
    free_times: list[float],
    now: float,
) -> float:
    """Return the time (s) at which a late request would end if it were queued now.

    It starts after all queued requests, in slots that timely requests leave idle; infinite if they
    leave none.

    Parameters
    ----------
    state : AdmissionState
        Running and queued requests of the server.
    request : Request
        The late request.
    service_time : callable
        Returns the expected service time of a request in seconds.
    free_times : list of float
        Time (s) at which each slot is expected to become free.
    now : float
        Present time in seconds.
    """
    idle_slots = state.slots - MIN_SPARE_SLOTS - timely_use(state, now)
    if idle_slots <= 0:
        return math.inf
    own_time = service_time(request)
    queued_work = sum(service_time(queued) for queued in state.queue)
    running_work = sum(free_at - now for free_at in free_times)
    return now + (queued_work + running_work) / idle_slots + own_time
