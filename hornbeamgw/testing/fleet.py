"""Fleet: real daemons, backend servers and a platform as processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from hornbeamgw.daemon.http1 import HttpClient

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
REQUEST_TIMEOUT_S = 30.0
SEEDS = 5


class Place(NamedTuple):
    """Say where a daemon runs and what is beside it; no service means no backend server."""

    data_centre: str
    region: str
    service: str = ""
    slots: int = 6
    connections: int = 130
    work_ms: float = 2.0


class Child:
    """Hold one process and what it said when it was ready."""

    def __init__(self, process: asyncio.subprocess.Process, log_path: Path) -> None:
        """Take the process and the file of its log."""
        self.process = process
        self.log_path = log_path
        self.copying: asyncio.Task[None] | None = None
        self.settings_path: Path | None = None
        self.said: dict[str, Any] = {}

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def stop(self, limit: float = STOP_TIMEOUT_S) -> int:
        """Ask the process to stop, kill it after a limit (s), and return its exit code."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(limit):
                return await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await self.process.wait()


class Node:
    """Hold a daemon and the backend server beside it."""

    def __init__(self, place: Place, daemon: Child, backend: Child | None) -> None:
        """Take the processes of one VM."""
        self.place = place
        self.daemon = daemon
        self.backend = backend

    @property
    def callers(self) -> str:
        """Return the address that callers use."""
        return str(self.daemon.said["callers"])

    @property
    def admin(self) -> str:
        """Return the address that operators use."""
        return str(self.daemon.said["admin"])

    @property
    def address(self) -> str:
        """Return the address that other daemons use."""
        return str(self.daemon.said["address"])


async def ask(address: str, method: str, target: str, document: object = None) -> Any:
    """Ask an HTTP server for JSON; raise OSError, TimeoutError or ConnectionLost."""
    client = HttpClient(address, REQUEST_TIMEOUT_S)
    body = b"" if document is None else msgspec.json.encode(document)
    try:
        response = await client.request(method, target, body=body)
    finally:
        client.close()
    return msgspec.json.decode(response.body)


async def _copy_log(child: Child) -> None:
    """Keep what a process writes on standard output after its first line, to its end."""
    assert child.process.stdout is not None
    with child.log_path.open("ab") as log_file:
        while line := await child.process.stdout.readline():
            log_file.write(line)
            log_file.flush()


