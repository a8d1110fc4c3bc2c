"""Platform in memory: a fake behind the same entry points, with faults one call at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from hornbeamgw.backends.base import Platform, PlatformError, register
from hornbeamgw.core.table import Row, Write

OUTAGE = "outage"
LOSE_ANSWER = "lose_answer"
LOSE_REQUEST = "lose_request"


class MemoryPlatform:
    """Hold rows and objects; each fault queued hits the next call that it fits."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.rows_by_key: dict[str, Row] = {}
        self.objects_by_name: dict[str, bytes] = {}
        self.down = False
        self.write_faults: deque[str] = deque()
        self.reads = 0
        self.transactions = 0
        self._next_tag = 0

    def _check_up(self) -> None:
        if self.down:
            raise PlatformError(OUTAGE)

    async def read(self, key: str) -> Row | None:
        """Return a row; raise PlatformError while down."""
        self._check_up()
        self.reads += 1
        return self.rows_by_key.get(key)

    async def transact(self, writes: Sequence[Write]) -> bool:
        """Write all or nothing; a queued fault loses the request or the answer."""
        self._check_up()
        fault = self.write_faults.popleft() if self.write_faults else ""
        if fault == LOSE_REQUEST:
            raise PlatformError(fault)
        done = self._apply(writes)
        if fault == LOSE_ANSWER:
            raise PlatformError(fault)
        return done

    def _apply(self, writes: Sequence[Write]) -> bool:
        for write in writes:
            row = self.rows_by_key.get(write.key)
            if write.condition and write.condition.etag != (row.etag if row else None):
                return False
        for write in writes:
            if write.value is None:
                self.rows_by_key.pop(write.key, None)
            else:
                self._next_tag += 1
                self.rows_by_key[write.key] = Row(write.value, str(self._next_tag))
        self.transactions += 1
        return True

    async def get(self, name: str) -> bytes | None:
        """Return an object; raise PlatformError while down."""
        self._check_up()
        return self.objects_by_name.get(name)

    async def put(self, name: str, value: bytes) -> None:
        """Store an object; raise PlatformError while down."""
        self._check_up()
        self.objects_by_name.setdefault(name, value)


shared_by_address: dict[str, MemoryPlatform] = {}


@register("memory")
def memory_platform(address: str, timeout: float) -> Platform:
    """Return the platform in this process that goes by an address."""
    memory = shared_by_address.setdefault(address, MemoryPlatform())
    return Platform(memory, memory)
