"""Quarantine: stops requests that crash backend servers from being sent to further servers.

Message queues call such a request a poison message. When a backend server crashes, the daemon
beside it reports the fingerprints of all requests that were running. The report is part of the
daemon's member record, which gossip distributes to all daemons, including those that join later.
A request is quarantined once `CRASHES_TO_QUARANTINE` reports name it and no other request is named
by all of these. Requests that merely ran alongside the cause, and requests that the server has
answered, are therefore not quarantined.

A quarantined request is refused for a period and then tried again. Another crash quarantines it for
twice as long; a successful answer clears it on all daemons. All state is bounded in size and age.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from hornbeamgw.core.finding import (
    MAX_FINDINGS_PER_KIND,
    MAX_FINGERPRINTS,
    Finding,
    FindingKind,
)
from hornbeamgw.core.fingerprint import UNKNOWN

# Number of crash reports that must name a request before it is quarantined. With fewer, a request
# that a client retries could be blamed for unrelated crashes that occurred while it was running.
CRASHES_TO_QUARANTINE = 3
# Number of crash reports from which a request is a crash suspect. Two suspects may not run
# concurrently on a server, so that the next crash identifies the cause.
CRASHES_TO_ISOLATE = 2
# Time after which crash reports are dropped. Clients are expected to retry within minutes, so a
# request that crashes servers is named by enough reports within this time.
CRASH_REPORT_RETENTION_S = 600.0
MAX_CRASH_REPORTS = 256
# Length of a request's first quarantine. Each further crash doubles the length, up to a maximum. A
# server restarts in some 5 s, so that one crash in 300 s takes 0.6% of a service of three servers.
# A request that was blamed wrongly is served again after the first quarantine.
INITIAL_QUARANTINE_S = 300.0
MAX_QUARANTINE_S = 3600.0
MAX_QUARANTINED = 64
# Time for which a daemon announces that its server has answered a request. Gossip reaches all
# daemons within seconds, and daemons that join later do not need the announcement.
ANSWER_ANNOUNCED_S = 30.0
# Maximum number of answered requests that are remembered for the current server process. Each takes
# 170 bytes. At 270 calls/s, a request that is repeated every 7 s is among them.
MAX_ANSWERED = 2048
MAX_SEEN_FINDINGS = 2048

FindingId = tuple[str, int]  # address of the reporting daemon, number of the finding


class CrashReport(NamedTuple):
    """Requests that were running when a server crashed, and the time of receipt (s)."""

    received_at: float
    fingerprints: frozenset[int]


class QuarantinePeriod(NamedTuple):
    """End (s) and duration (s) of a quarantine, and whether the quarantine has expired.

    An expired quarantine is kept for as long as it lasted: another crash meanwhile doubles it.
    """

    until: float
    duration: float
    is_over: bool = False


class AnnouncedFinding(NamedTuple):
    """Finding of this daemon, its expiry time (s), and whether it is also written to the store."""

    finding: Finding
    until: float
    is_persistent: bool = False


class QuarantineChanges(NamedTuple):
    """Newly quarantined fingerprints with the daemons that reported them, and cleared ones."""

    quarantined: Mapping[int, Sequence[str]]
    cleared: Sequence[int] = ()


NO_CHANGES = QuarantineChanges({})


class QuarantineState:
    """Findings of this daemon and of all others, and the resulting quarantines."""

    def __init__(self, address: str, first_number: int) -> None:
        """Create an empty state; this daemon's findings are numbered from `first_number`.

        `first_number` must exceed all numbers that the daemon used before a restart, since other
        daemons ignore a finding whose address and number they have already received.
        """
        self.address = address
        self.next_number = first_number
        self.announced: list[AnnouncedFinding] = []
        self.seen_findings: OrderedDict[FindingId, None] = OrderedDict()
        self.reports_by_id: OrderedDict[FindingId, CrashReport] = OrderedDict()
        self.report_ids_by_fingerprint: dict[int, set[FindingId]] = {}
        self.periods_by_fingerprint: OrderedDict[int, QuarantinePeriod] = OrderedDict()
        self.answered: OrderedDict[int, None] = OrderedDict()
        self.cleared_until_by_fingerprint: OrderedDict[int, float] = OrderedDict()


def findings(state: QuarantineState) -> tuple[Finding, ...]:
    """Return the findings that this daemon publishes in its member record."""
    return tuple(announced.finding for announced in state.announced)


def persistent_findings(state: QuarantineState) -> tuple[Finding, ...]:
    """Return the findings that are written to the store, to survive a restart of all daemons."""
    return tuple(announced.finding for announced in state.announced if announced.is_persistent)


def remaining(state: QuarantineState, fingerprint: int, now: float) -> float:
    """Return the remaining quarantine of a request in seconds, 0 if it may run."""
    period = state.periods_by_fingerprint.get(fingerprint)
    return max(0.0, period.until - now) if period is not None else 0.0


def record_refusal(state: QuarantineState, fingerprint: int) -> None:
    """Announce again a quarantine for which this daemon has refused a request.

    A daemon whose server has answered the request clears the quarantine on all daemons when it
    receives the announcement. It may not have received an earlier one, since the daemons that first
    announced the quarantine may have left. Nothing is announced if this daemon already announces
    the quarantine, or `MAX_FINDINGS_PER_KIND` others.
    """
    announced = [t.finding for t in state.announced if t.finding.kind is FindingKind.QUARANTINED]
    if len(announced) < MAX_FINDINGS_PER_KIND and all(
        fingerprint not in f.fingerprints for f in announced
    ):
        _announce_quarantined(state, fingerprint, is_persistent=False)


def is_crash_suspect(state: QuarantineState, fingerprint: int) -> bool:
    """Return whether a request may have crashed servers.

    Two such requests must not run concurrently on a server, so that a crash identifies its cause.
    """
    if fingerprint in state.periods_by_fingerprint:
        return True
    return len(state.report_ids_by_fingerprint.get(fingerprint, ())) >= CRASHES_TO_ISOLATE


def record_answer(state: QuarantineState, fingerprint: int, now: float) -> QuarantineChanges:
    """Record that the local backend server has answered a request.

    The answer clears the request if it is a crash suspect or quarantined.
    """
    if fingerprint == UNKNOWN:
        return NO_CHANGES
    state.answered[fingerprint] = None
    state.answered.move_to_end(fingerprint)
    while len(state.answered) > MAX_ANSWERED:
        state.answered.popitem(last=False)
    is_suspect = is_crash_suspect(state, fingerprint)
    cleared = _clear_answered(state, (fingerprint,), now) if is_suspect else []
    return QuarantineChanges(_quarantine_causes(state, (), now), cleared) if cleared else NO_CHANGES


def forget_run(state: QuarantineState) -> None:
    """Forget which requests the previous process of the local backend server has answered."""
    state.answered.clear()


def record_crash(state: QuarantineState, ran: Iterable[int], now: float) -> QuarantineChanges:
    """Record a crash of the local backend server and the requests that were running."""
    unanswered = [f for f in ran if f not in state.answered and f != UNKNOWN]
    forget_run(state)
    if not unanswered:
        return NO_CHANGES
    # The finding is limited in size: keep the requests named by the most reports.
    unanswered.sort(key=lambda f: -len(state.report_ids_by_fingerprint.get(f, ())))
    named = tuple(unanswered[:MAX_FINGERPRINTS])
    number = _announce(state, FindingKind.ENDED, named, now + CRASH_REPORT_RETENTION_S)
    _store_report(state, (state.address, number), named, now)
    return QuarantineChanges(_quarantine_causes(state, named, now))


def receive(
    state: QuarantineState, address: str, announced: Sequence[Finding], now: float
) -> QuarantineChanges:
    """Process the findings in the member record of the daemon at an address.

    The record may be this daemon's own from before a restart.
    """
    new = [finding for finding in announced if _is_new(state, (address, finding.number))]
    quarantined: dict[int, Sequence[str]] = {}
    cleared: list[int] = []
    reported: list[int] = []
    for finding in new:
        if finding.kind is FindingKind.ANSWERED:
            cleared += [f for f in finding.fingerprints if _clear(state, f, now)]
            continue
        named = [f for f in finding.fingerprints if not _was_recently_cleared(state, f, now)]
        if finding.kind is FindingKind.ENDED:
            _store_report(state, (address, finding.number), named, now)
            reported += named
        else:
            quarantined |= _accept_quarantined(state, address, named, now)
    # If the local server has answered a request that another daemon quarantines, that daemon does
    # not know of the answer: announce the answer.
    refused = [
        f
        for announced in new
        if announced.kind is FindingKind.QUARANTINED
        for f in announced.fingerprints
    ]
    crash_suspects = [f for f in reported if is_crash_suspect(state, f)]
    cleared += _clear_answered(state, (*crash_suspects, *refused), now)
    quarantined |= _quarantine_causes(state, reported, now)
    return QuarantineChanges(
        {f: reporters for f, reporters in quarantined.items() if f not in cleared}, cleared
    )


def expire(state: QuarantineState, now: float) -> tuple[int, ...]:
    """Remove expired state; return the requests whose quarantine has just ended."""
    state.announced = [announced for announced in state.announced if now < announced.until]
    for finding_id, report in list(state.reports_by_id.items()):
        if now - report.received_at >= CRASH_REPORT_RETENTION_S:
            _drop_report(state, finding_id)
    for fingerprint, until in list(state.cleared_until_by_fingerprint.items()):
        if until <= now:
            del state.cleared_until_by_fingerprint[fingerprint]
    expired = []
    for fingerprint, period in list(state.periods_by_fingerprint.items()):
        if period.until <= now and not period.is_over:
            _end_period(state, fingerprint, period)
            expired.append(fingerprint)
        if now >= period.until + period.duration:
            del state.periods_by_fingerprint[fingerprint]
    return tuple(expired)


def _is_new(state: QuarantineState, finding_id: FindingId) -> bool:
    if finding_id in state.seen_findings:
        return False
    state.seen_findings[finding_id] = None
    while len(state.seen_findings) > MAX_SEEN_FINDINGS:
        state.seen_findings.popitem(last=False)
    return True


def _announce(
    state: QuarantineState,
    kind: FindingKind,
    fingerprints: tuple[int, ...],
    until: float,
    is_persistent: bool = False,
) -> int:
    """Add a finding to this daemon's record and return its number."""
    finding = Finding(state.next_number, kind, fingerprints)
    state.next_number += 1
    alike = [announced for announced in state.announced if announced.finding.kind is kind]
    others = [announced for announced in state.announced if announced.finding.kind is not kind]
    state.announced = [
        *others,
        *[*alike, AnnouncedFinding(finding, until, is_persistent)][-MAX_FINDINGS_PER_KIND:],
    ]
    return finding.number


