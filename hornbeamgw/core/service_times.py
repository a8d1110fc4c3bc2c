"""Service times: estimate how long the requests of each route occupy a slot.

Requests of different routes on the same server can differ by an order of magnitude, so each route
has its own estimate. Before its first measurement it is derived from the latency objective.
"""

from __future__ import annotations

from typing import NamedTuple

# Weight of the newest measurement in the moving averages. At 20 requests/s the estimate follows a
# change within a second.
SMOOTHING_FACTOR = 0.08
# Estimate before the first measurement, relative to the latency objective. Known objectives are 2.5
# to 4 times the service time.
INITIAL_TIME_RATIO = 0.3
# Expected remaining time of a request that has exceeded its estimate, relative to its age. Service
# times are heavy-tailed, so requests that already took long are expected to take longer still. 1%
# of the requests take 3 to 5 times the mean.
OVERDUE_RATIO = 0.5


class Estimate(NamedTuple):
    """Mean service time and its mean absolute deviation, in seconds."""

    mean: float
    deviation: float


class ServiceTimes:
    """The service time estimate of each route."""

    def __init__(self) -> None:
        """Start without measurements."""
        self.estimates_by_route: dict[str, Estimate] = {}


def expected_time(times: ServiceTimes, route: str, latency_objective: float) -> float:
    """Return the expected service time in seconds of a route with a latency objective (s)."""
    known = times.estimates_by_route.get(route)
    return known.mean if known is not None else INITIAL_TIME_RATIO * latency_objective


def record(times: ServiceTimes, route: str, elapsed: float) -> None:
    """Update the estimate of a route with a measured service time in seconds."""
    known = times.estimates_by_route.get(route)
    if known is None:
        times.estimates_by_route[route] = Estimate(elapsed, elapsed / 2)
        return
    mean = known.mean + SMOOTHING_FACTOR * (elapsed - known.mean)
    deviation = known.deviation + SMOOTHING_FACTOR * (abs(elapsed - mean) - known.deviation)
    times.estimates_by_route[route] = Estimate(mean, deviation)


def remaining(mean: float, age: float) -> float:
    """Return the expected remaining service time in seconds.

    `mean` is the expected total service time and `age` the elapsed time, both in seconds.
    """
    return max(mean - age, OVERDUE_RATIO * age if age > mean else 0.0, 0.001)
