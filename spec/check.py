"""Verify the specification exhaustively within stated bounds, and see broken variants caught."""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

SPEC = Path(__file__).parent / "catalogue.pml"
LIMIT_S = 600
DEPTH = 1_000_000
BOUNDS = (
    {"DAEMONS": 2, "EDITS": 2, "RESTARTS": 2},
    {"DAEMONS": 3, "EDITS": 2, "RESTARTS": 1},
)
BROKEN = {
    "NO_CONDITION": "a version is one edit, for good",
    "NO_EDIT_ID": "one edit is at most one version",
    "NO_FLOOR": "a restarted daemon never moves back",
    "NO_ORDER": "an older version is never put in force",
    "PEERS_ANY": "one peer's word is not enough for a floor",
    "NO_BUILD_CHECK": "a version is in force whole or not at all",
}


class Outcome(NamedTuple):
    """Hold what spin found."""

    errors: int
    states: int
    seconds: float


def verify(defines: dict[str, int]) -> Outcome:
    """Search every state within the defines; raise RuntimeError where the search is not whole."""
    flags = [f"-D{name}={value}" for name, value in defines.items()]
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(["spin", "-a", *flags, str(SPEC)], cwd=folder, check=True)
        compiler = ["gcc", "-O2", "-w", "-DSAFETY", "-DCOLLAPSE", "-o", "pan", "pan.c"]
        subprocess.run(compiler, cwd=folder, check=True)
        search = [f"{folder}/pan", f"-m{DEPTH}", "-E"]
        done = subprocess.run(
            search, cwd=folder, capture_output=True, text=True, timeout=LIMIT_S, check=False
        )
    errors = re.search(r"errors: (\d+)", done.stdout)
    states = re.search(r"([\d.e+]+) states, stored", done.stdout)
    seconds = re.search(r"elapsed time ([\d.]+)", done.stdout)
    if errors is None or states is None or "max search depth too small" in done.stdout:
        raise RuntimeError(f"the search is not whole: {done.stdout[-2000:]}")
    elapsed = float(seconds[1]) if seconds else 0.0
    return Outcome(int(errors[1]), int(float(states[1])), elapsed)


def main() -> None:
    """Check the bounds and the broken variants; exit code 1 where one does not do as it must."""
    if shutil.which("spin") is None or shutil.which("gcc") is None:
        sys.exit("spin and gcc are needed; as root, make spec installs them from Debian's packages")
    wrong = 0
    for bound in BOUNDS:
        found = verify(bound)
        wrong += found.errors > 0
        print(f"{bound}: {found.errors} errors, {found.states} states, {found.seconds} s")
    for flag, promise in BROKEN.items():
        found = verify({**BOUNDS[1], flag: 1})
        wrong += found.errors == 0
        print(f"{flag}: {'caught' if found.errors else 'NOT CAUGHT'} ({promise})")
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
