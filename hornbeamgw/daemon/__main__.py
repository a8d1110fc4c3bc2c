"""Entry point without command-line library: python -m hornbeamgw.daemon SETTINGS."""

from __future__ import annotations

import sys
from pathlib import Path

from hornbeamgw.core.options import parse_settings
from hornbeamgw.daemon.main import run

EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Run a daemon with a settings file and return its exit code."""
    if len(arguments) != 1:
        print("usage: python -m hornbeamgw.daemon SETTINGS", file=sys.stderr)
        return EXIT_USAGE
    path = Path(arguments[0])
    loaded, problems = parse_settings(path.read_text(encoding="utf-8"), str(path))
    if loaded is None:
        for problem in problems:
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    return run(loaded.settings, path=str(path))


sys.exit(main(sys.argv[1:]))
