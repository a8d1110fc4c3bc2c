"""Outlooks: asks several gates at once what a request could expect there."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from hornbeamgw.core import placement
from hornbeamgw.core.balancing import Candidate
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.link import Link

# A round trip between data centres takes 3 ms on the users' sheets, and a daemon on 0.43 of a
# core takes 1 to 2 ms to answer; whoever is later than this has not much to offer.
ALL_WITHIN_S = 0.008
# Without any server that would take the request, the first to say so is waited for this long.
FIRST_WITHIN_S = 0.03


class Told(NamedTuple):
    """Hold who would take a request, who would not, and the soonest time to come back (ms)."""

    takers: Sequence[Candidate]
    refusers: Sequence[Candidate]
    retry_after_ms: int


class _Inquiry:
    def __init__(self, candidates: Sequence[Candidate]) -> None:
        self.candidates = candidates
        self.takers: list[Candidate] = []
        self.refusers: list[Candidate] = []
        self.retry_after_ms = 0
        self.first_decides = False
        self.decided: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def take(self, candidate: Candidate, outlook: frames.Outlook) -> None:
        """Take an answer."""
        if outlook.takes:
            self.takers.append(candidate)
        else:
            self.refusers.append(candidate)
            known, told = self.retry_after_ms, outlook.retry_after_ms
            self.retry_after_ms = min(known or told, told)
        heard = len(self.takers) + len(self.refusers)
        is_enough = bool(self.takers) and self.first_decides
        if (is_enough or heard == len(self.candidates)) and not self.decided.done():
            self.decided.set_result(None)


class Outlooks:
    """Own the inquiries under way."""

    def __init__(self) -> None:
        """Start with none."""
        self._next_number = 0
        self._asked_by_number: dict[int, tuple[_Inquiry, Candidate]] = {}

    async def ask(
        self, linked: Sequence[tuple[Candidate, Link]], request: frames.OutlookRequest
    ) -> Told:
        """Return what the gates on these links say in time."""
        inquiry = _Inquiry([candidate for candidate, _ in linked])
        numbers = [self._send(inquiry, candidate, link, request) for candidate, link in linked]
        try:
            await asyncio.wait([inquiry.decided], timeout=ALL_WITHIN_S)
            if not inquiry.takers and not inquiry.decided.done():
                inquiry.first_decides = True
                await asyncio.wait([inquiry.decided], timeout=FIRST_WITHIN_S)
        finally:
            for number in numbers:
                self._asked_by_number.pop(number, None)
        return Told(inquiry.takers, inquiry.refusers, inquiry.retry_after_ms)

    def _send(
        self, inquiry: _Inquiry, candidate: Candidate, link: Link, request: frames.OutlookRequest
    ) -> int:
        self._next_number = self._next_number % 0xFFFFFFFF + 1
        self._asked_by_number[self._next_number] = (inquiry, candidate)
        link.send(request._replace(number=self._next_number))
        return self._next_number

    def on_outlook(self, outlook: frames.Outlook, now: float) -> None:
        """Take an answer; a late one is dropped."""
        asked = self._asked_by_number.pop(outlook.number, None)
        if asked is None:
            return
        inquiry, candidate = asked
        wait = outlook.wait_ms / 1000
        placement.note_report(candidate.load, outlook.free_slots, wait, now)
        inquiry.take(candidate, outlook)
