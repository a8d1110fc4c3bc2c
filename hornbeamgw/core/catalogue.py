"""Catalogue of entries, services, routes and organisations: file format, validation and digests.

An entry groups routes that share an owner, a traffic class and admission limits.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from types import ModuleType
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec

from hornbeamgw.core.problems import Problem, check_mapping, read_yaml

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Count = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
Host = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9.-]{1,253}$")]
Prefix = Annotated[str, msgspec.Meta(pattern=r"^/[^\s?#]{0,511}$")]
Method = Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{1,16}$")]
DeadlineMs = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
# Everything that can be sent in a header, since other systems choose the names of organisations.
OrganisationName = Annotated[
    str,
    msgspec.Meta(pattern=r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]{0,254}[^\x00-\x20\x7f])?\Z"),
]
KeyDigest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
# In a file, a digest that the catalogue has already may be given by its first digits.
FileKeyDigest = Annotated[str, msgspec.Meta(pattern=r"^([0-9a-f]{8}|[0-9a-f]{64})\Z")]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class LimitsBody(TypedDict):
    """Limits of an entry at each backend server: slots, reserved slots and queue length."""

    slots: PositiveCount
    reserved: NotRequired[Count]
    queue: NotRequired[Count]


class EntryBody(TypedDict):
    """Entry: the owner, traffic class and admission limits that a group of routes shares."""

    name: Name
    owner: Name
    traffic_class: Name
    limits: LimitsBody


class ServiceBody(TypedDict):
    """Service, which backend servers announce and to which routes send requests."""

    name: Name
    owner: Name
    health_path: NotRequired[Prefix]


class DestinationBody(TypedDict):
    """One of the services that a route's requests are split between, and its weight."""

    service: Name
    weight: Count


class RouteBody(TypedDict):
    """Route: requests with this host, path prefix and methods go to a service.

    With `split` instead of `service`, they are divided between several services by weight. `entry`
    names the entry of the catalogue whose owner, traffic class and admission limits apply to them.
    """

    name: Name
    host: Host
    prefix: Prefix
    methods: NotRequired[list[Method]]
    service: NotRequired[Name]
    split: NotRequired[list[DestinationBody]]
    entry: Name
    idempotent: bool
    deadline_ms: DeadlineMs
    objective_ms: NotRequired[DeadlineMs]
    attempts: NotRequired[PositiveCount]
    priority: NotRequired[Count]
    public: NotRequired[bool]


class OrganisationFields(TypedDict):
    """Priority and quota of an organisation.

    A lower priority is more urgent. Without a rate, or with a rate of 0, there is no limit.
    """

    name: OrganisationName
    priority: NotRequired[Count]
    rate_per_second: NotRequired[Rate]
    burst: NotRequired[Rate]


class OrganisationBody(OrganisationFields):
    """Organisation that callers belong to, with the SHA-256 digests of its keys."""

    key_digests: list[KeyDigest]


class FileOrganisationBody(OrganisationFields):
    """Organisation in a file, in which digests may be shortened."""

    key_digests: list[FileKeyDigest]


class CatalogueFile(TypedDict):
    """Top-level structure of a catalogue file (YAML)."""

    version: NotRequired[int]
    entries: NotRequired[list[dict[str, Any]]]
    services: NotRequired[list[dict[str, Any]]]
    routes: NotRequired[list[dict[str, Any]]]
    organisations: NotRequired[list[dict[str, Any]]]


class Item(NamedTuple):
    """Item of one of the kinds of the catalogue, with the version that last changed it."""

    revision: int
    body: Mapping[str, Any]


Items = Mapping[str, Item]

SCHEMAS_BY_KIND: Mapping[str, type] = {
    "entry": EntryBody,
    "service": ServiceBody,
    "route": RouteBody,
    "organisation": OrganisationBody,
}
FILE_SCHEMAS_BY_KIND = {**SCHEMAS_BY_KIND, "organisation": FileOrganisationBody}
SECTIONS_BY_KIND = {
    "entry": "entries",
    "service": "services",
    "route": "routes",
    "organisation": "organisations",
}
MAX_ITEMS = 20_000
DIGEST_BYTES = 16
ANY_METHOD = "*"
ORGANISATION = "organisation"


class ParsedFile(NamedTuple):
    """Parsed catalogue file: item bodies, revisions of items that state one, catalogue version."""

    bodies_by_key: dict[str, dict[str, Any]]
    revisions_by_key: dict[str, int]
    version: int | None


