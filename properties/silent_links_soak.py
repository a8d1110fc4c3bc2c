"""Soak of links that go silent: daemons in one process, whose links pass through proxies.

Links go silent in one direction or both, alone or all at once, now and then twice in a row, and
what one carries is held up for a while. Callers keep their connections, and book and look up at a
low rate. No booking runs twice, a request that was told "not run" has not run, and requests that
are sent CONTACT_S or more after the last disruption are served.

Run it with `python -m properties.silent_links_soak SEEDS`, as 1-50 or 3,7.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from typing import Any, NamedTuple
from unittest import mock

from hornbeamgw.daemon import attempts
from hornbeamgw.daemon import link as link_module
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.daemon.main import Daemon
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for
from hornbeamgw.testing.proxy import NO_IMPAIRMENT, Proxy

CALLERS, SERVERS = 2, 2
# Daemons are in touch again this long after a disruption.
CONTACT_S = 3.0
DEADLINE_MS = 600
PATIENCE_S = 0.5
REQUESTS_PER_S = 1.5
DISRUPT_EVERY_S = 5.0
MIN_SERVED_RATIO = 0.95
DIRECTIONS = ((True, True), (True, False), (False, True))
ROUTES = {"bookings": ("POST", False), "rosters": ("GET", True)}
BODIES: dict[str, dict[str, Any]] = {
    "entry/all": {"name": "all", "owner": "o", "traffic_class": "c", "limits": {"slots": 6}},
    "service/roster": {"name": "roster", "owner": "o"},
    **{
        f"route/{name}": {
            "name": name,
            "host": "test.example",
            "prefix": f"/{name}",
            "methods": [method],
            "service": "roster",
            "entry": "all",
            "idempotent": idempotent,
            "deadline_ms": DEADLINE_MS,
        }
        for name, (method, idempotent) in ROUTES.items()
    },
}


class Outcome(NamedTuple):
    """What a caller got: a status, 0 if there was none, and the verdict of a failure."""

    request_id: str
    route: str
    sent_at: float
    status: int
    verdict: str


class Report(NamedTuple):
    """What a run has shown."""

    requests: int
    disruptions: Counter[str]
    in_touch: int
    served_in_touch: int
    ran_twice: list[str]
    ran_though_refused: list[str]

    @property
    def problems(self) -> list[str]:
        """Return the promises that were broken."""
        found = [f"{request} ran twice" for request in self.ran_twice]
        found += [f"{request} was told not run, and ran" for request in self.ran_though_refused]
        if self.served_in_touch < MIN_SERVED_RATIO * self.in_touch:
            found.append(f"{self.served_in_touch} of {self.in_touch} served in touch")
        return found


class Soak:
    """Daemons of callers and of servers, and the proxies between them."""

    def __init__(self, seed: int) -> None:
        """Prepare a run; all that is drawn depends on the seed."""
        self.rng = random.Random(seed)
        self.fleet = LocalFleet(f"silent-links-{seed}")
        self.proxies_by_path: dict[tuple[str, str], Proxy] = {}
        self.outcomes: list[Outcome] = []
        self.disruptions: Counter[str] = Counter()
        self.disrupted_at = 0.0
        self.callers: list[Daemon] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._clients: list[HttpClient] = []
        self._patch = mock.patch.object(attempts, "dial", self._dial)

    async def start(self) -> None:
        """Start the fleet, and lead all links through proxies."""
        self._patch.start()
        self.callers = [await self.fleet.start() for _ in range(CALLERS)]
        await self.callers[0].committer.commit(edit_from_bodies(BODIES, "e"))  # type: ignore[union-attr]
        for _ in range(SERVERS):
            daemon = await self.fleet.start()
            await self.fleet.start_backend(daemon, "roster")
        patience = DEADLINE_MS / 1000 + PATIENCE_S
        for caller in self.callers:
            self._clients.append(HttpClient(self.fleet.callers(caller), patience))
            await wait_for(lambda c=caller: self._known_servers(c) == SERVERS)  # type: ignore[misc]
            await wait_for(lambda c=caller: c.control.versions.snapshot.version == 1)  # type: ignore[misc]

    def _known_servers(self, daemon: Daemon) -> int:
        members = daemon.control.view.members_by_address.values()
        return sum(member.service == "roster" for member in members)

    async def _dial(self, address: str, hello: Any, *args: Any) -> link_module.Link:
        path = hello.member, address
        proxy = self.proxies_by_path.get(path)
        if proxy is None:
            proxy = self.proxies_by_path[path] = Proxy(address)
            await proxy.start()
        return await link_module.dial(proxy.address, hello, *args)

    async def close(self) -> None:
        """End all that was started."""
        self._patch.stop()
        for client in self._clients:
            client.close()
        for proxy in self.proxies_by_path.values():
            proxy.close()
        await self.fleet.close()

    async def _ask(self, request_id: str) -> None:
        loop = asyncio.get_running_loop()
        route = self.rng.choice(list(ROUTES))
        client = self.rng.choice(self._clients)
        named = [(b"host", b"test.example"), (b"x-request-id", request_id.encode())]
        sent_at, status, verdict = loop.time(), 0, ""
        try:
            response = await client.request(ROUTES[route][0], f"/{route}", named, b"")
            status = response.status
            verdict = (header(response.headers, b"hornbeamgw-verdict") or b"").decode()
        except (TimeoutError, ConnectionLost, OSError):
            pass
        self.outcomes.append(Outcome(request_id, route, sent_at, status, verdict))

    async def _call(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))
            number += 1
            task = asyncio.create_task(self._ask(f"r{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _disrupt_once(self) -> None:
        kind = self.rng.choice(("all", "all", "twice", "one", "hold"))
        self.disruptions[kind] += 1
        proxies = list(self.proxies_by_path.values())
        chosen = proxies if kind in ("all", "twice") else [self.rng.choice(proxies)]
        if kind == "hold":
            chosen[0].impairment = NO_IMPAIRMENT._replace(hold=True)
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            chosen[0].impairment = NO_IMPAIRMENT
            return
        for _ in range(2 if kind == "twice" else 1):
            forward, backward = self.rng.choice(DIRECTIONS)
            for proxy in chosen:
                proxy.silence(forward, backward)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0) if kind == "twice" else 0.0)

    async def _disrupt(self) -> None:
        while True:
            await asyncio.sleep(CONTACT_S + self.rng.expovariate(1 / DISRUPT_EVERY_S))
            self.disrupted_at = float("inf")
            await self._disrupt_once()
            self.disrupted_at = asyncio.get_running_loop().time()

    async def run(self, seconds: float) -> Report:
        """Call and disrupt for a time (s), and return what that has shown."""
        loop = asyncio.get_running_loop()
        spans: list[tuple[float, float]] = []
        tasks = [asyncio.create_task(self._call()), asyncio.create_task(self._disrupt())]
        began, until = loop.time(), loop.time() + seconds
        self.disrupted_at = began
        quiet_since: float | None = None
        while loop.time() < until:
            now = loop.time()
            is_quiet = now >= self.disrupted_at + CONTACT_S
            if is_quiet and quiet_since is None:
                quiet_since = now
            elif not is_quiet and quiet_since is not None:
                # Requests that were still under way at a disruption are excused.
                spans.append((quiet_since, now - DEADLINE_MS / 1000 - PATIENCE_S))
                quiet_since = None
            await asyncio.sleep(0.01)
        if quiet_since is not None:
            spans.append((quiet_since, loop.time()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*self._tasks)
        return self._report(spans)

    def _report(self, spans: list[tuple[float, float]]) -> Report:
        runs: Counter[str] = Counter()
        for backend in self.fleet.backends:
            runs.update(backend.runs_by_id)
        bookings = {o.request_id for o in self.outcomes if o.route == "bookings"}
        in_touch = [o for o in self.outcomes if any(a <= o.sent_at < b for a, b in spans)]
        return Report(
            len(self.outcomes),
            self.disruptions,
            len(in_touch),
            sum(o.status == 200 for o in in_touch),
            [request for request in bookings if runs[request] > 1],
            [o.request_id for o in self.outcomes if o.verdict == "not_run" and runs[o.request_id]],
        )


async def run_seed(seed: int, seconds: float) -> Report:
    """Run the soak with a seed for a time (s)."""
    soak = Soak(seed)
    try:
        await soak.start()
        return await soak.run(seconds)
    finally:
        await soak.close()


def main() -> None:
    """Run the seeds of the command line, 30 s each; exit code 1 where a promise is broken."""
    from properties.fleet_soak import seeds_of

    broken = 0
    for seed in seeds_of(sys.argv[1] if len(sys.argv) > 1 else "1-5"):
        report = asyncio.run(run_seed(seed, 30.0))
        broken += bool(report.problems)
        print(f"seed {seed}: {report.problems or 'held'} {report}", flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
