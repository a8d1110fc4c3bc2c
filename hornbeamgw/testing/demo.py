"""Demo: both adopters' fleets on loopback, changed and hurt while callers call."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from hornbeamgw.core.catalogue import ParsedFile, parse_file
from hornbeamgw.core.edit import EMPTY_CATALOGUE, Change, Edit, requested_changes
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.testing.fleet import Fleet, Node, Place, ask
from hornbeamgw.testing.load import KINDS, LoadGenerator, audit, call
from hornbeamgw.testing.stats import percentile

CATALOGUES = ("catalogue/vatuwaqa.yaml", "catalogue/kijani.yaml")
CHANGES = 10
WORKERS = 12
PAUSE_S = 0.08
CONTROL_KINDS = ("push", "have", "pull")
PROBE_KIND = KINDS[0]
PROBE_PAUSE_S = 0.01
SAMPLE_EVERY_S = 0.25
LIMIT_S = 12.0
SLOW_MS = 200.0
ZEROES = ("lost", "doubled", "cut_off", "reverts", "dangling_routes")


def places() -> list[Place]:
    """Return where the backend servers of both adopters run, at the sizes of today."""
    vatuwaqa = [("slot-desk", 5), ("booking-payment", 3), ("roster", 3)]
    kijani = [("planner", 4), ("reservation", 4), ("fixtures", 4)]
    found = []
    for service, count in vatuwaqa:
        found += [Place(f"suva-{i % 3 + 1}", "fiji", service, 6, 130) for i in range(count)]
    for service, count in kijani:
        found += [Place(f"dar-{i % 4 + 1}", "tanzania", service, 12, 110) for i in range(count)]
    return found


def _say(text: str) -> None:
    print(f"[{time.strftime('%H:%M:%S')}] {text}", file=sys.stderr, flush=True)


def example_edit(number: int) -> Edit:
    """Return the edit that creates the whole example catalogue."""
    bodies: dict[str, dict[str, Any]] = {}
    for path in CATALOGUES:
        parsed, problems = parse_file(Path(path).read_text(encoding="utf-8"), path)
        assert not problems, problems
        bodies |= parsed.bodies_by_key
    changes = requested_changes(EMPTY_CATALOGUE, ParsedFile(bodies, {}, None), False, True)
    return Edit(edit_id=f"example-{number}", author="demo", changes=changes)


class Demo:
    """Hold the fleet, the load and what was observed."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        """Take a fleet whose platform runs."""
        self.fleet = fleet
        self.rng = rng
        self.load = LoadGenerator(self._callers, rng)
        self.convergence_ms: list[float] = []
        self.reverts = 0
        self.dangling = 0
        self.cut_off = 0
        self.direct_ms: list[float] = []
        self.through_ms: list[float] = []
        self._in_force: dict[str, int] = {}
        self._stopping = False
        self._reports: list[dict[str, Any]] = []
        self.down: set[str] = set()

    def _callers(self) -> list[str]:
        nodes = [n for n in self.fleet.nodes if n.daemon.alive and n.address not in self.down]
        return [node.callers for node in nodes]

    async def edit(self, edit: Edit, at: Node) -> int:
        """Send an edit to one daemon and return the version that it became."""
        answer = await ask(at.admin, "POST", "/edits", edit)
        if "version" not in answer:
            raise RuntimeError(f"edit refused: {answer}")
        return int(answer["version"])

    async def change(self, number: int) -> None:
        """Change one limit by a random daemon, and time it until it is in force everywhere."""
        node = self.rng.choice([n for n in self.fleet.nodes if n.daemon.alive])
        catalogue = await ask(node.admin, "GET", "/catalogue")
        key = self.rng.choice(sorted(k for k in catalogue["items"] if k.startswith("entry/")))
        revision, body = catalogue["items"][key]
        body["limits"]["queue"] = 20 + number
        change = Change(key=key, based_on=revision, body=body)
        edit = Edit(edit_id=f"demo-{number}", author="demo", changes=[change])
        version = await self.edit(edit, node)
        if not await self.fleet.wait_in_force(version, LIMIT_S):
            raise RuntimeError(f"version {version} is not in force everywhere in {LIMIT_S} s")
        took = await convergence_ms(self.fleet, version)
        self.convergence_ms.append(took)
        if took > SLOW_MS:
            await _explain_slow(self.fleet, version)
        _say(f"change {number}: version {version} of {key} in force everywhere in {took:.0f} ms")

    async def bad_change(self) -> None:
        """Try to add a route to a service that is not there; it must be refused whole."""
        node = self.fleet.nodes[0]
        before = (await ask(node.admin, "GET", "/version"))["in_force"]
        body = {
            "name": "nowhere",
            "host": "x.example",
            "prefix": "/",
            "methods": ["GET"],
            "service": "missing",
            "entry": "booking",
            "idempotent": True,
            "deadline_ms": 100,
        }
        changes = [Change(key="route/nowhere", based_on=0, body=body)]
        edit = Edit(edit_id="demo-bad", author="demo", changes=changes)
        answer = await ask(node.admin, "POST", "/edits", edit)
        after = (await ask(node.admin, "GET", "/version"))["in_force"]
        if not answer.get("problems") or after != before:
            raise RuntimeError(f"the bad change was not refused: {answer}")
        _say(f"bad change refused: {answer['problems'][0]['key']}")

    async def drain_backend(self) -> None:
        """Stop one backend server as planned; nothing in flight may be cut off."""
        node = next(n for n in self.fleet.nodes if n.place.service == "planner")
        assert node.backend is not None
        address = node.backend.said["listening"]
        report = await ask(address, "POST", "/control/drain", {})
        await asyncio.sleep(1.0)
        report = await ask(address, "POST", "/control/report", {})
        self.cut_off += len(report["broken"]) + report["running"]
        late = len(report["after_drain"])
        self._reports.append(report)
        await node.backend.stop()
        _say(f"drained {address}: {len(report['broken'])} cut off, {late} new requests after it")

    async def stop_daemon(self) -> None:
        """Stop one daemon as planned, with its backend server behind it."""
        node = next(n for n in self.fleet.nodes if n.place.service == "slot-desk")
        assert node.backend is not None
        before = self._broken_by(node)
        code = await node.daemon.stop()
        report = await ask(node.backend.said["listening"], "POST", "/control/report", {})
        broken = len(report["broken"]) + self._broken_by(node) - before
        self.cut_off += broken + (code != 0)
        self._reports.append(report)
        await node.backend.stop()
        _say(f"stopped daemon {node.address}: exit code {code}, {broken} cut off")

    def _broken_by(self, node: Node) -> int:
        return sum(o.reason.startswith("broken") for o in self.load.outcomes)

    async def kill_and_restart(self) -> None:
        """Kill a daemon outright and start it again with nothing."""
        node = next(n for n in self.fleet.nodes if n.place.service == "roster")
        self.down.add(node.address)
        node.daemon.signal(signal.SIGKILL)
        await node.daemon.process.wait()
        _say(f"killed daemon {node.address}")
        await asyncio.sleep(1.0)
        await self.fleet.restart_daemon(node)
        version = max(row["in_force"] for row in await self.fleet.versions())
        if not await self.fleet.wait_in_force(version, LIMIT_S):
            raise RuntimeError("the restarted daemon does not catch up")
        self.down.discard(node.address)
        _say(f"restarted daemon {node.address}: version {version} in force")

    async def watch(self) -> None:
        """Look for daemons that go back to an older version."""
        while not self._stopping:
            alive = [n for n in self.fleet.nodes if n.daemon.alive]
            asked = [ask(n.admin, "GET", "/version") for n in alive]
            for row in await asyncio.gather(*asked, return_exceptions=True):
                if isinstance(row, dict) and row["ready"]:
                    held = self._in_force.get(row["address"], 0)
                    self.reverts += row["in_force"] < held
                    self._in_force[row["address"]] = max(held, row["in_force"])
            await asyncio.sleep(SAMPLE_EVERY_S)

    async def probe_added(self) -> None:
        """Time a call straight to a backend server and through two daemons, in turn."""
        node = self.fleet.nodes[0]
        target = next(n for n in self.fleet.nodes[1:] if n.place.service == "slot-desk")
        assert target.backend is not None
        direct = HttpClient(target.backend.said["listening"], 5.0)
        through = HttpClient(self.fleet.nodes[5].callers, 5.0)
        del node
        number = 0
        while not self._stopping:
            number += 1
            for client, times in ((direct, self.direct_ms), (through, self.through_ms)):
                outcome = await call(client, PROBE_KIND, f"probe{number}")
                if outcome.verdict == "answered":
                    times.append(outcome.elapsed * 1000)
                await asyncio.sleep(PROBE_PAUSE_S)

    def stop(self) -> None:
        """End watching and probing."""
        self._stopping = True

    async def reports(self) -> list[dict[str, Any]]:
        """Return the record of every backend server, also of those that stopped."""
        alive = [n.backend for n in self.fleet.nodes if n.backend and n.backend.alive]
        asked = [ask(b.said["listening"], "POST", "/control/report", {}) for b in alive]
        return self._reports + list(await asyncio.gather(*asked))


async def convergence_ms(fleet: Fleet, version: int) -> float:
    """Return the time from an edit's acceptance until the last living daemon applied it."""
    alive = [n for n in fleet.nodes if n.daemon.alive]
    rows = await asyncio.gather(
        *(ask(n.admin, "GET", f"/timeline?version={version}") for n in alive)
    )
    accepted = min(row["accepted_at"] for row in rows if row["accepted_at"])
    applied = [row["in_force_at"] for row in rows if row["in_force_at"]]
    return float(max(applied) - accepted) * 1000


