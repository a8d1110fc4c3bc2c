"""Benchmark of the room of backend servers: how many requests are under way beyond their slots.

The daemons run the code of the folder in `CODE`, by default this one, to compare versions.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from benchmarks.data import ready
from benchmarks.report import emit, register, say
from hornbeamgw.daemon.heads import VERDICT
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.testing.fleet import Fleet, Node, NodeSpec, request_json
from hornbeamgw.testing.room import OnClose

SERVERS = 4
SLOTS = 4
WORK_MS = 200.0
ROOM_PER_S = SERVERS * SLOTS / (WORK_MS / 1000)
SECONDS = 8.0
LIMIT_S = 10.0
DEADLINE_HEADER = b"hornbeamgw-deadline-ms"
TROUBLE_EVERY_S = 1.5
PAUSE_S = 1.5
SEEDS = tuple(int(seed) for seed in os.environ.get("SEEDS", "1,2").split(","))
CODE = os.environ.get("CODE")


async def no_trouble(fleet: Fleet, rng: random.Random) -> None:
    """Leave the daemons alone."""


async def kill(fleet: Fleet, rng: random.Random) -> None:
    """Kill one daemon after another, and start each again."""
    for _ in range(int(SECONDS / TROUBLE_EVERY_S)):
        await asyncio.sleep(TROUBLE_EVERY_S)
        node = rng.choice(fleet.nodes)
        node.daemon.signal(signal.SIGKILL)
        await node.daemon.process.wait()
        await fleet.restart_daemon(node)


async def pause(fleet: Fleet, rng: random.Random) -> None:
    """Let one daemon stand still for a while."""
    await asyncio.sleep(TROUBLE_EVERY_S)
    daemon = rng.choice(fleet.nodes).daemon
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    daemon.signal(signal.SIGCONT)


class Pattern(NamedTuple):
    """Calls at a ratio of what the servers can take, and what happens meanwhile.

    `deadline_ms` is the deadline of a call, and `leave_s` the time after which its caller leaves.
    """

    load: float
    deadline_ms: int = 2000
    leave_s: float = LIMIT_S
    trouble: Callable[[Fleet, random.Random], Awaitable[None]] = no_trouble
    leavers_share: float = 1.0


PATTERNS = {
    "callers leave": Pattern(1.0, leave_s=0.12),
    "a third of the callers leave": Pattern(1.0, leave_s=0.12, leavers_share=0.33),
    "deadlines pass": Pattern(1.0, deadline_ms=150),
    "more than there is room for": Pattern(1.3, deadline_ms=600),
    "daemons are killed": Pattern(3.7, deadline_ms=600, trouble=kill),
    "a daemon stands still": Pattern(1.3, deadline_ms=1000, trouble=pause),
}


async def _call(address: str, name: str, pattern: Pattern, leaves: bool) -> str:
    client = HttpClient(address, pattern.leave_s if leaves else LIMIT_S)
    headers = [
        (b"host", b"desk.vatuwaqa.example"),
        (b"x-request-id", name.encode()),
        (DEADLINE_HEADER, str(pattern.deadline_ms).encode()),
    ]
    try:
        answer = await client.request("GET", "/slots", headers)
    except TimeoutError:
        return "left"
    except (OSError, ConnectionLost, h11.ProtocolError):
        return "broken"
    finally:
        client.close()
    return (header(answer.headers, VERDICT) or b"answered").decode()


async def _load(fleet: Fleet, pattern: Pattern, rng: random.Random) -> Counter[str]:
    loop = asyncio.get_running_loop()
    due, end = loop.time(), loop.time() + SECONDS
    calls: list[asyncio.Task[str]] = []
    while (due := due + rng.expovariate(pattern.load * ROOM_PER_S)) < end:
        await asyncio.sleep(max(0.0, due - loop.time()))
        node = rng.choice(fleet.nodes)
        leaves = rng.random() < pattern.leavers_share
        name = f"room-{len(calls)}"
        calls.append(asyncio.create_task(_call(node.callers, name, pattern, leaves)))
    return Counter(await asyncio.gather(*calls))


async def _report(node: Node) -> dict[str, int]:
    assert node.backend is not None
    address = node.backend.bound_addresses["listening"]
    report: dict[str, int] = await request_json(address, "POST", "/control/report", {})
    return report


async def play(name: str, on_close: OnClose, queueing: str, seed: int) -> None:
    """Play one pattern, and print what was under way at the servers and what callers were told."""
    pattern, rng = PATTERNS[name], random.Random(f"{name} {seed}")
    settings = {"log_level": "WARNING", "calls": {"queueing": queueing}}
    async with Fleet("room", settings, CODE) as fleet:
        places = [
            NodeSpec(f"suva-{i + 1}", "fiji", "slot-desk", SLOTS, 130, WORK_MS, on_close=on_close)
            for i in range(SERVERS)
        ]
        await ready(fleet, places, "slot-desk")
        told, _ = await asyncio.gather(_load(fleet, pattern, rng), pattern.trouble(fleet, rng))
        reports = await asyncio.gather(*(_report(node) for node in fleet.nodes))
    emit(
        name,
        "most under way at a server",
        [float(report["peak"]) for report in reports],
        on_close=on_close,
        queueing=queueing,
        seed=seed,
        over_room=sum(report["over_room"] for report in reports),
        ran=sum(len(report["runs"]) for report in reports),  # type: ignore[arg-type,misc]
        told=dict(sorted(told.items())),
    )


@register("room")
async def room() -> None:
    """Play every pattern against servers that work on after a close, and that don't."""
    only = os.environ.get("PATTERN", "")
    policies = os.environ.get("QUEUEING", "deadline,objective").split(",")
    kinds = [OnClose(kind) for kind in os.environ.get("ON_CLOSE", "work,answer,drop").split(",")]
    for name in PATTERNS:
        if only not in name:
            continue
        for on_close in kinds:
            for queueing in policies:
                say(f"{name}; servers: {on_close}; policy: {queueing}")
                await asyncio.gather(*(play(name, on_close, queueing, seed) for seed in SEEDS))
