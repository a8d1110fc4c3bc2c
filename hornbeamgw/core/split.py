"""Splits: share the requests of a route among services by weight, without coordination.

Each daemon hands out turns by accumulated credit, which keeps its own shares within one request
of the weights; a daemon starts at a random point, so that many of them do not start alike.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from hornbeamgw.core.snapshot import Destination, Route

KEPT_ROUTES = 4096


class SplitState:
    """Hold the credit of each service, by route."""

    def __init__(self) -> None:
        """Start without credit."""
        self.credits_by_route: dict[str, dict[str, float]] = {}


def choose(state: SplitState, route: Route, rng: random.Random) -> str:
    """Return the service whose turn it is."""
    if len(route.destinations) == 1:
        return route.destinations[0].service
    credits = state.credits_by_route.get(route.name)
    if credits is None or credits.keys() != {part.service for part in route.destinations}:
        credits = _start(route.destinations, rng)
        if len(state.credits_by_route) >= KEPT_ROUTES:
            state.credits_by_route.clear()
        state.credits_by_route[route.name] = credits
    for part in route.destinations:
        credits[part.service] += part.share
    chosen = max(credits, key=lambda service: credits[service])
    credits[chosen] -= 1
    return chosen


def _start(parts: Sequence[Destination], rng: random.Random) -> dict[str, float]:
    drawn = {part.service: rng.random() * part.share for part in parts}
    mean = sum(drawn.values()) / len(drawn)
    return {service: value - mean for service, value in drawn.items()}
