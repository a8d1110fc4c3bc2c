"""Outlook queries: ask several daemons whether their servers would accept a request, and when."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from hornbeamgw.core import placement
from hornbeamgw.core.balancing import Candidate
from hornbeamgw.daemon import codec, frames
from hornbeamgw.daemon.link import Link

# Covers a round trip between data centres and the answer of a busy daemon. Servers of daemons that
# are slower than this are not worth waiting for. The round trip takes 3 ms, and the answer 1 to 2
# ms on 0.43 of a core.
QUERY_TIMEOUT_S = 0.008
# Additional time to wait for a first answer if none has arrived within QUERY_TIMEOUT_S.
FIRST_ANSWER_TIMEOUT_S = 0.03
# Slowness of a server, relative to the average of its service, up to which it is chosen at once
# without waiting for further answers. The speeds of the servers of a service differ by a factor of
# three.
ACCEPTABLE_SLOWNESS_FACTOR = 1.1


class QueryResult(NamedTuple):
    """Servers that would accept a request, and servers that would refuse it.

    `retry_after_ms` is the shortest delay after which a refusing server expects to accept it, or 0.
    """

    accepting: Sequence[Candidate]
    refusing: Sequence[Candidate]
    retry_after_ms: int


class _Query:
    def __init__(self, candidates_by_link: Mapping[Link, Candidate]) -> None:
        self.candidates_by_link = dict(candidates_by_link)
        self.accepting: list[Candidate] = []
        self.refusing: list[Candidate] = []
        self.retry_after_ms = 0
        self.completes_on_first_answer = False
        self.completed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def add(self, candidate: Candidate, outlook: frames.Outlook) -> None:
        """Record an answer; complete the query if no better one is expected."""
        if outlook.takes:
            self.accepting.append(candidate)
        else:
            self.refusing.append(candidate)
            known, new = self.retry_after_ms, outlook.retry_after_ms
            self.retry_after_ms = min(known or new, new)
        is_enough = self.completes_on_first_answer or is_good_enough(candidate, outlook)
        if (is_enough or not self.candidates_by_link) and not self.completed.done():
            self.completed.set_result(None)


def is_good_enough(candidate: Candidate, outlook: frames.Outlook) -> bool:
    """Return whether a server accepts the request without a wait and is not slow."""
    return (
        outlook.takes
        and not outlook.wait_ms
        and candidate.load.slowness <= ACCEPTABLE_SLOWNESS_FACTOR
    )


class OutlookQueries:
    """The queries that have been sent and are not complete."""

    def __init__(self) -> None:
        """Create an instance without queries."""
        self._next_number = 0
        self._queries_by_number: dict[int, _Query] = {}

    async def ask(
        self, candidates_by_link: Mapping[Link, Candidate], request: frames.OutlookRequest
    ) -> QueryResult:
        """Query the servers behind these links; return the answers received before the timeout."""
        query = _Query(candidates_by_link)
        self._next_number = self._next_number % 0xFFFFFFFF + 1
        number = self._next_number
        self._queries_by_number[number] = query
        payloads_by_server: dict[int, bytes] = {}
        for link, candidate in candidates_by_link.items():
            server = candidate.member.server
            if server not in payloads_by_server:
                numbered = request._replace(number=number, server=server)
                payloads_by_server[server] = codec.encode_frame(numbered)
            link.send_encoded(payloads_by_server[server])
        try:
            await asyncio.wait([query.completed], timeout=QUERY_TIMEOUT_S)
            if not query.accepting and not query.refusing:
                query.completes_on_first_answer = True
                await asyncio.wait([query.completed], timeout=FIRST_ANSWER_TIMEOUT_S)
        finally:
            del self._queries_by_number[number]
        return QueryResult(query.accepting, query.refusing, query.retry_after_ms)

    def on_outlook(self, link: Link, outlook: frames.Outlook, now: float) -> None:
        """Process an answer; ignore it if its query is complete."""
        query = self._queries_by_number.get(outlook.number)
        candidate = query.candidates_by_link.pop(link, None) if query is not None else None
        if query is None or candidate is None:
            return
        wait = outlook.wait_ms / 1000
        placement.note_report(candidate.load, outlook.free_slots, wait, now)
        query.add(candidate, outlook)
