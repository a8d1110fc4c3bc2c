"""Steps for what servers declare: two daemons, and a server whose answers bear given headers."""

from __future__ import annotations

import asyncio

import h11
from answers import BODIES, SIGNED, put, read_request, whole
from behave import given, then, when

from hornbeamgw.core.membership import ServerState
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

LIMIT_S = 5.0
WORK_S = 0.02


class DeclaringServer:
    """Answer every request with the headers that are set, and record when each came."""

    def __init__(self):
        """Start without declaring anything."""
        self.headers = b""
        self.status = b"200 OK"
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
                writer.write(whole(call_id, SIGNED + self.headers, self.status))
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


@when("callers of both daemons ask {rate:d} times a second for {seconds:g} seconds")
def ask_steadily(context, rate, seconds):
    async def run():
        clock = asyncio.get_running_loop().time
        until, asking = clock() + seconds, []
        while clock() < until:
            daemon = (context.daemon, context.other)[len(asking) % 2]
            asking.append(asyncio.create_task(ask(context, daemon)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*asking)

    context.runner.run(run())


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
