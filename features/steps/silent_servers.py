"""Steps for connections to a backend server that go silent while new ones work."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from silent_links import DIRECTIONS, keep_lines

from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Limits
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response
from hornbeamgw.daemon.link import Link, dial
from hornbeamgw.testing.asker import HEAD
from hornbeamgw.testing.local import wait_for
from hornbeamgw.testing.proxy import Proxy

ME, ASKER = frames.Hello("f", "gate", 1), frames.Hello("f", "asker", 1)
DEADLINE_MS, LONG_DEADLINE_MS = 300, 600
SLOTS = 10


def call_of(number, deadline_ms):
    return frames.Call(
        number, f"c-{number}", "roster", "bulk", True, deadline_ms, 2, HEAD, b"", True, "rosters",
        deadline_ms, deadline_ms, limits=Limits(SLOTS, 0, SLOTS),
    )  # fmt: skip


@given("a gate whose connections to its server pass through a network, with {count:d} of them idle")
def gate_with_idle(context, count):
    keep_lines(context)
    proxy = context.network = Proxy()
    context.answers_by_number = {}
    context.delays = [0.1] * count

    async def answer(connection, request):
        await read_body(connection, 100)
        await asyncio.sleep(context.delays.pop() if context.delays else 0.0)
        send_response(connection, 200, [], b"{}")

    def on_frame(link, frame):
        if isinstance(frame, frames.Reply | frames.Refusal):
            context.answers_by_number[frame.attempt] = frame

    async def begin():
        gates = Gates(lambda: Gate(lambda: EMPTY_SNAPSHOT, lambda: None))
        context.server = HttpServer(answer, Timeouts())
        proxy.target = await context.server.start("127.0.0.1:0")
        address = await proxy.start()
        expires_at = asyncio.get_running_loop().time() + 60
        gates.announce(Announcement("roster", address, SLOTS, 20, ServerState.SERVING, expires_at))
        context.listener = await asyncio.get_running_loop().create_server(
            lambda: Link(ME, gates.on_frame, gates.on_lost, lambda fault: None), "127.0.0.1", 0
        )
        host, port = context.listener.sockets[0].getsockname()
        context.link = await dial(
            f"{host}:{port}", ASKER, on_frame, lambda link: None, lambda fault: None, 1.0
        )
        for number in range(count):
            context.link.send(call_of(number, 5000))
        await wait_for(lambda: len(context.answers_by_number) == count)
        context.accepted_before = proxy.accepted
        assert proxy.accepted == count

    async def close():
        context.link.abort()
        context.listener.close()
        proxy.close()
        context.server.stop_accepting()
        context.server.abort()

    context.closers.append(close)
    context.runner.run(begin())


async def ask(context, number, deadline_ms=DEADLINE_MS):
    context.link.send(call_of(number, deadline_ms))
    await wait_for(lambda: number in context.answers_by_number)
    return isinstance(context.answers_by_number[number], frames.Reply)


@when(
    'the open connections to the server go silent "{direction}"'
    " and {count:d} requests that may be repeated follow in turn"
)
def silent(context, direction, count):
    async def run():
        context.network.silence(*DIRECTIONS[direction])
        context.are_answered = [await ask(context, 100 + number) for number in range(count)]

    context.runner.run(run())


@then("one of them at most gets no answer")
def one_lost(context):
    assert context.are_answered.count(False) <= 1, context.are_answered


@then("the gate has told which server was silent, for how long, and what was sent to it")
def told(context):
    (line,) = context.lines.records
    assert line.kind == "server" and line.peer == context.network.address, vars(line)
    assert line.sent == "call c-100" and line.unanswered_s >= 0.25, vars(line)


@when("one request gets no answer until its deadline while {count:d} others are answered")
def one_slow(context, count):
    async def run():
        context.delays = [5.0]
        slow = asyncio.create_task(ask(context, 200, LONG_DEADLINE_MS))
        await asyncio.sleep(0.05)
        context.delays = [0.1] * count
        assert all(await asyncio.gather(*(ask(context, 300 + n) for n in range(count))))
        assert not await slow

    context.runner.run(run())


@then("{count:d} requests at once open {limit:d} connection at most")
def few_opened(context, count, limit):
    async def run():
        context.delays = [0.05] * count
        assert all(await asyncio.gather(*(ask(context, 400 + n) for n in range(count))))

    context.runner.run(run())
    assert context.network.accepted - context.accepted_before <= limit, context.network.accepted
