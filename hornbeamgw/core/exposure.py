"""Exposure: which requests of a service go to a version that isn't known to be good.

The bound holds for the whole fleet and without a coordinator: each daemon sends the new version a
part of the requests that it has itself sent to servers of the service since it heard of the order,
and its part of the slack. A daemon that hears nothing more goes on within that part, and one that
has just started begins with nothing. So whoever leads the rollout, twice or not at all, can widen
it no further than this.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from hornbeamgw.core.membership import Member, server_key
from hornbeamgw.core.rollout_status import Closing, Phase, RolloutStatus, supersedes

# What is left unspent covers requests under way and daemons that hear of an order late.
USABLE_SHARE_RATIO = 0.9
USABLE_SLACK_RATIO = 0.7
# The trial leaves the rest for the moment at which all requests move. It may have as many more as
# the slack, up to the larger part: where requests are few, the moment shows little of how a version
# bears load.
TRIAL_RATIO = 0.4
MAX_TRIAL_RATIO = 0.75
# Servers on trial take turns, one of so many at a time, and in each turn the trial is open for a
# short part (at least so many s) only: what was saved up for it comes at once and fills its slots,
# so that a version that fails under load is met. Beside, a few requests go to any of them, so that
# none stays idle until its turn comes.
TRIAL_GROUPS = 25
TURN_OPEN_RATIO = 0.1
MIN_OPEN_S = 0.2
MIN_TURN_S = 0.5
BACKGROUND_TRIAL_RATIO = 0.003
# A version whose first server has just appeared waits so long (s) for word of an order.
NEW_VERSION_HOLD_S = 1.0
# A daemon stops by itself once so many answers of a version were bad, and most of them.
BAD_ANSWERS_LIMIT = 6
MAX_VERSIONS = 256

Version = tuple[str, str]  # service and software


class ExposureBound(NamedTuple):
    """Hold what a version on trial may get: a share of a service's requests and some more."""

    share: float
    slack: float


class _VersionCounts:
    def __init__(self, number: int) -> None:
        self.number = number
        self.reached = 0
        self.sent = 0
        self.answers = 0
        self.bad = 0


class RequestTraits(NamedTuple):
    """Hold what decides whether a request may try a version: its length (s), and if it is new.

    One that is not idempotent must not run at servers that are about to stop; it may have waited.
    """

    service: str
    length_s: float
    is_first_attempt: bool
    is_idempotent: bool = True
    has_waited: bool = False


class ExposureState:
    """Hold the standings that were heard of and what was sent to versions on trial."""

    def __init__(self, bound: ExposureBound) -> None:
        """Start without rollouts; take the bound for the whole fleet."""
        self.bound = bound
        self.fleet_size = 1
        self.status_by_version: dict[Version, RolloutStatus] = {}
        self.current_by_service: dict[str, RolloutStatus] = {}
        self.received_at_by_service: dict[str, float] = {}
        self.counts_by_version: dict[Version, _VersionCounts] = {}
        self.first_seen_by_version: dict[Version, float] = {}
        self.generation = 0


def receive(state: ExposureState, received: RolloutStatus, now: float) -> bool:
    """Take a standing and return whether it is news."""
    version = received.service, received.target
    held = state.status_by_version.get(version)
    if not supersedes(received, held):
        return False
    state.status_by_version[version] = received
    state.generation += 1
    if held is None or held.number != received.number:
        state.counts_by_version[version] = _VersionCounts(received.number)
    current = state.current_by_service.get(received.service)
    if current is None or received.number >= current.number:
        state.current_by_service[received.service] = received
        state.received_at_by_service[received.service] = now
    return True


def note_members(state: ExposureState, fleet_size: int) -> None:
    """Note the size of the fleet; the largest ever seen divides the slack."""
    state.fleet_size = max(state.fleet_size, fleet_size)


def record_versions(
    state: ExposureState, service: str, versions: Collection[str], now: float
) -> None:
    """Note which versions of a service have servers."""
    for software in versions:
        state.first_seen_by_version.setdefault((service, software), now)
    while len(state.first_seen_by_version) > MAX_VERSIONS:
        del state.first_seen_by_version[next(iter(state.first_seen_by_version))]


def record_reached(state: ExposureState, service: str) -> None:
    """Count a request that reached a server of a service."""
    current = state.current_by_service.get(service)
    if current is not None and not current.is_final:
        state.counts_by_version[service, current.target].reached += 1


def record_sent(state: ExposureState, service: str, software: str) -> None:
    """Count a request that is being sent to a version."""
    counts = state.counts_by_version.get((service, software))
    if counts is not None:
        counts.sent += 1


def record_answer(state: ExposureState, service: str, software: str, is_bad: bool) -> None:
    """Take what became of a request that was sent to a version."""
    counts = state.counts_by_version.get((service, software))
    if counts is not None:
        counts.answers += 1
        counts.bad += is_bad


def _looks_bad(counts: _VersionCounts) -> bool:
    return counts.bad >= BAD_ANSWERS_LIMIT and 2 * counts.bad > counts.answers


