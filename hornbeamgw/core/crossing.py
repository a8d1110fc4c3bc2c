"""Crossing: whether a call leaves its data centre, by what that changes for its caller.

The pattern: data centres with one or two servers of a service each, whose speeds differ three to
one, and links between them that are dear. An answer within its objective is worth the same whenever
it comes, so a call stays in its data centre while that is likely to answer in time, and crosses
where the better chance elsewhere outweighs the bytes that move for it.
"""

from __future__ import annotations

import enum
import math
import random

from hornbeamgw.core import placement
from hornbeamgw.core.balancing import Candidate, Choice, register_chooser
from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.placement import RouteTraits

# The log of service times is taken for normal; for that the mean deviation, as a part of the mean,
# is 0.8 of the log's standard deviation (exact to 3% up to 0.8, the widest on the users' sheets).
SPREAD_OF_DEVIATION = 1.25
LEAST_SPREAD = 0.2
# Bytes whose way to another data centre costs half of what an answer in time is worth. On the
# users' sheets that is 3.5 KB where crossing is dear and 70 to 140 KB where it is not.
HALF_WORTH_BYTES = 5_000
# What a late answer is worth of one in time: 0.1 to 0.5 on the users' sheets.
LATE_WORTH = 0.2
# Among servers that are as likely to answer in time, the sooner one; a whole objective weighs as
# much as this part of an answer.
FINISH_WEIGHT = 0.1
TIE = 0.002
# A body from this size on crosses only after the daemon there has said that it would take the call:
# asking takes 110 bytes both ways, and of calls that crossed two in five were refused.
ASK_FROM_BYTES = 512


def chance_late(traits: RouteTraits, slowness: float, wait: float, left: float) -> float:
    """Return how likely an answer comes later than the time left (s), after a wait (s)."""
    mean = traits.service * slowness
    room = left - wait
    if room <= 0:
        return 1.0
    spread = max(LEAST_SPREAD, SPREAD_OF_DEVIATION * traits.deviation / max(traits.service, 1e-6))
    z = (math.log(room / max(mean, 1e-6)) + spread * spread / 2) / spread
    return 0.5 * math.erfc(z / math.sqrt(2))


def toll(size: float) -> float:
    """Return which part of an answer's worth moving some bytes between data centres costs."""
    return size / (size + HALF_WORTH_BYTES)


def _is_far(choice: Choice, candidate: Candidate) -> bool:
    return candidate.member.data_centre != choice.me.data_centre


def _wait(choice: Choice, candidate: Candidate) -> float:
    wait = placement.expected_wait(candidate, choice.traits, choice.now)
    if _is_far(choice, candidate):
        wait += placement.OTHER_DATA_CENTRE_S
    if candidate.member.status is not Status.ALIVE:
        wait += placement.SUSPECT_S
    return wait


def loss(choice: Choice, candidate: Candidate) -> float:
    """Return which part of an answer's worth is expected to be lost at a server."""
    load, wait = candidate.load, _wait(choice, candidate)
    late = chance_late(choice.traits, load.slowness, wait, choice.left)
    finish = wait + choice.traits.service * load.slowness
    lost = late * (1 - LATE_WORTH) + placement.failing(load, choice.now)
    lost += FINISH_WEIGHT * finish / choice.aim
    return lost + toll(choice.traits.size) if _is_far(choice, candidate) else lost


def is_worth_leaving(choice: Choice, near: Candidate | None) -> bool:
    """Return whether an idle server elsewhere would be better than the best one found near."""
    if near is None:
        return True
    traits, wait = choice.traits, placement.OTHER_DATA_CENTRE_S
    late = chance_late(traits, 1.0, wait, choice.left)
    elsewhere = late * (1 - LATE_WORTH) + toll(traits.size)
    elsewhere += FINISH_WEIGHT * (wait + traits.service) / choice.aim
    return loss(choice, near) > elsewhere


class Why(enum.StrEnum):
    """Say why a call leaves its data centre."""

    NONE_NEAR = "none near"
    NEAR_REFUSED = "near refused"
    NEAR_LATE = "near late"


def why_far(choice: Choice, chosen: Candidate) -> Why | None:
    """Return why a call goes to another data centre, or None where it does not."""
    own = choice.me.data_centre
    if chosen.member.data_centre == own:
        return None
    near = [c.key for c in choice.candidates if c.member.data_centre == own]
    if not near:
        return Why.NONE_NEAR
    return Why.NEAR_REFUSED if set(near) <= set(choice.tried) else Why.NEAR_LATE


def is_worth_asking(me: Member, chosen: Candidate, body_size: int) -> bool:
    """Return whether to ask a daemon before a body of some bytes is sent to it."""
    return chosen.member.data_centre != me.data_centre and body_size >= ASK_FROM_BYTES


@register_chooser("in_time")
def choose(choice: Choice, rng: random.Random) -> Candidate | None:
    """Return the server where least is expected to be lost."""
    usable = placement.fit(choice)
    return min(usable, key=lambda c: loss(choice, c) + rng.uniform(0, TIE), default=None)
