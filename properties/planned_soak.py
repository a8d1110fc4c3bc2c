"""Planned soak: real processes on loopback under planned work alone, and what must hold.

Daemons are told to stop and started again, in series and several at once; settings files change,
with SIGHUP and without; operators edit. Callers keep their connections and have large answers on
narrow links. Nothing else is harmed, so what callers lose, the daemons have lost.
"""

from __future__ import annotations

import asyncio
import random
import re
import shutil
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from hornbeamgw.core.edit import Edit
from hornbeamgw.core.verdict import Reason, Verdict
from hornbeamgw.daemon.calls import GATE_MARGIN_MAX_S
from hornbeamgw.testing.demo import example_edit
from hornbeamgw.testing.fleet import Fleet, Node, NodeSpec, request_json
from hornbeamgw.testing.template import render
from properties.fleet_soak import CONVERGENCE_S, edit_limit, seeds_of
from properties.planned_declarations import declare, late_at_leaving
from properties.planned_load import MEAN_LARGE_BYTES, PlannedLoad, Told

TEMPLATE = Path("deploy/daemon.yaml.tmpl")
BLOCKS = ("membership", "calls")  # of the template; what only the users' platform has is left out
PLATFORM_KEYS = ("dialect",)
SERVICES = ("planner", "reservation", "roster", "planner", "reservation", "planner", "roster")
NODES = 8
SECONDS = 15.0
SETTLE_S = 2.0  # servers have ended by then what they were at work on
GRACE_S = 6.0  # from SIGTERM to SIGKILL, by whoever stops daemons
LAST_SENT_S = 3.0  # a request that comes later after SIGTERM must end in time
READ_AFTER_S = 0.25  # a request that is held so long before its connection closes was read
MEGABITS = 6.5
BYTES_PER_MEGABIT = 125_000
# What callers ask for; daemons that are down leave some of it out. Large answers are held to 0.85
# of a link by the daemon's own pace.
LINK_USE = (0.85, 1.15)
CROSSING_PART = 0.85  # of large answers: by the links of the server's daemon and of the caller's
ROLLS = 2
DECLARERS = 3
AT_ONCE = (1, 1, 2, 3)
LEFT_RUNNING = 2
DEADLINES_S = {"layout": 2.0, "reservation": 5.0, "drawing pack": 5.0, "roster": 3.0}
ROUTES_BY_KIND = {"drawing pack": "drawing-packs", "roster": "rosters"}
STOP_LINES = (
    "request cancelled because the daemon stopped",
    "daemon is stopping",
    "drain begins",
    "daemon stopped with requests in flight",
)


class Stop(NamedTuple):
    """Hold one planned stop; times of the monotonic clock in s."""

    daemon: str
    at: float
    ended_at: float
    code: int
    log: str


class Breach(NamedTuple):
    """Hold one broken promise: the call, and what is known of it.

    Times are in s from the SIGTERM of the daemon that took the call, else from its sending.
    """

    promise: str
    call_id: str
    kind: str
    daemon: str
    sent: float | None
    ended: float | None
    elapsed: float
    received: int
    reason: str
    worked: list[tuple[float, float]]
    log: str


class Report(NamedTuple):
    """Hold what one seed showed; the counts of broken promises must be empty."""

    seed: int
    calls: int
    verdicts: dict[str, int]
    unsent: int
    unread: int
    late: int
    given_up_early: int
    excused: int
    link_use: float
    faults: dict[str, int]
    longest_stop_s: float
    broken: dict[str, int]


def _settings() -> dict[str, Any]:
    """Return the settings that the users' daemons stop and carry calls by."""
    text = render(TEMPLATE.read_text(encoding="utf-8"), {"bounds": {"grace_s": GRACE_S}})
    found: dict[str, Any] = {"bandwidth": MEGABITS}
    for block in BLOCKS:
        match = re.search(rf'"{block}": (\{{[^{{}}]*\}})', text)
        assert match is not None, block
        found[block] = msgspec.json.decode(match.group(1))
    for key in PLATFORM_KEYS:
        del found["calls"][key]
    return found


def _catalogue(seed: int) -> Edit:
    """Return the example catalogue with large answers due as soon as the users' are."""
    edit = example_edit(seed)
    bodies = {change["key"]: change["body"] for change in edit["changes"]}
    for kind, route in ROUTES_BY_KIND.items():
        body = bodies[f"route/{route}"]
        assert body is not None
        body["deadline_ms"] = round(DEADLINES_S[kind] * 1000)
    return edit


