"""Catalogue versions of a daemon: the latest known catalogue, and the snapshot in force."""

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

MAX_DELTAS = 256
MAX_ARRIVALS = 512
# Maximum size of the delta in a push. A datagram of up to 1,472 bytes is not fragmented, so 272
# bytes are left for the other fields of the push.
MAX_COMPRESSED_DELTA_BYTES = 1200
# Maximum size of an uncompressed delta in a push; the receiver pulls a version with a larger one. A
# change of ten routes takes some 3 KB, and a fifth of that compressed.
MAX_DELTA_BYTES = 16 * 1024


class ArrivalPath(enum.StrEnum):
    """How a version reached this daemon."""

    COMMIT = "commit"
    PLATFORM = "platform"
    PULL = "pull"
    PUSH = "push"
    SNAPSHOT = "snapshot"


class Origin(NamedTuple):
    """The path by which a version arrived, and its sender."""

    path: ArrivalPath
    sender: str


class Arrival(NamedTuple):
    """The arrival of a version: Unix time in seconds, path, sender and size in bytes."""

    version: int
    at: float
    path: ArrivalPath
    sender: str
    size: int


class LearnResult(NamedTuple):
    """The result of processing deltas, a catalogue or a floor (lowest version to put in force).

    `advanced` is whether the known version has increased, `applied` the snapshot that was put in
    force, if any, `stale_count` the number of versions that were already known, and `failure` the
    reason why a version was not accepted, or an empty string.
    """

    advanced: bool = False
    applied: Snapshot | None = None
    stale_count: int = 0
    failure: str = ""


class VersionState:
    """The known catalogue, the snapshot in force, the floor and recent deltas.

    The floor is the lowest version that may be put in force; None until it is known.
    """

    def __init__(self) -> None:
        """Create a state with an empty catalogue and no floor."""
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
    """Return whether the floor is known and the snapshot in force is not below it."""
    return state.floor is not None and state.snapshot.version >= max(1, state.floor)


def _evict_oldest(mapping: dict[int, Any], max_size: int) -> None:
    while len(mapping) > max_size:
        del mapping[next(iter(mapping))]


def _apply(state: VersionState, now: float) -> Snapshot | None:
    """Put the known catalogue in force if allowed, and return its snapshot, or None.

    The catalogue must be valid and newer than the snapshot in force. The floor must be known, and
    not higher than the version of the catalogue.
    """
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
    _evict_oldest(state.applied_at_by_version, MAX_ARRIVALS)
    return state.snapshot


def set_floor(state: VersionState, floor: int, now: float) -> LearnResult:
    """Set the lowest version that may be applied, and apply the known catalogue if allowed."""
    state.floor = max(floor, state.floor or 0)
    return LearnResult(applied=_apply(state, now))


def learn_deltas(
    state: VersionState, blobs: Sequence[bytes], origin: Origin, now: float
) -> LearnResult:
    """Extend the known catalogue by consecutive deltas and apply the newest version."""
    stale_count, failure, advanced = 0, "", False
    for blob in blobs:
        try:
            delta = decode_delta(blob)
        except msgspec.MsgspecError as error:
            failure = f"undecodable delta: {error}"
            break
        if delta["version"] <= state.catalogue.version:
            stale_count += 1
            continue
        extended = apply_delta(state.catalogue, delta)
        if isinstance(extended, Err):
            failure = extended.err_value
            break
        _advance(state, extended.ok_value, delta, blob, origin, now)
        advanced = True
    return LearnResult(advanced, _apply(state, now) if advanced else None, stale_count, failure)


def _advance(
    state: VersionState, known: Catalogue, delta: Delta, blob: bytes, origin: Origin, now: float
) -> None:
    state.catalogue = known
    state.deltas_by_version[known.version] = blob
    state.parents_by_version[known.version] = parent_version_of(delta)
    _evict_oldest(state.deltas_by_version, MAX_DELTAS)
    _evict_oldest(state.parents_by_version, MAX_DELTAS)
    arrival = Arrival(known.version, now, origin.path, origin.sender, len(blob))
    state.arrivals_by_version[known.version] = arrival
    _evict_oldest(state.arrivals_by_version, MAX_ARRIVALS)


def encode_catalogue(catalogue: Catalogue) -> bytes:
    """Encode and compress a catalogue for storage and transfer."""
    rows = {key: [item.revision, item.body] for key, item in sorted(catalogue.items.items())}
    return zlib.compress(msgspec.json.encode([catalogue.version, rows]), 6)


def compress_delta(delta: bytes) -> bytes:
    """Compress a delta for a datagram; return empty bytes if it is too long."""
    if not delta or len(delta) > MAX_DELTA_BYTES:
        return b""
    compressed = zlib.compress(delta)
    return compressed if len(compressed) <= MAX_COMPRESSED_DELTA_BYTES else b""


def decompress_delta(compressed: bytes) -> bytes:
    """Decompress a delta from a datagram; return empty bytes if it is invalid or too long."""
    if not compressed:
        return b""
    decompressor = zlib.decompressobj()
    try:
        delta = decompressor.decompress(compressed, MAX_DELTA_BYTES)
    except zlib.error:
        return b""
    return delta if decompressor.eof else b""


def decode_catalogue(blob: bytes) -> Catalogue:
    """Decode a catalogue; raise ValueError if the blob is invalid."""
    try:
        version, rows = msgspec.json.decode(
            zlib.decompress(blob), type=tuple[int, dict[str, tuple[int, dict[str, Any]]]]
        )
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"undecodable snapshot: {error}") from error
    items = {key: Item(revision, body) for key, (revision, body) in rows.items()}
    return Catalogue(version, compute_digest(items), items)


def learn_catalogue(state: VersionState, blob: bytes, origin: Origin, now: float) -> LearnResult:
    """Decode a catalogue; if it is newer, replace the known one and apply it if allowed."""
    try:
        catalogue = decode_catalogue(blob)
    except ValueError as error:
        return LearnResult(failure=str(error))
    if catalogue.version <= state.catalogue.version:
        return LearnResult(stale_count=1)
    state.catalogue = catalogue
    state.deltas_by_version.clear()
    state.parents_by_version.clear()
    arrival = Arrival(catalogue.version, now, ArrivalPath.SNAPSHOT, origin.sender, len(blob))
    state.arrivals_by_version[catalogue.version] = arrival
    return LearnResult(True, _apply(state, now))


def deltas_after(state: VersionState, version: int) -> list[bytes] | None:
    """Return the deltas that follow a version, or None if one is no longer stored."""
    blobs: list[bytes] = []
    current = state.catalogue.version
    while current > version:
        blob = state.deltas_by_version.get(current)
        if blob is None:
            return None
        blobs.append(blob)
        current = state.parents_by_version[current]
    return blobs[::-1] if current == version else None
