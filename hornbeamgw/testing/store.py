"""Stand-in store: rows, conditional transactions and a feed, as the users' platform publishes."""

from __future__ import annotations

import asyncio
import base64
import time
from collections import deque
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec

from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response

BODY_LIMIT = 1024 * 1024
PAGE_LIMIT = 500
OUTAGE = "outage"  # 503: nothing was done
BUSY = "busy"  # 429
RESET = "reset"
SILENT = "silent"
LOSE_ANSWER = "lose_answer"  # done, and the connection breaks
TRICKLE = "trickle"  # an answer comes in parts, each a while after the last
SILENT_S = 60.0
TRICKLE_PARTS = 4
TRICKLE_S = 0.2


def _answer(connection: HttpConnection, status: int, document: dict[str, Any]) -> None:
    body = msgspec.msgpack.encode(document)
    send_response(connection, status, [(b"content-type", b"application/msgpack")], body)


async def _trickle(connection: HttpConnection, document: dict[str, Any]) -> None:
    body = msgspec.msgpack.encode(document)
    size = len(body) // TRICKLE_PARTS + 1
    headers = [(b"content-length", str(len(body)).encode())]
    connection.send(h11.Response(status_code=200, headers=headers))
    for start in range(0, len(body), size):
        await asyncio.sleep(TRICKLE_S)
        connection.send(h11.Data(data=body[start : start + size]))
    connection.send(h11.EndOfMessage())


class _Stored(NamedTuple):
    table: str
    key: str
    value: str
    state: int


class _Change(NamedTuple):
    row: _Stored
    deleted: bool


class StandInStore:
    """Serve rows over HTTP; faults are set by the caller, for all or for one table."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.rows_by_place: dict[tuple[str, str], _Stored] = {}
        self.changes: deque[_Change] = deque()
        self.forgotten_until = 0
        self.state = 0
        self.fault = ""
        self.write_faults: deque[str] = deque()
        self.calls = 0
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle, Timeouts())

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Listen and return the address in use."""
        return await self._server.start(address)

    def close(self) -> None:
        """Stop at once."""
        self._server.stop_accepting()
        self._server.abort()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator does, past all faults."""
        self._write(table, key, base64.b64encode(value).decode())

    def forget_history(self) -> None:
        """Drop what the feed could tell so far."""
        self.changes.clear()
        self.forgotten_until = self.state

    def _write(self, table: str, key: str, value: str | None) -> None:
        self.state += 1
        old = self.rows_by_place.get((table, key))
        row = _Stored(table, key, value or "", self.state)
        if value is not None:
            self.rows_by_place[table, key] = row
        elif old is not None:
            del self.rows_by_place[table, key]
        self.changes.append(_Change(row, value is None))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, connection: HttpConnection, request: h11.Request) -> None:
        body = await read_body(connection, BODY_LIMIT)
        self.calls += 1
        url = urlsplit(request.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if await self._fail(connection):
            return
        if url.path == "/-/rows-get" and self.fault == TRICKLE:
            await _trickle(connection, self._page(query))
        elif url.path == "/-/rows-get":
            _answer(connection, 200, self._page(query))
        elif url.path == "/-/rows-feed":
            status, document = await self._feed(query)
            _answer(connection, status, document)
        elif url.path == "/-/rows-tx":
            self._transact(connection, msgspec.msgpack.decode(body))
        else:
            _answer(connection, 404, {"error": url.path})

    async def _fail(self, connection: HttpConnection) -> bool:
        if self.fault == RESET:
            connection.abort()
        elif self.fault == SILENT:
            await asyncio.sleep(SILENT_S)
        elif self.fault in (OUTAGE, BUSY):
            _answer(connection, 503 if self.fault == OUTAGE else 429, {})
        return bool(self.fault) and self.fault != TRICKLE

    def _stamp(self, document: dict[str, Any]) -> dict[str, Any]:
        return {**document, "api_version": self.state, "now_ms": time.monotonic() * 1000}

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        first, table = query.get("from", ""), query["table"]
        limit = min(PAGE_LIMIT, int(query.get("limit", PAGE_LIMIT)))
        found = sorted(
            row for row in self.rows_by_place.values() if row.table == table and row.key >= first
        )
        rows = [_encode(row) for row in found[:limit]]
        return self._stamp({"rows": rows, "has_more": len(found) > limit})

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self.forgotten_until:
                return 410, self._stamp({})
            rows = [
                {**_encode(change.row), "deleted": True} if change.deleted else _encode(change.row)
                for change in self.changes
                if change.row.table == table and change.row.state > after
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, self._stamp({"rows": rows})
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, connection: HttpConnection, asked: dict[str, Any]) -> None:
        fault = self.write_faults.popleft() if self.write_faults else ""
        for row in asked.get("expect", ()):
            held = self.rows_by_place.get((row["table"], row["key"]))
            if row["api_version"] != (held.state if held else 0):
                _answer(connection, 412, self._stamp({"rows": [_encode(held)] if held else []}))
                return
        for row in asked.get("puts", ()):
            self._write(row["table"], row["key"], row["value"])
        for row in asked.get("deletes", ()):
            self._write(row["table"], row["key"], None)
        if fault == LOSE_ANSWER:
            connection.abort()
            return
        _answer(connection, 200, self._stamp({}))


def _encode(row: _Stored) -> dict[str, Any]:
    return {
        "table": row.table,
        "part": "",
        "key": row.key,
        "value": row.value,
        "api_version": row.state,
    }
