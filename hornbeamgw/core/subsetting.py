"""Subsetting: which servers of a service a daemon deals with, where there are many.

The pattern: a service of 80 servers in five data centres, two slots each, and 200 daemons that each
send a few requests a second. A daemon that deals with all of them opens a link to each, 63 KB of
compression at either end, and what it remembers of each is seconds old. Servers of one's own data
centre are few and take most calls; of the others each daemon keeps some, drawn by its own name, so
that together they spread over all.
"""

from __future__ import annotations

from collections.abc import Sequence

from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.rendezvous import top

# A call that leaves its data centre is offered to two of them (sampling); twelve lose no call more
# than all would in simulated time, and leave enough where a third of a fleet is gone.
FAR_KEPT = 12


def known_servers(me: Member, servers: Sequence[Member], far: int = FAR_KEPT) -> list[Member]:
    """Return the servers of one's own data centre and some others, living ones first."""
    near = [member for member in servers if member.data_centre == me.data_centre]
    others = [member for member in servers if member.data_centre != me.data_centre]
    if len(others) <= far:
        return [*near, *others]
    duty = f"servers of {me.address}"
    living = [member for member in others if member.status is Status.ALIVE]
    kept = top(duty, living, far)
    if len(kept) < far:
        doubted = [member for member in others if member.status is not Status.ALIVE]
        kept += top(duty, doubted, far - len(kept))
    return [*near, *kept]
