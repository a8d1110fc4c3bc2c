"""Invariants: what must always hold, counted wherever the daemon can see it."""

from __future__ import annotations

from collections import Counter

from hornbeamgw.core.snapshot import Snapshot

NEVER_REVERTS = "never_reverts"
NO_DANGLING_ROUTE = "no_dangling_route"
ONE_CATALOGUE_PER_VERSION = "one_catalogue_per_version"
AT_OR_ABOVE_FLOOR = "at_or_above_floor"

violations: Counter[str] = Counter()


def check(name: str, holds: bool) -> bool:
    """Count a violation where an invariant does not hold, and return whether it holds."""
    if not holds:
        violations[name] += 1
    return holds


def dangling_routes(snapshot: Snapshot) -> int:
    """Return the number of routes that point at a service or entry not in the snapshot."""
    return sum(
        any(part.service not in snapshot.services for part in route.parts)
        or snapshot.entries_by_name.get(route.entry.name) is not route.entry
        for routes in snapshot.routes_by_host.values()
        for route in routes
    )


def check_swap(old: Snapshot, new: Snapshot, floor: int) -> None:
    """Check what must hold as one snapshot takes the place of another."""
    check(NEVER_REVERTS, new.version > old.version)
    check(AT_OR_ABOVE_FLOOR, new.version >= floor)
    check(NO_DANGLING_ROUTE, dangling_routes(new) == 0)
