"""Simulated load: policies decide on requests in simulated time, without a network."""

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

WIDE = Limits(10_000, 0, 64)
SERVICE = "service"
SPREAD = 0.5  # of the logarithm of work, as on the users' sheets
TRIES = 3
ANSWER_BYTES = 1500
FOREVER = 1e9
ASKING = "asking"  # the way to choose that asks some gates first
ASKING_SOME = "asking_some"  # the same among the servers that a daemon deals with


class Kind(NamedTuple):
    """Hold a kind of request: mean work, objective and deadline (s), and its share."""

    name: str
    work: float
    aim: float
    deadline: float
    weight: float


class Arrival(NamedTuple):
    """Hold one request: when (s), of which kind, and its work (s)."""

    at: float
    kind: Kind
    work: float


class Outcome:
    """Count by kind what was asked, answered before its deadline, and within its objective."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.asked: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()


class _Run(NamedTuple):
    end: float
    attempt: AttemptId
    server: int
    began: float
    request: Request


def arrivals(
    kinds: Sequence[Kind], slots: float, factor: float, seconds: float, seed: int
) -> list[Arrival]:
    """Return requests at a factor of what slots of speed 1 can do, at random times."""
    rng = random.Random(seed)
    mean = sum(k.work * k.weight for k in kinds) / sum(k.weight for k in kinds)
    weights = [kind.weight for kind in kinds]
    found, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(factor * slots / mean)
        kind = rng.choices(kinds, weights)[0]
        work = kind.work * rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        found.append(Arrival(now, kind, work))
    return found


def new_server(policy: str, slots: int) -> AdmissionState:
    """Return the admission state of a server that serves."""
    state = AdmissionState(policy)
    state.service, state.slots, state.server_state = SERVICE, slots, ServerState.SERVING
    return state


def _request(attempt: AttemptId, arrival: Arrival) -> Request:
    now, kind = arrival.at, arrival.kind
    deadline, objective = now + kind.deadline, now + kind.aim
    return Request(
        attempt, "all", WIDE, deadline, kind.name, objective, kind.aim, 1, arrived_at=now
    )


class Fleet:
    """Hold servers of one service, their speeds, and daemons that place requests on them."""

    def __init__(
        self,
        speeds: Sequence[float],
        slots: int,
        queueing: str,
        chooser: str,
        daemons: int,
        data_centres: int = 0,
    ) -> None:
        """Take the speeds of the servers, their slots, and the names of both policies.

        Daemons are spread over as many data centres as servers; with 0, servers lie in three and
        all daemons in the first.
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
        self._asks = chooser in (ASKING, ASKING_SOME)
        self._far = subsetting.N_REMOTE if chooser == ASKING_SOME else len(speeds)
        self._known_by_daemon: dict[int, list[Member]] = {}
        self._choose = balancing.chooser_of("expected_finish" if self._asks else chooser)
        self._loads = [[Load(0.0) for _ in speeds] for _ in range(daemons)]
        self._traits: list[dict[str, RouteTraits]] = [{} for _ in range(daemons)]
        self._running: list[_Run] = []
        self._work_by_attempt: dict[AttemptId, tuple[int, Kind, float]] = {}

    def run(self, requests: Sequence[Arrival], seed: int) -> Outcome:
        """Serve all requests and return what became of them."""
        rng = random.Random(seed)
        for number, arrival in enumerate(requests):
            self._finish_until(arrival.at)
            self.outcome.asked[arrival.kind.name] += 1
            self._place(arrival, number * TRIES, rng)
        self._finish_until(FOREVER)
        return self.outcome

    def _place(self, arrival: Arrival, number: int, rng: random.Random) -> None:
        daemon, kind, now = rng.randrange(len(self._loads)), arrival.kind, arrival.at
        traits = self._traits[daemon].setdefault(kind.name, RouteTraits(kind.aim))
        tried: list[str] = []
        for attempt_number in range(number, number + TRIES):
            candidates = [
                candidate_of(member, self._loads[daemon][self._index_by_address[member.address]])
                for member in self._known(daemon)
            ]
            choice = Choice(self._daemons[daemon], candidates, tried, traits, kind.aim, now)
            chosen = (
                self._choose_by_asking(choice, arrival, daemon, rng)
                if self._asks
                else self._choose(choice, rng)
            )
            if chosen is None:
                return
            tried.append(chosen.member.address)
            attempt = AttemptId("a", daemon, attempt_number)
            if self._try(self._index_by_address[chosen.member.address], daemon, attempt, arrival):
                return

    def _known(self, daemon: int) -> list[Member]:
        known = self._known_by_daemon.get(daemon)
        if known is None:
            known = subsetting.server_subset(self._daemons[daemon], self._members, self._far)
            self._known_by_daemon[daemon] = known
        return known

    def _choose_by_asking(
        self, choice: Choice, arrival: Arrival, daemon: int, rng: random.Random
    ) -> Candidate | None:
        """Ask as a daemon does, without delay."""
        takers: list[Candidate] = []
        request = _request(AttemptId("asked", daemon, 0), arrival)
        for is_near in (True, False):
            for candidate in sampling.sample(choice, is_near, rng):
                server = self._index_by_address[candidate.member.address]
                state = self._states[server]
                self._report(server, daemon, arrival.at)
                if admission.outlook(state, request, SERVICE, arrival.at).would_admit:
                    takers.append(candidate)
            found = sampling.best(choice, takers)
            if found is not None and sampling.is_short(found.load.wait, choice.latency_objective):
                return found
        return found

    def _try(self, server: int, daemon: int, attempt: AttemptId, arrival: Arrival) -> bool:
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
                run.server, admission.finish(state, run.attempt, run.began, run.end), run.end
            )
            traits = self._traits[daemon][kind.name]
            placement.note_answer(traits, load, run.end - run.began, ANSWER_BYTES)
            self._report(run.server, daemon, run.end)

    def _report(self, server: int, daemon: int, now: float) -> None:
        """Tell a daemon what a server's reports carry with each answer."""
        state = self._states[server]
        wait = admission.expected_wait(state, now)
        free = admission.free_slots(state)
        placement.note_report(self._loads[daemon][server], free, wait, now)
