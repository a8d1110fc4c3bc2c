"""Balancing: choose a backend server for an attempt; policies register themselves."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Sequence
from typing import TYPE_CHECKING, NamedTuple

from hornbeamgw.core.membership import (
    Member,
    ServerState,
    Status,
    server_key,
    split_by_server,
)

if TYPE_CHECKING:
    from hornbeamgw.core.placement import RouteTraits

SLOW_START_S = 5.0
SLOW_START_FLOOR = 0.1
EJECT_AFTER_FAILURES = 5
EJECT_BASE_S = 1.0
EJECT_UNREACHABLE_S = 0.5  # a daemon that is killed is back after about a second
EJECT_MAX_S = 30.0
EJECT_CEILING = 0.5


class Load:
    """Hold what this daemon itself saw of one backend server."""

    def __init__(self, now: float) -> None:
        """Start with nothing outstanding."""
        self.outstanding = 0
        self.free_slots: int | None = None
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.first_seen = now
        self.wait = 0.0
        self.reported_at = now
        self.sent_since = 0
        self.slowness = 1.0
        self.failing = 0.0
        self.outcome_at = now


class Candidate(NamedTuple):
    """Hold a backend server that may take an attempt, by the record that describes it alone.

    Its key tells it from all others; every choice goes through those of all candidates.
    """

    member: Member
    load: Load
    key: str


def candidate_of(member: Member, load: Load) -> Candidate:
    """Return a backend server that may take an attempt."""
    return Candidate(member, load, server_key(member))


Policy = Callable[[Sequence[Candidate], float, random.Random], Candidate]
policies_by_name: dict[str, Policy] = {}


def register(name: str) -> Callable[[Policy], Policy]:
    """Register a balancing policy under the name that settings use."""

    def add(policy: Policy) -> Policy:
        policies_by_name[name] = policy
        return policy

    return add


def _cost(candidate: Candidate, now: float) -> float:
    load, slots = candidate.load, max(1, candidate.member.slots)
    used = load.outstanding
    if load.free_slots is not None:
        used = max(used, slots - load.free_slots)
    age = now - load.first_seen
    warmth = max(SLOW_START_FLOOR, min(1.0, age / SLOW_START_S))
    return (used + 1) / (slots * warmth)


@register("two_choice")
def two_choice(candidates: Sequence[Candidate], now: float, rng: random.Random) -> Candidate:
    """Take the better of two random candidates by outstanding calls and free slots."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if _cost(first, now) <= _cost(second, now) else second


@register("round_robin")
def round_robin(candidates: Sequence[Candidate], now: float, rng: random.Random) -> Candidate:
    """Take the candidates in equal shares, whatever their load (a baseline)."""
    return rng.choice(candidates)


@register("least_outstanding")
def least_outstanding(candidates: Sequence[Candidate], now: float, rng: random.Random) -> Candidate:
    """Take the candidate with the fewest of one's own calls (a baseline)."""
    fewest = min(c.load.outstanding for c in candidates)
    return rng.choice([c for c in candidates if c.load.outstanding == fewest])


def note_failure(load: Load, now: float) -> None:
    """Count a failed attempt; eject for a while after several in a row."""
    load.failures += 1
    if load.failures >= EJECT_AFTER_FAILURES:
        load.ejected_until = now + min(EJECT_MAX_S, EJECT_BASE_S * 2**load.ejections)
        load.ejections += 1
        load.failures = 0


def note_unreachable(load: Load, now: float) -> None:
    """Leave a server alone for a while whose daemon can't be reached."""
    load.ejected_until = max(load.ejected_until, now + EJECT_UNREACHABLE_S)


def note_success(load: Load) -> None:
    """Forget earlier failures."""
    load.failures = 0
    load.ejections = 0


def serving(members: Collection[Member], service: str) -> list[Member]:
    """Return the records of backend servers that take new work for a service, one for each."""
    return [
        m
        for member in members
        for m in split_by_server(member)
        if m.service == service
        and m.server_state is ServerState.SERVING
        and m.status is not Status.LEFT
    ]


def _without_ejected(candidates: list[Candidate], now: float) -> list[Candidate]:
    kept = [c for c in candidates if c.load.ejected_until <= now]
    return kept if len(kept) >= len(candidates) * (1 - EJECT_CEILING) else candidates


def _has_room(candidate: Candidate) -> bool:
    load = candidate.load
    if load.outstanding >= candidate.member.slots:
        return False
    return load.free_slots is None or load.free_slots > 0


def _tiers(me: Member, candidates: list[Candidate]) -> list[list[Candidate]]:
    alive = [c for c in candidates if c.member.status is Status.ALIVE]
    local = [c for c in alive if c.member.data_centre == me.data_centre]
    region = [c for c in alive if c.member.region == me.region]
    return [tier for tier in (local, region, alive, candidates) if tier]


class Choice(NamedTuple):
    """Hold what a backend server is chosen by, for one attempt.

    The aim is the route's objective (s), and the objective the time by which this one should be
    answered.
    """

    me: Member
    candidates: list[Candidate]
    tried: Collection[str]
    traits: RouteTraits
    aim: float
    now: float
    objective: float = math.inf

    @property
    def left(self) -> float:
        """Return how much time (s) is left to answer within the objective."""
        return min(self.aim, self.objective - self.now)


Chooser = Callable[[Choice, random.Random], Candidate | None]
choosers_by_name: dict[str, Chooser] = {}


def register_chooser(name: str) -> Callable[[Chooser], Chooser]:
    """Register a way to choose among all servers under the name that settings use."""

    def add(chooser: Chooser) -> Chooser:
        choosers_by_name[name] = chooser
        return chooser

    return add


def chooser_of(name: str) -> Chooser:
    """Return the way to choose of that name; a policy chooses within the nearest tier."""
    if name in choosers_by_name:
        return choosers_by_name[name]
    policy = policies_by_name[name]

    def nearest(choice: Choice, rng: random.Random) -> Candidate | None:
        return choose(choice.me, choice.candidates, choice.tried, policy, choice.now, rng)

    return nearest


def choose(
    me: Member,
    candidates: list[Candidate],
    tried: Collection[str],
    policy: Policy,
    now: float,
    rng: random.Random,
) -> Candidate | None:
    """Return a backend server: nearest with room first, and one not tried before if any."""
    fresh = [c for c in candidates if c.key not in tried] or candidates
    tiers = _tiers(me, _without_ejected(fresh, now))
    for tier in tiers:
        with_room = [c for c in tier if _has_room(c)]
        if with_room:
            return policy(with_room, now, rng)
    return policy(tiers[-1], now, rng) if tiers else None
