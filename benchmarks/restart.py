"""Benchmark of a daemon that is killed and started again: what it refuses, and what exceeds slots.

One server and the gate beside it, in simulated time. Before the restart, 0.9 of the server's
capacity is asked for, and for 3 s after it.
"""

from __future__ import annotations

import enum
import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from benchmarks.report import emit, register
from hornbeamgw.core import admission, former_work, occupancy
from hornbeamgw.core import queueing as _queueing  # noqa: F401  (registers its policies)
from hornbeamgw.core.admission import AdmissionState, Admitted, AttemptId, Decision, Refused
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.service_times import INITIAL_TIME_RATIO
from hornbeamgw.core.slots import Request
from hornbeamgw.core.snapshot import Limits

SLOTS = 5
LOAD = 0.9
BEFORE_S = 10.0
AFTER_S = 3.0
# Interval at which a daemon looks for queued requests that may start.
CHECK_INTERVAL_S = 0.1
SEEDS = range(1, 21)
# Time of a health check that need not wait for a slot, and the longest wait for its answer.
HEALTH_CHECK_S = 0.006
HEALTH_CHECK_TIMEOUT_S = 0.1
DOWN_S = (0.3, 1.0)
LIMITS = Limits(SLOTS, 0, 8)


class Route(NamedTuple):
    """Mean service time, latency objective and deadline of requests, in seconds."""

    service: float
    objective: float
    deadline: float


ROUTES = (Route(0.044, 0.173, 0.527), Route(0.178, 0.579, 1.242), Route(0.689, 3.238, 4.010))


class Knowledge(enum.StrEnum):
    """What the new process knows of the requests of the former one."""

    NOTHING = "no hold, all daemons killed"
    PEERS = "no hold, one daemon killed (the others tell)"
    HOLD = "hold, all killed"
    HOLD_PEERS = "hold, one killed"
    CHECKS = "hold and health checks, all killed"
    CHECKS_PEERS = "hold and health checks, one killed"


TOLD_BY_PEERS = (Knowledge.PEERS, Knowledge.HOLD_PEERS, Knowledge.CHECKS_PEERS)
WITHOUT_HOLD = (Knowledge.NOTHING, Knowledge.PEERS)
WITH_CHECKS = (Knowledge.CHECKS, Knowledge.CHECKS_PEERS)


class Result(NamedTuple):
    """Requests in the first seconds after a start: all, refused, and beyond the server's slots."""

    asked: int
    refused: int
    over_room: int
    checks: int


