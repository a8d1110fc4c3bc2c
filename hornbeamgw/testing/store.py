"""Stand-in store: rows, transactions, a feed and objects, as the users' platform publishes."""

from __future__ import annotations

import asyncio
import base64
import time
from collections import Counter, deque
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec

from hornbeamgw.daemon.http1 import HttpConnection, header
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response

BODY_LIMIT = 1024 * 1024
PAGE_LIMIT = 500
OBJECT_PAGE = 1000
OUTAGE = "outage"  # 503: nothing was done
BUSY = "busy"  # 429
RESET = "reset"
SILENT = "silent"
LOSE_ANSWER = "lose_answer"  # done, and the connection breaks
LATE = "late"  # not answered, and done only later, if its condition still holds
LATE_S = 0.5
RATE_WINDOW_S = 1.0
OBJECT_PREFIXES = ("/-/blob-put/", "/-/blob-get/", "/-/blob-drop/")
ERA = b"store-era"
TRICKLE = "trickle"  # an answer comes in parts, each a while after the last
SILENT_S = 60.0
TRICKLE_PARTS = 4
TRICKLE_S = 0.2


def _answer(connection: HttpConnection, status: int, document: dict[str, Any], era: int) -> None:
    body = msgspec.msgpack.encode(document)
    headers = [(b"content-type", b"application/msgpack"), (ERA, str(era).encode())]
    send_response(connection, status, headers, body)


async def _trickle(connection: HttpConnection, document: dict[str, Any], era: int) -> None:
    body = msgspec.msgpack.encode(document)
    size = len(body) // TRICKLE_PARTS + 1
    headers = [(b"content-length", str(len(body)).encode()), (ERA, str(era).encode())]
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


class StoreCopy(NamedTuple):
    """Hold the rows of a store as they were at one state."""

    rows_by_place: dict[tuple[str, str], _Stored]
    state: int


class _Change(NamedTuple):
    row: _Stored
    deleted: bool


class _Door:
    """Serve a store to some VMs, with faults of their own."""

    def __init__(self, store: StandInStore) -> None:
        self.fault = ""
        self._store = store
        self.server = HttpServer(self._handle, Timeouts())

    async def _handle(self, connection: HttpConnection, request: h11.Request) -> None:
        await self._store.handle(connection, request, self.fault)


