"""Codec: encodes and decodes frames and member records in Cap'n Proto."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import capnp

from hornbeamgw.core.declaration import Heard
from hornbeamgw.core.departures import LeftRun
from hornbeamgw.core.finding import MAX_FINDINGS, MAX_FINGERPRINTS, Finding, FindingKind
from hornbeamgw.core.membership import FurtherServer, Member, ServerState, Status
from hornbeamgw.core.snapshot import Limits
from hornbeamgw.core.standing import MAX_ROLLOUT_STATUSES, Closing, Phase, RolloutStatus
from hornbeamgw.core.verdict import Failure, Reason, Verdict
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.schema import load

schema = load()

MAX_FRAME_BYTES = 16 * 1024 * 1024
LENGTH_PREFIX_BYTES = 4
# Gossip sends each changed record about eight times. During a rolling restart a few dozen records
# are in circulation at once. An encoded record takes 1 KB.
ENCODED_MEMBER_CACHE_SIZE = 64

# Takes the address of a member and the rank of a received record (incarnation, sequence, status),
# and returns whether the record is newer than the known one.
IsNewer = Callable[[str, tuple[int, int, int]], bool]
FrameType = TypeVar("FrameType")


_REASONS = frozenset(Reason)


class CodecError(ValueError):
    """Received bytes are not a valid message of this protocol."""


def _write_member(out: Any, member: Member) -> None:
    out.address = member.address
    out.dataCentre = member.data_centre
    out.region = member.region
    out.incarnation = member.incarnation
    out.sequence = member.sequence
    out.status = int(member.status)
    out.service = member.service
    out.serverState = int(member.server_state)
    out.slots = member.slots
    out.version = member.version
    out.admin = member.admin
    out.bandwidth = member.bandwidth
    out.serverStartedMs = member.server_started_ms
    out.software = member.software
    out.server = member.server
    if member.findings:
        _write_findings(out.init("findings", len(member.findings)), member.findings)
    if member.further_servers:
        servers = out.init("furtherServers", len(member.further_servers))
        for index, server in enumerate(member.further_servers):
            _write_further_server(servers[index], server)
    if member.standings:
        standings = out.init("standings", len(member.standings))
        for index, rollout_status in enumerate(member.standings):
            _write_rollout_status(standings[index], rollout_status)


def _write_rollout_status(out: Any, status: RolloutStatus) -> None:
    out.service, out.target, out.number = status.service, status.target, status.number
    out.phase, out.step, out.lengthMs = int(status.phase), status.step, status.length_ms
    out.closing = int(status.closing)


def _read_rollout_status(raw: Any) -> RolloutStatus:
    phase = Phase(raw.phase)
    closing = Closing(min(raw.closing, Closing.CLOSED))
    return RolloutStatus(
        raw.service, raw.target, raw.number, phase, raw.step, raw.lengthMs, closing
    )


def _write_further_server(out: Any, server: FurtherServer) -> None:
    out.number, out.service, out.state = server.number, server.service, int(server.state)
    out.slots, out.startedMs, out.software = server.slots, server.started_ms, server.software


def _read_further_server(raw: Any) -> FurtherServer:
    state = ServerState(raw.state)
    return FurtherServer(raw.number, raw.service, state, raw.slots, raw.startedMs, raw.software)


def _write_findings(out: Any, findings: Sequence[Finding]) -> None:
    for index, finding in enumerate(findings):
        out[index].number, out[index].kind = finding.number, int(finding.kind)
        out[index].fingerprints = list(finding.fingerprints)


def _read_finding(raw: Any) -> Finding:
    if len(raw.fingerprints) > MAX_FINGERPRINTS:
        raise ValueError(f"{len(raw.fingerprints)} fingerprints, expected {MAX_FINGERPRINTS}")
    return Finding(raw.number, FindingKind(raw.kind), tuple(raw.fingerprints))


def field_reader(struct: Any, *names: str) -> Callable[[Any], list[Any]]:
    """Return a function that reads the named fields of a message, in this order.

    The fields are looked up once, since access by name is four times slower in pycapnp.
    """
    fields = [struct.schema.fields[name] for name in names]

    def read(raw: Any) -> list[Any]:
        get = raw._get_by_field
        return [get(field) for field in fields]

    return read


_read_identity = field_reader(
    schema.Member, "address", "dataCentre", "region", "incarnation", "sequence", "status"
)
_read_server_fields = field_reader(
    schema.Member,
    "service",
    "serverState",
    "slots",
    "version",
    "admin",
    "bandwidth",
    "serverStartedMs",
)
_read_software = field_reader(schema.Member, "software", "server")
_member_list_fields = tuple(
    schema.Member.schema.fields[name] for name in ("findings", "furtherServers", "standings")
)


def _read_lists(raw: Any) -> list[Sequence[Any]]:
    """Return the list fields of a record.

    Absent lists are returned as empty tuples without reading them, which is faster.
    """
    has, get = raw._has_by_field, raw._get_by_field
    return [get(field) if has(field) else () for field in _member_list_fields]


def read_member(raw: Any) -> Member:
    """Decode a member record; raise ValueError if it is invalid."""
    return _read_remaining_fields(raw, _read_identity(raw))


def read_newer_members(records: Any, is_newer: IsNewer) -> list[Member]:
    """Decode only the member records that are newer than the known ones.

    This saves time while members restart, when most records in gossip are already known. Raise
    ValueError if a decoded record is invalid.
    """
    newer = []
    for raw in records:
        identity = _read_identity(raw)
        address, _, _, *rank = identity
        if is_newer(address, tuple(rank)):
            newer.append(_read_remaining_fields(raw, identity))
    return newer


def _read_remaining_fields(raw: Any, identity_and_status: Sequence[Any]) -> Member:
    *identity, status = identity_and_status
    service, state, *other_fields = _read_server_fields(raw)
    findings, further_servers, standings = _read_lists(raw)
    if len(findings) > MAX_FINDINGS:
        raise ValueError(f"{len(findings)} findings, expected {MAX_FINDINGS} at most")
    if len(standings) > MAX_ROLLOUT_STATUSES:
        raise ValueError(f"{len(standings)} standings, expected {MAX_ROLLOUT_STATUSES} at most")
    values = (
        *identity,
        Status(status),
        service,
        ServerState(state),
        *other_fields,
        tuple([_read_finding(finding) for finding in findings]),
        *_read_software(raw),
        tuple([_read_further_server(server) for server in further_servers]),
        tuple([_read_rollout_status(standing) for standing in standings]),
    )
    return Member(*values)


def write_members(out: Any, members: Sequence[Member]) -> None:
    """Write member records into a list of a message."""
    for index, member in enumerate(members):
        _write_member(out[index], member)


@functools.lru_cache(maxsize=ENCODED_MEMBER_CACHE_SIZE)
def encoded_member(member: Member) -> Any:
    """Return a member record as a Cap'n Proto message that can be copied into other messages."""
    out = schema.Member.new_message()
    _write_member(out, member)
    return schema.Member.from_bytes_packed(out.to_bytes_packed())


