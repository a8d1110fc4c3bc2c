"""Requests that wait for an instance are given to another service's that has got its address."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import APP, BOUNDS, CannotRun, Fleet, Instance, Machine, Record, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = BOUNDS["contact_ms"] / 1000
REUSE_AFTER_S = BOUNDS["reuse_after_s"]
SERVICES = ["entries", "entries", "entries", "racebook", "racebook"]
# The ports at which instances listen behind the address that they have on the network.
FIRST_PORT, SECOND_PORT = 9301, 9302
WORK_S = 0.3
SENDERS = 36
ROUTES = [
    {
        "name": name,
        "host": "desk.example",
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": slo_ms,
        "priority": 1,
        "service": service,
        "attempts": 2,
    }
    for name, prefix, kind, service, timeout_ms, slo_ms in (
        ("crew-lookup", "/crew/", "safe", "entries", 4000, 1500),
        ("boat-entry", "/boat/", "unsafe", "entries", 4000, 1500),
        ("draw-sheet", "/draw/", "safe", "racebook", 4000, 1500),
    )
]


class Network:
    """The network in front of one instance: carries its bytes, or none at all."""

    def __init__(self, ip: str) -> None:
        """Create a network that carries nothing yet."""
        self.ip = ip
        self.is_silent = False
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at the application address."""
        self._server = await asyncio.start_server(self._accept, self.ip, APP)

    def assign(self, port: int) -> None:
        """Give the address to the instance at `port`; it knows none of the open connections."""
        self._port, self.is_silent = port, False
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while self.is_silent:
                await asyncio.sleep(0.01)
            upstream_reader, upstream = await asyncio.open_connection(self.ip, self._port)
            self._writers.add(upstream)
            try:
                await asyncio.wait(
                    [
                        asyncio.create_task(self._carry(reader, upstream)),
                        asyncio.create_task(self._carry(upstream_reader, writer)),
                    ],
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                self._writers.discard(upstream)
                upstream.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                while self.is_silent:
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass


class BehindNetwork(Instance):
    """An instance that is reached through a network."""

    port = FIRST_PORT
    beats_after_s = 0.0

    async def start(self) -> None:
        """Listen behind the network, and begin to send heartbeats after a while."""
        self._server = await asyncio.start_server(self._serve, self._machine.ip, self.port)
        self._record.add(f"instance {self.id} of {self.service} starts, {self._machine.ip}:{APP}")
        self._beats = asyncio.create_task(self._beat_later())

    async def _beat_later(self) -> None:
        await asyncio.sleep(self.beats_after_s)
        await self._beat()


async def send_calls(fleet: Fleet, machine: Machine) -> None:
    """Send one request after the other for `entries`, until cancelled."""
    while True:
        if random.random() < 0.5:
            await fleet.call(machine, "POST", "/boat/7", timeout_ms=4000, body=b"one boat")
        else:
            await fleet.call(machine, "GET", "/crew/7", timeout_ms=4000)


async def replace(fleet: Fleet, network: Network) -> Instance:
    """Let the first instance fall silent and end, and give its address to another service."""
    ended, machine = fleet.instances[0], fleet.machines[0]
    network.is_silent = True
    ended.stop_beats()
    fleet.record.add(f"instance {ended.id} of {ended.service} falls silent and has ended")
    await asyncio.sleep(REUSE_AFTER_S + 0.2)
    successor = BehindNetwork(fleet.record, machine, "racebook", work_s=WORK_S)
    successor.port = SECOND_PORT
    await successor.start()
    network.assign(SECOND_PORT)
    fleet.instances.append(successor)
    fleet.record.add(f"instance {successor.id} of {successor.service} has the address now")
    return successor


async def run(fleet: Fleet, record: Record) -> int:
    """Play the case and return the exit code."""
    await fleet.start(SERVICES, work_s=WORK_S, instance_type=BehindNetwork)
    networks = [Network(machine.ip) for machine in fleet.machines]
    fleet.on_close += [network.close for network in networks]
    for network in networks:
        await network.start()
        network.assign(FIRST_PORT)
    fleet.put_config(3, ROUTES, ["entries", "racebook"])
    await fleet.wait_ready()
    await asyncio.sleep(CONTACT_S + 1.0)
    senders = [
        asyncio.create_task(send_calls(fleet, fleet.machines[number % len(SERVICES)]))
        for number in range(SENDERS)
    ]
    await asyncio.sleep(5.0)
    if not fleet.instances[0].runs:
        raise CannotRun("the instance got no request")
    if TROUBLE:
        await replace(fleet, networks[0])
    await asyncio.sleep(6.0)
    for sender in senders:
        sender.cancel()
    return judge(fleet, record)


def judge(fleet: Fleet, record: Record) -> int:
    """Return 1 if ROUTE is broken: an instance ran a request for another service."""
    broken = [
        (instance, ran)
        for instance in fleet.instances
        for ran in instance.runs
        if instance.service != "entries"
    ]
    record.add(f"{len(fleet.answers)} requests for entries, none for racebook")
    for instance, ran in broken:
        expected = ran.headers.get("x-expect-instance", "none")
        record.add(
            f"ROUTE broken: {ran.first_line} {ran.request_id}, X-Expect-Instance {expected}, "
            f"was run by {instance.id} of {instance.service}"
        )
    record.add(f"result: {len(broken)} requests were run by another service")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(play(HERE, run))
