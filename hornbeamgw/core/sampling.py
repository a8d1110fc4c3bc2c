"""Sampling: which gates to ask for their outlook before a request is sent.

The pattern is that of the users' grown deployments: 24 to 38 servers of a service with two or
six slots each, and 90 daemons that each send some 25 requests a second. A daemon hears from one
of so many gates every few seconds, while work takes 20 to 300 ms, so what it remembers of them
says nothing. Asking a few takes a round trip of 0.2 ms within a data centre; with two slots each
and 0.7 of them taken, one gate chosen at random has a free slot in half of all cases, and one
of three in 88 of 100.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from hornbeamgw.core import crossing, placement
from hornbeamgw.core.balancing import Candidate, Choice
from hornbeamgw.core.membership import Status

# Up to this many servers a daemon hears of each often enough by its answers.
ASK_ABOVE = 8
# Asked at once beside one's own: by what is known of their speed, and at random, so that slow ones
# are used too where the fast ones are full. A question and its answer take two daemons as much as a
# third of a call. In simulated time, with 82 servers, 195 daemons and 0.8 of what the servers can
# do, one at random asks 2.5 gates a call and answers 0.9974 in time, two ask 3.3 and answer 0.9982.
ASKED_BY_SPEED = 1
ASKED_AT_RANDOM = 1
# A question and its answer take some 200 bytes between data centres, packets and all; a lookup that
# is answered there takes 1.9 KB.
ASKED_FAR_AT_RANDOM = 1
# Some servers of one's own data centre are asked, then others, or more of one's own where leaving
# it would not pay; asking until one is found took 14 questions a call.
ROUNDS = 2
# A wait up to this part of the objective is as good as none; beyond it, more servers are asked.
GOOD_WAIT_PART = 0.1


def worth_asking(choice: Choice) -> bool:
    """Return whether a service has too many servers to know the load of each."""
    return len(choice.candidates) > ASK_ABOVE


def sample(choice: Choice, is_near: bool, rng: random.Random) -> list[Candidate]:
    """Return the servers to ask: those of one's own data centre, or the others.

    The server beside the daemon that asks is always among the former, since asking it costs
    nothing and its answer crosses no link.
    """
    fit = [c for c in choice.candidates if _is_fit(choice, c)]
    own = [c for c in fit if is_near and c.member.address == choice.me.address]
    fit = [c for c in fit if c not in own]
    pool = [c for c in fit if (c.member.data_centre == choice.me.data_centre) is is_near]
    rng.shuffle(pool)
    pool.sort(key=lambda c: _service(choice, c))
    fast, rest = pool[:ASKED_BY_SPEED], pool[ASKED_BY_SPEED:]
    count = ASKED_AT_RANDOM if is_near else ASKED_FAR_AT_RANDOM
    return own + fast + rng.sample(rest, min(count, len(rest)))


def _is_fit(choice: Choice, candidate: Candidate) -> bool:
    member, load = candidate.member, candidate.load
    usable = member.status is Status.ALIVE and load.ejected_until <= choice.now
    return usable and candidate.key not in choice.tried


def _service(choice: Choice, candidate: Candidate) -> float:
    """Return how long a request is expected to take there, failures included, in s."""
    load = candidate.load
    failing = placement.failing(load, choice.now)
    return choice.traits.service * load.slowness + failing * choice.aim


def is_good(wait: float, aim: float) -> bool:
    """Return whether a wait (s) is as good as none for a request with this objective (s)."""
    return wait <= GOOD_WAIT_PART * aim


def best(choice: Choice, takers: Sequence[Candidate]) -> Candidate | None:
    """Return the server where least is expected to be lost among those that would take it."""
    return min(takers, key=lambda taker: crossing.loss(choice, taker), default=None)
