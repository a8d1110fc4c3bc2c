"""Demo: both adopters' fleets on loopback, with changes and faults under steady load.

The result is printed as one line of JSON on standard output, progress on standard error.
"""

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
from hornbeamgw.testing.fleet import Fleet, Node, NodeSpec, request_json
from hornbeamgw.testing.load import KINDS, LoadGenerator, audit, call
from hornbeamgw.testing.stats import percentile

CATALOGUES = ("catalogue/vatuwaqa.yaml", "catalogue/kijani.yaml")
CHANGE_COUNT = 10
CALLER_COUNT = 12
CALL_PAUSE_S = 0.08
CONTROL_MESSAGE_KINDS = ("push", "have", "pull")
PROBE_KIND = KINDS[0]
PROBE_PAUSE_S = 0.01
SAMPLE_INTERVAL_S = 0.25
CONVERGENCE_TIMEOUT_S = 12.0
SLOW_CONVERGENCE_MS = 200.0
KEYS_EXPECTED_ZERO = ("lost", "doubled", "cut_off", "reverts", "dangling_routes")


def node_specs() -> list[NodeSpec]:
    """Return the specs of both adopters' nodes, one for each backend server."""
    vatuwaqa = [("slot-desk", 5), ("booking-payment", 3), ("roster", 3)]
    kijani = [("planner", 4), ("reservation", 4), ("fixtures", 4)]
    specs = []
    for service, count in vatuwaqa:
        specs += [NodeSpec(f"suva-{i % 3 + 1}", "fiji", service, 6, 130) for i in range(count)]
    for service, count in kijani:
        specs += [NodeSpec(f"dar-{i % 4 + 1}", "tanzania", service, 12, 110) for i in range(count)]
    return specs


def _print_progress(text: str) -> None:
    print(f"[{time.strftime('%H:%M:%S')}] {text}", file=sys.stderr, flush=True)


def example_edit(number: int) -> Edit:
    """Return the edit that creates the whole example catalogue.

    The number distinguishes the edit ids of several runs.
    """
    bodies: dict[str, dict[str, Any]] = {}
    for path in CATALOGUES:
        parsed, problems = parse_file(Path(path).read_text(encoding="utf-8"), path)
        assert not problems, problems
        bodies |= parsed.bodies_by_key
    changes = requested_changes(EMPTY_CATALOGUE, ParsedFile(bodies, {}, None), False, True)
    return Edit(edit_id=f"example-{number}", author="demo", changes=changes)


