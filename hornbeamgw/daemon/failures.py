"""Failures: HTTP responses for calls that were not answered by a backend server."""

from __future__ import annotations

import h11
import msgspec

from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.verdict import Failure, Reason, Verdict
from hornbeamgw.daemon import heads
from hornbeamgw.daemon.http1 import Headers, HttpConnection
from hornbeamgw.daemon.http_server import send_response

# Statuses that differ from the default for calls that did not run. Each of them, as the default,
# guarantees that the call was not executed.
_STATUS_BY_REASON = {
    Reason.NO_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.QUOTA: 429,
}
_NOT_RUN_STATUS = 503
_DEADLINE_STATUS = 504
_MAY_HAVE_RUN_STATUS = 502


def status_of(failure: Failure) -> int:
    """Return the HTTP status of a failure, which states whether the call may have run."""
    if failure.verdict is Verdict.NOT_RUN:
        return _STATUS_BY_REASON.get(failure.reason, _NOT_RUN_STATUS)
    if failure.reason is Reason.DEADLINE:
        return _DEADLINE_STATUS
    return _MAY_HAVE_RUN_STATUS


def _retry_after(failure: Failure, dialect: Dialect) -> bytes:
    if dialect.fractional_retry_after:
        return f"{failure.retry_after_ms / 1000:.3f}".encode()
    return str(-(-failure.retry_after_ms // 1000)).encode()


def _has_unread_body(connection: HttpConnection) -> bool:
    """Return whether a part of the request's body is unread, so that the connection must close.

    The end of a request without a body is read here, which keeps the connection open.
    """
    if connection.http.their_state is not h11.SEND_BODY:
        return False
    try:
        return not isinstance(connection.poll(), h11.EndOfMessage)
    except h11.RemoteProtocolError:
        return True


def send_failure(
    connection: HttpConnection, failure: Failure, call_id: str, dialect: Dialect, close: bool
) -> None:
    """Send a failure with its verdict, reason and retry delay.

    Raise ConnectionLost if the caller is gone.
    """
    headers: Headers = [
        (b"content-type", b"application/json"),
        (heads.VERDICT, failure.verdict.encode()),
        (heads.REASON, failure.reason.encode()),
        (heads.CALL_ID, call_id.encode()),
    ]
    if failure.retry_after_ms:
        headers.append((b"retry-after", _retry_after(failure, dialect)))
        headers.append((heads.RETRY_AFTER_MS, str(failure.retry_after_ms).encode()))
    if failure.reason is Reason.UNAUTHENTICATED:
        # A response with status 401 must name a scheme (RFC 9110, section 15.5.2).
        headers.append((b"www-authenticate", b'ApiKey header="' + dialect.key + b'"'))
    document = {
        "verdict": failure.verdict,
        "reason": failure.reason,
        "detail": failure.detail,
        "call_id": call_id,
    }
    unread = _has_unread_body(connection)
    body = msgspec.json.encode(document)
    send_response(connection, status_of(failure), headers, body, close=unread or close)
