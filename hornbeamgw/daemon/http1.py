"""HTTP/1.1 client and server connections, based on h11."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import NamedTuple, Protocol, cast

import h11

from hornbeamgw.core import silence
from hornbeamgw.core.options import split_address
from hornbeamgw.core.silence import Belief, Doubts, Limits, Signs
from hornbeamgw.daemon.silence import Kind, connection_counts, report_silent

MAX_HEAD_BYTES = 16 * 1024
MAX_UNREAD_BYTES = 256 * 1024
# Events that are returned one after the other before other tasks of the event loop may run.
MAX_EVENTS_AT_ONCE = 64
# Interim responses, which a server may send without end, before the response of a client's request.
MAX_INTERIM_RESPONSES = 16
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# A response whose body keeps arriving may take up to this multiple of the timeout in total. 1 MB
# takes 2.7 s at 3 Mbit/s.
SLOW_BODY_FACTOR = 4
# Idle connections of a client are trusted for a while, and then closed when the next one is needed.
CLIENT_LIMITS = Limits(trusted_s=2.5, answer_s=math.inf)
# Number of times that an unread write buffer is looked at before the connection is aborted.
STALL_CHECKS = 5
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

PHRASES_BY_STATUS = {status.value: status.phrase.encode() for status in HTTPStatus}

Headers = list[tuple[bytes, bytes]]
Event = h11.Event | type[h11.PAUSED]


class ConnectionLost(Exception):
    """The peer closed or reset a connection."""


class Pipeline(Protocol):
    """Takes the input of a connection while requests behind the first one are unanswered."""

    def receive_data(self, data: bytes) -> None:
        """Take received bytes."""

    def connection_lost(self) -> None:
        """Cancel the requests, because the caller is gone."""

    def pause_writing(self) -> None:
        """Stop writing to the connection."""

    def resume_writing(self) -> None:
        """Continue writing to the connection."""

    async def finish(self, timeout: float) -> bool:
        """Answer the requests behind the first one; return whether the connection stays open."""


class HttpConnection(asyncio.Protocol):
    """HTTP/1.1 connection with an awaitable stream of h11 events.

    Attributes
    ----------
    request : h11.Request or None
        Latest request that was received.
    on_pipelined : callable or None
        Called when bytes have arrived behind a complete request.
    pipeline : Pipeline or None
        Takes the input while requests behind the first one are unanswered.
    arrived_at : float or None
        Loop time in seconds at which the request's head was received; None if it is handled then.
    received_bytes : int
        Bytes that have arrived.
    requests_ahead, started_behind : int
        Number of unanswered requests ahead of the request when it arrived, and of those behind it
        that have started.
    """

    def __init__(
        self,
        role: type[h11.SERVER] | type[h11.CLIENT],
        on_open: Callable[[HttpConnection], None] | None = None,
    ) -> None:
        """Initialise in the role of a server or client; `on_open` is called once connected."""
        self.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self.method = b""
        self.request: h11.Request | None = None
        self.on_lost: Callable[[], None] | None = None
        self.on_pipelined: Callable[[], None] | None = None
        self.pipeline: Pipeline | None = None
        self.arrived_at: float | None = None
        self.requests_ahead = 0
        self.started_behind = 0
        self._on_open = on_open
        self._input_waiter: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self.received_bytes = 0
        # Called when bytes arrive that nobody waits for.
        self.on_stray_input: Callable[[], None] | None = None
        self._unread_bytes = 0
        self._events_at_once = 0
        self._paused = False
        self._discards_input = False
        # Time (s) after which the connection is aborted if the peer takes nothing of what is sent.
        self.max_stall = math.inf
        self._signs = Signs(0.0)
        self._stall_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and call `on_open`."""
        self.transport = cast(asyncio.Transport, transport)
        self._signs = Signs(asyncio.get_running_loop().time())
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to h11; pause reading if too many are unread."""
        self.received_bytes += len(data)
        if self._discards_input:
            return
        if self.on_stray_input is not None:
            self.on_stray_input()
            return
        if self.pipeline is not None:
            self.pipeline.receive_data(data)
            return
        self.http.receive_data(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES:
            self.pause_reading()
        if self.on_pipelined is not None and self.http.their_state is h11.DONE:
            self.on_pipelined()
        self._wake()

    def eof_received(self) -> bool:
        """Pass the end of input to h11, unless the connection was reset.

        libuv reports a reset that arrives together with the last bytes as a regular end of input.
        A response without a content length would then be taken for complete.
        """
        if self._was_reset():
            self.connection_lost(ConnectionResetError())
            return False
        self.http.receive_data(b"")
        self._wake()
        self._notify_lost()
        return False

    def _was_reset(self) -> bool:
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        return sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def connection_lost(self, error: Exception | None) -> None:
        """Mark the connection as lost and wake all waiters."""
        self.lost = True
        self._wake()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._notify_lost()

    def _notify_lost(self) -> None:
        if self.on_lost is not None:
            self.on_lost()
        if self.pipeline is not None:
            self.pipeline.connection_lost()

    @property
    def is_write_paused(self) -> bool:
        """Return whether the write buffer is full."""
        return self._writable is not None

    def pause_writing(self) -> None:
        """Make `drain` wait."""
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()
        if self._stall_timer is None and self.max_stall < math.inf:
            silence.note_sent(self._signs, asyncio.get_running_loop().time())
            self._check_stall(self.unsent_bytes(), asyncio.get_running_loop().time())
        if self.pipeline is not None:
            self.pipeline.pause_writing()

    def resume_writing(self) -> None:
        """Let `drain` return."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
        if self.pipeline is not None:
            self.pipeline.resume_writing()

    def _check_stall(self, unsent_before: int, due: float) -> None:
        """Abort the connection once nothing has been taken of its write buffer for too long.

        `due` is the time (s) at which this was to be called.
        """
        loop = asyncio.get_running_loop()
        now, unsent = loop.time(), self.unsent_bytes()
        self._stall_timer = None
        if not unsent:
            silence.note_heard(self._signs, now)
            return
        if silence.has_stalled(due, now):
            silence.exclude_pause(self._signs, now - due, now)
        if unsent < unsent_before:
            silence.note_progress(self._signs, now)
        if silence.overdue(self._signs, now) >= self.max_stall:
            peer = self.transport.get_extra_info("peername") if self.transport is not None else None
            name = f"{peer[0]}:{peer[1]}" if peer else ""
            sent = f"{unsent} bytes not taken"
            report_silent(Kind.CALLER, name, self._signs, sent, "closed", now)
            self.abort()
            return
        due = now + self.max_stall / STALL_CHECKS
        self._stall_timer = loop.call_at(due, self._check_stall, unsent, due)

    def _wake(self) -> None:
        if self._input_waiter is not None and not self._input_waiter.done():
            self._input_waiter.set_result(None)

    def poll(self) -> Event | None:
        """Return the next event, or None if more input is needed.

        Raise h11.RemoteProtocolError if the received bytes are invalid.
        """
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            self._unread_bytes = 0
            self.resume_reading()
            return None
        if (
            self.on_pipelined is not None
            and type(event) is h11.EndOfMessage
            and self.http.their_state is h11.DONE
            and self.has_input()
        ):
            self.on_pipelined()
        return event  # type: ignore[return-value]

    async def next_event(self) -> Event:
        """Wait for the next event.

        Raise ConnectionLost if the connection is lost, or h11.RemoteProtocolError if the received
        bytes are invalid.
        """
        while True:
            if self._events_at_once >= MAX_EVENTS_AT_ONCE:
                self._events_at_once = 0
                await asyncio.sleep(0)
            event = self.poll()
            if event is not None:
                self._events_at_once += 1
                return event
            self._events_at_once = 0
            await self.wait_input()

    async def wait_input(self) -> None:
        """Wait for input; raise ConnectionLost if the connection is lost."""
        if self.lost:
            raise ConnectionLost
        self._input_waiter = asyncio.get_running_loop().create_future()
        await self._input_waiter

    def expect_another_response(self, *sent: h11.Event) -> None:
        """Expect a further response to the request `sent`, after a response to another request."""
        rest, closed = self.http.trailing_data
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        for event in sent:
            self.http.send(event)
        if rest:
            self.http.receive_data(rest)
        if closed:
            self.http.receive_data(b"")

    def has_input(self) -> bool:
        """Return whether bytes of an unfinished message have arrived."""
        return bool(self.http.trailing_data[0])

    def pause_reading(self) -> None:
        """Receive no more data for now."""
        if not self._paused and self.transport is not None:
            self._paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Receive data again."""
        if self._paused and self.transport is not None and not self.lost:
            self._paused = False
            self.transport.resume_reading()

    def take_input(self) -> bytes:
        """Return the bytes received behind a complete request; continue reading."""
        self._unread_bytes = 0
        self.resume_reading()
        return self.http.trailing_data[0]

    def start_anew(self, data: bytes) -> None:
        """Expect a request that begins with `data`."""
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.pipeline = None
        self.started_behind = 0
        if data:
            self.data_received(data)

    def is_request_unread(self) -> bool:
        """Return whether a request that is refused has a body that has not been read.

        The end of a request without a body is read here if it is still to be read.
        """
        if self.http.their_state is not h11.SEND_BODY:
            return False
        try:
            return type(self.poll()) is not h11.EndOfMessage
        except h11.RemoteProtocolError:
            return True

    def send(self, *events: h11.Event) -> None:
        """Send events with a single write; raise ConnectionLost if the connection is lost."""
        if self.lost or self.transport is None or self.transport.is_closing():
            raise ConnectionLost
        self.transport.write(b"".join(self.http.send(event) or b"" for event in events))

    async def drain(self) -> None:
        """Wait until the write buffer has room; raise ConnectionLost if the connection is lost."""
        if self._writable is not None:
            await self._writable
        if self.lost:
            raise ConnectionLost

    def unsent_bytes(self) -> int:
        """Return the number of bytes in the write buffer."""
        if self.transport is None or self.lost:
            return 0
        return self.transport.get_write_buffer_size()

    async def linger(self, timeout: float) -> None:
        """Half-close and discard input until the peer closes, for up to `timeout` seconds.

        Closing a connection with unread input resets it, and the peer may lose the response.
        """
        if self.transport is None or self.lost or self.transport.is_closing():
            return
        self._discards_input = True
        if self._paused:
            self.transport.resume_reading()
        self.transport.write_eof()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while not self.lost:
                    await self.wait_input()

    def half_close(self) -> None:
        """Tell the peer that nothing more will be sent; its answer can still be received."""
        if self.transport is not None and not self.lost and not self.transport.is_closing():
            self.transport.write_eof()

    def close(self) -> None:
        """Close the connection after sending all written bytes."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, so that the peer sees a failure."""
        if self.transport is not None:
            self.transport.abort()


