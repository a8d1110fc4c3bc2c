"""Outgoing answers: send the remainder of an answer to another daemon in the background.

The backend server's slot is free once its answer has been read. A slow transfer on a narrow link
thus blocks neither the slot nor other messages on that link.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from hornbeamgw.daemon import frames
from hornbeamgw.daemon.flow import Mailbox, Pacer, Urgency, Window
from hornbeamgw.daemon.link import Link
from hornbeamgw.daemon.progress import Progress, WaitsFor

# Bytes of one answer that are read from the backend server before they are sent. Typical answers
# fit, so that they do not occupy a slot while they are sent. The largest known answers have 1.7 MB.
BUFFER_BYTES = 2 * 1024 * 1024


class _Chunk(NamedTuple):
    data: bytes
    end: bool


class OutgoingAnswer:
    """The unsent remainder of one answer, and the task that sends it."""

    def __init__(
        self,
        link: Link,
        attempt: int,
        pacer: Pacer,
        give_up_at: float,
        on_stalled: Callable[[], None],
        urgency: Urgency,
    ) -> None:
        """Start sending on `link`; call `on_stalled` if incomplete at loop time `give_up_at`."""
        self.window = Window(pacer.window_bytes)
        self.progress = Progress(asyncio.get_running_loop().time())
        self._link = link
        self._attempt = attempt
        self._pacer = pacer
        self._urgency = urgency
        self._on_stalled = on_stalled
        self._chunks: Mailbox[_Chunk] = Mailbox()
        self._buffer = Window(BUFFER_BYTES)
        self._pending = 0
        self._is_stopped = False
        self.task = asyncio.create_task(self._run(give_up_at))

    def put(self, data: bytes, end: bool) -> None:
        """Queue data from the backend server; discard it if sending has been stopped."""
        if self._is_stopped:
            return
        self._buffer.available -= len(data)
        self._pending += len(data)
        self._pacer.pending += len(data)
        self._chunks.put(_Chunk(data, end))

    async def drain(self) -> None:
        """Wait until the buffer has room for more data from the backend server."""
        await self._buffer.consume(0)

    def expedite(self) -> None:
        """Give the answer priority and notify the other daemon that this daemon is stopping."""
        self._urgency.mark_urgent(asyncio.get_running_loop().time())
        self._pacer.reorder()
        self._link.send(frames.Body(self._attempt, b"", False, leaving=True))

    def reorder(self) -> None:
        """Reorder the waiting parts after the answer has become urgent."""
        self._pacer.reorder()

    def stop(self) -> None:
        """Stop sending and unblock the reader of the backend server's answer."""
        self._is_stopped = True
        self.task.cancel()
        self._buffer.add(1 << 62)

    async def _run(self, give_up_at: float) -> None:
        try:
            async with asyncio.timeout_at(give_up_at):
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
                await self.window.consume(len(part))
                self.progress.record_wait(WaitsFor.LINK, loop.time())
                await self._pacer.wait_to_send(len(part), self._pending, self._urgency)
                self._link.send(frames.Body(self._attempt, part, False))
                self._buffer.add(len(part))
                self.progress.forwarded_bytes += len(part)
                self._pending -= len(part)
                self._pacer.pending -= len(part)
            if chunk.end:
                self._link.send(frames.Body(self._attempt, b"", True))
                return
