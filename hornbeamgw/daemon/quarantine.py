"""Quarantine: exchange findings about requests that crash servers, and refuse such requests."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Sequence

from hornbeamgw.core import quarantine
from hornbeamgw.core.finding import Finding, FindingKind
from hornbeamgw.core.fingerprint import as_text
from hornbeamgw.core.membership import Member
from hornbeamgw.core.quarantine import QuarantineChanges, QuarantineState
from hornbeamgw.core.verdict import Failure, Reason, not_run

log = logging.getLogger(__name__)

# The first finding is numbered with the daemon's start time in ms, modulo this, so that numbers
# increase across restarts and fit into the 32-bit field of a member record.
FINDING_NUMBER_LIMIT = 1 << 31

# Called with all findings of this daemon, those to write to the store, and whether they are urgent,
# that is, pushed to other daemons instead of waiting for gossip.
Publish = Callable[[tuple[Finding, ...], tuple[Finding, ...], bool], None]


class Quarantine:
    """The quarantine state of this daemon, and its exchange with other daemons."""

    def __init__(self, me: Member, publish: Publish) -> None:
        """Use `publish` to put findings into this daemon's member record `me`."""
        self.counts: Counter[str] = Counter()
        self.state = QuarantineState(me.address, me.incarnation % FINDING_NUMBER_LIMIT)
        self._incarnation = me.incarnation
        self._publish = publish
        self._published: tuple[Finding, ...] = ()

    def refusal(self, fingerprint: int) -> Failure | None:
        """Return the failure of a quarantined request, None if the request may run."""
        if not self.state.periods_by_fingerprint:
            return None
        remaining = quarantine.remaining(self.state, fingerprint, asyncio.get_running_loop().time())
        if not remaining:
            return None
        self.counts["refused"] += 1
        quarantine.record_refusal(self.state, fingerprint)
        self._publish_findings()
        return not_run(
            Reason.QUARANTINED, "servers end under this request", round(remaining * 1000)
        )

    def is_crash_suspect(self, fingerprint: int) -> bool:
        """Return whether a request must not run concurrently with another suspect."""
        return quarantine.is_crash_suspect(self.state, fingerprint)

    def record_answer(self, fingerprint: int) -> None:
        """Record that the local backend server has answered a request."""
        now = asyncio.get_running_loop().time()
        self._apply(quarantine.record_answer(self.state, fingerprint, now))

    def record_crash(self, fingerprints: Sequence[int]) -> None:
        """Record a crash of the local backend server and the requests that were running."""
        self._apply(
            quarantine.record_crash(self.state, fingerprints, asyncio.get_running_loop().time())
        )

    def forget_run(self) -> None:
        """Discard the answered requests when a new server process starts."""
        quarantine.forget_run(self.state)

    def receive(self, member: Member) -> None:
        """Process the findings in the member record of a daemon.

        Findings in this daemon's own record are processed only if they are from before a restart.
        """
        if member.address == self.state.address and member.incarnation >= self._incarnation:
            return
        now = asyncio.get_running_loop().time()
        self._apply(quarantine.receive(self.state, member.address, member.findings, now))

    def expire(self, now: float) -> None:
        """Remove expired quarantines and findings."""
        for fingerprint in quarantine.expire(self.state, now):
            self.counts["tried_again"] += 1
            log.info(
                "quarantine expired; request may run again",
                extra={"fingerprint": as_text(fingerprint)},
            )
        self._publish_findings()

    def _apply(self, changes: QuarantineChanges) -> None:
        now = asyncio.get_running_loop().time()
        for fingerprint, reporters in changes.quarantined.items():
            self.counts["quarantined"] += 1
            for_s = round(quarantine.remaining(self.state, fingerprint, now))
            fields = {"fingerprint": as_text(fingerprint), "told_by": reporters, "for_s": for_s}
            log.warning(
                "request quarantined after backend server crashes; refusing it", extra=fields
            )
        for fingerprint in changes.cleared:
            self.counts["cleared"] += 1
            log.info(
                "request cleared: a backend server has answered it",
                extra={"fingerprint": as_text(fingerprint)},
            )
        self._publish_findings()

    def _publish_findings(self) -> None:
        """Publish the findings of this daemon if they have changed."""
        findings = quarantine.findings(self.state)
        if findings == self._published:
            return
        new = set(findings) - set(self._published)
        self._published = findings
        persistent = quarantine.persistent_findings(self.state)
        self._publish(
            findings, persistent, any(self._is_urgent(finding, persistent) for finding in new)
        )

    def _is_urgent(self, finding: Finding, persistent: Sequence[Finding]) -> bool:
        """Return whether other daemons need a finding at once: a repeated crash or a quarantine."""
        if finding.kind is FindingKind.ENDED:
            return any(map(self.is_crash_suspect, finding.fingerprints))
        return finding in persistent
