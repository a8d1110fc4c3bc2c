"""Rendezvous hashing: select members for a role without coordination.

Daemons that know the same members select the same ones.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

from hornbeamgw.core.membership import Member

MIN_READERS_PER_DATA_CENTRE = 2
# Members with less than this ratio of the widest bandwidth in their data centre are not selected as
# readers, since a reader polls the platform for its data centre and transfers whole versions. A
# version of 100 KB takes a quarter of a second at 3 Mbit/s, and 16 ms at 50 Mbit/s.
READER_MIN_BANDWIDTH_RATIO = 0.5
# Minimum number of readers in a fleet with few data centres. If a random half of the fleet fails,
# the probability that all 8 readers are among the failed members is below 0.5%. A version is due
# seconds before other daemons notice that no reader is left.
MIN_TOTAL_READERS = 8
# Number of readers that push a version if each poll returns the full catalogue; they are selected
# anew for each version. Any other reader then pushes it only if no push of it has arrived there.
# When ten readers pushed each of 60 versions, most of them reached each daemon ten times, at 1.7 KB
# a push.
PUSHERS_PER_VERSION = 2


def _score(role: str, address: str) -> bytes:
    return hashlib.blake2b(f"{role}|{address}".encode(), digest_size=8).digest()


def select_members(role: str, members: Iterable[Member], count: int) -> list[Member]:
    """Return the `count` members with the highest scores for a role."""
    ranked = sorted(members, key=lambda m: (_score(role, m.address), m.address), reverse=True)
    return ranked[:count]


def _with_wide_links(members: Sequence[Member]) -> list[Member]:
    widest = max((member.bandwidth for member in members), default=0)
    return [member for member in members if member.bandwidth >= READER_MIN_BANDWIDTH_RATIO * widest]


def _readers_of(data_centre: str, members: Sequence[Member], count: int) -> list[Member]:
    local = [m for m in members if m.data_centre == data_centre]
    return select_members("reader", _with_wide_links(local), count)


def _readers_per_data_centre(members: Sequence[Member], min_total: int) -> int:
    """Return the number of readers per data centre that gives at least `min_total` readers."""
    data_centres = len({m.data_centre for m in members}) or 1
    return max(MIN_READERS_PER_DATA_CENTRE, -(-min_total // data_centres))


def is_reader(me: Member, members: Sequence[Member], min_total: int = 0) -> bool:
    """Return whether a member polls the platform on behalf of its data centre."""
    chosen = _readers_of(me.data_centre, members, _readers_per_data_centre(members, min_total))
    return any(m.address == me.address for m in chosen)


def all_readers(members: Sequence[Member], min_total: int = 0) -> list[Member]:
    """Return the readers of all data centres."""
    count = _readers_per_data_centre(members, min_total)
    data_centres = sorted({m.data_centre for m in members})
    return [m for name in data_centres for m in _readers_of(name, members, count)]


def is_pusher(me: Member, members: Sequence[Member], version: int, min_total: int = 0) -> bool:
    """Return whether a member is among the readers that push a version."""
    readers = all_readers(members, min_total)
    return any(
        m.address == me.address
        for m in select_members(f"push {version}", readers, PUSHERS_PER_VERSION)
    )
