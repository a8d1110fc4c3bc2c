"""Steps for daemons that stop while others stop too, or while something stalls."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import h11
from behave import given, then, when
from stopping import (
    ASKED_BEFORE_S,
    AT_ONCE,
    LARGE_BYTES,
    LIMIT_S,
    SMALL_BYTES,
    rest,
    start,
    stopping_within,
)
from stopping import ask as ask_once

from hornbeamgw.core import placement
from hornbeamgw.core.options import split_address
from hornbeamgw.daemon import attempts, heads
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, dial, header
from hornbeamgw.testing.local import wait_for
from hornbeamgw.testing.room import OnClose

PAUSE_S = 0.02
QUICK_S = 0.01
PATH_BUFFER_BYTES = 64 * 1024
EARLY_BYTES = 1_000_000
UPLOAD_PART_BYTES = 50_000
UPLOAD_PARTS = 60
LEAVE_AFTER_S = 1.7
GRACE_S = 6.0
WIDE = 1000.0
MIN_RUNS = 100
HALF_A_HEAD = b"GET /rosters HTTP/1.1\r\nHost: test.exa"


async def ask(context, daemon, target, call_id):
    """Return the answer, or None where the connection was closed before its end."""
    try:
        return await ask_once(context, daemon, target, call_id)
    except h11.RemoteProtocolError:
        return None


@given("a server beside a daemon with a link of {width:g} Mbit/s, and {others:d} more daemons")
def narrow_server(context, width, others):
    stopped = {"calls_leave_after": LEAVE_AFTER_S, "calls_grace": GRACE_S}
    start(context, [("roster", {"bandwidth": width}), *[("", stopped)] * others])


async def keep_asking(context, daemon, target, name, headers=()):
    for number in range(1_000_000):
        client = HttpClient(context.fleet.callers(daemon), LIMIT_S)
        named = [(b"host", b"test.example"), (b"x-request-id", b"%s-%d" % (name, number))]
        try:
            await client.request("GET", target, [*named, *headers])
        except (ConnectionLost, OSError, h11.ProtocolError):
            pass
        finally:
            client.close()
        await asyncio.sleep(PAUSE_S)


def load(context, daemons, headers=(), target=f"/rosters?size={SMALL_BYTES}"):
    async def begin():
        context.load += [
            asyncio.create_task(
                keep_asking(context, daemon, target, b"%d-%d" % (place, each), headers)
            )
            for place, daemon in enumerate(daemons)
            for each in range(AT_ONCE)
        ]
        await asyncio.sleep(ASKED_BEFORE_S)

    context.closers.append(lambda: rest(context))
    context.runner.run(begin())


@given("callers of the others keep asking for answers of 40 KB, eight at a time")
def busy_others(context):
    load(context, context.daemons[2:])


async def stop_in_turn(daemons, apart):
    stopped = []
    for daemon in daemons:
        daemon.on_signal()
        stopped.append(asyncio.create_task(daemon.run()))
        await asyncio.sleep(apart)
    await asyncio.gather(*stopped)


@when(
    "a caller of the first asks for 300 KB, and they are told to stop,"
    " the others {apart:g} seconds apart"
)
def rolls(context, apart):
    context.size = LARGE_BYTES
    first, others = context.daemons[1], context.daemons[2:]

    async def run():
        target = f"/rosters?size={LARGE_BYTES}"
        context.asking = asyncio.create_task(ask(context, first, target, "large"))
        await asyncio.sleep(ASKED_BEFORE_S)
        turn = asyncio.create_task(stop_in_turn(others, apart))
        first.on_signal()
        context.code = await first.run()
        context.load.append(turn)

    context.runner.run(run())


@given(
    "a server beside a daemon with a link of {wide:g} Mbit/s,"
    " and a daemon with one of {width:g} whose server is at work"
)
def narrow_caller(context, wide, width):
    narrow = {"bandwidth": width, "calls_leave_after": 0.2, "calls_grace": 4.0}
    start(context, [("roster", {"bandwidth": wide}), ("packs", narrow), ("", {})])

    async def begin():
        asking = ask(context, context.daemons[2], "/packs?work_ms=9000", "long")
        context.load = [asyncio.create_task(asking)]
        await wait_for(lambda: context.fleet.backends[1].running)

    context.runner.run(begin())


@given(
    "callers of that one keep asking for answers of 40 KB with half a second left, eight at a time"
)
def busy_caller(context):
    load(context, [context.daemons[1]], [(heads.DEADLINE_MS, b"500")])


@given(
    "a server beside a daemon with a wide link, and a daemon with one of {width:g} Mbit/s"
    " that ends by a grace of 6 seconds"
)
def ends_by_grace(context, width):
    narrow = {"bandwidth": width, "calls_leave_after": LEAVE_AFTER_S, "calls_grace": GRACE_S}
    start(context, [("roster", {"bandwidth": WIDE}), ("packs", narrow), ("", {})])


@given(
    "callers of a third keep asking the server beside that one for {kilobytes:d} KB, 8 at a time"
)
def busy_beside(context, kilobytes):
    target = f"/packs?size={kilobytes * 1000}"
    load(context, [context.daemons[2]], target=target)


@when("a caller of that one asks the first server for {kilobytes:d} KB, and its daemon stops")
def asks_and_stops(context, kilobytes):
    context.size = kilobytes * 1000
    daemon = context.daemons[1]

    async def run():
        target = f"/rosters?size={context.size}"
        context.asking = asyncio.create_task(ask(context, daemon, target, "large"))
        await asyncio.sleep(ASKED_BEFORE_S)
        await stop_and_time(context, daemon)

    context.runner.run(run())


@when("a caller of that one asks for 300 KB, and that daemon is told to stop within 4 seconds")
def stops_at_caller(context):
    context.size = LARGE_BYTES

    async def run():
        daemon = context.daemons[1]
        target = f"/rosters?size={LARGE_BYTES}"
        context.asking = asyncio.create_task(ask(context, daemon, target, "large"))
        await asyncio.sleep(ASKED_BEFORE_S)
        daemon.on_signal()
        await daemon.run()

    context.runner.run(run())


@given(
    "a daemon that stops within {seconds:d} seconds,"
    " and a server with one slot that runs a call for {work:d} seconds"
)
def one_slot(context, seconds, work):
    start(context, [("", stopping_within(float(seconds))), ("roster", {}), ("", {})])
    backend = context.fleet.backends[0]
    backend.options = backend.options._replace(slots=1)

    async def begin():
        await backend._announce()
        if work:
            target = f"/rosters?work_ms={work * 1000}"
            asking = ask(context, context.daemons[2], target, "long")
            context.load = [asyncio.create_task(asking)]
            await wait_for(lambda: backend.running)

    context.closers.append(lambda: rest(context))
    context.runner.run(begin())


@when("a caller of that daemon waits for the slot, and the daemon is told to stop")
def waits_for_slot(context):
    async def run():
        daemon, gate = context.daemons[0], context.daemons[1].gate
        context.asking = asyncio.create_task(ask(context, daemon, "/rosters", "waits"))
        await wait_for(lambda: gate.state.queue)
        daemon.on_signal()
        await daemon.run()
        assert not context.fleet.backends[0].runs_by_id["waits"]
        context.response = await asyncio.wait_for(context.asking, LIMIT_S)

    context.runner.run(run())


@then('that caller is told "{verdict}"')
def told(context, verdict):
    response = context.response
    assert response is not None, "the connection was closed without an answer"
    assert header(response.headers, heads.VERDICT) == verdict.encode(), response


@given("a server beside a daemon that stops within {seconds:d} seconds, and another daemon")
def server_stops(context, seconds):
    start(context, [("roster", stopping_within(float(seconds))), ("", {})])


async def stop_and_time(context, daemon):
    began = asyncio.get_running_loop().time()
    daemon.on_signal()
    context.code = await daemon.run()
    context.took = asyncio.get_running_loop().time() - began


@when(
    "a caller of the other leaves a POST that runs, whose answer has 1 MB,"
    " and that daemon is told to stop"
)
def leaves_post(context):
    async def run():
        stopped, other = context.daemons
        backend = context.fleet.backends[0]
        target = "/bookings?work_ms=500&size=1000000"
        client = HttpClient(context.fleet.callers(other), LIMIT_S)
        headers = [(b"host", b"test.example"), (b"x-request-id", b"left")]
        asking = asyncio.create_task(client.request("POST", target, headers))
        await wait_for(lambda: backend.running)
        asking.cancel()
        await asyncio.sleep(ASKED_BEFORE_S)
        await stop_and_time(context, stopped)

    context.runner.run(run())


@then("the daemon ends within {seconds:d} seconds")
def ends_within(context, seconds):
    assert context.took < seconds, (context.took, context.code)


@when(
    "a caller of the other asks for {kilobytes:d} KB over a link that stands still"
    " for {seconds:g} seconds, and that daemon is told to stop"
)
def slow_link(context, kilobytes, seconds):
    context.size = kilobytes * 1000

    async def run():
        stopped, other = context.daemons
        await ask(context, other, "/rosters", "first")
        address = stopped.control.view.me.address
        transport = other.links._pool._links_by_address[address].transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)
        transport.pause_reading()
        asyncio.get_running_loop().call_later(seconds, transport.resume_reading)
        target = f"/rosters?size={context.size}"
        context.asking = asyncio.create_task(ask(context, other, target, "large"))
        await wait_for(lambda: context.fleet.backends[0].finished_by_id["large"])
        await stop_and_time(context, stopped)

    context.runner.run(run())


@given(
    "a server beside a daemon with a link of {width:g} Mbit/s,"
    " and another daemon on a path of {rate:d} KB/s to it"
)
def slow_path(context, width, rate):
    limits = {**stopping_within(4.0), "bandwidth": width}
    start(context, [("roster", limits), ("", {})])
    address = context.daemons[0].control.view.me.address
    path = context.runner.run(SlowPath(address, rate * 1000).start())
    context.closers.append(path.close)
    dial_direct = attempts.dial

    async def dial_by_path(to, *rest_of):
        return await dial_direct(path.address if to == address else to, *rest_of)

    async def restore():
        attempts.dial = dial_direct

    attempts.dial = dial_by_path
    context.closers.append(restore)


class SlowPath:
    """Carry connections to one address, and what comes back at a steady rate (bytes/s)."""

    def __init__(self, target, rate):
        """Take the address and the rate."""
        self.target, self.rate = split_address(target), rate
        self.address = ""
        self._listening = socket.create_server(("127.0.0.1", 0))
        self._listening.setblocking(False)
        self._open = [self._listening]
        self._tasks = []

    async def start(self):
        """Take connections from now on."""
        self.address = f"127.0.0.1:{self._listening.getsockname()[1]}"
        self._spawn(self._accept())
        return self

    def _spawn(self, running):
        self._tasks.append(asyncio.create_task(running))

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            near, _ = await loop.sock_accept(self._listening)
            far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PATH_BUFFER_BYTES)
            for sock in (near, far):
                sock.setblocking(False)
            self._open += [near, far]
            await loop.sock_connect(far, self.target)
            self._spawn(self._carry(near, far, 0))
            self._spawn(self._carry(far, near, self.rate))

    async def _carry(self, source, sink, rate):
        loop = asyncio.get_running_loop()
        # What one direction loses as an end is closed doesn't end the other.
        with contextlib.suppress(OSError):
            while data := await loop.sock_recv(source, 8 * 1024):
                await loop.sock_sendall(sink, data)
                await asyncio.sleep(len(data) / rate if rate else 0)
        with contextlib.suppress(OSError):
            if rate:
                sink.shutdown(socket.SHUT_WR)

    async def close(self):
        """Break what is open."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._open:
            sock.close()


