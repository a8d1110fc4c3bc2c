"""Exposure: limits the requests that go to a version that hasn't been accepted yet.

The limit (`ExposureBound`) holds for the whole fleet without a coordinator. Each daemon sends the
new version at most a share of the requests that it has itself sent to servers of the service since
it received the rollout order, plus an equal part of a fixed number of requests (the slack). A
daemon that receives no further updates stays within its limit, and one that has just started begins
at zero. So the limit holds even if several daemons lead the rollout or none does.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from hornbeamgw.core.membership import Member, server_key
from hornbeamgw.core.standing import Closing, Phase, RolloutStatus, supersedes

# Fractions of the share and of the slack of an `ExposureBound` that are used; the remainder covers
# requests in flight and daemons that receive a rollout order late.
USABLE_SHARE_RATIO = 0.9
USABLE_SLACK_RATIO = 0.7
# Fraction of the requests allowed to the new version that the canary phase (`Phase.TRIAL`) may use;
# the rest is for the full move, in which all requests go to this version shortly before it is
# accepted or rolled back. The canary phase may also use the slack, up to the maximum fraction: at a
# low request rate the full move shows little about how a version behaves under load.
CANARY_RATIO = 0.4
MAX_CANARY_RATIO = 0.75
# The canary servers (servers of the new version) are divided into groups, and each canary period
# selects the next group. Canary requests are sent only during a short time at the start of a
# period, so that they arrive as a burst that fills the slots: a version that fails under load is
# detected. Outside this time, a small fraction of requests goes to any canary server, so that none
# is idle until its group is selected.
CANARY_GROUPS = 25
CANARY_OPEN_RATIO = 0.1
MIN_CANARY_OPEN_S = 0.2
MIN_CANARY_PERIOD_S = 0.5
BACKGROUND_CANARY_RATIO = 0.003
# Time for which servers of a version that has just appeared get no requests, so that a rollout
# order for it may still arrive.
NEW_VERSION_HOLD_S = 1.0
# A daemon stops sending to a version after this many bad answers if they are most of its answers.
BAD_ANSWERS_LIMIT = 6
MAX_VERSIONS = 256

Version = tuple[str, str]  # (service, software version)


class ExposureBound(NamedTuple):
    """Limit of the requests to a canary version: a share of all, plus a fixed number (slack)."""

    share: float
    slack: float


class _VersionCounts:
    """Counts of one daemon since it received the order `number` to roll out a version.

    `reached` counts requests to any server of the service; `sent`, `answers` and `bad` count
    requests to the version, their answers, and the bad ones among these. `reserved` counts requests
    that are being sent to the version.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.reached = 0
        self.reserved = 0
        self.sent = 0
        self.answers = 0
        self.bad = 0


class Reservation:
    """Counts a request against the limit of a version from the decision to send it there."""

    def __init__(self, counts: _VersionCounts) -> None:
        """Add a request to the counts of a version."""
        self._counts: _VersionCounts | None = counts
        counts.reserved += 1

    def release(self) -> None:
        """Remove the request, since it was sent or is not going to be sent there."""
        if self._counts is not None:
            self._counts.reserved -= 1
            self._counts = None


class RequestTraits(NamedTuple):
    """Properties of a request that determine the group of servers for it (`Arm`).

    `length_s` is the expected service time in seconds. `has_waited` is whether a request that is
    not idempotent has already been delayed because it must not run on servers about to be stopped.
    """

    service: str
    length_s: float
    is_first_attempt: bool
    is_idempotent: bool = True
    has_waited: bool = False


class ExposureState:
    """Rollout statuses received by this daemon, and the requests it sent to canary versions."""

    def __init__(self, bound: ExposureBound) -> None:
        """Create a state without rollouts; `bound` limits the requests of all daemons together."""
        self.bound = bound
        self.fleet_size = 1
        self.status_by_version: dict[Version, RolloutStatus] = {}
        self.current_by_service: dict[str, RolloutStatus] = {}
        self.received_at_by_service: dict[str, float] = {}
        self.counts_by_version: dict[Version, _VersionCounts] = {}
        self.first_seen_by_version: dict[Version, float] = {}
        self.generation = 0


