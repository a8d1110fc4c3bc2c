"""Planned load: callers that go on using their connections, and what each request came to."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

import h11
import msgspec

from hornbeamgw.core.verdict import Verdict
from hornbeamgw.daemon.heads import VERDICT
from hornbeamgw.daemon.http1 import (
    ConnectionLost,
    Headers,
    HttpConnection,
    Response,
    dial,
    header,
    normalise_headers,
)
from hornbeamgw.testing.load import KINDS, Kind, Outcome, is_complete_answer, target_of

# What a caller waits for beyond its deadline: answers that have begun arrive also when late.
PATIENCE_S = 4.0
# Drawing packs of 280 KB on average, the largest of 1.7 MB.
MEAN_LARGE_BYTES = 280_000
LEAST_LARGE_BYTES = 20_000
MOST_LARGE_BYTES = 1_700_000
SHORT_WORK_MS = (2, 60)
LONG_WORK_MS = (300, 1500)
LONG_SHARE = 0.1
SMALL_PER_S = 14.0  # at each daemon
KINDS_BY_NAME = {kind.name: kind for kind in KINDS}
SMALL_KINDS = ("layout", "layout", "reservation")
LARGE_KINDS = ("drawing pack", "drawing pack", "roster")


class Told(NamedTuple):
    """Hold what became of one request; times of the monotonic clock in s, sizes in bytes."""

    outcome: Outcome
    daemon: str
    deadline: float
    begun: bool
    closed: bool
    received: int

    @property
    def ended_at(self) -> float:
        """Return when the answer or the connection ended."""
        return self.outcome.at + self.outcome.elapsed


class KeptConnections:
    """Own the connections to one daemon; each is used in its turn until it is closed."""

    def __init__(self, address: str) -> None:
        """Take the daemon's address for callers."""
        self.address = address
        self._idle: deque[HttpConnection] = deque()

    async def take(self) -> HttpConnection:
        """Return a connection that was not seen to be closed, or a new one; raise OSError."""
        while self._idle:
            connection = self._idle.popleft()
            if not connection.lost and connection.poll() is None:
                return connection
            connection.close()
        return await dial(self.address)

    def give_back(self, connection: HttpConnection) -> None:
        """Keep a connection where both sides are done and neither said that it closes."""
        if connection.http.our_state is h11.DONE and connection.http.their_state is h11.DONE:
            connection.http.start_next_cycle()
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all."""
        for connection in self._idle:
            connection.close()


class _Answer:
    """Hold what has come of an answer."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = Headers()
        self.body = bytearray()

    async def read(self, connection: HttpConnection) -> None:
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.Response):
                self.status, self.headers = event.status_code, normalise_headers(event.headers)
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionLost


def _request(kind: Kind, request_id: str) -> list[h11.Event]:
    headers = [
        (b"host", kind.host.encode()),
        (b"x-request-id", request_id.encode()),
        (b"hornbeamgw-call-id", request_id.encode()),
        (b"content-length", str(len(kind.body)).encode()),
    ]
    data: list[h11.Event] = [h11.Data(data=kind.body)] if kind.body else []
    request = h11.Request(method=kind.method, target=target_of(kind), headers=headers)
    return [request, *data, h11.EndOfMessage()]


def _verdict(kind: Kind, request_id: str, answer: _Answer) -> tuple[Verdict, bool, str]:
    """Return the verdict of an answer that has ended, whether it is whole, and the reason."""
    told = header(answer.headers, VERDICT)
    if told:
        return Verdict(told.decode()), True, str(msgspec.json.decode(answer.body)["reason"])
    response = Response(answer.status, answer.headers, bytes(answer.body))
    whole = answer.status == 200 and is_complete_answer(kind, request_id, response)
    return Verdict.ANSWERED, whole, ""


async def call(kept: KeptConnections, kind: Kind, request_id: str, limit: float) -> Told | None:
    """Make one call with a deadline (s from now); return None where it could not be sent."""
    clock = asyncio.get_running_loop().time
    try:
        connection = await kept.take()
        at = clock()
        connection.send(*_request(kind, request_id))
    except (OSError, ConnectionLost):
        return None
    answer, closed = _Answer(), False
    verdict: Verdict | None = Verdict.MAY_HAVE_RUN
    whole, reason = True, ""
    try:
        async with asyncio.timeout(limit + PATIENCE_S):
            await answer.read(connection)
        verdict, whole, reason = _verdict(kind, request_id, answer)
        kept.give_back(connection)
    except (OSError, ConnectionLost, h11.RemoteProtocolError) as error:
        closed, reason = True, f"broken: {type(error).__name__} {error}"
    except TimeoutError:
        reason = "given up"
        if not answer.status:
            verdict, whole = None, False
    if reason == "given up" or closed:
        connection.abort()
    outcome = Outcome(request_id, kind, verdict, whole, reason, at, clock() - at)
    return Told(outcome, kept.address, at + limit, bool(answer.status), closed, len(answer.body))


def small_kind(rng: random.Random) -> Kind:
    """Draw a short call, some of which take their server longer."""
    kind = KINDS_BY_NAME[rng.choice(SMALL_KINDS)]
    work_ms = rng.uniform(*(LONG_WORK_MS if rng.random() < LONG_SHARE else SHORT_WORK_MS))
    return kind._replace(path=f"{kind.path}?work_ms={work_ms:.0f}")


def large_kind(rng: random.Random) -> Kind:
    """Draw a call with a large answer."""
    size = LEAST_LARGE_BYTES + rng.expovariate(1 / (MEAN_LARGE_BYTES - LEAST_LARGE_BYTES))
    kind = KINDS_BY_NAME[rng.choice(LARGE_KINDS)]
    return kind._replace(size=min(MOST_LARGE_BYTES, round(size)))


class PlannedLoad:
    """Own the callers of each daemon and what they were told."""

    def __init__(self, addresses: Sequence[str], deadlines_by_kind: dict[str, float]) -> None:
        """Take the daemons' addresses for callers and the deadline (s) of each kind of call."""
        self.told: list[Told] = []
        self.unsent = 0
        self._deadlines = deadlines_by_kind
        self._kept = [KeptConnections(address) for address in addresses]
        self._arriving: list[asyncio.Task[None]] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._next = 0

    def start(self, seed: int, large_per_s: float) -> None:
        """Let calls arrive at each daemon, whatever becomes of those before."""
        rates = [(small_kind, SMALL_PER_S), (large_kind, large_per_s)]
        for number, kept in enumerate(self._kept):
            for draw, rate in (pair for pair in rates if pair[1]):
                rng = random.Random(f"{seed} {number} {draw.__name__}")
                self._arriving.append(asyncio.create_task(self._arrive(kept, rng, draw, rate)))

    async def stop(self) -> None:
        """Let no more arrive, and wait for those under way."""
        for task in self._arriving:
            task.cancel()
        await asyncio.gather(*self._calls)
        for kept in self._kept:
            kept.close()

    async def _arrive(
        self,
        kept: KeptConnections,
        rng: random.Random,
        draw: Callable[[random.Random], Kind],
        rate: float,
    ) -> None:
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            self._next += 1
            task = asyncio.create_task(self._call(kept, draw(rng), f"p{self._next}"))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def _call(self, kept: KeptConnections, kind: Kind, request_id: str) -> None:
        told = await call(kept, kind, request_id, self._deadlines[kind.name])
        if told is None:
            self.unsent += 1
        else:
            self.told.append(told)
