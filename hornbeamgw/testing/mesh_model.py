"""Mesh model: services in data centres that call one another, in simulated time.

It drives the very code that decides (choosers, admission, queueing) on loads described by a few
figures, with what decides the outcome on heavy days: speeds that nobody is told, slots held while
calls wait, callers that come back, and bytes that cross.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial

from hornbeamgw.core import admission, balancing, placement
from hornbeamgw.core.admission import (
    AdmissionState,
    Admitted,
    AttemptId,
    Decision,
    Refused,
    Request,
)
from hornbeamgw.core.balancing import Choice, Load, candidate_of
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.placement import RouteTraits
from hornbeamgw.core.snapshot import Limits
from hornbeamgw.testing.mesh_load import Inner, Kind, Offered, Place

WIDE = Limits(10_000, 0, 64)
HOP_S = 0.0015  # from a daemon to another or to its caller, its own work included
CROSSING_S = 0.0005
CHECK_EVERY_S = 0.1
MOST_REFUSALS = 3
RETURN_SPREAD = 0.5
RETURN_LEAST_S = 0.01
REFUSAL_BYTES = 150
HEAD_BYTES = 170  # of a call and its answer together, on a link that compresses heads


class Outcome:
    """Count what became of requests by kind, and the bytes that crossed."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.asked: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.late: Counter[str] = Counter()
        self.tries: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.failed_runs: Counter[str] = Counter()
        self.crossed_bytes = 0

    def worth(self, kinds: Sequence[Kind]) -> float:
        """Return which part of the worth that was owed has been earned."""
        owed = sum(self.asked[kind.name] * kind.worth for kind in kinds)
        earned = sum(
            (self.in_time[kind.name] + self.late[kind.name] * kind.late_worth) * kind.worth
            for kind in kinds
        )
        return earned / owed if owed else 0.0


class _Task:
    """Hold one request of a client or one call of a run."""

    def __init__(self, kind: Kind, place: int, born: float, deadline: float) -> None:
        self.kind = kind
        self.place = place
        self.born = born
        self.deadline = deadline
        self.tried: list[str] = []
        self.refusals = 0
        self.retry_after = 0.0
        self.tries = 0
        self.came_back = False
        self.on_end: Callable[[bool], None] = lambda ok: None


