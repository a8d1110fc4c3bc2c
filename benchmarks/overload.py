"""Benchmark of calls over the slots: goodput and the latency-sensitive class under a flood."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from benchmarks.data import LIMIT_S, ready
from benchmarks.report import emit, register, say
from hornbeamgw.core.verdict import Verdict
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.testing.fleet import Fleet, NodeSpec, request_json
from hornbeamgw.testing.load import Kind, Outcome, audit, call
from hornbeamgw.testing.stats import percentile

SERVERS = 3
SLOTS = 6
WORK_MS = 50.0
CAPACITY = SERVERS * SLOTS / (WORK_MS / 1000)
FACTORS = (0.5, 1.0, 1.5, 2.0, 3.0)
SENSITIVE_SHARE = 0.15
SECONDS = 8.0
SENSITIVE = Kind("slot lookup", "desk.vatuwaqa.example", "GET", "/slots", True)
BULK = Kind("availability", "internal.vatuwaqa.example", "GET", "/availability", True)


class Stream:
    """Hold the calls of one kind, made at a rate that does not wait for answers."""

    def __init__(self, kind: Kind, rate: float, addresses: Sequence[str], tag: str) -> None:
        """Take the rate (1/s) and whom to call."""
        self.outcomes: list[Outcome] = []
        self._kind = kind
        self._rate = rate
        self._clients = [HttpClient(address, LIMIT_S) for address in addresses]
        self._tag = tag
        self._rng = random.Random(tag)

    async def run(self) -> None:
        """Call for the time of a step, and wait for what is under way."""
        loop = asyncio.get_running_loop()
        due, end = loop.time(), loop.time() + SECONDS
        tasks: list[asyncio.Task[None]] = []
        while (due := due + self._rng.expovariate(self._rate)) < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            tasks.append(asyncio.create_task(self._one(len(tasks))))
        await asyncio.gather(*tasks)

    async def _one(self, number: int) -> None:
        client = self._rng.choice(self._clients)
        self.outcomes.append(await call(client, self._kind, f"{self._tag}-{number}"))

    def goodput(self) -> float:
        """Return whole answers a second."""
        return sum(o.verdict is Verdict.ANSWERED and o.is_complete for o in self.outcomes) / SECONDS


@register("overload")
async def overload() -> None:
    """Raise a bulk class to three times the slots beside a steady latency-sensitive class."""
    async with Fleet("overload", {"log_level": "WARNING"}) as fleet:
        places = [
            NodeSpec(f"suva-{i + 1}", "fiji", "slot-desk", SLOTS, 130, WORK_MS)
            for i in range(SERVERS)
        ]
        await ready(fleet, places, "slot-desk")
        addresses = [node.callers for node in fleet.nodes]
        sensitive_rate = SENSITIVE_SHARE * CAPACITY
        quiet = Stream(SENSITIVE, sensitive_rate, addresses, "quiet")
        await quiet.run()
        unloaded = percentile([o.elapsed for o in quiet.outcomes], 99)
        outcomes = list(quiet.outcomes)
        goodputs: list[float] = []
        for factor in FACTORS:
            say(f"{factor} times the slots")
            sensitive = Stream(SENSITIVE, sensitive_rate, addresses, f"s{factor}")
            bulk = Stream(BULK, factor * CAPACITY - sensitive_rate, addresses, f"b{factor}")
            await asyncio.gather(sensitive.run(), bulk.run())
            outcomes += sensitive.outcomes + bulk.outcomes
            goodputs.append(sensitive.goodput() + bulk.goodput())
            times = [o.elapsed * 1000 for o in sensitive.outcomes if o.verdict == "answered"]
            emit(
                "latency-sensitive class",
                "ms",
                times,
                factor=factor,
                goodput=round(goodputs[-1], 1),
                share_of_peak=round(goodputs[-1] / max(goodputs), 3),
                p99_to_unloaded=round(percentile(times, 99) / 1000 / unloaded, 2),
                sensitive_answered=round(len(times) / len(sensitive.outcomes), 4),
            )
        reports = [
            await request_json(n.backend.bound_addresses["listening"], "POST", "/control/report")
            for n in fleet.nodes
            if n.backend is not None
        ]
    counted = audit(outcomes, reports)
    emit("overload audit", "calls", [float(counted.calls)], **counted._asdict())