def _announce_quarantined(
    state: QuarantineState, fingerprint: int, is_persistent: bool = True
) -> None:
    _withdraw_quarantined(state, fingerprint)
    until = state.periods_by_fingerprint[fingerprint].until
    _announce(state, FindingKind.QUARANTINED, (fingerprint,), until, is_persistent)


def _withdraw_quarantined(state: QuarantineState, fingerprint: int) -> None:
    alike = (FindingKind.QUARANTINED, (fingerprint,))
    state.announced = [
        t for t in state.announced if (t.finding.kind, t.finding.fingerprints) != alike
    ]


def _withdraw_answered(state: QuarantineState, fingerprint: int) -> None:
    """Stop announcing that a request was answered, because it has been quarantined since."""
    for index, announced in enumerate(state.announced):
        named = announced.finding.fingerprints
        if announced.finding.kind is FindingKind.ANSWERED and fingerprint in named:
            rest = tuple(f for f in named if f != fingerprint)
            state.announced[index] = announced._replace(
                finding=announced.finding._replace(fingerprints=rest)
            )


def _announce_answered(state: QuarantineState, fingerprints: Sequence[int], now: float) -> None:
    """Announce answered requests, merged with those announced recently, in a single finding."""
    before = [t.finding for t in state.announced if t.finding.kind is FindingKind.ANSWERED]
    state.announced = [t for t in state.announced if t.finding.kind is not FindingKind.ANSWERED]
    merged = dict.fromkeys(
        [*fingerprints, *(f for finding in before for f in finding.fingerprints)]
    )
    named = tuple(merged)[:MAX_FINGERPRINTS]
    _announce(state, FindingKind.ANSWERED, named, now + ANSWER_ANNOUNCED_S)


