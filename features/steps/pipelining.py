"""Steps for pipelined requests on one connection of a caller."""

from __future__ import annotations

import asyncio
import itertools
import logging
import socket
import struct
from typing import NamedTuple

import h11
import msgspec
import uvloop
from behave import given, then, when
from calls import BODIES, route
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from hornbeamgw.core import pipelining
from hornbeamgw.core.pipelining import RequestState
from hornbeamgw.daemon import heads
from hornbeamgw.daemon.http1 import ConnectionLost, HttpConnection, dial, header
from hornbeamgw.daemon.main import EXIT_OK
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for
from hornbeamgw.testing.room import OnClose

LIMIT_S = 15.0

CATALOGUE = {
    **BODIES,
    "entry/all": {"name": "all", "owner": "o", "traffic_class": "c", "limits": {"slots": 20}},
    "route/searches": route("searches", "POST", True),
    "service/ghosts": {"name": "ghosts", "owner": "o"},
    "route/ghosts": {**route("ghosts", "GET", True), "service": "ghosts"},
}


class Sent(NamedTuple):
    """A request: its method, its id, and its bytes on the wire."""

    method: str
    call_id: str
    raw: bytes


class Answer(NamedTuple):
    """A complete answer, and the loop time in seconds at which it ended."""

    status: int
    headers: list
    body: bytes
    at: float

    @property
    def call_id(self):
        return (header(self.headers, heads.CALL_ID) or b"").decode()


def request(call_id, target, method="GET", body=b"", headers=(), chunked=False):
    """Return a request; a chunked body is framed in chunks of 5 bytes."""
    lines = [f"{method} {target} HTTP/1.1", "host: test.example", f"x-request-id: {call_id}"]
    lines.append(f"{heads.CALL_ID.decode()}: {call_id}")
    lines += [f"{name}: {value}" for name, value in headers]
    if chunked:
        lines.append("transfer-encoding: chunked")
        parts = [body[start : start + 5] for start in range(0, len(body), 5)]
        body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    elif body:
        lines.append(f"content-length: {len(body)}")
    return Sent(method, call_id, "\r\n".join([*lines, "", ""]).encode() + body)


def gets(count, work_ms, first="r"):
    return [request(f"{first}{n}", f"/rosters?work_ms={work_ms}") for n in range(1, count + 1)]


async def read_answer(connection: HttpConnection, method: str) -> Answer | None:
    """Return the next answer, or None if the connection ends before it begins."""
    head = h11.Request(method=method, target="/", headers=[("host", "test.example")])
    connection.expect_another_response(head, h11.EndOfMessage())
    status, headers, body = 0, [], b""
    while True:
        try:
            event = await connection.next_event()
        except (ConnectionLost, h11.RemoteProtocolError):
            return None
        if isinstance(event, h11.Response):
            status, headers = event.status_code, list(event.headers)
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return Answer(status, headers, body, asyncio.get_running_loop().time())
        elif isinstance(event, h11.ConnectionClosed):
            return None


async def read_answers(connection, sent):
    """Return the answers to `sent`, up to the end of the connection."""
    answers = []
    async with asyncio.timeout(LIMIT_S):
        for each in sent:
            answer = await read_answer(connection, each.method)
            if answer is None:
                break
            answers.append(answer)
    return answers


async def open_connection(context):
    return await dial(context.fleet.callers(context.a))


async def ask_all(context, sent, parts=None, pause=0.0):
    """Send requests at once, or the given parts with pauses; return the answers."""
    connection = await open_connection(context)
    context.began = asyncio.get_running_loop().time()
    try:
        for part in parts or [b"".join(each.raw for each in sent)]:
            if connection.transport.is_closing():
                break  # The request that closes the connection has been answered already.
            connection.transport.write(part)
            await asyncio.sleep(pause)
        return await read_answers(connection, sent)
    finally:
        connection.close()


def ask(context, sent):
    context.sent = sent
    context.answers = context.runner.run(ask_all(context, sent))


@given("daemons A and B that serve pipelined requests, a server of {slots:d} slots beside B")
def two(context, slots):
    # Daemons run on uvloop, which reports full write buffers and ends differently.
    context.runner.close()
    context.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)

    async def start():
        context.a, context.b = await fleet.start(), await fleet.start()
        await context.a.committer.commit(edit_from_bodies(CATALOGUE, "e"))
        context.backend = await fleet.start_backend(
            context.b, "roster", slots=slots, on_close=OnClose.DROP
        )
        await wait_for(lambda: context.b.control.versions.snapshot.version == 1)
        known = context.a.control.view.members_by_address
        b = context.b.control.view.me.address
        await wait_for(lambda: b in known and known[b].service == "roster")

    context.runner.run(start())