def response_head(status: int, headers: Headers) -> h11.Response:
    """Return the head of a response, with the standard reason phrase of its status."""
    phrase = PHRASES_BY_STATUS.get(status, b"")
    return h11.Response(status_code=status, headers=headers, reason=phrase)


async def dial(address: str) -> HttpConnection:
    """Open a client connection; raise OSError if it fails."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(lambda: HttpConnection(h11.CLIENT), host, port)
    return connection


def normalise_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return headers as a list of pairs with lower-case names.

    Iterating over a list is much faster than over the headers of h11, which build each pair on
    access.
    """
    if isinstance(headers, list):
        return headers
    raw_items = getattr(headers, "raw_items", None)
    if raw_items is None:
        return list(headers)
    return [(name.lower(), value) for name, value in raw_items()]


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that a proxy forwards: all but hop-by-hop headers."""
    normalised = normalise_headers(headers)
    connection_options: set[bytes] = set()
    for name, value in normalised:
        if name == b"connection":
            connection_options |= {token.strip().lower() for token in value.split(b",")}
    return [h for h in normalised if h[0] not in HOP_BY_HOP and h[0] not in connection_options]


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, given its name in lower case."""
    for key, value in normalise_headers(headers):
        if key == name:
            return value
    return None


class Response(NamedTuple):
    """Complete response."""

    status: int
    headers: Headers
    body: bytes


