"""Steps for what servers declare: two daemons, and a server whose answers bear given headers."""

from __future__ import annotations

import asyncio
from collections import Counter

import h11
from answers import BODIES, SIGNED, put, read_request, whole
from behave import given, then, when

from hornbeamgw.core import rate_limit
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.daemon import heads
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

LIMIT_S = 5.0
WORK_S = 0.02
MESH = {
    "calls_dialect": "mesh",
    "server_service": "desk",
    "calls_balancing": "expected_finish",
    "calls_queueing": "objective",
}


class DeclaringServer:
    """Answer every request with the headers that are set, and record when each came."""

    def __init__(self):
        """Start without declaring anything."""
        self.headers = b""
        self.status = b"200 OK"
        self.extra = SIGNED
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
                await asyncio.sleep(WORK_S)
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
        context.daemon = await context.fleet.start(announcements="127.0.0.1:0", **MESH)
        context.other = await context.fleet.start(**MESH)
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
    " and then a caller of each daemon,"
    " while all tokens are used and that server is taken for slow"
)
def ask_at_once(context, times, seconds):
    async def run():
        for _ in range(times):
            await asyncio.sleep(seconds)
            now = asyncio.get_running_loop().time()
            for daemon in context.fleet.daemons:
                if daemon is not context.other:
                    rate_limit.name(daemon.gate.state.rate_limit, 0.5, now)
                    daemon.gate.state.rate_limit.tokens = 0.0
            for daemon in (context.daemon, context.other):
                for key, (_, load) in daemon.calls._servers._loads_by_key.items():
                    is_free = key.startswith(context.other.control.view.me.address)
                    load.slowness = 3.0 if is_free else 1.0
            await asyncio.gather(ask(context, context.daemon), ask(context, context.other))

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
            address=address, announcements="127.0.0.1:0", **MESH
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


def is_serving(member):
    return member is not None and member.server_state is ServerState.SERVING


@given("a server without a limit beside the other daemon")
def second_server(context):
    context.runner.run(start_server(context, context.other, "i-9"))


@given("{count:d} more daemons beside servers that name the same")
def more_limited(context, count):
    async def start():
        for number in range(count):
            daemon = await context.fleet.start(**MESH)
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
