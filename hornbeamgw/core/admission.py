"""Admission: decides whether a request starts, is queued or is refused at a backend server.

Every request to a backend server passes through admission. So a refused request did not run, unless
it is a duplicate of an admitted one. After a connection loss, the caller's daemon asks whether an
attempt may have run (`resolve`). An attempt that was never admitted is then fenced: it is refused
even if it arrives later.
"""

from __future__ import annotations

import math

from hornbeamgw.core import (
    fairness,
    former_work,
    occupancy,
    queueing,
    rate_limit,
    service_times,
)
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.slots import (
    AdmissionState,
    Admitted,
    AttemptId,
    AttemptRecord,
    AttemptStatus,
    Decision,
    Outlook,
    Queued,
    Refused,
    Request,
)
from hornbeamgw.core.verdict import Reason, Verdict, may_have_run, not_run

__all__ = [
    "AdmissionState",
    "Admitted",
    "AttemptId",
    "Decision",
    "Outlook",
    "Queued",
    "Refused",
    "Request",
    "admit",
    "close",
    "drain",
    "expected_service_time",
    "expected_wait",
    "finish",
    "free_slots",
    "next_decisions",
    "outlook",
    "resolve",
    "withdraw",
]

# Records of attempts, by which duplicates are refused, are kept for this time, up to this number.
ATTEMPT_RETENTION_S = 60.0
MAX_ATTEMPT_RECORDS = 100_000
SERVICE_TIME_EWMA_WEIGHT = 0.1
# Delay before a retry that is stated in refusals not due to a lack of slots, such as those of a
# draining server.
RETRY_AFTER_DRAIN_MS = 50


def _was_admitted(record: AttemptRecord) -> bool:
    return record.status in (AttemptStatus.RUNNING, AttemptStatus.FINISHED)


def free_slots(state: AdmissionState, now: float) -> int:
    """Return the number of requests that could start now beside the running and queued ones.

    The result is 0 if the backend server is not serving.
    """
    if state.server_state is not ServerState.SERVING:
        return 0
    slots = former_work.usable_slots(state, now)
    free = max(0, slots - len(state.running_by_attempt) - len(state.queue))
    return int(min(free, rate_limit.free_tokens(state.rate_limit, len(state.queue), now)))


def expected_wait(state: AdmissionState, now: float) -> float:
    """Return the expected wait for a start in seconds, for a request that arrives now."""
    return max(queueing.expected_wait(state, now), _rate_limit_wait(state, 0, now))


def _rate_limit_wait(state: AdmissionState, priority: int, now: float) -> float:
    return rate_limit.wait(state.rate_limit, priority, len(state.queue), now)


def expected_service_time(state: AdmissionState, request: Request, now: float) -> float:
    """Return the expected service time of a request in seconds."""
    return queueing.expected_service_time(state, request, now)


def _reserved_for_others(state: AdmissionState, entry: str) -> int:
    """Return how many more slots must stay free for the other entries of the catalogue."""
    running = state.running_count_by_entry
    return sum(
        max(0, reserved - running.get(name, 0))
        for name, reserved in state.reserved_by_entry.items()
        if name != entry
    )


def _has_slot(state: AdmissionState, request: Request, now: float) -> bool:
    running = state.running_count_by_entry.get(request.entry, 0)
    if running >= request.limits.slots:
        return False
    free = former_work.usable_slots(state, now) - len(state.running_by_attempt)
    if running < request.limits.reserved:
        return free > 0
    reserved_for_others = _reserved_for_others(state, request.entry)
    if free <= reserved_for_others:
        return False
    # The queue policy may keep further slots for more urgent requests.
    return free > reserved_for_others + state.policy.kept_slots(state, request, now)


def _record_status(
    state: AdmissionState, attempt: AttemptId, status: AttemptStatus, now: float
) -> None:
    records = state.records_by_attempt
    records[attempt] = AttemptRecord(status, now)
    records.move_to_end(attempt)
    while records:
        oldest = next(iter(records))
        expired = (
            now - records[oldest].at > ATTEMPT_RETENTION_S or len(records) > MAX_ATTEMPT_RECORDS
        )
        if not expired or records[oldest].status is AttemptStatus.RUNNING:
            return
        del records[oldest]


