"""Registration: which backend server lives beside this daemon, by the heartbeats it sends.

A heartbeat may arrive late, even after its sender has died and another incarnation took its
place. Sequence numbers order those of one incarnation; an incarnation that left, began to
drain, or turned out to be replaced never comes back.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from hornbeamgw.core.membership import ServerState

REMEMBERED_INSTANCES = 256


class Heartbeat(NamedTuple):
    """Hold one heartbeat of a backend server; warm-up in seconds."""

    instance: str
    service: str
    address: str
    slots: int
    state: ServerState
    sequence: int
    warmup: float = 0.0
    software: str = ""


class Departure(NamedTuple):
    """Say that a backend server leaves for good."""

    instance: str


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


def is_renewal(before: Announcement, after: Announcement) -> bool:
    """Return whether an announcement says nothing new about the server."""
    return before == after._replace(expires_at=before.expires_at, warm_at=before.warm_at)


class _Known(NamedTuple):
    sequence: int
    is_draining: bool
    is_gone: bool


class RegistrationState:
    """Hold the incarnation that is believed to live here, and those heard of before."""

    def __init__(self) -> None:
        """Start without a backend server."""
        self.current: Heartbeat | None = None
        self.heard_at = 0.0
        self.warm_at = 0.0
        self.known_by_instance: OrderedDict[str, _Known] = OrderedDict()


def _remember(state: RegistrationState, instance: str, known: _Known) -> None:
    state.known_by_instance[instance] = known
    state.known_by_instance.move_to_end(instance)
    while len(state.known_by_instance) > REMEMBERED_INSTANCES:
        state.known_by_instance.popitem(last=False)


def take(state: RegistrationState, beat: Heartbeat, now: float) -> bool:
    """Take a heartbeat and return whether it tells anything new."""
    known = state.known_by_instance.get(beat.instance, _Known(-1, False, False))
    if known.is_gone or beat.sequence <= known.sequence:
        return False
    draining = known.is_draining or beat.state is ServerState.DRAINING
    if draining:
        beat = beat._replace(state=ServerState.DRAINING)
    _remember(state, beat.instance, _Known(beat.sequence, draining, False))
    state.current = beat
    state.heard_at = now
    state.warm_at = now + beat.warmup
    return True


def retire(state: RegistrationState, instance: str) -> bool:
    """Note that an incarnation is gone; return whether it was the one believed to live here."""
    known = state.known_by_instance.get(instance, _Known(-1, False, False))
    _remember(state, instance, known._replace(is_gone=True))
    if state.current is None or state.current.instance != instance:
        return False
    state.current = None
    return True
