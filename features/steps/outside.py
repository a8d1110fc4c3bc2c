"""Steps for versions from outside: daemons against the stand-in store, by the users' adapter."""

from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, when

from hornbeamgw.core.membership import Status
from hornbeamgw.core.rendezvous import MIN_TOTAL_READERS, is_pusher
from hornbeamgw.daemon import plugins
from hornbeamgw.daemon.directory import TABLE
from hornbeamgw.testing.local import LocalFleet, wait_for
from hornbeamgw.testing.store import StandInStore

plugins.load("platform", ["mesh_platform"])

DAEMONS = 3
CHECK_S = 0.02


ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "service", "timeout_ms", "slo_ms", "priority"]
ROUTE_COLUMNS += ["attempts", "traffic_split"]


def version_of(number, routes=1):
    rows = [
        [f"r-{index}", "test.example", f"/{index}/", "safe", "roster", 500, 200, 2, 2, None]
        for index in range(routes)
    ]
    services = {"columns": ["name", "health_path"], "rows": [["roster", "/healthz"]]}
    document = {"version": number, "limits": {"idle_timeout_ms": 15000}, "services": services}
    document["routes"] = {"columns": ROUTE_COLUMNS, "rows": rows}
    return msgspec.msgpack.encode(document)


async def start_daemon(context, address="127.0.0.1:0", store_address="", **changed):
    return await context.fleet.start(
        address=address,
        seeds=(),
        directory=True,
        source="watched_row",
        platform_adapter="mesh",
        platform_address=store_address or context.store_address,
        platform_timeout=0.5,
        **changed,
    )


async def known_to_all(context):
    for daemon in context.living:
        members = daemon.control.view.members_by_address
        await wait_for(lambda m=members: len(m) == len(context.living))


def versions_of(context):
    return [daemon.control.versions.snapshot.version for daemon in context.living]


async def in_force(context, number, seconds=10.0):
    until = asyncio.get_running_loop().time() + seconds
    while set(versions_of(context)) != {number}:
        assert asyncio.get_running_loop().time() < until, versions_of(context)
        await asyncio.sleep(CHECK_S)


@given("the store holds version 3, and three daemons start without seeds")
def start(context):
    async def begin():
        context.store = StandInStore()
        context.store_address = await context.store.start()
        context.store.put("op", "config", version_of(3))
        context.fleet = LocalFleet(context.scenario.name)
        context.living = [await start_daemon(context) for _ in range(DAEMONS)]
        await in_force(context, 3)
        await known_to_all(context)

    async def close():
        await context.fleet.close()
        context.store.close()

    context.closers.append(close)
    context.runner.run(begin())


@then("all of them have version {number:d} in force and know one another")
def all_know(context, number):
    async def check():
        await in_force(context, number)
        await known_to_all(context)

    context.runner.run(check())


@then("all of them have version {number:d} in force within {seconds:d} second")
@then("all of them have version {number:d} in force within {seconds:d} seconds")
def within(context, number, seconds):
    context.runner.run(in_force(context, number, seconds))


@when("all of them have version {number:d} in force")
def have(context, number):
    context.runner.run(in_force(context, number))


async def write(context, value):
    context.store.put("op", "config", value)


@when("the operator writes version {number:d} with one more route")
def writes(context, number):
    context.runner.run(write(context, version_of(number, routes=2)))


@when("the row is overwritten with version {number:d}")
def overwritten(context, number):
    context.runner.run(write(context, version_of(number)))


@when("the operator writes something that is no version")
def writes_garbage(context):
    async def garbage():
        garbled = version_of(11).replace(b"timeout_ms", b"timeout_xy")
        context.store.put("op", "config", garbled)
        await asyncio.sleep(0.2)

    context.runner.run(garbage())


@when("the store forgets its history while the operator writes version {number:d}")
def forgets(context, number):
    async def forget():
        context.store.put("op", "config", version_of(number))
        context.store.put("other", "row", b"x")
        context.store.truncate_feed()

    context.runner.run(forget())


@given('the store answers with "{fault}"')
def faulty(context, fault):
    context.store.fault = fault


