"""Spreading: how a version travels from the daemon that learned it to all others.

A new version is pushed eagerly along a tree: one relay a region, one relay a data centre, then
a bounded fan-out inside. Each message carries the range of members its receiver answers for, so
views that disagree lose nothing but time, and another takes the place of a receiver that does
not answer. Every control message carries the sender's version,
and whoever sees a higher one pulls.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.rendezvous import select_members

FANOUT = 4
LOWEST = ""
HIGHEST = "~"
PUSH_ACK_TIMEOUT = 0.15
PUSH_ROUNDS = 3
PULL_TIMEOUT = 2.0
PULL_BACKOFF = 0.5


class Scope(enum.IntEnum):
    """Say which members the receiver of a push answers for."""

    FLEET = 0
    REGION = 1
    DATA_CENTRE = 2


class Push(NamedTuple):
    """Carry a version to a receiver that passes it on within a scope."""

    version: int
    scope: Scope
    low: str
    high: str
    delta: bytes
    parent: int = 0


class Have(NamedTuple):
    """Say that the sender holds the version named in the envelope."""


class Target(NamedTuple):
    """Hold the receiver of a push and the range it answers for."""

    address: str
    scope: Scope
    low: str = LOWEST
    high: str = HIGHEST


def _split(members: Sequence[Member], fanout: int, high: str) -> list[Target]:
    targets = []
    size = -(-len(members) // fanout)
    for start in range(0, len(members), max(1, size)):
        end = start + size
        upper = members[end].address if end < len(members) else high
        head = _first_alive(members[start:end])
        targets.append(Target(head, Scope.DATA_CENTRE, members[start].address, upper))
    return targets


def _first_alive(members: Sequence[Member]) -> str:
    for member in members:
        if member.status is Status.ALIVE:
            return member.address
    return members[0].address


def _within(me: Member, members: Sequence[Member], low: str, high: str) -> list[Target]:
    local = [
        m
        for m in members
        if m.data_centre == me.data_centre and low <= m.address < high and m.address != me.address
    ]
    return _split(sorted(local, key=lambda m: m.address), FANOUT, high)


def _relay(group: Sequence[Member], version: int, scope: Scope) -> Target:
    alive = [m for m in group if m.status is Status.ALIVE] or group
    return Target(select_members(str(version), alive, 1)[0].address, scope)


def _relays(
    me: Member, members: Sequence[Member], version: int, by: str, scope: Scope
) -> list[Target]:
    own = getattr(me, by)
    groups: dict[str, list[Member]] = {}
    for member in members:
        same_region = member.region == me.region
        if getattr(member, by) != own and (by == "region" or same_region):
            groups.setdefault(getattr(member, by), []).append(member)
    return [_relay(groups[name], version, scope) for name in sorted(groups)]


TargetsFunction = Callable[[Member, Sequence[Member], int, Scope, str, str], list[Target]]


class Policy(NamedTuple):
    """Hold a way to spread versions: whom to push to, and whether everybody reads."""

    targets: TargetsFunction
    everyone_reads: bool = False


policies_by_name: dict[str, Policy] = {}


def register(
    name: str, everyone_reads: bool = False
) -> Callable[[TargetsFunction], TargetsFunction]:
    """Register a way to spread versions under the name that settings use."""

    def add(function: TargetsFunction) -> TargetsFunction:
        policies_by_name[name] = Policy(function, everyone_reads)
        return function

    return add


@register("tree")
def tree(
    me: Member, members: Sequence[Member], version: int, scope: Scope, low: str, high: str
) -> list[Target]:
    """Return whom to push a version to, for the scope that this daemon answers for."""
    found: list[Target] = []
    if scope is Scope.FLEET:
        found += _relays(me, members, version, "region", Scope.REGION)
    if scope in (Scope.FLEET, Scope.REGION):
        found += _relays(me, members, version, "data_centre", Scope.DATA_CENTRE)
    return found + _within(me, members, low, high)


@register("flood")
def flood(
    me: Member, members: Sequence[Member], version: int, scope: Scope, low: str, high: str
) -> list[Target]:
    """Push to every member, as every receiver does again (a baseline)."""
    others = [m.address for m in members if m.address != me.address]
    return [Target(address, Scope.DATA_CENTRE, LOWEST, LOWEST) for address in others]


@register("poll", everyone_reads=True)
def poll(
    me: Member, members: Sequence[Member], version: int, scope: Scope, low: str, high: str
) -> list[Target]:
    """Push to nobody; every daemon polls the platform (a baseline)."""
    return []


def retarget(
    me: Member, members: Sequence[Member], failed: Member, push: Push, avoided: Collection[str]
) -> list[Target]:
    """Return whom to push to in place of a receiver that did not answer."""
    others = [m for m in members if m.address not in avoided]
    if failed.data_centre == me.data_centre:
        return _within(me, others, push.low, push.high)
    by = "region" if push.scope is Scope.REGION else "data_centre"
    group = [m for m in others if getattr(m, by) == getattr(failed, by)]
    return [_relay(group, push.version, push.scope)] if group else []


class PullState:
    """Hold the one transfer that may be under way, and when the next may start."""

    def __init__(self) -> None:
        """Start with no transfer."""
        self.source: str | None = None
        self.started_at = 0.0
        self.not_before = 0.0
        self.failures = 0
        self.wanted = 0
        self.forward: Push | None = None


def want(state: PullState, known: int, version: int, sender: str, now: float) -> str | None:
    """Note that a sender holds a version; return whom to pull from now, if anybody."""
    if version <= known:
        return None
    state.wanted = max(state.wanted, version)
    busy = state.source is not None and now - state.started_at < PULL_TIMEOUT
    if busy or now < state.not_before:
        return None
    state.source, state.started_at = sender, now
    return sender


def ended(state: PullState, succeeded: bool, now: float, rng: random.Random) -> None:
    """Note the end of a transfer; a failure backs off with full jitter."""
    state.source = None
    state.failures = 0 if succeeded else state.failures + 1
    if not succeeded:
        ceiling = PULL_BACKOFF * 2 ** min(state.failures, 5)
        state.not_before = now + rng.uniform(0, ceiling)
