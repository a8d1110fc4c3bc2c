"""Link pool: one open link to each daemon, which is verified before use after a silence."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Coroutine, Sequence
from typing import Any

from hornbeamgw.core import silence
from hornbeamgw.core.silence import Belief, Doubts, Limits
from hornbeamgw.daemon.link import SUSPECT_AFTER_S, Link, LinkLost
from hornbeamgw.daemon.silence.link_watch import LinkWatch
from hornbeamgw.daemon.silence.reports import connection_counts

# A link that was heard within the first of these times is used without a probe. The second one
# covers several round trips between data centres and leaves time for a new link and the request.
LIMITS = Limits(trusted_s=2.5, answer_s=0.1)
# Bytes that wait in this daemon delay the probe as well, and a new link would have to wait, too.
LIMITS_IF_FULL = LIMITS._replace(trusted_s=math.inf, answer_s=SUSPECT_AFTER_S)
# Time after a link was opened in vain before another one is opened beside a silent one, or for a
# question, so that daemons which stand still are not flooded with connections.
DIAL_BESIDE_INTERVAL_S = 1.0


class LinkUnanswered(LinkLost):
    """Neither the open link to a daemon nor a new one has shown a sign of life in time.

    Attributes
    ----------
    link : Link
        The open link.
    """

    def __init__(self, address: str, link: Link) -> None:
        """Initialise with the daemon's address and the open link."""
        super().__init__(f"{address}: no sign of life on the open link nor on a new one")
        self.link = link


