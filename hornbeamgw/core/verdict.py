"""Verdict: whether a request ran, may have run, or surely did not."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Verdict(enum.StrEnum):
    """Say what is known of a request after an attempt."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    ANSWERED = "answered"


class Reason(enum.StrEnum):
    """Name why an attempt or a call ended without an answer."""

    BAD_REQUEST = "bad_request"
    BACKEND_BROKE = "backend_broke"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_GONE = "caller_gone"
    COLD = "cold"
    DEADLINE = "deadline"
    DRAINING = "draining"
    FENCED = "fenced"
    LINK_LOST = "link_lost"
    NO_BACKEND = "no_backend"
    NO_CONNECTION = "no_connection"
    NO_ROUTE = "no_route"
    NO_SLOT = "no_slot"
    NOT_READY = "not_ready"
    QUARANTINED = "quarantined"
    QUEUE_TIMEOUT = "queue_timeout"


class Failure(NamedTuple):
    """Describe an attempt that gave no answer."""

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0
    reached_server: bool = False


def not_run(reason: Reason, detail: str = "", retry_after_ms: int = 0) -> Failure:
    """Return a failure that proves the request did not run."""
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after_ms)


def may_have_run(reason: Reason, detail: str = "") -> Failure:
    """Return a failure that leaves open whether the request ran."""
    return Failure(Verdict.MAY_HAVE_RUN, reason, detail, reached_server=True)
