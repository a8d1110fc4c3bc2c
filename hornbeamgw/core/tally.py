"""Tally: what became of the requests that ran at a backend server, as the daemon beside it counts.

What the server did counts: failures of its own, connections that it broke, and answers much slower
than the callers' daemons see elsewhere. What links, callers and other services did does not.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from hornbeamgw.core.queueing import COLD_FACTOR
from hornbeamgw.core.service_times import GUESS_OF_OBJECTIVE
from hornbeamgw.core.verdict import Failure, Reason

# An answer is slow that took so many times as long as is typical: service times spread by 0.8 of
# their mean, and of two servers one may be twice as fast.
SLOW_FACTOR = 3.0
SERVER_ERROR_STATUS = 500
MAX_ROUTES = 64


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


class AttemptOutcome(NamedTuple):
    """Hold how an attempt ended: its answer's status and how long (s) it was waited for.

    What is typical (s) comes from the caller's daemon, or is 0. A server that is cold takes longer.
    """

    failure: Failure | None
    status: int
    elapsed_s: float
    typical_s: float
    objective_s: float
    is_cold: bool = False


def slow_threshold(typical_s: float, objective_s: float, is_cold: bool) -> float:
    """Return after how long (s) a request is slow, by what is typical (s or 0) or its objective."""
    times = SLOW_FACTOR * (COLD_FACTOR if is_cold else 1.0)
    return times * (typical_s or GUESS_OF_OBJECTIVE * objective_s)


def is_bad(outcome: AttemptOutcome) -> bool | None:
    """Return whether an attempt ended badly by its server's doing, None where that says nothing."""
    is_slow = outcome.elapsed_s > slow_threshold(
        outcome.typical_s, outcome.objective_s, outcome.is_cold
    )
    if outcome.failure is None:
        return outcome.status >= SERVER_ERROR_STATUS or is_slow
    if outcome.failure.reason in (Reason.BACKEND_BROKE, Reason.BACKEND_UNREACHABLE):
        return True
    return True if outcome.failure.reason is Reason.DEADLINE and is_slow else None


def record(counts_by_route: dict[str, Count], route: str, bad: bool) -> None:
    """Count an answer."""
    known = counts_by_route.get(route)
    if known is None:
        if len(counts_by_route) >= MAX_ROUTES:
            return
        known = Count()
    counts_by_route[route] = Count(known.answers + 1, known.bad + bad)
