"""Membership: who is in the fleet, found by probes and spread by gossip.

The protocol follows SWIM (Das, Gupta, Motivala, 2002): direct probes, indirect probes,
suspicion that the suspect can refute. A member's record also carries the state of the
backend server beside it, and only that member writes it, ordered by (incarnation, sequence).
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
    """Rank what is believed of a member; the higher wins at the same sequence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class ServerState(enum.IntEnum):
    """Say what the backend server beside a member is doing."""

    NONE = 0
    STARTING = 1
    SERVING = 2
    DRAINING = 3


class FurtherServer(NamedTuple):
    """Hold a backend server that runs beside a daemon's first one, with its number there."""

    number: int
    service: str
    state: ServerState
    slots: int
    started_ms: int = 0
    software: str = ""


class Member(NamedTuple):
    """Hold one daemon and the backend servers beside it; bandwidth in bytes/s, 0 if unknown.

    What was learned of a server holds for the run that was started at that Unix time (ms). The
    server's number tells it from others beside the same daemon; software is the version it runs.
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


def with_each_server(member: Member) -> list[Member]:
    """Return a record once for each backend server there, as if it were the only one."""
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
    """Return a record that says where a daemon is, and nothing of servers beside it."""
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
    """Return what tells the server that a record describes from all others of the fleet."""
    return f"{member.address}/{member.server}" if member.server else member.address


class Probe(NamedTuple):
    """Ask whether a member is there."""

    nonce: int


class Ack(NamedTuple):
    """Answer a probe."""

    nonce: int


class Indirect(NamedTuple):
    """Ask a member to probe another one."""

    nonce: int
    target: str


ProbeMessage = Probe | Ack | Indirect


class Outgoing(NamedTuple):
    """Hold a message and the address it goes to."""

    to: str
    message: ProbeMessage


class Timing(NamedTuple):
    """Hold the intervals of the failure detector, in seconds."""

    probe_interval: float = 1.0
    ack_timeout: float = 0.3
    suspicion: float = 4.0
    forget: float = 3600.0


INDIRECT_PROBES = 3
GOSSIP_PER_MESSAGE = 10
GOSSIP_FACTOR = 2
RETRY_DEAD_ONE_IN = 10
# A daemon that starts again while the platform's store is away knows nobody; it joins by the first
# that speaks to it. The fleet as a whole probes a member that ended this often for this long (s): a
# restart takes 1 to 4 s.
RETURN_PROBES_PER_S = 4.0
RETURN_EXPECTED_S = 30.0
MISMATCHES_TO_RECONCILE = 6
MISMATCH_WEIGHT_WHEN_QUIET = 2
RECONCILE_SPACING_S = 2.0
# While daemons restart one after another views always differ somewhere. A whole view takes both
# sides 6 ms at 195 members; so spaced, comparing them stays under 0.1% of a core at any size.
RECONCILE_SPACING_PER_MEMBER_S = 0.03
KEPT_CHANGES = 256
KEPT_NEWS = 1024  # records with findings or standings that have yet to be looked at


class _Pending(NamedTuple):
    target: str
    sent_at: float
    indirect: bool


def _record_hash(member: Member) -> int:
    named = f"{member.address}|{member.incarnation}|{member.sequence}|{member.status:d}"
    return int.from_bytes(hashlib.blake2b(named.encode(), digest_size=8).digest(), "big")


class Change(NamedTuple):
    """Hold what was believed of a member before and after."""

    before: Member | None
    after: Member


class MembershipState:
    """Hold the view of one member."""

    def __init__(self, me: Member, timing: Timing) -> None:
        """Start with a view of oneself alone."""
        self.me = me
        self.timing = timing
        self.members_by_address: dict[str, Member] = {me.address: me}
        self.suspected_at_by_address: dict[str, float] = {}
        self.ended_at_by_address: dict[str, float] = {}
        self.gossip_left_by_address: dict[str, int] = {}
        self.pending_by_nonce: dict[int, _Pending] = {}
        self.relayed_by_nonce: dict[int, tuple[str, int]] = {}
        self.probe_order: list[str] = []
        self.next_nonce = 1
        self.generation = 0
        self.changes: deque[Change] = deque(maxlen=KEPT_CHANGES)
        self.news: deque[Member] = deque(maxlen=KEPT_NEWS)
        self.view_hash = _record_hash(me)
        self.mismatches = 0
        self.reconciled_at = -RECONCILE_SPACING_S


def _gossip_count(state: MembershipState) -> int:
    return GOSSIP_FACTOR * max(1, math.ceil(math.log2(len(state.members_by_address) + 1) / 2))


def _rehash(state: MembershipState, old: Member | None, new: Member | None) -> None:
    for record in (old, new):
        if record is not None:
            state.view_hash ^= _record_hash(record)


def _news_of(member: Member) -> tuple[Finding | RolloutStatus, ...]:
    return *member.findings, *member.standings


def _decides_calls(member: Member) -> tuple[object, ...]:
    """Return what of a record calls are decided by."""
    servers = (member.service, member.server_state, member.slots, member.further_servers)
    return member.status, *servers


def _store(state: MembershipState, member: Member, now: float, tell: bool = True) -> None:
    address = member.address
    held = state.members_by_address.get(address)
    if held is None or _decides_calls(held) != _decides_calls(member):
        state.changes.append(Change(held, member))
    if _news_of(member) and (held is None or _news_of(held) != _news_of(member)):
        state.news.append(member)
    _rehash(state, held, member)
    state.members_by_address[address] = member
    if tell:
        state.gossip_left_by_address[address] = _gossip_count(state)
    state.generation += 1
    if member.status is not Status.SUSPECT:
        state.suspected_at_by_address.pop(address, None)
    elif address not in state.suspected_at_by_address:
        state.suspected_at_by_address[address] = now
    if member.status >= Status.DEAD:
        state.ended_at_by_address.setdefault(address, now)
    else:
        state.ended_at_by_address.pop(address, None)


def _order(member: Member) -> tuple[int, int, int]:
    return member.incarnation, member.sequence, member.status


def is_news(state: MembershipState, address: str, order: tuple[int, int, int]) -> bool:
    """Return whether a record by this incarnation, sequence and status is newer than the one held.

    Of any other, also one of oneself, merge() takes nothing.
    """
    held = state.members_by_address.get(address)
    return held is None or order > _order(held)


def update_me(state: MembershipState, now: float, **fields: object) -> None:
    """Change one's own record; its sequence rises so that the new one wins."""
    me = state.me._replace(sequence=state.me.sequence + 1, **fields)  # type: ignore[arg-type]
    state.me = me
    _store(state, me, now)


