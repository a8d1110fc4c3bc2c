"""Routing snapshot: immutable route table compiled from one catalogue version."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from hornbeamgw.core.catalogue import (
    ANY_METHOD,
    NO_ITEMS,
    Items,
    changed_keys,
    validate,
    weighted_services,
)
from hornbeamgw.core.problems import Problem

DEFAULT_QUEUE_SIZE = 16
DEFAULT_ATTEMPTS = 3
# Maximum length in characters of a route prefix in the catalogue. Longer prefixes of a request's
# path are not looked up.
MAX_PREFIX_LENGTH = 512


class Limits(NamedTuple):
    """Admission limits of a catalogue entry at one backend server.

    `slots` is the maximum number of running requests, `reserved` the number of slots that are kept
    for the entry, and `queue` the maximum number of waiting requests.
    """

    slots: int
    reserved: int
    queue: int


class Entry(NamedTuple):
    """Catalogue entry: an owner's traffic class and its admission limits; each route has one."""

    name: str
    owner: str
    traffic_class: str
    limits: Limits


class Organisation(NamedTuple):
    """Organisation that callers belong to, with its priority and its quota.

    A lower priority is more urgent. `rate_per_second` is 0 if the organisation has no limit.
    """

    name: str
    priority: int = 0
    rate_per_second: float = 0.0
    burst: float = 0.0


class Caller(NamedTuple):
    """Caller of a request: its organisation, and the SHA-256 digest of the key that it sent.

    The organisation is None on public routes and in catalogues without organisations. The digest is
    empty if there was no key to look at.
    """

    organisation: Organisation | None = None
    key_digest: bytes = b""


ANONYMOUS = Caller()


class Destination(NamedTuple):
    """Service that a route forwards to, and its share of the requests (0 to 1)."""

    service: str
    share: float


class Route(NamedTuple):
    """Route of the catalogue, with its destinations and its entry as objects."""

    name: str
    host: str
    prefix: str
    methods: frozenset[str]
    destinations: tuple[Destination, ...]
    entry: Entry
    idempotent: bool
    deadline_ms: int
    objective_ms: int
    attempts: int
    priority: int
    public: bool = False

    @property
    def service(self) -> str:
        """Return the service with the largest share."""
        return max(self.destinations, key=lambda destination: destination.share).service


RoutesByPrefix = Mapping[str, tuple[Route, ...]]


class Snapshot(NamedTuple):
    """Compiled catalogue version; a call uses the snapshot that was current when it started.

    `organisations_by_digest` has the organisation of each key, by the SHA-256 digest of the key.
    """

    version: int
    digest: str
    services: frozenset[str]
    entries_by_name: Mapping[str, Entry]
    routes_by_host: Mapping[str, RoutesByPrefix]
    health_paths_by_service: Mapping[str, str] = {}
    organisations_by_name: Mapping[str, Organisation] = {}
    organisations_by_digest: Mapping[bytes, Organisation] = {}


EMPTY_SNAPSHOT = Snapshot(0, "", frozenset(), {}, {})


def _entry(body: Mapping[str, Any]) -> Entry:
    limits = body["limits"]
    entry_limits = Limits(
        limits["slots"], limits.get("reserved", 0), limits.get("queue", DEFAULT_QUEUE_SIZE)
    )
    return Entry(body["name"], body["owner"], body["traffic_class"], entry_limits)


def _entries(items: Items, base_items: Items, base: Snapshot) -> dict[str, Entry]:
    """Return the catalogue entries by name.

    Unchanged entries are the same objects as in the base snapshot, so that its routes, which refer
    to them, can be reused.
    """
    entries: dict[str, Entry] = {}
    for key, item in items.items():
        if not key.startswith("entry/"):
            continue
        name = item.body["name"]
        is_unchanged = base_items.get(key) is item
        entries[name] = base.entries_by_name[name] if is_unchanged else _entry(item.body)
    return entries


def _destinations(body: Mapping[str, Any]) -> tuple[Destination, ...]:
    weights = weighted_services(body)
    total = sum(weight for _, weight in weights)
    return tuple(Destination(service, weight / total) for service, weight in weights if weight)


def _route(body: Mapping[str, Any], entries: Mapping[str, Entry]) -> Route:
    deadline_ms = body["deadline_ms"]
    return Route(
        body["name"],
        body["host"],
        body["prefix"],
        frozenset(body.get("methods", (ANY_METHOD,))),
        _destinations(body),
        entries[body["entry"]],
        body["idempotent"],
        deadline_ms,
        body.get("objective_ms", deadline_ms),
        body.get("attempts", DEFAULT_ATTEMPTS),
        body.get("priority", 0),
        body.get("public", False),
    )


class _RouteTableBuilder:
    """Route table that copies the mappings of a base snapshot on their first change."""

    def __init__(self, base: Snapshot) -> None:
        self.routes_by_host = dict(base.routes_by_host)
        self._copies_by_host: dict[str, dict[str, tuple[Route, ...]]] = {}

    def _writable_routes(self, host: str) -> dict[str, tuple[Route, ...]]:
        if host not in self._copies_by_host:
            self._copies_by_host[host] = dict(self.routes_by_host.get(host, {}))
            self.routes_by_host[host] = self._copies_by_host[host]
        return self._copies_by_host[host]

    def remove(self, name: str, host: str, prefix: str) -> None:
        routes_by_prefix = self._writable_routes(host)
        kept = tuple(route for route in routes_by_prefix.pop(prefix) if route.name != name)
        if kept:
            routes_by_prefix[prefix] = kept
        if not routes_by_prefix:
            del self.routes_by_host[host], self._copies_by_host[host]

    def add(self, route: Route) -> None:
        routes_by_prefix = self._writable_routes(route.host)
        routes = (*routes_by_prefix.get(route.prefix, ()), route)
        routes_by_prefix[route.prefix] = tuple(sorted(routes, key=lambda other: other.name))


