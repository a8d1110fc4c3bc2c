"""Interface of a row store with a change feed, for platforms that have one."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol


class StoredRow(NamedTuple):
    """A row as of its last write.

    `value` is None if the row was deleted; `revision` is the store's revision at that write.
    """

    key: str
    value: bytes | None
    revision: int


class RowPage(NamedTuple):
    """Rows of one response, with the state of the store at that time.

    `revision` increases with each transaction. `store_time` is the store's monotonic clock in
    seconds. `era` increases each time the store is restored from a backup, which loses the writes
    made since the backup; revisions of different eras are not comparable.
    """

    rows: Sequence[StoredRow]
    revision: int
    store_time: float
    era: int = 0


class RowStore(Protocol):
    """Store of rows whose changes can be watched.

    All methods raise PlatformError if the request fails.
    """

    async def read(self, table: str, key: str = "") -> RowPage:
        """Return the row of a table with this key, or all rows if the key is empty."""

    async def watch(self, table: str, after_revision: int, wait: float) -> RowPage | None:
        """Return rows changed after a revision, waiting up to `wait` seconds for a change.

        Returns a page without rows if the wait ends without a change, and None if the store no
        longer has all changes since that revision.
        """

    async def write(
        self, table: str, key: str, value: bytes | None, expected_revision: int | None = None
    ) -> int:
        """Write a row, or delete it if the value is None; return the store's revision after it.

        The result is 0 if the write was not applied. With an `expected_revision` (0 for a row that
        does not exist) the write is applied only if the row is at that revision.
        """
