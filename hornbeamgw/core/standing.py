"""Rollout status: the progress of a rollout, as daemons publish it in their membership records."""

from __future__ import annotations

import enum
from typing import NamedTuple

# Maximum number of statuses in one membership record, which must fit into one datagram.
MAX_ROLLOUT_STATUSES = 8
# Value of `length_ms` at which no requests are moved.
MOVE_NONE_MS = 0xFFFF


class Phase(enum.IntEnum):
    """Phase of a service's rollout, which determines the versions that its requests go to."""

    HELD = 0  # not started: old servers only
    TRIAL = 1  # canary phase: a small share to the new version
    MOVING = 2  # the longest requests to the new version, then all requests
    BACK = 3  # rolled back: old servers only
    DONE = 4  # completed: new version only


class Closing(enum.IntEnum):
    """Requests that old servers still receive in the MOVING phase.

    A request that is not idempotent can't be retried if its server is stopped while it runs.
    """

    # All requests that are not moved.
    OPEN = 0
    # Idempotent requests only; old servers refuse the others. These go to the new version, or wait
    # if that would exceed the limit on requests to a version that has not been accepted yet
    # (`exposure.ExposureBound`).
    IDEMPOTENT = 1
    # Only retries of idempotent requests. The new version was accepted, so all other requests go to
    # it. Requests that already run on old servers finish there.
    CLOSED = 2


class RolloutStatus(NamedTuple):
    """Status of the rollout order `number`, which introduces the version `target` of a service.

    `step` increases with each change of the status. In the MOVING phase, `length_ms` is the
    expected service time at or above which requests are moved to the new version. In the TRIAL
    phase it is the length of a canary period, in which one group of canary servers gets requests.
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
        """Whether the order is completed or rolled back."""
        return self.phase >= Phase.BACK


def _rank(status: RolloutStatus) -> tuple[int, int, int]:
    """Return the precedence: newer orders first, then final phases (DONE highest), then steps."""
    decided = status.phase if status.is_final else 0
    return status.number, decided, status.step


def supersedes(received: RolloutStatus, known: RolloutStatus | None) -> bool:
    """Return whether a received status of a version replaces its known status, if any."""
    return known is None or _rank(received) > _rank(known)
