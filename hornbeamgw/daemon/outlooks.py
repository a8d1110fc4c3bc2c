"""Outlooks: asks several gates at once what a request could expect there."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from hornbeamgw.core import placement
from hornbeamgw.core.balancing import Candidate
from hornbeamgw.daemon import codec, frames
from hornbeamgw.daemon.link import Link

# A round trip between data centres takes 3 ms on the users' sheets, and a daemon on 0.43 of a
# core takes 1 to 2 ms to answer; whoever is later than this has not much to offer.
ALL_WITHIN_S = 0.008
# Where nobody has answered by then, the first answer is waited for this long.
FIRST_WITHIN_S = 0.03
# The speeds of a service's servers differ three to one; this is a bit under their middle.
NOT_SLOW = 1.1


class Told(NamedTuple):
    """Hold who would take a request, who would not, and the soonest time to come back (ms)."""

    takers: Sequence[Candidate]
    refusers: Sequence[Candidate]
    retry_after_ms: int


class _Inquiry:
    def __init__(self, candidates_by_link: Mapping[Link, Candidate]) -> None:
        self.candidates_by_link = dict(candidates_by_link)
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
        is_enough = self.first_decides or is_as_good_as_any(candidate, outlook)
        if (is_enough or not self.candidates_by_link) and not self.decided.done():
            self.decided.set_result(None)


def is_as_good_as_any(candidate: Candidate, outlook: frames.Outlook) -> bool:
    """Return whether a server has a free slot and is not slow."""
    return outlook.takes and not outlook.wait_ms and candidate.load.slowness <= NOT_SLOW


class Outlooks:
    """Own the inquiries under way."""

    def __init__(self) -> None:
        """Start with none."""
        self._next_number = 0
        self._inquiries_by_number: dict[int, _Inquiry] = {}

    async def ask(
        self, candidates_by_link: Mapping[Link, Candidate], request: frames.OutlookRequest
    ) -> Told:
        """Return what the gates on these links say in time."""
        inquiry = _Inquiry(candidates_by_link)
        self._next_number = self._next_number % 0xFFFFFFFF + 1
        number = self._next_number
        self._inquiries_by_number[number] = inquiry
        payloads_by_server: dict[int, bytes] = {}
        for link, candidate in candidates_by_link.items():
            server = candidate.member.server
            if server not in payloads_by_server:
                asked = request._replace(number=number, server=server)
                payloads_by_server[server] = codec.encode_frame(asked)
            link.send_encoded(payloads_by_server[server])
        try:
            await asyncio.wait([inquiry.decided], timeout=ALL_WITHIN_S)
            if not inquiry.takers and not inquiry.refusers:
                inquiry.first_decides = True
                await asyncio.wait([inquiry.decided], timeout=FIRST_WITHIN_S)
        finally:
            del self._inquiries_by_number[number]
        return Told(inquiry.takers, inquiry.refusers, inquiry.retry_after_ms)

    def on_outlook(self, link: Link, outlook: frames.Outlook, now: float) -> None:
        """Take an answer; a late one is dropped."""
        inquiry = self._inquiries_by_number.get(outlook.number)
        candidate = inquiry.candidates_by_link.pop(link, None) if inquiry is not None else None
        if inquiry is None or candidate is None:
            return
        wait = outlook.wait_ms / 1000
        placement.note_report(candidate.load, outlook.free_slots, wait, now)
        inquiry.take(candidate, outlook)