@when("a caller of A pipelines {count:d} requests of {work:d} ms")
def pipelines(context, count, work):
    ask(context, gets(count, work))


@then("all are answered in their order within {limit:g} s")
def all_in_order(context, limit):
    assert [each.call_id for each in context.answers] == [each.call_id for each in context.sent]
    assert {each.status for each in context.answers} == {200}
    took = context.answers[-1].at - context.began
    assert took < limit, f"{took:.2f} s"


@then("at most {most:d} and at least {least:d} ran at once")
def at_once(context, most, least):
    assert least <= context.backend.room.peak_running <= most, context.backend.room.peak_running


def reads(times, first="r"):
    return [request(f"{first}{n}", f"/rosters?work_ms={t}") for n, t in enumerate(times, 1)]


def work_of(context, call_id):
    """Return when the work on a request began and ended at the server, once."""
    (interval,) = context.backend.work_intervals_by_id[call_id]
    return interval


@when("a caller of A pipelines requests of {times} ms")
def pipelines_times(context, times):
    ask(context, reads([int(each) for each in times.replace(" and ", ", ").split(", ")]))


@then("all but the first had ended at the server after {limit:g} s")
def others_ended(context, limit):
    began = work_of(context, context.sent[0].call_id)[0]
    late = [
        each.call_id
        for each in context.sent[1:]
        if work_of(context, each.call_id)[1] > began + limit
    ]
    assert not late, late


@when(
    'a caller of A pipelines reads "{first}", the booking "{booking}", reads "{second}",'
    ' the booking "{b2}" and "{b3}"'
)
def bookings_between(context, first, booking, second, b2, b3):
    def read(name):
        return request(name, "/rosters?work_ms=150")

    def book(name):
        return request(name, "/bookings?work_ms=150", "POST", b"a booking")

    sent = [
        *map(read, first.split()),
        book(booking),
        *map(read, second.split()),
        book(b2),
        book(b3),
    ]
    ask(context, sent)


@then('"{first}" ran side by side, and "{second}" too')
def side_by_side(context, first, second):
    for pair in (first, second):
        one, other = (work_of(context, name) for name in pair.split())
        assert max(one[0], other[0]) < min(one[1], other[1]), pair


@then("the server ran {groups}, each once")
def ran_in_groups(context, groups):
    names = [group.strip('" ').split() for group in groups.split(", then ")]
    assert [name for group in names for name in group] == [each.call_id for each in context.sent]
    for earlier, later in itertools.pairwise(names):
        end = max(work_of(context, name)[1] for name in earlier)
        begin = min(work_of(context, name)[0] for name in later)
        assert end <= begin, (earlier, later)


@when(
    "a caller of A pipelines a read of {work:d} ms, half of a search in chunks, the rest after"
    " {pause:d} ms, and a read"
)
def halves(context, work, pause):
    search = request("s1", "/searches", "POST", b"0123456789" * 10, chunked=True)
    first, last = request("r1", f"/rosters?work_ms={work}"), request("r2", "/rosters?work_ms=50")
    sent = context.sent = [first, search, last]
    half = len(search.raw) - 70
    parts = [first.raw + search.raw[:half], search.raw[half:] + last.raw]
    context.size = 100
    context.answers = context.runner.run(ask_all(context, sent, parts, pause / 1000))


@when(
    "a caller of A pipelines a read of {work:d} ms, a search with a body of {size:d} MB, and a read"
)
def large_body(context, work, size):
    context.size = size * 1_000_000
    search = request("s1", "/searches", "POST", b"s" * context.size)
    ask(
        context,
        [request("r1", f"/rosters?work_ms={work}"), search, request("r2", "/rosters?work_ms=50")],
    )


@then("the server got the whole body of the search, and ran one after another")
def whole_body(context):
    assert msgspec.json.decode(context.answers[1].body)["received"] == context.size
    works = [work_of(context, each.call_id) for each in context.sent]
    # The server begins its work with the head of a request, and reads the body then.
    assert works[0][1] <= works[1][0] and works[1][1] <= works[2][0], works


