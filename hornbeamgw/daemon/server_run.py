"""Server run: the requests that are sent to one run of a backend server.

A request is accepted for the run that is announced at that moment. The queue, the connections and
the counts belong to the run and end with it, so nothing that was accepted for one run is sent to
the next server at the address, which may be of another service.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence
from typing import NamedTuple

from hornbeamgw.core import admission, breaker, exposure, fairness, former_work
from hornbeamgw.core.admission import AdmissionState, Admitted, AttemptId, Decision, Refused
from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.exposure import ExposureState
from hornbeamgw.core.fingerprint import as_text
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Announcement, is_renewal
from hornbeamgw.core.slots import AttemptRecord, CutRequest
from hornbeamgw.core.snapshot import Snapshot
from hornbeamgw.core.tally import Tally
from hornbeamgw.core.transfers import TransferState
from hornbeamgw.core.verdict import Failure, Reason, may_have_run, not_run
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.abandoned import AbandonedRequests, SlotChecker
from hornbeamgw.daemon.answer_counts import AnswerCounts
from hornbeamgw.daemon.declarations import ServerDeclarations
from hornbeamgw.daemon.flow import Pacer
from hornbeamgw.daemon.former_hold import FormerHold, FormerProcess
from hornbeamgw.daemon.gate_attempt import (
    GateAttempt,
    has_reached_server,
    log_end,
    log_refused,
    settle,
    stop,
    typical_time,
)
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.quarantine import Quarantine
from hornbeamgw.daemon.server_answer import SERVER_ERROR
from hornbeamgw.daemon.server_exchange import RETRY_AFTER_UNREACHABLE_MS, ServerExchange

log = logging.getLogger(__name__)


class RunContext(NamedTuple):
    """What the runs of the servers behind one gate have in common.

    Attributes
    ----------
    snapshot : callable
        Returns the snapshot in force.
    dialect : Dialect
        Headers that the servers understand.
    policy : str
        Name of the queueing policy.
    pacer : Pacer
        Shares the bandwidth of this VM among answers.
    quarantine : Quarantine
        Knows the fingerprints of requests that are not to run.
    exposure_state : ExposureState
        Knows whether a rollout has closed the servers of a version to non-idempotent requests.
    counts : Counter
        Counters of the gate.
    transfers : TransferState
        Sizes of the answers of each route.
    records_by_attempt : OrderedDict
        Records of attempts, by which duplicates are refused whichever run they are for.
    refusal_at_start : callable
        Returns why an attempt that leaves the queue may not start any more, or None.
    on_server_change : callable
        Called when the state of the server changes.
    on_leaving : callable
        Called with the instance when its answers first say that it leaves.
    on_replaced : callable
        Called with the instance when another one has answered at its address.
    on_attempt_removed : callable
        Called after an attempt was removed.
    """

    snapshot: Callable[[], Snapshot]
    dialect: Dialect
    policy: str
    pacer: Pacer
    quarantine: Quarantine
    exposure_state: ExposureState
    counts: Counter[str]
    transfers: TransferState
    records_by_attempt: OrderedDict[AttemptId, AttemptRecord]
    refusal_at_start: Callable[[GateAttempt], Failure | None]
    on_server_change: Callable[[], None]
    on_leaving: Callable[[str], None]
    on_replaced: Callable[[str], None]
    on_attempt_removed: Callable[[], None]


class ServerRun:
    """One run of a backend server: its queue, connections and requests, and what is known of it.

    Attributes
    ----------
    announcement : Announcement or None
        Current announcement; None before the first one, and while the server is removed.
    last_announcement : Announcement or None
        Latest announcement of this run, also after the server was removed.
    attempts_by_id : dict
        The attempts that are queued, running or sending their answers.
    """

    def __init__(self, context: RunContext, former_process: FormerProcess | None = None) -> None:
        """Create a run that is not announced yet.

        Its slots are held for requests that `former_process`, if given, may have sent to it.
        """
        self.announcement: Announcement | None = None
        self.last_announcement: Announcement | None = None
        self.attempts_by_id: dict[AttemptId, GateAttempt] = {}
        self.state = AdmissionState(context.policy, context.records_by_attempt)
        self._context = context
        self._counts = context.counts
        self.declarations = ServerDeclarations(
            context.dialect, context.counts, self.state, self.start_queued, self._on_leaving
        )
        self.exchange = ServerExchange(
            self.state,
            context.dialect,
            context.pacer,
            context.counts,
            self._on_stalled,
            self._on_crash,
            self._on_replaced,
            self.declarations,
            context.transfers,
        )
        self.abandoned = AbandonedRequests(
            self.state,
            self.exchange.pool,
            context.counts,
            on_closed=lambda now: self.consider_check(self.state.service, now),
        )
        self._slot_checker = SlotChecker(
            self.state, self.exchange.pool, context.counts, self._on_slot_check
        )
        self.hold = FormerHold(self.state, context.counts, context.dialect, former_process)
        self._answer_counts = AnswerCounts()
        self._has_crashed = False
        self._is_superseded = False
        self._recheck: asyncio.TimerHandle | None = None
        self._refreshed_for: Snapshot | None = None

    # The server

    def announce(self, announcement: Announcement, is_stopping: bool) -> None:
        """Register the server or renew its registration; it drains if `is_stopping`."""
        now = asyncio.get_running_loop().time()
        previous = self.announcement
        if self.last_announcement is None:
            self.exchange.instance = announcement.instance
            self.state.service = announcement.service
            self.declarations.begin_run(announcement)
            self.hold.watch(announcement)
        self._is_superseded = False
        # An announcement shows that the server runs, even if connections to it were lost.
        breaker.note_sound(self.exchange.breaker)
        self.state.habits.alive_at = now
        draining = is_stopping or self.state.server_state is ServerState.DRAINING
        draining |= self.declarations.is_leaving
        if draining and announcement.state is not ServerState.DRAINING:
            announcement = announcement._replace(state=ServerState.DRAINING)
        self.announcement = self.last_announcement = announcement
        self.state.slots = announcement.slots
        self.state.warm_at = announcement.warm_at
        self.exchange.pool.open(announcement.address, announcement.connections)
        if announcement.state is ServerState.DRAINING and not draining:
            self.drain("announced by the backend server")
        self.state.server_state = announcement.state
        self.hold.update(self._context.snapshot(), now)
        if previous is None or not is_renewal(previous, announcement):
            log.info("backend server announced", extra={"announcement": announcement._asdict()})
            self._context.on_server_change()

    def remove(self) -> None:
        """Remove the server: refuse what has not been sent to it; the rest may complete."""
        self.announcement = None
        self.exchange.pool.close()
        self._refuse_queue(ServerState.NONE, Reason.NO_BACKEND)
        self._context.on_server_change()

    def end(self, why: str, is_over: bool) -> None:
        """End the run because another one was announced at the address.

        The requests that were sent may complete unless the process `is_over`.
        """
        log.info(
            "another backend server process announced; discarding the state of the previous one",
            extra={"why": why, "is_over": is_over, "queued": len(self.state.queue)},
        )
        self._is_superseded = True
        self.announcement = None
        self.hold.end("another server process")
        self.exchange.pool.close()
        if self._recheck is not None:
            self._recheck.cancel()
            self._recheck = None
        self._refuse_queue(ServerState.NONE, Reason.NO_BACKEND)
        if not is_over:
            return
        self.abandoned.release()
        for attempt in list(self.attempts_by_id.values()):
            if attempt.task is not None and not attempt.task.done():
                attempt.stop_failure = _failure_at_end(attempt, why)
                stop(attempt)

    def drain(self, why: str) -> None:
        """Admit no more requests; running ones complete."""
        log.info("drain begins", extra={"why": why, "running": len(self.attempts_by_id)})
        self._refuse_queue(ServerState.DRAINING, Reason.DRAINING)
        if self.announcement is not None:
            self.announcement = self.announcement._replace(state=ServerState.DRAINING)
        self._context.on_server_change()

    def _refuse_queue(self, state: ServerState, reason: Reason) -> None:
        now = asyncio.get_running_loop().time()
        self.apply(admission.close(self.state, state, reason, now))

    def expedite(self) -> None:
        """Send answers before all else because the daemon stops."""
        self.exchange.is_daemon_stopping = True
        for attempt in self.attempts_by_id.values():
            if attempt.outgoing is not None:
                attempt.outgoing.expedite()

    def _on_leaving(self, instance: str) -> None:
        # A later run may have the same name.
        if self._is_superseded:
            return
        if self.announcement is not None and self.state.server_state is not ServerState.DRAINING:
            self.drain("declared by the backend server")
        self._context.on_leaving(instance)

    def _on_replaced(self, instance: str) -> None:
        if not self._is_superseded:
            self._context.on_replaced(instance)

    def _on_crash(self, fingerprints: Sequence[int]) -> None:
        self.abandoned.release()
        if self._is_superseded or (self.exchange.instance and self._has_crashed):
            return
        self._has_crashed = True
        self._counts["server_ended"] += 1
        ran = [as_text(fingerprint) for fingerprint in fingerprints]
        log.warning(
            "backend server lost a connection and refuses new ones; treating it as crashed",
            extra={"instance": self.exchange.instance, "ran": ran},
        )
        self._context.quarantine.record_crash(fingerprints)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is queued, answered, or may still use a slot of the server."""
        return not self.attempts_by_id and not self.state.running_by_attempt

    # Admission

    def refresh_from_snapshot(self) -> None:
        """Take reserved slots and the weights of organisations from the snapshot in force."""
        snapshot, service = self._context.snapshot(), self.state.service
        if self._refreshed_for is snapshot:
            return
        self._refreshed_for = snapshot
        self.state.fairness.weights_by_organisation = fairness.weights(
            snapshot.organisations_by_name
        )
        self.state.reserved_by_entry = {
            route.entry.name: route.entry.limits.reserved
            for routes_by_prefix in snapshot.routes_by_host.values()
            for routes in routes_by_prefix.values()
            for route in routes
            if route.entry.limits.reserved
            and any(destination.service == service for destination in route.destinations)
        }

    def add(self, attempt: GateAttempt, decision: Admitted | admission.Queued) -> None:
        """Start or queue an attempt that was accepted."""
        self.attempts_by_id[attempt.id] = attempt
        self.exchange.promise(attempt)
        self.apply([decision])

    def start_queued(self) -> None:
        """Start queued requests as slots are free, and refuse those that may no longer wait."""
        now = asyncio.get_running_loop().time()
        self.apply(admission.next_decisions(self.state, now))

    def apply(self, decisions: Sequence[Decision]) -> None:
        """Carry out decisions of admission on attempts of this run."""
        for decision in decisions:
            attempt = self.attempts_by_id.get(decision.request.attempt)
            if attempt is None:
                continue
            if isinstance(decision, Admitted):
                self._start(attempt, decision.request.deadline)
            elif isinstance(decision, Refused):
                self.refuse(attempt, decision.failure)

    def refuse(self, attempt: GateAttempt, failure: Failure) -> None:
        """Refuse an attempt that was queued."""
        self._counts[f"refused.{failure.reason}"] += 1
        self.send_failure(attempt, failure)
        self.remove_attempt(attempt)

    def send_failure(self, attempt: GateAttempt, failure: Failure) -> None:
        """Send the failure of an attempt to the caller's daemon."""
        free, wait_ms = self.exchange.load()
        if failure.reason is Reason.RATE_LIMITED:
            # The other daemon need not try again before the caller may.
            wait_ms = max(wait_ms, failure.retry_after_ms)
        if attempt.task is None:
            log_refused(attempt, failure, wait_ms, self.state)
        attempt.link.send(frames.Refusal(attempt.call.attempt, failure, free, wait_ms))

    def remove_attempt(self, attempt: GateAttempt) -> None:
        """Forget an attempt that has ended."""
        settle(attempt)
        self.attempts_by_id.pop(attempt.id, None)
        self._context.on_attempt_removed()

    def consider_check(self, service: str, now: float) -> None:
        """Send a health check if it may find a free slot."""
        path = self._context.snapshot().health_paths_by_service.get(service)
        self._slot_checker.consider(path, now)

    def _on_slot_check(self) -> None:
        """Start a queued request if a check has found a free slot, and check again for others."""
        now = asyncio.get_running_loop().time()
        self.hold.update(self._context.snapshot(), now)
        self.start_queued()
        due_at = former_work.check_due_at(self.state, now)
        if self.state.queue and due_at is not None and self._recheck is None:
            self._recheck = asyncio.get_running_loop().call_at(due_at, self._check_again)

    def _check_again(self) -> None:
        self._recheck = None
        if self.state.queue:
            self.consider_check(self.state.service, asyncio.get_running_loop().time())

    # Attempts

    def _start(self, attempt: GateAttempt, deadline: float) -> None:
        self._counts["admitted"] += 1
        started = asyncio.get_running_loop().time()
        attempt.deadline = deadline
        attempt.started_at = started
        attempt.task = asyncio.create_task(self._run(attempt, deadline))
        attempt.task.add_done_callback(lambda task: self._finish(attempt, started, task))

    async def _run(self, attempt: GateAttempt, deadline: float) -> Failure | None:
        refusal = self._context.refusal_at_start(attempt)
        if refusal is not None:
            return refusal
        try:
            async with asyncio.timeout_at(deadline) as attempt.limit:
                return await self.exchange.run(attempt)
        except TimeoutError:
            return may_have_run(Reason.DEADLINE, "the deadline passed while it ran")
        except Exception as error:
            log.exception(
                "attempt failed with an unexpected error", extra={"call_id": attempt.call.call_id}
            )
            return may_have_run(Reason.BACKEND_BROKE, repr(error))

    def _finish(
        self, attempt: GateAttempt, started: float, task: asyncio.Task[Failure | None]
    ) -> None:
        """Free the slot and report a failure.

        This is a callback because a task that is cancelled before its first step runs no code.
        """
        if task.cancelled():
            default_failure = may_have_run(Reason.CALLER_GONE, "cancelled while it ran")
            failure: Failure | None = attempt.stop_failure or default_failure
        else:
            failure = task.result()
        now = asyncio.get_running_loop().time()
        log_end(attempt, failure, now)
        self._answer_counts.count_ended(attempt, failure, self.state.warm_at, now)
        if failure is None and attempt.status < SERVER_ERROR:
            self._context.quarantine.record_answer(attempt.call.fingerprint)
        if failure is not None and failure.reason in (Reason.CALLER_GONE, Reason.DEADLINE):
            self.exchange.crash_detector.record_abandoned(attempt.call.fingerprint)
        decisions: list[Decision] = []
        was_processed = failure is None or failure.reason is Reason.DEADLINE
        if attempt.abandoned is not None and attempt.stop_failure is None:
            self._abandon(attempt, attempt.abandoned, was_processed, now)
        else:
            if attempt.abandoned is not None:
                self.exchange.pool.discard(attempt.abandoned)
            decisions = admission.finish(self.state, attempt.id, started, now, was_processed)
        if failure is not None:
            self._counts[f"failed.{failure.reason}"] += 1
            self.send_failure(attempt, failure)
        self._remove_when_sent(attempt, failure)
        self.apply(decisions)

    def _abandon(
        self, attempt: GateAttempt, connection: HttpConnection, has_expired: bool, now: float
    ) -> None:
        """Keep the slot of a request that was cut off until the server has ended the work.

        `has_expired` is whether its deadline has passed.
        """
        started = attempt.started_at
        cut = CutRequest(attempt.call.route, started, now, typical_time(attempt.call))

        def on_ended(was_answered: bool) -> None:
            ended_at = asyncio.get_running_loop().time()
            was_processed = was_answered or has_expired
            decisions = admission.finish(
                self.state, attempt.id, started, ended_at, was_processed, is_cut=not was_answered
            )
            self.apply(decisions)

        self.abandoned.watch(attempt.id, attempt.call.call_id, cut, connection, on_ended)

    def _remove_when_sent(self, attempt: GateAttempt, failure: Failure | None) -> None:
        """Remove an attempt after the rest of its answer is sent, or immediately if it failed."""
        outgoing = attempt.outgoing
        if outgoing is None or outgoing.task.done() or failure is not None:
            if outgoing is not None:
                outgoing.stop()
            self.remove_attempt(attempt)
            return
        outgoing.task.add_done_callback(lambda _: self.remove_attempt(attempt))

    def _on_stalled(self, attempt: GateAttempt) -> None:
        self._counts["stalled_answers"] += 1
        failure = may_have_run(Reason.DEADLINE, "the caller's daemon took no more of the answer")
        log.warning(
            "answer was not sent completely in time; discarding the rest",
            extra={"call_id": attempt.call.call_id},
        )
        self.send_failure(attempt, failure)

    # Rollouts

    def is_closed_by_rollout(self) -> bool:
        """Return whether a rollout has closed the server to non-idempotent requests."""
        announced = self.announcement
        if announced is None:
            return False
        state = self._context.exposure_state
        return exposure.closed_step(state, announced.service, announced.software) > 0

    def tally(self, number: int, announced: Announcement) -> Tally:
        """Return the answer counts by route, and the number of requests that prevent a safe stop.

        Those are unfinished non-idempotent requests, counted if a rollout has closed the server.
        `number` is the server's number and `announced` its announcement.
        """
        state = self._context.exposure_state
        closed = exposure.closed_step(state, announced.service, announced.software)
        unsafe = sum(not attempt.call.idempotent for attempt in self.attempts_by_id.values())
        counts = dict(self._answer_counts.by_route)
        return Tally(
            announced.service, number, announced.software, counts, closed, unsafe if closed else 0
        )

    def count_overdue(self, now: float) -> None:
        """Count running attempts that already exceed the threshold for a slow answer."""
        attempts = self.attempts_by_id.values()
        self._answer_counts.count_overdue(attempts, self.state.warm_at, now)


def _failure_at_end(attempt: GateAttempt, why: str) -> Failure:
    """Return the failure of a started attempt whose server process has ended."""
    if has_reached_server(attempt):
        return may_have_run(Reason.BACKEND_BROKE, why)
    return not_run(Reason.BACKEND_UNREACHABLE, why, RETRY_AFTER_UNREACHABLE_MS)
