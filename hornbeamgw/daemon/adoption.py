"""Adoption: restore the registrations of a daemon's backend servers after the daemon restarts.

A backend server announces itself every one or two seconds. Until then, a restarted daemon would
refuse all requests for it; if all daemons restart at once, the whole service would be unavailable.
The last announcement is therefore kept in the daemon's row in the platform's store. It is restored
only if a health check shows that the server is healthy, not leaving, and still the same instance.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence

import h11

from hornbeamgw.core.registration import Announcement
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.daemon.presence import OwnRow

log = logging.getLogger(__name__)

# Includes the wait for a slot if the server is busy.
CHECK_TIMEOUT_S = 0.5
HEALTHY_STATUS = 200


class Adoption:
    """The stored announcements of local servers, and the health check before restoring them."""

    def __init__(self, row: OwnRow, instance_header: bytes) -> None:
        """Use this daemon's `row`, and the answer header that contains a server's instance id."""
        self._row = row
        self._instance_header = instance_header

    def note(self, announcements: Iterable[Announcement]) -> None:
        """Store the announcements of the local servers that are serving."""
        self._row.set_servers(announcements)

    async def last_known(self) -> Sequence[Announcement]:
        """Return the announcements of the local servers from before this daemon was restarted."""
        return await self._row.last_known()

    async def is_unchanged(self, known: Announcement, health_path: str) -> bool:
        """Return whether a health check succeeds and is answered by the announced instance."""
        client = HttpClient(known.address, CHECK_TIMEOUT_S)
        try:
            answer = await client.request("GET", health_path)
        except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError) as error:
            log.info(
                "backend server not adopted: health check failed",
                extra={"error": str(error) or type(error).__name__},
            )
            return False
        finally:
            client.close()
        reported = header(answer.headers, self._instance_header) or b""
        is_same = answer.status == HEALTHY_STATUS and reported == known.instance.encode()
        reported_text = reported.decode("latin-1")
        extra = {"instance": known.instance, "told": reported_text, "status": answer.status}
        log.info("backend server adopted" if is_same else "backend server not adopted", extra=extra)
        return is_same
