"""Directory: lets daemons find one another through rows of the platform, without seeds.

A daemon reads all rows when it starts, and writes its own where the store lacks it; from then on
probes and gossip carry the view, so the store's rate does not bound the fleet. Of two daemons that
start together at least one must see the other: whoever finds nobody, or nobody that answers, reads
again after its own row is there. Rows never expire by themselves: one daemon, chosen anew each
time, deletes those of daemons that ended long ago.
"""

from __future__ import annotations

import asyncio
import logging
import random

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, RowStore, StoredRow
from hornbeamgw.core import membership
from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.rendezvous import select_members
from hornbeamgw.daemon.control import Control
from hornbeamgw.daemon.presence import (
    BACKOFF_MAX_S,
    BACKOFF_S,
    REWRITE_WITHIN_S,
    SERVER_AWAITED_S,
    TABLE,
    OwnRow,
    member_of,
)

log = logging.getLogger(__name__)

# Several at once, for some rows are of daemons that are gone.
PEERS_TO_JOIN = 4
# Where the whole fleet starts for the first time, all rows are there a moment after all servers
# have told of themselves; each daemon then reads them once and needs to tell nobody.
FIRST_READ_AFTER_S = SERVER_AWAITED_S + 0.5
REWRITTEN_S = 0.3  # for a write, and for the daemons to hear of the store's new era
# Probes go out once a second; a fleet of which none was heard of for so long has other rows by now.
NOBODY_HEARD_S = 3.0
# Once in two minutes at 950 daemons costs the one that sweeps two calls and 100 KB.
SWEEP_EVERY_S = 120.0
SWEEPERS = 1


def members_of(page: RowPage) -> list[Member]:
    """Return the members that rows hold; one that can't be read is left out and logged."""
    found = []
    for row in page.rows:
        try:
            found.append(member_of(row))
        except ValueError as error:
            log.warning("row of a daemon unreadable", extra={"key": row.key, "error": str(error)})
    return found


def ended_rows(page: RowPage, members_by_address: dict[str, Member]) -> list[StoredRow]:
    """Return the rows of daemons that are believed to have ended."""
    ended = []
    for row in page.rows:
        member = members_by_address.get(row.key)
        if member is not None and member.status >= Status.DEAD:
            ended.append(row)
    return ended


class Directory:
    """Own how this daemon joins the fleet."""

    def __init__(
        self,
        control: Control,
        rows: RowStore,
        rng: random.Random,
        own_row: OwnRow,
        is_first_start: bool = False,
    ) -> None:
        """Take the control to feed, the rows, one's own, and whether the fleet is all new."""
        self.joined = asyncio.Event()
        self.met = asyncio.Event()
        self.is_empty = False  # nobody had a row when this daemon looked first
        self._control = control
        self._rows = rows
        self._rng = rng
        self._own_row = own_row
        self._is_first_start = is_first_start

    async def run(self) -> None:
        """Join, and from then on sweep when it is this daemon's turn."""
        self._control.spawn(self._own_row.run())
        if self._is_first_start:
            self._own_row.found(None)
            await asyncio.sleep(FIRST_READ_AFTER_S)
        await self._join()
        while not self._control.has_heard_others:
            await asyncio.sleep(NOBODY_HEARD_S * self._rng.uniform(0.8, 1.2))
            if not self._control.has_heard_others:
                await self._own_row.write()
                await self._join()
        while True:
            await asyncio.sleep(SWEEP_EVERY_S * self._rng.uniform(0.8, 1.2))
            members = membership.reachable(self._control.view)
            sweepers = select_members("sweeper", members, SWEEPERS)
            if any(m.address == self._control.view.me.address for m in sweepers):
                await self._sweep()

    async def _join(self) -> None:
        failures = 0
        while True:
            try:
                found = await self._read()
                break
            except PlatformError as error:
                failures += 1
                log.warning("directory not reached", extra={"error": str(error), "try": failures})
            self.joined.set()
            ceiling = min(BACKOFF_MAX_S, BACKOFF_S * 2**failures)
            await asyncio.sleep(self._rng.uniform(ceiling / 2, ceiling))
        if not found:
            self.is_empty = True
            await self._own_row.write()
            found = await self._read_again()
        if not found and self._control.node.era:
            # A store that came back from a copy may have lost the rows; they are written again.
            await asyncio.sleep(REWRITE_WITHIN_S + REWRITTEN_S)
            found = await self._read_again()
        self.joined.set()
        await self._meet(found)
        self.met.set()

    async def _read(self) -> list[Member]:
        """Return the other daemons that have a row; raise PlatformError."""
        own = self._control.view.me.address
        page = await self._rows.read(TABLE)
        self._control.note_era(page.era)
        self._own_row.found(next((row for row in page.rows if row.key == own), None))
        found = [member for member in members_of(page) if member.address != own]
        self._own_row.tell_findings(page)
        told = {"daemons": len(found), "state": page.revision, "era": page.era}
        log.info("directory read", extra=told)
        return found

    async def _read_again(self) -> list[Member]:
        try:
            return await self._read()
        except PlatformError as error:
            log.warning("directory not reached", extra={"error": str(error)})
            return []

    async def _meet(self, found: list[Member]) -> None:
        known = self._control.view.members_by_address
        fresh = found if self._is_first_start else list(map(membership.without_servers, found))
        self._control.meet([m for m in fresh if m.address not in known])
        others = self._rng.sample(found, min(PEERS_TO_JOIN, len(found)))
        if self._is_first_start:
            others = others[:1]
        await asyncio.gather(*(self._control.reconcile(m.address) for m in others))
        if not self._is_first_start:
            self._control.announce_everywhere()

    async def _sweep(self) -> None:
        try:
            page = await self._rows.read(TABLE)
            for row in ended_rows(page, self._control.view.members_by_address):
                if page.era != (self._control.node.era or 0):
                    return  # States of another era tell nothing of what is there now.
                await self._rows.write(TABLE, row.key, None, row.revision)
                log.info("row of an ended daemon deleted", extra={"key": row.key})
        except PlatformError as error:
            log.warning("sweep failed", extra={"error": str(error)})
