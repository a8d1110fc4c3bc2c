"""Dialects: HTTP headers exchanged between callers, daemons and backend servers."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

Headers = Iterable[tuple[bytes, bytes]]


class Dialect(NamedTuple):
    """Header names of requests and answers, in lower case; an empty name disables the header.

    Attributes
    ----------
    call_id, deadline_ms, retry_budget : bytes
        Headers with the id of a call, its remaining time in milliseconds, and its retry budget.
    caller_service : bytes
        Header that names the service of the caller.
    expected_instance : bytes
        Header that names the server instance for which a request is meant.
    instance : bytes
        Header in which a backend server identifies its instance in a health check.
    signature : bytes
        Header that proves by its presence that an answer was created by the backend server.
    not_run : bytes
        Header that states that the backend server did not run the request.
    rate_limit : bytes
        Header in which a backend server names the requests per second that it takes from all
        daemons together.
    leaving : bytes
        Header in which a backend server says that it is about to end.
    other_instance_status : int
        HTTP status with which a server refuses, without running it, a request that was addressed to
        a different instance; 0 if unused.
    echoes_call_id : bool
        Whether answers repeat the id of the call.
    fractional_retry_after : bool
        Whether `retry-after` headers may contain fractions of a second.
    identifies_caller : tuple of bytes
        Headers whose values identify a caller.
    key : bytes
        Header with the key by which a caller proves to which organisation it belongs.
    organisation : bytes
        Header that names the organisation of the caller to the backend server.
    """

    call_id: bytes = b"hornbeamgw-call-id"
    deadline_ms: bytes = b"hornbeamgw-deadline-ms"
    retry_budget: bytes = b"hornbeamgw-retry-budget"
    caller_service: bytes = b""
    expected_instance: bytes = b""
    instance: bytes = b""
    signature: bytes = b""
    not_run: bytes = b""
    rate_limit: bytes = b"hornbeamgw-rate-limit"
    leaving: bytes = b"hornbeamgw-leaving"
    other_instance_status: int = 0
    echoes_call_id: bool = False
    fractional_retry_after: bool = False
    identifies_caller: tuple[bytes, ...] = (b"authorization",)
    key: bytes = b"hornbeamgw-key"
    organisation: bytes = b"hornbeamgw-organisation"

    @property
    def set_by_daemons(self) -> frozenset[bytes]:
        """Return the headers that a daemon sets itself, replacing those of the caller."""
        return frozenset({self.deadline_ms, self.retry_budget, self.caller_service} - {b""})


HORNBEAMGW = Dialect()
dialects_by_name: dict[str, Dialect] = {"hornbeamgw": HORNBEAMGW}


class AnswerHead(NamedTuple):
    """Status and headers of an answer from a backend server."""

    status: int
    headers: Collection[tuple[bytes, bytes]]


def _header_value(headers: Headers, name: bytes) -> bytes | None:
    return next((value for key, value in headers if key == name), None)


def says_not_run(dialect: Dialect, answer: AnswerHead) -> bool:
    """Return whether an answer proves that the backend server did not run the request."""
    if dialect.other_instance_status and answer.status == dialect.other_instance_status:
        return True
    return bool(dialect.not_run) and _header_value(answer.headers, dialect.not_run) is not None


def is_from_server(dialect: Dialect, answer: AnswerHead) -> bool:
    """Return whether an answer bears the signature of the backend server, if there are any."""
    return not dialect.signature or _header_value(answer.headers, dialect.signature) is not None


def is_answer_to(dialect: Dialect, answer: AnswerHead, call_id: bytes) -> bool:
    """Return whether an answer belongs to this call.

    The result is True if the answer carries no call id or the dialect does not use it in answers.
    """
    if not dialect.echoes_call_id:
        return True
    return _header_value(answer.headers, dialect.call_id) in (None, call_id)


def invalid_reason(dialect: Dialect, answer: AnswerHead, call_id: bytes) -> str:
    """Return why a successful answer is not valid; empty if it is, or if it is not a success."""
    if not 200 <= answer.status < 300:
        return ""
    if dialect.signature and _header_value(answer.headers, dialect.signature) is None:
        return "a success without the signature of the backend server"
    if dialect.signature and _header_value(answer.headers, b"content-encoding") is not None:
        return "a success with an encoding that nobody asked for"
    if dialect.echoes_call_id and _header_value(answer.headers, dialect.call_id) != call_id:
        return "a success without the id of the request"
    return ""
