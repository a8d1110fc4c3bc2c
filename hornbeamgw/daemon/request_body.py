"""Request body: what a call takes of its caller's body before its first attempt."""

from __future__ import annotations

import asyncio

import h11

from hornbeamgw.daemon.call import Call
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.http_server import BadRequest


async def take_body(connection: HttpConnection, call: Call, most: int) -> None:
    """Take a whole body, or as much (bytes) as can be sent again; raise BadRequest when late."""
    # Most requests have arrived whole with their head, and need no timer for the rest.
    if _take_arrived(connection, call, most):
        return
    try:
        async with asyncio.timeout_at(call.deadline):
            while not _take_arrived(connection, call, most):
                await connection.wait_input()
    except TimeoutError:
        raise BadRequest(408, "the request's body did not arrive in time") from None


def _take_arrived(connection: HttpConnection, call: Call, most: int) -> bool:
    """Take what has arrived of a body; return whether that is all, or enough to begin with."""
    while len(call.body) <= most:
        event = connection.poll()
        if event is None:
            return False
        if isinstance(event, h11.EndOfMessage):
            call.body_complete = True
            return True
        if isinstance(event, h11.Data):
            call.body += bytes(event.data)
    return True


def answer_expect(connection: HttpConnection) -> None:
    """Let a caller that waits for it send its body."""
    if connection.http.they_are_waiting_for_100_continue:
        connection.send(h11.InformationalResponse(status_code=100, headers=[]))
