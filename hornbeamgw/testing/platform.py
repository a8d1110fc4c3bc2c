"""Stand-in platform: an in-memory table service and object store that can simulate faults."""

from __future__ import annotations

import asyncio
import base64
import time
from typing import Any, NamedTuple

import h11
import msgspec

from hornbeamgw.daemon.http1 import HttpConnection, header
from hornbeamgw.daemon.http_server import (
    HttpServer,
    Timeouts,
    json_response,
    read_body,
    send_response,
)

BODY_LIMIT_BYTES = 64 * 1024 * 1024


class Fault(NamedTuple):
    """A simulated fault that lasts until a time or for a number of requests.

    `until` is in seconds of the monotonic clock, `delay` in seconds and `rate` in requests per
    second. A negative number of requests means no limit.
    """

    kind: str
    until: float
    requests: int
    delay: float
    rate: float


NO_FAULT = Fault("none", 0.0, 0, 0.0, 0.0)
FAULT_KINDS = ("none", "outage", "slow", "rate_limit", "lose_answer")


def _is_over(fault: Fault, now: float) -> bool:
    return now >= fault.until or fault.requests == 0


class PlatformState:
    """The rows, objects, counters and current fault of a stand-in platform."""

    def __init__(self) -> None:
        """Create an empty state without a fault."""
        self.rows_by_key: dict[str, tuple[bytes, int]] = {}
        self.objects_by_name: dict[str, bytes] = {}
        self.next_etag = 1
        self.fault = NO_FAULT
        self.counts = {"reads": 0, "writes": 0, "rejected": 0, "lost_answers": 0}
        self.reads_by_second: dict[int, int] = {}
        self.rate_tokens = 0.0
        self.rate_tokens_at = 0.0


def _condition_holds(state: PlatformState, write: dict[str, Any]) -> bool:
    row = state.rows_by_key.get(write["key"])
    if "if_none_match" in write:
        return row is None
    if "if_match" in write:
        return row is not None and f'"{row[1]}"' == write["if_match"]
    return True


def transact(state: PlatformState, writes: list[dict[str, Any]]) -> bool:
    """Apply all writes if all their conditions hold, otherwise none; return whether they held."""
    if not all(_condition_holds(state, write) for write in writes):
        return False
    for write in writes:
        if write["value"] is None:
            state.rows_by_key.pop(write["key"], None)
        else:
            value = base64.b64decode(write["value"])
            state.rows_by_key[write["key"]] = (value, state.next_etag)
            state.next_etag += 1
    return True


def _next_fault(state: PlatformState, is_write: bool, now: float) -> Fault:
    fault = state.fault
    if fault.kind == "none" or _is_over(fault, now):
        state.fault = NO_FAULT
        return NO_FAULT
    if fault.kind == "lose_answer" and not is_write:
        return NO_FAULT
    if fault.requests > 0:
        state.fault = fault._replace(requests=fault.requests - 1)
    return fault


def _exceeds_rate(state: PlatformState, rate: float, now: float) -> bool:
    state.rate_tokens = min(rate, state.rate_tokens + (now - state.rate_tokens_at) * rate)
    state.rate_tokens_at = now
    if state.rate_tokens < 1:
        return True
    state.rate_tokens -= 1
    return False


class _ReceivedRequest(NamedTuple):
    connection: HttpConnection
    request: h11.Request
    method: str
    target: str
    body: bytes


