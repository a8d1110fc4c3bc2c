"""Steps for spreading and membership between nodes, without a network."""

from __future__ import annotations

import random
from collections import Counter, deque

from behave import given, then, when

from hornbeamgw.core import edit, membership, node, rendezvous, spreading, versions
from hornbeamgw.core.edit import EMPTY_CATALOGUE, Change, Edit
from hornbeamgw.core.membership import Member, Status, Timing
from hornbeamgw.core.node import Envelope, Moment, Node
from hornbeamgw.core.spreading import Have
from hornbeamgw.core.versions import ArrivalPath, Origin
from hornbeamgw.daemon import datagrams

BODY = {"name": "e", "owner": "o", "traffic_class": "c", "limits": {"slots": 1}}


@given("{count:d} nodes in 9 data centres of 3 regions that see each other")
def nodes(context, count):
    context.rng = random.Random(1)
    context.now = 0.0
    context.silent = set()
    members = [Member(f"n{i:03d}", f"dc{i % 9}", f"r{i % 3}", 1) for i in range(count)]
    context.nodes = {m.address: Node(m, Timing()) for m in members}
    for held in context.nodes.values():
        membership.merge(held.view, members, 0.0, propagate=False)
        node.set_floor(held, 0, "start", Moment(0.0, 0.0))
    change = Change(key="entry/e", based_on=0, body=BODY)
    wanted = Edit(edit_id="e", author="t", changes=[change])
    context.blob = edit.encode_delta(edit.accept(EMPTY_CATALOGUE, wanted, 0).unwrap())
    context.queue = deque()
    context.sent = Counter()


def post(context, effects):
    for effect in effects:
        if isinstance(effect, node.Send):
            context.sent[type(effect.envelope.message).__name__] += 1
            context.queue.append(effect)


def deliver(context):
    while context.queue:
        effect = context.queue.popleft()
        if effect.to in context.silent or effect.envelope.sender in context.silent:
            continue
        moment = Moment(context.now, context.now)
        post(context, node.receive(context.nodes[effect.to], effect.envelope, moment, context.rng))


def learn(context, address):
    origin = Origin(ArrivalPath.COMMIT, address)
    return node.learn_deltas(context.nodes[address], [context.blob], origin, Moment(0.0, 0.0))[1]


def some_gossip(context):
    """Return records of some members, in any order of incarnation, sequence and status."""
    rng = context.rng
    chosen = rng.sample(sorted(context.nodes), 10)
    place = context.nodes[chosen[0]].view.members_by_address
    return [
        place[address]._replace(
            incarnation=rng.randint(1, 2),
            sequence=rng.randint(0, 3),
            status=Status(rng.randint(0, 3)),
            version=rng.randint(0, 5),
            slots=rng.randint(0, 3),
        )
        for address in chosen
    ]


@when("one of them takes {count:d} datagrams of gossip, older and newer, also of itself")
def takes_gossip(context, count):
    members = list(context.nodes["n000"].view.members_by_address.values())
    context.pair = [Node(members[0], Timing()), Node(members[0], Timing())]
    for held in context.pair:
        membership.merge(held.view, members, 0.0, propagate=False)
    context.read, reading = 0, context.pair[0].view
    for number in range(count):
        told = Envelope("n001", 0, 0, 0, some_gossip(context), Have())
        payload = datagrams.encode_datagram(1, told)
        news = datagrams.decode_datagram(
            1, payload, lambda address, order: membership.is_newer(reading, address, order)
        )
        context.read += len(news.gossip)
        for held, received in zip(context.pair, (news, told), strict=True):
            moment = Moment(float(number), float(number))
            node.receive(held, received, moment, random.Random(number))
    context.told = 10 * count


@then("it believes and passes on the same as one that reads all of them")
def same_belief(context):
    one, other = (vars(held.view) for held in context.pair)
    assert one == other, {name for name in one if one[name] != other[name]}


