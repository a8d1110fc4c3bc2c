"""Registration: determines which backend server is running at an address, from its heartbeats.

A heartbeat may arrive late, even after its sender has died and was replaced by another server,
possibly with the same instance name. A run is the lifetime of one server process. Runs of the same
instance are distinguished by their start times, and sequence numbers order the heartbeats of one
run. A run that left, started to drain, or was replaced is never registered as serving again, and
neither is one that was started before the current run. Servers that run side by side listen on
different addresses, and the known runs of each instance are shared by all addresses.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

from hornbeamgw.core.departures import LeftRun
from hornbeamgw.core.membership import ServerState

MAX_INSTANCES = 256
# Time since the current server's last heartbeat (four heartbeat intervals) after which a server
# with an earlier start time may replace it: the clock is then assumed to have been set back between
# the two starts. Before that, heartbeats with an earlier start time are rejected as late.
LATE_HEARTBEAT_WINDOW_S = 6.0


class Heartbeat(NamedTuple):
    """Heartbeat of a backend server; `warmup_s` is the remaining warm-up time in seconds.

    `started_ms` is the start of the server process in Unix milliseconds, or 0 if it isn't given;
    `software` is the server's software version.
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
    """Notice that a run (process) of a backend server has ended.

    `started_ms` is the start of the run in Unix milliseconds, or 0 for the latest known run.
    """

    instance: str
    started_ms: int = 0


class Announcement(NamedTuple):
    """Registration of a backend server at the daemon next to it.

    The server counts as gone after `expires_at` and is slow until `warm_at`, both in seconds of the
    event loop's clock.
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
    """Return whether two announcements are of the same run of the same instance."""
    if before is None:
        return False
    return (before.instance, before.started_ms) == (after.instance, after.started_ms)


def is_same_server(before: Announcement, after: Announcement) -> bool:
    """Return whether what was accepted for one announcement may be sent to the server of the other.

    A server without an instance name is told from the next one by its service and address.
    """
    is_moved = (before.service, before.address) != (after.service, after.address)
    return is_same_run(before, after) and not is_moved


def is_renewal(before: Announcement, after: Announcement) -> bool:
    """Return whether two announcements differ at most in expiry and warm-up time."""
    return before == after._replace(expires_at=before.expires_at, warm_at=before.warm_at)


class _KnownRun(NamedTuple):
    """Latest known run of an instance, with the sequence number of its last heartbeat."""

    started_ms: int
    sequence: int
    is_draining: bool
    is_gone: bool


UNKNOWN_RUN = _KnownRun(0, -1, False, False)
KnownRunsByInstance = OrderedDict[str, _KnownRun]


class RegistrationState:
    """The run that is registered at an address, and the latest known run of each instance."""

    def __init__(self, known_runs_by_instance: KnownRunsByInstance | None = None) -> None:
        """Create a state without a server; known runs may be shared with other addresses."""
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
    """Return the known run of an instance, or a new record if `started_ms` is later."""
    known = state.known_runs_by_instance.get(instance, UNKNOWN_RUN)
    return known if started_ms <= known.started_ms else UNKNOWN_RUN._replace(started_ms=started_ms)


def _is_late(state: RegistrationState, heartbeat: Heartbeat, known: _KnownRun, now: float) -> bool:
    is_earlier_run = heartbeat.started_ms < known.started_ms
    if now - state.received_at < LATE_HEARTBEAT_WINDOW_S:
        is_earlier_run |= 0 < heartbeat.started_ms < state.latest_started_ms
    return is_earlier_run or known.is_gone or heartbeat.sequence <= known.sequence


def receive(state: RegistrationState, heartbeat: Heartbeat, now: float) -> bool:
    """Register the sender of a heartbeat, or return False if the heartbeat is late."""
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


def adopt(state: RegistrationState, heartbeat: Heartbeat, now: float) -> bool:
    """Register a server that was already running when this daemon started.

    Return False if it has left or drains, according to a later message.
    """
    if may_be_left_run(state.known_runs_by_instance, heartbeat):
        return False
    known = _latest_run(state, heartbeat.instance, heartbeat.started_ms)
    if known.started_ms > heartbeat.started_ms or known.is_draining or known.is_gone:
        return False
    _store_run(state, heartbeat.instance, known)
    state.current = heartbeat
    state.received_at = now
    state.latest_started_ms = heartbeat.started_ms
    return True


def is_unknown_run(known_runs: KnownRunsByInstance, heartbeat: Heartbeat) -> bool:
    """Return whether neither the run of a heartbeat nor a later one of its instance is known."""
    known = known_runs.get(heartbeat.instance)
    return known is None or known.started_ms < heartbeat.started_ms


def may_be_left_run(known_runs: KnownRunsByInstance, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat may be of a run that has left without telling its start."""
    known = known_runs.get(heartbeat.instance, UNKNOWN_RUN)
    is_ambiguous = not known.started_ms and heartbeat.started_ms > 0
    return is_ambiguous and (known.is_gone or known.is_draining)


def left_run(known_runs: KnownRunsByInstance, message: Heartbeat | Departure) -> LeftRun | None:
    """Return the run of which a message says that it leaves, None if it does not.

    A message that doesn't give the start of the run is about the latest known one.
    """
    is_gone = isinstance(message, Departure)
    if isinstance(message, Heartbeat) and message.state is not ServerState.DRAINING:
        return None
    known = known_runs.get(message.instance, UNKNOWN_RUN)
    return LeftRun(message.instance, message.started_ms or known.started_ms, is_gone)


def note_left(state: RegistrationState, run: LeftRun) -> bool:
    """Record that a run has left or drains, and return whether it is the registered run."""
    known = state.known_runs_by_instance.get(run.instance, UNKNOWN_RUN)
    if run.started_ms < known.started_ms:
        return False
    known = _latest_run(state, run.instance, run.started_ms)
    is_gone = known.is_gone or run.is_gone
    _store_run(state, run.instance, known._replace(is_draining=True, is_gone=is_gone))
    return state.current is not None and state.current.instance == run.instance


def drain(state: RegistrationState, instance: str) -> bool:
    """Record that the run of an instance drains, and return whether it is the registered run."""
    known = state.known_runs_by_instance.get(instance, UNKNOWN_RUN)
    _store_run(state, instance, known._replace(is_draining=True))
    if state.current is None or state.current.instance != instance:
        return False
    state.current = state.current._replace(state=ServerState.DRAINING)
    return True


def retire(state: RegistrationState, instance: str, started_ms: int = 0) -> bool:
    """Record that a run of an instance has ended, and return whether it was the registered run.

    `started_ms` is the start of the run, or 0 for the latest known run of the instance.
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
