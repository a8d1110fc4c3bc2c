"""Rows in the platform's store with operators' rollout orders and their status."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple

from hornbeamgw.core.standing import Phase


class WrittenOrder(NamedTuple):
    """Rollout order as an operator wrote it; the duration is in seconds."""

    service: str
    target: str
    duration: float


class Progress(enum.StrEnum):
    """Progress of an order, as reported to operators."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


class OrderStatus(NamedTuple):
    """Status of an order, as reported to operators."""

    progress: Progress
    target: str


PROGRESS_BY_PHASE = {Phase.DONE: Progress.COMPLETED, Phase.BACK: Progress.ROLLED_BACK}


class OrderRows(NamedTuple):
    """Tables, keys and encoding of orders and their status.

    An order and its status have the same key: the prefix followed by the service's name. The
    decoders raise ValueError if a row is invalid.
    """

    table: str
    prefix: str
    decode: Callable[[bytes], WrittenOrder]
    status_table: str
    encode_status: Callable[[OrderStatus], bytes]
    decode_status: Callable[[bytes], OrderStatus]


order_rows_by_name: dict[str, OrderRows] = {}
