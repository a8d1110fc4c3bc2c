"""Rank: the urgency of a request, from its organisation and its route."""

from __future__ import annotations

from hornbeamgw.core.snapshot import Organisation, Route

# Ranks have 16 bits in messages between daemons: eight for the priority of the organisation and
# eight for that of the route. Larger priorities count as the largest.
MAX_PART = 255
PART_BITS = 8


def rank(organisation: Organisation | None, route: Route) -> int:
    """Return the rank of a request, of which lower values are more urgent.

    The priority of the organisation takes precedence over that of the route. Requests without an
    organisation are ranked by the priority of their route alone.
    """
    if organisation is None:
        return route.priority
    route_part = min(route.priority, MAX_PART)
    return (min(organisation.priority, MAX_PART) << PART_BITS) + route_part
