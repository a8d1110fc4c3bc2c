"""Standing: how far a rollout has come, as records of daemons tell it."""

from __future__ import annotations

import enum
from typing import NamedTuple

# Services that are rolled out at once are few; a record stays within one datagram.
MAX_ROLLOUT_STATUSES = 8
MOVE_NONE_MS = 0xFFFF


class Phase(enum.IntEnum):
    """Say where the requests for a service go while a version of it is rolled out."""

    HELD = 0  # to the servers of before alone
    TRIAL = 1  # a small part to the new version
    MOVING = 2  # the longest requests to the new version, then all
    BACK = 3  # for good to the servers of before
    DONE = 4  # for good to the new version


class Closing(enum.IntEnum):
    """Say what servers of before are still given while requests are moving.

    A request that is not idempotent is lost to its caller if the server stops beneath it.
    """

    OPEN = 0  # what is not moved
    IDEMPOTENT = 1  # no other; those go to the new version, or wait where the bound leaves no room
    CLOSED = 2  # none, as the new version was found good; what runs goes on to its end


class RolloutStatus(NamedTuple):
    """Hold how far an order has come; the step rises with each change.

    While requests are moving, those that are expected to take at least the length (ms) are moved;
    during a trial it is how long servers have their turn.
    """

    service: str
    target: str
    number: int
    phase: Phase
    step: int = 0
    length_ms: int = MOVE_NONE_MS
    closing: Closing = Closing.OPEN

    @property
    def is_final(self) -> bool:
        """Return whether the order is decided."""
        return self.phase >= Phase.BACK


def _rank(status: RolloutStatus) -> tuple[int, int, int]:
    """Rank what is told of one order: what is decided wins, and what was written down most."""
    decided = status.phase if status.is_final else 0
    return status.number, decided, status.step


def supersedes(received: RolloutStatus, held: RolloutStatus | None) -> bool:
    """Return whether a standing takes the place of the one held for the same version."""
    return held is None or _rank(received) > _rank(held)