def _store_report(
    state: QuarantineState, finding_id: FindingId, fingerprints: Iterable[int], now: float
) -> None:
    if finding_id in state.reports_by_id:
        return
    report = CrashReport(now, frozenset(fingerprints))
    state.reports_by_id[finding_id] = report
    for fingerprint in report.fingerprints:
        state.report_ids_by_fingerprint.setdefault(fingerprint, set()).add(finding_id)
    while len(state.reports_by_id) > MAX_CRASH_REPORTS:
        _drop_report(state, next(iter(state.reports_by_id)))


def _drop_report(state: QuarantineState, finding_id: FindingId) -> None:
    for fingerprint in state.reports_by_id.pop(finding_id).fingerprints:
        ids = state.report_ids_by_fingerprint[fingerprint]
        ids.discard(finding_id)
        if not ids:
            del state.report_ids_by_fingerprint[fingerprint]


def _end_period(state: QuarantineState, fingerprint: int, period: QuarantinePeriod) -> None:
    """Drop the crash reports that a quarantine explains, so that only later crashes count.

    Whole reports are dropped: if only the cause was removed from a report, the report would count
    against the other requests that it names.
    """
    for finding_id in list(state.report_ids_by_fingerprint.get(fingerprint, ())):
        _drop_report(state, finding_id)
    state.periods_by_fingerprint[fingerprint] = period._replace(is_over=True)


