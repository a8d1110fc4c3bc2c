"""Control-plane state machine of one daemon: membership and catalogue versions.

Functions take the node, a message or event, and the current time, and return effects that the
caller carries out: messages to send, exchanges to start, and times at which to call check().
Nothing here performs I/O or reads a clock, so the same code runs in the daemon's control task and
in randomised tests that simulate message loss, delay and partitions.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from hornbeamgw.core import edit, invariants, membership, spreading, versions
from hornbeamgw.core.catalogue import digest_prefix
from hornbeamgw.core.membership import (
    Ack,
    Indirect,
    Member,
    MembershipState,
    Probe,
    ServerState,
    Status,
    Timing,
)
from hornbeamgw.core.spreading import MAX_ADDRESS, MIN_ADDRESS, Have, PullState, Push, Scope, Target
from hornbeamgw.core.tally import Tally
from hornbeamgw.core.versions import ArrivalPath, LearnResult, Origin, VersionState

# Members chosen at random that update_own_record() notifies in a large fleet, besides the daemon's
# data centre.
OWN_UPDATE_TARGETS = 4
# If there are at most this many other members, a change of the daemon's own record is sent to all
# of them at once. In larger fleets this would use too much bandwidth between data centres. An
# update takes 150 bytes: a fleet of 76 that restarts three times in a minute would send 4 MB. By
# gossip alone a daemon took over 5 s to hear of a server after all 13 daemons had restarted.
MAX_BROADCAST_MEMBERS = 24
# A higher version seen in an envelope is pulled from its sender after one to two times this delay,
# unless a push has delivered the version by then.
PUSH_GRACE_S = 0.1
# Maximum number of members that announce() notifies; gossip reaches the others. A data centre of
# the size to design for holds 105 daemons.
MAX_ANNOUNCE_TARGETS = 120


class Use(NamedTuple):
    """Use of one organisation at one user.

    `started` are the requests started since the user started, `recent` those of the last window,
    `wanted` the requests that arrived since the previous report, `refused` those of them that were
    refused, and `waiting` those that wait for a token. `was_within` tells a new owner that the
    organisation was within its quota as far as the user knows.
    """

    organisation: str
    started: int
    recent: int
    wanted: int
    refused: int
    waiting: int
    was_within: bool = False


class QuotaReport(NamedTuple):
    """Uses that a user reports to the owner of a partition.

    `session` differs between processes of a daemon, and between its periods with an owner.
    """

    session: int
    partition: int
    sequence: int
    uses: Sequence[Use]


class Lease(NamedTuple):
    """Answer on one organisation.

    `tokens` are the requests that the user may start from the reported count on, until `valid_ms`
    after it sent the report. `rate` tokens per second replace used ones. If `retry_after_ms` isn't
    0, the user doesn't ask for more until then.
    """

    organisation: str
    is_free: bool
    tokens: int
    valid_ms: int
    retry_after_ms: int
    rate: float = 0.0


class QuotaGrant(NamedTuple):
    """Answer to a report; sequence 0 announces organisations that are metered from now on."""

    session: int
    partition: int
    sequence: int
    leases: Sequence[Lease]


QuotaMessage = QuotaReport | QuotaGrant
Message = Probe | Ack | Indirect | Push | Have | Tally | QuotaMessage


class Moment(NamedTuple):
    """The current time in seconds: `now` is monotonic, `wall_time` is Unix time."""

    now: float
    wall_time: float


class Envelope(NamedTuple):
    """A control message with the sender's catalogue version, gossip and store era.

    The platform's store starts a new era, with a higher number, each time it is restored from an
    earlier state. 0 means that the sender does not know the era.
    """

    sender: str
    version: int
    digest: int
    view_hash: int
    gossip: Sequence[Member]
    message: Message
    era: int = 0


class Send(NamedTuple):
    """Effect: send a datagram to an address."""

    to: str
    envelope: Envelope


class StartPull(NamedTuple):
    """Effect: pull from an address the catalogue versions that follow this daemon's known one."""

    source: str


class StartReconcile(NamedTuple):
    """Effect: exchange full membership views with an address."""

    address: str


class WakeAt(NamedTuple):
    """Effect: call check() at a monotonic time."""

    at: float


class CatalogueUpdate(NamedTuple):
    """Effect: report the result of processing deltas, a catalogue or a floor."""

    learned: LearnResult
    origin: Origin


class DuplicatePush(NamedTuple):
    """Effect: report a push of a version that is already known."""

    sender: str


class UnansweredPush(NamedTuple):
    """Effect: report that the member at an address did not acknowledge a push in time."""

    address: str


class CatalogueMismatch(NamedTuple):
    """Effect: report that the sender has a different catalogue with the same version."""

    sender: str


