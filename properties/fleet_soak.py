"""Fleet soak: real processes on loopback, harmed from outside by a seed, and what must hold.

Daemons are killed, stopped, paused and started again; the platform, the backend servers and the
callers are reached by proxies that delay, cut one way, silence and reset; operators edit all the
while. Faults overlap. What callers were told is compared with what backend servers ran.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple

import msgspec

from hornbeamgw.core.edit import Change, Edit
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.testing.demo import example_edit
from hornbeamgw.testing.fleet import ChildProcess, Fleet, Node, NodeSpec, request_json
from hornbeamgw.testing.load import KINDS, Audit, Kind, LoadGenerator, audit, call
from hornbeamgw.testing.proxy import NO_IMPAIRMENT, Impairment, Proxy
from hornbeamgw.testing.room import OnClose

SERVICES = ("slot-desk", "booking-payment", "roster", "planner", "reservation", "fixtures")
WORKERS = 8
PAUSE_S = 0.03
SETTLE_S = 4.0
CONVERGENCE_S = 12.0  # an accepted change is in force everywhere by then
SAMPLE_EVERY_S = 0.2
LEAST_ANSWERED_AFTER = 0.9  # of calls, once everything has been put right
QUIET_CALLS_S = 2.0
ACCEPT_TRIES = 8
# What servers do with requests that are cut off, in turn.
ON_CLOSE = (OnClose.DROP, OnClose.WORK, OnClose.ANSWER)
SLOTS = 6
QUEUE = 2
WORK_MS = 80.0
# Bursts of callers that leave, each of one kind: more than a server has slots for.
LEAVERS_PER_S = 250.0
LEAVERS_S = 0.7
LEAVERS_EVERY_S = 2.5
LEAVE_AFTER_S = (0.01, 0.08)
DECLARERS = 2
DECLARE_EVERY_S = 0.5
DECLARED_S = (4.5, 6.0)  # longer than the window in which a limit is judged
LIMIT_PER_S = (0.5, 20.0)
LEAVE_PROBABILITY = 0.4


class Report(NamedTuple):
    """Hold what one seed showed; all but the first four counts must be 0."""

    seed: int
    steps: int
    calls: int
    answered: int
    faults: dict[str, int]
    lost: int
    doubled: int
    said_not_run_but_ran: int
    not_whole: int
    cut_off: int
    reverted: int
    violations: int
    over_limit: int
    after_leaving: int
    over_room: int
    not_converged: int
    unserved_after: int


PROMISES = Report._fields[5:]


def broken(report: Report) -> dict[str, int]:
    """Return the promises that a seed broke, with their counts."""
    return {name: getattr(report, name) for name in PROMISES if getattr(report, name)}


class Ignored(NamedTuple):
    """Hold the requests that ignored what servers had declared, or their slots."""

    over_limit: int
    after_leaving: int
    over_room: int


class Soak:
    """Hold a fleet, its proxies, the load and what was seen."""

    def __init__(self, fleet: Fleet, platform: Proxy, rng: random.Random) -> None:
        """Take a fleet whose platform is reached by a proxy."""
        self.fleet = fleet
        self.rng = rng
        self.platform = platform
        self.servers: list[Proxy] = []
        self.callers: dict[str, Proxy] = {}
        self.load = LoadGenerator(self._addresses, rng)
        self.faults: Counter[str] = Counter()
        self.reverted = self.cut_off = self.edits = self.left = 0
        self._leaving: set[asyncio.Task[None]] = set()
        self.harmed: Counter[str] = Counter()
        self._in_force: dict[str, int] = {}

    def _addresses(self) -> list[str]:
        return [proxy.address for proxy in self.callers.values()]

    async def start(self, count: int) -> None:
        """Start the nodes, with a proxy to each backend server and each daemon's callers' port."""
        for index in range(count):
            service, instance = SERVICES[index % len(SERVICES)], f"i-{index}"
            place = NodeSpec(
                f"dc-{index % 2}",
                "region",
                service,
                SLOTS,
                130,
                WORK_MS,
                instance=instance,
                queue=QUEUE,
                on_close=ON_CLOSE[index % len(ON_CLOSE)],
            )
            node = Node(place, await self.fleet.start_daemon(place), None)
            self.fleet.nodes.append(node)
            await self._start_server(node)
            proxy = Proxy(node.callers)
            await proxy.start()
            self.callers[node.address] = proxy

    async def _start_server(self, node: Node) -> None:
        proxy = Proxy()
        await proxy.start()
        node.backend = await self.fleet.start_backend(node.spec, node.daemon, proxy.address)
        assert node.backend is not None
        proxy.target = str(node.backend.bound_addresses["listening"])
        self.servers.append(proxy)

    def close(self) -> None:
        """Close the proxies."""
        for proxy in [self.platform, *self.servers, *self.callers.values()]:
            proxy.close()

    # Faults: each is drawn from the seed, lasts a while and is put right

    async def kill(self, node: Node) -> None:
        """Kill a daemon outright and start it again with nothing."""
        node.daemon.signal(signal.SIGKILL)
        await node.daemon.process.wait()
        await asyncio.sleep(self.rng.uniform(0, 1.5))
        await self.fleet.restart_daemon(node)

    async def stop(self, node: Node) -> None:
        """Stop a daemon as planned, under callers that go on, and start it again."""
        before = self.harmed.copy()
        code = await node.daemon.stop()
        others_harmed = self.harmed[node.address] > before[node.address]
        self.cut_off += code != 0 and not others_harmed and not self.harmed["paths"]
        await self.fleet.restart_daemon(node)

    async def pause(self, child: ChildProcess) -> None:
        """Let a process stand still for a while."""
        child.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 2.5))
        child.signal(signal.SIGCONT)

    async def harm(self, proxy: Proxy) -> None:
        """Delay, cut one way, silence, refuse or reset what one proxy carries."""
        kind = self.rng.choice(("delay", "cut_forth", "cut_back", "silence", "refuse", "reset"))
        self.faults[f"path {kind}"] += 1
        self.harmed["paths"] += 1
        harms = {
            "delay": Impairment(delay_s=self.rng.uniform(0.01, 0.3)),
            "cut_forth": Impairment(drop_forward=True),
            "cut_back": Impairment(drop_backward=True),
            "silence": Impairment(drop_forward=True, drop_backward=True),
            "refuse": Impairment(refuse=True),
        }
        proxy.impairment = harms.get(kind, NO_IMPAIRMENT)
        if kind in ("refuse", "reset"):
            proxy.reset()
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        if proxy.impairment.drop_forward or proxy.impairment.drop_backward:
            proxy.reset()
        proxy.impairment = NO_IMPAIRMENT

    async def one_fault(self) -> None:
        """Draw one fault and carry it out; one at a time for a daemon's own process."""
        node = self.rng.choice(self.fleet.nodes)
        kind = self.rng.choice(("kill", "stop", "pause", "pause server", "path", "path", "edit"))
        if kind == "edit":
            await self.edit()
            return
        if kind == "path":
            paths = [self.platform, *self.servers, *self.callers.values()]
            await self.harm(self.rng.choice(paths))
            return
        if self.harmed[f"busy {node.address}"]:
            return
        self.faults[kind] += 1
        self.harmed[node.address] += kind != "stop"
        self.harmed[f"busy {node.address}"] = 1
        try:
            await self._carry_out(kind, node)
        finally:
            self.harmed[f"busy {node.address}"] = 0

    async def _carry_out(self, kind: str, node: Node) -> None:
        assert node.backend is not None
        actions: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": lambda: self.kill(node),
            "stop": lambda: self.stop(node),
            "pause": lambda: self.pause(node.daemon),
            "pause server": lambda: self.pause(node.backend),  # type: ignore[arg-type]
        }
        await actions[kind]()

    async def declare(self, rng: random.Random) -> None:
        """Let servers name limits for a while, and leave, beside daemons that are not harmed."""
        while True:
            await asyncio.sleep(rng.expovariate(1 / DECLARE_EVERY_S))
            node = rng.choice(self.fleet.nodes)
            if self.harmed[f"busy {node.address}"]:
                continue
            self.harmed[f"busy {node.address}"] = 1
            try:
                await self._declare_at(node, rng)
            finally:
                self.harmed[f"busy {node.address}"] = 0

    async def leave(self, rng: random.Random) -> None:
        """Let many callers ask the same and leave, now and then."""
        kinds = [kind for kind in KINDS if kind.idempotent and not kind.size and not kind.body]
        while True:
            await asyncio.sleep(rng.expovariate(1 / LEAVERS_EVERY_S))
            kind = rng.choice(kinds)
            for _ in range(int(LEAVERS_S * LEAVERS_PER_S)):
                task = asyncio.create_task(self._ask_and_leave(kind, rng))
                self._leaving.add(task)
                task.add_done_callback(self._leaving.discard)
                await asyncio.sleep(rng.expovariate(LEAVERS_PER_S))

    async def _ask_and_leave(self, kind: Kind, rng: random.Random) -> None:
        client = HttpClient(rng.choice(self._addresses()), rng.uniform(*LEAVE_AFTER_S))
        self.left += 1
        try:
            await call(client, kind, f"left-{self.left}")
        finally:
            client.close()

    async def end_declaring(self, tasks: Iterable[asyncio.Task[None]]) -> None:
        """End what servers declare, and wait for those that leave to start again."""
        for task in tasks:
            task.cancel()
        for node in self.fleet.nodes:
            assert node.backend is not None
            address = node.backend.bound_addresses["listening"]
            await request_json(address, "POST", "/control/limit", {})
        await asyncio.sleep(DECLARED_S[1])

    async def _declare_at(self, node: Node, rng: random.Random) -> None:
        assert node.backend is not None
        address = node.backend.bound_addresses["listening"]
        seconds = rng.uniform(*DECLARED_S)
        if rng.random() < LEAVE_PROBABILITY:
            self.faults["leave"] += 1
            await request_json(address, "POST", f"/control/leave?for_s={seconds}", {})
            await asyncio.sleep(seconds + 1.0)
            return
        self.faults["limit"] += 1
        for limit in (rng.uniform(*LIMIT_PER_S), rng.uniform(*LIMIT_PER_S)):
            await request_json(address, "POST", f"/control/limit?per_s={limit:g}", {})
            await asyncio.sleep(seconds)
        await request_json(address, "POST", "/control/limit", {})

    async def edit(self) -> int:
        """Change one limit by a daemon drawn; return the version, 0 where none took it."""
        self.edits += 1
        return await edit_limit(self.fleet, self.rng, self.edits, lambda keys: keys[0])

    # Checks

    async def watch(self) -> None:
        """Look for daemons that go back to an older version."""
        while True:
            alive = [n for n in self.fleet.nodes if n.daemon.alive]
            asked = [_version(node) for node in alive]
            for row in await asyncio.gather(*asked):
                if row and row["ready"]:
                    held = self._in_force.get(row["address"], 0)
                    self.reverted += row["in_force"] < held
                    self._in_force[row["address"]] = max(held, row["in_force"])
            await asyncio.sleep(SAMPLE_EVERY_S)

    async def result(self) -> tuple[Audit, int, Ignored]:
        """Return the audit of all calls, what invariants counted, and what was ignored."""
        servers = [n.backend for n in self.fleet.nodes if n.backend is not None]
        asked = [
            request_json(s.bound_addresses["listening"], "POST", "/control/report", {})
            for s in servers
        ]
        reports = list(await asyncio.gather(*asked))
        rows = await asyncio.gather(
            *(request_json(n.admin, "GET", "/counters") for n in self.fleet.nodes)
        )
        violations = sum(sum(row["invariants"].values()) for row in rows)
        over_limit = sum(report["over_limit"] for report in reports)
        leavings = [leaving for report in reports for leaving in report["leavings"]]
        after_leaving = sum(len(leaving["late"]) for leaving in leavings)
        over_room = sum(report["over_room"] for report in reports)
        ignored = Ignored(over_limit, after_leaving, over_room)
        return audit(self.load.outcomes, reports), violations, ignored