class Demo:
    """A fleet under load, the events of the demo and the measurements taken meanwhile."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        """Use a fleet whose platform is running."""
        self.fleet = fleet
        self.rng = rng
        self.load = LoadGenerator(self._callers, rng)
        self.convergence_ms: list[float] = []
        self.reverts = 0
        self.dangling_routes = 0
        self.cut_off = 0
        self.direct_ms: list[float] = []
        self.proxied_ms: list[float] = []
        self._in_force_by_address: dict[str, int] = {}
        self._stopping = False
        self._reports: list[dict[str, Any]] = []
        self.down_addresses: set[str] = set()

    def _callers(self) -> list[str]:
        nodes = [
            n for n in self.fleet.nodes if n.daemon.alive and n.address not in self.down_addresses
        ]
        return [node.callers for node in nodes]

    async def edit(self, edit: Edit, at: Node) -> int:
        """Submit an edit to one daemon and return the version that it created."""
        answer = await request_json(at.admin, "POST", "/edits", edit)
        if "version" not in answer:
            raise RuntimeError(f"edit rejected: {answer}")
        return int(answer["version"])

    async def change_queue_limit(self, number: int) -> None:
        """Change one queue limit through a random daemon and measure its convergence time."""
        node = self.rng.choice([n for n in self.fleet.nodes if n.daemon.alive])
        catalogue = await request_json(node.admin, "GET", "/catalogue")
        key = self.rng.choice(sorted(k for k in catalogue["items"] if k.startswith("entry/")))
        revision, body = catalogue["items"][key]
        body["limits"]["queue"] = 20 + number
        change = Change(key=key, based_on=revision, body=body)
        edit = Edit(edit_id=f"demo-{number}", author="demo", changes=[change])
        version = await self.edit(edit, node)
        if not await self.fleet.wait_in_force(version, CONVERGENCE_TIMEOUT_S):
            raise RuntimeError(
                f"version {version} did not reach all daemons within {CONVERGENCE_TIMEOUT_S} s"
            )
        elapsed_ms = await convergence_ms(self.fleet, version)
        self.convergence_ms.append(elapsed_ms)
        if elapsed_ms > SLOW_CONVERGENCE_MS:
            await _print_slowest(self.fleet, version)
        _print_progress(
            f"change {number}: version {version} of {key} on all daemons in {elapsed_ms:.0f} ms"
        )

    async def try_invalid_change(self) -> None:
        """Submit a route to a missing service and check that the edit is rejected."""
        node = self.fleet.nodes[0]
        before = (await request_json(node.admin, "GET", "/version"))["in_force"]
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
        answer = await request_json(node.admin, "POST", "/edits", edit)
        after = (await request_json(node.admin, "GET", "/version"))["in_force"]
        if not answer.get("problems") or after != before:
            raise RuntimeError(f"invalid change was not rejected: {answer}")
        _print_progress(f"invalid change rejected: {answer['problems'][0]['key']}")

    async def drain_backend(self) -> None:
        """Drain and stop one backend server, and count the requests that were cut off."""
        node = next(n for n in self.fleet.nodes if n.spec.service == "planner")
        assert node.backend is not None
        address = node.backend.bound_addresses["listening"]
        report = await request_json(address, "POST", "/control/drain", {})
        await asyncio.sleep(1.0)
        report = await request_json(address, "POST", "/control/report", {})
        self.cut_off += len(report["broken"]) + report["running"]
        late = len(report["after_drain"])
        self._reports.append(report)
        await node.backend.stop()
        _print_progress(
            f"drained {address}: {len(report['broken'])} cut off, {late} requests after the drain"
        )

    async def stop_daemon(self) -> None:
        """Stop one daemon gracefully, then its backend server, and count the calls cut off."""
        node = next(n for n in self.fleet.nodes if n.spec.service == "slot-desk")
        assert node.backend is not None
        before = self._broken_call_count(node)
        code = await node.daemon.stop()
        report = await request_json(
            node.backend.bound_addresses["listening"], "POST", "/control/report", {}
        )
        broken = len(report["broken"]) + self._broken_call_count(node) - before
        self.cut_off += broken + (code != 0)
        self._reports.append(report)
        await node.backend.stop()
        _print_progress(f"stopped daemon {node.address}: exit code {code}, {broken} cut off")

    def _broken_call_count(self, node: Node) -> int:
        return sum(o.reason.startswith("broken") for o in self.load.outcomes)

    async def kill_and_restart(self) -> None:
        """Kill a daemon with SIGKILL and restart it without any state."""
        node = next(n for n in self.fleet.nodes if n.spec.service == "roster")
        self.down_addresses.add(node.address)
        node.daemon.signal(signal.SIGKILL)
        await node.daemon.process.wait()
        _print_progress(f"killed daemon {node.address}")
        await asyncio.sleep(1.0)
        await self.fleet.restart_daemon(node)
        version = max(row["in_force"] for row in await self.fleet.versions())
        if not await self.fleet.wait_in_force(version, CONVERGENCE_TIMEOUT_S):
            raise RuntimeError("restarted daemon did not catch up with the version in force")
        self.down_addresses.discard(node.address)
        _print_progress(f"restarted daemon {node.address}: version {version} in force")

    async def watch_versions(self) -> None:
        """Count how often a daemon reverts to an older version."""
        while not self._stopping:
            alive = [n for n in self.fleet.nodes if n.daemon.alive]
            requests = [request_json(n.admin, "GET", "/version") for n in alive]
            for row in await asyncio.gather(*requests, return_exceptions=True):
                if isinstance(row, dict) and row["ready"]:
                    highest = self._in_force_by_address.get(row["address"], 0)
                    self.reverts += row["in_force"] < highest
                    self._in_force_by_address[row["address"]] = max(highest, row["in_force"])
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def probe_added_latency(self) -> None:
        """Measure calls made directly to a backend server and through two daemons, alternately."""
        node = self.fleet.nodes[0]
        target = next(n for n in self.fleet.nodes[1:] if n.spec.service == "slot-desk")
        assert target.backend is not None
        direct_client = HttpClient(target.backend.bound_addresses["listening"], 5.0)
        proxied_client = HttpClient(self.fleet.nodes[5].callers, 5.0)
        del node
        number = 0
        while not self._stopping:
            number += 1
            for client, latencies_ms in (
                (direct_client, self.direct_ms),
                (proxied_client, self.proxied_ms),
            ):
                outcome = await call(client, PROBE_KIND, f"probe{number}")
                if outcome.verdict == "answered":
                    latencies_ms.append(outcome.elapsed * 1000)
                await asyncio.sleep(PROBE_PAUSE_S)

    def stop(self) -> None:
        """Stop watching versions and probing latency."""
        self._stopping = True

    async def reports(self) -> list[dict[str, Any]]:
        """Return the reports of all backend servers, including those that have stopped."""
        alive = [n.backend for n in self.fleet.nodes if n.backend and n.backend.alive]
        requests = [
            request_json(b.bound_addresses["listening"], "POST", "/control/report", {})
            for b in alive
        ]
        return self._reports + list(await asyncio.gather(*requests))


async def convergence_ms(fleet: Fleet, version: int) -> float:
    """Return the time in ms from an edit's acceptance until all running daemons applied it."""
    alive = [n for n in fleet.nodes if n.daemon.alive]
    rows = await asyncio.gather(
        *(request_json(n.admin, "GET", f"/timeline?version={version}") for n in alive)
    )
    accepted = min(row["accepted_at"] for row in rows if row["accepted_at"])
    applied = [row["in_force_at"] for row in rows if row["in_force_at"]]
    return float(max(applied) - accepted) * 1000


