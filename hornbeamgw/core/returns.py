"""Returns: how long a caller has been trying, by the time that it says it has left.

A caller tells only what is left of its time. Nearly all requests of a route come with the same
time, that of a first try; one that comes with less was here before, by the difference.
"""

from __future__ import annotations

# Less than a round trip to the nearest callers (2 x 1 ms on the users' sheets) and one answer.
TOLERANCE_MS = 4
# A first try's time may become shorter by a change of the callers: the longest seen is forgotten
# after this long (s).
FORGET_AFTER_S = 10.0


class _Route:
    def __init__(self) -> None:
        self.longest_ms = 0
        self.seen_at = 0.0


class ReturnState:
    """Hold, by route, the longest time that callers had."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.routes_by_name: dict[str, _Route] = {}


def elapsed_before(state: ReturnState, route: str, left_ms: int, now: float) -> float:
    """Return how long (s) a caller with this much time left has tried already; 0 for a first."""
    known = state.routes_by_name.setdefault(route, _Route())
    if now - known.seen_at > FORGET_AFTER_S:
        known.longest_ms = left_ms
    if left_ms >= known.longest_ms - TOLERANCE_MS:
        known.longest_ms = max(known.longest_ms, left_ms)
        known.seen_at = now
        return 0.0
    return (known.longest_ms - left_ms) / 1000
