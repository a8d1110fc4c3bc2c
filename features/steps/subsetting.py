"""Steps for subsetting: what a daemon deals with, and what that changes in simulated time."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when

from hornbeamgw.core.membership import Member, ServerState, Status
from hornbeamgw.core.subsetting import N_REMOTE, server_subset
from hornbeamgw.testing import simulated
from hornbeamgw.testing.simulated import Fleet, Kind

LOOKUP = Kind("lookup", 0.140, 0.712, 1.779, 1)
DAEMONS = 195


@given("{count:d} servers in {places:d} data centres")
def servers(context, count, places):
    context.servers = [
        Member(f"s{i}", f"dc-{i % places}", "r", 1, service="s", server_state=ServerState.SERVING)
        for i in range(count)
    ]
    context.me = Member("me", "dc-0", "r", 1)
    context.before = names(server_subset(context.me, context.servers))


def names(members):
    return {member.address for member in members}


@then("a daemon deals with all of its data centre and {count:d} of the others")
def near_and_some(context, count):
    near = names(m for m in context.servers if m.data_centre == "dc-0")
    assert near <= context.before
    assert len(context.before - near) == count


@then("no server is dealt with by more than {factor:d} times as many daemons as the mean")
def spread(context, factor):
    counts = Counter()
    for number in range(DAEMONS):
        me = context.me._replace(address=f"daemon-{number}")
        counts.update(names(server_subset(me, context.servers)) - names_near(context))
    assert max(counts.values()) <= factor * N_REMOTE * DAEMONS / len(counts), counts.most_common(3)


def names_near(context):
    return names(m for m in context.servers if m.data_centre == "dc-0")


@then("a daemon deals with all {count:d}")
def all_known(context, count):
    assert len(context.before) == count


@when("one of another data centre ends")
def ends(context):
    context.gone = sorted(context.before - names_near(context))[0]
    context.left = [m for m in context.servers if m.address != context.gone]


@then("a daemon that dealt with it deals with one it did not, and the others go on as before")
def replaced(context):
    after = names(server_subset(context.me, context.left))
    assert context.before - after == {context.gone}
    assert len(after - context.before) == 1
    for number in range(DAEMONS):
        me = context.me._replace(address=f"daemon-{number}")
        known = names(server_subset(me, context.servers))
        if context.gone not in known:
            assert names(server_subset(me, context.left)) == known


@when("all but {count:d} of the other data centres are in doubt")
def doubted(context, count):
    far = [m for m in context.servers if m.data_centre != "dc-0"]
    context.living = names(far[:count])
    context.servers = [
        m._replace(status=Status.SUSPECT) if m in far[count:] else m for m in context.servers
    ]


@then("a daemon deals with those {living:d}, and with {doubted:d} in doubt")
def living_first(context, living, doubted):
    far = names(server_subset(context.me, context.servers)) - names_near(context)
    assert context.living <= far and len(context.living) == living
    assert len(far) == living + doubted


@given("{count:d} servers with {slots:d} slots of speeds 0.5, 1 and 1.5 in {places:d} data centres")
def slotted(context, count, slots, places):
    context.speeds = [(0.5, 1.0, 1.5)[index % 3] for index in range(count)]
    context.slots, context.places = slots, places


@when(
    "{daemons:d} daemons place {seconds:d} seconds of lookups at {load:g} of what they can do, "
    "with all and some"
)
def placed(context, daemons, seconds, load):
    capacity = context.slots * sum(context.speeds)
    requests = simulated.arrivals([LOOKUP], capacity, load, seconds, seed=5)
    context.in_time = {}
    for name in (simulated.SAMPLING, simulated.SUBSET_SAMPLING):
        fleet = Fleet(context.speeds, context.slots, "objective", name, daemons, context.places)
        context.in_time[name] = fleet.run(requests, 5).in_time.total()


@then("with some at least {part:g} of the answers in time come in time")
def as_many(context, part):
    counts = context.in_time
    assert counts[simulated.SUBSET_SAMPLING] >= part * counts[simulated.SAMPLING], counts
