"""Synthetic workloads for the mesh model: request kinds, nodes, departures and bursts."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import NamedTuple


class NestedCalls(NamedTuple):
    """Calls that a request makes: their kind, how many in parallel, and the share of requests."""

    kind: str
    n_calls: int
    share: float


class Kind(NamedTuple):
    """Kind of request; times are in seconds, `rate` in requests per second.

    `worth` is the weight of a request in the goodput, if it is answered within the latency
    objective. A later answer counts `late_worth` times as much if it meets the deadline of its
    caller. Each try ends after `timeout`, the timeout of the route.
    """

    name: str
    service: str
    work: float
    log_sigma: float  # standard deviation of the logarithm of the work
    latency_objective: float
    deadline: float
    rate: float = 0.0
    answer_bytes: int = 0
    worth: float = 1.0
    late_worth: float = 0.1
    priority: int = 2
    retries: int = 2
    nested: NestedCalls | None = None
    timeout: float = math.inf


class Node(NamedTuple):
    """A backend server and the daemon next to it; `speed` is relative to the nominal speed."""

    data_centre: str
    service: str
    speed: float
    slots: int


class Departure(NamedTuple):
    """A server that starts to drain at a time in seconds; `node` is its index."""

    at: float
    node: int


class Burst(NamedTuple):
    """Interval in seconds during which request rates are multiplied by a factor."""

    begin: float = 0.0
    end: float = 0.0
    factor: float = 1.0


class Wave(NamedTuple):
    """Demand that rises and falls by a ratio of its mean, with a period in seconds.

    Requests arrive in clumps of `clump` requests of a kind on average.
    """

    ratio: float = 0.0
    period: float = 1.0
    clump: float = 1.0


class OfferedLoad(NamedTuple):
    """Workload: request kinds, nodes, a factor for all rates, servers that leave, burst, wave."""

    kinds: Sequence[Kind]
    nodes: Sequence[Node]
    factor: float = 1.0
    departures: Sequence[Departure] = ()
    burst: Burst = Burst()
    wave: Wave = Wave()


# One or two servers of a service in each data centre, with speeds that differ by up to a factor of
# three, and calls to the other service.
FEW_SERVERS: tuple[Kind, ...] = (
    Kind("lookup", "entries", 0.22, 0.8, 0.6, 2.0, 56.2, 1500, nested=NestedCalls("lane", 2, 0.7)),
    Kind("entry", "entries", 0.29, 0.8, 0.8, 2.5, 31.5, 5500, 2.0, 0.2, 1),
    Kind("sheet", "races", 0.55, 0.3, 1.5, 5.0, 24.7, 5000),
    Kind("lane", "races", 0.055, 0.5, 0.2, 0.6, answer_bytes=100, worth=0.0, retries=0),
)
# Three services with short latency objectives; answers of one kind have 90 KB.
NESTED_CHECK = NestedCalls("check", 1, 0.5)
SHORT_OBJECTIVES: tuple[Kind, ...] = (
    Kind("slots", "desk", 0.06, 0.5, 0.2, 0.5, 254.0, 1500, late_worth=0.3, retries=1),
    Kind("booking", "books", 0.078, 0.5, 0.25, 0.6, 86.4, 1500, 2.0, 0.3, 1, 1, NESTED_CHECK),
    Kind("roster", "rosters", 0.048, 0.5, 0.25, 0.6, 38.6, 90_000, late_worth=0.3, retries=1),
    Kind("history", "rosters", 0.24, 0.5, 0.6, 1.5, 45.8, 1500, late_worth=0.3, retries=1),
    Kind("check", "rosters", 0.015, 0.5, 0.06, 0.2, answer_bytes=100, worth=0.0, retries=0),
)
# Deadlines far beyond the latency objective, with shorter timeouts of the routes. The rates take
# all slots of the servers of `generous_deadlines`.
GENEROUS_DEADLINES: tuple[Kind, ...] = (
    Kind(
        "vacancy", "portal", 0.151, 0.5, 0.724, 4.523, 110.0, 1500,
        late_worth=0.5, nested=NestedCalls("guardian", 1, 0.7), timeout=2.0,
    ),
    Kind(
        "enrolment", "enrolment", 0.194, 0.5, 0.739, 5.662, 60.0, 1500, worth=2.0,
        late_worth=0.5, priority=1, nested=NestedCalls("document", 2, 0.7), timeout=2.5,
    ),
    Kind(
        "download", "documents", 0.118, 0.5, 1.081, 6.498, 42.0, 1500,
        late_worth=0.5, nested=NestedCalls("seat", 2, 0.7), timeout=3.0,
    ),
    Kind("records", "records", 0.603, 0.5, 2.246, 12.465, 19.0, 1500, late_worth=0.5, timeout=6.0),
    Kind("guardian", "enrolment", 0.044, 0.5, 0.244, 0.763, worth=0.0, priority=0, retries=0),
    Kind("document", "documents", 0.044, 0.5, 0.244, 0.763, worth=0.0, priority=0, retries=0),
    Kind("seat", "records", 0.044, 0.5, 0.244, 0.763, worth=0.0, priority=0, retries=0),
)  # fmt: skip
# Short, urgent requests and calls beside long ones at the same service.
LONG_BESIDE_SHORT: tuple[Kind, ...] = (
    Kind("confirmation", "awards", 0.122, 0.5, 0.312, 1.077, 17.0, 1500, 4.5, 0.12, 0, 1),
    Kind(
        "export", "awards", 0.689, 0.5, 3.238, 4.010, 10.0, 5000, 0.39, 0.46, 2, 1, timeout=2.5
    ),
    Kind(
        "lookup", "logbook", 0.178, 0.5, 0.579, 1.242, 57.0, 1500, 0.79, 0.3, 1, 1,
        NestedCalls("check", 1, 0.7),
    ),
    Kind("check", "awards", 0.043, 0.5, 0.173, 0.527, worth=0.0, priority=1, retries=0),
)  # fmt: skip
SPEEDS = (0.5, 1.0, 1.0, 1.5)


def few_servers(factor: float, seed: int, departures: Sequence[Departure] = ()) -> OfferedLoad:
    """Return a workload of the kinds in FEW_SERVERS with random server speeds."""
    rng = random.Random(seed)
    nodes = []
    for number, entries in enumerate((2, 2, 1, 1)):
        centre = f"dc-{number}"
        nodes += [Node(centre, "entries", rng.choice(SPEEDS), 6) for _ in range(entries)]
    speeds = rng.sample(SPEEDS, len(SPEEDS))
    nodes += [Node(f"dc-{number}", "races", speed, 6) for number, speed in enumerate(speeds)]
    return OfferedLoad(FEW_SERVERS, nodes, factor, departures)


def short_objectives(factor: float, seed: int) -> OfferedLoad:
    """Return a workload of the kinds in SHORT_OBJECTIVES with random server speeds."""
    rng = random.Random(seed)
    services = ["desk"] * 5 + ["books"] * 3 + ["rosters"] * 3
    nodes = [
        Node(f"dc-{number % 3}", service, rng.choice(SPEEDS), 6)
        for number, service in enumerate(services)
    ]
    return OfferedLoad(SHORT_OBJECTIVES, nodes, factor)


def generous_deadlines(factor: float) -> OfferedLoad:
    """Return a workload of the kinds in GENEROUS_DEADLINES that comes in waves and clumps."""
    speeds_by_service = {
        "portal": (0.6, 1.0, 1.4),
        "enrolment": (0.6, 0.9, 1.0),
        "documents": (0.6, 1.0),
        "records": (0.8, 1.2),
    }
    nodes = [
        Node(f"dc-{number % 3}", service, speed, 7)
        for service, speeds in speeds_by_service.items()
        for number, speed in enumerate(speeds)
    ]
    return OfferedLoad(GENEROUS_DEADLINES, nodes, factor, wave=Wave(0.55, 15.0, 2.0))


def long_beside_short(factor: float) -> OfferedLoad:
    """Return a workload of the kinds in LONG_BESIDE_SHORT; `factor` is the load of "awards"."""
    awards = [Node(f"dc-{i}", "awards", speed, 5) for i, speed in enumerate((0.5, 1.0, 1.5))]
    logbook = [
        Node(f"dc-{i % 3}", "logbook", speed, 5) for i, speed in enumerate((0.6, 1.0, 1.0, 1.4))
    ]
    slots = sum(node.slots * node.speed for node in awards)
    kinds_by_name = {kind.name: kind for kind in LONG_BESIDE_SHORT}
    calls = kinds_by_name["lookup"].rate * 0.7
    demand = sum(kind.rate * kind.work for kind in LONG_BESIDE_SHORT if kind.service == "awards")
    demand += calls * kinds_by_name["check"].work
    return OfferedLoad(
        LONG_BESIDE_SHORT, awards + logbook, factor * slots / demand, wave=Wave(0.15, 11.0, 1.5)
    )


def random_load(seed: int) -> OfferedLoad:
    """Return a workload with random variations of either set of kinds."""
    rng = random.Random(seed)
    chosen = rng.choice((FEW_SERVERS, SHORT_OBJECTIVES))
    time_factor = rng.uniform(0.5, 2.0)
    kinds = tuple(
        kind._replace(
            latency_objective=kind.latency_objective * time_factor,
            deadline=kind.deadline * time_factor,
            answer_bytes=round(kind.answer_bytes * rng.uniform(0.3, 3.0)),
        )
        for kind in chosen
    )
    base = few_servers if kinds[0].service == "entries" else short_objectives
    return base(rng.uniform(0.7, 1.3), seed)._replace(kinds=kinds)


def _in_time_probability(kind: Kind, speed: float) -> float:
    """Return the probability that a request meets its latency objective if it never waits."""
    z = (
        math.log(kind.latency_objective * speed / kind.work) + kind.log_sigma**2 / 2
    ) / kind.log_sigma
    return 0.5 * math.erfc(-z / math.sqrt(2))


def max_worth_ratio(load: OfferedLoad) -> float:
    """Return an upper bound of the mean goodput ratio (see `mesh_model`) for any policy.

    Each service is treated as one pool of slots that is never idle and serves the requests with the
    highest worth per slot time first. Requests do not wait and run on the fastest server.
    """
    offered = sum(kind.rate * kind.worth for kind in load.kinds)
    earned = 0.0
    for service in {kind.service for kind in load.kinds}:
        nodes = [node for node in load.nodes if node.service == service]
        slots = sum(node.slots * node.speed for node in nodes)
        fastest = max(node.speed for node in nodes)
        kinds = [kind for kind in load.kinds if kind.service == service and kind.rate]
        for kind in sorted(kinds, key=lambda k: k.worth / k.work, reverse=True):
            demand = kind.rate * load.factor * kind.work
            served = min(1.0, slots / demand) if demand else 1.0
            slots -= served * demand
            probability = _in_time_probability(kind, fastest)
            earned += (
                kind.rate
                * kind.worth
                * served
                * (probability + (1 - probability) * kind.late_worth)
            )
    return earned / offered
