"""Exchange: a pipelined request and its response, as a connection that carries only these."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import h11

from hornbeamgw.core.pipelining import RequestState
from hornbeamgw.daemon.http1 import Event, HttpConnection
from hornbeamgw.daemon.http_server import BadRequest, check_request

# Bytes of an answer that are kept while earlier ones are unanswered. The rest stays at the sender.
MAX_HELD_BYTES = 64 * 1024


class OrderedTransport(asyncio.Transport):
    """A transport that holds back what is written until the turn of its exchange."""

    def __init__(self, exchange: Exchange, lower: HttpConnection) -> None:
        """Write to `lower`, the caller's connection, once `release` has been called."""
        super().__init__()
        self._exchange = exchange
        self._lower = lower
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._is_closed = False
        self.is_released = False

    def release(self) -> None:
        """Write what was held back, and all further data as it comes."""
        self.is_released = True
        held, self._held, self._held_bytes = b"".join(self._held), [], 0
        if held:
            self._write_through(held)
        if not self._lower.is_write_paused:
            self._exchange.resume_writing()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write data, or hold it back."""
        if self.is_released:
            self._write_through(bytes(data))
            return
        self._held.append(bytes(data))
        self._held_bytes += len(data)
        if self._held_bytes >= MAX_HELD_BYTES:
            self._exchange.pause_writing()

    def _write_through(self, data: bytes) -> None:
        if self._lower.transport is not None and not self._lower.lost:
            self._lower.transport.write(data)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes held back."""
        return self._held_bytes

    def pause_reading(self) -> None:
        """Do nothing: the pipeline pauses the caller's connection."""

    def resume_reading(self) -> None:
        """Do nothing: the pipeline resumes the caller's connection."""

    def write_eof(self) -> None:
        """Do nothing: the pipeline closes the caller's connection."""

    def is_closing(self) -> bool:
        """Return whether the exchange has ended."""
        return self._is_closed

    def close(self) -> None:
        """End the exchange; what was written is still sent in its turn."""
        self._is_closed = True

    def abort(self) -> None:
        """End the exchange; the answer stays incomplete, which closes the caller's connection."""
        self._is_closed = True

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the caller's connection."""
        transport = self._lower.transport
        return default if transport is None else transport.get_extra_info(name, default)


class Exchange(HttpConnection):
    """A pipelined request and its response.

    Attributes
    ----------
    request : h11.Request or None
        Head of the request; None until it is complete.
    error : Exception or None
        Why the request is refused without being run.
    whole : bool
        Whether the message has been received completely.
    idempotent : bool
        Whether the route of the request is idempotent.
    task : asyncio.Task or None
        Handles the request; None before its start.
    started_whole : bool
        Whether the message had been received completely at the start.
    ended : bool
        Whether the request has been handled. A part of its response may still be held back.
    """

    def __init__(self, lower: HttpConnection, on_read: Callable[[], None]) -> None:
        """Create an exchange on the connection `lower`; call `on_read` when its input is used."""
        super().__init__(h11.SERVER)
        self.ordered = OrderedTransport(self, lower)
        self.transport = self.ordered
        self.request: h11.Request | None = None
        self.error: Exception | None = None
        self.whole = False
        self.idempotent = False
        self.started_whole = False
        self.task: asyncio.Task[None] | None = None
        self.ended = False
        self._on_read = on_read
        self._events: deque[Event] = deque()

    @property
    def is_known(self) -> bool:
        """Return whether the head is complete or invalid."""
        return self.request is not None or self.error is not None

    @property
    def state(self) -> RequestState:
        """Return the state that decides which requests may start."""
        has_started = self.task is not None
        return RequestState(
            self.idempotent, self.started_whole if has_started else self.whole, has_started
        )

    @property
    def unread_bytes(self) -> int:
        """Return the number of received bytes that the handler has not read yet."""
        return self._unread_bytes

    def read_ahead(self, now: float) -> None:
        """Read what has arrived before the request starts."""
        try:
            while not self.whole:
                event = self.http.next_event()
                if not isinstance(event, h11.Request | h11.Data | h11.EndOfMessage):
                    return
                if isinstance(event, h11.Request):
                    self.arrived_at = now
                    check_request(self, event)
                    self.request = event
                else:
                    self._events.append(event)
                self.whole = isinstance(event, h11.EndOfMessage)
        except (h11.RemoteProtocolError, BadRequest) as error:
            # Reported by the handler, so that the answer comes after those to earlier requests.
            self.error = error
            self.whole = True

    def poll(self) -> Event | None:
        """Return the next event, or None if more input is needed."""
        if self._events:
            return self._events.popleft()
        event = super().poll()
        if event is None or isinstance(event, h11.EndOfMessage):
            self.whole = event is not None
            self._on_read()
        return event

    def is_request_unread(self) -> bool:
        """Return whether a request that is refused has a body that has not been read."""
        if self._events:
            return type(self._events[0]) is not h11.EndOfMessage
        return super().is_request_unread()

    async def linger(self, timeout: float) -> None:
        """Do nothing: the pipeline does so on the caller's connection."""
