"""Stand-ins and process control for the cases of the review.

A fleet of daemons runs as separate processes, started as the deploy file says, each with a loopback
address of its own. The store is the project's stand-in; instances and clients are the small ones
below. They record what was sent, run and answered.
"""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from hornbeamgw.testing.store import StandInStore
from hornbeamgw.testing.template import render

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5
ACK_TIMEOUT_S = 1.0
READY_TIMEOUT_S = 20.0
PORT_RANGE = (7620, 7635)
INBOUND, APP, READY, OUTBOUND, CONTROL, METRICS = 8300, 8301, 8302, 8304, 8306, 9464
CANNOT_RUN = 2
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 58,
    "recovery_s": 15,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CannotRun(Exception):
    """The case could not be run on this machine."""


class Record:
    """The events of a run with their times (s), written to `record.txt`."""

    def __init__(self, path: Path) -> None:
        """Start an empty record at `path`."""
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def add(self, text: str) -> float:
        """Write one line and return its time in seconds since the start."""
        at = time.monotonic() - self._started
        self._file.write(f"{at:9.3f} {text}\n")
        self._file.flush()
        return at

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Answer(NamedTuple):
    """What a client got: status 0 if the connection ended without a complete answer."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    sent_at: float
    ended_at: float


class Message(NamedTuple):
    """A received HTTP message."""

    first_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a length or in chunks; None if the connection ends before its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first_line, *lines = head.split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines if line)
        }
        if "chunked" in headers.get("transfer-encoding", ""):
            return Message(first_line, headers, await _read_chunks(reader))
        return Message(
            first_line, headers, await reader.readexactly(int(headers.get("content-length", "0")))
        )
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        pass
    return body


def message(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Run(NamedTuple):
    """A request that an instance began to run, at a time (s) of the record."""

    request_id: str
    headers: dict[str, str]
    first_line: str
    body: bytes
    at: float


class Instance:
    """An application instance: runs requests, and sends heartbeats to the daemon beside it."""

    def __init__(
        self, record: Record, machine: Machine, service: str, slots: int = 6, work_s: float = 0.03
    ) -> None:
        """Create an instance of a service beside the daemon of `machine`."""
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.runs: list[Run] = []
        self._record = record
        self._machine = machine
        self._born = round(time.time() * 1000)
        self._busy = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen at the machine's application address and begin to send heartbeats."""
        self._server = await asyncio.start_server(self._serve, self._machine.ip, APP)
        self._record.add(f"instance {self.id} of {self.service} starts at {self._machine.ip}:{APP}")
        self._beats = asyncio.create_task(self._beat())

    def stop_beats(self) -> None:
        """Send no further heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    def stop(self) -> None:
        """End at once."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._record.add(f"instance {self.id} ends")

    def heartbeat(self) -> bytes:
        """Return the next heartbeat as a request."""
        self.sequence += 1
        info = {"service": self.service, "version": "v1", "zone": self._machine.zone}
        body = msgspec.msgpack.encode(
            {
                "address": f"{self._machine.ip}:{APP}",
                "born": self._born,
                "info": {**info, "capacity": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "warmup_left_ms": 0},
            }
        )
        headers = {"Host": f"{self._machine.ip}:{CONTROL}", "Content-Type": "application/msgpack"}
        return message(f"PUT /-/instances/{self.id} HTTP/1.1", headers, body)

    def departure(self) -> bytes:
        """Return the message that this instance leaves, as a request."""
        headers = {"Host": f"{self._machine.ip}:{CONTROL}", "Content-Type": "application/msgpack"}
        body = msgspec.msgpack.encode({"born": self._born})
        return message(f"DELETE /-/instances/{self.id} HTTP/1.1", headers, body)

    async def tell(self, encoded: bytes, what: str) -> int:
        """Send a message to the daemon and return the status of its answer, 0 if there is none."""
        status = 0
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(self._machine.ip, CONTROL)
                try:
                    writer.write(encoded)
                    answer = await read_message(reader)
                finally:
                    writer.transport.abort()
                status = int(answer.first_line.split()[1]) if answer is not None else 0
        except (OSError, TimeoutError):
            pass
        self._record.add(f"instance {self.id} tells: {what}; answer {status or 'none'}")
        return status

    async def _beat(self) -> None:
        while True:
            encoded = self.heartbeat()
            await self.tell(encoded, f"{self.state}, sequence {self.sequence}")
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (received := await read_message(reader)) is not None:
                writer.write(await self._answer(received))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, received: Message) -> bytes:
        request_id = received.headers.get("x-request-id", "")
        named = {"X-Instance-Id": self.id}
        if received.first_line.startswith("GET /healthz "):
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            return message(f"HTTP/1.1 {status}", named)
        echoed = {**named, "X-Request-Id": request_id}
        expected = received.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            self._record.add(f"instance {self.id} answers 421 to {request_id} for {expected}")
            return message("HTTP/1.1 421 Misdirected Request", echoed)
        if self._busy >= self.slots:
            not_run = {**echoed, "X-Not-Executed": "1"}
            return message("HTTP/1.1 503 Service Unavailable", not_run)
        self._busy += 1
        try:
            at = self._record.add(
                f"instance {self.id} of {self.service} runs {request_id}: {received.first_line}"
            )
            self.runs.append(
                Run(request_id, received.headers, received.first_line, received.body, at)
            )
            await asyncio.sleep(self.work_s)
        finally:
            self._busy -= 1
        signed = {**echoed, "X-Response-Signature": f"s.{self.id}"}
        return message("HTTP/1.1 200 OK", signed, f"{self.service} ran {request_id}".encode())


