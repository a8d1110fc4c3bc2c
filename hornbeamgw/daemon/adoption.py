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

from hornbeamgw.core import declaration
from hornbeamgw.core.declaration import Declaration
from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.registration import Announcement
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.daemon.presence import OwnRow
from hornbeamgw.daemon.silence import Kind

log = logging.getLogger(__name__)

# Includes the wait for a slot if the server is busy. The check itself takes 6 ms.
CHECK_TIMEOUT_S = 0.5
MAX_CHECK_BYTES = 64 * 1024
HEALTHY_STATUS = 200


class Adoption:
    """The stored announcements of local servers, and the health check before restoring them."""

    def __init__(self, row: OwnRow, dialect: Dialect) -> None:
        """Use this daemon's `row`, and the headers that the servers understand."""
        self._row = row
        self._dialect = dialect

    def note(self, announcements: Iterable[Announcement]) -> None:
        """Store the announcements of the local servers that are serving."""
        self._row.set_servers(announcements)

    @property
    def former_servers(self) -> Sequence[Announcement] | None:
        """Return the servers from before this daemon was restarted, None if they are not known."""
        return self._row.former_servers

    async def last_known(self) -> Sequence[Announcement]:
        """Return the announcements of the local servers from before this daemon was restarted."""
        return await self._row.last_known()

    async def check(self, known: Announcement, health_path: str) -> Declaration | None:
        """Return what the announced instance declares in its answer to a health check.

        The result is None if the check fails, or if the instance leaves or is another one.
        """
        client = HttpClient(known.address, CHECK_TIMEOUT_S, MAX_CHECK_BYTES, Kind.SERVER)
        try:
            answer = await client.request("GET", health_path)
        except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError) as error:
            log.info(
                "backend server not adopted: health check failed",
                extra={"error": str(error) or type(error).__name__},
            )
            return None
        finally:
            client.close()
        reported = header(answer.headers, self._dialect.instance) or b""
        declared = declaration.read(self._dialect, answer.headers)
        is_same = answer.status == HEALTHY_STATUS and reported == known.instance.encode()
        is_adopted = is_same and not declared.is_leaving
        reported_text = reported.decode("latin-1")
        extra = {"instance": known.instance, "told": reported_text, "status": answer.status}
        extra |= declared._asdict()
        message = "backend server adopted" if is_adopted else "backend server not adopted"
        log.info(message, extra=extra)
        return declared if is_adopted else None
