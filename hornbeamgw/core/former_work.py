"""Former work: requests that a former process of this daemon may have left at a backend server.

The server goes on with them unseen when the daemon is killed, and callers on the same VM had sent
some of them through this daemon alone. They began at the latest when this process started. So the
server counts as full from then on for as long as a request may take.

Where health checks take a slot, they shorten this. If one is answered at once, a slot was free
besides those of the own requests that ran all the while. The former requests only become fewer, so
from then on one own request more than these may run at any time.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hornbeamgw.core import rate_limit
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.occupancy import (
    CHECK_INTERVAL_S,
    CHECK_S,
    MAX_HOLD_S,
    former_work_until,
)
from hornbeamgw.core.registration import Announcement, is_same_run
from hornbeamgw.core.service_times import INITIAL_TIME_RATIO
from hornbeamgw.core.slots import AdmissionState, AttemptId
from hornbeamgw.core.snapshot import Snapshot

# Time after which a request that was started has reached the server. One that has not would take
# the slot that a check finds free.
ARRIVAL_S = 0.005


class Startup(NamedTuple):
    """The start of this daemon's process.

    Attributes
    ----------
    started_at : float
        Time (s) of the start on the clock that is passed as `now`.
    started_ms : int
        The same by the clock of the VM, in Unix milliseconds.
    is_first : bool
        Whether no process of this daemon can have run before: the whole fleet has just been
        created, or the system has chosen the address at the start.
    """

    started_at: float
    started_ms: int
    is_first: bool


def reason(startup: Startup, stored: Sequence[Announcement] | None, server: Announcement) -> str:
    """Return why a former process may have sent requests to a server; empty if none can have.

    `stored` are the servers in this daemon's row from before its start, None if they are not known.
    Without them, the start times of the two processes on this VM are compared.
    """
    if startup.is_first:
        return ""
    if stored is not None:
        return "in the stored row" if any(is_same_run(known, server) for known in stored) else ""
    if not server.started_ms:
        return "start of the server unknown"
    return "server older than this process" if server.started_ms < startup.started_ms else ""


def longest_hold(snapshot: Snapshot, service: str) -> float:
    """Return for how long (s) a request to a service may go on, by the objectives of its routes."""
    if not snapshot.version:
        return MAX_HOLD_S
    return max(_holds(snapshot, service), default=0.0)


def _holds(snapshot: Snapshot, service: str) -> Iterable[float]:
    for routes_by_prefix in snapshot.routes_by_host.values():
        for routes in routes_by_prefix.values():
            for route in routes:
                if any(destination.service == service for destination in route.destinations):
                    yield former_work_until(0.0, INITIAL_TIME_RATIO * route.objective_ms / 1000)


def is_held(state: AdmissionState, now: float) -> bool:
    """Return whether slots may be used by requests of a former process."""
    return now < state.former_work_until and state.former_work.usable_slots < state.slots


def usable_slots(state: AdmissionState, now: float) -> int:
    """Return how many requests may run at once: all slots, or those that were found free."""
    return state.former_work.usable_slots if is_held(state, now) else state.slots


def held_until(state: AdmissionState, now: float) -> float:
    """Return the time (s) at which the slots that are held are expected to be free.

    With health checks that take slots it is soon, unless the last one has not found a free slot.
    """
    if state.former_work.is_checkable and not state.former_work.was_full:
        return min(state.former_work_until, now + CHECK_S)
    return state.former_work_until


class Check(NamedTuple):
    """A health check under way: when it was sent (s), and the requests that ran at the server."""

    sent_at: float
    running: frozenset[AttemptId]


def _running(state: AdmissionState) -> frozenset[AttemptId]:
    return frozenset(state.running_by_attempt.keys() - state.cuts_by_attempt.keys())


def check_due_at(state: AdmissionState, now: float) -> float | None:
    """Return the time (s) from which a check may allow one more request; None if none can."""
    known = state.former_work
    if not known.is_checkable or not is_held(state, now) or state.habits.is_check_useless:
        return None
    if state.server_state is not ServerState.SERVING or rate_limit.is_limited(state.rate_limit):
        return None
    if len(state.running_by_attempt) < known.usable_slots:
        return None
    arrived_at = max(state.started_by_attempt.values(), default=now - ARRIVAL_S) + ARRIVAL_S
    return max(now, known.next_check_at, arrived_at)


def begin_check(state: AdmissionState, now: float) -> Check:
    """Return a check that is sent now."""
    state.former_work.checks += 1
    return Check(now, _running(state))


def record_check(state: AdmissionState, check: Check, is_answered: bool, now: float) -> bool:
    """Record that a check was answered now, or has failed; return whether it found a free slot."""
    known = state.former_work
    known.was_full = not is_answered or now > check.sent_at + CHECK_S
    known.next_check_at = now + (ARRIVAL_S if is_answered else CHECK_INTERVAL_S)
    if known.was_full:
        return False
    found = len(check.running & _running(state)) + 1
    known.usable_slots = max(known.usable_slots, min(found, state.slots))
    return True