def _write_hello(out: Any, f: frames.Hello) -> None:
    hello = out.init("hello")
    hello.fleet, hello.member, hello.incarnation = f.fleet, f.member, f.incarnation
    hello.dataCentre = f.data_centre


def _write_heartbeat(out: Any, f: frames.Heartbeat) -> None:
    out.heartbeat = f.expects_reply


def _write_declaration(out: Any, heard: Heard) -> None:
    out.run, out.leaving = heard.run, heard.is_leaving
    if heard.rate_limit is not None:
        out.hasLimit, out.rateLimit = True, heard.rate_limit


def _write_call(out: Any, f: frames.Call) -> None:
    if not f.organisation:
        _write_call_fields(out.init("call"), f)
        return
    identified = out.init("identifiedCall")
    identified.organisation = f.organisation
    identified.keyDigest = f.key_digest
    identified.identifiedBy = f.identified_by
    _write_call_fields(identified.init("call"), f)


def _write_call_fields(call: Any, f: frames.Call) -> None:
    call.attempt = f.attempt
    call.callId = f.call_id
    call.service = f.service
    call.entry = f.entry
    call.idempotent = f.idempotent
    call.deadlineMs = f.deadline_ms
    call.retryBudget = f.retry_budget
    call.head = f.head
    call.body = f.body
    call.end = f.end
    call.route = f.route
    call.objectiveMs = f.remaining_objective_ms
    call.aimMs = f.latency_objective_ms
    call.priority = f.priority
    call.cameBack = f.is_retry
    call.repeat = f.repeat
    call.fingerprint = f.fingerprint
    call.server = f.server
    call.typicalMs = f.typical_service_ms
    call.formerWorkMs = f.former_work_ms
    call.acceptsLate = f.accepts_late
    if f.heard is not None:
        _write_declaration(call.init("heard"), f.heard)
    limits = call.init("limits")
    limits.slots, limits.reserved, limits.queue = f.limits


