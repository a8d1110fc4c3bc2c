"""Leader of rollouts: execute the orders that this daemon leads, and store their status."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, RowStore, StoredRow
from hornbeamgw.core import backoff, evidence, membership, rollout
from hornbeamgw.core.balancing import serving
from hornbeamgw.core.membership import Member, server_key, split_by_server
from hornbeamgw.core.rollout import LEADER_LAG_S, FleetView, Order, RolloutState, Step
from hornbeamgw.core.standing import Phase, RolloutStatus
from hornbeamgw.core.tally import Tally
from hornbeamgw.daemon.containment import contained
from hornbeamgw.daemon.rollouts.orders import OrderRows
from hornbeamgw.daemon.rollouts.rollouts import Rollouts
from hornbeamgw.daemon.rollouts.statuses import OrderRevision, StatusRows

log = logging.getLogger(__name__)

TICK_S = 0.05
STATUS_RETRY_S = 0.1
STATUS_RETRY_MAX_S = 0.8
# The platform counts as unreachable after this time without a read. A watch returns within 1.5 s.
PLATFORM_TIMEOUT_S = 2.5
# An order's number is composed of the store's era and the revision of the row within the era.
MAX_REVISIONS_PER_ERA = 1 << 44


class _LedOrder(NamedTuple):
    state: RolloutState
    row_revision: int
    era: int


class Leader:
    """The rollout orders read from the platform, and the decisions on them."""

    def __init__(
        self,
        rows: RowStore,
        order_rows: OrderRows,
        rollouts: Rollouts,
        members: Callable[[], Sequence[Member]],
        rank_of: Callable[[str], int | None],
        rng: random.Random,
    ) -> None:
        """Create a leader without orders.

        `members` returns the members of the fleet, and `rank_of` this daemon's rank among the
        leaders of a service's rollout, or None.
        """
        self._statuses = StatusRows(rows, order_rows)
        self._order_rows = order_rows
        self._rollouts = rollouts
        self._members = members
        self._rank_of = rank_of
        self._rng = rng
        self._last_read_at = 0.0
        self._led_orders_by_service: dict[str, _LedOrder] = {}
        self._status_writes_by_service: dict[str, asyncio.Task[None]] = {}
        self._pending_decisions: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_work = asyncio.Event()
        rollouts.on_status.append(self._on_status)

    # Orders

    def on_page(self, page: RowPage) -> None:
        """Process the rows of a read; a deleted order is withdrawn."""
        self._last_read_at = asyncio.get_running_loop().time()
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
            log.error(
                "rollout order is invalid; ignoring it", extra={"key": row.key, "error": str(error)}
            )
            return
        if written.service != service:
            log.error(
                "rollout order names another service than its key; ignoring it",
                extra={"key": row.key, "service": written.service},
            )
            return
        number = era * MAX_REVISIONS_PER_ERA + row.revision
        self._on_order(Order(*written, number), row.revision, era)

    def _on_order(self, order: Order, row_revision: int, era: int) -> None:
        led_order = self._led_orders_by_service.get(order.service)
        if led_order is not None and order.number <= led_order.state.order.number:
            return
        if led_order is not None and led_order.era < era and order[:3] == led_order.state.order[:3]:
            # The store was restored from a backup, and the operator has written the order again.
            self._led_orders_by_service[order.service] = led_order._replace(
                row_revision=row_revision, era=era
            )
            return
        now = asyncio.get_running_loop().time()
        state = RolloutState(order, self._rollouts.state.bound, now)
        log.info("rollout order received", extra=order._asdict())
        self._led_orders_by_service[order.service] = _LedOrder(state, row_revision, era)
        known = self._rollouts.state.status_by_version.get((order.service, order.target))
        self._has_work.set()
        if known is not None and rollout.receive_status(state, known, now):
            return
        self._rollouts.receive_status(state.status)
        if self._rank_of(order.service) is not None:
            self._rollouts.publish_status(state.status, is_urgent=True)
            self._spawn(self._check_earlier_decision(order.service, state))

    def _on_withdrawn(self, service: str) -> None:
        led_order = self._led_orders_by_service.get(service)
        if led_order is not None and not led_order.state.status.is_final:
            log.info("rollout order withdrawn; rolling back", extra={"service": service})
            self._publish_step(
                led_order.state, _decision_step(led_order.state, Phase.BACK, "withdrawn")
            )

    async def _check_earlier_decision(self, service: str, state: RolloutState) -> None:
        """Adopt a stored decision on the order, if the daemons that knew of it have ended."""
        try:
            decision = await self._statuses.decision(self._order_revision(service))
        except PlatformError as error:
            log.info(
                "reading rollout order status failed",
                extra={"service": service, "error": str(error)},
            )
            return
        if decision is not None and not state.status.is_final:
            self._publish_step(state, _decision_step(state, decision, "it was decided before"))

    def on_era(self, era: int) -> None:
        """Write statuses again that a store restored from a backup may have lost."""
        for service, led_order in self._led_orders_by_service.items():
            rank = self._rank_of(service)
            has_started = (
                led_order.state.status.is_final or led_order.state.status.phase is not Phase.HELD
            )
            if rank is not None and has_started and service not in self._pending_decisions:
                self._start_status_write(led_order.state, delay_s=rank * LEADER_LAG_S)

    # Evidence

    def on_tally(self, sender: str, tally: Tally) -> None:
        """Record the request counts of a server."""
        led_order = self._led_orders_by_service.get(tally.service)
        if led_order is None:
            return
        now = asyncio.get_running_loop().time()
        server = f"{sender}/{tally.server}" if tally.server else sender
        evidence.record_tally(led_order.state.evidence, server, tally, now)

    def _on_status(self, received: RolloutStatus) -> None:
        led_order = self._led_orders_by_service.get(received.service)
        if led_order is None:
            return
        now = asyncio.get_running_loop().time()
        rank = self._rank_of(received.service)
        if (
            rollout.receive_status(led_order.state, received, now)
            and received.is_final
            and rank is not None
        ):
            self._rollouts.publish_status(received, is_urgent=False)
            self._start_status_write(led_order.state, delay_s=(rank + 1) * LEADER_LAG_S)

    # Steps

    async def run(self) -> None:
        """Execute the orders for which this daemon is a leader, until cancelled."""
        while True:
            undecided = [
                led_order
                for led_order in self._led_orders_by_service.values()
                if _is_undecided(led_order)
            ]
            if not undecided:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            for led_order in undecided:
                with contained("rollout step"):
                    self._lead(led_order.state)
            await asyncio.sleep(TICK_S)

    def _lead(self, state: RolloutState) -> None:
        service = state.order.service
        rank = self._rank_of(service)
        if rank is None or service in self._pending_decisions:
            return
        if not self._rollouts.is_published(state.status):
            # Daemons that join receive the status from here if earlier leaders have ended.
            self._rollouts.publish_status(state.status, is_urgent=False)
        state.lag_s = rank * LEADER_LAG_S
        now = asyncio.get_running_loop().time()
        fleet_view = self._fleet_view(state, now)
        step = rollout.next_step(state, fleet_view, now)
        if step is None:
            return
        if step.status.phase is Phase.DONE and fleet_view.old_servers:
            # The old servers are stopped once the status is written, so it is published after that.
            self._start_status_write(state, step)
        else:
            self._publish_step(state, step)

    def _fleet_view(self, state: RolloutState, now: float) -> FleetView:
        service, target = state.order.service, state.order.target
        members = [m for m in self._members() if m.status is not membership.Status.LEFT]
        alive = [m for m in members if m.status is not membership.Status.DEAD]
        target_servers = [m for m in serving(alive, service) if m.software == target]
        new_keys = [server_key(m) for m in target_servers]
        old_keys = [
            server_key(m)
            for member in members
            for m in split_by_server(member)
            if m.service == service and m.software != target
        ]
        is_reachable = now - self._last_read_at <= PLATFORM_TIMEOUT_S
        return FleetView(
            new_keys, old_keys, is_reachable, max((m.slots for m in target_servers), default=1)
        )

    def _publish_step(self, state: RolloutState, step: Step) -> None:
        now = asyncio.get_running_loop().time()
        rollout.apply(state, step.status, now)
        self._log_step(state, step, now)
        self._rollouts.publish_status(step.status, is_urgent=True)
        if step.status.phase is Phase.TRIAL or step.status.is_final:
            self._start_status_write(state)

    def _log_step(self, state: RolloutState, step: Step, now: float) -> None:
        fields: dict[str, Any] = {"service": state.order.service, "target": state.order.target}
        fields |= {"phase": step.status.phase.name.lower(), "why": step.why}
        fields |= {"step": step.status.step, "length_ms": step.status.length_ms}
        fields |= {"closing": step.status.closing.name.lower()}
        fields |= {"after_s": round(now - state.received_at, 2), "against": step.degradation}
        fields |= {"new": state.evidence.new, "before": state.evidence.old}
        log.info("rollout step decided", extra=fields)

    # Status

    def _order_revision(self, service: str) -> OrderRevision:
        led_order = self._led_orders_by_service[service]
        return OrderRevision(
            service, led_order.state.order.target, led_order.row_revision, led_order.era
        )

    def _spawn(self, coroutine: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _start_status_write(
        self, state: RolloutState, step: Step | None = None, delay_s: float = 0.0
    ) -> None:
        """Start writing the status of an order, or a decision that is published afterwards."""
        service = state.order.service
        earlier = self._status_writes_by_service.pop(service, None)
        if earlier is not None:
            earlier.cancel()
        if step is not None:
            self._pending_decisions.add(service)
        task = self._spawn(self._write_status(state, step, delay_s))
        self._status_writes_by_service[service] = task
        task.add_done_callback(lambda done: self._on_status_written(service, done))

    def _on_status_written(self, service: str, task: asyncio.Task[None]) -> None:
        if self._status_writes_by_service.get(service) is task:
            del self._status_writes_by_service[service]
            self._pending_decisions.discard(service)
        if not task.cancelled() and task.exception() is not None:
            log.error("writing rollout order status failed", exc_info=task.exception())

    async def _write_status(self, state: RolloutState, step: Step | None, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        failures = 0
        while True:
            status = state.status if step is None else step.status
            try:
                decision = await self._statuses.write(status, self._order_revision(status.service))
                break
            except PlatformError as error:
                failures += 1
                fields = {"service": status.service, "error": str(error), "try": failures}
                log.info("writing rollout order status failed; will be tried again", extra=fields)
                if step is not None:
                    return  # The next tick decides again.
            ceiling = backoff.ceiling(STATUS_RETRY_S, STATUS_RETRY_MAX_S, failures)
            await asyncio.sleep(self._rng.uniform(ceiling / 2, ceiling))
        if decision >= Phase.BACK and not state.status.is_final:
            why = "it was decided before" if step is None else step.why
            self._publish_step(state, _decision_step(state, decision, why))


def _decision_step(state: RolloutState, phase: Phase, why: str) -> Step:
    current = state.status
    return Step(current._replace(phase=phase, step=current.step + 1), why)


def _is_undecided(led_order: _LedOrder) -> bool:
    return not led_order.state.status.is_final
