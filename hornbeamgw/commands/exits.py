"""Exit codes of the command line."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Name what a command's end means; docs/operators/commands.md lists them."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    LAGGARDS = 4
    UNSURE = 5
