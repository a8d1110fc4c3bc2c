"""Rows, conditions and writes of a transactional table store."""

from __future__ import annotations

from typing import NamedTuple


class Row(NamedTuple):
    """Value of a row and its entity tag."""

    value: bytes
    etag: str


class Condition(NamedTuple):
    """Precondition that a row has the entity tag `etag`, or doesn't exist if `etag` is None."""

    etag: str | None


class Write(NamedTuple):
    """One write of a transaction; a value of None deletes the row."""

    key: str
    value: bytes | None
    condition: Condition | None
