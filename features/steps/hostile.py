"""Steps for bad input."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
from behave import given, then, when

from hornbeamgw.core.membership import Member, Probe
from hornbeamgw.core.node import Envelope
from hornbeamgw.core.options import split_address
from hornbeamgw.daemon import codec, datagrams, frames
from hornbeamgw.daemon.committer import Committed
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.testing.local import LocalFleet, edit_from_file, wait_for

EXAMPLE = Path("catalogue/vatuwaqa.yaml")
READ_LIMIT_S = 10.0


@given("a daemon that serves")
def one(context):
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)

    async def start():
        context.daemon = await fleet.start(calls_header_timeout=0.2)
        outcome = await context.daemon.committer.commit(edit_from_file(EXAMPLE, "example"))
        assert outcome == Committed(1), outcome
        await wait_for(lambda: context.daemon.control.versions.snapshot.version == 1)

    context.runner.run(start())


def exchange(context, address, payload):
    """Send bytes and return all that comes until the other side closes."""

    async def send():
        reader, writer = await asyncio.open_connection(*split_address(address))
        writer.write(payload)
        async with asyncio.timeout(READ_LIMIT_S):
            received = await reader.read()
        writer.close()
        return received

    return context.runner.run(send())


@when('a caller sends "{request}"')
def send_request(context, request):
    text = request.replace("\\r\\n", "\r\n").replace("{20000 bytes}", "x" * 20_000)
    text = text.replace("{5000 digits}", "9" * 5_000)
    context.received = exchange(context, context.fleet.callers(context.daemon), text.encode())


@then('the answer begins with "{line}" and its body is "{body}"')
def answer_is(context, line, body):
    head, _, received = context.received.partition(b"\r\n\r\n")
    assert head.split(b"\r\n")[0] == line.encode(), context.received
    if body == "empty":
        assert received == b"", context.received
    else:
        assert msgspec.json.decode(received)["reason"] == body, context.received


@when("a caller sends half a head and then nothing")
def send_half(context):
    half = b"GET / HTTP/1.1\r\nHost:"
    context.received = exchange(context, context.fleet.callers(context.daemon), half)


@when("a caller sends half a body and then nothing")
def send_half_body(context):
    head = (
        b"POST /bookings HTTP/1.1\r\nHost: desk.vatuwaqa.example\r\n"
        b"Hornbeamgw-Deadline-Ms: 200\r\nContent-Length: 10\r\n\r\nhalf"
    )
    context.received = exchange(context, context.fleet.callers(context.daemon), head)


@then("it is told status {status:d} and the connection is closed")
def told(context, status):
    assert context.received.startswith(f"HTTP/1.1 {status} ".encode()), context.received[:200]
    assert b"hornbeamgw-verdict: not_run" in context.received.lower()


@then("the daemon still answers")
def answers(context):
    async def ask():
        client = HttpClient(context.fleet.callers(context.daemon), READ_LIMIT_S)
        try:
            return await client.request("GET", "/")
        finally:
            client.close()

    assert context.runner.run(ask()).status == 404


def framed(payload):
    return len(payload).to_bytes(codec.LENGTH_PREFIX_BYTES, "big") + payload


PAYLOADS = {
    "garbage": framed(b"\xff" * 64),
    "huge length": b"\xff\xff\xff\xff",
    "another fleet": codec.encode_frame(frames.Hello("another", "m", 1)),
    "no hello": codec.encode_frame(frames.Pull(0)),
}


@when('somebody opens a link and sends "{what}"')
def send_frames(context, what):
    address = context.daemon.control.view.me.address
    context.received = exchange(context, address, PAYLOADS[what])


@then('the link is dropped and "{fault}" is counted')
def dropped(context, fault):
    counted = context.daemon.control.meter.faults
    assert [name for name in counted if name.startswith(fault)], counted
    assert not context.daemon.peers.links


@when("a datagram of another fleet brings a member and a version")
def foreign(context):
    stranger = Member("127.0.0.1:9", "x", "y", 1)
    datagram = Envelope("127.0.0.1:9", 9, 9, 9, [stranger], Probe(1))
    payload = datagrams.encode_datagram(datagrams.fleet_hash("another"), datagram)

    async def send():
        loop = asyncio.get_running_loop()
        address = split_address(context.daemon.control.view.me.address)
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=address
        )
        transport.sendto(payload)
        await wait_for(lambda: context.daemon.control.meter.faults["bad datagram"])
        transport.close()

    context.runner.run(send())


@then("the daemon knows nobody and counts a bad datagram")
def knows_nobody(context):
    control = context.daemon.control
    assert list(control.view.members_by_address) == [control.view.me.address]
    assert control.meter.faults["bad datagram"] == 1


ANNOUNCEMENT = {
    "service": "roster",
    "address": "127.0.0.1:80",
    "slots": 6,
    "connections": 130,
    "state": "serving",
}


@when('a backend server announces itself with "{key}" as "{value}"')
def announce(context, key, value):
    value = int(value) if value.isdigit() else value
    body = msgspec.json.encode({**ANNOUNCEMENT, key: value})

    async def put():
        client = HttpClient(context.fleet.admin(context.daemon), READ_LIMIT_S)
        try:
            return await client.request("PUT", "/announce", body=body)
        finally:
            client.close()

    context.response = context.runner.run(put())


@then('it is told status {status:d} and the problem names "{key}"')
def announce_told(context, status, key):
    document = msgspec.json.decode(context.response.body)
    assert context.response.status == status, context.response
    assert any(f"announce: {key}:" in line for line in document["problems"]), document
    assert context.daemon.gate.announcement is None
