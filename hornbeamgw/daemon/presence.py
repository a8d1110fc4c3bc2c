"""The directory row of a daemon: its membership record, and what it knows of its servers.

All is stored in one row, so a daemon that starts finds its own servers, and those that have left,
when it reads the directory. If nothing changed, a restart causes a single read of the store and no
write.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, NotRequired, TypedDict

import msgspec

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, RowStore, StoredRow
from hornbeamgw.core import backoff, departures
from hornbeamgw.core.departures import MAX_LEFT_RUNS, LeftRun, LeftRuns
from hornbeamgw.core.finding import MAX_FINDINGS, MAX_FINGERPRINTS, Finding
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.options import is_address
from hornbeamgw.core.registration import Announcement

log = logging.getLogger(__name__)

TABLE = "hornbeamgw-daemons"
# Time for which a new daemon waits for its server's first announcement, so that it writes its row
# only once. Servers announce themselves every 1.5 s.
SERVER_ANNOUNCEMENT_TIMEOUT_S = 2.0
# Rows written longer ago than this are assumed to be part of the backup that a store is restored
# from.
BACKUP_MAX_AGE_S = 60.0
# After a restore, each daemon delays its write by a random time up to this limit, so that the
# writes of the whole fleet don't overload the store.
REWRITE_MAX_DELAY_S = 1.0
BACKOFF_S = 0.1
# Low enough that rows are written within 2 s once the store is available again.
BACKOFF_MAX_S = 1.0
MAX_SLOTS = 0xFFFF  # limit of the field in an encoded membership record
MAX_SERVERS = 8
# Era in the row of a daemon that has found none, or one from before a restore. Late heartbeats and
# restarts follow departures within seconds, so after a while such a row tells as much as others.
UNKNOWN_ERA = -1
UNKNOWN_ERA_S = 60.0

# Limits of the fields in encoded messages between daemons.
_MAX_BY_FIELD = {
    "incarnation": (1 << 64) - 1,
    "sequence": (1 << 32) - 1,
    "slots": MAX_SLOTS,
    "version": (1 << 64) - 1,
    "bandwidth": (1 << 64) - 1,
    "server_started_ms": (1 << 64) - 1,
}


class DirectoryEntry(NamedTuple):
    """Content of a directory row: a daemon's record, its serving servers, and those that left.

    All departures that were acknowledged before are included if the store's present era is `era`;
    if the store was restored from a backup since, later ones may be missing.
    """

    member: Member
    servers: tuple[Announcement, ...] = ()
    left: LeftRuns = ()
    era: int = 0


class _LocalServers(TypedDict):
    servers: tuple[Announcement, ...]
    left: tuple[LeftRun, ...]
    era: NotRequired[int]


_decoder = msgspec.json.Decoder(tuple[Member, msgspec.Raw])
_servers_decoder = msgspec.json.Decoder(tuple[Announcement, ...] | _LocalServers | None)


def _encode(entry: DirectoryEntry) -> bytes:
    """Encode a row; its second part, which only its own daemon reads, is a list if none left."""
    local: _LocalServers | tuple[Announcement, ...] = entry.servers
    if entry.left or entry.era:
        local = _LocalServers(servers=entry.servers, left=entry.left, era=entry.era)
    return msgspec.json.encode((entry.member, local))


def decode_member(row: StoredRow) -> Member:
    """Return the member in a row; raise ValueError if the row is invalid."""
    member, _ = _decoder.decode(row.value or b"")
    if member.address != row.key or not is_address(member.address):
        raise ValueError(f"address {member.address!r}, expected the row's key, as 10.0.0.7:7400")
    for name, maximum in _MAX_BY_FIELD.items():
        value = getattr(member, name)
        if not 0 <= value <= maximum:
            raise ValueError(f"{name} {value!r}, expected 0 to {maximum}")
    if len(member.further_servers) >= MAX_SERVERS:
        raise ValueError(f"{member.further_servers!r}, expected fewer than {MAX_SERVERS}")
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


def decode_local_servers(row: StoredRow) -> _LocalServers:
    """Return the servers in a row, and those that left; raise ValueError if it is invalid."""
    _, raw = _decoder.decode(row.value or b"")
    local = _servers_decoder.decode(raw) or ()
    if isinstance(local, tuple):
        local = _LocalServers(servers=local, left=())
    for known in local["servers"]:
        if not is_address(known.address):
            raise ValueError(f"address {known.address!r}, expected an IP address and a port")
        if not 1 <= known.slots <= MAX_SLOTS:
            raise ValueError(f"slots {known.slots!r}, expected 1 to {MAX_SLOTS}")
    if len(local["left"]) > MAX_LEFT_RUNS:
        raise ValueError(f"{len(local['left'])} runs that left, expected at most {MAX_LEFT_RUNS}")
    for run in local["left"]:
        if not 0 <= run.started_ms < 1 << 64:
            raise ValueError(f"started_ms {run.started_ms!r}, expected 0 to {(1 << 64) - 1}")
    return local


def _location_fields(member: Member) -> tuple[str, str, int]:
    """Return the fields of a record that describe where the daemon runs and its bandwidth."""
    return member.data_centre, member.region, member.bandwidth


class OwnRow:
    """The row of this daemon in the directory."""

    def __init__(
        self, rows: RowStore, me: Member, on_findings: Callable[[Member], None] = lambda _: None
    ) -> None:
        """Create the row of `me`; `on_findings` is called for each stored record with findings."""
        self._on_findings = on_findings
        self._rows = rows
        self._me = me
        # The stored servers are kept until this process has registered its first one.
        self._servers: tuple[Announcement, ...] | None = None
        self.left: LeftRuns = ()
        # Called with the runs that had left according to a row that was read.
        self.on_left_found: Callable[[LeftRuns], None] = lambda runs: None
        self._stored: DirectoryEntry | None = None
        self._stored_at = 0.0
        # The servers of the row from before this start; None if they are not known.
        self.former_servers: tuple[Announcement, ...] | None = None
        self._lookup_done = asyncio.Event()
        self._looked_up_at = -math.inf
        # The store's era, and whether the row from before this start tells all departures.
        self._era = 0
        self._is_whole = True
        self._changed = asyncio.Event()
        self._written = asyncio.Event()
        # Revision of the stored row, 0 if there is none; None if a read has to tell.
        self._revision: int | None = None

    @property
    def tells_departures(self) -> bool:
        """Return whether all departures that former processes have acknowledged are known.

        That is not so before the row was read, nor if it is from before a restore of the store.
        """
        return self._lookup_done.is_set() and self._is_whole

    def found(self, row: StoredRow | None, era: int = 0) -> None:
        """Set the stored row after a read of the directory in an era; None if there is no row."""
        self._era = max(self._era, era)
        is_first = not self._lookup_done.is_set()
        if is_first and row is None:
            self.former_servers = ()
            self._revision = 0
        if self._stored is None and row is not None:
            self._note_stored(row)
        if is_first:
            self._note_former(row)
        self._lookup_done.set()

    def _note_former(self, row: StoredRow | None) -> None:
        """Determine what the row from before this process's start tells."""
        self._looked_up_at = asyncio.get_running_loop().time()
        stored = self._stored
        row_era = 0 if row is None else UNKNOWN_ERA if stored is None else stored.era
        self._is_whole = row_era >= self._era
        if not self._is_whole:
            self.former_servers = None
            log.warning(
                "this daemon's directory row may not tell which backend servers have left",
                extra={"era": self._era, "row_era": row_era},
            )
        elif stored is not None:
            self.former_servers = stored.servers

    def _era_to_store(self) -> int:
        now = asyncio.get_running_loop().time()
        is_whole = self._is_whole or now - self._looked_up_at > UNKNOWN_ERA_S
        return self._era if is_whole else UNKNOWN_ERA

    def _note_stored(self, row: StoredRow) -> None:
        """Set the stored row, and keep what it says of servers that have left."""
        self._revision = row.revision
        self._stored = _decode_entry(row)
        self._stored_at = asyncio.get_running_loop().time()
        if self._stored is not None:
            self.left = departures.merge(self._stored.left, self.left)
            self.on_left_found(self._stored.left)
        self._wake()

    def _wake(self) -> None:
        """Wake those that wait until something is stored."""
        self._written.set()
        self._written = asyncio.Event()

    async def last_known(self) -> Sequence[Announcement]:
        """Return the servers that were stored before this daemon started."""
        await self._lookup_done.wait()
        return self.former_servers or ()

    def set_servers(self, announcements: Iterable[Announcement]) -> None:
        """Set the servers to store; only those that are serving are included."""
        serving = (known for known in announcements if known.state is ServerState.SERVING)
        self._servers = tuple(known._replace(expires_at=0.0, warm_at=0.0) for known in serving)
        self._changed.set()

    def add_left(self, runs: LeftRuns) -> None:
        """Add runs that have left or drain to those to store."""
        left = departures.merge(self.left, runs)
        if left != self.left:
            self.left = left
            self._changed.set()

    async def wait_stored(self, run: LeftRun) -> None:
        """Wait until the stored row includes a run that has left."""
        while self._stored is None or not departures.includes(self._stored.left, run):
            await self._written.wait()

    def rewrite_after_restore(self, era: int = 0) -> None:
        """Write the row again if a store that was restored from a backup may have lost it."""
        self._era = max(self._era, era)
        loop = asyncio.get_running_loop()
        if self._stored is None or loop.time() - self._stored_at > BACKUP_MAX_AGE_S:
            return
        self._servers = self._servers_to_store()
        self._stored = self._revision = None
        loop.call_later(random.uniform(0, REWRITE_MAX_DELAY_S), self._changed.set)

    def set_findings(self, findings: tuple[Finding, ...]) -> None:
        """Set the findings to store, so that they survive a restart of all daemons."""
        if findings != self._me.findings:
            self._me = self._me._replace(findings=findings)
            self._changed.set()

    def report_findings(self, page: RowPage) -> None:
        """Report the findings in all rows, including this daemon's row from before a restart."""
        for row in page.rows:
            try:
                member = decode_member(row)
            except ValueError:
                continue  # logged by directory.decode_members()
            if member.findings:
                self._on_findings(member)

    def _is_up_to_date(self) -> bool:
        stored = self._stored
        if stored is None or _location_fields(stored.member) != _location_fields(self._me):
            return False
        if stored.servers != self._servers_to_store() or stored.left != self.left:
            return False
        return stored.member.findings == self._me.findings

    def _servers_to_store(self) -> tuple[Announcement, ...]:
        if self._servers is not None:
            return self._servers
        return () if self._stored is None else self._stored.servers

    async def run(self) -> None:
        """Keep the row up to date; the first write waits for a server announcement or a timeout."""
        await self._lookup_done.wait()
        try:
            async with asyncio.timeout(SERVER_ANNOUNCEMENT_TIMEOUT_S):
                await self._changed.wait()
        except TimeoutError:
            # Keep the stored row for now: its servers may not have been checked yet.
            if self._stored is not None and _location_fields(
                self._stored.member
            ) == _location_fields(self._me):
                await self._changed.wait()
        while True:
            self._changed.clear()
            await self.write()
            await self._changed.wait()

    async def write(self) -> None:
        """Write the row if it differs from the stored one, and retry until it succeeds.

        Each write depends on the revision of the row, so that one without an answer, which may
        still take effect, can't undo a later one.
        """
        failures = 0
        while not self._is_up_to_date():
            try:
                if await self._write_once():
                    continue
                error = "the row was written meanwhile"
            except PlatformError as raised:
                error = str(raised)
            failures += 1
            self._revision = None
            log.info(
                "writing this daemon's directory row failed; retrying",
                extra={"error": error, "try": failures},
            )
            await asyncio.sleep(backoff.ceiling(BACKOFF_S, BACKOFF_MAX_S, failures))

    async def _write_once(self) -> bool:
        """Write the row, and return whether it was at the expected revision."""
        key = self._me.address
        if self._revision is None:
            page = await self._rows.read(TABLE, key)
            self._era = max(self._era, page.era)
            self._revision = 0
            for row in page.rows:
                self._note_stored(row)
            if self._is_up_to_date():
                return True
        entry = DirectoryEntry(self._me, self._servers_to_store(), self.left, self._era_to_store())
        revision = await self._rows.write(TABLE, key, _encode(entry), self._revision)
        if not revision:
            return False
        self._revision = revision
        self._stored, self._stored_at = entry, asyncio.get_running_loop().time()
        self._wake()
        return True


def _decode_entry(row: StoredRow) -> DirectoryEntry | None:
    try:
        local = decode_local_servers(row)
        return DirectoryEntry(
            decode_member(row), local["servers"], local["left"], local.get("era", 0)
        )
    except ValueError as error:
        log.warning(
            "this daemon's directory row is invalid; ignoring it",
            extra={"key": row.key, "error": str(error)},
        )
        return None