def _organisation_rules() -> ModuleType:
    """Return the module with the rules for organisations.

    It is imported only here, to save memory if a catalogue has no organisations.
    """
    from hornbeamgw.core.organisations import validation

    return validation


def _item_digest(key: str, item: Item) -> int:
    encoded = msgspec.json.encode([key, item.revision, item.body], order="sorted")
    return int.from_bytes(hashlib.sha256(encoded).digest()[:DIGEST_BYTES], "big")


def _format_digest(total: int) -> str:
    return (total % (1 << 8 * DIGEST_BYTES)).to_bytes(DIGEST_BYTES, "big").hex()


def compute_digest(items: Items) -> str:
    """Return the 128-bit hex digest of a whole catalogue, the sum of its items' digests."""
    return _format_digest(sum(_item_digest(key, item) for key, item in items.items()))


def update_digest(digest: str, before: Items, after: Items, changed: Iterable[str]) -> str:
    """Return the digest after some items changed, hashing only the changed items.

    The digest detects accidental differences. A sum of hashes is not collision resistant, but an
    attacker who could exploit this could also write a version to the platform directly.
    """
    total = int(digest, 16)
    for key in changed:
        if key in before:
            total -= _item_digest(key, before[key])
        if key in after:
            total += _item_digest(key, after[key])
    return _format_digest(total)


def digest_prefix(digest: str) -> int:
    """Return the leading 64 bits of a digest, the form used in control messages."""
    return int(digest[:16], 16)


def parse_file(text: str, source: str) -> tuple[ParsedFile, list[Problem]]:
    """Parse a catalogue file and return its items with all format problems."""
    document, problems = read_yaml(text, source)
    if problems:
        return ParsedFile({}, {}, None), problems
    values, problems = check_mapping(document, CatalogueFile, source)
    if problems:
        problems = _organisation_rules().hide_keys_of_file(problems)
    bodies_by_key: dict[str, dict[str, Any]] = {}
    revisions_by_key: dict[str, int] = {}
    for kind, section in SECTIONS_BY_KIND.items():
        for index, raw in enumerate(values.get(section) or []):
            body = dict(raw)
            path = f"{section}[{index}]"
            revision = body.pop("revision", None)
            key = f"{kind}/{body.get('name')}"
            if key in bodies_by_key:
                problems.append(Problem(source, f"{path}.name", body["name"], "a unique name"))
            if revision is not None and (not isinstance(revision, int) or revision < 0):
                problems.append(Problem(source, f"{path}.revision", revision, "an int >= 0"))
            elif revision is not None:
                revisions_by_key[key] = revision
            if kind == ORGANISATION:
                body, key_problems = _organisation_rules().replace_keys(body, source, path)
                problems += key_problems
            bodies_by_key[key] = body
            problems += check_body(key, body, source, path, FILE_SCHEMAS_BY_KIND)
    return ParsedFile(bodies_by_key, revisions_by_key, values.get("version")), problems


def resolve_digests(
    parsed: ParsedFile, current: Items, source: str
) -> tuple[ParsedFile, list[Problem]]:
    """Return a file's items with the whole digests that its shortened ones stand for."""
    bodies_by_key, problems = dict(parsed.bodies_by_key), []
    for key, body in parsed.bodies_by_key.items():
        if key.startswith(f"{ORGANISATION}/"):
            item = current.get(key)
            bodies_by_key[key], found = _organisation_rules().resolve_digests(
                body, item and item.body, source, key
            )
            problems += found
    return parsed._replace(bodies_by_key=bodies_by_key), problems


def check_body(
    key: str,
    body: object,
    source: str,
    path: str,
    schemas_by_kind: Mapping[str, type] = SCHEMAS_BY_KIND,
) -> list[Problem]:
    """Return the format problems of one item."""
    kind, _, name = key.partition("/")
    schema = schemas_by_kind.get(kind)
    if schema is None:
        return [Problem(source, path, key, f"a key of kind {sorted(schemas_by_kind)}")]
    values, problems = check_mapping(body, schema, source, path)
    if problems and kind == ORGANISATION:
        problems = _organisation_rules().hide_keys(problems, path)
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
    if sum(weight for _, weight in weighted_services(body)) < 1:
        problems.append(Problem(source, f"{key}.split", body.get("split"), "a weight above 0"))
    references = [("entry", body["entry"])]
    references += [("service", service) for service, _ in weighted_services(body)]
    for kind, name in references:
        if f"{kind}/{name}" not in items:
            expected = f"the name of a {kind} in this catalogue"
            problems.append(Problem(source, f"{key}.{kind}", name, expected))
    if "methods" in body and not body["methods"]:
        problems.append(Problem(source, f"{key}.methods", [], "at least one method"))
    return problems


