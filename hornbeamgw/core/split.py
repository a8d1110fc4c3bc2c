"""Traffic splits: distribute the requests of a route among services by weight.

Each daemon applies smooth weighted round robin, without coordination with others. Its distribution
stays within one request of the weights, and random initial credits keep daemons out of step.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from hornbeamgw.core.snapshot import Destination, Route

MAX_ROUTES = 4096


class SplitState:
    """Credit of each service, by route."""

    def __init__(self) -> None:
        """Start without routes."""
        self.credits_by_route: dict[str, dict[str, float]] = {}


def choose(state: SplitState, route: Route, rng: random.Random) -> str:
    """Return the service that receives the next request of a route."""
    if len(route.destinations) == 1:
        return route.destinations[0].service
    credits = state.credits_by_route.get(route.name)
    if credits is None or credits.keys() != {part.service for part in route.destinations}:
        credits = _initial_credits(route.destinations, rng)
        if len(state.credits_by_route) >= MAX_ROUTES:
            state.credits_by_route.clear()
        state.credits_by_route[route.name] = credits
    for part in route.destinations:
        credits[part.service] += part.share
    chosen = max(credits, key=lambda service: credits[service])
    credits[chosen] -= 1
    return chosen


def _initial_credits(parts: Sequence[Destination], rng: random.Random) -> dict[str, float]:
    drawn = {part.service: rng.random() * part.share for part in parts}
    mean = sum(drawn.values()) / len(drawn)
    return {service: value - mean for service, value in drawn.items()}
