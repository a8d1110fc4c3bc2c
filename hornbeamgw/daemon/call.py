"""Call: the state of one request from a caller, and what is logged when it ends."""

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
from hornbeamgw.core.exposure import Reservation
from hornbeamgw.core.fingerprint import UNKNOWN, as_text, fingerprint_of
from hornbeamgw.core.membership import Member
from hornbeamgw.core.organisations.rank import rank
from hornbeamgw.core.snapshot import (
    ANONYMOUS,
    EMPTY_SNAPSHOT,
    Caller,
    Organisation,
    Route,
    Snapshot,
)
from hornbeamgw.core.verdict import Failure, Reason, Verdict
from hornbeamgw.daemon import frames, heads
from hornbeamgw.daemon.attempts import Attempt
from hornbeamgw.daemon.flow import Promise, Urgency
from hornbeamgw.daemon.http1 import Headers, end_to_end_headers, header
from hornbeamgw.daemon.http_server import BadRequest
from hornbeamgw.daemon.progress import Progress

log = logging.getLogger(__name__)

# Python refuses to convert numbers of more than a few thousand digits.
MAX_HEADER_DIGITS = 18


class MeshView(NamedTuple):
    """The snapshot in force and the known members at the time when a call arrives.

    `ready` is whether a version is in force, and `generation` changes with the membership view.
    """

    ready: bool
    snapshot: Snapshot
    me: Member
    members: Sequence[Member]
    generation: int


class Identity(NamedTuple):
    """The header dialect of this daemon, and the service name that it sends as the caller."""

    dialect: Dialect
    caller_service: str


class PlacementRecord(NamedTuple):
    """The server of one attempt, and the load report on which it was chosen.

    The field names are keys of the "call ended" log line.
    """

    server: str
    free_slots: int | None
    wait_ms: int
    report_age_ms: int
    failing: float
    why_far: str | None


def placement_record(
    chosen: Candidate, why_far: RemoteReason | None, now: float
) -> PlacementRecord:
    """Return the chosen server with its load report and, if it is remote, why it was chosen."""
    load = chosen.load
    age_ms = round((now - load.reported_at) * 1000)
    failure_probability = round(placement.failure_probability(load, now), 2)
    wait_ms = round(load.wait * 1000)
    return PlacementRecord(
        chosen.key, load.free_slots, wait_ms, age_ms, failure_probability, why_far
    )


class Call:
    """The state of one call from a caller.

    Attributes
    ----------
    caller : Caller
        Organisation of the caller and the digest of its key.
    identified_by : Snapshot
        Snapshot by which the caller was identified.
    latency_objective : float
        Latency objective of the route, in seconds.
    answer_by : float
        Loop time in seconds by which the answer should arrive, counted from the caller's first try.
    time_left_ms : int
        Time until the deadline that the caller sent, or the deadline of the route.
    gates_asked : int
        Number of gates that were asked whether they would admit the call.
    accepting : list of Candidate
        Servers whose gates answered that they would admit the call.
    why_far : RemoteReason or None
        Why a server in another data centre was chosen.
    replacement_wait : float
        Time in seconds spent waiting while all servers were about to be replaced.
    reached_attempts, refused_attempts : int
        Numbers of failed attempts that reached a server, and that were refused or lost before.
    limited_attempts : int
        Number of attempts refused because a server was at its rate limit.
    accepts_late : bool
        Whether the call may wait at the next server although it can't be in time.
    is_body_streaming : bool
        Whether the rest of the request body is being sent, so that it can't be sent again.
    tried : list of str
        Keys of the servers that are not to be chosen again.
    promise : Promise or None
        Expected bytes of the answer; None before the call is accepted.
    requests_ahead : int
        Number of unanswered requests ahead of it on the caller's connection when it arrived.
    reservation : Reservation or None
        Request to a version under rollout that is about to be sent; None if there is none.
    token_of : str
        Organisation of whose quota the call holds a token for its next attempt; empty if none.
    """

    def __init__(
        self,
        call_id: str,
        route: Route,
        service: str,
        head: heads.RequestHead,
        deadline: float,
        budget: int,
        caller: Caller = ANONYMOUS,
        identified_by: Snapshot = EMPTY_SNAPSHOT,
    ) -> None:
        """Start a call; `deadline` is loop time in seconds, `budget` the number of retries."""
        self.caller = caller
        self.identified_by = identified_by
        self.call_id = call_id
        self.route = route
        self.service = service
        self.latency_objective = route.objective_ms / 1000
        self.answer_by = math.inf
        self.is_caller_retry = False
        self.time_left_ms = 0
        self.gates_asked = 0
        self.sampling_rounds_left = sampling.MAX_ROUNDS
        self.accepting: list[Candidate] = []
        self.why_far: RemoteReason | None = None
        self.replacement_wait = 0.0
        self.retry_after_ms = 0
        self.reached_attempts = 0
        self.refused_attempts = 0
        self.limited_attempts = 0
        self.accepts_late = False
        self.head = head
        self.deadline = deadline
        self.budget = budget
        self.body = b""
        self.body_complete = False
        self.is_body_streaming = False
        self.current: Attempt | None = None
        self.caller_gone = False
        self.expired = False
        self.is_given_up = False
        self.tried: list[str] = []
        self.placed: list[PlacementRecord] = []
        self.status = 0
        self.fingerprint = UNKNOWN
        self.progress = Progress(0.0)
        self.urgency = Urgency()
        self.promise: Promise | None = None
        self.reservation: Reservation | None = None
        self.requests_ahead = 0
        self.token_of = ""

    @property
    def organisation(self) -> Organisation | None:
        """Return the organisation of the caller, or None."""
        return self.caller.organisation

    @property
    def rank(self) -> int:
        """Return the urgency of the request in relation to others; lower is more urgent."""
        return rank(self.caller.organisation, self.route, self.identified_by.usual_priority)


