"""Rows: what a transactional table service reads and writes."""

from __future__ import annotations

from typing import NamedTuple


class Row(NamedTuple):
    """Hold the value of a row and the tag that a condition names."""

    value: bytes
    etag: str


class Condition(NamedTuple):
    """Ask that a row has this tag, or with None that there is no such row."""

    etag: str | None


class Write(NamedTuple):
    """Hold one write of a transaction; a value of None deletes the row."""

    key: str
    value: bytes | None
    condition: Condition | None
