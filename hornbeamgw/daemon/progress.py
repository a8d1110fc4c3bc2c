"""Progress: how far an answer has been passed on, and what the rest of it waits for."""

from __future__ import annotations

import enum
from typing import NamedTuple

# As many are told of when a daemon ends with work in flight; the others are counted.
MOST_TOLD = 50


class WaitsFor(enum.StrEnum):
    """Name what an answer waits for."""

    SERVER = "server"
    OTHER_DAEMON = "other_daemon"
    LINK = "link"
    CALLER = "caller"


class Progress:
    """Hold the bytes of a body passed on so far, and since when (loop time, s) the rest waits."""

    def __init__(self, now: float) -> None:
        """Start with a wait for the backend server."""
        self.passed_on = 0
        self.waits_for = WaitsFor.SERVER
        self.since = now

    def wait(self, waits_for: WaitsFor, now: float) -> None:
        """Take what is waited for from now on."""
        self.waits_for = waits_for
        self.since = now


class Unfinished(NamedTuple):
    """Tell of a call under way: bytes of its answer passed on, and its wait (ms)."""

    call_id: str
    passed_on: int
    waits_for: WaitsFor
    waited_ms: int


def unfinished(call_id: str, progress: Progress, now: float) -> Unfinished:
    """Return what there is to tell of a call under way."""
    waited_ms = round((now - progress.since) * 1000)
    return Unfinished(call_id, progress.passed_on, progress.waits_for, waited_ms)
