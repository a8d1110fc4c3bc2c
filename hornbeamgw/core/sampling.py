"""Sampling: select the servers to query for their load before a request is sent.

In a large service a daemon exchanges requests with each server only every few seconds, while
requests take milliseconds, so its recorded load reports are outdated. Querying a few servers costs
a round trip and finds a free slot with much higher probability than one random choice.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from hornbeamgw.core import crossing, placement
from hornbeamgw.core.balancing import Candidate, Choice
from hornbeamgw.core.membership import Status

# For services with at most this many servers, load reports in answers are recent enough.
QUERY_ABOVE_SERVERS = 8
# Numbers of servers queried in each round, besides this daemon's own: the fastest ones, and random
# ones, so that slower servers are also used when the fast ones are full. A query costs two daemons
# a third of a call. With 82 servers at 0.8 of their load, one random server means 2.5 queries a
# call and 0.9974 of the answers in time; two mean 3.3 and 0.9982 (simulated).
QUERIED_FASTEST = 1
QUERIED_AT_RANDOM = 1
# A query takes some 200 bytes between data centres, a lookup that is answered there 1.9 KB.
QUERIED_REMOTE_AT_RANDOM = 1
# The first round queries local servers; the next one queries remote servers, or more local ones if
# leaving the data centre is not worthwhile. Asking until a server was found took 14 queries a call.
MAX_ROUNDS = 2
# A server that expects a wait up to this ratio of the latency objective is used without querying
# others.
GOOD_WAIT_RATIO = 0.1


def should_query(choice: Choice) -> bool:
    """Return whether to query servers for their load before the request is sent.

    This is worthwhile if there are too many servers to have a recent load report from each.
    """
    return len(choice.candidates) > QUERY_ABOVE_SERVERS


def sample(choice: Choice, is_local: bool, rng: random.Random) -> list[Candidate]:
    """Return a sample of the local or the remote servers to query.

    A local sample always includes this daemon's own server, which is queried without using the
    network.
    """
    usable = [c for c in choice.candidates if _is_usable(choice, c)]
    own = [c for c in usable if is_local and c.member.address == choice.me.address]
    usable = [c for c in usable if c not in own]
    pool = [c for c in usable if (c.member.data_centre == choice.me.data_centre) is is_local]
    rng.shuffle(pool)
    pool.sort(key=lambda c: _expected_service_time(choice, c))
    fast, rest = pool[:QUERIED_FASTEST], pool[QUERIED_FASTEST:]
    count = QUERIED_AT_RANDOM if is_local else QUERIED_REMOTE_AT_RANDOM
    return own + fast + rng.sample(rest, min(count, len(rest)))


def _is_usable(choice: Choice, candidate: Candidate) -> bool:
    member, load = candidate.member, candidate.load
    is_reachable = member.status is Status.ALIVE and load.ejected_until <= choice.now
    return is_reachable and candidate.key not in choice.tried


def _expected_service_time(choice: Choice, candidate: Candidate) -> float:
    """Return the expected service time in seconds, with a penalty for failures."""
    load = candidate.load
    failure_probability = placement.failure_probability(load, choice.now)
    return choice.traits.service * load.slowness + failure_probability * choice.latency_objective


def is_short(wait: float, latency_objective: float) -> bool:
    """Return whether a wait (s) is negligible for a latency objective (s)."""
    return wait <= GOOD_WAIT_RATIO * latency_objective


def best(choice: Choice, accepting: Sequence[Candidate]) -> Candidate | None:
    """Return the accepting server with the smallest expected loss (`crossing.expected_loss`)."""
    return min(
        accepting, key=lambda candidate: crossing.expected_loss(choice, candidate), default=None
    )