@when(
    'a caller of A pipelines reads of {work:d} ms, the second with "{closing}",'
    " and {count:d} more of 5 s"
)
def closing(context, work, closing, count):
    target = f"/rosters?work_ms={work}"
    second = request("r2", target)
    if closing == "HTTP/1.0":
        second = second._replace(raw=second.raw.replace(b"HTTP/1.1", b"HTTP/1.0"))
    elif closing == "connection: close":
        second = request("r2", target, headers=[("connection", "close")])
    else:
        second = request("r2", target, headers=[(heads.DEADLINE_MS.decode(), "soon")])
    ask(context, [request("r1", target), second, *gets(count, 5000, "late")])


@then("{count:d} are answered, the second with {status:d}, and the connection is closed")
def answered_and_closed(context, count, status):
    assert [each.call_id for each in context.answers][:1] == ["r1"]
    assert [each.status for each in context.answers] == [200, status], context.answers
    assert len(context.answers) == count


@then("the server finishes none of those behind within {limit:g} s")
def none_behind(context, limit):
    async def ended():
        async with asyncio.timeout(limit):
            while context.backend.running:
                await asyncio.sleep(0.01)

    context.runner.run(ended())
    finished = [name for name in context.backend.finished_by_id if name.startswith("late")]
    assert not finished, finished


@when("a caller of A pipelines {count:d} reads of 5 s, {then_} and {leaves}")
def caller_leaves(context, count, then_, leaves):
    async def run():
        connection = await open_connection(context)
        transport = connection.transport
        transport.write(b"".join(each.raw for each in gets(count, 5000)))
        await wait_for(lambda: context.backend.running == 8)
        if then_.startswith("sends"):
            more = b"".join(each.raw for each in gets(20_000, 5000, "more"))
            transport.write(more[:400_000])
        await asyncio.sleep(0.3)
        if leaves.startswith("closes its end"):
            connection.half_close()
        elif leaves.startswith("resets"):
            linger = struct.pack("ii", 1, 0)
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.abort()
        else:
            connection.abort()
        context.left_at = asyncio.get_running_loop().time()

    context.runner.run(run())


@when(
    "a caller of A pipelines a read and {count:d} of 5 s,"
    " and closes the connection after the first answer"
)
def leaves_after_first(context, count):
    async def run():
        connection = await open_connection(context)
        sent = [request("first", "/rosters"), *gets(count, 5000)]
        connection.transport.write(b"".join(each.raw for each in sent))
        assert await read_answer(connection, "GET")
        await wait_for(lambda: context.backend.running == count)
        connection.abort()

    context.runner.run(run())
    # The first one is no part of what the next step counts.
    del context.backend.runs_by_id["first"]


@then(
    "{count:d} of them are cancelled at the server within {limit:g} s, and the others never start"
)
def cancelled(context, count, limit):
    none_behind(context, limit)
    context.runner.run(asyncio.sleep(0.1))
    assert len(context.backend.broken_ids) == count, context.backend.broken_ids
    assert sum(context.backend.runs_by_id.values()) == count, context.backend.runs_by_id


def left(ms):
    return [(heads.DEADLINE_MS.decode(), str(ms))]


@when("a caller of A pipelines reads of {a:d}, {b:d} and {c:d} ms, the second with {ms:d} ms left")
def one_deadline(context, a, b, c, ms):
    sent = reads([a, b, c])
    sent[1] = request("r2", f"/rosters?work_ms={b}", headers=left(ms))
    ask(context, sent)


@when("a caller of A pipelines a booking of {work:d} ms, a read with {ms:d} ms left, and a read")
def waits_too_long(context, work, ms):
    booking = request("b1", f"/bookings?work_ms={work}", "POST", b"b")
    ask(context, [booking, request("r2", "/rosters", headers=left(ms)), request("r3", "/rosters")])


@then('the statuses are "{statuses}", in order')
def statuses_in_order(context, statuses):
    found = [(str(each.status), each.call_id) for each in context.answers]
    wanted = list(zip(statuses.split(), [each.call_id for each in context.sent], strict=True))
    assert found == wanted, found


@then('the statuses are "{statuses}", and the connection is closed')
def statuses_and_end(context, statuses):
    found = [str(each.status) for each in context.answers]
    assert found == statuses.split() and len(found) < len(context.sent), found
    named = [each.call_id for each in context.answers[:-1]]
    assert named == [each.call_id for each in context.sent[: len(named)]], named


