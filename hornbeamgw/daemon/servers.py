"""Servers: track the load of each backend server and choose a server for each call."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable, Sequence

from hornbeamgw.core import balancing, crossing, exposure, placement, sampling, subsetting
from hornbeamgw.core.balancing import Candidate, Choice, Chooser, Load, candidate_of
from hornbeamgw.core.exposure import Arm, ExposureBound, ExposureState
from hornbeamgw.core.membership import Member, server_key
from hornbeamgw.core.placement import PlacementState, RouteTraits
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.attempts import Links
from hornbeamgw.daemon.call import (
    Call,
    MeshView,
    earliest_retry_ms,
    objective_left_ms,
    release_reservation,
)
from hornbeamgw.daemon.outlooks import QueryResult, is_good_enough

OwnOutlook = Callable[[frames.OutlookRequest], frames.Outlook]

NO_ANSWERS = QueryResult((), (), 0)
# Servers that are queried one after another before a large body is sent. Each query takes a round
# trip. Equal to the number of refusals after which a call fails (`calls.MAX_REFUSALS`).
MAX_SEQUENTIAL_QUERIES = 3
# Servers with a new version may be used once its rollout is known, or after a second. Until then,
# this is checked at this interval.
NEW_VERSION_RECHECK_S = 0.2
# During a rollout, a request may have to wait until stopping servers have been replaced. It polls
# at this interval, and stops waiting when this ratio of the time until its deadline is left.
REPLACEMENT_POLL_S = 0.02
TIME_RESERVED_RATIO = 0.3


class Servers:
    """The load of each backend server and the traits of each route, used to choose servers."""

    def __init__(
        self,
        links: Links,
        choose: Chooser,
        rng: random.Random,
        own_outlook: OwnOutlook | None = None,
        exposure_state: ExposureState | None = None,
    ) -> None:
        """Create an instance without load reports.

        `links` are used to query other daemons, `own_outlook` to query this one. `choose` selects a
        server by the recorded load reports. `exposure_state` limits the requests that are sent to
        versions under rollout; by default there are no rollouts.
        """
        self._exposure_state = exposure_state or ExposureState(ExposureBound(0.0, 0.0))
        self._own_outlook = own_outlook
        self._links = links
        self._choose = choose
        self._rng = rng
        self._placement = PlacementState()
        self._loads_by_key: dict[str, tuple[int, Load]] = {}
        self._cache_key = (-1, -1)
        self._cached_until = math.inf
        self._serving_by_service: dict[str, list[Member]] = {}
        self._candidates_by_arm: dict[tuple[str, Arm], list[Candidate]] = {}

    def traits_of(self, call: Call) -> RouteTraits:
        """Return the expected service time and answer size of a call's route."""
        return placement.traits_of(self._placement, call.route.name, call.latency_objective)

    def min_bandwidth(self, call: Call, view: MeshView) -> float:
        """Return the smallest known bandwidth of the servers' VMs in bytes/s, or 0."""
        candidates = self._candidates(view, call.service, asyncio.get_running_loop().time())
        known = (c.member.bandwidth for c in candidates if c.member.bandwidth)
        return min(known, default=0)

    def has_untried(self, call: Call, view: MeshView, now: float) -> bool:
        """Return whether there is a server that the call has not been sent to."""
        candidates = self._candidates(view, call.service, now)
        return any(c.key not in call.tried for c in candidates)

    def _candidates(
        self, view: MeshView, service: str, now: float, arm: Arm = Arm.BEFORE
    ) -> list[Candidate]:
        """Return the servers that a call may be sent to; they are cached until a change."""
        cache_key = view.generation, self._exposure_state.generation
        if cache_key != self._cache_key or now >= self._cached_until:
            self._cache_key, self._cached_until = cache_key, math.inf
            self._serving_by_service.clear()
            self._candidates_by_arm.clear()
        candidates = self._candidates_by_arm.get((service, arm))
        if candidates is None:
            arm_members = self._arm_members(view, service, now, arm)
            subset = subsetting.server_subset(view.me, arm_members)
            candidates = [candidate_of(member, self._load(member, now)) for member in subset]
            if arm is not Arm.TURN:
                self._candidates_by_arm[service, arm] = candidates
        return candidates

    def _arm_members(self, view: MeshView, service: str, now: float, arm: Arm) -> list[Member]:
        serving = self._serving_by_service.get(service)
        if serving is None:
            serving = balancing.serving(view.members, service)
            self._serving_by_service[service] = serving
            exposure.record_versions(
                self._exposure_state, service, {m.software for m in serving}, now
            )
        if arm is Arm.BEFORE:
            usable = exposure.servers_in_use(self._exposure_state, service, serving, now)
            if len(usable) < len(serving):
                self._cached_until = now + NEW_VERSION_RECHECK_S
            return usable
        usable = exposure.new_servers(self._exposure_state, service, serving)
        if arm is Arm.TURN:
            current = self._exposure_state.current_by_service[service]
            return exposure.active_canary_servers(
                usable, exposure.canary_period_seconds(current), time.time()
            )
        return usable

    def _load(self, member: Member, now: float) -> Load:
        """Return the load of a server; the load is reset when its process has been restarted."""
        key = server_key(member)
        started_ms, load = self._loads_by_key.get(key, (-1, None))
        if load is None or started_ms != member.server_started_ms:
            load = Load(now)
            self._loads_by_key[key] = (member.server_started_ms, load)
        return load

    def _choice(self, call: Call, view: MeshView, now: float, arm: Arm) -> Choice:
        traits = self.traits_of(call)
        candidates = self._candidates(view, call.service, now, arm)
        if not candidates:
            candidates = self._candidates(view, call.service, now)
        return Choice(
            view.me, candidates, call.tried, traits, call.latency_objective, now, call.answer_by
        )

    def _arm_of(self, call: Call, has_waited: bool = False) -> Arm:
        if not self._exposure_state.current_by_service:
            return Arm.BEFORE
        service_time = self.traits_of(call).service
        idempotent = call.route.idempotent
        traits = exposure.RequestTraits(
            call.service, service_time, not call.placed, idempotent, has_waited
        )
        return exposure.select_arm(self._exposure_state, traits, time.time(), self._rng)

    async def _wait_for_arm(self, call: Call) -> Arm:
        """Return the rollout arm for a call; wait while no server may receive it."""
        loop = asyncio.get_running_loop()
        arm = self._arm_of(call)
        if arm is not Arm.WAIT:
            return arm
        started_at = loop.time()
        until = call.deadline - TIME_RESERVED_RATIO * (call.deadline - started_at)
        while arm is Arm.WAIT and loop.time() < until and not (call.caller_gone or call.expired):
            await asyncio.sleep(REPLACEMENT_POLL_S)
            arm = self._arm_of(call, has_waited=True)
        call.replacement_wait += loop.time() - started_at
        return Arm.BEFORE if arm is Arm.WAIT else arm

    async def choose(self, call: Call, view: MeshView) -> Candidate | None:
        """Choose a server for a call, by load reports or by querying a sample of the servers."""
        release_reservation(call)
        arm = await self._wait_for_arm(call)
        if arm in (Arm.TURN, Arm.NEW):
            call.reservation = exposure.reserve(self._exposure_state, call.service)
        choice = self._choice(call, view, asyncio.get_running_loop().time(), arm)
        chosen = await self._choose_for(choice, call)
        call.why_far = None if chosen is None else crossing.why_far(choice, chosen)
        return chosen

    async def _choose_for(self, choice: Choice, call: Call) -> Candidate | None:
        if not sampling.should_query(choice):
            return await self._choose_by_reports(call, choice)
        own = self._query_own(call, choice)
        if own is not None:
            return own
        best = self._best_accepting(call, choice)
        while call.sampling_rounds_left and not (
            best and sampling.is_short(best.load.wait, call.latency_objective)
        ):
            is_first = call.sampling_rounds_left == sampling.MAX_ROUNDS
            is_near = is_first or not crossing.is_remote_better(choice, best)
            call.sampling_rounds_left -= 1
            sampled = sampling.sample(choice, is_near, self._rng)
            result = await self._query(call, [c for c in sampled if c not in call.accepting])
            call.accepting += result.accepting
            call.tried += [c.key for c in result.refusing]
            call.retry_after_ms = earliest_retry_ms(call.retry_after_ms, result.retry_after_ms)
            choice = choice._replace(now=asyncio.get_running_loop().time())
            best = self._best_accepting(call, choice)
        if best is None and not call.retry_after_ms:
            return self._choose(choice, self._rng)
        return best

    async def _choose_by_reports(self, call: Call, choice: Choice) -> Candidate | None:
        """Choose a server by load reports; query a remote one before sending it a large body."""
        for _ in range(MAX_SEQUENTIAL_QUERIES):
            chosen = self._choose(choice, self._rng)
            if chosen is None:
                return None
            if not crossing.should_query_first(choice.me, chosen, len(call.body)):
                return chosen
            result = await self._query(call, [chosen])
            if not result.refusing:
                return chosen
            call.tried.append(chosen.key)
            call.retry_after_ms = earliest_retry_ms(call.retry_after_ms, result.retry_after_ms)
            choice = choice._replace(now=asyncio.get_running_loop().time())
        return None

    def _best_accepting(self, call: Call, choice: Choice) -> Candidate | None:
        accepting = [c for c in call.accepting if c.key not in call.tried]
        if self._exposure_state.current_by_service:
            usable = {c.key for c in choice.candidates}
            accepting = [c for c in accepting if c.key in usable]
        return sampling.best(choice, accepting)

    def _query_own(self, call: Call, choice: Choice) -> Candidate | None:
        """Return this daemon's own server if it is good enough, without using the network.

        No other server could start the request sooner, so the others need not be queried.
        """
        local = (c for c in choice.candidates if c.member.address == choice.me.address)
        own = next((c for c in local if c.key not in call.tried), None)
        if own is None or self._own_outlook is None:
            return None
        outlook = self._own_outlook(
            _outlook_request(call, choice.now)._replace(server=own.member.server)
        )
        placement.note_report(own.load, outlook.free_slots, outlook.wait_ms / 1000, choice.now)
        return own if is_good_enough(own, outlook) else None

    async def _query(self, call: Call, candidates: Sequence[Candidate]) -> QueryResult:
        links = [(c, self._links.link_if_open(c.member.address)) for c in candidates]
        # Answers are matched by link, so only the first of several servers of a daemon is queried.
        candidates_by_link = {
            link: candidate for candidate, link in reversed(links) if link is not None
        }
        if not candidates_by_link:
            return NO_ANSWERS
        request = _outlook_request(call, asyncio.get_running_loop().time())
        self._links.counts["outlooks_asked"] += len(candidates_by_link)
        call.gates_asked += len(candidates_by_link)
        return await self._links.outlooks.ask(candidates_by_link, request)


def _outlook_request(call: Call, now: float) -> frames.OutlookRequest:
    return frames.OutlookRequest(
        0,
        call.service,
        call.route.entry.name,
        call.route.name,
        max(1, round((call.deadline - now) * 1000)),
        objective_left_ms(call, now),
        call.route.objective_ms,
        call.rank,
        call.is_caller_retry,
        organisation="" if call.organisation is None else call.organisation.name,
    )
