"""Daemon: creates the components of a daemon, starts its tasks, and stops it gracefully."""

from __future__ import annotations

import asyncio
import functools
import logging
import os
import random
import signal
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
from hornbeamgw.core.former_work import Startup
from hornbeamgw.core.membership import Member
from hornbeamgw.core.options import Settings, split_address
from hornbeamgw.core.retry_budget import Bound, BudgetState
from hornbeamgw.core.snapshot import Snapshot
from hornbeamgw.core.standing import RolloutStatus
from hornbeamgw.daemon import logs, loop, plugins, sources
from hornbeamgw.daemon.admin import Admin
from hornbeamgw.daemon.adoption import Adoption
from hornbeamgw.daemon.announcements import ServerRegistry, decoders_by_name
from hornbeamgw.daemon.attempts import Links
from hornbeamgw.daemon.calls import Calls, Identity, MeshView
from hornbeamgw.daemon.containment import run_every
from hornbeamgw.daemon.control import Control
from hornbeamgw.daemon.departures import Keeper, Ledger, ask_keeper, keepers_of
from hornbeamgw.daemon.directory import Directory
from hornbeamgw.daemon.flow import Pacer
from hornbeamgw.daemon.former_hold import FormerProcess
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.http_server import (
    MAX_ADMIN_BODY_BYTES,
    HttpServer,
    Pipelining,
    Timeouts,
    json_response,
    read_body,
)
from hornbeamgw.daemon.peers import PeerServer, reserve
from hornbeamgw.daemon.planned_stop import GracefulStop
from hornbeamgw.daemon.presence import OwnRow
from hornbeamgw.daemon.quarantine import Quarantine
from hornbeamgw.daemon.reader import Reader
from hornbeamgw.daemon.reload import Reloader
from hornbeamgw.daemon.rollouts import Leader, Rollouts, order_rows_by_name, send_tallies
from hornbeamgw.daemon.servers import Servers
from hornbeamgw.daemon.sources import Source, WatchedRowSource

log = logging.getLogger(__name__)

if TYPE_CHECKING:
    # Imported only if edits are supported, a statsd server is configured, or organisations have
    # quotas, to save memory.
    from hornbeamgw.daemon.committer import Committer
    from hornbeamgw.daemon.metrics import Metrics as StatsdMetrics
    from hornbeamgw.daemon.quotas import Quotas

STATSD_INTERVAL_S = 5.0
CHECK_INTERVAL_S = 0.1
ADOPTION_POLL_INTERVAL_S = 0.01
BYTES_PER_MBIT = 125_000
# Keeps the bandwidth in bytes per second within the 64-bit field of a member record.
MAX_BANDWIDTH_MBIT_PER_S = 1e6
EXIT_OK = 0
EXIT_REQUESTS_CANCELLED = 3


