"""Logs: one JSON object a line on standard output, bounded, and never waited for."""

from __future__ import annotations

import logging
import os
import stat
import sys
import time
from datetime import UTC, datetime
from typing import Any

from pythonjsonlogger.msgspec import MsgspecFormatter

FIELDS = "%(levelname)s %(name)s %(message)s"
LAYOUT: dict[str, Any] = {
    "timestamp": "at",
    "rename_fields": {"levelname": "level", "name": "module"},
}
# A daemon of the users' heaviest day takes 130 calls and 130 attempts a second, a line each;
# twice that leaves room for a burst. Lines of 400 bytes make 200 KB a second at most.
LINES_PER_S = 500.0
BURST_LINES = 1000.0
# Warnings and errors have a bound of their own, lest decisions crowd them out.
WARNINGS_PER_S = 50.0
BURST_WARNINGS = 200.0
REPORT_DROPPED_EVERY_S = 5.0
# A pipe takes this much at once or not at all (PIPE_BUF of Linux).
MAX_LINE = 4096

DROPPED = "log lines dropped"


class _Bound:
    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.left = burst
        self.at = time.monotonic()

    def take(self, now: float) -> bool:
        self.left = min(self.burst, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class BoundedHandler(logging.Handler):
    """Write lines up to a rate; drop and count what is over it or what nobody reads in time."""

    def __init__(self, fd: int) -> None:
        """Take the descriptor to write to; one that is a pipe never blocks from now on."""
        super().__init__()
        self.dropped = 0
        self._fd = fd
        self._lines = _Bound(LINES_PER_S, BURST_LINES)
        self._warnings = _Bound(WARNINGS_PER_S, BURST_WARNINGS)
        self._reported_at = time.monotonic()
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        now = time.monotonic()
        bound = self._warnings if record.levelno >= logging.WARNING else self._lines
        if not bound.take(now):
            self.dropped += 1
            return
        self._write(self.format(record))
        if self.dropped and now - self._reported_at >= REPORT_DROPPED_EVERY_S:
            self._report(now)

    def _report(self, now: float) -> None:
        self._reported_at = now
        record = logging.LogRecord(__name__, logging.WARNING, "", 0, DROPPED, None, None)
        record.count = self.dropped
        self.dropped = 0
        self._write(self.format(record))

    def _write(self, line: str) -> None:
        encoded = line.encode()[: MAX_LINE - 1] + b"\n"
        try:
            os.write(self._fd, encoded)
        except OSError:
            # Nobody reads, or nobody is there any more: a daemon does not wait for its log.
            self.dropped += 1


class PlainFormatter(MsgspecFormatter):
    """Format plain records, and leave those with arguments or a traceback to the library."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, without its end."""
        is_traced = record.exc_info or record.exc_text or record.stack_info
        if is_traced or record.args or not isinstance(record.msg, str):
            return super().format(record)
        told: dict[str, Any] = {"level": record.levelname, "module": record.name}
        told["message"] = record.msg
        told |= self.static_fields
        for key, value in record.__dict__.items():
            if key not in self._skip_fields and not key.startswith("_"):
                told[key] = value
        told["at"] = datetime.fromtimestamp(record.created, UTC)
        return self._encoder.encode(told).decode()


def _leave_out_unused() -> None:
    """Spare each record the look-ups for fields that no line shows (a third of what it takes).

    Thread, process and place in the source: the module and the message say where a line is from.
    """
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None


def set_up(level: str, **common: str) -> None:
    """Write JSON lines from now on, each with these fields."""
    _leave_out_unused()
    handler = BoundedHandler(sys.__stdout__.fileno() if sys.__stdout__ else 1)
    handler.setFormatter(PlainFormatter(FIELDS, static_fields=common, **LAYOUT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
