"""Output: tables for people, JSON for programs, errors on standard error."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, Literal, NoReturn

import cappa
import msgspec

from hornbeamgw.commands.exits import ExitCode
from hornbeamgw.core.problems import Problem

Format = Literal["table", "json"]


def fail(message: str, code: ExitCode) -> NoReturn:
    """End the command with a message and an exit code."""
    print(message, file=sys.stderr)
    raise cappa.Exit(code=int(code))


def fail_with_problems(problems: Iterable[Problem]) -> NoReturn:
    """End the command with one line for each problem."""
    fail("\n".join(str(problem) for problem in problems), ExitCode.BAD_INPUT)


def read_file(path: str) -> str:
    """Return the text of a file, or end the command with the reason."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        fail(f"{path}: can't be read: {error}", ExitCode.BAD_INPUT)


def print_json(value: object) -> None:
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def _cell(value: object) -> str:
    if value is None:
        return "-"
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()


def print_table(rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> None:
    """Print rows under a header, each column as wide as it needs."""
    cells = [[column.upper().replace("_", " ") for column in columns]]
    cells += [[_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_rows(rows: Sequence[Mapping[str, Any]], columns: Sequence[str], output: Format) -> None:
    """Print rows in the format asked for."""
    if output == "json":
        print_json(rows)
    else:
        print_table(rows, columns)
