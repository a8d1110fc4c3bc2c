"""Keeper: remembers which servers beside other daemons have left, until those ask after a start."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hornbeamgw.core import departures
from hornbeamgw.core.departures import KeeperState, LeftRuns
from hornbeamgw.core.membership import MembershipState, Status
from hornbeamgw.core.rendezvous import select_members
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.link import LinkLost

KEEPER_TIMEOUT_S = 0.4
REQUEST_KIND = "departures"

SendRequest = Callable[[str, frames.Frame, str, float], Awaitable[frames.Frame]]


class Keeper:
    """What this daemon keeps for the later processes of others."""

    def __init__(self, started_at: float, is_first: bool) -> None:
        """Start with nothing at a time (s); `is_first` is whether the fleet has just been created.

        A keeper that was started later may have been told of departures before its start.
        """
        self.state = KeeperState()
        self._reliable_from = started_at if is_first else started_at + departures.MIN_KEEPER_AGE_S

    def answer(self, address: str, told: frames.Departures) -> frames.Departures:
        """Keep what the daemon at an address tells, and return all that is known of its servers."""
        now = asyncio.get_running_loop().time()
        kept = departures.keep(self.state, address, told.runs, now)
        return frames.Departures(kept, now >= self._reliable_from)


async def ask_keeper(
    send_request: SendRequest, address: str, runs: LeftRuns
) -> frames.Departures | None:
    """Tell a daemon which runs have left, and return what it keeps; None if it doesn't answer."""
    request = frames.Departures(runs, False)
    try:
        answer = await send_request(address, request, REQUEST_KIND, KEEPER_TIMEOUT_S)
    except LinkLost:
        return None
    return answer if isinstance(answer, frames.Departures) else None


def keepers_of(view: MembershipState) -> list[str]:
    """Return the addresses of the daemons that keep the departures of this one."""
    me = view.me.address
    others = [
        member
        for member in view.members_by_address.values()
        if member.status is Status.ALIVE and member.address != me
    ]
    role = f"departures {me}"
    return [keeper.address for keeper in select_members(role, others, departures.MAX_KEEPERS)]
