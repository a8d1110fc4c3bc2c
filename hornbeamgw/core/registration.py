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

REMEMBERED_INSTANCES = 256
# A heartbeat of another server that was started before the one heard last is a late one, unless
# that has been silent for so long (s, four heartbeats): then a clock was set back between the two.
LATE_WITHIN_S = 6.0


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
    warmup: float = 0.0
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


class _Known(NamedTuple):
    started_ms: int
    sequence: int
    is_draining: bool
    is_gone: bool


UNKNOWN = _Known(0, -1, False, False)
KnownByInstance = OrderedDict[str, _Known]


class RegistrationState:
    """Hold the incarnation that is believed to live at an address, and those heard of before."""

    def __init__(self, known_by_instance: KnownByInstance | None = None) -> None:
        """Start without a backend server; take what is known of those at other addresses."""
        self.current: Heartbeat | None = None
        self.heard_at = -math.inf
        self.latest_started_ms = 0
        self.warm_at = 0.0
        self.known_by_instance: KnownByInstance = (
            OrderedDict() if known_by_instance is None else known_by_instance
        )


def _remember(state: RegistrationState, instance: str, known: _Known) -> None:
    state.known_by_instance[instance] = known
    state.known_by_instance.move_to_end(instance)
    while len(state.known_by_instance) > REMEMBERED_INSTANCES:
        state.known_by_instance.popitem(last=False)


def _last_run(state: RegistrationState, instance: str, started_ms: int) -> _Known:
    """Return what is known of a run, or of a later one of the same server."""
    known = state.known_by_instance.get(instance, UNKNOWN)
    return known if started_ms <= known.started_ms else UNKNOWN._replace(started_ms=started_ms)


def _is_late(state: RegistrationState, beat: Heartbeat, known: _Known, now: float) -> bool:
    is_earlier_run = beat.started_ms < known.started_ms
    if now - state.heard_at < LATE_WITHIN_S:
        is_earlier_run |= 0 < beat.started_ms < state.latest_started_ms
    return is_earlier_run or known.is_gone or beat.sequence <= known.sequence


def take(state: RegistrationState, beat: Heartbeat, now: float) -> bool:
    """Take a heartbeat and return whether it tells anything new."""
    known = _last_run(state, beat.instance, beat.started_ms)
    if _is_late(state, beat, known, now):
        return False
    draining = known.is_draining or beat.state is ServerState.DRAINING
    if draining:
        beat = beat._replace(state=ServerState.DRAINING)
    _remember(state, beat.instance, _Known(beat.started_ms, beat.sequence, draining, False))
    state.current = beat
    state.heard_at = now
    state.latest_started_ms = beat.started_ms
    state.warm_at = now + beat.warmup
    return True


def assume(state: RegistrationState, beat: Heartbeat, now: float) -> None:
    """Take a server for the one that lives here, until it says anything itself."""
    state.current = beat
    state.heard_at = now
    state.latest_started_ms = beat.started_ms


def retire(state: RegistrationState, instance: str, started_ms: int = 0) -> bool:
    """Note that a run is gone, the last one known unless it says which.

    Return whether it was the one believed to live here.
    """
    known = state.known_by_instance.get(instance, UNKNOWN)
    if 0 < started_ms < known.started_ms:
        return False
    ended = _Known(max(started_ms, known.started_ms), known.sequence, known.is_draining, True)
    _remember(state, instance, ended)
    if state.current is None or state.current.instance != instance:
        return False
    state.current = None
    return True