@when(
    "a caller of the other asks for {kilobytes:d} KB, and the daemon of its server is told to stop"
)
def asks_by_path(context, kilobytes):
    context.size = kilobytes * 1000
    stopped, other = context.daemons

    async def run():
        target = f"/rosters?size={context.size}"
        context.asking = asyncio.create_task(ask(context, other, target, "large"))
        await asyncio.sleep(ASKED_BEFORE_S)
        await stop_and_time(context, stopped)

    context.runner.run(run())


@when("a caller of that daemon asks for a call of {work:d} seconds, and the daemon is told to stop")
def long_call(context, work):
    async def run():
        daemon, backend = context.daemons[0], context.fleet.backends[0]
        target = f"/rosters?work_ms={work * 1000}"
        backend.options = backend.options._replace(on_close=OnClose.DROP)
        context.asking = asyncio.create_task(ask(context, daemon, target, "long"))
        await wait_for(lambda: backend.running)
        await stop_and_time(context, daemon)
        await asyncio.sleep(0.5)
        context.running = backend.running

    context.runner.run(run())


@then("the server has nothing to do half a second after the daemon's end")
def cancelled(context):
    assert not context.running, context.running
    state = context.daemons[1].gate.state
    assert state.running_by_attempt.keys() <= state.cuts_by_attempt.keys(), state.running_by_attempt


