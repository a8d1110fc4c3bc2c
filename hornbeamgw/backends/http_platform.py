"""Platform over HTTP: rows and objects with entity tags and conditional requests (RFC 9110)."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import Any

import h11
import msgspec

from hornbeamgw.backends.base import Platform, PlatformError, register
from hornbeamgw.core.table import Row, Write
from hornbeamgw.daemon.http1 import ConnectionLost, Headers, HttpClient, Response, header

STATUS_OK = 200
STATUS_CREATED = 201
STATUS_NOT_FOUND = 404
STATUS_PRECONDITION_FAILED = 412


async def send_request(
    client: HttpClient,
    method: str,
    target: str,
    body: bytes = b"",
    headers: Headers | None = None,
    timeout: float | None = None,
) -> Response:
    """Send a request and return its response.

    `timeout` is in seconds; None means the default of the client. Raises PlatformError if there is
    no response, or if its status is 429 or 5xx.
    """
    try:
        response = await client.request(method, target, headers, body, timeout)
    except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError) as error:
        detail = str(error) or type(error).__name__
        raise PlatformError(f"{method} {target}: {detail}") from error
    if response.status >= 500 or response.status == 429:
        raise PlatformError(f"{method} {target}: status {response.status}")
    return response


def _encode_write(write: Write) -> dict[str, Any]:
    value = None if write.value is None else base64.b64encode(write.value).decode()
    encoded: dict[str, Any] = {"key": write.key, "value": value}
    if write.condition is not None:
        encoded["if_match" if write.condition.etag else "if_none_match"] = (
            write.condition.etag or "*"
        )
    return encoded


class HttpTableService:
    """Table service of a platform, accessed over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        """Use `client` for all requests."""
        self._client = client

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist.

        Raises PlatformError if the read fails.
        """
        response = await send_request(self._client, "GET", f"/table/{key}")
        if response.status == STATUS_NOT_FOUND:
            return None
        etag = header(response.headers, b"etag")
        if response.status != STATUS_OK or etag is None:
            raise PlatformError(f"GET /table/{key}: status {response.status}, ETag {etag!r}")
        return Row(response.body, etag.decode())

    async def transact(self, writes: Sequence[Write]) -> bool:
        """Apply all writes, or none if a condition is not met; return whether they were applied.

        Raises PlatformError if the request fails; the writes may still have taken effect.
        """
        body = msgspec.json.encode([_encode_write(write) for write in writes])
        response = await send_request(self._client, "POST", "/table", body)
        if response.status == STATUS_PRECONDITION_FAILED:
            return False
        if response.status != STATUS_OK:
            raise PlatformError(f"POST /table: status {response.status}")
        return True


class HttpObjectStore:
    """Object store of a platform, accessed over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        """Use `client` for all requests."""
        self._client = client

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist.

        Raises PlatformError if the read fails.
        """
        response = await send_request(self._client, "GET", f"/objects/{name}")
        if response.status == STATUS_NOT_FOUND:
            return None
        if response.status != STATUS_OK:
            raise PlatformError(f"GET /objects/{name}: status {response.status}")
        return response.body

    async def put(self, name: str, value: bytes) -> None:
        """Store an object unless it exists already; names are unique to their content.

        Raises PlatformError if the write fails.
        """
        headers = [(b"if-none-match", b"*")]
        response = await send_request(self._client, "PUT", f"/objects/{name}", value, headers)
        if response.status not in (STATUS_OK, STATUS_CREATED, STATUS_PRECONDITION_FAILED):
            raise PlatformError(f"PUT /objects/{name}: status {response.status}")


@register("http")
def http_platform(address: str, timeout: float) -> Platform:
    """Return the platform at an address (IP:port).

    `timeout` is the time limit of each request in seconds.
    """
    client = HttpClient(address, timeout)
    return Platform(HttpTableService(client), HttpObjectStore(client))
