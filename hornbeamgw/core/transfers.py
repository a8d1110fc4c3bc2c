"""Transfers: estimate how long an answer takes to be sent from a VM.

On narrow links, sending a large answer can take longer than processing the request, and concurrent
answers share the link. Admission control has to include this time, or it would admit more requests
than the link can answer in time.
"""

from __future__ import annotations

from collections import Counter

from hornbeamgw.core.pacing import PART_MIN_BYTES

SIZE_SMOOTHING_FACTOR = 0.1


class TransferState:
    """Mean size of an answer in bytes and the number of answers, by route."""

    def __init__(self) -> None:
        """Start without measurements."""
        self.sizes_by_route: dict[str, float] = {}
        self.counts_by_route: Counter[str] = Counter()


def updated_mean(mean: float, count: int, size: float, smoothing_factor: float) -> float:
    """Return the mean size of `count` answers and one more; all sizes are in bytes.

    It is the plain mean of the first answers, since the sizes of one route differ by a factor of
    ten or more, and a moving average that begins with the first one would depend on it for long.
    """
    return mean + max(smoothing_factor, 1 / (count + 1)) * (size - mean)


def note_size(state: TransferState, route: str, size: int) -> None:
    """Update the mean size of a route's answers with the size of one, in bytes."""
    mean, count = state.sizes_by_route.get(route, 0.0), state.counts_by_route[route]
    state.sizes_by_route[route] = updated_mean(mean, count, size, SIZE_SMOOTHING_FACTOR)
    state.counts_by_route[route] += 1


def expected_size(state: TransferState, route: str) -> float:
    """Return the expected size in bytes of a route's answer, 0 before the first one."""
    return state.sizes_by_route.get(route, 0.0)


def expected_time(state: TransferState, route: str, pending: int, rate: float) -> float:
    """Return the expected transfer time of an answer in seconds.

    Concurrent answers are sent alternately, one part at a time. The delay of an answer that fits
    into one part is negligible; a larger answer is expected to wait for all pending bytes.

    Parameters
    ----------
    state : TransferState
        Mean sizes of answers.
    route : str
        Route of the request.
    pending : int
        Bytes of other answers that are still to be sent.
    rate : float
        Send rate of the link in bytes/s; 0 if unlimited.
    """
    return transfer_time(expected_size(state, route), pending, rate)


def transfer_time(size: float, pending: float, rate: float) -> float:
    """Return the transfer time in seconds of an answer of `size` bytes.

    `pending` and `rate` are as for `expected_time`.
    """
    if rate <= 0 or size <= PART_MIN_BYTES:
        return 0.0
    return (size + pending) / rate


def wait_for_room(size: float, backlog: float, rate: float, max_backlog_s: float) -> float:
    """Return the time in seconds until an answer may be accepted, 0 if it may be now.

    With it, all accepted answers take at most `max_backlog_s` seconds to send. An answer that takes
    longer by itself is accepted if the link has nothing else to send.

    Parameters
    ----------
    size : float
        Expected size of the answer in bytes.
    backlog : float
        Bytes of the answers accepted before that are still to be sent.
    rate : float
        Send rate of the link in bytes/s; 0 if unlimited.
    max_backlog_s : float
        Limit in seconds; may be infinite.
    """
    excess = transfer_time(size, backlog, rate) - max_backlog_s
    return max(0.0, min(excess, backlog / rate)) if rate > 0 else 0.0
