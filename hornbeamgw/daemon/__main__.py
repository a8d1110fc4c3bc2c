"""Entry point without command-line library: python -m hornbeamgw.daemon SETTINGS."""

from __future__ import annotations

import sys

from hornbeamgw.daemon.openssl import import_without_openssl

import_without_openssl()  # before the imports below, which import these modules

from hornbeamgw.core.options import parse_settings  # noqa: E402
from hornbeamgw.daemon.main import run  # noqa: E402

EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Run a daemon with a settings file and return its exit code."""
    if len(arguments) != 1:
        print("usage: python -m hornbeamgw.daemon SETTINGS", file=sys.stderr)
        return EXIT_USAGE
    path = arguments[0]
    with open(path, encoding="utf-8") as file:
        loaded, problems = parse_settings(file.read(), path)
    if loaded is None:
        for problem in problems:
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    return run(loaded.settings, path=path)


sys.exit(main(sys.argv[1:]))