@then("most of the records were not read")
def mostly_unread(context):
    assert 0 < context.read < context.told / 4, (context.read, context.told)


@given("{count:d} of them are silent")
def silent(context, count):
    context.silent = set(context.rng.sample(sorted(context.nodes)[1:], count))


@given("the relays and first receivers have learned it before")
def learned_before(context):
    first = context.nodes["n000"]
    members = membership.reachable(first.view)
    scope = spreading.Scope.FLEET
    found = spreading.tree(
        first.view.me, members, 1, scope, spreading.MIN_ADDRESS, spreading.MAX_ADDRESS
    )
    assert len(found) >= 6, found
    for target in found:
        learn(context, target.address)


@when("one of them commits a version")
def commit(context):
    post(context, learn(context, "n000"))
    post(context, node.push(context.nodes["n000"], Moment(0.0, 0.0)))
    deliver(context)


@when("one of them commits a version of {count:d} new services and routes")
def commit_many(context, count):
    bodies = {"entry/e": BODY}
    for index in range(count):
        service, name = f"service-{index}", f"route-{index}"
        bodies[f"service/{service}"] = {"name": service, "owner": "o"}
        route = {"name": name, "host": "h.example", "prefix": f"/p{index}/", "service": service}
        bodies[f"route/{name}"] = route | {"entry": "e", "idempotent": True, "deadline_ms": 500}
    changes = [Change(key=key, based_on=0, body=body) for key, body in bodies.items()]
    wanted = Edit(edit_id="many", author="t", changes=changes)
    context.blob = edit.encode_delta(edit.accept(EMPTY_CATALOGUE, wanted, 0).unwrap())
    commit(context)


@given(
    "{count:d} members of a data centre, {wide:d} of them with a link of {wide_rate:d} Mbit/s "
    "and the rest of {rate:d}"
)
def links(context, count, wide, wide_rate, rate):
    context.wide = {f"n{index:03d}" for index in range(5, 5 + wide)}
    context.members = [
        Member(name, "dc0", "r0", 1, bandwidth=wide_rate if name in context.wide else rate)
        for name in (f"n{index:03d}" for index in range(count))
    ]


def readers_among(members):
    return {m.address for m in members if rendezvous.is_reader(m, members)}


@then("those {wide:d} are its readers")
def wide_read(context, wide):
    assert readers_among(context.members) == context.wide


@then("while links are not known {count:d} members are its readers")
def unknown_links(context, count):
    unknown = [member._replace(bandwidth=0) for member in context.members]
    assert len(readers_among(unknown)) == count


@when("one of them commits a version and unanswered pushes are followed up")
def commit_and_follow(context):
    commit(context)
    for _ in range(10):
        context.now += spreading.PUSH_ACK_TIMEOUT_S
        for address, held in context.nodes.items():
            if address not in context.silent:
                moment = Moment(context.now, context.now)
                post(context, node.check(held, moment, context.rng))
        deliver(context)


@then("all have it in force and at most {pushes:d} pushes were sent")
def all_have(context, pushes):
    behind = [a for a, n in context.nodes.items() if not versions.is_ready(n.versions)]
    assert not behind, behind
    assert len(context.nodes) - 1 <= context.sent["Push"] <= pushes, context.sent


@then("all that are not silent have it in force")
def all_others(context):
    behind = {a for a, n in context.nodes.items() if not versions.is_ready(n.versions)}
    assert behind == context.silent, behind ^ context.silent


@when("one of them commits a version that nobody was pushed, and probes another")
def probe_with_version(context):
    learn(context, "n000")
    probe = node.envelope(context.nodes["n000"], "n001", membership.Probe(1))
    heard = context.nodes["n001"]
    context.effects = node.receive(heard, probe, Moment(0.0, 0.0), context.rng)
    context.later = node.check(heard, Moment(1.0, 1.0), context.rng)


