"""Logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FIELDS = "%(levelname)s %(name)s %(message)s"


def set_up(level: str, **common: str) -> None:
    """Write JSON lines from now on, each with these fields."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        FIELDS,
        timestamp="at",
        rename_fields={"levelname": "level", "name": "module"},
        static_fields=common,
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