class Planned:
    """Hold a fleet under planned work, and what was done."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Take a fleet whose nodes run."""
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.faults: Counter[str] = Counter()
        self.stops: list[Stop] = []
        self.down_s = 0.0
        self._ends_at = 0.0
        self._order = list(fleet.nodes)
        self.rng.shuffle(self._order)
        self._busy: set[str] = set()
        self.declares: random.Random | None = None

    def _goes_on(self) -> bool:
        return asyncio.get_running_loop().time() < self._ends_at

    def _next_nodes(self, count: int) -> list[Node]:
        """Take the nodes whose turn it is, in the order of the roll."""
        free = [node for node in self._order if node.callers not in self._busy]
        taken = free[: max(0, min(count, len(free) - LEFT_RUNNING))]
        for node in taken:
            self._order.remove(node)
            self._order.append(node)
            self._busy.add(node.callers)
        return taken

    async def roll(self) -> None:
        """Stop and start daemons, one batch after the other."""
        while self._goes_on():
            batch = self._next_nodes(self.rng.choice(AT_ONCE))
            apart = self.rng.choice((0.0, 0.0, 1.5))
            await asyncio.gather(*(self._restart(n, self.rng.uniform(0, apart)) for n in batch))
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def _restart(self, node: Node, after: float) -> None:
        clock = asyncio.get_running_loop().time
        await asyncio.sleep(after)
        at, child = clock(), node.daemon
        self.faults["stop"] += 1
        code = await child.stop(GRACE_S)
        ended_at = clock()
        self.stops.append(Stop(node.callers, at, ended_at, code, child.log_path.name))
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        await self.fleet.restart_daemon(node)
        self.down_s += clock() - ended_at
        self._busy.discard(node.callers)

    async def change_settings(self) -> None:
        """Write settings files anew, and send SIGHUP after some of the changes."""
        number = 0
        while self._goes_on():
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
            number += 1
            daemon = self.rng.choice(self.fleet.nodes).daemon
            assert daemon.settings_path is not None
            settings = msgspec.yaml.decode(daemon.settings_path.read_bytes())
            settings["budget"] = {"ratio": 0.2, "slack": 50 + number}
            settings["membership"]["suspicion"] = f"{3000 + number}ms"
            daemon.settings_path.write_bytes(msgspec.yaml.encode(settings))
            self.faults["settings"] += 1
            if self.rng.random() < 0.5:
                daemon.signal(signal.SIGHUP)
                self.faults["SIGHUP"] += 1

    async def edit(self) -> None:
        """Change the limits of one entry after the other."""
        while self._goes_on():
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            self.faults["edit"] += 1
            await edit_limit(self.fleet, self.rng, self.faults["edit"], self.rng.choice)

    async def carry_out(self, seconds: float) -> None:
        """Do planned work for a time, and let each restart that has begun end."""
        self._ends_at = asyncio.get_running_loop().time() + seconds
        rolls = [self.roll() for _ in range(ROLLS)]
        declaring = []
        if self.declares is not None:
            declaring = [
                declare(
                    self.fleet.nodes[number::DECLARERS], self.declares, self._goes_on, self.faults
                )
                for number in range(DECLARERS)
            ]
        await asyncio.gather(*rolls, self.change_settings(), self.edit(), *declaring)


class Records:
    """Hold what backend servers ran: by request id, and where."""

    def __init__(self, reports: dict[str, dict[str, Any]]) -> None:
        """Take the report of each server, by the callers' address of the daemon beside it."""
        self.reports = reports
        self._worked: dict[str, list[tuple[float, float]]] = {}
        self._ran_beside: dict[str, set[str]] = {}
        for address, report in reports.items():
            for request_id, spans in report["worked"].items():
                self._worked.setdefault(request_id, []).extend((a, b) for a, b in spans)
                self._ran_beside.setdefault(request_id, set()).add(address)

    def worked(self, told: Told) -> list[tuple[float, float]]:
        """Return when servers were at work on a request."""
        return self._worked.get(told.outcome.request_id, [])

    def links_crossed(self, told: Told) -> int:
        """Return how many links an answer left by: the caller's daemon's, and the server's."""
        beside = self._ran_beside.get(told.outcome.request_id, set())
        return 1 + (bool(beside) and told.daemon not in beside)


def stop_of(told: Told, stops: list[Stop]) -> Stop | None:
    """Return the stop of its daemon during which a request ended."""
    ends = (s for s in stops if s.daemon == told.daemon and s.at <= told.ended_at)
    last = max(ends, key=lambda s: s.at, default=None)
    return last if last is not None and told.ended_at <= last.ended_at + 1.0 else None


def may_be_cut(told: Told, stop: Stop | None, worked: list[tuple[float, float]]) -> bool:
    """Return whether a server was at work too late on a request that came soon after SIGTERM."""
    if stop is None or told.outcome.at > stop.at + LAST_SENT_S:
        return False
    first, last = stop.at + GRACE_S * 5 / 6, stop.at + GRACE_S
    return any(start <= last and end >= first for start, end in worked)


