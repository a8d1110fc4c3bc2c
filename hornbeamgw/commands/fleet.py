"""Commands that show the state of daemons, and how they would route a request."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import h11

from hornbeamgw.commands.catalogue import DaemonArg
from hornbeamgw.commands.client import get_from_each, live_admin_addresses, request_or_fail
from hornbeamgw.commands.daemon import OutputArg
from hornbeamgw.commands.exits import ExitCode
from hornbeamgw.commands.output import fail, print_json, print_rows, print_table
from hornbeamgw.commands.plots import plot_latency_percentiles, plot_timeline
from hornbeamgw.daemon.http1 import ConnectionLost

BAR_WIDTH_CHARS = 40
# Counts of each daemon since it received a rollout order: requests that reached any server of the
# service, requests sent to the new version, answers of the new version, and bad ones among these.
ROLLOUT_COUNTER_KEYS = ("reached", "sent", "answers", "bad")

PlotArg = Annotated[str, cappa.Arg(long="--plot", help="write a plot to this PNG or SVG file")]


def get_from_fleet(address: str, path: str, query: dict[str, str] | None = None) -> dict[str, Any]:
    """Return the documents of all live daemons by admin address, or exit with an error message."""

    async def gather() -> dict[str, Any]:
        return await get_from_each(await live_admin_addresses(address), path, query)

    try:
        return asyncio.run(gather())
    except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError) as error:
        fail(f"daemon {address}: no answer: {error or type(error).__name__}", ExitCode.FAILED)


@cappa.command(name="status", help="Show members, versions, laggards and rejected versions.")
@dataclass
class Status:
    """Show the members known to one daemon, and the versions on all live daemons."""

    daemon: DaemonArg
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Print the status."""
        status = request_or_fail(self.daemon, "GET", "/status")
        rows_by_admin = get_from_fleet(self.daemon, "/version")
        newest = max((row["known"] for row in rows_by_admin.values() if row), default=0)
        laggards = [
            {"admin": admin, **(row or {"waiting_for": "no answer"})}
            for admin, row in sorted(rows_by_admin.items())
            if row is None or row["in_force"] < newest
        ]
        rejected = {
            v: why for row in rows_by_admin.values() if row for v, why in row["rejected"].items()
        }
        document = {
            "newest": newest,
            "in_force": Counter(row["in_force"] for row in rows_by_admin.values() if row),
            "members": status["members"],
            "laggards": laggards,
            "rejected": rejected,
        }
        if self.output == "json":
            print_json(document)
        else:
            _print_status(document)


def _print_status(document: dict[str, Any]) -> None:
    versions = ", ".join(f"{n} at {v}" for v, n in sorted(document["in_force"].items()))
    print(f"newest version {document['newest']}; in force: {versions}")
    by_place: Counter[tuple[str, str, str]] = Counter(
        (m["region"], m["data_centre"], m["status"]) for m in document["members"]
    )
    places = [
        {"region": region, "data_centre": data_centre, "status": status, "members": count}
        for (region, data_centre, status), count in sorted(by_place.items())
    ]
    print_table(places, ("region", "data_centre", "status", "members"))
    columns = ("address", "data_centre", "status", "service", "server_state", "version")
    print_table(document["members"], columns)
    for laggard in document["laggards"]:
        print(f"laggard {laggard['admin']}: {laggard['waiting_for'] or 'behind'}")
    for version, problems in document["rejected"].items():
        print(f"rejected version {version}: {'; '.join(problems)}")


