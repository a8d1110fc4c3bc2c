"""Quotas of organisations: messages between daemons, and the requests that wait for tokens."""

from hornbeamgw.daemon.quotas.quotas import ALONE_S, CHECK_INTERVAL_S, MIN_WINDOW_S, Quotas, Verdict

__all__ = ["ALONE_S", "CHECK_INTERVAL_S", "MIN_WINDOW_S", "Quotas", "Verdict"]
