"""Admission: the only place that lets a request reach a backend server.

It alone knows whether its server drains, has free slots or is cold, so its refusal proves that
a request did not run. A caller that lost its link asks here by attempt id; a request that was
never admitted is then fenced, and refused should it arrive late.
"""

from __future__ import annotations

from hornbeamgw.core import queueing, service_times
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.service_times import ServiceTimes
from hornbeamgw.core.slots import (
    FIRST_SERVICE_TIME_S,
    AdmissionState,
    Admitted,
    AttemptId,
    Decided,
    Decision,
    Fate,
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
    "drain",
    "expected_length",
    "expected_wait",
    "finish",
    "forget_run",
    "free_slots",
    "next_decisions",
    "outlook",
    "resolve",
    "withdraw",
]

MEMORY_S = 60.0
MEMORY_MAX = 100_000
SERVICE_TIME_WEIGHT = 0.1
RETRY_AFTER_DRAIN_MS = 50


def _was_admitted(known: Decided) -> bool:
    return known.fate in (Fate.RUNNING, Fate.FINISHED)


def free_slots(state: AdmissionState) -> int:
    """Return the slots that nothing runs or waits for."""
    if state.server_state is not ServerState.SERVING:
        return 0
    return max(0, state.slots - len(state.running_by_attempt) - len(state.queue))


def expected_wait(state: AdmissionState, now: float) -> float:
    """Return how long (s) a request that arrives now is expected to wait for a slot."""
    return queueing.wait_for_newcomer(state, now)


def expected_length(state: AdmissionState, request: Request, now: float) -> float:
    """Return how long (s) a request is expected to hold its slot."""
    return queueing.length(state, request, now)


def _held_for_others(state: AdmissionState, entry: str) -> int:
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
    free = state.slots - len(state.running_by_attempt)
    if running < request.limits.reserved:
        return free > 0
    held = _held_for_others(state, request.entry)
    if free != held + 1:
        return free > held
    return not state.policy.keeps_last_slot(state, request, now)


def _remember(state: AdmissionState, attempt: AttemptId, fate: Fate, now: float) -> None:
    fates = state.fates_by_attempt
    fates[attempt] = Decided(fate, now)
    fates.move_to_end(attempt)
    while fates:
        oldest = next(iter(fates))
        expired = now - fates[oldest].at > MEMORY_S or len(fates) > MEMORY_MAX
        if not expired or fates[oldest].fate is Fate.RUNNING:
            return
        del fates[oldest]


def _retry_after_ms(state: AdmissionState, request: Request, reason: Reason, now: float) -> int:
    if reason in (Reason.NO_SLOT, Reason.QUEUE_TIMEOUT):
        return max(1, round(1000 * state.policy.room_after(state, request, now)))
    return RETRY_AFTER_DRAIN_MS


def _refuse(state: AdmissionState, request: Request, reason: Reason, now: float) -> Refused:
    _remember(state, request.attempt, Fate.REFUSED, now)
    retry_after_ms = _retry_after_ms(state, request, reason, now)
    return Refused(request, not_run(reason, retry_after_ms=retry_after_ms))


def _unable(state: AdmissionState, request: Request, service: str, now: float) -> Reason | None:
    """Return why a request can't be served here at all."""
    if state.server_state is ServerState.DRAINING:
        return Reason.DRAINING
    if state.server_state is ServerState.STARTING:
        return Reason.COLD
    if state.server_state is ServerState.NONE or state.service != service:
        return Reason.NO_BACKEND
    return Reason.DEADLINE if request.deadline <= now else None


def _may_start(state: AdmissionState, request: Request, now: float) -> bool:
    return _has_slot(state, request, now) and state.policy.may_start(state, request, now)


def _unfit_to_wait(state: AdmissionState, request: Request, now: float) -> Reason | None:
    """Return why a request may not wait for a slot."""
    waiting = sum(queued.entry == request.entry for queued in state.queue)
    if waiting >= request.limits.queue:
        return Reason.NO_SLOT
    return state.policy.refusal(state, request, now)


