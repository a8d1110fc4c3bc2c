"""Commits of operators' edits to the platform."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import NamedTuple

from result import Err

from hornbeamgw.backends.base import Platform, PlatformError
from hornbeamgw.core import backoff, commit, edit, versions
from hornbeamgw.core.commit import Head
from hornbeamgw.core.edit import Delta, Edit, Rejection
from hornbeamgw.core.versions import ArrivalPath, Origin
from hornbeamgw.daemon.control import Control
from hornbeamgw.daemon.reader import Reader
from hornbeamgw.daemon.sources import to_source_head

log = logging.getLogger(__name__)

COMMIT_TIMEOUT_S = 20.0
BACKOFF_S = 0.05
BACKOFF_MAX_S = 1.0


class Committed(NamedTuple):
    """Result of an edit that was committed as this version."""

    version: int


class UnknownOutcome(NamedTuple):
    """Result of an edit without a final answer; it can be retried with the same edit id."""

    detail: str


Outcome = Committed | Rejection | UnknownOutcome


class Committer:
    """Writer of catalogue versions; all writes are conditional, so no lease is needed."""

    def __init__(
        self, control: Control, reader: Reader, platform: Platform, rng: random.Random
    ) -> None:
        """Create a committer that pushes committed versions through `control`."""
        self._control = control
        self._reader = reader
        if platform.table is None or platform.objects is None:
            raise ValueError("a committer needs a platform with a table and objects")
        self._table = platform.table
        self._objects = platform.objects
        self._rng = rng

    async def commit(self, requested: Edit) -> Outcome:
        """Commit an edit as the next version, or return why it failed.

        If the answer to a write was lost, the edit is looked up by its id.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + COMMIT_TIMEOUT_S
        failures = 0
        detail = ""
        while loop.time() < deadline:
            try:
                outcome = await self._attempt(requested)
            except PlatformError as error:
                detail = str(error)
                failures += 1
                log.warning(
                    "commit failed or its result is unknown; retrying",
                    extra={"edit": requested["edit_id"], "error": detail},
                )
                ceiling = backoff.ceiling(BACKOFF_S, BACKOFF_MAX_S, failures)
                await asyncio.sleep(self._rng.uniform(0, ceiling))
                continue
            if outcome is not None:
                return outcome
            await asyncio.sleep(self._rng.uniform(0, BACKOFF_S))
        return UnknownOutcome(detail or "the head kept moving")

    async def _attempt(self, requested: Edit) -> Outcome | None:
        row = await self._table.read(commit.HEAD_KEY)
        head = commit.decode_head(row.value if row else None)
        if await self._reader.catch_up(to_source_head(head)):
            self._control.push()
        earlier = self._find_committed(requested["edit_id"])
        if earlier is not None:
            return Committed(earlier["version"])
        known = self._control.versions.catalogue
        if not commit.is_at_head(known, head):
            return None
        accepted = edit.accept(known, requested, round(time.time() * 1000))
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

    def _find_committed(self, edit_id: str) -> Delta | None:
        blobs = self._control.versions.deltas_by_version.values()
        deltas = [edit.decode_delta(blob) for blob in blobs if edit_id.encode() in blob]
        return commit.find_edit(deltas, edit_id)
