"""Daemon: wires the tasks together, and stops without cutting anything off."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import h11
import msgspec

from hornbeamgw.backends import Platform, factories_by_name
from hornbeamgw.core import balancing, exposure, membership, retry_budget, stopping, versions
from hornbeamgw.core.dialect import Dialect, dialects_by_name
from hornbeamgw.core.exposure import ExposureBound
from hornbeamgw.core.finding import Finding
from hornbeamgw.core.membership import Member
from hornbeamgw.core.options import Settings, split_address
from hornbeamgw.core.retry_budget import Bound, BudgetState
from hornbeamgw.core.snapshot import Snapshot
from hornbeamgw.core.standing import RolloutStatus
from hornbeamgw.daemon import logs, loop, plugins, sources
from hornbeamgw.daemon.admin import Admin
from hornbeamgw.daemon.adoption import Adoption
from hornbeamgw.daemon.announcements import Announcements, decoders_by_name
from hornbeamgw.daemon.attempts import Links
from hornbeamgw.daemon.calls import Calls, Identity, MeshView
from hornbeamgw.daemon.committer import Committer
from hornbeamgw.daemon.control import Control
from hornbeamgw.daemon.directory import Directory
from hornbeamgw.daemon.flow import Pacer
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.http_server import (
    MAX_ADMIN_BODY_BYTES,
    HttpServer,
    Timeouts,
    json_response,
    read_body,
)
from hornbeamgw.daemon.peers import PeerServer
from hornbeamgw.daemon.planned_stop import PlannedStop
from hornbeamgw.daemon.presence import OwnRow
from hornbeamgw.daemon.quarantine import Quarantine
from hornbeamgw.daemon.reader import Reader
from hornbeamgw.daemon.reload import Reloader
from hornbeamgw.daemon.rollouts import Leader, Rollouts, order_rows_by_name, send_tallies
from hornbeamgw.daemon.servers import Servers
from hornbeamgw.daemon.sources import Source, WatchedRowSource

log = logging.getLogger(__name__)

if TYPE_CHECKING:
    # Loaded by a daemon only where settings name a statsd server: it costs memory in each.
    from hornbeamgw.daemon.metrics import Metrics as StatsdReport

REPORT_EVERY_S = 5.0
CHECK_EVERY_S = 0.1
ADOPT_CHECK_EVERY_S = 0.01
PORT_TRIES = 20
CLAIMED_PORTS = (20_000, 32_000)  # Linux gives 32,768 and above to outgoing connections
BYTES_PER_MEGABIT = 125_000
MOST_MEGABITS = 1e6  # no link is wider yet, and a member's record carries it in 64 bits
EXIT_OK = 0
EXIT_CUT_OFF = 3


class Daemon:
    """Hold the parts of one daemon."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Build the parts; nothing runs yet."""
        rng = random.Random(seed)
        me = Member(
            _claim_port(settings.address, random.SystemRandom()),
            settings.data_centre,
            settings.region,
            time.time_ns() // 1_000_000,
            bandwidth=round(min(settings.bandwidth, MOST_MEGABITS) * BYTES_PER_MEGABIT),
        )
        platform = factories_by_name[settings.platform_adapter](
            settings.platform_address, settings.platform_timeout
        )
        timeouts = Timeouts(settings.calls_header_timeout, settings.calls_idle_timeout)
        self.settings = settings
        dialect = dialects_by_name[settings.calls_dialect]
        self.control = Control(settings, me, rng)
        self.quarantine = Quarantine(me, self._publish_findings)
        self.control.on_member_report.append(self.quarantine.receive)
        allowed = ExposureBound(settings.rollouts_share, settings.rollouts_slack)
        self.rollouts = Rollouts(allowed, self._publish_standings)
        self.control.on_member_report.append(self.rollouts.receive_member)
        source = sources.factories_by_name[settings.source](
            self.control, platform, settings.platform_poll, rng, settings.platform_adapter
        )
        own_row = (
            None if platform.rows is None else OwnRow(platform.rows, me, self.quarantine.receive)
        )
        self._own_row = own_row
        if own_row is not None:
            self.control.on_era.append(lambda era: own_row.rewrite_after_restore())
        directory = _directory(settings, self.control, platform, rng, own_row)
        self.reader = Reader(self.control, source, rng, directory)
        self.leader = _leader(settings, self.control, platform, source, self.rollouts, self.reader)
        self.committer = _committer(self.control, self.reader, platform, rng)
        pacer = Pacer(me.bandwidth)
        self.gates = Gates(
            lambda: Gate(
                self._snapshot,
                self._on_server_change,
                dialect,
                settings.calls_queueing,
                pacer,
                self.quarantine,
                self.rollouts.state,
            )
        )
        remote_byte_counts = self.control.meter.remote_byte_counts
        self.links = Links(
            lambda: self.control.hello, self.control.record_fault, remote_byte_counts
        )
        choose = balancing.chooser_of(settings.calls_balancing)
        exposed = self.rollouts.state
        servers = Servers(self.links, choose, rng, self.gates.local_outlook, exposed)
        replay_limit = round(settings.calls_replay_limit)
        identity = Identity(dialect, settings.server_service)
        bound = Bound(settings.budget_ratio, settings.budget_slack, settings.budget_window)
        self.budget = BudgetState(bound)
        self.calls = Calls(
            self._view,
            self.links,
            servers,
            replay_limit,
            rng,
            identity,
            self.budget,
            self.gates.retry_ratio,
            pacer,
            self.quarantine,
            exposed,
        )
        self.peers = PeerServer(self.control, self.reader, self.gates)
        self.callers = HttpServer(self.calls.on_request, timeouts)
        admin = Admin(
            self.control,
            self.reader,
            self.committer,
            self.gates,
            self.calls,
            self.quarantine,
            self.rollouts,
        )
        self.admin = HttpServer(admin.on_request, timeouts)
        self.metrics = HttpServer(admin.on_request, timeouts)
        self.ready = HttpServer(self._on_ready_request, timeouts)
        self.adoption = _adoption(settings, own_row, dialect)
        self._taker = _taker(settings, self.gates, self._is_service, self.adoption)
        self.announcements = _announcements(settings, self._taker, timeouts)
        self._stop_signals = 0
        self._stop = asyncio.Event()
        self._cut = asyncio.Event()

    @property
    def gate(self) -> Gate:
        """Return the gate of the server here, the first of several."""
        return self.gates.first

    def _snapshot(self) -> Snapshot:
        return self.control.versions.snapshot

    def _is_service(self, name: str) -> bool:
        """Return whether a service may exist: any may, before the first version."""
        snapshot = self._snapshot()
        is_own = name == self.settings.server_service
        return is_own or not snapshot.version or name in snapshot.services

    def _view(self) -> MeshView:
        view = self.control.view
        return MeshView(
            versions.is_ready(self.control.versions),
            self.control.versions.snapshot,
            view.me,
            list(view.members_by_address.values()),
            view.generation,
        )

    def _on_server_change(self) -> None:
        self.control.update_me(**self.gates.member_fields())

    def _publish_findings(
        self, findings: tuple[Finding, ...], kept: tuple[Finding, ...], is_urgent: bool
    ) -> None:
        self.control.update_me(findings=findings)
        if is_urgent:
            self.control.announce_everywhere()
        if self._own_row is not None:
            self._own_row.set_findings(kept)

    def _publish_standings(self, standings: tuple[RolloutStatus, ...], is_urgent: bool) -> None:
        self.control.update_me(standings=standings)
        if is_urgent:
            self.control.announce_everywhere()

    def _leaders_of(self, service: str) -> list[str]:
        return [leader.address for leader in self.reader.leaders(service)]

    async def start(self) -> dict[str, str]:
        """Listen on every address and return the addresses in use; raise OSError."""
        address = self.control.view.me.address
        await self.peers.start(address)
        await self.control.start(address)
        admin = await self.admin.start(self.settings.admin)
        callers = await self.callers.start(self.settings.callers)
        addresses = {"address": address, "admin": admin, "callers": callers}
        if self.settings.metrics:
            addresses["metrics"] = await self.metrics.start(self.settings.metrics)
        if self.settings.ready:
            addresses["ready"] = await self.ready.start(self.settings.ready)
        if self.announcements is not None:
            listening = await self.announcements.start(self.settings.announcements)
            addresses["announcements"] = listening
        now = asyncio.get_running_loop().time()
        membership.update_me(self.control.view, now, admin=admin)
        self.control.spawn(self.reader.join_loop())
        self.control.spawn(self.reader.floor_loop())
        self.control.spawn(self.reader.poll_loop())
        self.control.spawn(self._check_loop())
        if self.leader is not None:
            self.reader.needs_short_watch = self.rollouts.has_undecided
            self.control.spawn(self.leader.run())
            send = self.control.send_tally
            tallies = send_tallies(self.gates, self.rollouts, self._leaders_of, send)
            self.control.spawn(tallies)
        if self.adoption is not None and self._taker is not None:
            self.control.spawn(self._adopt(self._taker))
        if self.settings.statsd:
            from hornbeamgw.daemon.metrics import Metrics

            self.control.spawn(self._report_loop(Metrics(self.settings.statsd)))
        return addresses

    async def _on_ready_request(self, connection: HttpConnection, request: h11.Request) -> None:
        """Say whether callers may be sent here: with a version in force, and not stopping."""
        await read_body(connection, MAX_ADMIN_BODY_BYTES)
        ready = versions.is_ready(self.control.versions) and not self.calls.draining
        version = self.control.versions.snapshot.version
        json_response(connection, 200 if ready else 503, {"ready": ready, "version": version})

    async def _adopt(self, taker: Announcements) -> None:
        """Look for the server that was here before, once it is known how to ask it."""
        while not versions.is_ready(self.control.versions):
            await asyncio.sleep(ADOPT_CHECK_EVERY_S)
        await taker.adopt(lambda name: self._snapshot().health_paths_by_service.get(name))

    async def _check_loop(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_EVERY_S)
            self.links.check(loop.time())
            self.gates.expire(loop.time())
            self.quarantine.expire(loop.time())
            members = len(membership.reachable(self.control.view))
            retry_budget.note_members(self.budget, members)
            exposure.note_members(self.rollouts.state, members)

    async def _report_loop(self, metrics: StatsdReport) -> None:
        while True:
            await asyncio.sleep(REPORT_EVERY_S)
            meter = self.control.meter
            counts = {f"control.out.{kind}": n for kind, n in meter.bytes_out.items()}
            counts |= {f"control.in.{kind}": n for kind, n in meter.bytes_in.items()}
            counts |= dict(self.calls.counts) | {
                f"gate.{k}": n for k, n in self.gates.counts.items()
            }
            gauges = {"version": self.control.versions.snapshot.version}
            gauges["members"] = len(membership.reachable(self.control.view))
            metrics.report(counts, gauges)

    def apply(self, settings: Settings) -> None:
        """Take up the settings that can change while the daemon runs."""
        logging.getLogger().setLevel(settings.log_level)
        self.budget.bound = Bound(
            settings.budget_ratio, settings.budget_slack, settings.budget_window
        )

    def on_signal(self) -> None:
        """Drain at the first signal, end at the second."""
        self._stop_signals += 1
        self._stop.set()
        if self._stop_signals > 1:
            self._cut.set()

    async def run(self) -> int:
        """Run until told to stop, then stop by plan; return the exit code."""
        await self._stop.wait()
        settings = self.settings
        plan = stopping.plan(
            asyncio.get_running_loop().time(),
            settings.calls_leave_after,
            settings.calls_drain_limit,
            settings.calls_grace,
        )
        stop = PlannedStop(plan, self.calls, self.gates, self.callers, self.peers)
        cut_off = await stop.run(self._cut)
        self.control.leave()
        await self._close()
        return EXIT_CUT_OFF if cut_off else EXIT_OK

    async def _close(self) -> None:
        self.callers.abort()
        self.links.close()
        self.peers.close()
        self.admin.stop_accepting()
        await asyncio.sleep(0.05)
        self.control.stop()


