"""Soak: the randomised fleet with fresh seeds for some minutes; prints the seed of a failure."""

from __future__ import annotations

import os
import random
import sys
import time
from collections.abc import Iterator

from properties.fleet_machine import STEPS_BY_KIND, FleetMachine
from properties.moods import WEIGHTS_BY_MOOD

BURSTS = 12
SAY_EVERY_S = 60.0


def run_once(seed: int) -> None:
    """Run one fleet by a seed; raise AssertionError where an invariant is violated."""
    rng = random.Random(seed)
    machine = FleetMachine()
    machine.start(seed=rng.getrandbits(32))
    for _ in range(BURSTS):
        machine.burst(seed=rng.getrandbits(32), mood=rng.choice(sorted(WEIGHTS_BY_MOOD)))
    machine.teardown()


def _seeds(first: int) -> Iterator[int]:
    rng = random.Random(first)
    while True:
        yield rng.getrandbits(48)


def main() -> None:
    """Run for the minutes given, or once with SEED from the environment."""
    if "SEED" in os.environ:
        run_once(int(os.environ["SEED"]))
        return
    end = time.monotonic() + 60 * float(sys.argv[1])
    said_at = time.monotonic()
    runs = 0
    for seed in _seeds(time.time_ns()):
        try:
            run_once(seed)
        except AssertionError as error:
            sys.exit(f"violated after {runs} runs: {error}; again with SEED={seed}")
        runs += 1
        now = time.monotonic()
        if now >= end:
            break
        if now - said_at >= SAY_EVERY_S:
            said_at = now
            print(f"{runs} runs, {sum(STEPS_BY_KIND.values())} steps", flush=True)
    print(f"{runs} runs, {sum(STEPS_BY_KIND.values())} steps, 0 violations; {dict(STEPS_BY_KIND)}")


if __name__ == "__main__":
    main()
