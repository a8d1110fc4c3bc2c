"""Registration: which backend server lives at an address beside this daemon, by its heartbeats.

A heartbeat may arrive late, even after its sender has died and another took its place, also under
the same name: what tells its runs apart is when each was started. Sequence numbers order the
heartbeats of one run; a run that left, began to drain, or turned out to be replaced never comes
back, and neither does one that was started before the run which lives here now. Servers that run
side by side listen at addresses of their own; what was heard of each name is known at all of them.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

from hornbeamgw.core.membership import ServerState

MAX_INSTANCES = 256
# A heartbeat of another server that was started before the one heard last is a late one, unless
# that has been silent for so long (s, four heartbeats): then a clock was set back between the two.
LATE_HEARTBEAT_WINDOW_S = 6.0


class Heartbeat(NamedTuple):
    """Hold one heartbeat of a backend server; warm-up in seconds.

    When its run was started is in Unix milliseconds; 0 where it does not say.
    """

    instance: str
    service: str
    address: str
    slots: int
    state: ServerState
    sequence: int
    warmup_s: float = 0.0
    software: str = ""
    started_ms: int = 0


class Departure(NamedTuple):
    """Say that a run of a backend server leaves for good; 0 where it does not say which one."""

    instance: str
    started_ms: int = 0


class Announcement(NamedTuple):
    """Hold what a backend server says of itself, as the daemon beside it goes by it.

    It is taken for gone when it expires, and is slow until it is warm (both by the loop's clock).
    """

    service: str
    address: str
    slots: int
    connections: int
    state: ServerState
    expires_at: float
    instance: str = ""
    warm_at: float = 0.0
    started_ms: int = 0
    software: str = ""


def is_same_run(before: Announcement | None, after: Announcement) -> bool:
    """Return whether two announcements are of one run of one server."""
    if before is None:
        return False
    return (before.instance, before.started_ms) == (after.instance, after.started_ms)


def is_renewal(before: Announcement, after: Announcement) -> bool:
    """Return whether an announcement says nothing new about the server."""
    return before == after._replace(expires_at=before.expires_at, warm_at=before.warm_at)


class _KnownRun(NamedTuple):
    started_ms: int
    sequence: int
    is_draining: bool
    is_gone: bool


UNKNOWN_RUN = _KnownRun(0, -1, False, False)
KnownRunsByInstance = OrderedDict[str, _KnownRun]


class RegistrationState:
    """Hold the incarnation that is believed to live at an address, and those heard of before."""

    def __init__(self, known_runs_by_instance: KnownRunsByInstance | None = None) -> None:
        """Start without a backend server; take what is known of those at other addresses."""
        self.current: Heartbeat | None = None
        self.received_at = -math.inf
        self.latest_started_ms = 0
        self.warm_at = 0.0
        self.known_runs_by_instance: KnownRunsByInstance = (
            OrderedDict() if known_runs_by_instance is None else known_runs_by_instance
        )


def _store_run(state: RegistrationState, instance: str, known: _KnownRun) -> None:
    state.known_runs_by_instance[instance] = known
    state.known_runs_by_instance.move_to_end(instance)
    while len(state.known_runs_by_instance) > MAX_INSTANCES:
        state.known_runs_by_instance.popitem(last=False)


def _latest_run(state: RegistrationState, instance: str, started_ms: int) -> _KnownRun:
    """Return what is known of a run, or of a later one of the same server."""
    known = state.known_runs_by_instance.get(instance, UNKNOWN_RUN)
    return known if started_ms <= known.started_ms else UNKNOWN_RUN._replace(started_ms=started_ms)


def _is_late(state: RegistrationState, heartbeat: Heartbeat, known: _KnownRun, now: float) -> bool:
    is_earlier_run = heartbeat.started_ms < known.started_ms
    if now - state.received_at < LATE_HEARTBEAT_WINDOW_S:
        is_earlier_run |= 0 < heartbeat.started_ms < state.latest_started_ms
    return is_earlier_run or known.is_gone or heartbeat.sequence <= known.sequence


def receive(state: RegistrationState, heartbeat: Heartbeat, now: float) -> bool:
    """Take a heartbeat and return whether it tells anything new."""
    known = _latest_run(state, heartbeat.instance, heartbeat.started_ms)
    if _is_late(state, heartbeat, known, now):
        return False
    draining = known.is_draining or heartbeat.state is ServerState.DRAINING
    if draining:
        heartbeat = heartbeat._replace(state=ServerState.DRAINING)
    _store_run(
        state,
        heartbeat.instance,
        _KnownRun(heartbeat.started_ms, heartbeat.sequence, draining, False),
    )
    state.current = heartbeat
    state.received_at = now
    state.latest_started_ms = heartbeat.started_ms
    state.warm_at = now + heartbeat.warmup_s
    return True


def adopt(state: RegistrationState, heartbeat: Heartbeat, now: float) -> None:
    """Take a server for the one that lives here, until it says anything itself."""
    state.current = heartbeat
    state.received_at = now
    state.latest_started_ms = heartbeat.started_ms


def retire(state: RegistrationState, instance: str, started_ms: int = 0) -> bool:
    """Note that a run is gone, the last one known unless it says which.

    Return whether it was the one believed to live here.
    """
    known = state.known_runs_by_instance.get(instance, UNKNOWN_RUN)
    if 0 < started_ms < known.started_ms:
        return False
    ended = _KnownRun(max(started_ms, known.started_ms), known.sequence, known.is_draining, True)
    _store_run(state, instance, ended)
    if state.current is None or state.current.instance != instance:
        return False
    state.current = None
    return True