@then('the second is told "{verdict}" because of "{reason}"')
def told(context, verdict, reason):
    headers = context.answers[1].headers
    found = header(headers, heads.VERDICT), header(headers, heads.REASON)
    assert found == (verdict.encode(), reason.encode()), found


@when("a caller of A pipelines a read of {work:d} ms, one that no server can run, and a read")
def refused_between(context, work):
    ask(
        context,
        [
            request("r1", f"/rosters?work_ms={work}"),
            request("g1", "/ghosts"),
            request("r2", "/rosters"),
        ],
    )


@when(
    "a caller of A pipelines {count:d} reads of {work:d} ms, bytes that are no request, and a read"
)
def malformed(context, count, work):
    bad = Sent("GET", "bad", b"no request at all\r\n\r\n")
    ask(context, [*gets(count, work), bad, request("after", "/rosters")])


@when(
    "a caller of A pipelines {count:d} reads of {work:d} ms,"
    " and A is told to stop after {after:g} s"
)
def stop_between(context, count, work, after):
    async def run():
        context.sent = gets(count, work)
        asking = asyncio.create_task(ask_all(context, context.sent))
        await asyncio.sleep(after)
        context.a.on_signal()
        context.code = await context.a.run()
        context.answers = await asking

    context.runner.run(run())


@then("{count:d} are answered in their order, and the connection is closed")
def some_answered(context, count):
    found = [(each.status, each.call_id) for each in context.answers]
    assert found == [(200, each.call_id) for each in context.sent[:count]], found


@then("the server ran {count:d} requests, and A ended without cutting off any")
def none_cut(context, count):
    assert sum(context.backend.finished_by_id.values()) == count
    assert not context.backend.broken_ids and context.code == EXIT_OK, context.code


def held_bytes(daemon):
    """Return the bytes of answers that a daemon holds for its callers."""
    total = 0
    for connection in daemon.callers.connections:
        total += connection.unsent_bytes()
        pipeline = connection.pipeline
        if pipeline is not None:
            total += sum(each.ordered.get_write_buffer_size() for each in pipeline._exchanges)
    for attempt in daemon.links._attempts_by_number.values():
        total += sum(len(getattr(event, "body", b"")) for event in attempt.events._messages)
        total += sum(len(getattr(event, "data", b"")) for event in attempt.events._messages)
    return total


async def sample(context, samples):
    while True:
        samples.append(held_bytes(context.a))
        await asyncio.sleep(0.005)


def ask_large(context, sent, read_after):
    async def run():
        samples = []
        sampling = asyncio.create_task(sample(context, samples))
        connection = await open_connection(context)
        if read_after:
            connection.transport.pause_reading()
        connection.transport.write(b"".join(each.raw for each in sent))
        if read_after:
            await asyncio.sleep(read_after)
            connection.transport.resume_reading()
            context.held = max(samples)
            answers = []
        else:
            answers = [await read_answer(connection, "GET")]
            context.held = max(samples)
        context.answers = answers + await read_answers(connection, sent[len(answers) :])
        sampling.cancel()
        connection.close()

    context.sent = sent
    context.runner.run(run())


def large(count, size):
    return [request(f"l{n}", f"/rosters?size={size * 1_000_000}") for n in range(1, count + 1)]


@when("a caller of A pipelines a read of {work:d} ms and {count:d} of {size:d} MB")
def large_behind(context, work, count, size):
    context.size = size * 1_000_000
    ask_large(context, [request("r1", f"/rosters?work_ms={work}"), *large(count, size)], 0)


@when(
    "a caller of A pipelines {count:d} reads of {size:d} MB and reads nothing for {pause:g} second"
)
def reads_late(context, count, size, pause):
    context.size = size * 1_000_000
    ask_large(context, large(count, size), pause)


@when(
    "a caller of A pipelines a small read and {count:d} of {size:d} MB,"
    " and reads nothing for {pause:g} second"
)
def reads_late_behind(context, count, size, pause):
    context.size = size * 1_000_000
    ask_large(context, [request("r1", "/rosters"), *large(count, size)], pause)


@then("at most {limit:g} MB of answers were held by A until the first was answered")
@then("at most {limit:g} MB of answers were held by A meanwhile")
def held_at_most(context, limit):
    assert 0 < context.held <= limit * 1_000_000, context.held


@then("all {count:d} arrive whole")
def all_whole(context, count):
    assert [each.call_id for each in context.answers] == [each.call_id for each in context.sent]
    sizes = [len(each.body) for each in context.answers if not each.call_id.startswith("r")]
    assert len(context.answers) == count and set(sizes) == {context.size}, sizes