async def edit_limit(
    fleet: Fleet, rng: random.Random, number: int, choose: Callable[[list[str]], str]
) -> int:
    """Change the queue of an entry by a daemon drawn; return the version, 0 where none took it."""
    for _ in range(ACCEPT_TRIES):
        node = rng.choice([n for n in fleet.nodes if n.daemon.alive])
        try:
            async with asyncio.timeout(5.0):
                catalogue = await request_json(node.admin, "GET", "/catalogue")
                key = choose(sorted(k for k in catalogue["items"] if k.startswith("entry/")))
                revision, body = catalogue["items"][key]
                body["limits"]["queue"] = 20 + number
                changes = [Change(key=key, based_on=revision, body=body)]
                edit = Edit(edit_id=f"soak-{number}", author="soak", changes=changes)
                answer = await request_json(node.admin, "POST", "/edits", edit)
        except Exception:  # a harmed daemon may answer anything, or nothing
            await asyncio.sleep(0.3)
            continue
        if "version" in answer:
            return int(answer["version"])
        await asyncio.sleep(0.3)
    return 0


async def _version(node: Node) -> dict[str, Any] | None:
    try:
        async with asyncio.timeout(1.0):
            row: dict[str, Any] = await request_json(node.admin, "GET", "/version")
            return row
    except Exception:  # a harmed daemon may answer anything, or nothing
        return None


