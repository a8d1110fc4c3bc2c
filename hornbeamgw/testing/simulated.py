"""Discrete-event simulation of queueing and balancing policies for one service."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from hornbeamgw.core import admission, balancing, placement, sampling, subsetting
from hornbeamgw.core.admission import (
    AdmissionState,
    Admitted,
    AttemptId,
    Decision,
    Refused,
    Request,
)
from hornbeamgw.core.balancing import Candidate, Choice, Load, candidate_of
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.placement import RouteTraits
from hornbeamgw.core.snapshot import Limits

HIGH_LIMITS = Limits(10_000, 0, 64)
SERVICE = "service"
WORK_LOG_SIGMA = 0.5  # standard deviation of the logarithm of the work
MAX_ATTEMPTS = 3
ANSWER_BYTES = 1500
NEVER_S = 1e9  # later than any simulated time
SAMPLING = "asking"  # chooser that queries a sample of the servers first
SUBSET_SAMPLING = "asking_some"  # the same, restricted to the daemon's subset of servers


class Kind(NamedTuple):
    """Kind of request: its mean work, latency objective and deadline are in seconds.

    `weight` is its relative frequency.
    """

    name: str
    work: float
    latency_objective: float
    deadline: float
    weight: float


class Arrival(NamedTuple):
    """A request: its arrival time in seconds, its kind, and its work in seconds at speed 1."""

    at: float
    kind: Kind
    work: float


class Outcome:
    """Counts by kind: requests, answers before the deadline, and answers within the objective."""

    def __init__(self) -> None:
        """Create empty counts."""
        self.requested: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.queries = 0


class _Run(NamedTuple):
    """A running request; `end` and `started_at` are in seconds."""

    end: float
    attempt: AttemptId
    server: int
    started_at: float
    request: Request


def arrivals(
    kinds: Sequence[Kind], slots: float, factor: float, seconds: float, seed: int
) -> list[Arrival]:
    """Return random requests; `factor` is their load relative to the capacity of `slots` slots."""
    rng = random.Random(seed)
    mean = sum(k.work * k.weight for k in kinds) / sum(k.weight for k in kinds)
    weights = [kind.weight for kind in kinds]
    requests, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(factor * slots / mean)
        kind = rng.choices(kinds, weights)[0]
        work = kind.work * rng.lognormvariate(-WORK_LOG_SIGMA * WORK_LOG_SIGMA / 2, WORK_LOG_SIGMA)
        requests.append(Arrival(now, kind, work))
    return requests


def new_server(policy: str, slots: int) -> AdmissionState:
    """Return the admission state of a server that accepts requests."""
    state = AdmissionState(policy)
    state.service, state.slots, state.server_state = SERVICE, slots, ServerState.SERVING
    return state


def _request(attempt: AttemptId, arrival: Arrival) -> Request:
    now, kind = arrival.at, arrival.kind
    deadline, objective = now + kind.deadline, now + kind.latency_objective
    return Request(
        attempt,
        "all",
        HIGH_LIMITS,
        deadline,
        kind.name,
        objective,
        kind.latency_objective,
        1,
        arrived_at=now,
    )


class Fleet:
    """Simulated servers of one service, and daemons that send requests to them."""

    def __init__(
        self,
        speeds: Sequence[float],
        slots: int,
        queueing: str,
        chooser: str,
        daemons: int,
        data_centres: int = 0,
    ) -> None:
        """Create servers and daemons; `queueing` and `chooser` are names of policies.

        Servers and daemons are spread over `data_centres` data centres. If it is 0, servers are
        spread over three, and all daemons are in the first.
        """
        self.outcome = Outcome()
        self._speeds = speeds
        self._states = [new_server(queueing, slots) for _ in speeds]
        self._members = [
            Member(
                f"s{i}", f"dc-{i % (data_centres or 3)}", "region", 1, service=SERVICE, slots=slots
            )
            for i in range(len(speeds))
        ]
        self._daemons = [
            Member(f"daemon-{i}", f"dc-{i % (data_centres or 1)}", "region", 1)
            for i in range(daemons)
        ]
        self._index_by_address = {m.address: i for i, m in enumerate(self._members)}
        self._uses_sampling = chooser in (SAMPLING, SUBSET_SAMPLING)
        self._n_remote = subsetting.N_REMOTE if chooser == SUBSET_SAMPLING else len(speeds)
        self._known_by_daemon: dict[int, list[Member]] = {}
        self._choose = balancing.chooser_of("expected_finish" if self._uses_sampling else chooser)
        self._loads = [[Load(0.0) for _ in speeds] for _ in range(daemons)]
        self._traits: list[dict[str, RouteTraits]] = [{} for _ in range(daemons)]
        self._running: list[_Run] = []
        self._work_by_attempt: dict[AttemptId, tuple[int, Kind, float]] = {}

    def run(self, requests: Sequence[Arrival], seed: int) -> Outcome:
        """Simulate all requests and return their outcome."""
        rng = random.Random(seed)
        for number, arrival in enumerate(requests):
            self._finish_until(arrival.at)
            self.outcome.requested[arrival.kind.name] += 1
            self._dispatch(arrival, number * MAX_ATTEMPTS, rng)
        self._finish_until(NEVER_S)
        return self.outcome

    def _dispatch(self, arrival: Arrival, first_attempt_number: int, rng: random.Random) -> None:
        daemon, kind, now = rng.randrange(len(self._loads)), arrival.kind, arrival.at
        traits = self._traits[daemon].setdefault(kind.name, RouteTraits(kind.latency_objective))
        tried: list[str] = []
        for attempt_number in range(first_attempt_number, first_attempt_number + MAX_ATTEMPTS):
            candidates = [
                candidate_of(member, self._loads[daemon][self._index_by_address[member.address]])
                for member in self._known_servers(daemon)
            ]
            choice = Choice(
                self._daemons[daemon], candidates, tried, traits, kind.latency_objective, now
            )
            chosen = (
                self._choose_by_sampling(choice, arrival, daemon, rng)
                if self._uses_sampling
                else self._choose(choice, rng)
            )
            if chosen is None:
                return
            tried.append(chosen.member.address)
            attempt = AttemptId("a", daemon, attempt_number)
            if self._attempt(
                self._index_by_address[chosen.member.address], daemon, attempt, arrival
            ):
                return

    def _known_servers(self, daemon: int) -> list[Member]:
        known = self._known_by_daemon.get(daemon)
        if known is None:
            known = subsetting.server_subset(self._daemons[daemon], self._members, self._n_remote)
            self._known_by_daemon[daemon] = known
        return known

    def _choose_by_sampling(
        self, choice: Choice, arrival: Arrival, daemon: int, rng: random.Random
    ) -> Candidate | None:
        """Query sampled servers as a daemon does, without network delay."""
        recent = sampling.recently_free(choice, rng)
        if recent is not None:
            return recent
        accepting: list[Candidate] = []
        request = _request(AttemptId("asked", daemon, 0), arrival)
        for is_local in (True, False):
            for candidate in sampling.sample(choice, is_local, rng):
                server = self._index_by_address[candidate.member.address]
                state = self._states[server]
                self.outcome.queries += 1
                self._report(server, daemon, arrival.at)
                if admission.outlook(state, request, SERVICE, arrival.at).would_admit:
                    accepting.append(candidate)
            found = sampling.best(choice, accepting)
            if found is not None and sampling.is_short(found.load.wait, choice.latency_objective):
                return found
        return found

    def _attempt(self, server: int, daemon: int, attempt: AttemptId, arrival: Arrival) -> bool:
        now, kind = arrival.at, arrival.kind
        self._work_by_attempt[attempt] = (daemon, kind, arrival.work)
        request = _request(attempt, arrival)
        load = self._loads[daemon][server]
        load.sent_since_report += 1
        self._begin(server, admission.next_decisions(self._states[server], now), now)
        decision = admission.admit(self._states[server], request, SERVICE, now)
        if isinstance(decision, Refused):
            self._report(server, daemon, now)
            return False
        load.outstanding += 1
        self._begin(server, [decision], now)
        return True

    def _begin(self, server: int, decisions: Sequence[Decision], now: float) -> None:
        for decision in decisions:
            attempt = decision.request.attempt
            daemon, _, work = self._work_by_attempt[attempt]
            if isinstance(decision, Admitted):
                end = now + work / self._speeds[server]
                run = _Run(end, attempt, server, now, decision.request)
                heapq.heappush(self._running, run)
            elif isinstance(decision, Refused):
                self._loads[daemon][server].outstanding -= 1

    def _finish_until(self, limit: float) -> None:
        while self._running and self._running[0].end <= limit:
            run = heapq.heappop(self._running)
            daemon, kind, _ = self._work_by_attempt[run.attempt]
            load = self._loads[daemon][run.server]
            load.outstanding -= 1
            self.outcome.served[kind.name] += run.end <= run.request.deadline
            self.outcome.in_time[kind.name] += run.end <= run.request.objective
            state = self._states[run.server]
            self._begin(
                run.server, admission.finish(state, run.attempt, run.started_at, run.end), run.end
            )
            traits = self._traits[daemon][kind.name]
            placement.note_answer(traits, load, run.end - run.started_at, ANSWER_BYTES)
            self._report(run.server, daemon, run.end)

    def _report(self, server: int, daemon: int, now: float) -> None:
        """Deliver the load report that accompanies each answer of a server."""
        state = self._states[server]
        wait = admission.expected_wait(state, now)
        free = admission.free_slots(state, now)
        placement.note_report(self._loads[daemon][server], free, wait, now)
