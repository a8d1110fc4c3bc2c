"""Relay: pass bytes on to an address, as the floor that any proxy in Python stands on."""

from __future__ import annotations

import asyncio
import sys
from typing import cast

from hornbeamgw.core.options import split_address
from hornbeamgw.daemon import loop


class _Side(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.early.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class _Front(_Side):
    def __init__(self, target: str) -> None:
        super().__init__()
        self._target = target

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._task = asyncio.ensure_future(self._dial())

    async def _dial(self) -> None:
        host, port = split_address(self._target)
        running = asyncio.get_running_loop()
        transport, back = await running.create_connection(_Side, host, port)
        back.other = self
        for data in self.early:
            transport.write(data)
        self.other = back


async def _serve(target: str) -> None:
    running = asyncio.get_running_loop()
    server = await running.create_server(lambda: _Front(target), "127.0.0.1", 0)
    name = server.sockets[0].getsockname()
    print(f'{{"listening":"{name[0]}:{name[1]}"}}', flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    loop.run(_serve(sys.argv[1]))
