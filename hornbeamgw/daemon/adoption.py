"""Adoption: takes up the server beside a daemon again right after the daemon's own restart.

A server tells of itself every second or two, and until then a restarted daemon would turn away all
that is meant for it; where all daemons restart at once, that is the whole service. What the server
last said is kept in a row of the platform, and holds again only if the server there is healthy, not
leaving, and still the same by its own word.
"""

from __future__ import annotations

import asyncio
import logging

import h11
import msgspec

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowStore, StoredRow
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.options import is_address
from hornbeamgw.core.registration import Announcement
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header

log = logging.getLogger(__name__)

TABLE = "hornbeamgw-servers"
# A health check takes 6 ms, and waits for a slot where the server is busy.
CHECK_TIMEOUT_S = 0.5
HEALTHY = 200
MOST_SLOTS = 0xFFFF  # what a member's record carries
WRITE_TRIES = 3
RETRY_S = 0.5

_encode = msgspec.json.encode
_decoder = msgspec.json.Decoder(Announcement)


def _announcement_of(row: StoredRow) -> Announcement:
    """Return what a row keeps; raise ValueError where another writer put something else."""
    known = _decoder.decode(row.value or b"")
    if not is_address(known.address):
        raise ValueError(f"address {known.address!r}, expected an IP number and a port")
    if not 1 <= known.slots <= MOST_SLOTS:
        raise ValueError(f"slots {known.slots!r}, expected 1 to {MOST_SLOTS}")
    return known


class Adoption:
    """Own the row of the server beside this daemon."""

    def __init__(self, rows: RowStore, key: str, instance_header: bytes) -> None:
        """Take the rows, this daemon's own key, and the header in which a server names itself."""
        self._rows = rows
        self._key = key
        self._instance_header = instance_header
        self._kept: Announcement | None = None
        self._changed = asyncio.Event()

    def note(self, announcement: Announcement | None) -> None:
        """Take what the server says of itself; None or a server that leaves is not kept."""
        if announcement is not None and announcement.state is not ServerState.SERVING:
            announcement = None
        kept = announcement and announcement._replace(expires_at=0.0, warm_at=0.0)
        if kept != self._kept:
            self._kept = kept
            self._changed.set()

    async def run(self) -> None:
        """Write the row after each change."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._write()

    async def _write(self) -> None:
        value = None if self._kept is None else _encode(self._kept)
        for _ in range(WRITE_TRIES):
            try:
                await self._rows.write(TABLE, self._key, value)
                return
            except PlatformError as error:
                log.info("row of the server not written", extra={"error": str(error)})
            if self._changed.is_set():
                return
            await asyncio.sleep(RETRY_S)

    async def last_known(self) -> Announcement | None:
        """Return what the server said before this daemon's start, or None."""
        try:
            page = await self._rows.read(TABLE, self._key)
            return _announcement_of(page.rows[0]) if page.rows else None
        except (PlatformError, ValueError) as error:
            log.info("no row of a server", extra={"error": str(error)})
            return None

    async def is_there(self, known: Announcement, health_path: str) -> bool:
        """Return whether that very server answers that it is healthy and not leaving."""
        client = HttpClient(known.address, CHECK_TIMEOUT_S)
        try:
            answer = await client.request("GET", health_path)
        except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError) as error:
            log.info("server not adopted", extra={"error": str(error) or type(error).__name__})
            return False
        finally:
            client.close()
        told = header(answer.headers, self._instance_header) or b""
        is_same = answer.status == HEALTHY and told == known.instance.encode()
        told_text = told.decode("latin-1")
        extra = {"instance": known.instance, "told": told_text, "status": answer.status}
        log.info("server adopted" if is_same else "server not adopted", extra=extra)
        return is_same
