"""Ledger: the departures of this daemon's servers, which outlive its process."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterable, Sequence

from hornbeamgw.core import backoff, departures, freshness
from hornbeamgw.core.departures import LeftRun, LeftRuns
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.presence import OwnRow

log = logging.getLogger(__name__)

# Servers wait for one second for the answer to a message.
CONFIRM_TIMEOUT_S = 0.8
# Time for which servers from before the start wait for what is known of their departures.
RECALL_TIMEOUT_S = 0.1
RECALL_BACKOFF_S = 0.05
RECALL_BACKOFF_MAX_S = 5.0
NO_KEEPERS_POLL_S = 0.2
# Daemons probe those that they knew about once a second.
ALONE_S = 4.0

# Tells the daemon at an address which runs have left; None if it does not answer.
Ask = Callable[[str, LeftRuns], Awaitable[frames.Departures | None]]


class Ledger:
    """The runs of local servers that have said that they leave, and who else knows of them.

    Attributes
    ----------
    is_complete : asyncio.Event
        Set once all is known that former processes of this daemon have acknowledged.
    is_heard : asyncio.Event
        Set once the row was read and the keepers were asked, even if not enough of them answered.
    on_recalled : callable
        Called with each run that had left before this process started.
    """

    def __init__(
        self, row: OwnRow, keepers: Callable[[], Sequence[str]], ask: Ask, is_first: bool = False
    ) -> None:
        """Create the ledger of the daemon with this directory row.

        `keepers` returns the addresses of the daemons that keep the departures, and `ask` asks one
        of them. If the process `is_first`, no former one can have acknowledged anything.
        """
        self.is_complete = asyncio.Event()
        self.is_heard = asyncio.Event()
        self.on_recalled: Callable[[LeftRun], None] = lambda run: None
        self._row = row
        self._keepers = keepers
        self._ask = ask
        self._left: LeftRuns = ()
        self._confirmed: LeftRuns = ()
        self._tasks: set[asyncio.Future[object]] = set()
        row.on_left_found = self._learn
        if is_first:
            self.is_complete.set()
            self.is_heard.set()

    @property
    def knows_acknowledged(self) -> bool:
        """Return whether all departures are known that former processes have acknowledged."""
        return self._row.tells_departures

    async def wait_heard(self) -> None:
        """Wait until the row and the keepers have told what they know, or for a short time."""
        await _wait(self.is_heard, RECALL_TIMEOUT_S)

    async def wait_complete(self) -> None:
        """Wait until the ledger is complete, or for a short time."""
        await _wait(self.is_complete, RECALL_TIMEOUT_S)

    def note(self, run: LeftRun) -> None:
        """Record that a run drains or has left."""
        if not departures.includes(self._left, run):
            self._left = departures.merge(self._left, [run])
            self._row.add_left(self._left)

    def publish(self, run: LeftRun) -> None:
        """Record that a run drains or has left, and tell the store and the keepers."""
        self.note(run)
        self._spawn(self.confirm(run))

    async def confirm(self, run: LeftRun) -> bool:
        """Return whether the store has confirmed a recorded departure, within a time.

        The keepers are told as well, but what only processes know can end with all of them.
        """
        if departures.includes(self._confirmed, run):
            return True
        self._spawn(self._tell_keepers())
        if not await self._is_stored(run):
            log.warning(
                "departure of a backend server not acknowledged: the store has not confirmed it",
                extra={"run": run._asdict()},
            )
            return False
        self._confirmed = departures.merge(self._confirmed, [run])
        log.info("departure of a backend server confirmed", extra={"run": run._asdict()})
        return True

    def _spawn(self, work: Awaitable[object]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _is_stored(self, run: LeftRun) -> bool:
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await self._row.wait_stored(run)
        except TimeoutError:
            return False
        return True

    async def _tell_keepers(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await self._ask_keepers()

    async def _ask_keepers(self) -> list[frames.Departures | None]:
        asked = [self._ask(keeper, self._left) for keeper in self._keepers()]
        return list(await asyncio.gather(*asked))

    async def recall(self, joined: asyncio.Event) -> None:
        """Learn what former processes have acknowledged, from the row and the keepers.

        `joined` is set once the other daemons are known. While the store can't be read, those that
        have called this daemon meanwhile are asked. It ends once no heartbeat from before the start
        can arrive any more.
        """
        loop = asyncio.get_running_loop()
        failures, alone_since = 0, loop.time()
        ends_at = loop.time() + freshness.MAX_LATENESS_S
        while not self.is_complete.is_set():
            if loop.time() > ends_at:
                self.is_heard.set()
                self.is_complete.set()
                return
            is_joined = joined.is_set()
            if not is_joined:
                alone_since = loop.time()
            answers = await self._ask_keepers()
            heard = [answer for answer in answers if answer is not None]
            for answer in heard:
                self._learn(answer.runs)
            reliable = sum(answer.is_reliable for answer in heard)
            is_enough = reliable >= departures.answers_needed(len(answers))
            # Daemons whose rows are missing may still know this one, and call it.
            may_be_called = not answers and loop.time() - alone_since < ALONE_S
            if is_joined and self._row.tells_departures:
                self.is_heard.set()
            if self.is_heard.is_set() and is_enough and not may_be_called:
                left = [run.instance for run in self._left]
                log.info("departures recalled", extra={"keepers": reliable, "left": left})
                self.is_complete.set()
                return
            failures += 1
            # While nobody is asked, it costs nothing to look for others again.
            limit = RECALL_BACKOFF_MAX_S if answers else NO_KEEPERS_POLL_S
            pause = backoff.ceiling(RECALL_BACKOFF_S, limit, failures)
            if joined.is_set():
                await asyncio.sleep(pause)
            else:
                await _wait(joined, pause)

    def _learn(self, runs: Iterable[LeftRun]) -> None:
        new = [run for run in runs if not departures.includes(self._left, run)]
        if not new:
            return
        self._left = departures.merge(self._left, new)
        self._row.add_left(self._left)
        for run in new:
            self.on_recalled(run)


async def _wait(event: asyncio.Event, timeout: float) -> None:
    """Wait until an event is set, for `timeout` seconds at most."""
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return