def receive(state: ExposureState, received: RolloutStatus, now: float) -> bool:
    """Store a rollout status; return whether it supersedes the one stored for the same version."""
    version = received.service, received.target
    known = state.status_by_version.get(version)
    if not supersedes(received, known):
        return False
    state.status_by_version[version] = received
    state.generation += 1
    if known is None or known.number != received.number:
        state.counts_by_version[version] = _VersionCounts(received.number)
    current = state.current_by_service.get(received.service)
    if current is None or received.number >= current.number:
        state.current_by_service[received.service] = received
        state.received_at_by_service[received.service] = now
    return True


def note_members(state: ExposureState, fleet_size: int) -> None:
    """Record the number of daemons. `ExposureBound.slack` is divided by the largest one."""
    state.fleet_size = max(state.fleet_size, fleet_size)


def record_versions(
    state: ExposureState, service: str, versions: Collection[str], now: float
) -> None:
    """Record the time at which software versions of a service were first seen on a server."""
    for software in versions:
        state.first_seen_by_version.setdefault((service, software), now)
    while len(state.first_seen_by_version) > MAX_VERSIONS:
        del state.first_seen_by_version[next(iter(state.first_seen_by_version))]


def record_reached(state: ExposureState, service: str) -> None:
    """Count a request that reached any server of a service that is being rolled out."""
    current = state.current_by_service.get(service)
    if current is not None and not current.is_final:
        state.counts_by_version[service, current.target].reached += 1


def reserve(state: ExposureState, service: str) -> Reservation | None:
    """Reserve a request to the version that is being rolled out, if there is one.

    Finding a server may take a while, in which other requests are decided by the same limit.
    """
    current = state.current_by_service.get(service)
    if current is None or current.is_final:
        return None
    return Reservation(state.counts_by_version[service, current.target])


def record_sent(state: ExposureState, service: str, software: str) -> None:
    """Count a request that is being sent to a server of a software version."""
    counts = state.counts_by_version.get((service, software))
    if counts is not None:
        counts.sent += 1


def record_answer(state: ExposureState, service: str, software: str, is_bad: bool) -> None:
    """Count an answer of a server of a software version, and whether it is bad."""
    counts = state.counts_by_version.get((service, software))
    if counts is not None:
        counts.answers += 1
        counts.bad += is_bad


def _looks_bad(counts: _VersionCounts) -> bool:
    return counts.bad >= BAD_ANSWERS_LIMIT and 2 * counts.bad > counts.answers


def _has_room(state: ExposureState, status: RolloutStatus, rng: random.Random) -> bool:
    """Return whether one more request may go to a canary version.

    The limit of this daemon is rounded up or down at random, so that the fleet as a whole reaches
    its limit.
    """
    counts = state.counts_by_version[status.service, status.target]
    if _looks_bad(counts):
        return False
    slack = USABLE_SLACK_RATIO * state.bound.slack / state.fleet_size
    allowed = USABLE_SHARE_RATIO * state.bound.share * counts.reached + slack
    if status.phase is Phase.TRIAL:
        allowed = canary_allowance(allowed, slack)
    return counts.sent + counts.reserved + rng.random() <= allowed


def canary_allowance(allowed: float, slack: float) -> float:
    """Return how many requests the canary phase may send to the new version.

    `allowed` is the number that the whole rollout may send, including the slack.
    """
    return min(MAX_CANARY_RATIO * allowed, CANARY_RATIO * allowed + slack)


class Arm(enum.Enum):
    """Group of a service's servers from which the server for a request is selected."""

    # Servers of versions that receive regular traffic (`servers_in_use`): during a rollout those of
    # the old versions, and once it is completed those of the new version.
    BEFORE = "before"
    # Servers of the new version that are selected in the current canary period.
    TURN = "turn"
    # All servers of the new version.
    NEW = "new"
    # No server yet: a request that is not idempotent waits, since the old servers are about to be
    # stopped and the limit of requests to the new version is reached.
    WAIT = "wait"


