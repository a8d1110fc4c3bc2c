"""Loopback TCP proxy that injects network faults into the connections to one address."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

CHUNK_BYTES = 16 * 1024


class Impairment(NamedTuple):
    """Network faults that a proxy injects; `delay_s` is added to each chunk.

    Bytes read while a direction is dropped are discarded, as by a stateful firewall that has lost
    track of the connection. With `refuse`, new connections are aborted. With `hold`, bytes wait
    until it ends, as while the target stands still.
    """

    delay_s: float = 0.0
    drop_forward: bool = False
    drop_backward: bool = False
    refuse: bool = False
    hold: bool = False


NO_IMPAIRMENT = Impairment()
HOLD_POLL_INTERVAL_S = 0.01


class _Silence:
    """The directions of one open connection that have gone silent for good."""

    def __init__(self) -> None:
        self.forward = False
        self.backward = False


class Proxy:
    """A listening socket, and the connections that are forwarded to one address."""

    def __init__(self, target: str = "") -> None:
        """Create a proxy; its target address may be set later."""
        self.target = target
        self.address = ""
        self.impairment = NO_IMPAIRMENT
        self.accepted = 0
        self._open: set[_Silence] = set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen on loopback and return the address in use."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self.address

    def silence(self, forward: bool = True, backward: bool = True) -> int:
        """Discard what still comes on the open connections; return their number.

        Their ends are not passed on either. New connections work.
        """
        for silence in self._open:
            silence.forward |= forward
            silence.backward |= backward
        return len(self._open)

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
        self.accepted += 1
        host, _, port = self.target.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        silence = _Silence()
        self._open.add(silence)
        forward = self._spawn(self._forward(reader, upstream_writer, silence, is_forward=True))
        backward = self._spawn(self._forward(upstream_reader, writer, silence, is_forward=False))
        await asyncio.wait([forward, backward])
        self._open.discard(silence)
        self._writers -= {writer, upstream_writer}
        for ended in (writer, upstream_writer):
            ended.close()

    def _spawn(self, forwarding: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(forwarding)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silence: _Silence,
        is_forward: bool,
    ) -> None:
        def is_silent() -> bool:
            return silence.forward if is_forward else silence.backward

        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.impairment.delay_s:
                    await asyncio.sleep(self.impairment.delay_s)
                while self.impairment.hold:
                    await asyncio.sleep(HOLD_POLL_INTERVAL_S)
                impairment = self.impairment
                is_dropped = impairment.drop_forward if is_forward else impairment.drop_backward
                if is_dropped or is_silent():
                    continue
                writer.write(data)
                await writer.drain()
            if not is_silent() and writer.can_write_eof():
                writer.write_eof()
            return
        if not is_silent():
            writer.transport.abort()
