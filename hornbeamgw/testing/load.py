"""Load: calls of each class with request ids, and what their callers were told."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import h11
import msgspec

from hornbeamgw.core.verdict import Verdict
from hornbeamgw.daemon.heads import VERDICT
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, Response, header

CALL_TIMEOUT_S = 70.0
RECONNECT_PAUSE_S = 0.05


class Kind(NamedTuple):
    """Hold one kind of call and how often it is made among the others."""

    name: str
    host: str
    method: str
    path: str
    idempotent: bool
    weight: int = 1
    body: bytes = b""
    size: int = 0


KINDS = (
    Kind("slot lookup", "desk.vatuwaqa.example", "GET", "/slots", True, 6),
    Kind("booking", "desk.vatuwaqa.example", "POST", "/bookings", False, 3, b'{"therapist": 7}'),
    Kind("payment", "internal.vatuwaqa.example", "POST", "/payments", False, 1, b'{"deposit": 40}'),
    Kind("availability", "internal.vatuwaqa.example", "GET", "/availability", True, 3),
    Kind("roster", "staff.vatuwaqa.example", "GET", "/rosters", True, 1, size=200_000),
    Kind("layout", "planner.kijani.example", "GET", "/layouts", True, 6),
    Kind("drawing pack", "planner.kijani.example", "GET", "/packs", True, 1, size=2_000_000),
    Kind(
        "reservation", "planner.kijani.example", "POST", "/reservations", False, 3, b'{"bath": 1}'
    ),
    Kind("stock check", "internal.kijani.example", "GET", "/stock", True, 6),
    Kind("sync", "internal.kijani.example", "PUT", "/sync", True, 1, b"s" * 300_000),
)


class Outcome(NamedTuple):
    """Hold what a caller was told about one request."""

    request_id: str
    kind: Kind
    verdict: Verdict | None
    whole: bool
    reason: str
    at: float
    elapsed: float


def target_of(kind: Kind) -> str:
    """Return the target of a request of this kind."""
    return f"{kind.path}?size={kind.size}" if kind.size else kind.path


def is_whole(kind: Kind, request_id: str, response: Response) -> bool:
    """Return whether an answer is the backend server's whole answer to this request."""
    if kind.size:
        echoed = header(response.headers, b"x-request-id") == request_id.encode()
        return echoed and len(response.body) == kind.size
    document = msgspec.json.decode(response.body)
    return bool(document["request_id"] == request_id and document["received"] == len(kind.body))


async def call(client: HttpClient, kind: Kind, request_id: str) -> Outcome:
    """Make one call and return what its caller was told."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    headers = [(b"host", kind.host.encode()), (b"x-request-id", request_id.encode())]
    verdict: Verdict | None
    whole, reason = True, ""
    try:
        response = await client.request(kind.method, target_of(kind), headers, kind.body)
        told = header(response.headers, VERDICT)
        verdict = Verdict(told.decode()) if told else Verdict.ANSWERED
        if verdict is Verdict.ANSWERED:
            whole = response.status == 200 and is_whole(kind, request_id, response)
        else:
            reason = str(msgspec.json.decode(response.body)["reason"])
    except ConnectionRefusedError:
        verdict, reason = Verdict.NOT_RUN, "connection refused"
    except (OSError, ConnectionLost, h11.ProtocolError) as error:
        verdict, reason = Verdict.MAY_HAVE_RUN, f"broken: {type(error).__name__}"
    except TimeoutError:
        verdict, whole, reason = None, False, "no answer"
    elapsed = loop.time() - started
    return Outcome(request_id, kind, verdict, whole, reason, started, elapsed)


class Load:
    """Own the workers that call, and every outcome."""

    def __init__(
        self,
        addresses: Callable[[], Sequence[str]],
        rng: random.Random,
        kinds: Sequence[Kind] = KINDS,
    ) -> None:
        """Take the callers' addresses in use now and the kinds of call."""
        self.outcomes: list[Outcome] = []
        self._addresses = addresses
        self._rng = rng
        self._kinds = kinds
        self._next = 0
        self._stopping = False
        self._workers: list[asyncio.Task[None]] = []

    def start(self, workers: int, pause: float) -> None:
        """Start workers that pause (s) between calls, on average."""
        self._workers = [asyncio.create_task(self._work(pause)) for _ in range(workers)]

    async def stop(self) -> None:
        """Let each worker finish its call."""
        self._stopping = True
        await asyncio.gather(*self._workers)

    async def _work(self, pause: float) -> None:
        clients: dict[str, HttpClient] = {}
        weights = [kind.weight for kind in self._kinds]
        while not self._stopping:
            address = self._rng.choice(list(self._addresses()))
            client = clients.setdefault(address, HttpClient(address, CALL_TIMEOUT_S))
            kind = self._rng.choices(self._kinds, weights)[0]
            self._next += 1
            outcome = await call(client, kind, f"r{self._next}")
            self.outcomes.append(outcome)
            if outcome.reason == "connection refused":
                await asyncio.sleep(RECONNECT_PAUSE_S)
            await asyncio.sleep(self._rng.expovariate(1 / pause))
        for client in clients.values():
            client.close()


class Audit(NamedTuple):
    """Hold the count of what callers were told against what backend servers ran."""

    calls: int
    answered: int
    not_run: int
    may_have_run: int
    lost: int
    doubled: int
    said_not_run_but_ran: int
    not_whole: int


def audit(outcomes: Iterable[Outcome], reports: Iterable[Mapping[str, Any]]) -> Audit:
    """Compare outcomes with the records of all backend servers, by request id."""
    runs: Counter[str] = Counter()
    for report in reports:
        runs.update(report["runs"])
    outcomes = list(outcomes)
    verdicts = Counter(outcome.verdict for outcome in outcomes)
    ran = [o for o in outcomes if runs[o.request_id]]
    wrong_not_run = sum(o.verdict is Verdict.NOT_RUN for o in ran)
    unheard = sum(o.verdict is None for o in outcomes)
    invented = sum(o.verdict is Verdict.ANSWERED and not runs[o.request_id] for o in outcomes)
    not_whole = sum(not o.whole for o in outcomes if o.verdict is Verdict.ANSWERED)
    return Audit(
        len(outcomes),
        verdicts[Verdict.ANSWERED],
        verdicts[Verdict.NOT_RUN],
        verdicts[Verdict.MAY_HAVE_RUN],
        unheard + invented + not_whole + wrong_not_run,
        sum(runs[o.request_id] > 1 for o in outcomes if not o.kind.idempotent),
        wrong_not_run,
        not_whole,
    )
