"""Gossip membership and failure detection, based on SWIM (Das, Gupta, Motivala, 2002).

Members are probed directly, then indirectly, and are suspected before they are declared dead; a
suspected member can refute the suspicion. A member's record also carries the state of the backend
servers on its host. Only the member itself changes its record, apart from the status. Of two
records of a member, the one with the higher (incarnation, sequence, status) is newer.
"""

from __future__ import annotations

import enum
import hashlib
import math
import random
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from hornbeamgw.core.finding import Finding
from hornbeamgw.core.standing import RolloutStatus


class Status(enum.IntEnum):
    """Status of a member; of two records with equal incarnation and sequence, the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class ServerState(enum.IntEnum):
    """Lifecycle state of a backend server."""

    NONE = 0
    STARTING = 1
    SERVING = 2
    DRAINING = 3


class FurtherServer(NamedTuple):
    """An additional backend server of a daemon; `number` identifies it within that daemon."""

    number: int
    service: str
    state: ServerState
    slots: int
    started_ms: int = 0
    software: str = ""


class Member(NamedTuple):
    """The record of one daemon and its backend servers.

    `server`, `service`, `server_state`, `slots`, `server_started_ms` and `software` describe the
    daemon's first backend server: `server` is its number within the daemon, `server_started_ms`
    the Unix time in milliseconds at which its process started, and `software` the version that it
    runs. `version` is the highest catalogue version that the daemon has reported, and `bandwidth`
    that of the VM's link in bytes per second, 0 if unknown.
    """

    address: str
    data_centre: str
    region: str
    incarnation: int
    sequence: int = 0
    status: Status = Status.ALIVE
    service: str = ""
    server_state: ServerState = ServerState.NONE
    slots: int = 0
    version: int = 0
    admin: str = ""
    bandwidth: int = 0
    server_started_ms: int = 0
    findings: tuple[Finding, ...] = ()
    software: str = ""
    server: int = 0
    further_servers: tuple[FurtherServer, ...] = ()
    standings: tuple[RolloutStatus, ...] = ()


def split_by_server(member: Member) -> list[Member]:
    """Return one record per backend server of a member, each describing only that server."""
    if not member.further_servers:
        return [member]
    alone = member._replace(further_servers=())
    return [alone, *(_with_server(alone, server) for server in member.further_servers)]


def _with_server(member: Member, server: FurtherServer) -> Member:
    return member._replace(
        service=server.service,
        server_state=server.state,
        slots=server.slots,
        server_started_ms=server.started_ms,
        software=server.software,
        server=server.number,
    )


def without_servers(member: Member) -> Member:
    """Return a copy of a record without any backend server."""
    return member._replace(
        service="",
        server_state=ServerState.NONE,
        slots=0,
        server_started_ms=0,
        software="",
        server=0,
        further_servers=(),
    )


def server_key(member: Member) -> str:
    """Return a key that identifies the member's first backend server within the fleet."""
    return f"{member.address}/{member.server}" if member.server else member.address


class Probe(NamedTuple):
    """A liveness probe."""

    nonce: int


class Ack(NamedTuple):
    """The acknowledgement of a probe."""

    nonce: int


class Indirect(NamedTuple):
    """A request to probe `target` on behalf of the sender."""

    nonce: int
    target: str


ProbeMessage = Probe | Ack | Indirect


class Outgoing(NamedTuple):
    """A message and its destination address."""

    to: str
    message: ProbeMessage


class Timing(NamedTuple):
    """Intervals and timeouts of the failure detector, in seconds."""

    probe_interval: float = 1.0
    ack_timeout: float = 0.3
    suspicion_timeout: float = 4.0
    removal_timeout: float = 3600.0


