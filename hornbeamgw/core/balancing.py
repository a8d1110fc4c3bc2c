"""Load balancing: select a backend server for an attempt, with a registry of policies."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Sequence
from typing import TYPE_CHECKING, NamedTuple

from hornbeamgw.core import backoff
from hornbeamgw.core.declaration import Heard
from hornbeamgw.core.membership import (
    Member,
    ServerState,
    Status,
    server_key,
    split_by_server,
)

if TYPE_CHECKING:
    from hornbeamgw.core.placement import RouteTraits

# Slow start: over this time, the ratio of its capacity that a new server is assumed to have rises
# from this minimum to 1.
SLOW_START_S = 5.0
SLOW_START_MIN_RATIO = 0.1
# An ejected server is not selected for a time. A server is ejected after this number of consecutive
# failures, first for the base time, then twice as long each time, up to `EJECT_MAX_S`.
EJECT_FAILURE_THRESHOLD = 5
EJECT_BASE_S = 1.0
# Length of an ejection because a daemon is unreachable. Shorter than a restart (about 1 s), so that
# a restarted daemon is used again soon.
EJECT_UNREACHABLE_S = 0.5
EJECT_MAX_S = 30.0
# Ejections are ignored while more than this ratio of the candidates is ejected.
EJECT_MAX_RATIO = 0.5


# Age above which the load report of a server's daemon is ignored. Requests that were queued for so
# long have been dropped by then, and limits may have ended.
REPORT_MAX_AGE_S = 1.0


class Load:
    """Load and health of one backend server as observed by this daemon.

    Attributes
    ----------
    outstanding : int
        Calls sent by this daemon that have not completed.
    free_slots : int or None
        Free slots in the last report from the server's daemon; None before the first report.
    failures : int
        Consecutive failed attempts.
    ejections : int
        Ejections since the last successful attempt. Each doubles the length of the next one.
    ejected_until, first_seen, reported_at, outcome_at : float
        Times in seconds: the end of the ejection, the first sighting of the server, the last report
        from its daemon and the last outcome of an attempt.
    wait : float
        Queueing time in seconds in the last report.
    sent_since_report : int
        Attempts sent since the last report.
    slowness : float
        Service time relative to the mean of the route; 1 is average, larger is slower.
    failure_probability : float
        Smoothed ratio of failed attempts, as of `outcome_at`.
    heard : Heard or None
        What the server declared in its last answer to this daemon.
    """

    def __init__(self, now: float) -> None:
        """Create the state of a server first seen at `now` (seconds)."""
        self.outstanding = 0
        self.free_slots: int | None = None
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.first_seen = now
        self.wait = 0.0
        self.reported_at = now
        self.sent_since_report = 0
        self.slowness = 1.0
        self.failure_probability = 0.0
        self.outcome_at = now
        self.heard: Heard | None = None


class Candidate(NamedTuple):
    """A backend server that may receive an attempt.

    `member` is a membership record that describes this server alone, and `key` identifies the
    server among all candidates.
    """

    member: Member
    load: Load
    key: str


def candidate_of(member: Member, load: Load) -> Candidate:
    """Return the candidate for a server, given a membership record that describes it alone."""
    return Candidate(member, load, server_key(member))


Policy = Callable[[Sequence[Candidate], float, random.Random], Candidate]
policies_by_name: dict[str, Policy] = {}


def register(name: str) -> Callable[[Policy], Policy]:
    """Register a balancing policy under its name in the settings."""

    def add(policy: Policy) -> Policy:
        policies_by_name[name] = policy
        return policy

    return add


def is_recent(load: Load, now: float) -> bool:
    """Return whether the last load report of a server is recent enough to be used."""
    return now - load.reported_at <= REPORT_MAX_AGE_S


def _cost(candidate: Candidate, now: float) -> float:
    """Return the ratio of used slots, including one for the new call, to the current capacity.

    The capacity of a server that was first seen recently is reduced (slow start).
    """
    load, slots = candidate.load, max(1, candidate.member.slots)
    used = load.outstanding
    if load.free_slots is not None and is_recent(load, now):
        used = max(used, slots - load.free_slots)
    age = now - load.first_seen
    ramp = max(SLOW_START_MIN_RATIO, min(1.0, age / SLOW_START_S))
    return (used + 1) / (slots * ramp)


@register("two_choice")
def two_choice(candidates: Sequence[Candidate], now: float, rng: random.Random) -> Candidate:
    """Return the less loaded of two random candidates (power of two choices)."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if _cost(first, now) <= _cost(second, now) else second


