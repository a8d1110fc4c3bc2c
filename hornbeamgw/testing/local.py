"""Local daemons: real daemons on real sockets inside one process, for focused tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hornbeamgw.core.catalogue import ParsedFile, parse_file
from hornbeamgw.core.edit import EMPTY_CATALOGUE, Change, Edit, requested_changes
from hornbeamgw.core.options import Settings
from hornbeamgw.daemon.main import Daemon
from hornbeamgw.testing.backend import BackendOptions, StandInBackend
from hornbeamgw.testing.memory import MemoryPlatform, shared_by_address

WAIT_LIMIT_S = 20.0
WAIT_STEP_S = 0.005


async def wait_for(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; raise TimeoutError where it never does."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():
            await asyncio.sleep(WAIT_STEP_S)


def edit_from_file(path: Path, edit_id: str) -> Edit:
    """Return the edit that creates what a catalogue file holds."""
    parsed, problems = parse_file(path.read_text(encoding="utf-8"), str(path))
    assert not problems, problems
    return Edit(
        edit_id=edit_id,
        author="test",
        changes=requested_changes(EMPTY_CATALOGUE, parsed, False, True),
    )


def edit_from_bodies(bodies_by_key: dict[str, dict[str, Any]], edit_id: str) -> Edit:
    """Return the edit that creates items."""
    wanted = ParsedFile(bodies_by_key, {}, None)
    return Edit(
        edit_id=edit_id,
        author="test",
        changes=requested_changes(EMPTY_CATALOGUE, wanted, False, True),
    )


def limit_edit(daemon: Daemon, key: str, queue: int, edit_id: str) -> Edit:
    """Return an edit of one entry's queue, based on what a daemon knows."""
    item = daemon.control.versions.catalogue.items[key]
    body = {**item.body, "limits": {**item.body["limits"], "queue": queue}}
    return Edit(
        edit_id=edit_id,
        author="test",
        changes=[Change(key=key, based_on=item.revision, body=body)],
    )


class LocalFleet:
    """Hold daemons and backend servers that share an event loop and a platform in memory."""

    def __init__(self, name: str) -> None:
        """Take a name; it is that of the fleet and of its platform."""
        self.name = name
        self.address = f"127.0.0.1:{1 + len(shared_by_address) % 1000}"
        self.platform = shared_by_address.setdefault(self.address, MemoryPlatform())
        self.daemons: list[Daemon] = []
        self.addresses: list[dict[str, str]] = []
        self.backends: list[StandInBackend] = []

    def settings(self, **changed: Any) -> Settings:
        """Return settings with quick timing, some of them changed."""
        base: dict[str, Any] = {
            "fleet": self.name,
            "data_centre": "suva-1",
            "region": "fiji",
            "address": "127.0.0.1:0",
            "callers": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "platform_address": self.address,
            "platform_adapter": "memory",
            "platform_poll": 0.2,
            "seeds": tuple(addresses["address"] for addresses in self.addresses),
            "membership_probe_interval": 0.2,
            "membership_ack_timeout": 0.1,
            "membership_suspicion": 1.0,
        }
        return Settings(**{**base, **changed})

    async def start(self, **changed: Any) -> Daemon:
        """Start a daemon."""
        daemon = Daemon(self.settings(**changed), seed=len(self.daemons))
        self.addresses.append(await daemon.start())
        self.daemons.append(daemon)
        return daemon

    def callers(self, daemon: Daemon) -> str:
        """Return the address of a daemon for callers."""
        return self.addresses[self.daemons.index(daemon)]["callers"]

    def admin(self, daemon: Daemon) -> str:
        """Return the address of a daemon for operators."""
        return self.addresses[self.daemons.index(daemon)]["admin"]

    async def start_backend(self, daemon: Daemon, service: str, **options: Any) -> StandInBackend:
        """Start a backend server beside a daemon and wait until it is announced."""
        values = {"slots": 6, "connections": 130, "work": 0.0, **options}
        backend = StandInBackend(
            BackendOptions(service=service, daemon_admin=self.admin(daemon), **values)
        )
        await backend.start()
        self.backends.append(backend)
        await wait_for(lambda: daemon.gate.announcement is not None)
        return backend

    async def crash(self, daemon: Daemon) -> None:
        """End a daemon at once, as a lost VM would."""
        daemon.callers.abort()
        daemon.callers.stop_accepting()
        daemon.admin.stop_accepting()
        daemon.links.close()
        daemon.peers.abort()
        daemon.control.stop()
        daemon.gate.cut_off()
        await asyncio.sleep(0)

    async def close(self) -> None:
        """End everything."""
        for backend in self.backends:
            backend.close()
        for daemon in self.daemons:
            await self.crash(daemon)
        await asyncio.sleep(0.01)
