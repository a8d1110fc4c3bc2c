"""Quarantine: keeps a request under which servers end from reaching any others.

Where work is queued such a request is known as a poison message. An end is at first held against
the server; only what ran at several ends is held against the request. A daemon whose server ends
reports the fingerprints of all that ran there; its member record carries the report to every other
daemon, also to one that joins later. A request is quarantined once enough reports name it and
nothing else is named by all of them. So what ran beside the cause is not blamed, nor what the
servers have answered, however many copies of it ran while they fell for other reasons.

A quarantined request is refused for a time, then tried again: one more end quarantines it for twice
as long, one answer clears it everywhere. All that is remembered is bounded in number and time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from hornbeamgw.core.finding import (
    MOST_FINGERPRINTS,
    MOST_OF_A_KIND,
    Finding,
    FindingKind,
)
from hornbeamgw.core.fingerprint import UNKNOWN

# A request and its client's repeats reach two servers or three where servers fall by chance.
ENDS_TO_QUARANTINE = 3
# From so many ends on a request runs beside no other of which as much is known: the next end then
# tells the cause from what ran beside it.
ENDS_TO_RUN_APART = 2
# How long (s) an end is held against what ran there: a client that repeats does so within minutes.
REPORTED_S = 600.0
MOST_REPORTS = 256
# A server is back after some 5 s: one end each 300 s takes 0.6% of a service of three. Doubled each
# time up to an hour; a request that was blamed wrongly is served again after the first.
QUARANTINE_S = 300.0
QUARANTINE_MOST_S = 3600.0
MOST_QUARANTINED = 64
# Gossip brings a change to a fleet of 950 within seconds; one that joins later needs no answers.
ANSWER_TOLD_S = 30.0
# What the present run of the server has answered of late, 170 bytes each by tracemalloc: at 270
# calls/s a daemon, a request that is asked for every 7 s is among them.
MOST_ANSWERED = 2048
MOST_HEARD = 2048

FindingId = tuple[str, int]  # the address of the daemon that made it, and its number


class Report(NamedTuple):
    """Hold which requests ran as a server ended, and when that was heard of."""

    at: float
    fingerprints: frozenset[int]


class Period(NamedTuple):
    """Hold until when a request is refused, for how long (s) that was set, and if it is over."""

    until: float
    length: float
    is_over: bool = False


class Told(NamedTuple):
    """Hold a finding of one's own, until when to tell it, and whether it must outlast restarts."""

    finding: Finding
    until: float
    is_kept: bool = False


class Decided(NamedTuple):
    """Name what has newly been quarantined, with the daemons that told so, and what was cleared."""

    quarantined: Mapping[int, Sequence[str]]
    cleared: Sequence[int] = ()


NOTHING = Decided({})


class QuarantineState:
    """Hold the findings of all daemons, those of one's own, and what they came to."""

    def __init__(self, address: str, first_number: int) -> None:
        """Start knowing nothing; take this daemon's address, and a number above all before."""
        self.address = address
        self.next_number = first_number
        self.told: list[Told] = []
        self.heard: OrderedDict[FindingId, None] = OrderedDict()
        self.reports_by_id: OrderedDict[FindingId, Report] = OrderedDict()
        self.ends_by_fingerprint: dict[int, set[FindingId]] = {}
        self.periods_by_fingerprint: OrderedDict[int, Period] = OrderedDict()
        self.answered: OrderedDict[int, None] = OrderedDict()
        self.cleared_until_by_fingerprint: OrderedDict[int, float] = OrderedDict()


def findings(state: QuarantineState) -> tuple[Finding, ...]:
    """Return the findings that one's own record carries."""
    return tuple(told.finding for told in state.told)


def kept_findings(state: QuarantineState) -> tuple[Finding, ...]:
    """Return the findings that the daemon's row carries, in case all daemons end."""
    return tuple(told.finding for told in state.told if told.is_kept)


def left(state: QuarantineState, fingerprint: int, now: float) -> float:
    """Return for how long (s) a request is refused, 0 where it may run."""
    period = state.periods_by_fingerprint.get(fingerprint)
    return max(0.0, period.until - now) if period is not None else 0.0