class Machine:
    """A machine of the class `sidecar`, and the process of its daemon."""

    def __init__(self, fleet: Fleet, number: int, zone: str, service: str) -> None:
        """Create a machine whose daemon isn't started yet."""
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"{fleet.prefix}.{number}"
        self.zone = zone
        self.service = service
        self.started_at = 0.0
        self._fleet = fleet
        self._process: subprocess.Popen[bytes] | None = None
        self._path = fleet.folder / f"{self.name}.yaml"
        self._log = fleet.folder / f"{self.name}.log"

    def fields(self, bootstrap: bool) -> dict[str, Any]:
        """Return the fields with which the platform fills in the template of the settings."""
        names = {"inbound": INBOUND, "outbound": OUTBOUND, "ready": READY, "control": CONTROL}
        return {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": "here",
            "port_range": list(PORT_RANGE),
            "bootstrap": bootstrap,
            "app_addr": f"{self.ip}:{APP}",
            "service": self.service,
            "listen_addrs": {name: f"{self.ip}:{port}" for name, port in names.items()},
            "limits": {"bandwidth_mbps": 1000.0},
            "bounds": self._fleet.bounds,
            "platform": {"address": self._fleet.store_address},
        }

    def start(self, bootstrap: bool = False) -> None:
        """Start the daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["daemon"]
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        self._path.write_text(render(template, self.fields(bootstrap)), encoding="utf-8")
        command = role["run"].replace("/etc/hornbeamgw/node.toml", str(self._path)).split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HORNBEAMGW_NODE_FILE": str(self._path),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.started_at = self._fleet.record.add(f"daemon of {self.name} starts")

    def signal(self, number: signal.Signals) -> float:
        """Send a signal to the daemon's process; return the time."""
        assert self._process is not None
        self._process.send_signal(number)
        return self._fleet.record.add(f"daemon of {self.name} gets {number.name}")

    async def wait_ended(self) -> None:
        """Wait until the daemon's process has ended."""
        assert self._process is not None
        while self._process.poll() is None:
            await asyncio.sleep(0.01)
        self._fleet.record.add(f"daemon of {self.name} ended with {self._process.returncode}")

    @property
    def is_running(self) -> bool:
        """Return whether the daemon's process runs."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """End the daemon's process if it runs, and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the daemon answers that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, READY)
                writer.write(message("GET /-/readyz HTTP/1.1", {"Host": self.ip}))
                answer = await read_message(reader)
                writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return answer is not None and " 200 " in answer.first_line


