"""Server answer: asks the backend server, and tells its own answers from all else it sends."""

from __future__ import annotations

import logging
from typing import NamedTuple

import h11

from hornbeamgw.core.dialect import AnswerHead, Dialect, invalid_reason, is_answer_to, says_not_run
from hornbeamgw.core.verdict import Failure, Reason, may_have_run, not_run
from hornbeamgw.daemon import frames, heads
from hornbeamgw.daemon.http1 import ConnectionLost, HttpConnection, header, normalise_headers

log = logging.getLogger(__name__)

# Another server may be asked at once; one that is full is asked again after a short request.
RETRY_AFTER_REFUSED_MS = 20
# From this status on a server says that it failed; below it has done its work.
SERVER_ERROR = 500


class Head(NamedTuple):
    """Hold the head of an answer, and how many answers to other requests came before it."""

    response: h11.Response
    foreign: int


def request_events(
    call: frames.Call, dialect: Dialect, instance: str, left: float
) -> list[h11.Event]:
    """Return what is sent to the backend server for a call that has this long left (s)."""
    head = heads.decode_request(call.head)
    named = [
        (dialect.call_id, call.call_id.encode()),
        (dialect.deadline_ms, str(max(1, round(left * 1000))).encode()),
        (dialect.retry_budget, str(call.retry_budget).encode()),
        (dialect.expected_instance, instance.encode()),
    ]
    headers = [*head.headers, *((name, value) for name, value in named if name and value)]
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
) -> Head:
    """Return the head of the answer to a request, past any that belongs to another.

    Raise ConnectionLost where the server breaks off, or where what was sent can't be told again.
    """
    foreign = 0
    while True:
        event = await connection.next_event()
        if isinstance(event, h11.InformationalResponse):
            continue
        if not isinstance(event, h11.Response):
            raise ConnectionLost
        if is_answer_to(
            dialect,
            AnswerHead(event.status_code, normalise_headers(event.headers)),
            call_id.encode(),
        ):
            return Head(event, foreign)
        foreign += 1
        log.warning("answer to another request", extra={"call_id": call_id})
        await _skip_body(connection)
        if not sent:
            raise ConnectionLost
        connection.expect_another_response(*sent)


async def _skip_body(connection: HttpConnection) -> None:
    while True:
        event = await connection.next_event()
        if isinstance(event, h11.EndOfMessage):
            return
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionLost


def judge(dialect: Dialect, head: h11.Response, call_id: str) -> Failure | None:
    """Return a failure where an answer is none, or says that the request did not run."""
    answer = AnswerHead(head.status_code, normalise_headers(head.headers))
    if says_not_run(dialect, answer):
        detail = f"status {head.status_code}"
        failure = not_run(Reason.BACKEND_REFUSED, detail, RETRY_AFTER_REFUSED_MS)
        return failure._replace(reached_server=True)
    why = invalid_reason(dialect, answer, call_id.encode())
    return may_have_run(Reason.BACKEND_BROKE, why) if why else None


def take_arrived(connection: HttpConnection) -> tuple[bytes, bool]:
    """Return what has arrived of a body, and whether that is its end; raise ConnectionLost."""
    chunks: list[bytes] = []
    while True:
        event = connection.poll()
        if isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(chunks), True
        elif event is None:
            return b"".join(chunks), False
        else:
            raise ConnectionLost


async def next_part(connection: HttpConnection) -> tuple[bytes, bool]:
    """Return the next part of a body, and whether it is the end; raise ConnectionLost."""
    event = await connection.next_event()
    if isinstance(event, h11.Data):
        return bytes(event.data), False
    if isinstance(event, h11.EndOfMessage):
        return b"", True
    raise ConnectionLost
