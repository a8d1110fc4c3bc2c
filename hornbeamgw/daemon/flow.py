"""Flow: mailboxes of one reader, windows that bound what is under way, and the pace of a link."""

from __future__ import annotations

import asyncio
import heapq
import math
from collections import deque
from typing import Generic, NamedTuple, TypeVar

from hornbeamgw.core import pacing
from hornbeamgw.core.pacing import LinkState

T = TypeVar("T")

WINDOW = 256 * 1024


class Mailbox(Generic[T]):
    """Hold messages for the one task that reads them."""

    def __init__(self) -> None:
        """Start empty."""
        self._messages: deque[T] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, message: T) -> None:
        """Add a message and wake the reader."""
        self._messages.append(message)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def get(self) -> T:
        """Return the oldest message."""
        while not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._messages.popleft()


class Window:
    """Hold how many bytes may still be sent before the other side grants more."""

    def __init__(self, size: int) -> None:
        """Start with a first grant (bytes)."""
        self.available = size
        self._waiter: asyncio.Future[None] | None = None

    def add(self, size: int) -> None:
        """Grant more bytes."""
        self.available += size
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def take(self, size: int) -> None:
        """Wait until something may be sent, then use up this many bytes."""
        while self.available <= 0:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self.available -= size


class Urgency:
    """Hold since when (loop time, s) a body goes before others, infinite where it doesn't."""

    def __init__(self) -> None:
        """Start as a body that may take any time."""
        self.since = math.inf

    def hurry(self, now: float) -> None:
        """Go before others from now on, but for those that have done so for longer."""
        self.since = min(self.since, now)


class _Part(NamedTuple):
    urgent_since: float
    left: int
    order: int
    size: int
    released: asyncio.Future[None]
    urgency: Urgency


class Pacer:
    """Own the pace at which parts of large bodies leave this VM; the one with least left goes next.

    Least left first lets most bodies arrive sooner than turns would: of two that would both be
    late, one is in time. A larger one may wait for as long as smaller ones come, so that bodies
    that must arrive by some moment go before, in the order in which they became urgent. What waits
    to leave for other daemons and for callers is counted in bytes by those who hold it, for those
    who take on more to judge by.
    """

    def __init__(self, bandwidth: float = 0.0) -> None:
        """Take the bandwidth of the VM's link (bytes/s), 0 where it is not known."""
        self._state = LinkState(bandwidth)
        self._waiting: list[_Part] = []
        self._order = 0
        self._timer: asyncio.TimerHandle | None = None
        self.pending = 0
        self.pending_for_callers = 0
        self.rate = self._state.rate
        self.part_bytes = pacing.part_bytes(self._state)
        self.window_bytes = pacing.window_bytes(self._state)

    def split(self, body: bytes) -> list[bytes]:
        """Return a body in the parts that leave one at a time."""
        size = self.part_bytes
        return [body[start : start + size] for start in range(0, len(body), size)]

    async def leave(self, size: int, left: int, urgency: Urgency | None = None) -> None:
        """Wait until a part of this many bytes may leave, of a body with so many bytes left."""
        if self.rate <= 0:
            return
        loop = asyncio.get_running_loop()
        self._order += 1
        urgency = urgency or Urgency()
        released = loop.create_future()
        part = _Part(urgency.since, left, self._order, size, released, urgency)
        heapq.heappush(self._waiting, part)
        self._release()
        await part.released

    def reorder(self) -> None:
        """Take up what has become urgent among the parts that wait."""
        self._waiting = [part._replace(urgent_since=part.urgency.since) for part in self._waiting]
        heapq.heapify(self._waiting)

    def _release(self) -> None:
        """Let parts leave for which the link has room, and come back for the others."""
        loop = asyncio.get_running_loop()
        while self._waiting and self._timer is None:
            wait = pacing.wait_for_part(self._state, loop.time())
            if wait > 0:
                self._timer = loop.call_later(wait, self._on_timer)
                return
            part = heapq.heappop(self._waiting)
            if not part.released.done():
                pacing.note_part(self._state, part.size, loop.time())
                part.released.set_result(None)

    def _on_timer(self) -> None:
        self._timer = None
        self._release()
