"""Retries: decide whether and when a failed attempt is retried."""

from __future__ import annotations

import random
from typing import NamedTuple

from hornbeamgw.core import backoff
from hornbeamgw.core.verdict import Failure, Reason, Verdict

DEFAULT_RETRY_BUDGET = 2
# Maximum delay of the first retry, which doubles with each attempt up to BACKOFF_MAX_S.
BACKOFF_BASE_S = 0.005
BACKOFF_MAX_S = 0.1
# Failures that are never retried.
FINAL_REASONS = frozenset(
    {
        Reason.CALLER_GONE,
        Reason.DEADLINE,
        Reason.BAD_REQUEST,
        Reason.QUARANTINED,
        Reason.QUOTA,
        Reason.UNAUTHENTICATED,
    }
)


class Retry(NamedTuple):
    """A retry after a delay in seconds."""

    delay: float


def plan_retry(
    failure: Failure,
    idempotent: bool,
    attempts: int,
    retries_left: int,
    remaining: float,
    rng: random.Random,
) -> Retry | None:
    """Return the next retry after a failed attempt, or None if the call ends with its failure.

    Parameters
    ----------
    failure : Failure
        The failure of the last attempt.
    idempotent : bool
        Whether the request may run more than once.
    attempts : int
        Attempts made so far, which determine the exponential backoff.
    retries_left : int
        Retries that the call may still make.
    remaining : float
        Time in seconds until the deadline of the call.
    rng : random.Random
        Source of the backoff jitter.
    """
    if failure.reason in FINAL_REASONS or retries_left <= 0:
        return None
    if failure.verdict is not Verdict.NOT_RUN and not idempotent:
        return None
    ceiling = backoff.ceiling(BACKOFF_BASE_S, BACKOFF_MAX_S, attempts - 1)
    delay = rng.uniform(0, ceiling)
    return Retry(delay) if delay < remaining else None


def combine(earlier: Verdict, failure: Failure) -> Failure:
    """Return the failure of a call, given its last failure and the verdict of earlier attempts.

    If an earlier attempt may have run, the result states that the request may have run.
    """
    if earlier is Verdict.MAY_HAVE_RUN:
        return failure._replace(verdict=Verdict.MAY_HAVE_RUN)
    return failure
