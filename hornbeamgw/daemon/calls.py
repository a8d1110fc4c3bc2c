"""Calls: take requests of callers, choose backend servers, retry, and answer."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable

import h11

from hornbeamgw.core import (
    balancing,
    caller_retries,
    exposure,
    pacing,
    placement,
    retry_budget,
    retrying,
    split,
    stopping,
    transfers,
)
from hornbeamgw.core.balancing import Candidate
from hornbeamgw.core.caller_retries import ReturnState
from hornbeamgw.core.exposure import ExposureState
from hornbeamgw.core.retry_budget import BudgetState
from hornbeamgw.core.snapshot import match_route
from hornbeamgw.core.split import SplitState
from hornbeamgw.core.target import parse_target
from hornbeamgw.core.verdict import Failure, Reason, Verdict, may_have_run, not_run
from hornbeamgw.daemon import frames, heads, relay
from hornbeamgw.daemon.attempts import (
    Attempt,
    CallerGone,
    Ending,
    Expired,
    LinkDoubted,
    LinkGone,
    Links,
)
from hornbeamgw.daemon.call import (
    Call,
    Identity,
    View,
    call_id_of,
    fingerprint_of_call,
    log_end,
    log_refused,
    number_of,
    objective_left_ms,
    passed_on,
    placed_at,
    sooner,
)
from hornbeamgw.daemon.failures import send_failure
from hornbeamgw.daemon.flow import Pacer
from hornbeamgw.daemon.histograms import Histograms
from hornbeamgw.daemon.http1 import ConnectionLost, HttpConnection, header
from hornbeamgw.daemon.http_server import BadRequest
from hornbeamgw.daemon.link import LinkLost
from hornbeamgw.daemon.progress import Progress, Unfinished, unfinished
from hornbeamgw.daemon.quarantine import Quarantine
from hornbeamgw.daemon.request_body import read_body, send_continue
from hornbeamgw.daemon.server_answer import SERVER_ERROR
from hornbeamgw.daemon.servers import Servers

__all__ = ["Calls", "Identity", "View"]

log = logging.getLogger(__name__)

GATE_MARGIN = 0.05
GATE_MARGIN_MAX_S = 0.02
NOT_READY_RETRY_MS = 1000
NO_ENDPOINT_RETRY_MS = 200
STOPPING_RETRY_MS = 20
# The answer to a cancel takes a round trip.
CANCEL_TIMEOUT_S = 0.1
MAX_RETRY_BUDGET = 10
# A refusal by a daemon beside a backend server costs nothing there, so others may be asked;
# three ask every server of a service of today's sizes that is worth asking.
MAX_REFUSALS = 3
SERVER_FAULTS = frozenset(
    {Reason.BACKEND_BROKE, Reason.BACKEND_REFUSED, Reason.BACKEND_UNREACHABLE, Reason.LINK_LOST}
)
# Callers that come back at the same moment would be refused again; they are told to spread
# their returns over this part of the wait.
RETURN_SPREAD = 0.5
# A server that is asked anew needs a third of the objective (service_times.INITIAL_TIME_RATIO).
LEAST_PART_TO_GO_ELSEWHERE = 0.3
RETURN_MIN_MS = 10


class Calls:
    """Own the callers' connections and what this daemon saw of each backend server."""

    def __init__(
        self,
        view: Callable[[], View],
        links: Links,
        servers: Servers,
        replay_limit: int,
        rng: random.Random,
        identity: Identity,
        budget: BudgetState,
        repeat_share: Callable[[], float],
        pacer: Pacer,
        quarantine: Quarantine,
        exposed: ExposureState,
    ) -> None:
        """Take the view to decide on, the links to other daemons and what chooses servers."""
        self._identity = identity
        self._dialect = identity.dialect
        self._budget = budget
        self._repeat_share = repeat_share
        self._pacer = pacer
        self._quarantine = quarantine
        self._exposed = exposed
        self._splits = SplitState()
        self.counts: Counter[str] = Counter()
        self.histograms = Histograms()
        self.draining = False
        self._stop: stopping.Plan | None = None
        self._under_way: set[Call] = set()
        self._view = view
        self._links = links
        self._servers = servers
        self._returns = ReturnState()
        self._replay_limit = replay_limit
        self._rng = rng

    async def on_request(self, connection: HttpConnection, request: h11.Request) -> None:
        """Answer one request of a caller."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        view = self._view()
        call_id = call_id_of(request, self._dialect.call_id)
        found = self._open(view, request, call_id, started)
        if isinstance(found, Call):
            priority = found.route.priority
            retry_budget.note_request(self._budget, found.service, started, priority)
            share = self._repeat_share()
            retry_budget.note_nested_retry(self._budget, found.service, share, started)
            found = self._refused_by_stop(found, view, started) or found
        if isinstance(found, Failure):
            self.counts[f"failed.{found.reason}"] += 1
            log_refused(call_id, found, view.snapshot.version)
            self._fail(connection, found, call_id)
            return
        send_continue(connection)
        await read_body(connection, found, self._replay_limit)
        found.fingerprint = fingerprint_of_call(found, self._dialect)
        found.progress = Progress(started)
        if self.draining:
            found.urgency.mark_urgent(started)
        timer = loop.call_at(found.deadline, self._expire, found)
        connection.on_lost = lambda: self._leave(found)
        self._under_way.add(found)
        try:
            failure = await self._attempt_until_done(connection, found, view)
        finally:
            timer.cancel()
            connection.on_lost = None
            self._under_way.discard(found)
        owner = (found.route.entry.owner, found.route.entry.traffic_class)
        elapsed = loop.time() - started
        verdict = Verdict.ANSWERED if failure is None else failure.verdict
        self.histograms.record(owner, verdict, elapsed)
        self.counts[f"calls.{verdict}"] += 1
        log_end(found, failure, elapsed, view.snapshot.version)
        if failure is not None:
            self.counts[f"failed.{failure.reason}"] += 1
            self._fail(connection, failure, call_id)

    def stop(self, plan: stopping.Plan) -> None:
        """Close each connection after its answer, and ask for answers to be sent first."""
        self.draining = True
        self._stop = plan
        for call in self._under_way:
            call.urgency.mark_urgent(plan.began_at)
            if call.current is not None:
                _hurry(call.current)
        self._pacer.reorder()

    def give_up(self) -> None:
        """Tell callers what is known of the calls that have no answer as this daemon ends."""
        for call in self._under_way:
            call.expired = call.is_given_up = True
            if call.current is not None:
                call.current.events.put(Ending())

    def _refused_by_stop(self, call: Call, view: View, now: float) -> Failure | None:
        """Refuse a call that could outlast this daemon."""
        if self._stop is None:
            return None
        traits, pacer = self._servers.traits_of(call), self._pacer
        pending = pacer.pending + pacer.pending_for_callers
        here = transfers.transfer_time(traits.size, pending, pacer.rate)
        rate = pacing.usable_rate(self._servers.min_bandwidth(call, view))
        transfer = max(here, transfers.transfer_time(traits.size, 0, rate))
        may_begin = stopping.may_begin(self._stop, call.deadline, traits.service + transfer, now)
        if may_begin and stopping.may_send(self._stop, transfer, now):
            return None
        return not_run(Reason.DRAINING, "this daemon stops", STOPPING_RETRY_MS)

    def unfinished(self, now: float) -> list[Unfinished]:
        """Return the calls of callers that are under way."""
        return [unfinished(call.call_id, call.progress, now) for call in self._under_way]

    def _open(self, view: View, request: h11.Request, call_id: str, now: float) -> Call | Failure:
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
        allowed = number_of(request, self._dialect.deadline_ms, route.deadline_ms)
        budget = number_of(request, self._dialect.retry_budget, retrying.DEFAULT_RETRY_BUDGET)
        deadline = now + min(allowed, route.deadline_ms) / 1000
        service = split.choose(self._splits, route, self._rng)
        head = heads.RequestHead(
            request.method, target.encode("latin-1"), passed_on(request, self._identity)
        )
        call = Call(call_id, route, service, head, deadline, min(budget, MAX_RETRY_BUDGET))
        before = caller_retries.elapsed_before(self._returns, route.name, allowed, now)
        call.came_back = before > 0
        call.time_left_ms = allowed
        call.objective = now + call.aim - before
        return call

    def _expire(self, call: Call) -> None:
        call.expired = True
        if call.current is not None:
            call.current.events.put(Expired())

    def _leave(self, call: Call) -> None:
        call.caller_gone = True
        if call.current is not None:
            call.current.events.put(CallerGone())

    async def _attempt_until_done(
        self, connection: HttpConnection, call: Call, view: View
    ) -> Failure | None:
        loop = asyncio.get_running_loop()
        last: Failure | None = None
        while True:
            # Looked at before each attempt: what ends servers is mostly told of during one.
            refusal = self._quarantine.refusal(call.fingerprint)
            if refusal is not None:
                return retrying.combine(last.verdict, refusal) if last else refusal
            chosen = await self._servers.choose(call, view)
            if chosen is None:
                return self._with_return(call, last or self._unplaced(call))
            if call.caller_gone or call.expired:
                return last or self._too_late(call)
            failure = await self._attempt(connection, call, chosen)
            if failure is None:
                return None
            if last is not None:
                failure = retrying.combine(last.verdict, failure)
            last = failure
            call.retry_after_ms = sooner(call.retry_after_ms, failure.retry_after_ms)
            if call.caller_gone or call.started_stream or call.is_given_up:
                return failure
            call.arrivals += failure.reached_server
            call.refusals += not failure.reached_server
            retry = self._retry(call, failure, loop.time())
            if retry is None:
                return self._with_return(call, failure)
            self.counts["retries"] += 1
            if failure.reached_server:
                await asyncio.sleep(retry.delay)
            view = self._view()._replace(snapshot=view.snapshot)

    def _with_return(self, call: Call, failure: Failure) -> Failure:
        """Tell a caller whose request did not run when there will be room, each a bit later."""
        if failure.verdict is not Verdict.NOT_RUN or not call.retry_after_ms:
            return failure
        spread = self._rng.uniform(1, 1 + RETURN_SPREAD)
        wait = max(RETURN_MIN_MS, round(call.retry_after_ms * spread))
        return failure._replace(retry_after_ms=wait)

    def _retry(self, call: Call, failure: Failure, now: float) -> retrying.Retry | None:
        """Return a retry where the call, the route and the fleet's budget allow one."""
        if call.refusals >= MAX_REFUSALS or call.arrivals >= call.route.attempts:
            return None
        remaining = call.deadline - now
        retry = retrying.plan_retry(
            failure,
            call.route.idempotent,
            len(call.placed) or 1,
            call.budget - call.arrivals + 1,
            remaining,
            self._rng,
        )
        if retry is None or not call.arrivals:
            return retry
        if not retry_budget.take_retry(self._budget, call.service, now, call.route.priority):
            self.counts["retries_over_budget"] += 1
            return None
        return retry

    def _may_go_elsewhere(self, call: Call) -> bool:
        """Return whether a call whose link fell silent could still be served by another server."""
        now = asyncio.get_running_loop().time()
        is_bound_by_route = call.arrivals + 1 >= call.route.attempts or call.arrivals >= call.budget
        if is_bound_by_route or call.deadline - now < call.aim * LEAST_PART_TO_GO_ELSEWHERE:
            return False
        has_untried = self._servers.has_untried(call, self._view(), now)
        priority = call.route.priority
        return has_untried and retry_budget.allows_retry(self._budget, call.service, now, priority)

    def _unplaced(self, call: Call) -> Failure:
        if not call.retry_after_ms:
            return _no_server(call.service)
        detail = f"{len(call.tried)} of the servers asked have no room in time"
        return not_run(Reason.NO_SLOT, detail, call.retry_after_ms)

    def _too_late(self, call: Call) -> Failure:
        return not_run(Reason.CALLER_GONE if call.caller_gone else Reason.DEADLINE)

    async def _attempt(
        self, connection: HttpConnection, call: Call, chosen: Candidate
    ) -> Failure | None:
        loop = asyncio.get_running_loop()
        address = chosen.member.address
        call.tried.append(chosen.key)
        if call.why_far is not None:
            self.counts[f"far.{call.why_far.name.lower()}"] += 1
        call.placed.append(placed_at(chosen, call.why_far, loop.time()))
        try:
            link = await self._links.link_to(address)
        except LinkLost as error:
            balancing.note_failure(chosen.load, loop.time())
            balancing.note_unreachable(chosen.load, loop.time())
            return not_run(Reason.BACKEND_UNREACHABLE, str(error), NO_ENDPOINT_RETRY_MS)
        now = loop.time()
        remaining = call.deadline - now
        if remaining <= 0 or call.caller_gone:
            return self._too_late(call)
        server = chosen.member.server
        attempt = self._links.start(link, chosen.load, now, call.route.idempotent, server)
        call.current = attempt
        try:
            self._send_call(attempt, call, remaining)
            if self.draining:
                _hurry(attempt)
            exposure.record_sent(self._exposed, call.service, chosen.member.software)
            failure = await self._await_answer(connection, call, attempt, address)
            self._note_exposed(call, chosen, failure)
            return failure
        finally:
            call.current = None
            self._links.end(attempt)

    def _note_exposed(self, call: Call, chosen: Candidate, failure: Failure | None) -> None:
        """Count a request that has reached a server, and what became of it."""
        if failure is not None and failure.verdict is Verdict.NOT_RUN:
            if failure.reached_server:
                exposure.record_reached(self._exposed, call.service)
            return
        exposure.record_reached(self._exposed, call.service)
        is_bad = call.status >= SERVER_ERROR if failure is None else failure.reason in SERVER_FAULTS
        exposure.record_answer(self._exposed, call.service, chosen.member.software, is_bad)

    def _send_call(self, attempt: Attempt, call: Call, remaining: float) -> None:
        margin = min(GATE_MARGIN_MAX_S, remaining * GATE_MARGIN)
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
            call.route.priority,
            call.came_back,
            call.arrivals > 0,
            call.route.entry.limits,
            call.fingerprint,
            attempt.server,
            round(self._servers.traits_of(call).service * 1000),
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
            event = await attempt.events.get()
            while isinstance(event, LinkDoubted) and not self._may_go_elsewhere(call):
                event = await attempt.events.get()
            if isinstance(event, frames.Reply):
                balancing.note_success(attempt.load)
                self._note_reply(call, attempt, event)
                await self._relay(connection, call, attempt, event)
                return None
            failure = await self._failure_of(event, attempt, address, call.deadline)
        finally:
            if upload is not None:
                upload.cancel()
        self._note_failure(attempt, failure, loop.time())
        return failure

    def _note_reply(self, call: Call, attempt: Attempt, reply: frames.Reply) -> None:
        now = asyncio.get_running_loop().time()
        traits = self._servers.traits_of(call)
        size = len(call.body) + relay.answer_size(reply)
        call.status = reply.status
        failed = reply.status >= SERVER_ERROR
        placement.note_outcome(attempt.load, failed, now)
        if not failed:
            placement.note_answer(traits, attempt.load, reply.service_ms / 1000, size)

    def _note_failure(self, attempt: Attempt, failure: Failure, now: float) -> None:
        if failure.reason in (Reason.BACKEND_BROKE, Reason.LINK_LOST, Reason.BACKEND_UNREACHABLE):
            balancing.note_failure(attempt.load, now)
        if failure.reason is Reason.BACKEND_UNREACHABLE:
            balancing.note_unreachable(attempt.load, now)
        if failure.reason in SERVER_FAULTS:
            placement.note_outcome(attempt.load, True, now)

    async def _failure_of(
        self, event: object, attempt: Attempt, address: str, deadline: float
    ) -> Failure:
        if isinstance(event, frames.Refusal):
            return event.failure
        if isinstance(event, LinkDoubted) or (isinstance(event, LinkGone) and attempt.idempotent):
            attempt.link.send(frames.Cancel(attempt.number))
            return may_have_run(Reason.LINK_LOST, "the link is silent or lost")
        if isinstance(event, LinkGone):
            now = asyncio.get_running_loop().time()
            return await self._links.resolve(address, attempt, now, deadline - now)
        attempt.link.send(frames.Cancel(attempt.number))
        if isinstance(event, Ending):
            return await _failure_of_cancelled(attempt)
        if isinstance(event, CallerGone):
            return may_have_run(Reason.CALLER_GONE)
        return may_have_run(Reason.DEADLINE, "no answer within the deadline")

    async def _relay(
        self, connection: HttpConnection, call: Call, attempt: Attempt, reply: frames.Reply
    ) -> None:
        try:
            await relay.send_answer(connection, call, attempt, reply, self.draining, self._pacer)
        except (ConnectionLost, h11.LocalProtocolError) as error:
            self.counts["broken_answers"] += 1
            now = asyncio.get_running_loop().time()
            told = unfinished(call.call_id, call.progress, now)._asdict()
            log.warning("answer broken off", extra={**told, "error": str(error)})
            attempt.link.send(frames.Cancel(attempt.number))
            connection.abort()

    def _fail(self, connection: HttpConnection, failure: Failure, call_id: str) -> None:
        send_failure(connection, failure, call_id, self._dialect, self.draining)


async def _failure_of_cancelled(attempt: Attempt) -> Failure:
    """Return what the daemon beside the server says of an attempt that is cancelled."""
    try:
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            while not isinstance(event := await attempt.events.get(), frames.Refusal):
                continue
    except TimeoutError:
        return may_have_run(Reason.DRAINING, "this daemon ends")
    return event.failure


def _hurry(attempt: Attempt) -> None:
    """Ask the daemon beside the server to send an answer before others."""
    attempt.link.send(frames.Credit(attempt.number, 0, urgent=True))


def _no_server(service: str) -> Failure:
    detail = f"no backend server of {service} is known"
    return not_run(Reason.NO_BACKEND, detail, NO_ENDPOINT_RETRY_MS)
