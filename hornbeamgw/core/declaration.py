"""Declarations: what a backend server says of itself in an answer, which binds all daemons.

A server that needs relief declares how many requests per second it takes from all daemons together,
for as long as its answers say so. A server that leaves declares it, too. The daemon next to the
server reads every answer, and is the only one through which requests reach the server.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from typing import NamedTuple

from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.fingerprint import UNKNOWN, fingerprint_of

# Longer than the shortest decimal text of any float.
MAX_NUMBER_CHARACTERS = 64
MAX_QUOTED_CHARACTERS = 32
LEAVING = b"1"
NOT_LEAVING = b"0"

_NUMBER = re.compile(rb"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,2})?")


class Declaration(NamedTuple):
    """What an answer of a backend server says of the server.

    Attributes
    ----------
    rate_limit : float or None
        Requests per second that the server takes from all daemons together; None if it names none.
    is_leaving : bool
        Whether the server is about to end.
    problem : str
        Why a part of the declaration is unreadable; empty if it is not.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    problem: str = ""


class Heard(NamedTuple):
    """A declaration as another daemon heard it, with the fingerprint of the server's run."""

    run: int
    rate_limit: float | None
    is_leaving: bool


NOTHING = Declaration()


def run_fingerprint(instance: str, started_ms: int) -> int:
    """Return a number that identifies one run of a named instance, or `UNKNOWN` without a name."""
    if not instance:
        return UNKNOWN
    return fingerprint_of([instance.encode(), str(started_ms).encode()])


def _rate_limit(texts: Collection[bytes]) -> tuple[float | None, str]:
    """Return the lowest limit among the texts, or None and the first text that is not a number."""
    limits = []
    problem = ""
    for text in texts:
        if len(text) <= MAX_NUMBER_CHARACTERS and _NUMBER.fullmatch(text):
            limits.append(float(text))
        else:
            quoted = text[:MAX_QUOTED_CHARACTERS].decode("latin-1")
            problem = problem or f"rate limit {quoted!r}, expected a decimal number"
    return min(limits, default=None), problem


def _values(headers: Collection[tuple[bytes, bytes]], name: bytes) -> list[bytes]:
    """Return the values of a header, which may be repeated or hold a list."""
    if not name:
        return []
    found = [value for key, value in headers if key == name]
    return [part.strip() for value in found for part in value.split(b",")] if found else []


def read(dialect: Dialect, headers: Collection[tuple[bytes, bytes]]) -> Declaration:
    """Return what the headers of an answer, with names in lower case, declare."""
    limits = _values(headers, dialect.rate_limit)
    leaving = _values(headers, dialect.leaving)
    if not limits and not leaving:
        return NOTHING
    rate_limit, problem = _rate_limit(limits)
    unknown = [text for text in leaving if text not in (LEAVING, NOT_LEAVING)]
    if unknown:
        quoted = unknown[0][:MAX_QUOTED_CHARACTERS].decode("latin-1")
        problem = problem or f"leaving {quoted!r}, expected '1' or '0'"
    return Declaration(rate_limit, LEAVING in leaving, problem)