async def run(seed: int, steps: int, count: int) -> Report:
    """Run one seed: so many faults, over so many nodes, two a second on average."""
    rng = random.Random(seed)
    platform = Proxy()
    await platform.start()
    async with Fleet(f"soak-{seed}", {"platform": {"address": platform.address}}) as fleet:
        platform.target = fleet.platform_address
        soak = Soak(fleet, platform, rng)
        try:
            return await _carry_out(soak, seed, steps, count)
        finally:
            soak.close()


async def _carry_out(soak: Soak, seed: int, steps: int, count: int) -> Report:
    fleet, rng = soak.fleet, soak.rng
    await soak.start(count)
    answer = await request_json(fleet.nodes[0].admin, "POST", "/edits", example_edit(seed))
    if not await fleet.wait_in_force(int(answer["version"]), CONVERGENCE_S):
        raise RuntimeError("the example catalogue is not in force everywhere")
    soak.load.start(WORKERS, PAUSE_S)
    watching = asyncio.create_task(soak.watch())
    declaring = [
        asyncio.create_task(soak.declare(random.Random(f"{seed} declarations {number}")))
        for number in range(DECLARERS)
    ]
    leaving = asyncio.create_task(soak.leave(random.Random(f"{seed} leavers")))
    under_way = []
    for _ in range(steps):
        under_way.append(asyncio.create_task(soak.one_fault()))
        await asyncio.sleep(rng.expovariate(2.0))
    await asyncio.gather(*under_way)
    leaving.cancel()
    await soak.end_declaring(declaring)
    await asyncio.sleep(SETTLE_S)
    version = await soak.edit()
    converged = bool(version) and await fleet.wait_in_force(version, CONVERGENCE_S)
    quiet_from = asyncio.get_running_loop().time()
    await asyncio.sleep(QUIET_CALLS_S)
    await soak.load.stop()
    watching.cancel()
    after = [o for o in soak.load.outcomes if o.at >= quiet_from]
    served = sum(o.verdict == "answered" for o in after)
    counted, violations, declared = await soak.result()
    return Report(
        seed,
        steps,
        counted.calls,
        counted.answered,
        dict(soak.faults),
        counted.lost,
        counted.doubled,
        counted.said_not_run_but_ran,
        counted.not_whole,
        soak.cut_off,
        soak.reverted,
        violations,
        declared.over_limit,
        declared.after_leaving,
        declared.over_room,
        int(not converged),
        int(served < LEAST_ANSWERED_AFTER * len(after)),
    )


def seeds_of(text: str) -> list[int]:
    """Return the seeds that a range such as 1-50, or a list such as 3,7, names."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def main() -> None:
    """Run seeds one after the other; exit code 1 where one broke a promise."""
    text = sys.argv[1] if len(sys.argv) > 1 else "1-5"
    steps = int(sys.argv[2]) if len(sys.argv) > 2 else 24
    failed = []
    for seed in seeds_of(text):
        report = asyncio.run(run(seed, steps, len(SERVICES)))
        print(msgspec.json.encode(report._asdict()).decode(), flush=True)
        if broken(report):
            failed.append(seed)
            print(f"seed {seed} broke {broken(report)}", file=sys.stderr, flush=True)
    total = len(seeds_of(text))
    print(f"{total - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
