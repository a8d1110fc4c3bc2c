"""Discrete-event simulation of rollouts, decided by the functions of hornbeamgw.core.

Daemons send requests to servers of two versions and send tallies of the answers to the leaders, who
publish the rollout status. Messages are delayed; lost ones are delivered later by gossip. Network
latency of requests, queues at servers and retry budgets are not modelled.
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
# At most a tenth of the service's requests, plus 50, go to the version that is rolled out.
BOUND = ExposureBound(0.1, 50.0)
ROLLBACK_LIMIT_S = 5.0
# Acceptance limit, not a trigger of rollbacks: a bad version must not receive requests later than
# ROLLBACK_LIMIT_S after this many bad answers. `sent_after_rollback` counts those that it does.
BAD_ANSWERS_UNTIL_ROLLBACK = 50
LEADER_INTERVAL_S = 0.05
NEW_TALLY_INTERVAL_S, OLD_TALLY_INTERVAL_S = 0.15, 1.0
MESSAGE_DELAY_RANGE_S = (0.003, 0.08)
MESSAGE_LOSS_RATIO = 0.03
MAX_GOSSIP_DELAY_S = 1.5
COLD_START_S, COLD_START_FACTOR = 3.0, 2.0
WORK_LOG_SIGMA = 0.7
OBJECTIVE_FACTOR = 4.0
# Duration of long requests that are not idempotent, and the deadline of their callers.
LONG_WORK_RANGE_S = (1.0, 2.0)
DEADLINE_S = 2.3
WAIT_INTERVAL_S = 0.02
MAX_WAIT_RATIO = 0.7
MAX_REFUSALS = 3
PLATFORM_OUTAGE_S = 4.0
BACKEND_FAILURE = may_have_run(Reason.BACKEND_BROKE)


class Workload(NamedTuple):
    """A service and its traffic: servers of each version, slots per server, requests per second.

    Each route is a pair of its share of the requests and their mean service time in seconds.
    `non_idempotent_routes` are indices of routes; `long_ratio` is the fraction of the requests on
    these routes that are long (`LONG_WORK_RANGE_S`).
    """

    daemons: int
    servers: int
    slots: int
    rate: float
    routes: tuple[tuple[float, float], ...]
    non_idempotent_routes: tuple[int, ...] = ()
    long_ratio: float = 0.0


class VersionFault(NamedTuple):
    """Fault of the new version; `begins` is in seconds, and `route` limits it to one route."""

    share: float = 0.0  # fraction of answers that are bad while the other conditions hold
    slowdown_factor: float = 0.0  # answers are slowed by this factor, or fail if 0
    begins: float = 0.0
    min_busy_ratio: float = 0.0  # ratio of busy slots above which the fault occurs
    route: int | None = None


class EnvironmentFaults(NamedTuple):
    """Faults that are independent of the version: servers, bursts, platform, leader, restarts."""

    faulty_server_ratio: float = 0.0
    burst_factor: float = 1.0
    has_platform_outage: bool = False
    has_leader_outage: bool = False
    restarted_daemon_ratio: float = 0.0


class Outcome(NamedTuple):
    """Result of a rollout; times are in seconds after the order.

    `exposed` counts requests that reached a bad version, `cut_off` counts requests that were
    running on an old server when it was stopped, and `bad` counts answers affected by the fault.
    """

    phase: Phase | None
    decided_at: float
    reached: int
    exposed: int
    is_over_bound: bool
    sent_after_rollback: int
    cut_off: int
    bad: int
    non_idempotent_cut_off: int = 0
    non_idempotent_refused: int = 0
    waited: int = 0
    waited_s: float = 0.0
    longest_wait: float = 0.0


class _Server:
    """A simulated backend server."""

    def __init__(self, name: str, software: str, speed: float, up_at: float) -> None:
        self.member = Member(name, "dc", "r", 1, service=SERVICE, software=software)
        self.speed = speed
        self.up_at = up_at
        self.running = 0
        self.counts_by_route: dict[str, Count] = {}
        self.sent_at = -1.0
        self.non_idempotent_running = 0
        self.is_faulty = False
        self.is_stopped = False


class _Run:
    """Execution of a request on a server."""

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
        self.is_cold = started < server.up_at + COLD_START_S
        self.is_over = False
        self.is_tallied = False


class RolloutModel:
    """Simulation of one rollout."""

    def __init__(
        self,
        load: Workload,
        version_fault: VersionFault,
        environment: EnvironmentFaults,
        duration: float,
        seed: int,
    ) -> None:
        """Create a rollout that is due `duration` seconds after the order."""
        self.rng = random.Random(seed)
        self.load, self.version_fault, self.environment = load, version_fault, environment
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
        self.final_phase: Phase | None = None
        self.decided_at = math.inf
        self.reached = self.exposed = self.bad = self.cut_off = self.sent_after_rollback = 0
        self.non_idempotent_cut_off = self.non_idempotent_refused = 0
        self.waits: list[float] = []
        self.rollback_due_at = math.inf
        self.is_over_bound = False

    def _draw_faults(self) -> None:
        count = round(self.environment.faulty_server_ratio * self.load.servers)
        for servers in (self.old, self.new):
            for server in self.rng.sample(servers, count):
                server.is_faulty = True
        self._faults_begin_at = self.rng.uniform(0, self.duration)
        self._faults_end_at = self._faults_begin_at + 6.0
        self._outage_at = (
            self.rng.uniform(0.5, self.duration) if self.environment.has_platform_outage else 1e9
        )
        leader_outage_at = self.rng.uniform(0.1, self.duration)
        self._leader_outage_at = leader_outage_at if self.environment.has_leader_outage else 1e9

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, action))

    def run(self) -> Outcome:
        """Simulate the rollout until shortly after the order is due."""
        for leader in self.leaders:
            self._publish(leader.status)
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._tick)
        if self.environment.restarted_daemon_ratio:
            self._schedule(self.rng.uniform(0, self.duration), self._restart_daemons)
        until = self.duration + ROLLBACK_LIMIT_S + 2.0
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return Outcome(
            self.final_phase,
            self.decided_at,
            self.reached,
            self.exposed,
            self.is_over_bound,
            self.sent_after_rollback,
            self.cut_off,
            self.bad,
            self.non_idempotent_cut_off,
            self.non_idempotent_refused,
            len(self.waits),
            sum(self.waits),
            max(self.waits, default=0.0),
        )

    # Requests

    def _arrive(self) -> None:
        rate = self.load.rate * (self.environment.burst_factor if self._has_faults() else 1.0)
        self._schedule(self.now + self.rng.expovariate(rate), self._arrive)
        route = self.rng.choices(
            range(len(self.load.routes)), [share for share, _ in self.load.routes]
        )[0]
        self._send(self.rng.randrange(self.load.daemons), route, True)

    def _has_faults(self) -> bool:
        return self._faults_begin_at <= self.now <= self._faults_end_at

    def _running_servers(self, servers: list[_Server]) -> list[_Server]:
        return [s for s in servers if s.up_at <= self.now and not s.is_stopped]

    def _select_arm(
        self, state: ExposureState, route: int, is_first: bool, has_waited: bool = False
    ) -> Arm:
        is_idempotent = route not in self.load.non_idempotent_routes
        traits = RequestTraits(
            SERVICE, self.load.routes[route][1], is_first, is_idempotent, has_waited
        )
        return exposure.select_arm(state, traits, self.now, self.rng)

    def _select_server(self, state: ExposureState, arm: Arm) -> _Server | None:
        new = self._running_servers(self.new)
        if arm is Arm.TURN and new:
            turn_s = exposure.canary_period_seconds(state.current_by_service[SERVICE])
            turn = exposure.active_canary_servers([s.member for s in new], turn_s, self.now)
            new = [s for s in new if s.member in turn]
        if arm in (Arm.TURN, Arm.NEW) and new:
            return self._less_loaded(new)
        current = state.current_by_service.get(SERVICE)
        is_done = current is not None and current.phase is Phase.DONE
        old_servers = new if is_done else self._running_servers(self.old)
        return self._less_loaded(old_servers) if old_servers else None

    def _less_loaded(self, servers: list[_Server]) -> _Server:
        """Return the less loaded of two random servers (power of two choices)."""
        pair = [self.rng.choice(servers), self.rng.choice(servers)]
        return min(pair, key=lambda server: (server.running + 1) / server.speed)

    def _exposure_of(self, server: _Server) -> ExposureState:
        """Return the exposure state of the daemon next to a server."""
        servers = self.new if server.member.software == NEW else self.old
        return self.states[servers.index(server) % len(self.states)]

    def _is_closed(self, server: _Server) -> bool:
        software = server.member.software
        return exposure.closed_step(self._exposure_of(server), SERVICE, software) > 0

    def _send_non_idempotent(
        self, daemon: int, route: int, since: float, refusals: int = 0
    ) -> None:
        """Send a request that is not idempotent, or retry later if no server or slot is free."""
        state = self.states[daemon]
        arm = self._select_arm(state, route, not refusals, self.now > since)
        may_wait = self.now < since + MAX_WAIT_RATIO * DEADLINE_S
        server = None if arm is Arm.WAIT and may_wait else self._select_server(state, arm)
        if server is not None and self._is_closed(server):
            exposure.record_sent(state, SERVICE, server.member.software)
            server, refusals = None, refusals + 1
        is_placed = server is not None and server.running < self.load.slots
        if not is_placed and may_wait and refusals < MAX_REFUSALS:
            again = self.now + WAIT_INTERVAL_S
            self._schedule(again, lambda: self._send_non_idempotent(daemon, route, since, refusals))
            return
        if server is None or not is_placed:
            self.non_idempotent_refused += 1
            return
        if self.now > since:
            self.waits.append(self.now - since)
        exposure.record_sent(state, SERVICE, server.member.software)
        self._begin(daemon, server, route, True)

    def _send(self, daemon: int, route: int, is_first: bool) -> None:
        if route in self.load.non_idempotent_routes:
            self._send_non_idempotent(daemon, route, self.now)
            return
        state = self.states[daemon]
        server = self._select_server(state, self._select_arm(state, route, is_first))
        if server is None:
            return
        exposure.record_sent(state, SERVICE, server.member.software)
        if server.running >= self.load.slots:
            # The attempt is refused for lack of a free slot and retried on the old servers.
            if is_first:
                self._send(daemon, route, False)
            return
        self._begin(daemon, server, route, is_first)

    def _begin(self, daemon: int, server: _Server, route: int, is_first: bool) -> None:
        _, work = self.load.routes[route]
        self._count_arrival(server)
        server.running += 1
        elapsed, failure = self._draw_outcome(server, route, work)
        is_idempotent = route not in self.load.non_idempotent_routes
        server.non_idempotent_running += not is_idempotent
        run = _Run(daemon, server, route, self.now, failure, is_first, is_idempotent)
        limit = tally.slow_threshold(work, OBJECTIVE_FACTOR * work, run.is_cold)
        self._schedule(self.now + limit, lambda: self._check_overdue(run))
        self._schedule(self.now + elapsed, lambda: self._finish(run))

    def _count_arrival(self, server: _Server) -> None:
        if self.now > self.duration:
            return
        self.reached += 1
        if server.member.software != NEW or not self._is_bad_version():
            return
        self.exposed += 1
        # A bad version must not receive requests once the time allowed for a rollback is over.
        if self.now > self.rollback_due_at + ROLLBACK_LIMIT_S:
            self.sent_after_rollback += 1

    def _is_bad_version(self) -> bool:
        return self.version_fault.share > 0

    def _is_bad_now(self, server: _Server, route: int) -> bool:
        bad = self.version_fault
        if server.member.software != NEW or self.now < bad.begins:
            return False
        if bad.route is not None and route != bad.route:
            return False
        if server.running <= bad.min_busy_ratio * self.load.slots:
            return False
        return self.rng.random() < bad.share

    def _draw_outcome(
        self, server: _Server, route: int, work: float
    ) -> tuple[float, Failure | None]:
        """Return the service time of a request in seconds, and its failure, if any."""
        elapsed = (
            work
            / server.speed
            * self.rng.lognormvariate(-WORK_LOG_SIGMA * WORK_LOG_SIGMA / 2, WORK_LOG_SIGMA)
        )
        if self.now < server.up_at + COLD_START_S:
            elapsed *= COLD_START_FACTOR
        if route in self.load.non_idempotent_routes:
            if self.rng.random() < self.load.long_ratio:
                elapsed = self.rng.uniform(*LONG_WORK_RANGE_S)
            elapsed = min(elapsed, DEADLINE_S)
        failure = None
        if server.is_faulty and self._has_faults() and self.rng.random() < 0.4:
            failure = BACKEND_FAILURE
        if self._is_bad_now(server, route):
            if self.version_fault.slowdown_factor:
                elapsed *= self.version_fault.slowdown_factor
            else:
                failure = BACKEND_FAILURE
            self.bad += 1
            if self.bad == BAD_ANSWERS_UNTIL_ROLLBACK:
                self.rollback_due_at = self.now + elapsed
        return elapsed, failure

    def _check_overdue(self, run: _Run) -> None:
        if not run.is_over:
            run.is_tallied = True
            tally.record(run.server.counts_by_route, f"r-{run.route}", True)

    def _finish(self, run: _Run) -> None:
        run.is_over = True
        daemon, server, route, failure = run.daemon, run.server, run.route, run.failure
        server.running -= 1
        server.non_idempotent_running -= not run.is_idempotent
        if server.is_stopped:
            self.cut_off += 1
            # Past the deadline the caller has already given up, so the stop loses nothing.
            is_in_time = self.now < run.started + DEADLINE_S
            self.non_idempotent_cut_off += not run.is_idempotent and is_in_time
            failure = BACKEND_FAILURE
        state = self.states[daemon]
        exposure.record_reached(state, SERVICE)
        exposure.record_answer(state, SERVICE, server.member.software, failure is not None)
        work = self.load.routes[route][1]
        elapsed = self.now - run.started
        bad = tally.is_bad(
            AttemptOutcome(failure, 200, elapsed, work, OBJECTIVE_FACTOR * work, run.is_cold)
        )
        if bad is not None and not run.is_tallied and not server.is_stopped:
            tally.record(server.counts_by_route, f"r-{route}", bad)
        if failure is not None and run.is_first and run.is_idempotent:
            self._send(daemon, route, False)

    # Messages

    def _delay(self) -> float:
        delay = self.rng.uniform(*MESSAGE_DELAY_RANGE_S)
        return (
            delay
            if self.rng.random() >= MESSAGE_LOSS_RATIO
            else delay + self.rng.uniform(0.2, MAX_GOSSIP_DELAY_S)
        )

    def _publish(self, status: RolloutStatus) -> None:
        for index in range(len(self.states)):
            self._schedule(self.now + self._delay(), lambda i=index: self._receive(i, status))  # type: ignore[misc]
        for leader in self.leaders:
            self._schedule(
                self.now + self._delay(),
                lambda to=leader: self._receive_as_leader(to, status),  # type: ignore[misc]
            )

    def _receive_as_leader(self, leader: RolloutState, status: RolloutStatus) -> None:
        rollout.receive_status(leader, status, self.now)

    def _receive(self, daemon: int, status: RolloutStatus) -> None:
        exposure.receive(self.states[daemon], status, self.now)

    def _restart_daemons(self) -> None:
        count = round(self.environment.restarted_daemon_ratio * len(self.states))
        for index in self.rng.sample(range(len(self.states)), count):
            fresh = ExposureState(BOUND)
            exposure.note_members(fresh, len(self.states))
            for status in self.states[index].status_by_version.values():
                exposure.receive(fresh, status, self.now)
            self.states[index] = fresh

    # Leaders

    def _tick(self) -> None:
        self._schedule(self.now + LEADER_INTERVAL_S, self._tick)
        for server in (*self._running_servers(self.old), *self._running_servers(self.new)):
            is_new = server.member.software == NEW
            current = self._exposure_of(server).current_by_service.get(SERVICE)
            is_awaited = current is not None and current.closing is Closing.CLOSED
            every = NEW_TALLY_INTERVAL_S if is_new or is_awaited else OLD_TALLY_INTERVAL_S
            if self.now - server.sent_at >= every:
                server.sent_at = self.now
                self._send_tally(server)
        for rank, leader in enumerate(self.leaders):
            if rank > 0 or not self._leader_outage_at <= self.now <= self._leader_outage_at + 2.0:
                self._lead(leader)

    def _send_tally(self, server: _Server) -> None:
        software = server.member.software
        closed = exposure.closed_step(self._exposure_of(server), SERVICE, software)
        counts = dict(server.counts_by_route)
        sent = Tally(
            SERVICE, 0, software, counts, closed, server.non_idempotent_running if closed else 0
        )
        key = server_key(server.member)
        for leader in self.leaders:
            if self.rng.random() >= MESSAGE_LOSS_RATIO:
                self._schedule(
                    self.now + self.rng.uniform(*MESSAGE_DELAY_RANGE_S),
                    lambda to=leader: self._receive_tally(to, key, sent),  # type: ignore[misc]
                )

    def _receive_tally(self, leader: RolloutState, server: str, sent: Tally) -> None:
        evidence.record_tally(leader.evidence, server, sent, self.now)

    def _lead(self, leader: RolloutState) -> None:
        is_platform_down = self._outage_at <= self.now <= self._outage_at + PLATFORM_OUTAGE_S
        new = [server_key(s.member) for s in self._running_servers(self.new)]
        old_servers = [server_key(s.member) for s in self._running_servers(self.old)]
        step = rollout.next_step(
            leader, FleetView(new, old_servers, not is_platform_down, self.load.slots), self.now
        )
        if step is None:
            return
        if step.status.phase is Phase.DONE:
            if is_platform_down:
                return
            if self.final_phase is not None:
                step = step._replace(status=step.status._replace(phase=self.final_phase))
        rollout.apply(leader, step.status, self.now)
        if step.status.is_final:
            self._decide(step.status.phase)
        self._publish(step.status)

    def _decide(self, phase: Phase) -> None:
        if self.final_phase is not None:
            return
        self.final_phase, self.decided_at = phase, self.now
        if phase is Phase.DONE:
            for server in self.old:
                server.is_stopped = True

    def exposure_limit(self) -> float:
        """Return how many requests a bad version may receive under the exposure bound."""
        return BOUND.share * self.reached + BOUND.slack


def simulate(
    load: Workload,
    version_fault: VersionFault,
    environment: EnvironmentFaults,
    duration: float,
    seed: int,
) -> tuple[Outcome, dict[str, Any]]:
    """Simulate one rollout; return its outcome and the evidence of the first leader."""
    model = RolloutModel(load, version_fault, environment, duration, seed)
    outcome = model.run()
    is_over = outcome.exposed > model.exposure_limit()
    seen = model.leaders[0].evidence
    return outcome._replace(is_over_bound=is_over), {"new": seen.new, "before": seen.old}
