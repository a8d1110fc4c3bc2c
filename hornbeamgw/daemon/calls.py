"""Calls: accept requests from callers, choose backend servers, retry, and answer."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import h11

from hornbeamgw.core import (
    balancing,
    caller_retries,
    exposure,
    pacing,
    placement,
    retry_budget,
    retrying,
    sampling,
    split,
    stopping,
    transfers,
)
from hornbeamgw.core.balancing import Candidate
from hornbeamgw.core.caller_retries import ReturnState
from hornbeamgw.core.exposure import ExposureState
from hornbeamgw.core.link_admission import TimeLeft
from hornbeamgw.core.retry_budget import BudgetState
from hornbeamgw.core.snapshot import (
    ANONYMOUS,
    Caller,
    Organisation,
    Route,
    Snapshot,
    match_route,
)
from hornbeamgw.core.split import SplitState
from hornbeamgw.core.target import parse_target
from hornbeamgw.core.verdict import Failure, Reason, Verdict, may_have_run, not_run
from hornbeamgw.daemon import frames, heads, relay
from hornbeamgw.daemon.attempts import (
    Attempt,
    CallerGone,
    DaemonStopping,
    DeadlineExpired,
    Event,
    LinkGone,
    LinkReplaced,
    Links,
    LinkSilent,
)
from hornbeamgw.daemon.call import (
    Call,
    Identity,
    MeshView,
    call_id_of,
    earliest_retry_ms,
    fingerprint_of_call,
    forwarded_headers,
    int_header,
    log_end,
    log_refused,
    objective_left_ms,
    placement_record,
    release_reservation,
    without_identity,
)
from hornbeamgw.daemon.failures import send_failure
from hornbeamgw.daemon.flow import Pacer, Promise
from hornbeamgw.daemon.histograms import Histograms
from hornbeamgw.daemon.http1 import ConnectionLost, Headers, HttpConnection, header
from hornbeamgw.daemon.http_server import BadRequest
from hornbeamgw.daemon.link import LinkLost
from hornbeamgw.daemon.progress import Progress, Unfinished, unfinished
from hornbeamgw.daemon.quarantine import Quarantine
from hornbeamgw.daemon.request_body import read_body, send_continue
from hornbeamgw.daemon.server_answer import SERVER_ERROR
from hornbeamgw.daemon.servers import Servers
from hornbeamgw.daemon.silence.link_pool import LinkUnanswered

if TYPE_CHECKING:
    from hornbeamgw.daemon.organisation_use import OrganisationUse
    from hornbeamgw.daemon.quotas import Quotas

__all__ = ["Calls", "Identity", "MeshView"]

log = logging.getLogger(__name__)

# The gate's deadline is earlier by this ratio of the remaining time, so that its failure arrives
# before the call expires here.
GATE_MARGIN_RATIO = 0.05
GATE_MARGIN_MAX_S = 0.02
NOT_READY_RETRY_MS = 1000
NO_SERVER_RETRY_MS = 200
STOPPING_RETRY_MS = 20
# Allows one round trip between data centres for the answer to a cancel frame.
CANCEL_TIMEOUT_S = 0.1
# Time in which a daemon answers on a new link whether it has admitted a request.
QUESTION_TIMEOUT_S = 0.2
MAX_RETRY_BUDGET = 10
# Servers that are at their rate limits are full for a known time, and others may be idle.
MAX_RATE_LIMIT_REFUSALS = sampling.QUERY_ABOVE_SERVERS
SERVER_FAULT_REASONS = frozenset(
    {Reason.BACKEND_BROKE, Reason.BACKEND_REFUSED, Reason.BACKEND_UNREACHABLE, Reason.LINK_LOST}
)
# Retry delays sent to callers are lengthened by a random ratio up to this one, so that callers
# refused at the same time don't retry at the same time.
RETRY_AFTER_SPREAD_RATIO = 0.5
# A call only fails over to another server if this ratio of the latency objective is left; about the
# initial estimate of the service time (service_times.INITIAL_TIME_RATIO).
FAILOVER_MIN_OBJECTIVE_RATIO = 0.3
RETRY_AFTER_MIN_MS = 10


class Calls:
    """Handles the requests of callers: chooses servers, makes attempts and sends the answers."""

    def __init__(
        self,
        view: Callable[[], MeshView],
        links: Links,
        servers: Servers,
        replay_limit: int,
        rng: random.Random,
        identity: Identity,
        budget: BudgetState,
        retry_ratio: Callable[[], float],
        pacer: Pacer,
        quarantine: Quarantine,
        exposure_state: ExposureState,
        snapshot: Callable[[], Snapshot],
        version_age: Callable[[], float | None],
    ) -> None:
        """Create a handler without active calls.

        Parameters
        ----------
        view : callable
            Returns the current snapshot and members.
        links : Links
            Links to other daemons.
        servers : Servers
            Chooses the server of each attempt.
        replay_limit : int
            Bytes of a request body up to which it is buffered for retries.
        rng : random.Random
            Used for random choices and delays.
        identity : Identity
            Header dialect and service name of this daemon.
        budget : BudgetState
            Retry budget of the fleet.
        retry_ratio : callable
            Returns the ratio of requests running at the local servers that are retries.
        pacer : Pacer
            Shares the bandwidth of this VM among answers.
        quarantine : Quarantine
            Knows the fingerprints of requests that are not to be sent.
        exposure_state : ExposureState
            Counts the requests that reach new server versions during rollouts.
        snapshot : callable
            Returns the snapshot in force.
        version_age : callable
            Returns the time in seconds since that snapshot came into force, None if it is unknown.
        """
        self._snapshot = snapshot
        self._version_age = version_age
        self._identity = identity
        self._dialect = identity.dialect
        self._budget = budget
        self._retry_ratio = retry_ratio
        self._pacer = pacer
        self._quarantine = quarantine
        self._exposure_state = exposure_state
        self._splits = SplitState()
        self.counts: Counter[str] = Counter()
        self.histograms = Histograms()
        self.organisation_use: OrganisationUse | None = None
        self.quotas: Quotas | None = None
        self.draining = False
        self._stop: stopping.Plan | None = None
        self._active_calls: set[Call] = set()
        self._view = view
        self._links = links
        self._servers = servers
        self._caller_retry_state = ReturnState()
        self._replay_limit = replay_limit
        self._rng = rng

    async def on_request(self, connection: HttpConnection, request: h11.Request) -> None:
        """Answer one request from a caller."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        arrived_at = now if connection.arrived_at is None else connection.arrived_at
        view = self._view()
        call_id = call_id_of(request, self._dialect.call_id)
        call = self._accept(view, request, call_id, arrived_at)
        organisation = None
        if isinstance(call, Call):
            call.requests_ahead = connection.requests_ahead
            organisation = call.organisation
            priority = call.rank
            retry_budget.note_request(self._budget, call.service, now, priority)
            retry_ratio = self._retry_ratio()
            retry_budget.note_nested_retry(self._budget, call.service, retry_ratio, now)
            call = (
                self._refusal_while_stopping(call, view, now)
                or self._backlog_refusal(call)
                or await self._take_token(call)
                or call
            )
        if isinstance(call, Failure):
            self.counts[f"failed.{call.reason}"] += 1
            version, age = view.snapshot.version, self._version_age()
            log_refused(call_id, call, version, age, organisation)
            self._record_use(organisation, call, 0.0)
            self._fail(connection, call, call_id)
            return
        call.promise = Promise(self._pacer, self._servers.traits_of(call).size)
        try:
            await self._handle(connection, call, view, arrived_at)
        finally:
            call.promise.settle()
            release_reservation(call)
            self._return_token(call)

    async def _handle(
        self, connection: HttpConnection, call: Call, view: MeshView, started: float
    ) -> None:
        """Read the rest of an accepted call, carry it out, and answer or fail it."""
        loop = asyncio.get_running_loop()
        send_continue(connection)
        await read_body(connection, call, self._replay_limit)
        call.fingerprint = fingerprint_of_call(call, self._dialect)
        call.progress = Progress(started)
        if self.draining:
            call.urgency.mark_urgent(started)
        timer = loop.call_at(call.deadline, self._on_deadline, call)
        connection.on_lost = lambda: self._on_caller_gone(call)
        self._active_calls.add(call)
        try:
            failure = await self._attempt_until_done(connection, call, view)
        finally:
            timer.cancel()
            connection.on_lost = None
            self._active_calls.discard(call)
        owner = (call.route.entry.owner, call.route.entry.traffic_class)
        elapsed = loop.time() - started
        verdict = Verdict.ANSWERED if failure is None else failure.verdict
        self.histograms.record(owner, verdict, elapsed)
        self._record_use(call.organisation, failure, elapsed)
        self.counts[f"calls.{verdict}"] += 1
        log_end(call, failure, elapsed, view.snapshot.version)
        if failure is not None:
            self.counts[f"failed.{failure.reason}"] += 1
            self._fail(connection, failure, call.call_id)

    def is_idempotent(self, request: h11.Request) -> bool:
        """Return whether the request may run more than once; true if it would be refused."""
        view = self._view()
        host = (header(request.headers, b"host") or b"").decode("latin-1")
        try:
            host, target = parse_target(request.target.decode("latin-1"), host)
        except ValueError:
            return True
        route = match_route(view.snapshot, host, request.method.decode(), target)
        return route is None or route.idempotent

    def _closes(self, connection: HttpConnection) -> bool:
        """Return whether a response is the last one of its connection, because of a stop."""
        return self.draining and not connection.started_behind

    def stop(self, plan: stopping.Plan) -> None:
        """Close connections after their current answers, which are requested with priority."""
        self.draining = True
        self._stop = plan
        for call in self._active_calls:
            call.urgency.mark_urgent(plan.began_at)
            if call.current is not None:
                _request_priority(call.current)
        self._pacer.reorder()

    def give_up(self) -> None:
        """Fail the calls that are still unanswered when this daemon ends."""
        for call in self._active_calls:
            call.expired = call.is_given_up = True
            if call.current is not None:
                call.current.events.put(DaemonStopping())

    def _refusal_while_stopping(self, call: Call, view: MeshView, now: float) -> Failure | None:
        """Return a refusal if the daemon is stopping and the call might not end in time."""
        if self._stop is None:
            return None
        traits, pacer = self._servers.traits_of(call), self._pacer
        pending = pacer.pending + pacer.pending_for_callers
        local_transfer = transfers.transfer_time(traits.size, pending, pacer.rate)
        rate = pacing.usable_rate(self._servers.min_bandwidth(call, view))
        transfer = max(local_transfer, transfers.transfer_time(traits.size, 0, rate))
        may_begin = stopping.may_begin(self._stop, call.deadline, traits.service + transfer, now)
        if may_begin and stopping.may_send(self._stop, transfer, now):
            return None
        return not_run(Reason.DRAINING, "this daemon stops", STOPPING_RETRY_MS)

    def _backlog_refusal(self, call: Call) -> Failure | None:
        """Return a refusal if this VM's link can't send the answer in time, or before a stop."""
        traits = self._servers.traits_of(call)
        size, now = traits.size, asyncio.get_running_loop().time()
        left = TimeLeft(call.answer_by - now, call.deadline - now, call.latency_objective)
        wait = self._pacer.wait_for_room(size, traits.service, left)
        if not wait:
            return None
        self.counts["refused.backlog"] += 1
        # Callers that come back earlier than it takes to send one answer would find no room again.
        wait_ms = round(1000 * max(wait, size / self._pacer.rate))
        detail = "the link of this daemon has too much to send"
        return not_run(Reason.NO_SLOT, detail, self._spread(wait_ms))

    def unfinished(self, now: float) -> list[Unfinished]:
        """Return the calls that are being handled."""
        return [unfinished(call.call_id, call.progress, now) for call in self._active_calls]

    def _accept(
        self, view: MeshView, request: h11.Request, call_id: str, now: float
    ) -> Call | Failure:
        if not view.ready:
            return not_run(Reason.NOT_READY, "no version in force", NOT_READY_RETRY_MS)
        host = (header(request.headers, b"host") or b"").decode("latin-1")
        method = request.method.decode()
        try:
            host, target = parse_target(request.target.decode("latin-1"), host)
        except ValueError as error:
            raise BadRequest(400, str(error)) from None
        route = match_route(view.snapshot, host, method, target)
        if route is None:
            return not_run(Reason.NO_ROUTE, f"{method} {host}{target.partition('?')[0]}")
        headers = forwarded_headers(request, self._identity)
        caller = self._identify(view.snapshot, route, headers)
        if isinstance(caller, Failure):
            return caller
        if view.snapshot.organisations_by_name:
            headers = without_identity(headers, self._dialect)
        allowed_ms = int_header(request, self._dialect.deadline_ms, route.deadline_ms)
        budget = int_header(request, self._dialect.retry_budget, retrying.DEFAULT_RETRY_BUDGET)
        deadline = now + min(allowed_ms, route.deadline_ms) / 1000
        service = split.choose(self._splits, route, self._rng)
        head = heads.RequestHead(request.method, target.encode("latin-1"), headers)
        call = Call(
            call_id,
            route,
            service,
            head,
            deadline,
            min(budget, MAX_RETRY_BUDGET),
            caller,
            view.snapshot,
        )
        already_spent = caller_retries.elapsed_before(
            self._caller_retry_state, route.name, allowed_ms, now
        )
        call.is_caller_retry = already_spent > 0
        call.time_left_ms = allowed_ms
        call.answer_by = now + call.latency_objective - already_spent
        return call

    def _identify(self, snapshot: Snapshot, route: Route, headers: Headers) -> Caller | Failure:
        """Return the caller of a request that has just arrived, or why it is refused."""
        if not snapshot.organisations_by_name:
            return ANONYMOUS
        # Imported only here, to save memory if the catalogue has no organisations.
        from hornbeamgw.core.organisations import identity

        try:
            return identity.identify(snapshot, route, headers, self._dialect)
        except Exception as error:
            return self._identification_failure(error)

    def _identify_again(self, call: Call) -> Failure | None:
        """Identify the caller by the snapshot in force; return why the call is refused, if it is.

        The snapshot may have changed while the request waited or was tried before.
        """
        snapshot = self._snapshot()
        if snapshot is call.identified_by:
            return None
        if not snapshot.organisations_by_name and not call.identified_by.organisations_by_name:
            return None
        from hornbeamgw.core.organisations import identity

        headers = call.head.headers
        try:
            caller = identity.identify_again(
                snapshot, call.route, call.caller, headers, self._dialect
            )
        except Exception as error:
            return self._identification_failure(error)
        if isinstance(caller, Failure):
            return caller
        if snapshot.organisations_by_name and not call.identified_by.organisations_by_name:
            call.head = call.head._replace(headers=without_identity(headers, self._dialect))
        call.caller, call.identified_by = caller, snapshot
        return None

    async def _take_token(self, call: Call) -> Failure | None:
        """Take a token of the organisation's quota for the next attempt; return a refusal if none.

        An attempt that did not reach a server leaves its token for the next one.
        """
        organisation = call.organisation
        name = "" if organisation is None else organisation.name
        if self.quotas is None or not name or call.token_of == name:
            return None
        self._return_token(call)
        decision = self.quotas.take(name, asyncio.get_running_loop().time())
        if isinstance(decision, asyncio.Future):
            decision = await decision
        if decision.retry_after_ms is None:
            call.token_of = name
            return None
        detail = f"the quota of {name} is used up"
        return not_run(Reason.QUOTA, detail, max(RETRY_AFTER_MIN_MS, decision.retry_after_ms))

    def _return_token(self, call: Call) -> None:
        if call.token_of and self.quotas is not None:
            self.quotas.give_back(call.token_of, asyncio.get_running_loop().time())
        call.token_of = ""

    def _identification_failure(self, error: Exception) -> Failure:
        # The text of the error isn't logged, because it may contain the key.
        log.error(
            "identification failed; refusing the request", extra={"error": type(error).__name__}
        )
        return not_run(Reason.NOT_READY, "an error of the identification", NOT_READY_RETRY_MS)

    def _record_use(
        self,
        organisation: Organisation | None,
        failure: Failure | None,
        elapsed: float,
    ) -> None:
        """Record how a request of an organisation ended, or that it had no valid key."""
        if organisation is not None:
            name = organisation.name
        elif failure is not None and failure.reason is Reason.UNAUTHENTICATED:
            name = ""
        else:
            return
        if self.organisation_use is None:
            # Imported only here, to save memory if the catalogue has no organisations.
            from hornbeamgw.daemon.organisation_use import OrganisationUse

            self.organisation_use = OrganisationUse()
        self.organisation_use.record(name, failure, elapsed, time.time())

    def _on_deadline(self, call: Call) -> None:
        call.expired = True
        if call.current is not None:
            call.current.events.put(DeadlineExpired())

    def _on_caller_gone(self, call: Call) -> None:
        call.caller_gone = True
        if call.current is not None:
            call.current.events.put(CallerGone())

    async def _attempt_until_done(
        self, connection: HttpConnection, call: Call, view: MeshView
    ) -> Failure | None:
        loop = asyncio.get_running_loop()
        last_failure: Failure | None = None
        if call.requests_ahead and call.deadline <= loop.time():
            return self._failure_before_sending(call)
        while True:
            # Checked before each attempt because the request may be quarantined during one.
            refusal = self._quarantine.refusal(call.fingerprint)
            if refusal is not None:
                return retrying.combine(last_failure.verdict, refusal) if last_failure else refusal
            refusal = await self._take_token(call)
            if refusal is not None:
                return retrying.combine(last_failure.verdict, refusal) if last_failure else refusal
            chosen = await self._servers.choose(call, view)
            if chosen is None:
                return self._with_retry_after(
                    call, last_failure or self._failure_without_server(call)
                )
            if call.caller_gone or call.expired:
                return last_failure or self._failure_before_sending(call)
            failure = await self._attempt(connection, call, chosen)
            if failure is None or failure.reached_server or failure.verdict is not Verdict.NOT_RUN:
                call.token_of = ""  # used up
            if failure is None:
                return None
            if last_failure is not None:
                failure = retrying.combine(last_failure.verdict, failure)
            last_failure = failure
            call.retry_after_ms = earliest_retry_ms(call.retry_after_ms, failure.retry_after_ms)
            if call.caller_gone or call.is_body_streaming or call.is_given_up:
                return failure
            call.reached_attempts += failure.reached_server
            if failure.reason is Reason.RATE_LIMITED:
                call.limited_attempts += 1
            else:
                call.refused_attempts += not failure.reached_server
            retry = self._retry(call, failure, loop.time())
            if retry is None:
                return self._with_retry_after(call, failure)
            self.counts["retries"] += 1
            if failure.reached_server:
                await asyncio.sleep(retry.delay)
            view = self._view()._replace(snapshot=view.snapshot)

    def _with_retry_after(self, call: Call, failure: Failure) -> Failure:
        """Add a randomised retry delay to the failure of a request that did not run."""
        if failure.verdict is not Verdict.NOT_RUN or not call.retry_after_ms:
            return failure
        if failure.reason is Reason.UNAUTHENTICATED:
            return failure._replace(retry_after_ms=0)
        if failure.reason is Reason.QUOTA:
            return failure
        return failure._replace(retry_after_ms=self._spread(call.retry_after_ms))

    def _spread(self, retry_after_ms: int) -> int:
        """Return a retry delay in ms that is lengthened at random."""
        spread = self._rng.uniform(1, 1 + RETRY_AFTER_SPREAD_RATIO)
        return max(RETRY_AFTER_MIN_MS, round(retry_after_ms * spread))

    def _retry(self, call: Call, failure: Failure, now: float) -> retrying.Retry | None:
        """Return a retry if the call, the route and the retry budget of the fleet allow one."""
        if (
            call.refused_attempts >= retrying.MAX_REFUSALS
            or call.reached_attempts >= call.route.attempts
        ):
            return None
        if call.limited_attempts >= MAX_RATE_LIMIT_REFUSALS:
            return None
        remaining = call.deadline - now
        retry = retrying.plan_retry(
            failure,
            call.route.idempotent,
            len(call.placed) or 1,
            call.budget - call.reached_attempts + 1,
            remaining,
            self._rng,
        )
        if retry is None or not call.reached_attempts:
            return retry
        if not retry_budget.take_retry(self._budget, call.service, now, call.rank):
            self.counts["retries_over_budget"] += 1
            return None
        return retry

    def _may_fail_over(self, call: Call) -> bool:
        """Return whether a call whose link is silent can still be sent to another server."""
        now = asyncio.get_running_loop().time()
        is_out_of_attempts = (
            call.reached_attempts + 1 >= call.route.attempts or call.reached_attempts >= call.budget
        )
        if (
            is_out_of_attempts
            or call.deadline - now < call.latency_objective * FAILOVER_MIN_OBJECTIVE_RATIO
        ):
            return False
        has_untried = self._servers.has_untried(call, self._view(), now)
        priority = call.rank
        return has_untried and retry_budget.allows_retry(self._budget, call.service, now, priority)

    def _failure_without_server(self, call: Call) -> Failure:
        if not call.retry_after_ms:
            return _no_server_failure(call.service)
        detail = f"{len(call.tried)} of the servers asked have no room in time"
        return not_run(Reason.NO_SLOT, detail, call.retry_after_ms)

    def _failure_before_sending(self, call: Call) -> Failure:
        return not_run(Reason.CALLER_GONE if call.caller_gone else Reason.DEADLINE)

    async def _attempt(
        self, connection: HttpConnection, call: Call, chosen: Candidate
    ) -> Failure | None:
        loop = asyncio.get_running_loop()
        address = chosen.member.address
        call.tried.append(chosen.key)
        if call.why_far is not None:
            self.counts[f"far.{call.why_far.name.lower()}"] += 1
        call.placed.append(placement_record(chosen, call.why_far, loop.time()))
        try:
            link = await self._links.link_to(address)
        except LinkLost as error:
            now = loop.time()
            balancing.note_unreachable(chosen.load, now)
            silent_link = error.link if isinstance(error, LinkUnanswered) else None
            if silent_link is None or self._servers.has_untried(call, self._view(), now):
                balancing.note_failure(chosen.load, now)
                return not_run(Reason.BACKEND_UNREACHABLE, str(error), NO_SERVER_RETRY_MS)
            # The daemon may only be standing still, and no other one has a server for the call.
            link = silent_link
        now = loop.time()
        remaining = call.deadline - now
        if remaining <= 0 or call.caller_gone:
            return self._failure_before_sending(call)
        refusal = self._identify_again(call)
        if refusal is not None:
            return refusal
        server = chosen.member.server
        typical = self._servers.traits_of(call).service
        attempt = self._links.start(link, chosen.load, now, call.route.idempotent, server, typical)
        call.current = attempt
        try:
            self._send_call(attempt, call, remaining)
            if self.draining:
                _request_priority(attempt)
            exposure.record_sent(self._exposure_state, call.service, chosen.member.software)
            release_reservation(call)
            failure = await self._await_answer(connection, call, attempt, address)
            self._record_exposure(call, chosen, failure)
            return failure
        finally:
            call.current = None
            self._links.end(attempt)

    def _record_exposure(self, call: Call, chosen: Candidate, failure: Failure | None) -> None:
        """Record for rollouts whether a request has reached a server and how it ended."""
        if failure is not None and failure.verdict is Verdict.NOT_RUN:
            if failure.reached_server:
                exposure.record_reached(self._exposure_state, call.service)
            return
        exposure.record_reached(self._exposure_state, call.service)
        is_bad = (
            call.status >= SERVER_ERROR
            if failure is None
            else failure.reason in SERVER_FAULT_REASONS
        )
        exposure.record_answer(self._exposure_state, call.service, chosen.member.software, is_bad)

    def _send_call(self, attempt: Attempt, call: Call, remaining: float) -> None:
        margin = min(GATE_MARGIN_MAX_S, remaining * GATE_MARGIN_RATIO)
        frame = frames.Call(
            attempt.number,
            call.call_id,
            call.service,
            call.route.entry.name,
            call.route.idempotent,
            max(1, round((remaining - margin) * 1000)),
            call.budget,
            heads.encode_request(call.head),
            call.body,
            call.body_complete,
            call.route.name,
            objective_left_ms(call, asyncio.get_running_loop().time()),
            call.route.objective_ms,
            call.rank,
            call.is_caller_retry,
            call.reached_attempts > 0,
            call.route.entry.limits,
            call.fingerprint,
            attempt.server,
            round(attempt.typical * 1000),
            attempt.load.heard,
            self._links.former_work_ms(attempt.link, asyncio.get_running_loop().time()),
            accepts_late=call.accepts_late,
        )
        if call.organisation is not None:
            frame = frame._replace(
                organisation=call.organisation.name,
                key_digest=call.caller.key_digest,
                identified_by=call.identified_by.version,
            )
        attempt.load.sent_since_report += 1
        attempt.link.send(frame)

    async def _await_answer(
        self, connection: HttpConnection, call: Call, attempt: Attempt, address: str
    ) -> Failure | None:
        loop = asyncio.get_running_loop()
        upload: asyncio.Task[None] | None = None
        if not call.body_complete:
            upload = asyncio.create_task(relay.upload(connection, call, attempt))
        try:
            event = await self._next_event(call, attempt)
            while isinstance(event, LinkReplaced):
                failure = await self._ask_beside(call, attempt, address)
                if failure is not None:
                    return failure
                event = await self._next_event(call, attempt)
            if isinstance(event, frames.Reply):
                balancing.note_success(attempt.load)
                self._record_reply(call, attempt, event)
                await self._relay(connection, call, attempt, event)
                return None
            failure = await self._failure_of(event, attempt, address, call.deadline)
        finally:
            if upload is not None:
                upload.cancel()
        self._record_failure(attempt, failure, loop.time())
        return failure

    async def _next_event(self, call: Call, attempt: Attempt) -> Event:
        """Return the next event of an attempt that matters to the call."""
        event = await attempt.events.get()
        while isinstance(event, LinkSilent) and not self._may_fail_over(call):
            event = await attempt.events.get()
        return event

    async def _ask_beside(self, call: Call, attempt: Attempt, address: str) -> Failure | None:
        """Return a failure if an attempt on a silent link was never admitted, else None.

        Its server is not at fault, so the request may be sent there again on the new link.
        """
        now = asyncio.get_running_loop().time()
        timeout = min(QUESTION_TIMEOUT_S, call.deadline - now)
        failure = await self._links.resolve(address, attempt, now, timeout)
        if failure.verdict is not Verdict.NOT_RUN:
            return None
        call.tried = call.tried[:-1]
        return failure

    def _record_reply(self, call: Call, attempt: Attempt, reply: frames.Reply) -> None:
        now = asyncio.get_running_loop().time()
        traits = self._servers.traits_of(call)
        size = len(call.body) + relay.answer_size(reply)
        call.status = reply.status
        attempt.load.heard = reply.declared
        failed = reply.status >= SERVER_ERROR
        placement.note_outcome(attempt.load, failed, now)
        if not failed:
            placement.note_answer(traits, attempt.load, reply.service_ms / 1000, size)

    def _record_failure(self, attempt: Attempt, failure: Failure, now: float) -> None:
        if failure.reason in (Reason.BACKEND_BROKE, Reason.LINK_LOST, Reason.BACKEND_UNREACHABLE):
            balancing.note_failure(attempt.load, now)
        if failure.reason is Reason.BACKEND_UNREACHABLE:
            balancing.note_unreachable(attempt.load, now)
        if failure.reason in SERVER_FAULT_REASONS:
            placement.note_outcome(attempt.load, True, now)

    async def _failure_of(
        self, event: object, attempt: Attempt, address: str, deadline: float
    ) -> Failure:
        if isinstance(event, frames.Refusal):
            return event.failure
        if isinstance(event, LinkSilent) or (isinstance(event, LinkGone) and attempt.idempotent):
            attempt.link.send(frames.Cancel(attempt.number))
            return may_have_run(Reason.LINK_LOST, "the link is silent or lost")
        if isinstance(event, LinkGone):
            now = asyncio.get_running_loop().time()
            return await self._links.resolve(address, attempt, now, deadline - now)
        attempt.link.send(frames.Cancel(attempt.number))
        if isinstance(event, DaemonStopping):
            return await _failure_of_cancelled(attempt)
        if isinstance(event, CallerGone):
            return may_have_run(Reason.CALLER_GONE)
        return may_have_run(Reason.DEADLINE, "no answer within the deadline")

    async def _relay(
        self, connection: HttpConnection, call: Call, attempt: Attempt, reply: frames.Reply
    ) -> None:
        if call.promise is not None:
            call.promise.settle()
        try:
            close = self._closes(connection)
            await relay.send_answer(connection, call, attempt, reply, close, self._pacer)
        except (ConnectionLost, h11.LocalProtocolError) as error:
            self.counts["broken_answers"] += 1
            now = asyncio.get_running_loop().time()
            fields = unfinished(call.call_id, call.progress, now)._asdict()
            log.warning(
                "answer interrupted before its end; closing the caller's connection",
                extra={**fields, "error": str(error)},
            )
            attempt.link.send(frames.Cancel(attempt.number))
            connection.abort()

    def _fail(self, connection: HttpConnection, failure: Failure, call_id: str) -> None:
        send_failure(connection, failure, call_id, self._dialect, self._closes(connection))


async def _failure_of_cancelled(attempt: Attempt) -> Failure:
    """Return the failure that the gate reports for a cancelled attempt."""
    try:
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            while not isinstance(event := await attempt.events.get(), frames.Refusal):
                continue
    except TimeoutError:
        return may_have_run(Reason.DRAINING, "this daemon ends")
    return event.failure


def _request_priority(attempt: Attempt) -> None:
    """Ask the gate to send the answer of an attempt before other answers."""
    attempt.link.send(frames.Credit(attempt.number, 0, urgent=True))


def _no_server_failure(service: str) -> Failure:
    detail = f"no backend server of {service} is known"
    return not_run(Reason.NO_BACKEND, detail, NO_SERVER_RETRY_MS)
