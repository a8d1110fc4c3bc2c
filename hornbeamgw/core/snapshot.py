"""Snapshot: a whole catalogue version compiled for routing."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from hornbeamgw.core.catalogue import ANY_METHOD, NO_ITEMS, Items, parts_of, validate
from hornbeamgw.core.problems import Problem

DEFAULT_QUEUE = 16
DEFAULT_ATTEMPTS = 3


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


class Snapshot(NamedTuple):
    """Hold one version in force; a call keeps the snapshot that it started with."""

    version: int
    digest: str
    services: frozenset[str]
    entries_by_name: Mapping[str, Entry]
    routes_by_host: Mapping[str, tuple[Route, ...]]
    health_paths_by_service: Mapping[str, str] = {}


EMPTY = Snapshot(0, "", frozenset(), {}, {})


def _entries(items: Items) -> dict[str, Entry]:
    entries: dict[str, Entry] = {}
    for key, item in items.items():
        if not key.startswith("entry/"):
            continue
        body, limits = item.body, item.body["limits"]
        shares = Limits(
            limits["slots"], limits.get("reserved", 0), limits.get("queue", DEFAULT_QUEUE)
        )
        entries[body["name"]] = Entry(body["name"], body["owner"], body["traffic_class"], shares)
    return entries


def _parts(body: Mapping[str, Any]) -> tuple[Part, ...]:
    weights = parts_of(body)
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


def _routes(items: Items, entries: Mapping[str, Entry]) -> dict[str, tuple[Route, ...]]:
    routes_by_host: dict[str, list[Route]] = {}
    for key, item in items.items():
        if not key.startswith("route/"):
            continue
        route = _route(item.body, entries)
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(routes, key=lambda route: (-len(route.prefix), route.name)))
        for host, routes in routes_by_host.items()
    }


def _health_paths(items: Items) -> dict[str, str]:
    bodies = [item.body for key, item in items.items() if key.startswith("service/")]
    return {body["name"]: body["health_path"] for body in bodies if "health_path" in body}


def build(
    version: int, digest: str, items: Items, trusted: Items = NO_ITEMS
) -> Result[Snapshot, list[Problem]]:
    """Build a snapshot aside, or return why this version can't be applied."""
    problems = validate(items, f"version {version}", trusted)
    if problems:
        return Err(problems)
    services = frozenset(key.partition("/")[2] for key in items if key.startswith("service/"))
    entries = _entries(items)
    routes, paths = _routes(items, entries), _health_paths(items)
    return Ok(Snapshot(version, digest, services, entries, routes, paths))


def _covers(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


def _takes(route: Route, method: str) -> bool:
    """Return whether a route takes a method; one that takes GET takes HEAD (RFC 9110, 9.3.2)."""
    if ANY_METHOD in route.methods or method in route.methods:
        return True
    return method == "HEAD" and "GET" in route.methods


def match(snapshot: Snapshot, host: str, method: str, target: str) -> Route | None:
    """Return the route with the longest prefix that takes this request."""
    path = target.partition("?")[0]
    name = host.partition(":")[0].lower()
    for route in snapshot.routes_by_host.get(name, ()):
        if _takes(route, method) and _covers(route.prefix, path):
            return route
    return None
