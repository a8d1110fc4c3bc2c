"""Tally: counts of good and bad answers of a backend server, kept by the daemon next to it.

Only faults of the server count as bad: errors that it returned, connections that it broke, and
answers much slower than those that the callers' daemons get from other servers. Faults of links,
callers and other services don't count.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from hornbeamgw.core.queueing import COLD_SERVICE_TIME_FACTOR
from hornbeamgw.core.service_times import INITIAL_TIME_RATIO
from hornbeamgw.core.verdict import Failure, Reason

# An attempt is slow if it took longer than the typical duration of its route times this factor,
# which allows for the variation of service times and for servers of different speed. Service times
# spread by 0.8 of their mean, and one of two servers may be twice as fast.
SLOW_FACTOR = 3.0
SERVER_ERROR_STATUS = 500
MAX_ROUTES = 64


class Count(NamedTuple):
    """Number of answers, and how many of them were bad."""

    answers: int = 0
    bad: int = 0


class Tally(NamedTuple):
    """Counts of a server since it was started; `server` is the number that its daemon gave it.

    `closed_step` is the rollout step in which the server accepts no non-idempotent requests, or 0
    if it accepts them. `unsafe` is the number of non-idempotent requests that still run on the
    server, or 0 if `closed_step` is 0.
    """

    service: str
    server: int
    software: str
    counts_by_route: Mapping[str, Count]
    closed_step: int = 0
    unsafe: int = 0


class AttemptOutcome(NamedTuple):
    """How an attempt ended: its failure, if any, the answer's status, and its duration in seconds.

    `typical_s` is the typical duration on the route in seconds, as sent by the caller's daemon, or
    0 if unknown; `objective_s` is the latency objective in seconds. If `is_cold`, the server was
    still warming up, and a longer duration is accepted.
    """

    failure: Failure | None
    status: int
    elapsed_s: float
    typical_s: float
    objective_s: float
    is_cold: bool = False


def slow_threshold(typical_s: float, objective_s: float, is_cold: bool) -> float:
    """Return the duration in seconds above which an attempt counts as slow.

    It is derived from the typical duration or, if that is 0, from the latency objective.
    """
    factor = SLOW_FACTOR * (COLD_SERVICE_TIME_FACTOR if is_cold else 1.0)
    return factor * (typical_s or INITIAL_TIME_RATIO * objective_s)


def is_bad(outcome: AttemptOutcome) -> bool | None:
    """Return whether an attempt ended badly because of the server, or None if that is unknown."""
    is_slow = outcome.elapsed_s > slow_threshold(
        outcome.typical_s, outcome.objective_s, outcome.is_cold
    )
    if outcome.failure is None:
        return outcome.status >= SERVER_ERROR_STATUS or is_slow
    if outcome.failure.reason in (Reason.BACKEND_BROKE, Reason.BACKEND_UNREACHABLE):
        return True
    return True if outcome.failure.reason is Reason.DEADLINE and is_slow else None


def record(counts_by_route: dict[str, Count], route: str, bad: bool) -> None:
    """Count an answer on a route; once MAX_ROUTES routes are known, further ones are ignored."""
    known = counts_by_route.get(route)
    if known is None:
        if len(counts_by_route) >= MAX_ROUTES:
            return
        known = Count()
    counts_by_route[route] = Count(known.answers + 1, known.bad + bad)
