"""Snapshot: a whole catalogue version compiled for routing."""

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

DEFAULT_QUEUE = 16
DEFAULT_ATTEMPTS = 3
MAX_PREFIX = 512  # the longest that a catalogue may hold; slashes behind it begin no other match


class Limits(NamedTuple):
    """Hold what an entry may use at one backend server."""

    slots: int
    reserved: int
    queue: int


class Entry(NamedTuple):
    """Hold an owner, a class of traffic and its limits."""

    name: str
    owner: str
    traffic_class: str
    limits: Limits


class Part(NamedTuple):
    """Hold one service that a route leads to and its share of the requests."""

    service: str
    share: float


class Route(NamedTuple):
    """Hold a route with the services and the entry that it resolves to."""

    name: str
    host: str
    prefix: str
    methods: frozenset[str]
    parts: tuple[Part, ...]
    entry: Entry
    idempotent: bool
    deadline_ms: int
    objective_ms: int
    attempts: int
    priority: int

    @property
    def service(self) -> str:
        """Return the service with the largest share."""
        return max(self.parts, key=lambda part: part.share).service


RoutesByPrefix = Mapping[str, tuple[Route, ...]]


class Snapshot(NamedTuple):
    """Hold one version in force; a call keeps the snapshot that it started with."""

    version: int
    digest: str
    services: frozenset[str]
    entries_by_name: Mapping[str, Entry]
    routes_by_host: Mapping[str, RoutesByPrefix]
    health_paths_by_service: Mapping[str, str] = {}


EMPTY = Snapshot(0, "", frozenset(), {}, {})


def _entry(body: Mapping[str, Any]) -> Entry:
    limits = body["limits"]
    shares = Limits(limits["slots"], limits.get("reserved", 0), limits.get("queue", DEFAULT_QUEUE))
    return Entry(body["name"], body["owner"], body["traffic_class"], shares)


def _entries(items: Items, trusted: Items, base: Snapshot) -> dict[str, Entry]:
    """Return the entries; one that did not change stays the very object that its routes hold."""
    entries: dict[str, Entry] = {}
    for key, item in items.items():
        if not key.startswith("entry/"):
            continue
        name = item.body["name"]
        is_known = trusted.get(key) is item
        entries[name] = base.entries_by_name[name] if is_known else _entry(item.body)
    return entries


def _parts(body: Mapping[str, Any]) -> tuple[Part, ...]:
    weights = weighted_services(body)
    total = sum(weight for _, weight in weights)
    return tuple(Part(service, weight / total) for service, weight in weights if weight)


def _route(body: Mapping[str, Any], entries: Mapping[str, Entry]) -> Route:
    deadline_ms = body["deadline_ms"]
    return Route(
        body["name"],
        body["host"],
        body["prefix"],
        frozenset(body.get("methods", (ANY_METHOD,))),
        _parts(body),
        entries[body["entry"]],
        body["idempotent"],
        deadline_ms,
        body.get("objective_ms", deadline_ms),
        body.get("attempts", DEFAULT_ATTEMPTS),
        body.get("priority", 0),
    )


class _Table:
    """Hold the routes of a snapshot while some of them are exchanged; the old one stays whole."""

    def __init__(self, base: Snapshot) -> None:
        self.routes_by_host = dict(base.routes_by_host)
        self._own: dict[str, dict[str, tuple[Route, ...]]] = {}

    def _prefixes(self, host: str) -> dict[str, tuple[Route, ...]]:
        if host not in self._own:
            self._own[host] = dict(self.routes_by_host.get(host, {}))
            self.routes_by_host[host] = self._own[host]
        return self._own[host]

    def drop(self, name: str, host: str, prefix: str) -> None:
        prefixes = self._prefixes(host)
        kept = tuple(route for route in prefixes.pop(prefix) if route.name != name)
        if kept:
            prefixes[prefix] = kept
        if not prefixes:
            del self.routes_by_host[host], self._own[host]

    def add(self, route: Route) -> None:
        prefixes = self._prefixes(route.host)
        beside = (*prefixes.get(route.prefix, ()), route)
        prefixes[route.prefix] = tuple(sorted(beside, key=lambda other: other.name))


def _stale_keys(items: Items, trusted: Items, changed: list[str]) -> list[str]:
    """Return the routes that can't be taken over: changed ones, and those of changed entries."""
    entries = {key.partition("/")[2] for key in changed if key.startswith("entry/")}
    routes = {key for key in changed if key.startswith("route/")}
    if any(f"entry/{name}" in trusted for name in entries):
        named = (key for key in items if key.startswith("route/"))
        routes |= {key for key in named if items[key].body["entry"] in entries}
    return sorted(routes)


def _routes(
    items: Items, entries: Mapping[str, Entry], trusted: Items, base: Snapshot
) -> Mapping[str, RoutesByPrefix]:
    stale = _stale_keys(items, trusted, changed_keys(items, trusted))
    gone = [key for key in trusted if key not in items and key.startswith("route/")]
    table = _Table(base)
    for key in [*gone, *(key for key in stale if key in trusted)]:
        body = trusted[key].body
        table.drop(body["name"], body["host"], body["prefix"])
    for key in stale:
        table.add(_route(items[key].body, entries))
    return table.routes_by_host


def _health_paths(items: Items) -> dict[str, str]:
    bodies = [item.body for key, item in items.items() if key.startswith("service/")]
    return {body["name"]: body["health_path"] for body in bodies if "health_path" in body}


def build(
    version: int,
    digest: str,
    items: Items,
    trusted: Items = NO_ITEMS,
    base: Snapshot = EMPTY,
) -> Result[Snapshot, list[Problem]]:
    """Build a snapshot aside, or return why this version can't be applied.

    The trusted items are those that the base was built from; what did not change is taken over
    from it, so that a version costs what it changes.
    """
    problems = validate(items, f"version {version}", trusted)
    if problems:
        return Err(problems)
    services = frozenset(key.partition("/")[2] for key in items if key.startswith("service/"))
    entries = _entries(items, trusted, base)
    routes, paths = _routes(items, entries, trusted, base), _health_paths(items)
    return Ok(Snapshot(version, digest, services, entries, routes, paths))


def _prefixes_of(path: str) -> Iterator[str]:
    """Return what a route's prefix must be to cover a path, the longest first."""
    yield path
    end = min(len(path), MAX_PREFIX + 1)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        yield path[:end]


def _takes(route: Route, method: str) -> bool:
    """Return whether a route takes a method; one that takes GET takes HEAD (RFC 9110, 9.3.2)."""
    if ANY_METHOD in route.methods or method in route.methods:
        return True
    return method == "HEAD" and "GET" in route.methods


def match(snapshot: Snapshot, host: str, method: str, target: str) -> Route | None:
    """Return the route with the longest prefix that takes this request."""
    routes_by_prefix = snapshot.routes_by_host.get(host.partition(":")[0].lower())
    if routes_by_prefix is None:
        return None
    for prefix in _prefixes_of(target.partition("?")[0]):
        for route in routes_by_prefix.get(prefix, ()):
            if _takes(route, method):
                return route
    return None
