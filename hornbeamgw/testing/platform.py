"""Stand-in platform: table service and object store in memory, with faults on demand."""

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

BODY_LIMIT = 64 * 1024 * 1024


class Fault(NamedTuple):
    """Hold a fault in force: until a time or for a number of requests."""

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
    """Hold rows, objects, counters and the fault in force."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows_by_key: dict[str, tuple[bytes, int]] = {}
        self.objects_by_name: dict[str, bytes] = {}
        self.next_tag = 1
        self.fault = NO_FAULT
        self.counts = {"reads": 0, "writes": 0, "rejected": 0, "lost_answers": 0}
        self.reads_by_second: dict[int, int] = {}
        self.allowance = 0.0
        self.allowance_at = 0.0


def _holds(state: PlatformState, write: dict[str, Any]) -> bool:
    row = state.rows_by_key.get(write["key"])
    if "if_none_match" in write:
        return row is None
    if "if_match" in write:
        return row is not None and f'"{row[1]}"' == write["if_match"]
    return True


def transact(state: PlatformState, writes: list[dict[str, Any]]) -> bool:
    """Apply all writes where each condition holds, or none."""
    if not all(_holds(state, write) for write in writes):
        return False
    for write in writes:
        if write["value"] is None:
            state.rows_by_key.pop(write["key"], None)
        else:
            value = base64.b64decode(write["value"])
            state.rows_by_key[write["key"]] = (value, state.next_tag)
            state.next_tag += 1
    return True


def _take_fault(state: PlatformState, is_write: bool, now: float) -> Fault:
    fault = state.fault
    if fault.kind == "none" or _is_over(fault, now):
        state.fault = NO_FAULT
        return NO_FAULT
    if fault.kind == "lose_answer" and not is_write:
        return NO_FAULT
    if fault.requests > 0:
        state.fault = fault._replace(requests=fault.requests - 1)
    return fault


def _over_rate(state: PlatformState, rate: float, now: float) -> bool:
    state.allowance = min(rate, state.allowance + (now - state.allowance_at) * rate)
    state.allowance_at = now
    if state.allowance < 1:
        return True
    state.allowance -= 1
    return False


class _Asked(NamedTuple):
    connection: HttpConnection
    request: h11.Request
    method: str
    target: str
    body: bytes


class StandInPlatform:
    """Serve the state over HTTP."""

    def __init__(self) -> None:
        """Start with an empty platform."""
        self.state = PlatformState()
        self._server = HttpServer(self._handle, Timeouts())

    async def start(self, address: str) -> str:
        """Listen and return the address in use."""
        return await self._server.start(address)

    def close(self) -> None:
        """Stop at once."""
        self._server.stop_accepting()
        self._server.abort()

    async def _handle(self, connection: HttpConnection, request: h11.Request) -> None:
        body = await read_body(connection, BODY_LIMIT)
        method, target = request.method.decode(), request.target.decode()
        if target.startswith("/control"):
            self._control(connection, method, body)
            return
        asked = _Asked(connection, request, method, target, body)
        now = time.monotonic()
        fault = _take_fault(self.state, method != "GET", now)
        if fault.kind == "outage":
            self.state.counts["rejected"] += 1
            json_response(connection, 503, {"error": "outage"})
            return
        if fault.kind == "rate_limit" and _over_rate(self.state, fault.rate, now):
            self.state.counts["rejected"] += 1
            json_response(connection, 429, {"error": "rate limit"})
            return
        if fault.kind == "slow":
            await asyncio.sleep(fault.delay)
        self._count(method, now)
        if fault.kind == "lose_answer":
            self._apply_and_lose(asked)
            return
        self._serve(asked)

    def _count(self, method: str, now: float) -> None:
        self.state.counts["reads" if method == "GET" else "writes"] += 1
        if method == "GET":
            second = int(now)
            by_second = self.state.reads_by_second
            by_second[second] = by_second.get(second, 0) + 1

    def _apply_and_lose(self, asked: _Asked) -> None:
        if asked.method == "POST":
            transact(self.state, msgspec.json.decode(asked.body))
        elif asked.method == "PUT":
            self.state.objects_by_name[asked.target.removeprefix("/objects/")] = asked.body
        self.state.counts["lost_answers"] += 1
        asked.connection.abort()

    def _serve(self, asked: _Asked) -> None:
        connection = asked.connection
        if asked.target.startswith("/objects/"):
            self._serve_object(asked)
        elif asked.method == "POST" and asked.target == "/table":
            done = transact(self.state, msgspec.json.decode(asked.body))
            json_response(connection, 200 if done else 412, {"done": done})
        elif asked.method == "GET" and asked.target.startswith("/table/"):
            row = self.state.rows_by_key.get(asked.target.removeprefix("/table/"))
            if row is None:
                json_response(connection, 404, {"error": "no such row"})
            else:
                send_response(connection, 200, [(b"etag", f'"{row[1]}"'.encode())], row[0])
        else:
            json_response(connection, 404, {"error": "no such resource"})

    def _serve_object(self, asked: _Asked) -> None:
        name = asked.target.removeprefix("/objects/")
        objects = self.state.objects_by_name
        if asked.method == "PUT":
            absent = header(asked.request.headers, b"if-none-match") == b"*"
            exists = name in objects and absent
            objects.setdefault(name, asked.body)
            json_response(asked.connection, 412 if exists else 201, {"stored": not exists})
        elif asked.method == "GET" and name in objects:
            send_response(asked.connection, 200, [], objects[name])
        else:
            json_response(asked.connection, 404, {"error": "no such object"})

    def _control(self, connection: HttpConnection, method: str, body: bytes) -> None:
        if method == "GET":
            state = self.state
            peak = max(state.reads_by_second.values(), default=0)
            document = {**state.counts, "fault": state.fault.kind, "peak_reads_per_s": peak}
            json_response(connection, 200, document)
            return
        wanted = msgspec.json.decode(body)
        if wanted.get("kind") not in FAULT_KINDS:
            json_response(connection, 400, {"error": f"kind: expected one of {FAULT_KINDS}"})
            return
        self.state.fault = Fault(
            wanted["kind"],
            time.monotonic() + float(wanted.get("seconds", 1e9)),
            int(wanted.get("requests", -1)),
            float(wanted.get("delay", 0.0)),
            float(wanted.get("rate", 0.0)),
        )
        if wanted.get("reset_counts"):
            self.state.counts = dict.fromkeys(self.state.counts, 0)
            self.state.reads_by_second.clear()
        json_response(connection, 200, {"fault": wanted["kind"]})
