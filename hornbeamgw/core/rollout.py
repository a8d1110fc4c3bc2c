"""Rollout leader: moves a service's requests to servers of a new version on an operator's order.

A rollout starts with a canary phase, in which the new version gets a small share of the requests.
Shortly before the decision to accept the version, all requests are moved to it, the longest first,
so that few are still running on the old servers when these are stopped. The full move is kept
short, since it may be the first time that the version runs under full load. If the version answers
worse than the old one, the rollout is rolled back at once.

Old servers are stopped without draining, so they are drained before the order is completed.
Requests that are not idempotent are withheld from the old servers shortly before the decision, as
far as the exposure bound allows (the limit on requests to a version that is not accepted yet). Once
the version is accepted, all requests go to it. The order is completed when no non-idempotent
request is left on the old servers, or when its deadline is near.

Several daemons lead a rollout at the same time. They are ranked, and each further one takes its
steps with a longer lag. A leader adopts the steps that other leaders have published, so a leader
that fails or is partitioned is replaced by the next one. Only a rollback because of bad answers is
not delayed by the lag.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from hornbeamgw.core import evidence
from hornbeamgw.core.evidence import (
    DOUBT_DEVIATIONS,
    DOUBT_DEVIATIONS_WITH_ONE_MORE,
    ROLLBACK_DEVIATIONS,
    Degradation,
    EvidenceState,
)
from hornbeamgw.core.exposure import (
    MIN_CANARY_PERIOD_S,
    USABLE_SHARE_RATIO,
    USABLE_SLACK_RATIO,
    ExposureBound,
    canary_allowance,
)
from hornbeamgw.core.standing import MOVE_NONE_MS, Closing, Phase, RolloutStatus, supersedes

LEADER_COUNT = 2
# Delay of the steps of each further leader behind those of the leader before it.
LEADER_LAG_S = 0.4
# Delay of the step that closes the old servers to non-idempotent requests. It is shorter, since a
# request that starts later may not end before the old servers are stopped.
CLOSE_LAG_S = 0.15
# Time between the decision on the new version and the order's deadline, and the maximum of this
# time as a ratio of the order's duration.
DECISION_MARGIN_S = 1.2
DECISION_MARGIN_RATIO = 0.15
# (lead time in s, service time in ms): requests with at least this expected service time are moved
# this lead time before the full move, so that few still run on the old servers when these are
# stopped.
MOVE_SCHEDULE = ((1.1, 1000), (0.5, 500), (0.2, 200), (0.0, 0))
# Time before the decision in which requests that are not idempotent are withheld from the old
# servers, and the maximum of this time as a ratio of the order's duration.
CLOSE_LEAD_S = 1.5
CLOSE_LEAD_RATIO = 0.15
# An order is completed this long before its deadline, or when this ratio of the time between
# decision and deadline is left, even if non-idempotent requests still run on the old servers.
COMPLETION_MARGIN_S = 0.3
COMPLETION_MARGIN_RATIO = 0.3
# Time allowed for draining the old servers if the version is accepted late because the platform was
# unreachable, even if that ends after the deadline.
LATE_DRAIN_S = 1.7
# Limits of the full move, the time before the decision in which all requests go to the new version.
# The number of requests that the exposure bound still allows determines the actual time.
MIN_FULL_MOVE_S = 0.6
MAX_FULL_MOVE_S = 2.0
# Requests per slot that a canary server receives in a canary period in which it is selected.
BURST_REQUESTS_PER_SLOT = 2.0
MAX_CANARY_PERIOD_S = 6.0
# A new length of the canary period is published when it is at least this many times the last one.
PERIOD_UPDATE_FACTOR = 1.5
# Delay of a rollback after the decision is due, in which inconclusive evidence may still improve.
DOUBT_GRACE_S = 0.6
# Time until the membership list of a fleet that has just started is considered complete.
MEMBERSHIP_SETTLE_S = 1.0


class Order(NamedTuple):
    """Operator's order to roll out the software version `target` of a service.

    The version must be accepted or rolled back within the order's duration (s). Later orders have
    higher numbers.
    """

    service: str
    target: str
    duration: float
    number: int


class FleetView(NamedTuple):
    """Fleet state from which the next step is determined.

    Servers are given by their keys; `slots` is the largest number of slots of a new server.
    """

    new_servers: Collection[str]
    old_servers: Collection[str]
    is_platform_reachable: bool
    slots: int = 1


class Step(NamedTuple):
    """Next status to publish, the reason for it, and how much worse the version answers."""

    status: RolloutStatus
    why: str
    degradation: Degradation = Degradation(0.0)


class RolloutState:
    """State of one order at one of its leaders."""

    def __init__(self, order: Order, bound: ExposureBound, now: float, lag_s: float = 0.0) -> None:
        """Create the state of an order that was received at `now`, by the event loop's clock.

        `lag_s` is the delay in seconds behind the first leader.
        """
        self.order = order
        self.bound = bound
        self.received_at = now
        self.lag_s = lag_s
        self.evidence = EvidenceState(order.target)
        self.status = RolloutStatus(order.service, order.target, order.number, Phase.HELD)
        self.last_step_at = now
        self.decision_due_at = now + order.duration - _decision_margin(order.duration)
        self.is_postponed = False

    @property
    def deadline(self) -> float:
        """Time by which the version is accepted or rolled back, by the event loop's clock (s)."""
        return self.received_at + self.order.duration


