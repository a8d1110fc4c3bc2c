"""Backlog: estimate when queued requests will start.

Each request, in queue order, takes the slot that becomes free first (list scheduling).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence


def start_times(slots_free_at: Iterable[float], durations: Sequence[float]) -> list[float]:
    """Return the start time of each queued request in seconds; infinite if there are no slots.

    Parameters
    ----------
    slots_free_at : iterable of float
        Time in seconds at which each slot becomes free.
    durations : sequence of float
        Service time in seconds of each request, in queue order.
    """
    slots = list(slots_free_at)
    if not slots:
        return [float("inf")] * len(durations)
    heapq.heapify(slots)
    starts = []
    for duration in durations:
        start = slots[0]
        starts.append(start)
        heapq.heapreplace(slots, start + duration)
    return starts
