"""Sending of request counts of local backend servers to the leaders of rollouts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from hornbeamgw.core.standing import Closing
from hornbeamgw.core.tally import Tally
from hornbeamgw.daemon.containment import run_every
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.rollouts.rollouts import Rollouts

# Short, so that a bad version is detected within its first few dozen answers.
NEW_SERVER_INTERVAL_S = 0.15
# Counts of old servers change slowly and come from many more servers.
OLD_SERVER_INTERVAL_S = 1.0
CHECK_INTERVAL_S = 0.15

Send = Callable[[Sequence[str], Tally], None]
LeadersOf = Callable[[str], Sequence[str]]


async def send_tallies(gates: Gates, rollouts: Rollouts, leaders_of: LeadersOf, send: Send) -> None:
    """Send the changed tallies of servers whose service is being rolled out, until cancelled."""
    sent_by_server: dict[int, tuple[float, Tally]] = {}
    loop = asyncio.get_running_loop()

    def send_changed() -> None:
        if not rollouts.has_undecided():
            return
        for tally in gates.tallies(loop.time()):
            status = rollouts.undecided(tally.service)
            if status is None:
                sent_by_server.pop(tally.server, None)
                continue
            sent_at, last = sent_by_server.get(tally.server, (0.0, None))
            # Once the old servers are closed (see `Closing`), completion of the order depends on
            # their tallies. Unchanged tallies are resent in case a datagram was lost.
            must_resend = status.closing is Closing.CLOSED
            is_frequent = must_resend or tally.software == status.target
            interval_s = NEW_SERVER_INTERVAL_S if is_frequent else OLD_SERVER_INTERVAL_S
            if (tally != last or must_resend) and loop.time() - sent_at >= interval_s * 0.9:
                sent_by_server[tally.server] = loop.time(), tally
                send(leaders_of(tally.service), tally)

    await run_every(CHECK_INTERVAL_S, [send_changed])
