"""Steps for what servers declare: two daemons, and a server whose answers bear given headers."""

from __future__ import annotations

import asyncio
from collections import Counter

import h11
from answers import BODIES, SIGNED, put, read_request, whole
from behave import given, then, when

from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.daemon import heads
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

LIMIT_S = 5.0
WORK_S = 0.02


class DeclaringServer:
    """Answer every request with the headers that are set, and record when each came."""

    def __init__(self):
        """Start without declaring anything."""
        self.headers = b""
        self.status = b"200 OK"
        self.extra = SIGNED
        self.work_s = WORK_S
        self.arrived = []
        self.answered = []
        self.address = ""
        self._connections = set()

    async def start(self):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self):
        """Stop, and close all connections."""
        self._server.close()
        for writer in self._connections:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        clock = asyncio.get_running_loop().time
        self._connections.add(writer)
        try:
            while True:
                headers = await read_request(reader)
                self.arrived.append(clock())
                await asyncio.sleep(self.work_s)
                call_id = headers.get("x-request-id", "").encode()
                writer.write(whole(call_id, self.extra + self.headers, self.status))
                self.answered.append(clock())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def begin(context, headers):
    context.server, context.number, context.told = DeclaringServer(), 0, []
    context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(context.fleet.close)

    async def start():
        await context.server.start()
        context.server.headers = headers
        context.closers.append(context.server.close)
        mesh = {"calls_dialect": "mesh", "server_service": "desk"}
        context.daemon = await context.fleet.start(announcements="127.0.0.1:0", **mesh)
        context.other = await context.fleet.start(**mesh)
        context.daemon_addresses = context.fleet.addresses[0]
        context.server_address = context.server.address
        await context.daemon.committer.commit(edit_from_bodies(BODIES, "e"))
        assert (await put(context, "i-1", 1)).status == 200
        await wait_for(lambda: knows_server(context.other))
        await wait_for(lambda: context.other.control.versions.snapshot.version)

    context.runner.run(start())


def knows_server(daemon):
    members = daemon.control.view.members_by_address.values()
    return any(member.server_state is ServerState.SERVING for member in members)


async def ask(context, daemon):
    context.number += 1
    clock = asyncio.get_running_loop().time
    client = HttpClient(context.fleet.callers(daemon), LIMIT_S)
    headers = [
        (b"host", b"test.example"),
        (b"x-request-id", b"r%d" % context.number),
        (b"x-timeout-ms", b"1500"),
    ]
    began = clock()
    try:
        response = await client.request("POST", "/bookings", headers, b"booking")
        context.told.append((began, clock() - began, response))
        return response
    except (ConnectionLost, OSError, h11.ProtocolError):
        return None
    finally:
        client.close()


@given("a server that names a limit of {limit:g} a second, beside one of two daemons")
def limited(context, limit):
    begin(context, b"Server-Limit: %g\r\n" % limit)


@given("a server that says that it leaves, beside one of two daemons")
def leaving(context):
    begin(context, b"Server-Leaving: 1\r\n")