class Play:
    """One gate and one server that are played through in simulated time."""

    def __init__(self, seed: int, route: Route, down: float, drops: bool) -> None:
        """Start with an idle server; times are in seconds."""
        self.rng = random.Random(seed)
        self.route, self.down, self.drops = route, down, drops
        self.check: former_work.Check | None = None
        self.state = self._state()
        self.server: set[AttemptId] = set()
        self.incarnation = 0
        self.asked = self.refused = self.over_room = 0
        self._work_by_attempt: dict[AttemptId, float] = {}
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def _state(self) -> AdmissionState:
        state = AdmissionState("objective")
        state.service, state.slots, state.server_state = "s", SLOTS, ServerState.SERVING
        return state

    def _at(self, when: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), event))

    def run(self, knowledge: Knowledge) -> Result:
        """Play, and return what happened in the first seconds after the start."""
        up_at = BEFORE_S + self.down
        self._at(0.0, self._arrive)
        self._at(0.0, self._tick)
        self._at(BEFORE_S, lambda now: self._kill())
        self._at(up_at, lambda now: self._start(knowledge, now))
        while self._events and self._events[0][0] < up_at + AFTER_S:
            now, _, event = heapq.heappop(self._events)
            event(now)
        return Result(self.asked, self.refused, self.over_room, self.state.former_work.checks)

    def _kill(self) -> None:
        self.incarnation += 1
        if self.drops:
            self.server.clear()

    def _start(self, knowledge: Knowledge, now: float) -> None:
        former, self.state = self.state, self._state()
        self.asked = self.refused = self.over_room = 0
        known = former.service_time_estimates.estimates_by_route["r"]
        started = former.started_by_attempt
        if knowledge in TOLD_BY_PEERS and started:
            until = max(occupancy.former_work_until(at, known.mean) for at in started.values())
            self.state.former_work_until = until
        if knowledge not in WITHOUT_HOLD:
            until = occupancy.former_work_until(now, INITIAL_TIME_RATIO * self.route.objective)
            self.state.former_work_until = max(until, self.state.former_work_until)
        self.state.former_work.is_checkable = knowledge in WITH_CHECKS

    def _consider_check(self, now: float) -> None:
        due_at = former_work.check_due_at(self.state, now)
        if self.check is None and due_at is not None and due_at <= now:
            self.check = former_work.begin_check(self.state, now)
            self._at(now, self._run_check)

    def _run_check(self, now: float) -> None:
        """Answer the health check, or let it wait for a slot."""
        assert self.check is not None
        if len(self.server) < SLOTS:
            self._at(now + HEALTH_CHECK_S, lambda at: self._end_check(True, at))
        elif now < self.check.sent_at + HEALTH_CHECK_TIMEOUT_S:
            self._at(now + HEALTH_CHECK_S, self._run_check)
        else:
            self._end_check(False, now)

    def _end_check(self, is_answered: bool, now: float) -> None:
        assert self.check is not None
        former_work.record_check(self.state, self.check, is_answered, now)
        self.check = None
        self._apply(admission.next_decisions(self.state, now), now)
        due_at = former_work.check_due_at(self.state, now)
        if self.state.queue and due_at is not None:
            self._at(due_at, self._consider_check)

    def _arrive(self, now: float) -> None:
        self._at(now + self.rng.expovariate(LOAD * SLOTS / self.route.service), self._arrive)
        work = self.rng.expovariate(1 / self.route.service)
        if self.incarnation and now < BEFORE_S + self.down:
            return
        self.asked += 1
        objective = self.route.objective
        attempt = AttemptId("caller", self.incarnation, next(self._order))
        request = Request(
            attempt,
            "e",
            LIMITS,
            now + self.route.deadline,
            "r",
            now + objective,
            objective,
            arrived_at=now,
        )
        self._work_by_attempt[attempt] = work
        decision = admission.admit(self.state, request, "s", now)
        self._apply([decision], now)
        if not isinstance(decision, Admitted):
            self._consider_check(now)

    def _tick(self, now: float) -> None:
        self._at(now + CHECK_INTERVAL_S, self._tick)
        self._apply(admission.next_decisions(self.state, now), now)

    def _apply(self, decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            if isinstance(decision, Refused):
                self.refused += 1
            elif isinstance(decision, Admitted):
                self._send(decision.request.attempt, now)

    def _send(self, attempt: AttemptId, now: float) -> None:
        self.over_room += len(self.server) >= SLOTS
        self.server.add(attempt)
        self._at(now + self._work_by_attempt.pop(attempt), lambda at: self._end(attempt, now, at))

    def _end(self, attempt: AttemptId, started: float, now: float) -> None:
        self.server.discard(attempt)
        if attempt.incarnation == self.incarnation:
            self._finish(attempt, started, now, True)

    def _finish(self, attempt: AttemptId, started: float, now: float, answered: bool) -> None:
        self._apply(admission.finish(self.state, attempt, started, now, answered), now)


@register("restart")
async def restart() -> None:
    """Play restarts for servers that stop what is cut off and for servers that go on."""
    for drops, route, down in itertools.product((True, False), ROUTES, DOWN_S):
        for knowledge in Knowledge:
            results = [Play(seed, route, down, drops).run(knowledge) for seed in SEEDS]
            asked = sum(result.asked for result in results)
            emit(
                f"{'drops' if drops else 'goes on'}, {route.service:g} s, down for {down:g} s",
                "refused of 100 in the first 3 s",
                [100 * result.refused / result.asked for result in results],
                known=knowledge,
                refused=round(100 * sum(result.refused for result in results) / asked, 1),
                over_room=sum(result.over_room for result in results),
                most_over_room=max(result.over_room for result in results),
                checks=round(sum(result.checks for result in results) / len(results), 1),
            )
