"""HTTP server: handles the requests of each connection in sequence and refuses invalid ones."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, NamedTuple

import h11
import msgspec

from hornbeamgw.core.options import split_address
from hornbeamgw.daemon.http1 import (
    MAX_HEAD_BYTES,
    ConnectionLost,
    Headers,
    HttpConnection,
    normalise_headers,
    response_head,
)

log = logging.getLogger(__name__)

OnRequest = Callable[[HttpConnection, h11.Request], Awaitable[None]]
HTTP_VERSIONS = (b"1.0", b"1.1")
# Time for a caller to read a response that was sent before its request was read completely.
LINGER_TIMEOUT_S = 2.0
MAX_ADMIN_BODY_BYTES = 8 * 1024 * 1024


class Timeouts(NamedTuple):
    """Maximum times in seconds of the parts of an exchange with a caller.

    Attributes
    ----------
    head_s : float
        To receive a request head.
    idle_s : float
        To keep an idle connection open.
    stall_s : float
        To wait until the caller takes more of an answer, or sends more of a body that is read as a
        whole. No answer lasts so long past its deadline (server_exchange.ANSWER_GRACE_S).
    """

    head_s: float = 5.0
    idle_s: float = 60.0
    stall_s: float = 15.0


class BadRequest(Exception):
    """A request is refused; the message is sent to the caller."""

    def __init__(self, status: int, reason: str) -> None:
        """Initialise with the status code of the response and a message."""
        super().__init__(reason)
        self.status = status


def send_response(
    connection: HttpConnection, status: int, headers: Headers, body: bytes, close: bool = False
) -> None:
    """Send a complete response; raise ConnectionLost if the connection is lost."""
    framed_headers = [*headers, (b"content-length", str(len(body)).encode())]
    if close:
        framed_headers.append((b"connection", b"close"))
    events: list[h11.Event] = [response_head(status, framed_headers)]
    if body and connection.method != b"HEAD":
        events.append(h11.Data(data=body))
    connection.send(*events, h11.EndOfMessage())


async def read_body(connection: HttpConnection, limit: int) -> bytes:
    """Return the body of a request; raise BadRequest if it exceeds `limit` bytes or stalls."""
    chunks: list[bytes] = []
    size = 0
    while True:
        event = await _next_part(connection)
        if isinstance(event, h11.EndOfMessage):
            return b"".join(chunks)
        if isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
            size += len(event.data)
        if size > limit:
            raise BadRequest(413, f"body over {limit} bytes")


async def _next_part(connection: HttpConnection) -> Any:
    """Wait for the next event of a body; raise BadRequest if the caller sends nothing for long."""
    if connection.max_stall == math.inf:
        return await connection.next_event()
    try:
        async with asyncio.timeout(connection.max_stall):
            return await connection.next_event()
    except TimeoutError:
        raise BadRequest(408, "the request's body did not arrive in time") from None


def check_request(connection: HttpConnection, request: h11.Request) -> None:
    """Store the request that is answered next; raise BadRequest if its head is not accepted."""
    connection.method = request.method
    connection.request = request
    size = len(request.target) + sum(
        len(name) + len(value) for name, value in normalise_headers(request.headers)
    )
    if size > MAX_HEAD_BYTES:
        raise BadRequest(431, f"a head of {size} bytes, expected {MAX_HEAD_BYTES} at most")
    if request.http_version not in HTTP_VERSIONS:
        version = request.http_version.decode()
        raise BadRequest(505, f"HTTP/{version}: expected HTTP/1.0 or HTTP/1.1")


async def _next_request(connection: HttpConnection, timeouts: Timeouts) -> h11.Request | None:
    event = connection.poll()
    if event is None and not connection.has_input():
        async with asyncio.timeout(timeouts.idle_s):
            event = await _first_input(connection)
    if event is None:
        try:
            async with asyncio.timeout(timeouts.head_s):
                event = await connection.next_event()
        except TimeoutError:
            raise BadRequest(408, "the request's head did not arrive in time") from None
    if not isinstance(event, h11.Request):
        return None
    check_request(connection, event)
    return event


async def _first_input(connection: HttpConnection) -> Any:
    while True:
        event = connection.poll()
        if event is not None or connection.has_input():
            return event
        await connection.wait_input()


def _refuse(connection: HttpConnection, status: int, reason: str) -> None:
    if connection.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        connection.abort()
        return
    try:
        headers = [(b"content-type", b"application/json"), (b"hornbeamgw-verdict", b"not_run")]
        body = msgspec.json.encode(
            {"verdict": "not_run", "reason": "bad_request", "detail": reason}
        )
        send_response(connection, status, headers, body, close=True)
    except (ConnectionLost, h11.LocalProtocolError):
        pass


async def run_connection(
    connection: HttpConnection, on_request: OnRequest, timeouts: Timeouts
) -> None:
    """Handle requests until either side closes; refuse a malformed request and then close."""
    await guard(connection, _handle_requests(connection, on_request, timeouts))


async def _handle_requests(
    connection: HttpConnection, on_request: OnRequest, timeouts: Timeouts
) -> None:
    while True:
        request = await _next_request(connection, timeouts)
        if request is None:
            break
        await on_request(connection, request)
        if connection.http.their_state is h11.SEND_BODY:
            await connection.linger(LINGER_TIMEOUT_S)
        if connection.pipeline is not None:
            if not await connection.pipeline.finish(LINGER_TIMEOUT_S):
                break
            continue
        if connection.http.our_state is not h11.DONE:
            break
        if connection.http.their_state is not h11.DONE:
            break
        connection.http.start_next_cycle()


async def guard(connection: HttpConnection, handling: Awaitable[None]) -> None:
    """Await the handling of requests, refuse an invalid one, and close the connection."""
    try:
        await handling
    except h11.RemoteProtocolError as error:
        # The rest of the text quotes what was received, which may be a caller's key.
        _refuse(connection, error.error_status_hint, str(error).partition(": ")[0])
    except BadRequest as error:
        _refuse(connection, error.status, str(error))
        if connection.http.their_state is h11.SEND_BODY:
            await connection.linger(LINGER_TIMEOUT_S)
    except (ConnectionLost, TimeoutError, h11.LocalProtocolError):
        pass
    except Exception:
        log.exception("request handler failed; aborting the connection")
        connection.abort()
    finally:
        if connection.pipeline is not None:
            connection.pipeline.connection_lost()
        connection.close()


class Pipelining(NamedTuple):
    """How the connections of a server handle pipelined requests.

    Attributes
    ----------
    on_request : callable
        Handles a request.
    is_idempotent : callable
        Returns whether a request may run more than once.
    is_stopping : callable
        Returns whether no further requests are to start.
    """

    on_request: OnRequest
    is_idempotent: Callable[[h11.Request], bool]
    is_stopping: Callable[[], bool]

    def prepare(self, connection: HttpConnection) -> None:
        """Start a pipeline for a connection as soon as it has input behind a request."""
        connection.on_pipelined = partial(self._start, connection)

    def _start(self, connection: HttpConnection) -> None:
        # Loaded when it is needed, as many daemons never receive a pipelined request.
        from hornbeamgw.daemon.pipelining.pipeline import start

        start(connection, self)


class HttpServer:
    """HTTP server that runs a task per connection."""

    def __init__(
        self,
        on_request: OnRequest,
        timeouts: Timeouts,
        pipelining: Pipelining | None = None,
    ) -> None:
        """Initialise; without `pipelining`, pipelined requests are handled one after another."""
        self._on_request = on_request
        self._timeouts = timeouts
        self._pipelining = pipelining
        self._server: asyncio.Server | None = None
        self.connections: dict[HttpConnection, asyncio.Task[None]] = {}
        self._unsent: set[HttpConnection] = set()

    async def start(self, address: str) -> str:
        """Start to listen and return the bound address; raise OSError on failure."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpConnection(h11.SERVER, self._on_open), host, port, backlog=1024
        )
        name = self._server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    def _on_open(self, connection: HttpConnection) -> None:
        connection.max_stall = self._timeouts.stall_s
        if self._pipelining is not None:
            self._pipelining.prepare(connection)
        task = asyncio.create_task(run_connection(connection, self._on_request, self._timeouts))
        self.connections[connection] = task
        task.add_done_callback(lambda _: self._on_done(connection))

    def _on_done(self, connection: HttpConnection) -> None:
        self.connections.pop(connection, None)
        if connection.unsent_bytes():
            self._unsent.add(connection)

    def unsent_bytes(self) -> int:
        """Return the number of response bytes in write buffers."""
        self._unsent = {connection for connection in self._unsent if connection.unsent_bytes()}
        return sum(connection.unsent_bytes() for connection in (*self._unsent, *self.connections))

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections remain."""
        if self._server is not None:
            self._server.close()

    def close_idle(self, with_input: bool = False) -> None:
        """Close connections without a request in progress.

        With `with_input`, close also those that have received part of a request head.
        """
        for connection in list(self.connections):
            if connection.http.our_state is h11.IDLE and (with_input or not connection.has_input()):
                connection.close()

    def abort(self) -> None:
        """Cancel the tasks of all connections and close them at once."""
        for connection, task in list(self.connections.items()):
            task.cancel()
            connection.abort()


def json_response(connection: HttpConnection, status: int, value: Any) -> None:
    """Send a response with a JSON body; raise ConnectionLost if the connection is lost."""
    body = msgspec.json.encode(value)
    send_response(connection, status, [(b"content-type", b"application/json")], body)
