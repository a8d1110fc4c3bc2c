"""Placement: choose the backend server that is expected to answer first.

The users' services have three to five servers, whose speeds differ three to one, so all of them
are compared for each request: by the wait that the daemon beside a server reported with its last
answer, by what was sent there since, and by how fast that server has been. Choosing a nearby
server until it is full would send work to a slow one while a fast one is free 1.4 ms away; but an
answer's bytes between data centres are dear, so large ones weigh against leaving one's own.

A server that refuses or breaks part of its requests is not ejected outright: each failure weighs
by its likelihood, and wears off, so that it is tried again by a few requests first.
"""

from __future__ import annotations

import random

from hornbeamgw.core.balancing import Candidate, Choice, Load, register_chooser
from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.service_times import GUESS_OF_OBJECTIVE

# A round trip between data centres, 2 x 1.4 ms on the users' sheets.
OTHER_DATA_CENTRE_S = 0.003
# Moving 1 KB between data centres weighs as much as 1 ms of waiting: at the users' prices a
# roster of 90 KB costs two thirds of its worth there, and a lookup of 1.5 KB a hundredth.
S_PER_BYTE_BETWEEN_DATA_CENTRES = 1e-6
# A doubted member is used only if no other can answer within its probe's time.
SUSPECT_S = 1.0
# Weight of the newest outcome, and how fast (1/s) old failures are forgotten.
OUTCOME_WEIGHT = 0.15
FORGIVE_PER_S = 0.25
# Reports older than this say nothing: a queue that long is dropped by then.
REPORT_MAX_AGE_S = 1.0
TIE_S = 0.001
ROUTE_WEIGHT = 0.05
COLD_FACTOR = 2.0


class RouteTraits:
    """Hold what answers of a route are like, whichever server gives them."""

    def __init__(self, aim: float) -> None:
        """Start with a guess by the route's objective (s)."""
        self.service = GUESS_OF_OBJECTIVE * aim
        self.deviation = self.service / 2
        self.size = 0.0


def note_answer(traits: RouteTraits, load: Load, service: float, size: int) -> None:
    """Take how long (s) a server held a request, and the bytes that it and its answer took."""
    ratio = min(20.0, max(0.05, service / max(traits.service, 1e-4)))
    load.slowness += ROUTE_WEIGHT * 2 * (ratio - load.slowness)
    normal = service / max(load.slowness, 0.05)
    traits.deviation += ROUTE_WEIGHT * (abs(normal - traits.service) - traits.deviation)
    traits.service += ROUTE_WEIGHT * (normal - traits.service)
    traits.size += ROUTE_WEIGHT * (size - traits.size)


def note_report(load: Load, free_slots: int, wait: float, now: float) -> None:
    """Take what the daemon beside a server said of its slots and of the wait (s) there."""
    load.free_slots = free_slots
    load.wait = wait
    load.reported_at = now
    load.sent_since = 0


def note_outcome(load: Load, failed: bool, now: float) -> None:
    """Take whether an attempt failed by the server's fault."""
    load.failing = failing(load, now) * (1 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT * failed
    load.outcome_at = now


def failing(load: Load, now: float) -> float:
    """Return the likelihood that an attempt fails there; it wears off while nothing is tried."""
    age = max(0.0, now - load.outcome_at)
    return load.failing / (1 + FORGIVE_PER_S * age)


def _wait(load: Load, slots: int, service: float, now: float) -> float:
    if load.free_slots is None or now - load.reported_at > REPORT_MAX_AGE_S:
        ahead = load.outstanding - slots
        return max(0.0, ahead + 1) * service / slots
    wait = max(0.0, load.wait - (now - load.reported_at))
    ahead = load.sent_since + 1 - load.free_slots
    return wait + max(0, ahead) * service / slots if ahead > 0 else wait


def expected_wait(candidate: Candidate, traits: RouteTraits, now: float) -> float:
    """Return how long (s) a request is expected to wait for a slot there."""
    member, load = candidate.member, candidate.load
    return _wait(load, max(1, member.slots), traits.service * load.slowness, now)


def expected_finish(
    me: Member, candidate: Candidate, traits: RouteTraits, aim: float, now: float
) -> float:
    """Return when (s from now) a server is expected to have answered, and what weighs like it."""
    member, load = candidate.member, candidate.load
    service = traits.service * load.slowness
    finish = expected_wait(candidate, traits, now) + service
    finish += failing(load, now) * aim
    if member.data_centre != me.data_centre:
        finish += OTHER_DATA_CENTRE_S + traits.size * S_PER_BYTE_BETWEEN_DATA_CENTRES
    if member.status is not Status.ALIVE:
        finish += SUSPECT_S
    return finish


def fit(choice: Choice) -> list[Candidate]:
    """Return the servers not tried yet, those that were out of reach only if there is no other."""
    untried = [c for c in choice.candidates if c.key not in choice.tried]
    return [c for c in untried if c.load.ejected_until <= choice.now] or untried


class PlacementState:
    """Hold the traits of each route."""

    def __init__(self) -> None:
        """Start with nothing measured."""
        self.traits_by_route: dict[str, RouteTraits] = {}


def traits_of(state: PlacementState, route: str, aim: float) -> RouteTraits:
    """Return the traits of a route; a new one starts with a guess."""
    traits = state.traits_by_route.get(route)
    if traits is None:
        traits = state.traits_by_route[route] = RouteTraits(aim)
    return traits


@register_chooser("expected_finish")
def choose(choice: Choice, rng: random.Random) -> Candidate | None:
    """Return the server that is expected to answer first, none twice while there are others."""
    now = choice.now
    usable = fit(choice)
    if not usable:
        return None

    def cost(candidate: Candidate) -> float:
        finish = expected_finish(choice.me, candidate, choice.traits, choice.aim, now)
        return finish + rng.uniform(0, TIE_S)

    return min(usable, key=cost)
