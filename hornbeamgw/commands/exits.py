"""Exit codes of the command line."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of all commands, as documented in docs/operators/commands.md."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    LAGGARDS = 4
    UNSURE = 5
