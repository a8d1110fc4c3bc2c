"""Node: what one daemon decides about membership and versions, message by message.

Each function takes the node, a message and the present time, and returns effects for its
carrier: messages to send, exchanges to begin, and times at which to be called again. Nothing
here does I/O or reads a clock; the daemon's control task carries the effects over the network,
and the randomised runs carry them through loss, delay and partitions.
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
from hornbeamgw.core.spreading import HIGHEST, LOWEST, Have, PullState, Push, Scope, Target
from hornbeamgw.core.tally import Tally
from hornbeamgw.core.versions import Learned, Origin, Path, VersionState

URGENT_TARGETS = 4
# A change of one's own record goes to every member of a fleet up to this size, 150 bytes each. By
# gossip alone a daemon took over 5 s to hear of a server after a restart of all 13. A fleet of 76
# that restarts three times in a minute would send 4 MB between data centres.
TELL_ALL_MOST = 24
PUSH_GRACE_S = 0.1
# A data centre of the two-year size holds 105 daemons; gossip reaches the rest.
ANNOUNCE_MOST = 120

Message = Probe | Ack | Indirect | Push | Have | Tally


class Moment(NamedTuple):
    """Hold the present time twice (s): for intervals, and as others' clocks show it."""

    now: float
    wall: float


class Envelope(NamedTuple):
    """Hold a control message with the sender's version, gossip and the platform's era."""

    sender: str
    version: int
    digest: int
    view_hash: int
    gossip: Sequence[Member]
    message: Message
    era: int = 0


class Send(NamedTuple):
    """Send a datagram to an address."""

    to: str
    envelope: Envelope


class StartPull(NamedTuple):
    """Ask an address for what follows the known version."""

    source: str


class StartReconcile(NamedTuple):
    """Exchange whole views with an address."""

    address: str


class WakeAt(NamedTuple):
    """Call check() at a time."""

    at: float


class Report(NamedTuple):
    """Tell what a message changed."""

    learned: Learned
    origin: Origin


class Duplicate(NamedTuple):
    """Tell that a push came for a version already known."""

    sender: str


class Unanswered(NamedTuple):
    """Tell that the receiver of a push did not answer."""

    address: str


class Mismatch(NamedTuple):
    """Tell that another daemon has another catalogue under the same version."""

    sender: str


class EraBegan(NamedTuple):
    """Tell that the platform has lost what it acknowledged of late."""

    era: int


class Tallied(NamedTuple):
    """Tell what another daemon has counted at a server."""

    sender: str
    tally: Tally


Effect = (
    Send
    | StartPull
    | StartReconcile
    | WakeAt
    | Report
    | Duplicate
    | Unanswered
    | Mismatch
    | Tallied
    | EraBegan
)


class _Sent(NamedTuple):
    push: Push
    due: float
    avoided: frozenset[str]


class _Hint(NamedTuple):
    version: int
    sender: str
    due: float


class Node:
    """Hold everything that one daemon knows of the fleet and the catalogue."""

    def __init__(self, me: Member, timing: Timing, spread: str = "tree") -> None:
        """Start with a view of oneself and no version; take the way to spread versions."""
        self.spread = spreading.policies_by_name[spread]
        self.view = MembershipState(me, timing)
        self.versions = VersionState()
        self.pulls = PullState()
        self.sent_by_address: dict[str, _Sent] = {}
        self.hints: list[_Hint] = []
        self.era: int | None = None  # of the platform's store, None until it is heard of
        self.pushed_version = 0  # the highest that another daemon pushed here
        self.covered: set[tuple[int, Scope, str, str]] = set()


def envelope(
    node: Node, to: str, message: Message, with_me: bool = False, with_gossip: bool = True
) -> Envelope:
    """Return a message with one's version, the hash of one's view, and some gossip."""
    known = node.versions.catalogue
    with_me = with_me or node.view.me.status is Status.LEFT
    is_bare = isinstance(message, Push) or not with_gossip
    gossip = [] if is_bare else membership.gossip_for(node.view, to, with_me)
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
    """Take the platform's era, as read or as heard; the first one heard of has no news."""
    known = node.era
    if known is not None and era <= known:
        return []
    node.era = era
    return [] if known is None else [EraBegan(era)]


def bare(node: Node, to: str, message: Message) -> Envelope:
    """Return a message without gossip."""
    return envelope(node, to, message, with_gossip=False)


def _word_of_me(node: Node, to: str) -> Send:
    """Return one's own record for a member, alone: it goes to many at once.

    With the nine records of others that a probe carries it takes sender and receiver three times
    as much work, and a restart is told to 160 members of a fleet of 195.
    """
    return Send(to, bare(node, to, Have())._replace(gossip=[node.view.me]))


def _send(node: Node, to: str, message: Message) -> Send:
    return Send(to, envelope(node, to, message))


