"""Benchmark of policies in simulated time: queueing and placement, the replaced beside the new."""

from __future__ import annotations

from benchmarks.report import emit, register
from hornbeamgw.testing.simulated import Fleet, Kind, arrivals

# A service of the users' sheets: short and long work, objectives and deadlines, five speeds.
KINDS = (
    Kind("roster", 0.048, 0.25, 0.6, 4.0),
    Kind("history", 0.24, 0.6, 1.5, 4.8),
)
SPEEDS = (0.6, 1.0, 1.4)
SLOTS = 6
FACTORS = (0.6, 0.9, 1.1, 1.4, 2.0)
DAEMONS = 11
SECONDS = 20.0
SEEDS = (1, 2, 3)
PAIRS = (
    ("deadline", "two_choice"),
    ("deadline", "expected_finish"),
    ("objective", "two_choice"),
    ("objective", "expected_finish"),
)


@register("policies")
async def policies() -> None:
    """Serve the same requests by each pair of policies, at several loads and seeds."""
    capacity = SLOTS * sum(SPEEDS)
    for factor in FACTORS:
        for queueing, chooser in PAIRS:
            shares = []
            by_kind = {kind.name: 0.0 for kind in KINDS}
            for seed in SEEDS:
                requests = arrivals(KINDS, capacity, factor, SECONDS, seed)
                fleet = Fleet(SPEEDS, SLOTS, queueing, chooser, DAEMONS)
                outcome = fleet.run(requests, seed)
                shares.append(outcome.in_time.total() / len(requests))
                for name in by_kind:
                    share = outcome.in_time[name] / outcome.requested[name]
                    by_kind[name] += share / len(SEEDS)
            rounded = {name: round(share, 3) for name, share in by_kind.items()}
            pair = {"queueing": queueing, "placement": chooser}
            emit("answered in time", "share", shares, factor=factor, **pair, **rounded)