class LinkPool:
    """The links that this daemon has opened, one to each daemon in use.

    Before a link is used after a silence, it is probed. If the answer is overdue, a new link is
    opened beside it, and the first one that shows a sign of life is used. A replaced link counts as
    silent once it is suspect as well; it is closed when no request waits on it.
    """

    def __init__(
        self,
        dial: Callable[[str], Coroutine[Any, Any, Link]],
        on_fault: Callable[[str], None],
        on_replaced: Callable[[Link], None],
    ) -> None:
        """Start without links.

        Parameters
        ----------
        dial : callable
            Opens a link to the daemon at an address; raises LinkLost.
        on_fault : callable
            Called with a description of each communication fault.
        on_replaced : callable
            Called with each silent link for which a new one has been opened.
        """
        self._dial = dial
        self._on_replaced = on_replaced
        self._watch = LinkWatch(on_fault)
        self._doubts = Doubts()
        self._links_by_address: dict[str, Link] = {}
        self._dialling_by_address: dict[str, asyncio.Task[Link]] = {}
        self._replaced: set[Link] = set()
        self._silent: set[Link] = set()
        self._unanswered_at_by_address: dict[str, float] = {}

    def open_link(self, address: str) -> Link | None:
        """Return the link to a daemon if it is open."""
        link = self._links_by_address.get(address)
        return None if link is None or link.lost else link

    def link_if_open(self, address: str) -> Link | None:
        """Return the link to a daemon if it is open and not silent.

        Otherwise start to open one, unless this was in vain a moment ago. A link that has not been
        heard for a while is probed, as an answer to what is sent on it may never come.
        """
        link, now = self.open_link(address), asyncio.get_running_loop().time()
        if link is not None:
            if self._is_trusted(link, now):
                return link
            self._watch.probe(link, now)
            if silence.belief(link.signs, self._doubts, LIMITS, now) is not Belief.SILENT:
                return link
        self.dial_beside(address, now)
        return None

    async def link_to(self, address: str) -> Link:
        """Return a link to a daemon that can be believed.

        Raise LinkUnanswered if the open link is silent and a new one gets no answer either, and
        LinkLost if there is no open link and none can be opened.
        """
        link = self.open_link(address)
        if link is None:
            return await asyncio.shield(self._dialling(address))
        now = asyncio.get_running_loop().time()
        if self._is_trusted(link, now):
            return link
        return await self._verified(address, link, now)

    def _is_trusted(self, link: Link, now: float) -> bool:
        if silence.belief(link.signs, self._doubts, LIMITS, now) is Belief.TRUSTED:
            return True
        if not link.unsent_bytes():
            return False
        return silence.belief(link.signs, self._doubts, LIMITS_IF_FULL, now) is Belief.TRUSTED

    async def _verified(self, address: str, link: Link, now: float) -> Link:
        """Return the link after a sign of life, or a new one that was opened beside it."""
        self._watch.probe(link, now)
        wait = LIMITS.answer_s - silence.overdue(link.signs, now)
        if wait > 0:
            await asyncio.wait([link.next_sign()], timeout=wait)
            # After a pause of this process the timer may run before what has come is read.
            await asyncio.sleep(0)
        if not _is_overdue(link):
            return link
        if link.lost:
            return await asyncio.shield(self._dialling(address))
        now = asyncio.get_running_loop().time()
        dialling = self.dial_beside(address, now)
        if dialling is None:
            raise LinkUnanswered(address, link)
        first_signs: list[asyncio.Future[Any]] = [dialling, link.next_sign()]
        await asyncio.wait(first_signs, return_when=asyncio.FIRST_COMPLETED)
        if not _is_overdue(link):
            return link
        try:
            await asyncio.shield(dialling)
        except LinkLost as error:
            if link.lost or not _is_unanswered(error):
                raise
            raise LinkUnanswered(address, link) from error
        opened = self.open_link(address)
        if opened is None:
            raise LinkLost(f"{address}: lost after it was opened")
        return opened

    def dial_beside(self, address: str, now: float) -> asyncio.Task[Link] | None:
        """Open a link, beside a silent one if there is one, unless this was in vain just now."""
        unanswered_at = self._unanswered_at_by_address.get(address, -math.inf)
        if now - unanswered_at < DIAL_BESIDE_INTERVAL_S:
            return None
        if address not in self._dialling_by_address and self.open_link(address) is not None:
            connection_counts["link.dialled_beside"] += 1
        return self._dialling(address)

    def _dialling(self, address: str) -> asyncio.Task[Link]:
        task = self._dialling_by_address.get(address)
        if task is None:
            connection_counts["link.dialled"] += 1
            task = asyncio.create_task(self._dial(address))
            self._dialling_by_address[address] = task
            task.add_done_callback(lambda done: self._on_dialled(address, done))
        return task

    def _on_dialled(self, address: str, task: asyncio.Task[Link]) -> None:
        del self._dialling_by_address[address]
        now = asyncio.get_running_loop().time()
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            if _is_unanswered(error):
                self._unanswered_at_by_address[address] = now
            return
        self._unanswered_at_by_address.pop(address, None)
        opened, former = task.result(), self.open_link(address)
        if former is not None and not _is_overdue(former):
            connection_counts["link.dialled_needlessly"] += 1
            opened.close()
            return
        self._links_by_address[address] = opened
        if former is not None:
            self._replaced.add(former)

    def probe(self, link: Link, now: float) -> None:
        """Probe a link on which an answer is awaited."""
        self._watch.probe(link, now)

    def check(self, now: float, in_use: Collection[Link]) -> Sequence[Link]:
        """Close silent and unused replaced links, and return the suspect ones that are in use.

        `in_use` are the links on which requests wait. New links are opened beside suspect ones.
        """
        suspects = self._watch.check(now)
        if suspects:
            self._handle_suspects(suspects, in_use, now)
        for link in [link for link in self._replaced if link not in in_use]:
            if link in self._silent:
                link.abort()
            elif not _is_overdue(link):
                link.close()
            elif not link.lost:
                continue
            self._replaced.discard(link)
            self._silent.discard(link)
        return [link for link in suspects if link in in_use]

    def _handle_suspects(
        self, suspects: Collection[Link], in_use: Collection[Link], now: float
    ) -> None:
        for link in suspects:
            if link in self._replaced and link not in self._silent:
                self._note_silent(link, now)
        for address, link in list(self._links_by_address.items()):
            if link in suspects and link in in_use:
                self.dial_beside(address, now)

    def _note_silent(self, link: Link, now: float) -> None:
        """Doubt all links that are as silent as one whose peer has answered on a new link."""
        if link.signs.unanswered_since is not None:
            silence.note_silent(self._doubts, link.signs.unanswered_since)
        link.report_silent("replaced", now)
        self._silent.add(link)
        self._on_replaced(link)

    def close(self) -> None:
        """Close every link."""
        for link in (*self._links_by_address.values(), *self._replaced):
            link.close()


def _is_overdue(link: Link) -> bool:
    """Return whether a link is lost, or still owes an answer."""
    return link.lost or link.signs.unanswered_since is not None


def _is_unanswered(error: BaseException) -> bool:
    """Return whether a link could not be opened because nothing came, not even a refusal."""
    return isinstance(error.__cause__, TimeoutError)
