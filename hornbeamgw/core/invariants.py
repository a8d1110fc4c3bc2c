"""Invariants: what must always hold, counted wherever the daemon can see it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from hornbeamgw.core.snapshot import EMPTY, Route, Snapshot

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


def _has_lost_names(old: Snapshot, new: Snapshot) -> bool:
    """Return whether a service or entry that a route of the old snapshot may name is gone."""
    entries = old.entries_by_name.items()
    is_kept = all(new.entries_by_name.get(name) is entry for name, entry in entries)
    return not (is_kept and old.services <= new.services)


def _routes_to_look_at(old: Snapshot, new: Snapshot) -> Iterator[Route]:
    """Return the routes that the old snapshot does not vouch for."""
    lost = _has_lost_names(old, new)
    for host, routes_by_prefix in new.routes_by_host.items():
        known = {} if lost else old.routes_by_host.get(host, {})
        if known is routes_by_prefix:
            continue
        for prefix, routes in routes_by_prefix.items():
            if known.get(prefix) is not routes:
                yield from routes


def dangling_routes(new: Snapshot, old: Snapshot = EMPTY) -> int:
    """Return the number of routes that point at a service or entry not in the snapshot."""
    return sum(
        any(part.service not in new.services for part in route.parts)
        or new.entries_by_name.get(route.entry.name) is not route.entry
        for route in _routes_to_look_at(old, new)
    )


def check_swap(old: Snapshot, new: Snapshot, floor: int) -> None:
    """Check what must hold as one snapshot takes the place of another."""
    check(NEVER_REVERTS, new.version > old.version)
    check(AT_OR_ABOVE_FLOOR, new.version >= floor)
    check(NO_DANGLING_ROUTE, dangling_routes(new, old) == 0)
