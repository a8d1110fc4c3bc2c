"""Tally: what became of the requests that ran at a backend server, as the daemon beside it counts.

What the server did counts: failures of its own, connections that it broke, and answers much slower
than the callers' daemons see elsewhere. What links, callers and other services did does not.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from hornbeamgw.core.queueing import COLD_SERVICE_TIME_FACTOR
from hornbeamgw.core.service_times import GUESS_OF_OBJECTIVE
from hornbeamgw.core.verdict import Failure, Reason

# An answer is slow that took so many times as long as is typical: service times spread by 0.8 of
# their mean, and of two servers one may be twice as fast.
SLOW_TIMES = 3.0
SERVER_ERROR = 500
KEPT_ROUTES = 64


class Count(NamedTuple):
    """Hold how many answers there were, and how many of them were bad."""

    answers: int = 0
    bad: int = 0


class Tally(NamedTuple):
    """Hold what was counted at a server, by its number there, since that run of it began.

    Beside it goes at which step of a rollout the server was closed, 0 while it is open, and how
    many requests that are not idempotent a closed one still holds.
    """

    service: str
    server: int
    software: str
    counts_by_route: Mapping[str, Count]
    closed_step: int = 0
    unsafe: int = 0


class Ended(NamedTuple):
    """Hold how an attempt ended: its answer's status and how long (s) it was waited for.

    What is typical (s) comes from the caller's daemon, or is 0. A server that is cold takes longer.
    """

    failure: Failure | None
    status: int
    held: float
    typical: float
    aim: float
    is_cold: bool = False


def slow_after(typical: float, aim: float, is_cold: bool) -> float:
    """Return after how long (s) a request is slow, by what is typical (s or 0) or its objective."""
    times = SLOW_TIMES * (COLD_SERVICE_TIME_FACTOR if is_cold else 1.0)
    return times * (typical or GUESS_OF_OBJECTIVE * aim)


def is_bad(ended: Ended) -> bool | None:
    """Return whether an attempt ended badly by its server's doing, None where that says nothing."""
    is_slow = ended.held > slow_after(ended.typical, ended.aim, ended.is_cold)
    if ended.failure is None:
        return ended.status >= SERVER_ERROR or is_slow
    if ended.failure.reason in (Reason.BACKEND_BROKE, Reason.BACKEND_UNREACHABLE):
        return True
    return True if ended.failure.reason is Reason.DEADLINE and is_slow else None


def note(counts_by_route: dict[str, Count], route: str, bad: bool) -> None:
    """Count an answer."""
    known = counts_by_route.get(route)
    if known is None:
        if len(counts_by_route) >= KEPT_ROUTES:
            return
        known = Count()
    counts_by_route[route] = Count(known.answers + 1, known.bad + bad)
