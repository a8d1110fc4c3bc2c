"""A small deployment on loopback: daemons as processes, and stand-ins for all that is around them.

The store is the project's own stand-in. Instances and clients are written here, from PROTOCOL.md.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import msgspec  # noqa: E402

from hornbeamgw.testing.store import StandInStore  # noqa: E402
from hornbeamgw.testing.template import render  # noqa: E402

HEARTBEAT_S = 1.5
METRICS_PORT = 9464
HOST = "desk.example"

RigType = TypeVar("RigType", bound="Rig")


_chosen_ports: set[int] = set()


def free_port(host: str) -> int:
    """Return a port of a loopback address that is free for TCP and UDP, a new one each time."""
    while True:
        port = random.randrange(20_000, 32_000)
        if port in _chosen_ports:
            continue
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
            _chosen_ports.add(port)
            return port


def reserve_octet() -> tuple[int, socket.socket]:
    """Return the second number of loopback addresses that nobody else uses, and its lock."""
    while True:
        octet, lock = random.randrange(16, 250), socket.socket()
        try:
            lock.bind((f"127.{octet}.0.1", METRICS_PORT))
        except OSError:
            lock.close()
            continue
        return octet, lock


class Record:
    """The file with what was sent, answered and run; times are in seconds from its start."""

    def __init__(self, path: Path) -> None:
        """Create or replace the file."""
        self.started = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.note(text)
        print(f"{self.now():9.3f} {text}", flush=True)


class Valve:
    """A TCP proxy whose open connections can go silent while new ones work."""

    def __init__(self, target: str) -> None:
        """Create a proxy to an address."""
        self.target = target
        self.address = ""
        self.is_closed = False
        self.epoch = 0
        self.epochs: dict[asyncio.StreamWriter, int] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self.address

    def silence(self) -> int:
        """Pass nothing on any more on the connections that are open; return their number."""
        self.epoch += 1
        return len(self.epochs)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.epochs[writer] = epoch = self.epoch
        upstream: asyncio.StreamWriter | None = None
        try:
            host, _, port = self.target.rpartition(":")
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._copy(reader, upstream, epoch), self._copy(upstream_reader, writer, epoch)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            del self.epochs[writer]
            self._tasks.discard(task)
            for each in (writer, upstream):
                if each is not None:
                    each.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, epoch: int
    ) -> None:
        while data := await reader.read(65_536):
            if epoch == self.epoch:
                writer.write(data)
                await writer.drain()
        if epoch == self.epoch:
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return first line, headers and body of a request, or of a response with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return head[0], headers, body


class Answer:
    """What a client got: a status, or 0 and why there is none."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, error: str = "") -> None:
        """Store the parts of an answer."""
        self.status, self.headers, self.body, self.error = status, headers, body, error


async def ask(
    address: str,
    method: str,
    path: str,
    request_id: str,
    timeout_ms: int,
    body: bytes = b"",
    host: str = HOST,
    more: dict[str, str] | None = None,
    patience_s: float = 0.0,
) -> Answer:
    """Send one request on a new connection, as a client does that leaves at its deadline."""
    head = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request_id}"]
    head += [f"X-Timeout-Ms: {timeout_ms}", *(f"{k}: {v}" for k, v in (more or {}).items())]
    if body:
        head.append(f"Content-Length: {len(body)}")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_ms / 1000 + patience_s):
            ip, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write("\r\n".join([*head, "", ""]).encode() + body)
            line, headers, answer = await read_message(reader)
            return Answer(int(line.split()[1]), headers, answer)
    except TimeoutError:
        return Answer(0, {}, b"", "no answer in time")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(0, {}, b"", f"cut: {type(error).__name__}")
    finally:
        if writer is not None:
            writer.close()


