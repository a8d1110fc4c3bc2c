"""A departure that a daemon has acknowledged is forgotten when that daemon is restarted."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import BOUNDS, CannotRun, Fleet, Record, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000
# The departing instance goes on serving for this long after its acknowledgement.
SERVES_ON_S = 8.5
# The last heartbeat before the departure arrives this late.
HEARTBEAT_LATE_S = 4.0
RESTART_DELAY_S = 0.5
CALL_INTERVAL_S = 0.05
ROUTES = [
    {
        "name": "crew-lookup",
        "host": "desk.example",
        "prefix": "/crew/",
        "kind": "safe",
        "timeout_ms": 1000,
        "slo_ms": 300,
        "priority": 2,
        "service": "entries",
        "attempts": 2,
    },
    {
        "name": "boat-entry",
        "host": "desk.example",
        "prefix": "/boat/",
        "kind": "unsafe",
        "timeout_ms": 1000,
        "slo_ms": 300,
        "priority": 1,
        "service": "entries",
        "attempts": 2,
    },
]


async def send_calls(fleet: Fleet) -> None:
    """Send requests from the machines that stay undisturbed, until cancelled."""
    calls = set()
    number = 0
    while True:
        number += 1
        method, target = ("GET", "/crew/7") if number % 2 else ("POST", "/boat/7")
        machine = fleet.machines[1 + number // 2 % 2]
        body = b"" if method == "GET" else b"one boat"
        call = asyncio.create_task(fleet.call(machine, method, target, body=body))
        calls.add(call)
        call.add_done_callback(calls.discard)
        await asyncio.sleep(CALL_INTERVAL_S)


async def run(fleet: Fleet, record: Record) -> int:
    """Play the case and return the exit code."""
    await fleet.start(["entries", "entries", "racebook"])
    fleet.put_config(3, ROUTES, ["entries", "racebook"])
    await fleet.wait_ready()
    calls = asyncio.create_task(send_calls(fleet))
    await asyncio.sleep(CONTACT_S + 1.0)
    leaving, machine = fleet.instances[0], fleet.machines[0]
    if not leaving.runs:
        raise CannotRun("the instance got no request before its departure")
    leaving.stop_beats()
    late = leaving.heartbeat()
    sent_at = record.add(
        f"instance {leaving.id} sends: ready, sequence {leaving.sequence}; the network holds it"
    )
    leaving.state = "leaving"
    if await leaving.tell(leaving.departure(), "it leaves (DELETE)") != 200:
        raise CannotRun("the departure isn't acknowledged")
    acknowledged_at = record.add(f"the departure of {leaving.id} is acknowledged")
    await asyncio.sleep(0.3)
    in_touch_from = 0.0
    if TROUBLE:
        machine.signal(signal.SIGTERM)
        await machine.wait_ended()
        await asyncio.sleep(RESTART_DELAY_S)
        machine.start()
        in_touch_from = machine.started_at + CONTACT_S
    now = record.add("waiting for the heartbeat that is held")
    await asyncio.sleep(max(0.0, sent_at + HEARTBEAT_LATE_S - now))
    await leaving.tell(late, "ready, the heartbeat that was held")
    now = record.add(f"machine {machine.name} is in touch from {in_touch_from:.3f}")
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_ON_S - now))
    leaving.stop()
    calls.cancel()
    await asyncio.sleep(1.6)
    return judge(fleet, record, acknowledged_at, in_touch_from)


def judge(fleet: Fleet, record: Record, acknowledged_at: float, in_touch_from: float) -> int:
    """Return 1 if DRAIN is broken: a request that reaches the instance too late."""
    sent_at_by_id = {answer.request_id: answer.sent_at for answer in fleet.answers}
    late = [
        run
        for run in fleet.instances[0].runs
        if run.at > acknowledged_at + DRAIN_S
        and sent_at_by_id.get(run.request_id, 0.0) > in_touch_from
    ]
    unserved = sum(answer.status != 200 for answer in fleet.answers)
    record.add(f"{len(fleet.answers)} requests, {unserved} without a success")
    for run in late:
        after_s = run.at - acknowledged_at
        record.add(f"DRAIN broken: {run.request_id} ran {after_s:.3f} s after the acknowledgement")
    record.add(f"result: {len(late)} requests too late")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(play(HERE, run))
