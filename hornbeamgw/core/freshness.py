"""Freshness: whether a backend server sent a heartbeat after a moment, such as a daemon's start.

A heartbeat may arrive seconds late, after its sender has left. One that was sent after a daemon's
start shows that the run had not left before: a run that has left sends no more of them. The answers
of the server itself show nothing of that kind, as health checks may lag or be wrong.
"""

from __future__ import annotations

from typing import NamedTuple

from hornbeamgw.core.registration import Heartbeat

# Heartbeats arrive seconds late. Whatever arrives later than this after a moment was sent after it.
MAX_LATENESS_S = 10.0


class Arrival(NamedTuple):
    """The arrival of a message of a backend server.

    Attributes
    ----------
    at, at_ms : float
        Time of the arrival (s) by the clock of the event loop, and in Unix milliseconds.
    answered_at : float
        Time (s) at which the message before it on the same connection was answered; -inf for the
        first message of a connection. A server sends its next message after that.
    """

    at: float
    at_ms: float
    answered_at: float


def is_sent_after(arrival: Arrival, moment: float) -> bool:
    """Return whether a message was certainly sent after a moment (s)."""
    return arrival.answered_at >= moment or arrival.at > moment + MAX_LATENESS_S


def is_born_after(heartbeat: Heartbeat, started_ms: int, arrival: Arrival) -> bool:
    """Return whether the sender of a heartbeat was started after this daemon (Unix milliseconds).

    A start in the future shows that the clock was set back since, so that it tells nothing.
    """
    return 0 < started_ms < heartbeat.started_ms <= arrival.at_ms