class EraStarted(NamedTuple):
    """Effect: report a new era: the store was restored and lost recently acknowledged writes."""

    era: int


class TallyReceived(NamedTuple):
    """Effect: report request counts that another daemon collected at a backend server."""

    sender: str
    tally: Tally


class QuotaMessageReceived(NamedTuple):
    """Effect: report a message on quotas."""

    sender: str
    message: QuotaMessage


Effect = (
    Send
    | StartPull
    | StartReconcile
    | WakeAt
    | CatalogueUpdate
    | DuplicatePush
    | UnansweredPush
    | CatalogueMismatch
    | TallyReceived
    | QuotaMessageReceived
    | EraStarted
)


class _PendingPush(NamedTuple):
    """A push not yet acknowledged, its timeout, and the receivers that failed to acknowledge it."""

    push: Push
    due: float
    excluded: frozenset[str]


class _VersionHint(NamedTuple):
    """A version seen in an envelope, which is pulled at `due` unless it has arrived by then."""

    version: int
    sender: str
    due: float


class Node:
    """The membership view and catalogue state of one daemon."""

    def __init__(self, me: Member, timing: Timing, spreading_policy: str = "tree") -> None:
        """Create a node without a catalogue that knows only its own record."""
        self.spreading_policy = spreading.policies_by_name[spreading_policy]
        self.view = MembershipState(me, timing)
        self.versions = VersionState()
        self.pull_state = PullState()
        self.pending_pushes_by_address: dict[str, _PendingPush] = {}
        self.version_hints: list[_VersionHint] = []
        self.era: int | None = None  # None until received
        self.highest_pushed_version = 0
        # (version, scope, low, high) of each range to which this node has pushed a version
        self.covered: set[tuple[int, Scope, str, str]] = set()


def envelope(
    node: Node, to: str, message: Message, include_self: bool = False, include_gossip: bool = True
) -> Envelope:
    """Wrap a message with the node's catalogue version, its view hash and gossip."""
    known = node.versions.catalogue
    include_self = include_self or node.view.me.status is Status.LEFT
    omit_gossip = isinstance(message, Push) or not include_gossip
    gossip = [] if omit_gossip else membership.select_gossip(node.view, to, include_self)
    return Envelope(
        node.view.me.address,
        known.version,
        digest_prefix(known.digest),
        node.view.view_hash,
        gossip,
        message,
        node.era or 0,
    )


def note_era(node: Node, era: int) -> list[Effect]:
    """Store a store era if it is higher; report it unless it is the first one received."""
    known = node.era
    if known is not None and era <= known:
        return []
    node.era = era
    return [] if known is None else [EraStarted(era)]


def envelope_without_gossip(node: Node, to: str, message: Message) -> Envelope:
    """Wrap a message without attaching gossip."""
    return envelope(node, to, message, include_gossip=False)


def quota_envelope(node: Node, message: QuotaMessage) -> Envelope:
    """Wrap a message on quotas, without versions and view, which other messages tell."""
    return Envelope(node.view.me.address, 0, 0, 0, [], message)


def _send_own_record(node: Node, to: str) -> Send:
    """Return a message with only the node's own record.

    Other gossip is omitted to limit the processing cost, since the record is sent to many members
    at once.
    """
    return Send(to, envelope_without_gossip(node, to, Have())._replace(gossip=[node.view.me]))


def _send(node: Node, to: str, message: Message) -> Send:
    return Send(to, envelope(node, to, message))


def _send_all(node: Node, outgoing: Sequence[membership.Outgoing]) -> list[Effect]:
    return [_send(node, o.to, o.message) for o in outgoing]


# Versions


def _record_learned(node: Node, learned: LearnResult, origin: Origin) -> list[Effect]:
    if learned.applied is not None:
        membership.record_version(node.view, node.view.me.address, learned.applied.version)
    return [CatalogueUpdate(learned, origin)]


def learn_deltas(
    node: Node, blobs: Sequence[bytes], origin: Origin, moment: Moment
) -> tuple[bool, list[Effect]]:
    """Process deltas; return whether the known version advanced, and the effects."""
    learned = versions.learn_deltas(node.versions, blobs, origin, moment.wall_time)
    return learned.advanced, _record_learned(node, learned, origin)


def learn_version(
    node: Node, version: int, bodies: Mapping[str, Any], origin: Origin, moment: Moment
) -> tuple[bool, list[Effect]]:
    """Process all items of a version from an external source; return what learn_deltas() does."""
    known = node.versions.catalogue
    if version <= known.version:
        return False, []
    delta = edit.replacement_delta(known, version, bodies, round(moment.wall_time * 1000))
    return learn_deltas(node, [edit.encode_delta(delta)], origin, moment)


