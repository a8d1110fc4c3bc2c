"""Discovery of other daemons through rows in the platform's store, without seeds.

A daemon reads all rows when it starts, and writes its own row if it is missing or outdated. After
that, the membership view is maintained by probes and gossip, so the store's rate limit does not
limit the fleet's size. If two daemons start at the same time, at least one must find the other: a
daemon that finds no other one, or none that answers, reads the rows again after writing its own.
Rows don't expire; one daemon, selected each time, deletes the rows of daemons that have ended.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Iterable, Mapping

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, RowStore, StoredRow
from hornbeamgw.core import backoff, membership
from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.rendezvous import select_members
from hornbeamgw.daemon.control import Control
from hornbeamgw.daemon.presence import (
    BACKOFF_MAX_S,
    BACKOFF_S,
    REWRITE_MAX_DELAY_S,
    SERVER_ANNOUNCEMENT_TIMEOUT_S,
    TABLE,
    OwnRow,
    decode_member,
)

log = logging.getLogger(__name__)

# Several members are contacted at once, since some may have ended.
MAX_JOIN_PEERS = 4
# When the whole fleet starts for the first time, daemons read the rows after all of them have been
# written, which is shortly after the servers' first announcements.
FIRST_READ_DELAY_S = SERVER_ANNOUNCEMENT_TIMEOUT_S + 0.5
# Allowance for the daemons to learn of the store's new era and to write their rows.
REWRITE_MARGIN_S = 0.3
# A daemon that receives no message for about this time reads the rows again. Probes are sent once a
# second.
NO_CONTACT_RETRY_S = 3.0
SWEEP_INTERVAL_S = 120.0
SWEEPER_COUNT = 1


def decode_members(page: RowPage) -> list[Member]:
    """Return the members in a page of rows; invalid rows are logged and skipped."""
    members = []
    for row in page.rows:
        try:
            members.append(decode_member(row))
        except ValueError as error:
            log.warning(
                "directory row is invalid; skipping it", extra={"key": row.key, "error": str(error)}
            )
    return members


def rows_of_dead_daemons(page: RowPage, members_by_address: dict[str, Member]) -> list[StoredRow]:
    """Return the rows of daemons that are known as dead or left."""
    dead = []
    for row in page.rows:
        member = members_by_address.get(row.key)
        if member is not None and member.status >= Status.DEAD:
            dead.append(row)
    return dead


def unchanged_rows(
    rows: Iterable[StoredRow], revisions_by_key: Mapping[str, int]
) -> list[StoredRow]:
    """Return the rows that have the revision of their key."""
    return [row for row in rows if revisions_by_key.get(row.key) == row.revision]


class Directory:
    """The way in which a daemon joins the fleet through the platform's store."""

    def __init__(
        self,
        control: Control,
        rows: RowStore,
        rng: random.Random,
        own_row: OwnRow,
        is_first_start: bool = False,
    ) -> None:
        """Create a directory; `is_first_start` is whether the whole fleet has just been created."""
        self.joined = asyncio.Event()  # set after the first attempt to join, even if it failed
        self.view_received = asyncio.Event()
        self.is_empty = False  # whether the first read found no other daemon
        self._control = control
        self._rows = rows
        self._rng = rng
        self._own_row = own_row
        self._is_first_start = is_first_start
        self._dead_revisions_by_key: dict[str, int] = {}

    async def run(self) -> None:
        """Join the fleet, and then delete rows of ended daemons when selected for it."""
        self._control.spawn(self._own_row.run())
        if self._is_first_start:
            self._own_row.found(None)
            await asyncio.sleep(FIRST_READ_DELAY_S)
        await self._join()
        while not self._control.has_had_contact:
            await asyncio.sleep(NO_CONTACT_RETRY_S * self._rng.uniform(0.8, 1.2))
            if not self._control.has_had_contact:
                await self._own_row.write()
                await self._join()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            members = membership.reachable(self._control.view)
            sweepers = select_members("sweeper", members, SWEEPER_COUNT)
            if any(m.address == self._control.view.me.address for m in sweepers):
                await self._sweep()

    async def _join(self) -> None:
        failures = 0
        while True:
            try:
                members = await self._read()
                break
            except PlatformError as error:
                failures += 1
                log.warning(
                    "directory read failed; retrying", extra={"error": str(error), "try": failures}
                )
            self.joined.set()
            ceiling = backoff.ceiling(BACKOFF_S, BACKOFF_MAX_S, failures)
            await asyncio.sleep(self._rng.uniform(ceiling / 2, ceiling))
        if not members:
            self.is_empty = True
            await self._own_row.write()
            members = await self._read_again()
        if not members and self._control.node.era:
            # A store restored from a backup may have lost the rows; daemons write them again.
            await asyncio.sleep(REWRITE_MAX_DELAY_S + REWRITE_MARGIN_S)
            members = await self._read_again()
        self.joined.set()
        await self._contact_members(members)
        self.view_received.set()

    async def _read(self) -> list[Member]:
        """Return the members of all rows except this daemon's; raise PlatformError."""
        own = self._control.view.me.address
        page = await self._rows.read(TABLE)
        self._control.note_era(page.era)
        row = next((row for row in page.rows if row.key == own), None)
        self._own_row.found(row, page.era)
        found = [member for member in decode_members(page) if member.address != own]
        self._own_row.report_findings(page)
        fields = {"daemons": len(found), "state": page.revision, "era": page.era}
        log.info("directory read", extra=fields)
        return found

    async def _read_again(self) -> list[Member]:
        try:
            return await self._read()
        except PlatformError as error:
            log.warning("directory read failed", extra={"error": str(error)})
            return []

    async def _contact_members(self, members: list[Member]) -> None:
        known = self._control.view.members_by_address
        records = (
            members if self._is_first_start else list(map(membership.without_servers, members))
        )
        self._control.add_discovered([m for m in records if m.address not in known])
        others = self._rng.sample(members, min(MAX_JOIN_PEERS, len(members)))
        if self._is_first_start:
            others = others[:1]
        await asyncio.gather(*(self._control.reconcile(m.address) for m in others))
        if not self._is_first_start:
            self._control.announce_everywhere()

    async def _sweep(self) -> None:
        """Delete the rows of daemons that had ended at the last sweep already.

        A daemon that is started again soon needs its row, which says which servers have left.
        """
        try:
            page = await self._rows.read(TABLE)
            dead = rows_of_dead_daemons(page, self._control.view.members_by_address)
            swept = unchanged_rows(dead, self._dead_revisions_by_key)
            self._dead_revisions_by_key = {row.key: row.revision for row in dead}
            for row in swept:
                if page.era != (self._control.node.era or 0):
                    return  # Row revisions of another era can't be used for conditional writes.
                await self._rows.write(TABLE, row.key, None, row.revision)
                log.info("deleted directory row of an ended daemon", extra={"key": row.key})
        except PlatformError as error:
            log.warning(
                "deleting directory rows of ended daemons failed", extra={"error": str(error)}
            )
