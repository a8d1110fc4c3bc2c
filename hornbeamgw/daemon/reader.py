"""Reader: reads the platform's head, for the data centre and to learn the floor."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.core import floor, membership, versions
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

READ_SPACING_S = 0.2
# A watch ends soon enough that a silent connection to the store is noticed before a version that
# came meanwhile is due (2 s). Some readers see to that for all; a change ends every watch at once,
# so the others' may be long, and a store that counts its calls is asked less.
WATCH_WAIT_S = 1.5
LONG_WATCH_WAIT_S = 6.0
CLOSE_WATCHERS = 3
READER_CHECK_EVERY_S = 0.25
# A daemon sends a probe and is sent one each second, and their answers; one that hears nothing for
# so long may be cut off from its readers while the platform still answers it.
UNHEARD_S = 1.2
# A push reaches 950 daemons in six hops of some 30 ms; a reader that has heard of none by then
# takes those that should have pushed for dead or cut off.
PUSH_AWAITED_S = 0.4
POLL_BACKOFF_S = 0.05
POLL_BACKOFF_MAX_S = 0.8  # a store that is back is read again well within a second
LONG_POLL_BACKOFF_MAX_S = 3.2  # by those who do not watch closely
FLOOR_BACKOFF_S = 0.25
FLOOR_AWAITED_S = 0.02
FLOOR_BACKOFF_MAX_S = 4.0
OWN_READ_EVERY = 3
RECONCILE_EVERY_S = 300.0
JOIN_TRIES = 3
PEERS_TO_ASK = 5
# A view of the fleet takes some ms; daemons that are gone may not answer at all.
MET_AWAITED_S = 0.5
ROWS_AWAITED_S = 2.0  # where none had a row, since a store that lost them gets them again
FLOOR_ASK_S = 0.4  # an answer takes a few ms where the store refuses at once


def _unready_reason(control: Control) -> str:
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
    """Own this daemon's reads of the platform."""

    def __init__(
        self, control: Control, source: Source, rng: random.Random, directory: Directory | None
    ) -> None:
        """Take the control to feed, the source to read and the way to join, if it isn't seeds."""
        self.waiting_for = "start"
        self.errors = 0
        self.head: SourceHead | None = None
        self._control = control
        self._source = source
        self.directory = directory
        self._rng = rng
        self._is_lost = False
        self._next_read: asyncio.Task[SourceHead] | None = None
        self._read_begun = False
        self._last_read_at = -1e9
        self._join_tried = asyncio.Event()
        self._floor_tries = 0
        self.watches_closely: Callable[[], bool] = lambda: False

    @property
    def reads(self) -> int:
        """Return how often the platform was read."""
        return self._source.reads

    async def fresh_head(self) -> SourceHead:
        """Return the head by a read begun after this call; raise PlatformError.

        Calls that wait for the same read share it, so a herd costs a few reads a second.
        """
        if self._next_read is None or self._read_begun or self._next_read.done():
            self._read_begun = False
            self._next_read = asyncio.create_task(self._spaced_read())
        return await asyncio.shield(self._next_read)

    async def _spaced_read(self) -> SourceHead:
        loop = asyncio.get_running_loop()
        wait = self._last_read_at + READ_SPACING_S - loop.time()
        if wait > 0:
            await asyncio.sleep(wait)
        self._read_begun = True
        self._last_read_at = loop.time()
        try:
            self.head = await self._source.read_head()
        except PlatformError:
            self.errors += 1
            raise
        return self.head

    async def catch_up(self, head: SourceHead) -> bool:
        """Fetch what is missing up to a head; raise PlatformError."""
        return await self._source.catch_up(head)

    async def poll_loop(self) -> None:
        """Follow the source while this daemon is a reader of its data centre.

        Not before the fleet is known and the floor has been looked for: a daemon that takes itself
        for alone would read what the readers of its data centre bring anyway.
        """
        await self._join_tried.wait()
        while self._floor_tries == 0 and self._control.versions.floor is None:
            await asyncio.sleep(FLOOR_AWAITED_S)
        failures = 0
        while True:
            if not self._reads_now():
                await asyncio.sleep(self._rng.uniform(0.8, 1.2) * READER_CHECK_EVERY_S)
                continue
            try:
                era = self._control.node.era
                head = await self._source.wait_change(
                    WATCH_WAIT_S if self._is_close() else LONG_WATCH_WAIT_S
                )
                if era is not None and self._control.node.era != era:
                    self._tell_era()
                if head is None and not self._reads_now():
                    continue
                # A version that was read is taken also where another reads by now: the source has
                # moved past it and will not tell of it again.
                if await self.catch_up(head or await self.fresh_head()):
                    self._control.spawn(self._push())
                failures = 0
                self._note_reached()
            except PlatformError as error:
                failures += 1
                self._note_lost(error)
                longest = POLL_BACKOFF_MAX_S if self._is_close() else LONG_POLL_BACKOFF_MAX_S
                ceiling = min(longest, POLL_BACKOFF_S * 2**failures)
                await asyncio.sleep(self._rng.uniform(ceiling / 2, ceiling))

    def _in_all(self) -> int:
        return MIN_TOTAL_READERS if self._source.is_whole else 0

    def _living(self) -> list[Member]:
        """Return the members that nobody doubts: the next in line reads for one that is silent."""
        members = self._control.view.members_by_address.values()
        return [member for member in members if member.status is Status.ALIVE]

    def _tell_era(self) -> None:
        """Let all daemons hear of a new era at once, by those whose turn it is."""
        members, era = self._living(), self._control.node.era or 0
        if is_pusher(self._control.view.me, members, era, self._in_all()):
            self._control.announce_everywhere()

    def _is_close(self) -> bool:
        """Return whether this daemon is one of the readers that watch the store closely."""
        readers = select_members(
            "watch", all_readers(self._living(), self._in_all()), CLOSE_WATCHERS
        )
        is_ranked = any(reader.address == self._control.view.me.address for reader in readers)
        return is_ranked or self.watches_closely()

    def leaders(self, service: str) -> list[Member]:
        """Return the readers that lead a rollout of a service, the first one first."""
        readers = all_readers(self._living(), self._in_all())
        return select_members(f"rollout {service}", readers, LEADER_COUNT)

    def rank(self, service: str) -> int | None:
        """Return the rank of this daemon among those that lead a rollout, None for none."""
        me = self._control.view.me.address
        addresses = [leader.address for leader in self.leaders(service)]
        return addresses.index(me) if me in addresses else None

    async def _push(self) -> None:
        """Push what was read, unless another reader's push of it comes first."""
        members, me = self._living(), self._control.view.me
        version = self._control.versions.catalogue.version
        if self._source.is_whole and not is_pusher(me, members, version, self._in_all()):
            await asyncio.sleep(PUSH_AWAITED_S)
            if self._control.node.highest_pushed_version >= version:
                return
        self._control.push()

    def _reads_now(self) -> bool:
        heard_ago = asyncio.get_running_loop().time() - self._control.heard_at
        if self._control.node.spreading_policy.all_daemons_read or heard_ago > UNHEARD_S:
            return True
        return is_reader(self._control.view.me, self._living(), self._in_all())

    def _note_lost(self, error: PlatformError) -> None:
        if not self._is_lost:
            log.warning("platform lost", extra={"error": str(error)})
        self._is_lost = True

    def _note_reached(self) -> None:
        if self._is_lost:
            log.info("platform regained")
        self._is_lost = False

    async def answer_floor(self, address: str) -> frames.Floor:
        """Return the floor for the daemon at an address, confirmed where the platform answers."""
        if self._source.is_whole and versions.is_ready(self._control.versions):
            return frames.Floor(self._control.versions.catalogue.version, False)
        try:
            head = await self.fresh_head()
            return frames.Floor(head.version, True)
        except PlatformError:
            return frames.Floor(self._remembered(address), False)

    def _remembered(self, address: str) -> int:
        state = self._control.versions
        member = self._control.view.members_by_address.get(address)
        remembered = member.version if member is not None else 0
        return max(remembered, state.catalogue.version) if versions.is_ready(state) else 0

    async def floor_loop(self) -> None:
        """Learn the floor and catch up with it; back off with full jitter."""
        await self._join_tried.wait()
        failures = 0
        while not self._is_caught_up():
            if failures:
                ceiling = min(FLOOR_BACKOFF_MAX_S, FLOOR_BACKOFF_S * 2**failures)
                await asyncio.sleep(self._rng.uniform(0, ceiling))
            failures += 1
            if self._control.versions.floor is None:
                await self._find_floor(failures)
            self._floor_tries = failures
            if self._control.versions.floor is not None:
                await self._reach_floor()
        self.waiting_for = ""

    def _is_caught_up(self) -> bool:
        state = self._control.versions
        return state.floor is not None and state.catalogue.version >= state.floor

    async def join_loop(self) -> None:
        """Join by a seed, and compare views now and then for splits that outlive gossip."""
        if self.directory is not None:
            self._control.spawn(self.directory.run())
            await self.directory.joined.wait()
            self._join_tried.set()
            return
        seeds = [a for a in self._control.settings.seeds if a != self._control.view.me.address]
        failures = 0
        if not seeds:
            self._join_tried.set()
        while seeds:
            joined = await self._control.reconcile(self._rng.choice(seeds))
            failures = 0 if joined else failures + 1
            if joined:
                self._control.announce()
            if joined or failures >= JOIN_TRIES:
                self._join_tried.set()
            ceiling = min(FLOOR_BACKOFF_MAX_S, FLOOR_BACKOFF_S * 2**failures)
            wait = RECONCILE_EVERY_S * self._rng.uniform(0.8, 1.2)
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
        if self._source.is_whole:
            if not await self._floor_from_platform():
                await self._floor_from_any(self._peers())
            return
        readers = select_members("reader", [*local, me], MIN_READERS_PER_DATA_CENTRE)
        others = [m for m in readers if m.address != me.address]
        if me in readers or not others or attempt % OWN_READ_EVERY == 0:
            if await self._floor_from_platform():
                return
        elif await self._floor_from_reader(self._rng.choice(others)):
            return
        await self._floor_from_peers(local)

    async def _floor_from_platform(self) -> bool:
        try:
            head = await self.fresh_head()
        except PlatformError as error:
            self._wait_for(f"the platform ({error})")
            return False
        if not self._source.is_whole:
            self._control.set_floor(head.version, "read from the platform")
            return True
        await self._pull_beyond(head)
        floor = max(head.version, self._control.versions.catalogue.version)
        self._control.set_floor(floor, "read from the platform")
        await self.catch_up(head)
        return True

    async def _pull_beyond(self, head: SourceHead) -> None:
        """Take a version that peers hold and a store that came back from a copy has lost."""
        if self._control.node.era and self.directory is not None:
            met = asyncio.create_task(self.directory.met.wait())
            is_empty = self.directory.is_empty
            await asyncio.wait([met], timeout=ROWS_AWAITED_S if is_empty else MET_AWAITED_S)
            met.cancel()
        held = [m for m in self._peers() if m.status is Status.ALIVE and m.version > head.version]
        if held:
            holder = max(held, key=lambda member: member.version)
            log.warning(
                "the store is behind a peer",
                extra={"read": head.version, "held": holder.version, "peer": holder.address},
            )
            await self._control.pull(holder.address)

    async def _floor_from_reader(self, reader: Member) -> bool:
        request = frames.FloorRequest(self._control.view.me.address)
        try:
            answer = await self._control.ask(reader.address, request, "floor")
        except LinkLost as error:
            self._wait_for(f"the reader {reader.address} ({error})")
            return False
        if not isinstance(answer, frames.Floor) or not answer.confirmed:
            self._wait_for(f"the platform (as {reader.address} says)")
            return False
        self._control.set_floor(answer.version, f"confirmed by reader {reader.address}")
        return True

    async def _floor_from_any(self, peers: list[Member]) -> None:
        """Take the newest version that some peers hold, while an outside source is away.

        Its versions bind a daemon from the moment at which it applied them; a daemon that just
        started has applied none, and a peer that is in touch lags by seconds at most.
        """
        asked = self._rng.sample(peers, min(PEERS_TO_ASK, len(peers)))
        request = frames.FloorRequest(self._control.view.me.address)
        answers = await asyncio.gather(
            *(self._control.ask(m.address, request, "floor", FLOOR_ASK_S) for m in asked),
            return_exceptions=True,
        )
        told = [(_floor_answer(a), m) for a, m in zip(answers, asked, strict=True)]
        held = [(a.version, m) for a, m in told if a is not None and a.version > 0]
        if not held:
            self._wait_for("a peer that holds a version, or the platform")
            return
        version, holder = max(held)
        self._control.set_floor(version, f"held by peer {holder.address}")
        await self._control.pull(holder.address)

    async def _floor_from_peers(self, local: list[Member]) -> None:
        """Take what every living peer of the data centre says, while the platform is away."""
        if self._control.versions.floor is not None or not local:
            return
        request = frames.FloorRequest(self._control.view.me.address)
        asked = [self._control.ask(m.address, request, "floor") for m in local]
        answers = await asyncio.gather(*asked, return_exceptions=True)
        answers_by_peer = {
            member.address: _floor_answer(answer)
            for member, answer in zip(local, answers, strict=True)
        }
        alive = frozenset(m.address for m in local if m.status is Status.ALIVE)
        decision = floor.decide(answers_by_peer, alive)
        if decision.floor is None:
            self._wait_for(decision.waits_for)
        else:
            self._control.set_floor(decision.floor, f"agreed by {len(local)} peers")

    def _wait_for(self, what: str) -> None:
        if what != self.waiting_for:
            log.warning("not ready", extra={"waiting_for": what})
        self.waiting_for = what

    async def _reach_floor(self) -> None:
        state = self._control.versions
        peers = [m for m in self._local_peers() or self._peers() if m.version > 0]
        if peers:
            await self._control.pull(self._rng.choice(peers).address)
        if state.catalogue.version < (state.floor or 0):
            try:
                await self.catch_up(await self.fresh_head())
            except PlatformError as error:
                self._wait_for(f"version {state.floor} from peers or the platform ({error})")

    def describe(self) -> dict[str, Any]:
        """Return what this daemon waits for and how it reads."""
        return {
            "waiting_for": self.waiting_for or _unready_reason(self._control),
            "is_reader": is_reader(self._control.view.me, self._living(), self._in_all()),
            "platform_reads": self.reads,
            "platform_errors": self.errors,
        }