class StandInPlatform:
    """An HTTP server for a platform state."""

    def __init__(self) -> None:
        """Create a server with an empty state."""
        self.state = PlatformState()
        self._server = HttpServer(self._handle, Timeouts())

    async def start(self, address: str) -> str:
        """Start listening and return the address in use."""
        return await self._server.start(address)

    def close(self) -> None:
        """Close the listener and all connections immediately."""
        self._server.stop_accepting()
        self._server.abort()

    async def _handle(self, connection: HttpConnection, request: h11.Request) -> None:
        body = await read_body(connection, BODY_LIMIT_BYTES)
        method, target = request.method.decode(), request.target.decode()
        if target.startswith("/control"):
            self._control(connection, method, body)
            return
        received = _ReceivedRequest(connection, request, method, target, body)
        now = time.monotonic()
        fault = _next_fault(self.state, method != "GET", now)
        if fault.kind == "outage":
            self.state.counts["rejected"] += 1
            json_response(connection, 503, {"error": "outage"})
            return
        if fault.kind == "rate_limit" and _exceeds_rate(self.state, fault.rate, now):
            self.state.counts["rejected"] += 1
            json_response(connection, 429, {"error": "rate limit"})
            return
        if fault.kind == "slow":
            await asyncio.sleep(fault.delay)
        self._count(method, now)
        if fault.kind == "lose_answer":
            self._apply_without_answer(received)
            return
        self._serve(received)

    def _count(self, method: str, now: float) -> None:
        self.state.counts["reads" if method == "GET" else "writes"] += 1
        if method == "GET":
            second = int(now)
            by_second = self.state.reads_by_second
            by_second[second] = by_second.get(second, 0) + 1

    def _apply_without_answer(self, received: _ReceivedRequest) -> None:
        if received.method == "POST":
            transact(self.state, msgspec.json.decode(received.body))
        elif received.method == "PUT":
            self.state.objects_by_name[received.target.removeprefix("/objects/")] = received.body
        self.state.counts["lost_answers"] += 1
        received.connection.abort()

    def _serve(self, received: _ReceivedRequest) -> None:
        connection = received.connection
        if received.target.startswith("/objects/"):
            self._serve_object(received)
        elif received.method == "POST" and received.target == "/table":
            applied = transact(self.state, msgspec.json.decode(received.body))
            json_response(connection, 200 if applied else 412, {"done": applied})
        elif received.method == "GET" and received.target.startswith("/table/"):
            row = self.state.rows_by_key.get(received.target.removeprefix("/table/"))
            if row is None:
                json_response(connection, 404, {"error": "no such row"})
            else:
                send_response(connection, 200, [(b"etag", f'"{row[1]}"'.encode())], row[0])
        else:
            json_response(connection, 404, {"error": "no such resource"})

    def _serve_object(self, received: _ReceivedRequest) -> None:
        name = received.target.removeprefix("/objects/")
        objects = self.state.objects_by_name
        if received.method == "PUT":
            must_be_absent = header(received.request.headers, b"if-none-match") == b"*"
            is_conflict = name in objects and must_be_absent
            objects.setdefault(name, received.body)
            json_response(
                received.connection, 412 if is_conflict else 201, {"stored": not is_conflict}
            )
        elif received.method == "GET" and name in objects:
            send_response(received.connection, 200, [], objects[name])
        else:
            json_response(received.connection, 404, {"error": "no such object"})

    def _control(self, connection: HttpConnection, method: str, body: bytes) -> None:
        if method == "GET":
            state = self.state
            peak = max(state.reads_by_second.values(), default=0)
            document = {**state.counts, "fault": state.fault.kind, "peak_reads_per_s": peak}
            json_response(connection, 200, document)
            return
        fault_request = msgspec.json.decode(body)
        if fault_request.get("kind") not in FAULT_KINDS:
            json_response(connection, 400, {"error": f"kind: expected one of {FAULT_KINDS}"})
            return
        self.state.fault = Fault(
            fault_request["kind"],
            time.monotonic() + float(fault_request.get("seconds", 1e9)),
            int(fault_request.get("requests", -1)),
            float(fault_request.get("delay", 0.0)),
            float(fault_request.get("rate", 0.0)),
        )
        if fault_request.get("reset_counts"):
            self.state.counts = dict.fromkeys(self.state.counts, 0)
            self.state.reads_by_second.clear()
        json_response(connection, 200, {"fault": fault_request["kind"]})
