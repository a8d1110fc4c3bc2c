"""Steps for answers: a scripted backend server on a raw socket, and the users' headers."""

from __future__ import annotations

import asyncio
import socket
import struct

import h11
import msgspec
from behave import given, then, when

from hornbeamgw.core import registration
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Heartbeat
from hornbeamgw.daemon import plugins
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

plugins.load("platform", ["mesh_platform"])

BODIES = {
    "service/roster": {"name": "roster", "owner": "test"},
    "entry/all": {
        "name": "all",
        "owner": "test",
        "traffic_class": "all",
        "limits": {"slots": 100, "queue": 100},
    },
    "route/all": {
        "name": "all",
        "host": "test.example",
        "prefix": "/",
        "service": "roster",
        "entry": "all",
        "idempotent": False,
        "deadline_ms": 2000,
    },
}
SIGNED = b"X-Response-Signature: s\r\n"
BODY = b"the answer"


def whole(call_id, extra=SIGNED, status=b"200 OK", body=BODY):
    length = str(len(body)).encode()
    echoed = b"X-Request-Id: " + call_id + b"\r\n" if call_id else b""
    lines = [b"HTTP/1.1 " + status, b"Content-Length: " + length]
    return b"\r\n".join(lines) + b"\r\n" + echoed + extra + b"\r\n" + body


def answers(call_id, sent):
    half = whole(call_id)[:-4]
    other = b"X-Instance-Id: i-2\r\n"
    return {
        "part of an answer without a length, then a reset": (
            b"HTTP/1.1 200 OK\r\n" + SIGNED + b"X-Request-Id: " + call_id + b"\r\n\r\npart"
        ),
        "a success without signature": whole(call_id, b""),
        "a success with an encoding": whole(call_id, SIGNED + b"Content-Encoding: gzip\r\n"),
        "a success without the id": whole(b""),
        "bytes that are no answer": b"\x00\x01 nothing of the kind\r\n\r\n",
        "half of an answer with a length": half,
        "an extra answer of another id, then the right one": whole(b"other") + whole(call_id),
        "each request twice": whole(call_id) + whole(call_id),
        "not executed": whole(call_id, b"X-Not-Executed: 1\r\n", b"503 Busy"),
        "another instance": whole(call_id, other, b"421 Misdirected Request"),
        "a failure of its own": whole(call_id, SIGNED, b"500 Failed"),
        "what it was sent": whole(call_id, body=msgspec.json.encode(sent)),
    }


BREAKS_OFF = ("bytes that are no answer", "half of an answer with a length")


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    pairs = [line.split(": ", 1) for line in head.split("\r\n")[1:] if line]
    headers = {name.lower(): value for name, value in pairs}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return headers


async def serve(context, reader, writer):
    """Answer each request as the scenario says."""
    try:
        while True:
            headers = await read_request(reader)
            context.seen.append(headers)
            call_id = headers["x-request-id"].encode()
            answer = answers(call_id, headers)[context.script]
            if context.script.endswith("then a reset"):
                # Both arrive before the daemon wakes up, for this loop runs the daemon as well.
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.write(answer)
                writer.transport.abort()
                return
            writer.write(answer)
            if context.script in BREAKS_OFF:
                writer.close()
                return
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def put(context, instance, sequence, state="ready"):
    client = HttpClient(context.daemon_addresses["announcements"], 5.0)
    told = {
        "address": context.server_address,
        "info": {"service": "roster", "capacity": 6},
        "status": {"state": state, "sequence": sequence},
    }
    try:
        body = msgspec.msgpack.encode(told)
        return await client.request("PUT", f"/-/instances/{instance}", body=body)
    finally:
        client.close()