def learn_catalogue(
    node: Node, blob: bytes, origin: Origin, moment: Moment
) -> tuple[bool, list[Effect]]:
    """Process an encoded catalogue; return whether the version advanced, and the effects."""
    learned = versions.learn_catalogue(node.versions, blob, origin, moment.wall_time)
    return learned.advanced, _record_learned(node, learned, origin)


def set_floor(node: Node, floor: int, why: str, moment: Moment) -> list[Effect]:
    """Set the floor, and apply the known catalogue unless its version is below the floor.

    The floor is the lowest version that a restarted daemon may apply. `why` states how the floor
    was determined.
    """
    learned = versions.set_floor(node.versions, floor, moment.wall_time)
    return _record_learned(node, learned, Origin(ArrivalPath.SNAPSHOT, why))


def push(
    node: Node,
    moment: Moment,
    scope: Scope = Scope.FLEET,
    low: str = MIN_ADDRESS,
    high: str = MAX_ADDRESS,
) -> list[Effect]:
    """Push the newest known version to the members of a scope and address range."""
    version = node.versions.catalogue.version
    members = membership.reachable(node.view)
    node.covered = {covered for covered in node.covered if covered[0] == version}
    node.covered.add((version, scope, low, high))
    effects: list[Effect] = []
    for target in node.spreading_policy.targets(node.view.me, members, version, scope, low, high):
        effects += _push_to(node, target, version, frozenset(), moment)
    return effects


def _push_to(
    node: Node, target: Target, version: int, excluded: frozenset[str], moment: Moment
) -> list[Effect]:
    compressed = versions.compress_delta(node.versions.deltas_by_version.get(version, b""))
    parent = node.versions.parents_by_version.get(version, 0)
    message = Push(version, target.scope, target.low, target.high, compressed, parent)
    due = moment.now + spreading.PUSH_ACK_TIMEOUT_S
    node.pending_pushes_by_address[target.address] = _PendingPush(message, due, excluded)
    return [_send(node, target.address, message), WakeAt(due)]


def _retry_push(node: Node, address: str, pending: _PendingPush, moment: Moment) -> list[Effect]:
    del node.pending_pushes_by_address[address]
    effects: list[Effect] = [UnansweredPush(address)]
    failed = node.view.members_by_address.get(address)
    excluded = pending.excluded | {address}
    if failed is None or len(excluded) > spreading.MAX_PUSH_RETRIES:
        return effects
    members = membership.reachable(node.view)
    for target in spreading.replacement_targets(
        node.view.me, members, failed, pending.push, excluded
    ):
        effects += _push_to(node, target, pending.push.version, excluded, moment)
    return effects


def _forward_known_version(node: Node, message: Push, moment: Moment) -> list[Effect]:
    """Forward a push of the known version, unless this node has already pushed it to its range."""
    known = node.versions.catalogue.version
    requested_range = (message.version, message.scope, message.low, message.high)
    if message.version != known or requested_range in node.covered:
        return []
    return push(node, moment, message.scope, message.low, message.high)


def _handle_push(node: Node, sender: str, message: Push, moment: Moment) -> list[Effect]:
    known = node.versions.catalogue.version
    node.highest_pushed_version = max(node.highest_pushed_version, message.version)
    if message.version <= known:
        return [
            DuplicatePush(sender),
            _send(node, sender, Have()),
            *_forward_known_version(node, message, moment),
        ]
    delta = versions.decompress_delta(message.delta) if message.parent == known else b""
    if delta:
        origin = Origin(ArrivalPath.PUSH, sender)
        advanced, effects = learn_deltas(node, [delta], origin, moment)
        if advanced:
            effects += push(node, moment, message.scope, message.low, message.high)
            return [*effects, _send(node, sender, Have())]
    node.pull_state.deferred_push = message
    return request_pull(node, message.version, sender, moment)


def request_pull(node: Node, version: int, sender: str, moment: Moment) -> list[Effect]:
    """Pull a higher version from its sender, unless a pull is in progress or backing off."""
    known = node.versions.catalogue.version
    source = spreading.start_pull(node.pull_state, known, version, sender, moment.now)
    return [] if source is None else [StartPull(source)]


def finish_pull(
    node: Node, source: str, known_before: int, moment: Moment, rng: random.Random
) -> list[Effect]:
    """Handle the end of a pull: acknowledge it, and forward a push that waited for its versions."""
    advanced = node.versions.catalogue.version > known_before
    spreading.finish_pull(node.pull_state, advanced, moment.now, rng)
    effects: list[Effect] = [_send(node, source, Have())] if advanced else []
    deferred_push = node.pull_state.deferred_push
    if deferred_push is not None and node.versions.catalogue.version >= deferred_push.version:
        node.pull_state.deferred_push = None
        effects += push(node, moment, deferred_push.scope, deferred_push.low, deferred_push.high)
    return effects


