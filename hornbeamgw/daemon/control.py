"""Control: carries what a node decides, over UDP and short TCP links."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any

from hornbeamgw.core import membership, node, versions
from hornbeamgw.core.membership import Member, MembershipState
from hornbeamgw.core.node import Effect, Moment, Node
from hornbeamgw.core.options import Settings, split_address
from hornbeamgw.core.snapshot import Snapshot
from hornbeamgw.core.tally import Tally
from hornbeamgw.core.versions import ArrivalPath, Origin, VersionState
from hornbeamgw.daemon import codec, datagrams, frames
from hornbeamgw.daemon.link import LinkLost, exchange
from hornbeamgw.daemon.meter import Bucket, Meter

log = logging.getLogger(__name__)

EXCHANGE_TIMEOUT_S = 2.0
TRANSFER_RATE = 256 * 1024
TRANSFER_BURST = 1024 * 1024
VIEW_RECORD_BYTES = 160
CHECKS_PER_PROBE = 5


class _Udp(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._on_datagram(data)


def _moment() -> Moment:
    return Moment(asyncio.get_running_loop().time(), time.time())


class Control:
    """Own the node and the UDP socket."""

    def __init__(self, settings: Settings, me: Member, rng: random.Random) -> None:
        """Start with a view of oneself and no version."""
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
        self.on_news: list[Callable[[Member], None]] = []
        self.on_era: list[Callable[[int], None]] = []
        self.on_tally: list[Callable[[str, Tally], None]] = []
        self.has_heard_others = False
        self.heard_at = 0.0  # when another daemon was heard of last, by the loop's clock
        self._fleet = datagrams.fleet_hash(settings.fleet)
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._transfers = Bucket(TRANSFER_RATE, TRANSFER_BURST)
        self._whole: tuple[int, bytes] = (-1, b"")

    @property
    def view(self) -> MembershipState:
        """Return the view of the fleet."""
        return self.node.view

    @property
    def versions(self) -> VersionState:
        """Return what is known of the catalogue."""
        return self.node.versions

    async def start(self, address: str) -> None:
        """Bind the UDP socket and begin to probe; raise OSError."""
        loop = asyncio.get_running_loop()
        self.heard_at = loop.time()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Udp(self._on_datagram), local_addr=split_address(address)
        )
        self.spawn(self._probe_loop())

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a task of this daemon until it ends; a failure is logged."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception())

    def stop(self) -> None:
        """End every task and close the socket."""
        for task in list(self._tasks):
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def fault(self, what: str) -> None:
        """Count and log what another side did wrong."""
        self.meter.faults[what.partition(":")[0]] += 1
        log.warning("fault on a link", extra={"fault": what})

    # Effects

    def _carry(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, node.Send):
                self._send(effect)
            elif isinstance(effect, node.StartPull):
                self.spawn(self.pull(effect.source))
            elif isinstance(effect, node.StartReconcile):
                self.spawn(self._reconcile_once(effect.address))
            elif isinstance(effect, node.WakeAt):
                asyncio.get_running_loop().call_at(effect.at, self._check)
            else:
                self._note(effect)
        self._log_changes()
        self._tell_news()

    def _tell_news(self) -> None:
        while self.view.pending_reports:
            member = self.view.pending_reports.popleft()
            for callback in self.on_news:
                callback(member)

    def _log_view(self, source: str) -> None:
        """Tell in one line what a whole view brought: joining a fleet changes all of it."""
        changes = list(self.view.changes)
        self.view.changes.clear()
        if changes:
            statuses = Counter(change.after.status.name for change in changes)
            told = {"source": source, "changed": len(changes), **statuses}
            log.info("view taken", extra={**told, "members": len(self.view.members_by_address)})
        self._tell_news()

    def _log_changes(self) -> None:
        """Tell what is newly believed of other daemons and the servers beside them."""
        while self.view.changes:
            before, after = self.view.changes.popleft()
            if after.address == self.view.me.address:
                continue
            told = {"member": after.address, "service": after.service, "slots": after.slots}
            told |= {"status": after.status.name, "server": after.server_state.name}
            told |= {"incarnation": after.incarnation, "sequence": after.sequence}
            told["before"] = before.status.name if before is not None else ""
            log.info("member changed", extra=told)

    def _note(self, effect: Effect) -> None:
        if isinstance(effect, node.CatalogueUpdate):
            self._report(effect)
        elif isinstance(effect, node.DuplicatePush):
            self.meter.messages_in["duplicate_push"] += 1
        elif isinstance(effect, node.UnansweredPush):
            self.meter.faults["push without an answer"] += 1
        elif isinstance(effect, node.EraStarted):
            log.warning("the platform's store has begun a new era", extra={"era": effect.era})
            for on_era in self.on_era:
                on_era(effect.era)
        elif isinstance(effect, node.TallyReceived):
            for callback in self.on_tally:
                callback(effect.sender, effect.tally)
        elif isinstance(effect, node.CatalogueMismatch):
            log.error("two catalogues of one version", extra={"sender": effect.sender})

    def _send(self, effect: node.Send) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        payload = datagrams.encode_datagram(self._fleet, effect.envelope)
        self.meter.sent(_kind(effect.envelope.message), len(payload))
        self._transport.sendto(payload, split_address(effect.to))

    def _report(self, report: node.CatalogueUpdate) -> None:
        learned, origin = report
        if learned.failure:
            log.warning("version not taken", extra={"fault": learned.failure, "origin": origin})
        version = self.versions.catalogue.version
        rejected = self.versions.rejected_by_version.get(version)
        if learned.advanced and rejected:
            problems = [str(problem) for problem in rejected]
            log.error(
                "version rejected; the last one stays in force whole",
                extra={"version": version, "problems": problems},
            )
        if learned.applied is None:
            return
        arrival = self.versions.arrivals_by_version.get(learned.applied.version)
        log.info(
            "version in force",
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
            received = datagrams.decode_datagram(self._fleet, payload, self._is_news)
        except codec.CodecError as error:
            self.fault(f"bad datagram: {error}")
            return
        self._note_heard()
        self.meter.received(_kind(received.message), len(payload))
        self._carry(node.receive(self.node, received, _moment(), self.rng))

    def _is_news(self, address: str, order: tuple[int, int, int]) -> bool:
        return membership.is_newer(self.view, address, order)

    def _note_heard(self) -> None:
        self.has_heard_others = True
        self.heard_at = asyncio.get_running_loop().time()

    def _check(self) -> None:
        self._carry(node.check(self.node, _moment(), self.rng))

    async def _probe_loop(self) -> None:
        interval = self.view.timing.probe_interval
        await asyncio.sleep(self.rng.uniform(0, interval))
        while True:
            self._carry(node.tick(self.node, _moment(), self.rng))
            for _ in range(CHECKS_PER_PROBE):
                await asyncio.sleep(interval / CHECKS_PER_PROBE)
                self._check()

    def note_era(self, era: int) -> None:
        """Take the era of the platform's store, as it was read."""
        self._carry(node.note_era(self.node, era))

    def send_tally(self, to: Sequence[str], tally: Tally) -> None:
        """Tell those who lead a rollout what was counted at a server."""
        self._carry(
            [
                node.Send(address, node.envelope_without_gossip(self.node, address, tally))
                for address in to
            ]
        )

    # Versions

    def learn_deltas(self, blobs: Sequence[bytes], origin: Origin) -> bool:
        """Take deltas and return whether they were new."""
        advanced, effects = node.learn_deltas(self.node, blobs, origin, _moment())
        self._carry(effects)
        return advanced

    def learn_catalogue(self, blob: bytes, origin: Origin) -> bool:
        """Take a whole catalogue and return whether it was new."""
        advanced, effects = node.learn_catalogue(self.node, blob, origin, _moment())
        self._carry(effects)
        return advanced

    def learn_whole(self, version: int, bodies: Mapping[str, Any], origin: Origin) -> bool:
        """Take a whole version of an outside source and return whether it was new."""
        advanced, effects = node.learn_version(self.node, version, bodies, origin, _moment())
        self._carry(effects)
        return advanced

    def set_floor(self, floor: int, why: str) -> None:
        """Record the floor, and apply what is known where it is high enough."""
        log.info("floor is sure", extra={"floor": floor, "why": why})
        self._carry(node.set_floor(self.node, floor, why, _moment()))

    def push(self) -> None:
        """Push the newest version to the whole fleet."""
        self._carry(node.push(self.node, _moment()))

    async def pull(self, source: str) -> None:
        """Fetch what follows the known version from another daemon."""
        known = self.versions.catalogue.version
        try:
            answer = await self.ask(source, frames.Pull(known), "pull")
            if isinstance(answer, frames.Deltas):
                self.learn_deltas(answer.blobs, Origin(ArrivalPath.PULL, source))
            elif isinstance(answer, frames.WholeCatalogue):
                self.learn_catalogue(answer.blob, Origin(ArrivalPath.SNAPSHOT, source))
        except LinkLost as error:
            log.info("pull failed", extra={"source": source, "error": str(error)})
        self._carry(node.finish_pull(self.node, source, known, _moment(), self.rng))

    async def ask(
        self,
        address: str,
        request: frames.Frame,
        kind: str,
        timeout: float = EXCHANGE_TIMEOUT_S,
    ) -> frames.Frame:
        """Ask another daemon one question within a time (s); raise LinkLost."""
        done = await exchange(address, self.hello, request, self.fault, timeout)
        self.meter.sent(kind, done.bytes_out)
        self.meter.received(kind, done.bytes_in)
        return done.answer

    def answer_pull(self, version: int) -> frames.Frame | None:
        """Return what follows a version, or None where transfers are over their rate."""
        blobs = versions.deltas_after(self.versions, version)
        known = self.versions.catalogue
        if self._whole[0] != known.version:
            self._whole = (known.version, versions.encode_catalogue(known))
        whole = self._whole[1]
        if blobs is not None and sum(map(len, blobs)) <= len(whole):
            return frames.Deltas(blobs)
        if not self._transfers.take(len(whole), _moment().now):
            return None
        return frames.WholeCatalogue(whole)

    # Membership

    def answer_view(self, member: Member) -> frames.Frame | None:
        """Take the record of a daemon that joins and return the view, or None over the rate."""
        moment = _moment()
        members = node.handle_join(self.node, member, moment)
        if not self._transfers.take(VIEW_RECORD_BYTES * len(members), moment.now):
            return None
        return frames.View(members)

    async def reconcile(self, address: str) -> bool:
        """Exchange views with a daemon and return whether it answered."""
        request = frames.ViewRequest(self.view.me)
        try:
            answer = await self.ask(address, request, "view")
        except LinkLost as error:
            log.info("no view", extra={"from": address, "error": str(error)})
            return False
        if not isinstance(answer, frames.View):
            return False
        membership.merge(self.view, answer.members, _moment().now, propagate=False)
        self._note_heard()
        self._log_view(address)
        return True

    async def _reconcile_once(self, address: str) -> None:
        await self.reconcile(address)

    def meet(self, found: Sequence[Member]) -> None:
        """Take the records of daemons that were found, as ones that have yet to answer."""
        membership.merge(self.view, found, _moment().now, propagate=False)
        self._log_view("directory")

    def announce_everywhere(self) -> None:
        """Tell every daemon known that this one has joined."""
        self._carry(node.announce(self.node, everywhere=True))

    def announce(self) -> None:
        """Tell the data centre that this daemon has joined."""
        self._carry(node.announce(self.node))

    def leave(self) -> None:
        """Tell the data centre that this daemon is gone."""
        self._carry(node.leave(self.node, _moment(), self.rng))

    def update_me(self, **fields: object) -> None:
        """Change one's own record and tell some members at once."""
        self._carry(node.update_own_record(self.node, _moment(), self.rng, **fields))


def _kind(message: node.Message) -> str:
    return type(message).__name__.lower()
