"""Identity: determines the organisation of a request from the key that the caller sent."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.snapshot import ANONYMOUS, Caller, Route, Snapshot
from hornbeamgw.core.verdict import Failure, Reason, not_run

Headers = Iterable[tuple[bytes, bytes]]

# Digits of a digest that identify a key in logs, errors and the output of commands.
SHOWN_DIGITS = 8


def identify(
    snapshot: Snapshot, route: Route, headers: Headers, dialect: Dialect
) -> Caller | Failure:
    """Return the caller of a request, or why the request is refused."""
    if not snapshot.organisations_by_name:
        return ANONYMOUS
    keys = [value for name, value in headers if name == dialect.key]
    if route.public:
        # The digest still distinguishes callers in the fingerprints of requests.
        return Caller(None, hashlib.sha256(b"\0".join(keys)).digest()) if keys else ANONYMOUS
    if len(keys) != 1 or not keys[0]:
        count = "no" if not any(keys) else "more than one"
        return _unauthenticated(f"{count} key in the header {dialect.key.decode()}")
    return _look_up(snapshot, hashlib.sha256(keys[0]).digest())


def identify_again(
    snapshot: Snapshot, route: Route, known: Caller, headers: Headers, dialect: Dialect
) -> Caller | Failure:
    """Return the caller of a request that was identified by an earlier snapshot.

    `headers` are the headers to forward, which have the key only if the earlier snapshot had no
    organisations.
    """
    if not snapshot.organisations_by_name:
        return known._replace(organisation=None)
    if known.organisation is not None:
        return _look_up(snapshot, known.key_digest)
    if route.public:
        return known
    return (
        _look_up(snapshot, known.key_digest)
        if known.key_digest
        else identify(snapshot, route, headers, dialect)
    )


def identify_at_server(
    snapshot: Snapshot, name: str, key_digest: bytes, identified_by: int
) -> str | Failure:
    """Return the present organisation of a key that another daemon has identified.

    `identified_by` is the version that the other daemon used. An older snapshot may lack the key,
    so it does not refuse the request.
    """
    if snapshot.version < identified_by or not snapshot.organisations_by_name:
        return name
    organisation = snapshot.organisations_by_digest.get(key_digest)
    return _unknown_key(key_digest) if organisation is None else organisation.name


def _look_up(snapshot: Snapshot, key_digest: bytes) -> Caller | Failure:
    organisation = snapshot.organisations_by_digest.get(key_digest)
    return _unknown_key(key_digest) if organisation is None else Caller(organisation, key_digest)


def _unknown_key(key_digest: bytes) -> Failure:
    return _unauthenticated(f"unknown key with digest {key_digest.hex()[:SHOWN_DIGITS]}")


def _unauthenticated(detail: str) -> Failure:
    return not_run(Reason.UNAUTHENTICATED, detail)
