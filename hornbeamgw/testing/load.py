"""Load generator: calls with request ids, and an audit of the verdicts that callers received."""

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
    """Kind of call; `weight` is its relative frequency, `size` the size of the answer in bytes."""

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
    """Result of one request for its caller; `at` is its start time, `elapsed` is in seconds."""

    request_id: str
    kind: Kind
    verdict: Verdict | None
    is_complete: bool
    reason: str
    at: float
    elapsed: float


def target_of(kind: Kind) -> str:
    """Return the request target of a kind of call."""
    return f"{kind.path}?size={kind.size}" if kind.size else kind.path


def is_complete_answer(kind: Kind, request_id: str, response: Response) -> bool:
    """Return whether a response is the complete answer of the backend server to this request."""
    if kind.size:
        echoed = header(response.headers, b"x-request-id") == request_id.encode()
        return echoed and len(response.body) == kind.size
    document = msgspec.json.decode(response.body)
    return bool(document["request_id"] == request_id and document["received"] == len(kind.body))


async def call(client: HttpClient, kind: Kind, request_id: str) -> Outcome:
    """Make one call and return its outcome."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    headers = [(b"host", kind.host.encode()), (b"x-request-id", request_id.encode())]
    verdict: Verdict | None
    is_complete, reason = True, ""
    try:
        response = await client.request(kind.method, target_of(kind), headers, kind.body)
        verdict_header = header(response.headers, VERDICT)
        verdict = Verdict(verdict_header.decode()) if verdict_header else Verdict.ANSWERED
        if verdict is Verdict.ANSWERED:
            is_complete = response.status == 200 and is_complete_answer(kind, request_id, response)
        else:
            reason = str(msgspec.json.decode(response.body)["reason"])
    except ConnectionRefusedError:
        verdict, reason = Verdict.NOT_RUN, "connection refused"
    except (OSError, ConnectionLost, h11.ProtocolError) as error:
        verdict, reason = Verdict.MAY_HAVE_RUN, f"broken: {type(error).__name__}"
    except TimeoutError:
        verdict, is_complete, reason = None, False, "no answer"
    elapsed = loop.time() - started
    return Outcome(request_id, kind, verdict, is_complete, reason, started, elapsed)


class LoadGenerator:
    """Workers that make random calls, and the outcomes of these calls."""

    def __init__(
        self,
        addresses: Callable[[], Sequence[str]],
        rng: random.Random,
        kinds: Sequence[Kind] = KINDS,
    ) -> None:
        """Create a generator; `addresses` returns the addresses that accept calls at present."""
        self.outcomes: list[Outcome] = []
        self._addresses = addresses
        self._rng = rng
        self._kinds = kinds
        self._next = 0
        self._stopping = False
        self._workers: list[asyncio.Task[None]] = []

    def start(self, workers: int, pause: float) -> None:
        """Start workers that pause between calls, on average for `pause` seconds."""
        self._workers = [asyncio.create_task(self._work(pause)) for _ in range(workers)]

    async def stop(self) -> None:
        """Stop all workers after their current calls."""
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
    """Verdicts that callers received, compared with the requests that backend servers ran.

    `lost` counts missing, incomplete and wrong results. `doubled` counts non-idempotent requests
    that ran more than once.
    """

    calls: int
    answered: int
    not_run: int
    may_have_run: int
    lost: int
    doubled: int
    said_not_run_but_ran: int
    not_whole: int


def audit(outcomes: Iterable[Outcome], reports: Iterable[Mapping[str, Any]]) -> Audit:
    """Compare outcomes with the reports of all backend servers, by request id."""
    runs: Counter[str] = Counter()
    for report in reports:
        runs.update(report["runs"])
    outcomes = list(outcomes)
    verdicts = Counter(outcome.verdict for outcome in outcomes)
    ran = [o for o in outcomes if runs[o.request_id]]
    wrong_not_run = sum(o.verdict is Verdict.NOT_RUN for o in ran)
    without_verdict = sum(o.verdict is None for o in outcomes)
    answered_not_run = sum(
        o.verdict is Verdict.ANSWERED and not runs[o.request_id] for o in outcomes
    )
    not_whole = sum(not o.is_complete for o in outcomes if o.verdict is Verdict.ANSWERED)
    return Audit(
        len(outcomes),
        verdicts[Verdict.ANSWERED],
        verdicts[Verdict.NOT_RUN],
        verdicts[Verdict.MAY_HAVE_RUN],
        without_verdict + answered_not_run + not_whole + wrong_not_run,
        sum(runs[o.request_id] > 1 for o in outcomes if not o.kind.idempotent),
        wrong_not_run,
        not_whole,
    )
