"""Quarantine: carries findings between this daemon's server, its record and its callers."""

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

# Findings are numbered from the start of the daemon on (ms), in the 32 bits that a record has.
NUMBERS = 1 << 31

# What one's record carries, what of it one's row keeps, and whether it can't wait for gossip.
Publish = Callable[[tuple[Finding, ...], tuple[Finding, ...], bool], None]


class Quarantine:
    """Own what is known of requests under which servers end."""

    def __init__(self, me: Member, publish: Publish) -> None:
        """Take one's own record, and what carries findings in it to the others."""
        self.counts: Counter[str] = Counter()
        self.state = QuarantineState(me.address, me.incarnation % NUMBERS)
        self._incarnation = me.incarnation
        self._publish = publish
        self._published: tuple[Finding, ...] = ()

    def refusal(self, fingerprint: int) -> Failure | None:
        """Return why a request is not sent to any server, None where it may be."""
        if not self.state.periods_by_fingerprint:
            return None
        remaining = quarantine.remaining(self.state, fingerprint, asyncio.get_running_loop().time())
        if not remaining:
            return None
        self.counts["refused"] += 1
        quarantine.record_refusal(self.state, fingerprint)
        self._tell()
        return not_run(
            Reason.QUARANTINED, "servers end under this request", round(remaining * 1000)
        )

    def must_run_apart(self, fingerprint: int) -> bool:
        """Return whether a request may run beside no other of which as much is known."""
        return quarantine.must_run_isolated(self.state, fingerprint)

    def note_answered(self, fingerprint: int) -> None:
        """Take a request that the server here has answered."""
        now = asyncio.get_running_loop().time()
        self._act(quarantine.record_answer(self.state, fingerprint, now))

    def note_end(self, ran: Sequence[int]) -> None:
        """Take that the server here ended, and what ran there."""
        self._act(quarantine.record_crash(self.state, ran, asyncio.get_running_loop().time()))

    def forget_run(self) -> None:
        """Forget what a run of the server here has answered."""
        quarantine.forget_run(self.state)

    def hear(self, member: Member) -> None:
        """Take the findings in the record of a daemon."""
        if member.address == self.state.address and member.incarnation >= self._incarnation:
            return
        now = asyncio.get_running_loop().time()
        self._act(quarantine.receive(self.state, member.address, member.findings, now))

    def expire(self, now: float) -> None:
        """Forget what is over."""
        for fingerprint in quarantine.expire(self.state, now):
            self.counts["tried_again"] += 1
            log.info("quarantine over", extra={"fingerprint": as_text(fingerprint)})
        self._tell()

    def _act(self, decided: QuarantineChanges) -> None:
        now = asyncio.get_running_loop().time()
        for fingerprint, told_by in decided.quarantined.items():
            self.counts["quarantined"] += 1
            for_s = round(quarantine.remaining(self.state, fingerprint, now))
            told = {"fingerprint": as_text(fingerprint), "told_by": told_by, "for_s": for_s}
            log.warning("request quarantined", extra=told)
        for fingerprint in decided.cleared:
            self.counts["cleared"] += 1
            log.info("request cleared", extra={"fingerprint": as_text(fingerprint)})
        self._tell()

    def _tell(self) -> None:
        """Put one's findings in one's record where they changed."""
        findings = quarantine.findings(self.state)
        if findings == self._published:
            return
        new = set(findings) - set(self._published)
        self._published = findings
        kept = quarantine.persistent_findings(self.state)
        self._publish(findings, kept, any(self._is_urgent(finding, kept) for finding in new))

    def _is_urgent(self, finding: Finding, kept: Sequence[Finding]) -> bool:
        """Return whether all must hear at once: of what ended a server here, not the first time."""
        if finding.kind is FindingKind.ENDED:
            return any(map(self.must_run_apart, finding.fingerprints))
        return finding in kept
