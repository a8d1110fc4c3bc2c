"""Rendezvous hashing: choose members for a duty without a coordinator."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from hornbeamgw.core.membership import Member

READERS_PER_DATA_CENTRE = 2


def _score(duty: str, address: str) -> bytes:
    return hashlib.blake2b(f"{duty}|{address}".encode(), digest_size=8).digest()


def top(duty: str, members: Iterable[Member], count: int) -> list[Member]:
    """Return the members with the highest scores for a duty."""
    ranked = sorted(members, key=lambda m: (_score(duty, m.address), m.address), reverse=True)
    return ranked[:count]


def is_reader(me: Member, members: Iterable[Member]) -> bool:
    """Return whether a member polls the platform for its data centre."""
    local = [m for m in members if m.data_centre == me.data_centre]
    chosen = top("reader", local, READERS_PER_DATA_CENTRE)
    return any(m.address == me.address for m in chosen)
