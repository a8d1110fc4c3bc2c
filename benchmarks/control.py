"""Benchmarks of control: convergence, storm and outage, against polling and flooding."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

from benchmarks.report import emit, register, say, slope
from hornbeamgw.core.edit import Change, Edit
from hornbeamgw.testing.demo import CONTROL_MESSAGE_KINDS, convergence_ms, example_edit
from hornbeamgw.testing.fleet import Fleet, Node, NodeSpec, request_json

SIZES = tuple(int(size) for size in os.environ.get("SIZES", "10,25,50,100,200").split(","))
BASELINE_SIZES = tuple(size for size in SIZES if size in (25, 100))
DATA_CENTRES = 9
REGIONS = 3
CHANGES = 20
BASELINE_CHANGES = 6
IDLE_S = 10.0
CHANGE_PAUSE_S = 0.3
LIMIT_S = 30.0
SETTLE_LIMIT_S = 180.0
STORM_SIZE = max(SIZES)
RESTART_AT_ONCE = 16


def places(count: int) -> list[NodeSpec]:
    """Return places for daemons alone, in 9 data centres of 3 regions."""
    return [
        NodeSpec(f"dc-{i % DATA_CENTRES}", f"region-{i % DATA_CENTRES % REGIONS}")
        for i in range(count)
    ]


class Totals(NamedTuple):
    """Hold the counters of all daemons and the platform at one time."""

    at: float
    rows: list[dict[str, Any]]
    reads: int


async def totals(fleet: Fleet, nodes: Sequence[Node]) -> Totals:
    """Return the counters now."""
    rows = await asyncio.gather(*(request_json(n.admin, "GET", "/counters") for n in nodes))
    platform = await request_json(fleet.platform_address, "GET", "/control")
    return Totals(time.monotonic(), list(rows), platform["reads"])


def _bytes(row: dict[str, Any], kinds: Sequence[str] | None = None) -> int:
    found = 0
    for direction in ("bytes_in", "bytes_out"):
        counted = row[direction]
        found += sum(counted.get(kind, 0) for kind in (kinds or counted))
    return found


def _received(row: dict[str, Any]) -> int:
    return sum(row["bytes_in"].get(kind, 0) for kind in CONTROL_MESSAGE_KINDS)


async def _change(fleet: Fleet, number: int, rng: random.Random) -> tuple[float, int]:
    alive = [n for n in fleet.nodes if n.daemon.alive]
    node = rng.choice(alive)
    catalogue = await request_json(node.admin, "GET", "/catalogue")
    key = rng.choice(sorted(k for k in catalogue["items"] if k.startswith("entry/")))
    revision, body = catalogue["items"][key]
    body["limits"]["queue"] = 20 + number
    change = Change(key=key, based_on=revision, body=body)
    edit = Edit(edit_id=f"bench-{number}-{rng.random()}", author="bench", changes=[change])
    answer = await request_json(node.admin, "POST", "/edits", edit)
    version = int(answer["version"])
    if not await fleet.wait_in_force(version, LIMIT_S):
        raise RuntimeError(f"version {version} is not in force everywhere in {LIMIT_S} s")
    timeline = await request_json(node.admin, "GET", f"/timeline?version={version}")
    return await convergence_ms(fleet, version), int(timeline["arrival"]["size"])


async def _ready(fleet: Fleet, count: int) -> None:
    await fleet.start_nodes(places(count), concurrency=RESTART_AT_ONCE)
    answer = await request_json(fleet.nodes[0].admin, "POST", "/edits", example_edit(0))
    if not await fleet.wait_in_force(answer["version"], LIMIT_S):
        raise RuntimeError("the example catalogue is not in force everywhere")
    if not await fleet.wait_members(LIMIT_S):
        raise RuntimeError("not every daemon sees all the others")
    await _settle(fleet)


async def _settle(fleet: Fleet) -> None:
    """Wait until nobody has a join left to gossip."""
    async with asyncio.timeout(SETTLE_LIMIT_S):
        while True:
            rows = await asyncio.gather(
                *(request_json(n.admin, "GET", "/counters") for n in fleet.nodes)
            )
            if not any(row["gossip_left"] for row in rows):
                return
            await asyncio.sleep(1.0)


async def measure(count: int, spreading: str, changes: int) -> dict[str, float]:
    """Measure one size with one way to spread, and print its figures."""
    rng = random.Random(count)
    async with Fleet("bench", {"spreading": spreading, "log_level": "WARNING"}) as fleet:
        await _ready(fleet, count)
        say(f"{spreading}: {count} daemons ready")
        before = await totals(fleet, fleet.nodes)
        await asyncio.sleep(IDLE_S)
        idle = await totals(fleet, fleet.nodes)
        measured = [await _change_and_pause(fleet, n, rng) for n in range(changes)]
        after = await totals(fleet, fleet.nodes)
    return _figures(count, spreading, before, idle, after, measured)


async def _change_and_pause(fleet: Fleet, number: int, rng: random.Random) -> tuple[float, int]:
    measured = await _change(fleet, number, rng)
    await asyncio.sleep(CHANGE_PAUSE_S)
    return measured


def _figures(
    count: int,
    spreading: str,
    before: Totals,
    idle: Totals,
    after: Totals,
    measured: list[tuple[float, int]],
) -> dict[str, float]:
    more = {"daemons": count, "spreading": spreading}
    times = [took for took, _ in measured]
    sizes = [float(size) for _, size in measured]
    span = idle.at - before.at
    pairs = list(zip(before.rows, idle.rows, strict=True))
    idle_bytes = [(_bytes(b) - _bytes(a)) / span for a, b in pairs]
    cpu = [100 * (b["cpu_s"] - a["cpu_s"]) / span for a, b in pairs]
    rss = [row["rss_kb"] / 1024 for row in after.rows]
    received = [
        (_received(b) - _received(a)) / len(measured)
        for a, b in zip(idle.rows, after.rows, strict=True)
    ]
    mean = sum(received) / len(received)
    goal = 1.5 * sum(sizes) / len(sizes) + 300
    violations = sum(sum(row["invariants"].values()) for row in after.rows)
    emit("convergence", "ms", times, **more)
    emit("control bytes per change", "B", received, mean=round(mean, 1), goal=goal, **more)
    emit("encoded delta", "B", sizes, **more)
    emit("idle control bytes, in and out", "B/s", idle_bytes, **more)
    emit("idle processor share", "%", cpu, **more)
    emit("memory", "MiB", rss, **more)
    reads = (idle.reads - before.reads) / span
    emit("platform reads", "1/s", [reads], violations=violations, **more)
    return {
        "convergence p99": max(times),
        "control bytes per change": mean,
        "idle control bytes": sum(idle_bytes) / len(idle_bytes),
        "idle processor share": sum(cpu) / len(cpu),
        "memory": sum(rss) / len(rss),
        "platform reads": reads,
    }


@register("convergence")
async def convergence() -> None:
    """Measure every size with the tree, and some with the baselines."""
    found = {size: await measure(size, "tree", CHANGES) for size in SIZES}
    for spreading in ("poll", "flood"):
        for size in BASELINE_SIZES:
            await measure(size, spreading, BASELINE_CHANGES)
    if len(SIZES) > 1:
        for name in found[SIZES[0]]:
            points = [(float(size), found[size][name]) for size in SIZES]
            emit(f"slope of {name}", "per daemon", [slope(points)], sizes=SIZES)


@register("storm")
async def storm() -> None:
    """Kill half of the daemons at once, start them at once, and time their return."""
    async with Fleet("storm", {"log_level": "WARNING"}) as fleet:
        await _ready(fleet, STORM_SIZE)
        say(f"{STORM_SIZE} daemons ready")
        await _change(fleet, 1, random.Random(1))
        victims, survivors = fleet.nodes[1::2], fleet.nodes[::2]
        await fleet.fault(kind="none", reset_counts=True)
        for node in victims:
            node.daemon.signal(signal.SIGKILL)
        await asyncio.gather(*(node.daemon.process.wait() for node in victims))
        watcher = asyncio.create_task(_peak_bytes(fleet, survivors))
        started = time.monotonic()
        await asyncio.gather(*(fleet.restart_daemon(node) for node in victims))
        spawned = time.monotonic()
        version = max(row["in_force"] for row in await fleet.versions())
        done = await fleet.wait_in_force(version, 60.0)
        took = time.monotonic() - started
        watcher.cancel()
        platform = await request_json(fleet.platform_address, "GET", "/control")
        more = {"daemons": STORM_SIZE, "killed": len(victims), "all_in_force": done}
        emit(
            "all in force after restart", "s", [took], spawning=round(spawned - started, 2), **more
        )
        emit("peak platform reads", "1/s", [platform["peak_reads_per_s"]], **more)
        emit("peak bytes of a survivor, in and out", "B/s", [_peaks[-1]], **more)


_peaks: list[float] = [0.0]


async def _peak_bytes(fleet: Fleet, survivors: Sequence[Node]) -> None:
    _peaks[:] = [0.0]
    before = await totals(fleet, survivors)
    while True:
        await asyncio.sleep(1.0)
        now = await totals(fleet, survivors)
        span = now.at - before.at
        rates = [(_bytes(b) - _bytes(a)) / span for a, b in zip(before.rows, now.rows, strict=True)]
        _peaks.append(max(_peaks[-1], max(rates)))
        before = now


@register("outage")
async def outage() -> None:
    """Restart daemons while the platform is away, and lose it between acceptance and spreading."""
    async with Fleet("outage", {"log_level": "WARNING"}) as fleet:
        await _ready(fleet, 27)
        took, _ = await _change(fleet, 1, random.Random(1))
        version = max(row["in_force"] for row in await fleet.versions())
        await fleet.fault(kind="outage", seconds=120)
        times = []
        for node in fleet.nodes[:6]:
            node.daemon.signal(signal.SIGKILL)
            await node.daemon.process.wait()
            started = time.monotonic()
            await fleet.restart_daemon(node)
            if not await fleet.wait_in_force(version, 60.0):
                raise RuntimeError("a restarted daemon does not come back by its peers")
            times.append(time.monotonic() - started)
        emit("restart while the platform is away", "s", times, daemons=27)
        await fleet.fault(kind="lose_answer", requests=1)
        took, _ = await _change(fleet, 2, random.Random(2))
        emit("convergence with a lost answer", "ms", [took], daemons=27)