async def _print_slowest(fleet: Fleet, version: int) -> None:
    alive = [n for n in fleet.nodes if n.daemon.alive]
    rows = await asyncio.gather(
        *(request_json(n.admin, "GET", f"/timeline?version={version}") for n in alive)
    )
    last = max(rows, key=lambda row: row["in_force_at"] or 0.0)
    _print_progress(f"timeline of the last daemon to apply the version: {last}")


async def control_bytes(fleet: Fleet) -> dict[str, int]:
    """Return the bytes of version messages that each running daemon has received, by address."""
    alive = [n for n in fleet.nodes if n.daemon.alive]
    rows = await asyncio.gather(*(request_json(n.admin, "GET", "/counters") for n in alive))
    return {
        node.address: sum(row["bytes_in"].get(kind, 0) for kind in CONTROL_MESSAGE_KINDS)
        for node, row in zip(alive, rows, strict=True)
    }


async def _run_events(demo: Demo) -> float:
    before = await control_bytes(demo.fleet)
    for number in range(1, 5):
        await demo.change_queue_limit(number)
        await asyncio.sleep(0.5)
    await demo.try_invalid_change()
    after = await control_bytes(demo.fleet)
    per_change = sum(after[a] - before[a] for a in before) / len(before) / 4
    await demo.drain_backend()
    for number in range(5, 8):
        await demo.change_queue_limit(number)
        await asyncio.sleep(0.5)
    await demo.kill_and_restart()
    await demo.stop_daemon()
    for number in range(8, CHANGE_COUNT + 1):
        await demo.change_queue_limit(number)
        await asyncio.sleep(0.5)
    return per_change


async def _run(seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    async with Fleet("demo") as fleet:
        specs = node_specs()
        _print_progress(
            f"starting {len(specs)} daemons, each with a backend server, in 7 data centres"
        )
        await fleet.start_nodes(specs)
        demo = Demo(fleet, rng)
        version = await demo.edit(example_edit(0), fleet.nodes[0])
        if not await fleet.wait_in_force(version, CONVERGENCE_TIMEOUT_S):
            raise RuntimeError("example catalogue did not reach all daemons")
        if not await fleet.wait_members(CONVERGENCE_TIMEOUT_S):
            raise RuntimeError("some daemons do not see all members")
        _print_progress("example catalogue in force; starting the load")
        demo.load.start(CALLER_COUNT, CALL_PAUSE_S)
        watchers = [
            asyncio.create_task(demo.watch_versions()),
            asyncio.create_task(demo.probe_added_latency()),
        ]
        per_change = await _run_events(demo)
        _print_progress("stopping the load")
        await demo.load.stop()
        demo.stop()
        await asyncio.gather(*watchers)
        return await _result(demo, per_change)


async def _result(demo: Demo, per_change: float) -> dict[str, Any]:
    alive = [n for n in demo.fleet.nodes if n.daemon.alive]
    counters = await asyncio.gather(*(request_json(n.admin, "GET", "/counters") for n in alive))
    violations: Counter[str] = Counter()
    for row in counters:
        violations.update(row["invariants"])
    dangling = sum(row["dangling_routes"] for row in counters)
    call_audit = audit(demo.load.outcomes, await demo.reports())
    added = [t - d for t, d in zip(demo.proxied_ms, demo.direct_ms, strict=False)]
    reasons = Counter(o.reason for o in demo.load.outcomes if o.reason)
    _print_progress(
        f"failed calls by reason: {dict(reasons)}; invariant violations: {dict(violations)}"
    )
    latencies_ms = demo.convergence_ms
    return {
        **call_audit._asdict(),
        "cut_off": demo.cut_off,
        "changes": len(latencies_ms),
        "convergence_ms": {
            "p50": round(percentile(latencies_ms, 50), 1),
            "p99": round(percentile(latencies_ms, 99), 1),
            "max": round(max(latencies_ms), 1),
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
    """Run the demo and print its result as the last line on standard output.

    Exits with status 1 if a check failed.
    """
    result = asyncio.run(_run(seed=1))
    print(msgspec.json.encode(result).decode())
    nonzero = {key: result[key] for key in (*KEYS_EXPECTED_ZERO, "violations") if result[key]}
    if nonzero or result["changes"] != CHANGE_COUNT:
        _print_progress(f"demo failed; expected zero: {nonzero}")
        sys.exit(1)


if __name__ == "__main__":
    main()
