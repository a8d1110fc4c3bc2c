"""Returns: how long a caller has been trying, by the time that it says it has left.

A caller tells only what is left of its time. Where nearly all first tries of a route come with
the same time, one that comes with less was here before, by the difference. Where first tries
differ among themselves, as with callers whose patience differs by 15% on the users' grown
deployments, only a time well below all of those tells of an earlier try.
"""

from __future__ import annotations

# Less than a round trip to the nearest callers (2 x 1 ms on the users' sheets) and one answer.
TOLERANCE_MS = 4
# A first try's time may become shorter by a change of the callers: the longest seen is forgotten
# after this long (s).
FORGET_AFTER_S = 10.0
# First tries have the same time where at least this part of all tries comes with the longest: on
# an overloaded day two of three tries are returns, and first tries that differ by 15% of 2 s come
# within the tolerance of the longest once in 75.
SAME_PART = 0.15
SAME_WEIGHT = 0.02  # of the newest try, once enough were seen
# Where they differ, first tries have at least this part of the longest time.
FIRST_TRY_PART = 0.8


class _Route:
    def __init__(self) -> None:
        self.longest_ms = 0
        self.seen_at = 0.0
        self.with_longest = 1.0
        self.tries = 0


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
    has_longest = left_ms >= known.longest_ms - TOLERANCE_MS
    known.tries += 1
    weight = max(SAME_WEIGHT, 1 / (known.tries + 1))
    known.with_longest += weight * (has_longest - known.with_longest)
    if has_longest:
        known.longest_ms = max(known.longest_ms, left_ms)
        known.seen_at = now
        return 0.0
    if known.with_longest >= SAME_PART:
        return (known.longest_ms - left_ms) / 1000
    shortest_first_ms = FIRST_TRY_PART * known.longest_ms
    if left_ms >= shortest_first_ms:
        return 0.0
    typical_ms = (known.longest_ms + shortest_first_ms) / 2
    return (typical_ms - left_ms) / 1000