class Daemon:
    """All components of one daemon."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the components without starting them; `seed` is for random numbers."""
        rng = random.Random(seed)
        self._reservation = reserve(settings.address, random.SystemRandom())
        me = Member(
            self._reservation.address,
            settings.data_centre,
            settings.region,
            time.time_ns() // 1_000_000,
            bandwidth=round(min(settings.bandwidth, MAX_BANDWIDTH_MBIT_PER_S) * BYTES_PER_MBIT),
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
        exposure_bound = ExposureBound(settings.rollouts_share, settings.rollouts_slack)
        self.rollouts = Rollouts(exposure_bound, self._publish_standings)
        self.control.on_member_report.append(self.rollouts.receive_member)
        source = sources.factories_by_name[settings.source](
            self.control, platform, settings.platform_poll, rng, settings.platform_adapter
        )
        own_row = (
            None if platform.rows is None else OwnRow(platform.rows, me, self.quarantine.receive)
        )
        self._own_row = own_row
        if own_row is not None:
            self.control.on_era.append(own_row.rewrite_after_restore)
        directory = _directory(settings, self.control, platform, rng, own_row)
        self.reader = Reader(self.control, source, rng, directory)
        self.leader = _leader(settings, self.control, platform, source, self.rollouts, self.reader)
        self.committer = _committer(self.control, self.reader, platform, rng)
        max_backlog_s = stopping.max_backlog_seconds(
            settings.calls_leave_after, settings.calls_drain_limit, settings.calls_grace
        )
        pacer = self.pacer = Pacer(me.bandwidth, max_backlog_s)
        # A port that the system chooses is known to no server that runs already.
        is_first = settings.first_start or split_address(settings.address)[1] == 0
        startup = Startup(time.monotonic(), me.incarnation, is_first)
        self.adoption = _adoption(settings, own_row, dialect)
        former_process = FormerProcess(startup, self.adoption)
        self.gates = Gates(
            lambda: Gate(
                self._snapshot,
                self._on_server_change,
                dialect,
                settings.calls_queueing,
                pacer,
                self.quarantine,
                self.rollouts.state,
                former_process,
            )
        )
        remote_byte_counts = self.control.meter.remote_byte_counts
        self.links = Links(
            lambda: self.control.hello, self.control.record_fault, remote_byte_counts
        )
        choose = balancing.chooser_of(settings.calls_balancing)
        exposure_state = self.rollouts.state
        servers = Servers(self.links, choose, rng, self.gates.local_outlook, exposure_state)
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
            exposure_state,
            self._snapshot,
            self._version_age,
        )
        keeper = Keeper(startup.started_at, settings.first_start)
        self.peers = PeerServer(self.control, self.reader, self.gates, keeper)
        pipelining = Pipelining(
            self.calls.on_request, self.calls.is_idempotent, lambda: self.calls.draining
        )
        self.callers = HttpServer(self.calls.on_request, timeouts, pipelining)
        admin = Admin(
            self.control,
            self.reader,
            self.committer,
            self.gates,
            self.calls,
            self.quarantine,
            self.rollouts,
        )
        self._admin_handler = admin
        self.quotas: Quotas | None = None
        self.control.on_applied.append(self._apply_quotas)
        self.admin = HttpServer(admin.on_request, timeouts)
        self.metrics = HttpServer(admin.on_request, timeouts)
        self.ready = HttpServer(self._on_ready_request, timeouts)
        self._ledger = _ledger(settings, own_row, self.control, is_first)
        self._server_registry = _server_registry(
            settings,
            self.gates,
            self._accepts_service,
            self.adoption,
            self._ledger,
            me.incarnation,
            self._health_path_of,
            startup.started_at,
        )
        self.announcements = _announcements(settings, self._server_registry, timeouts)
        self._stop_signals = 0
        self._stop = asyncio.Event()
        self._abort = asyncio.Event()

    @property
    def gate(self) -> Gate:
        """Return the gate of the first backend server at this daemon."""
        return self.gates.first

    def _snapshot(self) -> Snapshot:
        return self.control.versions.snapshot

    def _accepts_service(self, name: str) -> bool:
        """Return whether backend servers may register for a service.

        All services are accepted until the first catalogue version is in force.
        """
        snapshot = self._snapshot()
        is_own = name == self.settings.server_service
        return is_own or not snapshot.version or name in snapshot.services

    def _health_path_of(self, service: str) -> str | None:
        snapshot = self._snapshot()
        if service not in snapshot.services:
            return None
        return snapshot.health_paths_by_service.get(service, "")

    def _view(self) -> MeshView:
        view = self.control.view
        return MeshView(
            versions.is_ready(self.control.versions),
            self.control.versions.snapshot,
            view.me,
            list(view.members_by_address.values()),
            view.generation,
        )

    def _version_age(self) -> float | None:
        state = self.control.versions
        applied_at = state.applied_at_by_version.get(state.snapshot.version)
        return None if applied_at is None else time.time() - applied_at

    def _on_server_change(self) -> None:
        self.control.update_me(**self.gates.member_fields())

    def _publish_findings(
        self, findings: tuple[Finding, ...], stored: tuple[Finding, ...], is_urgent: bool
    ) -> None:
        self.control.update_me(findings=findings)
        if is_urgent:
            self.control.announce_everywhere()
        if self._own_row is not None:
            self._own_row.set_findings(stored)

    def _publish_standings(self, standings: tuple[RolloutStatus, ...], is_urgent: bool) -> None:
        self.control.update_me(standings=standings)
        if is_urgent:
            self.control.announce_everywhere()

    def _leader_addresses(self, service: str) -> list[str]:
        return [leader.address for leader in self.reader.leaders(service)]

    async def start(self) -> dict[str, str]:
        """Start all listeners and tasks and return the bound addresses; raise OSError."""
        address = self.control.view.me.address
        sockets = self._reservation.bind()
        await self.peers.start(sockets.tcp)
        await self.control.start(sockets.udp)
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
        checks = [
            self._check_links,
            self._expire_gates,
            self._expire_quarantine,
            self._note_members,
        ]
        self.control.spawn(run_every(CHECK_INTERVAL_S, checks))
        if self.leader is not None:
            self.reader.needs_short_watch = self.rollouts.has_undecided
            self.control.spawn(self.leader.run())
            send = self.control.send_tally
            tallies = send_tallies(self.gates, self.rollouts, self._leader_addresses, send)
            self.control.spawn(tallies)
        if self.adoption is not None and self._server_registry is not None:
            self.control.spawn(self._adopt_servers(self._server_registry))
        if self._ledger is not None and self.reader.directory is not None:
            self.control.spawn(self._ledger.recall(self.reader.directory.view_received))
        if self.settings.statsd:
            from hornbeamgw.daemon.metrics import Metrics

            metrics = Metrics(self.settings.statsd)
            self.control.spawn(run_every(STATSD_INTERVAL_S, [lambda: self._report(metrics)]))
        return addresses

    async def _on_ready_request(self, connection: HttpConnection, request: h11.Request) -> None:
        """Answer a readiness check: ready with a version in force and while not draining."""
        await read_body(connection, MAX_ADMIN_BODY_BYTES)
        ready = versions.is_ready(self.control.versions) and not self.calls.draining
        version = self.control.versions.snapshot.version
        json_response(connection, 200 if ready else 503, {"ready": ready, "version": version})

    async def _adopt_servers(self, registry: ServerRegistry) -> None:
        """Adopt the backend servers from before a restart, once a catalogue version is in force."""
        while not versions.is_ready(self.control.versions):
            await asyncio.sleep(ADOPTION_POLL_INTERVAL_S)
        await registry.adopt()

    def _check_links(self) -> None:
        now = asyncio.get_running_loop().time()
        self.links.check(now)
        self.peers.check(now)

    def _expire_gates(self) -> None:
        self.gates.expire(asyncio.get_running_loop().time())

    def _expire_quarantine(self) -> None:
        self.quarantine.expire(asyncio.get_running_loop().time())

    def _note_members(self) -> None:
        members = len(membership.reachable(self.control.view))
        retry_budget.note_members(self.budget, members)
        exposure.note_members(self.rollouts.state, members)

    def _apply_quotas(self, snapshot: Snapshot) -> None:
        """Apply the quotas of a version that comes into force."""
        organisations = snapshot.organisations_by_name.values()
        if self.quotas is None:
            if not any(organisation.rate_per_second > 0 for organisation in organisations):
                return
            self.quotas = self._create_quotas()
        self.quotas.apply(snapshot, asyncio.get_running_loop().time())

    def _create_quotas(self) -> Quotas:
        # Imported only if an organisation has a quota, to save memory.
        from hornbeamgw.core.quotas.quota import Bound as QuotaBound
        from hornbeamgw.daemon import quotas as quotas_module

        settings, control = self.settings, self.control
        bound = QuotaBound(
            max(settings.quota_window, quotas_module.MIN_WINDOW_S),
            settings.quota_overage,
            settings.quota_slack,
        )
        event_loop = asyncio.get_running_loop()
        started_at = event_loop.time()

        def is_alone(now: float) -> bool:
            may_hear = not settings.first_start and now - started_at < quotas_module.ALONE_S
            return may_hear and len(control.view.members_by_address) == 1

        quotas = quotas_module.Quotas(
            lambda: control.view, control.send_quota_message, bound, control.rng, is_alone
        )
        control.on_quota_message = lambda sender, message: quotas.receive(
            sender, message, event_loop.time()
        )
        self.calls.quotas = quotas
        self._admin_handler.quota_of = quotas.describe
        self._admin_handler.quota_counts = quotas.counts
        check = run_every(quotas_module.CHECK_INTERVAL_S, [lambda: quotas.check(event_loop.time())])
        control.spawn(check)
        return quotas

    def _report(self, metrics: StatsdMetrics) -> None:
        meter = self.control.meter
        counts = {f"control.out.{kind}": n for kind, n in meter.bytes_out.items()}
        counts |= {f"control.in.{kind}": n for kind, n in meter.bytes_in.items()}
        counts |= dict(self.calls.counts) | {f"gate.{k}": n for k, n in self.gates.counts.items()}
        gauges = {"version": self.control.versions.snapshot.version}
        gauges["members"] = len(membership.reachable(self.control.view))
        metrics.report(counts, gauges)

    def apply(self, settings: Settings) -> None:
        """Apply the settings that can change while the daemon is running."""
        logging.getLogger().setLevel(settings.log_level)
        self.budget.bound = Bound(
            settings.budget_ratio, settings.budget_slack, settings.budget_window
        )

    def on_signal(self) -> None:
        """Stop gracefully at the first signal, and immediately at the second."""
        self._stop_signals += 1
        self._stop.set()
        if self._stop_signals > 1:
            self._abort.set()

    async def run(self) -> int:
        """Run until a stop signal arrives, stop gracefully and return the exit code."""
        await self._stop.wait()
        settings = self.settings
        plan = stopping.plan(
            asyncio.get_running_loop().time(),
            settings.calls_leave_after,
            settings.calls_drain_limit,
            settings.calls_grace,
        )
        stop = GracefulStop(plan, self.calls, self.gates, self.callers, self.peers, self.pacer)
        cancelled = await stop.run(self._abort)
        self.control.leave()
        await self._close()
        return EXIT_REQUESTS_CANCELLED if cancelled else EXIT_OK

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
        raise ValueError(
            f"platform.adapter {settings.platform_adapter!r}: expected an adapter with a row store"
        )
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
    from hornbeamgw.daemon.committer import Committer

    return Committer(control, reader, platform, rng)


