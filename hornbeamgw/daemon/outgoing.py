"""Outgoing: carries the rest of an answer to another daemon after the server has given it.

A backend server's slot is free once its answer has been read; how long the answer then takes to
cross a narrow link holds up neither the slot nor what else crosses that link.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from hornbeamgw.daemon import frames
from hornbeamgw.daemon.flow import Mailbox, Pacer, Urgency, Window
from hornbeamgw.daemon.link import Link
from hornbeamgw.daemon.progress import Progress, WaitsFor

# Read ahead of the link by this much of one answer: the users' largest are 1.7 MB.
BUFFER_BYTES = 2 * 1024 * 1024


class _Chunk(NamedTuple):
    data: bytes
    end: bool


class Outgoing:
    """Own the rest of one answer until it is sent."""

    def __init__(
        self,
        link: Link,
        attempt: int,
        pacer: Pacer,
        limit: float,
        on_stalled: Callable[[], None],
        urgency: Urgency,
    ) -> None:
        """Take where it goes, at which pace, and until when (loop time, s) it may take."""
        self.window = Window(pacer.window_bytes)
        self.progress = Progress(asyncio.get_running_loop().time())
        self._link = link
        self._attempt = attempt
        self._pacer = pacer
        self._urgency = urgency
        self._on_stalled = on_stalled
        self._chunks: Mailbox[_Chunk] = Mailbox()
        self._room = Window(BUFFER_BYTES)
        self._pending = 0
        self._is_stopped = False
        self.task = asyncio.create_task(self._run(limit))

    def put(self, data: bytes, end: bool) -> None:
        """Add what the server gave; what nobody takes any more is dropped."""
        if self._is_stopped:
            return
        self._room.available -= len(data)
        self._pending += len(data)
        self._pacer.pending += len(data)
        self._chunks.put(_Chunk(data, end))

    async def room(self) -> None:
        """Wait until more may be read from the server."""
        await self._room.take(0)

    def leave(self) -> None:
        """Tell the other daemon that the rest must be taken soon, and send it before others."""
        self._urgency.hurry(asyncio.get_running_loop().time())
        self._pacer.reorder()
        self._link.send(frames.Body(self._attempt, b"", False, leaving=True))

    def reorder(self) -> None:
        """Take up that the answer has become urgent while a part of it waits."""
        self._pacer.reorder()

    def stop(self) -> None:
        """Send no more."""
        self._is_stopped = True
        self.task.cancel()
        self._room.add(1 << 62)

    async def _run(self, limit: float) -> None:
        try:
            async with asyncio.timeout_at(limit):
                await self._send_all()
        except TimeoutError:
            self._on_stalled()
        finally:
            self._pacer.pending -= self._pending

    async def _send_all(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.progress.record_wait(WaitsFor.SERVER, loop.time())
            chunk = await self._chunks.get()
            for part in self._pacer.split(chunk.data):
                self.progress.record_wait(WaitsFor.OTHER_DAEMON, loop.time())
                await self.window.take(len(part))
                self.progress.record_wait(WaitsFor.LINK, loop.time())
                await self._pacer.leave(len(part), self._pending, self._urgency)
                self._link.send(frames.Body(self._attempt, part, False))
                self._room.add(len(part))
                self.progress.forwarded_bytes += len(part)
                self._pending -= len(part)
                self._pacer.pending -= len(part)
            if chunk.end:
                self._link.send(frames.Body(self._attempt, b"", True))
                return
