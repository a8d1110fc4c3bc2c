"""Dialects: the headers by which callers, daemons and backend servers understand one another."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

Headers = Iterable[tuple[bytes, bytes]]


class Dialect(NamedTuple):
    """Name the headers of requests and answers, in lower case; an empty name is not used.

    What only some platforms have starts empty: the header in which a backend server names itself as
    it answers a health check, the header by which a backend server proves that
    an answer is its own, the one by which it says that a request did not run, and the statuses
    that say so by themselves. A caller identifies itself by the headers that identify it.
    """

    call_id: bytes = b"hornbeamgw-call-id"
    deadline_ms: bytes = b"hornbeamgw-deadline-ms"
    retry_budget: bytes = b"hornbeamgw-retry-budget"
    caller_service: bytes = b""
    expected_instance: bytes = b""
    instance: bytes = b""
    signature: bytes = b""
    not_run: bytes = b""
    other_instance_status: int = 0
    echoes_call_id: bool = False
    fractional_retry_after: bool = False
    identifies_caller: tuple[bytes, ...] = (b"authorization",)

    @property
    def set_by_daemons(self) -> frozenset[bytes]:
        """Return the headers that a daemon sets itself, whatever the caller sent."""
        return frozenset({self.deadline_ms, self.retry_budget, self.caller_service} - {b""})


HORNBEAMGW = Dialect()
dialects_by_name: dict[str, Dialect] = {"hornbeamgw": HORNBEAMGW}


class Answer(NamedTuple):
    """Hold the head of what a backend server sent."""

    status: int
    headers: Collection[tuple[bytes, bytes]]


def _value(headers: Headers, name: bytes) -> bytes | None:
    return next((value for key, value in headers if key == name), None)


def says_not_run(dialect: Dialect, answer: Answer) -> bool:
    """Return whether an answer proves that the backend server did not run the request."""
    if dialect.other_instance_status and answer.status == dialect.other_instance_status:
        return True
    return bool(dialect.not_run) and _value(answer.headers, dialect.not_run) is not None


def belongs_to(dialect: Dialect, answer: Answer, call_id: bytes) -> bool:
    """Return whether an answer is one to this request, where answers echo its id."""
    if not dialect.echoes_call_id:
        return True
    return _value(answer.headers, dialect.call_id) in (None, call_id)


def spoilt(dialect: Dialect, answer: Answer, call_id: bytes) -> str:
    """Return why a success can't be the backend server's own, or an empty text."""
    if not 200 <= answer.status < 300:
        return ""
    if dialect.signature and _value(answer.headers, dialect.signature) is None:
        return "a success without the signature of the backend server"
    if dialect.signature and _value(answer.headers, b"content-encoding") is not None:
        return "a success with an encoding that nobody asked for"
    if dialect.echoes_call_id and _value(answer.headers, dialect.call_id) != call_id:
        return "a success without the id of the request"
    return ""
