"""Dissemination of catalogue versions from one daemon to all others.

A new version is pushed along a tree: to one relay per region, one relay per data centre, and then
with a bounded fan-out within the data centre. Each push carries the address range that its
receiver must cover, and a receiver that does not acknowledge is replaced by another one. As a
fallback, every control message carries the sender's version, and a daemon that receives a higher
version than its own pulls it from the sender. This also reaches members that a push missed because
a sender's member list lacked them.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.rendezvous import select_members

FANOUT = 4
# Bounds of the range of all addresses; "~" sorts after every address.
MIN_ADDRESS = ""
MAX_ADDRESS = "~"
PUSH_ACK_TIMEOUT_S = 0.15
MAX_PUSH_RETRIES = 3
PULL_TIMEOUT_S = 2.0
PULL_BACKOFF_BASE_S = 0.5


class Scope(enum.IntEnum):
    """The set of members that the receiver of a push must cover."""

    FLEET = 0
    REGION = 1
    DATA_CENTRE = 2


class Push(NamedTuple):
    """A catalogue version that the receiver applies, and forwards within a scope and address range.

    `delta` is the compressed difference from the version `parent`. It is empty if it is not stored
    or too long for a datagram; the receiver then pulls the version.
    """

    version: int
    scope: Scope
    low: str
    high: str
    delta: bytes
    parent: int = 0


class Have(NamedTuple):
    """Acknowledgement that the sender has the version given in the message envelope."""


class Target(NamedTuple):
    """Receiver of a push, and the scope and range (low <= address < high) that it must cover."""

    address: str
    scope: Scope
    low: str = MIN_ADDRESS
    high: str = MAX_ADDRESS


def _split_range(members: Sequence[Member], fanout: int, high: str) -> list[Target]:
    """Divide sorted members into at most `fanout` ranges, with one push target for each."""
    targets = []
    size = -(-len(members) // fanout)
    for start in range(0, len(members), max(1, size)):
        end = start + size
        end_address = members[end].address if end < len(members) else high
        receiver = _first_alive(members[start:end])
        targets.append(Target(receiver, Scope.DATA_CENTRE, members[start].address, end_address))
    return targets


def _first_alive(members: Sequence[Member]) -> str:
    for member in members:
        if member.status is Status.ALIVE:
            return member.address
    return members[0].address


def _local_targets(me: Member, members: Sequence[Member], low: str, high: str) -> list[Target]:
    local = [
        m
        for m in members
        if m.data_centre == me.data_centre and low <= m.address < high and m.address != me.address
    ]
    return _split_range(sorted(local, key=lambda m: m.address), FANOUT, high)


def _select_relay(group: Sequence[Member], version: int, scope: Scope) -> Target:
    alive = [m for m in group if m.status is Status.ALIVE] or group
    return Target(select_members(str(version), alive, 1)[0].address, scope)


def _select_relays(
    me: Member, members: Sequence[Member], version: int, level: str, scope: Scope
) -> list[Target]:
    own = getattr(me, level)
    groups: dict[str, list[Member]] = {}
    for member in members:
        same_region = member.region == me.region
        if getattr(member, level) != own and (level == "region" or same_region):
            groups.setdefault(getattr(member, level), []).append(member)
    return [_select_relay(groups[name], version, scope) for name in sorted(groups)]


TargetSelector = Callable[[Member, Sequence[Member], int, Scope, str, str], list[Target]]


class Policy(NamedTuple):
    """A dissemination policy: selects push targets; all daemons poll if `all_daemons_read`."""

    targets: TargetSelector
    all_daemons_read: bool = False


policies_by_name: dict[str, Policy] = {}


def register(
    name: str, all_daemons_read: bool = False
) -> Callable[[TargetSelector], TargetSelector]:
    """Register a dissemination policy under the name used in the settings."""

    def decorator(function: TargetSelector) -> TargetSelector:
        policies_by_name[name] = Policy(function, all_daemons_read)
        return function

    return decorator


@register("tree")
def tree(
    me: Member, members: Sequence[Member], version: int, scope: Scope, low: str, high: str
) -> list[Target]:
    """Return the push targets in a tree that covers a scope and address range."""
    targets: list[Target] = []
    if scope is Scope.FLEET:
        targets += _select_relays(me, members, version, "region", Scope.REGION)
    if scope in (Scope.FLEET, Scope.REGION):
        targets += _select_relays(me, members, version, "data_centre", Scope.DATA_CENTRE)
    return targets + _local_targets(me, members, low, high)


@register("flood")
def flood(
    me: Member, members: Sequence[Member], version: int, scope: Scope, low: str, high: str
) -> list[Target]:
    """Return every other member as a push target, as a baseline for comparison."""
    others = [m.address for m in members if m.address != me.address]
    return [Target(address, Scope.DATA_CENTRE, MIN_ADDRESS, MIN_ADDRESS) for address in others]


@register("poll", all_daemons_read=True)
def poll(
    me: Member, members: Sequence[Member], version: int, scope: Scope, low: str, high: str
) -> list[Target]:
    """Return no push targets, since every daemon polls; a baseline for comparison."""
    return []


def replacement_targets(
    me: Member, members: Sequence[Member], failed: Member, push: Push, excluded: Collection[str]
) -> list[Target]:
    """Return the push targets that replace a receiver that did not acknowledge."""
    others = [m for m in members if m.address not in excluded]
    if failed.data_centre == me.data_centre:
        return _local_targets(me, others, push.low, push.high)
    level = "region" if push.scope is Scope.REGION else "data_centre"
    group = [m for m in others if getattr(m, level) == getattr(failed, level)]
    return [_select_relay(group, push.version, push.scope)] if group else []


class PullState:
    """State of the pull in progress, if any, and the earliest time of the next pull."""

    def __init__(self) -> None:
        """Create a state without a pull in progress."""
        self.source: str | None = None
        self.started_at = 0.0
        self.not_before = 0.0
        self.failures = 0
        self.highest_advertised_version = 0
        self.deferred_push: Push | None = None


def start_pull(state: PullState, known: int, version: int, sender: str, now: float) -> str | None:
    """Start a pull from the sender of a higher version if possible; return the sender, or None.

    `known` is the version that this daemon has, and `version` that of the sender.
    """
    if version <= known:
        return None
    state.highest_advertised_version = max(state.highest_advertised_version, version)
    busy = state.source is not None and now - state.started_at < PULL_TIMEOUT_S
    if busy or now < state.not_before:
        return None
    state.source, state.started_at = sender, now
    return sender


def finish_pull(state: PullState, succeeded: bool, now: float, rng: random.Random) -> None:
    """Record the end of a pull; after a failure, back off exponentially with full jitter."""
    state.source = None
    state.failures = 0 if succeeded else state.failures + 1
    if not succeeded:
        max_delay = PULL_BACKOFF_BASE_S * 2 ** min(state.failures, 5)
        state.not_before = now + rng.uniform(0, max_delay)
