"""Commit of a catalogue version: the transaction that stores its delta in the platform's table.

A delta is the difference from the previous version. The head row names the newest version. A commit
replaces this row only if it has not changed meanwhile, so that concurrent commits of the same
version cannot both succeed.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, TypedDict

import msgspec

from hornbeamgw.core.edit import Catalogue, Delta, encode_delta
from hornbeamgw.core.table import Condition, Write

HEAD_KEY = "head"
SNAPSHOT_INTERVAL_VERSIONS = 16
RETAINED_DELTA_ROWS = 64


class Head(TypedDict):
    """Newest version and its digest, and version and object name of the newest stored snapshot."""

    version: int
    digest: str
    snapshot_version: int
    snapshot_name: str


EMPTY_HEAD = Head(version=0, digest="", snapshot_version=0, snapshot_name="")


def delta_key(version: int) -> str:
    """Return the row key of the delta of a version."""
    return f"delta-{version:012d}"


def decode_head(value: bytes | None) -> Head:
    """Decode the value of the head row; a missing row (None) means version 0."""
    return EMPTY_HEAD if value is None else msgspec.json.decode(value, type=Head)


def snapshot_name(digest: str) -> str:
    """Return the object name of a stored catalogue, derived from its digest."""
    return f"snapshot-{digest}"


def is_snapshot_due(head: Head, version: int) -> bool:
    """Return whether a snapshot of this version should be stored besides its delta."""
    return version - head["snapshot_version"] >= SNAPSHOT_INTERVAL_VERSIONS


class Plan(NamedTuple):
    """Transaction that commits a delta, and the resulting head."""

    writes: Sequence[Write]
    head: Head


def plan(head: Head, head_etag: str | None, delta: Delta, with_snapshot: bool) -> Plan:
    """Return the conditional transaction that commits a delta and replaces the head.

    With `with_snapshot`, the new head names a snapshot of the new version. The transaction also
    deletes the delta that is `RETAINED_DELTA_ROWS` versions old, if the snapshot named by the
    previous head covers it.
    """
    version = delta["version"]
    new_head = Head(
        version=version,
        digest=delta["digest"],
        snapshot_version=version if with_snapshot else head["snapshot_version"],
        snapshot_name=snapshot_name(delta["digest"]) if with_snapshot else head["snapshot_name"],
    )
    absent = Condition(etag=None)
    writes = [
        Write(HEAD_KEY, msgspec.json.encode(new_head), Condition(etag=head_etag)),
        Write(delta_key(version), encode_delta(delta), absent),
    ]
    expired = version - RETAINED_DELTA_ROWS
    if 0 < expired <= head["snapshot_version"]:
        writes.append(Write(delta_key(expired), None, None))
    return Plan(writes, new_head)


def find_edit(deltas: Sequence[Delta], edit_id: str) -> Delta | None:
    """Return the delta that was created from an edit, or None if it is not among `deltas`."""
    return next((delta for delta in deltas if delta["edit_id"] == edit_id), None)


def is_at_head(catalogue: Catalogue, head: Head) -> bool:
    """Return whether a catalogue has the version that the head names."""
    return catalogue.version == head["version"]