@when("a caller of A pipelines a read, one of {size:d} MB whose server crashes midway, and a read")
def crashes_midway(context, size):
    async def run():
        connection = await open_connection(context)
        connection.transport.pause_reading()
        target = f"/rosters?size={size * 1_000_000}"
        sent = [request("r1", "/rosters"), request("l2", target), request("r3", "/rosters")]
        connection.transport.write(b"".join(each.raw for each in sent))
        await wait_for(lambda: context.backend.finished_by_id["r3"])
        await asyncio.sleep(0.3)
        context.backend.crash()
        await asyncio.sleep(0.1)
        connection.transport.resume_reading()
        context.answers = await read_answers(connection, sent)
        context.has_ended = connection.lost or connection.transport.is_closing()
        connection.close()

    context.runner.run(run())


@then("only the first is answered whole, and the connection is closed")
def only_first(context):
    assert [each.call_id for each in context.answers] == ["r1"]
    assert context.has_ended


@when("a caller of A pipelines a read of {work:d} ms and a booking that expects 100 Continue")
def expects(context, work):
    body = b"a booking"
    read = request("r1", f"/rosters?work_ms={work}")
    booking = request("b1", "/bookings", "POST", body, [("expect", "100-continue")])

    async def run():
        connection = await open_connection(context)
        head = booking.raw[: -len(body)]
        connection.transport.write(read.raw + head)
        context.answers = await read_answers(connection, [read])
        connection.expect_another_response(
            h11.Request(method="POST", target="/", headers=[("host", "a"), ("content-length", "9")])
        )
        context.leave = await asyncio.wait_for(connection.next_event(), LIMIT_S)
        connection.transport.write(body)
        connection.http.send(h11.Data(data=body))
        connection.http.send(h11.EndOfMessage())
        answer = await asyncio.wait_for(connection.next_event(), LIMIT_S)
        context.last = answer.status_code, header(answer.headers, heads.CALL_ID)
        connection.close()

    context.runner.run(run())


@then("the read is answered, then leave is given, then the booking is answered")
def leave_given(context):
    assert [each.call_id for each in context.answers] == ["r1"]
    assert isinstance(context.leave, h11.InformationalResponse) and context.leave.status_code == 100
    assert context.last == (200, b"b1"), context.last


def mixed():
    return [
        request("m1", "/rosters?work_ms=5"),
        request("m2", "/searches", "POST", b"what is looked for", chunked=True),
        request("m3", "/nothing"),
        request("m4", "/bookings", "POST", b"a booking"),
        request("m5", "/ghosts"),
        Sent("GET", "", b"no request at all\r\n\r\n"),
        request("m7", "/rosters"),
    ]


def outcome(answers):
    """Return what must not depend on how the bytes were split."""
    return [
        (each.status, each.call_id, header(each.headers, heads.REASON), len(each.body))
        for each in answers
    ]


@when("the bytes of 6 requests reach A in two parts, split at each point")
def split_everywhere(context):
    sent = context.sent = mixed()
    raw = b"".join(each.raw for each in sent)

    async def run():
        whole = await ask_all(context, sent)
        context.outcomes = [outcome(whole)]
        for point in range(1, len(raw)):
            # Every eighth time, the first part is answered as far as possible before the second.
            pause = 0.03 if point % 8 == 0 else 0
            answers = await ask_all(context, sent, [raw[:point], raw[point:]], pause)
            context.outcomes.append(outcome(answers))

    context.runner.run(run())


@when("these bytes reach A one by one")
def one_by_one(context):
    raw = b"".join(each.raw for each in context.sent)
    parts = [raw[n : n + 1] for n in range(len(raw))]
    context.outcomes = [outcome(context.runner.run(ask_all(context, context.sent, parts)))]


@then('each time the statuses are "{statuses}" in order')
def same_each_time(context, statuses):
    wanted = list(zip(statuses.split(), ["m1", "m2", "m3", "m4", "m5", ""], strict=True))
    for point, found in enumerate(context.outcomes):
        assert [(str(status), call_id) for status, call_id, _, _ in found] == wanted, (point, found)
        assert found == context.outcomes[0], (point, found)


