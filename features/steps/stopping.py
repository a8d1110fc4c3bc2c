"""Steps for daemons that are told to stop while answers are on their way."""

from __future__ import annotations

import asyncio
import socket
from typing import NamedTuple

import h11
import msgspec
from behave import given, then, when
from calls import BODIES, route

from hornbeamgw.core import stopping
from hornbeamgw.core.options import split_address
from hornbeamgw.daemon import heads
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.daemon.main import EXIT_OK
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

LARGE_BYTES = 300_000
SMALL_BYTES = 40_000
AT_ONCE = 8
LEAVE_AFTER_S = 0.2
ASKED_BEFORE_S = 0.3
LIMIT_S = 20.0
SOCKET_BUFFER_BYTES = 8 * 1024

PACKS = {
    **BODIES,
    "service/packs": {"name": "packs", "owner": "o"},
    "route/packs": {**route("packs", "GET", True), "service": "packs"},
}


async def join(fleet, context, services):
    """Start a daemon for each service; an empty one has no server beside it."""
    context.daemons = []
    for service, options in services:
        daemon = await fleet.start(**options)
        context.daemons.append(daemon)
        if service:
            await fleet.start_backend(daemon, service)
    await context.daemons[0].committer.commit(edit_from_bodies(PACKS, "e"))
    wanted = {service for service, _ in services if service}
    for daemon in context.daemons:
        members = daemon.control.view.members_by_address
        await wait_for(lambda d=daemon: d.control.versions.snapshot.version == 1)
        await wait_for(lambda m=members: wanted <= {known.service for known in m.values()})


def start(context, services):
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)
    context.load = []
    context.runner.run(join(fleet, context, services))


def stopping_within(seconds):
    drain = seconds - LEAVE_AFTER_S
    return {"calls_leave_after": LEAVE_AFTER_S, "calls_drain_limit": drain}


@given("a server beside a daemon with a link of {width:g} Mbit/s, and two more daemons")
def narrow_server(context, width):
    limits = stopping_within(3.0)
    start(context, [("roster", {"bandwidth": width}), ("", {}), ("", limits)])


@given(
    "two servers beside daemons with links of {wide:g} Mbit/s, and a daemon with one of {width:g}"
)
def narrow_caller(context, wide, width):
    limits = {**stopping_within(3.0), "bandwidth": wide}
    narrow = {"bandwidth": width}
    start(context, [("roster", {"bandwidth": wide}), ("packs", limits), ("", narrow)])


@given(
    "a server beside a daemon with a link of {width:g} Mbit/s, another behind {wide:g},"
    " and one more daemon"
)
def narrow_both(context, width, wide):
    limits = {"calls_leave_after": 1.0, "calls_drain_limit": 2.0}
    start(
        context,
        [("roster", {"bandwidth": width, **limits}), ("packs", {"bandwidth": wide}), ("", {})],
    )


async def ask(context, daemon, target, call_id):
    client = HttpClient(context.fleet.callers(daemon), LIMIT_S)
    headers = [(b"host", b"test.example"), (b"x-request-id", call_id.encode())]
    try:
        return await client.request("GET", target, headers)
    except ConnectionLost:
        return None
    finally:
        client.close()


def keep_asking(context, daemon):
    async def keep(name):
        for number in range(1_000_000):
            await ask(context, daemon, f"/rosters?size={SMALL_BYTES}", f"{name}-{number}")

    async def begin():
        context.load = [asyncio.create_task(keep(f"small-{each}")) for each in range(AT_ONCE)]
        await asyncio.sleep(ASKED_BEFORE_S)

    context.closers.append(lambda: rest(context))
    context.runner.run(begin())


async def rest(context):
    for task in context.load:
        task.cancel()
    await asyncio.gather(*context.load, return_exceptions=True)


@given("callers of one of them keep asking for answers of 40 KB, eight at a time")
def busy_server(context):
    keep_asking(context, context.daemons[1])


@given("callers of the last one keep asking the first server for answers of 40 KB, eight at a time")
@given("callers of that one keep asking the first server for answers of 40 KB, eight at a time")
def busy_caller(context):
    keep_asking(context, context.daemons[2])


def ask_and_stop(context, asked, target, stopped):
    context.size = LARGE_BYTES

    async def run():
        asking = asyncio.create_task(ask(context, asked, target, "large"))
        await asyncio.sleep(ASKED_BEFORE_S)
        stopped.on_signal()
        context.code = await stopped.run()
        context.asking = asking

    context.runner.run(run())


@when("a caller of the other asks for 300 KB, and that daemon is told to stop within 3 seconds")
def stops_at_caller(context):
    daemon = context.daemons[2]
    ask_and_stop(context, daemon, f"/rosters?size={LARGE_BYTES}", daemon)