def _write_body(out: Any, f: frames.Body) -> None:
    body = out.init("body")
    body.attempt, body.data, body.end, body.leaving = (
        f.attempt,
        f.data,
        f.end,
        f.leaving,
    )


def _write_reply(out: Any, f: frames.Reply) -> None:
    reply = out.init("reply")
    reply.attempt = f.attempt
    reply.status = f.status
    reply.head = f.head
    reply.body = f.body
    reply.end = f.end
    reply.freeSlots = f.free_slots
    reply.waitMs = f.wait_ms
    reply.serviceMs = f.service_ms
    if f.declared is not None:
        _write_declaration(reply.init("declared"), f.declared)


def _write_refusal(out: Any, f: frames.Refusal) -> None:
    refusal = out.init("refusal")
    refusal.attempt = f.attempt
    refusal.mayHaveRun = f.failure.verdict is not Verdict.NOT_RUN
    refusal.reason = f.failure.reason
    refusal.detail = f.failure.detail
    refusal.retryAfterMs = f.failure.retry_after_ms
    refusal.freeSlots = f.free_slots
    refusal.waitMs = f.wait_ms
    refusal.reachedServer = f.failure.reached_server


def _write_credit(out: Any, f: frames.Credit) -> None:
    credit = out.init("credit")
    credit.attempt, credit.bytes, credit.urgent = f.attempt, f.size, f.urgent


def _write_cancel(out: Any, f: frames.Cancel) -> None:
    out.cancel = f.attempt


def _write_question(out: Any, f: frames.Question) -> None:
    question = out.init("question")
    question.attempt, question.ageMs, question.server = f.attempt, f.age_ms, f.server


def _write_resolution(out: Any, f: frames.Resolution) -> None:
    resolution = out.init("resolution")
    resolution.attempt, resolution.mayHaveRun = f.attempt, f.may_have_run


def _write_pull(out: Any, f: frames.Pull) -> None:
    out.pull = f.version


def _write_deltas(out: Any, f: frames.Deltas) -> None:
    blobs = out.init("deltas", len(f.blobs))
    for index, blob in enumerate(f.blobs):
        blobs[index] = blob


def _write_whole_catalogue(out: Any, f: frames.WholeCatalogue) -> None:
    out.snapshot = f.blob


def _write_view_request(out: Any, f: frames.ViewRequest) -> None:
    _write_member(out.init("viewRequest"), f.member)


def _write_view(out: Any, f: frames.View) -> None:
    write_members(out.init("view", len(f.members)), f.members)


def _write_floor_request(out: Any, f: frames.FloorRequest) -> None:
    out.floorRequest = f.address


def _write_floor(out: Any, f: frames.Floor) -> None:
    floor = out.init("floor")
    floor.version, floor.confirmed = f.version, f.confirmed


def _write_outlook_request(out: Any, f: frames.OutlookRequest) -> None:
    if not f.organisation:
        _write_outlook_request_fields(out.init("outlookRequest"), f)
        return
    identified = out.init("identifiedOutlookRequest")
    identified.organisation = f.organisation
    _write_outlook_request_fields(identified.init("request"), f)


def _write_outlook_request_fields(request: Any, f: frames.OutlookRequest) -> None:
    request.number = f.number
    request.service = f.service
    request.entry = f.entry
    request.route = f.route
    request.deadlineMs = f.deadline_ms
    request.objectiveMs = f.remaining_objective_ms
    request.aimMs = f.latency_objective_ms
    request.priority = f.priority
    request.cameBack = f.is_retry
    request.server = f.server
    request.acceptsLate = f.accepts_late


def _write_outlook(out: Any, f: frames.Outlook) -> None:
    outlook = out.init("outlook")
    outlook.number = f.number
    outlook.takes = f.takes
    outlook.freeSlots = f.free_slots
    outlook.waitMs = f.wait_ms
    outlook.retryAfterMs = f.retry_after_ms


