"""Adoption: takes up the servers beside a daemon again right after the daemon's own restart.

A server tells of itself every second or two, and until then a restarted daemon would turn away all
that is meant for it; where all daemons restart at once, that is the whole service. What the server
last said is kept in the daemon's row on the platform, and holds again only if the server there is
healthy, not leaving, and still the same by its own word.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence

import h11

from hornbeamgw.core.registration import Announcement
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.daemon.presence import OwnRow

log = logging.getLogger(__name__)

# A health check takes 6 ms, and waits for a slot where the server is busy.
CHECK_TIMEOUT_S = 0.5
HEALTHY = 200


class Adoption:
    """Ask after the servers that a daemon's row names."""

    def __init__(self, row: OwnRow, instance_header: bytes) -> None:
        """Take this daemon's own row, and the header in which a server names itself."""
        self._row = row
        self._instance_header = instance_header

    def note(self, announcements: Iterable[Announcement]) -> None:
        """Keep what the servers here say of themselves; one that leaves is not kept."""
        self._row.set_servers(announcements)

    async def last_known(self) -> Sequence[Announcement]:
        """Return what the servers here said before this daemon's start."""
        return await self._row.last_known()

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