def _directory(
    settings: Settings,
    control: Control,
    platform: Platform,
    rng: random.Random,
    own_row: OwnRow | None,
) -> Directory | None:
    if not settings.directory:
        return None
    if platform.rows is None or own_row is None:
        raise ValueError(f"platform.adapter {settings.platform_adapter!r}: expected one with rows")
    return Directory(control, platform.rows, rng, own_row, settings.first_start)


def _leader(
    settings: Settings,
    control: Control,
    platform: Platform,
    source: Source,
    rollouts: Rollouts,
    reader: Reader,
) -> Leader | None:
    order_rows = order_rows_by_name.get(settings.platform_adapter)
    if platform.rows is None or order_rows is None or not isinstance(source, WatchedRowSource):
        return None
    leader = Leader(
        platform.rows,
        order_rows,
        rollouts,
        lambda: list(control.view.members_by_address.values()),
        reader.rank,
        control.rng,
    )
    source.on_page.append(leader.on_page)
    control.on_era.append(leader.on_era)
    control.on_tally.append(leader.on_tally)
    return leader


def _committer(
    control: Control, reader: Reader, platform: Platform, rng: random.Random
) -> Committer | None:
    if platform.table is None:
        return None
    return Committer(control, reader, platform, rng)


def _adoption(settings: Settings, own_row: OwnRow | None, dialect: Dialect) -> Adoption | None:
    if not settings.directory or own_row is None or not dialect.instance:
        return None
    return Adoption(own_row, dialect.instance)


