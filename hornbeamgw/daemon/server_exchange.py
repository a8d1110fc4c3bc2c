"""Server exchange: forward an admitted request to the backend server, and return its answer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import Counter
from collections.abc import Callable, Sequence

import h11
import msgspec

from hornbeamgw.core import (
    admission,
    breaker,
    link_admission,
    occupancy,
    service_times,
    silence,
    stopping,
    transfers,
)
from hornbeamgw.core.admission import AdmissionState
from hornbeamgw.core.breaker import BreakerState
from hornbeamgw.core.dialect import AnswerHead, Dialect
from hornbeamgw.core.link_admission import TimeLeft
from hornbeamgw.core.transfers import TransferState
from hornbeamgw.core.verdict import Failure, Reason, Verdict, may_have_run, not_run
from hornbeamgw.daemon import frames, heads, server_answer
from hornbeamgw.daemon.backend_pool import BackendPool, PoolClosed, PoolFull
from hornbeamgw.daemon.declarations import ServerDeclarations
from hornbeamgw.daemon.end_watch import CrashDetector
from hornbeamgw.daemon.flow import WINDOW_BYTES, Pacer, Promise
from hornbeamgw.daemon.gate_attempt import GateAttempt, pump_body, settle
from hornbeamgw.daemon.http1 import ConnectionLost, HttpConnection, end_to_end_headers, header
from hornbeamgw.daemon.link import Link
from hornbeamgw.daemon.outgoing import OutgoingAnswer

log = logging.getLogger(__name__)

RETRY_AFTER_UNREACHABLE_MS = 20
MAX_REPORTED_WAIT_MS = 60_000
# An answer that has started is sent completely, even if the deadline passes. It is aborted if it is
# still incomplete this long after the deadline. The largest known answers, 1.7 MB, take half a
# second over the narrowest links.
ANSWER_GRACE_S = 10.0


def reported_wait_ms(wait: float) -> int:
    """Return an expected wait in ms, at most MAX_REPORTED_WAIT_MS; `wait` (s) may be infinite."""
    return round(min(MAX_REPORTED_WAIT_MS, wait * 1000))


class ServerExchange:
    """The connections to the backend server, and the state that is derived from their failures."""

    def __init__(
        self,
        state: AdmissionState,
        dialect: Dialect,
        pacer: Pacer,
        counts: Counter[str],
        on_stalled: Callable[[GateAttempt], None],
        on_crash: Callable[[Sequence[int]], None],
        on_replaced: Callable[[str], None],
        declarations: ServerDeclarations,
        transfers_state: TransferState,
    ) -> None:
        """Create an exchange with one run of a backend server, which is not announced yet.

        Answers report the load in `state`. `on_stalled` is called with an attempt whose answer is
        not sent completely in time. `on_crash` is called if the backend server crashes, with the
        fingerprints of the requests that were running at that moment. `on_replaced` is called with
        the instance to which a request was sent that another one has refused. Answers are read by
        `declarations`; sizes of answers are kept in `transfers_state`.
        """
        self.pool = BackendPool()
        self.crash_detector = CrashDetector(self.pool, on_crash)
        self.breaker = BreakerState()
        self.instance = ""
        self.is_daemon_stopping = False
        self._state = state
        self._dialect = dialect
        self._pacer = pacer
        self._counts = counts
        self._on_stalled = on_stalled
        self._on_replaced = on_replaced
        self._declarations = declarations
        self._transfers = transfers_state

    def transfer_time(self, link: Link, route: str, left: TimeLeft) -> float:
        """Return the expected time from the end of the service until an answer is sent (s).

        `left` is the time left of the request.
        """
        if link.peer == link.hello:
            return 0.0
        if link_admission.is_limited(left):
            size, pacer = transfers.expected_size(self._transfers, route), self._pacer
            service = self._service_time(route, left)
            return link_admission.time_after_service(size, pacer.backlog, pacer.rate, service)
        return transfers.expected_time(
            self._transfers, route, self._pacer.pending, self._pacer.rate
        )

    def may_send(self, link: Link, route: str, stop: stopping.Plan) -> bool:
        """Return whether the answer of a route can be sent before this daemon stops."""
        if link.peer == link.hello:
            return True
        pending = self._pacer.pending + self._pacer.pending_for_callers
        transfer = transfers.expected_time(self._transfers, route, pending, self._pacer.rate)
        return stopping.may_send(stop, transfer, asyncio.get_running_loop().time())

    def _expected_size(self, link: Link, route: str) -> float:
        """Return the expected bytes that the answer of a route adds to this VM's link."""
        return 0.0 if link.peer == link.hello else transfers.expected_size(self._transfers, route)

    def _service_time(self, route: str, left: TimeLeft) -> float:
        times = self._state.service_time_estimates
        return service_times.expected_time(times, route, left.latency_objective)

    def wait_for_room(self, link: Link, route: str, left: TimeLeft) -> float:
        """Return the time (s) until this VM's link has room for the answer of a route, 0 if now.

        `left` is the time left of the request.
        """
        size = self._expected_size(link, route)
        return self._pacer.wait_for_room(size, self._service_time(route, left), left)

    def promise(self, attempt: GateAttempt) -> None:
        """Count the expected answer of an accepted attempt until it arrives."""
        size = self._expected_size(attempt.link, attempt.call.route)
        attempt.promise = Promise(self._pacer, size)

    def load(self) -> tuple[int, int]:
        """Return the number of free slots and the expected wait of a new request in ms."""
        now = asyncio.get_running_loop().time()
        wait = admission.expected_wait(self._state, now)
        return admission.free_slots(self._state, now), reported_wait_ms(wait)

    async def run(self, attempt: GateAttempt) -> Failure | None:
        """Forward a request; return None if it was answered, otherwise the failure.

        The end of the answer may still be unsent on return.
        """
        call = attempt.call
        try:
            connection = await self.pool.acquire(call.idempotent)
        except (OSError, TimeoutError) as error:
            if not isinstance(error, PoolFull | PoolClosed):
                self._record_loss(attempt)
            detail = str(error) or type(error).__name__
            return not_run(Reason.BACKEND_UNREACHABLE, detail, RETRY_AFTER_UNREACHABLE_MS)
        pump: asyncio.Task[None] | None = None
        sent_at, received_before = asyncio.get_running_loop().time(), connection.received_bytes
        try:
            attempt.is_answer_due = True
            sent = self._send_request(connection, call, attempt.deadline)
            if not call.end:
                attempt.link.send(frames.Credit(call.attempt, WINDOW_BYTES))
                pump = asyncio.create_task(pump_body(attempt, connection))
            return await self._relay_reply(attempt, connection, sent)
        except server_answer.EndlessAnswer as error:
            self._counts["endless_answers"] += 1
            log.warning(
                "backend server sent more than an answer can be; closing its connection",
                extra={"call_id": call.call_id, "why": str(error)},
            )
            connection.abort()
            return may_have_run(Reason.BACKEND_BROKE, str(error))
        except (ConnectionLost, h11.ProtocolError, msgspec.MsgspecError) as error:
            self.crash_detector.record_lost(call.fingerprint)
            # A running server may close reused connections at any time.
            if isinstance(error, ConnectionLost) and self.pool.is_fresh(connection):
                self._record_loss(attempt)
            detail = str(error) or "the backend server closed the connection"
            return may_have_run(Reason.BACKEND_BROKE, detail)
        finally:
            if pump is not None:
                pump.cancel()
                with contextlib.suppress(asyncio.CancelledError, ConnectionLost, h11.ProtocolError):
                    await pump
            if attempt.is_answer_due and not attempt.answered_at:
                attempt.abandoned = connection
                now = asyncio.get_running_loop().time()
                has_expired = now >= attempt.deadline
                has_stalled = silence.has_stalled(attempt.deadline, now)
                if has_expired and not has_stalled and connection.received_bytes == received_before:
                    self.pool.note_unanswered(connection, sent_at, f"call {call.call_id}")
            else:
                # A server that sends its answer ends with the first write to a closed connection.
                self.pool.release(connection)

    def _send_request(
        self, connection: HttpConnection, call: frames.Call, deadline: float
    ) -> list[h11.Event]:
        time_left = deadline - asyncio.get_running_loop().time()
        events = server_answer.request_events(call, self._dialect, self.instance, time_left)
        connection.send(*events)
        return events if call.end else []

    def _record_loss(self, attempt: GateAttempt) -> None:
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
            fields = {"call_id": attempt.call.call_id, "open_ms": until_ms}
            log.warning(
                "backend server closes connections early; circuit breaker opened", extra=fields
            )

    def _note_declaration(
        self, attempt: GateAttempt, answer: AnswerHead, failure: Failure | None
    ) -> None:
        """Read what a valid answer declares."""
        is_valid = failure is None or failure.verdict is Verdict.NOT_RUN
        if is_valid:
            now = asyncio.get_running_loop().time()
            self._declarations.note_answer(answer, failure is None, attempt.started_at, now)

    def _held_ms(self, attempt: GateAttempt) -> int:
        now = asyncio.get_running_loop().time()
        return round((now - self._state.started_by_attempt.get(attempt.id, now)) * 1000)

    async def _relay_reply(
        self, attempt: GateAttempt, connection: HttpConnection, sent: list[h11.Event]
    ) -> Failure | None:
        call_id = attempt.call.call_id
        meter = server_answer.BodyMeter(connection, attempt.deadline)
        answer, skipped = await server_answer.next_head(connection, self._dialect, call_id, sent)
        if skipped:
            meter.restart()
        breaker.note_sound(self.breaker)
        self.crash_detector.note_sound()
        self._state.habits.alive_at = asyncio.get_running_loop().time()
        self._counts["foreign_answers"] += skipped
        self.pool.note_keep_alive(connection, header(answer.headers, b"keep-alive"))
        failure = server_answer.failure_of(self._dialect, answer, call_id)
        is_replaced = answer.status == self._dialect.other_instance_status
        if failure is not None and is_replaced and self.instance:
            self._on_replaced(self.instance)
        else:
            self._note_declaration(attempt, answer, failure)
        body, end = server_answer.read_available(connection)
        if failure is not None:
            attempt.is_answer_due = False
            if failure.verdict is Verdict.NOT_RUN and not is_replaced:
                occupancy.record_full(self._state)
            return failure
        settle(attempt)
        attempt.status = answer.status
        attempt.answered_at = asyncio.get_running_loop().time()
        size = self._pacer.part_bytes
        first, rest = body[:size], body[size:]
        is_complete = end and not rest
        reply = frames.Reply(
            attempt.call.attempt,
            answer.status,
            heads.encode_headers(end_to_end_headers(answer.headers)),
            first,
            is_complete,
            *self.load(),
            self._held_ms(attempt),
            self._declarations.current(),
        )
        attempt.link.send(reply)
        attempt.is_answer_due = not end
        if is_complete:
            transfers.note_size(self._transfers, attempt.call.route, len(body))
            return None
        limit = attempt.deadline + ANSWER_GRACE_S
        if attempt.limit is not None:
            attempt.limit.reschedule(limit)
        outgoing = self._open_outgoing(attempt, limit)
        if attempt.is_answer_dropped:
            outgoing.stop()
        outgoing.window.available -= len(first)
        outgoing.progress.forwarded_bytes = len(first)
        outgoing.put(rest, end)
        loop = asyncio.get_running_loop()
        meter.is_length_known = header(answer.headers, b"content-length") is not None
        meter.count(body, loop.time())
        while not end:
            body, end = await server_answer.read_part(connection)
            meter.count(body, loop.time())
            outgoing.put(body, end)
            await outgoing.drain()
        transfers.note_size(self._transfers, attempt.call.route, meter.body_bytes)
        attempt.is_answer_due = False
        return None

    def _open_outgoing(self, attempt: GateAttempt, limit: float) -> OutgoingAnswer:
        link, number = attempt.link, attempt.call.attempt
        pacer = self._pacer if link.peer != link.hello else Pacer()
        attempt.outgoing = OutgoingAnswer(
            link, number, pacer, limit, lambda: self._on_stalled(attempt), attempt.urgency
        )
        if self.is_daemon_stopping:
            attempt.outgoing.expedite()
        return attempt.outgoing