@register("round_robin")
def round_robin(candidates: Sequence[Candidate], now: float, rng: random.Random) -> Candidate:
    """Return a uniformly random candidate regardless of load, as a baseline for comparison."""
    return rng.choice(candidates)


@register("least_outstanding")
def least_outstanding(candidates: Sequence[Candidate], now: float, rng: random.Random) -> Candidate:
    """Return a candidate with the fewest outstanding calls from this daemon, as a baseline."""
    fewest = min(c.load.outstanding for c in candidates)
    return rng.choice([c for c in candidates if c.load.outstanding == fewest])


def note_failure(load: Load, now: float) -> None:
    """Count a failed attempt and eject the server after several consecutive failures.

    The ejection time doubles with each consecutive ejection.
    """
    load.failures += 1
    if load.failures >= EJECT_FAILURE_THRESHOLD:
        load.ejected_until = now + backoff.ceiling(EJECT_BASE_S, EJECT_MAX_S, load.ejections)
        load.ejections += 1
        load.failures = 0


def note_unreachable(load: Load, now: float) -> None:
    """Eject a server briefly because its daemon is unreachable."""
    load.ejected_until = max(load.ejected_until, now + EJECT_UNREACHABLE_S)


def note_success(load: Load) -> None:
    """Reset the failure and ejection counts of a server after a successful attempt."""
    load.failures = 0
    load.ejections = 0


def serving(members: Collection[Member], service: str) -> list[Member]:
    """Return a membership record for each backend server that accepts requests for a service."""
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
    return kept if len(kept) >= len(candidates) * (1 - EJECT_MAX_RATIO) else candidates


def _has_room(candidate: Candidate, now: float) -> bool:
    load = candidate.load
    if load.outstanding >= candidate.member.slots:
        return False
    return load.free_slots is None or load.free_slots > 0 or not is_recent(load, now)


def _locality_tiers(me: Member, candidates: list[Candidate]) -> list[list[Candidate]]:
    """Return the tiers of candidates (see `choose`), nearest first, without empty ones."""
    alive = [c for c in candidates if c.member.status is Status.ALIVE]
    local = [c for c in alive if c.member.data_centre == me.data_centre]
    region = [c for c in alive if c.member.region == me.region]
    return [tier for tier in (local, region, alive, candidates) if tier]


class Choice(NamedTuple):
    """The inputs for selecting a backend server for one attempt.

    Attributes
    ----------
    me : Member
        Membership record of the daemon that selects the server.
    candidates : list of Candidate
        The servers to select from.
    tried : collection of str
        Keys of the servers that previous attempts of the call were sent to.
    traits : RouteTraits
        Size and service time of the route's requests.
    latency_objective : float
        Latency objective of the route, in seconds.
    now : float
        Current time in seconds.
    answer_by : float
        Time in seconds at which the call exceeds its latency objective.
    """

    me: Member
    candidates: list[Candidate]
    tried: Collection[str]
    traits: RouteTraits
    latency_objective: float
    now: float
    answer_by: float = math.inf

    @property
    def time_left(self) -> float:
        """Return the time in seconds left to answer within the latency objective."""
        return min(self.latency_objective, self.answer_by - self.now)


Chooser = Callable[[Choice, random.Random], Candidate | None]
choosers_by_name: dict[str, Chooser] = {}


def register_chooser(name: str) -> Callable[[Chooser], Chooser]:
    """Register, under its name in the settings, a function that selects among all servers."""

    def add(chooser: Chooser) -> Chooser:
        choosers_by_name[name] = chooser
        return chooser

    return add


def chooser_of(name: str) -> Chooser:
    """Return the chooser with a name in the settings.

    If the name is that of a policy, the chooser applies it to the nearest servers with free slots
    (see `choose`).
    """
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
    """Return a server from the nearest tier with free slots, preferring untried servers.

    Servers whose daemons are alive form three tiers: those in the data centre of `me`, those in its
    region, and all. The last tier is all candidates; if none has free slots, one of them is
    returned.
    """
    fresh = [c for c in candidates if c.key not in tried] or candidates
    tiers = _locality_tiers(me, _without_ejected(fresh, now))
    for tier in tiers:
        with_room = [c for c in tier if _has_room(c, now)]
        if with_room:
            return policy(with_room, now, rng)
    return policy(tiers[-1], now, rng) if tiers else None