@cappa.command(name="explain", help="Show which route, limits and servers a request would get.")
@dataclass
class Explain:
    """Explain how a daemon would route a request."""

    method: Annotated[str, cappa.Arg(help="method of the request")]
    path: Annotated[str, cappa.Arg(help="path of the request")]
    daemon: DaemonArg
    host: Annotated[str, cappa.Arg(long=True, help="host of the request")]
    organisation: Annotated[str, cappa.Arg(long=True, help="organisation of the caller")] = ""
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Print the explanation."""
        query = {"method": self.method, "path": self.path, "host": self.host}
        if self.organisation:
            query["organisation"] = self.organisation
        document = request_or_fail(self.daemon, "GET", "/explain", query)
        if self.output == "json":
            print_json(document)
            return
        endpoints = document.pop("endpoints", [])
        rows = [{"what": key, "value": value} for key, value in document.items()]
        print_table(rows, ("what", "value"))
        print_table(endpoints, ("address", "data_centre", "status", "local", "slots"))


@cappa.command(name="rollouts", help="Show the progress of service rollouts.")
@dataclass
class RolloutsCommand:
    """Show the rollouts known to one daemon, with request counts summed over the fleet."""

    daemon: DaemonArg
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Print the rollouts."""
        rollouts = request_or_fail(self.daemon, "GET", "/rollouts")
        documents_by_admin = get_from_fleet(self.daemon, "/rollouts")
        rows = [_with_fleet_counts(row, documents_by_admin) for row in rollouts]
        columns = ("service", "target", "phase", "step", "reached", "sent", "answers", "bad")
        print_rows(rows, columns, self.output)


def _with_fleet_counts(row: dict[str, Any], documents_by_admin: dict[str, Any]) -> dict[str, Any]:
    """Return a rollout with the counters of all daemons for the same order summed up."""
    same_order = [
        other
        for rows in documents_by_admin.values()
        for other in rows or ()
        if all(other[key] == row[key] for key in ("service", "target", "number"))
    ]
    sums = {key: sum(other[key] for other in same_order) for key in ROLLOUT_COUNTER_KEYS}
    return {**row, **sums}


@cappa.command(name="histograms", help="Show latency by owner, class and verdict.")
@dataclass
class HistogramsCommand:
    """Show the latency histograms of one daemon."""

    daemon: DaemonArg
    output: OutputArg = "table"
    plot: PlotArg = ""

    def __call__(self) -> None:
        """Print the histograms; with --plot, also write a plot."""
        rows = request_or_fail(self.daemon, "GET", "/histograms")
        if self.plot:
            plot_latency_percentiles(rows, self.plot)
        columns = ("owner", "class", "verdict", "count", "p50_ms", "p90_ms", "p99_ms", "max_ms")
        print_rows(rows, columns, self.output)


@cappa.command(name="timeline", help="Show when and how each daemon received a version.")
@dataclass
class Timeline:
    """Show the propagation of one version as a text chart, and optionally as a plot."""

    version: Annotated[int, cappa.Arg(help="version of the catalogue")]
    daemon: DaemonArg
    output: OutputArg = "table"
    plot: PlotArg = ""

    def __call__(self) -> None:
        """Print the timeline; with --plot, also write a plot."""
        documents_by_admin = get_from_fleet(
            self.daemon, "/timeline", {"version": str(self.version)}
        )
        rows = [row for row in documents_by_admin.values() if row]
        lines = _timeline_rows(rows)
        if self.plot:
            plot_timeline(lines, self.version, self.plot)
        if self.output == "json":
            print_json(rows)
        else:
            print_table(lines, ("address", "data_centre", "by", "from", "bytes", "ms", "chart"))


def _timeline_rows(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    accepted_times = [row["accepted_at"] for row in rows if row["accepted_at"]]
    if not accepted_times:
        fail("no daemon has this version in its history", ExitCode.FAILED)
    start = min(accepted_times)
    latest = max((row["in_force_at"] or start for row in rows), default=start)
    span_s = max(latest - start, 0.001)
    lines = []
    for row in sorted(rows, key=lambda r: r["in_force_at"] or float("inf")):
        in_force_at = row["in_force_at"]
        arrival = row["arrival"] or {}
        lines.append(
            {
                "address": row["address"],
                "data_centre": row["data_centre"],
                "by": arrival.get("path", row["waiting_for"] or "-"),
                "from": arrival.get("sender"),
                "bytes": arrival.get("size"),
                "ms": None if in_force_at is None else round((in_force_at - start) * 1000, 1),
                "chart": (
                    ""
                    if in_force_at is None
                    else "#" * round((in_force_at - start) / span_s * BAR_WIDTH_CHARS)
                ),
            }
        )
    return lines
