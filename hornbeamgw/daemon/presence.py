"""Presence: the row by which a daemon is found, with what the servers beside it last said.

One row holds both, so that whoever reads the directory at its start finds its own servers in it,
and a daemon that restarts where nothing changed writes nothing at all: a store that all daemons of
a fleet share is asked once for each start.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import msgspec

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, RowStore, StoredRow
from hornbeamgw.core.finding import MAX_FINDINGS, MAX_FINGERPRINTS, Finding
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.options import is_address
from hornbeamgw.core.registration import Announcement

log = logging.getLogger(__name__)

TABLE = "hornbeamgw-daemons"
# A server tells of itself every 1.5 s; waiting for the first time saves a write for each newcomer,
# and nobody misses a daemon that has no server yet.
SERVER_AWAITED_S = 2.0
# A copy from which the store comes back is some seconds old; what was written longer ago is in it.
COPY_MAX_AGE_S = 60.0
# Rows are written again over so long (s): all of a fleet at once would be more than a store takes.
REWRITE_WITHIN_S = 1.0
BACKOFF_S = 0.1
BACKOFF_MAX_S = 1.0  # a store that is back is asked again well within 2 s
MOST_SLOTS = 0xFFFF  # what a member's record carries
MOST_SERVERS = 8

# What messages between daemons can carry.
_MOST_BY_FIELD = {
    "incarnation": (1 << 64) - 1,
    "sequence": (1 << 32) - 1,
    "slots": MOST_SLOTS,
    "version": (1 << 64) - 1,
    "bandwidth": (1 << 64) - 1,
    "server_started_ms": (1 << 64) - 1,
}


class Presence(NamedTuple):
    """Hold a daemon's record and what those of its servers that serve said last."""

    member: Member
    servers: tuple[Announcement, ...] = ()


_encode = msgspec.json.encode
_decoder = msgspec.json.Decoder(tuple[Member, msgspec.Raw])
_servers_decoder = msgspec.json.Decoder(tuple[Announcement, ...] | None)


def member_of(row: StoredRow) -> Member:
    """Return the member in a row; raise ValueError where another writer put something else."""
    member, _ = _decoder.decode(row.value or b"")
    if member.address != row.key or not is_address(member.address):
        raise ValueError(f"address {member.address!r}, expected the row's key, as 10.0.0.7:7400")
    for name, most in _MOST_BY_FIELD.items():
        value = getattr(member, name)
        if not 0 <= value <= most:
            raise ValueError(f"{name} {value!r}, expected 0 to {most}")
    if len(member.further_servers) >= MOST_SERVERS:
        raise ValueError(f"{member.further_servers!r}, expected fewer than {MOST_SERVERS}")
    _check_findings(member.findings)
    return member


def _check_findings(findings: tuple[Finding, ...]) -> None:
    if len(findings) > MAX_FINDINGS:
        raise ValueError(f"{len(findings)} findings, expected {MAX_FINDINGS} at most")
    for finding in findings:
        if not 0 <= finding.number < 1 << 32:
            raise ValueError(f"finding {finding.number!r}, expected 0 to {(1 << 32) - 1}")
        if len(finding.fingerprints) > MAX_FINGERPRINTS:
            raise ValueError(f"{finding.fingerprints!r}, expected {MAX_FINGERPRINTS} at most")
        if any(not 0 <= f < 1 << 64 for f in finding.fingerprints):
            raise ValueError(f"fingerprints {finding.fingerprints!r}, expected 0 to 2**64 - 1")


def servers_of(row: StoredRow) -> tuple[Announcement, ...]:
    """Return the servers in a row; raise ValueError where another writer put something else."""
    _, raw = _decoder.decode(row.value or b"")
    servers = _servers_decoder.decode(raw) or ()
    for known in servers:
        if not is_address(known.address):
            raise ValueError(f"address {known.address!r}, expected an IP number and a port")
        if not 1 <= known.slots <= MOST_SLOTS:
            raise ValueError(f"slots {known.slots!r}, expected 1 to {MOST_SLOTS}")
    return servers