def _start(state: AdmissionState, request: Request, now: float) -> Admitted:
    state.running_by_attempt[request.attempt] = request
    state.started_by_attempt[request.attempt] = now
    queueing.note_start(state, request, now)
    count = state.running_count_by_entry.get(request.entry, 0)
    state.running_count_by_entry[request.entry] = count + 1
    _remember(state, request.attempt, Fate.RUNNING, now)
    return Admitted(request)


def admit(state: AdmissionState, request: Request, service: str, now: float) -> Decision:
    """Decide on a request that has just arrived."""
    known = state.fates_by_attempt.get(request.attempt)
    if known is not None:
        failure = may_have_run if _was_admitted(known) else not_run
        return Refused(request, failure(Reason.FENCED))
    reason = _unable(state, request, service, now)
    if reason is not None:
        return _refuse(state, request, reason, now)
    if _may_start(state, request, now):
        return _start(state, request, now)
    reason = _unfit_to_wait(state, request, now)
    if reason is not None:
        return _refuse(state, request, reason, now)
    state.queue.append(request)
    return Queued(request)


def outlook(state: AdmissionState, request: Request, service: str, now: float) -> Outlook:
    """Return what a request could expect if it came now; nothing is decided by that."""
    reason = _unable(state, request, service, now)
    if reason is None and _may_start(state, request, now):
        return Outlook(True, 0.0)
    reason = reason or _unfit_to_wait(state, request, now)
    if reason is None:
        return Outlook(True, state.policy.wait(state, request, now))
    return Outlook(False, 0.0, _retry_after_ms(state, request, reason, now))


def next_decisions(state: AdmissionState, now: float) -> list[Decision]:
    """Drop queued requests that can't be served in time and start those with a slot."""
    if not state.queue:
        return []
    late = state.policy.too_late(state, now)
    state.queue = [r for r in state.queue if r not in late]
    decisions: list[Decision] = [
        _refuse(state, request, Reason.QUEUE_TIMEOUT, now) for request in late
    ]
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
    has_worked: bool = True,
) -> list[Decision]:
    """Free the slot of a request and return what its end lets happen.

    How long it held the slot counts as time of service only where the server has worked on it.
    """
    request = state.running_by_attempt.pop(attempt)
    is_of_this_run = state.started_by_attempt.pop(attempt, None) is not None
    state.running_count_by_entry[request.entry] -= 1
    _remember(state, attempt, Fate.FINISHED, now)
    if is_of_this_run and has_worked:
        state.service_time += SERVICE_TIME_WEIGHT * (now - started - state.service_time)
        service_times.record(state.times, request.route, now - started)
    return next_decisions(state, now)


def withdraw(state: AdmissionState, attempt: AttemptId, now: float) -> bool:
    """Take a queued request out of the queue; it has not run."""
    kept = [request for request in state.queue if request.attempt != attempt]
    found = len(kept) < len(state.queue)
    state.queue = kept
    if found:
        _remember(state, attempt, Fate.REFUSED, now)
    return found


def drain(state: AdmissionState, now: float) -> list[Decision]:
    """Take no new work from now on and refuse what waits."""
    state.server_state = ServerState.DRAINING
    waiting, state.queue = state.queue, []
    return [_refuse(state, request, Reason.DRAINING, now) for request in waiting]


def forget_run(state: AdmissionState) -> None:
    """Forget how fast the backend server was: another run of it has been started."""
    state.times = ServiceTimes()
    state.slacks_by_route.clear()
    state.uses_by_route.clear()
    state.started_by_attempt.clear()
    state.service_time = FIRST_SERVICE_TIME_S


def resolve(state: AdmissionState, attempt: AttemptId, age: float, now: float) -> Verdict:
    """Answer whether an attempt of this age (s) ran; one never admitted is fenced for good."""
    known = state.fates_by_attempt.get(attempt)
    if known is None and age >= MEMORY_S:
        return Verdict.MAY_HAVE_RUN
    if known is not None and _was_admitted(known):
        return Verdict.MAY_HAVE_RUN
    withdraw(state, attempt, now)
    _remember(state, attempt, Fate.FENCED, now)
    return Verdict.NOT_RUN
