"""Gate: admits calls from other daemons and forwards them to a backend server on this VM."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, OrderedDict
from collections.abc import Callable

from hornbeamgw.core import admission, breaker, stopping
from hornbeamgw.core.admission import AdmissionState, Admitted, AttemptId, Decision, Refused
from hornbeamgw.core.dialect import HORNBEAMGW, Dialect
from hornbeamgw.core.exposure import ExposureBound, ExposureState
from hornbeamgw.core.membership import Member
from hornbeamgw.core.occupancy import MAX_HOLD_S
from hornbeamgw.core.registration import Announcement, is_same_server
from hornbeamgw.core.snapshot import Limits, Snapshot
from hornbeamgw.core.tally import Tally
from hornbeamgw.core.transfers import TransferState
from hornbeamgw.core.verdict import Failure, Reason, Verdict, may_have_run, not_run
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.declarations import ServerDeclarations
from hornbeamgw.daemon.flow import Pacer
from hornbeamgw.daemon.former_hold import FormerProcess
from hornbeamgw.daemon.gate_attempt import (
    GateAttempt,
    admission_request,
    drop_answer,
    request_priority,
    stop,
    time_left,
)
from hornbeamgw.daemon.link import Link
from hornbeamgw.daemon.progress import Unfinished, unfinished
from hornbeamgw.daemon.quarantine import Quarantine
from hornbeamgw.daemon.server_exchange import ServerExchange, reported_wait_ms
from hornbeamgw.daemon.server_run import RunContext, ServerRun

__all__ = ["Announcement", "Gate"]

log = logging.getLogger(__name__)

RETRY_AFTER_NOT_READY_MS = 20
# An answer that has begun may be completed after the deadline, for at most this long.
ANSWER_MAX_S = 10.0
# Attempt id for outlook requests of this daemon itself, which are not received on a link.
LOCAL_ATTEMPT_ID = AttemptId("", 0, 0)
# Placeholder for the member record of a quarantine that publishes nothing.
NO_MEMBER = Member("", "", "", 0)
# Retry delay of a request that must not run concurrently with another crash suspect, about the
# duration of a short request.
RETRY_AFTER_ISOLATION_MS = 20
# Short, since another server can accept a request that a server refuses before its replacement.
RETRY_AFTER_CLOSED_MS = 20


class Gate:
    """Admits attempts of other daemons to one backend server, and runs them there."""

    def __init__(
        self,
        snapshot: Callable[[], Snapshot],
        on_server_change: Callable[[], None],
        dialect: Dialect = HORNBEAMGW,
        policy: str = "deadline",
        pacer: Pacer | None = None,
        quarantine: Quarantine | None = None,
        exposure_state: ExposureState | None = None,
        former_process: FormerProcess | None = None,
    ) -> None:
        """Open a gate without a backend server.

        Parameters
        ----------
        snapshot : callable
            Returns the snapshot in force.
        on_server_change : callable
            Called when the state of the backend server changes.
        dialect : Dialect
            Headers that the backend server understands.
        policy : str
            Name of the queueing policy.
        pacer : Pacer, optional
            Shares the bandwidth of this VM among answers.
        quarantine : Quarantine, optional
            Knows the fingerprints of requests that are not to run.
        exposure_state : ExposureState, optional
            Knows whether a rollout has closed the servers of a version to non-idempotent requests.
            By default, none are closed.
        former_process : FormerProcess, optional
            Knows whether a former process of this daemon may have sent requests to the server. By
            default, there was none.
        """
        self.quarantine = quarantine or Quarantine(NO_MEMBER, lambda *args: None)
        self.counts: Counter[str] = Counter()
        self.on_leaving: Callable[[str], None] = lambda instance: None
        self.on_replaced: Callable[[str], None] = lambda instance: None
        self.idle = asyncio.Event()
        self.idle.set()
        self.stop_plan: stopping.Plan | None = None
        self._snapshot = snapshot
        self._is_stopping = False
        self._identified_by: Snapshot | None = None
        self._context = RunContext(
            snapshot=snapshot,
            dialect=dialect,
            policy=policy,
            pacer=pacer or Pacer(),
            quarantine=self.quarantine,
            exposure_state=exposure_state or ExposureState(ExposureBound(0.0, 0.0)),
            counts=self.counts,
            transfers=TransferState(),
            records_by_attempt=OrderedDict(),
            refusal_at_start=self._refusal_at_start,
            on_server_change=on_server_change,
            on_leaving=lambda instance: self.on_leaving(instance),
            on_replaced=lambda instance: self.on_replaced(instance),
            on_attempt_removed=self._on_attempt_removed,
        )
        self._run = ServerRun(self._context, former_process)
        # Runs that were followed by others while requests were under way at them.
        self._former_runs: list[ServerRun] = []

    @property
    def announcement(self) -> Announcement | None:
        """Return the announcement of the server, None if there is no server."""
        return self._run.announcement

    @property
    def state(self) -> AdmissionState:
        """Return the admission state of the latest run of the server."""
        return self._run.state

    @property
    def exchange(self) -> ServerExchange:
        """Return the exchange with the latest run of the server."""
        return self._run.exchange

    @property
    def declarations(self) -> ServerDeclarations:
        """Return what the latest run of the server has declared."""
        return self._run.declarations

    def announce(self, announcement: Announcement) -> None:
        """Register the backend server or renew its registration."""
        last = self._run.last_announcement
        if last is not None and not is_same_server(last, announcement):
            is_over = 0 < last.started_ms < announcement.started_ms
            former = self._run
            self._run = self._known_run(announcement)
            former.end(f"{announcement.instance} was started", is_over)
            self.quarantine.forget_run()
        self._run.announce(announcement, self._is_stopping)

    def _known_run(self, announcement: Announcement) -> ServerRun:
        """Return the run that is announced; its requests count if it was announced before.

        A late heartbeat of another run may have come in between.
        """
        if not self._run.is_idle:
            self._former_runs.append(self._run)
        for run in self._former_runs:
            if run.last_announcement and is_same_server(run.last_announcement, announcement):
                self._former_runs.remove(run)
                return run
        run = ServerRun(self._context)
        if self._is_stopping:
            run.expedite()
        return run

    def expire(self, now: float) -> None:
        """Remove a server whose announcement has expired.

        Refuse requests that were queued too long or whose keys were revoked.
        """
        if self.announcement is not None and now >= self.announcement.expires_at:
            log.warning(
                "announcement expired without renewal; removing the backend server",
                extra={"service": self.announcement.service},
            )
            self.remove_server()
        self._former_runs = [run for run in self._former_runs if not run.is_idle]
        self._refuse_revoked(now)
        self._run.hold.update(self._snapshot(), now)
        self._run.apply(admission.next_decisions(self.state, now))

    def remove_server(self) -> None:
        """Remove the backend server, so that no more requests are sent to it."""
        self._run.remove()

    def stop(self) -> None:
        """Drain permanently because the daemon stops."""
        self._is_stopping = True
        for run in self._runs:
            run.expedite()
        self.drain("the daemon stops")

    def drain(self, why: str) -> None:
        """Admit no more requests; running ones complete."""
        self._run.drain(why)

    @property
    def _runs(self) -> list[ServerRun]:
        return [self._run, *self._former_runs]

    def _attempts(self) -> list[GateAttempt]:
        return [attempt for run in self._runs for attempt in run.attempts_by_id.values()]

    def _run_of(self, attempt: AttemptId) -> ServerRun | None:
        """Return the run at which an attempt is queued, running or sending its answer."""
        if attempt in self._run.attempts_by_id:
            return self._run
        return next((run for run in self._former_runs if attempt in run.attempts_by_id), None)

    def _on_attempt_removed(self) -> None:
        if not any(run.attempts_by_id for run in self._runs):
            self.idle.set()

    def cut_off(self) -> list[str]:
        """Cancel the running attempts and return their call ids."""
        running = [attempt for attempt in self._attempts() if attempt.task is not None]
        for attempt in running:
            stop(attempt)
        return [attempt.call.call_id for attempt in running]

    def unfinished(self, now: float) -> list[Unfinished]:
        """Return the attempts that are queued, running or sending their answers."""
        return [
            unfinished(attempt.call.call_id, attempt.progress, now) for attempt in self._attempts()
        ]

    def on_frame(self, link: Link, frame: frames.Frame) -> None:
        """Handle a frame from another daemon."""
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
        run = self._run_of(attempt_id)
        if run is None:
            return
        attempt = run.attempts_by_id[attempt_id]
        if isinstance(frame, frames.Body):
            attempt.bodies.put(frame)
        elif isinstance(frame, frames.Credit):
            if frame.urgent:
                request_priority(attempt)
            if attempt.outgoing is not None:
                attempt.outgoing.window.add(frame.size)
        else:
            self._on_cancel(run, attempt)

    def has_attempt(self, attempt: AttemptId) -> bool:
        """Return whether an attempt is queued, running or sending its answer."""
        return self._run_of(attempt) is not None

    def on_lost(self, link: Link) -> None:
        """Stop uploads and answers on a lost link.

        Attempts with a complete request keep running; the sender asks for their status on a new
        link.
        """
        for attempt in self._attempts():
            if attempt.link is link and not attempt.call.end and attempt.task is not None:
                attempt.task.cancel()
            if attempt.link is link and attempt.outgoing is not None:
                attempt.outgoing.stop()

    def _limits(self, entry: str) -> Limits | None:
        known_entry = self._snapshot().entries_by_name.get(entry)
        return None if known_entry is None else known_entry.limits

    def _on_call(self, link: Link, call: frames.Call) -> None:
        assert link.peer is not None
        attempt_id = AttemptId(link.peer.member, link.peer.incarnation, call.attempt)
        attempt = GateAttempt(attempt_id, link, call)
        try:
            self._decide(attempt)
        except Exception:
            log.exception("call failed at the gate", extra={"call_id": call.call_id})
            self.counts["refused.error"] += 1
            self._refuse_after_error(attempt)

    def _refuse_after_error(self, attempt: GateAttempt) -> None:
        """Refuse a call whose admission raised an error, unless it was started all the same.

        It may be a duplicate of an attempt that runs or has run, which keeps its slot and verdict.
        """
        if attempt.task is not None:
            return
        now = asyncio.get_running_loop().time()
        decisions: list[Decision] = []
        run = self._run
        is_registered = run.attempts_by_id.get(attempt.id) is attempt
        if is_registered and attempt.id in run.state.running_by_attempt:
            decisions = admission.finish(run.state, attempt.id, now, now, was_processed=False)
        verdict = admission.resolve(run.state, attempt.id, 0.0, now)
        if is_registered:
            run.remove_attempt(attempt)
        detail = "an error of the gate"
        if verdict is Verdict.NOT_RUN:
            failure = not_run(Reason.NOT_READY, detail, RETRY_AFTER_NOT_READY_MS)
        else:
            failure = may_have_run(Reason.NOT_READY, detail)
        attempt.link.send(frames.Refusal(attempt.call.attempt, failure, 0))
        run.apply(decisions)

    def _decide(self, attempt: GateAttempt) -> None:
        """Admit, queue or refuse a call that has just arrived."""
        link, call, run = attempt.link, attempt.call, self._run
        now = asyncio.get_running_loop().time()
        if call.heard is not None:
            run.declarations.note_heard(call.heard, now)
        if call.former_work_ms:
            until = now + min(MAX_HOLD_S, call.former_work_ms / 1000)
            run.hold.extend(until, "told by another daemon", now)
        run.hold.update(self._snapshot(), now)
        limits = self._limits(call.entry) or (call.limits if call.limits.slots else None)
        if limits is None:
            failure = not_run(Reason.NOT_READY, f"entry {call.entry}", RETRY_AFTER_NOT_READY_MS)
            run.send_failure(attempt, failure)
            return
        wait = breaker.refusal(run.exchange.breaker, call.idempotent, now)
        if wait:
            self.counts["refused.breaker"] += 1
            detail = "the backend server breaks off what it is sent"
            failure = not_run(Reason.BACKEND_UNREACHABLE, detail, round(wait * 1000))
            run.send_failure(attempt, failure)
            return
        refusal = self.quarantine.refusal(call.fingerprint) or self._isolation_refusal(
            call.fingerprint
        )
        refusal = refusal or self._identify_again(attempt)
        if self.stop_plan is not None and not run.exchange.may_send(
            link, call.route, self.stop_plan
        ):
            detail = "this daemon would end before its answer has left"
            refusal = not_run(Reason.DRAINING, detail, RETRY_AFTER_NOT_READY_MS)
        refusal = refusal or self._backlog_refusal(link, call)
        if refusal is not None:
            self.counts[f"refused.{refusal.reason}"] += 1
            run.send_failure(attempt, refusal)
            return
        if not call.idempotent and run.is_closed_by_rollout():
            self.counts["refused.closed"] += 1
            detail = "the server is about to be replaced"
            failure = not_run(Reason.DRAINING, detail, RETRY_AFTER_CLOSED_MS)
            run.send_failure(attempt, failure)
            return
        run.refresh_from_snapshot()
        transfer = run.exchange.transfer_time(link, call.route, time_left(call))
        request = admission_request(call, attempt.id, limits, transfer, now)
        decision = admission.admit(run.state, request, call.service, now)
        if not isinstance(decision, Admitted):
            run.consider_check(call.service, now)
        if not isinstance(decision, Refused):
            self.counts["queued.late"] += decision.request.is_late
            self.idle.clear()
            run.add(attempt, decision)
            return
        self.counts[f"refused.{decision.failure.reason}"] += 1
        run.send_failure(attempt, decision.failure)

    def _backlog_refusal(self, link: Link, call: frames.Call) -> Failure | None:
        """Return a refusal if this VM's link can't send the answer in time, or before a stop."""
        wait = self.exchange.wait_for_room(link, call.route, time_left(call))
        if not wait:
            return None
        self.counts["refused.backlog"] += 1
        return not_run(Reason.NO_SLOT, "the link has too much to send", reported_wait_ms(wait))

    def _isolation_refusal(self, fingerprint: int) -> Failure | None:
        """Return a refusal if a crash suspect would run at the same time as another one.

        If both ran during a crash, it would be unclear which one caused it.
        """
        is_crash_suspect = self.quarantine.is_crash_suspect
        if not is_crash_suspect(fingerprint):
            return None
        if not any(is_crash_suspect(a.call.fingerprint) for a in self._attempts()):
            return None
        return not_run(Reason.NO_SLOT, "runs apart from another", RETRY_AFTER_ISOLATION_MS)

    def _identify_again(self, attempt: GateAttempt) -> Failure | None:
        """Identify the caller by the snapshot in force; return why it is refused, if it is."""
        call = attempt.call
        if not call.organisation:
            return None
        # Imported only here, to save memory if the catalogue has no organisations.
        from hornbeamgw.core.organisations import identity

        try:
            name = identity.identify_at_server(
                self._snapshot(), call.organisation, call.key_digest, call.identified_by
            )
        except Exception as error:
            log.error(
                "identification failed; refusing the request",
                extra={"call_id": call.call_id, "error": type(error).__name__},
            )
            return not_run(
                Reason.NOT_READY, "an error of the identification", RETRY_AFTER_NOT_READY_MS
            )
        if isinstance(name, Failure):
            return name
        if name != call.organisation:
            attempt.call = call._replace(organisation=name)
        return None

    def _refusal_at_start(self, attempt: GateAttempt) -> Failure | None:
        """Return why an attempt may not start: quarantined or without a key since it was queued."""
        return self.quarantine.refusal(attempt.call.fingerprint) or self._identify_again(attempt)

    def _refuse_revoked(self, now: float) -> None:
        """Refuse the queued requests whose keys the snapshot in force no longer has."""
        snapshot = self._snapshot()
        if snapshot is self._identified_by:
            return
        self._identified_by = snapshot
        run = self._run
        for attempt in [a for a in run.attempts_by_id.values() if a.task is None]:
            refusal = self._identify_again(attempt)
            if refusal is not None and admission.withdraw(run.state, attempt.id, now):
                run.refuse(attempt, refusal)

    def _outlook(self, link: Link, query: frames.OutlookRequest) -> frames.Outlook:
        assert link.peer is not None
        attempt_id = AttemptId(link.peer.member, link.peer.incarnation, 0)
        left = time_left(query)
        transfer = self.exchange.transfer_time(link, query.route, left)
        link_wait = self.exchange.wait_for_room(link, query.route, left)
        return self._outlook_for(query, attempt_id, transfer, link_wait)

    def local_outlook(self, query: frames.OutlookRequest) -> frames.Outlook:
        """Return the outlook for a request of this daemon itself."""
        return self._outlook_for(query, LOCAL_ATTEMPT_ID, 0.0, 0.0)

    def _outlook_for(
        self,
        query: frames.OutlookRequest,
        attempt_id: AttemptId,
        transfer: float,
        link_wait: float,
    ) -> frames.Outlook:
        """Return the outlook for a request, given two durations in seconds.

        `transfer` is the expected time to send its answer, and `link_wait` the time until this VM's
        link has room for it.
        """
        now = asyncio.get_running_loop().time()
        limits = self._limits(query.entry)
        if limits is None:
            return frames.Outlook(query.number, False, 0, 0, RETRY_AFTER_NOT_READY_MS)
        open_until = self.exchange.breaker.open_until
        if now < open_until:
            left_ms = round((open_until - now) * 1000)
            return frames.Outlook(query.number, False, 0, 0, max(1, left_ms))
        if link_wait:
            self.counts["outlooks.refused"] += 1
            wait_ms = reported_wait_ms(link_wait)
            return frames.Outlook(query.number, False, 0, wait_ms, max(1, wait_ms))
        self._run.refresh_from_snapshot()
        request = admission_request(query, attempt_id, limits, transfer, now)
        outlook = admission.outlook(self.state, request, query.service, now)
        if outlook.wait or not outlook.would_admit:
            self._run.consider_check(query.service, now)
        free = admission.free_slots(self.state, now)
        wait_ms = reported_wait_ms(outlook.wait + request.transfer)
        self.counts["outlooks.taken" if outlook.would_admit else "outlooks.refused"] += 1
        return frames.Outlook(
            query.number, outlook.would_admit, free, wait_ms, outlook.retry_after_ms
        )

    def _on_question(self, link: Link, attempt: AttemptId, question: frames.Question) -> None:
        now = asyncio.get_running_loop().time()
        run = self._run_of(attempt) or self._run
        verdict = admission.resolve(run.state, attempt, question.age_ms / 1000, now)
        queued = run.attempts_by_id.get(attempt)
        if verdict is Verdict.NOT_RUN and queued is not None:
            run.remove_attempt(queued)
        self.counts[f"resolved.{verdict}"] += 1
        link.send(frames.Resolution(question.attempt, verdict is not Verdict.NOT_RUN))

    def _on_cancel(self, run: ServerRun, attempt: GateAttempt) -> None:
        now = asyncio.get_running_loop().time()
        self.counts["cancelled"] += 1
        if admission.withdraw(run.state, attempt.id, now):
            run.send_failure(attempt, not_run(Reason.CALLER_GONE, "withdrawn"))
            run.remove_attempt(attempt)
        elif attempt.task is not None and (attempt.call.idempotent or attempt.task.done()):
            stop(attempt)
        else:
            drop_answer(attempt)

    def retry_ratio(self) -> float:
        """Return the ratio of running requests whose call has reached a server before."""
        running = self.state.running_by_attempt
        if not running:
            return 0.0
        attempts = self._run.attempts_by_id
        retries = sum(attempts[a].call.repeat for a in running if a in attempts)
        return retries / len(running)

    def tally(self, number: int, announced: Announcement) -> Tally:
        """Return the tally of the server with this number and announcement."""
        return self._run.tally(number, announced)

    def count_overdue(self, now: float) -> None:
        """Count running attempts that already exceed the threshold for a slow answer."""
        self._run.count_overdue(now)
