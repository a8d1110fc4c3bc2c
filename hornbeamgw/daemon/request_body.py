"""Request bodies: read from the caller before the first attempt of a call."""

from __future__ import annotations

import asyncio

import h11

from hornbeamgw.daemon.call import Call
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.http_server import BadRequest


async def read_body(connection: HttpConnection, call: Call, max_size: int) -> None:
    """Read the body until it is complete or exceeds `max_size` bytes.

    The rest of a larger body is streamed during an attempt; once that starts, the call can't be
    retried. Raise BadRequest if the body does not arrive before the deadline.
    """
    # Most bodies arrive together with the request head and need no timer.
    if _read_available(connection, call, max_size):
        return
    try:
        async with asyncio.timeout_at(call.deadline):
            while not _read_available(connection, call, max_size):
                await connection.wait_input()
    except TimeoutError:
        raise BadRequest(408, "the request's body did not arrive in time") from None


def _read_available(connection: HttpConnection, call: Call, max_size: int) -> bool:
    """Read the data received so far; return whether the first attempt can start."""
    while len(call.body) <= max_size:
        event = connection.poll()
        if event is None:
            return False
        if isinstance(event, h11.EndOfMessage):
            call.body_complete = True
            return True
        if isinstance(event, h11.Data):
            call.body += bytes(event.data)
    return True


def send_continue(connection: HttpConnection) -> None:
    """Send `100 Continue` if the caller expects it before sending the body."""
    if connection.http.they_are_waiting_for_100_continue:
        connection.send(h11.InformationalResponse(status_code=100, headers=[]))
