"""Server exchange: carries an admitted request to the backend server, and its answer back."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import Counter
from collections.abc import Callable, Sequence

import h11
import msgspec

from hornbeamgw.core import admission, breaker, stopping, transfers
from hornbeamgw.core.admission import AdmissionState
from hornbeamgw.core.breaker import BreakerState
from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.transfers import TransferState
from hornbeamgw.core.verdict import Failure, Reason, may_have_run, not_run
from hornbeamgw.daemon import frames, heads, server_answer
from hornbeamgw.daemon.backend_pool import BackendPool, PoolFull
from hornbeamgw.daemon.end_watch import EndWatch
from hornbeamgw.daemon.flow import WINDOW, Pacer
from hornbeamgw.daemon.gate_attempt import GateAttempt, pump_body
from hornbeamgw.daemon.http1 import ConnectionLost, HttpConnection, end_to_end_headers, header
from hornbeamgw.daemon.link import Link
from hornbeamgw.daemon.outgoing import Outgoing

log = logging.getLogger(__name__)

RETRY_AFTER_UNREACHABLE_MS = 20
MAX_WAIT_MS = 60_000
# An answer that has begun is carried to its end, also past the deadline; one that then stalls is
# cut off. The users' largest, 1.7 MB, take half a second over their narrowest links.
ANSWER_MAX_S = 10.0


class ServerExchange:
    """Own the connections to the backend server, and what they tell of it."""

    def __init__(
        self,
        state: AdmissionState,
        dialect: Dialect,
        pacer: Pacer,
        counts: Counter[str],
        on_stalled: Callable[[GateAttempt], None],
        on_end: Callable[[Sequence[int]], None],
    ) -> None:
        """Take the admission state to report, how servers speak, and the pace of the link."""
        self.pool = BackendPool()
        self.end_watch = EndWatch(self.pool, on_end)
        self.breaker = BreakerState()
        self.instance = ""
        self.is_leaving = False
        self.on_replaced: Callable[[str], None] = lambda instance: None
        self._state = state
        self._dialect = dialect
        self._pacer = pacer
        self._counts = counts
        self._on_stalled = on_stalled
        self._transfers = TransferState()

    def forget_run(self) -> None:
        """Drop the connections to a run of the server, and what they told of it."""
        self.pool.close_idle()
        self.breaker = BreakerState()
        self.end_watch.note_sound()

    def transfer_time(self, link: Link, route: str) -> float:
        """Return how long (s) an answer of a route is expected to take to the other daemon."""
        if link.peer == link.hello:
            return 0.0
        return transfers.expected_time(
            self._transfers, route, self._pacer.pending, self._pacer.rate
        )

    def may_send(self, link: Link, route: str, stop: stopping.Plan) -> bool:
        """Return whether an answer of a route would leave before this daemon ends."""
        if link.peer == link.hello:
            return True
        pending = self._pacer.pending + self._pacer.pending_for_callers
        transfer = transfers.expected_time(self._transfers, route, pending, self._pacer.rate)
        return stopping.may_send(stop, transfer, asyncio.get_running_loop().time())

    def load(self) -> tuple[int, int]:
        """Return the free slots, and how long (ms) a newcomer would wait."""
        now = asyncio.get_running_loop().time()
        wait = admission.expected_wait(self._state, now)
        return admission.free_slots(self._state), min(MAX_WAIT_MS, round(wait * 1000))

    async def run(self, attempt: GateAttempt) -> Failure | None:
        """Return None once the answer is whole or left to be sent, or why there is none."""
        call = attempt.call
        try:
            connection = await self.pool.acquire(call.idempotent)
        except (OSError, TimeoutError) as error:
            if not isinstance(error, PoolFull):
                self._note_broken(attempt)
            detail = str(error) or type(error).__name__
            return not_run(Reason.BACKEND_UNREACHABLE, detail, RETRY_AFTER_UNREACHABLE_MS)
        pump: asyncio.Task[None] | None = None
        try:
            sent = self._send_request(connection, call, attempt.deadline)
            if not call.end:
                attempt.link.send(frames.Credit(call.attempt, WINDOW))
                pump = asyncio.create_task(pump_body(attempt, connection))
            return await self._relay_reply(attempt, connection, sent)
        except (ConnectionLost, h11.ProtocolError, msgspec.MsgspecError) as error:
            self.end_watch.note_lost(call.fingerprint)
            # A kept connection may have been dropped by a server that lives.
            if isinstance(error, ConnectionLost) and self.pool.is_fresh(connection):
                self._note_broken(attempt)
            detail = str(error) or "the backend server closed the connection"
            return may_have_run(Reason.BACKEND_BROKE, detail)
        finally:
            if pump is not None:
                pump.cancel()
                with contextlib.suppress(asyncio.CancelledError, ConnectionLost, h11.ProtocolError):
                    await pump
            self.pool.release(connection)

    def _send_request(
        self, connection: HttpConnection, call: frames.Call, deadline: float
    ) -> list[h11.Event]:
        left = deadline - asyncio.get_running_loop().time()
        events = server_answer.request_events(call, self._dialect, self.instance, left)
        connection.send(*events)
        return events if call.end else []

    def _note_broken(self, attempt: GateAttempt) -> None:
        now = asyncio.get_running_loop().time()
        request = self._state.running_by_attempt.get(attempt.id)
        if request is None:
            return
        expected = admission.expected_service_time(self._state, request, now)
        if not breaker.is_early_loss(now - attempt.started_at, expected):
            return
        if breaker.note_early_loss(self.breaker, now):
            self._counts["breaker_opened"] += 1
            until_ms = round((self.breaker.open_until - now) * 1000)
            told = {"call_id": attempt.call.call_id, "open_ms": until_ms}
            log.warning("backend server breaks off what it is sent", extra=told)

    def _held_ms(self, attempt: GateAttempt) -> int:
        now = asyncio.get_running_loop().time()
        return round((now - self._state.started_by_attempt.get(attempt.id, now)) * 1000)

    async def _relay_reply(
        self, attempt: GateAttempt, connection: HttpConnection, sent: list[h11.Event]
    ) -> Failure | None:
        call_id = attempt.call.call_id
        event, foreign = await server_answer.next_head(connection, self._dialect, call_id, sent)
        breaker.note_sound(self.breaker)
        self.end_watch.note_sound()
        self._counts["foreign_answers"] += foreign
        self.pool.note_keep_alive(connection, header(event.headers, b"keep-alive"))
        failure = server_answer.judge(self._dialect, event, call_id)
        is_other = event.status_code == self._dialect.other_instance_status
        if failure is not None and is_other and self.instance:
            self.on_replaced(self.instance)
        body, end = server_answer.take_arrived(connection)
        if failure is not None:
            return failure
        attempt.status = event.status_code
        attempt.answered_at = asyncio.get_running_loop().time()
        size = self._pacer.part_bytes
        first, rest = body[:size], body[size:]
        is_whole = end and not rest
        reply = frames.Reply(
            attempt.call.attempt,
            event.status_code,
            heads.encode_headers(end_to_end_headers(event.headers)),
            first,
            is_whole,
            *self.load(),
            self._held_ms(attempt),
        )
        attempt.link.send(reply)
        if is_whole:
            transfers.note_size(self._transfers, attempt.call.route, len(body))
            return None
        limit = attempt.deadline + ANSWER_MAX_S
        if attempt.limit is not None:
            attempt.limit.reschedule(limit)
        outgoing = self._open_outgoing(attempt, limit)
        if attempt.is_dropped:
            outgoing.stop()
        outgoing.window.available -= len(first)
        outgoing.progress.passed_on = len(first)
        outgoing.put(rest, end)
        size = len(first) + len(rest)
        while not end:
            body, end = await server_answer.next_part(connection)
            outgoing.put(body, end)
            size += len(body)
            await outgoing.room()
        transfers.note_size(self._transfers, attempt.call.route, size)
        return None

    def _open_outgoing(self, attempt: GateAttempt, limit: float) -> Outgoing:
        link, number = attempt.link, attempt.call.attempt
        pacer = self._pacer if link.peer != link.hello else Pacer()
        attempt.outgoing = Outgoing(
            link, number, pacer, limit, lambda: self._on_stalled(attempt), attempt.urgency
        )
        if self.is_leaving:
            attempt.outgoing.leave()
        return attempt.outgoing
