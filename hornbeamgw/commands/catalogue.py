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

from hornbeamgw.commands.client import Answer, ask, ask_each, ask_or_fail, living_admins
from hornbeamgw.commands.daemon import OutputArg
from hornbeamgw.commands.exits import ExitCode
from hornbeamgw.commands.output import fail, fail_with_problems, print_json, print_rows, read_file
from hornbeamgw.core.catalogue import Item, ParsedFile, parse_file, validate
from hornbeamgw.core.edit import Catalogue, Change, Edit, requested_changes
from hornbeamgw.daemon.http1 import ConnectionLost

SEND_TRIES = 5
POLL_S = 0.1
HTTP_CONFLICT = 409

DaemonArg = Annotated[str, cappa.Arg(long="--daemon", help="admin address of any daemon")]
FileArg = Annotated[str, cappa.Arg(help="YAML file with a catalogue")]
PruneArg = Annotated[bool, cappa.Arg(long="--prune", help="delete what the file leaves out")]
OntoArg = Annotated[
    bool,
    cappa.Arg(long="--onto-current", help="take the current revisions as the base of the edit"),
]


def _parse(path: str) -> ParsedFile:
    parsed, problems = parse_file(read_file(path), path)
    if problems:
        fail_with_problems(problems)
    return parsed


def _fetch(address: str) -> Catalogue:
    document = ask_or_fail(address, "GET", "/catalogue")
    items = {key: Item(revision, body) for key, (revision, body) in document["items"].items()}
    return Catalogue(document["version"], document["digest"], items)


@cappa.command(name="check", help="Check a catalogue file without a platform; exit code 2 if bad.")
@dataclass
class CatalogueCheck:
    """Check the form, names, references and sizes of a catalogue file."""

    file: FileArg

    def __call__(self) -> None:
        """Check it."""
        parsed = _parse(self.file)
        items = {key: Item(0, body) for key, body in parsed.bodies_by_key.items()}
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
        """Show it, as YAML or as JSON."""
        document = ask_or_fail(self.daemon, "GET", "/catalogue")
        if self.output == "json":
            print_json(document["file"])
        else:
            print(msgspec.yaml.encode(document["file"]).decode(), end="")


@cappa.command(name="diff", help="Show what applying a file would change.")
@dataclass
class CatalogueDiff:
    """Show the changes that a file asks for."""

    file: FileArg
    daemon: DaemonArg
    prune: PruneArg = False
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Show them."""
        current = _fetch(self.daemon)
        changes = requested_changes(current, _parse(self.file), self.prune, True)
        rows = [_difference(current, change) for change in changes]
        print_rows(rows, ("key", "what", "current", "wanted"), self.output)


def _difference(current: Catalogue, change: Change) -> dict[str, Any]:
    item = current.items.get(change["key"])
    what = "delete" if change["body"] is None else "change" if item else "add"
    body = item.body if item else None
    return {"key": change["key"], "what": what, "current": body, "wanted": change["body"]}


@cappa.command(name="history", help="Show the versions that a daemon remembers.")
@dataclass
class CatalogueHistory:
    """Show who changed what, and when."""

    daemon: DaemonArg
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Show it."""
        rows = ask_or_fail(self.daemon, "GET", "/history")
        for row in rows:
            row["at"] = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(row["at_ms"] / 1000))
            row["items"] = [change["key"] for change in row["changes"]]
        print_rows(rows, ("version", "at", "author", "edit_id", "items"), self.output)


@cappa.command(name="apply", help="Make a file the next version of the catalogue.")
@dataclass
class CatalogueApply:
    """Apply a file as one edit, all or nothing."""

    file: FileArg
    daemon: DaemonArg
    prune: PruneArg = False
    onto_current: OntoArg = False
    author: Annotated[str, cappa.Arg(long=True, help="who edits; the user by default")] = ""
    edit_id: Annotated[str, cappa.Arg(long=True, help="send an earlier edit again")] = ""
    wait: Annotated[bool, cappa.Arg(long=True, help="wait until in force everywhere")] = False
    wait_limit: Annotated[float, cappa.Arg(long=True, help="give up waiting after (s)")] = 30.0
    output: OutputArg = "table"

    def __call__(self) -> None:
        """Apply it, and name the laggards where it is not in force in time."""
        parsed = _parse(self.file)
        changes = requested_changes(_fetch(self.daemon), parsed, self.prune, self.onto_current)
        edit_id = self.edit_id or uuid.uuid4().hex
        if not changes and not self.edit_id:
            self._say({"version": _fetch(self.daemon).version, "changes": 0})
            return
        author = self.author or getpass.getuser()
        edit = Edit(edit_id=edit_id, author=author, changes=changes)
        version = asyncio.run(_send(self.daemon, edit))
        if self.wait:
            _wait(self.daemon, version, self.wait_limit)
        self._say({"version": version, "changes": len(changes), "edit_id": edit_id})

    def _say(self, document: dict[str, Any]) -> None:
        if self.output == "json":
            print_json(document)
        else:
            print("  ".join(f"{key} {value}" for key, value in document.items()))


