"""Rollout: leads an operator's order to move a service's requests to servers of a new version.

First the new version is tried with a small part of the requests, beside the servers of before. When
the order is due, requests are moved, those that take longest first, so that few still run at the
servers of before when these are stopped; that is kept short, since a version that fails only under
load is met here. What speaks against the version at any time takes it back at once.

Servers of before are stopped without draining, so they are drained before the order is completed.
Requests that are not idempotent are kept from them some time ahead of the decision, within the
bound. Once the version is found good all requests go to it, and the order is completed as soon as
no such request is left at the servers of before, or its deadline is near.

Several daemons lead at the same time, one behind the other by a lag. Each takes over what another
has told, so that one that is gone, cut off or slow is made up for by the next; only a word against
the version is never delayed.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from hornbeamgw.core import evidence
from hornbeamgw.core.evidence import (
    CONDEMNS_AT,
    DOUBTS_AT,
    DOUBTS_WITH_ONE_MORE_AT,
    EvidenceState,
    Suspicion,
)
from hornbeamgw.core.exposure import (
    LEAST_TURN_S,
    SHARE_SPENT,
    SLACK_SPENT,
    ExposureBound,
    for_trial,
)
from hornbeamgw.core.standing import NO_REQUEST_MS, Closing, Phase, Standing, is_later

LEADERS = 2
LAG_S = 0.4
# The decision is written down so long (s) before it is due, or this part of a short order.
MARGIN_S = 1.0
MARGIN_PART = 0.15
# How long (s) before all requests those are moved that take at least so long (ms): so few of them
# are still at work at the servers of before when those are stopped.
MOVES = ((1.1, 1000), (0.5, 500), (0.2, 200), (0.0, 0))
# Requests that are not idempotent are kept from the servers of before for so long (s) ahead of the
# decision, or this part of a short order. What is left from there to the deadline comes to it.
CLOSES_S = 1.5
CLOSES_PART = 0.15
# This part of the margin is left when an order is completed though such requests still run.
COMPLETES_AT_PART = 0.3
# Where the deadline has passed, as the platform was away, they are waited for so long (s).
LATE_DRAIN_S = 1.7
# All requests are moved for as long (s) as what is left of the bound lasts, within these limits.
LEAST_MOVED_S = 0.6
MOST_MOVED_S = 2.0
# A turn of a server on trial brings it so many requests for each of its slots.
BURST_OF_SLOTS = 2.0
MOST_TURN_S = 6.0
# A turn is told anew where it should be so many times as long.
OTHER_TURN = 1.5
# A decision waits for so many seconds (s) where something speaks against the version.
DOUBT_WAIT_S = 0.6
# The servers of a fleet that has just started are not all known before.
VIEW_SETTLED_S = 1.0


class Order(NamedTuple):
    """Hold an operator's order; its duration is in seconds, and numbers rise with each order."""

    service: str
    target: str
    duration: float
    number: int


class Seen(NamedTuple):
    """Hold what decides on the next step: the servers of both versions, and the platform.

    The slots are those of a server of the new version.
    """

    new: Collection[str]
    before: Collection[str]
    is_platform_reached: bool
    slots: int = 1


class Step(NamedTuple):
    """Hold a standing to be told, why, and what speaks against the version."""

    standing: Standing
    why: str
    against: Suspicion = Suspicion(0.0)


class RolloutState:
    """Hold one order as one of those who lead it sees it."""

    def __init__(self, order: Order, bound: ExposureBound, now: float, lag: float = 0.0) -> None:
        """Take the order, its bound, when it was heard, and the lag (s) behind other leaders."""
        self.order = order
        self.bound = bound
        self.heard_at = now
        self.lag = lag
        self.evidence = EvidenceState(order.target)
        self.standing = Standing(order.service, order.target, order.number, Phase.HELD)
        self.stepped_at = now
        self.decides_at = now + order.duration - _margin(order.duration)

    @property
    def ends_at(self) -> float:
        """Return by when (s) the order is to be decided."""
        return self.heard_at + self.order.duration


