"""Servers: what this daemon saw of each backend server, and where it sends a call."""

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
from hornbeamgw.daemon.call import Call, MeshView, earliest_retry_ms, objective_left_ms
from hornbeamgw.daemon.outlooks import Told, is_as_good_as_any

OwnOutlook = Callable[[frames.OutlookRequest], frames.Outlook]

NOTHING_TOLD = Told((), (), 0)
# As many as a call may be refused by (calls.MAX_REFUSALS); each takes a round trip.
ASKED_ONE_BY_ONE = 3
# Versions that are new wait a second for word of an order; how often (s) that is looked at.
NEWCOMERS_AGAIN_S = 0.2
# A request that waits for servers to be replaced asks again so often (s), and keeps this part of
# the time that it had left.
WAIT_STEP_S = 0.02
WAIT_KEEPS_PART = 0.3


class Servers:
    """Own the loads of backend servers and the traits of routes."""

    def __init__(
        self,
        links: Links,
        choose: Chooser,
        rng: random.Random,
        own_outlook: OwnOutlook | None = None,
        exposed: ExposureState | None = None,
    ) -> None:
        """Take the links to ask on, the way to choose by what was heard, and the gate here.

        With it goes what versions on trial may get; without, no order is ever heard of.
        """
        self._exposed = exposed or ExposureState(ExposureBound(0.0, 0.0))
        self._own_outlook = own_outlook
        self._links = links
        self._choose = choose
        self._rng = rng
        self._placement = PlacementState()
        self._loads_by_key: dict[str, tuple[int, Load]] = {}
        self._found_at = (-1, -1)
        self._found_until = math.inf
        self._serving_by_service: dict[str, list[Member]] = {}
        self._candidates_by_arm: dict[tuple[str, Arm], list[Candidate]] = {}

    def traits_of(self, call: Call) -> RouteTraits:
        """Return what answers of a call's route are like."""
        return placement.traits_of(self._placement, call.route.name, call.latency_objective)

    def slowest_link(self, call: Call, view: MeshView) -> float:
        """Return the narrowest bandwidth (bytes/s) of a server's VM, 0 where none is known."""
        candidates = self._candidates(view, call.service, asyncio.get_running_loop().time())
        known = (c.member.bandwidth for c in candidates if c.member.bandwidth)
        return min(known, default=0)

    def has_other(self, call: Call, view: MeshView, now: float) -> bool:
        """Return whether there is a server that a call has not been sent to."""
        candidates = self._candidates(view, call.service, now)
        return any(c.key not in call.tried for c in candidates)

    def _candidates(
        self, view: MeshView, service: str, now: float, arm: Arm = Arm.BEFORE
    ) -> list[Candidate]:
        """Return the servers that a call may go to, found anew only where something has changed."""
        found_at = view.generation, self._exposed.generation
        if found_at != self._found_at or now >= self._found_until:
            self._found_at, self._found_until = found_at, math.inf
            self._serving_by_service.clear()
            self._candidates_by_arm.clear()
        candidates = self._candidates_by_arm.get((service, arm))
        if candidates is None:
            found = self._of_arm(view, service, now, arm)
            known = subsetting.server_subset(view.me, found)
            candidates = [candidate_of(member, self._load(member, now)) for member in known]
            if arm is not Arm.TURN:
                self._candidates_by_arm[service, arm] = candidates
        return candidates

    def _of_arm(self, view: MeshView, service: str, now: float, arm: Arm) -> list[Member]:
        serving = self._serving_by_service.get(service)
        if serving is None:
            serving = balancing.serving(view.members, service)
            self._serving_by_service[service] = serving
            exposure.record_versions(self._exposed, service, {m.software for m in serving}, now)
        if arm is Arm.BEFORE:
            found = exposure.servers_in_use(self._exposed, service, serving, now)
            if len(found) < len(serving):
                self._found_until = now + NEWCOMERS_AGAIN_S
            return found
        found = exposure.new_servers(self._exposed, service, serving)
        if arm is Arm.TURN:
            current = self._exposed.current_by_service[service]
            return exposure.servers_on_turn(found, exposure.turn_seconds(current), time.time())
        return found

    def _load(self, member: Member, now: float) -> Load:
        """Return what was seen of the server there; another run of it starts anew."""
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
        if not self._exposed.current_by_service:
            return Arm.BEFORE
        length = self.traits_of(call).service
        idempotent = call.route.idempotent
        asked = exposure.RequestTraits(
            call.service, length, not call.placed, idempotent, has_waited
        )
        return exposure.select_arm(self._exposed, asked, time.time(), self._rng)

    async def _awaited_arm(self, call: Call) -> Arm:
        """Return among which servers one is chosen, waiting while there should be none."""
        loop = asyncio.get_running_loop()
        arm = self._arm_of(call)
        if arm is not Arm.WAIT:
            return arm
        since = loop.time()
        until = call.deadline - WAIT_KEEPS_PART * (call.deadline - since)
        while arm is Arm.WAIT and loop.time() < until and not (call.caller_gone or call.expired):
            await asyncio.sleep(WAIT_STEP_S)
            arm = self._arm_of(call, has_waited=True)
        call.replacement_wait += loop.time() - since
        return Arm.BEFORE if arm is Arm.WAIT else arm

    async def choose(self, call: Call, view: MeshView) -> Candidate | None:
        """Return where to send a call: by what was heard of all servers, or by asking some."""
        arm = await self._awaited_arm(call)
        choice = self._choice(call, view, asyncio.get_running_loop().time(), arm)
        chosen = await self._choose_by(choice, call)
        call.why_far = None if chosen is None else crossing.why_far(choice, chosen)
        return chosen

    async def _choose_by(self, choice: Choice, call: Call) -> Candidate | None:
        if not sampling.should_ask(choice):
            return await self._choose_by_reports(call, choice)
        own = self._ask_own(call, choice)
        if own is not None:
            return own
        found = self._best_taker(call, choice)
        while call.sampling_rounds_left and not (
            found and sampling.is_short(found.load.wait, call.latency_objective)
        ):
            is_first = call.sampling_rounds_left == sampling.MAX_ROUNDS
            is_near = is_first or not crossing.is_remote_better(choice, found)
            call.sampling_rounds_left -= 1
            asked = sampling.sample(choice, is_near, self._rng)
            told = await self._ask(call, [c for c in asked if c not in call.takers])
            call.takers += told.takers
            call.tried += [c.key for c in told.refusers]
            call.retry_after_ms = earliest_retry_ms(call.retry_after_ms, told.retry_after_ms)
            choice = choice._replace(now=asyncio.get_running_loop().time())
            found = self._best_taker(call, choice)
        if found is None and not call.retry_after_ms:
            return self._choose(choice, self._rng)
        return found

    async def _choose_by_reports(self, call: Call, choice: Choice) -> Candidate | None:
        """Return the server chosen by what was heard before; a large body is announced first."""
        for _ in range(ASKED_ONE_BY_ONE):
            chosen = self._choose(choice, self._rng)
            if chosen is None:
                return None
            if not crossing.should_ask_first(choice.me, chosen, len(call.body)):
                return chosen
            told = await self._ask(call, [chosen])
            if not told.refusers:
                return chosen
            call.tried.append(chosen.key)
            call.retry_after_ms = earliest_retry_ms(call.retry_after_ms, told.retry_after_ms)
            choice = choice._replace(now=asyncio.get_running_loop().time())
        return None

    def _best_taker(self, call: Call, choice: Choice) -> Candidate | None:
        takers = [c for c in call.takers if c.key not in call.tried]
        if self._exposed.current_by_service:
            usable = {c.key for c in choice.candidates}
            takers = [c for c in takers if c.key in usable]
        return sampling.best(choice, takers)

    def _ask_own(self, call: Call, choice: Choice) -> Candidate | None:
        """Return the server beside this daemon where it has a free slot and isn't slow.

        Asking the others takes a frame and an answer each, and none could begin sooner.
        """
        beside = (c for c in choice.candidates if c.member.address == choice.me.address)
        own = next((c for c in beside if c.key not in call.tried), None)
        if own is None or self._own_outlook is None:
            return None
        outlook = self._own_outlook(_question(call, choice.now)._replace(server=own.member.server))
        placement.note_report(own.load, outlook.free_slots, outlook.wait_ms / 1000, choice.now)
        return own if is_as_good_as_any(own, outlook) else None

    async def _ask(self, call: Call, candidates: Sequence[Candidate]) -> Told:
        opened = [(c, self._links.link_if_open(c.member.address)) for c in candidates]
        # Of two servers beside one daemon the first is asked, since answers are told by their link.
        linked = {link: candidate for candidate, link in reversed(opened) if link is not None}
        if not linked:
            return NOTHING_TOLD
        request = _question(call, asyncio.get_running_loop().time())
        self._links.counts["outlooks_asked"] += len(linked)
        call.gates_asked += len(linked)
        return await self._links.outlooks.ask(linked, request)


def _question(call: Call, now: float) -> frames.OutlookRequest:
    return frames.OutlookRequest(
        0,
        call.service,
        call.route.entry.name,
        call.route.name,
        max(1, round((call.deadline - now) * 1000)),
        objective_left_ms(call, now),
        call.route.objective_ms,
        call.route.priority,
        call.is_caller_retry,
    )
