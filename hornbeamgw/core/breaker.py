"""Circuit breaker: stop sending requests to a backend server that drops its connections.

The breaker is in the daemon next to the server. This daemon sees all failures of the server, and
the requests that it refuses certainly did not run, so they can be retried. Without the breaker,
each other daemon would detect a failing server only through failed calls of its own, and
non-idempotent calls that may have run can't be retried.

Only early losses count: connections that are refused or lost before the request could have been
processed. A response that is lost after the work was done says nothing about the next request.
"""

from __future__ import annotations

from hornbeamgw.core import backoff

# Consecutive early losses that open the breaker. One is not enough, since the server may just have
# closed an idle connection.
OPEN_AFTER_LOSSES = 2
# A loss counts as early before this ratio of the expected service time has passed.
EARLY_LOSS_RATIO = 0.2
# Time for which the breaker stays open, that is, refuses all requests. It doubles with each opening
# up to the maximum.
OPEN_BASE_S = 0.1
OPEN_MAX_S = 0.8


class BreakerState:
    """State of the circuit breaker of one backend server.

    Attributes
    ----------
    consecutive_losses : int
        Number of early losses since the server last responded.
    open_until : float
        Time in seconds until which all requests are refused.
    probe_until : float
        Time in seconds until which no other probe request is sent.
    open_count : int
        Number of times that the breaker has opened since the server last responded.
    """

    def __init__(self) -> None:
        """Create a closed breaker."""
        self.consecutive_losses = 0
        self.open_until = 0.0
        self.probe_until = 0.0
        self.open_count = 0


def is_early_loss(elapsed_s: float, expected_s: float) -> bool:
    """Return whether a connection was lost early in a request.

    `elapsed_s` is the time from the start of the request to the loss and `expected_s` the expected
    service time, both in seconds.
    """
    return elapsed_s < EARLY_LOSS_RATIO * expected_s


def note_early_loss(state: BreakerState, now: float) -> bool:
    """Count an early loss and return whether it opens the breaker."""
    state.consecutive_losses += 1
    if state.consecutive_losses < OPEN_AFTER_LOSSES or now < state.open_until:
        return False
    state.open_until = now + backoff.ceiling(OPEN_BASE_S, OPEN_MAX_S, state.open_count)
    state.open_count += 1
    state.probe_until = 0.0
    return True


def note_sound(state: BreakerState) -> None:
    """Close the breaker (allow requests again) after any response from the server."""
    state.consecutive_losses = 0
    state.open_count = 0
    state.probe_until = 0.0


def refusal(state: BreakerState, idempotent: bool, now: float) -> float:
    """Return the time in seconds for which a request is refused, or 0 if it may be sent.

    When the breaker has been open for its full time, one idempotent request at a time is sent to
    probe whether the server has recovered.
    """
    if state.consecutive_losses < OPEN_AFTER_LOSSES:
        return 0.0
    if now < state.open_until:
        return state.open_until - now
    if not idempotent or now < state.probe_until:
        return OPEN_BASE_S
    state.probe_until = now + OPEN_BASE_S
    return 0.0
