"""Datagrams: encodes and decodes UDP messages between daemons in Cap'n Proto."""

from __future__ import annotations

import hashlib
import math
from typing import Any

import capnp

from hornbeamgw.core.membership import Ack, Indirect, Probe
from hornbeamgw.core.node import Envelope, Lease, Message, QuotaGrant, QuotaReport, Use
from hornbeamgw.core.spreading import Have, Push, Scope
from hornbeamgw.core.tally import Count, Tally
from hornbeamgw.daemon.codec import (
    CodecError,
    IsNewer,
    encoded_member,
    field_reader,
    read_newer_members,
    schema,
)

_read_envelope_fields = field_reader(
    schema.Datagram, "fleet", "sender", "version", "digest", "viewHash", "era", "wideEra", "gossip"
)
_read_use_fields = field_reader(
    schema.QuotaUse,
    "organisation",
    "started",
    "recent",
    "wanted",
    "refused",
    "waiting",
    "wasWithin",
)
_read_lease_fields = field_reader(
    schema.QuotaLease, "organisation", "free", "tokens", "validMs", "retryAfterMs", "rate"
)

MAX_NARROW_ERA = 0xFFFFFFFF  # limit of the 32-bit field that all daemons read
MAX_WAITING = 0xFFFF  # limit of the 16-bit field in a quota report
MAX_UNSAFE_COUNT = 0xFFFF  # limit of the 16-bit field in an encoded tally


def fleet_hash(fleet: str) -> int:
    """Return the 64-bit hash that identifies a fleet in datagrams."""
    return int.from_bytes(hashlib.blake2b(fleet.encode(), digest_size=8).digest(), "big")


def _write_push(out: Any, push: Push) -> None:
    raw = out.init("push")
    raw.version, raw.scope, raw.low, raw.high = push.version, int(push.scope), push.low, push.high
    raw.delta, raw.parent = push.delta, push.parent


def _write_tally(out: Any, tally: Tally) -> None:
    out.service, out.server, out.software = tally.service, tally.server, tally.software
    out.closedStep, out.unsafe = tally.closed_step, min(tally.unsafe, MAX_UNSAFE_COUNT)
    counts = out.init("counts", len(tally.counts_by_route))
    for index, (route, count) in enumerate(tally.counts_by_route.items()):
        counts[index].route, counts[index].answers, counts[index].bad = route, *count


def _read_tally(raw: Any) -> Tally:
    counts_by_route = {count.route: Count(count.answers, count.bad) for count in raw.counts}
    closed_step_and_unsafe = raw.closedStep, raw.unsafe
    return Tally(raw.service, raw.server, raw.software, counts_by_route, *closed_step_and_unsafe)


def _write_quota_report(out: Any, report: QuotaReport) -> None:
    out.partition, out.session, out.sequence = report.partition, report.session, report.sequence
    uses = out.init("uses", len(report.uses))
    for index, use in enumerate(report.uses):
        raw = uses[index]
        raw.organisation, raw.started, raw.recent = use.organisation, use.started, use.recent
        raw.wanted, raw.refused, raw.wasWithin = use.wanted, use.refused, use.was_within
        raw.waiting = min(use.waiting, MAX_WAITING)


def _write_quota_grant(out: Any, grant: QuotaGrant) -> None:
    out.partition, out.session, out.sequence = grant.partition, grant.session, grant.sequence
    leases = out.init("leases", len(grant.leases))
    for index, lease in enumerate(grant.leases):
        raw = leases[index]
        raw.organisation, raw.free, raw.tokens = lease.organisation, lease.is_free, lease.tokens
        raw.validMs, raw.retryAfterMs, raw.rate = lease.valid_ms, lease.retry_after_ms, lease.rate


def _read_quota_report(raw: Any) -> QuotaReport:
    uses = [Use(*read) for read in map(_read_use_fields, raw.uses)]
    return QuotaReport(raw.session, raw.partition, raw.sequence, uses)


def _read_quota_grant(raw: Any) -> QuotaGrant:
    leases = [Lease(*read) for read in map(_read_lease_fields, raw.leases)]
    if any(not 0 <= lease.rate < math.inf for lease in leases):
        raise ValueError("the rate of a lease is not a finite number of at least 0")
    return QuotaGrant(raw.session, raw.partition, raw.sequence, leases)


def _write_message(out: Any, message: Message) -> None:
    if isinstance(message, Probe):
        out.probe = message.nonce
    elif isinstance(message, Ack):
        out.ack = message.nonce
    elif isinstance(message, Indirect):
        indirect = out.init("indirect")
        indirect.nonce, indirect.target = message.nonce, message.target
    elif isinstance(message, Push):
        _write_push(out, message)
    elif isinstance(message, Tally):
        _write_tally(out.init("tally"), message)
    elif isinstance(message, QuotaReport):
        _write_quota_report(out.init("quotaReport"), message)
    elif isinstance(message, QuotaGrant):
        _write_quota_grant(out.init("quotaGrant"), message)
    else:
        out.have = True


def encode_datagram(fleet: int, datagram: Envelope) -> bytes:
    """Return a datagram in the packed encoding of Cap'n Proto."""
    out = schema.Datagram.new_message()
    out.fleet = fleet
    out.sender = datagram.sender
    out.version = datagram.version
    out.digest = datagram.digest
    out.viewHash = datagram.view_hash
    if datagram.era <= MAX_NARROW_ERA:
        out.era = datagram.era
    else:
        out.wideEra = datagram.era
    if datagram.gossip:
        gossip = out.init("gossip", len(datagram.gossip))
        for index, member in enumerate(datagram.gossip):
            gossip[index] = encoded_member(member)
    _write_message(out, datagram.message)
    packed: bytes = out.to_bytes_packed()
    return packed


def _read_message(raw: Any) -> Message:
    kind = raw._which_str()
    if kind == "probe":
        return Probe(raw.probe)
    if kind == "ack":
        return Ack(raw.ack)
    if kind == "indirect":
        return Indirect(raw.indirect.nonce, raw.indirect.target)
    if kind == "push":
        push = raw.push
        scope = Scope(push.scope)
        return Push(push.version, scope, push.low, push.high, push.delta, push.parent)
    if kind == "tally":
        return _read_tally(raw.tally)
    if kind == "quotaReport":
        return _read_quota_report(raw.quotaReport)
    return _read_quota_grant(raw.quotaGrant) if kind == "quotaGrant" else Have()


def decode_datagram(
    fleet: int, payload: bytes, is_newer: IsNewer = lambda address, rank: True
) -> Envelope:
    """Decode a datagram without the member records for which `is_newer` returns false.

    Raise CodecError if the datagram is invalid or belongs to another fleet.
    """
    try:
        raw = schema.Datagram.from_bytes_packed(payload)
        from_fleet, sender, version, digest, view_hash, *eras, members = _read_envelope_fields(raw)
        if from_fleet != fleet:
            raise CodecError("a datagram of another fleet")
        gossip = read_newer_members(members, is_newer)
        message = _read_message(raw)
        return Envelope(sender, version, digest, view_hash, gossip, message, max(eras))
    except CodecError:
        raise
    except (capnp.KjException, ValueError, UnicodeError) as error:
        raise CodecError(f"not a datagram: {error}") from error
