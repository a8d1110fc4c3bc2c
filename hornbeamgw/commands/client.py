"""Client: ask daemons from the command line."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import urlencode

import h11
import msgspec

from hornbeamgw.commands.exits import ExitCode
from hornbeamgw.commands.output import fail
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient

TIMEOUT_S = 30.0
FAN_OUT = 64


class Answer(NamedTuple):
    """Hold the status and the JSON document of an answer."""

    status: int
    document: Any


async def ask(
    address: str, method: str, path: str, query: dict[str, str] | None = None, body: object = None
) -> Answer:
    """Ask one daemon; raise OSError, TimeoutError, ConnectionLost or a protocol error."""
    client = HttpClient(address, TIMEOUT_S)
    target = f"{path}?{urlencode(query)}" if query else path
    payload = b"" if body is None else msgspec.json.encode(body)
    try:
        response = await client.request(method, target, body=payload)
    finally:
        client.close()
    return Answer(response.status, msgspec.json.decode(response.body))


def ask_or_fail(address: str, method: str, path: str, query: dict[str, str] | None = None) -> Any:
    """Return the document of a daemon's answer, or end the command with the reason."""
    try:
        answer = asyncio.run(ask(address, method, path, query))
    except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError) as error:
        fail(f"daemon {address}: no answer: {error or type(error).__name__}", ExitCode.FAILED)
    if answer.status != 200:
        fail(f"daemon {address}: {answer.document}", ExitCode.FAILED)
    return answer.document


async def ask_each(
    addresses: Sequence[str], path: str, query: dict[str, str] | None = None
) -> dict[str, Any]:
    """Ask many daemons at once; return documents by address, None where there was no answer."""
    slots = asyncio.Semaphore(FAN_OUT)

    async def ask_one(address: str) -> Any:
        async with slots:
            try:
                return (await ask(address, "GET", path, query)).document
            except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError):
                return None

    answers = await asyncio.gather(*(ask_one(address) for address in addresses))
    return dict(zip(addresses, answers, strict=True))


async def living_admins(address: str) -> list[str]:
    """Return the admin addresses of all daemons that one daemon believes to be alive."""
    status = (await ask(address, "GET", "/status")).document
    members = [m for m in status["members"] if m["status"] in ("alive", "suspect")]
    return [m["admin"] or address for m in members]
