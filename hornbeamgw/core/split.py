"""Traffic splits: distribute the requests of a route among services by weight.

Each daemon applies smooth weighted round robin, without coordination with other daemons. The number
of requests that a service receives differs from its weighted share by at most one. Random initial
credits prevent all daemons from selecting the same service at the same time. A service's credit
grows by its share with each request of the route, and falls by 1 when the service is selected.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from hornbeamgw.core.snapshot import Destination, Route

# All credits are discarded when a further route would exceed this number.
MAX_ROUTES = 4096


class SplitState:
    """Credit of each service, by route; the service with the highest credit is selected."""

    def __init__(self) -> None:
        """Start without routes."""
        self.credits_by_route: dict[str, dict[str, float]] = {}


def choose(state: SplitState, route: Route, rng: random.Random) -> str:
    """Return the service that receives the next request of a route."""
    if len(route.destinations) == 1:
        return route.destinations[0].service
    credits = state.credits_by_route.get(route.name)
    if credits is None or credits.keys() != {
        destination.service for destination in route.destinations
    }:
        credits = _initial_credits(route.destinations, rng)
        if len(state.credits_by_route) >= MAX_ROUTES:
            state.credits_by_route.clear()
        state.credits_by_route[route.name] = credits
    for destination in route.destinations:
        credits[destination.service] += destination.share
    chosen = max(credits, key=lambda service: credits[service])
    credits[chosen] -= 1
    return chosen


def _initial_credits(destinations: Sequence[Destination], rng: random.Random) -> dict[str, float]:
    """Return random credits by service, shifted so that their sum is 0."""
    drawn = {destination.service: rng.random() * destination.share for destination in destinations}
    mean = sum(drawn.values()) / len(drawn)
    return {service: value - mean for service, value in drawn.items()}
