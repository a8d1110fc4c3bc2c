"""Backend pool: HTTP connections to the backend server on the same VM."""

from __future__ import annotations

import asyncio
import math
import re

import h11

from hornbeamgw.core import silence
from hornbeamgw.core.silence import Belief, Doubts, Limits, Signs
from hornbeamgw.daemon.http1 import HttpConnection, dial
from hornbeamgw.daemon.silence import Kind, connection_counts, report_silent

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
    """Connections to one backend server, limited to the number that the server announced.

    When a request on a connection that has worked before gets no answer until its deadline, the
    connections that have been idle since it was sent are not used again.
    """

    def __init__(self) -> None:
        """Create a closed pool."""
        self.is_open = False
        self.address = ""
        self.connections = 0
        self.opened_count = 0
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()
        self._reused: set[HttpConnection] = set()
        self._unused: set[HttpConnection] = set()
        self._max_idle_by_connection: dict[HttpConnection, float] = {}
        self._signs_by_connection: dict[HttpConnection, Signs] = {}
        self._doubts = Doubts()

    def open(self, address: str, connections: int) -> None:
        """Allow connections to the server at an address, up to a maximum number."""
        self.is_open = True
        self.address = address
        self.connections = connections

    def close(self) -> None:
        """Allow no more requests to be sent; connections in use are closed after their answers."""
        self.is_open = False
        for connection in self._idle:
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
            connection = self._idle.pop()
            is_trusted = self._is_trusted(connection, max_idle, now)
            connection.on_stray_input = None
            if is_trusted and not connection.lost and not connection.has_input():
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
        self._note_opened(connection)
        return connection

    def _note_opened(self, connection: HttpConnection) -> None:
        self.opened_count += 1
        connection_counts[f"{Kind.SERVER}.dialled"] += 1
        self._open.add(connection)
        self._signs_by_connection[connection] = Signs(asyncio.get_running_loop().time())

    def _is_trusted(self, connection: HttpConnection, max_idle: float, now: float) -> bool:
        signs = self._signs_by_connection[connection]
        trusted_s = min(max_idle, self._max_idle_by_connection.get(connection, max_idle))
        limits = Limits(trusted_s, math.inf)
        return silence.belief(signs, self._doubts, limits, now) is Belief.TRUSTED

    def note_unanswered(self, connection: HttpConnection, sent_at: float, sent: str) -> None:
        """Doubt the connections that have been idle since a request that got no answer was sent.

        A request on a connection that has not worked before tells nothing of others. `sent_at` is
        the time (s) at which the request was sent on the connection, and `sent` names it.
        """
        signs = self._signs_by_connection.get(connection)
        if signs is None or self.is_fresh(connection):
            return
        idle_signs = [self._signs_by_connection[idle] for idle in self._idle]
        if not any(idle.heard_at <= sent_at for idle in idle_signs):
            return
        silence.note_sent(signs, sent_at)
        silence.note_silent(self._doubts, sent_at)
        now = asyncio.get_running_loop().time()
        report_silent(Kind.SERVER, self.address, signs, sent, "others as idle closed", now)

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
        self._note_opened(connection)
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
        silence.note_heard(self._signs_by_connection[connection], asyncio.get_running_loop().time())
        self._idle.append(connection)

    def _discard_idle(self, connection: HttpConnection) -> None:
        self._idle = [idle for idle in self._idle if idle is not connection]
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
        self._signs_by_connection.pop(connection, None)
