"""Graceful stop of a daemon: completes the accepted requests within a time limit."""

from __future__ import annotations

import asyncio
import logging

from hornbeamgw.core.stopping import Plan
from hornbeamgw.daemon.calls import Calls
from hornbeamgw.daemon.flow import Pacer
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http_server import HttpServer
from hornbeamgw.daemon.peers import PeerServer
from hornbeamgw.daemon.progress import MAX_LOGGED_CALLS

log = logging.getLogger(__name__)

# Time for other daemons to learn by gossip that this daemon no longer accepts requests.
PROPAGATION_DELAY_S = 0.2
POLL_INTERVAL_S = 0.01
# A request head that has been received in part must be complete within this time.
REQUEST_HEAD_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 0.15


class GracefulStop:
    """Steps of a stop, from the signal until all requests are completed or time has run out."""

    def __init__(
        self,
        plan: Plan,
        calls: Calls,
        gates: Gates,
        callers: HttpServer,
        peers: PeerServer,
        pacer: Pacer,
    ) -> None:
        """Store the plan and the components that have requests or connections to complete."""
        self._pacer = pacer
        self._plan = plan
        self._calls = calls
        self._gates = gates
        self._callers = callers
        self._peers = peers

    async def run(self, abort: asyncio.Event) -> list[str]:
        """Stop, and return what was cancelled at the end of the plan or when `abort` was set."""
        loop, plan = asyncio.get_running_loop(), self._plan
        leave_after, end_after = plan.leaves_at - plan.began_at, plan.ends_at - plan.began_at
        fields = {"leave_after": leave_after, "end_after": end_after, **self._backlog_fields()}
        log.info("daemon is stopping", extra=fields)
        self._calls.stop(plan)
        self._gates.begin_stop(plan)
        aborted = asyncio.create_task(abort.wait())
        if leave_after:
            await asyncio.wait([aborted], timeout=leave_after)
        self._gates.stop()
        drained = asyncio.create_task(self._drain())
        await asyncio.wait(
            [drained, aborted],
            timeout=plan.ends_at - loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if drained.done():
            return []
        cancelled = self._cancel_unfinished()
        log.error(
            "daemon stopped with requests in flight; cancelling them",
            extra={"cut_off": cancelled, **self._backlog_fields()},
        )
        self._calls.give_up()
        await asyncio.wait([drained], timeout=CANCEL_TIMEOUT_S)
        return cancelled

    async def _drain(self) -> None:
        await asyncio.sleep(PROPAGATION_DELAY_S)
        await self._gates.wait_idle()
        self._callers.stop_accepting()
        loop = asyncio.get_running_loop()
        head_deadline = loop.time() + REQUEST_HEAD_TIMEOUT_S
        while self._callers.connections:
            self._callers.close_idle(with_input=loop.time() >= head_deadline)
            await asyncio.sleep(POLL_INTERVAL_S)
        await self._gates.wait_idle()
        # Data in the process's write buffers is lost when the process exits. Data in the kernel's
        # send buffers may be lost if a link is reset before the peer has read it.
        while self._callers.unsent_bytes():
            await asyncio.sleep(POLL_INTERVAL_S)
        await self._peers.wait_until_read()

    def _backlog_fields(self) -> dict[str, float]:
        """Return how much the link has to send, for logging; `send_s` is how long that takes."""
        pacer = self._pacer
        return {
            "to_daemons_bytes": pacer.pending,
            "to_callers_bytes": pacer.pending_for_callers,
            "promised_bytes": round(pacer.promised),
            "send_s": round(pacer.backlog / pacer.rate, 2) if pacer.rate else 0.0,
        }

    def _cancel_unfinished(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        for taken_from, requests in (
            ("caller", self._calls.unfinished(now)),
            ("daemon", self._gates.unfinished(now)),
        ):
            for request in requests[:MAX_LOGGED_CALLS]:
                extra = {"taken_from": taken_from, **request._asdict()}
                log.warning("request cancelled because the daemon stopped", extra=extra)
        connections = f"{len(self._callers.connections)} connections of callers"
        return [*self._gates.cut_off(), connections]
