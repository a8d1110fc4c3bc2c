"""Steps for rollouts with real daemons, servers of two versions and the stand-in store."""

from __future__ import annotations

import asyncio
import base64
from typing import NamedTuple

import h11
import msgspec
from behave import given, then, when

from hornbeamgw.daemon import plugins
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient
from hornbeamgw.testing.local import LocalFleet, wait_for
from hornbeamgw.testing.platform_server import PlatformServer, ServerOptions
from hornbeamgw.testing.store import StandInStore

plugins.load("platform", ["mesh_platform"])

SERVICE = "roster"
ORDER_KEY = "rollout/roster"
CALLERS = 12
PAUSE_S = 0.02


class Load(NamedTuple):
    """Hold what callers ask for, and what servers are like; times in ms."""

    callers: int
    kind: str
    timeout: int
    objective: int
    servers: dict[str, float]


LOOKUPS = Load(CALLERS, "safe", 2000, 500, {})
# Long ones take less than three times as long as others, so that they are not taken for slow.
BOOKING_SERVERS = {"work": 0.35, "slow_ratio": 0.1, "slow_factor": 2.8, "slots": 40}
BOOKINGS = Load(60, "unsafe", 3000, 1500, BOOKING_SERVERS)


def configuration(load):
    columns = ["name", "host", "prefix", "kind", "service", "timeout_ms", "slo_ms", "priority"]
    columns += ["attempts", "traffic_split"]
    what = [load.kind, SERVICE, load.timeout, load.objective, 2, 2, None]
    rows = [["r-0", "test.example", "/0/", *what]]
    services = {"columns": ["name", "health_path"], "rows": [[SERVICE, "/healthz"]]}
    document = {"version": 3, "limits": {"idle_timeout_ms": 15000}, "services": services}
    return msgspec.msgpack.encode({**document, "routes": {"columns": columns, "rows": rows}})


async def start_daemon(context, address="127.0.0.1:0"):
    return await context.fleet.start(
        address=address,
        seeds=(),
        directory=True,
        source="watched_row",
        platform_adapter="mesh",
        platform_address=context.store_address,
        platform_timeout=0.5,
        calls_dialect="mesh",
        calls_balancing="in_time",
        calls_queueing="objective",
        server_service=SERVICE,
        announcements="127.0.0.1:0",
    )


def announcements_of(context, daemon):
    return context.fleet.addresses[context.fleet.daemons.index(daemon)]["announcements"]


async def start_servers(context, software, **changed):
    """Start a server of a version beside each daemon."""
    for index, daemon in enumerate(context.living):
        options = ServerOptions(f"i-{software}-{index}", SERVICE, software, **changed)
        server = PlatformServer(options, announcements_of(context, daemon), index)
        await server.start()
        context.servers.append((index, server))


async def call_forever(context, index, timeout):
    """Call without rest, at a daemon that lives; a call counts by its status."""
    while True:
        daemon = context.living[index % len(context.living)]
        address = context.fleet.addresses[context.fleet.daemons.index(daemon)]["callers"]
        client = HttpClient(address, timeout / 1000 + 0.5)
        try:
            for _ in range(20):
                headers = [(b"host", b"test.example"), (b"x-timeout-ms", b"%d" % timeout)]
                answer = await client.request("GET", "/0/", headers)
                context.statuses.append(answer.status)
                await asyncio.sleep(PAUSE_S)
        except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError):
            context.statuses.append(0)
            await asyncio.sleep(PAUSE_S)
        finally:
            client.close()


@given("three daemons with a server each, and callers that never rest")
def beside(context):
    begin_with(context, LOOKUPS)


@given("three daemons with a server each, and many callers whose bookings take up to a second")
def beside_bookings(context):
    begin_with(context, BOOKINGS)


def begin_with(context, load):
    async def begin():
        context.store = StandInStore()
        context.store_address = await context.store.start()
        context.store.put("op", "config", configuration(load))
        context.fleet = LocalFleet(context.scenario.name)
        context.living = [await start_daemon(context) for _ in range(3)]
        context.servers, context.statuses = [], []
        await start_servers(context, "v1", **load.servers)
        for daemon in context.living:
            view = daemon.control.view
            await wait_for(lambda v=view: sum(bool(m.software) for m in all_of(v)) == 3)
        context.tasks = [
            asyncio.create_task(call_forever(context, index, load.timeout))
            for index in range(load.callers)
        ]
        await asyncio.sleep(0.3)
        context.statuses.clear()

    async def close():
        for task in context.tasks:
            task.cancel()
        for _, server in context.servers:
            server.stop()
        await context.fleet.close()
        context.store.close()

    context.closers.append(close)
    context.runner.run(begin())


def all_of(view):
    return list(view.members_by_address.values())


def status(context):
    """Return what the operator reads, "" where there is nothing."""
    row = context.store.rows_by_table_and_key.get(("status", ORDER_KEY))
    if row is None:
        return ""

    return msgspec.msgpack.decode(base64.b64decode(row.value))["state"]


