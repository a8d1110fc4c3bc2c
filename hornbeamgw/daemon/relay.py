"""Relay: carries bodies between a caller's connection and an attempt."""

from __future__ import annotations

import asyncio

import h11

from hornbeamgw.daemon import frames, heads
from hornbeamgw.daemon.attempts import Attempt, Ending, Expired
from hornbeamgw.daemon.call import Call
from hornbeamgw.daemon.flow import Pacer
from hornbeamgw.daemon.http1 import ConnectionLost, HttpConnection, header, response_head
from hornbeamgw.daemon.progress import WaitsFor

# Of an answer without a length, as much as the users' larger ones have, so that it goes after most.
UNKNOWN_LEFT = 500_000


async def upload(connection: HttpConnection, call: Call, attempt: Attempt) -> None:
    """Carry the rest of a request's body, as far as the other side grants it."""
    while True:
        await attempt.upload.take(0)
        call.started_stream = True
        event = await connection.next_event()
        if isinstance(event, h11.Data):
            await attempt.upload.take(len(event.data))
            attempt.link.send(frames.Body(attempt.number, bytes(event.data), False))
        elif isinstance(event, h11.EndOfMessage):
            attempt.link.send(frames.Body(attempt.number, b"", True))
            return


async def answer(
    connection: HttpConnection,
    call: Call,
    attempt: Attempt,
    reply: frames.Reply,
    close: bool,
    pacer: Pacer,
) -> None:
    """Carry an answer to its end; raise ConnectionLost where either side breaks off."""
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
    call.progress.passed_on = len(reply.body)
    if not reply.end:
        attempt.link.send(frames.Credit(attempt.number, len(reply.body)))
        left = size_of(reply) - len(reply.body)
        await _rest(connection, call, attempt, pacer, left or UNKNOWN_LEFT)


async def _rest(
    connection: HttpConnection, call: Call, attempt: Attempt, pacer: Pacer, left: int
) -> None:
    """Carry what comes after the start of an answer, of which so many bytes are expected."""
    loop, progress = asyncio.get_running_loop(), call.progress
    pacer.pending_for_callers += left
    try:
        while True:
            progress.wait(WaitsFor.OTHER_DAEMON, loop.time())
            event = await attempt.events.get()
            if isinstance(event, Expired | Ending):
                # What has begun to arrive is of more use to the caller than an end cut off.
                continue
            if not isinstance(event, frames.Body):
                raise ConnectionLost(f"{type(event).__name__} before the end of the answer")
            if event.data:
                progress.wait(WaitsFor.LINK, loop.time())
                await pacer.leave(len(event.data), left, call.urgency)
                after = max(len(event.data), left - len(event.data))
                pacer.pending_for_callers += after - left
                left = after
                connection.send(h11.Data(data=event.data))
                progress.wait(WaitsFor.CALLER, loop.time())
                await connection.drain()
                progress.passed_on += len(event.data)
                attempt.link.send(frames.Credit(attempt.number, len(event.data)))
            if event.end:
                connection.send(h11.EndOfMessage())
                return
    finally:
        pacer.pending_for_callers -= left


def size_of(reply: frames.Reply) -> int:
    """Return the bytes of an answer, as far as its head tells."""
    if reply.end:
        return len(reply.head) + len(reply.body)
    length = header(heads.decode_headers(reply.head), b"content-length") or b""
    return int(length) if length.isdigit() else len(reply.body)
