"""Steps for compression: streams by themselves, and two daemons on loopback."""

from __future__ import annotations

import os
import secrets
import subprocess
import sys
import zlib

from behave import given, then, when

from hornbeamgw.core.snapshot import Limits
from hornbeamgw.daemon import codec, compression, frames, heads
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

MOST = 1 << 20
ROUTE = "/lookup/"
SENDERS = """
from hornbeamgw.daemon.compression import Compressor
def anonymous_kb():
    rows = [line.split() for line in open("/proc/self/status")]
    return next(int(row[1]) for row in rows if row[0] == "RssAnon:")
heads = {heads}
before = anonymous_kb()
senders = [Compressor() for _ in range({streams})]
for sender in senders:
    for head in heads:
        sender.compress(head)
print((anonymous_kb() - before) / {streams})
"""


def payload(number):
    headers = [
        (b"host", b"crews.example"),
        (b"x-request-id", secrets.token_hex(8).encode()),
        (b"accept", b"*/*"),
        (b"x-caller-service", b"entries"),
    ]
    head = heads.encode_request(heads.RequestHead(b"GET", f"/crews/{number}".encode(), headers))
    frame = frames.Call(
        number, secrets.token_hex(8), "entries", "safe-2", True, 4000 - number, 2, head, b"", True,
        "route-crews", 600 - number, 600, 2, limits=Limits(10000, 0, 16),
    )  # fmt: skip
    return codec.encode_frame(frame)[codec.LENGTH_PREFIX_BYTES :]


@given(
    "a stream between data centres that has carried {count:d} heads and bodies of {size:d} bytes"
)
def stream(context, count, size):
    context.sender = compression.Compressor()
    context.receiver = compression.Decompressor()
    for number in range(count):
        head, body = payload(number), os.urandom(size)
        sent = context.sender.compress(head) + body
        assert context.receiver.decompress(sent, MOST) == (head, body)


@given("a stream of memory level 5 that has carried {count:d} heads and bodies of {size:d} bytes")
def stream_of_level_5(context, count, size):
    context.sender = compression.Compressor()
    context.sender._stream = zlib.compressobj(1, zlib.DEFLATED, -13, 5)
    context.receiver = compression.Decompressor()
    # Recurs after some 6 KB, near the end of the window.
    rare = os.urandom(300)
    for number in range(count):
        head = rare if number % 15 == 0 else payload(number)
        sent = context.sender.compress(head) + os.urandom(size)
        if number and head is rare:
            assert len(sent) - size < 100, "the sender refers to the rare head"
        assert context.receiver.decompress(sent, MOST)[0] == head
    context.head = payload(99)
    context.sent = context.sender.compress(context.head)


@given("{streams:d} streams between data centres that have carried {count:d} heads each")
def streams_before(context, streams, count):
    context.sizes = []
    for _ in range(streams):
        sender = compression.Compressor()
        for number in range(count):
            sender.compress(payload(number))
        context.sizes.append(len(sender.compress(payload(99))))


@then("the next head of each takes at most {most:d} bytes")
def each_next_head(context, most):
    assert max(context.sizes) <= most, max(context.sizes)


@when("{streams:d} streams between data centres have carried {count:d} heads each")
def many_streams(context, streams, count):
    code = SENDERS.format(streams=streams, heads=[payload(number) for number in range(count)])
    command = [sys.executable, "-c", code]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    context.kb_of_each = float(ended.stdout)


@then("each takes at most {kilobytes:d} KB to send")
def sender_size(context, kilobytes):
    assert 1 < context.kb_of_each <= kilobytes, context.kb_of_each


@then("the next head of {least:d} bytes or more takes at most {most:d} bytes")
def next_head(context, least, most):
    context.head = payload(99)
    assert len(context.head) >= least, len(context.head)
    context.sent = context.sender.compress(context.head)
    assert len(context.sent) <= most, len(context.sent)


@then("heads and bodies arrive as they were sent")
def arrive(context):
    assert context.receiver.decompress(context.sent + b"body", MOST) == (context.head, b"body")