def promise_broken(told: Told, stop: Stop | None, worked: list[tuple[float, float]]) -> str:
    """Return the promise that was broken to a caller before its deadline, or an empty text."""
    outcome = told.outcome
    if told.ended_at >= told.deadline:
        return ""
    if told.closed and told.begun:
        return "cut_midway"
    if told.closed and worked:
        return "cut_passed_on"
    if told.closed and outcome.elapsed > READ_AFTER_S:
        return "cut_read"
    given_up = outcome.verdict is Verdict.MAY_HAVE_RUN and not told.closed
    if given_up and not _was_due(told) and stop is not None and worked:
        return "replaced"
    return ""


def _was_due(told: Told) -> bool:
    """Return whether a caller was told of its deadline as the daemon beside the server meets it."""
    is_deadline = told.outcome.reason == Reason.DEADLINE
    return is_deadline and told.ended_at >= told.deadline - GATE_MARGIN_MAX_S


def _given_up_early(told: Told) -> bool:
    """Return whether a caller was told before its deadline that nobody knows whether it ran."""
    is_told = told.outcome.verdict is Verdict.MAY_HAVE_RUN and not told.closed
    return is_told and told.ended_at < told.deadline and not _was_due(told)


def _breach(promise: str, told: Told, stop: Stop | None, worked: list[Any]) -> Breach:
    outcome = told.outcome
    zero = outcome.at if stop is None else stop.at
    return Breach(
        promise,
        outcome.request_id,
        outcome.kind.name,
        told.daemon,
        round(outcome.at - zero, 3),
        round(told.ended_at - zero, 3),
        round(outcome.elapsed, 3),
        told.received,
        outcome.reason,
        [(round(a - zero, 3), round(b - zero, 3)) for a, b in worked],
        "" if stop is None else stop.log,
    )


def _of_stop(promise: str, stop: Stop) -> Breach:
    ended = round(stop.ended_at - stop.at, 3)
    reason = f"exit code {stop.code}"
    return Breach(promise, "", "", stop.daemon, None, ended, ended, 0, reason, [], stop.log)


def judge(told: list[Told], stops: list[Stop], records: Records) -> tuple[list[Breach], int]:
    """Return the broken promises, and how many requests might be cut off."""
    breaches, excused = [], 0
    for one in told:
        stop, worked = stop_of(one, stops), records.worked(one)
        promise = promise_broken(one, stop, worked)
        if promise and may_be_cut(one, stop, worked):
            excused += 1
        elif promise:
            breaches.append(_breach(promise, one, stop, worked))
        outcome, ran = one.outcome, records.worked(one)
        facts = {
            "said_not_run_but_ran": bool(ran) and outcome.verdict is Verdict.NOT_RUN,
            "ran_twice": len(ran) > 1 and not outcome.kind.idempotent,
            "not_whole": not outcome.is_complete and outcome.verdict is Verdict.ANSWERED,
            "not_of_a_server": not ran and outcome.verdict is Verdict.ANSWERED,
            "unheard": outcome.verdict is None,
        }
        breaches += [_breach(name, one, stop, worked) for name, broken in facts.items() if broken]
    breaches += [_of_stop("exit_code", stop) for stop in stops if stop.code != 0]
    return breaches, excused


def ignored_declarations(told: list[Told], stops: list[Stop], records: Records) -> list[Breach]:
    """Return the requests that ignored what servers had declared, or their slots."""
    ends = [(stop.daemon, stop.ended_at) for stop in stops]
    breaches = []
    for address, report in records.reports.items():
        for late, knew_by in late_at_leaving(told, ends, report):
            breach = _breach("after_leaving", late, None, records.worked(late))
            knew = f"its daemon had passed on {knew_by.outcome.request_id}"
            ago = f"{late.outcome.at - knew_by.ended_at:.2f} s before; server beside {address}"
            breaches.append(breach._replace(reason=f"{knew} {ago}"))
        if report["over_limit"]:
            reason = f"{report['over_limit']} requests over the limit of the server"
            breaches.append(Breach("over_limit", "", "", address, None, None, 0, 0, reason, [], ""))
        if report["over_room"]:
            reason = f"{report['over_room']} requests over the slots of the server"
            breaches.append(Breach("over_room", "", "", address, None, None, 0, 0, reason, [], ""))
    return breaches


