"""Steps for what a server gets once its limit has ended: stand-ins that declare."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from room import BODIES, ask, is_serving

from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

RATE = 120
CLEAR_S = 4.0
LAST_S = 9.0


@given('{count:d} daemons with the balancing policy "{policy}", each beside a server')
def fleet_of(context, count, policy):
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)
    context.number, context.told = 0, []

    async def start():
        daemons = [await fleet.start(calls_balancing=policy) for _ in range(count)]
        await daemons[0].committer.commit(edit_from_bodies(BODIES, "e"))
        for daemon in daemons:
            await fleet.start_backend(daemon, "roster", slots=8, work=0.02)
        await wait_for(lambda: all(knows_all(daemon, daemons) for daemon in daemons))

    context.runner.run(start())


def knows_all(daemon, daemons):
    members = daemon.control.view.members_by_address.values()
    known = sum(is_serving(member) for member in members)
    return known == len(daemons) and daemon.control.versions.snapshot.version == 1


@when(
    "callers of all ask {rate:d} times a second,"
    " and one server names a limit of {limit:g} a second for {seconds:g} seconds"
)
def limit_for(context, rate, limit, seconds):
    async def run():
        clock = asyncio.get_running_loop().time
        fleet, limited = context.fleet, context.fleet.backends[0]
        began, asking = clock(), []
        limited.declaring.set_limit(limit)
        while clock() < began + seconds + LAST_S:
            if clock() >= began + seconds and limited.declaring.limit is not None:
                limited.declaring.set_limit(None)
            daemon = fleet.daemons[len(asking) % len(fleet.daemons)]
            asking.append(asyncio.create_task(ask(context, 2000, daemon=daemon)))
            await asyncio.sleep(max(0.0, began + len(asking) / rate - clock()))
            if clock() < began + seconds + CLEAR_S:
                context.before = [len(backend.runs_by_id) for backend in fleet.backends]
        await asyncio.gather(*asking)

    context.runner.run(run())


@then("{first:d} to {last:d} seconds later it gets at least {share:g} of its share")
def has_share(context, first, last, share):
    assert (first, last) == (CLEAR_S, LAST_S)
    backends = context.fleet.backends
    got = [len(b.runs_by_id) - n for b, n in zip(backends, context.before, strict=True)]
    assert got[0] >= share * sum(got) / len(got), got
