"""Leader: carries the orders that this daemon leads, among those that read the platform."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, RowStore, StoredRow
from hornbeamgw.core import evidence, membership, rollout
from hornbeamgw.core.balancing import serving
from hornbeamgw.core.membership import Member, server_key, split_by_server
from hornbeamgw.core.rollout import LEADER_LAG_S, FleetView, Order, RolloutState, Step
from hornbeamgw.core.standing import Phase, RolloutStatus
from hornbeamgw.core.tally import Tally
from hornbeamgw.daemon.rollouts.orders import OrderRows
from hornbeamgw.daemon.rollouts.rollouts import Rollouts
from hornbeamgw.daemon.rollouts.statuses import OrderPlace, Statuses

log = logging.getLogger(__name__)

TICK_S = 0.05
RECORD_RETRY_S = 0.1
RECORD_RETRY_MAX_S = 0.8
# A store that has answered nothing for so long may be away; a watch returns within 1.5 s.
REACHED_WITHIN_S = 2.5
# Orders are numbered by the row's state within an era of the store.
STATES_OF_AN_ERA = 1 << 44


class _Led(NamedTuple):
    state: RolloutState
    row_state: int
    era: int


class Leader:
    """Own the orders that were read, and what is decided on them."""

    def __init__(
        self,
        rows: RowStore,
        order_rows: OrderRows,
        rollouts: Rollouts,
        members: Callable[[], Sequence[Member]],
        rank_of: Callable[[str], int | None],
        rng: random.Random,
    ) -> None:
        """Take the store, what is known of the fleet, and how this daemon ranks as a leader."""
        self._statuses = Statuses(rows, order_rows)
        self._order_rows = order_rows
        self._rollouts = rollouts
        self._members = members
        self._rank_of = rank_of
        self._rng = rng
        self._reached_at = 0.0
        self._led_by_service: dict[str, _Led] = {}
        self._recording_by_service: dict[str, asyncio.Task[None]] = {}
        self._deciding: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_work = asyncio.Event()
        rollouts.on_heard.append(self._on_heard)

    # Orders

    def on_page(self, page: RowPage) -> None:
        """Take rows as they were read; an order that is gone was withdrawn."""
        self._reached_at = asyncio.get_running_loop().time()
        for row in page.rows:
            if row.key.startswith(self._order_rows.prefix):
                self._on_row(row, page.era)

    def _on_row(self, row: StoredRow, era: int) -> None:
        service = row.key.removeprefix(self._order_rows.prefix)
        if row.value is None:
            self._on_withdrawn(service)
            return
        try:
            written = self._order_rows.decode(row.value)
        except ValueError as error:
            log.error("order unreadable", extra={"key": row.key, "error": str(error)})
            return
        if written.service != service:
            log.error("order unreadable", extra={"key": row.key, "service": written.service})
            return
        number = era * STATES_OF_AN_ERA + row.revision
        self._on_order(Order(*written, number), row.revision, era)

    def _on_order(self, order: Order, row_state: int, era: int) -> None:
        led = self._led_by_service.get(order.service)
        if led is not None and order.number <= led.state.order.number:
            return
        if led is not None and led.era < era and order[:3] == led.state.order[:3]:
            # The store came back from a copy, and the operator has written the order again.
            self._led_by_service[order.service] = led._replace(row_state=row_state, era=era)
            return
        now = asyncio.get_running_loop().time()
        state = RolloutState(order, self._rollouts.state.bound, now)
        log.info("order read", extra=order._asdict())
        self._led_by_service[order.service] = _Led(state, row_state, era)
        known = self._rollouts.state.status_by_version.get((order.service, order.target))
        self._has_work.set()
        if known is not None and rollout.hear(state, known, now):
            return
        self._rollouts.hear(state.status)
        if self._rank_of(order.service) is not None:
            self._rollouts.tell(state.status, is_urgent=True)
            self._spawn(self._look_up(order.service, state))

    def _on_withdrawn(self, service: str) -> None:
        led = self._led_by_service.get(service)
        if led is not None and not led.state.status.is_final:
            log.info("order withdrawn", extra={"service": service})
            self._tell(led.state, _decided_step(led.state, Phase.BACK, "withdrawn"))

    async def _look_up(self, service: str, state: RolloutState) -> None:
        """Find out whether the order was decided before all daemons that knew of it ended."""
        try:
            decided = await self._statuses.decided(self._place(service))
        except PlatformError as error:
            log.info("status not read", extra={"service": service, "error": str(error)})
            return
        if decided is not None and not state.status.is_final:
            self._tell(state, _decided_step(state, decided, "it was decided before"))

    def on_era(self, era: int) -> None:
        """Write down again what a store that came back from a copy may have lost."""
        for service, led in self._led_by_service.items():
            rank = self._rank_of(service)
            is_told = led.state.status.is_final or led.state.status.phase is not Phase.HELD
            if rank is not None and is_told and service not in self._deciding:
                self._record(led.state, wait=rank * LEADER_LAG_S)

    # Evidence

    def on_tally(self, sender: str, tally: Tally) -> None:
        """Take what was counted at a server."""
        led = self._led_by_service.get(tally.service)
        if led is None:
            return
        now = asyncio.get_running_loop().time()
        server = f"{sender}/{tally.server}" if tally.server else sender
        evidence.record_tally(led.state.evidence, server, tally, now)

    def _on_heard(self, standing: RolloutStatus) -> None:
        led = self._led_by_service.get(standing.service)
        if led is None:
            return
        now = asyncio.get_running_loop().time()
        rank = self._rank_of(standing.service)
        if rollout.hear(led.state, standing, now) and standing.is_final and rank is not None:
            self._rollouts.tell(standing, is_urgent=False)
            self._record(led.state, wait=(rank + 1) * LEADER_LAG_S)

    # Steps

    async def run(self) -> None:
        """Lead the orders for which this daemon is among the leaders."""
        while True:
            undecided = [led for led in self._led_by_service.values() if _is_open(led)]
            if not undecided:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            for led in undecided:
                self._lead(led.state)
            await asyncio.sleep(TICK_S)

    def _lead(self, state: RolloutState) -> None:
        service = state.order.service
        rank = self._rank_of(service)
        if rank is None or service in self._deciding:
            return
        if not self._rollouts.tells(state.status):
            # Whoever joins hears of it also where those who led before are gone.
            self._rollouts.tell(state.status, is_urgent=False)
        state.lag_s = rank * LEADER_LAG_S
        now = asyncio.get_running_loop().time()
        seen = self._seen(state, now)
        step = rollout.next_step(state, seen, now)
        if step is None:
            return
        if step.status.phase is Phase.DONE and seen.old_servers:
            # The servers of before are stopped once it is written, so it is told only then.
            self._record(state, step)
        else:
            self._tell(state, step)

    def _seen(self, state: RolloutState, now: float) -> FleetView:
        service, target = state.order.service, state.order.target
        members = [m for m in self._members() if m.status is not membership.Status.LEFT]
        alive = [m for m in members if m.status is not membership.Status.DEAD]
        of_target = [m for m in serving(alive, service) if m.software == target]
        new = [server_key(m) for m in of_target]
        before = [
            server_key(m)
            for member in members
            for m in split_by_server(member)
            if m.service == service and m.software != target
        ]
        is_reached = now - self._reached_at <= REACHED_WITHIN_S
        return FleetView(new, before, is_reached, max((m.slots for m in of_target), default=1))

    def _tell(self, state: RolloutState, step: Step) -> None:
        now = asyncio.get_running_loop().time()
        rollout.apply(state, step.status, now)
        self._log(state, step, now)
        self._rollouts.tell(step.status, is_urgent=True)
        if step.status.phase is Phase.TRIAL or step.status.is_final:
            self._record(state)

    def _log(self, state: RolloutState, step: Step, now: float) -> None:
        told: dict[str, Any] = {"service": state.order.service, "target": state.order.target}
        told |= {"phase": step.status.phase.name.lower(), "why": step.why}
        told |= {"step": step.status.step, "length_ms": step.status.length_ms}
        told |= {"closing": step.status.closing.name.lower()}
        told |= {"after_s": round(now - state.received_at, 2), "against": step.degradation}
        told |= {"new": state.evidence.new, "before": state.evidence.old}
        log.info("rollout step", extra=told)

    # Status

    def _place(self, service: str) -> OrderPlace:
        led = self._led_by_service[service]
        return OrderPlace(service, led.state.order.target, led.row_state, led.era)

    def _spawn(self, coroutine: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _record(self, state: RolloutState, step: Step | None = None, wait: float = 0.0) -> None:
        """Write down how an order stands, or a decision that is to be told once it is written."""
        service = state.order.service
        earlier = self._recording_by_service.pop(service, None)
        if earlier is not None:
            earlier.cancel()
        if step is not None:
            self._deciding.add(service)
        task = self._spawn(self._write_status(state, step, wait))
        self._recording_by_service[service] = task
        task.add_done_callback(lambda done: self._recorded(service, done))

    def _recorded(self, service: str, task: asyncio.Task[None]) -> None:
        if self._recording_by_service.get(service) is task:
            del self._recording_by_service[service]
            self._deciding.discard(service)
        if not task.cancelled() and task.exception() is not None:
            log.error("status not written", exc_info=task.exception())

    async def _write_status(self, state: RolloutState, step: Step | None, wait: float) -> None:
        await asyncio.sleep(wait)
        failures = 0
        while True:
            status = state.status if step is None else step.status
            try:
                decided = await self._statuses.write(status, self._place(status.service))
                break
            except PlatformError as error:
                failures += 1
                told = {"service": status.service, "error": str(error), "try": failures}
                log.info("status not written", extra=told)
                if step is not None:
                    return  # The next tick decides anew, by what is known then.
            ceiling = min(RECORD_RETRY_MAX_S, RECORD_RETRY_S * 2**failures)
            await asyncio.sleep(self._rng.uniform(ceiling / 2, ceiling))
        if decided >= Phase.BACK and not state.status.is_final:
            why = "it was decided before" if step is None else step.why
            self._tell(state, _decided_step(state, decided, why))


def _decided_step(state: RolloutState, phase: Phase, why: str) -> Step:
    held = state.status
    return Step(held._replace(phase=phase, step=held.step + 1), why)


def _is_open(led: _Led) -> bool:
    return not led.state.status.is_final