def note_refused(state: QuarantineState, fingerprint: int) -> None:
    """Tell of a quarantine that is in use here: whoever has answered the request then says so.

    Those that told of it first may be gone. With too many in use some are not told.
    """
    told = [t.finding for t in state.told if t.finding.kind is FindingKind.QUARANTINED]
    if len(told) < MOST_OF_A_KIND and all(fingerprint not in f.fingerprints for f in told):
        _tell_quarantined(state, fingerprint, is_kept=False)


def must_run_apart(state: QuarantineState, fingerprint: int) -> bool:
    """Return whether a request may run beside no other of which as much is known."""
    if fingerprint in state.periods_by_fingerprint:
        return True
    return len(state.ends_by_fingerprint.get(fingerprint, ())) >= ENDS_TO_RUN_APART


def note_answered(state: QuarantineState, fingerprint: int, now: float) -> Decided:
    """Take a request that the server beside this daemon has answered."""
    if fingerprint == UNKNOWN:
        return NOTHING
    state.answered[fingerprint] = None
    state.answered.move_to_end(fingerprint)
    while len(state.answered) > MOST_ANSWERED:
        state.answered.popitem(last=False)
    matters = must_run_apart(state, fingerprint)
    cleared = _clear_answered(state, (fingerprint,), now) if matters else []
    return Decided(_quarantine_causes(state, (), now), cleared) if cleared else NOTHING


def forget_run(state: QuarantineState) -> None:
    """Forget what a run of the server has answered, as another begins."""
    state.answered.clear()


def note_end(state: QuarantineState, ran: Iterable[int], now: float) -> Decided:
    """Take that the server beside this daemon ended, and what ran there."""
    unanswered = [f for f in ran if f not in state.answered and f != UNKNOWN]
    forget_run(state)
    if not unanswered:
        return NOTHING
    # The cause is among those that ran at most ends; where there are too many, others are left out.
    unanswered.sort(key=lambda f: -len(state.ends_by_fingerprint.get(f, ())))
    named = tuple(unanswered[:MOST_FINGERPRINTS])
    number = _tell(state, FindingKind.ENDED, named, now + REPORTED_S)
    _take_report(state, (state.address, number), named, now)
    return Decided(_quarantine_causes(state, named, now))


def hear(state: QuarantineState, address: str, told: Sequence[Finding], now: float) -> Decided:
    """Take the findings in a daemon's record, also in that of this one before it restarted."""
    new = [finding for finding in told if _is_new(state, (address, finding.number))]
    quarantined: dict[int, Sequence[str]] = {}
    cleared: list[int] = []
    reported: list[int] = []
    for finding in new:
        if finding.kind is FindingKind.ANSWERED:
            cleared += [f for f in finding.fingerprints if _clear(state, f, now)]
            continue
        named = [f for f in finding.fingerprints if not _was_cleared(state, f, now)]
        if finding.kind is FindingKind.ENDED:
            _take_report(state, (address, finding.number), named, now)
            reported += named
        else:
            quarantined |= _take_quarantined(state, address, named, now)
    # Where one daemon refuses what this one serves, it has not heard of the answer, or not since.
    refused = [f for told in new if told.kind is FindingKind.QUARANTINED for f in told.fingerprints]
    suspects = [f for f in reported if must_run_apart(state, f)]
    cleared += _clear_answered(state, (*suspects, *refused), now)
    quarantined |= _quarantine_causes(state, reported, now)
    return Decided({f: why for f, why in quarantined.items() if f not in cleared}, cleared)


def expire(state: QuarantineState, now: float) -> tuple[int, ...]:
    """Forget what is over; return the requests that may be tried again from now on."""
    state.told = [told for told in state.told if now < told.until]
    for finding_id, report in list(state.reports_by_id.items()):
        if now - report.at >= REPORTED_S:
            _drop_report(state, finding_id)
    for fingerprint, until in list(state.cleared_until_by_fingerprint.items()):
        if until <= now:
            del state.cleared_until_by_fingerprint[fingerprint]
    ended = []
    for fingerprint, period in list(state.periods_by_fingerprint.items()):
        if period.until <= now and not period.is_over:
            _end_period(state, fingerprint, period)
            ended.append(fingerprint)
        if now >= period.until + period.length:
            del state.periods_by_fingerprint[fingerprint]
    return tuple(ended)


