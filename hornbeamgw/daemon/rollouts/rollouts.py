"""Rollouts: what this daemon knows of rollouts, what it tells of them, and what it may send."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from hornbeamgw.core import exposure
from hornbeamgw.core.exposure import ExposureBound, ExposureState
from hornbeamgw.core.membership import Member
from hornbeamgw.core.standing import MAX_ROLLOUT_STATUSES, RolloutStatus

log = logging.getLogger(__name__)

# What one's record carries, and whether all must hear at once.
Publish = Callable[[tuple[RolloutStatus, ...], bool], None]


class Rollouts:
    """Own the standings of rollouts, and what was spent on versions on trial."""

    def __init__(self, bound: ExposureBound, publish: Publish) -> None:
        """Take what a version on trial may get, and what carries standings to the others."""
        self.state = ExposureState(bound)
        self.counts: Counter[str] = Counter()
        self.on_heard: list[Callable[[RolloutStatus], None]] = []
        self._publish = publish
        self._told_by_version: dict[tuple[str, str], RolloutStatus] = {}

    def hear_member(self, member: Member) -> None:
        """Take the standings in the record of a daemon."""
        for standing in member.standings:
            self._hear(standing, member.address)

    def hear(self, standing: RolloutStatus) -> None:
        """Take how a rollout stands, as it was read."""
        self._hear(standing, "the platform")

    def tells(self, standing: RolloutStatus) -> bool:
        """Return whether this daemon's own record tells of a standing."""
        return standing in self._told_by_version.values()

    def _hear(self, standing: RolloutStatus, source: str) -> bool:
        if not exposure.receive(self.state, standing, asyncio.get_running_loop().time()):
            return False
        self.counts[f"heard.{standing.phase.name.lower()}"] += 1
        log.info("rollout", extra={**_told(standing), "told_by": source})
        for callback in self.on_heard:
            callback(standing)
        return True

    def tell(self, standing: RolloutStatus, is_urgent: bool) -> None:
        """Tell the fleet how a rollout stands, in this daemon's own record."""
        self._hear(standing, "this daemon")
        latest = self.state.status_by_version[standing.service, standing.target]
        self._told_by_version[standing.service, standing.target] = latest
        newest = sorted(self._told_by_version.values(), key=lambda told: told.number)
        kept = newest[-MAX_ROLLOUT_STATUSES:]
        self._told_by_version = {(told.service, told.target): told for told in kept}
        self._publish(tuple(kept), is_urgent)

    def undecided(self, service: str) -> RolloutStatus | None:
        """Return how the rollout of a service stands, None where there is none to decide."""
        current = self.state.current_by_service.get(service)
        return None if current is None or current.is_final else current

    def has_undecided(self) -> bool:
        """Return whether any rollout is to be decided."""
        return any(not current.is_final for current in self.state.current_by_service.values())

    def describe(self) -> list[dict[str, Any]]:
        """Return each rollout as this daemon sees it, and what it has sent there itself."""
        rows = []
        for version, standing in self.state.status_by_version.items():
            spent = self.state.counts_by_version[version]
            told = {"reached": spent.reached, "sent": spent.sent}
            told |= {"answers": spent.answers, "bad": spent.bad}
            rows.append({**_told(standing), **told})
        return rows


def _told(standing: RolloutStatus) -> dict[str, Any]:
    named = {"phase": standing.phase.name.lower(), "closing": standing.closing.name.lower()}
    return {**standing._asdict(), **named}
