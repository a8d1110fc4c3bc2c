"""Control: carries membership and versions between daemons, over UDP and short TCP links."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable

from hornbeamgw.core import invariants, membership, spreading, versions
from hornbeamgw.core.catalogue import short_digest
from hornbeamgw.core.membership import (
    Ack,
    Indirect,
    Member,
    MembershipState,
    Probe,
    ServerState,
    Status,
)
from hornbeamgw.core.options import Settings, split_address
from hornbeamgw.core.snapshot import Snapshot
from hornbeamgw.core.spreading import HIGHEST, LOWEST, Have, PullState, Push, Scope
from hornbeamgw.core.versions import Learned, Origin, Path, VersionState
from hornbeamgw.daemon import codec, frames
from hornbeamgw.daemon.link import LinkLost, exchange
from hornbeamgw.daemon.meter import Bucket, Meter

log = logging.getLogger(__name__)

MAX_PUSHED_DELTA = 1200
EXCHANGE_TIMEOUT_S = 2.0
TRANSFER_RATE = 256 * 1024
TRANSFER_BURST = 1024 * 1024
URGENT_TARGETS = 4
PUSH_GRACE_S = 0.1
CHECKS_PER_PROBE = 5


class _Udp(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._on_datagram(data)


class Control:
    """Own the view of the fleet, the catalogue and the UDP socket."""

    def __init__(self, settings: Settings, me: Member, rng: random.Random) -> None:
        """Start with a view of oneself and no version."""
        self.settings = settings
        self.hello = frames.Hello(settings.fleet, me.address, me.incarnation)
        timing = membership.Timing(
            settings.membership_probe_interval,
            settings.membership_ack_timeout,
            settings.membership_suspicion,
        )
        self.view = MembershipState(me, timing)
        self.versions = VersionState()
        self.pulls = PullState()
        self.meter = Meter()
        self.rng = rng
        self.on_applied: list[Callable[[Snapshot], None]] = []
        self._fleet = codec.fleet_hash(settings.fleet)
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._transfers = Bucket(TRANSFER_RATE, TRANSFER_BURST)
        self._whole: tuple[int, bytes] = (-1, b"")
        self._pushed_by_address: dict[str, int] = {}

    async def start(self, address: str) -> None:
        """Bind the UDP socket and begin to probe; raise OSError."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Udp(self._on_datagram), local_addr=split_address(address)
        )
        self.spawn(self._probe_loop())

    def spawn(self, coroutine: object) -> None:
        """Run a task of this daemon until it ends; a failure is logged."""
        task: asyncio.Task[None] = asyncio.create_task(coroutine)  # type: ignore[arg-type]
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

    # Datagrams

    def send(self, to: str, message: codec.DatagramMessage) -> None:
        """Send a control message with one's version and some gossip."""
        if self._transport is None or self._transport.is_closing():
            return
        known = self.versions.catalogue
        datagram = codec.Datagram(
            self.view.me.address,
            known.version,
            short_digest(known.digest),
            self.view.view_hash,
            [] if isinstance(message, Push) else membership.gossip_for(self.view, to),
            message,
        )
        payload = codec.encode_datagram(self._fleet, datagram)
        self.meter.sent(_kind(message), len(payload))
        self._transport.sendto(payload, split_address(to))

    def _on_datagram(self, payload: bytes) -> None:
        try:
            datagram = codec.decode_datagram(self._fleet, payload)
        except codec.CodecError as error:
            self.fault(f"bad datagram: {error}")
            return
        now = asyncio.get_running_loop().time()
        self.meter.received(_kind(datagram.message), len(payload))
        membership.merge(self.view, datagram.gossip, now)
        self._note_sender(datagram.sender, datagram.version)
        if datagram.version >= self._pushed_by_address.get(datagram.sender, 1 << 62):
            del self._pushed_by_address[datagram.sender]
        self._check_digest(datagram)
        if membership.should_reconcile(self.view, datagram.view_hash, now):
            self.spawn(self.reconcile(datagram.sender))
        if isinstance(datagram.message, Push):
            self._on_push(datagram.sender, datagram.message)
        if isinstance(datagram.message, Probe | Ack | Indirect):
            out = membership.receive(self.view, datagram.sender, datagram.message, now)
            for outgoing in out:
                self.send(outgoing.to, outgoing.message)
        if datagram.version > self.versions.catalogue.version:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(1, 2) * PUSH_GRACE_S, self.want, datagram.version, datagram.sender
            )

    def _note_sender(self, sender: str, version: int) -> None:
        held = self.view.members_by_address.get(sender)
        if held is None or held.status >= Status.DEAD:
            self.spawn(self.reconcile(sender))
        membership.note_version(self.view, sender, version)

    def _check_digest(self, datagram: codec.Datagram) -> None:
        known = self.versions.catalogue
        if datagram.version == known.version:
            same = datagram.digest == short_digest(known.digest)
            if not invariants.check(invariants.ONE_CATALOGUE_PER_VERSION, same):
                log.error("two catalogues of one version", extra={"sender": datagram.sender})

    # Versions

    def learned(self, learned: Learned, origin: Origin) -> None:
        """Report what a message changed."""
        if learned.fault:
            log.warning("version not taken", extra={"fault": learned.fault, "origin": origin})
        rejected = self.versions.rejected_by_version.get(self.versions.catalogue.version)
        if learned.advanced and rejected:
            problems = [str(problem) for problem in rejected]
            log.error(
                "version rejected; the last one stays in force whole",
                extra={"version": self.versions.catalogue.version, "problems": problems},
            )
        if learned.applied is not None:
            membership.note_version(self.view, self.view.me.address, learned.applied.version)
            log.info(
                "version in force",
                extra={
                    "version": learned.applied.version,
                    "path": origin.path,
                    "sender": origin.sender,
                },
            )
            for callback in self.on_applied:
                callback(learned.applied)

    def learn_deltas(self, blobs: list[bytes], origin: Origin) -> bool:
        """Take deltas and return whether they were new."""
        learned = versions.learn_deltas(self.versions, blobs, origin, time.time())
        self.learned(learned, origin)
        return learned.advanced

    def learn_catalogue(self, blob: bytes, origin: Origin) -> bool:
        """Take a whole catalogue and return whether it was new."""
        learned = versions.learn_catalogue(self.versions, blob, origin, time.time())
        self.learned(learned, origin)
        return learned.advanced

    def set_floor(self, floor: int, why: str) -> None:
        """Record the floor, and apply what is known where it is high enough."""
        log.info("floor is sure", extra={"floor": floor, "why": why})
        learned = versions.set_floor(self.versions, floor, time.time())
        origin = Origin(Path.SNAPSHOT, why)
        self.learned(learned, origin)

    def push(self, scope: Scope = Scope.FLEET, low: str = LOWEST, high: str = HIGHEST) -> None:
        """Push the newest version to those that this daemon answers for."""
        version = self.versions.catalogue.version
        members = membership.reachable(self.view)
        for target in spreading.targets(self.view.me, members, version, scope, low, high):
            self._push_to(target, version, frozenset())

    def _push_to(self, target: spreading.Target, version: int, avoided: frozenset[str]) -> None:
        delta = self.versions.deltas_by_version.get(version, b"")
        carried = delta if len(delta) <= MAX_PUSHED_DELTA else b""
        push = Push(version, target.scope, target.low, target.high, carried)
        self.send(target.address, push)
        self._pushed_by_address[target.address] = version
        asyncio.get_running_loop().call_later(
            spreading.PUSH_ACK_TIMEOUT, self._check_push, target.address, push, avoided
        )

    def _check_push(self, address: str, push: Push, avoided: frozenset[str]) -> None:
        if self._pushed_by_address.get(address) != push.version:
            return
        del self._pushed_by_address[address]
        self.meter.faults["push without an answer"] += 1
        failed = self.view.members_by_address.get(address)
        avoided |= {address}
        if failed is None or len(avoided) > spreading.PUSH_ROUNDS:
            return
        members = membership.reachable(self.view)
        for target in spreading.retarget(self.view.me, members, failed, push, avoided):
            self._push_to(target, push.version, avoided)

    def _on_push(self, sender: str, push: Push) -> None:
        known = self.versions.catalogue.version
        if push.version <= known:
            self.meter.messages_in["duplicate_push"] += 1
            self.send(sender, Have())
            return
        origin = Origin(Path.PUSH, sender)
        if push.delta and push.version == known + 1 and self.learn_deltas([push.delta], origin):
            self.push(push.scope, push.low, push.high)
            self.send(sender, Have())
            return
        self.pulls.forward = push
        self.want(push.version, sender)

    def want(self, version: int, sender: str) -> None:
        """Pull from a sender that holds a higher version, unless a pull is under way."""
        now = asyncio.get_running_loop().time()
        known = self.versions.catalogue.version
        source = spreading.want(self.pulls, known, version, sender, now)
        if source is not None:
            self.spawn(self.pull(source))

    async def pull(self, source: str) -> None:
        """Fetch what follows the known version from another daemon."""
        loop = asyncio.get_running_loop()
        known = self.versions.catalogue.version
        advanced = False
        try:
            answer = await self.ask(source, frames.Pull(known), "pull")
            if isinstance(answer, frames.Deltas):
                advanced = self.learn_deltas(list(answer.blobs), Origin(Path.PULL, source))
            elif isinstance(answer, frames.WholeCatalogue):
                advanced = self.learn_catalogue(answer.blob, Origin(Path.SNAPSHOT, source))
        except LinkLost as error:
            log.info("pull failed", extra={"source": source, "error": str(error)})
        moved = advanced or self.versions.catalogue.version > known
        spreading.ended(self.pulls, moved, loop.time(), self.rng)
        if moved:
            self.send(source, Have())
        self._forward_pulled()

    def _forward_pulled(self) -> None:
        forward = self.pulls.forward
        if forward is not None and self.versions.catalogue.version >= forward.version:
            self.pulls.forward = None
            self.push(forward.scope, forward.low, forward.high)

    async def ask(self, address: str, request: frames.Frame, kind: str) -> frames.Frame:
        """Ask another daemon one question; raise LinkLost."""
        done = await exchange(address, self.hello, request, self.fault, EXCHANGE_TIMEOUT_S)
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
        if not self._transfers.take(len(whole), asyncio.get_running_loop().time()):
            return None
        return frames.WholeCatalogue(whole)

    # Membership

    async def _probe_loop(self) -> None:
        loop = asyncio.get_running_loop()
        interval = self.view.timing.probe_interval
        await asyncio.sleep(self.rng.uniform(0, interval))
        while True:
            for outgoing in membership.tick(self.view, loop.time(), self.rng):
                self.send(outgoing.to, outgoing.message)
            for _ in range(CHECKS_PER_PROBE):
                await asyncio.sleep(interval / CHECKS_PER_PROBE)
                for outgoing in membership.check(self.view, loop.time(), self.rng):
                    self.send(outgoing.to, outgoing.message)

    def answer_view(self, member: Member) -> frames.Frame | None:
        """Take the record of a daemon that joins and return the view, or None over the rate."""
        now = asyncio.get_running_loop().time()
        membership.merge(self.view, [member], now)
        members = list(self.view.members_by_address.values())
        if not self._transfers.take(100 * len(members), now):
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
        membership.merge(self.view, answer.members, asyncio.get_running_loop().time())
        return True

    def leave(self) -> None:
        """Tell the whole data centre that this daemon is gone, so that nobody relays by it."""
        self.update_me(status=Status.LEFT, server_state=ServerState.NONE)
        for member in membership.reachable(self.view):
            if member.data_centre == self.view.me.data_centre:
                self.send(member.address, Have())

    def update_me(self, **fields: object) -> None:
        """Change one's own record and tell some members at once."""
        membership.update_me(self.view, asyncio.get_running_loop().time(), **fields)
        others = [m.address for m in membership.reachable(self.view)]
        others = sorted(a for a in others if a != self.view.me.address)
        for address in self.rng.sample(others, min(URGENT_TARGETS, len(others))):
            self.send(address, Have())


def _kind(message: codec.DatagramMessage) -> str:
    return type(message).__name__.lower()
