"""Returns: whether a caller was here before, and whether callers of a route come back at all.

A caller tells only what is left of its time. Nearly all requests of a route come with the same
time, that of a first try; one that comes with less was here before, by the difference. A server
that calls another service asks only once: a refusal is final there, and fails the request that
it works on. So routes whose refused callers hardly ever return are told apart by what was seen.
"""

from __future__ import annotations

# Less than a round trip to the nearest callers (2 x 1 ms on the users' sheets) and one answer.
TOLERANCE_MS = 4
# A first try's time may become shorter by a change of the callers: the longest seen is forgotten
# after this long (s).
FORGET_AFTER_S = 10.0
# Callers on the sheets come back once or never; a caller whose own time runs out early looks as
# if it came back, which a third allows for.
ENOUGH_REFUSALS = 12
FINAL_BELOW = 0.35
# Older refusals and returns count half as much each time this many refusals were seen.
HALVE_AT = 200


class _Route:
    def __init__(self) -> None:
        self.longest_ms = 0
        self.seen_at = 0.0
        self.refused = 0.0
        self.returned = 0.0


class ReturnState:
    """Hold, by route, the longest time that callers had, and how often they came back."""

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
    known.returned += 1
    return (known.longest_ms - left_ms) / 1000


def note_refused(state: ReturnState, route: str) -> None:
    """Count a first try that was told to come back."""
    known = state.routes_by_name.setdefault(route, _Route())
    known.refused += 1
    if known.refused >= HALVE_AT:
        known.refused /= 2
        known.returned /= 2


def is_final(state: ReturnState, route: str) -> bool:
    """Return whether callers of a route do not come back after a refusal."""
    known = state.routes_by_name.get(route)
    if known is None or known.refused < ENOUGH_REFUSALS:
        return False
    return known.returned < FINAL_BELOW * known.refused