@given("one of them reaches the store at an address of its own")
def own_door(context):
    async def move():
        context.own_address = await context.store.start()
        daemon = context.living[0]
        address = daemon.control.view.me.address
        await context.fleet.crash(daemon)
        context.living[0] = await start_daemon(context, address, context.own_address)
        await in_force(context, 3)

    context.runner.run(move())


@given('the store answers with "{fault}" there')
def faulty_there(context, fault):
    context.store.set_fault_at(context.own_address, fault)


@given('the next write to the store is "{fault}"')
def next_write(context, fault):
    context.store.write_faults.append(fault)


@given("the store takes {rate:d} calls a second")
def rate(context, rate):
    context.store.rate_limit_per_s = rate


@given("the row of each of them is in the store after {seconds:d} seconds")
@when("the row of each of them is in the store after {seconds:d} seconds")
@then("the row of each of them is in the store after {seconds:d} seconds")
def rows_there(context, seconds):
    context.runner.run(asyncio.sleep(seconds))
    keys = {key for table, key in context.store.rows_by_table_and_key if table == TABLE}
    assert keys >= {daemon.control.view.me.address for daemon in context.living}, keys


@when("{seconds:d} seconds pass")
def passes(context, seconds):
    context.runner.run(asyncio.sleep(seconds))


@when("the store works again with version {number:d}")
def works(context, number):
    context.store.fault = ""
    context.runner.run(write(context, version_of(number, routes=2)))


async def restart(context, daemon):
    address = daemon.control.view.me.address
    await context.fleet.crash(daemon)
    await asyncio.sleep(0.05)
    context.living[context.living.index(daemon)] = await start_daemon(context, address)


@when("one of them restarts as a new process at the same address")
def one_restarts(context):
    context.runner.run(restart(context, context.living[0]))


@when("one of them is stopped and restarts at the same address")
def one_stops(context):
    async def stop():
        daemon = context.living[0]
        daemon.control.leave()
        await asyncio.sleep(0.1)
        await restart(context, daemon)

    context.runner.run(stop())


@when("all of them restart as new processes")
def all_restart(context):
    async def herd():
        for daemon in list(context.living):
            await restart(context, daemon)

    context.runner.run(herd())


@then("all of them still have version {number:d} in force after {seconds:d} second")
def still(context, number, seconds):
    context.runner.run(asyncio.sleep(seconds))
    for daemon in context.living:
        assert daemon.control.versions.snapshot.version == number


@when("one more daemon starts")
def one_more(context):
    async def begin():
        context.living.append(await start_daemon(context))

    context.runner.run(begin())


@given("seven more daemons start")
def seven_more(context):
    async def begin():
        for _ in range(7):
            context.own_address = await context.store.start()
            daemon = await start_daemon(context, store_address=context.own_address)
            context.store_address_by_daemon[daemon] = context.own_address
            context.living.append(daemon)
        await in_force(context, 3)
        await known_to_all(context)

    context.store_address_by_daemon = {}
    context.runner.run(begin())


def is_reader_of(daemon):
    return daemon.reader.describe()["is_reader"]


@then("eight of them are readers")
def eight_read(context):
    assert sum(map(is_reader_of, context.living)) == 8


@when("one that is no reader hears of nobody any more")
def deaf(context):
    async def cut():
        context.deaf = next(d for d in context.living if not is_reader_of(d))
        context.deaf.control._transport.close()
        await asyncio.sleep(0.1)

    context.runner.run(cut())


@when("the store turns those away that would push version {number:d}, and the operator writes it")
def pushers_away(context, number):
    members = [daemon.control.view.me for daemon in context.living]
    pushers = [
        daemon
        for daemon in context.living
        if is_pusher(daemon.control.view.me, members, number, MIN_TOTAL_READERS)
    ]
    assert len(pushers) == 2
    for daemon in pushers:
        if daemon in context.store_address_by_daemon:
            context.store.set_fault_at(context.store_address_by_daemon[daemon], "outage")
    context.runner.run(write(context, version_of(number, routes=2)))


def counted(context, what):
    """Return how often the store was asked so since the count began."""
    return context.store.calls_by_operation[what] - context.counted[what]


@when("the calls to the store are counted")
def count(context):
    context.counted = context.store.calls_by_operation.copy()


