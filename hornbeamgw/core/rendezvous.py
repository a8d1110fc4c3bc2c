"""Rendezvous hashing: choose members for a duty without a coordinator."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

from hornbeamgw.core.membership import Member

READERS_PER_DATA_CENTRE = 2
# A reader moves whole versions of 100 KB and more; on a link of 3 Mbit/s one takes a quarter of a
# second, on one of 50 Mbit/s 16 ms, so those under this part of the widest link do not read.
READER_LINK_PART = 0.5
# Where all watch the row, this many push a version; ten pushed each of 60 versions of a day to
# three other data centres, 1.7 KB a push. Who misses both pulls by the next probe that it hears.
PUSHERS = 2


def _score(duty: str, address: str) -> bytes:
    return hashlib.blake2b(f"{duty}|{address}".encode(), digest_size=8).digest()


def top(duty: str, members: Iterable[Member], count: int) -> list[Member]:
    """Return the members with the highest scores for a duty."""
    ranked = sorted(members, key=lambda m: (_score(duty, m.address), m.address), reverse=True)
    return ranked[:count]


def _with_wide_links(members: Sequence[Member]) -> list[Member]:
    widest = max((member.bandwidth for member in members), default=0)
    return [member for member in members if member.bandwidth >= READER_LINK_PART * widest]


def is_pusher(me: Member, members: Iterable[Member], version: int) -> bool:
    """Return whether a member pushes a version that all members read by themselves."""
    return any(m.address == me.address for m in top(f"push {version}", members, PUSHERS))


def is_reader(me: Member, members: Iterable[Member]) -> bool:
    """Return whether a member polls the platform for its data centre."""
    local = [m for m in members if m.data_centre == me.data_centre]
    chosen = top("reader", _with_wide_links(local), READERS_PER_DATA_CENTRE)
    return any(m.address == me.address for m in chosen)