@when("a caller of that daemon sends half a head, and that daemon is told to stop")
def half_a_head(context):
    async def run():
        daemon = context.daemons[0]
        connection = await dial(context.fleet.callers(daemon))
        connection.transport.write(HALF_A_HEAD)
        await asyncio.sleep(ASKED_BEFORE_S)
        await stop_and_time(context, daemon)
        connection.close()

    context.runner.run(run())


@when(
    "a caller of the other sends 1.5 MB over 1.5 seconds,"
    " and the daemon of its {whose} is told to stop meanwhile"
)
def upload(context, whose):
    part, parts = 100_000, 15
    context.size = part * parts

    async def run():
        beside, other = context.daemons
        stopped = {"caller": other, "server": beside}[whose]
        connection = await dial(context.fleet.callers(other))
        framing = (b"content-length", b"%d" % context.size)
        head = [(b"host", b"test.example"), (b"x-request-id", b"upload"), framing]
        connection.send(h11.Request(method="POST", target="/bookings", headers=head))
        stopping = None
        for number in range(parts):
            await asyncio.sleep(0.1)
            connection.send(h11.Data(data=b"x" * part))
            if number == parts // 3:
                stopping = asyncio.create_task(stop_and_time(context, stopped))
        connection.send(h11.EndOfMessage())
        context.event = await asyncio.wait_for(connection.next_event(), LIMIT_S)
        connection.close()
        await stopping

    context.runner.run(run())


