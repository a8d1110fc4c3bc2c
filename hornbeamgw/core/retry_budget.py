"""Retry budget: how often a request may reach a backend server once more, fleet-wide.

The bound of a fleet is a share of a service's requests in a window plus a fixed slack. It is kept
without a coordinator: each daemon spends only what its own requests earn, and its part of the
slack by the number of members. Half of the share is left unspent, for a repeated run makes its
own calls again, and those count as repeats at the services that it calls, where this daemon
can't see them.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

OWN_PART = 0.5


class Bound(NamedTuple):
    """Hold the bound of the whole fleet: share of the requests, count, and window (s)."""

    ratio: float
    slack: int
    window: float


class _Window:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()


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
    return window


def note_members(state: BudgetState, members: int) -> None:
    """Note the size of the fleet; the largest ever seen divides the slack."""
    state.members = max(state.members, members)


def note_request(state: BudgetState, service: str, now: float) -> None:
    """Count a request of a caller for a service."""
    _window(state, service, now).requests.append(now)


def take_repeat(state: BudgetState, service: str, now: float) -> bool:
    """Return whether a request may reach a backend server once more, and count it if so."""
    window = _window(state, service, now)
    earned = state.bound.ratio * len(window.requests)
    allowed = OWN_PART * (earned + state.bound.slack / state.members)
    if len(window.repeats) + 1 > allowed:
        return False
    window.repeats.append(now)
    return True
