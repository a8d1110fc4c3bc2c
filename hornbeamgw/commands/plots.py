"""Plots of version propagation and of latency, drawn with matplotlib."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from hornbeamgw.commands.exits import ExitCode
from hornbeamgw.commands.output import fail

COLOURS_BY_PATH = {
    "commit": "tab:red",
    "push": "tab:blue",
    "pull": "tab:orange",
    "snapshot": "tab:purple",
    "platform": "tab:green",
}
ROW_HEIGHT_INCHES = 0.18


def _axes(title: str, rows: int) -> tuple[Any, Any]:
    try:
        from matplotlib.figure import Figure
    except ImportError:
        fail("--plot needs matplotlib: pip install 'hornbeamgw[plot]'", ExitCode.FAILED)
    figure = Figure(figsize=(9, 1.5 + ROW_HEIGHT_INCHES * rows), layout="constrained")
    axes = figure.add_subplot()
    axes.set_title(title)
    return figure, axes


def _save(figure: Any, path: str) -> None:
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        fail(f"--plot {path}: can't be written: {error}", ExitCode.BAD_INPUT)


def plot_timeline(rows: Sequence[Mapping[str, Any]], version: int, path: str) -> None:
    """Plot the time in ms from acceptance of a version until it is in force on each daemon.

    The colour of a bar shows how the version arrived, such as by push or pull.
    """
    figure, axes = _axes(f"version {version}: accepted, then in force on each daemon", len(rows))
    names = [f"{row['data_centre']}  {row['address']}" for row in rows]
    times = [row["ms"] or 0.0 for row in rows]
    colours = [COLOURS_BY_PATH.get(row["by"], "tab:gray") for row in rows]
    axes.barh(names, times, color=colours)
    axes.invert_yaxis()
    axes.set_xlabel("ms")
    for by in sorted({row["by"] for row in rows} & set(COLOURS_BY_PATH)):
        axes.barh([names[0]], [0], color=COLOURS_BY_PATH[by], label=by)
    axes.legend()
    _save(figure, path)


def plot_latency_percentiles(rows: Sequence[Mapping[str, Any]], path: str) -> None:
    """Plot latency percentiles for each owner, class and verdict, in ms on a logarithmic scale."""
    figure, axes = _axes("latency by owner, class and verdict", 3 * len(rows))
    names = [f"{r['owner']} {r['class']} {r['verdict']} (n={r['count']})" for r in rows]
    for percentile in ("p99_ms", "p90_ms", "p50_ms"):
        axes.barh(names, [row[percentile] for row in rows], label=percentile.removesuffix("_ms"))
    axes.invert_yaxis()
    axes.set_xscale("log")
    axes.set_xlabel("ms")
    axes.legend()
    _save(figure, path)