def _has_room(state: ExposureState, status: RolloutStatus, rng: random.Random) -> bool:
    """Return whether one more request may go to a version on trial.

    What is allowed is mostly a fraction; rounding it by chance makes the fleet's sum exact.
    """
    counts = state.counts_by_version[status.service, status.target]
    if _looks_bad(counts):
        return False
    slack = USABLE_SLACK_RATIO * state.bound.slack / state.fleet_size
    allowed = USABLE_SHARE_RATIO * state.bound.share * counts.reached + slack
    if status.phase is Phase.TRIAL:
        allowed = trial_allowance(allowed, slack)
    return counts.sent + rng.random() <= allowed


def trial_allowance(allowed: float, slack: float) -> float:
    """Return how many requests the trial may have of those that are allowed, slack included."""
    return min(MAX_TRIAL_RATIO * allowed, TRIAL_RATIO * allowed + slack)


class Arm(enum.Enum):
    """Say among which servers of a service one is chosen."""

    BEFORE = "before"  # those of versions in use
    TURN = "turn"  # those of the new version whose turn it is to be tried
    NEW = "new"  # all of the new version
    WAIT = "wait"  # none yet: those of before are about to stop, and the bound leaves no room


def select_arm(
    state: ExposureState, request: RequestTraits, wall: float, rng: random.Random
) -> Arm:
    """Return among which servers one is chosen for a request, by the time of day (s)."""
    current = state.current_by_service.get(request.service)
    if current is None or current.is_final or current.phase is Phase.HELD:
        return Arm.BEFORE
    closing = current.closing if current.phase is Phase.MOVING else Closing.OPEN
    if closing is Closing.CLOSED and (request.is_first_attempt or not request.is_idempotent):
        return Arm.NEW
    if closing is Closing.IDEMPOTENT and not request.is_idempotent:
        return _select_arm_for_unsafe(state, current, request.has_waited, rng)
    if not request.is_first_attempt or not _has_room(state, current, rng):
        return Arm.BEFORE
    if current.phase is Phase.TRIAL:
        turn = turn_seconds(current)
        if wall % turn < max(MIN_OPEN_S, TURN_OPEN_RATIO * turn):
            return Arm.TURN
        return Arm.NEW if rng.random() < BACKGROUND_TRIAL_RATIO else Arm.BEFORE
    return Arm.NEW if request.length_s * 1000 >= current.length_ms else Arm.BEFORE


def _select_arm_for_unsafe(
    state: ExposureState, current: RolloutStatus, has_waited: bool, rng: random.Random
) -> Arm:
    """Return where a request goes that the servers of before should no longer be given.

    One that waits asks many times, and by chance would each time get a little more of the bound; so
    it gets none, and waits until it is known how the order goes on.
    """
    if not has_waited and _has_room(state, current, rng):
        return Arm.NEW
    is_bad = _looks_bad(state.counts_by_version[current.service, current.target])
    return Arm.BEFORE if is_bad else Arm.WAIT


def closed_step(state: ExposureState, service: str, software: str) -> int:
    """Return the step at which servers of a version were closed, 0 where they are open.

    A closed server takes no further request that is not idempotent.
    """
    current = state.current_by_service.get(service)
    if current is None or software == current.target or current.phase is not Phase.MOVING:
        return 0
    return current.step if current.closing is Closing.CLOSED else 0


def turn_seconds(status: RolloutStatus) -> float:
    """Return how long (s) a turn of servers on trial lasts."""
    return max(MIN_TURN_S, status.length_ms / 1000)


def new_servers(state: ExposureState, service: str, servers: Sequence[Member]) -> list[Member]:
    """Return the servers of the version that is rolled out."""
    current = state.current_by_service.get(service)
    return [] if current is None else [m for m in servers if m.software == current.target]


def servers_in_use(
    state: ExposureState, service: str, servers: Sequence[Member], now: float
) -> list[Member]:
    """Return the servers of versions in use: those that came before or after a rollout.

    Once a rollout is completed, its version is in use, and those that it replaced no longer are.
    """
    usable = [m for m in servers if _is_in_use(state, service, m.software)]
    settled = [m for m in usable if not _awaits_order(state, service, m.software, usable, now)]
    return settled or usable


def _is_in_use(state: ExposureState, service: str, software: str) -> bool:
    """Return whether a version is in use as far as orders go."""
    current = state.current_by_service.get(service)
    if current is not None and current.phase is Phase.DONE and software != current.target:
        seen = state.first_seen_by_version.get((service, software), math.inf)
        return seen > state.received_at_by_service[service]
    status = state.status_by_version.get((service, software))
    return status is None or status.phase is Phase.DONE


def _awaits_order(
    state: ExposureState, service: str, software: str, servers: Sequence[Member], now: float
) -> bool:
    seen = state.first_seen_by_version.get((service, software), now)
    others = {member.software for member in servers} - {software}
    is_later = any(
        state.first_seen_by_version.get((service, other), now) <= seen - NEW_VERSION_HOLD_S
        for other in others
    )
    return is_later and now < seen + NEW_VERSION_HOLD_S


def servers_on_turn(servers: Sequence[Member], turn: float, wall: float) -> list[Member]:
    """Return the servers whose turn (of so many s) it is to be tried, by the time of day (s).

    Daemons whose clocks differ try others, which only spreads the load more thinly.
    """
    if not servers:
        return []
    ordered = sorted(servers, key=server_key)
    width = math.ceil(len(ordered) / TRIAL_GROUPS)
    first = int(wall / turn) * width
    return [ordered[(first + index) % len(ordered)] for index in range(width)]
