"""Benchmark of calls under faults: kills, pauses, drains and restarts under mixed load."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections import Counter
from typing import Any

from benchmarks.data import LIMIT_S
from benchmarks.report import emit, register, say
from hornbeamgw.testing.demo import example_edit, node_specs
from hornbeamgw.testing.fleet import Fleet, Node, request_json
from hornbeamgw.testing.load import LoadGenerator, audit

SECONDS = float(os.environ.get("SECONDS_OF_FAULTS", "300"))
WORKERS = 24
PAUSE_S = 0.03
BETWEEN_S = 1.5
FREEZE_S = 4.0
FAULTS = ("kill daemon", "freeze daemon", "freeze backend", "drain backend", "platform outage")


class Chaos:
    """Hold the fleet and the records of backend servers that have stopped."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        """Take a fleet that serves."""
        self.fleet = fleet
        self.rng = rng
        self.reports: list[dict[str, Any]] = []
        self.done: Counter[str] = Counter()
        self.cut_off = 0
        self.after_drain = 0
        self._busy: set[str] = set()

    async def one(self) -> None:
        """Do one fault to a node that has none, and mend it."""
        idle = [n for n in self.fleet.nodes if n.address not in self._busy]
        node = self.rng.choice(idle)
        fault = self.rng.choice(FAULTS)
        self._busy.add(node.address)
        try:
            await getattr(self, f"_{fault.replace(' ', '_')}")(node)
            self.done[fault] += 1
        finally:
            self._busy.discard(node.address)

    async def _kill_daemon(self, node: Node) -> None:
        node.daemon.signal(signal.SIGKILL)
        await node.daemon.process.wait()
        await asyncio.sleep(self.rng.uniform(0, 2))
        await self.fleet.restart_daemon(node)

    async def _freeze_daemon(self, node: Node) -> None:
        node.daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, FREEZE_S))
        node.daemon.signal(signal.SIGCONT)

    async def _drain_backend(self, node: Node) -> None:
        assert node.backend is not None
        address = node.backend.bound_addresses["listening"]
        before = await request_json(address, "POST", "/control/report")
        await request_json(address, "POST", "/control/drain")
        await asyncio.sleep(1.0)
        last = await request_json(address, "POST", "/control/report")
        self.cut_off += len(last["broken"]) - len(before["broken"])
        self.after_drain += len(last["after_drain"])
        self.reports.append(last)
        await node.backend.stop()
        await self._replace(node)

    async def _freeze_backend(self, node: Node) -> None:
        assert node.backend is not None
        node.backend.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0, 1))
        node.backend.signal(signal.SIGCONT)

    async def _replace(self, node: Node) -> None:
        """Replace the whole VM: a drained daemon takes no new server."""
        await node.daemon.stop()
        await self.fleet.restart_daemon(node)
        node.backend = await self.fleet.start_backend(node.spec, node.daemon)

    async def _platform_outage(self, node: Node) -> None:
        await self.fleet.fault(kind="outage", seconds=self.rng.uniform(1, 5))


@register("faults")
async def faults() -> None:
    """Hurt a fleet of today's size under load, and count at the backend servers."""
    rng = random.Random(1)
    async with Fleet("faults", {"log_level": "INFO"}) as fleet:
        await fleet.start_nodes(node_specs())
        answer = await request_json(fleet.nodes[0].admin, "POST", "/edits", example_edit(0))
        if not await fleet.wait_in_force(answer["version"], LIMIT_S):
            raise RuntimeError("the example catalogue is not in force everywhere")
        await fleet.wait_members(LIMIT_S)
        load = LoadGenerator(lambda: [n.callers for n in fleet.nodes if n.daemon.alive], rng)
        chaos = Chaos(fleet, random.Random(2))
        load.start(WORKERS, PAUSE_S)
        loop = asyncio.get_running_loop()
        end = loop.time() + SECONDS
        running: set[asyncio.Task[None]] = set()
        while loop.time() < end:
            await asyncio.sleep(BETWEEN_S)
            if len(running) < 3:
                task = asyncio.create_task(chaos.one())
                running.add(task)
                task.add_done_callback(running.discard)
        await asyncio.gather(*running)
        await load.stop()
        await asyncio.sleep(1.0)
        backends = [n.backend for n in fleet.nodes if n.backend is not None and n.backend.alive]
        asked = [
            request_json(b.bound_addresses["listening"], "POST", "/control/report")
            for b in backends
        ]
        reports = chaos.reports + list(await asyncio.gather(*asked))
        nodes = [n for n in fleet.nodes if n.daemon.alive]
        rows = await asyncio.gather(*(request_json(n.admin, "GET", "/counters") for n in nodes))
    _emit(load, chaos, reports, list(rows))


def _emit(
    load: LoadGenerator, chaos: Chaos, reports: list[dict[str, Any]], rows: list[dict[str, Any]]
) -> None:
    counted = audit(load.outcomes, reports)
    reasons = Counter(o.reason for o in load.outcomes if o.reason)
    violations = sum(sum(row["invariants"].values()) for row in rows)
    say(f"faults: {dict(chaos.done)}; reasons: {dict(reasons)}")
    times = [o.elapsed * 1000 for o in load.outcomes]
    emit(
        "calls under faults",
        "ms",
        times,
        **counted._asdict(),
        share_may_have_run=round(counted.may_have_run / counted.calls, 5),
        cut_off_by_drain=chaos.cut_off,
        after_drain=chaos.after_drain,
        violations=violations,
        faults=dict(chaos.done),
    )
