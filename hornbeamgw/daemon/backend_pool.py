"""Connections to the backend server beside this daemon."""

from __future__ import annotations

import asyncio
import re

import h11

from hornbeamgw.daemon.http1 import HttpConnection, dial

IDLE_MAX_S = 8.0
KEEP_ALIVE_PART = 0.8  # leaves time for a request to arrive before the server closes
_KEEP_ALIVE = re.compile(rb"timeout=([0-9]+)")
DIAL_TIMEOUT_S = 0.25  # the server is on the same VM: a dial takes 1 ms
IDLE_MAX_FIRST_SEND_S = 0.25


class PoolFull(ConnectionError):
    """Say that no more connections may be opened."""


class BackendPool:
    """Keep idle connections, and never more in all than the server announced."""

    def __init__(self) -> None:
        """Start without an address."""
        self.address = ""
        self.connections = 0
        self.opened = 0
        self._idle: list[tuple[HttpConnection, float]] = []
        self._open: set[HttpConnection] = set()
        self._reused: set[HttpConnection] = set()
        self._unused: set[HttpConnection] = set()
        self._kept_alive_by_connection: dict[HttpConnection, float] = {}

    def configure(self, address: str, connections: int) -> None:
        """Take the address of the server and the most connections it allows."""
        if address != self.address:
            self.close_idle()
        self.address = address
        self.connections = connections

    async def acquire(self, idempotent: bool) -> HttpConnection:
        """Return a connection to send on; raise OSError where none can be had.

        A non-idempotent request is not sent on a connection that was idle for long, for the
        server may have closed it, and then nobody could tell whether the request ran.
        """
        now = asyncio.get_running_loop().time()
        longest = IDLE_MAX_S if idempotent else IDLE_MAX_FIRST_SEND_S
        while self._idle:
            connection, since = self._idle.pop()
            fresh = now - since <= min(
                longest, self._kept_alive_by_connection.get(connection, longest)
            )
            if fresh and not connection.lost and not connection.has_input():
                self._take_idle(connection)
                return connection
            self.discard(connection)
        if len(self._open) >= self.connections:
            raise PoolFull(f"all {self.connections} connections are in use")
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            connection = await dial(self.address)
        self.opened += 1
        self._open.add(connection)
        return connection

    def _take_idle(self, connection: HttpConnection) -> None:
        if connection in self._unused:
            self._unused.discard(connection)
        else:
            self._reused.add(connection)

    async def is_refused(self) -> bool:
        """Return whether no process listens at the address any more; keep what a dial opens."""
        if len(self._open) >= self.connections:
            return False
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                connection = await dial(self.address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        self.opened += 1
        self._open.add(connection)
        self._unused.add(connection)
        self._idle.append((connection, asyncio.get_running_loop().time()))
        return False

    def is_fresh(self, connection: HttpConnection) -> bool:
        """Return whether a connection was opened for what is under way on it."""
        return connection not in self._reused

    def note_keep_alive(self, connection: HttpConnection, value: bytes | None) -> None:
        """Take how long the server says that it keeps an idle connection (s)."""
        found = _KEEP_ALIVE.search(value or b"")
        if found is not None:
            kept = float(found[1]) * KEEP_ALIVE_PART
            self._kept_alive_by_connection[connection] = kept

    def release(self, connection: HttpConnection) -> None:
        """Keep a connection whose exchange is complete; close any other."""
        http = connection.http
        whole = http.our_state is h11.DONE and http.their_state is h11.DONE
        if whole and not connection.lost and not connection.has_input():
            http.start_next_cycle()
            self._idle.append((connection, asyncio.get_running_loop().time()))
        else:
            self.discard(connection)

    def discard(self, connection: HttpConnection) -> None:
        """Break a connection; it is never used again."""
        self._forget(connection)
        connection.abort()

    def _forget(self, connection: HttpConnection) -> None:
        self._open.discard(connection)
        self._reused.discard(connection)
        self._unused.discard(connection)
        self._kept_alive_by_connection.pop(connection, None)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection, _ in self._idle:
            self._forget(connection)
            connection.close()
        self._idle.clear()