@then("that upload is answered and was read whole")
def uploaded(context):
    assert isinstance(context.event, h11.Response), context.event
    assert context.event.status_code == 200, context.event
    assert [len(body) for body in context.fleet.backends[0].runs_by_body] == [context.size]
    assert context.code == 0, context.code


def ask_and_then(context, asked, act):
    context.size = LARGE_BYTES

    async def run():
        target = f"/rosters?size={LARGE_BYTES}"
        context.asking = asyncio.create_task(ask(context, asked, target, "large"))
        await asyncio.sleep(ASKED_BEFORE_S)
        await act()

    context.runner.run(run())


@when("a caller of the first asks for 300 KB, and both daemons are told to stop")
def both_stop(context):
    async def act():
        codes = [stop_and_time(context, daemon) for daemon in context.daemons]
        await asyncio.gather(*codes)

    ask_and_then(context, context.daemons[1], act)


@when("a caller beside that server asks for 300 KB, and that daemon is told to stop")
def own_stops(context):
    daemon = context.daemons[0]
    ask_and_then(context, daemon, lambda: stop_and_time(context, daemon))


@when("a caller of the first asks for 300 KB, and that server says that it is gone")
def server_gone(context):
    async def act():
        context.daemons[0].gate.remove_server()

    ask_and_then(context, context.daemons[1], act)


def runs(context):
    return sum(backend.runs_by_id.total() for backend in context.fleet.backends)


@given("callers of that daemon who keep {count:d} connections and ask without a pause")
def kept(context, count):
    context.gone = []

    async def keep(name):
        client = HttpClient(context.fleet.callers(context.daemons[0]), LIMIT_S)
        for number in range(1_000_000):
            call_id = b"%s-%d" % (name, number)
            named = [(b"host", b"test.example"), (b"x-request-id", call_id)]
            try:
                await client.request("GET", "/rosters?work_ms=3", named)
            except OSError:
                return
            except (ConnectionLost, h11.ProtocolError):
                context.gone.append(call_id.decode())

    async def begin():
        context.load = [asyncio.create_task(keep(b"kept-%d" % each)) for each in range(count)]
        await asyncio.sleep(ASKED_BEFORE_S)
        await wait_for(lambda: runs(context) > MIN_RUNS)

    context.closers.append(lambda: rest(context))
    context.runner.run(begin())


