"""Catalogue: the entries, services and routes that operators edit."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec

from hornbeamgw.core.problems import Problem, check_mapping, read_yaml

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Count = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
Host = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9.-]{1,253}$")]
Prefix = Annotated[str, msgspec.Meta(pattern=r"^/[^\s?#]{0,511}$")]
Method = Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{1,16}$")]
DeadlineMs = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]


class LimitsBody(TypedDict):
    """Hold the limits of an entry at each backend server."""

    slots: Positive
    reserved: NotRequired[Count]
    queue: NotRequired[Count]


class EntryBody(TypedDict):
    """Hold an entry: an owner, a class of traffic and its limits."""

    name: Name
    owner: Name
    traffic_class: Name
    limits: LimitsBody


class ServiceBody(TypedDict):
    """Hold a service that backend servers announce."""

    name: Name
    owner: Name
    health_path: NotRequired[Prefix]


class PartBody(TypedDict):
    """Hold one service of a split route and its weight."""

    service: Name
    weight: Count


class RouteBody(TypedDict):
    """Hold a route from host, path prefix and methods to an entry and a service or a split."""

    name: Name
    host: Host
    prefix: Prefix
    methods: NotRequired[list[Method]]
    service: NotRequired[Name]
    split: NotRequired[list[PartBody]]
    entry: Name
    idempotent: bool
    deadline_ms: DeadlineMs
    objective_ms: NotRequired[DeadlineMs]
    attempts: NotRequired[Positive]
    priority: NotRequired[Count]


class CatalogueFile(TypedDict):
    """Hold what an operator writes in one YAML file."""

    version: NotRequired[int]
    entries: NotRequired[list[dict[str, Any]]]
    services: NotRequired[list[dict[str, Any]]]
    routes: NotRequired[list[dict[str, Any]]]


class Item(NamedTuple):
    """Hold one named thing of the catalogue and the version that last changed it."""

    revision: int
    body: Mapping[str, Any]


Items = Mapping[str, Item]

SHAPES_BY_KIND: Mapping[str, type] = {
    "entry": EntryBody,
    "service": ServiceBody,
    "route": RouteBody,
}
SECTIONS_BY_KIND = {"entry": "entries", "service": "services", "route": "routes"}
MAX_ITEMS = 20_000
DIGEST_BYTES = 16
ANY_METHOD = "*"


class ParsedFile(NamedTuple):
    """Hold a catalogue file: bodies by key, the revisions they name and its version."""

    bodies_by_key: dict[str, dict[str, Any]]
    revisions_by_key: dict[str, int]
    version: int | None


def _digest_of_item(key: str, item: Item) -> int:
    encoded = msgspec.json.encode([key, item.revision, item.body], order="sorted")
    return int.from_bytes(hashlib.sha256(encoded).digest()[:DIGEST_BYTES], "big")


def _as_digest(total: int) -> str:
    return (total % (1 << 8 * DIGEST_BYTES)).to_bytes(DIGEST_BYTES, "big").hex()


def digest_of(items: Items) -> str:
    """Return the hex digest (128 bits) of a whole catalogue: the sum of its items' digests."""
    return _as_digest(sum(_digest_of_item(key, item) for key, item in items.items()))


def digest_after(digest: str, before: Items, after: Items, changed: Iterable[str]) -> str:
    """Return the digest after some items changed, at the price of these alone.

    It tells apart what daemons and operators write by mistake; a sum withstands no forger, and
    whoever can forge a version can write one to the platform as well.
    """
    total = int(digest, 16)
    for key in changed:
        if key in before:
            total -= _digest_of_item(key, before[key])
        if key in after:
            total += _digest_of_item(key, after[key])
    return _as_digest(total)


def short_digest(digest: str) -> int:
    """Return the leading 64 bits of a digest, as control messages carry it."""
    return int(digest[:16], 16)


def parse_file(text: str, source: str) -> tuple[ParsedFile, list[Problem]]:
    """Read a catalogue file and return its items with all problems of form."""
    document, problems = read_yaml(text, source)
    if problems:
        return ParsedFile({}, {}, None), problems
    values, problems = check_mapping(document, CatalogueFile, source)
    bodies: dict[str, dict[str, Any]] = {}
    revisions: dict[str, int] = {}
    for kind, section in SECTIONS_BY_KIND.items():
        for index, raw in enumerate(values.get(section) or []):
            body = dict(raw)
            path = f"{section}[{index}]"
            revision = body.pop("revision", None)
            key = f"{kind}/{body.get('name')}"
            if key in bodies:
                problems.append(Problem(source, f"{path}.name", body["name"], "a unique name"))
            if revision is not None and (not isinstance(revision, int) or revision < 0):
                problems.append(Problem(source, f"{path}.revision", revision, "an int >= 0"))
            elif revision is not None:
                revisions[key] = revision
            bodies[key] = body
            problems += check_body(key, body, source, path)
    return ParsedFile(bodies, revisions, values.get("version")), problems