def _write_departures(out: Any, f: frames.Departures) -> None:
    departures = out.init("departures")
    departures.reliable = f.is_reliable
    runs = departures.init("runs", len(f.runs))
    for raw, run in zip(runs, f.runs, strict=True):
        raw.instance, raw.startedMs, raw.gone = run


_writers_by_type: dict[type, Callable[[Any, Any], None]] = {
    frames.Hello: _write_hello,
    frames.Heartbeat: _write_heartbeat,
    frames.Call: _write_call,
    frames.Body: _write_body,
    frames.Reply: _write_reply,
    frames.Refusal: _write_refusal,
    frames.Credit: _write_credit,
    frames.Cancel: _write_cancel,
    frames.Question: _write_question,
    frames.Resolution: _write_resolution,
    frames.Pull: _write_pull,
    frames.Deltas: _write_deltas,
    frames.WholeCatalogue: _write_whole_catalogue,
    frames.ViewRequest: _write_view_request,
    frames.View: _write_view,
    frames.FloorRequest: _write_floor_request,
    frames.Floor: _write_floor,
    frames.OutlookRequest: _write_outlook_request,
    frames.Outlook: _write_outlook,
    frames.Departures: _write_departures,
}


_read_call_fields = field_reader(
    schema.Call,
    "attempt",
    "callId",
    "service",
    "entry",
    "idempotent",
    "deadlineMs",
    "retryBudget",
    "head",
    "body",
    "end",
    "route",
    "objectiveMs",
    "aimMs",
    "priority",
    "cameBack",
    "repeat",
    "limits",
    "fingerprint",
    "server",
    "typicalMs",
    "formerWorkMs",
    "acceptsLate",
)
_read_limits = field_reader(schema.Limits, "slots", "reserved", "queue")
_read_refusal_fields = field_reader(
    schema.Refusal,
    "attempt",
    "mayHaveRun",
    "reason",
    "detail",
    "retryAfterMs",
    "reachedServer",
    "freeSlots",
    "waitMs",
)


_read_reply_fields = field_reader(
    schema.Reply,
    "attempt",
    "status",
    "head",
    "body",
    "end",
    "freeSlots",
    "waitMs",
    "serviceMs",
)
_heard_field = schema.Call.schema.fields["heard"]
_declared_field = schema.Reply.schema.fields["declared"]


def _read_declaration(raw: Any, field: Any) -> Heard | None:
    if not raw._has_by_field(field):
        return None
    declared = raw._get_by_field(field)
    limit = declared.rateLimit if declared.hasLimit else None
    if limit is not None and not 0 <= limit < math.inf:
        raise ValueError(f"rate limit {limit!r}, expected a finite number of at least 0")
    return Heard(declared.run, limit, declared.leaving)


def _read_call(raw: Any) -> frames.Call:
    *first, limits, fingerprint, server, typical_service_ms, former_work_ms, accepts_late = (
        _read_call_fields(raw)
    )
    values = (
        *first,
        Limits(*_read_limits(limits)),
        fingerprint,
        server,
        typical_service_ms,
        _read_declaration(raw, _heard_field),
        former_work_ms,
    )
    return frames.Call(*values)._replace(accepts_late=accepts_late)


_read_identified_call_fields = field_reader(
    schema.IdentifiedCall, "call", "organisation", "keyDigest", "identifiedBy"
)


def _read_identified_call(raw: Any) -> frames.Call:
    call, organisation, key_digest, identified_by = _read_identified_call_fields(raw)
    return _read_call(call)._replace(
        organisation=organisation, key_digest=key_digest, identified_by=identified_by
    )


def _read_identified_outlook_request(raw: Any) -> frames.OutlookRequest:
    return _read_outlook_request(raw.request)._replace(organisation=raw.organisation)


def _read_reply(raw: Any) -> frames.Reply:
    values = (*_read_reply_fields(raw), _read_declaration(raw, _declared_field))
    return frames.Reply(*values)


