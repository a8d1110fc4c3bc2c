"""Quarantine: one request that ends servers, others that don't, and records that come whenever.

Daemons hear one another's records late, doubled, out of order or never, restart, and lose servers
to other causes too. Once all have heard all: a request that three ends name alone is refused
everywhere; one that was answered since is refused nowhere; each daemon counts an end once.
"""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hornbeamgw.core import quarantine
from hornbeamgw.core.finding import MAX_FINDINGS, Finding, FindingKind
from hornbeamgw.core.quarantine import QuarantineState
from properties.runs_machine import PROFILE as RUNS_PROFILE

PROFILE = settings(RUNS_PROFILE, stateful_step_count=60)
DAEMONS = 5
CAUSE = 1
OTHERS = range(2, 8)
KEPT_RECORDS = 40
ROUNDS = 4  # what is refused in one round, and answered for in the next, is heard of in the third

daemons = st.integers(0, DAEMONS - 1)
seeds = st.integers(0, 2**32 - 1)
Record = tuple[str, tuple[Finding, ...]]


class QuarantineMachine(RuleBasedStateMachine):
    """Play daemons, what runs beside them, and the records that they hear of one another."""

    def __init__(self) -> None:
        """Start without daemons."""
        super().__init__()
        self.now = 1000.0
        self.rng = random.Random(0)
        self.started = 0
        self.states: list[QuarantineState] = []
        self.records: list[Record] = []

    @initialize(seed=seeds)
    def start(self, seed: int) -> None:
        """Start every daemon."""
        self.rng = random.Random(seed)
        self.states = [self._new(index) for index in range(DAEMONS)]

    def _new(self, index: int) -> QuarantineState:
        self.started += 1
        return QuarantineState(f"d{index}", 1000 * self.started)

    def _record(self, state: QuarantineState) -> Record:
        return state.address, quarantine.findings(state)

    def _keep(self, state: QuarantineState) -> None:
        self.records = [*self.records, self._record(state)][-KEPT_RECORDS:]

    def _hear(self, state: QuarantineState, record: Record) -> None:
        if record[0] != state.address:
            quarantine.receive(state, *record, self.now)

    def _is_refused(self, state: QuarantineState, request: int) -> bool:
        return quarantine.remaining(state, request, self.now) > 0

    @rule(index=daemons, beside=st.sets(st.sampled_from(OTHERS), max_size=3))
    def run_cause(self, index: int, beside: set[int]) -> None:
        """Send the cause to a server, which ends under it and what runs beside it."""
        state = self.states[index]
        if not self._is_refused(state, CAUSE):
            quarantine.record_crash(state, [CAUSE, *beside], self.now)
            self._keep(state)

    @rule(index=daemons, request=st.sampled_from(OTHERS))
    def run_other(self, index: int, request: int) -> None:
        """Send another request, which is answered."""
        state = self.states[index]
        if not self._is_refused(state, request):
            quarantine.record_answer(state, request, self.now)
            self._keep(state)

    @rule(index=daemons, ran=st.sets(st.sampled_from(OTHERS), max_size=3))
    def end_otherwise(self, index: int, ran: set[int]) -> None:
        """End a server by something else."""
        quarantine.record_crash(self.states[index], ran, self.now)
        self._keep(self.states[index])

    @rule(index=daemons)
    def hear_some(self, index: int) -> None:
        """Let a record arrive, which may be an old one, or have arrived before."""
        if self.records:
            self._hear(self.states[index], self.rng.choice(self.records))

    @rule(index=daemons, other=daemons)
    def restart(self, index: int, other: int) -> None:
        """Start a daemon anew; it joins by the record of another one."""
        self.states[index] = self._new(index)
        self._hear(self.states[index], self._record(self.states[other]))

    @rule(span=st.sampled_from((0.1, 20.0, 150.0, 400.0)))
    def time_passes(self, span: float) -> None:
        """Let time pass."""
        self.now += span
        for state in self.states:
            quarantine.expire(state, self.now)

    @invariant()
    def each_end_counts_once(self) -> None:
        """Check that the index of ends is that of the reports, and that all is bounded."""
        for state in self.states:
            named: dict[int, set[quarantine.FindingId]] = {}
            for finding_id, report in state.reports_by_id.items():
                for fingerprint in report.fingerprints:
                    named.setdefault(fingerprint, set()).add(finding_id)
            assert named == state.report_ids_by_fingerprint
            assert len(state.announced) <= MAX_FINDINGS
            numbers = [announced.finding.number for announced in state.announced]
            assert len(set(numbers)) == len(numbers)

    def _ask_for_all(self, state: QuarantineState) -> None:
        """Send each request once more to a daemon; the cause goes to no server any more."""
        for request in (CAUSE, *OTHERS):
            if self._is_refused(state, request):
                quarantine.record_refusal(state, request)
            elif request != CAUSE:
                quarantine.record_answer(state, request, self.now)

    def teardown(self) -> None:
        """Let all hear all, and check who is refused."""
        if not self.states:
            return
        for _ in range(ROUNDS):
            for state in self.states:
                self._ask_for_all(state)
            for state in self.states:
                for other in self.states:
                    self._hear(state, self._record(other))
        answered = [r for r in OTHERS if any(r in state.answered for state in self.states)]
        for state in self.states:
            refused = [r for r in answered if self._is_refused(state, r)]
            assert not refused, (state.address, refused)
        ends = {
            (state.address, finding.number)
            for state in self.states
            for finding in quarantine.findings(state)
            if finding.kind is FindingKind.ENDED and CAUSE in finding.fingerprints
        }
        if len(ends) >= quarantine.CRASHES_TO_QUARANTINE:
            known = [CAUSE in state.periods_by_fingerprint for state in self.states]
            assert all(known), (ends, known)