async def operate(context):
    """Stop the servers of before at once when the rollout is completed."""
    while status(context) != "completed":
        await asyncio.sleep(0.005)
    for _, server in context.servers:
        if server.options.software != context.target and not server.is_stopped:
            server.stop()


def write_order(context):
    order = {"service": SERVICE, "target": context.target, "duration_s": context.duration}
    context.store.put("op", ORDER_KEY, msgspec.msgpack.encode(order))


async def order(context, target, seconds, **servers):
    context.target, context.duration = target, float(seconds)
    context.ordered_at = asyncio.get_running_loop().time()
    context.calls_before = len(context.statuses)
    write_order(context)
    context.tasks.append(asyncio.create_task(operate(context)))
    if servers:
        await asyncio.sleep(0.05)
        await start_servers(context, target, **servers)


@when('the operator orders version "{target}" within {seconds:d} seconds, and good servers of it start alongside')  # fmt: skip  # noqa: E501
def order_good(context, target, seconds):
    context.runner.run(order(context, target, seconds, work=0.01))


@when('the operator orders version "{target}" within {seconds:d} seconds, and servers as good start alongside')  # fmt: skip  # noqa: E501
def order_as_good(context, target, seconds):
    context.runner.run(order(context, target, seconds, **BOOKING_SERVERS))


@when('the operator orders version "{target}" within {seconds:d} seconds, and bad servers of it start alongside')  # fmt: skip  # noqa: E501
def order_bad(context, target, seconds):
    context.runner.run(order(context, target, seconds, failure_ratio=0.5))


@when('the operator orders version "{target}" within {seconds:d} seconds')
def order_alone(context, target, seconds):
    context.runner.run(order(context, target, seconds))


@when("the operator writes an order that can't be read")
def garbage(context):
    async def write():
        context.store.put("op", ORDER_KEY, b"\xc1")
        await asyncio.sleep(1.0)

    context.runner.run(write())


async def until(context, state, seconds):
    async with asyncio.timeout(seconds):
        while status(context) != state:
            await asyncio.sleep(0.01)


@then('the operator reads "{state}" within {seconds:d} seconds')
def reads(context, state, seconds):
    context.runner.run(until(context, state, seconds))


@then("the operator reads nothing")
def reads_nothing(context):
    assert status(context) == "", status(context)


@then("every call was answered")
def answered(context):
    failed = [status for status in context.statuses if status != 200]
    assert context.statuses and not failed, (len(context.statuses), failed)


def runs_of(context, software):
    return sum(s.runs for _, s in context.servers if s.options.software == software)


@then('from then on only version "{software}" runs calls')
def only(context, software):
    async def check():
        before = runs_of(context, "v1"), runs_of(context, software)
        await asyncio.sleep(0.5)
        assert runs_of(context, "v1") == before[0]
        assert runs_of(context, software) > before[1]

    context.runner.run(check())
    answered(context)


@then('version "{software}" ran at most a tenth of the calls and 50 more')
def within(context, software):
    calls = runs_of(context, "v1") + runs_of(context, software)
    assert 0 < runs_of(context, software) <= 0.1 * calls + 50, runs_of(context, software)


@then("a second later it runs none")
def runs_none(context):
    async def check():
        await asyncio.sleep(1.0)
        before = runs_of(context, context.target)
        await asyncio.sleep(1.0)
        assert runs_of(context, context.target) == before

    context.runner.run(check())


@when('the daemon that leads ends as soon as the operator reads "{state}"')
def leader_ends(context, state):
    async def end():
        await until(context, state, 5)
        leader = next(d for d in context.living if d.reader.rank(SERVICE) == 0)
        context.living.remove(leader)
        await context.fleet.crash(leader)

    context.runner.run(end())


async def restart(context, daemon):
    index = context.living.index(daemon)
    address = daemon.control.view.me.address
    await context.fleet.crash(daemon)
    await asyncio.sleep(0.05)
    context.living[index] = await start_daemon(context, address)
    for at, server in context.servers:
        if at == index:
            server.announce_to(announcements_of(context, context.living[index]))


@when('all daemons restart as soon as the operator reads "{state}"')
def all_restart(context, state):
    async def herd():
        await until(context, state, 5)
        await asyncio.gather(*(restart(context, daemon) for daemon in list(context.living)))

    context.runner.run(herd())


@when("all daemons restart, and the store goes away a moment later")
def restart_and_lose(context):
    async def herd():
        await asyncio.gather(*(restart(context, daemon) for daemon in list(context.living)))
        await asyncio.sleep(0.05)
        context.store.fault = "outage"

    context.runner.run(herd())


@then("calls are answered again within {seconds:d} seconds")
def answered_again(context, seconds):
    async def check():
        async with asyncio.timeout(seconds):
            while context.statuses[-50:].count(200) < 50:
                await asyncio.sleep(0.02)

    context.runner.run(check())


@when('the store comes back from that copy as soon as the operator reads "{state}"')
def back_when(context, state):
    async def come():
        await until(context, state, 5)
        context.store.restore(context.copy)

    context.runner.run(come())


@when("the operator writes the order again a second later")
def again(context):
    async def write():
        await asyncio.sleep(1.0)
        write_order(context)

    context.runner.run(write())