def check_body(key: str, body: object, source: str, path: str) -> list[Problem]:
    """Return what is wrong with the form of one item."""
    kind, _, name = key.partition("/")
    shape = SHAPES_BY_KIND.get(kind)
    if shape is None:
        return [Problem(source, path, key, f"a key of kind {sorted(SHAPES_BY_KIND)}")]
    values, problems = check_mapping(body, shape, source, path)
    if not problems and values["name"] != name:
        problems.append(Problem(source, f"{path}.name", values["name"], f"the name {name!r}"))
    return problems


def _limit_problems(key: str, limits: Mapping[str, int], source: str) -> list[Problem]:
    reserved = limits.get("reserved", 0)
    if reserved <= limits["slots"]:
        return []
    expected = f"at most limits.slots ({limits['slots']})"
    return [Problem(source, f"{key}.limits.reserved", reserved, expected)]


def _route_problems(key: str, body: Mapping[str, Any], items: Items, source: str) -> list[Problem]:
    problems = []
    if ("service" in body) == ("split" in body):
        given = body.get("service")
        problems.append(Problem(source, f"{key}.service", given, "either a service or a split"))
    if sum(weight for _, weight in parts_of(body)) < 1:
        problems.append(Problem(source, f"{key}.split", body.get("split"), "a weight above 0"))
    named = [("entry", body["entry"])]
    named += [("service", service) for service, _ in parts_of(body)]
    for kind, name in named:
        if f"{kind}/{name}" not in items:
            expected = f"the name of a {kind} in this catalogue"
            problems.append(Problem(source, f"{key}.{kind}", name, expected))
    if "methods" in body and not body["methods"]:
        problems.append(Problem(source, f"{key}.methods", [], "at least one method"))
    return problems


def parts_of(body: Mapping[str, Any]) -> list[tuple[str, int]]:
    """Return the services that a route's body names, each with its weight."""
    if "split" in body:
        return [(part["service"], part["weight"]) for part in body["split"]]
    return [(body["service"], 1)] if "service" in body else []


NO_ITEMS: Items = {}


def changed_keys(items: Items, base: Items) -> list[str]:
    """Return the keys, in order, whose item isn't the very object that a base holds."""
    return sorted(key for key, item in items.items() if base.get(key) is not item)


def _match_problems(items: Items, hosts: set[str], source: str) -> list[Problem]:
    """Return which routes of some hosts take the same requests as another one."""
    problems: list[Problem] = []
    routes_by_match: dict[tuple[str, str, str], str] = {}
    for key in sorted(key for key in items if key.startswith("route/")):
        body = items[key].body
        if body["host"] not in hosts:
            continue
        for method in body.get("methods", (ANY_METHOD,)):
            other = routes_by_match.setdefault((body["host"], body["prefix"], method), key)
            if other != key:
                expected = f"a match that {other} does not have already"
                problems.append(Problem(source, f"{key}.methods", method, expected))
    return problems


def _has_lost_names(items: Items, trusted: Items) -> bool:
    """Return whether an entry or service that a trusted route may name is gone."""
    return any(key not in items and not key.startswith("route/") for key in trusted)


def validate(items: Items, source: str = "catalogue", trusted: Items = NO_ITEMS) -> list[Problem]:
    """Return every problem of a whole catalogue: form, names, references and sizes.

    Trusted items are those of a catalogue without a problem: only what differs from it is looked
    at, and routes on hosts where a route differs.
    """
    problems: list[Problem] = []
    if len(items) > MAX_ITEMS:
        problems.append(Problem(source, "(document)", len(items), f"at most {MAX_ITEMS} items"))
    changed = changed_keys(items, trusted)
    misshapen = set()
    for key in changed:
        found = check_body(key, items[key].body, source, key)
        if found:
            misshapen.add(key)
            problems += found
        elif key.startswith("entry/"):
            problems += _limit_problems(key, items[key].body["limits"], source)
    sound = {key: item for key, item in items.items() if key not in misshapen}
    looked_at = sorted(items) if _has_lost_names(items, trusted) else changed
    routes = [key for key in looked_at if key.startswith("route/") and key in sound]
    for key in routes:
        problems += _route_problems(key, items[key].body, items, source)
    differing = {key for key in changed if key.startswith("route/")} - misshapen
    hosts = {items[key].body["host"] for key in differing}
    return problems + (_match_problems(sound, hosts, source) if hosts else [])


def to_file(items: Items, version: int) -> dict[str, Any]:
    """Return the catalogue in the form of a file, each item with its revision."""
    document: dict[str, Any] = {"version": version}
    for kind, section in SECTIONS_BY_KIND.items():
        keys = [key for key in sorted(items) if key.startswith(f"{kind}/")]
        rows = [{**items[key].body, "revision": items[key].revision} for key in keys]
        if rows:
            document[section] = rows
    return document
