"""Backend pool: HTTP connections to the backend server on the same VM."""

from __future__ import annotations

import asyncio
import re

import h11

from hornbeamgw.daemon.http1 import HttpConnection, dial

IDLE_MAX_S = 8.0
# Ratio of the server's keep-alive timeout for which a connection is reused, so that a request
# arrives before the server closes the connection.
KEEP_ALIVE_RATIO = 0.8
_KEEP_ALIVE = re.compile(rb"timeout=([0-9]+)")
DIAL_TIMEOUT_S = 0.25
IDLE_MAX_NON_IDEMPOTENT_S = 0.25
# Time for which the end of a connection is awaited after the answer to a request that was cut off.
RETIRE_TIMEOUT_S = 0.1


class PoolFull(ConnectionError):
    """Raised when all connections that the backend server allows are in use."""


class PoolClosed(ConnectionError):
    """Raised when the backend server was removed, so that nothing may be sent to it."""


class BackendPool:
    """Connections to one backend server, limited to the number that the server announced."""

    def __init__(self) -> None:
        """Create a closed pool."""
        self.is_open = False
        self.address = ""
        self.connections = 0
        self.opened_count = 0
        self._idle: list[tuple[HttpConnection, float]] = []
        self._open: set[HttpConnection] = set()
        self._reused: set[HttpConnection] = set()
        self._unused: set[HttpConnection] = set()
        self._max_idle_by_connection: dict[HttpConnection, float] = {}

    def open(self, address: str, connections: int) -> None:
        """Allow connections to the server at an address, up to a maximum number."""
        self.is_open = True
        self.address = address
        self.connections = connections

    def close(self) -> None:
        """Allow no more requests to be sent; connections in use are closed after their answers."""
        self.is_open = False
        for connection, _ in self._idle:
            self._forget(connection)
            connection.close()
        self._idle.clear()

    async def acquire(self, idempotent: bool) -> HttpConnection:
        """Return an idle or new connection; raise OSError or TimeoutError if there is none.

        Raises PoolClosed if the pool is closed, or was closed while the connection was opened.

        A non-idempotent request is not sent on a connection that has been idle for long: if the
        server is closing it, the daemon can't know whether the request ran.
        """
        if not self.is_open:
            raise PoolClosed("the backend server was removed")
        now = asyncio.get_running_loop().time()
        max_idle = IDLE_MAX_S if idempotent else IDLE_MAX_NON_IDEMPOTENT_S
        while self._idle:
            connection, idle_since = self._idle.pop()
            is_usable = now - idle_since <= min(
                max_idle, self._max_idle_by_connection.get(connection, max_idle)
            )
            connection.on_stray_input = None
            if is_usable and not connection.lost and not connection.has_input():
                self._mark_reused(connection)
                return connection
            self.discard(connection)
        if len(self._open) >= self.connections:
            raise PoolFull(f"all {self.connections} connections are in use")
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            connection = await dial(self.address)
        if not self.is_open:
            connection.abort()
            raise PoolClosed("the backend server was removed")
        self.opened_count += 1
        self._open.add(connection)
        return connection

    def has_spare(self) -> bool:
        """Return whether one more connection may be open besides those of the pool."""
        return len(self._open) < self.connections

    def _mark_reused(self, connection: HttpConnection) -> None:
        if connection in self._unused:
            self._unused.discard(connection)
        else:
            self._reused.add(connection)

    async def is_refused(self) -> bool:
        """Return whether connections are refused; if not, add the opened one to the pool."""
        if not self.is_open or len(self._open) >= self.connections:
            return False
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                connection = await dial(self.address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        if not self.is_open:
            connection.abort()
            return False
        self.opened_count += 1
        self._open.add(connection)
        self._unused.add(connection)
        self._keep_idle(connection)
        return False

    def is_fresh(self, connection: HttpConnection) -> bool:
        """Return whether the current request is the first one on a connection."""
        return connection not in self._reused

    def note_keep_alive(self, connection: HttpConnection, value: bytes | None) -> None:
        """Apply the timeout in the value of a `Keep-Alive` header."""
        match = _KEEP_ALIVE.search(value or b"")
        if match is not None:
            max_idle = float(match[1]) * KEEP_ALIVE_RATIO
            self._max_idle_by_connection[connection] = max_idle

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool, or close it if its exchange is incomplete."""
        http = connection.http
        is_complete = http.our_state is h11.DONE and http.their_state is h11.DONE
        if self.is_open and is_complete and not connection.lost and not connection.has_input():
            http.start_next_cycle()
            self._keep_idle(connection)
        else:
            self.discard(connection)

    def _keep_idle(self, connection: HttpConnection) -> None:
        # A server that sends something now may go on without end.
        connection.on_stray_input = lambda: self._discard_idle(connection)
        self._idle.append((connection, asyncio.get_running_loop().time()))

    def _discard_idle(self, connection: HttpConnection) -> None:
        self._idle = [idle for idle in self._idle if idle[0] is not connection]
        self.discard(connection)

    def retire(self, connection: HttpConnection) -> None:
        """Remove a half-closed connection once the server has closed its end, or after a while."""
        if connection.lost:
            self.discard(connection)
            return
        connection.on_lost = lambda: self.discard(connection)
        loop = asyncio.get_running_loop()
        loop.call_later(RETIRE_TIMEOUT_S, self.discard, connection)

    def discard(self, connection: HttpConnection) -> None:
        """Remove a connection from the pool and abort it."""
        self._forget(connection)
        connection.abort()

    def _forget(self, connection: HttpConnection) -> None:
        self._open.discard(connection)
        self._reused.discard(connection)
        self._unused.discard(connection)
        self._max_idle_by_connection.pop(connection, None)
