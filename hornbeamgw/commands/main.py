"""Entry point of the command line."""

from __future__ import annotations

from dataclasses import dataclass

import cappa

from hornbeamgw.commands.catalogue import CatalogueCommand
from hornbeamgw.commands.daemon import DaemonCommand, SettingsCommand
from hornbeamgw.commands.fleet import (
    Explain,
    HistogramsCommand,
    RolloutsCommand,
    Status,
    Timeline,
)
from hornbeamgw.commands.organisations import OrganisationsCommand


@cappa.command(
    name="hornbeamgw", help="Distribute a service mesh's configuration, and route by it."
)
@dataclass
class Hornbeamgw:
    """Group of all commands."""

    command: cappa.Subcommands[
        DaemonCommand
        | CatalogueCommand
        | SettingsCommand
        | Status
        | Explain
        | HistogramsCommand
        | OrganisationsCommand
        | RolloutsCommand
        | Timeline
    ]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Hornbeamgw)
