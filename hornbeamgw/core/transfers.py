"""Transfers: how long an answer takes to leave a VM, after the server has given it.

On links of 3 to 6.5 Mbit/s a roster or drawing pack takes 240 to 345 ms, more than the work
behind it, and answers under way share the link. A gate that left this out would let in, at the
users' heaviest, twice as many as its link can carry in time.
"""

from __future__ import annotations

from hornbeamgw.core.pacing import PART_LEAST_BYTES

SIZE_WEIGHT = 0.1  # of the newest answer


class TransferState:
    """Hold the mean size of an answer (bytes), by route."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.sizes_by_route: dict[str, float] = {}


def note_size(state: TransferState, route: str, size: int) -> None:
    """Take the size (bytes) of an answer."""
    known = state.sizes_by_route.get(route, float(size))
    state.sizes_by_route[route] = known + SIZE_WEIGHT * (size - known)


def expected(state: TransferState, route: str, pending: int, rate: float) -> float:
    """Return how long (s) an answer takes at a rate (bytes/s, 0 for any) shared with others.

    Answers take turns part by part: one of a part or less waits for one part of each other at
    most, which is little, and a large one for all that is pending (bytes).
    """
    return time_for(state.sizes_by_route.get(route, 0.0), pending, rate)


def time_for(size: float, pending: int, rate: float) -> float:
    """Return how long (s) an answer of an expected size (bytes) takes."""
    if rate <= 0 or size <= PART_LEAST_BYTES:
        return 0.0
    return (size + pending) / rate