class Instance:
    """An application instance: it registers at its machine's daemon, and runs requests."""

    _numbers = itertools.count(1)

    def __init__(self, rig: Rig, machine: Machine, service: str, slots: int, work: float) -> None:
        """Create an instance of a service; `work` is in seconds."""
        self.id = f"i-{next(self._numbers):04d}{random.randrange(1 << 16):04x}"
        self.rig, self.machine, self.service, self.slots, self.work = (
            rig,
            machine,
            service,
            slots,
            work,
        )
        self.address = f"{machine.ip}:{machine.app_port}"
        self.runs: list[tuple[float, str]] = []
        self.sheds = False
        self.breaks_answers = False
        self.sequence = 0
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, self.machine.app_port
        )
        self._beat = asyncio.create_task(self._beats())

    def stop(self) -> None:
        """End at once."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beats(self) -> None:
        while True:
            await self.beat("ready")
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self, state: str) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        info = {"service": self.service, "version": "v1", "zone": self.machine.zone}
        status = {"state": state, "sequence": self.sequence, "warmup_left_ms": 0}
        message = {
            "address": self.address,
            "info": {**info, "capacity": self.slots},
            "status": status,
        }
        return await self._call("PUT", msgspec.msgpack.encode(message))

    async def _call(self, method: str, body: bytes) -> bool:
        head = f"{method} /-/instances/{self.id} HTTP/1.1\r\nHost: {self.machine.control}\r\n"
        head += f"Content-Type: application/msgpack\r\nContent-Length: {len(body)}\r\n\r\n"
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(1.0):
                ip, _, port = self.machine.control.rpartition(":")
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(head.encode() + body)
                line, _, _ = await read_message(reader)
                return line.split()[1].startswith("2")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                if path == "/healthz":
                    self._send(writer, 200, {"X-Instance-Id": self.id}, b"")
                    continue
                await self._run(writer, method, path, headers, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        request_id = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        self.rig.arrivals.append((self.rig.record.now(), request_id, self.service, self.id))
        if headers.get("x-expect-instance", self.id) != self.id:
            self._send(writer, 421, {**echo, "X-Instance-Id": self.id}, b"")
            return
        if self.sheds or self._waiting >= 4 * self.slots:
            self._send(writer, 503, {**echo, "X-Not-Executed": "1"}, b"")
            return
        self._waiting += 1
        try:
            async with self._free:
                at = self.rig.record.now()
                self.runs.append((at, request_id))
                self.rig.note_run(at, request_id, self, method, path, headers, body)
                await asyncio.sleep(self.work)
        finally:
            self._waiting -= 1
        if self.breaks_answers:
            writer.transport.abort()
            raise ConnectionResetError
        signed = {**echo, "X-Response-Signature": f"s.{self.id}.{request_id}"}
        self._send(writer, 200, signed, f"{self.service} {request_id}".encode())

    def _send(
        self, writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)


class Machine:
    """A machine of the deployment: the addresses of one daemon and its instance."""

    def __init__(self, rig: Rig, number: int, zone: str, service: str) -> None:
        """Choose free ports on a loopback address of its own."""
        self.rig, self.number, self.zone, self.service = rig, number, zone, service
        self.ip = f"127.{rig.octet}.0.{10 + number}"
        self.app_port = free_port(self.ip)
        self.inner = [free_port(self.ip), free_port(self.ip)]
        self.inbound, self.outbound, self.ready, self.control = (
            f"{self.ip}:{free_port(self.ip)}" for _ in range(4)
        )
        self.valve: Valve | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.ends: list[tuple[float, int]] = []
        self.path = rig.folder / f"node-{number}.yaml"
        self.log_path = rig.folder / f"node-{number}.log"

    def settings(self) -> dict[str, Any]:
        """Return the fields that the platform fills the template from."""
        assert self.valve is not None
        return {
            "node_name": f"sidecar-{self.number}",
            "ip": self.ip,
            "zone": self.zone,
            "region": self.rig.region_of(self.zone),
            "port_range": self.inner,
            "bootstrap": self.starts == 0 and self.rig.is_first_start,
            "app_addr": f"{self.ip}:{self.app_port}",
            "service": self.service,
            "listen_addrs": {
                "inbound": self.inbound,
                "outbound": self.outbound,
                "ready": self.ready,
                "control": self.control,
            },
            "limits": {"bandwidth_mbps": 1000.0, "memory_mb": 300, "max_fds": 4100},
            "bounds": self.rig.bounds,
            "platform": {"address": self.valve.address},
        }

    def write_settings(self) -> None:
        """Place the settings file, as the platform does."""
        template = (ROOT / self.rig.role["template"]).read_text(encoding="utf-8")
        part = self.path.with_suffix(".part")
        part.write_text(render(template, self.settings()), encoding="utf-8")
        part.replace(self.path)

    def start(self) -> None:
        """Start the daemon with the command of the deploy file."""
        self.write_settings()
        command = [
            str(self.path) if word.startswith("/etc/hornbeamgw/") else word
            for word in self.rig.role["run"].split()
        ]
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env = {**kept, "PYTHONPATH": str(ROOT / "target" / "deps")}
        env["HORNBEAMGW_NODE_FILE"] = str(self.path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.starts += 1

    def signal(self, number: int) -> None:
        """Send a signal to the daemon, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask the daemon whether it is ready."""
        answer = await ask(self.ready, "GET", "/-/readyz", "ready", 500)
        return answer.status == 200


class Rig:
    """The whole deployment."""

    def __init__(
        self,
        record: Record,
        bounds: dict[str, Any],
        zones: dict[str, str],
        is_first_start: bool = True,
    ) -> None:
        """Create an empty deployment; `zones` has the region of each zone."""
        self.record, self.bounds, self.zones = record, bounds, zones
        self.is_first_start = is_first_start
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.octet, self._lock = reserve_octet()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.role = next(iter(deploy["roles"].values()))
        self.store = StandInStore()
        self.store_address = ""
        self.machines: list[Machine] = []
        self.instances: list[Instance] = []
        self.arrivals: list[tuple[float, str, str, str]] = []
        self.runs: list[tuple[float, str, str, str, dict[str, str]]] = []
        self.version = 0
        self._ids = itertools.count(1)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        return self.zones[zone]

    def new_id(self) -> str:
        """Return a new id of a request."""
        return f"{next(self._ids):08x}{random.randrange(1 << 32):08x}"

    def note_run(
        self,
        at: float,
        request_id: str,
        instance: Instance,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Record a run of a request."""
        self.runs.append((at, request_id, instance.service, path, headers))

    async def start_store(self) -> None:
        """Start the store."""
        self.store_address = await self.store.start(f"127.{self.octet}.0.2:0")

    async def add(self, zone: str, service: str) -> Machine:
        """Add a machine whose daemon is not started yet."""
        machine = Machine(self, len(self.machines), zone, service)
        machine.valve = Valve(self.store_address)
        await machine.valve.start(f"127.{self.octet}.0.3")
        self.machines.append(machine)
        return machine

    async def add_instance(self, machine: Machine, slots: int, work: float) -> Instance:
        """Start an instance of the machine's service."""
        instance = Instance(self, machine, machine.service, slots, work)
        await instance.start()
        self.instances.append(instance)
        return instance

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[str],
        tenants: list[dict[str, Any]] | None = None,
    ) -> int:
        """Write a configuration as the operator does; return its version."""
        self.version += random.randrange(1, 4)
        document = {
            "version": self.version,
            "routes": _columns(routes),
            "services": _columns([{"name": s, "health_path": "/healthz"} for s in services]),
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        if tenants is not None:
            document["tenants"] = _columns(tenants)
        self.store.put("op", "config", msgspec.msgpack.encode(document))
        return self.version

    async def wait_ready(self, timeout: float = 20.0) -> None:
        """Wait until all daemons are ready; raise TimeoutError."""
        async with asyncio.timeout(timeout):
            while not all(await asyncio.gather(*(m.is_ready() for m in self.machines))):
                await asyncio.sleep(0.1)

    def watch_ends(self) -> None:
        """Record daemons that have ended."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is not None:
                code = machine.process.returncode
                self.record.say(f"daemon {machine.number} ended with {code}")
                machine.ends.append((self.record.now(), code))
                machine.process = None

    def close(self) -> None:
        """End all that was started."""
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
            if machine.process is not None:
                machine.process.wait()
            if machine.valve is not None:
                machine.valve.close()
        for instance in self.instances:
            instance.stop()
        self.store.close()
        self._lock.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        with contextlib.suppress(OSError):
            shutil.rmtree(self.folder)


def _columns(items: list[dict[str, Any]]) -> dict[str, Any]:
    columns = list(dict.fromkeys(name for item in items for name in item))
    return {"columns": columns, "rows": [[item.get(c) for c in columns] for item in items]}


def store_rows(rig: Rig) -> list[tuple[str, str, bytes]]:
    """Return the rows of the store."""
    rows = rig.store.rows_by_table_and_key.values()
    return [(row.table, row.key, base64.b64decode(row.value)) for row in rows]


def run_case(
    folder: Path,
    create: Callable[[Record], RigType],
    play: Callable[[RigType, bool], Awaitable[int]],
) -> int:
    """Play a case and end all that it started; return the exit code of its script."""

    async def run() -> int:
        record = Record(folder / "record.txt")
        deployment = create(record)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await play(deployment, os.environ.get("TROUBLE") != "0")
        except (Exception, asyncio.CancelledError) as error:
            record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            deployment.close()
            await asyncio.sleep(0.1)

    return asyncio.run(run())
