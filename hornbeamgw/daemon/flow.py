"""Flow control: mailboxes with one reader, credit windows, and pacing of large bodies on a link."""

from __future__ import annotations

import asyncio
import heapq
import math
from collections import deque
from typing import Generic, NamedTuple, TypeVar

from hornbeamgw.core import link_admission, pacing, transfers
from hornbeamgw.core.link_admission import TimeLeft
from hornbeamgw.core.pacing import LinkState

T = TypeVar("T")

# Credit that is granted for a request body at its start.
WINDOW_BYTES = 256 * 1024


class Mailbox(Generic[T]):
    """An unbounded queue of messages with a single reader."""

    def __init__(self) -> None:
        """Create an empty mailbox."""
        self._messages: deque[T] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, message: T) -> None:
        """Add a message and wake the reader."""
        self._messages.append(message)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def get(self) -> T:
        """Wait for a message; remove and return the oldest one."""
        while not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._messages.popleft()


class Window:
    """A flow-control window: the bytes that may be sent before the receiver grants more credit."""

    def __init__(self, size: int) -> None:
        """Create a window with an initial credit of `size` bytes."""
        self.available = size
        self._waiter: asyncio.Future[None] | None = None

    def add(self, size: int) -> None:
        """Add `size` bytes of credit and wake the sender."""
        self.available += size
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def consume(self, size: int) -> None:
        """Wait until the credit is positive, then subtract `size` bytes.

        The credit may become negative, so that a part larger than the window can be sent.
        """
        while self.available <= 0:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self.available -= size


class Urgency:
    """The loop time in seconds since which a body has priority over others, or infinity."""

    def __init__(self) -> None:
        """Create the urgency of a body without priority."""
        self.since = math.inf

    def mark_urgent(self, now: float) -> None:
        """Give the body priority from `now` on; bodies that became urgent earlier go first."""
        self.since = min(self.since, now)


class Promise:
    """Expected bytes of an accepted answer; they count towards the backlog until it arrives."""

    def __init__(self, pacer: Pacer, size: float) -> None:
        """Add `size` bytes to the backlog."""
        self._pacer = pacer
        self._size = size
        pacer.promised += size

    def settle(self) -> None:
        """Remove the bytes from the backlog; calls after the first one have no effect."""
        self._pacer.promised -= self._size
        self._size = 0.0


class _Part(NamedTuple):
    urgent_since: float
    remaining: int
    order: int
    size: int
    released: asyncio.Future[None]
    urgency: Urgency


class Pacer:
    """A scheduler that sends parts of large bodies at the rate of this VM's link.

    Parts are sent in order of the shortest remaining body, which completes most bodies earlier than
    round robin: of two bodies that would both miss their deadlines, one meets it. Shorter bodies
    could delay a longer one indefinitely, so urgent bodies are sent first, in the order in which
    they became urgent.

    `pending` and `pending_for_callers` count the bytes waiting to be sent to other daemons and to
    callers. Their owners update them, and admission uses them to estimate transfer times.
    `promised` counts the expected bytes of answers that were accepted and have not arrived yet.
    """

    def __init__(self, bandwidth: float = 0.0, max_backlog_s: float = math.inf) -> None:
        """Create a pacer for a link of a bandwidth in bytes/s; 0 (unknown) disables pacing.

        Answers are accepted as long as all of them can be sent within `max_backlog_s` seconds.
        """
        self._max_backlog_s = max_backlog_s
        self._state = LinkState(bandwidth)
        self._waiting: list[_Part] = []
        self._order = 0
        self._timer: asyncio.TimerHandle | None = None
        self.pending = 0
        self.pending_for_callers = 0
        self.promised = 0.0
        self.rate = self._state.rate
        self.part_bytes = pacing.part_bytes(self._state)
        self.window_bytes = pacing.window_bytes(self._state)

    @property
    def backlog(self) -> float:
        """Return the bytes of all accepted answers that are still to be sent."""
        return self.pending + self.pending_for_callers + self.promised

    def wait_for_room(self, size: float, service: float, left: TimeLeft) -> float:
        """Return the time (s) until an answer of an expected size may be accepted, 0 if now.

        `service` is the expected service time in seconds, and `left` the time left of the request.
        """
        backlog = self.backlog
        return max(
            transfers.wait_for_room(size, backlog, self.rate, self._max_backlog_s),
            link_admission.wait_for_room(size, backlog, self.rate, service, left),
        )

    def split(self, body: bytes) -> list[bytes]:
        """Split a body into parts that are sent one at a time."""
        size = self.part_bytes
        return [body[start : start + size] for start in range(0, len(body), size)]

    async def wait_to_send(self, size: int, remaining: int, urgency: Urgency | None = None) -> None:
        """Wait until a part of `size` bytes of a body with `remaining` bytes may be sent."""
        if self.rate <= 0:
            return
        loop = asyncio.get_running_loop()
        self._order += 1
        urgency = urgency or Urgency()
        released = loop.create_future()
        part = _Part(urgency.since, remaining, self._order, size, released, urgency)
        heapq.heappush(self._waiting, part)
        self._release()
        await part.released

    def reorder(self) -> None:
        """Reorder the waiting parts after the urgency of a body has changed."""
        self._waiting = [part._replace(urgent_since=part.urgency.since) for part in self._waiting]
        heapq.heapify(self._waiting)

    def _release(self) -> None:
        """Release the parts that the link can send now; set a timer for the others."""
        loop = asyncio.get_running_loop()
        while self._waiting and self._timer is None:
            wait = pacing.wait_for_part(self._state, loop.time())
            if wait > 0:
                self._timer = loop.call_later(wait, self._on_timer)
                return
            part = heapq.heappop(self._waiting)
            if not part.released.done():
                pacing.note_part(self._state, part.size, loop.time())
                part.released.set_result(None)

    def _on_timer(self) -> None:
        self._timer = None
        self._release()
