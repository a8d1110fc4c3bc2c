"""Silent connections: find those that open connections have become, and report them."""

from hornbeamgw.daemon.silence.reports import Kind, connection_counts, report_silent

__all__ = ["Kind", "connection_counts", "report_silent"]
