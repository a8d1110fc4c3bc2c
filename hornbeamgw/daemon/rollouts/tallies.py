"""Tallies: tells those who lead a rollout what was counted at the servers beside this daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from hornbeamgw.core.standing import Closing
from hornbeamgw.core.tally import Tally
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.rollouts.rollouts import Rollouts

# A version that is bad is to be found within its first few dozens of answers.
NEW_EVERY_S = 0.15
# What is seen beside changes slowly, and comes from many more servers.
BEFORE_EVERY_S = 1.0
CHECK_S = 0.15

Send = Callable[[Sequence[str], Tally], None]
LeadersOf = Callable[[str], Sequence[str]]


async def send_tallies(gates: Gates, rollouts: Rollouts, leaders_of: LeadersOf, send: Send) -> None:
    """Tell what is new at each server whose service is rolled out, as long as the daemon runs."""
    sent_by_server: dict[int, tuple[float, Tally]] = {}
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(CHECK_S)
        if not rollouts.has_undecided():
            continue
        for tally in gates.tallies(loop.time()):
            standing = rollouts.undecided(tally.service)
            if standing is None:
                sent_by_server.pop(tally.server, None)
                continue
            at, last = sent_by_server.get(tally.server, (0.0, None))
            # The order is completed by what closed servers tell, so a datagram lost is made up for.
            is_awaited = standing.closing is Closing.CLOSED
            is_frequent = is_awaited or tally.software == standing.target
            every = NEW_EVERY_S if is_frequent else BEFORE_EVERY_S
            if (tally != last or is_awaited) and loop.time() - at >= every * 0.9:
                sent_by_server[tally.server] = loop.time(), tally
                send(leaders_of(tally.service), tally)
