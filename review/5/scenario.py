"""The store's open connections go silent; how long does the former configuration stay in force?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import rig  # noqa: E402

BOUNDS = {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 62}
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
# Requests this close to a bound are left out, as the clocks of client and daemon are read apart.
MARGIN_S = 0.05
CHANGE_AFTER_S = 0.5
ASK_FROM_S, ASK_UNTIL_S, ASK_EVERY_S = 2.6, 7.0, 0.05
MACHINES = 6


def routes(service: str) -> list[dict[str, Any]]:
    """Return the routes; the first one goes to a service."""
    lookup = {"name": "r-lookup", "prefix": "/lookup/", "kind": "safe", "service": service}
    booking = {"name": "r-book", "prefix": "/book/", "kind": "unsafe", "service": "bookkeep"}
    common = {"host": rig.HOST, "timeout_ms": 500, "slo_ms": 200, "priority": 2, "attempts": 2}
    return [{**lookup, **common}, {**booking, **common}]


async def play(deployment: rig.Rig, with_trouble: bool) -> int:
    """Play the scenario; return the exit code."""
    record, services = deployment.record, ["slotdesk", "bookkeep"]
    await deployment.start_store()
    for number in range(MACHINES):
        await deployment.add("abc"[number % 3], services[number % 2])
    deployment.configure(routes("slotdesk"), services)
    for machine in deployment.machines:
        machine.start()
    instances = [await deployment.add_instance(m, 6, 0.02) for m in deployment.machines]
    await deployment.wait_ready()
    record.say("all daemons are ready")
    await asyncio.sleep(4.0)
    for number, machine in enumerate(deployment.machines):
        # Planned work: the instances are started anew, one after the other.
        instances[number].stop()
        await asyncio.sleep(0.3)
        instances[number] = await deployment.add_instance(machine, 6, 0.02)
        await asyncio.sleep(0.3)
    await asyncio.sleep(6.0)
    valves = [m.valve for m in deployment.machines if m.valve is not None]
    record.say(f"connections to the store, by daemon: {[len(v.epochs) for v in valves]}")
    silent_at = record.now()
    if with_trouble:
        for valve in valves:
            valve.silence()
        record.say("the open connections to the store go silent; new ones work")
    await asyncio.sleep(CHANGE_AFTER_S)
    version = deployment.configure(routes("bookkeep"), services)
    acknowledged_at = record.now()
    record.say(f"version {version} acknowledged: /lookup/ goes to bookkeep, no more to slotdesk")
    sent: dict[str, float] = {}

    async def one(machine: rig.Machine) -> None:
        request_id = deployment.new_id()
        sent[request_id] = record.now()
        answer = await rig.ask(machine.outbound, "GET", "/lookup/x", request_id, 500)
        got = answer.body.decode() if answer.status == 200 else answer.error
        record.note(f"{request_id} sent at {sent[request_id]:.3f} got {answer.status} {got}")

    await asyncio.sleep(silent_at + ASK_FROM_S - record.now())
    tasks = []
    while record.now() < silent_at + ASK_UNTIL_S:
        tasks += [asyncio.create_task(one(machine)) for machine in deployment.machines]
        await asyncio.sleep(ASK_EVERY_S)
    await asyncio.gather(*tasks)
    bound = max(acknowledged_at + CONFIG_APPLY_S, silent_at + CONTACT_S) + MARGIN_S
    late = {i: at for i, at in sent.items() if at > bound}
    by_old = [
        late[request_id]
        for _, request_id, service, _, _ in deployment.runs
        if request_id in late and service == "slotdesk"
    ]
    by_new = sum(r[1] in late and r[2] == "bookkeep" for r in deployment.runs)
    record.say(f"of {len(late)} requests sent after the bound, {bound:.2f}:")
    record.say(f"{len(by_old)} were run by slotdesk, {by_new} by bookkeep")
    if by_old:
        record.say(f"the last of them was sent {max(by_old) - bound + MARGIN_S:.2f} s after it")
    return 2 if not by_old and not by_new else int(bool(by_old))


def create(record: rig.Record) -> rig.Rig:
    """Return the deployment."""
    return rig.Rig(record, BOUNDS, {"a": "fj", "b": "fj", "c": "fj"})


sys.exit(rig.run_case(FOLDER, create, play))