class Fleet:
    """Machines with their daemons, the platform's store, and clients."""

    def __init__(self, record: Record) -> None:
        """Choose loopback addresses that are free."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = _free_prefix()
        self.store = StandInStore()
        self.store_address = ""
        self.machines: list[Machine] = []
        self.instances: list[Instance] = []
        self.answers: list[Answer] = []
        self.bounds: dict[str, float] = dict(BOUNDS)
        self.on_close: list[Callable[[], None]] = []

    async def start(
        self,
        services: list[str],
        slots: int = 6,
        work_s: float = 0.03,
        instance_type: type[Instance] = Instance,
    ) -> None:
        """Start the store, and a machine with an instance for each entry of `services`."""
        self.store_address = await self.store.start(f"{self.prefix}.250:8309")
        for number, service in enumerate(services, 1):
            self.machines.append(Machine(self, number, f"zone-{number % 2}", service))
        for machine in self.machines:
            machine.start(bootstrap=True)
        for machine in self.machines:
            instance = instance_type(self.record, machine, machine.service, slots, work_s)
            await instance.start()
            self.instances.append(instance)

    async def wait_ready(self) -> None:
        """Wait until all daemons are ready; raise CannotRun if they aren't in time."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRun(f"daemon of {machine.name} isn't ready")
                await asyncio.sleep(0.05)
        self.record.add("all daemons are ready")

    def put_config(
        self,
        version: int,
        routes: list[dict[str, Any]],
        services: list[str],
        tenants: list[list[Any]] | None = None,
    ) -> float:
        """Write a configuration as the operator does; return the time of its acknowledgement."""
        columns = ["name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority", "service"]
        columns += ["attempts", "traffic_split"]
        rows = [[route.get(column) for column in columns] for route in routes]
        service_rows = [[name, "/healthz", 110, "h1", False] for name in services]
        service_columns = ["name", "health_path", "max_conns", "protocol", "tls"]
        document = {
            "version": version,
            "routes": {"columns": columns, "rows": rows},
            "services": {"columns": service_columns, "rows": service_rows},
            "limits": LIMITS,
        }
        if tenants:
            tenant_columns = ["name", "api_keys", "priority", "rate_per_s", "burst"]
            document["tenants"] = {"columns": tenant_columns, "rows": tenants}
        self.store.put("op", "config", msgspec.msgpack.encode(document))
        names = ", ".join(f"{route['name']} at {route['prefix']}" for route in routes)
        return self.record.add(f"operator: version {version} is acknowledged, routes {names}")

    async def call(
        self,
        machine: Machine,
        method: str,
        target: str,
        host: str = "desk.example",
        timeout_ms: int = 1000,
        body: bytes = b"",
        request_id: str = "",
        more: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request on a new connection to the daemon of a machine, as a client does."""
        request_id = request_id or uuid.uuid4().hex[:16]
        headers = {"Host": host, "X-Request-Id": request_id, "X-Timeout-Ms": str(timeout_ms)}
        headers |= more or {}
        sent_at = self.record.add(f"client sends {request_id} to {machine.name}: {method} {target}")
        answer: Message | None = None
        try:
            async with asyncio.timeout(timeout_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(machine.ip, OUTBOUND)
                try:
                    writer.write(message(f"{method} {target} HTTP/1.1", headers, body))
                    answer = await read_message(reader)
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            pass
        status = 0 if answer is None else int(answer.first_line.split()[1])
        ended_at = self.record.add(f"client gets {status or 'no answer'} to {request_id}")
        fields = {} if answer is None else answer.headers
        got = Answer(
            request_id, status, fields, b"" if answer is None else answer.body, sent_at, ended_at
        )
        self.answers.append(got)
        return got

    def close(self) -> None:
        """End all processes and listeners that were started here."""
        for machine in self.machines:
            machine.kill()
        for instance in self.instances:
            instance.stop()
        for close in self.on_close:
            close()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_prefix() -> str:
    """Return the first three numbers of loopback addresses at which the ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (PORT_RANGE[0], INBOUND, APP, READY, OUTBOUND, CONTROL, METRICS):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{prefix}.1", port))
        except OSError:
            continue
        return prefix
    raise CannotRun("no free loopback addresses")


async def _play(folder: Path, run: Callable[[Fleet, Record], Awaitable[int]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    record = Record(folder / "record.txt")
    try:
        fleet = Fleet(record)
        try:
            return await run(fleet, record)
        finally:
            fleet.close()
    except (CannotRun, asyncio.CancelledError) as error:
        record.add(f"cannot run: {error!r}")
        return CANNOT_RUN
    finally:
        record.close()


def play(folder: Path, run: Callable[[Fleet, Record], Awaitable[int]]) -> int:
    """Run a case with a record in its folder, end all that it started, and return its result."""
    return asyncio.run(_play(folder, run))
