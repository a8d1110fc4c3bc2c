"""Gate attempts: the state of one attempt received from another daemon."""

from __future__ import annotations

import asyncio
import logging

import h11

from hornbeamgw.core.admission import AdmissionState, AttemptId, Request
from hornbeamgw.core.fingerprint import as_text
from hornbeamgw.core.link_admission import TimeLeft
from hornbeamgw.core.service_times import INITIAL_TIME_RATIO
from hornbeamgw.core.snapshot import Limits
from hornbeamgw.core.verdict import Failure, Verdict
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.flow import Mailbox, Promise, Urgency
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.link import Link
from hornbeamgw.daemon.outgoing import OutgoingAnswer
from hornbeamgw.daemon.progress import Progress

log = logging.getLogger(__name__)


class GateAttempt:
    """The state of one attempt received from another daemon, until its answer is sent.

    Attributes
    ----------
    bodies : Mailbox
        Received parts of the request body.
    task : asyncio.Task or None
        Exchange with the backend server; None while the attempt is queued.
    outgoing : OutgoingAnswer or None
        Sends the part of the answer that follows the reply frame.
    limit : asyncio.Timeout or None
        Timeout of the exchange.
    stop_failure : Failure or None
        Failure to report if the task is cancelled, instead of CALLER_GONE.
    arrived_at, started_at, answered_at : float
        Loop times in seconds of the arrival, of the start at the server, and of the answer's head
        (0 until it has arrived).
    is_counted : bool
        Whether the outcome was counted already because the answer is overdue.
    is_answer_dropped : bool
        Whether the answer is not to be sent.
    is_answer_due : bool
        Whether the request was sent, or a part of it, and the server has neither answered it
        completely nor refused it.
    abandoned : HttpConnection or None
        Connection on which an answer was due when the exchange ended.
    promise : Promise or None
        Expected bytes of the answer; None before the attempt is accepted.
    """

    def __init__(self, attempt: AttemptId, link: Link, call: frames.Call) -> None:
        """Start as queued."""
        self.id = attempt
        self.link = link
        self.call = call
        self.bodies: Mailbox[frames.Body] = Mailbox()
        self.task: asyncio.Task[Failure | None] | None = None
        self.outgoing: OutgoingAnswer | None = None
        self.urgency = Urgency()
        self.limit: asyncio.Timeout | None = None
        self.stop_failure: Failure | None = None
        self.deadline = 0.0
        self.status = 0
        self.arrived_at = asyncio.get_running_loop().time()
        self.started_at = self.arrived_at
        self.answered_at = 0.0
        self.is_counted = False
        self.is_answer_dropped = False
        self.is_answer_due = False
        self.abandoned: HttpConnection | None = None
        self.promise: Promise | None = None
        self._progress = Progress(self.arrived_at)

    @property
    def progress(self) -> Progress:
        """Return how much of the answer has been forwarded to the other daemon."""
        return self._progress if self.outgoing is None else self.outgoing.progress


def has_reached_server(attempt: GateAttempt) -> bool:
    """Return whether the server may work on an attempt, or has answered it."""
    return attempt.is_answer_due or attempt.answered_at > 0


def settle(attempt: GateAttempt) -> None:
    """Stop counting the expected answer, since it has arrived or won't arrive."""
    if attempt.promise is not None:
        attempt.promise.settle()


def request_priority(attempt: GateAttempt) -> None:
    """Send the rest of an attempt's answer before other answers."""
    attempt.urgency.mark_urgent(asyncio.get_running_loop().time())
    if attempt.outgoing is not None:
        attempt.outgoing.reorder()


def admission_request(
    frame: frames.Call | frames.OutlookRequest,
    attempt: AttemptId,
    limits: Limits,
    transfer: float,
    now: float,
) -> Request:
    """Return the admission request for a call or for a request for an outlook.

    `transfer` is the expected time in seconds to send the answer.
    """
    return Request(
        attempt,
        frame.entry,
        limits,
        now + frame.deadline_ms / 1000,
        frame.route,
        now + frame.remaining_objective_ms / 1000,
        frame.latency_objective_ms / 1000,
        frame.priority,
        frame.is_retry,
        transfer,
        now,
        frame.organisation,
        frame.accepts_late,
    )


def time_left(frame: frames.Call | frames.OutlookRequest) -> TimeLeft:
    """Return the time that is left of a request when its frame arrives."""
    return TimeLeft(
        frame.remaining_objective_ms / 1000,
        frame.deadline_ms / 1000,
        frame.latency_objective_ms / 1000,
    )


def typical_time(call: frames.Call) -> float:
    """Return the service time in seconds that is expected of a call without a measurement here."""
    if call.typical_service_ms:
        return call.typical_service_ms / 1000
    return INITIAL_TIME_RATIO * call.latency_objective_ms / 1000


def stop(attempt: GateAttempt) -> None:
    """Cancel the exchange of an attempt with the server, and send no more of its answer."""
    if attempt.task is not None:
        attempt.task.cancel()
    if attempt.outgoing is not None:
        attempt.outgoing.stop()


def drop_answer(attempt: GateAttempt) -> None:
    """Send no more of an attempt's answer, but let the attempt complete."""
    attempt.is_answer_dropped = True
    if attempt.outgoing is not None:
        attempt.outgoing.stop()


def log_refused(
    attempt: GateAttempt, failure: Failure, wait_ms: int, state: AdmissionState
) -> None:
    """Log why an attempt was refused, and the load at that time."""
    call = attempt.call
    fields: dict[str, object] = {"reason": failure.reason, "verdict": failure.verdict}
    fields |= {"detail": failure.detail} if failure.detail else {}
    fields |= {"organisation": call.organisation} if call.organisation else {}
    fields |= {"wait_ms": wait_ms}
    fields |= {"running": len(state.running_by_attempt), "waiting": len(state.queue)}
    fields |= {"objective_ms": call.remaining_objective_ms, "deadline_ms": call.deadline_ms}
    log.info("attempt refused", extra={"call_id": call.call_id, "route": call.route, **fields})


def log_end(attempt: GateAttempt, failure: Failure | None, now: float) -> None:
    """Log how an attempt ended, and how long it waited for a slot and occupied it."""
    fields: dict[str, object] = {"call_id": attempt.call.call_id, "route": attempt.call.route}
    fields["waited_ms"] = round((attempt.started_at - attempt.arrived_at) * 1000, 1)
    fields["held_ms"] = round((now - attempt.started_at) * 1000, 1)
    fields["verdict"] = Verdict.ANSWERED if failure is None else failure.verdict
    if failure is not None:
        fields |= {"reason": failure.reason, "detail": failure.detail}
        fields["fingerprint"] = as_text(attempt.call.fingerprint)
        fields["is_answer_due"] = attempt.is_answer_due
    log.info("attempt ended", extra=fields)


async def pump_body(attempt: GateAttempt, connection: HttpConnection) -> None:
    """Forward the rest of a request's body to the backend server."""
    while True:
        part = await attempt.bodies.get()
        if part.data:
            connection.send(h11.Data(data=part.data))
            await connection.drain()
            attempt.link.send(frames.Credit(attempt.call.attempt, len(part.data)))
        if part.end:
            connection.send(h11.EndOfMessage())
            return
