"""Local fleet: runs daemons and backend servers on real sockets within one process."""

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

WAIT_TIMEOUT_S = 20.0
WAIT_POLL_INTERVAL_S = 0.005


async def wait_for(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; raise TimeoutError after `WAIT_TIMEOUT_S`."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(WAIT_POLL_INTERVAL_S)


def edit_from_file(path: Path, edit_id: str) -> Edit:
    """Return the edit that creates all items of a catalogue file."""
    parsed, problems = parse_file(path.read_text(encoding="utf-8"), str(path))
    assert not problems, problems
    return Edit(
        edit_id=edit_id,
        author="test",
        changes=requested_changes(EMPTY_CATALOGUE, parsed, False, True),
    )


def edit_from_bodies(bodies_by_key: dict[str, dict[str, Any]], edit_id: str) -> Edit:
    """Return the edit that creates items from their bodies."""
    parsed = ParsedFile(bodies_by_key, {}, None)
    return Edit(
        edit_id=edit_id,
        author="test",
        changes=requested_changes(EMPTY_CATALOGUE, parsed, False, True),
    )


def queue_limit_edit(daemon: Daemon, key: str, queue: int, edit_id: str) -> Edit:
    """Return an edit of an entry's queue limit, based on the revision that a daemon has."""
    item = daemon.control.versions.catalogue.items[key]
    body = {**item.body, "limits": {**item.body["limits"], "queue": queue}}
    return Edit(
        edit_id=edit_id,
        author="test",
        changes=[Change(key=key, based_on=item.revision, body=body)],
    )


class LocalFleet:
    """Daemons and backend servers that share an event loop and an in-memory platform."""

    def __init__(self, name: str) -> None:
        """Create an empty fleet with a name and an in-memory platform."""
        self.name = name
        self.address = f"127.0.0.1:{1 + len(shared_by_address) % 1000}"
        self.platform = shared_by_address.setdefault(self.address, MemoryPlatform())
        self.daemons: list[Daemon] = []
        self.addresses: list[dict[str, str]] = []
        self.backends: list[StandInBackend] = []

    def settings(self, **overrides: Any) -> Settings:
        """Return settings with short intervals for tests, updated with overrides."""
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
        return Settings(**{**base, **overrides})

    async def start(self, **overrides: Any) -> Daemon:
        """Start a daemon that joins the daemons started so far."""
        daemon = Daemon(self.settings(**overrides), seed=len(self.daemons))
        self.addresses.append(await daemon.start())
        self.daemons.append(daemon)
        return daemon

    def callers(self, daemon: Daemon) -> str:
        """Return the address at which a daemon accepts calls."""
        return self.addresses[self.daemons.index(daemon)]["callers"]

    def admin(self, daemon: Daemon) -> str:
        """Return the address of a daemon's admin API."""
        return self.addresses[self.daemons.index(daemon)]["admin"]

    async def start_backend(self, daemon: Daemon, service: str, **options: Any) -> StandInBackend:
        """Start a backend server for a daemon and wait until the daemon has its announcement."""
        values = {"slots": 6, "connections": 130, "work": 0.0, **options}
        backend = StandInBackend(
            BackendOptions(service=service, daemon_admin=self.admin(daemon), **values)
        )
        await backend.start()
        self.backends.append(backend)
        await wait_for(lambda: daemon.gate.announcement is not None)
        return backend

    async def crash(self, daemon: Daemon) -> None:
        """Stop a daemon without a graceful shutdown, as if its VM had failed."""
        daemon.callers.abort()
        daemon.callers.stop_accepting()
        daemon.admin.stop_accepting()
        daemon.links.close()
        daemon.peers.abort()
        daemon.control.stop()
        daemon.gate.cut_off()
        await asyncio.sleep(0)

    async def close(self) -> None:
        """Stop all backend servers and daemons."""
        for backend in self.backends:
            backend.close()
        for daemon in self.daemons:
            await self.crash(daemon)
        await asyncio.sleep(0.01)
