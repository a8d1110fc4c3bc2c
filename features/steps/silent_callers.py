"""Steps for connections of callers that go silent."""

from __future__ import annotations

import asyncio
import socket
import time

import h11
from behave import given, then, when
from silent_links import keep_lines

from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response
from hornbeamgw.testing.local import wait_for

PART_BYTES = 64 * 1024
READ_BYTES = 4_000_000
RECEIVE_BUFFER_BYTES = 64 * 1024


@given("a server that lets go of callers after {seconds:d} second in which they take nothing")
def server(context, seconds):
    keep_lines(context)

    async def answer(connection, request):
        await read_body(connection, 1000)
        size = int(request.target[1:])
        headers = [(b"content-length", str(size).encode())]
        connection.send(h11.Response(status_code=200, headers=headers))
        for start in range(0, size, PART_BYTES):
            connection.send(h11.Data(data=bytes(min(PART_BYTES, size - start))))
            await connection.drain()
        connection.send(h11.EndOfMessage())

    async def begin():
        context.server = HttpServer(answer, Timeouts(stall_s=seconds))
        context.address = await context.server.start("127.0.0.1:0")

    async def close():
        context.server.stop_accepting()
        context.server.abort()

    context.closers.append(close)
    context.runner.run(begin())


async def connect(context):
    """Connect with a small receive buffer, and return the socket."""
    host, _, port = context.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))

    async def close():
        sock.close()

    context.closers.append(close)
    return sock


async def send(context, payload):
    sock = await connect(context)
    await asyncio.get_running_loop().sock_sendall(sock, payload)
    await wait_for(lambda: context.server.connections)
    context.sent_at = asyncio.get_running_loop().time()
    return sock


@when("a caller that reads nothing asks for {size:d} bytes")
def reads_nothing(context, size):
    context.runner.run(send(context, b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % size))


@when("a caller sends half of a message and nothing more")
def half_a_message(context):
    head = b"POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\n"
    context.runner.run(send(context, head + b"half of it"))


@when("a caller that reads a part every {pause:g} seconds asks for {size:d} bytes")
def reads_slowly(context, pause, size):
    async def run():
        loop = asyncio.get_running_loop()
        sock = await send(context, b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % size)
        context.received, context.size = 0, size
        while context.received < size:
            await asyncio.sleep(pause)
            part = 0
            while part < READ_BYTES and context.received < size:
                data = await loop.sock_recv(sock, PART_BYTES)
                assert data, context.received
                part += len(data)
                context.received += len(data)
        context.took = loop.time() - context.sent_at

    context.runner.run(run())


@when("all stand still for {still:g} seconds while a caller reads {size:d} bytes")
def stand_still(context, still, size):
    async def run():
        loop = asyncio.get_running_loop()
        sock = await send(context, b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % size)
        await asyncio.sleep(0.3)
        time.sleep(still)
        await asyncio.sleep(0.1)
        context.received, context.size = 0, size
        while context.received < size:
            data = await loop.sock_recv(sock, PART_BYTES)
            assert data, context.received
            context.received += len(data)
        context.took = loop.time() - context.sent_at

    context.runner.run(run())


@then("it gets the whole answer after more than {seconds:d} seconds")
def whole(context, seconds):
    assert context.received >= context.size
    assert context.took > seconds, context.took


@then("its connection is closed within {seconds:d} seconds, and the handler has ended")
def let_go(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            await wait_for(lambda: not context.server.connections)

    context.runner.run(wait())


@then("the server has told which caller was silent, for how long, and what was not taken")
def told(context):
    (line,) = context.lines.records
    assert line.kind == "caller" and line.peer.startswith("127.0.0.1:"), vars(line)
    assert line.sent.endswith("bytes not taken") and line.unanswered_s >= 0.9, vars(line)


@when("a caller sends a message in {count:d} parts at once")
def many_parts(context, count):
    head = b"POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def answer(connection, request):
        ticks, is_done = 0, False

        def tick():
            nonlocal ticks
            ticks += 1
            if not is_done:
                asyncio.get_running_loop().call_soon(tick)

        while connection.received_bytes < len(head) + 6 * count + 5:
            await asyncio.sleep(0.01)
        tick()
        context.body = await read_body(connection, count)
        is_done, context.ticks = True, ticks
        send_response(connection, 200, [], b"")

    async def run():
        context.server._on_request = answer
        sock = await send(context, head + b"1\r\nx\r\n" * count + b"0\r\n\r\n")
        context.answer = await asyncio.get_running_loop().sock_recv(sock, PART_BYTES)

    context.runner.run(run())


@then("it is answered, and others had their turn at least {count:d} times meanwhile")
def others_ran(context, count):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer
    assert context.ticks >= count, context.ticks