def _is_new(state: QuarantineState, finding_id: FindingId) -> bool:
    if finding_id in state.heard:
        return False
    state.heard[finding_id] = None
    while len(state.heard) > MOST_HEARD:
        state.heard.popitem(last=False)
    return True


def _tell(
    state: QuarantineState,
    kind: FindingKind,
    fingerprints: tuple[int, ...],
    until: float,
    is_kept: bool = False,
) -> int:
    """Add a finding to those that one's own record carries, and return its number."""
    finding = Finding(state.next_number, kind, fingerprints)
    state.next_number += 1
    alike = [told for told in state.told if told.finding.kind is kind]
    others = [told for told in state.told if told.finding.kind is not kind]
    state.told = [*others, *[*alike, Told(finding, until, is_kept)][-MOST_OF_A_KIND:]]
    return finding.number


def _tell_quarantined(state: QuarantineState, fingerprint: int, is_kept: bool = True) -> None:
    _withdraw_quarantined(state, fingerprint)
    until = state.periods_by_fingerprint[fingerprint].until
    _tell(state, FindingKind.QUARANTINED, (fingerprint,), until, is_kept)


def _withdraw_quarantined(state: QuarantineState, fingerprint: int) -> None:
    alike = (FindingKind.QUARANTINED, (fingerprint,))
    state.told = [t for t in state.told if (t.finding.kind, t.finding.fingerprints) != alike]


def _withdraw_answered(state: QuarantineState, fingerprint: int) -> None:
    """Tell no longer that a request was answered: servers have ended under it since."""
    for index, told in enumerate(state.told):
        named = told.finding.fingerprints
        if told.finding.kind is FindingKind.ANSWERED and fingerprint in named:
            rest = tuple(f for f in named if f != fingerprint)
            state.told[index] = told._replace(finding=told.finding._replace(fingerprints=rest))


def _tell_answered(state: QuarantineState, fingerprints: Sequence[int], now: float) -> None:
    """Tell in one finding what was answered, with what was told so a moment ago."""
    before = [t.finding for t in state.told if t.finding.kind is FindingKind.ANSWERED]
    state.told = [t for t in state.told if t.finding.kind is not FindingKind.ANSWERED]
    known = dict.fromkeys([*fingerprints, *(f for finding in before for f in finding.fingerprints)])
    named = tuple(known)[:MOST_FINGERPRINTS]
    _tell(state, FindingKind.ANSWERED, named, now + ANSWER_TOLD_S)


def _take_report(
    state: QuarantineState, finding_id: FindingId, fingerprints: Iterable[int], now: float
) -> None:
    if finding_id in state.reports_by_id:
        return
    report = Report(now, frozenset(fingerprints))
    state.reports_by_id[finding_id] = report
    for fingerprint in report.fingerprints:
        state.ends_by_fingerprint.setdefault(fingerprint, set()).add(finding_id)
    while len(state.reports_by_id) > MOST_REPORTS:
        _drop_report(state, next(iter(state.reports_by_id)))


def _drop_report(state: QuarantineState, finding_id: FindingId) -> None:
    for fingerprint in state.reports_by_id.pop(finding_id).fingerprints:
        ends = state.ends_by_fingerprint[fingerprint]
        ends.discard(finding_id)
        if not ends:
            del state.ends_by_fingerprint[fingerprint]


def _end_period(state: QuarantineState, fingerprint: int, period: Period) -> None:
    """Forget the ends that a quarantine explains, so that only one that follows counts again.

    They go whole: with the cause struck, they would be held against what ran beside it.
    """
    for finding_id in list(state.ends_by_fingerprint.get(fingerprint, ())):
        _drop_report(state, finding_id)
    state.periods_by_fingerprint[fingerprint] = period._replace(is_over=True)


