"""Rows of a store with a feed of changes, for platforms that have one."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol


class StoredRow(NamedTuple):
    """Hold a row, its value (None where it was deleted) and the state that wrote it."""

    key: str
    value: bytes | None
    state: int


class RowPage(NamedTuple):
    """Hold rows as of one state of the store, and the store's steady clock (s).

    States begin anew from an earlier one with each era of the store.
    """

    rows: Sequence[StoredRow]
    state: int
    now: float
    era: int = 0


class RowStore(Protocol):
    """Read, watch and write rows; each call may raise PlatformError."""

    async def read(self, table: str, key: str = "") -> RowPage:
        """Return one row of a table, or all of them."""

    async def watch(self, table: str, after: int, wait: float) -> RowPage | None:
        """Return what changed after a state within a wait (s), or None where it is forgotten."""

    async def write(
        self, table: str, key: str, value: bytes | None, expected: int | None = None
    ) -> bool:
        """Write a row, or delete it with None; return whether it was in the expected state."""
