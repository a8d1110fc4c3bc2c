"""Gate attempts: one attempt of another daemon, from its arrival to the end of its answer."""

from __future__ import annotations

import asyncio
import logging

import h11

from hornbeamgw.core.admission import AdmissionState, AttemptId, Request
from hornbeamgw.core.fingerprint import as_text
from hornbeamgw.core.snapshot import Limits
from hornbeamgw.core.verdict import Failure, Verdict
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.flow import Mailbox, Urgency
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.link import Link
from hornbeamgw.daemon.outgoing import Outgoing
from hornbeamgw.daemon.progress import Progress

log = logging.getLogger(__name__)


class GateAttempt:
    """Hold one attempt of another daemon, from its arrival to its end."""

    def __init__(self, attempt: AttemptId, link: Link, call: frames.Call) -> None:
        """Take its id, the link that it came by and what it asks."""
        self.id = attempt
        self.link = link
        self.call = call
        self.bodies: Mailbox[frames.Body] = Mailbox()
        self.task: asyncio.Task[Failure | None] | None = None
        self.outgoing: Outgoing | None = None
        self.urgency = Urgency()
        self.limit: asyncio.Timeout | None = None
        self.ended_by: Failure | None = None
        self.deadline = 0.0
        self.status = 0
        self.arrived_at = asyncio.get_running_loop().time()
        self.started_at = self.arrived_at
        self.answered_at = 0.0
        self.is_tallied = False
        self.is_dropped = False
        self._progress = Progress(self.arrived_at)

    @property
    def progress(self) -> Progress:
        """Return how far the answer has been passed on to the other daemon."""
        return self._progress if self.outgoing is None else self.outgoing.progress


def hurry(attempt: GateAttempt) -> None:
    """Send the answer of an attempt, or what is left of it, before others."""
    attempt.urgency.hurry(asyncio.get_running_loop().time())
    if attempt.outgoing is not None:
        attempt.outgoing.reorder()


def request_of(
    asked: frames.Call | frames.OutlookRequest,
    attempt: AttemptId,
    limits: Limits,
    transfer: float,
    now: float,
) -> Request:
    """Return what admission needs to know of a call that has come, or that may come."""
    return Request(
        attempt,
        asked.entry,
        limits,
        now + asked.deadline_ms / 1000,
        asked.route,
        now + asked.remaining_objective_ms / 1000,
        asked.latency_objective_ms / 1000,
        asked.priority,
        asked.is_retry,
        transfer,
        now,
    )


def stop(attempt: GateAttempt) -> None:
    """End an attempt that has begun, and what is left of its answer."""
    if attempt.task is not None:
        attempt.task.cancel()
    if attempt.outgoing is not None:
        attempt.outgoing.stop()


def drop_answer(attempt: GateAttempt) -> None:
    """Let an attempt run to its end, and send nothing more of its answer."""
    attempt.is_dropped = True
    if attempt.outgoing is not None:
        attempt.outgoing.stop()


def log_refused(
    attempt: GateAttempt, failure: Failure, wait_ms: int, state: AdmissionState
) -> None:
    """Tell why an attempt was refused and how full it was here."""
    call = attempt.call
    told = {"reason": failure.reason, "verdict": failure.verdict, "wait_ms": wait_ms}
    told |= {"running": len(state.running_by_attempt), "waiting": len(state.queue)}
    told |= {"objective_ms": call.remaining_objective_ms, "deadline_ms": call.deadline_ms}
    log.info("attempt refused", extra={"call_id": call.call_id, "route": call.route, **told})


def log_end(attempt: GateAttempt, failure: Failure | None, now: float) -> None:
    """Tell how an attempt ended, and how long it waited for a slot and held it."""
    told: dict[str, object] = {"call_id": attempt.call.call_id, "route": attempt.call.route}
    told["waited_ms"] = round((attempt.started_at - attempt.arrived_at) * 1000, 1)
    told["held_ms"] = round((now - attempt.started_at) * 1000, 1)
    told["verdict"] = Verdict.ANSWERED if failure is None else failure.verdict
    if failure is not None:
        told |= {"reason": failure.reason, "detail": failure.detail}
        told["fingerprint"] = as_text(attempt.call.fingerprint)
    log.info("attempt ended", extra=told)


async def pump_body(attempt: GateAttempt, connection: HttpConnection) -> None:
    """Carry the rest of a request's body to the backend server."""
    while True:
        part = await attempt.bodies.get()
        if part.data:
            connection.send(h11.Data(data=part.data))
            await connection.drain()
            attempt.link.send(frames.Credit(attempt.call.attempt, len(part.data)))
        if part.end:
            connection.send(h11.EndOfMessage())
            return