def _merge_me(state: MembershipState, heard: Member, now: float) -> None:
    if heard.incarnation > state.me.incarnation:
        update_me(state, now, incarnation=heard.incarnation + 1)
    elif heard.incarnation == state.me.incarnation and _order(heard) > _order(state.me):
        state.me = state.me._replace(sequence=heard.sequence)
        update_me(state, now)


def merge(state: MembershipState, heard: Iterable[Member], now: float, tell: bool = True) -> None:
    """Take each record that is newer than the one held; refute what is said of oneself.

    What came in a whole view is not gossiped on: whoever gave the view does that.
    """
    for member in heard:
        if member.address == state.me.address:
            _merge_me(state, member, now)
            continue
        held = state.members_by_address.get(member.address)
        if held is None or _order(member) > _order(held):
            version = max(member.version, held.version if held else 0)
            _store(state, member._replace(version=version), now, tell)


def note_version(state: MembershipState, address: str, version: int) -> None:
    """Remember the highest version that an address said it applied."""
    held = state.members_by_address.get(address)
    if held is None or version <= held.version:
        return
    state.members_by_address[address] = held._replace(version=version)
    if address == state.me.address:
        state.me = state.members_by_address[address]


def should_reconcile(state: MembershipState, view_hash: int, now: float) -> bool:
    """Return whether views differ for longer than gossip should take; sooner with none left."""
    if view_hash == state.view_hash:
        state.mismatches = 0
        return False
    state.mismatches += 1 if state.gossip_left_by_address else MISMATCH_WEIGHT_WHEN_QUIET
    spacing = max(
        RECONCILE_SPACING_S, RECONCILE_SPACING_PER_MEMBER_S * len(state.members_by_address)
    )
    waited = now - state.reconciled_at >= spacing
    if state.mismatches < MISMATCHES_TO_RECONCILE or not waited:
        return False
    state.mismatches = 0
    state.reconciled_at = now
    return True


def gossip_for(state: MembershipState, recipient: str, with_me: bool = False) -> list[Member]:
    """Return the records to send along, the recipient's own first where it is doubted."""
    chosen: list[Member] = [state.me] if with_me else []
    doubted = state.members_by_address.get(recipient)
    if doubted is not None and doubted.status in (Status.SUSPECT, Status.DEAD):
        chosen.append(doubted)
    left = state.gossip_left_by_address
    for address in sorted(left, key=lambda a: -left[a])[: GOSSIP_PER_MESSAGE - len(chosen)]:
        left[address] -= 1
        if left[address] <= 0:
            del left[address]
        chosen.append(state.members_by_address[address])
    return chosen


