"""Benchmarks of calls: added latency against a bare byte relay, and drain."""

from __future__ import annotations

import asyncio
import os
import random
from typing import Any

from benchmarks.report import emit, register, say
from hornbeamgw.core.verdict import Verdict
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.testing.demo import example_edit
from hornbeamgw.testing.fleet import Fleet, Node, NodeSpec, request_json
from hornbeamgw.testing.load import KINDS, Kind, LoadGenerator, audit, call
from hornbeamgw.testing.stats import percentile

RATES = tuple(int(rate) for rate in os.environ.get("RATES", "50,274,500").split(","))
CALLS = int(os.environ.get("CALLS", "2000"))
BLOCK = 25
LIMIT_S = 30.0
LOOKUP = Kind("slot lookup", "desk.vatuwaqa.example", "GET", "/slots", True, size=1024)
DRAINS = 5


class Pool:
    """Hold kept connections to one address; each call takes one of its own."""

    def __init__(self, address: str) -> None:
        """Take the address."""
        self.times: list[float] = []
        self._client = HttpClient(address, LIMIT_S)

    async def call(self, number: int) -> None:
        """Make one call and keep its time (ms)."""
        outcome = await call(self._client, LOOKUP, f"b{number}")
        if outcome.verdict is not Verdict.ANSWERED or not outcome.is_complete:
            raise RuntimeError(f"not answered: {outcome}")
        self.times.append(outcome.elapsed * 1000)


async def ready(fleet: Fleet, places: list[NodeSpec], service: str) -> None:
    await fleet.start_nodes(places)
    answer = await request_json(fleet.nodes[0].admin, "POST", "/edits", example_edit(0))
    if not await fleet.wait_in_force(answer["version"], LIMIT_S):
        raise RuntimeError("the example catalogue is not in force everywhere")
    wanted = sum(place.service == service for place in places)
    async with asyncio.timeout(LIMIT_S):
        for node in fleet.nodes:
            while await _serving(node, service) < wanted:
                await asyncio.sleep(0.05)


async def _serving(node: Node, service: str) -> int:
    members = (await request_json(node.admin, "GET", "/status"))["members"]
    serving = [m for m in members if m["server_state"] == "serving"]
    return sum(m["service"] == service for m in serving)


async def _paced(pools: dict[str, Pool], rate: int) -> None:
    """Call each way in turn, in blocks, at a rate (1/s) that does not wait for answers."""
    loop = asyncio.get_running_loop()
    for pool in pools.values():
        pool.times.clear()
    names = list(pools)
    tasks: list[asyncio.Task[None]] = []
    rng = random.Random(rate)
    due = loop.time()
    for number in range(CALLS * len(names)):
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, due - loop.time()))
        pool = pools[names[number // BLOCK % len(names)]]
        tasks.append(asyncio.create_task(pool.call(number)))
    await asyncio.gather(*tasks)


def _emit_added(rate: int, pools: dict[str, Pool]) -> None:
    at = {
        name: (percentile(pool.times, 50), percentile(pool.times, 99))
        for name, pool in pools.items()
    }
    added = {
        name: tuple(value - base for value, base in zip(at[name], at["direct"], strict=True))
        for name in at
    }
    for name, pool in pools.items():
        more: dict[str, Any] = {"rate": rate, "way": name}
        more["added_p50"], more["added_p99"] = (round(value, 3) for value in added[name])
        if name == "daemons":
            ratios = (a / b for a, b in zip(added[name], added["relay"], strict=True))
            more["ratio_p50"], more["ratio_p99"] = (round(value, 2) for value in ratios)
        emit("call", "ms", pool.times, **more)


@register("added-latency")
async def added_latency() -> None:
    """Time calls straight, through two byte relays, and through two daemons."""
    async with Fleet("latency", {"log_level": "WARNING"}) as fleet:
        server = NodeSpec("suva-1", "fiji", "slot-desk", slots=64, work_ms=0)
        await ready(fleet, [NodeSpec("suva-1", "fiji"), server], "slot-desk")
        backend = fleet.nodes[1].backend
        assert backend is not None
        address = str(backend.bound_addresses["listening"])
        second = await fleet.start_process("relay", ["benchmarks.relay", address])
        first = await fleet.start_process("relay", ["benchmarks.relay", second])
        pools = {
            "direct": Pool(address),
            "relay": Pool(first),
            "daemons": Pool(fleet.nodes[0].callers),
        }
        for rate in RATES:
            say(f"{CALLS} calls each way at {rate}/s")
            await _paced(pools, rate)
            _emit_added(rate, pools)


@register("drain")
async def drain() -> None:
    """Drain backend servers under load; count what is cut off and what comes late."""
    late, cut_off = [], []
    async with Fleet("drain", {"log_level": "WARNING"}) as fleet:
        places = [NodeSpec(f"suva-{i % 3 + 1}", "fiji", "slot-desk") for i in range(DRAINS + 3)]
        await ready(fleet, places, "slot-desk")
        load = LoadGenerator(lambda: [n.callers for n in fleet.nodes], random.Random(1), KINDS[:1])
        load.start(16, 0.005)
        for node in fleet.nodes[:DRAINS]:
            await asyncio.sleep(1.0)
            assert node.backend is not None
            report = await request_json(
                node.backend.bound_addresses["listening"], "POST", "/control/drain"
            )
            await asyncio.sleep(1.0)
            after = await request_json(
                node.backend.bound_addresses["listening"], "POST", "/control/report"
            )
            late.append(float(len(after["after_drain"])))
            cut_off.append(float(len(report["broken"]) + len(after["broken"])))
        await load.stop()
        reports = [
            await request_json(n.backend.bound_addresses["listening"], "POST", "/control/report")
            for n in fleet.nodes
            if n.backend is not None
        ]
    counted = audit(load.outcomes, reports)
    emit("requests that began after the announcement", "1", late, **counted._asdict())
    emit("requests cut off by a drain", "1", cut_off)
