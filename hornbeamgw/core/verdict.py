"""Verdicts: whether a request was answered, may have run, or did not run."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Verdict(enum.StrEnum):
    """Whether a request was processed, as known after an attempt."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    ANSWERED = "answered"


class Reason(enum.StrEnum):
    """Why an attempt or a call failed."""

    BAD_REQUEST = "bad_request"
    BACKEND_BROKE = "backend_broke"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_GONE = "caller_gone"
    COLD = "cold"  # the backend server has not finished starting
    DEADLINE = "deadline"
    DRAINING = "draining"
    FENCED = "fenced"  # the attempt had already arrived, or was reported as not run
    LINK_LOST = "link_lost"
    NO_BACKEND = "no_backend"
    NO_CONNECTION = "no_connection"
    NO_ROUTE = "no_route"
    NO_SLOT = "no_slot"
    NOT_READY = "not_ready"
    QUARANTINED = "quarantined"
    QUEUE_TIMEOUT = "queue_timeout"
    QUOTA = "quota"  # the organisation has used up its requests per second
    RATE_LIMITED = "rate_limited"  # the backend server takes fewer requests per second
    UNAUTHENTICATED = "unauthenticated"  # no key of an organisation, or one that is not valid


class Failure(NamedTuple):
    """A failed attempt or call.

    Attributes
    ----------
    verdict : Verdict
        Whether the request may have run.
    reason : Reason
        Why the attempt or call failed.
    detail : str
        Details for the caller.
    retry_after_ms : int
        Delay before the caller should retry; 0 if unspecified.
    reached_server : bool
        Whether the request was sent to a backend server.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0
    reached_server: bool = False


def not_run(reason: Reason, detail: str = "", retry_after_ms: int = 0) -> Failure:
    """Return a failure of a request that did not run."""
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after_ms)


def may_have_run(reason: Reason, detail: str = "") -> Failure:
    """Return a failure of a request that may have run."""
    return Failure(Verdict.MAY_HAVE_RUN, reason, detail, reached_server=True)