class Fleet:
    """Own the processes of a fleet; use as an asynchronous context."""

    def __init__(self, name: str, overrides: dict[str, Any] | None = None) -> None:
        """Take a fleet name and settings that differ from the usual."""
        self.name = name
        self.nodes: list[Node] = []
        self.platform: Child | None = None
        self._overrides = overrides or {}
        self._folder = tempfile.TemporaryDirectory(prefix="hornbeamgw-")
        self._started = 0
        self._others: list[Child] = []

    async def __aenter__(self) -> Fleet:
        """Start the platform."""
        command = ["hornbeamgw.testing.command", "platform"]
        self.platform = await self._spawn("platform", command)
        self.platform.said = await self._first_line(self.platform, "listening")
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop everything."""
        children = [node.daemon for node in self.nodes]
        children += [node.backend for node in self.nodes if node.backend is not None]
        children += self._others
        children += [self.platform] if self.platform is not None else []
        for child in children:
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGKILL)
        await asyncio.gather(*(child.process.wait() for child in children))
        self._folder.cleanup()

    @property
    def folder(self) -> str:
        """Return the folder of settings and logs, which goes with the fleet."""
        return self._folder.name

    @property
    def platform_address(self) -> str:
        """Return the address of the platform."""
        assert self.platform is not None
        return str(self.platform.said["listening"])

    async def _spawn(self, name: str, module: Sequence[str]) -> Child:
        self._started += 1
        log_path = Path(self._folder.name) / f"{self._started:04d}-{name}.log"
        with log_path.open("wb") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *module,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
            )
        return Child(process, log_path)

    async def _first_line(self, child: Child, key: str) -> dict[str, Any]:
        assert child.process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await child.process.stdout.readline()
        if not line:
            raise RuntimeError(f"a process ended at start: {child.log_path.read_text()[-2000:]}")
        said: dict[str, Any] = msgspec.json.decode(line)
        if key not in said:
            raise RuntimeError(f"expected {key!r} in {said!r}")
        child.copying = asyncio.create_task(_copy_log(child))
        return said

    def _settings(self, place: Place, fixed: dict[str, str] | None) -> dict[str, Any]:
        local = [n.address for n in self.nodes if n.place.data_centre == place.data_centre]
        others = [n.address for n in self.nodes if n.place.data_centre != place.data_centre]
        base: dict[str, Any] = {
            "fleet": self.name,
            "data_centre": place.data_centre,
            "region": place.region,
            "address": "127.0.0.1:0",
            "callers": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "seeds": local[:SEEDS] + others[:SEEDS],
            "platform": {"address": self.platform_address},
            "log_level": "INFO",
        }
        return {**base, **self._overrides, **(fixed or {})}

    async def start_daemon(self, place: Place, fixed: dict[str, str] | None = None) -> Child:
        """Start one daemon, at fixed addresses where it takes the place of another."""
        path = Path(self._folder.name) / f"settings-{self._started + 1:04d}.yaml"
        path.write_bytes(msgspec.yaml.encode(self._settings(place, fixed)))
        command = ["hornbeamgw", "daemon", "--settings", str(path), "--print-addresses"]
        child = await self._spawn("daemon", command)
        child.settings_path = path
        child.said = await self._first_line(child, "callers")
        return child

    async def start_backend(self, place: Place, daemon: Child, announced: str = "") -> Child | None:
        """Start the backend server beside a daemon, where the place has one.

        It may announce another address than its own, that of a proxy to it.
        """
        if not place.service:
            return None
        command = ["hornbeamgw.testing.command", "backend", "--daemon", daemon.said["admin"]]
        command += ["--service", place.service, "--slots", str(place.slots)]
        command += ["--connections", str(place.connections), "--work-ms", str(place.work_ms)]
        command += ["--announced", announced] if announced else []
        child = await self._spawn("backend", command)
        child.said = await self._first_line(child, "listening")
        return child

    async def start_other(self, name: str, module: Sequence[str]) -> str:
        """Start another process that says where it listens, and return the address."""
        child = await self._spawn(name, module)
        self._others.append(child)
        return str((await self._first_line(child, "listening"))["listening"])

    async def start_node(self, place: Place) -> Node:
        """Start a daemon and the backend server beside it."""
        daemon = await self.start_daemon(place)
        backend = await self.start_backend(place, daemon)
        node = Node(place, daemon, backend)
        self.nodes.append(node)
        return node

    async def start_nodes(self, places: Sequence[Place], at_once: int = 8) -> None:
        """Start nodes, some at once; the first alone, for the others to join."""
        await self.start_node(places[0])
        for start in range(1, len(places), at_once):
            batch = places[start : start + at_once]
            await asyncio.gather(*(self.start_node(place) for place in batch))

    async def restart_daemon(self, node: Node) -> None:
        """Start a daemon with nothing at the addresses of one that ended."""
        keys = ("address", "callers", "admin")
        fixed = {key: str(node.daemon.said[key]) for key in keys}
        node.daemon = await self.start_daemon(node.place, fixed)

    async def fault(self, **fault: object) -> None:
        """Put a fault of the platform in force."""
        await ask(self.platform_address, "POST", "/control", fault)

    async def versions(self) -> list[dict[str, Any]]:
        """Return what each living daemon has in force."""
        alive = [node for node in self.nodes if node.daemon.alive]
        return list(await asyncio.gather(*(ask(n.admin, "GET", "/version") for n in alive)))

    async def wait_in_force(self, version: int, limit: float) -> bool:
        """Return whether every living daemon has a version in force within a limit (s)."""
        loop = asyncio.get_running_loop()
        end = loop.time() + limit
        while loop.time() < end:
            if all(row["in_force"] >= version for row in await self.versions()):
                return True
            await asyncio.sleep(0.05)
        return False

    async def wait_members(self, limit: float) -> bool:
        """Return whether every living daemon sees all the others within a limit (s)."""
        loop = asyncio.get_running_loop()
        end = loop.time() + limit
        alive = [node for node in self.nodes if node.daemon.alive]
        while loop.time() < end:
            rows = await asyncio.gather(*(ask(n.admin, "GET", "/counters") for n in alive))
            if all(row["members"] >= len(alive) for row in rows):
                return True
            await asyncio.sleep(0.1)
        return False