def _forget_ends(state: QuarantineState, fingerprint: int) -> bool:
    """Strike a request from all reports; return whether it stood in any."""
    ends = state.ends_by_fingerprint.pop(fingerprint, set())
    for finding_id in ends:
        report = state.reports_by_id[finding_id]
        rest = report.fingerprints - {fingerprint}
        state.reports_by_id[finding_id] = report._replace(fingerprints=rest)
    return bool(ends)


def _take_quarantined(
    state: QuarantineState, address: str, fingerprints: Iterable[int], now: float
) -> dict[int, Sequence[str]]:
    """Take what another daemon has quarantined; return what is new of it."""
    new = [f for f in fingerprints if f not in state.periods_by_fingerprint]
    for fingerprint in new:
        _quarantine(state, fingerprint, now)
        # What this daemon told before it restarted is told again, so that the next start finds it.
        if address == state.address:
            _tell_quarantined(state, fingerprint)
    return dict.fromkeys(new, (address,))


def _quarantine(state: QuarantineState, fingerprint: int, now: float) -> None:
    _withdraw_answered(state, fingerprint)
    before = state.periods_by_fingerprint.pop(fingerprint, None)
    length = QUARANTINE_S if before is None else min(QUARANTINE_MOST_S, 2 * before.length)
    state.periods_by_fingerprint[fingerprint] = Period(now + length, length)
    while len(state.periods_by_fingerprint) > MOST_QUARANTINED:
        state.periods_by_fingerprint.popitem(last=False)


def _was_cleared(state: QuarantineState, fingerprint: int, now: float) -> bool:
    """Return whether what is told against a request may be older than an answer to it."""
    return now < state.cleared_until_by_fingerprint.get(fingerprint, 0.0)


def _clear(state: QuarantineState, fingerprint: int, now: float) -> bool:
    """Forget all that is held against a request; return whether there was anything."""
    state.cleared_until_by_fingerprint[fingerprint] = now + ANSWER_TOLD_S
    state.cleared_until_by_fingerprint.move_to_end(fingerprint)
    while len(state.cleared_until_by_fingerprint) > MOST_QUARANTINED:
        state.cleared_until_by_fingerprint.popitem(last=False)
    _withdraw_quarantined(state, fingerprint)
    was_quarantined = state.periods_by_fingerprint.pop(fingerprint, None) is not None
    return _forget_ends(state, fingerprint) or was_quarantined


def _clear_answered(state: QuarantineState, suspects: Iterable[int], now: float) -> list[int]:
    """Clear what was answered here of that which any daemon holds enough against to matter."""
    known = [f for f in dict.fromkeys(suspects) if f in state.answered]
    for fingerprint in known:
        _clear(state, fingerprint, now)
    if known:
        _tell_answered(state, known, now)
    return known


def _is_cause(state: QuarantineState, fingerprint: int) -> bool:
    """Return whether enough reports name a request, and no other is named by all of them."""
    ends = state.ends_by_fingerprint.get(fingerprint, set())
    if len(ends) < ENDS_TO_QUARANTINE:
        return False
    return len(frozenset.intersection(*(state.reports_by_id[i].fingerprints for i in ends))) == 1


def _quarantine_causes(
    state: QuarantineState, reported: Iterable[int], now: float
) -> dict[int, Sequence[str]]:
    """Quarantine what the reports show to be a cause; return it with who reported the ends."""
    again = [f for f in reported if f in state.periods_by_fingerprint and not left(state, f, now)]
    fresh = [f for f in state.ends_by_fingerprint if f not in state.periods_by_fingerprint]
    causes = [*again, *(f for f in fresh if _is_cause(state, f))]
    quarantined: dict[int, Sequence[str]] = {}
    for fingerprint in causes:
        _quarantine(state, fingerprint, now)
        ends = state.ends_by_fingerprint[fingerprint]
        quarantined[fingerprint] = sorted(address for address, _ in ends)
        if any(address == state.address for address, _ in ends):
            _tell_quarantined(state, fingerprint)
    return quarantined