# Messages


def receive(node: Node, received: Envelope, moment: Moment, rng: random.Random) -> list[Effect]:
    """Handle a control message."""
    if isinstance(received.message, QuotaReport | QuotaGrant):
        return [QuotaMessageReceived(received.sender, received.message)]
    membership.merge(node.view, received.gossip, moment.now)
    effects = _update_sender(node, received)
    if received.era:
        effects += note_era(node, received.era)
    if membership.should_reconcile(node.view, received.view_hash, moment.now):
        effects.append(StartReconcile(received.sender))
    if isinstance(received.message, Push):
        effects += _handle_push(node, received.sender, received.message, moment)
    elif isinstance(received.message, Tally):
        effects.append(TallyReceived(received.sender, received.message))
    elif not isinstance(received.message, Have):
        out = membership.receive(node.view, received.sender, received.message, moment.now)
        effects += _send_all(node, out)
    if received.version > node.versions.catalogue.version:
        due = moment.now + rng.uniform(1, 2) * PUSH_GRACE_S
        node.version_hints.append(_VersionHint(received.version, received.sender, due))
        effects.append(WakeAt(due))
    return effects


def _update_sender(node: Node, received: Envelope) -> list[Effect]:
    effects: list[Effect] = []
    current = node.view.members_by_address.get(received.sender)
    if current is None or current.status >= Status.DEAD:
        effects.append(StartReconcile(received.sender))
    membership.record_version(node.view, received.sender, received.version)
    pending = node.pending_pushes_by_address.get(received.sender)
    if pending is not None and received.version >= pending.push.version:
        del node.pending_pushes_by_address[received.sender]
    known = node.versions.catalogue
    if received.version == known.version:
        same = received.digest == digest_prefix(known.digest)
        if not invariants.check(invariants.ONE_CATALOGUE_PER_VERSION, same):
            effects.append(CatalogueMismatch(received.sender))
    return effects


def tick(node: Node, moment: Moment, rng: random.Random) -> list[Effect]:
    """Run one round of failure detection; call once per probe interval."""
    return _send_all(node, membership.tick(node.view, moment.now, rng))


def check(node: Node, moment: Moment, rng: random.Random) -> list[Effect]:
    """Handle probe timeouts, push timeouts and due version hints.

    Call this at the time of each WakeAt effect and several times per probe interval.
    """
    effects = _send_all(node, membership.check(node.view, moment.now, rng))
    for address, pending in list(node.pending_pushes_by_address.items()):
        if moment.now >= pending.due:
            effects += _retry_push(node, address, pending, moment)
    due = [hint for hint in node.version_hints if moment.now >= hint.due]
    node.version_hints = [hint for hint in node.version_hints if moment.now < hint.due]
    for hint in due:
        effects += request_pull(node, hint.version, hint.sender, moment)
    return effects


def handle_join(node: Node, member: Member, moment: Moment) -> list[Member]:
    """Store the record of a joining daemon, and return all known records for the answer."""
    membership.merge(node.view, [member], moment.now)
    return list(node.view.members_by_address.values())


def update_own_record(
    node: Node, moment: Moment, rng: random.Random, **fields: object
) -> list[Effect]:
    """Change the node's own record and notify other members.

    In a small fleet, all members are notified; in a larger one, those of the data centre and a few
    that are chosen at random.
    """
    membership.update_me(node.view, moment.now, **fields)
    others = sorted(m.address for m in membership.reachable(node.view))
    others = [address for address in others if address != node.view.me.address]
    if len(others) <= MAX_BROADCAST_MEMBERS:
        return announce(node, everywhere=True)
    chosen = rng.sample(others, OWN_UPDATE_TARGETS)
    return announce(node) + [_send_own_record(node, address) for address in chosen]


def announce(node: Node, everywhere: bool = False) -> list[Effect]:
    """Send the node's own record to its data centre, or to all members if `everywhere`."""
    me = node.view.me
    recipients = [
        m for m in membership.reachable(node.view) if everywhere or m.data_centre == me.data_centre
    ]
    others = [m.address for m in recipients if m.address != me.address][:MAX_ANNOUNCE_TARGETS]
    return [_send_own_record(node, address) for address in others]


def leave(node: Node, moment: Moment, rng: random.Random) -> list[Effect]:
    """Notify other members that this daemon has left, so that they send it no more requests."""
    no_server = {"server_state": ServerState.NONE, "further_servers": ()}
    effects = update_own_record(node, moment, rng, status=Status.LEFT, **no_server)
    return effects + announce(node)
