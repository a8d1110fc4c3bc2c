"""Randomised fleet: nodes under loss, reorder, duplication, delay, restarts and partitions.

The machine holds the messages that are on their way and lets Hypothesis choose what happens
next. The invariants are those that the daemon counts itself (core/invariants.py), and what only
an outside observer can see: a version that an address had in force, and the committed history.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from result import Err

from hornbeamgw.core import commit, edit, floor, invariants, membership, node, versions
from hornbeamgw.core.catalogue import compute_digest
from hornbeamgw.core.edit import Change, Edit
from hornbeamgw.core.membership import Member, Timing
from hornbeamgw.core.node import Moment, Node
from hornbeamgw.core.rendezvous import is_reader
from hornbeamgw.core.table import Write
from hornbeamgw.core.versions import ArrivalPath, Origin
from hornbeamgw.testing.memory import MemoryPlatform
from properties.moods import BURST, CALM, WEIGHTS_BY_MOOD

NODES = 6
DATA_CENTRES = ("suva-1", "suva-2", "dar-1")
REGION_BY_DATA_CENTRE = {"suva-1": "fiji", "suva-2": "fiji", "dar-1": "tanzania"}
MAX_ON_THE_WAY = 200
MAX_PENDING_WRITES = 4
MAX_DOWN = 3
REJOIN_SHARE = 0.02
STEPS_BY_KIND: Counter[str] = Counter()

seeds = st.integers(0, 2**32 - 1)


class InFlight(NamedTuple):
    """Hold a datagram, a pull's answer or a view on its way."""

    sender: str
    to: str
    effect: node.Effect
    born: int


class PendingWrite(NamedTuple):
    """Hold a transaction that a committer sent and that may still take effect."""

    writes: tuple[Write, ...]
    version: int


def _entry(number: int, slots: int) -> dict[str, object]:
    name = f"e{number}"
    return {"name": name, "owner": "o", "traffic_class": "c", "limits": {"slots": slots}}


