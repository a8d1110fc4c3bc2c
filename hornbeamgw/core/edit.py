"""Edits and deltas: how one version of the catalogue becomes the next."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from hornbeamgw.core.catalogue import (
    Item,
    Items,
    ParsedFile,
    compute_digest,
    update_digest,
    validate,
)
from hornbeamgw.core.problems import Problem


class Change(TypedDict):
    """Hold a new body (or None to delete) and the revision that it was based on."""

    key: str
    based_on: int
    body: dict[str, Any] | None


class Edit(TypedDict):
    """Hold what an operator asks for, under an id that is never used twice."""

    edit_id: str
    author: str
    changes: list[Change]


class DeltaChange(TypedDict):
    """Hold the new body of one item, or None where it was deleted."""

    key: str
    body: dict[str, Any] | None


class Delta(TypedDict):
    """Hold an accepted version as the difference from its parent.

    Versions of an outside source rise unevenly, so such a delta names its parent; and since
    daemons may see different ones of them, its items bear no revision.
    """

    version: int
    edit_id: str
    author: str
    at_ms: int
    parent_digest: str
    digest: str
    changes: list[DeltaChange]
    parent_version: NotRequired[int]


class Conflict(NamedTuple):
    """Show both sides of an edit whose base is no longer current."""

    key: str
    based_on: int
    current_revision: int
    current: Mapping[str, Any] | None
    wanted: Mapping[str, Any] | None


class Rejection(NamedTuple):
    """Say why an edit can't be accepted."""

    conflicts: Sequence[Conflict] = ()
    problems: Sequence[Problem] = ()


class Catalogue(NamedTuple):
    """Hold every item of one version, with its digest."""

    version: int
    digest: str
    items: Items


NO_REVISION = 0
GENESIS = Catalogue(0, compute_digest({}), {})


def _merged(items: Items, version: int, changes: Sequence[Any]) -> dict[str, Item]:
    merged = dict(items)
    for change in changes:
        if change["body"] is None:
            merged.pop(change["key"], None)
        else:
            merged[change["key"]] = Item(version, change["body"])
    return merged


def _digest_after(catalogue: Catalogue, items: Items, changes: Sequence[Any]) -> str:
    keys = {change["key"] for change in changes}
    return update_digest(catalogue.digest, catalogue.items, items, keys)


def conflicts_of(catalogue: Catalogue, edit: Edit) -> list[Conflict]:
    """Return the changes whose base revision is not the current one."""
    found = []
    for change in edit["changes"]:
        current = catalogue.items.get(change["key"])
        revision = current.revision if current else 0
        if revision != change["based_on"]:
            body = current.body if current else None
            conflict = Conflict(change["key"], change["based_on"], revision, body, change["body"])
            found.append(conflict)
    return found


def accept(catalogue: Catalogue, edit: Edit, at_ms: int) -> Result[Delta, Rejection]:
    """Return the delta that makes an edit the next version, or why it can't be."""
    conflicts = conflicts_of(catalogue, edit)
    if conflicts:
        return Err(Rejection(conflicts=conflicts))
    version = catalogue.version + 1
    items = _merged(catalogue.items, version, edit["changes"])
    problems = validate(items, f"edit {edit['edit_id']}")
    if problems:
        return Err(Rejection(problems=problems))
    changes = [DeltaChange(key=c["key"], body=c["body"]) for c in edit["changes"]]
    delta = Delta(
        version=version,
        edit_id=edit["edit_id"],
        author=edit["author"],
        at_ms=at_ms,
        parent_digest=catalogue.digest,
        digest=_digest_after(catalogue, items, changes),
        changes=changes,
    )
    return Ok(delta)


def parent_of(delta: Delta) -> int:
    """Return the version that a delta follows."""
    return delta.get("parent_version", delta["version"] - 1)


def extend(catalogue: Catalogue, delta: Delta) -> Result[Catalogue, str]:
    """Return the catalogue after a delta, or why the delta does not follow from it."""
    if parent_of(delta) != catalogue.version or delta["version"] <= catalogue.version:
        return Err(f"delta {delta['version']} does not follow version {catalogue.version}")
    if delta["parent_digest"] != catalogue.digest:
        return Err(f"delta {delta['version']} has another parent digest")
    revision = NO_REVISION if "parent_version" in delta else delta["version"]
    items = _merged(catalogue.items, revision, delta["changes"])
    if _digest_after(catalogue, items, delta["changes"]) != delta["digest"]:
        return Err(f"delta {delta['version']} does not give the digest that it names")
    return Ok(Catalogue(delta["version"], delta["digest"], items))


def replace(catalogue: Catalogue, version: int, bodies: Mapping[str, Any], at_ms: int) -> Delta:
    """Return the delta that puts a whole version of an outside source in place of the known one.

    An item whose body is unchanged keeps its identity, so that nothing looks at it again.
    """
    known = catalogue.items
    changes = [
        DeltaChange(key=key, body=body)
        for key, body in bodies.items()
        if key not in known or known[key].body != body
    ]
    changes += [DeltaChange(key=key, body=None) for key in known if key not in bodies]
    items = _merged(known, NO_REVISION, changes)
    return Delta(
        version=version,
        edit_id=f"outside-{version}",
        author="outside",
        at_ms=at_ms,
        parent_digest=catalogue.digest,
        digest=_digest_after(catalogue, items, changes),
        changes=changes,
        parent_version=catalogue.version,
    )


def changes_of(
    current: Catalogue, wanted: ParsedFile, prune: bool, onto_current: bool
) -> list[Change]:
    """Return the changes that a file asks for, with the revisions that it was based on."""
    changes = []
    for key, body in wanted.bodies_by_key.items():
        item = current.items.get(key)
        if item is not None and dict(item.body) == body:
            continue
        based_on = wanted.revisions_by_key.get(key, 0)
        if onto_current:
            based_on = item.revision if item else 0
        changes.append(Change(key=key, based_on=based_on, body=body))
    if not prune:
        return changes
    for key, item in current.items.items():
        if key in wanted.bodies_by_key:
            continue
        seen = onto_current or (wanted.version is not None and item.revision <= wanted.version)
        based_on = item.revision if seen else 0
        changes.append(Change(key=key, based_on=based_on, body=None))
    return changes


def encode_delta(delta: Delta) -> bytes:
    """Return a delta as it is stored and sent."""
    return msgspec.json.encode(delta)


def decode_delta(blob: bytes) -> Delta:
    """Return the delta in a blob; raise msgspec.MsgspecError where it is none."""
    return msgspec.json.decode(blob, type=Delta)