def full_move_seconds(state: RolloutState, at: float) -> float:
    """Return for how many seconds before the decision all requests go to the new version.

    The length is as large as the exposure bound still allows, within fixed limits.
    """
    allowed, canary_allowed = _allowed_requests(
        state, max(1.0, at - state.received_at), _request_rate(state, at)
    )
    return min(
        MAX_FULL_MOVE_S, max(MIN_FULL_MOVE_S, (allowed - canary_allowed) / _request_rate(state, at))
    )


def _allowed_requests(state: RolloutState, elapsed_s: float, rate: float) -> tuple[float, float]:
    """Return the number of requests that the new version may get in `elapsed_s` seconds.

    The result is a pair: the total, and the number of these that the canary phase may use.
    """
    slack = USABLE_SLACK_RATIO * state.bound.slack
    allowed = USABLE_SHARE_RATIO * state.bound.share * elapsed_s * rate + slack
    return allowed, canary_allowance(allowed, slack)


def _decision_margin(duration: float) -> float:
    return min(DECISION_MARGIN_S, DECISION_MARGIN_RATIO * duration)


def receive_status(state: RolloutState, received: RolloutStatus, now: float) -> bool:
    """Adopt a status from another leader; return whether it supersedes the current one."""
    if received.number != state.order.number or not supersedes(received, state.status):
        return False
    state.status = received
    state.last_step_at = now
    return True


def apply(state: RolloutState, status: RolloutStatus, now: float) -> None:
    """Adopt a status that this leader has determined and publishes."""
    state.status = status
    state.last_step_at = now


def _make_step(
    state: RolloutState,
    phase: Phase,
    why: str,
    length_ms: int = MOVE_NONE_MS,
    closing: Closing = Closing.OPEN,
) -> Step:
    current = state.status
    step = current.step + 1
    return Step(current._replace(phase=phase, step=step, length_ms=length_ms, closing=closing), why)


def next_step(state: RolloutState, fleet: FleetView, now: float) -> Step | None:
    """Return the next step of the rollout if one is due, or None."""
    if state.status.is_final:
        return None
    degradation = evidence.measure_degradation(state.evidence, fleet.new_servers, now)
    if degradation.deviations >= ROLLBACK_DEVIATIONS:
        return _make_step(state, Phase.BACK, "answers worse")._replace(degradation=degradation)
    step = _next_timed_step(state, fleet, degradation, now - state.lag_s, now)
    return None if step is None else step._replace(degradation=degradation)


def _next_timed_step(
    state: RolloutState, fleet: FleetView, degradation: Degradation, at: float, now: float
) -> Step | None:
    if not fleet.new_servers:
        is_over = at >= state.deadline
        return (
            _make_step(state, Phase.BACK, "no server of the version was started")
            if is_over
            else None
        )
    if not fleet.old_servers and at >= state.received_at + MEMBERSHIP_SETTLE_S:
        return _make_step(state, Phase.DONE, "no server of another version lives")
    if state.status.phase is Phase.HELD:
        if not fleet.old_servers:
            return None
        return _make_step(
            state, Phase.TRIAL, "servers of the version live", _canary_period_ms(state, fleet, at)
        )
    if state.status.phase is Phase.TRIAL and at >= state.last_step_at + MEMBERSHIP_SETTLE_S:
        period_ms = _canary_period_ms(state, fleet, at)
        if period_ms >= PERIOD_UPDATE_FACTOR * state.status.length_ms:
            return _make_step(
                state, Phase.TRIAL, "there are fewer requests than thought", period_ms
            )
    if not fleet.is_platform_reachable:
        return _while_platform_unreachable(state, at)
    if state.status.phase is Phase.TRIAL:
        return _step_from_canary(state, degradation, at)
    if state.status.closing is Closing.CLOSED:
        return _step_from_closed(state, fleet, at)
    return _step_from_moving(state, degradation, at, now)


def _request_rate(state: RolloutState, at: float) -> float:
    """Return the service's answers per second since the order was received, at least 1."""
    elapsed_s = max(1.0, at - state.received_at)
    return max(1.0, (state.evidence.old.answers + state.evidence.new.answers) / elapsed_s)


