"""Status rows of rollout orders, written only if unchanged since they were read."""

from __future__ import annotations

import logging
from typing import NamedTuple

from hornbeamgw.backends.rows import RowStore, StoredRow
from hornbeamgw.core.standing import Phase, RolloutStatus
from hornbeamgw.daemon.rollouts.orders import PROGRESS_BY_PHASE, OrderRows, OrderStatus, Progress

log = logging.getLogger(__name__)

PHASE_BY_PROGRESS = {progress: phase for phase, progress in PROGRESS_BY_PHASE.items()}


class OrderRevision(NamedTuple):
    """Identity of an order: its service and target, and the revision of its row.

    The store's era changes when the store is restored from a backup.
    """

    service: str
    target: str
    row_revision: int
    era: int


class StatusRows:
    """Reads and writes of status rows; each call may raise PlatformError."""

    def __init__(self, rows: RowStore, order_rows: OrderRows) -> None:
        """Create access to the status rows of `order_rows`."""
        self._rows = rows
        self._order_rows = order_rows

    async def decision(self, order: OrderRevision) -> Phase | None:
        """Return the stored decision on an order, Phase.DONE or Phase.BACK; None if undecided."""
        row, era = await self._read(order.service)
        return self._decision(order, row, era)

    async def write(self, rollout_status: RolloutStatus, order: OrderRevision) -> Phase:
        """Write the status of an order unless a decision is stored; return the phase in effect."""
        progress = PROGRESS_BY_PHASE.get(rollout_status.phase, Progress.RUNNING)
        order_status = OrderStatus(progress, rollout_status.target)
        while True:
            row, era = await self._read(order.service)
            decision = self._decision(order, row, era)
            if decision is not None:
                return decision
            if row is not None and self._decode(row) == order_status:
                return rollout_status.phase
            value = self._order_rows.encode_status(order_status)
            table, key = self._order_rows.status_table, self._order_rows.prefix + order.service
            if await self._rows.write(table, key, value, row.revision if row is not None else 0):
                log.info(
                    "rollout order status written",
                    extra={"service": order.service, **order_status._asdict()},
                )
                return rollout_status.phase

    async def _read(self, service: str) -> tuple[StoredRow | None, int]:
        key = self._order_rows.prefix + service
        page = await self._rows.read(self._order_rows.status_table, key)
        return next((row for row in page.rows if row.value is not None), None), page.era

    def _decode(self, row: StoredRow) -> OrderStatus | None:
        try:
            return self._order_rows.decode_status(row.value or b"")
        except ValueError as error:
            log.warning(
                "rollout order status is invalid; ignoring it",
                extra={"key": row.key, "error": str(error)},
            )
            return None

    def _decision(self, order: OrderRevision, row: StoredRow | None, era: int) -> Phase | None:
        stored = None if row is None else self._decode(row)
        if row is None or stored is None or stored.target != order.target:
            return None
        # Revisions from before and after a restore of the store can't be compared.
        if era != order.era or row.revision < order.row_revision:
            return None
        return PHASE_BY_PROGRESS.get(stored.progress)
