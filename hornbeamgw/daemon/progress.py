"""Progress: how much of an answer has been forwarded, and what its remainder waits for."""

from __future__ import annotations

import enum
from typing import NamedTuple

# Limits the log lines of a daemon that stops with calls in flight.
MAX_LOGGED_CALLS = 50


class WaitsFor(enum.StrEnum):
    """What the unsent remainder of an answer waits for."""

    SERVER = "server"
    OTHER_DAEMON = "other_daemon"
    LINK = "link"
    CALLER = "caller"


class Progress:
    """How many bytes of a body were forwarded, what the rest waits for, and since when.

    `waiting_since` is loop time in seconds.
    """

    def __init__(self, now: float) -> None:
        """Start as waiting for the backend server."""
        self.forwarded_bytes = 0
        self.waits_for = WaitsFor.SERVER
        self.waiting_since = now

    def record_wait(self, waits_for: WaitsFor, now: float) -> None:
        """Record what the answer waits for from now on."""
        self.waits_for = waits_for
        self.waiting_since = now


class Unfinished(NamedTuple):
    """A call in flight, with the forwarded bytes of its answer and its current wait in ms.

    The field names are keys of log lines.
    """

    call_id: str
    passed_on: int
    waits_for: WaitsFor
    waited_ms: int


def unfinished(call_id: str, progress: Progress, now: float) -> Unfinished:
    """Return a summary of a call in flight for logging."""
    waited_ms = round((now - progress.waiting_since) * 1000)
    return Unfinished(call_id, progress.forwarded_bytes, progress.waits_for, waited_ms)
