"""Commands that run a daemon and show its settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from hornbeamgw.commands.output import OutputFormat, fail_with_problems, print_rows, read_file
from hornbeamgw.core.options import LoadedSettings, parse_settings

SettingsArg = Annotated[str, cappa.Arg(long="--settings", help="YAML file with settings")]
OutputArg = Annotated[OutputFormat, cappa.Arg(long="--output", help="table or json")]


def _load(path: str) -> LoadedSettings:
    loaded, problems = parse_settings(read_file(path), path)
    if loaded is None:
        fail_with_problems(problems)
    return loaded


@cappa.command(name="daemon", help="Run the daemon beside a backend server.")
@dataclass
class DaemonCommand:
    """Run a daemon until a signal stops it."""

    settings: SettingsArg
    print_addresses: Annotated[
        bool, cappa.Arg(long=True, help="print the addresses in use as JSON once listening")
    ] = False

    def __call__(self) -> None:
        """Run the daemon; exit with 0 after a complete drain, 3 if requests were aborted."""
        from hornbeamgw.daemon.main import run

        raise cappa.Exit(
            code=run(_load(self.settings).settings, self.print_addresses, self.settings)
        )


@cappa.command(
    name="check", help="Check a settings file; print all problems, with exit code 2 if any."
)
@dataclass
class SettingsCheck:
    """Check a settings file."""

    settings: Annotated[str, cappa.Arg(help="YAML file with settings")]

    def __call__(self) -> None:
        """Print the result of the check, or exit with the problems found."""
        _load(self.settings)
        print(f"{self.settings}: ok")


@cappa.command(name="show", help="Show effective settings and the source of each.")
@dataclass
class SettingsShow:
    """Show effective settings."""

    settings: Annotated[str, cappa.Arg(help="YAML file with settings")]
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Print the settings."""
        loaded = _load(self.settings)
        rows = [
            {"key": key, "value": value, "source": loaded.sources_by_key[key]}
            for key, value in loaded.settings._asdict().items()
        ]
        print_rows(rows, ("key", "value", "source"), self.output)


@cappa.command(name="settings", help="Check or show settings.")
@dataclass
class SettingsCommand:
    """Group of commands for settings."""

    command: cappa.Subcommands[SettingsCheck | SettingsShow]
