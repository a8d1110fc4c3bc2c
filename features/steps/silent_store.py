"""Steps for connections to the store that go silent while new ones work."""

from __future__ import annotations

import asyncio
import time

from behave import given, then, when
from outside import in_force, known_to_all, start_daemon, version_of
from silent_links import DIRECTIONS, keep_lines

from hornbeamgw.daemon import plugins
from hornbeamgw.daemon.directory import TABLE
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response
from hornbeamgw.testing.local import LocalFleet, wait_for
from hornbeamgw.testing.proxy import Proxy
from hornbeamgw.testing.store import StandInStore

plugins.load("platform", ["mesh_platform"])

TIMEOUT_S = 0.3
AT_ONCE_S = 0.2


@given("a client with {count:d} idle connections to a server behind a network")
def idle_client(context, count):
    keep_lines(context)
    context.delay, proxy = 0.05, Proxy()
    context.network = proxy

    async def answer(connection, request):
        await read_body(connection, 100)
        await asyncio.sleep(context.delay)
        send_response(connection, 200, [], b"{}")

    async def begin():
        context.server = HttpServer(answer, Timeouts())
        proxy.target = await context.server.start("127.0.0.1:0")
        context.client = HttpClient(await proxy.start(), TIMEOUT_S)
        await asyncio.gather(*(context.client.request("GET", "/row") for _ in range(count)))
        context.accepted_before = proxy.accepted
        assert proxy.accepted == count
        context.delay = 0.0

    async def close():
        context.client.close()
        proxy.close()
        context.server.stop_accepting()
        context.server.abort()

    context.closers.append(close)
    context.runner.run(begin())


@when('the open connections go silent "{direction}", and {seconds:g} seconds pass')
def silent(context, direction, seconds):
    async def run():
        context.network.silence(*DIRECTIONS[direction])
        await asyncio.sleep(seconds)

    context.runner.run(run())


@when("the client sends {count:d} requests, one after the other")
def send(context, count):
    async def run():
        loop = asyncio.get_running_loop()
        context.outcomes = []
        for _ in range(count):
            started = loop.time()
            try:
                status = (await context.client.request("GET", "/row")).status
            except TimeoutError:
                status = 0
            context.outcomes.append((status, loop.time() - started))

    context.runner.run(run())


@when("the open connections go silent and the client sends {count:d} requests, one after the other")
def silent_and_send(context, count):
    context.runner.run(asyncio.sleep(0))
    context.network.silence()
    send(context, count)


@when(
    "the server answers after {delay:g} seconds"
    " and the client sends {count:d} requests, one after the other"
)
def slow_and_send(context, delay, count):
    context.delay = delay
    send(context, count)


@when(
    "the client stands still for {still:g} seconds under a request,"
    " and then sends {count:d} request"
)
def stand_still(context, still, count):
    async def run():
        context.delay = 0.1
        request = asyncio.create_task(context.client.request("GET", "/row"))
        await asyncio.sleep(0.05)
        time.sleep(still)
        await asyncio.wait([request])
        request.exception()
        context.delay = 0.0

    context.runner.run(run())
    send(context, count)


@then("at most {count:d} connections were opened meanwhile, and no connection is called silent")
def none_silent(context, count):
    opened(context, count)
    assert not context.lines.records, context.lines.records


def is_answered_at_once(outcome):
    return outcome[0] == 200 and outcome[1] < AT_ONCE_S


@then("the first request times out, and the second is answered at once")
def only_first(context):
    first, second = context.outcomes
    assert first[0] == 0 and is_answered_at_once(second), context.outcomes


@then("every request is answered at once")
def all_at_once(context):
    assert all(map(is_answered_at_once, context.outcomes)), context.outcomes


@then("every request times out")
def all_late(context):
    assert {status for status, _ in context.outcomes} == {0}, context.outcomes


@then("the client has told which connection was silent, for how long, and what was sent into it")
def told(context):
    (line,) = context.lines.records
    assert line.kind == "store" and line.peer == context.network.address, vars(line)
    assert line.sent == "GET /row" and line.unanswered_s >= TIMEOUT_S - 0.01, vars(line)


@then("at most {count:d} connections were opened meanwhile")
def opened(context, count):
    assert context.network.accepted - context.accepted_before <= count, context.network.accepted


@given("three daemons that reach the store through a network, with {count:d} connections each")
def through_network(context, count):
    async def begin():
        context.store = StandInStore()
        address = await context.store.start()
        context.store.put("op", "config", version_of(3))
        context.fleet = LocalFleet(context.scenario.name)
        context.networks, context.living = [], []
        for _ in range(3):
            network = Proxy(address)
            context.networks.append(network)
            store_address = await network.start()
            context.living.append(await start_daemon(context, store_address=store_address))
        await in_force(context, 3)
        await known_to_all(context)
        await asyncio.sleep(3.0)  # The rows of all daemons are written.
        rows = [daemon.reader.directory._rows for daemon in context.living]
        await asyncio.gather(*(each.read(TABLE) for each in rows for _ in range(count - 1)))

    async def close():
        await context.fleet.close()
        for network in context.networks:
            network.close()
        context.store.close()

    context.closers.append(close)
    context.runner.run(begin())


@when(
    'the open connections to the store go silent "{direction}",'
    " and a version is written after {wait:g} seconds"
)
def silent_before_version(context, direction, wait):
    async def run():
        context.silent_at = asyncio.get_running_loop().time()
        silenced = [network.silence(*DIRECTIONS[direction]) for network in context.networks]
        assert min(silenced) >= 2, silenced
        await asyncio.sleep(wait)
        context.written_at = asyncio.get_running_loop().time()
        context.store.put("op", "config", version_of(20, routes=2))

    context.runner.run(run())


@then(
    "all daemons have it in force within {silent:d} seconds of the silence,"
    " and {written:d} seconds of the write"
)
def in_time(context, silent, written):
    async def run():
        until = max(context.silent_at + silent, context.written_at + written)
        await in_force(context, 20, until - asyncio.get_running_loop().time())

    context.runner.run(run())


@when("{seconds:d} seconds pass, and the open connections to the store go silent")
def pass_and_silent(context, seconds):
    async def run():
        await asyncio.sleep(seconds)
        for network in context.networks:
            network.silence()

    context.runner.run(run())


@then("a row that a daemon writes is stored within {seconds:g} seconds")
def row_stored(context, seconds):
    async def run():
        rows = context.living[0].reader.directory._rows
        async with asyncio.timeout(seconds):
            await rows.write(TABLE, "10.9.9.9:7400", b"{}")
        await wait_for(lambda: (TABLE, "10.9.9.9:7400") in context.store.rows_by_table_and_key)

    context.runner.run(run())
