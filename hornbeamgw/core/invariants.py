"""Invariants that a daemon checks at run time; violations are counted by name."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Route, Snapshot

NEVER_REVERTS = "never_reverts"
NO_DANGLING_ROUTE = "no_dangling_route"
ONE_CATALOGUE_PER_VERSION = "one_catalogue_per_version"
AT_OR_ABOVE_FLOOR = "at_or_above_floor"

violations_by_name: Counter[str] = Counter()


def check(name: str, holds: bool) -> bool:
    """Record a violation if an invariant does not hold, and return whether it holds."""
    if not holds:
        violations_by_name[name] += 1
    return holds


def _has_removed_targets(old: Snapshot, new: Snapshot) -> bool:
    """Return whether a service or entry that an old route may refer to was removed or changed.

    An entry is an owner's traffic class and its limits.
    """
    entries = old.entries_by_name.items()
    keeps_entries = all(new.entries_by_name.get(name) is entry for name, entry in entries)
    return not (keeps_entries and old.services <= new.services)


def _routes_to_check(old: Snapshot, new: Snapshot) -> Iterator[Route]:
    """Yield the routes of the new snapshot that were not already checked with the old one."""
    has_removed_targets = _has_removed_targets(old, new)
    for host, routes_by_prefix in new.routes_by_host.items():
        checked = {} if has_removed_targets else old.routes_by_host.get(host, {})
        if checked is routes_by_prefix:
            continue
        for prefix, routes in routes_by_prefix.items():
            if checked.get(prefix) is not routes:
                yield from routes


def dangling_routes(new: Snapshot, old: Snapshot = EMPTY_SNAPSHOT) -> int:
    """Return the number of routes in `new` that refer to a service or entry missing from it.

    Routes that were already checked with `old`, the previous snapshot, are skipped.
    """
    return sum(
        any(destination.service not in new.services for destination in route.destinations)
        or new.entries_by_name.get(route.entry.name) is not route.entry
        for route in _routes_to_check(old, new)
    )


def check_swap(old: Snapshot, new: Snapshot, floor: int) -> None:
    """Check the invariants of replacing the catalogue snapshot in force by another."""
    check(NEVER_REVERTS, new.version > old.version)
    check(AT_OR_ABOVE_FLOOR, new.version >= floor)
    check(NO_DANGLING_ROUTE, dangling_routes(new, old) == 0)
