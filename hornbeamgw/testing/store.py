"""Stand-in store: serves rows, transactions, a change feed and objects over HTTP.

It implements the API of the users' platform and can simulate faults.
"""

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

BODY_LIMIT_BYTES = 1024 * 1024
ROW_PAGE_LIMIT = 500
OBJECT_PAGE_LIMIT = 1000
OUTAGE = "outage"  # answers 503 without executing the request
BUSY = "busy"  # answers 429 without executing the request
RESET = "reset"  # closes the connection without executing the request
SILENT = "silent"  # keeps the connection open without answering
LOSE_ANSWER = "lose_answer"  # executes the transaction, then closes the connection
LATE = "late"  # closes the connection and executes the transaction after a delay
LATE_DELAY_S = 0.5
RATE_WINDOW_S = 1.0
OBJECT_PATH_PREFIXES = ("/-/blob-put/", "/-/blob-get/", "/-/blob-drop/")
ERA_HEADER = b"store-era"
TRICKLE = "trickle"  # sends the response in parts with a delay before each
SILENT_DELAY_S = 60.0
TRICKLE_PARTS = 4
TRICKLE_INTERVAL_S = 0.2


def _send_document(
    connection: HttpConnection, status: int, document: dict[str, Any], era: int
) -> None:
    body = msgspec.msgpack.encode(document)
    headers = [(b"content-type", b"application/msgpack"), (ERA_HEADER, str(era).encode())]
    send_response(connection, status, headers, body)


async def _send_in_parts(connection: HttpConnection, document: dict[str, Any], era: int) -> None:
    body = msgspec.msgpack.encode(document)
    size = len(body) // TRICKLE_PARTS + 1
    headers = [(b"content-length", str(len(body)).encode()), (ERA_HEADER, str(era).encode())]
    connection.send(h11.Response(status_code=200, headers=headers))
    for start in range(0, len(body), size):
        await asyncio.sleep(TRICKLE_INTERVAL_S)
        connection.send(h11.Data(data=body[start : start + size]))
    connection.send(h11.EndOfMessage())


class _Row(NamedTuple):
    table: str
    key: str
    value: str
    state: int


class StoreCopy(NamedTuple):
    """A copy of all rows of a store and the state number at that time."""

    rows_by_table_and_key: dict[tuple[str, str], _Row]
    state: int


class _Change(NamedTuple):
    row: _Row
    deleted: bool


class _Listener:
    """A listener of the store for some VMs, with a separate fault."""

    def __init__(self, store: StandInStore) -> None:
        self.fault = ""
        self._store = store
        self.server = HttpServer(self._handle, Timeouts())

    async def _handle(self, connection: HttpConnection, request: h11.Request) -> None:
        await self._store.handle(connection, request, self.fault)


