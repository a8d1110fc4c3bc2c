"""Interfaces of a platform: a transactional table service, an object store and a row store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from hornbeamgw.backends.rows import RowStore
from hornbeamgw.core.table import Row, Write


class PlatformError(Exception):
    """A request to the platform failed; if it was a write, it may still have taken effect."""


class TableService(Protocol):
    """Table of rows that can be read, and written several at a time under preconditions."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist.

        Raises PlatformError if the read fails.
        """

    async def transact(self, writes: Sequence[Write]) -> bool:
        """Apply all writes, or none if a condition is not met; return whether they were applied.

        Raises PlatformError if the request fails; the writes may still have taken effect.
        """


class ObjectStore(Protocol):
    """Store of immutable objects by name."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist.

        Raises PlatformError if the read fails.
        """

    async def put(self, name: str, value: bytes) -> None:
        """Store an object, whose name must be unique to its content.

        Raises PlatformError if the write fails.
        """


class Platform(NamedTuple):
    """Persistent stores of a platform; None for each that it does not have."""

    table: TableService | None = None
    objects: ObjectStore | None = None
    rows: RowStore | None = None


PlatformFactory = Callable[[str, float], Platform]
factories_by_name: dict[str, PlatformFactory] = {}


def register(name: str) -> Callable[[PlatformFactory], PlatformFactory]:
    """Register a platform adapter under a name.

    The adapter is a function that returns a platform, given its address (IP:port) and the timeout
    of each request in seconds.
    """

    def add(factory: PlatformFactory) -> PlatformFactory:
        factories_by_name[name] = factory
        return factory

    return add
