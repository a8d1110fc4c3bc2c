"""Directory: lets daemons find one another through rows of the platform, without seeds.

A daemon writes one row for itself when it starts and reads the others'; from then on probes and
gossip carry the view, so the store's rate does not bound the fleet. Writing before reading means
that of two daemons that start together at least one sees the other. Rows never expire by
themselves: one daemon, chosen anew each time, deletes those of daemons that ended long ago.
"""

from __future__ import annotations

import asyncio
import logging
import random

import msgspec

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, RowStore, StoredRow
from hornbeamgw.core import membership
from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.options import is_address
from hornbeamgw.core.rendezvous import top
from hornbeamgw.daemon.control import Control

log = logging.getLogger(__name__)

TABLE = "hornbeamgw-daemons"
BACKOFF_S = 0.1
BACKOFF_MAX_S = 1.0  # a store that is back is asked again well within 2 s
# Several at once, for some rows are of daemons that are gone.
PEERS_TO_JOIN = 4
# Once in two minutes at 950 daemons costs the one that sweeps two calls and 100 KB.
SWEEP_EVERY_S = 120.0
SWEEPERS = 1

# What messages between daemons can carry.
_MOST_BY_FIELD = {
    "incarnation": (1 << 64) - 1,
    "sequence": (1 << 32) - 1,
    "slots": (1 << 16) - 1,
    "version": (1 << 64) - 1,
    "bandwidth": (1 << 64) - 1,
    "server_started_ms": (1 << 64) - 1,
}

_encode = msgspec.json.encode
_decoder = msgspec.json.Decoder(Member)


def members_of(page: RowPage) -> list[Member]:
    """Return the members that rows hold; one that can't be read is left out and logged."""
    found = []
    for row in page.rows:
        try:
            found.append(_member_of(row))
        except ValueError as error:
            log.warning("row of a daemon unreadable", extra={"key": row.key, "error": str(error)})
    return found


def _member_of(row: StoredRow) -> Member:
    """Return the member in a row; raise ValueError where another writer put something else."""
    member = _decoder.decode(row.value or b"")
    if member.address != row.key or not is_address(member.address):
        raise ValueError(f"address {member.address!r}, expected the row's key, as 10.0.0.7:7400")
    for name, most in _MOST_BY_FIELD.items():
        value = getattr(member, name)
        if not 0 <= value <= most:
            raise ValueError(f"{name} {value!r}, expected 0 to {most}")
    return member


def ended_rows(page: RowPage, members_by_address: dict[str, Member]) -> list[StoredRow]:
    """Return the rows of daemons that are believed to have ended."""
    ended = []
    for row in page.rows:
        member = members_by_address.get(row.key)
        if member is not None and member.status >= Status.DEAD:
            ended.append(row)
    return ended


class Directory:
    """Own this daemon's row."""

    def __init__(self, control: Control, rows: RowStore, rng: random.Random) -> None:
        """Take the control to feed and the rows to use."""
        self.joined = asyncio.Event()
        self._control = control
        self._rows = rows
        self._rng = rng

    async def run(self) -> None:
        """Join, and from then on sweep when it is this daemon's turn."""
        await self._join()
        while True:
            await asyncio.sleep(SWEEP_EVERY_S * self._rng.uniform(0.8, 1.2))
            members = membership.reachable(self._control.view)
            sweepers = top("sweeper", members, SWEEPERS)
            if any(m.address == self._control.view.me.address for m in sweepers):
                await self._sweep()

    async def _join(self) -> None:
        failures = 0
        while True:
            try:
                await self._write_and_read()
                break
            except PlatformError as error:
                failures += 1
                log.warning("directory not reached", extra={"error": str(error), "try": failures})
            self.joined.set()
            ceiling = min(BACKOFF_MAX_S, BACKOFF_S * 2**failures)
            await asyncio.sleep(self._rng.uniform(ceiling / 2, ceiling))
        self.joined.set()

    async def _write_and_read(self) -> None:
        me = self._control.view.me
        await self._rows.write(TABLE, me.address, _encode(me))
        page = await self._rows.read(TABLE)
        found = [m for m in members_of(page) if m.address != me.address]
        log.info("directory read", extra={"daemons": len(found), "state": page.state})
        known = self._control.view.members_by_address
        for member in [m for m in found if m.address not in known]:
            self._control.meet(member)
        self.joined.set()
        others = self._rng.sample(found, min(PEERS_TO_JOIN, len(found)))
        await asyncio.gather(*(self._control.reconcile(m.address) for m in others))
        self._control.announce_everywhere()

    async def _sweep(self) -> None:
        try:
            page = await self._rows.read(TABLE)
            for row in ended_rows(page, self._control.view.members_by_address):
                await self._rows.write(TABLE, row.key, None, row.state)
                log.info("row of an ended daemon deleted", extra={"key": row.key})
        except PlatformError as error:
            log.warning("sweep failed", extra={"error": str(error)})
