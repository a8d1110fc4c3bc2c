"""Placement: select the backend server that is expected to answer first.

Server speeds within a service can differ by a factor of three, so all servers are compared for each
request. The estimate combines the queueing time in the last report of the server's daemon, the
attempts sent since that report, and the measured relative speed of the server. Selecting a local
server until it is full would send work to a slow server while a fast one is idle in another data
centre. Traffic between data centres is expensive, so large requests and answers count against
remote servers.

A server that refuses or fails some of its requests is not ejected at once. Its failure probability
adds to its cost and decays over time, so it receives a few requests again before full traffic.
"""

from __future__ import annotations

import random

from hornbeamgw.core import balancing, transfers
from hornbeamgw.core.balancing import Candidate, Choice, Load, register_chooser
from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.service_times import INITIAL_TIME_RATIO

# Network round trip between data centres. It is 2 x 1.4 ms in known deployments.
CROSS_DATA_CENTRE_RTT_S = 0.003
# Cost of transferred bytes: 1 KB between data centres weighs as much as 1 ms of latency. At the
# prices of known deployments an answer of 90 KB costs two thirds of its value there, and one of 1.5
# KB a hundredth.
CROSS_DATA_CENTRE_S_PER_BYTE = 1e-6
# Seconds added to the expected completion on a suspected member, so that it is selected only if all
# other servers are expected to answer later by at least this time.
SUSPECT_PENALTY_S = 1.0
# Smoothing factor of a server's failure probability, and the rate (1/s) at which it decays.
OUTCOME_SMOOTHING_FACTOR = 0.15
FAILURE_DECAY_PER_S = 0.25
# Upper limit of the random time that is added to a server's expected completion to break ties.
TIE_BREAK_S = 0.001
# Weight of the newest measurement in the moving averages of a route's traits.
TRAITS_SMOOTHING_FACTOR = 0.05
COLD_FACTOR = 2.0


class RouteTraits:
    """Properties of a route's requests, independent of the server.

    Attributes
    ----------
    service : float
        Smoothed service time in seconds, normalised to a server of average speed.
    deviation : float
        Mean absolute deviation of the service time, in seconds.
    size : float
        Smoothed size in bytes of a request and its answer, 0 before the first answer.
    answers : int
        Number of answers.
    """

    def __init__(self, latency_objective: float) -> None:
        """Derive initial estimates from the route's latency objective in seconds."""
        self.service = INITIAL_TIME_RATIO * latency_objective
        self.deviation = self.service / 2
        self.size = 0.0
        self.answers = 0


def note_answer(traits: RouteTraits, load: Load, service: float, size: int) -> None:
    """Update the estimates with one request: its service time (s), and size with answer (bytes)."""
    ratio = min(20.0, max(0.05, service / max(traits.service, 1e-4)))
    load.slowness += TRAITS_SMOOTHING_FACTOR * 2 * (ratio - load.slowness)
    normal = service / max(load.slowness, 0.05)
    traits.deviation += TRAITS_SMOOTHING_FACTOR * (abs(normal - traits.service) - traits.deviation)
    traits.service += TRAITS_SMOOTHING_FACTOR * (normal - traits.service)
    traits.size = transfers.updated_mean(traits.size, traits.answers, size, TRAITS_SMOOTHING_FACTOR)
    traits.answers += 1


def note_report(load: Load, free_slots: int, wait: float, now: float) -> None:
    """Store a server's free slots and queueing time (s) as reported by its daemon."""
    load.free_slots = free_slots
    load.wait = wait
    load.reported_at = now
    load.sent_since_report = 0


def note_outcome(load: Load, failed: bool, now: float) -> None:
    """Update the failure probability with the outcome of an attempt.

    `failed` is whether the attempt failed because of the server.
    """
    load.failure_probability = (
        failure_probability(load, now) * (1 - OUTCOME_SMOOTHING_FACTOR)
        + OUTCOME_SMOOTHING_FACTOR * failed
    )
    load.outcome_at = now


def failure_probability(load: Load, now: float) -> float:
    """Return the probability that an attempt fails; it decays while there are no attempts."""
    age = max(0.0, now - load.outcome_at)
    return load.failure_probability / (1 + FAILURE_DECAY_PER_S * age)


def _wait(load: Load, slots: int, service: float, now: float) -> float:
    if load.free_slots is None or not balancing.is_recent(load, now):
        ahead = load.outstanding - slots
        return max(0.0, ahead + 1) * service / slots
    wait = max(0.0, load.wait - (now - load.reported_at))
    ahead = load.sent_since_report + 1 - load.free_slots
    return wait + max(0, ahead) * service / slots if ahead > 0 else wait


def expected_wait(candidate: Candidate, traits: RouteTraits, now: float) -> float:
    """Return the expected time in seconds that a request waits for a slot at a server."""
    member, load = candidate.member, candidate.load
    return _wait(load, max(1, member.slots), traits.service * load.slowness, now)


def expected_finish(
    me: Member, candidate: Candidate, traits: RouteTraits, latency_objective: float, now: float
) -> float:
    """Return the expected completion time of a request, in seconds from now, plus penalties.

    Failures, traffic between data centres and suspected members add equivalent seconds.
    """
    member, load = candidate.member, candidate.load
    service = traits.service * load.slowness
    finish = expected_wait(candidate, traits, now) + service
    finish += failure_probability(load, now) * latency_objective
    if member.data_centre != me.data_centre:
        finish += CROSS_DATA_CENTRE_RTT_S + traits.size * CROSS_DATA_CENTRE_S_PER_BYTE
    if member.status is not Status.ALIVE:
        finish += SUSPECT_PENALTY_S
    return finish


def usable_candidates(choice: Choice) -> list[Candidate]:
    """Return the servers not tried yet; ejected ones only if there are no others."""
    untried = [c for c in choice.candidates if c.key not in choice.tried]
    return [c for c in untried if c.load.ejected_until <= choice.now] or untried


class PlacementState:
    """Traits of the requests of each route."""

    def __init__(self) -> None:
        """Start without measurements."""
        self.traits_by_route: dict[str, RouteTraits] = {}


def traits_of(state: PlacementState, route: str, latency_objective: float) -> RouteTraits:
    """Return the traits of a route, creating them from its latency objective (s) if missing."""
    traits = state.traits_by_route.get(route)
    if traits is None:
        traits = state.traits_by_route[route] = RouteTraits(latency_objective)
    return traits


@register_chooser("expected_finish")
def choose(choice: Choice, rng: random.Random) -> Candidate | None:
    """Return the untried server with the earliest expected completion, None if all were tried."""
    now = choice.now
    usable = usable_candidates(choice)
    if not usable:
        return None

    def cost(candidate: Candidate) -> float:
        finish = expected_finish(choice.me, candidate, choice.traits, choice.latency_objective, now)
        return finish + rng.uniform(0, TIE_BREAK_S)

    return min(usable, key=cost)