def _read_refusal(raw: Any) -> frames.Refusal:
    attempt, may_have_run, reason_name, detail, retry_after_ms, reached, *load = (
        _read_refusal_fields(raw)
    )
    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
    # A newer daemon may send a reason that is unknown here. Replacing it doesn't affect retries,
    # which depend only on the verdict.
    reason = Reason(reason_name) if reason_name in _REASONS else Reason.BACKEND_REFUSED
    return frames.Refusal(attempt, Failure(verdict, reason, detail, retry_after_ms, reached), *load)


def _frame_reader(
    frame_type: Callable[..., FrameType], struct: Any, *names: str
) -> Callable[[Any], FrameType]:
    read = field_reader(struct, *names)
    return lambda raw: frame_type(*read(raw))


_read_outlook_request = _frame_reader(
    frames.OutlookRequest,
    schema.OutlookRequest,
    "number",
    "service",
    "entry",
    "route",
    "deadlineMs",
    "objectiveMs",
    "aimMs",
    "priority",
    "cameBack",
    "server",
    "acceptsLate",
)


def _read_departures(raw: Any) -> frames.Departures:
    runs = tuple(LeftRun(run.instance, run.startedMs, run.gone) for run in raw.runs)
    return frames.Departures(runs, raw.reliable)


_readers_by_kind: dict[str, Callable[[Any], frames.Frame]] = {
    "hello": _frame_reader(
        frames.Hello, schema.Hello, "fleet", "member", "incarnation", "dataCentre"
    ),
    "heartbeat": frames.Heartbeat,
    "call": _read_call,
    "body": _frame_reader(frames.Body, schema.Body, "attempt", "data", "end", "leaving"),
    "reply": _read_reply,
    "refusal": _read_refusal,
    "credit": _frame_reader(frames.Credit, schema.Credit, "attempt", "bytes", "urgent"),
    "cancel": frames.Cancel,
    "question": _frame_reader(frames.Question, schema.Question, "attempt", "ageMs", "server"),
    "resolution": _frame_reader(frames.Resolution, schema.Resolution, "attempt", "mayHaveRun"),
    "pull": frames.Pull,
    "deltas": lambda blobs: frames.Deltas(list(blobs)),
    "snapshot": frames.WholeCatalogue,
    "viewRequest": lambda member: frames.ViewRequest(read_member(member)),
    "view": lambda members: frames.View([read_member(member) for member in members]),
    "floorRequest": frames.FloorRequest,
    "floor": _frame_reader(frames.Floor, schema.Floor, "version", "confirmed"),
    "outlookRequest": _read_outlook_request,
    "identifiedCall": _read_identified_call,
    "identifiedOutlookRequest": _read_identified_outlook_request,
    "outlook": _frame_reader(
        frames.Outlook,
        schema.Outlook,
        "number",
        "takes",
        "freeSlots",
        "waitMs",
        "retryAfterMs",
    ),
    "departures": _read_departures,
}


def encode_frame(frame: frames.Frame) -> bytes:
    """Return an encoded frame with a length prefix."""
    message = schema.Frame.new_message()
    _writers_by_type[type(frame)](message, frame)
    payload: bytes = message.to_bytes()
    return add_length_prefix(payload)


def add_length_prefix(payload: bytes) -> bytes:
    """Return a payload with a length prefix."""
    return len(payload).to_bytes(LENGTH_PREFIX_BYTES, "big") + payload


def decode_frame(payload: bytes) -> frames.Frame:
    """Decode a frame; raise CodecError if it is invalid."""
    try:
        with schema.Frame.from_bytes(payload) as message:
            kind = message._which_str()
            return _readers_by_kind[kind](message._get(kind))
    except (capnp.KjException, ValueError, KeyError, UnicodeError) as error:
        raise CodecError(f"not a frame: {error}") from error


def detach_body(frame: frames.Frame) -> tuple[frames.Frame, bytes]:
    """Return a frame without its body, and the body."""
    if isinstance(frame, frames.Call | frames.Reply):
        return frame._replace(body=b""), frame.body
    if isinstance(frame, frames.Body):
        return frame._replace(data=b""), frame.data
    return frame, b""


def attach_body(frame: frames.Frame, body: bytes) -> frames.Frame:
    """Return a frame with a body that `detach_body` removed."""
    if isinstance(frame, frames.Call | frames.Reply):
        return frame._replace(body=body)
    return frame._replace(data=body) if isinstance(frame, frames.Body) else frame