def ask_steadily(context, daemons, rate, seconds):
    async def run():
        clock = asyncio.get_running_loop().time
        until, asking = clock() + seconds, []
        while clock() < until:
            daemon = daemons[len(asking) % len(daemons)]
            asking.append(asyncio.create_task(ask(context, daemon)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*asking)

    context.runner.run(run())


@when("callers of both daemons ask {rate:d} times a second for {seconds:g} seconds")
@when("callers of both daemons ask {rate:d} times a second for {seconds:g} second")
def ask_both(context, rate, seconds):
    ask_steadily(context, (context.daemon, context.other), rate, seconds)


@when("callers of the other daemon ask {rate:d} times a second for {seconds:g} seconds")
@when("callers of the other daemon ask {rate:d} times a second for {seconds:g} second")
def ask_other(context, rate, seconds):
    ask_steadily(context, (context.other,), rate, seconds)


@when(
    "{times:d} times nobody asks for {seconds:g} seconds,"
    " and then {count:d} callers of each daemon at once"
)
def ask_at_once(context, times, seconds, count):
    async def run():
        daemons = (context.daemon, context.other) * count
        for _ in range(times):
            await asyncio.sleep(seconds)
            await asyncio.gather(*(ask(context, daemon) for daemon in daemons))

    context.runner.run(run())


@given("a caller of the other daemon has had an answer")
def has_answer(context):
    response = context.runner.run(ask(context, context.other))
    assert response is not None and response.status == 200, response


@given('it answers "a failure of its own"')
def fails(context):
    context.server.status = b"500 Failed"


@given('it answers "that it has not run a call"')
def does_not_run(context):
    context.server.status, context.server.extra = b"503 Busy", b"X-Not-Executed: 1\r\n"


@when("the daemon beside the server is started again")
def starts_again(context):
    async def restart():
        address = context.fleet.addresses[0]["address"]
        await context.fleet.crash(context.daemon)
        context.daemon = await context.fleet.start(
            address=address,
            announcements="127.0.0.1:0",
            calls_dialect="mesh",
            server_service="desk",
        )
        context.daemon_addresses = context.fleet.addresses[-1]
        assert (await put(context, "i-1", 2)).status == 200
        await wait_for(lambda: context.daemon.control.versions.snapshot.version)
        incarnation = context.daemon.control.view.me.incarnation
        members = context.other.control.view.members_by_address
        await wait_for(
            lambda: members[address].incarnation == incarnation
            and members[address].server_state is ServerState.SERVING
        )
        context.told = []

    context.runner.run(restart())


async def start_server(context, daemon, instance, headers=b""):
    server = DeclaringServer()
    server.headers = headers
    await server.start()
    context.closers.append(server.close)
    registration = Announcement(
        "roster", server.address, 6, 130, ServerState.SERVING, 1e12, instance
    )
    daemon.gates.announce(registration)
    address = daemon.control.view.me.address
    for viewer in (context.daemon, context.other):
        members = viewer.control.view.members_by_address
        await wait_for(lambda m=members: is_serving(m.get(address)))
    return server


def is_serving(member):
    return member is not None and member.server_state is ServerState.SERVING


@given("a server without a limit beside the other daemon")
def second_server(context):
    context.runner.run(start_server(context, context.other, "i-9"))


@given("a slower server without a limit beside the other daemon")
def slower_server(context):
    server = context.runner.run(start_server(context, context.other, "i-9"))
    server.work_s = 5 * WORK_S


@given("{count:d} more daemons beside servers that name the same")
def more_limited(context, count):
    async def start():
        for number in range(count):
            daemon = await context.fleet.start(calls_dialect="mesh", server_service="desk")
            await start_server(context, daemon, f"m-{number}", context.server.headers)

    context.runner.run(start())


@when('the server is started again as "{instance}", and names none')
def new_process(context, instance):
    async def start():
        context.server.headers = b""
        assert (await put(context, instance, 1)).status == 200
        context.server.arrived.clear()

    context.runner.run(start())


@then("the server has had at least {count:d} requests since")
def has_had(context, count):
    assert len(context.server.arrived) >= count, len(context.server.arrived)


@then("the server has had 1 request, and all others were refused as not run")
def refused_all(context):
    assert len(context.server.arrived) == 1, len(context.server.arrived)
    assert context.told and all(verdict_of(told) == b"not_run" for told in context.told)


def verdict_of(told):
    return header(told[2].headers, heads.VERDICT)


@then("all of them are answered")
def all_answered(context):
    statuses = [told[2].status for told in context.told]
    assert statuses == [200] * context.number, Counter(statuses)


@then("no request was repeated")
def none_repeated(context):
    for daemon in (context.daemon, context.other):
        assert not daemon.calls.counts["retries_over_budget"]
        assert not any(w.retries for w in daemon.calls._budget.windows_by_service.values())


@then(
    "those that are refused are told within {seconds:g} seconds, as not run, and when to come back"
)
def refused_at_once(context, seconds):
    refused = [told for told in context.told if told[2].status != 200]
    assert refused
    for told in refused:
        assert verdict_of(told) == b"not_run" and told[1] <= seconds, told
        assert float(header(told[2].headers, b"retry-after")) > 0, told


@then("in any {seconds:g} seconds the server gets at least {count:d} requests")
def at_least(context, seconds, count):
    times = context.server.arrived
    ends = [start for start in times if start + seconds <= times[-1]]
    found = min(sum(start < at <= start + seconds for at in times) for start in ends)
    assert found >= count, found


def most_within(times, seconds):
    return max(sum(start <= at < start + seconds for at in times) for start in times)


@then("in any {seconds:g} seconds the server gets at most {count:d} requests")
def at_most(context, seconds, count):
    found = most_within(context.server.arrived, seconds)
    assert found <= count, found


@then("the server gets nothing later than {seconds:g} seconds after its first answer")
def nothing_later(context, seconds):
    told_at = context.server.answered[0]
    late = [at - told_at for at in context.server.arrived if at - told_at > seconds]
    assert not late, (len(late), late[:5])