@when(
    "a caller of A sends 3 reads at once, then one, then 9 at once, then one,"
    " each after the answers"
)
def back_to_single(context):
    async def run():
        connection = await open_connection(context)
        context.began = asyncio.get_running_loop().time()
        context.sent, context.answers = [], []
        for turn, count in enumerate((3, 1, 9, 1)):
            sent = gets(count, 50, f"t{turn}-")
            connection.transport.write(b"".join(each.raw for each in sent))
            context.sent += sent
            context.answers += await read_answers(connection, sent)
        await asyncio.sleep(0.05)
        ((connection_of_a, task),) = context.a.callers.connections.items()
        context.pipeline = connection_of_a.pipeline
        tasks = asyncio.all_tasks()
        context.has_task = task in tasks
        context.others = [
            each for each in tasks if each is not task and "guard" in repr(each.get_coro())
        ]
        connection.close()

    context.runner.run(run())


@then("A has no pipeline, and no task, for the connection beside its usual one")
def no_leftovers(context):
    assert context.pipeline is None and context.has_task
    assert not context.others, context.others


@when("a caller of A sends {count:d} requests one after another")
def never_pipelines(context, count):
    context.pipelines, context.tasks = [], []

    async def run():
        handle = context.a.calls._handle

        async def noting(connection, *arguments):
            context.pipelines.append(connection.pipeline)
            task = asyncio.current_task()
            context.tasks.append((task, context.a.callers.connections.get(connection)))
            await handle(connection, *arguments)
            context.pipelines.append(connection.pipeline)

        context.a.calls._handle = noting
        connection = await open_connection(context)
        for sent in gets(count, 0):
            connection.transport.write(sent.raw)
            await read_answers(connection, [sent])
        connection.close()

    context.runner.run(run())


@then("no pipeline was created")
def no_pipeline(context):
    assert context.pipelines == [None] * len(context.pipelines) != [], context.pipelines


@then("each was handled by the task of the connection")
def task_of_connection(context):
    assert all(task is usual for task, usual in context.tasks) and len(context.tasks) == 5


class Collector(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@when("a caller of A pipelines {count:d} reads and their log lines are collected")
def collected(context, count):
    collector = Collector()
    logging.disable(logging.NOTSET)
    root = logging.getLogger()
    level = root.level
    root.addHandler(collector)
    root.setLevel(logging.INFO)
    try:
        ask(context, gets(count, 30))
    finally:
        root.removeHandler(collector)
        root.setLevel(level)
        logging.disable(logging.CRITICAL)
    context.records = [each for each in collector.records if each.getMessage() == "call ended"]


@then('the "call ended" lines tell "none, 1 and 2" requests ahead')
def lines_tell(context):
    found = {each.call_id: getattr(each, "requests_ahead", None) for each in context.records}
    assert found == {"r1": None, "r2": 1, "r3": 2}, found


@given('the unanswered requests "{requests}"')
def unanswered(context, requests):
    context.states = [
        RequestState(each.lower() != "n", each.lower() != "p", each.isupper()) for each in requests
    ]


@then("{count:d} more may start")
def more_may_start(context, count):
    assert pipelining.may_start(context.states, False) == count
    assert pipelining.may_start(context.states, True) == 0


EVENTS = strategies.lists(strategies.sampled_from(["i", "n", "p", "body", "end"]), max_size=60)


@then("in random sequences of arrivals, received bodies and ends, the rules hold")
def rules_hold(context):
    @settings(max_examples=500, deadline=None, derandomize=True)
    @hypothesis_given(EVENTS)
    def check(events):
        requests = []
        for kind in events:
            if kind == "body":
                # Only the last request can be incomplete.
                if requests and not requests[-1].started:
                    requests[-1] = requests[-1]._replace(whole=True)
            elif kind == "end":
                if requests and requests[0].started:
                    requests.pop(0)
            elif (not requests or requests[-1].whole) and pipelining.may_read(requests):
                requests.append(RequestState(kind != "n", kind != "p", False))
            started = sum(each.started for each in requests)
            count = pipelining.may_start(requests, False)
            for position in range(started, started + count):
                requests[position] = requests[position]._replace(started=True)
            running = [each for each in requests if each.started]
            assert all(each.started for each in requests[: len(running)]), "out of order"
            assert len(running) <= pipelining.MAX_STARTED
            if len(running) > 1:
                assert all(each.idempotent and each.whole for each in running), running
            # Something runs as long as anything is unanswered.
            assert running or not requests
            waiting = requests[len(running) :]
            if waiting and len(running) < pipelining.MAX_STARTED:
                both = [*running, waiting[0]]
                assert not all(each.idempotent and each.whole for each in both), requests

    check()