@then("the other pulls from it once the push had time to come")
def pulls(context):
    assert not [e for e in context.effects if isinstance(e, node.StartPull)], context.effects
    assert node.StartPull("n000") in context.later, context.later


@when("one node suspects another and tells it")
def suspect(context):
    asker, suspected = context.nodes["n000"], context.nodes["n009"]
    membership._raise_status(asker.view, "n009", Status.SUSPECT, 0.0)
    assert asker.view.members_by_address["n009"].status is Status.SUSPECT
    effect = node.Send("n009", node.envelope(asker, "n009", membership.Probe(1)))
    post(context, [effect])
    deliver(context)
    assert suspected.view.me.sequence > 0


@then("the suspect is alive again in that node's view")
def refuted(context):
    assert context.nodes["n000"].view.members_by_address["n009"].status is Status.ALIVE


@when("one node hears from nobody for a minute")
def cut_off(context):
    context.silent = {"n000"}
    run(context, 90)
    view = context.nodes["n000"].view
    context.statuses = Counter(m.status for m in view.members_by_address.values())


def run(context, seconds):
    held = context.nodes["n000"]
    for _ in range(seconds):
        context.now += 1.0
        moment = Moment(context.now, context.now)
        post(context, node.tick(held, moment, context.rng))
        post(context, node.check(held, moment, context.rng))
        deliver(context)


@then("it still has {count:d} others in its view, and finds them again when they answer")
def still_there(context, count):
    view = context.nodes["n000"].view
    assert context.statuses[Status.DEAD] > 0, context.statuses
    assert len(view.members_by_address) == count + 1
    context.silent = set()
    run(context, 900)
    assert all(m.status is Status.ALIVE for m in view.members_by_address.values()), Counter(
        m.status for m in view.members_by_address.values()
    )


@given("{count:d} members in {places:d} data centres that read the operators' row")
def watchers(context, count, places):
    context.members = [
        Member(f"10.0.{i // 250}.{i % 250}:7400", f"dc-{i % places}", "r", 1) for i in range(count)
    ]


def reads(member, members):
    return rendezvous.is_reader(member, members, rendezvous.MIN_TOTAL_READERS)


@then("{count:d} of them are readers")
def read_count(context, count):
    context.readers = {m.address for m in context.members if reads(m, context.members)}
    assert len(context.readers) == count, context.readers


def pushes(member, members, version):
    return rendezvous.is_pusher(member, members, version, rendezvous.MIN_TOTAL_READERS)


@then("each of {versions:d} versions is pushed by {count:d} of them, readers both")
def pushed_by(context, versions, count):
    readers = [m for m in context.members if m.address in context.readers]
    context.pushers = [
        [m.address for m in readers if pushes(m, context.members, version)]
        for version in range(versions)
    ]
    assert {len(pushers) for pushers in context.pushers} == {count}
    others = [m for m in context.members if m.address not in context.readers][:20]
    assert not any(pushes(m, context.members, version) for m in others for version in range(9))


@then("none of them pushes more than a third of the versions")
def by_turns(context):
    counts = Counter(address for pushers in context.pushers for address in pushers)
    assert max(counts.values()) <= len(context.pushers) / 3, counts


@given("a member of a fleet of {size:d} whose view differs from each that it hears of")
def differing(context, size):
    members = [Member(f"n{index:03d}", "dc", "r", 1) for index in range(size)]
    context.view = membership.MembershipState(members[0], Timing())
    membership.merge(context.view, members, 0.0, propagate=False)


@then(
    "in {seconds:d} seconds of {rate:d} messages each it compares whole views "
    "at most {most:d} times, and does"
)
def compares(context, seconds, rate, most):
    other = context.view.view_hash + 1
    times = [number / rate for number in range(1, seconds * rate + 1)]
    compared = sum(membership.should_reconcile(context.view, other, now) for now in times)
    assert 1 <= compared <= most, compared