class FleetMachine(RuleBasedStateMachine):
    """Hold the nodes, the network between them, and the platform."""

    def __init__(self) -> None:
        """Start without nodes."""
        self.known: dict[tuple[str, int], int] = {}
        super().__init__()
        self.now = 1000.0
        self.rng = random.Random(0)
        self.platform = MemoryPlatform()
        self.nodes: dict[str, Node | None] = {}
        self.on_the_way: list[InFlight] = []
        self.cut: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.pending_writes: list[PendingWrite] = []
        self.held: dict[str, int] = {}
        self.digests_by_version: dict[int, str] = {}
        self.newest = edit.EMPTY_CATALOGUE
        self.deltas: list[bytes] = []
        self.wholes: list[bytes] = []
        self.incarnation = 1
        self.edits = 0
        self.birth: dict[str, int] = {}
        self.clock = 0

    # Plumbing

    @initialize(seed=seeds)
    def start(self, seed: int) -> None:
        """Start every node with a full view and the floor of an empty catalogue."""
        invariants.violations_by_name.clear()
        self.rng = random.Random(seed)
        for index in range(NODES):
            self._boot(f"n{index}")
        for held in self.nodes.values():
            assert held is not None
            everyone = [n.view.me for n in self.nodes.values() if n is not None]
            membership.merge(held.view, everyone, self.now)
            self._carry(held, node.set_floor(held, 0, "start", self._moment()))

    def _boot(self, address: str) -> Node:
        self.incarnation += 1
        self.clock += 1
        data_centre = DATA_CENTRES[int(address[1:]) % len(DATA_CENTRES)]
        me = Member(address, data_centre, REGION_BY_DATA_CENTRE[data_centre], self.incarnation)
        booted = self.nodes[address] = Node(me, Timing())
        self.birth[address] = self.clock
        return booted

    def _moment(self) -> Moment:
        return Moment(self.now, self.now)

    def _alive(self) -> list[str]:
        return [a for a, n in self.nodes.items() if n is not None and a not in self.paused]

    def _pick(self) -> Node | None:
        return self._node(self.rng.randrange(NODES))

    def _node(self, index: int) -> Node | None:
        address = f"n{index}"
        return None if address in self.paused else self.nodes[address]

    def _connected(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut

    def _carry(self, held: Node, effects: list[node.Effect]) -> None:
        me = held.view.me.address
        for effect in effects:
            if isinstance(effect, node.Send):
                self._post(InFlight(me, effect.to, effect, self.clock))
            elif isinstance(effect, node.StartPull):
                self._post(InFlight(me, effect.source, effect, self.clock))
            elif isinstance(effect, node.StartReconcile):
                self._post(InFlight(me, effect.address, effect, self.clock))
            elif isinstance(effect, node.CatalogueMismatch):
                raise AssertionError(f"two catalogues of one version at {effect.sender}")

    def _post(self, message: InFlight) -> None:
        if len(self.on_the_way) < MAX_ON_THE_WAY:
            self.on_the_way.append(message)

    def _deliver(self, message: InFlight) -> None:
        receiver = self.nodes.get(message.to)
        reachable = self._connected(message.sender, message.to) and message.to not in self.paused
        if isinstance(message.effect, node.Send):
            if receiver is not None and reachable:
                envelope = message.effect.envelope
                effects = node.receive(receiver, envelope, self._moment(), self.rng)
                self._carry(receiver, effects)
            return
        asker = self.nodes.get(message.sender)
        if asker is None or self.birth[message.sender] > message.born:
            return
        if isinstance(message.effect, node.StartPull):
            self._pull(asker, receiver if reachable else None, message.to)
        elif receiver is not None and reachable:
            view = node.handle_join(receiver, asker.view.me, self._moment())
            membership.merge(asker.view, view, self.now, propagate=False)

    def _pull(self, asker: Node, source: Node | None, address: str) -> None:
        known = asker.versions.catalogue.version
        moment = self._moment()
        if source is not None:
            blobs = versions.deltas_after(source.versions, known)
            origin = Origin(ArrivalPath.PULL, address)
            if blobs is not None and self.rng.random() < 0.7:
                _, effects = node.learn_deltas(asker, blobs, origin, moment)
            else:
                whole = versions.encode_catalogue(source.versions.catalogue)
                _, effects = node.learn_catalogue(asker, whole, origin, moment)
            self._carry(asker, effects)
        self._carry(asker, node.finish_pull(asker, address, known, moment, self.rng))

    # What may happen

    @rule(seed=seeds, mood=st.sampled_from(sorted(WEIGHTS_BY_MOOD)))
    def burst(self, seed: int, mood: str) -> None:
        """Let many things happen, with the weights of a mood."""
        self.rng = random.Random(seed)
        weights = {**CALM, **WEIGHTS_BY_MOOD[mood]}
        for name in self.rng.choices(list(weights), list(weights.values()), k=BURST):
            getattr(self, name)()
            self.check_all()

    def deliver(self) -> None:
        """Deliver some messages in any order."""
        for _ in range(min(self.rng.randint(1, 40), len(self.on_the_way))):
            self._deliver(self.on_the_way.pop(self.rng.randrange(len(self.on_the_way))))
        STEPS_BY_KIND["deliver"] += 1

    def duplicate(self) -> None:
        """Deliver a message and keep it for later, too."""
        if self.on_the_way:
            self._deliver(self.rng.choice(self.on_the_way))
        STEPS_BY_KIND["duplicate"] += 1

    def lose(self) -> None:
        """Lose some messages."""
        for _ in range(min(self.rng.randint(1, 20), len(self.on_the_way))):
            self.on_the_way.pop(self.rng.randrange(len(self.on_the_way)))
        STEPS_BY_KIND["lose"] += 1

    def time_passes(self) -> None:
        """Let time pass and timers fire."""
        self.now += self.rng.choice([0.05, 0.2, 1.0, 5.0])
        for address in self._alive():
            held = self.nodes[address]
            assert held is not None
            if len(held.view.members_by_address) == 1 or self.rng.random() < REJOIN_SHARE:
                self._join(held, self.rng.randrange(NODES))
            if is_reader(held.view.me, membership.reachable(held.view)):
                self._poll(held)
            self._carry(held, node.check(held, self._moment(), self.rng))
            self._carry(held, node.tick(held, self._moment(), self.rng))
        STEPS_BY_KIND["time_passes"] += 1

    def send_edit(self) -> None:
        """Let a node read the head and send a write, which may take effect at any later time."""
        held = self._pick()
        if held is None or self.platform.down or len(self.pending_writes) >= MAX_PENDING_WRITES:
            return
        self._catch_up(held)
        row = self.platform.rows_by_key.get(commit.HEAD_KEY)
        head = commit.decode_head(row.value if row else None)
        known = held.versions.catalogue
        if not commit.is_at_head(known, head):
            return
        number = self.rng.randrange(3)
        key = f"entry/e{number}"
        based_on = known.items[key].revision if key in known.items else 0
        change = Change(key=key, based_on=based_on, body=_entry(number, self.rng.randint(1, 9)))
        self.edits += 1
        wanted = Edit(edit_id=f"edit{self.edits}", author="m", changes=[change])
        accepted = edit.accept(known, wanted, 0)
        if isinstance(accepted, Err):
            return
        plan = commit.plan(head, row.etag if row else None, accepted.ok_value, False)
        self.pending_writes.append(PendingWrite(tuple(plan.writes), accepted.ok_value["version"]))
        STEPS_BY_KIND["send_edit"] += 1

    def write_takes_effect(self) -> None:
        """Let a write reach the platform, now or twice; its sender may never learn of it."""
        if not self.pending_writes or self.platform.down:
            return
        pending = self.rng.choice(self.pending_writes)
        if self.rng.random() < 0.8:
            self.pending_writes.remove(pending)
        self.platform._apply(pending.writes)
        self._record_history()
        held = self._pick()
        if self.rng.random() < 0.5 and held is not None:
            self._catch_up(held)
            self._carry(held, node.push(held, self._moment()))
        STEPS_BY_KIND["write_takes_effect"] += 1

    def _record_history(self) -> None:
        row = self.platform.rows_by_key.get(commit.HEAD_KEY)
        head = commit.decode_head(row.value if row else None)
        if head["version"] > len(self.deltas):
            self.deltas.append(self.platform.rows_by_key[commit.delta_key(head["version"])].value)
            followed = edit.apply_delta(self.newest, edit.decode_delta(self.deltas[-1]))
            self.newest = followed.unwrap()
            self.wholes.append(versions.encode_catalogue(self.newest))
        if head["version"]:
            kept = self.digests_by_version.setdefault(head["version"], head["digest"])
            assert kept == head["digest"], f"version {head['version']} was committed twice"
            assert head["version"] == max(self.digests_by_version), "the head went back"

    def _catch_up(self, held: Node) -> bool:
        row = self.platform.rows_by_key.get(commit.HEAD_KEY)
        head = commit.decode_head(row.value if row else None)
        known = held.versions.catalogue.version
        keys = [commit.delta_key(v) for v in range(known + 1, head["version"] + 1)]
        blobs = [self.platform.rows_by_key[key].value for key in keys]
        origin = Origin(ArrivalPath.PLATFORM, "platform")
        advanced, effects = node.learn_deltas(held, blobs, origin, self._moment())
        self._carry(held, effects)
        return advanced

    def late_answer(self) -> None:
        """Let an answer to an old pull arrive: any deltas or any whole catalogue so far."""
        held = self._pick()
        if held is None or not self.deltas:
            return
        origin, moment = Origin(ArrivalPath.PULL, "late"), self._moment()
        if self.rng.random() < 0.5:
            blobs = self.rng.sample(self.deltas, min(2, len(self.deltas)))
            _, effects = node.learn_deltas(held, blobs, origin, moment)
        else:
            _, effects = node.learn_catalogue(held, self.rng.choice(self.wholes), origin, moment)
        self._carry(held, effects)
        STEPS_BY_KIND["late_answer"] += 1

    def poll(self) -> None:
        """Let a reader poll the head, catch up and push."""
        held = self._pick()
        if held is not None:
            self._poll(held)

    def _poll(self, held: Node) -> None:
        if not self.platform.down and self._catch_up(held):
            self._carry(held, node.push(held, self._moment()))
            STEPS_BY_KIND["poll"] += 1

    def crash(self) -> None:
        """End a node with all that it knew."""
        if len(self._down()) >= MAX_DOWN:
            return
        address = self.rng.choice(list(self.nodes))
        self.nodes[address] = None
        self.paused.discard(address)
        STEPS_BY_KIND["crash"] += 1

    def _down(self) -> list[str]:
        return [address for address, held in self.nodes.items() if held is None]

    def restart(self) -> None:
        """Start a node with nothing and let it join by another."""
        if self._down():
            self._restart(self.rng.choice(self._down()), self.rng.randrange(NODES))
            STEPS_BY_KIND["restart"] += 1

    def _restart(self, address: str, seed_index: int) -> None:
        self._join(self._boot(address), seed_index)

    def _join(self, held: Node, seed_index: int) -> None:
        """Join by a seed, as a daemon does again and again until one answers."""
        seed = self._node(seed_index)
        address = held.view.me.address
        if seed is not None and seed is not held and self._connected(address, f"n{seed_index}"):
            view = node.handle_join(seed, held.view.me, self._moment())
            membership.merge(held.view, view, self.now, propagate=False)

    def _unsure(self) -> list[Node]:
        found = [self.nodes[address] for address in self._alive()]
        return [held for held in found if held is not None and held.versions.floor is None]

    def learn_floor(self) -> None:
        """Let a node without a floor read the head, or ask its peers while the platform is away."""
        if not self._unsure():
            return
        held = self.rng.choice(self._unsure())
        if not self.platform.down:
            row = self.platform.rows_by_key.get(commit.HEAD_KEY)
            sure = commit.decode_head(row.value if row else None)["version"]
            self._carry(held, node.set_floor(held, sure, "platform", self._moment()))
            STEPS_BY_KIND["floor_from_platform"] += 1
            return
        self._floor_from_peers(held)

    def _floor_from_peers(self, held: Node) -> None:
        me = held.view.me
        local = [m for m in membership.reachable(held.view) if m.data_centre == me.data_centre]
        local = [m for m in local if m.address != me.address]
        answers = {m.address: self._floor_answer(m.address, me.address) for m in local}
        alive = frozenset(m.address for m in local if m.status is membership.Status.ALIVE)
        decision = floor.decide(answers, alive)
        if decision.floor is not None and self._peers_suffice(me.address, decision.floor):
            self._carry(held, node.set_floor(held, decision.floor, "peers", self._moment()))
            STEPS_BY_KIND["floor_from_peers"] += 1

    def _floor_answer(self, peer: str, asker: str) -> floor.FloorAnswer | None:
        answering = self.nodes[peer]
        if answering is None or peer in self.paused or not self._connected(peer, asker):
            return None
        ready = versions.is_ready(answering.versions)
        member = answering.view.members_by_address.get(asker)
        remembered = member.version if member is not None else 0
        version = max(remembered, answering.versions.catalogue.version) if ready else 0
        return floor.FloorAnswer(version, False)

    def _peers_suffice(self, address: str, decided: int) -> bool:
        """Keep to the stated assumption: a holder of the last version in force has survived."""
        return decided >= self.held.get(address, 0)

    def platform_outage(self) -> None:
        """Take the platform away, or bring it back."""
        self.platform.down = not self.platform.down
        STEPS_BY_KIND["platform_outage"] += 1

    def pause(self) -> None:
        """Pause a node, or let it go on as if nothing had happened."""
        self.paused ^= {self.rng.choice(list(self.nodes))}
        STEPS_BY_KIND["pause"] += 1

    def partition(self) -> None:
        """Cut the network in two."""
        side = {address for address in self.nodes if self.rng.random() < 0.5}
        self.cut = {frozenset((a, b)) for a in side for b in self.nodes if b not in side}
        STEPS_BY_KIND["partition"] += 1

    def heal(self) -> None:
        """Mend the network."""
        self.cut = set()
        STEPS_BY_KIND["heal"] += 1

    # What must hold

    @invariant()
    def check_all(self) -> None:
        """Check everything that must hold after each step."""
        self.knowledge_grows()
        self.nothing_reverts()
        self.only_what_was_committed()
        assert not invariants.violations_by_name, invariants.violations_by_name

    def knowledge_grows(self) -> None:
        """No process ever knows an older catalogue than before."""
        for address, held in self.nodes.items():
            if held is not None:
                process = (address, held.view.me.incarnation)
                version = held.versions.catalogue.version
                assert version >= self.known.get(process, 0), f"{process} forgot {version}"
                self.known[process] = version

    def nothing_reverts(self) -> None:
        """No address ever has an older version in force than before."""
        for address, held in self.nodes.items():
            if held is None or not held.versions.snapshot.version:
                continue
            version = held.versions.snapshot.version
            assert version >= self.held.get(address, 0), f"{address} went back to {version}"
            self.held[address] = version

    def only_what_was_committed(self) -> None:
        """Whatever is in force is a whole committed version."""
        for held in self.nodes.values():
            if held is not None and held.versions.snapshot.version:
                snapshot = held.versions.snapshot
                assert self.digests_by_version[snapshot.version] == snapshot.digest
                assert compute_digest(held.versions.built_items) == snapshot.digest, "other items"
                assert invariants.dangling_routes(snapshot) == 0

    def teardown(self) -> None:
        """Mend everything; then all nodes must reach the head."""
        if not self.nodes:
            return
        self.platform.down, self.cut, self.paused = False, set(), set()
        for address in self._down():
            self._restart(address, (int(address[1:]) + 1) % NODES)
        while self._unsure():
            self.learn_floor()
        self.poll()
        head = max(self.digests_by_version, default=0)
        for _ in range(40):
            self.time_passes()
            while self.on_the_way:
                self._deliver(self.on_the_way.pop(0))
            if all(n and n.versions.catalogue.version == head for n in self.nodes.values()):
                break
        behind = {
            address: held.versions.catalogue.version
            for address, held in self.nodes.items()
            if held is not None and held.versions.catalogue.version != head
        }
        self.nothing_reverts()
        assert not behind, f"head {head}, behind: {behind}"


PROFILE = settings(
    max_examples=100,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
