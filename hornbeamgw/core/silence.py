"""Silence: what is believed of an open connection on which nothing has arrived for a while.

A connection can go silent for good, without a reset, while new ones work. Nothing arrives on an
idle connection either, so silence counts only from the moment at which the peer owes an answer. An
answer that is overdue is remembered after the request that was sent has ended, and it throws doubt
on the connections that have not been heard since. A connection that carries nothing needs no
messages: it is judged when it is about to be used again.

All times are in seconds by one steady clock.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

# Time by which a timer is late if this process has stood still meanwhile, for example because its
# VM was suspended. What has come in that time is unread, so nothing follows from its absence.
STALL_S = 0.25


class Belief(Enum):
    """What is believed of a connection."""

    TRUSTED = "trusted"  # requests are sent
    UNSURE = "unsure"  # requests are sent after a sign of life, or on another connection
    SILENT = "silent"  # an answer is overdue; requests are sent on another connection


class Limits(NamedTuple):
    """Limits of what is believed of a connection.

    Attributes
    ----------
    trusted_s : float
        Time since the last sign of life for which a connection is trusted.
    answer_s : float
        Time after which an answer that is due at once is overdue.
    """

    trusted_s: float
    answer_s: float


class Signs:
    """Signs of life of one connection.

    Attributes
    ----------
    opened_at : float
        Time at which the connection was opened.
    heard_at : float
        Time at which bytes were last received, or the connection was opened.
    unanswered_since : float or None
        Time at which the first bytes were sent whose answer is due, None if there are none.
    """

    __slots__ = ("heard_at", "opened_at", "unanswered_since")

    def __init__(self, now: float) -> None:
        """Start with a connection that has just been opened."""
        self.opened_at = now
        self.heard_at = now
        self.unanswered_since: float | None = None


class Doubts:
    """Doubts about connections that belong together, since one of them was found silent.

    Attributes
    ----------
    silent_since : float
        Time since which the last one that was found silent has surely been so. Connections that
        have not been heard since are doubted.
    """

    __slots__ = ("silent_since",)

    def __init__(self) -> None:
        """Start without doubts."""
        self.silent_since = -math.inf


def note_heard(signs: Signs, now: float) -> None:
    """Note that bytes were received."""
    signs.heard_at = now
    signs.unanswered_since = None


def has_stalled(due: float, now: float) -> bool:
    """Return whether this process stood still, given when a timer was due and when it ran."""
    return now - due > STALL_S


def note_sent(signs: Signs, now: float) -> None:
    """Note that bytes were sent whose answer is due, unless an earlier one is outstanding."""
    if signs.unanswered_since is None:
        signs.unanswered_since = now


def note_progress(signs: Signs, now: float) -> None:
    """Note that the peer has taken a part of what is unsent: a full link is not a silent one."""
    if signs.unanswered_since is not None:
        signs.unanswered_since = now


def exclude_pause(signs: Signs, pause: float, now: float) -> None:
    """Exclude a time (s) for which this process stood still, as it could read no answer then."""
    if signs.unanswered_since is not None:
        signs.unanswered_since = min(now, signs.unanswered_since + pause)


def overdue(signs: Signs, now: float) -> float:
    """Return for how long (s) an answer has been due, 0 if none is."""
    return 0.0 if signs.unanswered_since is None else now - signs.unanswered_since


def note_silent(doubts: Doubts, since: float) -> None:
    """Doubt all connections that have not been heard since one has surely been silent.

    That is the time at which it first owed an answer at once. Where an answer may take its time, as
    to a request that waits for a change, it is the time at which the wait was given up.
    """
    doubts.silent_since = max(doubts.silent_since, since)


def belief(signs: Signs, doubts: Doubts, limits: Limits, now: float) -> Belief:
    """Return what is believed of a connection."""
    since = signs.unanswered_since
    if since is not None and now - since >= limits.answer_s:
        return Belief.SILENT
    if now - signs.heard_at > limits.trusted_s or signs.heard_at <= doubts.silent_since:
        return Belief.UNSURE
    return Belief.TRUSTED