class Mesh:
    """Hold daemons, each beside one server, and play a load."""

    def __init__(self, load: Offered, queueing: str, chooser: str, seed: int) -> None:
        """Take the load and the names of both policies."""
        self.outcome = Outcome()
        self._load = load
        self._rng = random.Random(seed)
        self._kinds_by_name = {kind.name: kind for kind in load.kinds}
        self._choose = balancing.chooser_of(chooser)
        self._members = [
            Member(
                f"s{i}", place.data_centre, "region", 1, 0, service=place.service,
                server_state=ServerState.SERVING, slots=place.slots,
            )
            for i, place in enumerate(load.places)
        ]  # fmt: skip
        self._states = [self._new_state(queueing, place) for place in load.places]
        self._loads = [[Load(0.0) for _ in load.places] for _ in load.places]
        self._traits: list[dict[str, RouteTraits]] = [{} for _ in load.places]
        self._tasks: dict[AttemptId, _Task] = {}
        self._began: dict[AttemptId, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._now = 0.0

    def _new_state(self, queueing: str, place: Place) -> AdmissionState:
        state = AdmissionState(queueing)
        state.service, state.slots = place.service, place.slots
        state.server_state = ServerState.SERVING
        return state

    def _at(self, when: float, act: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (when, self._number, act))

    def run(self, seconds: float) -> Outcome:
        """Play the load for a time (s) and return what became of it."""
        for kind in self._load.kinds:
            if kind.rate:
                self._at(0.0, partial(self._next_arrival, kind, seconds))
        for change in self._load.leaving:
            self._at(change.at, partial(self._leave, change.place))
        self._at(CHECK_EVERY_S, lambda: self._check(seconds))
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self.outcome

    def _next_arrival(self, kind: Kind, seconds: float) -> None:
        burst = self._load.burst
        is_burst = burst.begin <= self._now < burst.end
        rate = kind.rate * self._load.factor * (burst.factor if is_burst else 1.0)
        if self._now >= seconds:
            return
        self.outcome.asked[kind.name] += 1
        centres = sorted({place.data_centre for place in self._load.places})
        centre = self._rng.choice(centres)
        beside = [i for i, p in enumerate(self._load.places) if p.data_centre == centre]
        task = _Task(kind, self._rng.choice(beside), self._now, self._now + kind.deadline)
        self._start_try(task)
        self._at(self._now + self._rng.expovariate(rate), lambda: self._next_arrival(kind, seconds))

    def _start_try(self, task: _Task) -> None:
        task.tries += 1
        self.outcome.tries[task.kind.name] += 1
        task.tried, task.refusals, task.retry_after = [], 0, 0.0
        self._place(task)

    def _check(self, seconds: float) -> None:
        for place, state in enumerate(self._states):
            self._act(place, admission.next_decisions(state, self._now))
        if self._now < seconds + 5:
            self._at(self._now + CHECK_EVERY_S, lambda: self._check(seconds))

    def _leave(self, place: int) -> None:
        self._members[place] = self._members[place]._replace(server_state=ServerState.DRAINING)
        self._act(place, admission.drain(self._states[place], self._now))

    def _traits_of(self, place: int, kind: Kind) -> RouteTraits:
        return self._traits[place].setdefault(kind.name, RouteTraits(kind.aim))

    def _place(self, task: _Task) -> None:
        kind, place = task.kind, task.place
        pairs = zip(self._members, self._loads[place], strict=True)
        fit = [candidate_of(m, load) for m, load in pairs if m.service == kind.service]
        fit = [c for c in fit if c.member.server_state is ServerState.SERVING]
        traits = self._traits_of(place, kind)
        objective = task.born + kind.aim
        choice = Choice(
            self._members[place], fit, task.tried, traits, kind.aim, self._now, objective
        )
        chosen = self._choose(choice, self._rng)
        if chosen is None:
            self._refused(task)
            return
        target = self._members.index(chosen.member)
        task.tried.append(chosen.member.address)
        chosen.load.sent_since_report += 1
        chosen.load.outstanding += 1
        is_far = chosen.member.data_centre != self._members[place].data_centre
        if is_far:
            self.outcome.crossed_bytes += HEAD_BYTES // 2
        hop = self._hop(place, target)
        self._at(self._now + hop, lambda: self._arrive(task, target))

    def _hop(self, one: int, other: int) -> float:
        if one == other:
            return 0.0
        is_far = self._members[one].data_centre != self._members[other].data_centre
        return HOP_S + CROSSING_S * is_far

    def _arrive(self, task: _Task, target: int) -> None:
        self._number += 1
        attempt = AttemptId(str(task.place), 1, self._number)
        kind = task.kind
        request = Request(
            attempt, "all", WIDE, task.deadline, kind.name, task.born + kind.aim, kind.aim,
            kind.priority, task.came_back, 0.0, self._now,
        )  # fmt: skip
        self._tasks[attempt] = task
        state = self._states[target]
        self._act(target, [admission.admit(state, request, kind.service, self._now)])

    def _act(self, place: int, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            attempt = decision.request.attempt
            if isinstance(decision, Admitted):
                self._begin(place, attempt)
            elif isinstance(decision, Refused):
                task = self._tasks.pop(attempt)
                wait = decision.failure.retry_after_ms / 1000
                back = self._now + self._hop(place, task.place)
                self._at(back, partial(self._on_refusal, place, task, wait))

    def _on_refusal(self, place: int, task: _Task, retry_after: float) -> None:
        load = self._loads[task.place][place]
        load.outstanding -= 1
        self._report(place, load)
        if self._members[place].data_centre != self._members[task.place].data_centre:
            self.outcome.crossed_bytes += REFUSAL_BYTES
        task.refusals += 1
        known = task.retry_after
        task.retry_after = min(known, retry_after) if known else retry_after
        if task.refusals >= MOST_REFUSALS:
            self._refused(task)
        else:
            self._place(task)

    def _report(self, place: int, load: Load) -> None:
        state = self._states[place]
        wait = admission.expected_wait(state, self._now)
        placement.note_report(load, admission.free_slots(state), wait, self._now)

    def _begin(self, place: int, attempt: AttemptId) -> None:
        task, kind = self._tasks[attempt], self._tasks[attempt].kind
        self._began[attempt] = self._now
        work = kind.work * self._rng.lognormvariate(-kind.spread**2 / 2, kind.spread)
        work /= self._load.places[place].speed
        inner = kind.inner
        if inner is None or self._rng.random() >= inner.share:
            self._at(self._now + work, lambda: self._end_run(place, attempt, task, True))
            return
        self._at(self._now + work / 2, lambda: self._call(place, attempt, task, inner, work / 2))

    def _call(self, place: int, attempt: AttemptId, task: _Task, inner: Inner, rest: float) -> None:
        kind = self._kinds_by_name[inner.kind]
        left = [inner.times]

        def on_end(ok: bool) -> None:
            if attempt not in self._began:
                return
            left[0] -= 1
            if not ok:
                self._end_run(place, attempt, task, False)
            elif not left[0]:
                self._at(self._now + rest, lambda: self._end_run(place, attempt, task, True))

        for _ in range(inner.times):
            deadline = min(task.deadline, self._now + kind.deadline)
            call = _Task(kind, place, self._now, deadline)
            call.on_end = on_end
            self.outcome.asked[kind.name] += 1
            self._start_try(call)

    def _end_run(self, place: int, attempt: AttemptId, task: _Task, ok: bool) -> None:
        began = self._began.pop(attempt, None)
        if began is None:
            return
        del self._tasks[attempt]
        self._act(place, admission.finish(self._states[place], attempt, began, self._now))
        held, kind = self._now - began, task.kind
        if not ok:
            self.outcome.failed_runs[kind.name] += 1
        if self._members[place].data_centre != self._members[task.place].data_centre:
            self.outcome.crossed_bytes += HEAD_BYTES // 2 + kind.size
        when = self._now + self._hop(place, task.place)
        self._at(when, lambda: self._answered(place, task, held, ok))

    def _answered(self, place: int, task: _Task, held: float, ok: bool) -> None:
        load = self._loads[task.place][place]
        load.outstanding -= 1
        self._report(place, load)
        placement.note_outcome(load, not ok, self._now)
        if ok:
            traits = self._traits_of(task.place, task.kind)
            placement.note_answer(traits, load, held, task.kind.size + HEAD_BYTES)
            self._succeed(task)
        else:
            self._fail(task, 0.0)

    def _succeed(self, task: _Task) -> None:
        if self._now <= task.born + task.kind.aim:
            self.outcome.in_time[task.kind.name] += 1
        elif self._now <= task.deadline:
            self.outcome.late[task.kind.name] += 1
        task.on_end(self._now <= task.deadline)

    def _refused(self, task: _Task) -> None:
        self.outcome.refused[task.kind.name] += 1
        spread = self._rng.uniform(1, 1 + RETURN_SPREAD)
        self._fail(task, max(RETURN_LEAST_S, task.retry_after * spread))

    def _fail(self, task: _Task, wait: float) -> None:
        left = task.deadline - self._now
        if task.tries > task.kind.retries or left <= 0 or wait > left / 3:
            task.on_end(False)
            return
        task.came_back = True
        self._at(self._now + HOP_S + wait, lambda: self._start_try(task))
