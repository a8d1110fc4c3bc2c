"""Platform server: a stand-in for a backend server of the users' platform.

It sends heartbeats to a daemon and counts its requests. A configurable share of responses fails or
is delayed.
"""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

import h11
import msgspec

from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, HttpConnection, header
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response

BODY_LIMIT_BYTES = 1024 * 1024
HEARTBEAT_INTERVAL_S = 0.3
ANNOUNCE_TIMEOUT_S = 1.0
SIGNATURE_HEADER = (b"x-response-signature", b"s")


class ServerOptions(NamedTuple):
    """Parameters of a server; times are in seconds.

    `software` is the version that the server reports. `slow_factor` multiplies the work time of
    slow responses.
    """

    name: str
    service: str
    software: str
    slots: int = 6
    work: float = 0.01
    failure_ratio: float = 0.0
    slow_ratio: float = 0.0
    slow_factor: float = 6.0


class PlatformServer:
    """A backend server that sends heartbeats to a daemon and counts its requests."""

    def __init__(self, options: ServerOptions, announce_address: str, seed: int = 0) -> None:
        """Create a server that announces itself to a daemon at its announcement address."""
        self.options = options
        self.address = ""
        self.runs = 0
        self.is_stopped = False
        self._rng = random.Random(seed)
        self._sequence = 0
        self._announcer = HttpClient(announce_address, ANNOUNCE_TIMEOUT_S)
        self._server = HttpServer(self._handle, Timeouts())
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on loopback and start sending heartbeats."""
        self.address = await self._server.start("127.0.0.1:0")
        self._heartbeat_task = asyncio.create_task(self._heartbeat_loop())

    def announce_to(self, announce_address: str) -> None:
        """Send heartbeats to another address, for instance after a restart of the daemon."""
        self._announcer.close()
        self._announcer = HttpClient(announce_address, ANNOUNCE_TIMEOUT_S)

    def stop(self) -> None:
        """Stop immediately, without reporting it to the daemon."""
        self.is_stopped = True
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        self._server.stop_accepting()
        self._server.abort()
        self._announcer.close()

    async def _heartbeat_loop(self) -> None:
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
                await self._announcer.request("PUT", path, body=msgspec.msgpack.encode(body))
            except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError):
                pass  # The next heartbeat serves as the retry.
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _handle(self, connection: HttpConnection, request: h11.Request) -> None:
        await read_body(connection, BODY_LIMIT_BYTES)
        name = (b"x-instance-id", self.options.name.encode())
        if request.target == b"/healthz":
            send_response(connection, 200, [name], b"")
            return
        self.runs += 1
        sample = self._rng.random()
        is_slow = sample < self.options.slow_ratio
        await asyncio.sleep(self.options.work * (self.options.slow_factor if is_slow else 1.0))
        call_id = header(request.headers, b"x-request-id") or b""
        headers = [(b"x-request-id", call_id), SIGNATURE_HEADER, name]
        status = 500 if sample < self.options.failure_ratio else 200
        send_response(connection, status, headers, b"{}")
