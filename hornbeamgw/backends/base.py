"""Entry points of the platform: a transactional table service and an object store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from hornbeamgw.backends.rows import RowStore
from hornbeamgw.core.table import Row, Write


class PlatformError(Exception):
    """Say that the platform gave no answer; a write may have taken effect."""


class TableService(Protocol):
    """Read rows and write several under conditions, all or none."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or None where there is none; raise PlatformError without an answer."""

    async def transact(self, writes: Sequence[Write]) -> bool:
        """Return whether all conditions held and all was written; raise PlatformError."""


class ObjectStore(Protocol):
    """Keep immutable objects by name."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None where there is none; raise PlatformError."""

    async def put(self, name: str, value: bytes) -> None:
        """Store an object under a name never used for another content; raise PlatformError."""


class Platform(NamedTuple):
    """Hold the services that keep what must last; a platform need not have them all."""

    table: TableService | None = None
    objects: ObjectStore | None = None
    rows: RowStore | None = None


PlatformFactory = Callable[[str, float], Platform]
factories_by_name: dict[str, PlatformFactory] = {}


def register(name: str) -> Callable[[PlatformFactory], PlatformFactory]:
    """Register an adapter: a function of an address and a timeout (s)."""

    def add(factory: PlatformFactory) -> PlatformFactory:
        factories_by_name[name] = factory
        return factory

    return add
