"""Rendezvous hashing: choose members for a duty without a coordinator."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

from hornbeamgw.core.membership import Member

READERS_PER_DATA_CENTRE = 2
# A reader moves whole versions of 100 KB and more; on a link of 3 Mbit/s one takes a quarter of a
# second, on one of 50 Mbit/s 16 ms, so those under this part of the widest link do not read.
READER_LINK_PART = 0.5
# So many read in a fleet of few data centres: a herd that takes half of a fleet at once leaves none
# of them in one case of 256, and a version is due seconds before others have noticed.
READERS_IN_ALL = 8
# So many readers push a version, taking turns; ten that pushed each of 60 versions of a day sent
# each daemon most of them ten times, 1.7 KB a push. The others push what nobody pushed to them.
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


def _readers_of(data_centre: str, members: Sequence[Member], count: int) -> list[Member]:
    local = [m for m in members if m.data_centre == data_centre]
    return top("reader", _with_wide_links(local), count)


def _count_of(members: Sequence[Member], in_all: int) -> int:
    """Return how many members of each data centre read, so that there are enough in all."""
    data_centres = len({m.data_centre for m in members}) or 1
    return max(READERS_PER_DATA_CENTRE, -(-in_all // data_centres))


def is_reader(me: Member, members: Sequence[Member], in_all: int = 0) -> bool:
    """Return whether a member polls the platform for its data centre."""
    chosen = _readers_of(me.data_centre, members, _count_of(members, in_all))
    return any(m.address == me.address for m in chosen)


def all_readers(members: Sequence[Member], in_all: int = 0) -> list[Member]:
    """Return the members that read the platform for all data centres."""
    count = _count_of(members, in_all)
    data_centres = sorted({m.data_centre for m in members})
    return [m for name in data_centres for m in _readers_of(name, members, count)]


def is_pusher(me: Member, members: Sequence[Member], version: int, in_all: int = 0) -> bool:
    """Return whether a reader is one of those that push a version, by turns."""
    readers = all_readers(members, in_all)
    return any(m.address == me.address for m in top(f"push {version}", readers, PUSHERS))
