"""Steps for calls through two daemons on real sockets."""

from __future__ import annotations

import asyncio

import h11
import msgspec
from behave import given, then, when

from hornbeamgw.daemon import codec, frames, heads
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, dial, header
from hornbeamgw.daemon.link import dial as dial_link
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

BIG_DEADLINE_MS = 20_000


def route(name, method, idempotent):
    return {
        "name": name,
        "host": "test.example",
        "prefix": f"/{name}",
        "methods": [method],
        "service": "roster",
        "entry": "all",
        "idempotent": idempotent,
        "deadline_ms": BIG_DEADLINE_MS,
    }


BODIES = {
    "entry/all": {"name": "all", "owner": "o", "traffic_class": "c", "limits": {"slots": 6}},
    "service/roster": {"name": "roster", "owner": "o"},
    "route/rosters": route("rosters", "GET", True),
    "route/bookings": route("bookings", "POST", False),
}


@given("daemons A and B, the roster server beside B")
def two(context):
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)

    async def start():
        context.a, context.b = await fleet.start(), await fleet.start()
        await context.a.committer.commit(edit_from_bodies(BODIES, "e"))
        context.backend = await fleet.start_backend(context.b, "roster")
        await wait_for(lambda: context.b.control.versions.snapshot.version == 1)
        known = context.a.control.view.members_by_address
        b = context.b.control.view.me.address
        await wait_for(lambda: b in known and known[b].service == "roster")

    context.runner.run(start())


def call(context, method, target, body=b"", headers=(), timeout=15.0):
    """Make a call by A and keep its answer."""

    async def ask():
        client = HttpClient(context.fleet.callers(context.a), timeout)
        named = [(b"host", b"test.example"), (b"x-request-id", b"r1"), *headers]
        try:
            return await client.request(method, target, named, body)
        finally:
            client.close()

    context.error = context.response = None
    try:
        context.response = context.runner.run(ask())
    except (ConnectionLost, h11.ProtocolError) as error:
        context.error = error


@when("a caller of A asks for a roster of {size:d} bytes")
def roster(context, size):
    context.size = size
    call(context, "GET", f"/rosters?size={size}")


@when("a caller of A asks for a roster of {size:d} bytes in chunks")
def roster_chunked(context, size):
    context.size = size
    call(context, "GET", f"/rosters?size={size}&chunked=1")


@when("a caller of A sends a booking of {size:d} bytes")
def booking(context, size):
    context.size = None
    context.sent = size
    call(context, "POST", "/bookings", b"b" * size)


@when("a caller of A asks for a host that nobody serves")
def nobody(context):
    call(context, "GET", "/nothing")


@when("a caller of A asks with a deadline of {deadline:d} ms for work of {work:d} ms")
def short_deadline(context, deadline, work):
    headers = [(heads.DEADLINE_MS, str(deadline).encode())]
    call(context, "GET", f"/rosters?work_ms={work}", headers=headers)


@when("a caller of A asks for work of {work:d} ms and the link to B is doubted after {after:d} ms")
def doubted(context, work, after):
    context.size = None
    context.sent = 0

    async def doubt():
        await asyncio.sleep(after / 1000)
        address = context.b.control.view.me.address
        link = await context.a.links.link_to(address)
        context.a.links._on_link_silent(link, asyncio.get_running_loop().time())

    async def ask():
        client = HttpClient(context.fleet.callers(context.a), 15.0)
        named = [(b"host", b"test.example"), (b"x-request-id", b"r1")]
        doubting = asyncio.create_task(doubt())
        try:
            return await client.request("GET", f"/rosters?work_ms={work}", named)
        finally:
            await doubting
            client.close()

    context.error, context.response = None, context.runner.run(ask())


@then("the answer is whole and ran once")
def whole(context):
    assert context.error is None and context.response.status == 200, (
        context.error,
        context.response,
    )
    if context.size is None:
        document = msgspec.json.decode(context.response.body)
        assert document == {"request_id": "r1", "received": context.sent}
    else:
        assert len(context.response.body) == context.size
    assert context.backend.runs_by_id["r1"] == 1


@when("a caller of A asks for a roster of {size:d} bytes and reads it late")
def read_late(context, size, headers=()):
    async def ask():
        connection = await dial(context.fleet.callers(context.a))
        connection.transport.pause_reading()
        named = [(b"host", b"test.example"), (b"x-request-id", b"r1"), *headers]
        head = h11.Request(method="GET", target=f"/rosters?size={size}", headers=named)
        connection.send(head, h11.EndOfMessage())
        await wait_for(lambda: context.backend.runs_by_id["r1"])
        await asyncio.sleep(0.5)
        context.held = sum(
            link.bytes_out for link in context.b.peers.links if link.peer is not None
        )
        connection.transport.resume_reading()
        received = 0
        while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
            received += len(event.data) if isinstance(event, h11.Data) else 0
        connection.close()
        return received

    context.size = size
    context.received = context.runner.run(ask())


@when(
    "a caller of A asks with a deadline of {deadline:d} ms for a roster of {size:d} bytes "
    "and reads it late"
)
def read_past_deadline(context, deadline, size):
    read_late(context, size, [(heads.DEADLINE_MS, str(deadline).encode())])


@then("the answer is whole and little of it was held on the way")
def bounded(context):
    assert context.received == context.size
    assert 0 < context.held < context.size / 4, context.held


