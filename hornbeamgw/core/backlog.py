"""Backlog: when requests that wait for a slot will start, by list scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence


def starts(free_at: Iterable[float], lengths: Sequence[float]) -> list[float]:
    """Return when each of the waiting starts, in their order, given when each slot is free (s)."""
    slots = list(free_at)
    if not slots:
        return [float("inf")] * len(lengths)
    heapq.heapify(slots)
    found = []
    for length in lengths:
        start = slots[0]
        found.append(start)
        heapq.heapreplace(slots, start + length)
    return found
