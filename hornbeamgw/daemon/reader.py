"""Reads of the platform: follow new versions, and determine the floor.

The floor is the lowest catalogue version that a daemon may apply after its start.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.core import backoff, floor, membership, versions
from hornbeamgw.core.floor import FloorAnswer
from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.rendezvous import (
    MIN_READERS_PER_DATA_CENTRE,
    MIN_TOTAL_READERS,
    all_readers,
    is_pusher,
    is_reader,
    select_members,
)
from hornbeamgw.core.rollout import LEADER_COUNT
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.control import Control
from hornbeamgw.daemon.directory import Directory
from hornbeamgw.daemon.link import LinkLost
from hornbeamgw.daemon.sources import Source, SourceHead

log = logging.getLogger(__name__)

MIN_READ_INTERVAL_S = 0.2
# A few readers use the short watch timeout, so that a broken connection to the store is detected
# before a version is due, 2 s after it was written. The other readers use the long one, which
# reduces the number of calls to the store; a change ends all watches immediately.
WATCH_TIMEOUT_S = 1.5
LONG_WATCH_TIMEOUT_S = 6.0
SHORT_WATCH_READERS = 3
READER_CHECK_INTERVAL_S = 0.25
# Each daemon sends and receives about one probe per second. A daemon that has received no message
# for this time may be partitioned from its readers, so it reads the platform itself.
MAX_SILENCE_S = 1.2
# Time after which a reader pushes a version itself because the push of another reader has not
# arrived. A push reaches 950 daemons in six hops of about 30 ms.
PUSH_TIMEOUT_S = 0.4
POLL_BACKOFF_S = 0.05
# Low enough that reads resume within a second once the store is available again.
POLL_BACKOFF_MAX_S = 0.8
# Readers with the long watch timeout may retry later, since the others notice first that the store
# is available again and push what they read.
SLOW_POLL_BACKOFF_MAX_S = 3.2
FLOOR_BACKOFF_S = 0.25
FLOOR_CHECK_INTERVAL_S = 0.02
FLOOR_BACKOFF_MAX_S = 4.0
# A daemon that is not a reader reads the platform itself at every third attempt to find the floor.
ATTEMPTS_PER_OWN_READ = 3
RECONCILE_INTERVAL_S = 300.0
MAX_JOIN_ATTEMPTS = 3
MAX_FLOOR_PEERS = 5
# Maximum time to wait for the fleet's membership view. Daemons that have ended don't answer.
VIEW_TIMEOUT_S = 0.5
# Used instead if the directory had no rows: after a restore, daemons write their rows again.
EMPTY_DIRECTORY_VIEW_TIMEOUT_S = 2.0
FLOOR_REQUEST_TIMEOUT_S = 0.4


def _awaited_version(control: Control) -> str:
    """Describe the version that an unready daemon waits for; return "" if it is ready."""
    state = control.versions
    if versions.is_ready(state):
        return ""
    if state.rejected_by_version:
        return "a version that is not rejected"
    return "a first version of the catalogue"


def _floor_answer(answer: object) -> FloorAnswer | None:
    if not isinstance(answer, frames.Floor):
        return None
    return FloorAnswer(answer.version, answer.confirmed)


class Reader:
    """The reads of the platform by one daemon."""

    def __init__(
        self, control: Control, source: Source, rng: random.Random, directory: Directory | None
    ) -> None:
        """Create a reader of `source`; without a directory, the daemon joins through seeds."""
        self.waiting_for = "start"
        self.errors = 0
        self.head: SourceHead | None = None
        self._control = control
        self._source = source
        self.directory = directory
        self._rng = rng
        self._is_unreachable = False
        self._next_read: asyncio.Task[SourceHead] | None = None
        self._has_read_started = False
        self._last_read_at = -1e9
        self._join_attempted = asyncio.Event()
        self._floor_attempts = 0
        self.needs_short_watch: Callable[[], bool] = lambda: False

    @property
    def reads(self) -> int:
        """Number of reads of the platform."""
        return self._source.reads

    async def fresh_head(self) -> SourceHead:
        """Return the head from a read that starts after this call; raise PlatformError.

        Concurrent calls share a read, so many callers cause only a few reads per second.
        """
        if self._next_read is None or self._has_read_started or self._next_read.done():
            self._has_read_started = False
            self._next_read = asyncio.create_task(self._read_rate_limited())
        return await asyncio.shield(self._next_read)

    async def _read_rate_limited(self) -> SourceHead:
        loop = asyncio.get_running_loop()
        wait = self._last_read_at + MIN_READ_INTERVAL_S - loop.time()
        if wait > 0:
            await asyncio.sleep(wait)
        self._has_read_started = True
        self._last_read_at = loop.time()
        try:
            self.head = await self._source.read_head()
        except PlatformError:
            self.errors += 1
            raise
        return self.head

    async def catch_up(self, head: SourceHead) -> bool:
        """Fetch the missing versions up to a head; return whether any was new.

        Raise PlatformError if the platform is unavailable.
        """
        return await self._source.catch_up(head)

    async def poll_loop(self) -> None:
        """Follow the source while this daemon is a reader of its data centre.

        Polling starts after the first attempts to join the fleet and to find the floor. Before, a
        daemon would consider itself the only reader and read what other readers push anyway.
        """
        await self._join_attempted.wait()
        while self._floor_attempts == 0 and self._control.versions.floor is None:
            await asyncio.sleep(FLOOR_CHECK_INTERVAL_S)
        failures = 0
        while True:
            if not self._should_read():
                await asyncio.sleep(self._rng.uniform(0.8, 1.2) * READER_CHECK_INTERVAL_S)
                continue
            try:
                era = self._control.node.era
                head = await self._source.wait_for_change(
                    WATCH_TIMEOUT_S if self._uses_short_watch() else LONG_WATCH_TIMEOUT_S
                )
                if era is not None and self._control.node.era != era:
                    self._announce_era()
                if head is None and not self._should_read():
                    continue
                # A version that was read is applied even if this daemon is no longer a reader: the
                # source has advanced its position and will not return the version again.
                if await self.catch_up(head or await self.fresh_head()):
                    self._control.spawn(self._push())
                failures = 0
                self._record_success()
            except PlatformError as error:
                failures += 1
                self._record_failure(error)
                await self._back_off(failures)
            except Exception:
                failures += 1
                log.exception("unexpected error while following the source; retrying")
                await self._back_off(failures)

    async def _back_off(self, failures: int) -> None:
        limit = POLL_BACKOFF_MAX_S if self._uses_short_watch() else SLOW_POLL_BACKOFF_MAX_S
        ceiling = backoff.ceiling(POLL_BACKOFF_S, limit, failures)
        await asyncio.sleep(self._rng.uniform(ceiling / 2, ceiling))

    def _min_total_readers(self) -> int:
        return MIN_TOTAL_READERS if self._source.head_includes_catalogue else 0

    def _alive_members(self) -> list[Member]:
        """Return the alive members; a reader that is suspected is replaced by another member."""
        members = self._control.view.members_by_address.values()
        return [member for member in members if member.status is Status.ALIVE]

    def _announce_era(self) -> None:
        """Announce a new era to all daemons, if this daemon is selected for it."""
        members, era = self._alive_members(), self._control.node.era or 0
        if is_pusher(self._control.view.me, members, era, self._min_total_readers()):
            self._control.announce_everywhere()

    def _uses_short_watch(self) -> bool:
        """Return whether this daemon watches the store with the short timeout."""
        readers = select_members(
            "watch",
            all_readers(self._alive_members(), self._min_total_readers()),
            SHORT_WATCH_READERS,
        )
        is_selected = any(reader.address == self._control.view.me.address for reader in readers)
        return is_selected or self.needs_short_watch()

    def leaders(self, service: str) -> list[Member]:
        """Return the readers that lead a rollout of a service, in order of rank."""
        readers = all_readers(self._alive_members(), self._min_total_readers())
        return select_members(f"rollout {service}", readers, LEADER_COUNT)

    def rank(self, service: str) -> int | None:
        """Return the rank of this daemon among the leaders of a rollout, or None."""
        me = self._control.view.me.address
        addresses = [leader.address for leader in self.leaders(service)]
        return addresses.index(me) if me in addresses else None

    async def _push(self) -> None:
        """Push the version that was read, unless another reader pushes it first."""
        members, me = self._alive_members(), self._control.view.me
        version = self._control.versions.catalogue.version
        if self._source.head_includes_catalogue and not is_pusher(
            me, members, version, self._min_total_readers()
        ):
            await asyncio.sleep(PUSH_TIMEOUT_S)
            if self._control.node.highest_pushed_version >= version:
                return
        self._control.push()

    def _should_read(self) -> bool:
        silence_s = asyncio.get_running_loop().time() - self._control.last_contact_at
        if self._control.node.spreading_policy.all_daemons_read or silence_s > MAX_SILENCE_S:
            return True
        return is_reader(self._control.view.me, self._alive_members(), self._min_total_readers())

    def _record_failure(self, error: PlatformError) -> None:
        if not self._is_unreachable:
            log.warning("platform unavailable; retrying", extra={"error": str(error)})
        self._is_unreachable = True

    def _record_success(self) -> None:
        if self._is_unreachable:
            log.info("platform available again")
        self._is_unreachable = False

    async def answer_floor(self, address: str) -> frames.Floor:
        """Return the floor for the daemon at an address, confirmed if the platform is available."""
        if self._source.head_includes_catalogue and versions.is_ready(self._control.versions):
            return frames.Floor(self._control.versions.catalogue.version, False)
        try:
            head = await self.fresh_head()
            return frames.Floor(head.version, True)
        except PlatformError:
            return frames.Floor(self._reported_version(address), False)

    def _reported_version(self, address: str) -> int:
        state = self._control.versions
        member = self._control.view.members_by_address.get(address)
        reported = member.version if member is not None else 0
        return max(reported, state.catalogue.version) if versions.is_ready(state) else 0

    async def floor_loop(self) -> None:
        """Determine the floor and catch up with it, with exponential backoff and full jitter."""
        await self._join_attempted.wait()
        failures = 0
        while not self._is_caught_up():
            if failures:
                ceiling = backoff.ceiling(FLOOR_BACKOFF_S, FLOOR_BACKOFF_MAX_S, failures)
                await asyncio.sleep(self._rng.uniform(0, ceiling))
            failures += 1
            if self._control.versions.floor is None:
                await self._find_floor(failures)
            self._floor_attempts = failures
            if self._control.versions.floor is not None:
                await self._catch_up_with_floor()
        self.waiting_for = ""

    def _is_caught_up(self) -> bool:
        state = self._control.versions
        return state.floor is not None and state.catalogue.version >= state.floor

    async def join_loop(self) -> None:
        """Join through the directory or a seed, and reconcile views with seeds periodically.

        Reconciliation heals partitions after which gossip does not resume.
        """
        if self.directory is not None:
            self._control.spawn(self.directory.run())
            await self.directory.joined.wait()
            self._join_attempted.set()
            return
        seeds = [a for a in self._control.settings.seeds if a != self._control.view.me.address]
        failures = 0
        if not seeds:
            self._join_attempted.set()
        while seeds:
            joined = await self._control.reconcile(self._rng.choice(seeds))
            failures = 0 if joined else failures + 1
            if joined:
                self._control.announce()
            if joined or failures >= MAX_JOIN_ATTEMPTS:
                self._join_attempted.set()
            ceiling = backoff.ceiling(FLOOR_BACKOFF_S, FLOOR_BACKOFF_MAX_S, failures)
            wait = RECONCILE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(wait if joined else self._rng.uniform(0, ceiling))

    def _peers(self) -> list[Member]:
        me = self._control.view.me
        return [m for m in membership.reachable(self._control.view) if m.address != me.address]

    def _local_peers(self) -> list[Member]:
        own = self._control.view.me.data_centre
        return [m for m in self._peers() if m.data_centre == own]

    async def _find_floor(self, attempt: int) -> None:
        me = self._control.view.me
        local = self._local_peers()
        if self._source.head_includes_catalogue:
            if not await self._floor_from_platform():
                await self._floor_from_sampled_peers(self._peers())
            return
        readers = select_members("reader", [*local, me], MIN_READERS_PER_DATA_CENTRE)
        others = [m for m in readers if m.address != me.address]
        if me in readers or not others or attempt % ATTEMPTS_PER_OWN_READ == 0:
            if await self._floor_from_platform():
                return
        elif await self._floor_from_reader(self._rng.choice(others)):
            return
        await self._floor_from_peers(local)

    async def _floor_from_platform(self) -> bool:
        try:
            head = await self.fresh_head()
        except PlatformError as error:
            self._set_waiting_for(f"the platform ({error})")
            return False
        if not self._source.head_includes_catalogue:
            self._control.set_floor(head.version, "read from the platform")
            return True
        await self._pull_newer_than(head)
        floor = max(head.version, self._control.versions.catalogue.version)
        self._control.set_floor(floor, "read from the platform")
        await self.catch_up(head)
        return True

    async def _pull_newer_than(self, head: SourceHead) -> None:
        """Pull a version that peers have but that a store restored from a backup has lost."""
        if self._control.node.era and self.directory is not None:
            view_received = asyncio.create_task(self.directory.view_received.wait())
            is_empty = self.directory.is_empty
            await asyncio.wait(
                [view_received],
                timeout=EMPTY_DIRECTORY_VIEW_TIMEOUT_S if is_empty else VIEW_TIMEOUT_S,
            )
            view_received.cancel()
        newer = [m for m in self._peers() if m.status is Status.ALIVE and m.version > head.version]
        if newer:
            holder = max(newer, key=lambda member: member.version)
            log.warning(
                "platform store is older than a peer's version; pulling from the peer",
                extra={"read": head.version, "held": holder.version, "peer": holder.address},
            )
            await self._control.pull(holder.address)

    async def _floor_from_reader(self, reader: Member) -> bool:
        request = frames.FloorRequest(self._control.view.me.address)
        try:
            answer = await self._control.send_request(reader.address, request, "floor")
        except LinkLost as error:
            self._set_waiting_for(f"the reader {reader.address} ({error})")
            return False
        if not isinstance(answer, frames.Floor) or not answer.confirmed:
            self._set_waiting_for(f"the platform (as {reader.address} says)")
            return False
        self._control.set_floor(answer.version, f"confirmed by reader {reader.address}")
        return True

    async def _floor_from_sampled_peers(self, peers: list[Member]) -> None:
        """Set the floor to the newest version of a sample of peers.

        Used if an external source is unavailable. A daemon must not revert to a version older
        than one that it has applied. A daemon that has just started has applied none, and connected
        peers are at most a few seconds behind.
        """
        sampled = self._rng.sample(peers, min(MAX_FLOOR_PEERS, len(peers)))
        request = frames.FloorRequest(self._control.view.me.address)
        answers = await asyncio.gather(
            *(
                self._control.send_request(m.address, request, "floor", FLOOR_REQUEST_TIMEOUT_S)
                for m in sampled
            ),
            return_exceptions=True,
        )
        answered = [(_floor_answer(a), m) for a, m in zip(answers, sampled, strict=True)]
        candidates = [(a.version, m) for a, m in answered if a is not None and a.version > 0]
        if not candidates:
            self._set_waiting_for("a peer that holds a version, or the platform")
            return
        version, holder = max(candidates)
        self._control.set_floor(version, f"held by peer {holder.address}")
        await self._control.pull(holder.address)

    async def _floor_from_peers(self, local: list[Member]) -> None:
        """Determine the floor from the data centre's peers if the platform is unavailable."""
        if self._control.versions.floor is not None or not local:
            return
        request = frames.FloorRequest(self._control.view.me.address)
        requests = [self._control.send_request(m.address, request, "floor") for m in local]
        answers = await asyncio.gather(*requests, return_exceptions=True)
        answers_by_peer = {
            member.address: _floor_answer(answer)
            for member, answer in zip(local, answers, strict=True)
        }
        alive = frozenset(m.address for m in local if m.status is Status.ALIVE)
        decision = floor.decide(answers_by_peer, alive)
        if decision.floor is None:
            self._set_waiting_for(decision.waits_for)
        else:
            self._control.set_floor(decision.floor, f"agreed by {len(local)} peers")

    def _set_waiting_for(self, reason: str) -> None:
        if reason != self.waiting_for:
            log.warning("daemon is not ready; waiting", extra={"waiting_for": reason})
        self.waiting_for = reason

    async def _catch_up_with_floor(self) -> None:
        state = self._control.versions
        peers = [m for m in self._local_peers() or self._peers() if m.version > 0]
        if peers:
            await self._control.pull(self._rng.choice(peers).address)
        if state.catalogue.version < (state.floor or 0):
            try:
                await self.catch_up(await self.fresh_head())
            except PlatformError as error:
                self._set_waiting_for(f"version {state.floor} from peers or the platform ({error})")

    def describe(self) -> dict[str, Any]:
        """Return what this daemon waits for, whether it is a reader, and its read counts."""
        return {
            "waiting_for": self.waiting_for or _awaited_version(self._control),
            "is_reader": is_reader(
                self._control.view.me, self._alive_members(), self._min_total_readers()
            ),
            "platform_reads": self.reads,
            "platform_errors": self.errors,
        }