@then('the verdict is "{verdict}" for "{reason}" with status {status:d}')
def verdict_is(context, verdict, reason, status):
    assert context.response is not None, context.error
    told = header(context.response.headers, heads.VERDICT)
    why = header(context.response.headers, heads.REASON)
    found = (told, why, context.response.status)
    assert found == (verdict.encode(), reason.encode(), status), found
    assert msgspec.json.decode(context.response.body)["verdict"] == verdict


@then('the verdict is "{verdict}" and there is a time to come back')
def come_back(context, verdict):
    assert header(context.response.headers, heads.VERDICT) == verdict.encode(), context.response
    assert int(header(context.response.headers, b"retry-after")) >= 1
    assert int(header(context.response.headers, heads.RETRY_AFTER_MS)) >= 1


@given("the roster server has drained")
def drained(context):
    context.runner.run(context.backend.drain())


@then("the backend server saw the request cancelled")
def cancelled(context):
    context.runner.run(wait_for(lambda: context.backend.broken_ids == ["r1"]))
    assert context.backend.finished_by_id["r1"] == 0


@given("the backend server will die while it runs the next request")
def will_die(context):
    async def die(connection, query, request_id):
        connection.abort()
        raise ConnectionLost

    context.backend._serve = die


def break_link(context, when_frame):
    """Break the link from A to B at a frame that B gets or sends."""
    gate = context.b.gate
    original = gate.on_frame

    def on_frame(link, frame):
        if isinstance(frame, frames.Call) and gate.on_frame is not original:
            gate.on_frame = original
            when_frame(original, link, frame)
        else:
            original(link, frame)

    gate.on_frame = on_frame


@given("the link from A to B loses the next call")
def loses(context):
    break_link(context, lambda original, link, frame: link.abort())


@given("the link from A to B breaks while the next call runs")
def breaks(context):
    def admit_and_break(original, link, frame):
        original(link, frame)
        link.abort()

    break_link(context, admit_and_break)


@given("the link from A to B breaks in the middle of the next answer")
def breaks_answer(context):
    def admit_and_break_later(original, link, frame):
        send = link.send

        def count_and_break(reply):
            send(reply)
            if isinstance(reply, frames.Body):
                link.abort()

        link.send = count_and_break
        original(link, frame)

    break_link(context, admit_and_break_later)


@then("A asked B what became of it and was told that it did not run")
def told(context):
    assert context.a.links.counts["resolved_not_run"] == 1, context.a.links.counts
    assert context.b.gate.counts["resolved.not_run"] == 1


@then("the booking ran at most once")
def at_most_once(context):
    assert context.backend.runs_by_id["r1"] <= 1


@then("the caller sees a broken connection and not a short answer")
def broken(context):
    assert context.response is None and context.error is not None


@when("a caller of A leaves while its request runs")
def leaves(context):
    async def ask_and_leave():
        connection = await dial(context.fleet.callers(context.a))
        named = [(b"host", b"test.example"), (b"x-request-id", b"r1")]
        head = h11.Request(method="GET", target="/rosters?work_ms=5000", headers=named)
        connection.send(head, h11.EndOfMessage())
        await wait_for(lambda: context.backend.running)
        connection.abort()

    context.runner.run(ask_and_leave())


@when("another daemon sends B a call and its cancellation in one go")
def call_and_cancel(context):
    head = heads.encode_request(heads.RequestHead(b"GET", b"/rosters", [(b"host", b"h")]))
    sent = frames.Call(7, "c", "roster", "all", True, 5000, 0, head, b"", True)

    async def send():
        got = context.got = []
        hello = frames.Hello(context.fleet.name, "stranger", 1)
        address = context.b.control.view.me.address
        link = await dial_link(
            address, hello, lambda _, frame: got.append(frame), lambda _: None, print, 5.0
        )
        payload = codec.encode_frame(sent) + codec.encode_frame(frames.Cancel(7))
        link.transport.write(payload)
        await wait_for(lambda: got)
        link.close()

    context.runner.run(send())


@then("B ends the attempt and its slot is free again")
def slot_free(context):
    assert isinstance(context.got[0], frames.Refusal), context.got
    state = context.b.gate.state
    assert not state.running_by_attempt and not any(state.running_count_by_entry.values())
    assert context.b.gate.idle.is_set()


@given("B has crashed")
def crashed(context):
    context.runner.run(context.fleet.crash(context.b))


@given("a request runs at the roster server")
def runs(context):
    async def begin():
        client = HttpClient(context.fleet.callers(context.a), 15.0)
        named = [(b"host", b"test.example"), (b"x-request-id", b"r1")]
        target = "/rosters?work_ms=300&size=10"
        context.running = asyncio.ensure_future(client.request("GET", target, named))
        await wait_for(lambda: context.backend.running)

    context.runner.run(begin())


@when("the roster server announces that it leaves")
def announces(context):
    async def drain():
        context.draining = asyncio.ensure_future(context.backend.drain())
        await wait_for(lambda: context.b.gate.state.server_state.name == "DRAINING")

    context.runner.run(drain())


@then("what runs is answered whole")
def answered(context):
    async def finish():
        await context.draining
        return await context.running

    response = context.runner.run(finish())
    assert response.status == 200 and len(response.body) == 10
    assert context.backend.broken_ids == []


@then('a new request is told "{verdict}"')
def new_request(context, verdict):
    call(context, "GET", "/rosters?size=10", headers=[])
    assert header(context.response.headers, heads.VERDICT) == verdict.encode()
    assert context.backend.runs_by_id["r1"] == 1
