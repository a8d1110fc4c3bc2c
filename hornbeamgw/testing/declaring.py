"""Declaring: what a stand-in backend server declares in its answers, and who ignores it."""

from __future__ import annotations

from collections import deque
from typing import TypedDict

from hornbeamgw.core.dialect import HORNBEAMGW

# Daemons may exceed a limit by this factor and number, in any window of this length, from some
# time after the first answer that names it.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
WINDOW_S = 4.0
TOLD_AFTER_S = 0.5
# Requests may arrive for this time after the first answer that says that the server leaves.
DRAIN_S = 2.0


class Leaving(TypedDict):
    """Ids of the requests whose answers said that a run leaves, and of those that came too late."""

    told: list[str]
    late: list[str]


class Declaring:
    """The declarations of one server, and the requests that exceed them.

    Attributes
    ----------
    over_limit : int
        Requests beyond what a limit allows.
    leavings : list of Leaving
        One entry for each run that has said that it leaves.
    """

    def __init__(self) -> None:
        """Start without declaring anything."""
        self.limit: float | None = None
        self.is_leaving = False
        self.over_limit = 0
        self.limits_named = 0
        self.leavings: list[Leaving] = []
        self._named_at: float | None = None
        self._left_at: float | None = None
        self._arrivals: deque[float] = deque()

    def set_limit(self, limit: float | None) -> None:
        """Name a limit in requests per second from now on, or none."""
        self.limit = limit
        self.limits_named += limit is not None
        self._named_at = None
        self._arrivals.clear()

    def set_leaving(self, is_leaving: bool) -> None:
        """Say from now on that the server leaves, or no longer say it."""
        self.is_leaving = is_leaving
        self._left_at = None
        if is_leaving:
            self.leavings.append(Leaving(told=[], late=[]))

    def note_arrival(self, request_id: str, now: float) -> None:
        """Record a request that arrives now (s)."""
        if self._left_at is not None and now > self._left_at + DRAIN_S:
            self.leavings[-1]["late"].append(request_id)
        if self.limit is None or self._named_at is None or now < self._named_at + TOLD_AFTER_S:
            return
        self._arrivals.append(now)
        while self._arrivals[0] <= now - WINDOW_S:
            self._arrivals.popleft()
        allowed = ALLOWED_FACTOR * self.limit * WINDOW_S + ALLOWED_EXTRA
        self.over_limit += len(self._arrivals) > allowed

    def headers(self, request_id: str, now: float) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that is sent now (s)."""
        headers = []
        if self.limit is not None:
            self._named_at = now if self._named_at is None else self._named_at
            headers.append((HORNBEAMGW.rate_limit, f"{self.limit:g}".encode()))
        if self.is_leaving:
            self._left_at = now if self._left_at is None else self._left_at
            self.leavings[-1]["told"].append(request_id)
            headers.append((HORNBEAMGW.leaving, b"1"))
        return headers