def _carry(node: Node, outgoing: Sequence[membership.Outgoing]) -> list[Effect]:
    return [_send(node, o.to, o.message) for o in outgoing]


# Versions


def _take(node: Node, learned: Learned, origin: Origin) -> list[Effect]:
    if learned.applied is not None:
        membership.note_version(node.view, node.view.me.address, learned.applied.version)
    return [Report(learned, origin)]


def learn_deltas(
    node: Node, blobs: Sequence[bytes], origin: Origin, moment: Moment
) -> tuple[bool, list[Effect]]:
    """Take deltas; return whether they were new."""
    learned = versions.learn_deltas(node.versions, blobs, origin, moment.wall)
    return learned.advanced, _take(node, learned, origin)


def learn_whole(
    node: Node, version: int, bodies: Mapping[str, Any], origin: Origin, moment: Moment
) -> tuple[bool, list[Effect]]:
    """Take a whole version of an outside source; return whether it was new."""
    known = node.versions.catalogue
    if version <= known.version:
        return False, []
    delta = edit.replacement_delta(known, version, bodies, round(moment.wall * 1000))
    return learn_deltas(node, [edit.encode_delta(delta)], origin, moment)


def learn_catalogue(
    node: Node, blob: bytes, origin: Origin, moment: Moment
) -> tuple[bool, list[Effect]]:
    """Take a whole catalogue; return whether it was new."""
    learned = versions.learn_catalogue(node.versions, blob, origin, moment.wall)
    return learned.advanced, _take(node, learned, origin)


def set_floor(node: Node, floor: int, why: str, moment: Moment) -> list[Effect]:
    """Record the floor, and apply what is known where it is high enough."""
    learned = versions.set_floor(node.versions, floor, moment.wall)
    return _take(node, learned, Origin(Path.SNAPSHOT, why))


def push(
    node: Node,
    moment: Moment,
    scope: Scope = Scope.FLEET,
    low: str = LOWEST,
    high: str = HIGHEST,
) -> list[Effect]:
    """Push the newest version to those that this node answers for."""
    version = node.versions.catalogue.version
    members = membership.reachable(node.view)
    node.covered = {covered for covered in node.covered if covered[0] == version}
    node.covered.add((version, scope, low, high))
    effects: list[Effect] = []
    for target in node.spread.targets(node.view.me, members, version, scope, low, high):
        effects += _push_to(node, target, version, frozenset(), moment)
    return effects


def _push_to(
    node: Node, target: Target, version: int, avoided: frozenset[str], moment: Moment
) -> list[Effect]:
    carried = versions.pack_delta(node.versions.deltas_by_version.get(version, b""))
    parent = node.versions.parents_by_version.get(version, 0)
    message = Push(version, target.scope, target.low, target.high, carried, parent)
    due = moment.now + spreading.PUSH_ACK_TIMEOUT
    node.sent_by_address[target.address] = _Sent(message, due, avoided)
    return [_send(node, target.address, message), WakeAt(due)]


def _repush(node: Node, address: str, sent: _Sent, moment: Moment) -> list[Effect]:
    del node.sent_by_address[address]
    effects: list[Effect] = [Unanswered(address)]
    failed = node.view.members_by_address.get(address)
    avoided = sent.avoided | {address}
    if failed is None or len(avoided) > spreading.PUSH_ROUNDS:
        return effects
    members = membership.reachable(node.view)
    for target in spreading.retarget(node.view.me, members, failed, sent.push, avoided):
        effects += _push_to(node, target, sent.push.version, avoided, moment)
    return effects


def _cover(node: Node, message: Push, moment: Moment) -> list[Effect]:
    """Pass on a version known already, where nobody has asked this node to cover that range."""
    known = node.versions.catalogue.version
    asked = (message.version, message.scope, message.low, message.high)
    if message.version != known or asked in node.covered:
        return []
    return push(node, moment, message.scope, message.low, message.high)


def _on_push(node: Node, sender: str, message: Push, moment: Moment) -> list[Effect]:
    known = node.versions.catalogue.version
    node.pushed_version = max(node.pushed_version, message.version)
    if message.version <= known:
        return [Duplicate(sender), _send(node, sender, Have()), *_cover(node, message, moment)]
    delta = versions.unpack_delta(message.delta) if message.parent == known else b""
    if delta:
        origin = Origin(Path.PUSH, sender)
        advanced, effects = learn_deltas(node, [delta], origin, moment)
        if advanced:
            effects += push(node, moment, message.scope, message.low, message.high)
            return [*effects, _send(node, sender, Have())]
    node.pulls.forward = message
    return want(node, message.version, sender, moment)


def want(node: Node, version: int, sender: str, moment: Moment) -> list[Effect]:
    """Pull from a sender that holds a higher version, unless a pull is under way."""
    known = node.versions.catalogue.version
    source = spreading.want(node.pulls, known, version, sender, moment.now)
    return [] if source is None else [StartPull(source)]


