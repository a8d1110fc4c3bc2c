"""Client of the admin API of daemons, for the commands."""

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

REQUEST_TIMEOUT_S = 30.0
MAX_CONCURRENT_REQUESTS = 64


class JsonResponse(NamedTuple):
    """Status and decoded JSON body of a response."""

    status: int
    document: Any


async def send_request(
    address: str, method: str, path: str, query: dict[str, str] | None = None, body: object = None
) -> JsonResponse:
    """Send a request to one daemon and return its response.

    Raises OSError, TimeoutError, ConnectionLost or h11.ProtocolError if there is no response, and
    ValueError if its body is not JSON.
    """
    client = HttpClient(address, REQUEST_TIMEOUT_S)
    target = f"{path}?{urlencode(query)}" if query else path
    payload = b"" if body is None else msgspec.json.encode(body)
    try:
        response = await client.request(method, target, body=payload)
    finally:
        client.close()
    return JsonResponse(response.status, msgspec.json.decode(response.body))


def request_or_fail(
    address: str, method: str, path: str, query: dict[str, str] | None = None
) -> Any:
    """Return the document in a daemon's response, or exit with an error message."""
    try:
        response = asyncio.run(send_request(address, method, path, query))
    except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError) as error:
        fail(f"daemon {address}: no answer: {error or type(error).__name__}", ExitCode.FAILED)
    if response.status != 200:
        fail(f"daemon {address}: {response.document}", ExitCode.FAILED)
    return response.document


async def get_from_each(
    addresses: Sequence[str], path: str, query: dict[str, str] | None = None
) -> dict[str, Any]:
    """Send a GET request to each daemon, concurrently.

    Returns the documents by address, with None for each daemon that did not respond.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def get_one(address: str) -> Any:
        async with semaphore:
            try:
                return (await send_request(address, "GET", path, query)).document
            except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError):
                return None

    documents = await asyncio.gather(*(get_one(address) for address in addresses))
    return dict(zip(addresses, documents, strict=True))


async def live_admin_addresses(address: str) -> list[str]:
    """Return the admin addresses of all daemons that one daemon sees as alive or suspect.

    `address` is the admin address of that one daemon. It is also returned in place of each admin
    address that has not been published yet, because its daemon is still starting.
    """
    status = (await send_request(address, "GET", "/status")).document
    members = [member for member in status["members"] if member["status"] in ("alive", "suspect")]
    return [member["admin"] or address for member in members]
