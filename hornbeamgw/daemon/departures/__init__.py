"""Departures of backend servers, which bind this daemon's later processes, too."""

from hornbeamgw.daemon.departures.keeper import Keeper, ask_keeper, keepers_of
from hornbeamgw.daemon.departures.ledger import Ledger

__all__ = ["Keeper", "Ledger", "ask_keeper", "keepers_of"]