def weighted_services(body: Mapping[str, Any]) -> list[tuple[str, int]]:
    """Return the (service, weight) pairs of a route body."""
    if "split" in body:
        return [(destination["service"], destination["weight"]) for destination in body["split"]]
    return [(body["service"], 1)] if "service" in body else []


NO_ITEMS: Items = {}


def changed_keys(items: Items, base: Items) -> list[str]:
    """Return the sorted keys of the items that `base` lacks or has as a different object."""
    return sorted(key for key, item in items.items() if base.get(key) is not item)


def _duplicate_match_problems(items: Items, hosts: set[str], source: str) -> list[Problem]:
    """Return a problem for each host, prefix and method that a route shares with another.

    Only routes of the given hosts are compared.
    """
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


def _has_removed_targets(items: Items, validated: Items) -> bool:
    """Return whether an entry or service was removed; a validated route may refer to it."""
    return any(key not in items and key.startswith(("entry/", "service/")) for key in validated)


def _key_problems(items: Items, changed: Iterable[str], source: str) -> list[Problem]:
    """Return the problems of the keys of changed organisations."""
    prefix = f"{ORGANISATION}/"
    changed_organisations = [key for key in changed if key.startswith(prefix) and key in items]
    if not changed_organisations:
        return []
    bodies_by_key = {key: item.body for key, item in items.items() if key.startswith(prefix)}
    problems: list[Problem] = _organisation_rules().key_problems(
        bodies_by_key, changed_organisations, source
    )
    return problems


def validate(items: Items, source: str = "catalogue", validated: Items = NO_ITEMS) -> list[Problem]:
    """Return every problem of a whole catalogue: format, names, references and sizes.

    `validated` contains the items of a catalogue that is known to be valid. Only items that differ
    from it are checked. Unchanged routes are checked only if an entry or service was removed, or if
    another route of the same host has changed.
    """
    problems: list[Problem] = []
    if len(items) > MAX_ITEMS:
        problems.append(Problem(source, "(document)", len(items), f"at most {MAX_ITEMS} items"))
    changed = changed_keys(items, validated)
    malformed = set()
    for key in changed:
        body_problems = check_body(key, items[key].body, source, key)
        if body_problems:
            malformed.add(key)
            problems += body_problems
        elif key.startswith("entry/"):
            problems += _limit_problems(key, items[key].body["limits"], source)
    well_formed = {key: item for key, item in items.items() if key not in malformed}
    to_check = sorted(items) if _has_removed_targets(items, validated) else changed
    problems += _key_problems(well_formed, changed, source)
    routes = [key for key in to_check if key.startswith("route/") and key in well_formed]
    for key in routes:
        problems += _route_problems(key, items[key].body, items, source)
    changed_routes = {key for key in changed if key.startswith("route/")} - malformed
    hosts = {items[key].body["host"] for key in changed_routes}
    return problems + (_duplicate_match_problems(well_formed, hosts, source) if hosts else [])


def shown_body(key: str, body: Mapping[str, Any] | None) -> dict[str, Any] | None:
    """Return the body of an item as it is shown in output, without whole digests of keys."""
    if body is None or not key.startswith(f"{ORGANISATION}/"):
        return None if body is None else dict(body)
    shown: dict[str, Any] = _organisation_rules().shown_body(body)
    return shown


def to_file(items: Items, version: int) -> dict[str, Any]:
    """Return the catalogue as a file document in which each item states its revision.

    Digests of keys are shortened; `resolve_digests` restores them when the file is applied.
    """
    document: dict[str, Any] = {"version": version}
    for kind, section in SECTIONS_BY_KIND.items():
        keys = [key for key in sorted(items) if key.startswith(f"{kind}/")]
        rows = [
            {**(shown_body(key, items[key].body) or {}), "revision": items[key].revision}
            for key in keys
        ]
        if rows:
            document[section] = rows
    return document