def pull_ended(
    node: Node, source: str, known_before: int, moment: Moment, rng: random.Random
) -> list[Effect]:
    """Note the end of a pull, answer for it, and pass on what waited for it."""
    moved = node.versions.catalogue.version > known_before
    spreading.ended(node.pulls, moved, moment.now, rng)
    effects: list[Effect] = [_send(node, source, Have())] if moved else []
    forward = node.pulls.forward
    if forward is not None and node.versions.catalogue.version >= forward.version:
        node.pulls.forward = None
        effects += push(node, moment, forward.scope, forward.low, forward.high)
    return effects


# Messages


def receive(node: Node, received: Envelope, moment: Moment, rng: random.Random) -> list[Effect]:
    """Take a control message."""
    membership.merge(node.view, received.gossip, moment.now)
    effects = _note_sender(node, received)
    if received.era:
        effects += note_era(node, received.era)
    if membership.should_reconcile(node.view, received.view_hash, moment.now):
        effects.append(StartReconcile(received.sender))
    if isinstance(received.message, Push):
        effects += _on_push(node, received.sender, received.message, moment)
    elif isinstance(received.message, Tally):
        effects.append(Tallied(received.sender, received.message))
    elif not isinstance(received.message, Have):
        out = membership.receive(node.view, received.sender, received.message, moment.now)
        effects += _carry(node, out)
    if received.version > node.versions.catalogue.version:
        due = moment.now + rng.uniform(1, 2) * PUSH_GRACE_S
        node.hints.append(_Hint(received.version, received.sender, due))
        effects.append(WakeAt(due))
    return effects


def _note_sender(node: Node, received: Envelope) -> list[Effect]:
    effects: list[Effect] = []
    held = node.view.members_by_address.get(received.sender)
    if held is None or held.status >= Status.DEAD:
        effects.append(StartReconcile(received.sender))
    membership.note_version(node.view, received.sender, received.version)
    sent = node.sent_by_address.get(received.sender)
    if sent is not None and received.version >= sent.push.version:
        del node.sent_by_address[received.sender]
    known = node.versions.catalogue
    if received.version == known.version:
        same = received.digest == digest_prefix(known.digest)
        if not invariants.check(invariants.ONE_CATALOGUE_PER_VERSION, same):
            effects.append(Mismatch(received.sender))
    return effects


def tick(node: Node, moment: Moment, rng: random.Random) -> list[Effect]:
    """Probe the next member; call once a probe interval."""
    return _carry(node, membership.tick(node.view, moment.now, rng))


def check(node: Node, moment: Moment, rng: random.Random) -> list[Effect]:
    """Follow up probes, pushes and versions heard of; call when asked to."""
    effects = _carry(node, membership.check(node.view, moment.now, rng))
    for address, sent in list(node.sent_by_address.items()):
        if moment.now >= sent.due:
            effects += _repush(node, address, sent, moment)
    due = [hint for hint in node.hints if moment.now >= hint.due]
    node.hints = [hint for hint in node.hints if moment.now < hint.due]
    for hint in due:
        effects += want(node, hint.version, hint.sender, moment)
    return effects


def join(node: Node, member: Member, moment: Moment) -> list[Member]:
    """Take the record of a daemon that joins, and return the view to answer with."""
    membership.merge(node.view, [member], moment.now)
    return list(node.view.members_by_address.values())


def change_me(node: Node, moment: Moment, rng: random.Random, **fields: object) -> list[Effect]:
    """Change one's own record and tell all of a small fleet, or the data centre and some others."""
    membership.update_me(node.view, moment.now, **fields)
    others = sorted(m.address for m in membership.reachable(node.view))
    others = [address for address in others if address != node.view.me.address]
    if len(others) <= TELL_ALL_MOST:
        return announce(node, everywhere=True)
    chosen = rng.sample(others, URGENT_TARGETS)
    return announce(node) + [_word_of_me(node, address) for address in chosen]


def announce(node: Node, everywhere: bool = False) -> list[Effect]:
    """Tell the whole data centre of oneself, having joined; the rest hears by gossip."""
    me = node.view.me
    told = [
        m for m in membership.reachable(node.view) if everywhere or m.data_centre == me.data_centre
    ]
    others = [m.address for m in told if m.address != me.address][:ANNOUNCE_MOST]
    return [_word_of_me(node, address) for address in others]


def leave(node: Node, moment: Moment, rng: random.Random) -> list[Effect]:
    """Tell the whole data centre that this daemon is gone, so that nobody relays by it."""
    none = {"server_state": ServerState.NONE, "further_servers": ()}
    effects = change_me(node, moment, rng, status=Status.LEFT, **none)
    return effects + announce(node)