def large():
    data = zlib.compress(bytes(4 * MOST))[2:-4]
    return len(data).to_bytes(compression.LENGTH_PREFIX_BYTES, "big") + data


ARRIVING = {
    "bytes out of nowhere": b"\x00\x00\x00\x04\xff\xff\xff\xff",
    "a length past the end": b"\x00\x00\x00\x09abc",
    "a payload larger than allowed": None,
}


@when("the receiver is given {arriving}")
def wrong_bytes(context, arriving):
    data = ARRIVING[arriving] or large()
    context.fault = ""
    receiver = compression.Decompressor() if ARRIVING[arriving] is None else context.receiver
    try:
        receiver.decompress(data, MOST)
    except ValueError as error:
        context.fault = str(error)


@then("that is a fault of the stream")
def fault(context):
    assert context.fault


CATALOGUE = {
    "entry/safe": {"name": "safe", "owner": "o", "traffic_class": "safe", "limits": {"slots": 9}},
    "service/entries": {"name": "entries", "owner": "o"},
    "route/crews": {
        "name": "crews", "host": "crews.example", "prefix": ROUTE, "service": "entries",
        "entry": "safe", "idempotent": True, "deadline_ms": 3000,
    },
}  # fmt: skip


@given("a daemon in kgn-1 and a backend server in spt-1")
def two(context):
    async def begin():
        context.fleet = LocalFleet(context.scenario.name)
        context.near = await context.fleet.start(data_centre="kgn-1")
        context.far = await context.fleet.start(data_centre="spt-1")
        context.backend = await context.fleet.start_backend(context.far, "entries")
        edit = edit_from_bodies(CATALOGUE, "e-1")
        await context.near.committer.commit(edit)
        for daemon in (context.near, context.far):
            await wait_for(lambda d=daemon: d.control.versions.snapshot.version)
        await wait_for(lambda: any(m.service for m in _members(context.near)))
        context.client = HttpClient(context.fleet.callers(context.near), 5.0)
        context.metrics = HttpClient(context.fleet.admin(context.near), 5.0)

    async def close():
        context.client.close()
        context.metrics.close()
        await context.fleet.close()

    context.closers.append(close)
    context.runner.run(begin())


def _members(daemon):
    return daemon.control.view.members_by_address.values()


@when("30 lookups and a body of {size:d} bytes go from one to the other")
def lookups(context, size):
    async def ask():
        headers = [(b"host", b"crews.example")]
        context.answers = []
        for number in range(30):
            if number == 10:
                (link,) = context.near.links._pool._links_by_address.values()
                context.link = link
                before = link.bytes_in + link.bytes_out
            path = f"{ROUTE}{number}"
            context.answers.append(await context.client.request("GET", path, headers))
        context.bytes_each = (link.bytes_in + link.bytes_out - before) / 20
        path = f"{ROUTE}?size={size}"
        context.large = await context.client.request("POST", path, headers, body=os.urandom(size))
        context.size = size

    context.runner.run(ask())


@then("all are answered whole")
def whole(context):
    assert {answer.status for answer in [*context.answers, context.large]} == {200}
    assert len(context.large.body) == context.size, len(context.large.body)


@then("an answered lookup takes at most {most:d} bytes on the link, both ways together")
def small(context, most):
    assert context.bytes_each <= most, context.bytes_each


@then("both daemons count by what moved them the bytes that crossed")
def counted(context):
    near, far = (d.control.meter.remote_byte_counts for d in (context.near, context.far))
    assert near["call.head"] > 0 and near["call.body"] >= context.size, near
    assert far["reply.head"] > 0, far
    lines = context.runner.run(context.metrics.request("GET", "/metrics")).body.decode()
    assert 'hornbeamgw_bytes_between_data_centres_total{what="call.body"}' in lines, lines


@then("the line of each call tells why it left its data centre")
def told_why(context):
    assert context.near.calls.counts["far.none_near"] >= 30, context.near.calls.counts
