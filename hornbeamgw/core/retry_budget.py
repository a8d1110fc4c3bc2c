"""Retry budget: limit retries across the whole fleet.

The limit for a service is a ratio of its requests in a time window plus a fixed slack. It is
enforced without coordination: each daemon spends only what its own requests earn, and an equal
share of the slack. A retried request repeats its nested calls as well. Therefore the daemon next to
a server charges each nested request to the budget as a fraction of a retry: the ratio of retries
among the requests that run on that server.

If a service refuses many requests at once, retries of less urgent requests could use up the budget
that more urgent ones need. While requests to more urgent routes are being received, less urgent
ones may only use part of the budget. Of what more urgent organisations need, only their share of
the requests is kept for them, as a few of them may be far more urgent than most.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

# Ratio of the budget that may be spent. The rest is a margin for requests in flight and for windows
# that are not aligned across daemons.
SPENDABLE_RATIO = 0.9
# Ratio of the spendable budget that less urgent requests may use while more urgent ones arrive.
LESS_URGENT_RATIO = 0.5
# A rank has the priority of the organisation in its upper bits (`organisations.rank`).
ROUTE_BITS = 8


class Bound(NamedTuple):
    """The retry limit of the whole fleet.

    Attributes
    ----------
    ratio : float
        Retries per request.
    slack : float
        Additional retries in a window, regardless of the number of requests.
    window : float
        Length of the window in seconds.
    """

    ratio: float
    slack: float
    window: float


class _Window:
    """Times (s) of the requests and retries to one service in the current window.

    `nested_retries` has the time of each nested request and the probability that a retry caused it,
    `organisation_priorities` the priority of the organisation of each request.
    """

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()
        self.nested_retries: deque[tuple[float, float]] = deque()
        self.nested_retry_sum = 0.0
        self.seen_at_by_priority: dict[int, float] = {}
        self.organisation_priorities: deque[int] = deque()
        self.counts_by_organisation_priority: Counter[int] = Counter()


class BudgetState:
    """Times of requests and retries by service, and the largest observed size of the fleet."""

    def __init__(self, bound: Bound) -> None:
        """Start without requests."""
        self.bound = bound
        self.members = 1
        self.windows_by_service: dict[str, _Window] = {}


def _window(state: BudgetState, service: str, now: float) -> _Window:
    window = state.windows_by_service.setdefault(service, _Window())
    oldest = now - state.bound.window
    while window.requests and window.requests[0] <= oldest:
        window.requests.popleft()
        window.counts_by_organisation_priority[window.organisation_priorities.popleft()] -= 1
    while window.retries and window.retries[0] <= oldest:
        window.retries.popleft()
    while window.nested_retries and window.nested_retries[0][0] <= oldest:
        window.nested_retry_sum -= window.nested_retries.popleft()[1]
    return window


def note_members(state: BudgetState, members: int) -> None:
    """Record the size of the fleet; the slack is divided by the largest size recorded."""
    state.members = max(state.members, members)


def note_request(state: BudgetState, service: str, now: float, priority: int = 0) -> None:
    """Count a request to a service; priority 0 is the most urgent."""
    window = _window(state, service, now)
    window.requests.append(now)
    window.organisation_priorities.append(priority >> ROUTE_BITS)
    window.counts_by_organisation_priority[priority >> ROUTE_BITS] += 1
    window.seen_at_by_priority[priority] = now


def note_nested_retry(state: BudgetState, service: str, probability: float, now: float) -> None:
    """Charge a nested request to the budget, with the probability that a retry caused it."""
    if probability <= 0:
        return
    window = _window(state, service, now)
    window.nested_retries.append((now, probability))
    window.nested_retry_sum += probability


def _has_more_urgent_route(window: _Window, priority: int, oldest: float) -> bool:
    """Return whether requests to more urgent routes arrive from equally urgent organisations."""
    return any(
        other < priority and other >> ROUTE_BITS == priority >> ROUTE_BITS and at > oldest
        for other, at in window.seen_at_by_priority.items()
    )


def _more_urgent_share(window: _Window, priority: int) -> float:
    """Return the share of the requests that came from more urgent organisations."""
    counts = window.counts_by_organisation_priority
    more_urgent = sum(n for other, n in counts.items() if other < priority >> ROUTE_BITS)
    return more_urgent / max(1, len(window.requests))


def allows_retry(state: BudgetState, service: str, now: float, priority: int = 0) -> bool:
    """Return whether the budget allows a retry."""
    window = _window(state, service, now)
    earned = state.bound.ratio * len(window.requests)
    allowed = SPENDABLE_RATIO * (earned + state.bound.slack / state.members)
    allowed *= 1 - _more_urgent_share(window, priority)
    if _has_more_urgent_route(window, priority, now - state.bound.window):
        allowed *= LESS_URGENT_RATIO
    return len(window.retries) + window.nested_retry_sum + 1 <= allowed


def take_retry(state: BudgetState, service: str, now: float, priority: int = 0) -> bool:
    """Return whether the budget allows a retry, and count the retry if so."""
    if not allows_retry(state, service, now, priority):
        return False
    _window(state, service, now).retries.append(now)
    return True
