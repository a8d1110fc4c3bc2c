"""Rollout statuses that a daemon receives and publishes."""

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

# Publishes statuses in this daemon's record; the flag is whether to send the record at once.
Publish = Callable[[tuple[RolloutStatus, ...], bool], None]


class Rollouts:
    """Statuses of all rollouts and the exposure of versions on trial."""

    def __init__(self, bound: ExposureBound, publish: Publish) -> None:
        """Create a state without rollouts; `bound` limits the requests to versions on trial."""
        self.state = ExposureState(bound)
        self.counts: Counter[str] = Counter()
        self.on_status: list[Callable[[RolloutStatus], None]] = []
        self._publish = publish
        self._published_by_version: dict[tuple[str, str], RolloutStatus] = {}

    def receive_member(self, member: Member) -> None:
        """Receive the rollout statuses in a daemon's membership record."""
        for status in member.standings:
            self._receive(status, member.address)

    def receive_status(self, status: RolloutStatus) -> None:
        """Receive the status of a rollout that was read from the platform."""
        self._receive(status, "the platform")

    def is_published(self, status: RolloutStatus) -> bool:
        """Return whether this daemon's record contains a status."""
        return status in self._published_by_version.values()

    def _receive(self, status: RolloutStatus, source: str) -> bool:
        if not exposure.receive(self.state, status, asyncio.get_running_loop().time()):
            return False
        self.counts[f"heard.{status.phase.name.lower()}"] += 1
        log.info("rollout status changed", extra={**_status_fields(status), "told_by": source})
        for callback in self.on_status:
            callback(status)
        return True

    def publish_status(self, status: RolloutStatus, is_urgent: bool) -> None:
        """Publish the status of a rollout in this daemon's record."""
        self._receive(status, "this daemon")
        latest = self.state.status_by_version[status.service, status.target]
        self._published_by_version[status.service, status.target] = latest
        newest = sorted(self._published_by_version.values(), key=lambda published: published.number)
        kept = newest[-MAX_ROLLOUT_STATUSES:]
        self._published_by_version = {
            (published.service, published.target): published for published in kept
        }
        self._publish(tuple(kept), is_urgent)

    def undecided(self, service: str) -> RolloutStatus | None:
        """Return the status of the undecided rollout of a service, or None."""
        current = self.state.current_by_service.get(service)
        return None if current is None or current.is_final else current

    def has_undecided(self) -> bool:
        """Return whether any rollout is undecided."""
        return any(not current.is_final for current in self.state.current_by_service.values())

    def describe(self) -> list[dict[str, Any]]:
        """Return the status of each rollout and this daemon's counts of its requests."""
        rows = []
        for version, status in self.state.status_by_version.items():
            counts = self.state.counts_by_version[version]
            usage = {"reached": counts.reached, "sent": counts.sent}
            usage |= {"answers": counts.answers, "bad": counts.bad}
            rows.append({**_status_fields(status), **usage})
        return rows


def _status_fields(status: RolloutStatus) -> dict[str, Any]:
    names = {"phase": status.phase.name.lower(), "closing": status.closing.name.lower()}
    return {**status._asdict(), **names}
