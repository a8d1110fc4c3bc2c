"""Call: one request of a caller, from its head to what became of it."""

from __future__ import annotations

import logging
import math
import uuid
from collections.abc import Sequence
from typing import Any, NamedTuple

import h11

from hornbeamgw.core import placement, sampling
from hornbeamgw.core.balancing import Candidate
from hornbeamgw.core.crossing import RemoteReason
from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.fingerprint import UNKNOWN, as_text, fingerprint_of
from hornbeamgw.core.membership import Member
from hornbeamgw.core.snapshot import Route, Snapshot
from hornbeamgw.core.verdict import Failure, Verdict
from hornbeamgw.daemon import frames, heads
from hornbeamgw.daemon.attempts import Attempt
from hornbeamgw.daemon.flow import Urgency
from hornbeamgw.daemon.http1 import Headers, end_to_end_headers, header
from hornbeamgw.daemon.http_server import BadRequest
from hornbeamgw.daemon.progress import Progress

log = logging.getLogger(__name__)


class View(NamedTuple):
    """Hold what a call is decided on, as it stands when the call arrives."""

    ready: bool
    snapshot: Snapshot
    me: Member
    members: Sequence[Member]
    generation: int


class Identity(NamedTuple):
    """Hold how requests are worded here, and the service in whose name they are passed on."""

    dialect: Dialect
    caller_service: str


class Placed(NamedTuple):
    """Tell where an attempt went and by which report of that daemon; times in ms."""

    server: str
    free_slots: int | None
    wait_ms: int
    report_age_ms: int
    failing: float
    why_far: str | None


def placed_at(chosen: Candidate, why_far: RemoteReason | None, now: float) -> Placed:
    """Return where an attempt goes, by which report, and why to another data centre."""
    load = chosen.load
    age_ms = round((now - load.reported_at) * 1000)
    failure_probability = round(placement.failure_probability(load, now), 2)
    wait_ms = round(load.wait * 1000)
    return Placed(chosen.key, load.free_slots, wait_ms, age_ms, failure_probability, why_far)


class Call:
    """Hold one call of a caller."""

    def __init__(
        self,
        call_id: str,
        route: Route,
        service: str,
        head: heads.RequestHead,
        deadline: float,
        budget: int,
    ) -> None:
        """Take its head, the route and service it goes to, its deadline and retry budget."""
        self.call_id = call_id
        self.route = route
        self.service = service
        self.aim = route.objective_ms / 1000
        self.objective = math.inf
        self.came_back = False
        self.time_left_ms = 0
        self.asked = 0
        self.rounds_left = sampling.MAX_ROUNDS
        self.takers: list[Candidate] = []
        self.why_far: RemoteReason | None = None
        self.waited = 0.0  # s, for servers that were about to be replaced
        self.retry_after_ms = 0
        self.arrivals = 0
        self.refusals = 0
        self.head = head
        self.deadline = deadline
        self.budget = budget
        self.body = b""
        self.body_complete = False
        self.started_stream = False
        self.current: Attempt | None = None
        self.caller_gone = False
        self.expired = False
        self.is_given_up = False
        self.tried: list[str] = []
        self.placed: list[Placed] = []
        self.status = 0
        self.fingerprint = UNKNOWN
        self.progress = Progress(0.0)
        self.urgency = Urgency()


def objective_left_ms(call: Call, now: float) -> int:
    """Return what is left of the objective; past it, how long ago it passed, negative."""
    return max(-frames.NO_OBJECTIVE_MS, round((call.objective - now) * 1000))


def sooner(earlier_ms: int, later_ms: int) -> int:
    """Return the sooner of two times to come back; 0 is none."""
    return min(earlier_ms, later_ms) if earlier_ms and later_ms else earlier_ms or later_ms


def call_id_of(request: h11.Request, name: bytes) -> str:
    """Return the id that a caller gave in a header, or a new one."""
    given = header(request.headers, name)
    return given.decode("latin-1")[:64] if given else uuid.uuid4().hex[:16]


def number_of(request: h11.Request, name: bytes, default: int) -> int:
    """Return the whole number in a header; raise BadRequest."""
    given = header(request.headers, name) if name else None
    if given is None:
        return default
    if not given.isdigit():
        raise BadRequest(400, f"{name.decode()}: got {given!r}, expected a whole number")
    return int(given)


def passed_on(request: h11.Request, identity: Identity) -> Headers:
    """Return the headers of a request for the backend server, but for those of each attempt."""
    dialect = identity.dialect
    replaced = dialect.set_by_daemons | {dialect.call_id, b"expect"}
    kept = [h for h in end_to_end_headers(request.headers) if h[0] not in replaced]
    if dialect.caller_service:
        kept.append((dialect.caller_service, identity.caller_service.encode()))
    return kept


def fingerprint_of_call(call: Call, dialect: Dialect) -> int:
    """Return what a call is known by when it comes again: its target, caller and body.

    Of a body that is still on its way the part that has come counts, and the length announced.
    """
    head = call.head
    names = (b"host", *dialect.identifies_caller)
    parts = [head.method, head.target, *(header(head.headers, name) or b"" for name in names)]
    if not call.body_complete:
        parts.append(header(head.headers, b"content-length") or b"")
    return fingerprint_of([*parts, call.body])


def log_end(call: Call, failure: Failure | None, elapsed: float, version: int) -> None:
    """Tell how a call ended (elapsed in s) and what decided where it went."""
    told: dict[str, Any] = {
        "call_id": call.call_id,
        "route": call.route.name,
        "service": call.service,
        "version": version,
        "verdict": Verdict.ANSWERED if failure is None else failure.verdict,
        "elapsed_ms": round(elapsed * 1000, 1),
        "time_left_ms": call.time_left_ms,
        "placed": [placed._asdict() for placed in call.placed],
    }
    if call.asked:
        told["gates_asked"] = call.asked
    if call.came_back:
        told["came_back"] = True
    if call.waited:
        told["waited_ms"] = round(call.waited * 1000)
    if failure is None:
        told["status"] = call.status
    else:
        told["fingerprint"] = as_text(call.fingerprint)
        told["reason"] = failure.reason
        told["detail"] = failure.detail
        told["retry_after_ms"] = failure.retry_after_ms
    log.info("call ended", extra=told)


def log_refused(call_id: str, failure: Failure, version: int) -> None:
    """Tell why a request was refused before any attempt."""
    told = {"reason": failure.reason, "detail": failure.detail, "version": version}
    log.info("call refused", extra={"call_id": call_id, **told})
