"""Codec: frames in Cap'n Proto, by pycapnp."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import capnp

from hornbeamgw.core.finding import MOST_FINDINGS, MOST_FINGERPRINTS, Finding, FindingKind
from hornbeamgw.core.membership import FurtherServer, Member, ServerState, Status
from hornbeamgw.core.snapshot import Limits
from hornbeamgw.core.standing import MOST_STANDINGS, Closing, Phase, Standing
from hornbeamgw.core.verdict import Failure, Reason, Verdict
from hornbeamgw.daemon import frames

capnp.remove_import_hook()
# Not by importlib.resources, which brings 14 modules that a daemon has no other use for.
schema = capnp.load(str(Path(__file__).parents[1] / "schema" / "messages.capnp"))

MAX_FRAME = 16 * 1024 * 1024
LENGTH_BYTES = 4


_REASONS = frozenset(Reason)


class CodecError(ValueError):
    """Say that bytes are no message of this protocol."""


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
        for index, standing in enumerate(member.standings):
            _write_standing(standings[index], standing)


def _write_standing(out: Any, standing: Standing) -> None:
    out.service, out.target, out.number = standing.service, standing.target, standing.number
    out.phase, out.step, out.lengthMs = int(standing.phase), standing.step, standing.length_ms
    out.closing = int(standing.closing)


def _read_standing(raw: Any) -> Standing:
    phase = Phase(raw.phase)
    closing = Closing(min(raw.closing, Closing.CLOSED))
    return Standing(raw.service, raw.target, raw.number, phase, raw.step, raw.lengthMs, closing)


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
    if len(raw.fingerprints) > MOST_FINGERPRINTS:
        raise ValueError(f"{len(raw.fingerprints)} fingerprints, expected {MOST_FINGERPRINTS}")
    return Finding(raw.number, FindingKind(raw.kind), tuple(raw.fingerprints))


def read_member(raw: Any) -> Member:
    """Return the record of a member in a message; raise ValueError where it is none."""
    if len(raw.findings) > MOST_FINDINGS:
        raise ValueError(f"{len(raw.findings)} findings, expected {MOST_FINDINGS} at most")
    if len(raw.standings) > MOST_STANDINGS:
        raise ValueError(f"{len(raw.standings)} standings, expected {MOST_STANDINGS} at most")
    return Member(
        raw.address,
        raw.dataCentre,
        raw.region,
        raw.incarnation,
        raw.sequence,
        Status(raw.status),
        raw.service,
        ServerState(raw.serverState),
        raw.slots,
        raw.version,
        raw.admin,
        raw.bandwidth,
        raw.serverStartedMs,
        tuple(_read_finding(finding) for finding in raw.findings),
        raw.software,
        raw.server,
        tuple(_read_further_server(server) for server in raw.furtherServers),
        tuple(_read_standing(standing) for standing in raw.standings),
    )


def write_members(out: Any, members: Sequence[Member]) -> None:
    """Write records of members into a list of a message."""
    for index, member in enumerate(members):
        _write_member(out[index], member)


def _write_hello(out: Any, f: frames.Hello) -> None:
    hello = out.init("hello")
    hello.fleet, hello.member, hello.incarnation = f.fleet, f.member, f.incarnation
    hello.dataCentre = f.data_centre


def _write_heartbeat(out: Any, f: frames.Heartbeat) -> None:
    out.heartbeat = f.asks


def _write_call(out: Any, f: frames.Call) -> None:
    call = out.init("call")
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
    call.objectiveMs = f.objective_ms
    call.aimMs = f.aim_ms
    call.priority = f.priority
    call.cameBack = f.came_back
    call.repeat = f.repeat
    call.fingerprint = f.fingerprint
    call.server = f.server
    call.typicalMs = f.typical_ms
    limits = call.init("limits")
    limits.slots, limits.reserved, limits.queue = f.limits


def _write_body(out: Any, f: frames.Body) -> None:
    body = out.init("body")
    body.attempt, body.data, body.end = f.attempt, f.data, f.end


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
    credit.attempt, credit.bytes = f.attempt, f.size


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


def _write_whole(out: Any, f: frames.WholeCatalogue) -> None:
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
    request = out.init("outlookRequest")
    request.number = f.number
    request.service = f.service
    request.entry = f.entry
    request.route = f.route
    request.deadlineMs = f.deadline_ms
    request.objectiveMs = f.objective_ms
    request.aimMs = f.aim_ms
    request.priority = f.priority
    request.cameBack = f.came_back
    request.server = f.server


def _write_outlook(out: Any, f: frames.Outlook) -> None:
    outlook = out.init("outlook")
    outlook.number = f.number
    outlook.takes = f.takes
    outlook.freeSlots = f.free_slots
    outlook.waitMs = f.wait_ms
    outlook.retryAfterMs = f.retry_after_ms


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
    frames.WholeCatalogue: _write_whole,
    frames.ViewRequest: _write_view_request,
    frames.View: _write_view,
    frames.FloorRequest: _write_floor_request,
    frames.Floor: _write_floor,
    frames.OutlookRequest: _write_outlook_request,
    frames.Outlook: _write_outlook,
}


def _read_call(c: Any) -> frames.Call:
    return frames.Call(
        c.attempt,
        c.callId,
        c.service,
        c.entry,
        c.idempotent,
        c.deadlineMs,
        c.retryBudget,
        c.head,
        c.body,
        c.end,
        c.route,
        c.objectiveMs,
        c.aimMs,
        c.priority,
        c.cameBack,
        c.repeat,
        Limits(c.limits.slots, c.limits.reserved, c.limits.queue),
        c.fingerprint,
        c.server,
        c.typicalMs,
    )


def _read_reply(r: Any) -> frames.Reply:
    return frames.Reply(
        r.attempt, r.status, r.head, r.body, r.end, r.freeSlots, r.waitMs, r.serviceMs
    )


def _read_refusal(r: Any) -> frames.Refusal:
    verdict = Verdict.MAY_HAVE_RUN if r.mayHaveRun else Verdict.NOT_RUN
    # A newer daemon may have a reason that this one does not know; the verdict says what matters.
    reason = Reason(r.reason) if r.reason in _REASONS else Reason.BACKEND_REFUSED
    failure = Failure(verdict, reason, r.detail, r.retryAfterMs, r.reachedServer)
    return frames.Refusal(r.attempt, failure, r.freeSlots, r.waitMs)


def _read_outlook_request(r: Any) -> frames.OutlookRequest:
    return frames.OutlookRequest(
        r.number,
        r.service,
        r.entry,
        r.route,
        r.deadlineMs,
        r.objectiveMs,
        r.aimMs,
        r.priority,
        r.cameBack,
        r.server,
    )


def _read_outlook(o: Any) -> frames.Outlook:
    return frames.Outlook(o.number, o.takes, o.freeSlots, o.waitMs, o.retryAfterMs)


_readers_by_kind: dict[str, Callable[[Any], frames.Frame]] = {
    "hello": lambda h: frames.Hello(h.fleet, h.member, h.incarnation, h.dataCentre),
    "heartbeat": frames.Heartbeat,
    "call": _read_call,
    "body": lambda b: frames.Body(b.attempt, b.data, b.end),
    "reply": _read_reply,
    "refusal": _read_refusal,
    "credit": lambda c: frames.Credit(c.attempt, c.bytes),
    "cancel": frames.Cancel,
    "question": lambda q: frames.Question(q.attempt, q.ageMs, q.server),
    "resolution": lambda r: frames.Resolution(r.attempt, r.mayHaveRun),
    "pull": frames.Pull,
    "deltas": lambda blobs: frames.Deltas(list(blobs)),
    "snapshot": frames.WholeCatalogue,
    "viewRequest": lambda m: frames.ViewRequest(read_member(m)),
    "view": lambda members: frames.View([read_member(m) for m in members]),
    "floorRequest": frames.FloorRequest,
    "floor": lambda f: frames.Floor(f.version, f.confirmed),
    "outlookRequest": _read_outlook_request,
    "outlook": _read_outlook,
}


def encode_frame(frame: frames.Frame) -> bytes:
    """Return a frame with its length before it."""
    message = schema.Frame.new_message()
    _writers_by_type[type(frame)](message, frame)
    payload: bytes = message.to_bytes()
    return framed(payload)


def framed(payload: bytes) -> bytes:
    """Return a payload with its length before it."""
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode_frame(payload: bytes) -> frames.Frame:
    """Return the frame in a payload; raise CodecError where it is none."""
    try:
        with schema.Frame.from_bytes(payload) as message:
            kind = message.which()
            return _readers_by_kind[str(kind)](getattr(message, str(kind)))
    except (capnp.KjException, ValueError, KeyError, UnicodeError) as error:
        raise CodecError(f"not a frame: {error}") from error


def detach_body(frame: frames.Frame) -> tuple[frames.Frame, bytes]:
    """Return a frame without the body that it carries, and that body."""
    if isinstance(frame, frames.Call | frames.Reply):
        return frame._replace(body=b""), frame.body
    if isinstance(frame, frames.Body):
        return frame._replace(data=b""), frame.data
    return frame, b""


def attach_body(frame: frames.Frame, body: bytes) -> frames.Frame:
    """Return a frame with the body that was detached from it."""
    if isinstance(frame, frames.Call | frames.Reply):
        return frame._replace(body=body)
    return frame._replace(data=body) if isinstance(frame, frames.Body) else frame