async def _explain_slow(fleet: Fleet, version: int) -> None:
    alive = [n for n in fleet.nodes if n.daemon.alive]
    rows = await asyncio.gather(
        *(ask(n.admin, "GET", f"/timeline?version={version}") for n in alive)
    )
    last = max(rows, key=lambda row: row["in_force_at"] or 0.0)
    _say(f"slowest: {last}")


async def control_bytes(fleet: Fleet) -> dict[str, int]:
    """Return the control bytes that each living daemon received for versions so far."""
    alive = [n for n in fleet.nodes if n.daemon.alive]
    rows = await asyncio.gather(*(ask(n.admin, "GET", "/counters") for n in alive))
    return {
        node.address: sum(row["bytes_in"].get(kind, 0) for kind in CONTROL_KINDS)
        for node, row in zip(alive, rows, strict=True)
    }


async def _events(demo: Demo) -> float:
    before = await control_bytes(demo.fleet)
    for number in range(1, 5):
        await demo.change(number)
        await asyncio.sleep(0.5)
    await demo.bad_change()
    after = await control_bytes(demo.fleet)
    per_change = sum(after[a] - before[a] for a in before) / len(before) / 4
    await demo.drain_backend()
    for number in range(5, 8):
        await demo.change(number)
        await asyncio.sleep(0.5)
    await demo.kill_and_restart()
    await demo.stop_daemon()
    for number in range(8, CHANGES + 1):
        await demo.change(number)
        await asyncio.sleep(0.5)
    return per_change


