"""Command that shows organisations: what the catalogue says, and how their requests end."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from hornbeamgw.commands.catalogue import DaemonArg
from hornbeamgw.commands.daemon import OutputArg
from hornbeamgw.commands.exits import ExitCode
from hornbeamgw.commands.fleet import get_from_fleet
from hornbeamgw.commands.output import fail, print_json, print_table

MAX_REFUSALS_SHOWN = 10
COLUMNS = (
    "name",
    "priority",
    "rate_per_second",
    "burst",
    "keys",
    "requests",
    "answered",
    "failed",
    "quota",
)
REFUSAL_COLUMNS = ("at", "name", "daemon", "reason", "detail")
# Name of the row that counts the requests without a valid key.
UNIDENTIFIED = "(no valid key)"


@cappa.command(
    name="organisations", help="Show organisations, their requests and the last refusals."
)
@dataclass
class OrganisationsCommand:
    """Show the organisations of the catalogue, with the requests summed over the fleet."""

    daemon: DaemonArg
    name: Annotated[str, cappa.Arg(long=True, help="show this organisation only")] = ""
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Print the organisations, then the last refusals."""
        query = {"name": self.name} if self.name else None
        documents_by_admin = get_from_fleet(self.daemon, "/organisations", query)
        answered = {admin: found for admin, found in documents_by_admin.items() if found}
        rows = organisation_rows(answered)
        if self.name and not any(row["name"] == self.name for row in rows):
            fail(f"organisation {self.name!r}: not in the catalogue", ExitCode.FAILED)
        document = {
            "versions": sorted({found["version"] for found in answered.values()}),
            "no_answer": sorted(documents_by_admin.keys() - answered.keys()),
            "organisations": rows,
            "last_refusals": last_refusals(answered),
        }
        if self.output == "json":
            print_json(document)
            return
        versions = ", ".join(str(version) for version in document["versions"])
        print(f"versions in force: {versions or '-'}")
        for admin in document["no_answer"]:
            print(f"no answer from {admin}")
        print_table(rows, COLUMNS)
        if document["last_refusals"]:
            print_table(document["last_refusals"], REFUSAL_COLUMNS)


def organisation_rows(documents_by_admin: dict[str, Any]) -> list[dict[str, Any]]:
    """Return a row for each organisation, as the newest version has it, with summed counts."""
    documents = sorted(documents_by_admin.values(), key=lambda document: document["version"])
    if not documents:
        return []
    rows_by_name = {row["name"]: row for row in documents[-1]["organisations"]}
    rows = []
    for name, row in rows_by_name.items():
        others = [
            other
            for document in documents
            for other in document["organisations"]
            if other["name"] == name
        ]
        quotas = [other["quota"] for other in others if other["quota"] is not None]
        rows.append({**row, **_sums(others), "quota": quotas or None})
    unidentified = _sums([document["unidentified"] for document in documents])
    if unidentified["requests"]:
        rows.append({"name": UNIDENTIFIED, **unidentified})
    return rows


def _sums(uses: list[dict[str, Any]]) -> dict[str, Any]:
    failed: Counter[str] = Counter()
    for use in uses:
        failed.update(use["failed"])
    return {
        "requests": sum(use["requests"] for use in uses),
        "answered": sum(use["answered"] for use in uses),
        "failed": dict(failed),
    }


def last_refusals(documents_by_admin: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the last refusals at all daemons, the newest first."""
    found = []
    for document in documents_by_admin.values():
        uses = [(row["name"], row) for row in document["organisations"]]
        for name, use in [*uses, (UNIDENTIFIED, document["unidentified"])]:
            found += [
                {**refusal, "name": name, "daemon": document["address"]}
                for refusal in use["last_refusals"]
            ]
    newest = sorted(found, key=lambda refusal: -refusal["at"])[:MAX_REFUSALS_SHOWN]
    for refusal in newest:
        refusal["at"] = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(refusal["at"]))
    return newest