def _remove_from_reports(state: QuarantineState, fingerprint: int) -> bool:
    """Remove a request from all crash reports; return whether any named it."""
    ids = state.report_ids_by_fingerprint.pop(fingerprint, set())
    for finding_id in ids:
        report = state.reports_by_id[finding_id]
        rest = report.fingerprints - {fingerprint}
        state.reports_by_id[finding_id] = report._replace(fingerprints=rest)
    return bool(ids)


def _accept_quarantined(
    state: QuarantineState, address: str, fingerprints: Iterable[int], now: float
) -> dict[int, Sequence[str]]:
    """Apply quarantines announced by a daemon; return those that are new here."""
    new = [f for f in fingerprints if f not in state.periods_by_fingerprint]
    for fingerprint in new:
        _quarantine(state, fingerprint, now)
        # This daemon announced the quarantine before a restart: announce it again, so that it stays
        # in the store.
        if address == state.address:
            _announce_quarantined(state, fingerprint)
    return dict.fromkeys(new, (address,))


def _quarantine(state: QuarantineState, fingerprint: int, now: float) -> None:
    _withdraw_answered(state, fingerprint)
    before = state.periods_by_fingerprint.pop(fingerprint, None)
    duration = (
        INITIAL_QUARANTINE_S if before is None else min(MAX_QUARANTINE_S, 2 * before.duration)
    )
    state.periods_by_fingerprint[fingerprint] = QuarantinePeriod(now + duration, duration)
    while len(state.periods_by_fingerprint) > MAX_QUARANTINED:
        state.periods_by_fingerprint.popitem(last=False)


def _was_recently_cleared(state: QuarantineState, fingerprint: int, now: float) -> bool:
    """Return whether a request was cleared recently, so findings may predate its answer."""
    return now < state.cleared_until_by_fingerprint.get(fingerprint, 0.0)


def _clear(state: QuarantineState, fingerprint: int, now: float) -> bool:
    """Remove all reports and quarantines of a request; return whether there were any."""
    state.cleared_until_by_fingerprint[fingerprint] = now + ANSWER_ANNOUNCED_S
    state.cleared_until_by_fingerprint.move_to_end(fingerprint)
    while len(state.cleared_until_by_fingerprint) > MAX_QUARANTINED:
        state.cleared_until_by_fingerprint.popitem(last=False)
    _withdraw_quarantined(state, fingerprint)
    was_quarantined = state.periods_by_fingerprint.pop(fingerprint, None) is not None
    return _remove_from_reports(state, fingerprint) or was_quarantined


def _clear_answered(state: QuarantineState, crash_suspects: Iterable[int], now: float) -> list[int]:
    """Clear those requests that the local server has answered, and announce the answers."""
    cleared = [f for f in dict.fromkeys(crash_suspects) if f in state.answered]
    for fingerprint in cleared:
        _clear(state, fingerprint, now)
    if cleared:
        _announce_answered(state, cleared, now)
    return cleared


def _is_cause(state: QuarantineState, fingerprint: int) -> bool:
    """Return whether enough reports name a request, and no other request is in all of them."""
    ids = state.report_ids_by_fingerprint.get(fingerprint, set())
    if len(ids) < CRASHES_TO_QUARANTINE:
        return False
    return len(frozenset.intersection(*(state.reports_by_id[i].fingerprints for i in ids))) == 1


def _quarantine_causes(
    state: QuarantineState, reported: Iterable[int], now: float
) -> dict[int, Sequence[str]]:
    """Quarantine requests identified as a cause; return them with the reporting daemons.

    A request whose quarantine has expired recently is quarantined again by a single report.
    """
    repeated = [
        f for f in reported if f in state.periods_by_fingerprint and not remaining(state, f, now)
    ]
    not_quarantined = [
        f for f in state.report_ids_by_fingerprint if f not in state.periods_by_fingerprint
    ]
    causes = [*repeated, *(f for f in not_quarantined if _is_cause(state, f))]
    quarantined: dict[int, Sequence[str]] = {}
    for fingerprint in causes:
        _quarantine(state, fingerprint, now)
        ids = state.report_ids_by_fingerprint[fingerprint]
        quarantined[fingerprint] = sorted(address for address, _ in ids)
        if any(address == state.address for address, _ in ids):
            _announce_quarantined(state, fingerprint)
    return quarantined
