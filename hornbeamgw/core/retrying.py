"""Retries: whether a failed attempt may be made again, and when."""

from __future__ import annotations

import random
from typing import NamedTuple

from hornbeamgw.core.verdict import Failure, Reason, Verdict

DEFAULT_BUDGET = 2
BACKOFF_S = 0.005
BACKOFF_MAX_S = 0.1
FINAL_REASONS = frozenset(
    {Reason.CALLER_GONE, Reason.DEADLINE, Reason.BAD_REQUEST, Reason.QUARANTINED}
)


class Retry(NamedTuple):
    """Make another attempt after a delay (s)."""

    delay: float


def after(
    failure: Failure,
    idempotent: bool,
    attempts: int,
    budget: int,
    remaining: float,
    rng: random.Random,
) -> Retry | None:
    """Return a retry, or None where the call must end with this failure."""
    if failure.reason in FINAL_REASONS or budget <= 0:
        return None
    if failure.verdict is not Verdict.NOT_RUN and not idempotent:
        return None
    ceiling = min(BACKOFF_MAX_S, BACKOFF_S * 2 ** (attempts - 1))
    delay = rng.uniform(0, ceiling)
    return Retry(delay) if delay < remaining else None


def combine(earlier: Verdict, failure: Failure) -> Failure:
    """Return a failure no stronger than what an earlier attempt left open."""
    if earlier is Verdict.MAY_HAVE_RUN:
        return failure._replace(verdict=Verdict.MAY_HAVE_RUN)
    return failure
