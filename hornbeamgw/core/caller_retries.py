"""Caller retries: detect retries by callers from the deadline that they send.

A caller only sends the time left until its deadline. If nearly all first tries of a route start
with the same time limit, a request with less time is a retry, and the difference is the time that
the caller has already spent. If the limits of first tries vary, only a request with much less time
than any first try is taken for a retry.
"""

from __future__ import annotations

# Time limits are considered equal up to this difference, which is shorter than any caller's retry.
# A retry takes at least a round trip (2 x 1 ms to the nearest known callers) and one answer.
TOLERANCE_MS = 4
# The longest time limit of a route is discarded if no request had it for this time, in case callers
# have lowered their limit.
FORGET_AFTER_S = 10.0
# First tries are assumed to have equal limits if at least this ratio of all requests has the
# longest one. The ratio is low because under overload most requests are retries. On an overloaded
# day two of three requests are retries. First tries whose limits differ by 15% of 2 s come within
# the tolerance of the longest once in 75.
UNIFORM_LIMIT_RATIO = 0.15
# Weight of the newest request in the moving average, after the first few requests.
SMOOTHING_FACTOR = 0.02
# If the limits of first tries vary, the shortest of them relative to the longest.
FIRST_TRY_MIN_RATIO = 0.8


class _Route:
    """Time limits seen on a route; `with_longest` is the ratio of requests with the longest."""

    def __init__(self) -> None:
        self.longest_ms = 0
        self.seen_at = 0.0
        self.with_longest = 1.0
        self.tries = 0


class ReturnState:
    """Time limits of recent requests, by route."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.routes_by_name: dict[str, _Route] = {}


def elapsed_before(state: ReturnState, route: str, left_ms: int, now: float) -> float:
    """Return the time in seconds that a caller has spent on earlier tries; 0 for a first try.

    `left_ms` is the time until the caller's deadline, and `now` the current time in seconds.
    """
    known = state.routes_by_name.setdefault(route, _Route())
    if now - known.seen_at > FORGET_AFTER_S:
        known.longest_ms = left_ms
    has_longest = left_ms >= known.longest_ms - TOLERANCE_MS
    known.tries += 1
    weight = max(SMOOTHING_FACTOR, 1 / (known.tries + 1))
    known.with_longest += weight * (has_longest - known.with_longest)
    if has_longest:
        known.longest_ms = max(known.longest_ms, left_ms)
        known.seen_at = now
        return 0.0
    if known.with_longest >= UNIFORM_LIMIT_RATIO:
        return (known.longest_ms - left_ms) / 1000
    shortest_first_ms = FIRST_TRY_MIN_RATIO * known.longest_ms
    if left_ms >= shortest_first_ms:
        return 0.0
    typical_ms = (known.longest_ms + shortest_first_ms) / 2
    return (typical_ms - left_ms) / 1000
