"""Service times: how long requests of each route hold a slot, as measured.

A mean over all routes is wrong for each of them where work of 15 ms and of 240 ms shares a
server, so each route has its own. Until one is measured, its latency objective gives a guess.
"""

from __future__ import annotations

from typing import NamedTuple

# Weight of the newest time; at 20 requests a second the estimate follows a change in a second.
WEIGHT = 0.08
# The users' sheets set objectives at 2.5 to 4 times the work.
GUESS_OF_OBJECTIVE = 0.3
# A request that has outlasted its estimate is taken to need this part of its age once more,
# since heavy tails (1% of requests last 3 to 5 times the mean) make old ones last longer.
OVERDUE_PART = 0.5


class Estimate(NamedTuple):
    """Hold the mean time (s) and its mean deviation (s)."""

    mean: float
    deviation: float


class ServiceTimes:
    """Hold an estimate for each route."""

    def __init__(self) -> None:
        """Start with nothing measured."""
        self.estimates_by_route: dict[str, Estimate] = {}


def expected(times: ServiceTimes, route: str, objective: float) -> float:
    """Return how long (s) a request of a route with this objective (s) holds a slot."""
    known = times.estimates_by_route.get(route)
    return known.mean if known is not None else GUESS_OF_OBJECTIVE * objective


def note(times: ServiceTimes, route: str, elapsed: float) -> None:
    """Take the time (s) that a request held a slot."""
    known = times.estimates_by_route.get(route)
    if known is None:
        times.estimates_by_route[route] = Estimate(elapsed, elapsed / 2)
        return
    mean = known.mean + WEIGHT * (elapsed - known.mean)
    deviation = known.deviation + WEIGHT * (abs(elapsed - mean) - known.deviation)
    times.estimates_by_route[route] = Estimate(mean, deviation)


def remaining(mean: float, age: float) -> float:
    """Return how much longer (s) a request of this age (s) is expected to hold its slot."""
    return max(mean - age, OVERDUE_PART * age if age > mean else 0.0, 0.001)
