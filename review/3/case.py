"""A tenant gets more than its quota while the daemons are restarted in turn."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
import uuid
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import CannotRun, Fleet, Machine, Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 12
ROLLS = 4
ROLL_GAP_S = 1.0
RESTART_DELAY_S = 0.5
RATE, BURST = 20.0, 100.0
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
LIMIT = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
# A tenant's quota is 1.6 times its usual rate; a hot tenant sends 7.5 times its usual, for 6.5 s.
USUAL_RATE = RATE / 1.6
HOT_FACTOR, HOT_S, HOT_AFTER_S, HOT_PAUSE_S = 7.5, 6.5, 3.0, 0.5
HOT_PER_ROLL = 2
ROUTE = {
    "name": "log-lookup",
    "host": "desk.example",
    "prefix": "/log/",
    "kind": "safe",
    "timeout_ms": 1000,
    "slo_ms": 300,
    "priority": 1,
    "service": "logbook",
    "attempts": 2,
}


class Load:
    """The requests of all tenants, sent to the machines that take new work in turn."""

    def __init__(self, fleet: Fleet, tenants: list[str]) -> None:
        """Create the load of `tenants`; none is hot yet."""
        self.hot = ""
        self.stopped = False
        self.away: set[Machine] = set()
        self.tenant_by_id: dict[str, str] = {}
        self._fleet = fleet
        self._tenants = tenants
        self._calls: set[asyncio.Task[object]] = set()

    async def run(self) -> None:
        """Send the requests of all tenants until stopped, and wait for the answers."""
        await asyncio.gather(*(self._send(tenant) for tenant in self._tenants))
        while self._calls:
            await asyncio.sleep(0.05)

    async def _send(self, tenant: str) -> None:
        machines = self._fleet.machines
        number, due = random.randrange(len(machines)), time.monotonic()
        while not self.stopped:
            due += 1 / (USUAL_RATE * (HOT_FACTOR if self.hot == tenant else 1.0))
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            number += 1
            machine = machines[number % len(machines)]
            if machine in self.away:
                continue
            request_id = uuid.uuid4().hex[:16]
            self.tenant_by_id[request_id] = tenant
            key = {"Api-Key": f"key-of-{tenant}"}
            call = asyncio.create_task(
                self._fleet.call(machine, "GET", "/log/7", request_id=request_id, more=key)
            )
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)


async def restart(machine: Machine, load: Load) -> None:
    """Stop a daemon with SIGTERM and start it again; clients stay away until it is ready."""
    load.away.add(machine)
    machine.signal(signal.SIGTERM)
    await machine.wait_ended()
    await asyncio.sleep(RESTART_DELAY_S)
    machine.start()
    while not await machine.is_ready():
        await asyncio.sleep(0.1)
    load.away.discard(machine)


async def make_hot(load: Load, record: Record, tenants: list[str]) -> None:
    """Let tenants be hot one after the other."""
    await asyncio.sleep(HOT_AFTER_S)
    for tenant in tenants:
        record.add(f"tenant {tenant} is hot")
        load.hot = tenant
        await asyncio.sleep(HOT_S)
        load.hot = ""
        record.add(f"tenant {tenant} is as usual")
        await asyncio.sleep(HOT_PAUSE_S)


async def roll(fleet: Fleet, load: Load) -> None:
    """Restart all daemons in turn, or wait as long without the disruption."""
    restarts = []
    for machine in fleet.machines:
        if TROUBLE:
            restarts.append(asyncio.create_task(restart(machine, load)))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*restarts)


async def run(fleet: Fleet, record: Record) -> int:
    """Play the case and return the exit code."""
    fleet.bounds |= {"quota_window_s": 5, "quota_overage": OVERAGE, "quota_slack": SLACK}
    tenants = [f"club-{random.randrange(10**6)}" for _ in range(ROLLS * HOT_PER_ROLL)]
    await fleet.start(["logbook"] * MACHINES, slots=40, work_s=0.005)
    rows = [[tenant, [f"key-of-{tenant}"], 1, RATE, BURST] for tenant in tenants]
    fleet.put_config(3, [ROUTE], ["logbook"], rows)
    await fleet.wait_ready()
    await asyncio.sleep(4.0)
    load = Load(fleet, tenants)
    sending = asyncio.create_task(load.run())
    await asyncio.sleep(7.0)
    for number in range(ROLLS):
        hot = tenants[number * HOT_PER_ROLL : (number + 1) * HOT_PER_ROLL]
        await asyncio.gather(roll(fleet, load), make_hot(load, record, hot))
        await asyncio.sleep(3.0)
    load.stopped = True
    await sending
    return judge(fleet, record, load, tenants)


def most_in_window(sent_and_run: list[tuple[float, float]]) -> tuple[int, float]:
    """Return the most requests that were both sent and run within a window, and its start (s)."""
    most, at = 0, 0.0
    for start, _ in sent_and_run:
        inside = sum(start <= sent and ran <= start + WINDOW_S for sent, ran in sent_and_run)
        if inside > most:
            most, at = inside, start
    return most, at


def judge(fleet: Fleet, record: Record, load: Load, tenants: list[str]) -> int:
    """Return 1 if QUOTA is broken for a tenant."""
    sent_by_id = {answer.request_id: answer.sent_at for answer in fleet.answers}
    is_broken = False
    for tenant in tenants:
        ran = [
            (sent_by_id[run.request_id], run.at)
            for instance in fleet.instances
            for run in instance.runs
            if load.tenant_by_id.get(run.request_id) == tenant and run.request_id in sent_by_id
        ]
        most, at = most_in_window(ran)
        verdict = "QUOTA broken" if most > LIMIT else "held"
        record.add(
            f"tenant {tenant}: {most} requests from {at:.3f} on, limit {LIMIT:.0f}: {verdict}"
        )
        is_broken |= most > LIMIT
    return 1 if is_broken else 0


async def main() -> int:
    """Run the case with a record, and end all that it started."""
    record = Record(HERE / "record.txt")
    try:
        fleet = Fleet(record)
        try:
            return await run(fleet, record)
        finally:
            fleet.close()
    except CannotRun as error:
        record.add(f"cannot run: {error}")
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
