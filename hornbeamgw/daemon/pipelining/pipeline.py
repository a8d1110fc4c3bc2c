"""Pipeline: the requests behind the first unanswered one on a caller's connection.

The first request is handled on the connection itself. The pipeline exists from the arrival of input
behind it until all requests are answered, and takes the connection's input for that time.
"""

from __future__ import annotations

import asyncio
import struct
from collections import deque

import h11

from hornbeamgw.core import pipelining
from hornbeamgw.core.pipelining import RequestState
from hornbeamgw.daemon.http1 import MAX_UNREAD_BYTES, ConnectionLost, HttpConnection, header
from hornbeamgw.daemon.http_server import Pipelining, guard
from hornbeamgw.daemon.pipelining.exchange import Exchange

# h11 copies the input behind a request when its end is reached, so it gets little at once.
READ_CHUNK_BYTES = 4096
# The end of a connection is not reported while reading is paused, so its state is checked.
PAUSED_CHECK_INTERVAL_S = 0.2
# A stopping daemon waits this long for a caller to close after the last answer.
STOP_LINGER_TIMEOUT_S = 0.5
# States of a connection that the other side has closed or reset: TCP_CLOSE and TCP_CLOSE_WAIT.
CLOSED_TCP_STATES = (7, 8)
SOL_TCP, TCP_INFO = 6, 11


