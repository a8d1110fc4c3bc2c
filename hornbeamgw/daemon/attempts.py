"""Attempts: requests sent to the gates of other daemons, over one persistent link to each."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from hornbeamgw.core import balancing, occupancy, placement
from hornbeamgw.core.balancing import Load
from hornbeamgw.core.verdict import Failure, Reason, may_have_run, not_run
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.flow import Mailbox, Window
from hornbeamgw.daemon.link import PROBE_AFTER_IDLE_S, Link, LinkLost, dial, exchange
from hornbeamgw.daemon.outgoing import BUFFER_BYTES
from hornbeamgw.daemon.outlooks import OutlookQueries
from hornbeamgw.daemon.silence.link_pool import LinkPool

log = logging.getLogger(__name__)

# Covers two round trips between data centres, and leaves time for an attempt at another server.
DIAL_TIMEOUT_S = 0.2
RESOLVE_TIMEOUT_S = 1.0
RESOLVE_TIMEOUT_MIN_S = 0.05


class LinkGone(NamedTuple):
    """The link of an attempt was lost."""


class LinkSilent(NamedTuple):
    """The link of an attempt has received nothing for a while; an answer may still arrive."""


class LinkReplaced(NamedTuple):
    """The link of an attempt is silent, and its peer has answered on a new one."""


class CallerGone(NamedTuple):
    """The caller has closed its connection."""


class DeadlineExpired(NamedTuple):
    """The deadline of the call has passed."""


class DaemonStopping(NamedTuple):
    """This daemon is about to exit."""


Event = (
    frames.Reply
    | frames.Body
    | frames.Refusal
    | LinkGone
    | LinkSilent
    | LinkReplaced
    | CallerGone
    | DeadlineExpired
    | DaemonStopping
)


class LostWork(NamedTuple):
    """Time (s) until which requests may go on that were sent through one process of a daemon."""

    incarnation: int
    until: float


class Attempt:
    """The state of one attempt at the daemon that sends it.

    Attributes
    ----------
    server : int
        Number of the backend server at the other daemon.
    answered : bool
        Whether an answer or a refusal has arrived.
    started : float
        Loop time of the start in seconds.
    events : Mailbox
        Frames and events for the task that handles the call.
    upload : Window
        Bytes of the request body that the gate still accepts.
    typical : float
        Typical service time of such requests in seconds.
    """

    def __init__(
        self,
        number: int,
        link: Link,
        load: Load,
        started: float,
        idempotent: bool = False,
        server: int = 0,
        typical: float = 0.0,
    ) -> None:
        """Start with nothing received."""
        self.typical = typical
        self.idempotent = idempotent
        self.server = server
        self.answered = False
        self.number = number
        self.link = link
        self.load = load
        self.started = started
        self.events: Mailbox[Event] = Mailbox()
        self.upload = Window(0)


class Links:
    """The links to other daemons, and the unfinished attempts on them."""

    def __init__(
        self,
        hello: Callable[[], frames.Hello],
        on_fault: Callable[[str], None],
        remote_byte_counts: Counter[str] | None = None,
    ) -> None:
        """Start without links.

        Parameters
        ----------
        hello : callable
            Returns the hello frame of this daemon.
        on_fault : callable
            Called with a description of each communication fault.
        remote_byte_counts : Counter, optional
            Counts the bytes sent to other data centres, by kind of frame.
        """
        self._remote_byte_counts = Counter() if remote_byte_counts is None else remote_byte_counts
        self.counts: Counter[str] = Counter()
        self.outlooks = OutlookQueries()
        self._hello = hello
        self._on_fault = on_fault
        self._pool = LinkPool(self._dial, on_fault, self._on_replaced)
        self._attempts_by_number: dict[int, Attempt] = {}
        self._lost_by_address: dict[str, LostWork] = {}
        self._next_number = 0

    async def link_to(self, address: str) -> Link:
        """Return a link to a daemon that can be believed; raise LinkLost if there is none.

        Raise LinkUnanswered if the open link is silent and a new one gets no answer either.
        """
        return await self._pool.link_to(address)

    def link_if_open(self, address: str) -> Link | None:
        """Return the link to a daemon if it is open; otherwise start to open it."""
        return self._pool.link_if_open(address)

    async def _dial(self, address: str) -> Link:
        link = await dial(
            address, self._hello(), self._on_frame, self._on_lost, self._on_fault, DIAL_TIMEOUT_S
        )
        link.remote_byte_counts = self._remote_byte_counts
        return link

    def start(
        self,
        link: Link,
        load: Load,
        now: float,
        idempotent: bool = False,
        server: int = 0,
        typical: float = 0.0,
    ) -> Attempt:
        """Return a new attempt on a link.

        `server` is the server's number at the other daemon, and `typical` the typical service time
        of such requests in seconds.
        """
        self._next_number += 1
        attempt = Attempt(self._next_number, link, load, now, idempotent, server, typical)
        self._attempts_by_number[attempt.number] = attempt
        load.outstanding += 1
        return attempt

    def end(self, attempt: Attempt) -> None:
        """Remove an attempt; frames that still arrive for it are dropped."""
        if self._attempts_by_number.pop(attempt.number, None) is not None:
            attempt.load.outstanding -= 1

    def _on_frame(self, link: Link, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Outlook):
            self.outlooks.on_outlook(link, frame, asyncio.get_running_loop().time())
            return
        if not isinstance(frame, frames.Reply | frames.Body | frames.Refusal | frames.Credit):
            return
        attempt = self._attempts_by_number.get(frame.attempt)
        if attempt is None or attempt.link is not link:
            self.counts["late_frames"] += 1
        elif isinstance(frame, frames.Credit):
            attempt.upload.add(frame.size)
        else:
            if isinstance(frame, frames.Body) and frame.leaving:
                # The sender is stopping: accept its data now and buffer it here for the caller.
                link.send(frames.Credit(attempt.number, BUFFER_BYTES))
            if not isinstance(frame, frames.Body):
                now = asyncio.get_running_loop().time()
                wait = frame.wait_ms / 1000
                attempt.answered = True
                placement.note_report(attempt.load, frame.free_slots, wait, now)
            attempt.events.put(frame)

    def _on_lost(self, link: Link) -> None:
        self.counts["links_lost"] += 1
        for attempt in self._attempts_by_number.values():
            if attempt.link is link:
                attempt.events.put(LinkGone())
                if link.peer is not None and not attempt.answered:
                    self._note_lost(link.peer, attempt)

    def _note_lost(self, peer: frames.Hello, attempt: Attempt) -> None:
        """Remember for how long the server may work on an attempt whose link was lost."""
        until = occupancy.former_work_until(attempt.started, attempt.typical)
        known = self._lost_by_address.get(peer.member)
        if known is None or known.until < until:
            self._lost_by_address[peer.member] = LostWork(peer.incarnation, until)

    def former_work_ms(self, link: Link, now: float) -> int:
        """Return for how long requests sent through the peer's former process may go on."""
        if link.peer is None or not self._lost_by_address:
            return 0
        lost = self._lost_by_address.get(link.peer.member)
        if lost is None or lost.incarnation == link.peer.incarnation:
            return 0
        if lost.until <= now:
            del self._lost_by_address[link.peer.member]
            return 0
        return math.ceil(1000 * (lost.until - now))

    def check(self, now: float) -> None:
        """Check the links that owe an answer for silence; probe those on which attempts wait.

        Call this several times per `silence.STALL_S`.
        """
        earliest_start_by_link: dict[Link, float] = {}
        for attempt in self._attempts_by_number.values():
            start = earliest_start_by_link.get(attempt.link, attempt.started)
            earliest_start_by_link[attempt.link] = min(start, attempt.started)
        for link, start in earliest_start_by_link.items():
            idle_since = max(start, link.signs.heard_at)
            if not link.lost and now - idle_since >= PROBE_AFTER_IDLE_S:
                self._pool.probe(link, now)
        for link in self._pool.check(now, earliest_start_by_link):
            self._on_link_silent(link, now)

    def _on_link_silent(self, link: Link, now: float) -> None:
        """Avoid the servers behind a silent link, and let idempotent attempts fail over."""
        self.counts["links_doubted"] += 1
        for attempt in self._attempts_by_number.values():
            if attempt.link is link:
                balancing.note_unreachable(attempt.load, now)
                if attempt.idempotent and not attempt.answered:
                    attempt.events.put(LinkSilent())

    def _on_replaced(self, link: Link) -> None:
        for attempt in self._attempts_by_number.values():
            if attempt.link is link and not attempt.answered:
                attempt.events.put(LinkReplaced())

    async def resolve(
        self, address: str, attempt: Attempt, now: float, remaining: float = RESOLVE_TIMEOUT_S
    ) -> Failure:
        """Ask over a new link whether an attempt was admitted before its link was lost.

        `remaining` is the time in seconds that is left for the answer.
        """
        timeout = max(RESOLVE_TIMEOUT_MIN_S, min(RESOLVE_TIMEOUT_S, remaining))
        age_ms = max(0, round((now - attempt.started) * 1000))
        question = frames.Question(attempt.number, age_ms, attempt.server)
        try:
            result = await exchange(address, self._hello(), question, self._on_fault, timeout)
        except LinkLost as error:
            self.counts["unresolved"] += 1
            return may_have_run(Reason.LINK_LOST, str(error))
        if result.peer != attempt.link.peer:
            self.counts["resolved_may_have_run"] += 1
            return may_have_run(Reason.LINK_LOST, "the daemon beside the backend server restarted")
        answer = result.answer
        if isinstance(answer, frames.Resolution) and not answer.may_have_run:
            self.counts["resolved_not_run"] += 1
            return not_run(Reason.LINK_LOST, "never admitted")
        self.counts["resolved_may_have_run"] += 1
        return may_have_run(Reason.LINK_LOST, "admitted before the link was lost")

    def close(self) -> None:
        """Close every link."""
        self._pool.close()
