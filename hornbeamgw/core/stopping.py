"""Stopping: what a daemon still takes on between the signal to stop and its end.

Whoever sends the signal ends the process some seconds later. Callers are moved to other daemons
meanwhile, and some still come. What is taken on must have been answered by then.
"""

from __future__ import annotations

from typing import NamedTuple

# Telling callers of what is given up, closing and ending the process take this long (s).
END_MARGIN_S = 0.35
# Callers learn of a stop in this part of the time at the latest.
LEAVE_PART = 1 / 3
# A request that could outlast the stop is begun in this part of the time only.
GUESS_PART = 0.5
# What is taken on by a guess of its length has so many times as long until the end.
GUESS_FACTOR = 3


class Plan(NamedTuple):
    """Hold when a stop began, takes no more work for the servers here, and ends (s)."""

    began_at: float
    leaves_at: float
    ends_at: float


def plan(now: float, leave_after: float, drain_limit: float, grace: float) -> Plan:
    """Return the plan of a stop; a grace (s) of 0 means that nobody ends the process."""
    leaves_at = now + leave_after
    ends_at = leaves_at + drain_limit
    if grace > 0:
        leaves_at = min(leaves_at, now + LEAVE_PART * grace)
        ends_at = min(ends_at, now + max(grace - END_MARGIN_S, GUESS_PART * grace))
    return Plan(now, leaves_at, ends_at)


def may_send(stop: Plan, transfer: float, now: float) -> bool:
    """Return whether an answer expected to leave in so long (s), with what waits, is taken on."""
    return now + GUESS_FACTOR * transfer <= stop.ends_at


def may_begin(stop: Plan, deadline: float, expected: float, now: float) -> bool:
    """Return whether a request with a deadline and an expected duration (s) is still taken on."""
    if now < stop.leaves_at or deadline <= stop.ends_at:
        return True
    is_early = now < stop.began_at + GUESS_PART * (stop.ends_at - stop.began_at)
    return is_early and now + GUESS_FACTOR * expected <= stop.ends_at
