"""Commit: what an accepted edit writes, and what an answer of the platform means."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, TypedDict

import msgspec

from hornbeamgw.core.edit import Catalogue, Delta, encode_delta
from hornbeamgw.core.table import Condition, Write

HEAD_KEY = "head"
SNAPSHOT_EVERY = 16
KEPT_DELTA_ROWS = 64


class Head(TypedDict):
    """Hold the newest version and where the whole of a recent one is kept."""

    version: int
    digest: str
    snapshot_version: int
    snapshot_name: str


EMPTY_HEAD = Head(version=0, digest="", snapshot_version=0, snapshot_name="")


def delta_key(version: int) -> str:
    """Return the row key of a delta."""
    return f"delta-{version:012d}"


def decode_head(value: bytes | None) -> Head:
    """Return the head in a row; a row that is not there is version 0."""
    return EMPTY_HEAD if value is None else msgspec.json.decode(value, type=Head)


def snapshot_name(digest: str) -> str:
    """Return the object name of a whole catalogue: the digest of its content."""
    return f"snapshot-{digest}"


def is_snapshot_due(head: Head, version: int) -> bool:
    """Return whether this version should be stored whole."""
    return version - head["snapshot_version"] >= SNAPSHOT_EVERY


class Plan(NamedTuple):
    """Hold the one transaction that makes a delta the next version."""

    writes: Sequence[Write]
    head: Head


def plan(head: Head, head_etag: str | None, delta: Delta, with_snapshot: bool) -> Plan:
    """Return the conditional transaction that moves the head from N to N+1."""
    version = delta["version"]
    moved = Head(
        version=version,
        digest=delta["digest"],
        snapshot_version=version if with_snapshot else head["snapshot_version"],
        snapshot_name=snapshot_name(delta["digest"]) if with_snapshot else head["snapshot_name"],
    )
    absent = Condition(etag=None)
    writes = [
        Write(HEAD_KEY, msgspec.json.encode(moved), Condition(etag=head_etag)),
        Write(delta_key(version), encode_delta(delta), absent),
    ]
    expired = version - KEPT_DELTA_ROWS
    if 0 < expired <= head["snapshot_version"]:
        writes.append(Write(delta_key(expired), None, None))
    return Plan(writes, moved)


def find_edit(deltas: Sequence[Delta], edit_id: str) -> Delta | None:
    """Return the delta that an edit became, where it is among these."""
    return next((delta for delta in deltas if delta["edit_id"] == edit_id), None)


def can_follow(catalogue: Catalogue, head: Head) -> bool:
    """Return whether a catalogue is the one that the head names."""
    return catalogue.version == head["version"]