INDIRECT_PROBE_COUNT = 3
MAX_GOSSIP_RECORDS = 10
RETRANSMIT_FACTOR = 2
# If members are dead, one in this number of probes goes to one of them on average, with its record
# attached, so that a member that is alive after all can refute it.
DEAD_PROBE_INTERVAL_TICKS = 10
# A daemon that restarts while the platform's store is unavailable knows no other member and joins
# through the first one that contacts it. The fleet as a whole therefore probes each member that
# recently went down at this average rate, for the length of this window. A restart takes 1 to 4 s.
RESTART_PROBES_PER_S = 4.0
RESTART_PROBE_WINDOW_S = 30.0
# Number of consecutive mismatches between received view hashes and the daemon's own after which
# full views are exchanged. A mismatch counts as `IDLE_MISMATCH_WEIGHT` while no gossip is queued
# that could resolve it.
RECONCILE_MISMATCH_THRESHOLD = 6
IDLE_MISMATCH_WEIGHT = 2
MIN_RECONCILE_INTERVAL_S = 2.0
# The cost of exchanging full views grows with the fleet, and so does the minimum interval: during a
# rolling restart views differ all the time. A full view takes both sides 6 ms at 195 members, so
# that with this interval comparing views stays below 0.1% of a core at any size.
MIN_RECONCILE_INTERVAL_PER_MEMBER_S = 0.03
MAX_PENDING_CHANGES = 256
MAX_PENDING_REPORTS = 1024


class _Pending(NamedTuple):
    """An unanswered probe; `indirect` is set once other members were asked to probe the target."""

    target: str
    sent_at: float
    indirect: bool


def _record_hash(member: Member) -> int:
    identity = f"{member.address}|{member.incarnation}|{member.sequence}|{member.status:d}"
    return int.from_bytes(hashlib.blake2b(identity.encode(), digest_size=8).digest(), "big")


class MemberChange(NamedTuple):
    """The record of a member before and after an update."""

    before: Member | None
    after: Member


class MembershipState:
    """The membership view of one daemon.

    `me` is the daemon's own record. `gossip_left_by_address` is the number of messages that each
    record is still attached to, `view_hash` an XOR of the hashes of all records, and `generation`
    increases with each stored record. `pending_reports` are records whose findings or rollout
    statuses have changed and that have not been processed yet.
    """

    def __init__(self, me: Member, timing: Timing) -> None:
        """Create a view that contains only the daemon's own record."""
        self.me = me
        self.timing = timing
        self.members_by_address: dict[str, Member] = {me.address: me}
        self.suspected_at_by_address: dict[str, float] = {}
        self.down_since_by_address: dict[str, float] = {}
        self.gossip_left_by_address: dict[str, int] = {}
        self.pending_by_nonce: dict[int, _Pending] = {}
        self.relayed_by_nonce: dict[int, tuple[str, int]] = {}
        self.probe_order: list[str] = []
        self.next_nonce = 1
        self.generation = 0
        self.changes: deque[MemberChange] = deque(maxlen=MAX_PENDING_CHANGES)
        self.pending_reports: deque[Member] = deque(maxlen=MAX_PENDING_REPORTS)
        self.view_hash = _record_hash(me)
        self.mismatches = 0
        self.reconciled_at = -MIN_RECONCILE_INTERVAL_S


def _transmission_count(state: MembershipState) -> int:
    return RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(len(state.members_by_address) + 1) / 2))


def _update_view_hash(state: MembershipState, old: Member | None, new: Member | None) -> None:
    for record in (old, new):
        if record is not None:
            state.view_hash ^= _record_hash(record)


def _reports_of(member: Member) -> tuple[Finding | RolloutStatus, ...]:
    return *member.findings, *member.standings


def _routing_fields(member: Member) -> tuple[object, ...]:
    """Return the fields of a record that call routing depends on."""
    servers = (member.service, member.server_state, member.slots, member.further_servers)
    return member.status, *servers


def _store(state: MembershipState, member: Member, now: float, propagate: bool = True) -> None:
    address = member.address
    current = state.members_by_address.get(address)
    if current is None or _routing_fields(current) != _routing_fields(member):
        state.changes.append(MemberChange(current, member))
    if _reports_of(member) and (current is None or _reports_of(current) != _reports_of(member)):
        state.pending_reports.append(member)
    _update_view_hash(state, current, member)
    state.members_by_address[address] = member
    if propagate:
        state.gossip_left_by_address[address] = _transmission_count(state)
    state.generation += 1
    if member.status is not Status.SUSPECT:
        state.suspected_at_by_address.pop(address, None)
    elif address not in state.suspected_at_by_address:
        state.suspected_at_by_address[address] = now
    if member.status >= Status.DEAD:
        state.down_since_by_address.setdefault(address, now)
    else:
        state.down_since_by_address.pop(address, None)


def _rank(member: Member) -> tuple[int, int, int]:
    return member.incarnation, member.sequence, member.status