@given("a daemon that speaks the users' headers, and a scripted backend server beside it")
def start(context):
    context.seen, context.script = [], ""
    context.fleet = LocalFleet("answers")
    context.closers.append(context.fleet.close)

    async def begin():
        server = await asyncio.start_server(
            lambda reader, writer: serve(context, reader, writer), "127.0.0.1", 0
        )
        context.server_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        context.daemon = await context.fleet.start(
            calls_dialect="mesh",
            server_service="desk",
            announcements="127.0.0.1:0",
            ready="127.0.0.1:0",
        )
        context.daemon_addresses = context.fleet.addresses[0]
        await context.daemon.committer.commit(edit_from_bodies(BODIES, "e"))
        response = await put(context, "i-1", 1)
        assert response.status == 200, response
        await wait_for(lambda: context.daemon.gate.state.server_state is ServerState.SERVING)

        async def close():
            server.close()

        context.closers.append(close)

    context.runner.run(begin())


@given('the server answers "{script}"')
def scripted(context, script):
    context.script = script


def post(context, headers=()):
    context.number = getattr(context, "number", 0) + 1

    async def ask():
        client = HttpClient(context.fleet.callers(context.daemon), 5.0)
        named = [
            (b"host", b"test.example"),
            (b"x-request-id", f"r{context.number}".encode()),
            (b"x-timeout-ms", b"1500"),
            *headers,
        ]
        try:
            return await client.request("POST", "/bookings", named, b"booking")
        finally:
            client.close()

    context.error = context.response = None
    try:
        context.response = context.runner.run(ask())
    except (ConnectionLost, h11.ProtocolError) as error:
        context.error = error


@when("a caller posts a booking")
def booking(context):
    post(context)


@when('a caller posts a booking in the name of "{service}"')
def booking_in_name(context, service):
    post(context, [(b"x-caller-service", service.encode())])


@then('the caller is told {status:d} with verdict "{verdict}"')
def told(context, status, verdict):
    found = header(context.response.headers, b"hornbeamgw-verdict")
    assert (context.response.status, found) == (status, verdict.encode()), context.response


@then("it is told when to come back")
def come_back(context):
    assert float(header(context.response.headers, b"retry-after")) > 0, context.response


@then("the caller gets the whole answer to that booking")
def right(context):
    assert context.response.status == 200 and context.response.body == BODY, context.response
    echoed = header(context.response.headers, b"x-request-id")
    assert echoed == f"r{context.number}".encode(), context.response


@then("the caller gets the server's status 500 with its signature")
def own_failure(context):
    assert context.response.status == 500, context.response
    assert header(context.response.headers, b"x-response-signature") == b"s"


@then("the incarnation is retired, also when a late heartbeat of it arrives")
def retired(context):
    gate = context.daemon.gate
    assert gate.announcement is None
    context.runner.run(put(context, "i-1", 2))
    assert gate.announcement is None
    context.runner.run(put(context, "i-2", 1))
    assert gate.announcement is not None and gate.announcement.instance == "i-2"


@then('the server saw the caller service "{service}", the incarnation and what is left of the time')
def saw(context, service):
    seen = context.seen[-1]
    assert seen["x-caller-service"] == service, seen
    assert seen["x-expect-instance"] == "i-1", seen
    assert 0 < int(seen["x-timeout-ms"]) <= 1500, seen


# Registration, without a network


@given('a heartbeat {sequence:d} of incarnation "{instance}" that is "{state}"')
def heard(context, sequence, instance, state):
    if not hasattr(context, "registration"):
        context.registration = registration.RegistrationState()
    beat = Heartbeat(instance, "roster", "127.0.0.1:1", 6, ServerState[state.upper()], sequence)
    context.taken = registration.receive(context.registration, beat, 1.0)


@given('incarnation "{instance}" has left')
def left(context, instance):
    registration.retire(context.registration, instance)


@then('the backend server is "{instance}" and "{state}"')
def current(context, instance, state):
    found = context.registration.current
    assert found is not None and found.instance == instance, found
    assert found.state is ServerState[state.upper()], found


@then("there is no backend server")
def none(context):
    assert context.registration.current is None


@then("that heartbeat told nothing new")
def not_taken(context):
    assert not context.taken
