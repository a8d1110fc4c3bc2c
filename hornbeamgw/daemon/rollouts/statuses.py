"""Statuses: the rows that tell operators how their orders stand, written under conditions."""

from __future__ import annotations

import logging
from typing import NamedTuple

from hornbeamgw.backends.rows import RowStore, StoredRow
from hornbeamgw.core.standing import Phase, RolloutStatus
from hornbeamgw.daemon.rollouts.orders import PROGRESS_BY_PHASE, OrderRows, Progress, Status

log = logging.getLogger(__name__)

PHASE_BY_PROGRESS = {progress: phase for phase, progress in PROGRESS_BY_PHASE.items()}


class OrderPlace(NamedTuple):
    """Hold which order a status is of: its target, and the row's state in an era of the store."""

    service: str
    target: str
    row_state: int
    era: int


class Statuses:
    """Read and write statuses; each call may raise PlatformError."""

    def __init__(self, rows: RowStore, order_rows: OrderRows) -> None:
        """Take the store, and how statuses are worded there."""
        self._rows = rows
        self._order_rows = order_rows

    async def decided(self, order: OrderPlace) -> Phase | None:
        """Return what was decided on an order, None where nothing was written."""
        row, era = await self._read(order.service)
        return self._decided(order, row, era)

    async def write(self, standing: RolloutStatus, order: OrderPlace) -> Phase:
        """Write how an order stands unless another was decided before; return what holds then."""
        progress = PROGRESS_BY_PHASE.get(standing.phase, Progress.RUNNING)
        wanted = Status(progress, standing.target)
        while True:
            row, era = await self._read(order.service)
            decided = self._decided(order, row, era)
            if decided is not None:
                return decided
            if row is not None and self._decode(row) == wanted:
                return standing.phase
            value = self._order_rows.encode_status(wanted)
            table, key = self._order_rows.status_table, self._order_rows.prefix + order.service
            if await self._rows.write(table, key, value, row.revision if row is not None else 0):
                log.info("status written", extra={"service": order.service, **wanted._asdict()})
                return standing.phase

    async def _read(self, service: str) -> tuple[StoredRow | None, int]:
        key = self._order_rows.prefix + service
        page = await self._rows.read(self._order_rows.status_table, key)
        return next((row for row in page.rows if row.value is not None), None), page.era

    def _decode(self, row: StoredRow) -> Status | None:
        try:
            return self._order_rows.decode_status(row.value or b"")
        except ValueError as error:
            log.warning("status unreadable", extra={"key": row.key, "error": str(error)})
            return None

    def _decided(self, order: OrderPlace, row: StoredRow | None, era: int) -> Phase | None:
        told = None if row is None else self._decode(row)
        if row is None or told is None or told.target != order.target:
            return None
        # States of another era tell nothing of what was written first.
        if era != order.era or row.revision < order.row_state:
            return None
        return PHASE_BY_PROGRESS.get(told.progress)
