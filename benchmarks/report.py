"""Report: one JSON line for each figure, the registry of benchmarks, and slopes."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec

from hornbeamgw.testing.stats import percentile

Benchmark = Callable[[], Coroutine[Any, Any, None]]
benchmarks_by_name: dict[str, Benchmark] = {}


def register(name: str) -> Callable[[Benchmark], Benchmark]:
    """Register a benchmark under the name that `make bench` uses."""

    def add(function: Benchmark) -> Benchmark:
        benchmarks_by_name[name] = function
        return function

    return add


def say(text: str) -> None:
    """Tell how far a benchmark is, on standard error."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", file=sys.stderr, flush=True)


def emit(name: str, unit: str, samples: Sequence[float], **more: Any) -> None:
    """Print a figure with its percentiles and spread."""
    row = {
        "name": name,
        "n": len(samples),
        "unit": unit,
        "p50": round(percentile(samples, 50), 4),
        "p99": round(percentile(samples, 99), 4),
        "spread": [round(min(samples), 4), round(max(samples), 4)],
        **more,
    }
    print(msgspec.json.encode(row).decode(), flush=True)


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of (x, y) points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return over / sum((x - mean_x) ** 2 for x, _ in points)