def _canary_period_ms(state: RolloutState, fleet: FleetView, at: float) -> int:
    """Return the length in ms of a canary period.

    Within fixed limits, it is long enough for BURST_REQUESTS_PER_SLOT requests per server slot.
    """
    if not state.evidence.old.answers:
        return round(MIN_CANARY_PERIOD_S * 1000)
    rate = _request_rate(state, at)
    allowed, canary_allowed = _allowed_requests(state, max(1.0, state.order.duration), rate)
    share = canary_allowed / allowed * USABLE_SHARE_RATIO * state.bound.share if allowed else 0.0
    period_s = BURST_REQUESTS_PER_SLOT * fleet.slots / (share * rate + 1e-9)
    return round(1000 * min(MAX_CANARY_PERIOD_S, max(MIN_CANARY_PERIOD_S, period_s)))


def _while_platform_unreachable(state: RolloutState, at: float) -> Step | None:
    """Postpone the decision and return to the canary phase.

    While the platform is unreachable, no decision can be stored.
    """
    soonest = at + MIN_FULL_MOVE_S
    usual = at + full_move_seconds(state, at) + MOVE_SCHEDULE[0][0]
    latest = max(soonest, min(usual, state.deadline - DOUBT_GRACE_S / 2))
    state.is_postponed |= latest > state.decision_due_at
    state.decision_due_at = max(state.decision_due_at, latest)
    if state.status.phase is Phase.MOVING:
        return _make_step(state, Phase.TRIAL, "the platform is away")
    return None


def _step_from_canary(state: RolloutState, degradation: Degradation, at: float) -> Step | None:
    if at >= state.decision_due_at and not evidence.has_enough_answers(state.evidence):
        return _make_step(state, Phase.BACK, "too few answers were seen")
    if at < state.decision_due_at - full_move_seconds(state, at) - MOVE_SCHEDULE[0][0]:
        return None
    if degradation.deviations >= DOUBT_DEVIATIONS:
        return _roll_back_in_doubt(state, at)
    state.decision_due_at = max(state.decision_due_at, at + MIN_FULL_MOVE_S)
    due = "the order is due"
    return _make_step(
        state, Phase.MOVING, due, _length_threshold_ms(state, at), _closing_at(state, at)
    )


def _length_threshold_ms(state: RolloutState, at: float) -> int:
    """Return the expected service time in ms at or above which requests are moved now."""
    left = state.decision_due_at - at - full_move_seconds(state, at)
    lengths = [length_ms for lead, length_ms in MOVE_SCHEDULE if left <= lead]
    return min(lengths, default=MOVE_NONE_MS)


def _closing_at(state: RolloutState, at: float) -> Closing:
    """Return which requests the old servers still receive at a time before the decision."""
    ahead = min(CLOSE_LEAD_S, CLOSE_LEAD_RATIO * state.order.duration)
    return Closing.IDEMPOTENT if at >= state.decision_due_at - ahead else Closing.OPEN


def _step_from_moving(
    state: RolloutState, degradation: Degradation, at: float, now: float
) -> Step | None:
    length_ms = _length_threshold_ms(state, at)
    closing = _closing_at(state, now - min(state.lag_s, CLOSE_LAG_S))
    if length_ms < state.status.length_ms or closing > state.status.closing:
        return _make_step(state, Phase.MOVING, "more requests move", length_ms, closing)
    if at < state.decision_due_at or at < state.last_step_at + MIN_FULL_MOVE_S / 2:
        return None
    if not evidence.has_enough_answers(state.evidence):
        return _make_step(state, Phase.BACK, "too few answers were seen")
    if (
        degradation.deviations >= DOUBT_DEVIATIONS
        or degradation.with_one_more >= DOUBT_DEVIATIONS_WITH_ONE_MORE
    ):
        return _roll_back_in_doubt(state, at)
    return _make_step(state, Phase.MOVING, "answers no worse than before", 0, Closing.CLOSED)


def _step_from_closed(state: RolloutState, fleet: FleetView, at: float) -> Step | None:
    """Return the step that completes the order, or None if old servers must still drain."""
    if all(_is_drained(state, server) for server in fleet.old_servers):
        return _make_step(state, Phase.DONE, "the servers of before are drained")
    margin = _decision_margin(state.order.duration)
    left = min(COMPLETION_MARGIN_S, COMPLETION_MARGIN_RATIO * margin)
    until = state.deadline - left
    if state.is_postponed or state.last_step_at >= state.deadline:
        until = max(until, state.last_step_at + LATE_DRAIN_S)
    if at + state.lag_s < until:
        return None
    return _make_step(state, Phase.DONE, "the deadline is near")


def _is_drained(state: RolloutState, server: str) -> bool:
    """Return whether a server reported for the current step that it runs no unsafe request.

    Requests that are not idempotent are unsafe to interrupt.
    """
    tally = state.evidence.tallies_by_server.get(server)
    if tally is None or tally.unsafe:
        return False
    return tally.closed_step == state.status.step


def _roll_back_in_doubt(state: RolloutState, at: float) -> Step | None:
    """Return the step that rolls back, or None in the grace period before it.

    The evidence may still improve in the grace period.
    """
    if at < min(state.decision_due_at + DOUBT_GRACE_S, state.deadline - DOUBT_GRACE_S / 2):
        return None
    return _make_step(state, Phase.BACK, "answers seem to be worse")
