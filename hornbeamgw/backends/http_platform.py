"""Platform over plain HTTP: rows and objects with entity tags and conditions (RFC 9110)."""

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


async def ask(
    client: HttpClient,
    method: str,
    target: str,
    body: bytes = b"",
    headers: Headers | None = None,
    timeout: float | None = None,
) -> Response:
    """Return an answer; raise PlatformError for none, for a failure and for a refusal."""
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


class HttpTable:
    """Reach the table service."""

    def __init__(self, client: HttpClient) -> None:
        """Take the client to ask with."""
        self._client = client

    async def read(self, key: str) -> Row | None:
        """Return a row, or None where there is none; raise PlatformError."""
        response = await ask(self._client, "GET", f"/table/{key}")
        if response.status == STATUS_NOT_FOUND:
            return None
        etag = header(response.headers, b"etag")
        if response.status != STATUS_OK or etag is None:
            raise PlatformError(f"GET /table/{key}: status {response.status}, ETag {etag!r}")
        return Row(response.body, etag.decode())

    async def transact(self, writes: Sequence[Write]) -> bool:
        """Return whether all conditions held and all was written; raise PlatformError."""
        body = msgspec.json.encode([_encode_write(write) for write in writes])
        response = await ask(self._client, "POST", "/table", body)
        if response.status == STATUS_PRECONDITION_FAILED:
            return False
        if response.status != STATUS_OK:
            raise PlatformError(f"POST /table: status {response.status}")
        return True


class HttpObjects:
    """Reach the object store."""

    def __init__(self, client: HttpClient) -> None:
        """Take the client to ask with."""
        self._client = client

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None where there is none; raise PlatformError."""
        response = await ask(self._client, "GET", f"/objects/{name}")
        if response.status == STATUS_NOT_FOUND:
            return None
        if response.status != STATUS_OK:
            raise PlatformError(f"GET /objects/{name}: status {response.status}")
        return response.body

    async def put(self, name: str, value: bytes) -> None:
        """Store an object; one that is there already has the same content by its name."""
        absent = [(b"if-none-match", b"*")]
        response = await ask(self._client, "PUT", f"/objects/{name}", value, absent)
        if response.status not in (STATUS_OK, STATUS_CREATED, STATUS_PRECONDITION_FAILED):
            raise PlatformError(f"PUT /objects/{name}: status {response.status}")


@register("http")
def http_platform(address: str, timeout: float) -> Platform:
    """Return the platform at an address (IP number and port); each exchange within timeout (s)."""
    client = HttpClient(address, timeout)
    return Platform(HttpTable(client), HttpObjects(client))
