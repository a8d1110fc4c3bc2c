"""Rollout model: rollouts in simulated time, decided by the core's own functions.

Daemons send requests to servers of two versions, count what becomes of them, and tell leaders, who
tell the daemons. Words are late, and some are lost until gossip makes up for them. What a call
waits for on its way, queues at servers and retries are left out.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from hornbeamgw.core import evidence, exposure, rollout, tally
from hornbeamgw.core.exposure import Arm, ExposureBound, ExposureState, RequestTraits
from hornbeamgw.core.membership import Member, server_key
from hornbeamgw.core.rollout import LEADER_LAG_S, FleetView, Order, RolloutState
from hornbeamgw.core.standing import Closing, Phase, RolloutStatus
from hornbeamgw.core.tally import AttemptOutcome, Count, Tally
from hornbeamgw.core.verdict import Failure, Reason, may_have_run

SERVICE, OLD, NEW = "roster", "v1", "v2"
BOUND = ExposureBound(0.1, 50.0)
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
TICK_S = 0.05
TELL_NEW_S, TELL_BEFORE_S = 0.15, 1.0
WORD_S = (0.003, 0.08)
LOST = 0.03
GOSSIP_S = 1.5
COLD_S, COLD_FACTOR = 3.0, 2.0
SPREAD = 0.7
AIM_FACTOR = 4.0
# Work with a long tail: how long (s) the few long requests take, and when callers give up.
TAIL_S = (1.0, 2.0)
DEADLINE_S = 2.3
WAIT_STEP_S = 0.02
WAIT_PART = 0.7
MAX_REFUSALS = 3
AWAY_S = 4.0
BROKE = may_have_run(Reason.BACKEND_BROKE)


class Load(NamedTuple):
    """Hold a service: daemons, servers of each version, slots, requests a second, and routes.

    Each route has a share of the requests and a time that they take (s). Some routes are not
    idempotent; a share of the requests on these is long.
    """

    daemons: int
    servers: int
    slots: int
    rate: float
    routes: tuple[tuple[float, float], ...]
    unsafe_routes: tuple[int, ...] = ()
    tail_share: float = 0.0


class Badness(NamedTuple):
    """Hold how a version is bad: a share of its answers, from a time on (s), on a route alone."""

    share: float = 0.0
    slow_times: float = 0.0
    begins: float = 0.0
    only_above: float = 0.0  # part of its slots that must be taken
    route: int | None = None


class Trouble(NamedTuple):
    """Hold what else goes on: servers of either version that are faulty, and what fails beside."""

    faulty_share: float = 0.0
    burst: float = 1.0
    platform_away: bool = False
    leader_ends: bool = False
    daemons_restart: float = 0.0


class Outcome(NamedTuple):
    """Hold what became of a rollout; times are seconds after the order."""

    phase: Phase | None
    decided_at: float
    reached: int
    exposed: int
    is_over_bound: bool
    sent_after_back: int
    cut_off: int
    bad: int
    unsafe_cut_off: int = 0
    unsafe_refused: int = 0
    waited: int = 0
    waited_s: float = 0.0
    longest_wait: float = 0.0


class _Server:
    def __init__(self, name: str, software: str, speed: float, up_at: float) -> None:
        self.member = Member(name, "dc", "r", 1, service=SERVICE, software=software)
        self.speed = speed
        self.up_at = up_at
        self.running = 0
        self.counts_by_route: dict[str, Count] = {}
        self.sent_at = -1.0
        self.unsafe = 0
        self.is_faulty = False
        self.is_stopped = False


class _Run:
    def __init__(
        self,
        daemon: int,
        server: _Server,
        route: int,
        started: float,
        failure: Failure | None,
        is_first: bool,
        is_idempotent: bool,
    ) -> None:
        self.daemon = daemon
        self.server = server
        self.route = route
        self.started = started
        self.failure = failure
        self.is_first = is_first
        self.is_idempotent = is_idempotent
        self.is_cold = started < server.up_at + COLD_S
        self.is_over = False
        self.is_tallied = False


class RolloutModel:
    """Hold one rollout in simulated time."""

    def __init__(
        self, load: Load, badness: Badness, trouble: Trouble, duration: float, seed: int
    ) -> None:
        """Take the service, how its new version is, what else fails, and the order's time (s)."""
        self.rng = random.Random(seed)
        self.load, self.badness, self.trouble = load, badness, trouble
        self.duration = duration
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.states = [ExposureState(BOUND) for _ in range(load.daemons)]
        for state in self.states:
            exposure.note_members(state, load.daemons)
        speeds = [self.rng.choice((0.6, 1.0, 1.4)) for _ in range(load.servers)]
        started = self.rng.uniform(0.2, 1.5)
        self.old = [_Server(f"o{i}", OLD, s, -60.0) for i, s in enumerate(speeds)]
        self.new = [_Server(f"n{i}", NEW, s, started + 0.1 * i) for i, s in enumerate(speeds)]
        self._draw_faults()
        order = Order(SERVICE, NEW, duration, 1)
        self.leaders = [
            RolloutState(order, BOUND, 0.01, rank * LEADER_LAG_S)
            for rank in range(rollout.LEADER_COUNT)
        ]
        self.written: Phase | None = None
        self.decided_at = math.inf
        self.reached = self.exposed = self.bad = self.cut_off = self.sent_after_back = 0
        self.unsafe_cut_off = self.unsafe_refused = 0
        self.waits: list[float] = []
        self.bad_enough_at = math.inf
        self.is_over_bound = False

    def _draw_faults(self) -> None:
        count = round(self.trouble.faulty_share * self.load.servers)
        for servers in (self.old, self.new):
            for server in self.rng.sample(servers, count):
                server.is_faulty = True
        self._faults_begin = self.rng.uniform(0, self.duration)
        self._faults_end = self._faults_begin + 6.0
        self._away_at = self.rng.uniform(0.5, self.duration) if self.trouble.platform_away else 1e9
        ends_at = self.rng.uniform(0.1, self.duration)
        self._leader_ends_at = ends_at if self.trouble.leader_ends else 1e9

    def _at(self, time: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, action))

    def run(self) -> Outcome:
        """Play the order to its end and a while longer."""
        for leader in self.leaders:
            self._tell(leader.status)
        self._at(0.0, self._arrive)
        self._at(0.0, self._tick)
        if self.trouble.daemons_restart:
            self._at(self.rng.uniform(0, self.duration), self._restart_daemons)
        until = self.duration + ROLLBACK_S + 2.0
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return Outcome(
            self.written,
            self.decided_at,
            self.reached,
            self.exposed,
            self.is_over_bound,
            self.sent_after_back,
            self.cut_off,
            self.bad,
            self.unsafe_cut_off,
            self.unsafe_refused,
            len(self.waits),
            sum(self.waits),
            max(self.waits, default=0.0),
        )

    # Requests

    def _arrive(self) -> None:
        rate = self.load.rate * (self.trouble.burst if self._has_faults() else 1.0)
        self._at(self.now + self.rng.expovariate(rate), self._arrive)
        route = self.rng.choices(
            range(len(self.load.routes)), [share for share, _ in self.load.routes]
        )[0]
        self._send(self.rng.randrange(self.load.daemons), route, True)

    def _has_faults(self) -> bool:
        return self._faults_begin <= self.now <= self._faults_end

    def _up(self, servers: list[_Server]) -> list[_Server]:
        return [s for s in servers if s.up_at <= self.now and not s.is_stopped]

    def _arm(
        self, state: ExposureState, route: int, is_first: bool, has_waited: bool = False
    ) -> Arm:
        is_idempotent = route not in self.load.unsafe_routes
        asked = RequestTraits(
            SERVICE, self.load.routes[route][1], is_first, is_idempotent, has_waited
        )
        return exposure.select_arm(state, asked, self.now, self.rng)

    def _chosen(self, state: ExposureState, arm: Arm) -> _Server | None:
        new = self._up(self.new)
        if arm is Arm.TURN and new:
            turn_s = exposure.canary_period_seconds(state.current_by_service[SERVICE])
            turn = exposure.active_canary_servers([s.member for s in new], turn_s, self.now)
            new = [s for s in new if s.member in turn]
        if arm in (Arm.TURN, Arm.NEW) and new:
            return self._idler(new)
        current = state.current_by_service.get(SERVICE)
        is_done = current is not None and current.phase is Phase.DONE
        before = new if is_done else self._up(self.old)
        return self._idler(before) if before else None

    def _idler(self, servers: list[_Server]) -> _Server:
        """Return the one of two that is less busy, as a daemon's choice by load would."""
        two = [self.rng.choice(servers), self.rng.choice(servers)]
        return min(two, key=lambda server: (server.running + 1) / server.speed)

    def _gate_of(self, server: _Server) -> ExposureState:
        """Return what the daemon beside a server knows."""
        servers = self.new if server.member.software == NEW else self.old
        return self.states[servers.index(server) % len(self.states)]

    def _is_closed(self, server: _Server) -> bool:
        software = server.member.software
        return exposure.closed_step(self._gate_of(server), SERVICE, software) > 0

    def _send_unsafe(self, daemon: int, route: int, since: float, refusals: int = 0) -> None:
        """Send a request that is not idempotent, or let it wait for servers or for a slot."""
        state = self.states[daemon]
        arm = self._arm(state, route, not refusals, self.now > since)
        may_wait = self.now < since + WAIT_PART * DEADLINE_S
        server = None if arm is Arm.WAIT and may_wait else self._chosen(state, arm)
        if server is not None and self._is_closed(server):
            exposure.record_sent(state, SERVICE, server.member.software)
            server, refusals = None, refusals + 1
        is_placed = server is not None and server.running < self.load.slots
        if not is_placed and may_wait and refusals < MAX_REFUSALS:
            again = self.now + WAIT_STEP_S
            self._at(again, lambda: self._send_unsafe(daemon, route, since, refusals))
            return
        if server is None or not is_placed:
            self.unsafe_refused += 1
            return
        if self.now > since:
            self.waits.append(self.now - since)
        exposure.record_sent(state, SERVICE, server.member.software)
        self._begin(daemon, server, route, True)

    def _send(self, daemon: int, route: int, is_first: bool) -> None:
        if route in self.load.unsafe_routes:
            self._send_unsafe(daemon, route, self.now)
            return
        state = self.states[daemon]
        server = self._chosen(state, self._arm(state, route, is_first))
        if server is None:
            return
        exposure.record_sent(state, SERVICE, server.member.software)
        if server.running >= self.load.slots:
            # The gate has no room and says so; the servers of before take it.
            if is_first:
                self._send(daemon, route, False)
            return
        self._begin(daemon, server, route, is_first)

    def _begin(self, daemon: int, server: _Server, route: int, is_first: bool) -> None:
        _, work = self.load.routes[route]
        self._count_arrival(server)
        server.running += 1
        held, failure = self._outcome(server, route, work)
        is_idempotent = route not in self.load.unsafe_routes
        server.unsafe += not is_idempotent
        run = _Run(daemon, server, route, self.now, failure, is_first, is_idempotent)
        limit = tally.slow_threshold(work, AIM_FACTOR * work, run.is_cold)
        self._at(self.now + limit, lambda: self._look_overdue(run))
        self._at(self.now + held, lambda: self._finish(run))

    def _count_arrival(self, server: _Server) -> None:
        if self.now > self.duration:
            return
        self.reached += 1
        if server.member.software != NEW or not self._is_bad_version():
            return
        self.exposed += 1
        # The bound is on all until the order is due, of which so much may yet come.
        if self.now > self.bad_enough_at + ROLLBACK_S:
            self.sent_after_back += 1

    def _is_bad_version(self) -> bool:
        return self.badness.share > 0

    def _is_bad_now(self, server: _Server, route: int) -> bool:
        bad = self.badness
        if server.member.software != NEW or self.now < bad.begins:
            return False
        if bad.route is not None and route != bad.route:
            return False
        if server.running <= bad.only_above * self.load.slots:
            return False
        return self.rng.random() < bad.share

    def _outcome(self, server: _Server, route: int, work: float) -> tuple[float, Failure | None]:
        """Return how long a request holds a server (s), and how it fails if it does."""
        held = work / server.speed * self.rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        if self.now < server.up_at + COLD_S:
            held *= COLD_FACTOR
        if route in self.load.unsafe_routes:
            if self.rng.random() < self.load.tail_share:
                held = self.rng.uniform(*TAIL_S)
            held = min(held, DEADLINE_S)
        failure = None
        if server.is_faulty and self._has_faults() and self.rng.random() < 0.4:
            failure = BROKE
        if self._is_bad_now(server, route):
            if self.badness.slow_times:
                held *= self.badness.slow_times
            else:
                failure = BROKE
            self.bad += 1
            if self.bad == BAD_ANSWERS:
                self.bad_enough_at = self.now + held
        return held, failure

    def _look_overdue(self, run: _Run) -> None:
        if not run.is_over:
            run.is_tallied = True
            tally.record(run.server.counts_by_route, f"r-{run.route}", True)

    def _finish(self, run: _Run) -> None:
        run.is_over = True
        daemon, server, route, failure = run.daemon, run.server, run.route, run.failure
        server.running -= 1
        server.unsafe -= not run.is_idempotent
        if server.is_stopped:
            self.cut_off += 1
            # One that would have passed its deadline is not lost by the stop.
            is_in_time = self.now < run.started + DEADLINE_S
            self.unsafe_cut_off += not run.is_idempotent and is_in_time
            failure = BROKE
        state = self.states[daemon]
        exposure.record_reached(state, SERVICE)
        exposure.record_answer(state, SERVICE, server.member.software, failure is not None)
        work = self.load.routes[route][1]
        held = self.now - run.started
        bad = tally.is_bad(AttemptOutcome(failure, 200, held, work, AIM_FACTOR * work, run.is_cold))
        if bad is not None and not run.is_tallied and not server.is_stopped:
            tally.record(server.counts_by_route, f"r-{route}", bad)
        if failure is not None and run.is_first and run.is_idempotent:
            self._send(daemon, route, False)

    # Words

    def _delay(self) -> float:
        delay = self.rng.uniform(*WORD_S)
        return delay if self.rng.random() >= LOST else delay + self.rng.uniform(0.2, GOSSIP_S)

    def _tell(self, standing: RolloutStatus) -> None:
        for index in range(len(self.states)):
            self._at(self.now + self._delay(), lambda i=index: self._hear(i, standing))  # type: ignore[misc]
        for leader in self.leaders:
            self._at(
                self.now + self._delay(),
                lambda to=leader: self._hear_as_leader(to, standing),  # type: ignore[misc]
            )

    def _hear_as_leader(self, leader: RolloutState, standing: RolloutStatus) -> None:
        rollout.receive_status(leader, standing, self.now)

    def _hear(self, daemon: int, standing: RolloutStatus) -> None:
        exposure.receive(self.states[daemon], standing, self.now)

    def _restart_daemons(self) -> None:
        count = round(self.trouble.daemons_restart * len(self.states))
        for index in self.rng.sample(range(len(self.states)), count):
            fresh = ExposureState(BOUND)
            exposure.note_members(fresh, len(self.states))
            for standing in self.states[index].status_by_version.values():
                exposure.receive(fresh, standing, self.now)
            self.states[index] = fresh

    # Leaders

    def _tick(self) -> None:
        self._at(self.now + TICK_S, self._tick)
        for server in (*self._up(self.old), *self._up(self.new)):
            is_new = server.member.software == NEW
            current = self._gate_of(server).current_by_service.get(SERVICE)
            is_awaited = current is not None and current.closing is Closing.CLOSED
            every = TELL_NEW_S if is_new or is_awaited else TELL_BEFORE_S
            if self.now - server.sent_at >= every:
                server.sent_at = self.now
                self._send_tally(server)
        for rank, leader in enumerate(self.leaders):
            if rank > 0 or not self._leader_ends_at <= self.now <= self._leader_ends_at + 2.0:
                self._lead(leader)

    def _send_tally(self, server: _Server) -> None:
        software = server.member.software
        closed = exposure.closed_step(self._gate_of(server), SERVICE, software)
        counts = dict(server.counts_by_route)
        sent = Tally(SERVICE, 0, software, counts, closed, server.unsafe if closed else 0)
        key = server_key(server.member)
        for leader in self.leaders:
            if self.rng.random() >= LOST:
                self._at(
                    self.now + self.rng.uniform(*WORD_S),
                    lambda to=leader: self._take(to, key, sent),  # type: ignore[misc]
                )

    def _take(self, leader: RolloutState, server: str, sent: Tally) -> None:
        evidence.record_tally(leader.evidence, server, sent, self.now)

    def _lead(self, leader: RolloutState) -> None:
        is_away = self._away_at <= self.now <= self._away_at + AWAY_S
        new = [server_key(s.member) for s in self._up(self.new)]
        before = [server_key(s.member) for s in self._up(self.old)]
        step = rollout.next_step(
            leader, FleetView(new, before, not is_away, self.load.slots), self.now
        )
        if step is None:
            return
        if step.status.phase is Phase.DONE:
            if is_away:
                return
            if self.written is not None:
                step = step._replace(status=step.status._replace(phase=self.written))
        rollout.apply(leader, step.status, self.now)
        if step.status.is_final:
            self._decide(step.status.phase)
        self._tell(step.status)

    def _decide(self, phase: Phase) -> None:
        if self.written is not None:
            return
        self.written, self.decided_at = phase, self.now
        if phase is Phase.DONE:
            for server in self.old:
                server.is_stopped = True

    def bound_at_end(self) -> float:
        """Return how many requests a bad version may have got."""
        return BOUND.share * self.reached + BOUND.slack


def play(
    load: Load, badness: Badness, trouble: Trouble, duration: float, seed: int
) -> tuple[Outcome, dict[str, Any]]:
    """Play one rollout; return its outcome and what the first leader has seen."""
    model = RolloutModel(load, badness, trouble, duration, seed)
    outcome = model.run()
    is_over = outcome.exposed > model.bound_at_end()
    seen = model.leaders[0].evidence
    return outcome._replace(is_over_bound=is_over), {"new": seen.new, "before": seen.old}