@when(
    "a caller of that one asks the second for 300 KB, whose daemon is told to stop within 3 seconds"
)
def stops_at_server(context):
    daemon = context.daemons[2]
    ask_and_stop(context, daemon, f"/packs?size={LARGE_BYTES}", context.daemons[1])


@when(
    "a caller of the first daemon asks the other server for 300 KB, and that daemon is told to stop"
)
def stops_between(context):
    daemon = context.daemons[0]
    ask_and_stop(context, daemon, f"/packs?size={LARGE_BYTES}", daemon)


@then("that caller gets the whole answer once the others rest")
def whole_later(context):
    context.runner.run(rest(context))
    whole(context)


@then("that caller gets the whole answer")
def whole(context):
    async def answer():
        return await asyncio.wait_for(context.asking, LIMIT_S)

    response = context.runner.run(answer())
    assert response is not None, "the connection was closed in the middle of the answer"
    assert response.status == 200 and len(response.body) == context.size, response.status


@then("the daemon that stopped has cut nothing off")
def cut_nothing(context):
    assert context.code == EXIT_OK, context.code


@given("a daemon with a server beside it")
def one(context):
    start(context, [("roster", stopping_within(10.0))])


class Received(NamedTuple):
    status: int
    body: bytes


async def read_late(address, size, seconds):
    """Ask for an answer, read nothing for some seconds, then all of it."""
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, split_address(address))
        target = f"/rosters?size={size}"
        lines = [f"GET {target} HTTP/1.1", "Host: test.example", "X-Request-Id: late", "", ""]
        await loop.sock_sendall(sock, "\r\n".join(lines).encode())
        await asyncio.sleep(seconds)
        received = b""
        while part := await loop.sock_recv(sock, 64 * 1024):
            received += part
            if len(received.partition(b"\r\n\r\n")[2]) >= size:
                break
    head, _, body = received.partition(b"\r\n\r\n")
    return Received(int(head.split()[1]), body)


@when(
    "the daemon is told to stop, and a caller asks for {kilobytes:d} KB"
    " and reads nothing for {seconds:d} second"
)
def late_reader(context, kilobytes, seconds):
    context.size = kilobytes * 1000
    daemon = context.daemons[0]

    async def run():
        # Connections that are accepted take over the buffer of the listening socket.
        listening = daemon.callers._server.sockets[0]
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        daemon.on_signal()
        stopping = asyncio.create_task(daemon.run())
        await asyncio.sleep(0)
        taken, take = [], daemon.callers._on_request
        daemon.callers._on_request = lambda connection, request: (
            taken.append(connection) or take(connection, request)
        )
        address = context.fleet.callers(daemon)
        context.asking = asyncio.create_task(read_late(address, context.size, seconds))
        context.code = await stopping
        context.unsent = taken[0].transport.get_write_buffer_size()

    context.runner.run(run())


@then("nothing was left unsent when the daemon ended")
def all_sent(context):
    assert (context.code, context.unsent) == (EXIT_OK, 0), (context.code, context.unsent)


@given("a daemon with a server beside it, and another server that runs a call for {work:d} seconds")
def long_call(context, work):
    start(context, [("roster", stopping_within(10.0)), ("packs", {})])
    target = f"/rosters?work_ms={work * 1000}"

    async def begin():
        asking = asyncio.create_task(ask(context, context.daemons[1], target, "long"))
        await wait_for(lambda: context.fleet.backends[0].running)
        context.load = [asking]

    context.closers.append(lambda: rest(context))
    context.runner.run(begin())


async def ask_with_deadline(context, daemon, seconds):
    client = HttpClient(context.fleet.callers(daemon), LIMIT_S)
    headers = [(b"host", b"test.example"), (heads.DEADLINE_MS, b"%d" % round(seconds * 1000))]
    try:
        return await client.request("GET", "/packs", headers)
    finally:
        client.close()


@when("the daemon is told to stop, and a second later callers ask it")
def asked_late(context):
    async def run():
        daemon = context.daemons[0]
        daemon.on_signal()
        running = asyncio.create_task(daemon.run())
        await asyncio.sleep(1.0)
        asked = [ask_with_deadline(context, daemon, seconds) for seconds in (20.0, 0.5)]
        began = asyncio.get_running_loop().time()
        context.answers = await asyncio.gather(*asked)
        context.took = asyncio.get_running_loop().time() - began
        context.code = await running

    # Nothing is known yet of how long such calls take, so the route's objective tells.
    context.runner.run(run())


