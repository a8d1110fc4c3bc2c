"""Room: the slots and the queue of a stand-in backend server, and how many requests exceed them."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

CHECK_S = 0.002


class OnClose(enum.StrEnum):
    """What a stand-in does with a request whose connection the daemon closes.

    `DROP` stops the work. `WORK` goes on with it, and closes its end of the connection at once.
    `ANSWER` goes on with it, and closes its end after the answer.
    """

    DROP = "drop"
    WORK = "work"
    ANSWER = "answer"


class Room:
    """The requests at a server with a number of slots.

    Attributes
    ----------
    running, peak_running : int
        Requests that are at work or waiting, now and at most.
    over_room : int
        Requests that arrived while as many others as there are slots were at work or waiting.
    refused : int
        Requests that found the queue full.
    """

    def __init__(self, slots: int, queue: int | None) -> None:
        """Start empty; without a `queue` length, all requests are worked on at once."""
        self.running = self.peak_running = self.over_room = self.refused = 0
        self._slots = slots
        self._queue = queue
        self._free = asyncio.Semaphore(slots)

    def has_space(self) -> bool:
        """Return whether one more request is taken; count it as refused if not."""
        if self._queue is None or self.running < self._slots + self._queue:
            return True
        self.refused += 1
        return False

    async def check(self) -> None:
        """Wait for a slot and use it for a moment, without counting as a request."""
        if self._queue is not None:
            async with self._free:
                await asyncio.sleep(CHECK_S)

    @contextlib.asynccontextmanager
    async def request(self) -> AsyncIterator[None]:
        """Count a request while it is here; enter once it has a slot."""
        self.over_room += self.running >= self._slots
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            if self._queue is None:
                yield
                return
            async with self._free:
                yield
        finally:
            self.running -= 1
