"""Answer counts: count the good and bad answers of a backend server, for decisions on rollouts."""

from __future__ import annotations

from collections.abc import Iterable

from hornbeamgw.core import tally
from hornbeamgw.core.tally import Count
from hornbeamgw.core.verdict import Failure
from hornbeamgw.daemon.gate_attempt import GateAttempt


class AnswerCounts:
    """Counts of the answers of one run of a backend server, by route."""

    def __init__(self) -> None:
        """Start without answers."""
        self.by_route: dict[str, Count] = {}

    def count_overdue(self, attempts: Iterable[GateAttempt], warm_at: float, now: float) -> None:
        """Count running attempts that already exceed the threshold for a slow answer.

        The server is warm after `warm_at` (s).
        """
        for attempt in attempts:
            call = attempt.call
            if attempt.task is None or attempt.is_counted or attempt.answered_at:
                continue
            limit = tally.slow_threshold(
                call.typical_service_ms / 1000,
                call.latency_objective_ms / 1000,
                attempt.started_at < warm_at,
            )
            if now - attempt.started_at > limit:
                attempt.is_counted = True
                tally.record(self.by_route, call.route, True)

    def count_ended(
        self, attempt: GateAttempt, failure: Failure | None, warm_at: float, now: float
    ) -> None:
        """Count the outcome of an attempt if the server is responsible for it."""
        if attempt.is_counted:
            return
        answered_at = attempt.answered_at or now
        outcome = tally.AttemptOutcome(
            failure,
            attempt.status,
            answered_at - attempt.started_at,
            attempt.call.typical_service_ms / 1000,
            attempt.call.latency_objective_ms / 1000,
            attempt.started_at < warm_at,
        )
        bad = tally.is_bad(outcome)
        if bad is not None:
            tally.record(self.by_route, attempt.call.route, bad)
