"""Versions: what a daemon knows of the catalogue, and what it has in force."""

from __future__ import annotations

import enum
import zlib
from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec
from result import Err

from hornbeamgw.core import invariants
from hornbeamgw.core.catalogue import NO_ITEMS, Item, Items, compute_digest
from hornbeamgw.core.edit import (
    EMPTY_CATALOGUE,
    Catalogue,
    Delta,
    apply_delta,
    decode_delta,
    parent_version_of,
)
from hornbeamgw.core.problems import Problem
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Snapshot, build_snapshot

KEPT_DELTAS = 256
KEPT_ARRIVALS = 512
# A datagram of 1,472 bytes is not split on the way; the rest of a push takes up to 200 of them.
MAX_PACKED_DELTA = 1200
# A change of ten routes is some 3 KB and packs into a fifth of that; larger ones are pulled.
MAX_UNPACKED_DELTA = 16 * 1024


class Path(enum.StrEnum):
    """Name the way by which a version reached this daemon."""

    COMMIT = "commit"
    PLATFORM = "platform"
    PULL = "pull"
    PUSH = "push"
    SNAPSHOT = "snapshot"


class Origin(NamedTuple):
    """Say from whom and by which way something arrived."""

    path: Path
    sender: str


class Arrival(NamedTuple):
    """Record when a version arrived here, how, from whom, and how many bytes it took."""

    version: int
    at: float
    path: Path
    sender: str
    size: int


class Learned(NamedTuple):
    """Tell what a message changed."""

    advanced: bool = False
    applied: Snapshot | None = None
    stale: int = 0
    fault: str = ""


class VersionState:
    """Hold the catalogue known, the snapshot in force, the floor and recent deltas."""

    def __init__(self) -> None:
        """Start with nothing: no floor, the empty catalogue."""
        self.catalogue: Catalogue = EMPTY_CATALOGUE
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.built_items: Items = NO_ITEMS
        self.floor: int | None = None
        self.deltas_by_version: dict[int, bytes] = {}
        self.parents_by_version: dict[int, int] = {}
        self.rejected_by_version: dict[int, list[Problem]] = {}
        self.arrivals_by_version: dict[int, Arrival] = {}
        self.applied_at_by_version: dict[int, float] = {}


def is_ready(state: VersionState) -> bool:
    """Return whether the snapshot in force is at or above a known floor."""
    return state.floor is not None and state.snapshot.version >= max(1, state.floor)


def _trim(mapping: dict[int, Any], kept: int) -> None:
    while len(mapping) > kept:
        del mapping[next(iter(mapping))]


def _apply(state: VersionState, now: float) -> Snapshot | None:
    known = state.catalogue
    if state.floor is None or known.version < state.floor:
        return None
    if known.version <= state.snapshot.version or known.version in state.rejected_by_version:
        return None
    built = build_snapshot(
        known.version, known.digest, known.items, state.built_items, state.snapshot
    )
    if isinstance(built, Err):
        state.rejected_by_version[known.version] = built.err_value
        return None
    invariants.check_swap(state.snapshot, built.ok_value, state.floor)
    state.snapshot = built.ok_value
    state.built_items = known.items
    state.applied_at_by_version[known.version] = now
    _trim(state.applied_at_by_version, KEPT_ARRIVALS)
    return state.snapshot


def set_floor(state: VersionState, floor: int, now: float) -> Learned:
    """Record the lowest version that may be put in force, once it is sure."""
    state.floor = max(floor, state.floor or 0)
    return Learned(applied=_apply(state, now))


def learn_deltas(
    state: VersionState, blobs: Sequence[bytes], origin: Origin, now: float
) -> Learned:
    """Extend the known catalogue by consecutive deltas and apply the newest."""
    stale, fault, advanced = 0, "", False
    for blob in blobs:
        try:
            delta = decode_delta(blob)
        except msgspec.MsgspecError as error:
            fault = f"undecodable delta: {error}"
            break
        if delta["version"] <= state.catalogue.version:
            stale += 1
            continue
        extended = apply_delta(state.catalogue, delta)
        if isinstance(extended, Err):
            fault = extended.err_value
            break
        _advance(state, extended.ok_value, delta, blob, origin, now)
        advanced = True
    return Learned(advanced, _apply(state, now) if advanced else None, stale, fault)


def _advance(
    state: VersionState, known: Catalogue, delta: Delta, blob: bytes, origin: Origin, now: float
) -> None:
    state.catalogue = known
    state.deltas_by_version[known.version] = blob
    state.parents_by_version[known.version] = parent_version_of(delta)
    _trim(state.deltas_by_version, KEPT_DELTAS)
    _trim(state.parents_by_version, KEPT_DELTAS)
    arrival = Arrival(known.version, now, origin.path, origin.sender, len(blob))
    state.arrivals_by_version[known.version] = arrival
    _trim(state.arrivals_by_version, KEPT_ARRIVALS)


def encode_catalogue(catalogue: Catalogue) -> bytes:
    """Return a whole catalogue, compressed, as it is stored and sent."""
    rows = {key: [item.revision, item.body] for key, item in sorted(catalogue.items.items())}
    return zlib.compress(msgspec.json.encode([catalogue.version, rows]), 6)


def pack_delta(delta: bytes) -> bytes:
    """Return a delta compressed for a datagram, or nothing where it would be too long."""
    if not delta or len(delta) > MAX_UNPACKED_DELTA:
        return b""
    packed = zlib.compress(delta)
    return packed if len(packed) <= MAX_PACKED_DELTA else b""


def unpack_delta(packed: bytes) -> bytes:
    """Return the delta in a datagram, or nothing where it can't be read."""
    if not packed:
        return b""
    unpacking = zlib.decompressobj()
    try:
        delta = unpacking.decompress(packed, MAX_UNPACKED_DELTA)
    except zlib.error:
        return b""
    return delta if unpacking.eof else b""


def decode_catalogue(blob: bytes) -> Catalogue:
    """Return the catalogue in a blob; raise ValueError where it is none."""
    try:
        version, rows = msgspec.json.decode(
            zlib.decompress(blob), type=tuple[int, dict[str, tuple[int, dict[str, Any]]]]
        )
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"undecodable snapshot: {error}") from error
    items = {key: Item(revision, body) for key, (revision, body) in rows.items()}
    return Catalogue(version, compute_digest(items), items)


def learn_catalogue(state: VersionState, blob: bytes, origin: Origin, now: float) -> Learned:
    """Take a whole catalogue where it is newer than the known one, and apply it."""
    try:
        catalogue = decode_catalogue(blob)
    except ValueError as error:
        return Learned(fault=str(error))
    if catalogue.version <= state.catalogue.version:
        return Learned(stale=1)
    state.catalogue = catalogue
    state.deltas_by_version.clear()
    state.parents_by_version.clear()
    arrival = Arrival(catalogue.version, now, Path.SNAPSHOT, origin.sender, len(blob))
    state.arrivals_by_version[catalogue.version] = arrival
    return Learned(True, _apply(state, now))


def deltas_after(state: VersionState, version: int) -> list[bytes] | None:
    """Return the deltas that follow a version, or None where one is no longer kept."""
    blobs: list[bytes] = []
    at = state.catalogue.version
    while at > version:
        blob = state.deltas_by_version.get(at)
        if blob is None:
            return None
        blobs.append(blob)
        at = state.parents_by_version[at]
    return blobs[::-1] if at == version else None
