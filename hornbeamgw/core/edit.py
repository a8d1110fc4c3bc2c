"""Edits that operators submit, and the deltas between catalogue versions."""

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
    """Requested new body of an item, or None to delete the item.

    `based_on` is the revision of the item that the change is based on; 0 if there is no such item.
    """

    key: str
    based_on: int
    body: dict[str, Any] | None


class Edit(TypedDict):
    """Changes that an operator submits together, under a unique id."""

    edit_id: str
    author: str
    changes: list[Change]


class DeltaChange(TypedDict):
    """New body of an item, or None if it was deleted."""

    key: str
    body: dict[str, Any] | None


class Delta(TypedDict):
    """Accepted catalogue version, as the difference from its parent version.

    Versions of an external source are not consecutive, so their deltas name the parent version.
    Daemons may observe different subsets of these versions and would not agree on which one last
    changed an item, so the items have no revision (`NO_REVISION`).
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
    """Change not based on the item's current revision, with the current and the requested body."""

    key: str
    based_on: int
    current_revision: int
    current: Mapping[str, Any] | None
    wanted: Mapping[str, Any] | None


class Rejection(NamedTuple):
    """Reasons for rejecting an edit: conflicts or validation problems."""

    conflicts: Sequence[Conflict] = ()
    problems: Sequence[Problem] = ()


class Catalogue(NamedTuple):
    """All items of one catalogue version, and the digest of the whole catalogue."""

    version: int
    digest: str
    items: Items


# Revision of all items of an external source (see `Delta`).
NO_REVISION = 0
EMPTY_CATALOGUE = Catalogue(0, compute_digest({}), {})


def _apply_changes(items: Items, version: int, changes: Sequence[Any]) -> dict[str, Item]:
    updated = dict(items)
    for change in changes:
        if change["body"] is None:
            updated.pop(change["key"], None)
        else:
            updated[change["key"]] = Item(version, change["body"])
    return updated


def _updated_digest(catalogue: Catalogue, items: Items, changes: Sequence[Any]) -> str:
    keys = {change["key"] for change in changes}
    return update_digest(catalogue.digest, catalogue.items, items, keys)


def find_conflicts(catalogue: Catalogue, edit: Edit) -> list[Conflict]:
    """Return a conflict for each change whose base revision is not the current one."""
    conflicts = []
    for change in edit["changes"]:
        current = catalogue.items.get(change["key"])
        revision = current.revision if current else 0
        if revision != change["based_on"]:
            body = current.body if current else None
            conflict = Conflict(change["key"], change["based_on"], revision, body, change["body"])
            conflicts.append(conflict)
    return conflicts


def accept(catalogue: Catalogue, edit: Edit, at_ms: int) -> Result[Delta, Rejection]:
    """Return the delta by which an edit makes the next version, or the reasons to reject it."""
    conflicts = find_conflicts(catalogue, edit)
    if conflicts:
        return Err(Rejection(conflicts=conflicts))
    version = catalogue.version + 1
    items = _apply_changes(catalogue.items, version, edit["changes"])
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
        digest=_updated_digest(catalogue, items, changes),
        changes=changes,
    )
    return Ok(delta)


def parent_version_of(delta: Delta) -> int:
    """Return the version that a delta applies to."""
    return delta.get("parent_version", delta["version"] - 1)


def apply_delta(catalogue: Catalogue, delta: Delta) -> Result[Catalogue, str]:
    """Return the catalogue with a delta applied, or why the delta does not apply to it."""
    if parent_version_of(delta) != catalogue.version or delta["version"] <= catalogue.version:
        return Err(f"delta {delta['version']} does not follow version {catalogue.version}")
    if delta["parent_digest"] != catalogue.digest:
        return Err(f"delta {delta['version']} has another parent digest")
    revision = NO_REVISION if "parent_version" in delta else delta["version"]
    items = _apply_changes(catalogue.items, revision, delta["changes"])
    if _updated_digest(catalogue, items, delta["changes"]) != delta["digest"]:
        return Err(f"delta {delta['version']} does not give the digest that it names")
    return Ok(Catalogue(delta["version"], delta["digest"], items))


def replacement_delta(
    catalogue: Catalogue, version: int, bodies_by_key: Mapping[str, Any], at_ms: int
) -> Delta:
    """Return the delta from the current catalogue to a whole version of an external source.

    Items with an unchanged body are left out, so they are not validated or compiled again.
    """
    current_items = catalogue.items
    changes = [
        DeltaChange(key=key, body=body)
        for key, body in bodies_by_key.items()
        if key not in current_items or current_items[key].body != body
    ]
    changes += [
        DeltaChange(key=key, body=None) for key in current_items if key not in bodies_by_key
    ]
    items = _apply_changes(current_items, NO_REVISION, changes)
    return Delta(
        version=version,
        edit_id=f"outside-{version}",
        author="outside",
        at_ms=at_ms,
        parent_digest=catalogue.digest,
        digest=_updated_digest(catalogue, items, changes),
        changes=changes,
        parent_version=catalogue.version,
    )


def requested_changes(
    current: Catalogue, wanted: ParsedFile, prune: bool, onto_current: bool
) -> list[Change]:
    """Return the changes that turn the current catalogue into that of a file.

    With `prune`, items that the file lacks are deleted. With `onto_current`, changes are based on
    the current revisions instead of those that the file states.
    """
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
        # The deletion of an item that the author has not seen is based on revision 0, so that it is
        # rejected as a conflict.
        seen_by_author = onto_current or (
            wanted.version is not None and item.revision <= wanted.version
        )
        based_on = item.revision if seen_by_author else 0
        changes.append(Change(key=key, based_on=based_on, body=None))
    return changes


def encode_delta(delta: Delta) -> bytes:
    """Encode a delta as JSON, for storage and messages."""
    return msgspec.json.encode(delta)


def decode_delta(blob: bytes) -> Delta:
    """Decode a delta; raise msgspec.MsgspecError if the data is not a valid delta."""
    return msgspec.json.decode(blob, type=Delta)
