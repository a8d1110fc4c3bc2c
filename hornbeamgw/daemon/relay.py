"""Relay: stream request and answer bodies between a caller's connection and an attempt."""

from __future__ import annotations

import asyncio

import h11

from hornbeamgw.daemon import frames, heads
from hornbeamgw.daemon.attempts import Attempt, DaemonStopping, DeadlineExpired
from hornbeamgw.daemon.call import Call
from hornbeamgw.daemon.flow import Pacer
from hornbeamgw.daemon.http1 import ConnectionLost, HttpConnection, header, response_head
from hornbeamgw.daemon.progress import WaitsFor

# Assumed size of an answer without a content length, large enough that the pacer sends most other
# answers first.
ASSUMED_ANSWER_BYTES = 500_000


async def upload(connection: HttpConnection, call: Call, attempt: Attempt) -> None:
    """Send the rest of a request's body, limited by the credit that the other daemon grants."""
    while True:
        await attempt.upload.consume(0)
        call.is_body_streaming = True
        event = await connection.next_event()
        if isinstance(event, h11.Data):
            await attempt.upload.consume(len(event.data))
            attempt.link.send(frames.Body(attempt.number, bytes(event.data), False))
        elif isinstance(event, h11.EndOfMessage):
            attempt.link.send(frames.Body(attempt.number, b"", True))
            return


async def send_answer(
    connection: HttpConnection,
    call: Call,
    attempt: Attempt,
    reply: frames.Reply,
    close: bool,
    pacer: Pacer,
) -> None:
    """Send an answer to the caller; raise ConnectionLost if it can't be sent completely."""
    headers = heads.decode_headers(reply.head)
    headers.append((heads.CALL_ID, call.call_id.encode()))
    if close:
        headers.append((b"connection", b"close"))
    events: list[h11.Event] = [response_head(reply.status, headers)]
    if reply.body:
        events.append(h11.Data(data=reply.body))
    if reply.end:
        events.append(h11.EndOfMessage())
    connection.send(*events)
    call.progress.forwarded_bytes = len(reply.body)
    if not reply.end:
        await connection.drain()
        attempt.link.send(frames.Credit(attempt.number, len(reply.body)))
        remaining = answer_size(reply) - len(reply.body)
        await _send_rest(connection, call, attempt, pacer, remaining or ASSUMED_ANSWER_BYTES)


async def _send_rest(
    connection: HttpConnection, call: Call, attempt: Attempt, pacer: Pacer, remaining: int
) -> None:
    """Send the rest of an answer, of which `remaining` bytes are expected."""
    loop, progress = asyncio.get_running_loop(), call.progress
    pacer.pending_for_callers += remaining
    try:
        while True:
            progress.record_wait(WaitsFor.OTHER_DAEMON, loop.time())
            event = await attempt.events.get()
            if isinstance(event, DeadlineExpired | DaemonStopping):
                # Keep sending: a late answer is more useful to the caller than a truncated one.
                continue
            if not isinstance(event, frames.Body):
                raise ConnectionLost(f"{type(event).__name__} before the end of the answer")
            if event.data:
                progress.record_wait(WaitsFor.LINK, loop.time())
                await pacer.wait_to_send(len(event.data), remaining, call.urgency)
                new_remaining = max(len(event.data), remaining - len(event.data))
                pacer.pending_for_callers += new_remaining - remaining
                remaining = new_remaining
                connection.send(h11.Data(data=event.data))
                progress.record_wait(WaitsFor.CALLER, loop.time())
                await connection.drain()
                progress.forwarded_bytes += len(event.data)
                attempt.link.send(frames.Credit(attempt.number, len(event.data)))
            if event.end:
                connection.send(h11.EndOfMessage())
                return
    finally:
        pacer.pending_for_callers -= remaining


def answer_size(reply: frames.Reply) -> int:
    """Return the size of an answer in bytes, or of its received part if the length is unknown."""
    if reply.end:
        return len(reply.head) + len(reply.body)
    length = header(heads.decode_headers(reply.head), b"content-length") or b""
    return int(length) if length.isdigit() else len(reply.body)
