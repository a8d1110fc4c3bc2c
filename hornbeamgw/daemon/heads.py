"""Heads: encodes heads of HTTP requests and responses in MessagePack for use in frames."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from hornbeamgw.daemon.http1 import Headers

CALL_ID = b"hornbeamgw-call-id"
DEADLINE_MS = b"hornbeamgw-deadline-ms"
RETRY_BUDGET = b"hornbeamgw-retry-budget"
RETRY_AFTER_MS = b"hornbeamgw-retry-after-ms"
VERDICT = b"hornbeamgw-verdict"
REASON = b"hornbeamgw-reason"
OWN_HEADERS = frozenset({CALL_ID, DEADLINE_MS, RETRY_BUDGET})


class RequestHead(NamedTuple):
    """Head of a request."""

    method: bytes
    target: bytes
    headers: Headers


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(RequestHead)
_headers_decoder = msgspec.msgpack.Decoder(Headers)


def encode_request(head: RequestHead) -> bytes:
    """Encode the head of a request."""
    return _encoder.encode(head)


def decode_request(blob: bytes) -> RequestHead:
    """Decode the head of a request; raise msgspec.MsgspecError if it is invalid."""
    return _request_decoder.decode(blob)


def encode_headers(headers: Headers) -> bytes:
    """Encode the headers of a response."""
    return _encoder.encode(headers)


def decode_headers(blob: bytes) -> Headers:
    """Decode the headers of a response; raise msgspec.MsgspecError if they are invalid."""
    return _headers_decoder.decode(blob)
