"""Crossing: decide whether a call leaves its data centre.

Data centres may have only one or two servers of a service, of different speeds, and traffic between
data centres is expensive. Any answer within the latency objective has the same value, so a call
stays local while the local server is likely to answer in time. It goes to another data centre if
the higher probability of a timely answer outweighs the cost of the transferred bytes.

Losses and costs are expressed as fractions of the value of a timely answer. The loss of sending a
call to a server covers late and failed answers, the completion time and the transfer.
"""

from __future__ import annotations

import enum
import math
import random

from hornbeamgw.core import placement
from hornbeamgw.core.balancing import Candidate, Choice, register_chooser
from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.placement import RouteTraits

# Service times are modelled as log-normal. The standard deviation of their logarithm is
# approximated by this factor times the mean absolute deviation divided by the mean, but is at least
# `MIN_LOG_SPREAD`. The approximation is exact to 3% up to a spread of 0.8.
LOG_SPREAD_PER_DEVIATION = 1.25
MIN_LOG_SPREAD = 0.2
# Transfer size that costs half the value of a timely answer. By the prices of known deployments it
# is 3.5 KB where crossing is expensive, and 70 to 140 KB where it is not.
HALF_VALUE_BYTES = 5_000
# Value of a late answer relative to a timely one. Known deployments value it at 0.1 to 0.5.
LATE_VALUE_RATIO = 0.2
# Loss added for a completion time equal to the latency objective, and in proportion for others, so
# that the faster of two servers is selected if both are equally likely to answer in time.
COMPLETION_TIME_WEIGHT = 0.1
# Upper limit of the random loss that is added to break ties.
TIE_BREAK_LOSS = 0.002
# Larger bodies are sent to another data centre only after the daemon there has agreed to accept the
# call, since a refusal would waste the transfer. A query and its answer take 110 bytes, and two in
# five of the calls that crossed were refused.
QUERY_FIRST_MIN_BYTES = 512


def late_probability(traits: RouteTraits, slowness: float, wait: float, time_left: float) -> float:
    """Return the probability that an answer takes longer than the time left.

    Parameters
    ----------
    traits : RouteTraits
        Service time of the route's requests.
    slowness : float
        Service time of the server relative to the mean of the route.
    wait : float
        Time in seconds before the server starts on the request.
    time_left : float
        Time in seconds until the latency objective is exceeded.
    """
    mean = traits.service * slowness
    available = time_left - wait
    if available <= 0:
        return 1.0
    spread = max(
        MIN_LOG_SPREAD, LOG_SPREAD_PER_DEVIATION * traits.deviation / max(traits.service, 1e-6)
    )
    z = (math.log(available / max(mean, 1e-6)) + spread * spread / 2) / spread
    return 0.5 * math.erfc(z / math.sqrt(2))


def transfer_cost(size: float) -> float:
    """Return the cost of transferring `size` bytes between data centres, from 0 to 1.

    A cost of 1 is the value of a timely answer.
    """
    return size / (size + HALF_VALUE_BYTES)


def _is_remote(choice: Choice, candidate: Candidate) -> bool:
    return candidate.member.data_centre != choice.me.data_centre


def _expected_delay(choice: Choice, candidate: Candidate) -> float:
    """Return the expected time in seconds until a server starts on the request, plus penalties."""
    wait = placement.expected_wait(candidate, choice.traits, choice.now)
    if _is_remote(choice, candidate):
        wait += placement.CROSS_DATA_CENTRE_RTT_S
    if candidate.member.status is not Status.ALIVE:
        wait += placement.SUSPECT_PENALTY_S
    return wait


def expected_loss(choice: Choice, candidate: Candidate) -> float:
    """Return the expected loss if the call is sent to a server.

    A loss of 1 is the value of a timely answer; the sum of all losses may be greater.
    """
    load, wait = candidate.load, _expected_delay(choice, candidate)
    late = late_probability(choice.traits, load.slowness, wait, choice.time_left)
    finish = wait + choice.traits.service * load.slowness
    loss = late * (1 - LATE_VALUE_RATIO) + placement.failure_probability(load, choice.now)
    loss += COMPLETION_TIME_WEIGHT * finish / choice.latency_objective
    return loss + transfer_cost(choice.traits.size) if _is_remote(choice, candidate) else loss


def is_remote_better(choice: Choice, local: Candidate | None) -> bool:
    """Return whether an idle remote server would have a smaller expected loss than the local one.

    `local` is the best local server; if it is None, the result is True.
    """
    if local is None:
        return True
    traits, wait = choice.traits, placement.CROSS_DATA_CENTRE_RTT_S
    late = late_probability(traits, 1.0, wait, choice.time_left)
    remote_loss = late * (1 - LATE_VALUE_RATIO) + transfer_cost(traits.size)
    remote_loss += COMPLETION_TIME_WEIGHT * (wait + traits.service) / choice.latency_objective
    return expected_loss(choice, local) > remote_loss


class RemoteReason(enum.StrEnum):
    """Why a call is sent to another data centre.

    There is no local server, all local ones have been tried, or a remote one was preferred to them.
    """

    NONE_NEAR = "none near"
    NEAR_REFUSED = "near refused"
    NEAR_LATE = "near late"


def why_far(choice: Choice, chosen: Candidate) -> RemoteReason | None:
    """Return why a call is sent to another data centre, or None if it stays local."""
    local_data_centre = choice.me.data_centre
    if chosen.member.data_centre == local_data_centre:
        return None
    local = [c.key for c in choice.candidates if c.member.data_centre == local_data_centre]
    if not local:
        return RemoteReason.NONE_NEAR
    return RemoteReason.NEAR_REFUSED if set(local) <= set(choice.tried) else RemoteReason.NEAR_LATE


def should_query_first(me: Member, chosen: Candidate, body_size: int) -> bool:
    """Return whether to query the server's daemon before a body of `body_size` bytes is sent."""
    return chosen.member.data_centre != me.data_centre and body_size >= QUERY_FIRST_MIN_BYTES


@register_chooser("in_time")
def choose(choice: Choice, rng: random.Random) -> Candidate | None:
    """Return the server with the smallest expected loss, or None if no server is usable."""
    usable = placement.usable_candidates(choice)
    return min(
        usable,
        key=lambda c: expected_loss(choice, c) + rng.uniform(0, TIE_BREAK_LOSS),
        default=None,
    )
