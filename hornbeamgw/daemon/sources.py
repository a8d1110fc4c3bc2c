"""Sources: where versions of the catalogue come from; each registers itself.

Our own operators commit edits through a daemon: a head row names the newest version, and deltas
and snapshots lie beside it. Elsewhere operators write whole versions to one row of a store,
outside of this system, which a daemon then watches.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

import msgspec

from hornbeamgw.backends.base import ObjectStore, Platform, PlatformError, TableService
from hornbeamgw.backends.rows import RowPage, RowStore
from hornbeamgw.core import commit
from hornbeamgw.core.commit import Head
from hornbeamgw.core.versions import ArrivalPath, Origin
from hornbeamgw.daemon.control import Control

log = logging.getLogger(__name__)

MAX_DELTA_READS = 16
PLATFORM = "platform"


class SourceHead(NamedTuple):
    """Hold the newest version that a source has, and what the source needs to fetch it."""

    version: int
    content: Any


class Source(Protocol):
    """Read the newest version and fetch what a daemon lacks; may raise PlatformError.

    A head of a whole source carries its version, so that a reader need not fetch more.
    """

    reads: int
    is_whole: bool

    async def read_head(self) -> SourceHead:
        """Return the newest version, by a read begun after this call."""

    async def wait_change(self, wait: float) -> SourceHead | None:
        """Wait until the head may have moved, for a time (s); return it where that brought it."""

    async def catch_up(self, head: SourceHead) -> bool:
        """Take what is missing up to a head and return whether anything was new."""


class WholeVersion(NamedTuple):
    """Hold a version of an outside source: every body by its key."""

    version: int
    bodies_by_key: Mapping[str, Any]


class WatchedRow(NamedTuple):
    """Hold the row that operators write, and how its value is read; ValueError where it can't."""

    table: str
    key: str
    decode: Callable[[bytes], WholeVersion]


watched_rows_by_name: dict[str, WatchedRow] = {}


class CommitSource:
    """Read versions that daemons committed: a head row, deltas and snapshots."""

    is_whole = False

    def __init__(
        self,
        control: Control,
        table: TableService,
        objects: ObjectStore,
        poll: float,
        rng: random.Random,
    ) -> None:
        """Take the services to read and the mean time between polls (s)."""
        self.reads = 0
        self._control = control
        self._table = table
        self._objects = objects
        self._poll = poll
        self._rng = rng

    async def read_head(self) -> SourceHead:
        """Return the head row's version; raise PlatformError."""
        self.reads += 1
        row = await self._table.read(commit.HEAD_KEY)
        try:
            head = commit.decode_head(row.value if row else None)
        except msgspec.MsgspecError as error:
            raise PlatformError(f"undecodable head: {error}") from error
        return of_commit(head)

    async def wait_change(self, wait: float) -> SourceHead | None:
        """Wait for the next poll."""
        await asyncio.sleep(self._poll * self._rng.uniform(0.8, 1.2))
        return None

    async def catch_up(self, head: SourceHead) -> bool:
        """Fetch what is missing up to a head; raise PlatformError."""
        state = self._control.versions
        behind = head.version - state.catalogue.version
        if behind <= 0:
            return False
        if behind > MAX_DELTA_READS and head.content["snapshot_version"] > state.catalogue.version:
            await self._fetch_snapshot(head.content)
        return await self._fetch_deltas(head.content)

    async def _fetch_snapshot(self, head: Head) -> None:
        blob = await self._objects.get(head["snapshot_name"])
        self.reads += 1
        if blob is not None:
            self._control.learn_catalogue(blob, Origin(ArrivalPath.SNAPSHOT, PLATFORM))

    async def _fetch_deltas(self, head: Head) -> bool:
        known = self._control.versions.catalogue.version
        blobs = []
        for version in range(known + 1, head["version"] + 1):
            row = await self._table.read(commit.delta_key(version))
            self.reads += 1
            if row is None:
                await self._fetch_snapshot(head)
                break
            blobs.append(row.value)
        return self._control.learn_deltas(blobs, Origin(ArrivalPath.PLATFORM, PLATFORM))


