"""Steps for recovery."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

from behave import given, then, when

from hornbeamgw.core import invariants, versions
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.committer import Committed
from hornbeamgw.daemon.http1 import HttpClient, header
from hornbeamgw.daemon.main import Daemon
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, queue_limit_edit, wait_for

BODIES = {
    "entry/all": {"name": "all", "owner": "o", "traffic_class": "c", "limits": {"slots": 6}},
}


async def change(fleet, daemon, number):
    """Accept one more version by a daemon."""
    wanted = queue_limit_edit(daemon, "entry/all", number, f"change-{number}")
    outcome = await daemon.committer.commit(wanted)
    assert isinstance(outcome, Committed), outcome
    return outcome.version


async def all_in_force(daemons, version):
    for daemon in daemons:
        await wait_for(lambda d=daemon: d.control.versions.snapshot.version >= version)


@given("three daemons of one data centre with version 3 in force")
def three(context):
    invariants.violations_by_name.clear()
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)

    async def start():
        for _ in range(3):
            await fleet.start()
        first = fleet.daemons[0]
        await first.committer.commit(edit_from_bodies(BODIES, "e"))
        for number in (2, 3):
            await change(fleet, first, number)
        await all_in_force(fleet.daemons, 3)
        for daemon in fleet.daemons:
            view = daemon.control.view
            await wait_for(lambda v=view: len(v.members_by_address) == 3)

    context.runner.run(start())


@given("the platform is down")
def down(context):
    context.fleet.platform.down = True


@when("the platform is up again")
def up(context):
    context.fleet.platform.down = False


@when("a daemon starts alone with no peers")
def alone(context):
    context.late = context.runner.run(context.fleet.start(seeds=()))


@then('it is not ready, says it waits for the platform, and tells callers "{verdict}"')
def not_ready(context, verdict):
    reader = context.late.reader

    async def ask():
        await wait_for(lambda: "platform" in reader.waiting_for)
        client = HttpClient(context.fleet.callers(context.late), 10.0)
        try:
            return await client.request("GET", "/")
        finally:
            client.close()

    response = context.runner.run(ask())
    assert not versions.is_ready(context.late.control.versions)
    assert response.status == 503
    assert header(response.headers, b"hornbeamgw-verdict") == verdict.encode()
    assert header(response.headers, b"hornbeamgw-reason") == b"not_ready"


@then("the new daemon has version {version:d} in force")
def late_in_force(context, version):
    context.runner.run(all_in_force([context.late], version))


@given("one peer is held at version 2")
def held(context):
    state = context.fleet.daemons[1].control.versions
    blobs = [state.deltas_by_version[v] for v in (1, 2)]
    fresh = versions.VersionState()
    versions.set_floor(fresh, 1, 0.0)
    versions.learn_deltas(fresh, blobs, versions.Origin(versions.ArrivalPath.PULL, "t"), 0.0)
    control = context.fleet.daemons[1].control
    control.node.versions = fresh
    control.node.pull_state.not_before = float("inf")
    assert fresh.snapshot.version == 2


@given("one peer is alive but does not answer about floors")
def mute(context):
    peers = context.fleet.daemons[1].peers
    original = peers._on_frame

    def on_frame(link, frame):
        if not isinstance(frame, frames.FloorRequest):
            original(link, frame)

    peers._on_frame = on_frame


@when("a daemon crashes and starts again with nothing")
def restart(context):
    async def again():
        gone = context.fleet.daemons[2]
        address = gone.control.view.me.address
        await context.fleet.crash(gone)
        context.late = await context.fleet.start(address=address)

    context.runner.run(again())


@then("it has version {version:d} in force again, by its peers alone")
def by_peers(context, version):
    reads = context.fleet.platform.reads
    context.runner.run(all_in_force([context.late], version))
    state = context.late.control.versions
    assert state.floor == version and context.fleet.platform.reads == reads
    assert not invariants.violations_by_name, invariants.violations_by_name


@then("it is not ready and says which peer it waits for")
def waits_for_peer(context):
    mute_address = context.fleet.daemons[1].control.view.me.address
    reader = context.late.reader
    context.runner.run(wait_for(lambda: mute_address in reader.waiting_for))
    assert not versions.is_ready(context.late.control.versions)


@when("{count:d} daemons start at once with nothing")
def herd(context, count):
    context.reads_before = context.fleet.platform.reads

    async def start():
        settings = {"platform_poll": 1000.0}
        await asyncio.gather(*(context.fleet.start(**settings) for _ in range(count)))
        await all_in_force(context.fleet.daemons, 3)

    context.runner.run(start())


@then("all have version {version:d} in force and the platform served less than {reads:d} reads")
def few_reads(context, version, reads):
    assert len(context.fleet.daemons) == 15
    served = context.fleet.platform.reads - context.reads_before
    assert served < reads, served


@when("{count:d} daemons that draw the same random ports are created and then start")
def same_ports(context, count):
    settings = context.fleet.settings()
    with mock.patch("random.SystemRandom", lambda: random.Random(count)):
        context.fleet.daemons += [Daemon(settings, seed) for seed in range(count)]

    async def start():
        starting = [daemon.start() for daemon in context.fleet.daemons[-count:]]
        context.addresses = [addresses["address"] for addresses in await asyncio.gather(*starting)]

    context.runner.run(start())


@then("each of them listens at an address of its own")
def own_addresses(context):
    assert len(set(context.addresses)) == len(context.addresses), context.addresses


@when("daemons restart one after another while versions are accepted")
def restarts(context):
    async def run():
        fleet = context.fleet
        living = list(fleet.daemons)
        version = 3
        for number in range(4, 10):
            gone = living.pop(0)
            address = gone.control.view.me.address
            version = await change(fleet, living[0], number)
            await fleet.crash(gone)
            await all_in_force(living, version)
            version = await change(fleet, living[1], 100 + number)
            living.append(await fleet.start(address=address))
            await all_in_force(living, version)
        context.version, context.living = version, living

    context.runner.run(run())


@then("no invariant was violated")
def none_violated(context):
    assert context.version == 15
    assert not invariants.violations_by_name, invariants.violations_by_name
    assert all(d.control.versions.snapshot.version == 15 for d in context.living)
