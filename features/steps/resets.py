"""Steps for resets: real sockets and the event loop that daemons run on."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
import time

import h11
import uvloop
from behave import given, then, when

from hornbeamgw.daemon.http1 import ConnectionLost, dial

PART = b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\npart"
REQUEST = h11.Request(method="GET", target="/", headers=[(b"host", b"test.example")])


def send_part_and_reset(listener, asked):
    accepted, _ = listener.accept()
    accepted.recv(65536)
    asked.wait()
    accepted.sendall(PART)
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    accepted.close()


@given("a server that sends part of an answer without a length and resets")
def server(context):
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.asked = threading.Event()
    arguments = (context.listener, context.asked)
    context.thread = threading.Thread(target=send_part_and_reset, args=arguments)
    context.thread.start()


async def read_events(context):
    connection = await dial(f"127.0.0.1:{context.listener.getsockname()[1]}")
    connection.send(REQUEST, h11.EndOfMessage())
    await asyncio.sleep(0.05)
    context.asked.set()
    context.thread.join()
    time.sleep(0.05)
    try:
        while True:
            event = await connection.next_event()
            context.events.append(type(event))
            if isinstance(event, h11.EndOfMessage):
                return
    except ConnectionLost as error:
        context.events.append(type(error))


@when("a client on the daemons' event loop wakes up after both have arrived")
def client(context):
    context.events = []
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(read_events(context))
    context.listener.close()


@then("it sees a broken connection and no end of the answer")
def broken(context):
    assert context.events == [h11.Response, h11.Data, ConnectionLost], context.events
