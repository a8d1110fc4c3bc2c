"""Committer: carries an operator's edit into the platform and spreads it."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import NamedTuple

from result import Err

from hornbeamgw.backends.base import Platform, PlatformError
from hornbeamgw.core import commit, edit, versions
from hornbeamgw.core.commit import Head
from hornbeamgw.core.edit import Delta, Edit, Rejection
from hornbeamgw.core.versions import ArrivalPath, Origin
from hornbeamgw.daemon.control import Control
from hornbeamgw.daemon.reader import Reader
from hornbeamgw.daemon.sources import of_commit

log = logging.getLogger(__name__)

COMMIT_LIMIT_S = 20.0
BACKOFF_S = 0.05
BACKOFF_MAX_S = 1.0


class Committed(NamedTuple):
    """Say which version an edit became."""

    version: int


class Unsure(NamedTuple):
    """Say that the platform gave no answer; the same edit id may be sent again."""

    detail: str


Outcome = Committed | Rejection | Unsure


class Committer:
    """Own the writes to the platform; no lease is needed, for each write is conditional."""

    def __init__(
        self, control: Control, reader: Reader, platform: Platform, rng: random.Random
    ) -> None:
        """Take the platform to write and the control that spreads what was accepted."""
        self._control = control
        self._reader = reader
        if platform.table is None or platform.objects is None:
            raise ValueError("a committer needs a platform with a table and objects")
        self._table = platform.table
        self._objects = platform.objects
        self._rng = rng

    async def commit(self, wanted: Edit) -> Outcome:
        """Make an edit the next version, or say why not; a lost answer is resolved by its id."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + COMMIT_LIMIT_S
        failures = 0
        detail = ""
        while loop.time() < give_up_at:
            try:
                outcome = await self._try_once(wanted)
            except PlatformError as error:
                detail = str(error)
                failures += 1
                log.warning(
                    "commit without an answer", extra={"edit": wanted["edit_id"], "error": detail}
                )
                ceiling = min(BACKOFF_MAX_S, BACKOFF_S * 2**failures)
                await asyncio.sleep(self._rng.uniform(0, ceiling))
                continue
            if outcome is not None:
                return outcome
            await asyncio.sleep(self._rng.uniform(0, BACKOFF_S))
        return Unsure(detail or "the head kept moving")

    async def _try_once(self, wanted: Edit) -> Outcome | None:
        row = await self._table.read(commit.HEAD_KEY)
        head = commit.decode_head(row.value if row else None)
        if await self._reader.catch_up(of_commit(head)):
            self._control.push()
        earlier = self._find(wanted["edit_id"])
        if earlier is not None:
            return Committed(earlier["version"])
        known = self._control.versions.catalogue
        if not commit.is_at_head(known, head):
            return None
        accepted = edit.accept(known, wanted, round(time.time() * 1000))
        if isinstance(accepted, Err):
            return accepted.err_value
        delta = accepted.ok_value
        if not await self._write(head, row.etag if row else None, delta):
            return None
        origin = Origin(ArrivalPath.COMMIT, self._control.view.me.address)
        if self._control.learn_deltas([edit.encode_delta(delta)], origin):
            self._control.push()
        return Committed(delta["version"])

    async def _write(self, head: Head, etag: str | None, delta: Delta) -> bool:
        with_snapshot = commit.is_snapshot_due(head, delta["version"])
        if with_snapshot:
            extended = edit.apply_delta(self._control.versions.catalogue, delta)
            blob = versions.encode_catalogue(extended.unwrap())
            await self._objects.put(commit.snapshot_name(delta["digest"]), blob)
        plan = commit.plan(head, etag, delta, with_snapshot)
        return await self._table.transact(plan.writes)

    def _find(self, edit_id: str) -> Delta | None:
        blobs = self._control.versions.deltas_by_version.values()
        found = [edit.decode_delta(blob) for blob in blobs if edit_id.encode() in blob]
        return commit.find_edit(found, edit_id)
