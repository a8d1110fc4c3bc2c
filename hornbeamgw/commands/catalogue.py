"""Commands that check, edit and show the catalogue."""

from __future__ import annotations

import asyncio
import getpass
import sys
import time
import uuid
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import h11
import msgspec

from hornbeamgw.commands.client import (
    JsonResponse,
    get_from_each,
    live_admin_addresses,
    request_or_fail,
    send_request,
)
from hornbeamgw.commands.daemon import OutputArg
from hornbeamgw.commands.exits import ExitCode
from hornbeamgw.commands.output import fail, fail_with_problems, print_json, print_rows, read_file
from hornbeamgw.core.catalogue import (
    ORGANISATION,
    Item,
    ParsedFile,
    parse_file,
    resolve_digests,
    shown_body,
    validate,
)
from hornbeamgw.core.edit import Catalogue, Change, Edit, requested_changes
from hornbeamgw.core.organisations.validation import pad_digests
from hornbeamgw.daemon.http1 import ConnectionLost

MAX_SEND_ATTEMPTS = 5
POLL_INTERVAL_S = 0.1
STATUS_CONFLICT = 409

DaemonArg = Annotated[str, cappa.Arg(long="--daemon", help="admin address of any daemon")]
FileArg = Annotated[str, cappa.Arg(help="YAML file with a catalogue")]
PruneArg = Annotated[
    bool, cappa.Arg(long="--prune", help="delete items that the file does not contain")
]
OntoCurrentArg = Annotated[
    bool,
    cappa.Arg(long="--onto-current", help="base the edit on the current revisions"),
]


def _parse(path: str) -> ParsedFile:
    parsed, problems = parse_file(read_file(path), path)
    if problems:
        fail_with_problems(problems)
    return parsed


def _resolve(parsed: ParsedFile, current: Catalogue, path: str) -> ParsedFile:
    resolved, problems = resolve_digests(parsed, current.items, path)
    if problems:
        fail_with_problems(problems)
    return resolved


def _fetch_catalogue(address: str) -> Catalogue:
    document = request_or_fail(address, "GET", "/catalogue")
    items = {key: Item(revision, body) for key, (revision, body) in document["items"].items()}
    return Catalogue(document["version"], document["digest"], items)


@cappa.command(name="check", help="Check a catalogue file offline; exit code 2 if it is invalid.")
@dataclass
class CatalogueCheck:
    """Check the format, names, references and sizes of a catalogue file."""

    file: FileArg

    def __call__(self) -> None:
        """Print the result of the check, or exit with the problems found."""
        parsed = _parse(self.file)
        items = {
            key: Item(0, pad_digests(body) if key.startswith(f"{ORGANISATION}/") else body)
            for key, body in parsed.bodies_by_key.items()
        }
        problems = validate(items, self.file)
        if problems:
            fail_with_problems(problems)
        print(f"{self.file}: ok, {len(items)} items")


@cappa.command(name="show", help="Show the catalogue as a file that can be edited and applied.")
@dataclass
class CatalogueShow:
    """Show the catalogue with the revision of each item."""

    daemon: DaemonArg
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Print the catalogue as YAML or JSON."""
        document = request_or_fail(self.daemon, "GET", "/catalogue")
        if self.output == "json":
            print_json(document["file"])
        else:
            print(msgspec.yaml.encode(document["file"]).decode(), end="")


@cappa.command(name="diff", help="Show what applying a file would change.")
@dataclass
class CatalogueDiff:
    """Show the changes that applying a file would make."""

    file: FileArg
    daemon: DaemonArg
    prune: PruneArg = False
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Print the changes."""
        current = _fetch_catalogue(self.daemon)
        wanted = _resolve(_parse(self.file), current, self.file)
        changes = requested_changes(current, wanted, self.prune, True)
        rows = [_diff_row(current, change) for change in changes]
        print_rows(rows, ("key", "what", "current", "wanted"), self.output)


def _diff_row(current: Catalogue, change: Change) -> dict[str, Any]:
    item = current.items.get(change["key"])
    what = "delete" if change["body"] is None else "change" if item else "add"
    key = change["key"]
    body = shown_body(key, item.body if item else None)
    return {"key": key, "what": what, "current": body, "wanted": shown_body(key, change["body"])}