class StandInStore:
    """Serve rows and objects over HTTP; faults are set by the caller, for all or for some VMs."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.rows_by_place: dict[tuple[str, str], _Stored] = {}
        self.changes: deque[_Change] = deque()
        self.forgotten_until = 0
        self.state = 0
        self.era = 0
        self.fault = ""
        self.write_faults: deque[str] = deque()
        self.calls = 0
        # By the call's last word and the table that it names, "" where it names none.
        self.calls_by_place: Counter[tuple[str, str]] = Counter()
        self.calls_per_s = 0
        self.objects_by_name: dict[str, bytes] = {}
        self._answered_at: deque[float] = deque()
        self._changed = asyncio.Event()
        self._doors_by_address: dict[str, _Door] = {}
        self._late: set[asyncio.Task[None]] = set()

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Listen and return the address in use; call again for VMs with faults of their own."""
        door = _Door(self)
        listening = await door.server.start(address)
        self._doors_by_address[listening] = door
        return listening

    def fail_at(self, address: str, fault: str) -> None:
        """Set a fault for those VMs alone that reach the store at an address."""
        self._doors_by_address[address].fault = fault

    def close(self) -> None:
        """Stop at once."""
        for task in self._late:
            task.cancel()
        for door in self._doors_by_address.values():
            door.server.stop_accepting()
            door.server.abort()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator does, past all faults."""
        self._write(table, key, base64.b64encode(value).decode())

    def copy(self) -> StoreCopy:
        """Return a copy of all rows, to come back from later."""
        return StoreCopy(dict(self.rows_by_place), self.state)

    def come_back(self, copy: StoreCopy) -> None:
        """Lose what was written since a copy was made; states are given out anew from there."""
        self.rows_by_place = dict(copy.rows_by_place)
        self.state = copy.state
        self.changes.clear()
        self.forgotten_until = copy.state
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

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

    async def handle(
        self, connection: HttpConnection, request: h11.Request, fault: str = ""
    ) -> None:
        """Answer a call, as a fault of some VMs or of all lets it."""
        body = await read_body(connection, BODY_LIMIT)
        self._count(request.target.decode())
        fault = fault or self.fault or (BUSY if self._is_over_rate() else "")
        if await _fail(connection, fault, self.era):
            return
        url = urlsplit(request.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-get" and fault == TRICKLE:
            await _trickle(connection, self._page(query), self.era)
        elif url.path == "/-/rows-get":
            _answer(connection, 200, self._page(query), self.era)
        elif url.path == "/-/rows-feed":
            status, document = await self._feed(query)
            _answer(connection, status, document, self.era)
        elif url.path == "/-/rows-tx":
            self._take_transaction(connection, msgspec.msgpack.decode(body))
        elif url.path == "/-/blob-list":
            _answer(connection, 200, self._names(query), self.era)
        elif url.path.startswith(OBJECT_PREFIXES):
            self._take_object(connection, request, url.path, body)
        else:
            _answer(connection, 404, {"error": url.path}, self.era)

    def _count(self, target: str) -> None:
        url = urlsplit(target)
        table = parse_qs(url.query).get("table", [""])[0]
        self.calls += 1
        self.calls_by_place[url.path.rpartition("/")[2], table] += 1

    def _is_over_rate(self) -> bool:
        now = time.monotonic()
        while self._answered_at and now - self._answered_at[0] > RATE_WINDOW_S:
            self._answered_at.popleft()
        if self.calls_per_s and len(self._answered_at) >= self.calls_per_s:
            return True
        self._answered_at.append(now)
        return False

    def _names(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        found = sorted(n for n in self.objects_by_name if n.startswith(prefix) and n > after)
        return {"names": found[:OBJECT_PAGE], "has_more": len(found) > OBJECT_PAGE}

    def _take_object(
        self, connection: HttpConnection, request: h11.Request, path: str, body: bytes
    ) -> None:
        name = path.split("/", 3)[3]
        if request.method == b"PUT":
            if header(request.headers, b"if-none-match") == b"*" and name in self.objects_by_name:
                _answer(connection, 412, {}, self.era)
                return
            self.objects_by_name[name] = body
            _answer(connection, 200, {}, self.era)
        elif name not in self.objects_by_name:
            _answer(connection, 404, {}, self.era)
        elif request.method == b"DELETE":
            del self.objects_by_name[name]
            _answer(connection, 200, {}, self.era)
        else:
            send_response(connection, 200, [], self.objects_by_name[name])

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
            if after < self.forgotten_until or after > self.state:
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

    def _take_transaction(self, connection: HttpConnection, asked: dict[str, Any]) -> None:
        fault = self.write_faults.popleft() if self.write_faults else ""
        if fault == LATE:
            task = asyncio.create_task(self._transact_late(asked))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            connection.abort()
            return
        unmet = self._transact(asked)
        if fault == LOSE_ANSWER:
            connection.abort()
        elif unmet is not None:
            _answer(connection, 412, self._stamp({"rows": unmet}), self.era)
        else:
            _answer(connection, 200, self._stamp({}), self.era)

    async def _transact_late(self, asked: dict[str, Any]) -> None:
        await asyncio.sleep(LATE_S)
        self._transact(asked)

    def _transact(self, asked: dict[str, Any]) -> list[dict[str, Any]] | None:
        """Apply all entries, or none and return the rows of the unmet condition."""
        for row in asked.get("expect", ()):
            held = self.rows_by_place.get((row["table"], row["key"]))
            if row["api_version"] != (held.state if held else 0):
                return [_encode(held)] if held else []
        for row in asked.get("puts", ()):
            self._write(row["table"], row["key"], row["value"])
        for row in asked.get("deletes", ()):
            self._write(row["table"], row["key"], None)
        return None


async def _fail(connection: HttpConnection, fault: str, era: int) -> bool:
    """Answer as a fault has it; return whether that was all."""
    if fault == RESET:
        connection.abort()
    elif fault == SILENT:
        await asyncio.sleep(SILENT_S)
    elif fault in (OUTAGE, BUSY):
        _answer(connection, 503 if fault == OUTAGE else 429, {}, era)
    return bool(fault) and fault != TRICKLE


def _encode(row: _Stored) -> dict[str, Any]:
    return {
        "table": row.table,
        "part": "",
        "key": row.key,
        "value": row.value,
        "api_version": row.state,
    }
