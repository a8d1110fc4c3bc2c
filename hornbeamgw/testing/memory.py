"""In-memory platform adapter with fault injection for single calls."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from hornbeamgw.backends.base import Platform, PlatformError, register
from hornbeamgw.core.table import Row, Write

OUTAGE = "outage"
LOSE_ANSWER = "lose_answer"
LOSE_REQUEST = "lose_request"


class MemoryPlatform:
    """Table and object store in memory; each queued fault applies to one transaction."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.rows_by_key: dict[str, Row] = {}
        self.objects_by_name: dict[str, bytes] = {}
        self.down = False
        self.write_faults: deque[str] = deque()
        self.reads = 0
        self.transactions = 0
        self._last_etag = 0

    def _check_reachable(self) -> None:
        if self.down:
            raise PlatformError(OUTAGE)

    async def read(self, key: str) -> Row | None:
        """Return a row; raise PlatformError while down."""
        self._check_reachable()
        self.reads += 1
        return self.rows_by_key.get(key)

    async def transact(self, writes: Sequence[Write]) -> bool:
        """Apply all writes or none; a queued fault loses the request or the answer.

        Return whether the conditions of all writes held.
        """
        self._check_reachable()
        fault = self.write_faults.popleft() if self.write_faults else ""
        if fault == LOSE_REQUEST:
            raise PlatformError(fault)
        is_applied = self._apply(writes)
        if fault == LOSE_ANSWER:
            raise PlatformError(fault)
        return is_applied

    def _apply(self, writes: Sequence[Write]) -> bool:
        for write in writes:
            row = self.rows_by_key.get(write.key)
            if write.condition and write.condition.etag != (row.etag if row else None):
                return False
        for write in writes:
            if write.value is None:
                self.rows_by_key.pop(write.key, None)
            else:
                self._last_etag += 1
                self.rows_by_key[write.key] = Row(write.value, str(self._last_etag))
        self.transactions += 1
        return True

    async def get(self, name: str) -> bytes | None:
        """Return an object; raise PlatformError while down."""
        self._check_reachable()
        return self.objects_by_name.get(name)

    async def put(self, name: str, value: bytes) -> None:
        """Store an object unless its name exists; raise PlatformError while down."""
        self._check_reachable()
        self.objects_by_name.setdefault(name, value)


shared_by_address: dict[str, MemoryPlatform] = {}


@register("memory")
def memory_platform(address: str, timeout: float) -> Platform:
    """Return the platform that is registered in this process under an address."""
    memory = shared_by_address.setdefault(address, MemoryPlatform())
    return Platform(memory, memory)