async def _send(address: str, edit: Edit) -> int:
    """Send an edit until its answer is known; the same id is never two edits."""
    detail = ""
    for _ in range(SEND_TRIES):
        try:
            answer = await ask(address, "POST", "/edits", body=edit)
        except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError) as error:
            detail = str(error) or type(error).__name__
            await asyncio.sleep(POLL_S)
            continue
        if answer.status == 200:
            return int(answer.document["version"])
        if answer.status == HTTP_CONFLICT:
            _refused(answer)
        detail = str(answer.document)
        if answer.status != 503:
            fail(f"edit refused: {detail}", ExitCode.BAD_INPUT)
    fail(
        f"edit {edit['edit_id']}: not known whether it was accepted ({detail}); "
        f"run the same command with --edit-id {edit['edit_id']}",
        ExitCode.UNSURE,
    )


def _refused(answer: Answer) -> None:
    lines = []
    for problem in answer.document["problems"]:
        lines.append("{source}: {key}: got {given!r}, expected {expected}".format(**problem))
    for conflict in answer.document["conflicts"]:
        lines.append(
            "{key}: based on revision {based_on}, current is {current_revision}\n"
            "  current: {current}\n  wanted:  {wanted}".format(**conflict)
        )
    code = ExitCode.CONFLICT if answer.document["conflicts"] else ExitCode.BAD_INPUT
    fail("edit refused\n" + "\n".join(lines), code)


def _wait(address: str, version: int, limit: float) -> None:
    laggards = asyncio.run(_wait_in_force(address, version, limit))
    if laggards:
        names = ", ".join(laggards)
        fail(f"version {version} accepted, but not in force yet on: {names}", ExitCode.LAGGARDS)


async def _wait_in_force(address: str, version: int, limit: float) -> list[str]:
    loop = asyncio.get_running_loop()
    end = loop.time() + limit
    progress = _Progress(version)
    try:
        while True:
            admins = await living_admins(address)
            answers = await ask_each(admins, "/version")
            lagging = _lagging(answers, version)
            progress.show(len(admins) - len(lagging), len(admins))
            if not lagging or loop.time() >= end:
                return lagging
            await asyncio.sleep(POLL_S)
    finally:
        progress.close()


def _lagging(answers: dict[str, Any], version: int) -> list[str]:
    lagging = []
    for admin, answer in sorted(answers.items()):
        if answer is None:
            lagging.append(f"{admin} (no answer)")
        elif answer["in_force"] < version:
            why = answer["waiting_for"] or ("rejected" if answer["rejected"] else "behind")
            lagging.append(f"{answer['address']} (at {answer['in_force']}, {why})")
    return lagging


class _Progress:
    """Hold a bar on a terminal, and nothing when piped."""

    def __init__(self, version: int) -> None:
        self._bar: Any = None
        if sys.stderr.isatty():
            from rich.console import Console
            from rich.progress import Progress

            self._bar = Progress(console=Console(stderr=True))
            self._task = self._bar.add_task(f"version {version}", total=None)
            self._bar.start()

    def show(self, done: int, total: int) -> None:
        """Show how many daemons have the version in force."""
        if self._bar is not None:
            self._bar.update(self._task, completed=done, total=total)

    def close(self) -> None:
        """Leave the bar as it is."""
        if self._bar is not None:
            self._bar.stop()


@cappa.command(name="catalogue", help="Check, apply, show and compare the catalogue.")
@dataclass
class CatalogueCommand:
    """Choose what to do with the catalogue."""

    command: cappa.Subcommands[
        CatalogueCheck | CatalogueApply | CatalogueShow | CatalogueDiff | CatalogueHistory
    ]
