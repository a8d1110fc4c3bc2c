"""Exposition: formats metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

PREFIX = "hornbeamgw"


def _name(*parts: str) -> str:
    joined = "_".join((PREFIX, *parts))
    return "".join(c if c.isalnum() else "_" for c in joined)


def _escaped(value: object) -> str:
    return str(value).replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _labels(labels: Mapping[str, Any]) -> str:
    pairs = ",".join(f'{key}="{_escaped(value)}"' for key, value in labels.items())
    return f"{{{pairs}}}" if pairs else ""


def counters(kind: str, counts: Mapping[str, float]) -> list[str]:
    """Return a line for each counter of a kind, with the counter's name as label `what`."""
    name = _name(kind, "total")
    return [f"{name}{_labels({'what': what})} {value}" for what, value in sorted(counts.items())]


def gauge(name: str, value: float) -> str:
    """Return the line of a gauge."""
    return f"{_name(name)} {value}"


def histograms(rows: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return lines for the rows of latency histograms; times are in milliseconds."""
    lines = []
    for row in rows:
        labels = {key: row[key] for key in ("owner", "class", "verdict")}
        lines.append(f"{_name('call_ms_count')}{_labels(labels)} {row['count']}")
        for key, value in row.items():
            if key.startswith("p") and key.endswith("_ms"):
                quantile = float(key[1:-3]) / 100
                named = {**labels, "quantile": f"{quantile:g}"}
                lines.append(f"{_name('call_ms')}{_labels(named)} {value}")
    return lines


def organisations(
    counts: Mapping[tuple[str, str], int], rows: Iterable[Mapping[str, Any]]
) -> list[str]:
    """Return lines for the counts and the latency, in milliseconds, of organisations."""
    name, latency = _name("organisations", "total"), _name("organisation_call_ms")
    lines = [
        f"{name}{_labels({'organisation': organisation, 'what': what})} {value}"
        for (organisation, what), value in sorted(counts.items())
    ]
    for row in rows:
        labels = {"organisation": row["organisation"]}
        lines.append(f"{latency}_count{_labels(labels)} {row['count']}")
        for key, value in row.items():
            if key.startswith("p") and key.endswith("_ms"):
                quantile = float(key[1:-3]) / 100
                lines.append(f"{latency}{_labels({**labels, 'quantile': f'{quantile:g}'})} {value}")
    return lines
