"""Returns: how long a caller has been trying, by the time it says that it has left.

A caller tells only what is left of its time. Nearly all requests of a route come with the same
time, that of a first try; one that comes with less was here before, by the difference.
"""

from __future__ import annotations

# Less than a round trip to the nearest callers (2 x 1 ms on the users' sheets) and one answer.
TOLERANCE_MS = 4
# A first try's time may become shorter by a change of the callers: the longest seen is forgotten
# after this long (s).
FORGET_AFTER_S = 10.0


class ReturnState:
    """Hold the longest time that callers of each route had, and when that was seen."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.longest_by_route: dict[str, tuple[int, float]] = {}


def elapsed_before(state: ReturnState, route: str, left_ms: int, now: float) -> float:
    """Return how long (s) a caller with this much time left has tried already; 0 for a first."""
    longest, seen_at = state.longest_by_route.get(route, (0, now))
    if left_ms >= longest - TOLERANCE_MS or now - seen_at > FORGET_AFTER_S:
        state.longest_by_route[route] = (left_ms, now)
        return 0.0
    return (longest - left_ms) / 1000
