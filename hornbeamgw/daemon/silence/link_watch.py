"""Link watch: probes links, and closes those whose peer does not answer."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from hornbeamgw.core import silence
from hornbeamgw.daemon.link import LOST_AFTER_S, SUSPECT_AFTER_S, Link
from hornbeamgw.daemon.silence.reports import connection_counts


class LinkWatch:
    """The links that owe an answer to a probe; others cost nothing.

    A probe that is unanswered is remembered when the request for which it was sent has ended.
    """

    def __init__(self, on_fault: Callable[[str], None]) -> None:
        """Watch nothing; `on_fault` is called with a description of each silent link."""
        self._on_fault = on_fault
        self._probed: set[Link] = set()
        self._checked_at = math.inf

    def probe(self, link: Link, now: float) -> None:
        """Probe a link and watch it until it is heard or lost."""
        if link.signs.unanswered_since is None:
            connection_counts[f"{link.kind}.probed"] += 1
        link.probe(now)
        self._probed.add(link)

    def check(self, now: float) -> Sequence[Link]:
        """Close silent links, and return those that are suspect.

        Call this several times per `silence.STALL_S`.
        """
        stalled = now - self._checked_at
        self._checked_at = now
        suspects = []
        for link in list(self._probed):
            if stalled > silence.STALL_S:
                silence.exclude_pause(link.signs, stalled, now)
            link.note_progress(now)
            overdue = silence.overdue(link.signs, now)
            if link.lost or link.signs.unanswered_since is None:
                self._probed.discard(link)
            elif overdue >= LOST_AFTER_S:
                self._probed.discard(link)
                self._on_fault("silent link")
                link.report_silent("closed", now)
                link.abort()
            elif overdue >= SUSPECT_AFTER_S:
                suspects.append(link)
        return suspects
