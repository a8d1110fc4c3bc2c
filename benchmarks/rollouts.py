"""Benchmark of rollouts in simulated time: good and bad versions, with troubles beside."""

from __future__ import annotations

import os
import random
from collections import Counter
from collections.abc import Sequence

from benchmarks.report import emit, register, say
from hornbeamgw.core.standing import Phase
from hornbeamgw.testing.rollout_model import (
    EnvironmentFaults,
    Outcome,
    VersionFault,
    Workload,
    simulate,
)

RUNS = int(os.environ.get("RUNS", "200"))
# Few servers with few requests, some with many, and a large service; two to four routes each.
LOADS = (
    Workload(10, 4, 6, 60.0, ((0.7, 0.2), (0.3, 0.1))),
    Workload(11, 5, 6, 200.0, ((0.75, 0.06), (0.25, 0.12))),
    Workload(64, 14, 6, 420.0, ((0.6, 0.16), (0.3, 0.04), (0.1, 0.2))),
    Workload(64, 29, 6, 700.0, ((0.65, 0.04), (0.1, 0.13), (0.25, 0.64))),
)
# Requests that may not be repeated and of which a few are long, alone and beside others.
TAIL_LOADS = (
    Workload(10, 6, 6, 60.0, ((0.6, 0.25), (0.4, 0.1)), (0,), 0.03),
    Workload(64, 21, 6, 200.0, ((1.0, 0.25),), (0,), 0.03),
    Workload(64, 21, 6, 300.0, ((0.5, 0.25), (0.5, 0.1)), (0,), 0.03),
    Workload(64, 14, 6, 200.0, ((0.3, 0.25), (0.7, 0.16)), (0,), 0.03),
)
TROUBLES = {
    "none": EnvironmentFaults(),
    "faulty servers": EnvironmentFaults(faulty_server_ratio=0.15),
    "burst": EnvironmentFaults(faulty_server_ratio=0.1, burst_factor=1.4),
    "platform away": EnvironmentFaults(has_platform_outage=True),
    "leader ends": EnvironmentFaults(has_leader_outage=True),
    "restarts": EnvironmentFaults(restarted_daemon_ratio=0.5),
}


def badness_of(name: str, load: Workload, rng: random.Random) -> VersionFault:
    """Return a version that is bad in a way, drawn anew."""
    share = rng.uniform(0.25, 0.6)
    if name in ("none", "tail"):
        return VersionFault()
    if name == "at once":
        return VersionFault(share)
    if name == "slow":
        return VersionFault(share, slowdown_factor=rng.uniform(4.0, 8.0))
    if name == "late":
        return VersionFault(share, begins=rng.uniform(2.0, 7.0))
    if name == "under load":
        return VersionFault(share, min_busy_ratio=0.5)
    if name == "one route":
        return VersionFault(max(0.4, share), route=rng.randrange(len(load.routes)))
    raise ValueError(f"badness {name!r}")


def _emit_unsafe(outcomes: Sequence[Outcome]) -> None:
    """Tell what became of requests that are not idempotent."""
    cut_off = [outcome.non_idempotent_cut_off for outcome in outcomes]
    refused = [outcome.non_idempotent_refused for outcome in outcomes]
    waited = [outcome.waited for outcome in outcomes]
    mean = sum(outcome.waited_s for outcome in outcomes) / max(1, sum(waited))
    emit("not idempotent, cut off", "requests", cut_off, all=sum(cut_off))
    emit("not idempotent, refused", "requests", refused, all=sum(refused))
    emit("not idempotent, waited", "requests", waited, mean_s=round(mean, 3))
    emit("longest wait", "s", [outcome.longest_wait for outcome in outcomes])


KINDS = tuple(
    os.environ.get("KINDS", "none,at once,slow,late,under load,one route,tail").split(",")
)


@register("rollouts")
async def rollouts() -> None:
    """Play rollouts of each badness with each trouble; count what must never happen."""
    for kind in KINDS:
        decided: Counter[str] = Counter()
        over, late_requests, cut_off, unsafe = 0, 0, [], []
        loads = TAIL_LOADS if kind == "tail" else LOADS
        exposed, times = [], []
        for seed in range(RUNS):
            rng = random.Random(f"{kind} {seed}")
            load = loads[seed % len(loads)]
            name = sorted(TROUBLES)[seed // len(loads) % len(TROUBLES)]
            badness = badness_of(kind, load, rng)
            duration = rng.uniform(10.0, 20.0)
            outcome, seen = simulate(load, badness, TROUBLES[name], duration, seed)
            is_right = outcome.phase is (Phase.DONE if kind in ("none", "tail") else Phase.BACK)
            in_time = is_right and outcome.decided_at <= duration
            decided["right"] += is_right
            decided["in time"] += in_time
            over += outcome.is_over_bound
            late_requests += outcome.sent_after_rollback
            cut_off.append(outcome.cut_off)
            unsafe.append(outcome)
            exposed.append(outcome.exposed / (0.1 * outcome.reached + 50))
            times.append(outcome.decided_at)
            if (
                not in_time
                or outcome.is_over_bound
                or outcome.sent_after_rollback
                or outcome.non_idempotent_cut_off
            ):
                say(
                    f"{kind} {seed} {name} {load.servers} {duration:.1f} {badness} {outcome} {seen}"
                )
        figures = {"badness": kind, "right": decided["right"], "in_time": decided["in time"]}
        figures |= {"over_bound": over, "after_back": late_requests}
        emit("decided after", "s", times, **figures)
        emit("part of the bound spent", "share", exposed, badness=kind)
        emit("cut off at the end", "requests", cut_off, badness=kind)
        if kind == "tail":
            _emit_unsafe(unsafe)
