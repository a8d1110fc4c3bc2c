"""Gate: admits calls from other daemons and carries them to the backend server beside it."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Sequence

from hornbeamgw.core import admission, breaker, exposure, stopping, tally
from hornbeamgw.core.admission import AdmissionState, Admitted, AttemptId, Decision, Refused
from hornbeamgw.core.dialect import HORNBEAMGW, Dialect
from hornbeamgw.core.exposure import ExposureBound, ExposureState
from hornbeamgw.core.fingerprint import as_text
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.registration import Announcement, is_renewal, is_same_run
from hornbeamgw.core.snapshot import Limits, Snapshot
from hornbeamgw.core.tally import Count, Tally
from hornbeamgw.core.verdict import Failure, Reason, Verdict, may_have_run, not_run
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.flow import Pacer
from hornbeamgw.daemon.gate_attempt import (
    GateAttempt,
    drop_answer,
    hurry,
    log_end,
    log_refused,
    request_of,
    stop,
)
from hornbeamgw.daemon.link import Link
from hornbeamgw.daemon.progress import Unfinished, unfinished
from hornbeamgw.daemon.quarantine import Quarantine
from hornbeamgw.daemon.server_answer import SERVER_ERROR
from hornbeamgw.daemon.server_exchange import MAX_WAIT_MS, ServerExchange

__all__ = ["Announcement", "Gate"]

log = logging.getLogger(__name__)

RETRY_AFTER_NOT_READY_MS = 20
# An answer that has begun is carried to its end, also past the deadline; one that then stalls is
# cut off. The users' largest, 1.7 MB, take half a second over their narrowest links.
ANSWER_MAX_S = 10.0


# The daemon beside the gate asks without a link; nothing is kept of a question.
OWN_QUESTION = AttemptId("", 0, 0)
# A gate by itself tells nobody of what it finds.
NOBODY = Member("", "", "", 0)
# A request that must run apart is told to come back after a short request of another's.
RETRY_AFTER_APART_MS = 20
# A request that a closed server refuses finds another at once.
RETRY_AFTER_CLOSED_MS = 20


class Gate:
    """Own the admission state and the connections to the backend server."""

    def __init__(
        self,
        snapshot: Callable[[], Snapshot],
        on_server_change: Callable[[], None],
        dialect: Dialect = HORNBEAMGW,
        policy: str = "deadline",
        pacer: Pacer | None = None,
        quarantine: Quarantine | None = None,
        exposed: ExposureState | None = None,
    ) -> None:
        """Take the snapshot in force and what to call when the server's state changes.

        Rollouts tell when servers of a version are closed; without, no order is ever heard of.
        """
        self._exposed = exposed or ExposureState(ExposureBound(0.0, 0.0))
        self.quarantine = quarantine or Quarantine(NOBODY, lambda *told: None)
        self.state = AdmissionState(policy)
        self.announcement: Announcement | None = None
        self._last_run: Announcement | None = None
        self._ended_run: Announcement | None = None
        self.counts: Counter[str] = Counter()
        self.counts_by_route: dict[str, Count] = {}
        self.exchange = ServerExchange(
            self.state, dialect, pacer or Pacer(), self.counts, self._on_stalled, self._on_end
        )
        self.idle = asyncio.Event()
        self.idle.set()
        self._snapshot = snapshot
        self._on_server_change = on_server_change
        self._attempts: dict[AttemptId, GateAttempt] = {}
        self._stopping = False
        self.stop_plan: stopping.Plan | None = None
        self._reserved_for: tuple[Snapshot, str] | None = None

    def announce(self, announcement: Announcement) -> None:
        """Take or renew what the backend server says of itself."""
        before, last = self.announcement, self._last_run
        is_same = last is None or is_same_run(last, announcement)
        if last is not None and not is_same:
            is_later = 0 < last.started_ms < announcement.started_ms
            self._forget_run(f"{announcement.instance} was started", is_later)
        # Who announces itself lives, whatever its connections did.
        breaker.note_sound(self.exchange.breaker)
        self._last_run = announcement
        self.exchange.instance = announcement.instance
        draining = self._stopping or (is_same and self.state.server_state is ServerState.DRAINING)
        if draining and announcement.state is not ServerState.DRAINING:
            announcement = announcement._replace(state=ServerState.DRAINING)
        self.announcement = announcement
        self.state.service = announcement.service
        self.state.slots = announcement.slots
        self.state.warm_at = announcement.warm_at
        self.exchange.pool.configure(announcement.address, announcement.connections)
        if announcement.state is ServerState.DRAINING and not draining:
            self.drain("announced by the backend server")
        self.state.server_state = announcement.state
        if before is None or not is_renewal(before, announcement):
            log.info("backend server announced", extra={"announcement": announcement._asdict()})
            self._on_server_change()

    def _forget_run(self, why: str, is_over: bool) -> None:
        """Drop what was learned of a run; where it is surely over, end what ran there."""
        log.info("another run of the backend server", extra={"why": why, "is_over": is_over})
        self.exchange.forget_run()
        self.counts_by_route.clear()
        self.quarantine.forget_run()
        admission.forget_run(self.state)
        if not is_over:
            return
        for attempt in list(self._attempts.values()):
            if attempt.task is not None and not attempt.task.done():
                attempt.ended_by = may_have_run(Reason.BACKEND_BROKE, why)
                stop(attempt)

    def expire(self, now: float) -> None:
        """Forget a server that no longer renews what it announced, and drop late requests."""
        if self.announcement is not None and now >= self.announcement.expires_at:
            log.warning("announcement expired", extra={"service": self.announcement.service})
            self.forget_server()
        self._act(admission.next_decisions(self.state, now))

    def forget_server(self) -> None:
        """Take no more work for the backend server."""
        self.announcement = None
        self.exchange.instance = ""
        self.state.server_state = ServerState.NONE
        self.exchange.pool.close_idle()
        self._on_server_change()

    def stop(self) -> None:
        """Drain for good, as the daemon stops."""
        self._stopping = True
        self.exchange.is_leaving = True
        for attempt in self._attempts.values():
            if attempt.outgoing is not None:
                attempt.outgoing.leave()
        self.drain("the daemon stops")

    def drain(self, why: str) -> None:
        """Take no new work from now on; what runs goes on to its end."""
        now = asyncio.get_running_loop().time()
        log.info("drain begins", extra={"why": why, "running": len(self._attempts)})
        self._act(admission.drain(self.state, now))
        if self.announcement is not None:
            self.announcement = self.announcement._replace(state=ServerState.DRAINING)
        self._on_server_change()

    def cut_off(self) -> list[str]:
        """End what still runs and return the call ids that were cut off."""
        running = [a for a in self._attempts.values() if a.task is not None]
        for attempt in running:
            stop(attempt)
        return [attempt.call.call_id for attempt in running]

    def unfinished(self, now: float) -> list[Unfinished]:
        """Return the attempts that wait or run here, and those whose answers are on their way."""
        return [
            unfinished(attempt.call.call_id, attempt.progress, now)
            for attempt in self._attempts.values()
        ]

    def on_frame(self, link: Link, frame: frames.Frame) -> None:
        """Take a frame of a call from another daemon."""
        assert link.peer is not None
        if isinstance(frame, frames.Call):
            self._on_call(link, frame)
            return
        if isinstance(frame, frames.OutlookRequest):
            link.send(self._outlook(link, frame))
            return
        if not isinstance(frame, frames.Body | frames.Credit | frames.Cancel | frames.Question):
            return
        attempt_id = AttemptId(link.peer.member, link.peer.incarnation, frame.attempt)
        if isinstance(frame, frames.Question):
            self._on_question(link, attempt_id, frame)
            return
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        if isinstance(frame, frames.Body):
            attempt.bodies.put(frame)
        elif isinstance(frame, frames.Credit):
            if frame.urgent:
                hurry(attempt)
            if attempt.outgoing is not None:
                attempt.outgoing.window.add(frame.size)
        else:
            self._on_cancel(attempt)

    def holds(self, attempt: AttemptId) -> bool:
        """Return whether an attempt waits or runs here."""
        return attempt in self._attempts

    def on_lost(self, link: Link) -> None:
        """Go on with what runs; the other side asks on a new link what became of it."""
        for attempt in self._attempts.values():
            if attempt.link is link and not attempt.call.end and attempt.task is not None:
                attempt.task.cancel()
            if attempt.link is link and attempt.outgoing is not None:
                attempt.outgoing.stop()

    def _limits(self, entry: str) -> Limits | None:
        found = self._snapshot().entries_by_name.get(entry)
        return None if found is None else found.limits

    def _refresh_reserved(self) -> None:
        snapshot, service = self._snapshot(), self.state.service
        if self._reserved_for is not None and self._reserved_for == (snapshot, service):
            return
        self._reserved_for = (snapshot, service)
        self.state.reserved_by_entry = {
            route.entry.name: route.entry.limits.reserved
            for routes_by_prefix in snapshot.routes_by_host.values()
            for routes in routes_by_prefix.values()
            for route in routes
            if route.entry.limits.reserved
            and any(part.service == service for part in route.destinations)
        }

    def _on_call(self, link: Link, call: frames.Call) -> None:
        assert link.peer is not None
        now = asyncio.get_running_loop().time()
        attempt_id = AttemptId(link.peer.member, link.peer.incarnation, call.attempt)
        limits = self._limits(call.entry) or (call.limits if call.limits.slots else None)
        attempt = GateAttempt(attempt_id, link, call)
        if limits is None:
            failure = not_run(Reason.NOT_READY, f"entry {call.entry}", RETRY_AFTER_NOT_READY_MS)
            self._send_failure(attempt, failure)
            return
        wait = breaker.refusal(self.exchange.breaker, call.idempotent, now)
        if wait:
            self.counts["refused.breaker"] += 1
            detail = "the backend server breaks off what it is sent"
            failure = not_run(Reason.BACKEND_UNREACHABLE, detail, round(wait * 1000))
            self._send_failure(attempt, failure)
            return
        refusal = self.quarantine.refusal(call.fingerprint) or self._apart(call.fingerprint)
        if self.stop_plan is not None and not self.exchange.may_send(
            link, call.route, self.stop_plan
        ):
            detail = "this daemon would end before its answer has left"
            refusal = not_run(Reason.DRAINING, detail, RETRY_AFTER_NOT_READY_MS)
        if refusal is not None:
            self.counts[f"refused.{refusal.reason}"] += 1
            self._send_failure(attempt, refusal)
            return
        if not call.idempotent and self._is_closed():
            self.counts["refused.closed"] += 1
            detail = "the server is about to be replaced"
            failure = not_run(Reason.DRAINING, detail, RETRY_AFTER_CLOSED_MS)
            self._send_failure(attempt, failure)
            return
        self._refresh_reserved()
        transfer = self.exchange.transfer_time(link, call.route)
        request = request_of(call, attempt_id, limits, transfer, now)
        decision = admission.admit(self.state, request, call.service, now)
        if not isinstance(decision, Refused):
            self._attempts[attempt_id] = attempt
            self.idle.clear()
            self._act([decision])
            return
        self.counts[f"refused.{decision.failure.reason}"] += 1
        self._send_failure(attempt, decision.failure)

    def _apart(self, fingerprint: int) -> Failure | None:
        """Refuse a request that ran at several ends beside another such: one is no cause."""
        must_run_apart = self.quarantine.must_run_apart
        if not must_run_apart(fingerprint):
            return None
        if not any(must_run_apart(a.call.fingerprint) for a in self._attempts.values()):
            return None
        return not_run(Reason.NO_SLOT, "runs apart from another", RETRY_AFTER_APART_MS)

    def _outlook(self, link: Link, asked: frames.OutlookRequest) -> frames.Outlook:
        assert link.peer is not None
        attempt_id = AttemptId(link.peer.member, link.peer.incarnation, 0)
        return self._outlook_of(asked, attempt_id, self.exchange.transfer_time(link, asked.route))

    def own_outlook(self, asked: frames.OutlookRequest) -> frames.Outlook:
        """Return what a request that begins here could expect at this gate, without a frame."""
        return self._outlook_of(asked, OWN_QUESTION, 0.0)

    def _outlook_of(
        self, asked: frames.OutlookRequest, attempt_id: AttemptId, transfer: float
    ) -> frames.Outlook:
        now = asyncio.get_running_loop().time()
        limits = self._limits(asked.entry)
        if limits is None:
            return frames.Outlook(asked.number, False, 0, 0, RETRY_AFTER_NOT_READY_MS)
        open_until = self.exchange.breaker.open_until
        if now < open_until:
            left_ms = round((open_until - now) * 1000)
            return frames.Outlook(asked.number, False, 0, 0, max(1, left_ms))
        self._refresh_reserved()
        request = request_of(asked, attempt_id, limits, transfer, now)
        outlook = admission.outlook(self.state, request, asked.service, now)
        free = admission.free_slots(self.state)
        wait = outlook.wait + request.transfer
        wait_ms = min(MAX_WAIT_MS, round(wait * 1000))
        self.counts["outlooks.taken" if outlook.would_admit else "outlooks.refused"] += 1
        return frames.Outlook(
            asked.number, outlook.would_admit, free, wait_ms, outlook.retry_after_ms
        )

    def _on_question(self, link: Link, attempt: AttemptId, question: frames.Question) -> None:
        now = asyncio.get_running_loop().time()
        verdict = admission.resolve(self.state, attempt, question.age_ms / 1000, now)
        waiting = self._attempts.get(attempt)
        if verdict is Verdict.NOT_RUN and waiting is not None:
            self._forget(waiting)
        self.counts[f"resolved.{verdict}"] += 1
        link.send(frames.Resolution(question.attempt, verdict is not Verdict.NOT_RUN))

    def _on_cancel(self, attempt: GateAttempt) -> None:
        now = asyncio.get_running_loop().time()
        self.counts["cancelled"] += 1
        if admission.withdraw(self.state, attempt.id, now):
            self._send_failure(attempt, not_run(Reason.CALLER_GONE, "withdrawn"))
            self._forget(attempt)
        elif attempt.task is not None and (attempt.call.idempotent or attempt.task.done()):
            stop(attempt)
        else:
            drop_answer(attempt)

    def _act(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            attempt = self._attempts.get(decision.request.attempt)
            if attempt is None:
                continue
            if isinstance(decision, Admitted):
                self._start(attempt, decision.request.deadline)
            elif isinstance(decision, Refused):
                self.counts[f"refused.{decision.failure.reason}"] += 1
                self._send_failure(attempt, decision.failure)
                self._forget(attempt)

    def _forget(self, attempt: GateAttempt) -> None:
        self._attempts.pop(attempt.id, None)
        if not self._attempts:
            self.idle.set()

    def repeat_share(self) -> float:
        """Return which part of what runs at the server has reached one before."""
        running = self.state.running_by_attempt
        if not running:
            return 0.0
        repeats = sum(self._attempts[a].call.repeat for a in running if a in self._attempts)
        return repeats / len(running)

    def _send_failure(self, attempt: GateAttempt, failure: Failure) -> None:
        free, wait_ms = self.exchange.load()
        if attempt.task is None:
            log_refused(attempt, failure, wait_ms, self.state)
        attempt.link.send(frames.Refusal(attempt.call.attempt, failure, free, wait_ms))

    def _start(self, attempt: GateAttempt, deadline: float) -> None:
        self.counts["admitted"] += 1
        started = asyncio.get_running_loop().time()
        attempt.deadline = deadline
        attempt.started_at = started
        attempt.task = asyncio.create_task(self._run(attempt, deadline))
        attempt.task.add_done_callback(lambda task: self._finish(attempt, started, task))

    async def _run(self, attempt: GateAttempt, deadline: float) -> Failure | None:
        # It may have waited for its slot since it came.
        refusal = self.quarantine.refusal(attempt.call.fingerprint)
        if refusal is not None:
            return refusal
        try:
            async with asyncio.timeout_at(deadline) as attempt.limit:
                return await self.exchange.run(attempt)
        except TimeoutError:
            return may_have_run(Reason.DEADLINE, "the deadline passed while it ran")
        except Exception as error:
            log.exception("attempt failed", extra={"call_id": attempt.call.call_id})
            return may_have_run(Reason.BACKEND_BROKE, repr(error))

    def _finish(
        self, attempt: GateAttempt, started: float, task: asyncio.Task[Failure | None]
    ) -> None:
        """Free the slot; here, since a task cancelled before its first step runs nothing."""
        if task.cancelled():
            gone = may_have_run(Reason.CALLER_GONE, "cancelled while it ran")
            failure: Failure | None = attempt.ended_by or gone
        else:
            failure = task.result()
        now = asyncio.get_running_loop().time()
        log_end(attempt, failure, now)
        self._tally(attempt, failure, now)
        if failure is None and attempt.status < SERVER_ERROR:
            self.quarantine.note_answered(attempt.call.fingerprint)
        if failure is not None and failure.reason in (Reason.CALLER_GONE, Reason.DEADLINE):
            self.exchange.end_watch.note_given_up(attempt.call.fingerprint)
        has_worked = failure is None or failure.reason is Reason.DEADLINE
        decisions = admission.finish(self.state, attempt.id, started, now, has_worked)
        if failure is not None:
            self.counts[f"failed.{failure.reason}"] += 1
            self._send_failure(attempt, failure)
        self._end(attempt, failure)
        self._act(decisions)

    def _is_closed(self) -> bool:
        known = self.announcement
        if known is None:
            return False
        return exposure.closed_step(self._exposed, known.service, known.software) > 0

    def tally(self, number: int, known: Announcement) -> Tally:
        """Return what was counted at the server of that number, and whether it may be stopped."""
        closed = exposure.closed_step(self._exposed, known.service, known.software)
        unsafe = sum(not attempt.call.idempotent for attempt in self._attempts.values())
        counts = dict(self.counts_by_route)
        return Tally(known.service, number, known.software, counts, closed, unsafe if closed else 0)

    def tally_overdue(self, now: float) -> None:
        """Count what runs so long that its answer is slow whenever it comes."""
        for attempt in self._attempts.values():
            call = attempt.call
            if attempt.task is None or attempt.is_tallied or attempt.answered_at:
                continue
            is_cold = attempt.started_at < self.state.warm_at
            limit = tally.slow_threshold(
                call.typical_service_ms / 1000, call.latency_objective_ms / 1000, is_cold
            )
            if now - attempt.started_at > limit:
                attempt.is_tallied = True
                tally.record(self.counts_by_route, call.route, True)

    def _tally(self, attempt: GateAttempt, failure: Failure | None, now: float) -> None:
        """Count what became of an attempt, where that tells of its server."""
        if attempt.is_tallied:
            return
        answered_at = attempt.answered_at or now
        held, typical = answered_at - attempt.started_at, attempt.call.typical_service_ms / 1000
        is_cold = attempt.started_at < self.state.warm_at
        aim = attempt.call.latency_objective_ms / 1000
        bad = tally.is_bad(
            tally.AttemptOutcome(failure, attempt.status, held, typical, aim, is_cold)
        )
        if bad is not None:
            tally.record(self.counts_by_route, attempt.call.route, bad)

    def _end(self, attempt: GateAttempt, failure: Failure | None) -> None:
        """Forget an attempt once the rest of its answer is sent, or at once where it failed."""
        outgoing = attempt.outgoing
        if outgoing is None or outgoing.task.done() or failure is not None:
            if outgoing is not None:
                outgoing.stop()
            self._forget(attempt)
            return
        outgoing.task.add_done_callback(lambda _: self._forget(attempt))

    def _on_end(self, fingerprints: Sequence[int]) -> None:
        run = self._last_run
        if run is None or (run.instance and is_same_run(self._ended_run, run)):
            return
        self._ended_run = run
        self.counts["server_ended"] += 1
        ran = [as_text(fingerprint) for fingerprint in fingerprints]
        log.warning("backend server ended", extra={"instance": run.instance, "ran": ran})
        self.quarantine.note_end(fingerprints)

    def _on_stalled(self, attempt: GateAttempt) -> None:
        self.counts["stalled_answers"] += 1
        failure = may_have_run(Reason.DEADLINE, "the caller's daemon took no more of the answer")
        log.warning("answer stalled", extra={"call_id": attempt.call.call_id})
        self._send_failure(attempt, failure)
