"""Pipelining: which requests of a caller's connection may start, given those before them.

Requests run side by side only if repeating them is harmless: a response that closes the connection
discards those behind it, and their caller sends them again.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

# Requests that have started and are not completely answered.
MAX_STARTED = 8
# Requests that are read ahead to know when they arrived. Each takes a few KB.
MAX_WAITING = 16


class RequestState(NamedTuple):
    """An unanswered request on a connection.

    Attributes
    ----------
    idempotent : bool
        Whether its route allows it to run more than once.
    whole : bool
        Whether its message had been received completely by its start, or by now.
    started : bool
        Whether it has started.
    """

    idempotent: bool
    whole: bool
    started: bool


def may_start(requests: Sequence[RequestState], stopping: bool) -> int:
    """Return how many of the waiting requests may start now.

    `requests` are the unanswered ones in the order of their arrival. They start in that order, so
    those that have started come first. A request that is not idempotent or not whole runs alone.
    """
    if stopping:
        return 0
    count = 0
    for position, request in enumerate(requests[:MAX_STARTED]):
        shares = request.idempotent and request.whole
        if not request.started:
            if position and not shares:
                break
            count += 1
        if not shares:
            break
    return count


def may_read(requests: Sequence[RequestState]) -> bool:
    """Return whether the head of another request may be read from the connection."""
    return sum(not request.started for request in requests) < MAX_WAITING
