"""Planned stop: carries what a daemon has taken on to its end, within the time that it has."""

from __future__ import annotations

import asyncio
import logging

from hornbeamgw.core.stopping import Plan
from hornbeamgw.daemon.calls import Calls
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http_server import HttpServer
from hornbeamgw.daemon.peers import PeerServer
from hornbeamgw.daemon.progress import MAX_LOGGED_CALLS

log = logging.getLogger(__name__)

# Other daemons hear within this time (s) that nothing more is admitted here.
SETTLE_S = 0.2
CHECK_EVERY_S = 0.01
# A request whose head has begun to arrive has so long (s) to come whole.
HEAD_GRACE_S = 0.5
GIVE_UP_TIMEOUT_S = 0.15


class PlannedStop:
    """Own the steps of a stop, from the signal until nothing is under way or time is over."""

    def __init__(
        self, plan: Plan, calls: Calls, gates: Gates, callers: HttpServer, peers: PeerServer
    ) -> None:
        """Take the plan, and who holds work: for callers, at the servers, and connections."""
        self._plan = plan
        self._calls = calls
        self._gates = gates
        self._callers = callers
        self._peers = peers

    async def run(self, cut: asyncio.Event) -> list[str]:
        """Return what was cut off at the end of the plan, or as the event was set."""
        loop, plan = asyncio.get_running_loop(), self._plan
        leave_after, end_after = plan.leaves_at - plan.began_at, plan.ends_at - plan.began_at
        log.info("daemon stops", extra={"leave_after": leave_after, "end_after": end_after})
        self._calls.stop(plan)
        self._gates.begin_stop(plan)
        told_to_cut = asyncio.create_task(cut.wait())
        if leave_after:
            await asyncio.wait([told_to_cut], timeout=leave_after)
        self._gates.stop()
        drained = asyncio.create_task(self._drain())
        await asyncio.wait(
            [drained, told_to_cut],
            timeout=plan.ends_at - loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if drained.done():
            return []
        cut_off = self._cut_off()
        log.error("stopped with work in flight", extra={"cut_off": cut_off})
        self._calls.give_up()
        await asyncio.wait([drained], timeout=GIVE_UP_TIMEOUT_S)
        return cut_off

    async def _drain(self) -> None:
        await asyncio.sleep(SETTLE_S)
        await self._gates.wait_idle()
        self._callers.stop_accepting()
        loop = asyncio.get_running_loop()
        heads_until = loop.time() + HEAD_GRACE_S
        while self._callers.connections:
            self._callers.close_idle(with_input=loop.time() >= heads_until)
            await asyncio.sleep(CHECK_EVERY_S)
        await self._gates.wait_idle()
        # What a process has written is lost with it as long as the sockets have not taken it, and
        # a link that is closed may be reset before the other side has read what they took.
        while self._callers.unsent_bytes():
            await asyncio.sleep(CHECK_EVERY_S)
        await self._peers.wait_until_read()

    def _cut_off(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        for taken_from, found in (
            ("caller", self._calls.unfinished(now)),
            ("daemon", self._gates.unfinished(now)),
        ):
            for told in found[:MAX_LOGGED_CALLS]:
                extra = {"taken_from": taken_from, **told._asdict()}
                log.warning("cut off by the stop", extra=extra)
        connections = f"{len(self._callers.connections)} connections of callers"
        return [*self._gates.cut_off(), connections]
