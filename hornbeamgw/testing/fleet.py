"""Fleet: runs daemons, backend servers and a stand-in platform as processes on loopback."""

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
from hornbeamgw.testing.room import OnClose

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
REQUEST_TIMEOUT_S = 30.0
# For the daemons of the same data centre and for all others.
MAX_SEEDS_PER_GROUP = 5
# Deployments install the dependencies into a folder of the search path, without a site module.
WITHOUT_SITE = ("-S",)


class NodeSpec(NamedTuple):
    """The location of a node and the parameters of its backend server.

    Without a service, the node runs a daemon only.
    """

    data_centre: str
    region: str
    service: str = ""
    slots: int = 6
    connections: int = 130
    work_ms: float = 2.0
    instance: str = ""
    queue: int | None = None
    on_close: OnClose = OnClose.WORK


class ChildProcess:
    """A child process and the addresses that it printed when it was ready."""

    def __init__(self, process: asyncio.subprocess.Process, log_path: Path) -> None:
        """Use a started process and the path of its log file."""
        self.process = process
        self.log_path = log_path
        self.log_task: asyncio.Task[None] | None = None
        self.settings_path: Path | None = None
        self.bound_addresses: dict[str, Any] = {}

    @property
    def alive(self) -> bool:
        """Return whether the process is running."""
        return self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, kill the process after a timeout in seconds, and return its exit code."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_s):
                return await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await self.process.wait()


class Node:
    """A daemon and the backend server on the same VM."""

    def __init__(self, spec: NodeSpec, daemon: ChildProcess, backend: ChildProcess | None) -> None:
        """Use the started processes of one VM."""
        self.spec = spec
        self.daemon = daemon
        self.backend = backend

    @property
    def callers(self) -> str:
        """Return the address for callers."""
        return str(self.daemon.bound_addresses["callers"])

    @property
    def admin(self) -> str:
        """Return the address of the admin API."""
        return str(self.daemon.bound_addresses["admin"])

    @property
    def address(self) -> str:
        """Return the address for other daemons."""
        return str(self.daemon.bound_addresses["address"])


async def request_json(address: str, method: str, target: str, document: object = None) -> Any:
    """Send an HTTP request and return the decoded JSON response.

    Raises OSError, TimeoutError or ConnectionLost.
    """
    client = HttpClient(address, REQUEST_TIMEOUT_S)
    body = b"" if document is None else msgspec.json.encode(document)
    try:
        response = await client.request(method, target, body=body)
    finally:
        client.close()
    return msgspec.json.decode(response.body)


def _search_path(options: Sequence[str]) -> dict[str, str]:
    """Return the environment in which a process without a site module finds the dependencies."""
    if "-S" not in options:
        return {}
    folders = [path for path in sys.path if path.endswith("site-packages")]
    return {"PYTHONPATH": os.pathsep.join(folders)}


async def _copy_log(child: ChildProcess) -> None:
    """Append the remaining standard output of a process to its log file."""
    assert child.process.stdout is not None
    with child.log_path.open("ab") as log_file:
        while line := await child.process.stdout.readline():
            log_file.write(line)
            log_file.flush()


