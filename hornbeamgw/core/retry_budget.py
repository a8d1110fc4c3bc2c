"""Retry budget: how often a request may reach a backend server once more, fleet-wide.

The bound of a fleet is a share of a service's requests in a window plus a fixed slack. It is kept
without a coordinator: each daemon spends only what its own requests earn, and its part of the
slack by the number of members. A repeated run makes its own calls again, and those count as
repeats at the services that it calls: the daemon beside it charges the requests that arrive there
with the share of repeats among what runs at its own backend server.

The pattern: every server of a service turns half of what it gets away at once, and what it gets are
calls that others wait for and requests of callers who come back by themselves. The former are more
urgent, and whoever waits fails with them. So while they come, they find half of the budget unspent.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# What is left unspent covers requests still under way and windows that do not line up.
OWN_PART = 0.9
# Of what a daemon may spend, less urgent requests leave the rest to more urgent ones.
LESS_URGENT_PART = 0.5


class Bound(NamedTuple):
    """Hold the bound of the whole fleet: share of the requests, requests, and window (s)."""

    ratio: float
    slack: float
    window: float


class _Window:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()
        self.inner: deque[tuple[float, float]] = deque()
        self.inner_sum = 0.0
        self.seen_at_by_priority: dict[int, float] = {}


class BudgetState:
    """Hold the times of requests and repeats, by service, and the largest fleet seen."""

    def __init__(self, bound: Bound) -> None:
        """Take the bound of the fleet."""
        self.bound = bound
        self.members = 1
        self.windows_by_service: dict[str, _Window] = {}


def _window(state: BudgetState, service: str, now: float) -> _Window:
    window = state.windows_by_service.setdefault(service, _Window())
    oldest = now - state.bound.window
    for times in (window.requests, window.repeats):
        while times and times[0] <= oldest:
            times.popleft()
    while window.inner and window.inner[0][0] <= oldest:
        window.inner_sum -= window.inner.popleft()[1]
    return window


def note_members(state: BudgetState, members: int) -> None:
    """Note the size of the fleet; the largest ever seen divides the slack."""
    state.members = max(state.members, members)


def note_request(state: BudgetState, service: str, now: float, priority: int = 0) -> None:
    """Count a request of a caller for a service; 0 is the most urgent priority."""
    window = _window(state, service, now)
    window.requests.append(now)
    window.seen_at_by_priority[priority] = now


def note_inner_repeat(state: BudgetState, service: str, share: float, now: float) -> None:
    """Charge a request with the likelihood that it is a call of a repeated run."""
    if share <= 0:
        return
    window = _window(state, service, now)
    window.inner.append((now, share))
    window.inner_sum += share


def _has_more_urgent(window: _Window, priority: int, oldest: float) -> bool:
    return any(other < priority and at > oldest for other, at in window.seen_at_by_priority.items())


def has_room(state: BudgetState, service: str, now: float, priority: int = 0) -> bool:
    """Return whether a request may reach a backend server once more."""
    window = _window(state, service, now)
    earned = state.bound.ratio * len(window.requests)
    allowed = OWN_PART * (earned + state.bound.slack / state.members)
    if _has_more_urgent(window, priority, now - state.bound.window):
        allowed *= LESS_URGENT_PART
    return len(window.repeats) + window.inner_sum + 1 <= allowed


def take_repeat(state: BudgetState, service: str, now: float, priority: int = 0) -> bool:
    """Return whether a request may reach a backend server once more, and count it if so."""
    if not has_room(state, service, now, priority):
        return False
    _window(state, service, now).repeats.append(now)
    return True