def _place_of(member: Member) -> tuple[str, str, int]:
    """Return what of a record another daemon can't learn anew from one that restarted."""
    return member.data_centre, member.region, member.bandwidth


class OwnRow:
    """Own this daemon's row."""

    def __init__(
        self, rows: RowStore, me: Member, on_findings: Callable[[Member], None] = lambda _: None
    ) -> None:
        """Take the rows, the record to be found by, and what to tell of findings in rows."""
        self._on_findings = on_findings
        self._rows = rows
        self._me = me
        self._servers: tuple[Announcement, ...] = ()
        self._stored: Presence | None = None
        self._stored_at = 0.0
        self._looked_up = asyncio.Event()
        self._changed = asyncio.Event()

    def found(self, row: StoredRow | None) -> None:
        """Take what the store holds, as the directory was read; None where it has no row."""
        if self._stored is None and row is not None:
            self._stored = _presence_of(row)
            self._stored_at = asyncio.get_running_loop().time()
        self._looked_up.set()

    async def last_known(self) -> Sequence[Announcement]:
        """Return what the servers here said before this daemon's start."""
        await self._looked_up.wait()
        return () if self._stored is None else self._stored.servers

    def note(self, announcements: Iterable[Announcement]) -> None:
        """Take what the servers here say of themselves; one that leaves is not kept."""
        serving = (known for known in announcements if known.state is ServerState.SERVING)
        self._servers = tuple(known._replace(expires_at=0.0, warm_at=0.0) for known in serving)
        self._changed.set()

    def note_era(self) -> None:
        """Write the row again where a store that came back from a copy may have lost it."""
        loop = asyncio.get_running_loop()
        if self._stored is None or loop.time() - self._stored_at > COPY_MAX_AGE_S:
            return
        self._stored = None
        loop.call_later(random.uniform(0, REWRITE_WITHIN_S), self._changed.set)

    def note_findings(self, findings: tuple[Finding, ...]) -> None:
        """Keep findings that must outlast all daemons that know of them."""
        if findings != self._me.findings:
            self._me = self._me._replace(findings=findings)
            self._changed.set()

    def tell_findings(self, page: RowPage) -> None:
        """Tell of what is in quarantine by all rows, also by this daemon's of before its start."""
        for row in page.rows:
            try:
                member = member_of(row)
            except ValueError:
                continue  # logged where the members are read
            if member.findings:
                self._on_findings(member)

    def _is_stored(self) -> bool:
        stored = self._stored
        if stored is None or _place_of(stored.member) != _place_of(self._me):
            return False
        return stored.servers == self._servers and stored.member.findings == self._me.findings

    async def run(self) -> None:
        """Keep the row up to date, once the server had time to tell of itself."""
        await self._looked_up.wait()
        try:
            async with asyncio.timeout(SERVER_AWAITED_S):
                await self._changed.wait()
        except TimeoutError:
            # The row of before may hold a server that has yet to be asked whether it still lives.
            if self._stored is not None and _place_of(self._stored.member) == _place_of(self._me):
                await self._changed.wait()
        while True:
            self._changed.clear()
            await self.write()
            await self._changed.wait()

    async def write(self) -> None:
        """Write the row where the store holds another, until the store has taken it."""
        failures = 0
        while not self._is_stored():
            wanted = Presence(self._me, self._servers)
            try:
                await self._rows.write(TABLE, self._me.address, _encode(wanted))
                self._stored, self._stored_at = wanted, asyncio.get_running_loop().time()
            except PlatformError as error:
                failures += 1
                log.info("own row not written", extra={"error": str(error), "try": failures})
                await asyncio.sleep(min(BACKOFF_MAX_S, BACKOFF_S * 2**failures))


def _presence_of(row: StoredRow) -> Presence | None:
    try:
        return Presence(member_of(row), servers_of(row))
    except ValueError as error:
        log.warning("own row unreadable", extra={"key": row.key, "error": str(error)})
        return None