def of_commit(head: Head) -> SourceHead:
    """Return the head row as a source gives it."""
    return SourceHead(head["version"], head)


class WatchedRowSource:
    """Watch the row in which operators keep the newest version whole."""

    is_whole = True

    def __init__(self, control: Control, rows: RowStore, row: WatchedRow) -> None:
        """Take the store to watch and the row."""
        self.reads = 0
        self._control = control
        self._rows = rows
        self._row = row
        self._seen: int | None = None
        self._era: int | None = None
        # Told of all rows of the operators' table, for others that they keep there.
        self.on_page: list[Callable[[RowPage], None]] = []

    async def read_head(self) -> SourceHead:
        """Return the version in the row, 0 where there is none yet; raise PlatformError."""
        self.reads += 1
        page = await self._rows.read(self._row.table)
        is_era_new = self._era is not None and page.era != self._era
        self._seen, self._era = page.revision, page.era
        self._control.note_era(page.era)
        head = self._head_of(page) or SourceHead(0, None)
        if is_era_new:
            self._compare(head, page.era)
        self._tell(page)
        return head

    def _compare(self, head: SourceHead, era: int) -> None:
        """Tell how a store that came back from a copy differs from what is in force."""
        known = self._control.versions.catalogue
        told = {"era": era, "read": head.version, "known": known.version}
        bodies_by_key = {key: item.body for key, item in known.items.items()}
        if head.version == known.version and head.content != bodies_by_key:
            log.error("another content under a known version; the first one holds", extra=told)
        elif head.version < known.version:
            log.warning("the store is behind; what is known holds", extra=told)
        else:
            log.warning("the store came back from a copy", extra=told)

    def _tell(self, page: RowPage) -> None:
        for callback in self.on_page:
            callback(page)

    async def wait_change(self, wait: float) -> SourceHead | None:
        """Watch the row for a time (s); read it afresh where the store forgot what changed."""
        if self._seen is None:
            return await self.read_head()
        self.reads += 1
        page = await self._rows.watch(self._row.table, self._seen, wait)
        if page is None:
            log.info("history lost", extra={"after": self._seen, "table": self._row.table})
            return await self.read_head()
        if page.era != self._era:
            return await self.read_head()
        self._seen = max(self._seen, page.revision)
        self._tell(page)
        return self._head_of(page) or SourceHead(0, None)

    def _head_of(self, page: RowPage) -> SourceHead | None:
        values = [row.value for row in page.rows if row.key == self._row.key]
        if not values or values[-1] is None:
            return None
        try:
            whole = self._row.decode(values[-1])
        except ValueError as error:
            log.error(
                "version unreadable; the last one stays in force whole",
                extra={"state": page.revision, "error": str(error)},
            )
            return None
        return SourceHead(whole.version, whole.bodies_by_key)

    async def catch_up(self, head: SourceHead) -> bool:
        """Take the version that a head carries."""
        if head.version <= self._control.versions.catalogue.version or head.content is None:
            return False
        origin = Origin(ArrivalPath.PLATFORM, PLATFORM)
        return self._control.learn_version(head.version, head.content, origin)


SourceFactory = Callable[[Control, Platform, float, random.Random, str], Source]
factories_by_name: dict[str, SourceFactory] = {}


def _commits(
    control: Control, platform: Platform, poll: float, rng: random.Random, adapter: str
) -> Source:
    if platform.table is None or platform.objects is None:
        raise ValueError(f"platform.adapter {adapter!r}: expected one with a table and objects")
    return CommitSource(control, platform.table, platform.objects, poll, rng)


def _watched_row(
    control: Control, platform: Platform, poll: float, rng: random.Random, adapter: str
) -> Source:
    row = watched_rows_by_name.get(adapter)
    if platform.rows is None or row is None:
        raise ValueError(f"platform.adapter {adapter!r}: expected one with rows to watch")
    return WatchedRowSource(control, platform.rows, row)


factories_by_name["commits"] = _commits
factories_by_name["watched_row"] = _watched_row
