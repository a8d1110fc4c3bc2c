"""Reports on silent connections: log lines and counters of this process."""

from __future__ import annotations

import logging
from collections import Counter
from enum import StrEnum

from hornbeamgw.core import silence
from hornbeamgw.core.silence import Signs

log = logging.getLogger(__name__)


class Kind(StrEnum):
    """Kinds of connections that are kept open, as they are named in reports."""

    LINK = "link"
    ACCEPTED_LINK = "accepted_link"
    STORE = "store"
    SERVER = "server"
    CALLER = "caller"


# Counts what was done about connections, as `<kind>.<what>`.
connection_counts: Counter[str] = Counter()


def report_silent(kind: Kind, peer: str, signs: Signs, sent: str, outcome: str, now: float) -> None:
    """Count and log a connection that was found silent.

    `sent` tells what was sent into it without an answer, and `outcome` what is done about it.
    """
    connection_counts[f"{kind}.silent"] += 1
    log.warning(
        "connection is silent",
        extra={
            "kind": str(kind),
            "peer": peer,
            "open_s": round(now - signs.opened_at, 2),
            "silent_s": round(now - signs.heard_at, 2),
            "unanswered_s": round(silence.overdue(signs, now), 2),
            "sent": sent,
            "outcome": outcome,
        },
    )