def moved_for(state: RolloutState, at: float) -> float:
    """Return how long (s) all requests can be sent to the new version within the bound."""
    allowed, on_trial = _allowed(state, max(1.0, at - state.heard_at), _rate(state, at))
    return min(MOST_MOVED_S, max(LEAST_MOVED_S, (allowed - on_trial) / _rate(state, at)))


def _allowed(state: RolloutState, passed: float, rate: float) -> tuple[float, float]:
    """Return how many requests may be sent within some time (s), and how many on trial."""
    slack = SLACK_SPENT * state.bound.slack
    allowed = SHARE_SPENT * state.bound.share * passed * rate + slack
    return allowed, for_trial(allowed, slack)


def _margin(duration: float) -> float:
    return min(MARGIN_S, MARGIN_PART * duration)


def hear(state: RolloutState, heard: Standing, now: float) -> bool:
    """Take what another leader has told of this order; return whether it was news."""
    if heard.number != state.order.number or not is_later(heard, state.standing):
        return False
    state.standing = heard
    state.stepped_at = now
    return True


def take(state: RolloutState, standing: Standing, now: float) -> None:
    """Take a step that this leader tells."""
    state.standing = standing
    state.stepped_at = now


def _to(
    state: RolloutState,
    phase: Phase,
    why: str,
    length_ms: int = NO_REQUEST_MS,
    closing: Closing = Closing.OPEN,
) -> Step:
    held = state.standing
    step = held.step + 1
    return Step(held._replace(phase=phase, step=step, length_ms=length_ms, closing=closing), why)


def next_step(state: RolloutState, seen: Seen, now: float) -> Step | None:
    """Return the next step where it is time for one."""
    if state.standing.is_final:
        return None
    against = evidence.suspicion(state.evidence, seen.new, now)
    if against.deviations >= CONDEMNS_AT:
        return _to(state, Phase.BACK, "answers worse")._replace(against=against)
    step = _next_on_time(state, seen, against, now - state.lag)
    return None if step is None else step._replace(against=against)


def _next_on_time(state: RolloutState, seen: Seen, against: Suspicion, at: float) -> Step | None:
    if not seen.new:
        is_over = at >= state.ends_at
        return _to(state, Phase.BACK, "no server of the version was started") if is_over else None
    if not seen.before and at >= state.heard_at + VIEW_SETTLED_S:
        return _to(state, Phase.DONE, "no server of another version lives")
    if state.standing.phase is Phase.HELD:
        if not seen.before:
            return None
        return _to(state, Phase.TRIAL, "servers of the version live", _turn_ms(state, seen, at))
    if state.standing.phase is Phase.TRIAL and at >= state.stepped_at + VIEW_SETTLED_S:
        turn_ms = _turn_ms(state, seen, at)
        if turn_ms >= OTHER_TURN * state.standing.length_ms:
            return _to(state, Phase.TRIAL, "there are fewer requests than thought", turn_ms)
    if not seen.is_platform_reached:
        return _while_away(state, at)
    if state.standing.phase is Phase.TRIAL:
        return _from_trial(state, against, at)
    if state.standing.closing is Closing.CLOSED:
        return _from_closed(state, seen, at)
    return _from_moving(state, against, at)


def _rate(state: RolloutState, at: float) -> float:
    """Return how many requests (1/s) reach the service."""
    passed = max(1.0, at - state.heard_at)
    return max(1.0, (state.evidence.before.answers + state.evidence.new.answers) / passed)


def _turn_ms(state: RolloutState, seen: Seen, at: float) -> int:
    """Return how long (ms) a turn lasts, in which a server gets all that was saved up for it."""
    if not state.evidence.before.answers:
        return round(LEAST_TURN_S * 1000)
    rate = _rate(state, at)
    allowed, on_trial = _allowed(state, max(1.0, state.order.duration), rate)
    share = on_trial / allowed * SHARE_SPENT * state.bound.share if allowed else 0.0
    turn = BURST_OF_SLOTS * seen.slots / (share * rate + 1e-9)
    return round(1000 * min(MOST_TURN_S, max(LEAST_TURN_S, turn)))


