"""Logs: writes JSON lines to standard output, rate-limited and without blocking."""

from __future__ import annotations

import logging
import os
import stat
import sys
import time
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    # Imported only for the first record that needs it, to save memory.
    from pythonjsonlogger.msgspec import MsgspecFormatter

LINE_FORMAT = "%(levelname)s %(name)s %(message)s"
FORMATTER_OPTIONS: dict[str, Any] = {
    "timestamp": "at",
    "rename_fields": {"levelname": "level", "name": "module"},
}
# Limit of lines below the level WARNING; there is one line for each call and each attempt. The
# heaviest known load is 130 calls and 130 attempts a second; lines of 400 bytes make 200 KB/s at
# most.
MAX_LINES_PER_S = 500.0
BURST_LINES = 1000.0
# Warnings and errors have a separate limit, so that other lines do not displace them.
MAX_WARNINGS_PER_S = 50.0
BURST_WARNINGS = 200.0
DROPPED_REPORT_INTERVAL_S = 5.0
# Writes to a pipe are atomic up to this size (PIPE_BUF on Linux).
MAX_LINE_BYTES = 4096

DROPPED_MESSAGE = "log lines dropped"


class _TokenBucket:
    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_at = time.monotonic()

    def take(self, now: float) -> bool:
        self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RateLimitedHandler(logging.Handler):
    """Log handler that drops and counts lines above the rate limit or that can't be written."""

    def __init__(self, fd: int) -> None:
        """Store the file descriptor to write to, and make it non-blocking if it is a pipe."""
        super().__init__()
        self.dropped = 0
        self._fd = fd
        self._line_bucket = _TokenBucket(MAX_LINES_PER_S, BURST_LINES)
        self._warning_bucket = _TokenBucket(MAX_WARNINGS_PER_S, BURST_WARNINGS)
        self._reported_at = time.monotonic()
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it if its rate limit is exceeded."""
        now = time.monotonic()
        bucket = self._warning_bucket if record.levelno >= logging.WARNING else self._line_bucket
        if not bucket.take(now):
            self.dropped += 1
            return
        self._write(self.format(record))
        if self.dropped and now - self._reported_at >= DROPPED_REPORT_INTERVAL_S:
            self._report_dropped(now)

    def _report_dropped(self, now: float) -> None:
        self._reported_at = now
        record = logging.LogRecord(__name__, logging.WARNING, "", 0, DROPPED_MESSAGE, None, None)
        record.count = self.dropped
        self.dropped = 0
        self._write(self.format(record))

    def _write(self, line: str) -> None:
        encoded = line.encode()[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._fd, encoded)
        except OSError:
            # The pipe is full or closed; logging must not block the daemon.
            self.dropped += 1


# Attributes that each record has, and those that formatters add; other attributes are `extra`.
_STANDARD_ATTRIBUTES = frozenset({*vars(logging.makeLogRecord({})), "message", "asctime"})


class PlainFormatter(logging.Formatter):
    """Formatter of records as JSON objects.

    Records with arguments or a traceback are formatted by a library, as are values that msgspec
    cannot encode; it is imported when the first of them occurs.
    """

    def __init__(self, **common: str) -> None:
        """Set the fields that are added to each line."""
        super().__init__()
        self._common = common
        self._encoder = msgspec.json.Encoder(enc_hook=self._encodable)
        self._library_formatter: MsgspecFormatter | None = None

    def _library(self) -> MsgspecFormatter:
        if self._library_formatter is None:
            from pythonjsonlogger.msgspec import MsgspecFormatter

            self._library_formatter = MsgspecFormatter(
                LINE_FORMAT, static_fields=self._common, **FORMATTER_OPTIONS
            )
        return self._library_formatter

    def _encodable(self, value: object) -> object:
        encode = self._library().json_default
        assert encode is not None
        return encode(value)

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as a JSON object."""
        has_traceback = record.exc_info or record.exc_text or record.stack_info
        if has_traceback or record.args or not isinstance(record.msg, str):
            return self._library().format(record)
        fields: dict[str, Any] = {"level": record.levelname, "module": record.name}
        fields["message"] = record.msg
        fields |= self._common
        for key, value in record.__dict__.items():
            if key not in _STANDARD_ATTRIBUTES and not key.startswith("_"):
                fields[key] = value
        fields["at"] = datetime.fromtimestamp(record.created, UTC)
        return self._encoder.encode(fields).decode()


def _disable_unused_fields() -> None:
    """Disable the collection of thread, process and source location, which are not logged."""
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None


def set_up(level: str, **common: str) -> None:
    """Configure the root logger to write JSON lines; `common` fields are added to each line."""
    _disable_unused_fields()
    handler = RateLimitedHandler(sys.__stdout__.fileno() if sys.__stdout__ else 1)
    handler.setFormatter(PlainFormatter(**common))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