async def _run(seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    async with Fleet("demo") as fleet:
        wanted = places()
        _say(f"starting {len(wanted)} daemons, each with a backend server, in 7 data centres")
        await fleet.start_nodes(wanted)
        demo = Demo(fleet, rng)
        version = await demo.edit(example_edit(0), fleet.nodes[0])
        if not await fleet.wait_in_force(version, LIMIT_S):
            raise RuntimeError("the example catalogue is not in force everywhere")
        if not await fleet.wait_members(LIMIT_S):
            raise RuntimeError("not every daemon sees all the others")
        _say("example catalogue in force; callers start")
        demo.load.start(WORKERS, PAUSE_S)
        watchers = [asyncio.create_task(demo.watch()), asyncio.create_task(demo.probe_added())]
        per_change = await _events(demo)
        _say("callers stop")
        await demo.load.stop()
        demo.stop()
        await asyncio.gather(*watchers)
        return await _result(demo, per_change)


async def _result(demo: Demo, per_change: float) -> dict[str, Any]:
    alive = [n for n in demo.fleet.nodes if n.daemon.alive]
    counters = await asyncio.gather(*(ask(n.admin, "GET", "/counters") for n in alive))
    violations: Counter[str] = Counter()
    for row in counters:
        violations.update(row["invariants"])
    dangling = sum(row["dangling_routes"] for row in counters)
    counted = audit(demo.load.outcomes, await demo.reports())
    added = [t - d for t, d in zip(demo.through_ms, demo.direct_ms, strict=False)]
    reasons = Counter(o.reason for o in demo.load.outcomes if o.reason)
    _say(f"reasons of calls without an answer: {dict(reasons)}; violations: {dict(violations)}")
    times = demo.convergence_ms
    return {
        **counted._asdict(),
        "cut_off": demo.cut_off,
        "changes": len(times),
        "convergence_ms": {
            "p50": round(percentile(times, 50), 1),
            "p99": round(percentile(times, 99), 1),
            "max": round(max(times), 1),
        },
        "control_bytes_per_change_per_daemon": round(per_change, 1),
        "added_ms": {
            "p50": round(percentile(added, 50), 3),
            "p99": round(percentile(added, 99), 3),
            "n": len(added),
        },
        "reverts": demo.reverts + violations["never_reverts"],
        "dangling_routes": dangling + violations["no_dangling_route"],
        "violations": sum(violations.values()),
    }


def main() -> None:
    """Run the demo; the last line on standard output is its result."""
    result = asyncio.run(_run(seed=1))
    print(msgspec.json.encode(result).decode())
    wrong = {key: result[key] for key in (*ZEROES, "violations") if result[key]}
    if wrong or result["changes"] != CHANGES:
        _say(f"failed: {wrong}")
        sys.exit(1)


if __name__ == "__main__":
    main()