@then("after {seconds:d} second the store was asked once for the daemons and once for the version")
def asked_little(context, seconds):
    context.runner.run(asyncio.sleep(seconds))
    assert counted(context, ("rows-get", TABLE)) == 1, context.store.calls_by_operation
    assert counted(context, ("rows-get", "op")) == 1, context.store.calls_by_operation
    assert counted(context, ("rows-tx", "")) == 0, context.store.calls_by_operation


@then("after {seconds:d} seconds the row was watched {most:d} times at most")
def watched_little(context, seconds, most):
    context.runner.run(asyncio.sleep(seconds))
    assert 0 < counted(context, ("rows-feed", "op")) <= most, context.store.calls_by_operation


@given("the store holds version {number:d}, and nine daemons start with it for the first time")
def all_new(context, number):
    async def begin():
        context.store.rows_by_table_and_key.clear()
        context.store.put("op", "config", version_of(number))
        context.fresh = LocalFleet(f"{context.scenario.name} anew")
        context.counted = context.store.calls_by_operation.copy()
        context.fleet, old = context.fresh, context.fleet
        await old.close()
        context.living = [await start_daemon(context, first_start=True) for _ in range(9)]

    context.runner.run(begin())


@then("after {seconds:d} seconds each of them knows the others and has version {number:d} in force")
def know_after(context, seconds, number):
    async def check():
        async with asyncio.timeout(seconds):
            await known_to_all(context)
            await in_force(context, number)

    context.runner.run(check())


@then("each of them has written its row once and read the daemons once")
def asked_once(context):
    assert counted(context, ("rows-tx", "")) == 9, context.store.calls_by_operation
    assert counted(context, ("rows-get", TABLE)) == 9, context.store.calls_by_operation


@given("the store holds rows of three daemons that are gone")
def rows_of_gone(context):
    async def end():
        await asyncio.sleep(3)
        for daemon in context.living:
            await context.fleet.crash(daemon)
        context.living = []

    context.runner.run(end())


@when("two daemons start in an instant")
def two_start(context):
    async def begin():
        context.living = list(await asyncio.gather(start_daemon(context), start_daemon(context)))

    context.runner.run(begin())


@then("after {seconds:d} seconds these two know one another")
def two_know(context, seconds):
    first, second = (daemon.control.view for daemon in context.living)

    async def check():
        async with asyncio.timeout(seconds):
            while not (knows(first, second) and knows(second, first)):
                await asyncio.sleep(CHECK_S)

    context.runner.run(check())


def knows(view, other):
    member = view.members_by_address.get(other.me.address)
    return member is not None and member.status is Status.ALIVE


@when("two of them end without a word")
def two_end(context):
    async def end():
        readers = [d for d in context.living if d.reader.describe()["is_reader"]][:2]
        for gone in readers:
            context.living.remove(gone)
            await context.fleet.crash(gone)

    context.runner.run(end())


@then("none has lost the store")
def store_kept(context):
    assert [daemon.reader.errors for daemon in context.living] == [0] * DAEMONS


@then("the last one has version {number:d} in force within {seconds:d} seconds")
def last_one(context, number, seconds):
    assert len(context.living) == DAEMONS - 2
    context.runner.run(in_force(context, number, seconds))


@when("one of them ends without a word and the others notice")
def ends(context):
    async def end():
        gone = context.living.pop()
        context.gone = gone.control.view.me.address
        await context.fleet.crash(gone)
        for daemon in context.living:
            members = daemon.control.view.members_by_address
            await wait_for(lambda m=members: m[context.gone].status >= Status.DEAD)

    context.runner.run(end())


@when("one of the others sweeps")
def sweeps(context):
    context.runner.run(context.living[0].reader.directory._sweep())


@then("the rows of all of them are left")
def all_left(context):
    keys = {key for table, key in context.store.rows_by_table_and_key if table == TABLE}
    living = {daemon.control.view.me.address for daemon in context.living}
    assert keys == living | {context.gone}, keys


@then("the rows of the others are left")
def left(context):
    keys = {key for table, key in context.store.rows_by_table_and_key if table == TABLE}
    assert keys == {daemon.control.view.me.address for daemon in context.living}, keys