def is_newer(state: MembershipState, address: str, rank: tuple[int, int, int]) -> bool:
    """Return whether (incarnation, sequence, status) is newer than the stored record's.

    merge() ignores a record for which this is false, also one of this daemon itself.
    """
    current = state.members_by_address.get(address)
    return current is None or rank > _rank(current)


def update_me(state: MembershipState, now: float, **fields: object) -> None:
    """Change fields of the daemon's own record and increment its sequence number."""
    me = state.me._replace(sequence=state.me.sequence + 1, **fields)  # type: ignore[arg-type]
    state.me = me
    _store(state, me, now)


def _merge_me(state: MembershipState, received: Member, now: float) -> None:
    """Refute a newer record about this daemon by publishing one that supersedes it."""
    if received.incarnation > state.me.incarnation:
        update_me(state, now, incarnation=received.incarnation + 1)
    elif received.incarnation == state.me.incarnation and _rank(received) > _rank(state.me):
        state.me = state.me._replace(sequence=received.sequence)
        update_me(state, now)


def merge(
    state: MembershipState, received: Iterable[Member], now: float, propagate: bool = True
) -> None:
    """Store the received records that are newer, and refute newer ones about this daemon.

    Pass `propagate=False` for the records of a full view, so that they are not attached to further
    messages: the daemon that sent the view gossips them.
    """
    for member in received:
        if member.address == state.me.address:
            _merge_me(state, member, now)
            continue
        current = state.members_by_address.get(member.address)
        if current is None or _rank(member) > _rank(current):
            version = max(member.version, current.version if current else 0)
            _store(state, member._replace(version=version), now, propagate)


def record_version(state: MembershipState, address: str, version: int) -> None:
    """Store the catalogue version that a member reports, if it is higher than before."""
    current = state.members_by_address.get(address)
    if current is None or version <= current.version:
        return
    state.members_by_address[address] = current._replace(version=version)
    if address == state.me.address:
        state.me = state.members_by_address[address]


def should_reconcile(state: MembershipState, view_hash: int, now: float) -> bool:
    """Return whether full views should be exchanged with the sender of a view hash.

    This is the case after several mismatches with the daemon's own view hash, if the last exchange
    was long enough ago.
    """
    if view_hash == state.view_hash:
        state.mismatches = 0
        return False
    state.mismatches += 1 if state.gossip_left_by_address else IDLE_MISMATCH_WEIGHT
    min_interval = max(
        MIN_RECONCILE_INTERVAL_S,
        MIN_RECONCILE_INTERVAL_PER_MEMBER_S * len(state.members_by_address),
    )
    interval_elapsed = now - state.reconciled_at >= min_interval
    if state.mismatches < RECONCILE_MISMATCH_THRESHOLD or not interval_elapsed:
        return False
    state.mismatches = 0
    state.reconciled_at = now
    return True


def select_gossip(
    state: MembershipState, recipient: str, include_self: bool = False
) -> list[Member]:
    """Return the records to attach to a message.

    A recipient that is suspected or believed dead gets its own record, so that it can refute that
    status.
    """
    chosen: list[Member] = [state.me] if include_self else []
    recipient_record = state.members_by_address.get(recipient)
    if recipient_record is not None and recipient_record.status in (Status.SUSPECT, Status.DEAD):
        chosen.append(recipient_record)
    remaining = state.gossip_left_by_address
    for address in sorted(remaining, key=lambda a: -remaining[a])[
        : MAX_GOSSIP_RECORDS - len(chosen)
    ]:
        remaining[address] -= 1
        if remaining[address] <= 0:
            del remaining[address]
        chosen.append(state.members_by_address[address])
    return chosen


def reachable(state: MembershipState) -> list[Member]:
    """Return the members that are alive or suspected, including this daemon."""
    return [m for m in state.members_by_address.values() if m.status <= Status.SUSPECT]


def _raise_status(state: MembershipState, address: str, status: Status, now: float) -> None:
    current = state.members_by_address.get(address)
    if current is not None and current.status < status:
        _store(state, current._replace(status=status), now)


def _new_nonce(state: MembershipState) -> int:
    state.next_nonce = state.next_nonce % 0xFFFFFFFF + 1
    return state.next_nonce