@when("that daemon is told to stop")
def told_to_stop(context):
    context.runner.run(stop_and_time(context, context.daemons[0]))


@then("no server has run a request whose connection closed without an answer")
def none_lost(context):
    ran = [backend.runs_by_id for backend in context.fleet.backends]
    lost = [call_id for call_id in context.gone if any(by_id[call_id] for by_id in ran)]
    assert not lost, lost
    assert runs(context) > MIN_RUNS, ran


@given(
    "a server beside a daemon with a link of {width:g} Mbit/s,"
    " and a daemon that knows its answers as quick and of 500 KB"
)
def known_answers(context, width):
    stopped = {"calls_leave_after": 1.0, "calls_grace": 3.0}
    start(context, [("roster", {"bandwidth": width}), ("", stopped)])
    context.size = 500_000
    known = context.daemons[1].calls._servers._placement
    traits = placement.traits_of(known, "rosters", QUICK_S)
    traits.service, traits.size = QUICK_S, float(context.size)


@when("that daemon is told to stop, and {after:g} seconds later a caller asks it for 500 KB")
def asks_large_late(context, after):
    daemon = context.daemons[1]

    async def run():
        stopping = asyncio.create_task(stop_and_time(context, daemon))
        await asyncio.sleep(after)
        context.response = await ask(context, daemon, f"/rosters?size={context.size}", "late")
        await stopping

    context.runner.run(run())


@then('that caller gets the whole answer, or is told "{verdict}"')
def whole_or_refused(context, verdict):
    response = context.response
    assert response is not None, "the connection was closed in the middle of the answer"
    is_whole = response.status == 200 and len(response.body) == context.size
    assert is_whole or header(response.headers, heads.VERDICT) == verdict.encode(), response


async def answer_early(reader, writer):
    """Answer a request as its head has come, and read the rest of it later."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if line.lower().startswith(b"x-request-id")]
    lines.append(b"Content-Length: %d" % EARLY_BYTES)
    writer.write(b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"", b""]) + b"x" * EARLY_BYTES)
    while await reader.read(64 * 1024):
        pass
    writer.close()


@given("a server that answers before it has read a body, beside a daemon, and another daemon")
def early(context):
    start(context, [("roster", {}), ("", {})])
    backend = context.fleet.backends[0]

    async def begin():
        server = await asyncio.start_server(answer_early, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        backend.options = backend.options._replace(announced=f"{host}:{port}")
        await backend._announce()

    context.runner.run(begin())


async def send_slowly(writer):
    for _ in range(UPLOAD_PARTS):
        writer.write(b"y" * UPLOAD_PART_BYTES)
        await asyncio.sleep(PAUSE_S)


async def read_slowly(reader):
    received = b""
    while len(received.partition(b"\r\n\r\n")[2]) < EARLY_BYTES:
        try:
            part = await reader.read(64 * 1024)
        except ConnectionError:
            break
        if not part:
            break
        received += part
        await asyncio.sleep(PAUSE_S)
    return received


def upload_and_read(context, host):
    async def run():
        address = split_address(context.fleet.callers(context.daemons[1]))
        reader, writer = await asyncio.open_connection(*address)
        lines = ["POST /bookings HTTP/1.1", f"Host: {host}", "X-Request-Id: upload"]
        lines += [f"Content-Length: {UPLOAD_PARTS * UPLOAD_PART_BYTES}", "", ""]
        writer.write("\r\n".join(lines).encode())
        sending = asyncio.create_task(send_slowly(writer))
        context.received = await asyncio.wait_for(read_slowly(reader), LIMIT_S)
        sending.cancel()
        writer.close()

    context.runner.run(run())


@when("a caller of the other uploads to it and reads the answer as slowly as it sends")
def uploads_and_reads(context):
    upload_and_read(context, "test.example")


@when(
    "a caller of the other uploads 3 MB to a host that nobody serves"
    " and reads the answer as slowly as it sends"
)
def uploads_to_nobody(context):
    upload_and_read(context, "nobody.example")


@then("that caller has read the status {status:d}")
def read_status(context, status):
    assert context.received.startswith(b"HTTP/1.1 %d" % status), context.received


@then("that caller has read the whole answer")
def read_whole(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    assert len(body) == EARLY_BYTES, len(body)
