"""The open links between the machines go silent; are bookings served again?"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import network  # noqa: E402
import rig  # noqa: E402

BOUNDS = {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 62}
DESK_MACHINES, BOOK_MACHINES = 6, 2
MIN_REQUESTS = 20
CONFIG_APPLY_S = 2.0
# Requests of each kind per second and machine: first as by day, then as in a quiet hour.
BUSY_PER_S = {"lookup": 1.0, "booking": 1.0}
QUIET_PER_S = {"lookup": 0.5, "booking": 0.1}
LOOKUP_MS, BOOKING_MS = 500, 600
BUSY_S, CALM_S, JUDGED_S = 12.0, 5.0, 75.0
# The machines are in touch again `contact_ms` after the connections went silent.
CONTACT_S = 3.0


class Clients:
    """The clients, on the machines of slotdesk."""

    def __init__(self, deployment: network.NetworkRig) -> None:
        """Create clients that send nothing yet."""
        self.deployment = deployment
        self.ends: list[tuple[float, str, int]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def _one(self, machine: rig.Machine, kind: str) -> None:
        record, request_id = self.deployment.record, self.deployment.new_id()
        at = record.now()
        method, path, timeout_ms, body = (
            ("GET", "/lookup/x", LOOKUP_MS, b"")
            if kind == "lookup"
            else ("POST", "/book/x", BOOKING_MS, b"a booking")
        )
        # Clients wait a little longer than they say, so that an answer at the last moment counts.
        answer = await rig.ask(
            machine.outbound, method, path, request_id, timeout_ms, body, patience_s=0.5
        )
        self.ends.append((at, kind, answer.status))
        got = answer.status or answer.error
        record.note(f"{request_id} {kind} sent at {at:.3f} to {machine.number} got {got}")

    async def send(self, machine: rig.Machine, kind: str, per_s: float) -> None:
        """Send requests of a kind to a machine until cancelled."""
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            task = asyncio.create_task(self._one(machine, kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def send_all(self, per_s: dict[str, float]) -> list[asyncio.Task[None]]:
        """Begin to send requests to the machines of slotdesk; return the tasks."""
        return [
            asyncio.create_task(self.send(machine, kind, rate))
            for machine in self.deployment.machines[:DESK_MACHINES]
            for kind, rate in per_s.items()
        ]

    def served(self, kind: str, first: float, last: float) -> tuple[int, int]:
        """Return how many requests of a kind were sent in a time and are served, and how many."""
        ends = [status for at, k, status in self.ends if k in kind and first <= at < last]
        return sum(200 <= status < 300 for status in ends), len(ends)


def routes(with_booking: bool) -> list[dict[str, Any]]:
    """Return the routes; that for bookings is added later."""
    common = {"host": rig.HOST, "priority": 1, "attempts": 2}
    lookup = {"name": "r-lookup", "prefix": "/lookup/", "kind": "safe", "service": "slotdesk"}
    booking = {"name": "r-book", "prefix": "/book/", "kind": "unsafe", "service": "bookkeep"}
    found = [{**lookup, **common, "timeout_ms": LOOKUP_MS, "slo_ms": 200}]
    if with_booking:
        found.append({**booking, **common, "timeout_ms": BOOKING_MS, "slo_ms": 250})
    return found


async def start(deployment: network.NetworkRig) -> None:
    """Start the deployment, and add the route for bookings."""
    record, services = deployment.record, ["slotdesk", "bookkeep"]
    for number in range(DESK_MACHINES):
        await deployment.add("ab"[number % 2], "slotdesk")
    for _ in range(BOOK_MACHINES):
        await deployment.add("c", "bookkeep")
    deployment.configure(routes(False), services)
    for machine in deployment.machines:
        machine.start()
    for machine in deployment.machines:
        await deployment.add_instance(machine, 6, 0.05)
    await deployment.wait_ready()
    record.say("all daemons are ready")
    version = deployment.configure(routes(True), services)
    record.say(f"version {version} acknowledged: it adds the route for bookings")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)


async def play(deployment: network.NetworkRig, with_trouble: bool) -> int:
    """Play the scenario; return the exit code."""
    record = deployment.record
    await start(deployment)
    clients = Clients(deployment)
    busy_at = record.now()
    busy = clients.send_all(BUSY_PER_S)
    await asyncio.sleep(BUSY_S)
    for each in busy:
        each.cancel()
    quiet = clients.send_all(QUIET_PER_S)
    await asyncio.sleep(CALM_S)
    silent_at = record.now()
    if with_trouble:
        links = deployment.network.silence()
        record.say(f"the {links} open links between machines go silent; new ones work")
    await asyncio.sleep(CONTACT_S + JUDGED_S)
    for each in quiet:
        each.cancel()
    await asyncio.sleep(1.5)
    spans = {"before": (busy_at, silent_at), "after": (silent_at + CONTACT_S, record.now())}
    shares: dict[tuple[str, str], float] = {}
    for when, (first, last) in spans.items():
        for kind in ("lookup", "booking"):
            good, sent = clients.served(kind, first, last)
            shares[when, kind] = good / max(1, sent)
            record.say(f"{when}: of {sent} requests for a {kind} {good} are served")
            if when == "after" and sent < MIN_REQUESTS:
                return 2
    statuses = Counter(s for at, k, s in clients.ends if k == "booking" and at > silent_at)
    record.say(f"answers to bookings after: {dict(statuses)}")
    is_sound = shares["before", "booking"] > 0.9
    is_broken = shares["after", "booking"] < shares["after", "lookup"] / 4
    return int(is_broken) if is_sound else 2


def create(record: rig.Record) -> network.NetworkRig:
    """Return the deployment."""
    return network.NetworkRig(record, BOUNDS, {"a": "fj", "b": "fj", "c": "fj"})


sys.exit(rig.run_case(FOLDER, create, play))
