"""Rate limits: start no more requests per second at a backend server than it has declared to take.

The limit is kept as a token bucket by the daemon next to the server, which every request passes.
A request that finds no token is refused at once, so that the caller's daemon can try another
server. More urgent requests may use tokens that less urgent ones leave in the bucket.

The limit holds until an answer to a request that was sent after the last declaration no longer has
one. A server that takes next to nothing still gets a request from time to time, as there is no
other way to learn that its limit has ended.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from hornbeamgw.core.slots import RateLimitState, Request

# Unused tokens are kept for this time, and at least so many. Without them, a token that arrives
# between two requests would be lost.
BURST_S = 0.5
MIN_BURST = 2.0
# Rate at which requests are sent to a server with a lower limit, to learn when the limit ends.
MIN_RATE_PER_S = 0.5
# Tokens are left to more urgent requests if one of their priority came less than this time ago.
PRIORITY_RETENTION_S = 2.0
# Part of a token that may be missing because of rounding.
ROUNDING_TOLERANCE = 1e-6
# Longest delay after which a refused caller is asked to retry.
MAX_RETRY_AFTER_S = 5.0


def is_limited(state: RateLimitState) -> bool:
    """Return whether the server has a limit."""
    return state.limit is not None


def _rate(state: RateLimitState) -> float:
    """Return the tokens per second."""
    return math.inf if state.limit is None else max(state.limit, MIN_RATE_PER_S)


def _burst(state: RateLimitState) -> float:
    """Return the number of tokens that the bucket holds."""
    return max(MIN_BURST, BURST_S * _rate(state))


def _tokens(state: RateLimitState, now: float) -> float:
    return min(_burst(state), state.tokens + _rate(state) * (now - state.tokens_at))


def name(state: RateLimitState, limit: float, now: float) -> None:
    """Set the limit that the server declares now; it begins with a single token."""
    state.tokens = _tokens(state, now) if is_limited(state) else 1.0
    state.tokens_at = state.named_at = now
    state.limit = limit


def end(state: RateLimitState, sent_at: float) -> None:
    """End the limit because the answer to a request sent at `sent_at` (s) does not declare one.

    Answers may overtake one another, so requests sent before the last declaration prove nothing.
    """
    if sent_at > state.named_at:
        state.limit = None
        state.retry_at_by_priority.clear()


def record_priority(state: RateLimitState, priority: int, now: float) -> None:
    """Record that a request of this priority has arrived."""
    if is_limited(state):
        state.seen_at_by_priority[priority] = now


def _reserve(state: RateLimitState, priority: int, now: float) -> float:
    """Return the number of tokens that are left to more urgent requests."""
    recent = {p for p, at in state.seen_at_by_priority.items() if now - at < PRIORITY_RETENTION_S}
    more_urgent = sum(p < priority for p in recent)
    return (_burst(state) - 1) * more_urgent / len(recent | {priority})


def wait(state: RateLimitState, priority: int, ahead: int, now: float) -> float:
    """Return the time in seconds until a request finds a token, or 0 if there is one now.

    `ahead` is the number of requests that are queued and have not used their tokens yet.
    """
    if not is_limited(state):
        return 0.0
    missing = 1 + _reserve(state, priority, now) + ahead - _tokens(state, now)
    return missing / _rate(state) if missing > ROUNDING_TOLERANCE else 0.0


def retry_after(state: RateLimitState, priority: int, ahead: int, now: float) -> float:
    """Return the delay in seconds after which a refused request should be sent again.

    Callers that are refused one after another are told different times, the more urgent first.
    """
    retry_at = now + wait(state, priority, ahead, now)
    for other, last_at in state.retry_at_by_priority.items():
        if other <= priority:
            # Callers of higher priority are expected to leave the bucket empty.
            needed = 1 + (_reserve(state, priority, now) if other < priority else 0)
            retry_at = max(retry_at, last_at + needed / _rate(state))
    retry_at = min(retry_at, now + MAX_RETRY_AFTER_S)
    state.retry_at_by_priority[priority] = retry_at
    return retry_at - now


def spend(state: RateLimitState, now: float) -> None:
    """Take the token of a request that starts."""
    if is_limited(state):
        state.tokens, state.tokens_at = _tokens(state, now) - 1, now


def free_tokens(state: RateLimitState, ahead: int, now: float) -> float:
    """Return the number of tokens that no queued request needs; infinite without a limit."""
    return max(0.0, _tokens(state, now) - ahead) if is_limited(state) else math.inf


def excess(state: RateLimitState, queue: Sequence[Request], now: float) -> list[Request]:
    """Return the queued requests for which there are no tokens, the least urgent."""
    if not is_limited(state):
        return []
    by_urgency = sorted(queue, key=lambda request: request.priority)
    return by_urgency[int(_tokens(state, now) + ROUNDING_TOLERANCE) :]
