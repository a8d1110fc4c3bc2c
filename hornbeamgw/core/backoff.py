"""Exponential backoff: the longest delay before the next try after a number of failures."""

from __future__ import annotations

# Enough to reach the limit of each caller. Without a limit the power would overflow a float after
# about a thousand failures, which an outage of a quarter of an hour can bring.
MAX_DOUBLINGS = 32


def ceiling(base_s: float, limit_s: float, failures: int) -> float:
    """Return the delay in seconds: `base_s`, doubled for each failure, up to `limit_s`."""
    return min(limit_s, base_s * 2.0 ** min(failures, MAX_DOUBLINGS))