def _adoption(settings: Settings, own_row: OwnRow | None, dialect: Dialect) -> Adoption | None:
    if not settings.directory or own_row is None or not dialect.instance:
        return None
    return Adoption(own_row, dialect)


def _ledger(
    settings: Settings, own_row: OwnRow | None, control: Control, is_first: bool
) -> Ledger | None:
    if not settings.directory or own_row is None:
        return None
    ask = functools.partial(ask_keeper, control.send_request)
    return Ledger(own_row, lambda: keepers_of(control.view), ask, is_first)


def _server_registry(
    settings: Settings,
    gates: Gates,
    accepts_service: Callable[[str], bool],
    adoption: Adoption | None,
    ledger: Ledger | None,
    started_ms: int,
    health_path_of: Callable[[str], str | None],
    started_at: float,
) -> ServerRegistry | None:
    if not settings.announcements:
        return None
    return ServerRegistry(
        gates,
        decoders_by_name[settings.calls_dialect],
        settings.server_connections,
        settings.server_announce_ttl,
        accepts_service,
        adoption,
        ledger,
        started_ms,
        health_path_of,
        started_at,
    )


def _announcements(
    settings: Settings, registry: ServerRegistry | None, timeouts: Timeouts
) -> HttpServer | None:
    return None if registry is None else HttpServer(registry.on_request, timeouts)


async def _serve(settings: Settings, print_addresses: bool, path: str) -> int:
    daemon = Daemon(settings, int.from_bytes(os.urandom(8), "big"))
    addresses = await daemon.start()
    if print_addresses:
        print(msgspec.json.encode(addresses).decode(), flush=True)
    logs.set_up(settings.log_level, daemon=addresses["address"], data_centre=settings.data_centre)
    event_loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        event_loop.add_signal_handler(signal_number, daemon.on_signal)
    if path:
        reloader = Reloader(path, settings, daemon.apply)
        event_loop.add_signal_handler(signal.SIGHUP, reloader.reload, "SIGHUP")
        daemon.control.spawn(reloader.run())
    log.info("daemon started", extra=addresses)
    return await daemon.run()


def run(settings: Settings, print_addresses: bool = False, path: str = "") -> int:
    """Run a daemon until it stops and return the exit code.

    The settings file at `path`, if given, is reloaded when it changes.
    """
    logs.set_up(settings.log_level, data_centre=settings.data_centre)
    plugins.load(settings.plugins_folder, settings.plugins_modules)
    return loop.run(_serve(settings, print_addresses, path), settings.event_loop)
