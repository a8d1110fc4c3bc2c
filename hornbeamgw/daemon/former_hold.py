"""Hold: keeps slots free for requests that a former process of this daemon may have sent."""

from __future__ import annotations

import logging
import math
from collections import Counter

from hornbeamgw.core import former_work
from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.former_work import Startup
from hornbeamgw.core.occupancy import MAX_HOLD_S
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.slots import AdmissionState
from hornbeamgw.core.snapshot import Snapshot
from hornbeamgw.daemon.adoption import Adoption

log = logging.getLogger(__name__)


class FormerProcess:
    """What this daemon knows of a process that ran at its address before."""

    def __init__(self, startup: Startup, adoption: Adoption | None) -> None:
        """Use the start of this process and, if there is one, the row from before it."""
        self.startup = startup
        self._adoption = adoption

    def reason(self, server: Announcement) -> str:
        """Return why it may have sent requests to a server; empty if it can't have."""
        stored = None if self._adoption is None else self._adoption.former_servers
        return former_work.reason(self.startup, stored, server)


class FormerHold:
    """The hold of one server's slots for requests of a former process."""

    def __init__(
        self,
        state: AdmissionState,
        counts: Counter[str],
        dialect: Dialect,
        former_process: FormerProcess | None,
    ) -> None:
        """Hold slots in `state`; without a `former_process`, only for as long as others tell."""
        self._state = state
        self._counts = counts
        self._dialect = dialect
        self._former_process = former_process
        self._watched: Announcement | None = None
        self._is_open = False
        self._told_until = -math.inf
        self._longest: tuple[Snapshot, float] | None = None

    def watch(self, server: Announcement) -> None:
        """Hold the slots of the first server that was announced, if it may have former work."""
        if self._former_process is not None:
            self._watched = server

    def extend(self, until: float, why: str, now: float) -> None:
        """Hold the slots until a time (s) that another daemon has told."""
        self._told_until = max(self._told_until, until)
        self._hold(max(until, self._state.former_work_until), why, now)

    def update(self, snapshot: Snapshot, now: float) -> None:
        """Adjust the hold to what is known now, and end it when its time has passed."""
        if self._watched is None and not self._is_open:
            return
        known = self._state.former_work
        has_path = self._state.service in snapshot.health_paths_by_service
        known.is_checkable = self._dialect.health_checks_take_slots and has_path
        if self._watched is not None and self._former_process is not None:
            why = self._former_process.reason(self._watched)
            started_at = self._former_process.startup.started_at
            until = started_at + self._longest_hold(snapshot) if why else -math.inf
            self._hold(max(until, self._told_until), why, now)
            if now >= started_at + MAX_HOLD_S:
                self._watched = None
        if self._is_open and not former_work.is_held(self._state, now):
            self.end(self._why_ended(now))

    def _why_ended(self, now: float) -> str:
        if now < self._state.former_work_until:
            return "free slots"
        return "time" if self._state.former_work_until > -math.inf else "no former process"

    def _longest_hold(self, snapshot: Snapshot) -> float:
        if self._longest is None or self._longest[0] is not snapshot:
            self._longest = snapshot, former_work.longest_hold(snapshot, self._state.service)
        return self._longest[1]

    def _hold(self, until: float, why: str, now: float) -> None:
        self._state.former_work_until = until
        if self._is_open or not former_work.is_held(self._state, now):
            return
        self._is_open = True
        self._state.former_work.checks = self._state.former_work.started = 0
        self._counts["former_work"] += 1
        log.info(
            "backend server may work on requests of this daemon's former process",
            extra={
                "service": self._state.service,
                "for_ms": round(1000 * (until - now)),
                "why": why,
            },
        )

    def end(self, why: str) -> None:
        """End the hold, for example because the server's process has ended."""
        self._watched = None
        self._told_until = -math.inf
        self._state.former_work_until = -math.inf
        if not self._is_open:
            return
        self._is_open = False
        known = self._state.former_work
        self._counts["former_work.started"] += known.started
        log.info(
            "hold for requests of this daemon's former process ended",
            extra={"why": why, "checks": known.checks, "started": known.started},
        )