@cappa.command(name="history", help="Show the versions in a daemon's history.")
@dataclass
class CatalogueHistory:
    """Show the author, time and changed items of each version."""

    daemon: DaemonArg
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Print the history."""
        rows = request_or_fail(self.daemon, "GET", "/history")
        for row in rows:
            row["at"] = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(row["at_ms"] / 1000))
            row["items"] = [change["key"] for change in row["changes"]]
        print_rows(rows, ("version", "at", "author", "edit_id", "items"), self.output)


@cappa.command(name="apply", help="Apply a file as the next version of the catalogue.")
@dataclass
class CatalogueApply:
    """Apply a file atomically, as one edit."""

    file: FileArg
    daemon: DaemonArg
    prune: PruneArg = False
    onto_current: OntoCurrentArg = False
    author: Annotated[
        str, cappa.Arg(long=True, help="author of the edit; default: the current user")
    ] = ""
    edit_id: Annotated[str, cappa.Arg(long=True, help="id of an earlier edit to send again")] = ""
    wait: Annotated[bool, cappa.Arg(long=True, help="wait until in force on all daemons")] = False
    wait_limit: Annotated[float, cappa.Arg(long=True, help="longest wait in seconds")] = 30.0
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Apply the file; with --wait, fail if it is not in force on all daemons in time."""
        parsed = _parse(self.file)
        current = _fetch_catalogue(self.daemon)
        wanted = _resolve(parsed, current, self.file)
        changes = requested_changes(current, wanted, self.prune, self.onto_current)
        edit_id = self.edit_id or uuid.uuid4().hex
        if not changes and not self.edit_id:
            self._print_result({"version": _fetch_catalogue(self.daemon).version, "changes": 0})
            return
        author = self.author or getpass.getuser()
        edit = Edit(edit_id=edit_id, author=author, changes=changes)
        version = asyncio.run(_send_edit(self.daemon, edit))
        if self.wait:
            _wait_or_fail(self.daemon, version, self.wait_limit)
        self._print_result({"version": version, "changes": len(changes), "edit_id": edit_id})

    def _print_result(self, document: dict[str, Any]) -> None:
        if self.output == "json":
            print_json(document)
        else:
            print("  ".join(f"{key} {value}" for key, value in document.items()))


async def _send_edit(address: str, edit: Edit) -> int:
    """Send an edit, retrying if there is no response; daemons deduplicate edits by id."""
    detail = ""
    for _ in range(MAX_SEND_ATTEMPTS):
        try:
            response = await send_request(address, "POST", "/edits", body=edit)
        except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError) as error:
            detail = str(error) or type(error).__name__
            await asyncio.sleep(POLL_INTERVAL_S)
            continue
        if response.status == 200:
            return int(response.document["version"])
        if response.status == STATUS_CONFLICT:
            _fail_refused(response)
        detail = str(response.document)
        if response.status != 503:
            fail(f"edit refused: {detail}", ExitCode.BAD_INPUT)
    fail(
        f"edit {edit['edit_id']}: not known whether it was accepted ({detail}); "
        f"run the same command with --edit-id {edit['edit_id']}",
        ExitCode.UNSURE,
    )


def _fail_refused(response: JsonResponse) -> None:
    lines = []
    for problem in response.document["problems"]:
        lines.append("{source}: {key}: got {given!r}, expected {expected}".format(**problem))
    for conflict in response.document["conflicts"]:
        for body in ("current", "wanted"):
            conflict[body] = shown_body(conflict["key"], conflict[body])
        lines.append(
            "{key}: based on revision {based_on}, current is {current_revision}\n"
            "  current: {current}\n  wanted:  {wanted}".format(**conflict)
        )
    code = ExitCode.CONFLICT if response.document["conflicts"] else ExitCode.BAD_INPUT
    fail("edit refused\n" + "\n".join(lines), code)


def _wait_or_fail(address: str, version: int, timeout: float) -> None:
    laggards = asyncio.run(_wait_in_force(address, version, timeout))
    if laggards:
        names = ", ".join(laggards)
        fail(f"version {version} accepted, but not in force yet on: {names}", ExitCode.LAGGARDS)


async def _wait_in_force(address: str, version: int, timeout: float) -> list[str]:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    progress = _ProgressBar(version)
    try:
        while True:
            admins = await live_admin_addresses(address)
            documents_by_admin = await get_from_each(admins, "/version")
            laggards = _laggards(documents_by_admin, version)
            progress.show(len(admins) - len(laggards), len(admins))
            if not laggards or loop.time() >= deadline:
                return laggards
            await asyncio.sleep(POLL_INTERVAL_S)
    finally:
        progress.close()


def _laggards(documents_by_admin: dict[str, Any], version: int) -> list[str]:
    laggards = []
    for admin, document in sorted(documents_by_admin.items()):
        if document is None:
            laggards.append(f"{admin} (no answer)")
        elif document["in_force"] < version:
            reason = document["waiting_for"] or ("rejected" if document["rejected"] else "behind")
            laggards.append(f"{document['address']} (at {document['in_force']}, {reason})")
    return laggards


class _ProgressBar:
    """Progress bar on standard error, if that is a terminal."""

    def __init__(self, version: int) -> None:
        self._bar: Any = None
        if sys.stderr.isatty():
            from rich.console import Console
            from rich.progress import Progress

            self._bar = Progress(console=Console(stderr=True))
            self._task = self._bar.add_task(f"version {version}", total=None)
            self._bar.start()

    def show(self, done: int, total: int) -> None:
        """Update the number of daemons that have the version in force."""
        if self._bar is not None:
            self._bar.update(self._task, completed=done, total=total)

    def close(self) -> None:
        """Stop updating the bar."""
        if self._bar is not None:
            self._bar.stop()


@cappa.command(name="catalogue", help="Check, apply, show and compare the catalogue.")
@dataclass
class CatalogueCommand:
    """Group of commands for the catalogue."""

    command: cappa.Subcommands[
        CatalogueCheck | CatalogueApply | CatalogueShow | CatalogueDiff | CatalogueHistory
    ]