@then('a call with a deadline of 20 seconds is refused as "{verdict}" at once')
def refused_late(context, verdict):
    answer = context.answers[0]
    assert answer.status == 503, answer
    assert header(answer.headers, heads.VERDICT) == verdict.encode(), answer
    assert context.took < 0.5, context.took


@then("a call with a deadline of 0.5 seconds is answered")
def answered_late(context):
    assert context.answers[1].status == 200, context.answers[1]
    assert context.code == EXIT_OK, context.code


@then("both connections are told to close")
def both_close(context):
    told = [header(answer.headers, b"connection") for answer in context.answers]
    assert told == [b"close", b"close"], told


@given("a stop that leaves after {leave:g} s and ends by a grace of {grace:g} s")
def stop_by_grace(context, leave, grace):
    context.stop = stopping.plan(0.0, leave, 30.0, grace)


@when(
    "{after:g} s after the signal a call comes with {left:g} s left"
    " that is expected to take {expected:g} s"
)
def call_comes(context, after, left, expected):
    context.taken = stopping.may_begin(context.stop, after + left, expected, after)


@when(
    "{after:g} s after the signal a call comes whose answer is expected to leave in {transfer:g} s"
)
def answer_leaves(context, after, transfer):
    context.taken = stopping.may_send(context.stop, transfer, after)


@then('that call is "{taken}"')
def is_taken(context, taken):
    assert context.taken == {"taken": True, "refused": False}[taken]


@given(
    "a stop that leaves after {leave:g} s, drains for {drain:g} s, and has a grace of {grace:g} s"
)
def stop_planned(context, leave, drain, grace):
    context.stop = stopping.plan(0.0, leave, drain, grace)


@then("it leaves after {leaves:g} s and ends after {ends:g} s")
def planned(context, leaves, ends):
    found = round(context.stop.leaves_at, 3), round(context.stop.ends_at, 3)
    assert found == (leaves, ends), context.stop


@given(
    "a server beside a daemon with a link of {width:g} Mbit/s that stops within {seconds:d}"
    " seconds, and one more daemon"
)
def narrow_beside_server(context, width, seconds):
    start(context, [("roster", {"bandwidth": width, **stopping_within(float(seconds))}), ("", {})])


@given(
    "a server beside a daemon with a link of {wide:g} Mbit/s, and one more daemon with one of"
    " {width:g} that stops within {seconds:d} seconds"
)
def narrow_beside_callers(context, wide, width, seconds):
    narrow = {"bandwidth": width, **stopping_within(float(seconds))}
    start(context, [("roster", {"bandwidth": wide}), ("", narrow)])


async def whole_or_none(context, target, call_id):
    """Ask the second daemon; return None where the connection was closed before the end."""
    try:
        return await ask(context, context.daemons[1], target, call_id)
    except h11.RemoteProtocolError:
        return None


def ask_at_once_and_stop(context, count, kilobytes, stopped):
    target = f"/rosters?size={kilobytes * 1000}"

    async def run():
        # Sizes are expected by the answers before.
        assert await ask(context, context.daemons[1], target, "first") is not None
        asking = [whole_or_none(context, target, f"large-{n}") for n in range(count)]
        context.asking = asyncio.gather(*asking)
        await asyncio.sleep(ASKED_BEFORE_S)
        stopped.on_signal()
        context.code = await stopped.run()
        context.responses = await asyncio.wait_for(context.asking, LIMIT_S)

    context.size = kilobytes * 1000
    context.runner.run(run())


@when(
    "{count:d} callers of the other ask for {kilobytes:d} KB at once,"
    " and a moment later the first is told to stop"
)
def many_ask_and_first_stops(context, count, kilobytes):
    ask_at_once_and_stop(context, count, kilobytes, context.daemons[0])


@when(
    "{count:d} callers of the other ask for {kilobytes:d} KB at once,"
    " and a moment later theirs is told to stop"
)
def many_ask_and_theirs_stops(context, count, kilobytes):
    ask_at_once_and_stop(context, count, kilobytes, context.daemons[1])


@then("each of them gets a whole answer, or is told that it did not run and when to come back")
def whole_or_refused(context):
    for response in context.responses:
        assert response is not None, "the connection was closed without a whole answer"
        if response.status == 200:
            assert len(response.body) == context.size, len(response.body)
        else:
            assert header(response.headers, heads.VERDICT) == b"not_run", response
            assert float(header(response.headers, b"retry-after")) > 0, response


@then('some of them get a whole answer, and some are told "{reason}"')
def some_of_each(context, reason):
    told = [msgspec.json.decode(r.body)["reason"] for r in context.responses if r.status != 200]
    assert reason in told and len(told) < len(context.responses), told
