"""Loopback TCP proxy that injects network faults into the connections to one address."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

CHUNK_BYTES = 16 * 1024


class Impairment(NamedTuple):
    """Network faults that a proxy injects; `delay_s` is added to each chunk.

    Bytes read while a direction is dropped are discarded, as by a stateful firewall that has lost
    track of the connection. With `refuse`, new connections are aborted.
    """

    delay_s: float = 0.0
    drop_forward: bool = False
    drop_backward: bool = False
    refuse: bool = False


NO_IMPAIRMENT = Impairment()


class Proxy:
    """A listening socket, and the connections that are forwarded to one address."""

    def __init__(self, target: str = "") -> None:
        """Create a proxy; its target address may be set later."""
        self.target = target
        self.address = ""
        self.impairment = NO_IMPAIRMENT
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen on loopback and return the address in use."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self.address

    def reset(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.impairment.refuse:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        forward = self._spawn(self._forward(reader, upstream_writer, is_forward=True))
        backward = self._spawn(self._forward(upstream_reader, writer, is_forward=False))
        await asyncio.wait([forward, backward])
        self._writers -= {writer, upstream_writer}
        for ended in (writer, upstream_writer):
            ended.close()

    def _spawn(self, forwarding: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(forwarding)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_forward: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                impairment = self.impairment
                if impairment.delay_s:
                    await asyncio.sleep(impairment.delay_s)
                if impairment.drop_forward if is_forward else impairment.drop_backward:
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()
