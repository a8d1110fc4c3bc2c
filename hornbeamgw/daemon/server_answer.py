"""Backend server answers: encode requests to the server, and validate its answers."""

from __future__ import annotations

import logging
from typing import NamedTuple

import h11

from hornbeamgw.core import answer_limits
from hornbeamgw.core.dialect import AnswerHead, Dialect, invalid_reason, is_answer_to, says_not_run
from hornbeamgw.core.verdict import Failure, Reason, may_have_run, not_run
from hornbeamgw.daemon import frames, heads
from hornbeamgw.daemon.http1 import (
    MAX_EVENTS_AT_ONCE,
    ConnectionLost,
    Event,
    HttpConnection,
    header,
    normalise_headers,
)

log = logging.getLogger(__name__)

# Suggested delay before a request that the server refused is sent to the same server again.
RETRY_AFTER_REFUSED_MS = 20
# Lowest HTTP status that reports a failure of the server.
SERVER_ERROR = 500


class EndlessAnswer(ConnectionLost):
    """The backend server sends more than an answer can be; the connection is of no use."""


class ReceivedHead(NamedTuple):
    """Head of an answer, and the number of answers to other requests skipped before it."""

    answer: AnswerHead
    skipped: int


def request_events(
    call: frames.Call, dialect: Dialect, instance: str, time_left: float
) -> list[h11.Event]:
    """Return the request to the backend server, for a call that expires in `time_left` seconds."""
    head = heads.decode_request(call.head)
    call_headers = [
        (dialect.call_id, call.call_id.encode()),
        (dialect.deadline_ms, str(max(1, round(time_left * 1000))).encode()),
        (dialect.retry_budget, str(call.retry_budget).encode()),
        (dialect.expected_instance, instance.encode()),
        (dialect.organisation, call.organisation.encode()),
    ]
    headers = [*head.headers, *((name, value) for name, value in call_headers if name and value)]
    if header(headers, b"content-length") is None and (call.body or not call.end):
        headers.append((b"transfer-encoding", b"chunked"))
    events: list[h11.Event] = [h11.Request(method=head.method, target=head.target, headers=headers)]
    if call.body:
        events.append(h11.Data(data=call.body))
    if call.end:
        events.append(h11.EndOfMessage())
    return events


async def next_head(
    connection: HttpConnection, dialect: Dialect, call_id: str, sent: list[h11.Event]
) -> ReceivedHead:
    """Wait for the head of the answer to a request, skipping answers to other requests.

    `sent` holds the complete request, or is empty if it was streamed. Raise ConnectionLost if the
    server closes the connection, or after skipping an answer to a streamed request, because the
    state of the HTTP parser can't be restored without the complete request. Raise EndlessAnswer if
    too much comes before the answer.
    """
    skipped = interim = 0
    received_before = connection.received_bytes
    while True:
        event = await connection.next_event()
        received = connection.received_bytes - received_before
        _check(answer_limits.problem_before_answer(skipped + interim, received))
        if isinstance(event, h11.InformationalResponse):
            interim += 1
            continue
        if not isinstance(event, h11.Response):
            raise ConnectionLost
        answer = AnswerHead(event.status_code, normalise_headers(event.headers))
        if is_answer_to(dialect, answer, call_id.encode()):
            return ReceivedHead(answer, skipped)
        skipped += 1
        log.warning(
            "backend server sent an answer to another request; skipping it",
            extra={"call_id": call_id},
        )
        await _skip_body(connection, received_before)
        if not sent:
            raise ConnectionLost
        connection.expect_another_response(*sent)


def _check(problem: str) -> None:
    if problem:
        raise EndlessAnswer(f"the backend server sent {problem}")


async def _skip_body(connection: HttpConnection, received_before: int) -> None:
    while True:
        event = await connection.next_event()
        received = connection.received_bytes - received_before
        _check(answer_limits.problem_before_answer(0, received))
        if isinstance(event, h11.EndOfMessage):
            return
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionLost


def failure_of(dialect: Dialect, answer: AnswerHead, call_id: str) -> Failure | None:
    """Return a failure if an answer is invalid or states that the request did not run."""
    if says_not_run(dialect, answer):
        detail = f"status {answer.status}"
        failure = not_run(Reason.BACKEND_REFUSED, detail, RETRY_AFTER_REFUSED_MS)
        return failure._replace(reached_server=True)
    problem = invalid_reason(dialect, answer, call_id.encode())
    return may_have_run(Reason.BACKEND_BROKE, problem) if problem else None


def read_available(connection: HttpConnection) -> tuple[bytes, bool]:
    """Return a received part of a body, and whether the body is complete.

    Raise ConnectionLost if the server closed the connection before the end of the body.
    """
    return _read_events(connection, connection.poll())


async def read_part(connection: HttpConnection) -> tuple[bytes, bool]:
    """Wait for the next part of a body; return it and whether the body is complete.

    Raise ConnectionLost if the server closed the connection before the end of the body.
    """
    return _read_events(connection, await connection.next_event())


def _read_events(connection: HttpConnection, event: Event | None) -> tuple[bytes, bool]:
    """Return the data of an event and of those that follow it at once, up to a number."""
    chunks: list[bytes] = []
    while True:
        if event is None:
            return b"".join(chunks), False
        if isinstance(event, h11.EndOfMessage):
            return b"".join(chunks), True
        if not isinstance(event, h11.Data):
            raise ConnectionLost
        chunks.append(bytes(event.data))
        if len(chunks) >= MAX_EVENTS_AT_ONCE:
            return b"".join(chunks), False
        event = connection.poll()


class BodyMeter:
    """The bytes of one answer with a body, as they are read.

    Attributes
    ----------
    body_bytes : int
        Bytes of the body so far.
    is_length_known : bool
        Whether the answer has declared a length.
    """

    def __init__(self, connection: HttpConnection, deadline: float) -> None:
        """Start before the answer; `deadline` (s) is that of the request."""
        self.body_bytes = 0
        self.is_length_known = False
        self._late_bytes = 0
        self._deadline = deadline
        self._connection = connection
        self._received_before = connection.received_bytes

    def restart(self) -> None:
        """Count from the next unread byte, as those before it belong to other answers."""
        unread = len(self._connection.http.trailing_data[0])
        self._received_before = self._connection.received_bytes - unread

    def count(self, body: bytes, now: float) -> None:
        """Count a part of the body; raise EndlessAnswer if the answer is more than it can be."""
        self.body_bytes += len(body)
        if now > self._deadline:
            self._late_bytes += len(body)
        received = self._connection.received_bytes - self._received_before
        _check(
            answer_limits.problem_in_body(
                received, self.body_bytes, self._late_bytes, self.is_length_known
            )
        )