def _changed_route_keys(items: Items, base_items: Items, changed: list[str]) -> list[str]:
    """Return the keys of the routes to rebuild: those that changed or whose entry changed."""
    entries = {key.partition("/")[2] for key in changed if key.startswith("entry/")}
    routes = {key for key in changed if key.startswith("route/")}
    if any(f"entry/{name}" in base_items for name in entries):
        route_keys = (key for key in items if key.startswith("route/"))
        routes |= {key for key in route_keys if items[key].body["entry"] in entries}
    return sorted(routes)


def _routes(
    items: Items, entries: Mapping[str, Entry], base_items: Items, base: Snapshot
) -> Mapping[str, RoutesByPrefix]:
    to_rebuild = _changed_route_keys(items, base_items, changed_keys(items, base_items))
    removed = [key for key in base_items if key not in items and key.startswith("route/")]
    builder = _RouteTableBuilder(base)
    for key in [*removed, *(key for key in to_rebuild if key in base_items)]:
        body = base_items[key].body
        builder.remove(body["name"], body["host"], body["prefix"])
    for key in to_rebuild:
        builder.add(_route(items[key].body, entries))
    return builder.routes_by_host


def _organisation(body: Mapping[str, Any]) -> Organisation:
    return Organisation(
        body["name"],
        body.get("priority", 0),
        float(body.get("rate_per_second", 0.0)),
        float(body.get("burst", 0.0)),
    )


class _Organisations(NamedTuple):
    by_name: Mapping[str, Organisation]
    by_digest: Mapping[bytes, Organisation]


def _organisations(items: Items, base_items: Items, base: Snapshot) -> _Organisations:
    """Return the organisations by name and by key digest.

    The mappings of the base snapshot are copied, and only changed organisations are replaced.
    """
    prefix = "organisation/"
    changed = [
        key
        for key, item in items.items()
        if key.startswith(prefix) and base_items.get(key) is not item
    ]
    removed = [key for key in base_items if key.startswith(prefix) and key not in items]
    if not changed and not removed:
        return _Organisations(base.organisations_by_name, base.organisations_by_digest)
    by_name, by_digest = dict(base.organisations_by_name), dict(base.organisations_by_digest)
    # All former keys are removed first, since a key may move to another organisation.
    for key in [*removed, *(key for key in changed if key in base_items)]:
        del by_name[base_items[key].body["name"]]
        for digest in base_items[key].body["key_digests"]:
            by_digest.pop(bytes.fromhex(digest), None)
    for key in changed:
        organisation = _organisation(items[key].body)
        by_name[organisation.name] = organisation
        for digest in items[key].body["key_digests"]:
            by_digest[bytes.fromhex(digest)] = organisation
    return _Organisations(by_name, by_digest)


def _health_paths(items: Items) -> dict[str, str]:
    bodies = [item.body for key, item in items.items() if key.startswith("service/")]
    return {body["name"]: body["health_path"] for body in bodies if "health_path" in body}


def build_snapshot(
    version: int,
    digest: str,
    items: Items,
    base_items: Items = NO_ITEMS,
    base: Snapshot = EMPTY_SNAPSHOT,
) -> Result[Snapshot, list[Problem]]:
    """Build the snapshot of a version, or return the problems that make it invalid.

    `base` is an earlier snapshot, which was built from `base_items`. Its unchanged objects are
    reused, which avoids rebuilding all routes when few items have changed.
    """
    problems = validate(items, f"version {version}", base_items)
    if problems:
        return Err(problems)
    services = frozenset(key.partition("/")[2] for key in items if key.startswith("service/"))
    entries = _entries(items, base_items, base)
    routes, health_paths = _routes(items, entries, base_items, base), _health_paths(items)
    organisations = _organisations(items, base_items, base)
    return Ok(Snapshot(version, digest, services, entries, routes, health_paths, *organisations))


def _candidate_prefixes(path: str) -> Iterator[str]:
    """Yield the route prefixes that match a path, the longest first."""
    yield path
    end = min(len(path), MAX_PREFIX_LENGTH + 1)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        yield path[:end]


def _accepts(route: Route, method: str) -> bool:
    """Return whether a route accepts a method; GET implies HEAD (RFC 9110, section 9.3.2)."""
    if ANY_METHOD in route.methods or method in route.methods:
        return True
    return method == "HEAD" and "GET" in route.methods


def match_route(snapshot: Snapshot, host: str, method: str, target: str) -> Route | None:
    """Return the route with the longest prefix that accepts the request, or None."""
    routes_by_prefix = snapshot.routes_by_host.get(host.partition(":")[0].lower())
    if routes_by_prefix is None:
        return None
    for prefix in _candidate_prefixes(target.partition("?")[0]):
        for route in routes_by_prefix.get(prefix, ()):
            if _accepts(route, method):
                return route
    return None