def _retry_after_ms(state: AdmissionState, request: Request, reason: Reason, now: float) -> int:
    if reason is Reason.RATE_LIMITED:
        return max(1, math.ceil(1000 * _rate_limit_wait(state, request.priority, now)))
    if reason in (Reason.NO_SLOT, Reason.QUEUE_TIMEOUT):
        return max(1, round(1000 * state.policy.retry_after(state, request, now)))
    return RETRY_AFTER_DRAIN_MS


def _refuse(state: AdmissionState, request: Request, reason: Reason, now: float) -> Refused:
    _record_status(state, request.attempt, AttemptStatus.REFUSED, now)
    retry_after_ms = _retry_after_ms(state, request, reason, now)
    if reason is Reason.RATE_LIMITED:
        wait = rate_limit.retry_after(state.rate_limit, request.priority, len(state.queue), now)
        retry_after_ms = max(1, math.ceil(1000 * wait))
    return Refused(request, not_run(reason, retry_after_ms=retry_after_ms))


def _unavailable_reason(
    state: AdmissionState, request: Request, service: str, now: float
) -> Reason | None:
    """Return why the backend server can't serve a request, or None if it can."""
    if state.server_state is ServerState.DRAINING:
        return Reason.DRAINING
    if state.server_state is ServerState.STARTING:
        return Reason.COLD
    if state.server_state is ServerState.NONE or state.service != service:
        return Reason.NO_BACKEND
    if request.deadline <= now:
        return Reason.DEADLINE
    rate_limit.record_priority(state.rate_limit, request.priority, now)
    return Reason.RATE_LIMITED if _rate_limit_wait(state, request.priority, now) else None


def _may_start(state: AdmissionState, request: Request, now: float) -> bool:
    return _has_slot(state, request, now) and state.policy.may_start(state, request, now)


def _queue_refusal(state: AdmissionState, request: Request, now: float) -> Reason | None:
    """Return why a request may not wait for a slot, or None if it may."""
    waiting = sum(queued.entry == request.entry for queued in state.queue)
    if waiting >= request.limits.queue:
        return Reason.NO_SLOT
    return state.policy.refusal(state, request, now)


def _start(state: AdmissionState, request: Request, now: float) -> Admitted:
    rate_limit.spend(state.rate_limit, now)
    state.former_work.started += former_work.is_held(state, now)
    queueing.record_start(state, request, now)
    state.running_by_attempt[request.attempt] = request
    state.started_by_attempt[request.attempt] = now
    count = state.running_count_by_entry.get(request.entry, 0)
    state.running_count_by_entry[request.entry] = count + 1
    _record_status(state, request.attempt, AttemptStatus.RUNNING, now)
    return Admitted(request)


def admit(state: AdmissionState, request: Request, service: str, now: float) -> Decision:
    """Start, queue or refuse a request that has just arrived.

    A request whose attempt is already recorded is refused: it is a duplicate, or `resolve` has
    fenced the attempt, that is, told the caller's daemon that it did not run.
    """
    record = state.records_by_attempt.get(request.attempt)
    if record is not None:
        failure = may_have_run if _was_admitted(record) else not_run
        return Refused(request, failure(Reason.FENCED))
    reason = _unavailable_reason(state, request, service, now)
    if reason is not None:
        return _refuse(state, request, reason, now)
    fairness.record_demand(state.fairness, request.organisation, state.slots, now)
    if _may_start(state, request, now):
        queueing.record_admission(state, request, now)
        return _start(state, request, now)
    reason = _queue_refusal(state, request, now)
    if reason is not None:
        return _refuse(state, request, reason, now)
    queued = state.policy.queued(state, request, now)
    queueing.record_admission(state, queued, now)
    state.queue.append(queued)
    return Queued(queued)


