"""Departures soak: a daemon that is killed again and again, and servers beside it that leave.

Heartbeats arrive up to six seconds late, the store is away, loses answers or does writes late, and
the daemons that keep departures are started again or can't be reached, or lose power together with
this one. In half of the seeds health checks say that a server serves for as long as it runs; some
servers send their heartbeats on one connection, others on a new one each. Whatever happens, a run
whose departure was acknowledged is never served again, and in the end each sound server is.
Usage: python -m properties.departures_soak 1-50
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, StoredRow
from hornbeamgw.core.declaration import NOTHING, Declaration
from hornbeamgw.core.departures import LeftRuns
from hornbeamgw.core.dialect import HORNBEAMGW
from hornbeamgw.core.freshness import Arrival
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.registration import Announcement, Departure, Heartbeat
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.adoption import Adoption
from hornbeamgw.daemon.announcements import ServerRegistry
from hornbeamgw.daemon.departures import Keeper, Ledger
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.presence import OwnRow
from hornbeamgw.testing.skipping import SkippingLoop
from properties.fleet_soak import seeds_of

KEY = "10.0.0.9:7400"
TROUBLE_S = 120.0
SETTLE_S = 15.0
HEARTBEAT_S = 1.5
ACK_TIMEOUT_S = 1.0
MAX_LATE_S = 6.0
PORTS = (8301, 8302, 8303)


class Run(NamedTuple):
    """A run of a server."""

    instance: str
    started_ms: int


class Store:
    """The platform's store with one row, and what is wrong with it."""

    def __init__(self, rng: random.Random) -> None:
        """Start without a row or a fault."""
        self.fault = ""
        self.write_fault_ratio = 0.0
        self._rng = rng
        self._row: StoredRow | None = None

    async def _answer(self) -> None:
        await asyncio.sleep(0.3 if self.fault == "silent" else 0.01)
        if self.fault:
            raise PlatformError(self.fault)

    async def read(self, table: str, key: str = "") -> RowPage:
        """Return the row."""
        await self._answer()
        return RowPage([] if self._row is None else [self._row], 1, 0.0)

    async def watch(self, table: str, after_revision: int, wait: float) -> RowPage | None:
        """Return nothing; the row isn't watched."""
        return None

    async def write(
        self, table: str, key: str, value: bytes | None, expected_revision: int | None = None
    ) -> int:
        """Write the row now, or late, or without an answer."""
        await self._answer()
        if self._rng.random() >= self.write_fault_ratio:
            return self._put(value, expected_revision)
        if self._rng.random() < 0.5:
            self._put(value, expected_revision)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(0.1, 6.0), self._put, value, expected_revision)
        raise PlatformError("no answer")

    def _put(self, value: bytes | None, expected_revision: int | None) -> int:
        current = 0 if self._row is None else self._row.revision
        if expected_revision not in (None, current):
            return 0
        self._row = StoredRow(KEY, value, current + 1)
        return current + 1


