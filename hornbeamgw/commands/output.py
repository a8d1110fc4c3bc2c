"""Output of commands: tables or JSON on standard output, errors on standard error."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, Literal, NoReturn

import cappa
import msgspec

from hornbeamgw.commands.exits import ExitCode
from hornbeamgw.core.problems import Problem

OutputFormat = Literal["table", "json"]


def fail(message: str, code: ExitCode) -> NoReturn:
    """Print a message on standard error and exit."""
    print(message, file=sys.stderr)
    raise cappa.Exit(code=int(code))


def fail_with_problems(problems: Iterable[Problem]) -> NoReturn:
    """Print one line for each problem on standard error and exit."""
    fail("\n".join(str(problem) for problem in problems), ExitCode.BAD_INPUT)


def read_file(path: str) -> str:
    """Return the text of a file, or exit with an error message."""
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
    """Print rows under a header, with columns aligned."""
    cells = [[column.upper().replace("_", " ") for column in columns]]
    cells += [[_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_rows(
    rows: Sequence[Mapping[str, Any]], columns: Sequence[str], output: OutputFormat
) -> None:
    """Print rows as a table or as JSON."""
    if output == "json":
        print_json(rows)
    else:
        print_table(rows, columns)