class StandInStore:
    """An in-memory store of rows and objects, served over HTTP with optional faults.

    Each write increments the state number. A fault applies to all VMs or to those that use one
    listener.
    """

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.rows_by_table_and_key: dict[tuple[str, str], _Row] = {}
        self.changes: deque[_Change] = deque()
        self.feed_start = 0
        self.state = 0
        # Incremented by each restore and sent as a response header.
        self.era = 0
        self.fault = ""
        self.write_faults: deque[str] = deque()
        self.calls = 0
        # By the last path segment and the table ("" if the request names no table).
        self.calls_by_operation: Counter[tuple[str, str]] = Counter()
        self.rate_limit_per_s = 0
        self.objects_by_name: dict[str, bytes] = {}
        self._answered_at: deque[float] = deque()
        self._changed = asyncio.Event()
        self._listeners_by_address: dict[str, _Listener] = {}
        self._late_tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Start a listener and return its address.

        Each further call adds a listener, whose fault can be set separately.
        """
        listener = _Listener(self)
        listening = await listener.server.start(address)
        self._listeners_by_address[listening] = listener
        return listening

    def set_fault_at(self, address: str, fault: str) -> None:
        """Set a fault only for the listener at an address."""
        self._listeners_by_address[address].fault = fault

    def close(self) -> None:
        """Close all listeners and connections immediately."""
        for task in self._late_tasks:
            task.cancel()
        for listener in self._listeners_by_address.values():
            listener.server.stop_accepting()
            listener.server.abort()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row directly, unaffected by faults."""
        self._write(table, key, base64.b64encode(value).decode())

    def copy(self) -> StoreCopy:
        """Return a copy of all rows that can be restored later."""
        return StoreCopy(dict(self.rows_by_table_and_key), self.state)

    def restore(self, copy: StoreCopy) -> None:
        """Restore a copy, as after a data loss; its state number is where later writes continue."""
        self.rows_by_table_and_key = dict(copy.rows_by_table_and_key)
        self.state = copy.state
        self.changes.clear()
        self.feed_start = copy.state
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def truncate_feed(self) -> None:
        """Drop all past changes from the feed, so that readers have to reload all rows."""
        self.changes.clear()
        self.feed_start = self.state

    def _write(self, table: str, key: str, value: str | None) -> None:
        self.state += 1
        previous = self.rows_by_table_and_key.get((table, key))
        row = _Row(table, key, value or "", self.state)
        if value is not None:
            self.rows_by_table_and_key[table, key] = row
        elif previous is not None:
            del self.rows_by_table_and_key[table, key]
        self.changes.append(_Change(row, value is None))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, connection: HttpConnection, request: h11.Request, fault: str = ""
    ) -> None:
        """Serve a request, subject to the listener's fault or else the store's."""
        body = await read_body(connection, BODY_LIMIT_BYTES)
        self._count(request.target.decode())
        fault = fault or self.fault or (BUSY if self._is_over_rate() else "")
        if await _apply_fault(connection, fault, self.era):
            return
        url = urlsplit(request.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-get" and fault == TRICKLE:
            await _send_in_parts(connection, self._row_page(query), self.era)
        elif url.path == "/-/rows-get":
            _send_document(connection, 200, self._row_page(query), self.era)
        elif url.path == "/-/rows-feed":
            status, document = await self._poll_feed(query)
            _send_document(connection, status, document, self.era)
        elif url.path == "/-/rows-tx":
            self._handle_transaction(connection, msgspec.msgpack.decode(body))
        elif url.path == "/-/blob-list":
            _send_document(connection, 200, self._object_page(query), self.era)
        elif url.path.startswith(OBJECT_PATH_PREFIXES):
            self._handle_object(connection, request, url.path, body)
        else:
            _send_document(connection, 404, {"error": url.path}, self.era)

    def _count(self, target: str) -> None:
        url = urlsplit(target)
        table = parse_qs(url.query).get("table", [""])[0]
        self.calls += 1
        self.calls_by_operation[url.path.rpartition("/")[2], table] += 1

    def _is_over_rate(self) -> bool:
        now = time.monotonic()
        while self._answered_at and now - self._answered_at[0] > RATE_WINDOW_S:
            self._answered_at.popleft()
        if self.rate_limit_per_s and len(self._answered_at) >= self.rate_limit_per_s:
            return True
        self._answered_at.append(now)
        return False

    def _object_page(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        found = sorted(n for n in self.objects_by_name if n.startswith(prefix) and n > after)
        return {"names": found[:OBJECT_PAGE_LIMIT], "has_more": len(found) > OBJECT_PAGE_LIMIT}

    def _handle_object(
        self, connection: HttpConnection, request: h11.Request, path: str, body: bytes
    ) -> None:
        name = path.split("/", 3)[3]
        if request.method == b"PUT":
            if header(request.headers, b"if-none-match") == b"*" and name in self.objects_by_name:
                _send_document(connection, 412, {}, self.era)
                return
            self.objects_by_name[name] = body
            _send_document(connection, 200, {}, self.era)
        elif name not in self.objects_by_name:
            _send_document(connection, 404, {}, self.era)
        elif request.method == b"DELETE":
            del self.objects_by_name[name]
            _send_document(connection, 200, {}, self.era)
        else:
            send_response(connection, 200, [], self.objects_by_name[name])

    def _with_state(self, document: dict[str, Any]) -> dict[str, Any]:
        return {**document, "api_version": self.state, "now_ms": time.monotonic() * 1000}

    def _row_page(self, query: dict[str, str]) -> dict[str, Any]:
        first_key, table = query.get("from", ""), query["table"]
        limit = min(ROW_PAGE_LIMIT, int(query.get("limit", ROW_PAGE_LIMIT)))
        found = sorted(
            row
            for row in self.rows_by_table_and_key.values()
            if row.table == table and row.key >= first_key
        )
        rows = [_encode(row) for row in found[:limit]]
        return self._with_state({"rows": rows, "has_more": len(found) > limit})

    async def _poll_feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self.feed_start or after > self.state:
                return 410, self._with_state({})
            rows = [
                {**_encode(change.row), "deleted": True} if change.deleted else _encode(change.row)
                for change in self.changes
                if change.row.table == table and change.row.state > after
            ]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0:
                return 200, self._with_state({"rows": rows})
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _handle_transaction(self, connection: HttpConnection, transaction: dict[str, Any]) -> None:
        fault = self.write_faults.popleft() if self.write_faults else ""
        if fault == LATE:
            task = asyncio.create_task(self._transact_late(transaction))
            self._late_tasks.add(task)
            task.add_done_callback(self._late_tasks.discard)
            connection.abort()
            return
        unmet = self._transact(transaction)
        if fault == LOSE_ANSWER:
            connection.abort()
        elif unmet is not None:
            _send_document(connection, 412, self._with_state({"rows": unmet}), self.era)
        else:
            _send_document(connection, 200, self._with_state({}), self.era)

    async def _transact_late(self, transaction: dict[str, Any]) -> None:
        await asyncio.sleep(LATE_DELAY_S)
        self._transact(transaction)

    def _transact(self, transaction: dict[str, Any]) -> list[dict[str, Any]] | None:
        """Apply all writes and return None, or return the current row of a failed condition."""
        for row in transaction.get("expect", ()):
            stored = self.rows_by_table_and_key.get((row["table"], row["key"]))
            if row["api_version"] != (stored.state if stored else 0):
                return [_encode(stored)] if stored else []
        for row in transaction.get("puts", ()):
            self._write(row["table"], row["key"], row["value"])
        for row in transaction.get("deletes", ()):
            self._write(row["table"], row["key"], None)
        return None


async def _apply_fault(connection: HttpConnection, fault: str, era: int) -> bool:
    """Simulate a fault; return whether the request needs no further handling."""
    if fault == RESET:
        connection.abort()
    elif fault == SILENT:
        await asyncio.sleep(SILENT_DELAY_S)
    elif fault in (OUTAGE, BUSY):
        _send_document(connection, 503 if fault == OUTAGE else 429, {}, era)
    return bool(fault) and fault != TRICKLE


def _encode(row: _Row) -> dict[str, Any]:
    return {
        "table": row.table,
        "part": "",
        "key": row.key,
        "value": row.value,
        "api_version": row.state,
    }