def _taker(
    settings: Settings,
    gates: Gates,
    is_service: Callable[[str], bool],
    adoption: Adoption | None,
) -> Announcements | None:
    if not settings.announcements:
        return None
    decode = decoders_by_name[settings.calls_dialect]
    connections, ttl = settings.server_connections, settings.server_announce_ttl
    return Announcements(gates, decode, connections, ttl, is_service, adoption)


def _announcements(
    settings: Settings, taker: Announcements | None, timeouts: Timeouts
) -> HttpServer | None:
    return None if taker is None else HttpServer(taker.on_request, timeouts)


def _claim_port(address: str, rng: random.Random) -> str:
    """Return an address whose port is free for TCP and UDP alike; port 0 picks one.

    Ports that the kernel gives to outgoing connections are left out: one of those could take the
    port before this daemon binds it, or while a daemon at that address restarts.
    """
    host, port = split_address(address)
    if port:
        return address
    for _ in range(PORT_TRIES):
        port = rng.randrange(*CLAIMED_PORTS)
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
            return f"{host}:{port}"
    raise OSError(f"no port of {host} is free for both TCP and UDP")


async def _serve(settings: Settings, print_addresses: bool, path: str) -> int:
    daemon = Daemon(settings, int.from_bytes(os.urandom(8), "big"))
    addresses = await daemon.start()
    if print_addresses:
        print(msgspec.json.encode(addresses).decode(), flush=True)
    logs.set_up(settings.log_level, daemon=addresses["address"], data_centre=settings.data_centre)
    running = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        running.add_signal_handler(number, daemon.on_signal)
    if path:
        reloader = Reloader(path, settings, daemon.apply)
        running.add_signal_handler(signal.SIGHUP, reloader.reload, "SIGHUP")
        daemon.control.spawn(reloader.run())
    log.info("daemon started", extra=addresses)
    return await daemon.run()


def run(settings: Settings, print_addresses: bool = False, path: str = "") -> int:
    """Run a daemon to its end and return the exit code; a path is read again when it changes."""
    logs.set_up(settings.log_level, data_centre=settings.data_centre)
    plugins.load(settings.plugins_folder, settings.plugins_modules)
    return loop.run(_serve(settings, print_addresses, path))
