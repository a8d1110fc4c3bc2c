"""Fairness: order the queued requests of organisations by their share of a server.

Load pattern: dozens of organisations, a few of them large, share the slots of a server. One of them
sends several times its usual load, so that its requests fill the queue and those of the others are
refused.

What callers need: an organisation that asks for more than its share takes nothing from the others
but idle slots. When requests are queued, those of an organisation that is ahead of its share go
behind the others of their rank and yield to them. An organisation's weight is its quota rate, or
the mean rate where it has none.

The share is kept as in fair queueing. The virtual time of the server is the time that a weight of 1
would have had if all organisations with recent demand used their shares. Each started request moves
its organisation's own virtual time on by its service time over the weight. So a request costs the
same work for any number of organisations. How far an organisation can get ahead is bounded, since
idle slots that it used are not to be held against it for long. Requests without an organisation
are not ordered here.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from hornbeamgw.core.slots import ActiveOrganisation, FairnessState, Request
from hornbeamgw.core.snapshot import Organisation

# An organisation is ahead of its share once its virtual time is ahead of the server's by more than
# this number of its own requests. Organisations that use most of their shares are ahead by a few
# requests at times, as arrivals are random.
MAX_LEAD_REQUESTS = 5
# The lead of an organisation is at most what it would have used in this time alone, or twice
# `MAX_LEAD_REQUESTS`.
MAX_LEAD_S = 2.0
# Organisations count as having demand for this time after a request.
ACTIVE_FOR_S = 2.0
MIN_ACTIVE_WEIGHT = 1e-3
# Virtual times that are not ahead of the server's are removed once there are this many, or twice as
# many as were left the last time.
MIN_RECORDS_TO_PRUNE = 64


def weights(organisations_by_name: Mapping[str, Organisation]) -> dict[str, float]:
    """Return the weight of each organisation with a quota, relative to their mean."""
    rates_by_name = {
        name: organisation.rate_per_second
        for name, organisation in organisations_by_name.items()
        if organisation.rate_per_second > 0
    }
    if not rates_by_name:
        return {}
    mean = sum(rates_by_name.values()) / len(rates_by_name)
    return {name: rate / mean for name, rate in rates_by_name.items()}


def _virtual_time(state: FairnessState, slots: int, now: float) -> float:
    """Return the time (s) that a weight of 1 has had of the server, had all active ones used it."""
    elapsed = max(0.0, now - state.advanced_at)
    return state.virtual_time + elapsed * slots / max(state.active_weight, MIN_ACTIVE_WEIGHT)


def _weight(state: FairnessState, organisation: str) -> float:
    return state.weights_by_organisation.get(organisation, 1.0)


def record_demand(state: FairnessState, organisation: str, slots: int, now: float) -> None:
    """Record that a request of an organisation has arrived at a server with `slots` slots."""
    if not organisation:
        return
    state.virtual_time, state.advanced_at = _virtual_time(state, slots, now), now
    active = state.active_by_organisation
    known = active.pop(organisation, None)
    weight = _weight(state, organisation) if known is None else known.weight
    state.active_weight += weight if known is None else 0.0
    active[organisation] = ActiveOrganisation(weight, now)
    # Each arrival adds one organisation at most, so the mean cost per request is constant.
    while now - (oldest := next(iter(active.values()))).seen_at > ACTIVE_FOR_S:
        state.active_weight -= oldest.weight
        del active[next(iter(active))]


def record_start(
    state: FairnessState, organisation: str, service_time: float, slots: int, now: float
) -> None:
    """Charge an organisation for a request that starts, with its service time in seconds."""
    if not organisation:
        return
    virtual_time = _virtual_time(state, slots, now)
    cost = service_time / _weight(state, organisation)
    rate = slots / max(state.active_weight, MIN_ACTIVE_WEIGHT)
    most = virtual_time + max(MAX_LEAD_S * rate, 2 * MAX_LEAD_REQUESTS * cost)
    finish = max(virtual_time, state.finish_by_organisation.get(organisation, 0.0)) + cost
    state.finish_by_organisation[organisation] = min(most, finish)
    if len(state.finish_by_organisation) >= state.prune_at:
        state.finish_by_organisation = {
            name: at for name, at in state.finish_by_organisation.items() if at > virtual_time
        }
        state.prune_at = max(MIN_RECORDS_TO_PRUNE, 2 * len(state.finish_by_organisation))


def leads_ahead_of_share(
    state: FairnessState,
    requests: Sequence[Request],
    service_time: Callable[[Request], float],
    slots: int,
    now: float,
) -> dict[Request, float]:
    """Return the queued requests whose organisations are ahead of their shares.

    The values are the numbers of own requests by which they are ahead when the request starts.

    Parameters
    ----------
    state : FairnessState
        Virtual times of the server and its organisations.
    requests : sequence of Request
        Queued requests in order of arrival.
    service_time : callable
        Returns the expected service time of a request in seconds.
    slots : int
        Slots of the server.
    now : float
        Present time in seconds.
    """
    if not state.active_by_organisation:
        return {}
    virtual_time = _virtual_time(state, slots, now)
    leads: dict[Request, float] = {}
    queued_cost_by_organisation: dict[str, float] = {}
    for request in requests:
        organisation = request.organisation
        if not organisation:
            continue
        cost = service_time(request) / _weight(state, organisation)
        queued = queued_cost_by_organisation.get(organisation, 0.0)
        finish = state.finish_by_organisation.get(organisation, 0.0)
        lead = (max(0.0, finish - virtual_time) + queued) / cost
        if lead > MAX_LEAD_REQUESTS:
            leads[request] = lead
        queued_cost_by_organisation[organisation] = queued + cost
    return leads


def behind_their_rank(
    ordered: Sequence[Request], leads_by_request: Mapping[Request, float]
) -> list[Request]:
    """Return requests in the given order, but those ahead of their share last in their rank.

    The places of a rank among the other ranks stay the same.
    """
    if not leads_by_request:
        return list(ordered)
    by_rank: dict[int, list[Request]] = {}
    for request in ordered:
        by_rank.setdefault(request.priority, []).append(request)
    next_by_rank = {
        rank: iter(sorted(requests, key=lambda request: leads_by_request.get(request, 0.0)))
        for rank, requests in by_rank.items()
    }
    return [next(next_by_rank[request.priority]) for request in ordered]
