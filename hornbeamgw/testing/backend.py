"""Stand-in backend server: announces itself, serves requests and records what it ran."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec

from hornbeamgw.daemon.http1 import ConnectionLost, Headers, HttpClient, HttpConnection, header
from hornbeamgw.daemon.http_server import (
    HttpServer,
    Timeouts,
    json_response,
    read_body,
    send_response,
)
from hornbeamgw.testing.declaring import Declaring
from hornbeamgw.testing.room import OnClose, Room

log = logging.getLogger(__name__)

BODY_LIMIT_BYTES = 512 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
RENEW_INTERVAL_S = 1.0
ANNOUNCE_TTL_MS = 5000
ANNOUNCE_TIMEOUT_S = 2.0
REQUEST_ID_HEADER = b"x-request-id"
FULL_STATUS = 503
HEALTH_PATH = "/healthz"


class BackendOptions(NamedTuple):
    """Parameters of a stand-in backend server; times are in seconds.

    A request whose body equals `crash_body` crashes the server after `crash_delay`; the server
    restarts after `restart_delay`. A server with an `instance` name announces itself by it, and by
    another one after each restart. It works on all its requests at once unless the length of its
    `queue` is given: it then refuses requests that find its slots and its queue full.
    """

    service: str
    slots: int
    connections: int
    daemon_admin: str
    work: float = 0.002
    cold_start: float = 0.0
    announced: str = ""
    crash_body: bytes = b""
    crash_delay: float = 0.02
    restart_delay: float = 0.2
    instance: str = ""
    queue: int | None = None
    on_close: OnClose = OnClose.WORK


class StandInBackend:
    """A backend server that records its requests for tests."""

    def __init__(self, options: BackendOptions) -> None:
        """Create a server that is not yet listening."""
        self.options = options
        self.address = ""
        self.state = "starting" if options.cold_start else "serving"
        self.runs_by_id: Counter[str] = Counter()
        self.finished_by_id: Counter[str] = Counter()
        self.broken_ids: list[str] = []
        self.headers_by_id: dict[str, list[tuple[bytes, bytes]]] = {}
        self.work_intervals_by_id: dict[str, list[tuple[float, float]]] = {}
        self.ids_after_drain: list[str] = []
        self.room = Room(options.slots, options.queue)
        self.crash_times: list[float] = []
        self.runs_by_body: Counter[bytes] = Counter()
        self.declaring = Declaring()
        self._starts = 1
        self._ended: set[HttpConnection] = set()
        self._leave_task: asyncio.Task[None] | None = None
        self._restart_task: asyncio.Task[None] | None = None
        self._announcer = HttpClient(options.daemon_admin, ANNOUNCE_TIMEOUT_S)
        self._server = HttpServer(self._handle, Timeouts())

    @property
    def running(self) -> int:
        """Return the number of requests that are at work or waiting."""
        return self.room.running

    async def start(self) -> str:
        """Listen on loopback, start announcing, and return the address."""
        self.address = await self._server.start("127.0.0.1:0")
        self._announce_task = asyncio.create_task(self._announce_loop())
        return self.address

    async def _announce_loop(self) -> None:
        loop = asyncio.get_running_loop()
        warm_at = loop.time() + self.options.cold_start
        while True:
            if self.state == "starting" and loop.time() >= warm_at:
                self.state = "serving"
            await self._announce()
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _announce(self) -> None:
        document = {
            "service": self.options.service,
            "address": self.options.announced or self.address,
            "slots": self.options.slots,
            "connections": self.options.connections,
            "state": self.state,
            "ttl_ms": ANNOUNCE_TTL_MS,
        }
        if self.options.instance:
            document["instance"] = f"{self.options.instance}-{self._starts}"
        try:
            body = msgspec.json.encode(document)
            await self._announcer.request("PUT", "/announce", body=body)
        except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError) as error:
            log.info(
                "announcement failed; retrying at the next renewal",
                extra={"error": str(error)},
            )

    def close(self) -> None:
        """Stop immediately, without draining."""
        for task in (self._restart_task, self._leave_task):
            if task is not None:
                task.cancel()
        self._announce_task.cancel()
        self._server.stop_accepting()
        self._server.abort()
        self._announcer.close()

    def crash(self) -> None:
        """Close all connections as a crashed process does, and restart at the same address."""
        if self._restart_task is not None:
            return
        self.crash_times.append(asyncio.get_running_loop().time())
        self._announce_task.cancel()
        self._restart_task = asyncio.create_task(self._restart_after_delay())
        self._server.stop_accepting()
        self._server.abort()

    async def _restart_after_delay(self) -> None:
        await asyncio.sleep(self.options.restart_delay)
        self._server = HttpServer(self._handle, Timeouts())
        await self._server.start(self.address)
        self._starts += 1
        self._restart_task = None
        self._announce_task = asyncio.create_task(self._announce_loop())

    def leave(self, seconds: float) -> None:
        """Say in answers that this run leaves, and be another run after a time (s)."""
        self.declaring.set_leaving(True)
        self._leave_task = asyncio.create_task(self._return_after(seconds))

    async def _return_after(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        while self.running:
            await asyncio.sleep(0.01)
        self._server.abort()
        self.declaring.set_leaving(False)
        self._starts += 1
        await self._announce()

    async def drain(self) -> None:
        """Announce the drain and wait for the running requests."""
        self.state = "draining"
        await self._announce()
        while self.running:
            await asyncio.sleep(0.01)

    async def _handle(self, connection: HttpConnection, request: h11.Request) -> None:
        url = urlsplit(request.target.decode("latin-1"))
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path.startswith("/control/"):
            await self._control(connection, url.path, query)
            return
        request_id = (header(request.headers, REQUEST_ID_HEADER) or b"").decode("latin-1")
        if url.path == HEALTH_PATH:
            await read_body(connection, BODY_LIMIT_BYTES)
            await self.room.check()
            json_response(connection, 200, {"state": self.state})
            return
        if not self.room.has_space():
            await read_body(connection, BODY_LIMIT_BYTES)
            json_response(connection, FULL_STATUS, {"error": "no slot and no place in the queue"})
            return
        self.runs_by_id[request_id] += 1
        self.headers_by_id[request_id] = list(request.headers)
        self.declaring.note_arrival(request_id, asyncio.get_running_loop().time())
        if self.state == "draining":
            self.ids_after_drain.append(request_id)
        self._react_to_close(connection)
        try:
            async with self.room.request():
                await self._serve(connection, query, request_id)
            self.finished_by_id[request_id] += 1
            if connection in self._ended:
                connection.close()
        except (ConnectionLost, asyncio.CancelledError, h11.ProtocolError):
            self.broken_ids.append(request_id)
            raise
        finally:
            connection.on_lost = None
            self._ended.discard(connection)

    def _react_to_close(self, connection: HttpConnection) -> None:
        task = asyncio.current_task()
        assert task is not None
        if self.options.on_close is OnClose.DROP:
            connection.on_lost = lambda: _cancel(task)
        elif self.options.on_close is OnClose.ANSWER:
            # Overrides the default, by which the transport closes when the peer does.
            connection.eof_received = lambda: self._note_end(connection)  # type: ignore[method-assign]

    def _note_end(self, connection: HttpConnection) -> bool:
        """Keep a connection that the daemon has closed open until its answer, if one is due."""
        self._ended.add(connection)
        return connection.http.our_state is h11.SEND_RESPONSE

    async def _serve(
        self, connection: HttpConnection, query: dict[str, str], request_id: str
    ) -> None:
        started = time.monotonic()
        try:
            body = await read_body(connection, BODY_LIMIT_BYTES)
            self.runs_by_body[body] += 1
            if body and body == self.options.crash_body:
                await asyncio.sleep(self.options.crash_delay)
                self.crash()
                # The crash does not abort a connection that is still being accepted.
                connection.abort()
                raise ConnectionLost
            work = float(query.get("work_ms", self.options.work * 1000)) / 1000
            if work:
                await asyncio.sleep(work)
        finally:
            self.work_intervals_by_id.setdefault(request_id, []).append((started, time.monotonic()))
        if connection.lost:
            raise ConnectionLost
        size = int(query.get("size", "0"))
        declared = self.declaring.headers(request_id, asyncio.get_running_loop().time())
        if size:
            await _send_body(connection, size, request_id, "chunked" in query, declared)
            return
        document = {"request_id": request_id, "received": len(body)}
        headers = [(b"content-type", b"application/json"), *declared]
        send_response(connection, 200, headers, msgspec.json.encode(document))

    async def _control(self, connection: HttpConnection, path: str, query: dict[str, str]) -> None:
        await read_body(connection, BODY_LIMIT_BYTES)
        if path == "/control/drain":
            await self.drain()
        elif path == "/control/limit":
            self.declaring.set_limit(float(query["per_s"]) if "per_s" in query else None)
        elif path == "/control/leave":
            self.leave(float(query["for_s"]))
        json_response(connection, 200, self.report())

    def report(self) -> dict[str, Any]:
        """Return the record of requests; work intervals are in seconds of the monotonic clock."""
        return {
            "service": self.options.service,
            "runs": self.runs_by_id,
            "finished": self.finished_by_id,
            "broken": self.broken_ids,
            "worked": self.work_intervals_by_id,
            "after_drain": self.ids_after_drain,
            "over_limit": self.declaring.over_limit,
            "limits_named": self.declaring.limits_named,
            "leavings": self.declaring.leavings,
            "peak": self.room.peak_running,
            "running": self.room.running,
            "over_room": self.room.over_room,
        }


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


async def _send_body(
    connection: HttpConnection, size: int, request_id: str, chunked: bool, declared: Headers
) -> None:
    framing = (b"content-length", str(size).encode())
    if chunked:
        framing = (b"transfer-encoding", b"chunked")
    named = [(REQUEST_ID_HEADER, request_id.encode()), *declared]
    headers = [framing, *named]
    if size <= CHUNK_BYTES and not chunked:
        send_response(connection, 200, named, b"x" * size)
        return
    connection.send(h11.Response(status_code=200, headers=headers))
    chunk = b"x" * CHUNK_BYTES
    while size > 0:
        connection.send(h11.Data(data=chunk[:size]))
        size -= CHUNK_BYTES
        await connection.drain()
    connection.send(h11.EndOfMessage())
