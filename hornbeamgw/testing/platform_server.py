"""Platform server: a backend server as the users' platform runs it, of some version.

It tells the daemon beside it of itself, and counts what it ran. Part of its answers may be failures
or slow, from its start or from some time on.
"""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

import h11
import msgspec

from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, HttpConnection, header
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response

BODY_LIMIT = 1024 * 1024
HEARTBEAT_S = 0.3
TIMEOUT_S = 1.0
SIGNATURE = (b"x-response-signature", b"s")


class ServerOptions(NamedTuple):
    """Hold what a server is like; times in seconds."""

    name: str
    service: str
    software: str
    slots: int = 6
    work: float = 0.01
    failing_share: float = 0.0
    slow_share: float = 0.0
    slow_times: float = 6.0


class PlatformServer:
    """Serve requests, tell of itself, and keep the record that tests count by."""

    def __init__(self, options: ServerOptions, daemon: str, seed: int = 0) -> None:
        """Take what it is like, and the daemon's address for announcements."""
        self.options = options
        self.address = ""
        self.runs = 0
        self.is_stopped = False
        self._rng = random.Random(seed)
        self._sequence = 0
        self._client = HttpClient(daemon, TIMEOUT_S)
        self._http = HttpServer(self._answer, Timeouts())
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on loopback and begin to tell of itself."""
        self.address = await self._http.start("127.0.0.1:0")
        self._beats = asyncio.create_task(self._beat_loop())

    def move_to(self, daemon: str) -> None:
        """Tell another daemon from now on, as after the restart of the one beside it."""
        self._client.close()
        self._client = HttpClient(daemon, TIMEOUT_S)

    def stop(self) -> None:
        """Stop at once, without a word."""
        self.is_stopped = True
        if self._beats is not None:
            self._beats.cancel()
        self._http.stop_accepting()
        self._http.abort()
        self._client.close()

    async def _beat_loop(self) -> None:
        while True:
            self._sequence += 1
            info = {"service": self.options.service, "version": self.options.software}
            body = {
                "address": self.address,
                "info": {**info, "capacity": self.options.slots},
                "status": {"state": "ready", "sequence": self._sequence},
            }
            path = f"/-/instances/{self.options.name}"
            try:
                await self._client.request("PUT", path, body=msgspec.msgpack.encode(body))
            except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError):
                pass  # The next heartbeat makes up for it.
            await asyncio.sleep(HEARTBEAT_S)

    async def _answer(self, connection: HttpConnection, request: h11.Request) -> None:
        await read_body(connection, BODY_LIMIT)
        name = (b"x-instance-id", self.options.name.encode())
        if request.target == b"/healthz":
            send_response(connection, 200, [name], b"")
            return
        self.runs += 1
        drawn = self._rng.random()
        is_slow = drawn < self.options.slow_share
        await asyncio.sleep(self.options.work * (self.options.slow_times if is_slow else 1.0))
        call_id = header(request.headers, b"x-request-id") or b""
        headers = [(b"x-request-id", call_id), SIGNATURE, name]
        status = 500 if drawn < self.options.failing_share else 200
        send_response(connection, status, headers, b"{}")
