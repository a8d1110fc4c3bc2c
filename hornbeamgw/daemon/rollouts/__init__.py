"""Rollouts of new server versions, as daemons carry them out."""

from hornbeamgw.daemon.rollouts.leader import Leader
from hornbeamgw.daemon.rollouts.orders import (
    OrderRows,
    OrderStatus,
    WrittenOrder,
    order_rows_by_name,
)
from hornbeamgw.daemon.rollouts.rollouts import Rollouts
from hornbeamgw.daemon.rollouts.tallies import send_tallies

__all__ = [
    "Leader",
    "OrderRows",
    "OrderStatus",
    "Rollouts",
    "WrittenOrder",
    "order_rows_by_name",
    "send_tallies",
]