def release_reservation(call: Call) -> None:
    """Release the reservation of a call, if it has one."""
    if call.reservation is not None:
        call.reservation.release()
        call.reservation = None


def objective_left_ms(call: Call, now: float) -> int:
    """Return the time in ms until the answer is due, negative if that time has passed."""
    return max(-frames.NO_OBJECTIVE_MS, round((call.answer_by - now) * 1000))


def earliest_retry_ms(first_ms: int, second_ms: int) -> int:
    """Return the shorter of two retry delays in ms, where 0 means that none is known."""
    return min(first_ms, second_ms) if first_ms and second_ms else first_ms or second_ms


def call_id_of(request: h11.Request, name: bytes) -> str:
    """Return the call id from the header `name`, or a new one if it is missing."""
    given = header(request.headers, name)
    return given.decode("latin-1")[:64] if given else uuid.uuid4().hex[:16]


def int_header(request: h11.Request, name: bytes, default: int) -> int:
    """Return the integer in a header, or `default` if missing; raise BadRequest if invalid."""
    given = header(request.headers, name) if name else None
    if given is None:
        return default
    if not given.isdigit() or len(given) > MAX_HEADER_DIGITS:
        expected = f"a whole number of at most {MAX_HEADER_DIGITS} digits"
        raise BadRequest(400, f"{name.decode()}: got {given[:64]!r}, expected {expected}")
    return int(given)


def forwarded_headers(request: h11.Request, identity: Identity) -> Headers:
    """Return the headers to forward to the backend server, without those set per attempt."""
    dialect = identity.dialect
    replaced = dialect.set_by_daemons | {dialect.call_id, b"expect"}
    kept = [h for h in end_to_end_headers(request.headers) if h[0] not in replaced]
    if dialect.caller_service:
        kept.append((dialect.caller_service, identity.caller_service.encode()))
    return kept


def without_identity(headers: Headers, dialect: Dialect) -> Headers:
    """Return headers without a caller's key, and without the name of an organisation.

    Some servers take `_` in the name of a header for `-`, so names with it are compared likewise.
    """
    removed = (dialect.key, dialect.organisation)
    return [h for h in headers if h[0].replace(b"_", b"-") not in removed]


def fingerprint_of_call(call: Call, dialect: Dialect) -> int:
    """Return a hash of target, caller and body by which a repeated request is recognised.

    If the body is incomplete, the received part and the content-length header are hashed.
    """
    head = call.head
    names = (b"host", *dialect.identifies_caller)
    parts = [head.method, head.target, *(header(head.headers, name) or b"" for name in names)]
    if call.caller.key_digest:
        # The key itself is no longer among the headers.
        parts.append(call.caller.key_digest)
    if not call.body_complete:
        parts.append(header(head.headers, b"content-length") or b"")
    return fingerprint_of([*parts, call.body])


def log_end(call: Call, failure: Failure | None, elapsed: float, version: int) -> None:
    """Log how a call ended after `elapsed` seconds, and how its servers were chosen."""
    fields: dict[str, Any] = {
        "call_id": call.call_id,
        "route": call.route.name,
        "service": call.service,
        "version": version,
        "verdict": Verdict.ANSWERED if failure is None else failure.verdict,
        "elapsed_ms": round(elapsed * 1000, 1),
        "time_left_ms": call.time_left_ms,
        "placed": [placed._asdict() for placed in call.placed],
    }
    if call.organisation is not None:
        fields["organisation"] = call.organisation.name
        fields["rank"] = call.rank
    if call.gates_asked:
        fields["gates_asked"] = call.gates_asked
    if call.is_caller_retry:
        fields["came_back"] = True
    if call.replacement_wait:
        fields["waited_ms"] = round(call.replacement_wait * 1000)
    if call.requests_ahead:
        fields["requests_ahead"] = call.requests_ahead
    if failure is None:
        fields["status"] = call.status
    else:
        fields["fingerprint"] = as_text(call.fingerprint)
        fields["reason"] = failure.reason
        fields["detail"] = failure.detail
        fields["retry_after_ms"] = failure.retry_after_ms
    log.info("call ended", extra=fields)


def log_refused(
    call_id: str,
    failure: Failure,
    version: int,
    version_age: float | None,
    organisation: Organisation | None = None,
) -> None:
    """Log why a request was refused before the first attempt.

    `version_age` is the time in seconds since the version came into force, None if it is unknown.
    """
    fields: dict[str, Any] = {"reason": failure.reason, "detail": failure.detail}
    fields["version"] = version
    if failure.reason is Reason.UNAUTHENTICATED and version_age is not None:
        fields["version_age_s"] = round(version_age, 1)
    if organisation is not None:
        fields["organisation"] = organisation.name
    log.info("call refused", extra={"call_id": call_id, **fields})
