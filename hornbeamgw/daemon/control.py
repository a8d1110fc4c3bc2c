"""Gossip I/O of a daemon, over UDP and short-lived TCP connections.

It carries out the effects that the daemon's state machine (`core.node`) returns.
"""

from __future__ import annotations

import asyncio
import logging
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any

from hornbeamgw.core import membership, node, versions
from hornbeamgw.core.membership import Member, MembershipState
from hornbeamgw.core.node import Effect, Moment, Node, QuotaMessage
from hornbeamgw.core.options import Settings, split_address
from hornbeamgw.core.snapshot import Snapshot
from hornbeamgw.core.tally import Tally
from hornbeamgw.core.versions import ArrivalPath, Origin, VersionState
from hornbeamgw.daemon import codec, datagrams, frames
from hornbeamgw.daemon.containment import contained, log_contained
from hornbeamgw.daemon.link import LinkLost, exchange
from hornbeamgw.daemon.meter import Meter, TokenBucket

log = logging.getLogger(__name__)

EXCHANGE_TIMEOUT_S = 2.0
# Limits of the rate at which views and catalogues are sent to other daemons.
TRANSFER_RATE_BYTES_PER_S = 256 * 1024
TRANSFER_BURST_BYTES = 1024 * 1024
VIEW_RECORD_BYTES = 160  # approximate size of an encoded membership record
CHECKS_PER_PROBE_INTERVAL = 5


class _UdpProtocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._on_datagram(data)


def _moment() -> Moment:
    return Moment(asyncio.get_running_loop().time(), time.time())