def outlook(state: AdmissionState, request: Request, service: str, now: float) -> Outlook:
    """Return what `admit` would decide on a request now, without admitting it."""
    reason = _unavailable_reason(state, request, service, now)
    if reason is None and _may_start(state, request, now):
        return Outlook(True, 0.0)
    reason = reason or _queue_refusal(state, request, now)
    if reason is None:
        return Outlook(True, state.policy.wait(state, request, now))
    return Outlook(False, 0.0, _retry_after_ms(state, request, reason, now))


def next_decisions(state: AdmissionState, now: float) -> list[Decision]:
    """Refuse queued requests that are too late or over the rate limit, and start others.

    Requests are started as slots are free. Returns the decisions on these requests.
    """
    if not state.queue:
        return []
    timed_out = state.policy.too_late(state, now)
    state.queue = [r for r in state.queue if r not in timed_out]
    decisions: list[Decision] = [
        _refuse(state, request, Reason.QUEUE_TIMEOUT, now) for request in timed_out
    ]
    over_limit = rate_limit.excess(state.rate_limit, state.queue, now)
    state.queue = [r for r in state.queue if r not in over_limit]
    decisions += [_refuse(state, request, Reason.RATE_LIMITED, now) for request in over_limit]
    if state.server_state is not ServerState.SERVING:
        return decisions
    for request in state.policy.order(state, now):
        if _has_slot(state, request, now):
            state.queue.remove(request)
            decisions.append(_start(state, request, now))
    return decisions


def finish(
    state: AdmissionState,
    attempt: AttemptId,
    started: float,
    now: float,
    was_processed: bool = True,
    is_cut: bool = False,
) -> list[Decision]:
    """Free the slot of a request and return the decisions that follow for queued requests.

    The service time is recorded only if the server has processed the request. If it `is_cut`, it
    ended without an answer after it had been cut off, and would have taken longer than until then.
    """
    request = state.running_by_attempt.pop(attempt)
    cut = state.cuts_by_attempt.pop(attempt, None)
    del state.started_by_attempt[attempt]
    state.running_count_by_entry[request.entry] -= 1
    _record_status(state, attempt, AttemptStatus.FINISHED, now)
    if was_processed:
        elapsed = (cut.cut_at if cut is not None and is_cut else now) - started
        if not is_cut or elapsed > state.mean_service_time:
            state.mean_service_time += SERVICE_TIME_EWMA_WEIGHT * (
                elapsed - state.mean_service_time
            )
        if cut is not None and is_cut:
            occupancy.record_cut(state.service_time_estimates, cut)
        else:
            service_times.record(state.service_time_estimates, request.route, elapsed)
    return next_decisions(state, now)


def withdraw(state: AdmissionState, attempt: AttemptId, now: float) -> bool:
    """Remove a request from the queue; return whether it was queued, and so has not run."""
    kept = [request for request in state.queue if request.attempt != attempt]
    found = len(kept) < len(state.queue)
    state.queue = kept
    if found:
        _record_status(state, attempt, AttemptStatus.REFUSED, now)
    return found


def close(
    state: AdmissionState, server_state: ServerState, reason: Reason, now: float
) -> list[Decision]:
    """Stop admitting requests, as the server drains or is gone, and refuse all queued ones."""
    state.server_state = server_state
    waiting, state.queue = state.queue, []
    return [_refuse(state, request, reason, now) for request in waiting]


def drain(state: AdmissionState, now: float) -> list[Decision]:
    """Stop admitting requests and refuse all queued ones."""
    return close(state, ServerState.DRAINING, Reason.DRAINING, now)


def resolve(state: AdmissionState, attempt: AttemptId, age: float, now: float) -> Verdict:
    """Return whether an attempt made `age` seconds ago may have run.

    An attempt that was not admitted is fenced: it is removed from the queue, and refused if it
    arrives later. An attempt whose record may have expired may have run.
    """
    record = state.records_by_attempt.get(attempt)
    if record is None and age >= ATTEMPT_RETENTION_S:
        return Verdict.MAY_HAVE_RUN
    if record is not None and _was_admitted(record):
        return Verdict.MAY_HAVE_RUN
    withdraw(state, attempt, now)
    _record_status(state, attempt, AttemptStatus.FENCED, now)
    return Verdict.NOT_RUN
