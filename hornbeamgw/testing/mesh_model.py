"""Discrete-event simulation of services in several data centres that call one another.

It runs the choosers, admission and queueing of hornbeamgw.core on synthetic workloads. It models
servers of different speeds that the daemons do not know, slots that stay occupied during nested
calls, retries by callers, and traffic between data centres.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial

from hornbeamgw.core import admission, balancing, late, placement
from hornbeamgw.core.admission import (
    AdmissionState,
    Admitted,
    AttemptId,
    Decision,
    Queued,
    Refused,
    Request,
)
from hornbeamgw.core.balancing import Choice, Load, candidate_of
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.placement import RouteTraits
from hornbeamgw.core.snapshot import Limits
from hornbeamgw.core.verdict import Reason
from hornbeamgw.testing.mesh_load import Kind, NestedCalls, Node, OfferedLoad

HIGH_LIMITS = Limits(10_000, 0, 64)
# One-way delay between daemons, or from a daemon to its caller, including processing.
HOP_DELAY_S = 0.0015
CROSS_DC_DELAY_S = 0.0005  # added to HOP_DELAY_S between data centres
CHECK_INTERVAL_S = 0.1
MAX_REFUSALS = 3
RETRY_JITTER_RATIO = 0.5
MIN_RETRY_DELAY_S = 0.01
REFUSAL_BYTES = 150
HEADERS_BYTES = 170  # request and response headers together, on a link that compresses headers


class Outcome:
    """Counts of requests by kind, and the bytes sent between data centres.

    `queued_late` counts those that waited as late ones, and `dropped` those of them that were
    refused after their wait.
    """

    def __init__(self) -> None:
        """Create empty counts."""
        self.requested: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.late: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.failed_runs: Counter[str] = Counter()
        self.queued_late: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        self.cross_dc_bytes = 0

    def goodput_ratio(self, kinds: Sequence[Kind]) -> float:
        """Return the ratio of goodput to offered load, both weighted by the `worth` of each kind.

        A request counts 1 if it is answered within its latency objective, `late_worth` if it is
        answered later but before its deadline, and 0 otherwise.
        """
        offered = sum(self.requested[kind.name] * kind.worth for kind in kinds)
        earned = sum(
            (self.in_time[kind.name] + self.late[kind.name] * kind.late_worth) * kind.worth
            for kind in kinds
        )
        return earned / offered if offered else 0.0


class _Task:
    """A request of a client, or a nested call of a running request."""

    def __init__(self, kind: Kind, node: int, created_at: float, deadline: float) -> None:
        self.kind = kind
        self.node = node
        self.created_at = created_at
        self.deadline = deadline
        self.try_deadline = deadline
        self.tried_addresses: list[str] = []
        self.refusals = 0
        self.retry_after = 0.0
        self.attempts = 0
        self.is_retry = False
        self.on_end: Callable[[bool], None] = lambda is_ok: None


class Mesh:
    """Simulated daemons, each next to one backend server."""

    def __init__(self, load: OfferedLoad, queueing: str, chooser: str, seed: int) -> None:
        """Create the nodes of a load; `queueing` and `chooser` are names of policies."""
        self.outcome = Outcome()
        self._load = load
        self._rng = random.Random(seed)
        self._kinds_by_name = {kind.name: kind for kind in load.kinds}
        self._choose = balancing.chooser_of(chooser)
        self._members = [
            Member(
                f"s{i}", node.data_centre, "region", 1, 0, service=node.service,
                server_state=ServerState.SERVING, slots=node.slots,
            )
            for i, node in enumerate(load.nodes)
        ]  # fmt: skip
        self._states = [self._new_state(queueing, node) for node in load.nodes]
        self._loads = [[Load(0.0) for _ in load.nodes] for _ in load.nodes]
        self._traits: list[dict[str, RouteTraits]] = [{} for _ in load.nodes]
        self._tasks: dict[AttemptId, _Task] = {}
        self._started_at_by_attempt: dict[AttemptId, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._now = 0.0

    def _new_state(self, queueing: str, node: Node) -> AdmissionState:
        state = AdmissionState(queueing)
        state.service, state.slots = node.service, node.slots
        state.server_state = ServerState.SERVING
        return state

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, action))

    def run(self, seconds: float) -> Outcome:
        """Simulate arrivals for this many seconds and return the outcome of all requests."""
        for kind in self._load.kinds:
            if kind.rate:
                self._schedule(0.0, partial(self._next_arrival, kind, seconds))
        for departure in self._load.departures:
            self._schedule(departure.at, partial(self._leave, departure.node))
        self._schedule(CHECK_INTERVAL_S, lambda: self._check(seconds))
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _next_arrival(self, kind: Kind, seconds: float) -> None:
        burst = self._load.burst
        is_burst = burst.begin <= self._now < burst.end
        rate = kind.rate * self._load.factor * (burst.factor if is_burst else 1.0)
        wave = self._load.wave
        rate *= 1 + wave.ratio * math.sin(2 * math.pi * self._now / wave.period)
        if self._now >= seconds:
            return
        self._start_task(kind)
        # The clump's size is geometrically distributed.
        while wave.clump > 1 and self._rng.random() < 1 - 1 / wave.clump:
            self._start_task(kind)
        self._schedule(
            self._now + self._rng.expovariate(rate / wave.clump),
            lambda: self._next_arrival(kind, seconds),
        )

    def _start_task(self, kind: Kind) -> None:
        self.outcome.requested[kind.name] += 1
        centres = sorted({node.data_centre for node in self._load.nodes})
        centre = self._rng.choice(centres)
        local_nodes = [i for i, n in enumerate(self._load.nodes) if n.data_centre == centre]
        task = _Task(kind, self._rng.choice(local_nodes), self._now, self._now + kind.deadline)
        self._start_attempt(task)

    def _start_attempt(self, task: _Task) -> None:
        task.attempts += 1
        self.outcome.attempts[task.kind.name] += 1
        task.tried_addresses, task.refusals, task.retry_after = [], 0, 0.0
        task.try_deadline = min(task.deadline, self._now + task.kind.timeout)
        self._dispatch(task)

    def _check(self, seconds: float) -> None:
        for node, state in enumerate(self._states):
            self._apply(node, admission.next_decisions(state, self._now))
        if self._now < seconds + 5:
            self._schedule(self._now + CHECK_INTERVAL_S, lambda: self._check(seconds))

    def _leave(self, node: int) -> None:
        self._members[node] = self._members[node]._replace(server_state=ServerState.DRAINING)
        self._apply(node, admission.drain(self._states[node], self._now))

    def _traits_of(self, node: int, kind: Kind) -> RouteTraits:
        return self._traits[node].setdefault(kind.name, RouteTraits(kind.latency_objective))

    def _dispatch(self, task: _Task) -> None:
        kind, node = task.kind, task.node
        pairs = zip(self._members, self._loads[node], strict=True)
        candidates = [candidate_of(m, load) for m, load in pairs if m.service == kind.service]
        candidates = [c for c in candidates if c.member.server_state is ServerState.SERVING]
        traits = self._traits_of(node, kind)
        objective = task.created_at + kind.latency_objective
        choice = Choice(
            self._members[node],
            candidates,
            task.tried_addresses,
            traits,
            kind.latency_objective,
            self._now,
            objective,
        )
        chosen = self._choose(choice, self._rng)
        if chosen is None:
            self._finish_refused(task)
            return
        target = self._members.index(chosen.member)
        task.tried_addresses.append(chosen.member.address)
        chosen.load.sent_since_report += 1
        chosen.load.outstanding += 1
        is_remote = chosen.member.data_centre != self._members[node].data_centre
        if is_remote:
            self.outcome.cross_dc_bytes += HEADERS_BYTES // 2
        delay = self._network_delay(node, target)
        self._schedule(self._now + delay, lambda: self._arrive(task, target))

    def _network_delay(self, source: int, destination: int) -> float:
        if source == destination:
            return 0.0
        is_remote = self._members[source].data_centre != self._members[destination].data_centre
        return HOP_DELAY_S + CROSS_DC_DELAY_S * is_remote

    def _arrive(self, task: _Task, target: int) -> None:
        self._sequence += 1
        attempt = AttemptId(str(task.node), 1, self._sequence)
        kind = task.kind
        servers = sum(member.service == kind.service for member in self._members)
        untried = servers - len(task.tried_addresses) + 1
        accepts_late = late.is_last_resort(task.refusals, MAX_REFUSALS, untried, False)
        request = Request(
            attempt, "all", HIGH_LIMITS, task.try_deadline, kind.name,
            task.created_at + kind.latency_objective, kind.latency_objective, kind.priority,
            task.is_retry, 0.0, self._now, accepts_late=accepts_late,
        )  # fmt: skip
        self._tasks[attempt] = task
        state = self._states[target]
        self._apply(target, [admission.admit(state, request, kind.service, self._now)])

    def _apply(self, node: int, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            attempt = decision.request.attempt
            if isinstance(decision, Queued):
                self.outcome.queued_late[self._tasks[attempt].kind.name] += decision.request.is_late
            elif isinstance(decision, Admitted):
                self._begin(node, attempt)
            elif isinstance(decision, Refused):
                task = self._tasks.pop(attempt)
                is_dropped = decision.failure.reason is Reason.QUEUE_TIMEOUT
                self.outcome.dropped[task.kind.name] += is_dropped and decision.request.is_late
                wait = decision.failure.retry_after_ms / 1000
                back = self._now + self._network_delay(node, task.node)
                self._schedule(back, partial(self._on_refusal, node, task, wait))

    def _on_refusal(self, node: int, task: _Task, retry_after: float) -> None:
        load = self._loads[task.node][node]
        load.outstanding -= 1
        self._report(node, load)
        if self._members[node].data_centre != self._members[task.node].data_centre:
            self.outcome.cross_dc_bytes += REFUSAL_BYTES
        task.refusals += 1
        known = task.retry_after
        task.retry_after = min(known, retry_after) if known else retry_after
        if task.refusals >= MAX_REFUSALS:
            self._finish_refused(task)
        else:
            self._dispatch(task)

    def _report(self, node: int, load: Load) -> None:
        state = self._states[node]
        wait = admission.expected_wait(state, self._now)
        placement.note_report(load, admission.free_slots(state, self._now), wait, self._now)

    def _begin(self, node: int, attempt: AttemptId) -> None:
        task, kind = self._tasks[attempt], self._tasks[attempt].kind
        self._started_at_by_attempt[attempt] = self._now
        work = kind.work * self._rng.lognormvariate(-kind.log_sigma**2 / 2, kind.log_sigma)
        work /= self._load.nodes[node].speed
        nested = kind.nested
        if nested is None or self._rng.random() >= nested.share:
            self._schedule(self._now + work, lambda: self._end_run(node, attempt, task, True))
            return
        self._schedule(
            self._now + work / 2,
            lambda: self._make_nested_calls(node, attempt, task, nested, work / 2),
        )

    def _make_nested_calls(
        self, node: int, attempt: AttemptId, task: _Task, nested: NestedCalls, remaining_work: float
    ) -> None:
        kind = self._kinds_by_name[nested.kind]
        remaining = [nested.n_calls]

        def on_end(is_ok: bool) -> None:
            if attempt not in self._started_at_by_attempt:
                return
            remaining[0] -= 1
            if not is_ok:
                self._end_run(node, attempt, task, False)
            elif not remaining[0]:
                self._schedule(
                    self._now + remaining_work, lambda: self._end_run(node, attempt, task, True)
                )

        for _ in range(nested.n_calls):
            deadline = min(task.deadline, self._now + kind.deadline)
            call = _Task(kind, node, self._now, deadline)
            call.on_end = on_end
            self.outcome.requested[kind.name] += 1
            self._start_attempt(call)

    def _end_run(self, node: int, attempt: AttemptId, task: _Task, is_ok: bool) -> None:
        started_at = self._started_at_by_attempt.pop(attempt, None)
        if started_at is None:
            return
        del self._tasks[attempt]
        self._apply(node, admission.finish(self._states[node], attempt, started_at, self._now))
        service_time, kind = self._now - started_at, task.kind
        if not is_ok:
            self.outcome.failed_runs[kind.name] += 1
        if self._members[node].data_centre != self._members[task.node].data_centre:
            self.outcome.cross_dc_bytes += HEADERS_BYTES // 2 + kind.answer_bytes
        when = self._now + self._network_delay(node, task.node)
        self._schedule(when, lambda: self._on_answer(node, task, service_time, is_ok))

    def _on_answer(self, node: int, task: _Task, service_time: float, is_ok: bool) -> None:
        load = self._loads[task.node][node]
        load.outstanding -= 1
        self._report(node, load)
        placement.note_outcome(load, not is_ok, self._now)
        if is_ok:
            traits = self._traits_of(task.node, task.kind)
            placement.note_answer(
                traits, load, service_time, task.kind.answer_bytes + HEADERS_BYTES
            )
            self._succeed(task)
        else:
            self._fail(task, 0.0)

    def _succeed(self, task: _Task) -> None:
        if self._now <= task.created_at + task.kind.latency_objective:
            self.outcome.in_time[task.kind.name] += 1
        elif self._now <= task.try_deadline:
            self.outcome.late[task.kind.name] += 1
        task.on_end(self._now <= task.try_deadline)

    def _finish_refused(self, task: _Task) -> None:
        self.outcome.refused[task.kind.name] += 1
        jitter = self._rng.uniform(1, 1 + RETRY_JITTER_RATIO)
        self._fail(task, max(MIN_RETRY_DELAY_S, task.retry_after * jitter))

    def _fail(self, task: _Task, wait: float) -> None:
        remaining = task.deadline - self._now
        if task.attempts > task.kind.retries or remaining <= 0 or wait > remaining / 3:
            task.on_end(False)
            return
        task.is_retry = True
        self._schedule(self._now + HOP_DELAY_S + wait, lambda: self._start_attempt(task))
