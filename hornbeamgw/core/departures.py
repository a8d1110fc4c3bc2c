"""Departures: the runs of backend servers that have said that they leave, kept for later processes.

A daemon that acknowledges such a message promises that the run gets no more requests. The promise
also binds the next process of the daemon, which may hear a late heartbeat of that run. So what is
acknowledged is in the daemon's row in the platform's store: all processes that know of it may end
at once. Some other daemons, its keepers, are told as well. They spare the server also if the store
could not be told, and a later process asks as many of them as include one that has probably heard.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

# More servers than leave one VM while their late heartbeats may still arrive.
MAX_LEFT_RUNS = 16
MAX_KEEPERS = 3
# Servers end some seconds after they have left, and late heartbeats arrive within seconds.
KEEP_S = 600.0
MAX_ADDRESSES = 1024
# A keeper that was started later may have been told of a departure before its start.
MIN_KEEPER_AGE_S = 60.0


class LeftRun(NamedTuple):
    """A run of a backend server that has said that it leaves.

    `started_ms` is the start of the run in Unix milliseconds, or 0 if it is unknown. `is_gone` is
    whether the run was said to have left; otherwise it drains.
    """

    instance: str
    started_ms: int
    is_gone: bool


LeftRuns = tuple[LeftRun, ...]


def _stage(run: LeftRun) -> tuple[int, bool]:
    """Return how far an instance was when it said that it leaves; it never goes back."""
    return run.started_ms, run.is_gone


def merge(known: Iterable[LeftRun], added: Iterable[LeftRun]) -> LeftRuns:
    """Return the furthest stage of each instance, those that changed last at the end."""
    by_instance: dict[str, LeftRun] = {}
    for run in (*known, *added):
        former = by_instance.get(run.instance)
        if former is None or _stage(run) > _stage(former):
            by_instance.pop(run.instance, None)
            by_instance[run.instance] = run
    return tuple(by_instance.values())[-MAX_LEFT_RUNS:]


def includes(known: Iterable[LeftRun], run: LeftRun) -> bool:
    """Return whether the known runs imply that a run has left or drains."""
    return any(k.instance == run.instance and _stage(k) >= _stage(run) for k in known)


def confirmations_needed(keepers: int) -> int:
    """Return how many of this number of keepers must know a departure; at least one."""
    return max(1, keepers - 1)


def answers_needed(keepers: int) -> int:
    """Return how many keepers a later process must hear, so that one of them has confirmed."""
    return keepers - confirmations_needed(keepers) + 1 if keepers else 0


class KeeperState:
    """The left runs that a daemon keeps for others, by their addresses, with the time (s)."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.kept_by_address: OrderedDict[str, tuple[LeftRuns, float]] = OrderedDict()


def keep(state: KeeperState, address: str, runs: Iterable[LeftRun], now: float) -> LeftRuns:
    """Keep what the daemon at an address has told, and return all that is kept for it."""
    kept_by_address = state.kept_by_address
    known, _ = kept_by_address.get(address, ((), now))
    kept = merge(known, runs)
    if kept != known:
        kept_by_address[address] = kept, now
        kept_by_address.move_to_end(address)
    while kept_by_address:
        oldest, (_, changed_at) = next(iter(kept_by_address.items()))
        if now - changed_at <= KEEP_S and len(kept_by_address) <= MAX_ADDRESSES:
            break
        del kept_by_address[oldest]
    return kept
