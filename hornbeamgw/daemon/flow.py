"""Flow: mailboxes of one reader and windows that bound what is under way."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic, TypeVar

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
