"""Orders: the rows in which operators ask for rollouts, and those that tell how they stand."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple

from hornbeamgw.core.standing import Phase


class WrittenOrder(NamedTuple):
    """Hold an order as it is written; the duration is in seconds."""

    service: str
    target: str
    duration: float


class Progress(enum.StrEnum):
    """Say how far an order has come, as operators read it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


class Status(NamedTuple):
    """Hold what operators read of an order."""

    progress: Progress
    target: str


PROGRESS_BY_PHASE = {Phase.DONE: Progress.COMPLETED, Phase.BACK: Progress.ROLLED_BACK}


class OrderRows(NamedTuple):
    """Hold where orders and their status are kept, and how they are worded.

    A service's name follows the prefix in the key of either row. Decoders raise ValueError.
    """

    table: str
    prefix: str
    decode: Callable[[bytes], WrittenOrder]
    status_table: str
    encode_status: Callable[[Status], bytes]
    decode_status: Callable[[bytes], Status]


order_rows_by_name: dict[str, OrderRows] = {}
