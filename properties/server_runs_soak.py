"""Server runs soak: one address that servers of two services get in turn, and what they are sent.

A server falls silent, crashes, leaves or expires while requests run at it, wait for it or are about
to be sent; the next one is announced before or after it has the address. Whatever happens, a server
runs only what is for its service and never more than it has slots for, each request is answered
once, and what is told as not run did not run. Usage: python -m properties.server_runs_soak 1-50
"""

from __future__ import annotations

import asyncio
import logging
import random
import sys
from collections import Counter
from collections.abc import Sequence

from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Limits
from hornbeamgw.core.verdict import Verdict
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.testing.asker import HEAD, RecordingLink
from properties.fleet_soak import seeds_of

SERVICES = ("entries", "racebook")
DIALECT = Dialect(
    call_id=b"call-id",
    expected_instance=b"expected-instance",
    instance=b"instance",
    other_instance_status=421,
    echoes_call_id=True,
)
LIMITS = Limits(100, 0, 20)
SLOTS = 3
TTL_S = 1.0
SECONDS = 6.0
SETTLE_S = 2.5
WORK_S = (0.005, 0.06)
CALL_INTERVAL_S = 0.01
SEEDS_AT_ONCE = 4


class Process:
    """A server process: runs requests that expect it, and refuses others with 421."""

    def __init__(self, soak: Soak, number: int) -> None:
        """Start a process of a random service."""
        self.instance = f"i-{number}"
        self.service = soak.rng.choice(SERVICES)
        # Some platforms don't tell when a server was started.
        self.started_ms = 1000 + number if soak.knows_starts else 0
        self.is_silent = False
        self.running = 0
        self._soak = soak
        self._writers: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection until it ends."""
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                while self.is_silent:
                    await asyncio.sleep(0.02)
                writer.write(await self._answer(head))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, head: bytes) -> bytes:
        lines = [line.partition(b": ") for line in head.split(b"\r\n")]
        fields = {name.lower(): value.decode() for name, _, value in lines}
        call_id = fields[DIALECT.call_id]
        end = f"call-id: {call_id}\r\nContent-Length: 0\r\n\r\n"
        expected = fields.get(DIALECT.expected_instance)
        if expected != self.instance:
            if expected is None:
                self._soak.broken.append(f"{call_id} expects no instance")
            return f"HTTP/1.1 421 Misdirected\r\n{end}".encode()
        self._soak.note_run(call_id, self)
        self.running += 1
        try:
            if self.running > SLOTS:
                self._soak.broken.append(f"{self.running} run at {self.instance}")
            await asyncio.sleep(self._soak.rng.uniform(*WORK_S))
        finally:
            self.running -= 1
        return f"HTTP/1.1 200 OK\r\n{end}".encode()

    def end(self) -> None:
        """End: the connections are reset, and nothing more is answered."""
        for writer in list(self._writers):
            writer.transport.abort()


class Soak:
    """The gate, the address, and what was sent and answered."""

    def __init__(self, seed: int) -> None:
        """Use a seed for all that is random."""
        self.rng = random.Random(seed)
        self.knows_starts = self.rng.random() < 0.7
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()
        self.gate = Gate(lambda: EMPTY_SNAPSHOT, lambda: None, DIALECT)
        self.gate.on_replaced = self._on_replaced
        self.process = Process(self, 0)
        self.link = RecordingLink()
        self._address = ""
        self._ran_by_call: dict[str, str] = {}
        self._service_by_number: dict[int, str] = {}

    def note_run(self, call_id: str, process: Process) -> None:
        """Check a request that a process begins to run."""
        service = self._service_by_number[int(call_id)]
        if service != process.service:
            self.broken.append(f"{call_id} for {service} runs at {process.service}")
        if call_id in self._ran_by_call:
            self.broken.append(f"{call_id} runs twice")
        self._ran_by_call[call_id] = process.instance
        self.counts["ran"] += 1

    def _announce(self, process: Process) -> None:
        expires_at = asyncio.get_running_loop().time() + TTL_S
        self.gate.announce(
            Announcement(
                process.service,
                self._address,
                SLOTS,
                20,
                ServerState.SERVING,
                expires_at,
                process.instance,
                0.0,
                process.started_ms,
            )
        )

    def _on_replaced(self, instance: str) -> None:
        announced = self.gate.announcement
        if instance == self.process.instance and not self.process.is_silent:
            self.broken.append(f"{instance} is taken for replaced")
        if announced is not None and announced.instance == instance:
            self.counts["replaced"] += 1
            self.gate.remove_server()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while self.process.is_silent:
            await asyncio.sleep(0.02)
        await self.process.serve(reader, writer)

    async def _replace(self, number: int) -> None:
        """Let the server end in some way, and give its address to another one."""
        rng, former = self.rng, self.process
        how = rng.choice(["dark", "crash", "leave", "expire"])
        self.counts[how] += 1
        if how == "leave":
            self.gate.drain("it leaves")
            self.gate.remove_server()
            await asyncio.sleep(rng.uniform(0.0, 0.3))
        elif how in ("dark", "expire"):
            former.is_silent = True
            await asyncio.sleep(rng.uniform(0.1, 0.8) if how == "dark" else TTL_S + 0.3)
        successor = Process(self, number)
        if rng.random() < 0.3:
            # Its heartbeat comes before it has the address.
            self._announce(successor)
            await asyncio.sleep(rng.uniform(0.0, 0.05))
        self.process = successor
        former.end()
        await asyncio.sleep(rng.choice([0.0, 0.0, rng.uniform(0.0, 0.3)]))
        self._announce(successor)

    async def _beat(self) -> None:
        while True:
            announced = self.gate.announcement
            is_announced = announced is not None and announced.instance == self.process.instance
            if is_announced and not self.process.is_silent:
                self._announce(self.process)
            self.gate.expire(asyncio.get_running_loop().time())
            await asyncio.sleep(0.1)

    async def _call(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / CALL_INTERVAL_S))
            number += 1
            service = self.rng.choice(SERVICES)
            self._service_by_number[number] = service
            deadline_ms = self.rng.randrange(100, 2000)
            call = frames.Call(
                number, str(number), service, "all", False, deadline_ms, 2, HEAD, b"", True,
                f"r-{service}", deadline_ms, deadline_ms, limits=LIMITS,
            )  # fmt: skip
            self.gate.on_frame(self.link, call)  # type: ignore[arg-type]
            if self.rng.random() < 0.05:
                await asyncio.sleep(self.rng.uniform(0.0, 0.05))
                self.gate.on_frame(self.link, frames.Cancel(number))  # type: ignore[arg-type]

    async def play(self) -> None:
        """Send calls while the address changes hands, and check what became of them."""
        listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        self._address = f"{host}:{port}"
        self._announce(self.process)
        tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._call())]
        loop = asyncio.get_running_loop()
        until, number = loop.time() + SECONDS, 0
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0.1, 0.7))
            number += 1
            await self._replace(number)
        tasks[1].cancel()
        await asyncio.sleep(SETTLE_S)
        tasks[0].cancel()
        self._judge()
        listener.close()
        self.process.end()

    def _judge(self) -> None:
        ends: Counter[int] = Counter()
        for frame in self.link.sent:
            if isinstance(frame, frames.Refusal):
                ends[frame.attempt] += 1
                self.counts[str(frame.failure.verdict)] += 1
                is_not_run = frame.failure.verdict is Verdict.NOT_RUN
                if is_not_run and str(frame.attempt) in self._ran_by_call:
                    self.broken.append(f"{frame.attempt} is told as not run, and ran")
            elif isinstance(frame, frames.Reply):
                ends[frame.attempt] += 1
                self.counts["answered"] += 1
        for number in self._service_by_number:
            if ends[number] != 1:
                self.broken.append(f"{number} has {ends[number]} answers")
        if not self.gate.idle.is_set() or self.gate.state.running_by_attempt:
            self.broken.append("the gate isn't idle in the end")


async def _play(seed: int) -> Soak:
    soak = Soak(seed)
    await soak.play()
    return soak


async def _play_all(seeds: Sequence[int]) -> list[Soak]:
    return list(await asyncio.gather(*map(_play, seeds)))


def play(seeds: Sequence[int]) -> list[Soak]:
    """Play seeds at the same time, and return their soaks in order."""
    return asyncio.run(_play_all(seeds))


def main() -> None:
    """Play the seeds of the command line, a few at a time; exit code 1 if a rule was broken."""
    logging.disable(logging.CRITICAL)
    failed = 0
    totals: Counter[str] = Counter()
    seeds = seeds_of(sys.argv[1] if len(sys.argv) > 1 else "1-48")
    for start in range(0, len(seeds), SEEDS_AT_ONCE):
        batch = seeds[start : start + SEEDS_AT_ONCE]
        for seed, soak in zip(batch, play(batch), strict=True):
            totals += soak.counts
            failed += bool(soak.broken)
            if soak.broken:
                print(f"seed {seed}: {len(soak.broken)} broken, {soak.broken[:3]}", flush=True)
    print(f"{len(seeds) - failed} seeds held, {failed} broken; {dict(totals)}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