async def _exchange(
    connection: HttpConnection,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    on_part: Callable[[], None],
    max_bytes: int,
) -> Response:
    framing = [(b"content-length", str(len(body)).encode())]
    request = h11.Request(method=method, target=target, headers=[*headers, *framing])
    events: list[h11.Event] = [request]
    if body:
        events.append(h11.Data(data=body))
    connection.send(*events, h11.EndOfMessage())
    chunks: list[bytes] = []
    status, reply_headers, interim = 0, Headers(), 0
    received_before = connection.received_bytes
    while True:
        event = await connection.next_event()
        if isinstance(event, h11.Response):
            status, reply_headers = event.status_code, normalise_headers(event.headers)
        elif isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > MAX_INTERIM_RESPONSES:
                raise h11.RemoteProtocolError("too many interim responses")
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
            on_part()
            if connection.received_bytes - received_before > max_bytes:
                raise h11.RemoteProtocolError(f"a response of over {max_bytes} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return Response(status, reply_headers, b"".join(chunks))
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionLost


class HttpClient:
    """Client of one server with a pool of persistent connections.

    When one of them that has worked before gives no answer in time, those that are idle then are
    not used again. A server that is slow to answer on new connections throws no doubt on others.
    """

    def __init__(
        self,
        address: str,
        timeout: float,
        max_bytes: int = MAX_RESPONSE_BYTES,
        kind: Kind = Kind.STORE,
    ) -> None:
        """Initialise with the server's address and the default timeout in seconds.

        Longer responses than `max_bytes` are refused. The connections are reported as of `kind`.
        """
        self.address = address
        self.timeout = timeout
        self._max_bytes = max_bytes
        self._kind = kind
        self._idle: list[HttpConnection] = []
        self._signs_by_connection: dict[HttpConnection, Signs] = {}
        self._doubts = Doubts()

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout: float | None = None,
    ) -> Response:
        """Send a request and return the response.

        The timeout in seconds applies to the first part of the response body, and the default
        timeout to each further part.

        Raise OSError, TimeoutError, ConnectionLost or h11.ProtocolError.
        """
        loop = asyncio.get_running_loop()
        latest_end = loop.time() + SLOW_BODY_FACTOR * self.timeout
        async with asyncio.timeout(self.timeout if timeout is None else timeout) as limit:

            def on_part() -> None:
                due = min(latest_end, loop.time() + self.timeout)
                limit.reschedule(max(due, limit.when() or due))

            connection = await self._acquire()
            signs = self._signs_by_connection.pop(connection, None) or Signs(loop.time())
            is_reused, received_before = signs.heard_at > signs.opened_at, connection.received_bytes
            silence.note_sent(signs, loop.time())
            try:
                request_headers = list(headers or [])
                if header(request_headers, b"host") is None:
                    request_headers.insert(0, (b"host", self.address.encode()))
                response = await _exchange(
                    connection, method, target, request_headers, body, on_part, self._max_bytes
                )
            except BaseException:
                now = loop.time()
                has_expired = limit.expired() and not silence.has_stalled(limit.when() or now, now)
                if is_reused and has_expired and connection.received_bytes == received_before:
                    self._on_silent(signs, f"{method} {target}", now)
                connection.abort()
                raise
        silence.note_heard(signs, loop.time())
        self._release(connection, signs)
        return response

    def _on_silent(self, signs: Signs, sent: str, now: float) -> None:
        silence.note_silent(self._doubts, now)
        report_silent(self._kind, self.address, signs, sent, "closed", now)

    async def _acquire(self) -> HttpConnection:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if (
                not connection.lost
                and self._is_trusted(connection, now)
                and connection.poll() is None
            ):
                return connection
            self._signs_by_connection.pop(connection, None)
            connection.close()
        connection_counts[f"{self._kind}.dialled"] += 1
        return await dial(self.address)

    def _is_trusted(self, connection: HttpConnection, now: float) -> bool:
        signs = self._signs_by_connection[connection]
        return silence.belief(signs, self._doubts, CLIENT_LIMITS, now) is Belief.TRUSTED

    def _release(self, connection: HttpConnection, signs: Signs) -> None:
        if connection.http.our_state is h11.DONE and connection.http.their_state is h11.DONE:
            connection.http.start_next_cycle()
            self._idle.append(connection)
            self._signs_by_connection[connection] = signs
        else:
            connection.close()

    def close(self) -> None:
        """Close the pooled connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
        self._signs_by_connection.clear()