def reachable(state: MembershipState) -> list[Member]:
    """Return the members that are not known to be dead or gone, oneself included."""
    return [m for m in state.members_by_address.values() if m.status <= Status.SUSPECT]


def _mark(state: MembershipState, address: str, status: Status, now: float) -> None:
    held = state.members_by_address.get(address)
    if held is not None and held.status < status:
        _store(state, held._replace(status=status), now)


def _nonce(state: MembershipState) -> int:
    state.next_nonce = state.next_nonce % 0xFFFFFFFF + 1
    return state.next_nonce


def _next_target(state: MembershipState, rng: random.Random) -> str | None:
    ended = [a for a, m in state.members_by_address.items() if m.status is Status.DEAD]
    if ended and rng.randrange(RETRY_DEAD_ONE_IN) == 0:
        return rng.choice(sorted(ended))
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
    nonce = _nonce(state)
    state.pending_by_nonce[nonce] = _Pending(target, now, False)
    return Outgoing(target, Probe(nonce))


def _check_pending(state: MembershipState, now: float, rng: random.Random) -> list[Outgoing]:
    out: list[Outgoing] = []
    for nonce, pending in list(state.pending_by_nonce.items()):
        waited = now - pending.sent_at
        if waited >= state.timing.probe_interval:
            del state.pending_by_nonce[nonce]
            _mark(state, pending.target, Status.SUSPECT, now)
        elif waited >= state.timing.ack_timeout and not pending.indirect:
            state.pending_by_nonce[nonce] = pending._replace(indirect=True)
            out += _indirect_probes(state, nonce, pending.target, rng)
    return out


def _indirect_probes(
    state: MembershipState, nonce: int, target: str, rng: random.Random
) -> list[Outgoing]:
    others = sorted(m.address for m in reachable(state))
    others = [a for a in others if a not in (target, state.me.address)]
    helpers = rng.sample(others, min(INDIRECT_PROBES, len(others)))
    return [Outgoing(helper, Indirect(nonce, target)) for helper in helpers]


def _end_suspicions(state: MembershipState, now: float) -> None:
    for address, since in list(state.suspected_at_by_address.items()):
        if now - since >= state.timing.suspicion:
            _mark(state, address, Status.DEAD, now)
    for address, since in list(state.ended_at_by_address.items()):
        if now - since >= state.timing.forget:
            del state.ended_at_by_address[address]
            _rehash(state, state.members_by_address.pop(address, None), None)
            state.gossip_left_by_address.pop(address, None)


def _look_for_returned(state: MembershipState, now: float, rng: random.Random) -> list[Outgoing]:
    """Return probes of members that ended of late; nothing follows where they stay silent."""
    share = RETURN_PROBES_PER_S * state.timing.probe_interval / max(1, len(reachable(state)))
    ended = [a for a, at in state.ended_at_by_address.items() if now - at < RETURN_EXPECTED_S]
    chosen = [address for address in ended if rng.random() < share]
    return [Outgoing(address, Probe(_nonce(state))) for address in chosen]


def tick(state: MembershipState, now: float, rng: random.Random) -> list[Outgoing]:
    """Probe the next member, and look for some that may be back; call once a probe interval."""
    _end_suspicions(state, now)
    target = _next_target(state, rng)
    probes = [] if target is None else [_probe(state, target, now)]
    return probes + _look_for_returned(state, now, rng)


def check(state: MembershipState, now: float, rng: random.Random) -> list[Outgoing]:
    """Follow up probes without an answer; call several times a probe interval."""
    return _check_pending(state, now, rng)


def receive(
    state: MembershipState, sender: str, message: ProbeMessage, now: float
) -> list[Outgoing]:
    """Take a probe message and return the messages that it calls for."""
    if isinstance(message, Probe):
        return [Outgoing(sender, Ack(message.nonce))]
    if isinstance(message, Indirect):
        nonce = _nonce(state)
        state.relayed_by_nonce[nonce] = (sender, message.nonce)
        while len(state.relayed_by_nonce) > 256:
            del state.relayed_by_nonce[next(iter(state.relayed_by_nonce))]
        return [Outgoing(message.target, Probe(nonce))]
    relayed = state.relayed_by_nonce.pop(message.nonce, None)
    if relayed is not None:
        return [Outgoing(relayed[0], Ack(relayed[1]))]
    state.pending_by_nonce.pop(message.nonce, None)
    return []
