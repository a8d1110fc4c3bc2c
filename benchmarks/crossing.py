"""Benchmark of crossing in simulated time: worth and bytes by each way to choose, and the bound."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.report import emit, register
from hornbeamgw.testing import mesh_load
from hornbeamgw.testing.mesh_load import Departure, OfferedLoad
from hornbeamgw.testing.mesh_model import Mesh

SECONDS = 20.0
SEEDS = (1, 2, 3)
CHOOSERS = ("two_choice", "expected_finish", "in_time")
TWO_LEAVE = (Departure(4.0, 2), Departure(4.0, 9))
LOADS: dict[str, Callable[[int], OfferedLoad]] = {
    "few servers, 1.0": lambda seed: mesh_load.few_servers(1.0, seed),
    "few servers, 1.28": lambda seed: mesh_load.few_servers(1.28, seed),
    "few servers, 1.15, two leave": lambda seed: mesh_load.few_servers(1.15, seed, TWO_LEAVE),
    "short aims, 1.0": lambda seed: mesh_load.short_objectives(1.0, seed),
    "drawn": lambda seed: mesh_load.random_load(100 + seed),
}


@register("crossing")
async def crossing() -> None:
    """Play the same arrivals by each way to choose a server."""
    for name, load_of in LOADS.items():
        bounds = [mesh_load.max_worth_ratio(load_of(seed)) for seed in SEEDS]
        emit("bound", "part of the worth", bounds, load=name)
        for chooser in CHOOSERS:
            worths, megabytes = [], []
            for seed in SEEDS:
                load = load_of(seed)
                outcome = Mesh(load, "objective", chooser, seed).run(SECONDS)
                worths.append(outcome.goodput_ratio(load.kinds))
                megabytes.append(outcome.cross_dc_bytes / 1e6)
            emit("worth", "part of the worth", worths, load=name, chooser=chooser)
            emit("crossed", "MB", megabytes, load=name, chooser=chooser)