class Control:
    """The state machine (`Node`) of this daemon, its UDP socket and its background tasks."""

    def __init__(self, settings: Settings, me: Member, rng: random.Random) -> None:
        """Create the state of a daemon that knows only its own record and no catalogue version."""
        self.settings = settings
        self.hello = frames.Hello(settings.fleet, me.address, me.incarnation, me.data_centre)
        timing = membership.Timing(
            settings.membership_probe_interval,
            settings.membership_ack_timeout,
            settings.membership_suspicion,
        )
        self.node = Node(me, timing, settings.spreading)
        self.meter = Meter()
        self.rng = rng
        self.on_applied: list[Callable[[Snapshot], None]] = []
        self.on_member_report: list[Callable[[Member], None]] = []
        self.on_era: list[Callable[[int], None]] = []
        self.on_tally: list[Callable[[str, Tally], None]] = []
        self.on_quota_message: Callable[[str, QuotaMessage], None] | None = None
        self.has_had_contact = False
        self.last_contact_at = 0.0  # time of the last message received, by the event loop's clock
        self._fleet = datagrams.fleet_hash(settings.fleet)
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._transfer_budget = TokenBucket(TRANSFER_RATE_BYTES_PER_S, TRANSFER_BURST_BYTES)
        self._encoded_catalogue: tuple[int, bytes] = (-1, b"")

    @property
    def view(self) -> MembershipState:
        """Membership view of the fleet."""
        return self.node.view

    @property
    def versions(self) -> VersionState:
        """Known versions of the catalogue."""
        return self.node.versions

    async def start(self, bound: socket.socket) -> None:
        """Receive datagrams on a bound UDP socket and start probing; raise OSError on failure."""
        loop = asyncio.get_running_loop()
        self.last_contact_at = loop.time()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _UdpProtocol(self._on_datagram), sock=bound
        )
        self.spawn(self._probe_loop())

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task, and log its failure."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())

    def stop(self) -> None:
        """Cancel all tasks and close the socket."""
        for task in list(self._tasks):
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def record_fault(self, description: str) -> None:
        """Count and log a communication fault.

        The part of the description before the first colon is the kind under which it is counted.
        """
        self.meter.faults[description.partition(":")[0]] += 1
        log.warning("fault in the communication with another daemon", extra={"fault": description})

    # Effects

    def _execute(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            try:
                self._execute_one(effect)
            except Exception:
                log_contained(f"effect {type(effect).__name__}")
        self._log_member_changes()
        self._notify_member_reports()

    def _execute_one(self, effect: Effect) -> None:
        if isinstance(effect, node.Send):
            self._send(effect)
        elif isinstance(effect, node.StartPull):
            self.spawn(self.pull(effect.source))
        elif isinstance(effect, node.StartReconcile):
            self.spawn(self._reconcile_once(effect.address))
        elif isinstance(effect, node.WakeAt):
            asyncio.get_running_loop().call_at(effect.at, self._check)
        else:
            self._handle_report(effect)

    def _notify_member_reports(self) -> None:
        while self.view.pending_reports:
            member = self.view.pending_reports.popleft()
            for callback in self.on_member_report:
                callback(member)

    def _log_view_changes(self, source: str) -> None:
        """Log all changes from a received view as one line, since joining changes most members."""
        changes = list(self.view.changes)
        self.view.changes.clear()
        if changes:
            statuses = Counter(change.after.status.name for change in changes)
            fields = {"source": source, "changed": len(changes), **statuses}
            log.info(
                "membership view merged",
                extra={**fields, "members": len(self.view.members_by_address)},
            )
        self._notify_member_reports()

    def _log_member_changes(self) -> None:
        """Log changes of other daemons and of their backend servers."""
        while self.view.changes:
            before, after = self.view.changes.popleft()
            if after.address == self.view.me.address:
                continue
            fields = {"member": after.address, "service": after.service, "slots": after.slots}
            fields |= {"status": after.status.name, "server": after.server_state.name}
            fields |= {"incarnation": after.incarnation, "sequence": after.sequence}
            fields["before"] = before.status.name if before is not None else ""
            log.info("member changed", extra=fields)

    def _handle_report(self, effect: Effect) -> None:
        if isinstance(effect, node.CatalogueUpdate):
            self._on_catalogue_update(effect)
        elif isinstance(effect, node.DuplicatePush):
            self.meter.messages_in["duplicate_push"] += 1
        elif isinstance(effect, node.UnansweredPush):
            self.meter.faults["push without an answer"] += 1
        elif isinstance(effect, node.EraStarted):
            log.warning(
                "platform store has a new era; recent writes may be lost", extra={"era": effect.era}
            )
            for on_era in self.on_era:
                on_era(effect.era)
        elif isinstance(effect, node.TallyReceived):
            for callback in self.on_tally:
                callback(effect.sender, effect.tally)
        elif isinstance(effect, node.QuotaMessageReceived):
            if self.on_quota_message is not None:
                self.on_quota_message(effect.sender, effect.message)
        elif isinstance(effect, node.CatalogueMismatch):
            log.error(
                "another daemon has a different catalogue with the same version",
                extra={"sender": effect.sender},
            )

    def _send(self, effect: node.Send) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        payload = datagrams.encode_datagram(self._fleet, effect.envelope)
        self.meter.sent(_kind(effect.envelope.message), len(payload))
        self._transport.sendto(payload, split_address(effect.to))

    def _on_catalogue_update(self, update: node.CatalogueUpdate) -> None:
        learned, origin = update
        if learned.failure:
            log.warning(
                "received catalogue version could not be processed",
                extra={"fault": learned.failure, "origin": origin},
            )
        version = self.versions.catalogue.version
        rejected = self.versions.rejected_by_version.get(version)
        if learned.advanced and rejected:
            problems = [str(problem) for problem in rejected]
            log.error(
                "catalogue version rejected; keeping the version in force",
                extra={"version": version, "problems": problems},
            )
        if learned.applied is None:
            return
        arrival = self.versions.arrivals_by_version.get(learned.applied.version)
        log.info(
            "catalogue version in force",
            extra={
                "version": learned.applied.version,
                "path": origin.path,
                "sender": origin.sender,
                "size": arrival.size if arrival else None,
            },
        )
        for callback in self.on_applied:
            callback(learned.applied)

    # Messages

    def _on_datagram(self, payload: bytes) -> None:
        try:
            received = datagrams.decode_datagram(self._fleet, payload, self._is_newer)
        except codec.CodecError as error:
            self.record_fault(f"bad datagram: {error}")
            return
        self._record_contact()
        self.meter.received(_kind(received.message), len(payload))
        self._execute(node.receive(self.node, received, _moment(), self.rng))

    def _is_newer(self, address: str, rank: tuple[int, int, int]) -> bool:
        return membership.is_newer(self.view, address, rank)

    def _record_contact(self) -> None:
        self.has_had_contact = True
        self.last_contact_at = asyncio.get_running_loop().time()

    def _check(self) -> None:
        self._execute(node.check(self.node, _moment(), self.rng))

    async def _probe_loop(self) -> None:
        interval = self.view.timing.probe_interval
        await asyncio.sleep(self.rng.uniform(0, interval))
        while True:
            with contained("probe"):
                self._execute(node.tick(self.node, _moment(), self.rng))
            for _ in range(CHECKS_PER_PROBE_INTERVAL):
                await asyncio.sleep(interval / CHECKS_PER_PROBE_INTERVAL)
                with contained("membership check"):
                    self._check()

    def note_era(self, era: int) -> None:
        """Process the store's era, a number that increases when acknowledged writes are lost."""
        self._execute(node.note_era(self.node, era))

    def send_tally(self, to: Sequence[str], tally: Tally) -> None:
        """Send the request counts of a backend server to the leaders of a rollout."""
        self._execute(
            [
                node.Send(address, node.envelope_without_gossip(self.node, address, tally))
                for address in to
            ]
        )

    def send_quota_message(self, to: str, message: QuotaMessage) -> None:
        """Send a message on quotas."""
        self._send(node.Send(to, node.quota_envelope(self.node, message)))

    # Versions

    def learn_deltas(self, blobs: Sequence[bytes], origin: Origin) -> bool:
        """Process deltas; return whether the known version advanced."""
        advanced, effects = node.learn_deltas(self.node, blobs, origin, _moment())
        self._execute(effects)
        return advanced

    def learn_catalogue(self, blob: bytes, origin: Origin) -> bool:
        """Process an encoded catalogue; return whether the known version advanced."""
        advanced, effects = node.learn_catalogue(self.node, blob, origin, _moment())
        self._execute(effects)
        return advanced

    def learn_version(self, version: int, bodies: Mapping[str, Any], origin: Origin) -> bool:
        """Process all items of a version from an external source.

        Return whether the known version advanced.
        """
        advanced, effects = node.learn_version(self.node, version, bodies, origin, _moment())
        self._execute(effects)
        return advanced

    def set_floor(self, floor: int, why: str) -> None:
        """Set the lowest version that may be applied; apply the known one unless it is lower."""
        log.info("floor determined", extra={"floor": floor, "why": why})
        self._execute(node.set_floor(self.node, floor, why, _moment()))

    def push(self) -> None:
        """Push the newest version to the whole fleet."""
        self._execute(node.push(self.node, _moment()))

    async def pull(self, source: str) -> None:
        """Fetch the versions after the known one from another daemon."""
        known = self.versions.catalogue.version
        try:
            answer = await self.send_request(source, frames.Pull(known), "pull")
            if isinstance(answer, frames.Deltas):
                self.learn_deltas(answer.blobs, Origin(ArrivalPath.PULL, source))
            elif isinstance(answer, frames.WholeCatalogue):
                self.learn_catalogue(answer.blob, Origin(ArrivalPath.SNAPSHOT, source))
        except LinkLost as error:
            log.info(
                "catalogue pull from another daemon failed",
                extra={"source": source, "error": str(error)},
            )
        self._execute(node.finish_pull(self.node, source, known, _moment(), self.rng))

    async def send_request(
        self,
        address: str,
        request: frames.Frame,
        kind: str,
        timeout: float = EXCHANGE_TIMEOUT_S,
    ) -> frames.Frame:
        """Send a request and return the answer; raise LinkLost if none arrives.

        `kind` is the label of the traffic counters, and `timeout` is in seconds.
        """
        result = await exchange(address, self.hello, request, self.record_fault, timeout)
        self.meter.sent(kind, result.bytes_out)
        self.meter.received(kind, result.bytes_in)
        return result.answer

    def answer_pull(self, version: int) -> frames.Frame | None:
        """Return the versions after the given one, or None if the transfer rate is exceeded."""
        blobs = versions.deltas_after(self.versions, version)
        known = self.versions.catalogue
        if self._encoded_catalogue[0] != known.version:
            self._encoded_catalogue = (known.version, versions.encode_catalogue(known))
        encoded = self._encoded_catalogue[1]
        if blobs is not None and sum(map(len, blobs)) <= len(encoded):
            return frames.Deltas(blobs)
        if not self._transfer_budget.try_consume(len(encoded), _moment().now):
            return None
        return frames.WholeCatalogue(encoded)

    # Membership

    def answer_view(self, member: Member) -> frames.Frame | None:
        """Add a joining daemon and return the view, or None if the transfer rate is exceeded."""
        moment = _moment()
        members = node.handle_join(self.node, member, moment)
        if not self._transfer_budget.try_consume(VIEW_RECORD_BYTES * len(members), moment.now):
            return None
        return frames.View(members)

    async def reconcile(self, address: str) -> bool:
        """Send this daemon's record and merge the received view; return whether one arrived."""
        request = frames.ViewRequest(self.view.me)
        try:
            answer = await self.send_request(address, request, "view")
        except LinkLost as error:
            log.info("membership view request failed", extra={"from": address, "error": str(error)})
            return False
        if not isinstance(answer, frames.View):
            return False
        membership.merge(self.view, answer.members, _moment().now, propagate=False)
        self._record_contact()
        self._log_view_changes(address)
        return True

    async def _reconcile_once(self, address: str) -> None:
        await self.reconcile(address)

    def add_discovered(self, discovered: Sequence[Member]) -> None:
        """Add members found in the directory, which have not been contacted yet."""
        membership.merge(self.view, discovered, _moment().now, propagate=False)
        self._log_view_changes("directory")

    def announce_everywhere(self) -> None:
        """Send this daemon's record to members of the whole fleet."""
        self._execute(node.announce(self.node, everywhere=True))

    def announce(self) -> None:
        """Send this daemon's record to members of its data centre."""
        self._execute(node.announce(self.node))

    def leave(self) -> None:
        """Notify members of the data centre that this daemon is leaving."""
        self._execute(node.leave(self.node, _moment(), self.rng))

    def update_me(self, **fields: object) -> None:
        """Change fields of this daemon's record and send it to some members immediately."""
        self._execute(node.update_own_record(self.node, _moment(), self.rng, **fields))


def _kind(message: node.Message) -> str:
    return type(message).__name__.lower()
