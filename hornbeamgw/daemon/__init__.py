"""Daemon process: network I/O and background tasks around the decision logic of the core."""