def lines_on(breach: Breach, folder: Path) -> list[str]:
    """Return what daemons logged on a call, and what each of them said of its stop."""
    found = []
    for path in sorted(folder.glob("*-daemon.log")):
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
        is_named = [bool(breach.call_id) and f'"{breach.call_id}"' in line for line in lines]
        if any(is_named) or path.name == breach.log:
            found += [
                f"{path.name}: {line}"
                for line, named in zip(lines, is_named, strict=True)
                if named or any(words in line for words in STOP_LINES)
            ]
    return found


def _show(breach: Breach, folder: Path) -> None:
    print(msgspec.json.encode(breach._asdict()).decode(), file=sys.stderr)
    for line in lines_on(breach, folder):
        print(f"    {line}", file=sys.stderr, flush=True)


async def _records(fleet: Fleet) -> Records:
    reports = {}
    for node in fleet.nodes:
        assert node.backend is not None
        listening = str(node.backend.bound_addresses["listening"])
        reports[node.callers] = await request_json(listening, "POST", "/control/report", {})
    return Records(reports)


async def run(
    seed: int,
    seconds: float,
    large: bool = True,
    logs_folder: Path | None = None,
    declares: bool = False,
) -> Report:
    """Run one seed for a time (s), and print what is known of each promise that it broke.

    Callers have short calls alone, or large answers too, by which links are filled. Servers may
    declare limits, and that they leave. The logs and settings of a seed that broke a promise are
    copied to a folder of its own in `logs_folder`.
    """
    async with Fleet(f"planned-{seed}", _settings()) as fleet:
        indexes = range(NODES)
        places = [NodeSpec(f"dc-{i % 2}", "r", SERVICES[i % len(SERVICES)]) for i in indexes]
        if declares:
            places = [spec._replace(instance=f"i-{i}") for i, spec in enumerate(places)]
        await fleet.start_nodes(places)
        answer = await request_json(fleet.nodes[0].admin, "POST", "/edits", _catalogue(seed))
        if not await fleet.wait_in_force(int(answer["version"]), CONVERGENCE_S):
            raise RuntimeError("the example catalogue is not in force everywhere")
        report = await _carry_out(fleet, seed, seconds, large, declares)
        if logs_folder is not None and report.broken:
            shutil.copytree(fleet.folder, logs_folder / fleet.name, dirs_exist_ok=True)
        return report


async def _carry_out(
    fleet: Fleet, seed: int, seconds: float, large: bool, declares: bool
) -> Report:
    clock = asyncio.get_running_loop().time
    planned = Planned(fleet, seed)
    planned.declares = random.Random(f"{seed} declarations") if declares else None
    load = PlannedLoad([node.callers for node in fleet.nodes], DEADLINES_S)
    width = MEGABITS * BYTES_PER_MEGABIT
    large_per_s = planned.rng.uniform(*LINK_USE) * width / MEAN_LARGE_BYTES / (1 + CROSSING_PART)
    started = clock()
    load.start(seed, large_per_s if large else 0.0)
    await planned.carry_out(seconds)
    ran_s = NODES * (clock() - started) - planned.down_s
    await load.stop()
    await asyncio.sleep(SETTLE_S)
    records = await _records(fleet)
    breaches, excused = judge(load.told, planned.stops, records)
    breaches += ignored_declarations(load.told, planned.stops, records)
    for breach in breaches:
        _show(breach, Path(fleet.folder))
    left = sum(told.received * records.links_crossed(told) for told in load.told)
    closed = [told for told in load.told if told.closed and not told.begun]
    unread = [t for t in closed if not records.worked(t) and t.outcome.elapsed <= READ_AFTER_S]
    return Report(
        seed,
        len(load.told),
        dict(Counter(str(told.outcome.verdict) for told in load.told)),
        load.unsent,
        len(unread),
        sum(told.ended_at >= told.deadline for told in load.told),
        sum(_given_up_early(told) for told in load.told),
        excused,
        round(left / (width * ran_s), 2),
        dict(planned.faults),
        round(max((s.ended_at - s.at for s in planned.stops), default=0.0), 2),
        dict(Counter(breach.promise for breach in breaches)),
    )


def main() -> None:
    """Run seeds one after the other; exit code 1 where one broke a promise."""
    text = sys.argv[1] if len(sys.argv) > 1 else "1-5"
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else SECONDS
    logs_folder = Path(sys.argv[3]) if len(sys.argv) > 3 and sys.argv[3] != "-" else None
    declares = len(sys.argv) > 4 and sys.argv[4] == "declares"
    failed = 0
    for seed in seeds_of(text):
        report = asyncio.run(run(seed, seconds, logs_folder=logs_folder, declares=declares))
        print(msgspec.json.encode(report._asdict()).decode(), flush=True)
        failed += bool(report.broken)
    print(f"{len(seeds_of(text)) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
