"""Stand-in backend server: counts what it ran by request id, announces itself, and drains."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec

from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, HttpConnection, header
from hornbeamgw.daemon.http_server import (
    HttpServer,
    Timeouts,
    json_response,
    read_body,
    send_response,
)

log = logging.getLogger(__name__)

BODY_LIMIT = 512 * 1024 * 1024
PART = 64 * 1024
RENEW_EVERY_S = 1.0
ANNOUNCE_TTL_MS = 5000
ANNOUNCE_TIMEOUT_S = 2.0
REQUEST_ID = b"x-request-id"


class BackendOptions(NamedTuple):
    """Hold what a stand-in backend server is like; times in seconds.

    It falls under any request with a certain body, and starts again some time later.
    """

    service: str
    slots: int
    connections: int
    daemon_admin: str
    work: float = 0.002
    cold_start: float = 0.0
    announced: str = ""
    falls_under: bytes = b""
    falls_after: float = 0.02
    restart: float = 0.2


class StandInBackend:
    """Serve requests and keep the record that tests count by."""

    def __init__(self, options: BackendOptions) -> None:
        """Take what the server is like."""
        self.options = options
        self.address = ""
        self.state = "starting" if options.cold_start else "serving"
        self.runs_by_id: Counter[str] = Counter()
        self.finished_by_id: Counter[str] = Counter()
        self.broken_ids: list[str] = []
        self.worked_by_id: dict[str, list[tuple[float, float]]] = {}
        self.after_drain: list[str] = []
        self.running = 0
        self.peak = 0
        self.fallen_at: list[float] = []
        self.runs_by_body: Counter[bytes] = Counter()
        self._restart: asyncio.Task[None] | None = None
        self._announcer = HttpClient(options.daemon_admin, ANNOUNCE_TIMEOUT_S)
        self._server = HttpServer(self._handle, Timeouts())

    async def start(self) -> str:
        """Listen on loopback, announce, and go on renewing; return the address."""
        self.address = await self._server.start("127.0.0.1:0")
        self._renewal = asyncio.create_task(self._announce_loop())
        return self.address

    async def _announce_loop(self) -> None:
        loop = asyncio.get_running_loop()
        warm_at = loop.time() + self.options.cold_start
        while True:
            if self.state == "starting" and loop.time() >= warm_at:
                self.state = "serving"
            await self._announce()
            await asyncio.sleep(RENEW_EVERY_S)

    async def _announce(self) -> None:
        document = {
            "service": self.options.service,
            "address": self.options.announced or self.address,
            "slots": self.options.slots,
            "connections": self.options.connections,
            "state": self.state,
            "ttl_ms": ANNOUNCE_TTL_MS,
        }
        try:
            body = msgspec.json.encode(document)
            await self._announcer.request("PUT", "/announce", body=body)
        except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError) as error:
            log.info("announcement not taken", extra={"error": str(error)})

    def close(self) -> None:
        """Stop at once, as a server that dies."""
        if self._restart is not None:
            self._restart.cancel()
        self._renewal.cancel()
        self._server.stop_accepting()
        self._server.abort()
        self._announcer.close()

    def fall(self) -> None:
        """End as a process that crashes, and start again at the same address after a time."""
        if self._restart is not None:
            return
        self.fallen_at.append(asyncio.get_running_loop().time())
        self._renewal.cancel()
        self._restart = asyncio.create_task(self._start_again())
        self._server.stop_accepting()
        self._server.abort()

    async def _start_again(self) -> None:
        await asyncio.sleep(self.options.restart)
        self._server = HttpServer(self._handle, Timeouts())
        await self._server.start(self.address)
        self._restart = None
        self._renewal = asyncio.create_task(self._announce_loop())

    async def drain(self) -> None:
        """Announce that this server leaves, and wait for what runs."""
        self.state = "draining"
        await self._announce()
        while self.running:
            await asyncio.sleep(0.01)

    async def _handle(self, connection: HttpConnection, request: h11.Request) -> None:
        url = urlsplit(request.target.decode("latin-1"))
        if url.path.startswith("/control/"):
            await self._control(connection, url.path)
            return
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        request_id = (header(request.headers, REQUEST_ID) or b"").decode("latin-1")
        self.runs_by_id[request_id] += 1
        self.running += 1
        self.peak = max(self.peak, self.running)
        if self.state == "draining":
            self.after_drain.append(request_id)
        try:
            await self._work(connection, query, request_id)
            self.finished_by_id[request_id] += 1
        except (ConnectionLost, asyncio.CancelledError, h11.ProtocolError):
            self.broken_ids.append(request_id)
            raise
        finally:
            self.running -= 1

    async def _work(
        self, connection: HttpConnection, query: dict[str, str], request_id: str
    ) -> None:
        started = time.monotonic()
        try:
            body = await read_body(connection, BODY_LIMIT)
            self.runs_by_body[body] += 1
            if body and body == self.options.falls_under:
                await asyncio.sleep(self.options.falls_after)
                self.fall()
                # A connection that was being accepted as the server fell is not broken with it.
                connection.abort()
                raise ConnectionLost
            work = float(query.get("work_ms", self.options.work * 1000)) / 1000
            if work:
                await asyncio.sleep(work)
        finally:
            self.worked_by_id.setdefault(request_id, []).append((started, time.monotonic()))
        if connection.lost:
            raise ConnectionLost
        size = int(query.get("size", "0"))
        if size:
            await _send_large(connection, size, request_id, "chunked" in query)
            return
        document = {"request_id": request_id, "received": len(body)}
        json_response(connection, 200, document)

    async def _control(self, connection: HttpConnection, path: str) -> None:
        await read_body(connection, BODY_LIMIT)
        if path == "/control/drain":
            await self.drain()
        json_response(connection, 200, self.report())

    def report(self) -> dict[str, Any]:
        """Return what ran here, by request id, and when it was worked on (monotonic s)."""
        return {
            "service": self.options.service,
            "runs": self.runs_by_id,
            "finished": self.finished_by_id,
            "broken": self.broken_ids,
            "worked": self.worked_by_id,
            "after_drain": self.after_drain,
            "peak": self.peak,
            "running": self.running,
        }


async def _send_large(
    connection: HttpConnection, size: int, request_id: str, chunked: bool
) -> None:
    framing = (b"content-length", str(size).encode())
    if chunked:
        framing = (b"transfer-encoding", b"chunked")
    headers = [framing, (REQUEST_ID, request_id.encode())]
    if size <= PART and not chunked:
        send_response(connection, 200, [(REQUEST_ID, request_id.encode())], b"x" * size)
        return
    connection.send(h11.Response(status_code=200, headers=headers))
    part = b"x" * PART
    while size > 0:
        connection.send(h11.Data(data=part[:size]))
        size -= PART
        await connection.drain()
    connection.send(h11.EndOfMessage())
