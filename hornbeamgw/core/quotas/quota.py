"""Quotas, the bound on their overshoot, and the choice of owners.

A user is a daemon that starts requests of an organisation. The owner is the one daemon that meters
the organisation. Organisations are divided into partitions, each of which has one owner.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from hornbeamgw.core import rendezvous
from hornbeamgw.core.membership import Member, Status

# With 4 partitions at 84 daemons, an owner would receive 12 KB/s of reports in normal times. With
# 16, the reports are divided among four times as many daemons.
PARTITIONS = 48
# Members that started within this time of the newest one own nothing if there are others. The first
# membership view of a new daemon may be incomplete, and so would be its choice of owners.
OWNER_MIN_SENIORITY_MS = 3000
# Burst (s of the rate) where less is configured: requests don't arrive evenly.
MIN_BURST_S = 0.25
MIN_BURST = 1.0
PARTITION_CACHE_SIZE = 4096
# Part of the permitted overshoot that the smallest burst may take.
MIN_BURST_MARGIN_RATIO = 0.25


class Bound(NamedTuple):
    """Requests permitted per window: those of the quota, plus a ratio of them, plus a constant."""

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


class Quota(NamedTuple):
    """Requests per second of an organisation, and the number that it may send at once."""

    rate: float
    burst: float


Quotas = Mapping[str, Quota]


def margin(quota: Quota, bound: Bound) -> float:
    """Return the number of requests by which a window may exceed the quota."""
    return bound.overage * (quota.rate * bound.window_s + quota.burst) + bound.slack


def capacity(quota: Quota, bound: Bound) -> float:
    """Return the number of unused tokens that are kept."""
    reserve = min(MIN_BURST_MARGIN_RATIO * margin(quota, bound), MIN_BURST_S * quota.rate)
    return max(quota.burst, MIN_BURST, reserve)


@functools.lru_cache(maxsize=PARTITION_CACHE_SIZE)
def partition_of(organisation: str) -> int:
    """Return the partition that an organisation belongs to."""
    digest = hashlib.blake2b(organisation.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % PARTITIONS


def eligible_owners(members: Iterable[Member]) -> list[Member]:
    """Return the members that may be owners: those alive that didn't start with the newest."""
    alive = [member for member in members if member.status is Status.ALIVE]
    newest = max((member.incarnation for member in alive), default=0)
    senior = [m for m in alive if m.incarnation <= newest - OWNER_MIN_SENIORITY_MS]
    return senior or alive


def choose_owners(members: Sequence[Member]) -> tuple[str, ...]:
    """Return the address of the owner of each partition; members must not be empty.

    No member owns two partitions while there is one that owns none.
    """
    owners: list[str] = []
    free: list[Member] = []
    for partition in range(PARTITIONS):
        free = free or list(members)
        chosen = rendezvous.select_members(f"quota {partition}", free, 1)[0]
        free.remove(chosen)
        owners.append(chosen.address)
    return tuple(owners)
