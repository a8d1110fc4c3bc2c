"""Run a daemon without the command line's library: python -m hornbeamgw.daemon SETTINGS."""

from __future__ import annotations

import gc
import sys
from pathlib import Path

# Loading 300 modules leaves nothing to collect, and looking for it takes a twentieth of a start;
# the event loop collects again.
gc.disable()

from hornbeamgw.core.options import parse_settings  # noqa: E402
from hornbeamgw.daemon.main import run  # noqa: E402

EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Run a daemon by a settings file and return its exit code."""
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
