"""Stopping: which requests a daemon still accepts between the stop signal and its exit.

The sender of the signal, such as a process supervisor, kills the daemon after a grace period.
Until then, callers move to other daemons. Requests that are accepted in the meantime must be
answered before the process exits.
"""

from __future__ import annotations

from typing import NamedTuple

# Time reserved at the end of the grace period for notifying callers of cancelled requests, closing
# connections and exiting.
EXIT_MARGIN_S = 0.35
# Upper limit of `leave_after`, the time for which all requests are still accepted, as a ratio of
# the grace period.
MAX_LEAVE_RATIO = 1 / 3
# After `leaves_at`, a request whose deadline lies beyond the end of the stop is accepted only in
# this first fraction of the stop. The same fraction of the grace period is the minimum length of a
# stop, even if that leaves less than EXIT_MARGIN_S.
UNCERTAIN_START_RATIO = 0.5
# Expected durations are multiplied by this factor to check whether they fit before the end of the
# stop.
ESTIMATE_SAFETY_FACTOR = 3
# A daemon may be told to stop at any moment, so at all times it accepts large answers only up to
# this ratio of what its link can send during a stop. Answers may be larger than expected.
MAX_BACKLOG_RATIO = 0.6


class Plan(NamedTuple):
    """Times (s) at which a stop begins, new requests are first refused, and the stop ends."""

    began_at: float
    leaves_at: float
    ends_at: float


def plan(now: float, leave_after: float, drain_limit: float, grace: float) -> Plan:
    """Return the plan of a stop that begins now; all durations are in seconds.

    All requests are accepted for `leave_after`, and may then run for another `drain_limit`. The
    grace period limits both; if it is 0, the process is not killed.
    """
    leaves_at = now + leave_after
    ends_at = leaves_at + drain_limit
    if grace > 0:
        leaves_at = min(leaves_at, now + MAX_LEAVE_RATIO * grace)
        ends_at = min(ends_at, now + max(grace - EXIT_MARGIN_S, UNCERTAIN_START_RATIO * grace))
    return Plan(now, leaves_at, ends_at)


def max_backlog_seconds(leave_after: float, drain_limit: float, grace: float) -> float:
    """Return the longest time (s) that the accepted answers of a daemon may take to send.

    The durations are those of `plan`.
    """
    return MAX_BACKLOG_RATIO * plan(0.0, leave_after, drain_limit, grace).ends_at


def may_send(stop: Plan, transfer: float, now: float) -> bool:
    """Return whether an answer can be sent in time, given its expected transfer time (s)."""
    return now + ESTIMATE_SAFETY_FACTOR * transfer <= stop.ends_at


def may_begin(stop: Plan, deadline: float, expected: float, now: float) -> bool:
    """Return whether a request with a deadline and an expected duration (s) is still accepted."""
    if now < stop.leaves_at or deadline <= stop.ends_at:
        return True
    is_early = now < stop.began_at + UNCERTAIN_START_RATIO * (stop.ends_at - stop.began_at)
    return is_early and now + ESTIMATE_SAFETY_FACTOR * expected <= stop.ends_at
