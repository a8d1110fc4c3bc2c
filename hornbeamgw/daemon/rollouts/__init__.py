"""Rollouts: what daemons do while a service moves to a new version of its servers."""

from hornbeamgw.daemon.rollouts.leader import Leader
from hornbeamgw.daemon.rollouts.orders import OrderRows, Status, WrittenOrder, order_rows_by_name
from hornbeamgw.daemon.rollouts.rollouts import Rollouts
from hornbeamgw.daemon.rollouts.tallies import send_tallies

__all__ = [
    "Leader",
    "OrderRows",
    "Rollouts",
    "Status",
    "WrittenOrder",
    "order_rows_by_name",
    "send_tallies",
]