class RequestPipeline:
    """The pipelined requests of a connection, in the order of their arrival.

    The request whose message is incomplete takes the input. It is among the exchanges once its head
    is known.
    """

    def __init__(
        self, connection: HttpConnection, first: h11.Request, settings: Pipelining
    ) -> None:
        """Create a pipeline behind the request `first`, which is being handled."""
        self._connection = connection
        self._settings = settings
        self._first = RequestState(settings.is_idempotent(first), not _has_body(first), True)
        self._is_first_open = True
        self._exchanges: deque[Exchange] = deque()
        self._incomplete: Exchange | None = None
        self._unparsed = bytearray()
        self._is_last_read = False
        self._is_closed = False
        self._has_unread_input = False
        self._is_reading_paused = False
        self._changed: asyncio.Future[None] | None = None

    def receive_data(self, data: bytes) -> None:
        """Take received bytes; start the requests that may start now."""
        if self._is_closed:
            self._has_unread_input = True
            return
        self._unparsed += data
        self._advance()

    def connection_lost(self) -> None:
        """Cancel all requests."""
        self._close()

    def pause_writing(self) -> None:
        """Stop the answer that is being written."""
        front = self._written()
        if front is not None:
            front.pause_writing()

    def resume_writing(self) -> None:
        """Continue the answer that is being written, or begin the next one."""
        front = self._written()
        if front is not None:
            front.resume_writing()
        asyncio.get_running_loop().call_soon(self._advance)

    def _written(self) -> Exchange | None:
        front = self._exchanges[0] if self._exchanges else None
        return front if front is not None and front.ordered.is_released else None

    async def finish(self, timeout: float) -> bool:
        """Answer the requests behind the first one; return whether the connection stays open.

        A connection that is to be closed is read for up to `timeout` seconds, so that the caller
        gets the last answer.
        """
        self._is_first_open = False
        if _stays_open(self._connection):
            self._advance()
        else:
            self._close()
        while self._exchanges and not self._is_closed:
            self._changed = asyncio.get_running_loop().create_future()
            await self._changed
        if not self._is_closed and not self._connection.lost:
            # What is still scheduled to run here must not touch the connection any more.
            self._is_closed = True
            self._connection.resume_reading()
            self._connection.start_anew(self._take_input())
            return True
        if self._has_unread_input or self._take_input():
            is_stopping = self._settings.is_stopping()
            self._connection.resume_reading()
            await self._connection.linger(STOP_LINGER_TIMEOUT_S if is_stopping else timeout)
        return False

    def _take_input(self) -> bytes:
        begun = b"" if self._incomplete is None else self._incomplete.http.trailing_data[0]
        return begun + bytes(self._unparsed)

    def _advance(self) -> None:
        """Deliver, read and start what is possible now."""
        if self._is_closed:
            return
        self._deliver()
        if not self._is_closed:
            self._read()
            self._start_ready()
            self._update_reading()
        is_running = self._is_first_open or any(each.task for each in self._exchanges)
        if not is_running and self._settings.is_stopping():
            self._close()
        self._wake()

    def _wake(self) -> None:
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    def _deliver(self) -> None:
        """Write the answers whose turn has come, as far as the caller takes them."""
        while self._exchanges and not self._is_first_open:
            front = self._exchanges[0]
            if front.task is None:
                return
            if not front.ordered.is_released:
                if self._connection.is_write_paused:
                    return
                front.ordered.release()
            if not front.ended:
                return
            self._exchanges.popleft()
            if not _stays_open(front):
                self._close()
                return

    def _states(self) -> list[RequestState]:
        first = [self._first] if self._is_first_open else []
        return first + [each.state for each in self._exchanges]

    def _read(self) -> None:
        """Read requests from the input, up to the one that is incomplete."""
        now = asyncio.get_running_loop().time()
        while not self._is_last_read:
            exchange = self._incomplete
            if exchange is None:
                if not self._unparsed or not pipelining.may_read(self._states()):
                    return
                exchange = self._incomplete = Exchange(self._connection, self._on_read)
            is_new = not exchange.is_known
            if self._unparsed and exchange.unread_bytes <= MAX_UNREAD_BYTES and not exchange.whole:
                exchange.data_received(bytes(self._unparsed[:READ_CHUNK_BYTES]))
                del self._unparsed[:READ_CHUNK_BYTES]
            elif not exchange.whole:
                return
            if exchange.task is None:
                exchange.read_ahead(now)
            if is_new and exchange.is_known:
                self._append(exchange)
            if exchange.whole:
                self._unparsed[:0] = exchange.http.trailing_data[0]
                self._incomplete = None
                self._is_last_read = exchange.http.their_state is not h11.DONE

    def _on_read(self) -> None:
        """Continue reading after a handler has used the input of its request."""
        asyncio.get_running_loop().call_soon(self._advance)

    def _append(self, exchange: Exchange) -> None:
        exchange.requests_ahead = len(self._exchanges) + self._is_first_open
        if exchange.request is not None and exchange.error is None:
            exchange.idempotent = self._settings.is_idempotent(exchange.request)
        self._exchanges.append(exchange)

    def _start_ready(self) -> None:
        count = pipelining.may_start(self._states(), self._settings.is_stopping())
        waiting = [each for each in self._exchanges if each.task is None]
        for exchange in waiting[:count]:
            self._start(exchange)

    def _start(self, exchange: Exchange) -> None:
        if self._is_first_open:
            self._connection.started_behind += 1
        for earlier in self._exchanges:
            earlier.started_behind += earlier.task is not None
        exchange.started_whole = exchange.whole
        exchange.task = asyncio.create_task(guard(exchange, self._handle(exchange)))
        exchange.task.add_done_callback(lambda _: self._on_done(exchange))
        self._deliver()

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.lost:
            raise ConnectionLost
        if exchange.error is not None or exchange.request is None:
            raise exchange.error or ConnectionLost
        await self._settings.on_request(exchange, exchange.request)

    def _on_done(self, exchange: Exchange) -> None:
        exchange.ended = True
        self._advance()

    def _update_reading(self) -> None:
        """Pause reading while much input is unread."""
        unread = len(self._unparsed) + sum(
            each.unread_bytes for each in self._exchanges if each.task is None or not each.whole
        )
        if unread <= MAX_UNREAD_BYTES:
            self._is_reading_paused = False
            self._connection.resume_reading()
        elif not self._is_reading_paused:
            self._is_reading_paused = True
            self._connection.pause_reading()
            asyncio.get_running_loop().call_later(PAUSED_CHECK_INTERVAL_S, self._check_caller)

    def _check_caller(self) -> None:
        """Abort the connection if the caller has closed it while reading is paused."""
        if not self._is_reading_paused or self._is_closed:
            return
        transport = self._connection.transport
        sock = None if transport is None else transport.get_extra_info("socket")
        if sock is not None:
            state = struct.unpack("B", sock.getsockopt(SOL_TCP, TCP_INFO, 1))[0]
            if state in CLOSED_TCP_STATES:
                self._connection.abort()
                return
        asyncio.get_running_loop().call_later(PAUSED_CHECK_INTERVAL_S, self._check_caller)

    def _close(self) -> None:
        """Cancel the requests that are unanswered; no others start."""
        if self._is_closed:
            return
        self._is_closed = True
        self._has_unread_input |= bool(self._exchanges)
        for exchange in self._exchanges:
            exchange.connection_lost(None)
        self._wake()


def start(connection: HttpConnection, settings: Pipelining) -> None:
    """Start a pipeline for a connection that has input behind its request, if it has none."""
    if connection.pipeline is None and connection.request is not None:
        pipeline = RequestPipeline(connection, connection.request, settings)
        connection.pipeline = pipeline
        pipeline.receive_data(connection.take_input())


def _stays_open(connection: HttpConnection) -> bool:
    """Return whether another request may follow a response."""
    http = connection.http
    return http.our_state is h11.DONE and http.their_state is h11.DONE


def _has_body(request: h11.Request) -> bool:
    length = header(request.headers, b"content-length")
    return header(request.headers, b"transfer-encoding") is not None or length not in (None, b"0")