class Fleet:
    """The processes of a fleet, as an asynchronous context manager."""

    def __init__(
        self,
        name: str,
        overrides: dict[str, Any] | None = None,
        daemon_code: str | None = None,
        as_deployed: bool = False,
    ) -> None:
        """Set the fleet name and the settings that override the defaults of all daemons.

        Daemons run the code in the folder `daemon_code`, by default that of this process. With
        `as_deployed` they are started by the module that deployments run, with settings in JSON,
        and not by the command line.
        """
        self.name = name
        self._daemon_code = daemon_code
        self._as_deployed = as_deployed
        self.nodes: list[Node] = []
        self.platform: ChildProcess | None = None
        self._overrides = overrides or {}
        self._folder = tempfile.TemporaryDirectory(prefix="hornbeamgw-")
        self._started_count = 0
        self._other_processes: list[ChildProcess] = []

    async def __aenter__(self) -> Fleet:
        """Start the stand-in platform."""
        command = ["hornbeamgw.testing.command", "platform"]
        self.platform = await self._spawn("platform", command)
        self.platform.bound_addresses = await self._first_line(self.platform, "listening")
        return self

    async def __aexit__(self, *error: object) -> None:
        """Kill all processes and delete the folder."""
        children = [node.daemon for node in self.nodes]
        children += [node.backend for node in self.nodes if node.backend is not None]
        children += self._other_processes
        children += [self.platform] if self.platform is not None else []
        for child in children:
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGKILL)
        await asyncio.gather(*(child.process.wait() for child in children))
        self._folder.cleanup()

    @property
    def folder(self) -> str:
        """Return the temporary folder of settings and logs."""
        return self._folder.name

    @property
    def platform_address(self) -> str:
        """Return the address of the stand-in platform."""
        assert self.platform is not None
        return str(self.platform.bound_addresses["listening"])

    async def _spawn(
        self,
        name: str,
        module_args: Sequence[str],
        folder: str | None = None,
        options: Sequence[str] = (),
    ) -> ChildProcess:
        self._started_count += 1
        log_path = Path(self._folder.name) / f"{self._started_count:04d}-{name}.log"
        with log_path.open("wb") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *options,
                "-m",
                *module_args,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **_search_path(options)},
                cwd=folder,
            )
        return ChildProcess(process, log_path)

    async def _first_line(self, child: ChildProcess, key: str) -> dict[str, Any]:
        """Return the first line that has a key; log lines may precede it."""
        assert child.process.stdout is not None
        log_lines: list[bytes] = []
        async with asyncio.timeout(START_TIMEOUT_S):
            while line := await child.process.stdout.readline():
                bound_addresses: dict[str, Any] = msgspec.json.decode(line)
                if key in bound_addresses:
                    break
                if "message" not in bound_addresses:
                    raise RuntimeError(f"expected key {key!r} or a log line: {bound_addresses!r}")
                log_lines.append(line)
        with child.log_path.open("ab") as log_file:
            log_file.writelines(log_lines)
        if not line:
            raise RuntimeError(
                f"process exited during startup: {child.log_path.read_text()[-2000:]}"
            )
        child.log_task = asyncio.create_task(_copy_log(child))
        return bound_addresses

    def _settings(self, spec: NodeSpec, fixed_addresses: dict[str, str] | None) -> dict[str, Any]:
        local = [n.address for n in self.nodes if n.spec.data_centre == spec.data_centre]
        others = [n.address for n in self.nodes if n.spec.data_centre != spec.data_centre]
        base: dict[str, Any] = {
            "fleet": self.name,
            "data_centre": spec.data_centre,
            "region": spec.region,
            "address": "127.0.0.1:0",
            "callers": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "seeds": local[:MAX_SEEDS_PER_GROUP] + others[:MAX_SEEDS_PER_GROUP],
            "platform": {"address": self.platform_address},
            "log_level": "INFO",
        }
        return {**base, **self._overrides, **(fixed_addresses or {})}

    async def start_daemon(
        self, spec: NodeSpec, fixed_addresses: dict[str, str] | None = None
    ) -> ChildProcess:
        """Start one daemon, on free ports unless fixed addresses are given."""
        path = Path(self._folder.name) / f"settings-{self._started_count + 1:04d}.yaml"
        settings = self._settings(spec, fixed_addresses)
        if self._as_deployed:
            path.write_bytes(msgspec.json.encode(settings))
            command = ["hornbeamgw.daemon", str(path)]
            child = await self._spawn("daemon", command, self._daemon_code, WITHOUT_SITE)
        else:
            path.write_bytes(msgspec.yaml.encode(settings))
            command = ["hornbeamgw", "daemon", "--settings", str(path), "--print-addresses"]
            child = await self._spawn("daemon", command, self._daemon_code)
        child.settings_path = path
        child.bound_addresses = await self._first_line(child, "callers")
        return child

    async def start_backend(
        self, spec: NodeSpec, daemon: ChildProcess, announced: str = ""
    ) -> ChildProcess | None:
        """Start the backend server of a node, or return None if its spec has no service.

        The server announces its own address unless another one is given, such as a proxy's.
        """
        if not spec.service:
            return None
        command = [
            "hornbeamgw.testing.command",
            "backend",
            "--daemon",
            daemon.bound_addresses["admin"],
        ]
        command += ["--service", spec.service, "--slots", str(spec.slots)]
        command += ["--connections", str(spec.connections), "--work-ms", str(spec.work_ms)]
        command += ["--announced", announced] if announced else []
        command += ["--instance", spec.instance] if spec.instance else []
        command += [] if spec.queue is None else ["--queue", str(spec.queue)]
        command += ["--on-close", spec.on_close]
        child = await self._spawn("backend", command)
        child.bound_addresses = await self._first_line(child, "listening")
        return child

    async def start_process(self, name: str, module_args: Sequence[str]) -> str:
        """Start a Python module that prints its listening address, and return the address."""
        child = await self._spawn(name, module_args)
        self._other_processes.append(child)
        return str((await self._first_line(child, "listening"))["listening"])

    async def start_node(self, spec: NodeSpec) -> Node:
        """Start a node: a daemon and, if its spec has a service, a backend server."""
        daemon = await self.start_daemon(spec)
        backend = await self.start_backend(spec, daemon)
        node = Node(spec, daemon, backend)
        self.nodes.append(node)
        return node

    async def start_nodes(self, specs: Sequence[NodeSpec], concurrency: int = 8) -> None:
        """Start the first node, then the others in concurrent batches, so that they can join it."""
        await self.start_node(specs[0])
        for start in range(1, len(specs), concurrency):
            batch = specs[start : start + concurrency]
            await asyncio.gather(*(self.start_node(spec) for spec in batch))

    async def restart_daemon(self, node: Node) -> None:
        """Start a daemon without state at the addresses of one that has exited."""
        keys = ("address", "callers", "admin")
        fixed_addresses = {key: str(node.daemon.bound_addresses[key]) for key in keys}
        node.daemon = await self.start_daemon(node.spec, fixed_addresses)

    async def fault(self, **fault: object) -> None:
        """Set the fault that the stand-in platform simulates."""
        await request_json(self.platform_address, "POST", "/control", fault)

    async def versions(self) -> list[dict[str, Any]]:
        """Return the version document of each running daemon."""
        alive = [node for node in self.nodes if node.daemon.alive]
        return list(
            await asyncio.gather(*(request_json(n.admin, "GET", "/version") for n in alive))
        )

    async def wait_in_force(self, version: int, timeout_s: float) -> bool:
        """Wait until all running daemons have a version in force; return False on timeout."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while loop.time() < end:
            if all(row["in_force"] >= version for row in await self.versions()):
                return True
            await asyncio.sleep(0.05)
        return False

    async def wait_members(self, timeout_s: float) -> bool:
        """Wait until all running daemons see all members; return False on timeout."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        alive = [node for node in self.nodes if node.daemon.alive]
        while loop.time() < end:
            rows = await asyncio.gather(*(request_json(n.admin, "GET", "/counters") for n in alive))
            if all(row["members"] >= len(alive) for row in rows):
                return True
            await asyncio.sleep(0.1)
        return False