class Server:
    """The server at one port, over its runs."""

    def __init__(self, world: World, port: int) -> None:
        """Start without a run."""
        self.address = f"10.0.0.9:{port}"
        self.run = Run(f"i-{port}", 0)
        self.is_leaving = self.is_alive = False
        self.alive_since = 0.0
        # The process that has answered the latest heartbeat on the connection, and when.
        self.answered: tuple[Process | None, float] = None, -math.inf
        self._sequence = 0
        self._world = world

    def heartbeat(self, state: ServerState = ServerState.SERVING) -> Heartbeat:
        """Return the next heartbeat."""
        self._sequence += 1
        beat = Heartbeat(self.run.instance, "roster", self.address, 6, state, self._sequence)
        return beat._replace(started_ms=self.run.started_ms)

    async def live(self) -> None:
        """Start, serve, leave or crash, and start again."""
        world, rng = self._world, self._world.rng
        while True:
            world.now_ms += 1
            name = self.run.instance if rng.random() < 0.5 else f"i-{rng.randrange(1 << 30)}"
            self.run = Run(name, world.started_ms())
            self.is_leaving, self.is_alive, self._sequence = False, True, 0
            self.answered = None, -math.inf
            self.alive_since = world.now()
            beating = asyncio.create_task(self._beat())
            await asyncio.sleep(rng.uniform(3.0, 20.0))
            while world.is_calm:
                await asyncio.sleep(HEARTBEAT_S)
            beating.cancel()
            if rng.random() < 0.8:
                await self._leave()
            self.is_alive = False
            await asyncio.sleep(rng.uniform(0.1, 3.0))

    async def _beat(self) -> None:
        if self._world.rng.random() < 0.5:
            while True:
                self._world.send_late(self.heartbeat())
                await asyncio.sleep(HEARTBEAT_S)
        while True:
            await self._world.send_on_connection(self, self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _leave(self) -> None:
        rng, run = self._world.rng, self.run
        # One more, which the network holds up.
        self._world.send_late(self.heartbeat())
        self.is_leaving = True
        drains_first = rng.random() < 0.5
        for _ in range(6):
            message: Heartbeat | Departure
            if drains_first:
                message = self.heartbeat(ServerState.DRAINING)
            else:
                message = Departure(run.instance, run.started_ms)
            if await self._world.tell(message):
                self._world.note_acknowledged(run)
                break
        await asyncio.sleep(rng.uniform(2.0, 9.0))
        if drains_first and await self._world.tell(Departure(run.instance, run.started_ms)):
            self._world.note_acknowledged(run)


class SimulatedAdoption(Adoption):
    """Health checks that servers answer truthfully, as if they always served, or not at all."""

    def __init__(self, row: OwnRow, world: World) -> None:
        """Ask the servers of a world."""
        super().__init__(row, HORNBEAMGW)
        self._world = world

    async def check(self, known: Announcement, health_path: str) -> Declaration | None:
        """Return what the server says if it is the one that is asked, and serves."""
        await asyncio.sleep(self._world.rng.uniform(0.005, 0.1))
        server = self._world.server_by_address[known.address]
        is_same = server.is_alive and server.run.instance == known.instance
        if not is_same or self._world.rng.random() < 0.1:
            return None
        if server.is_leaving and not self._world.do_checks_lie:
            return None
        return NOTHING


class Process:
    """One process of the daemon."""

    def __init__(self, world: World, is_first: bool) -> None:
        """Start the process."""
        world.now_ms += 1
        me = Member(KEY, "suva-1", "fiji", world.started_ms())
        self._world = world
        self._row = OwnRow(world.store, me)
        self._joined = asyncio.Event()
        self._ledger = Ledger(self._row, world.keepers, world.ask, is_first)
        self._gates = Gates(lambda: Gate(lambda: EMPTY_SNAPSHOT, self.check))
        self._registry = ServerRegistry(
            self._gates,
            lambda method, path, body: Departure(""),
            10,
            6.0,
            adoption=SimulatedAdoption(self._row, world),
            ledger=self._ledger,
            started_ms=me.incarnation,
            health_path_of=lambda service: "/healthz",
            started_at=world.now(),
        )
        if is_first:
            self._row.found(None)
            self._joined.set()
        work: list[Awaitable[None]] = [
            self._row.run(),
            self._read_row(),
            self._ledger.recall(self._joined),
            self._registry.adopt(),
            self._expire(),
        ]
        self._tasks = [asyncio.ensure_future(each) for each in work]

    async def _read_row(self) -> None:
        while not self._joined.is_set():
            try:
                page = await self._world.store.read("daemons", KEY)
            except PlatformError:
                await asyncio.sleep(0.2)
                continue
            self._row.found(page.rows[0] if page.rows else None)
            self._joined.set()

    async def _expire(self) -> None:
        while True:
            self._gates.expire(self._world.now())
            self.check()
            await asyncio.sleep(0.1)

    def serving(self) -> set[Run]:
        """Return the runs that get requests: those at the addresses, if they have the names."""
        servers = self._world.server_by_address
        return {
            servers[known.address].run
            for known in self._gates.announced().values()
            if known.state is ServerState.SERVING
            and servers[known.address].is_alive
            and servers[known.address].run.instance == known.instance
        }

    def check(self) -> None:
        """Report the runs that get requests though their departure was acknowledged."""
        for run in self.serving() & self._world.acknowledged:
            self._world.broken.append(f"{self._world.now():.3f}: {run} is served")

    async def hear(self, message: Heartbeat | Departure, answered_at: float = -math.inf) -> bool:
        """Handle a message, and return whether it is acknowledged.

        `answered_at` is when the message before it on the same connection was answered (s).
        """
        arrival = Arrival(self._world.now(), self._world.started_ms(), answered_at)
        self._registry._process(message, arrival)
        return await self._registry._may_acknowledge(message)

    def kill(self) -> None:
        """End the process at once."""
        tasks: list[asyncio.Future[Any]] = [*self._tasks, *self._ledger._tasks]
        for task in [*tasks, *self._registry._verifications_by_instance.values()]:
            task.cancel()


class World:
    """The daemon, its servers, the store and the keepers."""

    def __init__(self, seed: int) -> None:
        """Create a world with a first process of the daemon."""
        self.rng = random.Random(seed)
        self.store = Store(self.rng)
        self.broken: list[str] = []
        self.acknowledged: set[Run] = set()
        self.counts: Counter[str] = Counter()
        self.now_ms = 0
        self.is_calm = False
        self.do_checks_lie = self.rng.random() < 0.5
        self.server_by_address = {s.address: s for s in (Server(self, port) for port in PORTS)}
        self._is_cut_off = False
        self._started_at = asyncio.get_running_loop().time()
        count = self.rng.randrange(5)
        self._keeper_by_address = {
            f"10.0.0.{number}:7400": Keeper(self._started_at, True) for number in range(count)
        }
        self._process: Process | None = Process(self, True)
        self._under_way: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Return the time (s) of the loop."""
        return asyncio.get_running_loop().time()

    def started_ms(self) -> int:
        """Return a start time that is later than all before."""
        return 1000 + round((self.now() - self._started_at) * 1000) + self.now_ms

    def keepers(self) -> list[str]:
        """Return the keepers of the daemon."""
        return list(self._keeper_by_address)[:3]

    async def ask(self, address: str, runs: LeftRuns) -> frames.Departures | None:
        """Ask a keeper."""
        await asyncio.sleep(self.rng.uniform(0.001, 0.02))
        keeper = self._keeper_by_address[address]
        return None if self._is_cut_off else keeper.answer(KEY, frames.Departures(runs, False))

    async def tell(self, message: Heartbeat | Departure) -> bool:
        """Send a message, and return whether an acknowledgement arrives in time."""
        process = self._process
        if process is None:
            await asyncio.sleep(ACK_TIMEOUT_S)
            return False
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                is_acknowledged = await process.hear(message)
        except TimeoutError:
            return False
        return is_acknowledged and process is self._process

    def note_acknowledged(self, run: Run) -> None:
        """Record that the departure of a run was acknowledged."""
        self.counts["acknowledged"] += run not in self.acknowledged
        self.acknowledged.add(run)

    def send_late(self, message: Heartbeat) -> None:
        """Send a message that the network may hold up."""
        is_late = self.rng.random() < 0.4 and not self.is_calm
        delay = self.rng.uniform(0.0, MAX_LATE_S) if is_late else 0.01

        async def arrive() -> None:
            await asyncio.sleep(delay)
            if self._process is not None:
                await self._process.hear(message)

        task = asyncio.create_task(arrive())
        self._under_way.add(task)
        task.add_done_callback(self._under_way.discard)

    async def send_on_connection(self, server: Server, message: Heartbeat) -> None:
        """Send a message on the connection of the one before it, which the network may hold up."""
        is_late = self.rng.random() < 0.2 and not self.is_calm
        await asyncio.sleep(self.rng.uniform(0.0, MAX_LATE_S) if is_late else 0.01)
        process = self._process
        if process is None:
            return
        last, answered_at = server.answered
        if last is not process:
            answered_at = -math.inf
        await process.hear(message, answered_at)
        if process is self._process:
            server.answered = process, self.now()

    async def _lose_power(self) -> None:
        for address in self._keeper_by_address:
            self._keeper_by_address[address] = Keeper(self.now(), False)
        await self._restart()

    async def _restart(self) -> None:
        if self._process is not None:
            self._process.kill()
            self._process = None
            self.counts["kills"] += 1
        await asyncio.sleep(self.rng.uniform(0.05, 2.0))
        if self._process is None:
            self._process = Process(self, False)

    async def _restart_keeper(self) -> None:
        if self._keeper_by_address:
            address = self.rng.choice(list(self._keeper_by_address))
            self._keeper_by_address[address] = Keeper(self.now(), False)

    async def _disturb_store(self) -> None:
        self.store.fault = self.rng.choice(["outage", "silent"])
        await asyncio.sleep(self.rng.uniform(0.5, 8.0))
        self.store.fault = ""

    async def _spoil_writes(self) -> None:
        self.store.write_fault_ratio = 0.5
        await asyncio.sleep(self.rng.uniform(1.0, 8.0))
        self.store.write_fault_ratio = 0.0

    async def _cut_off(self) -> None:
        self._is_cut_off = True
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        self._is_cut_off = False

    async def _trouble(self, event: Callable[[], Awaitable[None]], mean_s: float) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / mean_s))
            await event()

    async def play(self) -> None:
        """Play trouble, and then a calm time at whose end all sound servers must be served."""
        living = [asyncio.create_task(server.live()) for server in self.server_by_address.values()]
        causes = [(self._restart, 6.0), (self._disturb_store, 10.0), (self._spoil_writes, 12.0)]
        causes += [(self._cut_off, 12.0), (self._restart_keeper, 15.0)]
        causes += [(self._lose_power, 20.0)]
        troubles = [asyncio.create_task(self._trouble(*cause)) for cause in causes]
        await asyncio.sleep(TROUBLE_S)
        for task in troubles:
            task.cancel()
        self.is_calm, self._is_cut_off = True, False
        self.store.fault, self.store.write_fault_ratio = "", 0.0
        if self._process is None:
            await self._restart()
        await asyncio.sleep(SETTLE_S)
        assert self._process is not None
        for server in self.server_by_address.values():
            is_sound = server.is_alive and not server.is_leaving
            is_old = self.now() - server.alive_since > SETTLE_S / 2
            if is_sound and is_old and server.run not in self._process.serving():
                self.broken.append(f"{server.run} is not served in the end")
            self.counts["sound"] += is_sound and is_old
        self._process.kill()
        for task in (*living, *self._under_way):
            task.cancel()


def play(seed: int) -> World:
    """Play one seed, and return the world at its end."""

    async def run() -> World:
        world = World(seed)
        await world.play()
        return world

    with asyncio.Runner(loop_factory=SkippingLoop) as runner:
        return runner.run(run())


def main() -> None:
    """Play the seeds of the command line; exit code 1 if a rule was broken."""
    logging.disable(logging.CRITICAL)
    failed = []
    totals: Counter[str] = Counter()
    seeds = seeds_of(sys.argv[1] if len(sys.argv) > 1 else "1-50")
    for seed in seeds:
        world = play(seed)
        totals += world.counts
        if world.broken:
            failed.append(seed)
            print(f"seed {seed}: {len(world.broken)} broken, first {world.broken[0]}", flush=True)
    print(f"{len(seeds) - len(failed)} seeds held, {len(failed)} broken; {dict(totals)}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
