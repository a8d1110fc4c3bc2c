"""Fingerprints: hashes that are equal for requests with equal content but different ids."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

# Stands for the fingerprint of a request for which none has been computed or received.
UNKNOWN = 0
# 64 bits make it very unlikely that a request has the fingerprint of another, quarantined one. With
# 64 quarantined requests and 260,000 calls/s it happens once in 35,000 years.
FINGERPRINT_BYTES = 8
LENGTH_PREFIX_BYTES = 8


def fingerprint_of(parts: Iterable[bytes]) -> int:
    """Return a hash of the parts of a request, each prefixed with its length; never `UNKNOWN`."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big") or 1


def as_text(fingerprint: int) -> str:
    """Return a fingerprint in hexadecimal, as used in logs."""
    return f"{fingerprint:016x}"