def select_arm(
    state: ExposureState, request: RequestTraits, wall_time: float, rng: random.Random
) -> Arm:
    """Return the group of servers for a request; `wall_time` is the Unix time in seconds."""
    current = state.current_by_service.get(request.service)
    if current is None or current.is_final or current.phase is Phase.HELD:
        return Arm.BEFORE
    closing = current.closing if current.phase is Phase.MOVING else Closing.OPEN
    if closing is Closing.CLOSED and (request.is_first_attempt or not request.is_idempotent):
        return Arm.NEW
    if closing is Closing.IDEMPOTENT and not request.is_idempotent:
        return _select_non_idempotent_arm(state, current, request.has_waited, rng)
    if not request.is_first_attempt or not _has_room(state, current, rng):
        return Arm.BEFORE
    if current.phase is Phase.TRIAL:
        period_s = canary_period_seconds(current)
        if wall_time % period_s < max(MIN_CANARY_OPEN_S, CANARY_OPEN_RATIO * period_s):
            return Arm.TURN
        return Arm.NEW if rng.random() < BACKGROUND_CANARY_RATIO else Arm.BEFORE
    return Arm.NEW if request.length_s * 1000 >= current.length_ms else Arm.BEFORE


def _select_non_idempotent_arm(
    state: ExposureState, current: RolloutStatus, has_waited: bool, rng: random.Random
) -> Arm:
    """Return the servers for a non-idempotent request shortly before the old servers are stopped.

    A waiting request checks the limit of requests to the new version many times, and random
    rounding would eventually let it exceed the limit. So after the first check it waits until
    the rollout is decided.
    """
    if not has_waited and _has_room(state, current, rng):
        return Arm.NEW
    is_bad = _looks_bad(state.counts_by_version[current.service, current.target])
    return Arm.BEFORE if is_bad else Arm.WAIT


def closed_step(state: ExposureState, service: str, software: str) -> int:
    """Return the current rollout step if servers of a version are closed, or 0 if they are open.

    Old servers are closed before they are stopped: they accept no further requests that are not
    idempotent. A request that has waited as long as it can is refused too, since it could still be
    running when its server is stopped.
    """
    current = state.current_by_service.get(service)
    if current is None or software == current.target or current.phase is not Phase.MOVING:
        return 0
    return current.step if current.closing is not Closing.OPEN else 0


def canary_period_seconds(status: RolloutStatus) -> float:
    """Return the length in seconds of a canary period, in which one group of servers is tested."""
    return max(MIN_CANARY_PERIOD_S, status.length_ms / 1000)


def new_servers(state: ExposureState, service: str, servers: Sequence[Member]) -> list[Member]:
    """Return the servers of the version that is being rolled out."""
    current = state.current_by_service.get(service)
    return [] if current is None else [m for m in servers if m.software == current.target]


def servers_in_use(
    state: ExposureState, service: str, servers: Sequence[Member], now: float
) -> list[Member]:
    """Return the servers of versions that receive regular traffic.

    When a rollout is completed, its version is in use and the versions that it replaced are not.
    """
    usable = [m for m in servers if _is_in_use(state, service, m.software)]
    settled = [m for m in usable if not _awaits_order(state, service, m.software, usable, now)]
    return settled or usable


def _is_in_use(state: ExposureState, service: str, software: str) -> bool:
    """Return whether no rollout order excludes a version from regular traffic."""
    current = state.current_by_service.get(service)
    if current is not None and current.phase is Phase.DONE and software != current.target:
        seen = state.first_seen_by_version.get((service, software), math.inf)
        return seen > state.received_at_by_service[service]
    status = state.status_by_version.get((service, software))
    return status is None or status.phase is Phase.DONE


def _awaits_order(
    state: ExposureState, service: str, software: str, servers: Sequence[Member], now: float
) -> bool:
    """Return whether a version is so new that a rollout order for it may still arrive.

    This holds until `NEW_VERSION_HOLD_S` after it was first seen, provided that another version was
    first seen at least that long before it.
    """
    seen = state.first_seen_by_version.get((service, software), now)
    others = {member.software for member in servers} - {software}
    is_later = any(
        state.first_seen_by_version.get((service, other), now) <= seen - NEW_VERSION_HOLD_S
        for other in others
    )
    return is_later and now < seen + NEW_VERSION_HOLD_S


def active_canary_servers(
    servers: Sequence[Member], period_s: float, wall_time: float
) -> list[Member]:
    """Return the canary servers that are selected in the current canary period.

    `period_s` is the length of a period in seconds and `wall_time` the Unix time in seconds.
    Daemons with different clocks select different servers, which only spreads a burst over more
    servers.
    """
    if not servers:
        return []
    ordered = sorted(servers, key=server_key)
    width = math.ceil(len(ordered) / CANARY_GROUPS)
    first = int(wall_time / period_s) * width
    return [ordered[(first + index) % len(ordered)] for index in range(width)]
