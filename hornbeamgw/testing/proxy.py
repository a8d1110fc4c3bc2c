"""Loopback proxy: carries connections to one address, and harms them as it is told to."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

CHUNK = 16 * 1024


class Harm(NamedTuple):
    """Say what a proxy does to what it carries; delays in seconds.

    A direction that is cut takes bytes and passes none on, as a path does that has lost track of
    a connection; bytes taken meanwhile are never delivered.
    """

    delay: float = 0.0
    cut_forth: bool = False
    cut_back: bool = False
    refuse: bool = False


NO_HARM = Harm()


class Proxy:
    """Own the listening socket and the connections of one path."""

    def __init__(self, target: str = "") -> None:
        """Take the address to carry to; it may be set later."""
        self.target = target
        self.address = ""
        self.harm = NO_HARM
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen on loopback and return the address in use."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self.address

    def reset(self) -> None:
        """Break every connection at once."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop to listen and break what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.harm.refuse:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        forth = self._spawn(self._carry(reader, far_writer, is_forth=True))
        back = self._spawn(self._carry(far_reader, writer, is_forth=False))
        await asyncio.wait([forth, back])
        self._writers -= {writer, far_writer}
        for ended in (writer, far_writer):
            ended.close()

    def _spawn(self, carrying: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(carrying)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_forth: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                harm = self.harm
                if harm.delay:
                    await asyncio.sleep(harm.delay)
                if harm.cut_forth if is_forth else harm.cut_back:
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()
