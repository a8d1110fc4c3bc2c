"""Subsetting: limit the servers that a daemon connects to in large services.

A daemon uses all servers in its own data centre and a subset of the remote ones. Connecting to
every server of a large service would cost memory for each link, and each server would be used so
rarely that its recorded load would be outdated. Subsets are selected by rendezvous hashing on the
daemon's address, so that together the daemons cover all servers evenly.
"""

from __future__ import annotations

from collections.abc import Sequence

from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.rendezvous import select_members

# Number of remote servers in a subset. If a random third of the fleet fails, 8 of the 12 are left
# on average. A call that leaves its data centre is offered to two of them; in simulations twelve
# lose no more calls than all servers would.
N_REMOTE = 12


def server_subset(
    me: Member, servers: Sequence[Member], remote_count: int = N_REMOTE
) -> list[Member]:
    """Return all local servers and at most `remote_count` remote ones, preferring alive members."""
    local = [member for member in servers if member.data_centre == me.data_centre]
    remote = [member for member in servers if member.data_centre != me.data_centre]
    if len(remote) <= remote_count:
        return [*local, *remote]
    role = f"servers of {me.address}"
    alive = [member for member in remote if member.status is Status.ALIVE]
    chosen = select_members(role, alive, remote_count)
    if len(chosen) < remote_count:
        suspected = [member for member in remote if member.status is not Status.ALIVE]
        chosen += select_members(role, suspected, remote_count - len(chosen))
    return [*local, *chosen]
