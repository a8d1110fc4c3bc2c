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

# A server is used without a query if its last report is at most this old and showed this number of
# free slots more than have been used since. With 49 servers of five slots at 0.7 of their load,
# that halves the queries, and 0.988 of the answers are in time instead of 0.989 (simulated).
REPORT_TRUST_S = 0.1
MIN_FREE_SLOTS = 2
# A server is not used without a query if it is slower than the average of its service by more than
# this factor, or if more than this ratio of its requests fail.
MAX_UNQUERIED_SLOWNESS = 1.1
MAX_UNQUERIED_FAILURES = 0.05


def should_query(choice: Choice) -> bool:
    """Return whether to query servers for their load before the request is sent.

    This is worthwhile if there are too many servers to have a recent load report from each.
    """
    return len(choice.candidates) > QUERY_ABOVE_SERVERS


def recently_free(choice: Choice, rng: random.Random) -> Candidate | None:
    """Return a local server that needs no query, since a recent report showed enough free slots.

    Each daemon has received other reports, so daemons do not all select the same server. A server
    that is slow or fails requests is left to the queries.
    """
    now, data_centre = choice.now, choice.me.data_centre
    free = [
        candidate
        for candidate in choice.candidates
        if now - candidate.load.reported_at <= REPORT_TRUST_S
        and (candidate.load.free_slots or 0) - candidate.load.sent_since_report >= MIN_FREE_SLOTS
        and candidate.member.data_centre == data_centre
        and candidate.load.slowness <= MAX_UNQUERIED_SLOWNESS
        and _is_usable(choice, candidate)
        and placement.failure_probability(candidate.load, now) <= MAX_UNQUERIED_FAILURES
    ]
    return rng.choice(free) if free else None


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