def _next_target(state: MembershipState, rng: random.Random) -> str | None:
    down = [a for a, m in state.members_by_address.items() if m.status is Status.DEAD]
    if down and rng.randrange(DEAD_PROBE_INTERVAL_TICKS) == 0:
        return rng.choice(sorted(down))
    for _ in range(2):
        while state.probe_order:
            address = state.probe_order.pop()
            member = state.members_by_address.get(address)
            if member is not None and member.status <= Status.SUSPECT:
                return address
        state.probe_order = sorted(m.address for m in reachable(state) if m is not state.me)
        state.probe_order = [a for a in state.probe_order if a != state.me.address]
        rng.shuffle(state.probe_order)
    return None


def _probe(state: MembershipState, target: str, now: float) -> Outgoing:
    nonce = _new_nonce(state)
    state.pending_by_nonce[nonce] = _Pending(target, now, False)
    return Outgoing(target, Probe(nonce))


def _check_pending(state: MembershipState, now: float, rng: random.Random) -> list[Outgoing]:
    outgoing: list[Outgoing] = []
    for nonce, pending in list(state.pending_by_nonce.items()):
        waited = now - pending.sent_at
        if waited >= state.timing.probe_interval:
            del state.pending_by_nonce[nonce]
            _raise_status(state, pending.target, Status.SUSPECT, now)
        elif waited >= state.timing.ack_timeout and not pending.indirect:
            state.pending_by_nonce[nonce] = pending._replace(indirect=True)
            outgoing += _indirect_probes(state, nonce, pending.target, rng)
    return outgoing


def _indirect_probes(
    state: MembershipState, nonce: int, target: str, rng: random.Random
) -> list[Outgoing]:
    others = sorted(m.address for m in reachable(state))
    others = [a for a in others if a not in (target, state.me.address)]
    helpers = rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))
    return [Outgoing(helper, Indirect(nonce, target)) for helper in helpers]


def _expire_records(state: MembershipState, now: float) -> None:
    for address, since in list(state.suspected_at_by_address.items()):
        if now - since >= state.timing.suspicion_timeout:
            _raise_status(state, address, Status.DEAD, now)
    for address, since in list(state.down_since_by_address.items()):
        if now - since >= state.timing.removal_timeout:
            del state.down_since_by_address[address]
            _update_view_hash(state, state.members_by_address.pop(address, None), None)
            state.gossip_left_by_address.pop(address, None)


def _probe_recently_down(state: MembershipState, now: float, rng: random.Random) -> list[Outgoing]:
    """Return probes of members that went down recently; a missing answer has no effect."""
    probability = RESTART_PROBES_PER_S * state.timing.probe_interval / max(1, len(reachable(state)))
    down = [
        a
        for a, since in state.down_since_by_address.items()
        if now - since < RESTART_PROBE_WINDOW_S
    ]
    chosen = [address for address in down if rng.random() < probability]
    return [Outgoing(address, Probe(_new_nonce(state))) for address in chosen]


def tick(state: MembershipState, now: float, rng: random.Random) -> list[Outgoing]:
    """Expire records and return the probes to send; call once per probe interval."""
    _expire_records(state, now)
    target = _next_target(state, rng)
    probes = [] if target is None else [_probe(state, target, now)]
    return probes + _probe_recently_down(state, now, rng)


def check(state: MembershipState, now: float, rng: random.Random) -> list[Outgoing]:
    """Handle unanswered probes; call several times per probe interval."""
    return _check_pending(state, now, rng)


def receive(
    state: MembershipState, sender: str, message: ProbeMessage, now: float
) -> list[Outgoing]:
    """Handle a probe message and return the messages to send."""
    if isinstance(message, Probe):
        return [Outgoing(sender, Ack(message.nonce))]
    if isinstance(message, Indirect):
        nonce = _new_nonce(state)
        state.relayed_by_nonce[nonce] = (sender, message.nonce)
        while len(state.relayed_by_nonce) > 256:
            del state.relayed_by_nonce[next(iter(state.relayed_by_nonce))]
        return [Outgoing(message.target, Probe(nonce))]
    relayed = state.relayed_by_nonce.pop(message.nonce, None)
    if relayed is not None:
        return [Outgoing(relayed[0], Ack(relayed[1]))]
    state.pending_by_nonce.pop(message.nonce, None)
    return []