def _while_away(state: RolloutState, at: float) -> Step | None:
    """Wait for the platform: a decision that can't be written down moves no requests."""
    soonest = at + LEAST_MOVED_S
    usual = at + moved_for(state, at) + MOVES[0][0]
    latest = max(soonest, min(usual, state.ends_at - DOUBT_WAIT_S / 2))
    state.decides_at = max(state.decides_at, latest)
    if state.standing.phase is Phase.MOVING:
        return _to(state, Phase.TRIAL, "the platform is away")
    return None


def _from_trial(state: RolloutState, against: Suspicion, at: float) -> Step | None:
    if at >= state.decides_at and not evidence.has_enough(state.evidence):
        return _to(state, Phase.BACK, "too few answers were seen")
    if at < state.decides_at - moved_for(state, at) - MOVES[0][0]:
        return None
    if against.deviations >= DOUBTS_AT:
        return _back_in_doubt(state, at)
    state.decides_at = max(state.decides_at, at + LEAST_MOVED_S)
    due = "the order is due"
    return _to(state, Phase.MOVING, due, _length_at(state, at), _closing_at(state, at))


def _length_at(state: RolloutState, at: float) -> int:
    """Return the length (ms) from which on requests are moved now."""
    left = state.decides_at - at - moved_for(state, at)
    lengths = [length_ms for lead, length_ms in MOVES if left <= lead]
    return min(lengths, default=NO_REQUEST_MS)


def _closing_at(state: RolloutState, at: float) -> Closing:
    """Return what the servers of before are given now, ahead of the decision."""
    ahead = min(CLOSES_S, CLOSES_PART * state.order.duration)
    return Closing.IDEMPOTENT if at >= state.decides_at - ahead else Closing.OPEN


def _from_moving(state: RolloutState, against: Suspicion, at: float) -> Step | None:
    length_ms, closing = _length_at(state, at), _closing_at(state, at)
    if length_ms < state.standing.length_ms or closing > state.standing.closing:
        return _to(state, Phase.MOVING, "more requests move", length_ms, closing)
    if at < state.decides_at or at < state.stepped_at + LEAST_MOVED_S / 2:
        return None
    if not evidence.has_enough(state.evidence):
        return _to(state, Phase.BACK, "too few answers were seen")
    if against.deviations >= DOUBTS_AT or against.with_one_more >= DOUBTS_WITH_ONE_MORE_AT:
        return _back_in_doubt(state, at)
    return _to(state, Phase.MOVING, "answers no worse than before", 0, Closing.CLOSED)


def _from_closed(state: RolloutState, seen: Seen, at: float) -> Step | None:
    """Complete the order once the servers of before may be stopped."""
    if all(_is_drained(state, server) for server in seen.before):
        return _to(state, Phase.DONE, "the servers of before are drained")
    left = COMPLETES_AT_PART * _margin(state.order.duration)
    is_late = state.stepped_at >= state.ends_at
    until = state.stepped_at + LATE_DRAIN_S if is_late else state.ends_at - left
    if at + state.lag < until:
        return None
    return _to(state, Phase.DONE, "the deadline is near")


def _is_drained(state: RolloutState, server: str) -> bool:
    """Return whether a server has told that it is closed and holds no such request."""
    tally = state.evidence.tallies_by_server.get(server)
    if tally is None or tally.unsafe:
        return False
    return tally.closed_step == state.standing.step


def _back_in_doubt(state: RolloutState, at: float) -> Step | None:
    """Wait a little for what speaks for the version, then take it back."""
    if at < min(state.decides_at + DOUBT_WAIT_S, state.ends_at - DOUBT_WAIT_S / 2):
        return None
    return _to(state, Phase.BACK, "answers seem to be worse")
