"""Run one benchmark by name."""

from __future__ import annotations

import asyncio
import sys

from benchmarks import (  # noqa: F401
    control,
    crossing,
    data,
    faults,
    footprint,
    overload,
    policies,
    restart,
    rollouts,
    room,
    start,
)
from benchmarks.report import benchmarks_by_name


def main() -> None:
    """Run the benchmark that the argument names."""
    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in benchmarks_by_name:
        sys.exit(f"BENCH: got {name!r}, expected one of {sorted(benchmarks_by_name)}")
    asyncio.run(benchmarks_by_name[name]())


main()
