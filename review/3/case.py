"""An acknowledged configuration never comes into force, because of one name in it."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import BOUNDS, CannotRun, Fleet, Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = BOUNDS["contact_ms"] / 1000
APPLY_S = BOUNDS["config_apply_ms"] / 1000
SERVICES = ["entries", "racebook"]
# The name of the route that the second version adds.
ADDED_NAME = "draw_sheet" if TROUBLE else "draw-sheet"
ROUNDS = 40
ROUND_S = 0.2


def route(name: str, prefix: str, service: str) -> dict[str, object]:
    """Return a safe route."""
    limits = {"timeout_ms": 1000, "slo_ms": 300, "priority": 2, "attempts": 2}
    place = {"host": "desk.example", "prefix": prefix, "service": service}
    return {"name": name, "kind": "safe", **place, **limits}


async def run(fleet: Fleet, record: Record) -> int:
    """Play the case and return the exit code."""
    await fleet.start(["entries", "entries", "racebook", "racebook"])
    fleet.put_config(3, [route("crew-lookup", "/crew/", "entries")], SERVICES)
    await fleet.wait_ready()
    await asyncio.sleep(CONTACT_S + 1.0)
    for machine in fleet.machines:
        if (await fleet.call(machine, "GET", "/crew/1")).status != 200:
            raise CannotRun("the first version isn't served")
    routes = [
        route("crew-lookup", "/crew/", "racebook"),
        route(ADDED_NAME, "/draw/", "racebook"),
    ]
    acknowledged_at = fleet.put_config(8, routes, SERVICES)
    for _ in range(ROUNDS):
        await asyncio.sleep(ROUND_S)
        for machine in fleet.machines:
            await fleet.call(machine, "GET", "/crew/2")
            await fleet.call(machine, "GET", "/draw/2")
    return judge(fleet, record, acknowledged_at)


def judge(fleet: Fleet, record: Record, acknowledged_at: float) -> int:
    """Return 1 if CONFIG is broken for requests that were sent after the bound."""
    run_by_id = {
        run.request_id: (instance.service, run.first_line)
        for instance in fleet.instances
        for run in instance.runs
    }
    due = [a for a in fleet.answers if a.sent_at > acknowledged_at + APPLY_S]
    moved = [a for a in due if run_by_id.get(a.request_id) == ("entries", "GET /crew/2 HTTP/1.1")]
    missing = [a for a in due if a.status == 404]
    last_s = max((a.sent_at for a in moved + missing), default=acknowledged_at) - acknowledged_at
    record.add(f"{len(due)} requests were sent later than {APPLY_S:.0f} s after version 8")
    record.add(f"{len(moved)} of them were run by the old service, {len(missing)} got 404")
    if moved or missing:
        record.add(f"CONFIG broken: the last of them was sent {last_s:.3f} s after version 8")
    return 1 if moved or missing else 0


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
