"""Steps for runs of backend servers and for words of other writers; no network but loopback."""

from __future__ import annotations

import asyncio
import base64

import msgspec
from behave import given, then, when

from hornbeamgw.backends import factories_by_name
from hornbeamgw.backends.rows import RowPage, StoredRow
from hornbeamgw.core import placement, registration, service_times
from hornbeamgw.core.balancing import Candidate
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.placement import RouteTraits
from hornbeamgw.core.registration import Announcement, Heartbeat, RegistrationState
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Limits
from hornbeamgw.core.verdict import Reason, Verdict
from hornbeamgw.daemon import frames, heads, plugins
from hornbeamgw.daemon.announcements import ServerRegistry, decoders_by_name
from hornbeamgw.daemon.attempts import Links
from hornbeamgw.daemon.call import MeshView
from hornbeamgw.daemon.directory import decode_members
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response
from hornbeamgw.daemon.servers import Servers

plugins.load("platform", ["mesh_platform"])

LIMITS = Limits(100, 0, 100)
HEAD = heads.encode_request(heads.RequestHead(b"GET", b"/0/", [(b"host", b"test.example")]))


@when("nothing is heard for {seconds:d} seconds")
def silence(context, seconds):
    context.now = 1.0 + seconds


@given('a heartbeat {sequence:d} of "{instance}" started at {started:d} that is "{state}"')
@when('a heartbeat {sequence:d} of "{instance}" started at {started:d} that is "{state}"')
def heard(context, sequence, instance, started, state):
    if not hasattr(context, "runs"):
        context.runs = RegistrationState()
    beat = Heartbeat(instance, "roster", "127.0.0.1:1", 6, ServerState[state.upper()], sequence)
    beat = beat._replace(started_ms=started)
    context.was_news = registration.receive(context.runs, beat, getattr(context, "now", 1.0))


@given('the run of "{instance}" started at {started:d} has left')
def left(context, instance, started):
    registration.retire(context.runs, instance, started)


@then("that heartbeat was news")
def news(context):
    assert context.was_news


@then("that heartbeat was late")
def late(context):
    assert not context.was_news


@then('the run started at {started:d} is "{state}"')
def run_is(context, started, state):
    current = context.runs.current
    assert current is not None and current.started_ms == started, current
    assert current.state is ServerState[state.upper()], current


# The gate


class SilentLink:
    """Keep what a gate sends to the daemon that asks."""

    def __init__(self):
        """Start with nothing sent."""
        self.hello = frames.Hello("f", "gate", 1)
        self.peer = frames.Hello("f", "asker", 1)
        self.sent = []

    def send(self, frame):
        """Keep a frame."""
        self.sent.append(frame)


def announcement(address, started, state=ServerState.SERVING):
    return Announcement("roster", address, 2, 10, state, 1e12, "i-1", 0.0, started)


def call_frame():
    return frames.Call(
        7, "c-7", "roster", "safe-2", True, 5000, 2, HEAD, b"", True, "r-0", 900, 900, 2,
        limits=LIMITS,
    )  # fmt: skip


@given('a gate that runs a lookup at "i-1" started at 1000, and knows it as slow and draining')
def gate_runs(context):
    async def begin():
        async def never(reader, writer):
            await asyncio.sleep(60)

        context.silent = await asyncio.start_server(never, "127.0.0.1", 0)
        host, port = context.silent.sockets[0].getsockname()
        context.address = f"{host}:{port}"
        context.gate = Gate(lambda: EMPTY_SNAPSHOT, lambda: None)
        context.gate.announce(announcement(context.address, 1000))
        context.link = SilentLink()
        context.gate.on_frame(context.link, call_frame())
        await asyncio.sleep(0.05)
        service_times.record(context.gate.state.service_time_estimates, "r-0", 4.0)
        context.pool = context.gate.exchange.pool
        context.gate.announce(announcement(context.address, 1000, ServerState.DRAINING))
        assert not context.link.sent, context.link.sent

    async def close():
        context.silent.close()

    context.closers.append(close)
    context.runner.run(begin())


@when('"i-1" is announced as started at 2000')
def started_again(context):
    async def announce():
        context.gate.announce(announcement(context.address, 2000))
        await asyncio.sleep(0.05)

    context.runner.run(announce())


@when('"i-1" leaves, and is announced as started at 2000')
def left_and_started(context):
    async def leave():
        context.gate.remove_server()
        context.gate.announce(announcement(context.address, 2000))
        await asyncio.sleep(0.05)

    context.runner.run(leave())


@then("the lookup may have run, for its server broke")
def broke(context):
    refusal = context.link.sent[-1]
    assert isinstance(refusal, frames.Refusal), refusal
    assert refusal.failure.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.failure.reason is Reason.BACKEND_BROKE


@then("the gate takes new work and knows nothing of how fast its server is")
def fresh(context):
    state = context.gate.state
    assert state.server_state is ServerState.SERVING
    assert not state.service_time_estimates.estimates_by_route
    assert not state.running_by_attempt


@then("the gate has no connection to a server")
def no_connection(context):
    pool = context.pool
    assert pool is not context.gate.exchange.pool
    assert pool.opened_count and not pool._open, (pool.opened_count, pool._open)


# Other daemons


def gate_member(started):
    return Member(
        "gate-1", "suva-1", "fiji", 1, 0, service="roster", server_state=ServerState.SERVING,
        slots=6, server_started_ms=started,
    )  # fmt: skip


def load_of(context, member, generation):
    view = MeshView(True, EMPTY_SNAPSHOT, member, [member], generation)
    (candidate,) = context.servers._candidates(view, "roster", 10.0)
    assert isinstance(candidate, Candidate)
    return candidate.load


@given('a daemon that has seen "gate-1" started at 1000 as slow and failing')
def seen(context):
    links = Links(lambda: frames.Hello("f", "me", 1), lambda why: None)
    context.servers = Servers(links, lambda choice, rng: None, None)
    load = load_of(context, gate_member(1000), 1)
    placement.note_answer(RouteTraits(0.2), load, 5.0, 100)
    placement.note_outcome(load, True, 10.0)
    assert load.slowness > 1 and load.failure_probability > 0


@when("its record says that it was started at 2000")
def record(context):
    context.load = load_of(context, gate_member(2000), 2)


@then("nothing is known of its speed and its failures")
def unknown(context):
    assert context.load.slowness == 1 and context.load.failure_probability == 0


# Heartbeats of other writers


def heartbeat(**changed):
    body = {
        "address": "127.0.0.1:9",
        "born": 1000,
        "info": {"service": "roster", "version": "v1", "zone": "suva-1", "capacity": 6},
        "status": {"state": "ready", "sequence": 5, "warmup_left_ms": 0},
    }
    for name, value in changed.items():
        place = next((part for part in ("info", "status") if name in body[part]), None)
        target = body if place is None else body[place]
        if value is None:
            del target[name]
        else:
            target[name] = value
    return msgspec.msgpack.encode(body)


WRONG_HEARTBEATS = {
    "no service": heartbeat(service=None),
    "no address": heartbeat(address=None),
    "no sequence": heartbeat(sequence=None),
    "a text for the sequence": heartbeat(sequence="6"),
    "a number for the service": heartbeat(service=6),
    "a text for the start": heartbeat(born="1000"),
    "an unknown state": heartbeat(state="resting"),
    "an unknown service": heartbeat(service="somewhere"),
    "no slots at all": heartbeat(capacity=0),
    "an address that is none": heartbeat(address="over there"),
    "bytes that can't be read": b"\xc1\x00",
    "a list": msgspec.msgpack.encode([1, 2]),
    "no id": heartbeat(),
}


@given('a daemon beside the server "i-1" on the users\' platform')
def beside(context):
    async def begin():
        context.gate = Gate(lambda: EMPTY_SNAPSHOT, lambda: None)
        context.taker = ServerRegistry(
            Gates(lambda: context.gate),
            decoders_by_name["mesh"],
            10,
            6.0,
            lambda name: name == "roster",
        )
        context.server = HttpServer(context.taker.on_request, Timeouts())
        context.client = HttpClient(await context.server.start("127.0.0.1:0"), 2.0)
        path = "/-/instances/i-1"
        answer = await context.client.request("PUT", path, body=heartbeat(sequence=4))
        assert answer.status == 200, answer

    async def close():
        context.client.close()
        context.server.stop_accepting()
        context.server.abort()

    context.closers.append(close)
    context.runner.run(begin())


@when("it hears a heartbeat with {fault}")
def hears(context, fault):
    path = "/-/instances/" if fault == "no id" else "/-/instances/i-9"
    asking = context.client.request("PUT", path, body=WRONG_HEARTBEATS[fault])
    context.answer = context.runner.run(asking)


@then("that is answered 400 with a line that names it")
def answered(context):
    assert context.answer.status == 400, context.answer
    assert "announcement: " in msgspec.json.decode(context.answer.body)["error"]


@then('the server there is still "{instance}"')
def still(context, instance):
    (state,) = context.taker.states_by_address.values()
    assert state.current.instance == instance
    assert context.gate.announcement.instance == instance


# Rows of other writers

OTHER = "10.0.0.8:7400"
KEY = "10.0.0.9:7400"
MEMBER = {
    "address": KEY, "data_centre": "suva-1", "region": "fiji", "incarnation": 3, "sequence": 1,
    "status": 0, "service": "roster", "server_state": 2, "slots": 6, "version": 4, "admin": "",
    "bandwidth": 0, "server_started_ms": 0,
}  # fmt: skip
WRONG_MEMBERS = {
    "no address": {"address": None},
    "another daemon's address": {"address": OTHER},
    "an address that is none": {"address": "nowhere"},
    "a text for the incarnation": {"incarnation": "three"},
    "a negative sequence": {"sequence": -1},
    "an unknown state": {"server_state": 9},
    "too many slots": {"slots": 70_000},
}


def row_of(key, **changed):
    values = {**MEMBER, "address": key, **changed}
    return StoredRow(key, msgspec.json.encode([list(values.values()), None]), 1)


@given("rows of two daemons, one of them with {fault}")
def rows(context, fault):
    if fault == "bytes that can't be read":
        wrong = StoredRow(KEY, b"\xff\x00", 1)
    else:
        wrong = row_of(KEY, **WRONG_MEMBERS[fault])
        if fault == "an address that is none":
            wrong = wrong._replace(key="nowhere")
    context.page = RowPage([wrong, row_of(OTHER)], 1, 0.0)


@then("only the other is found")
def other_found(context):
    assert [member.address for member in decode_members(context.page)] == [OTHER]


WRONG_ROWS = {
    "a number for the value": {"value": 5},
    "a value that isn't text": {"value": "a"},
    "no key": {"key": None},
    "a map for the version": {"api_version": {}},
}


@given("the store gives two rows, one of them with {fault}")
def stored(context, fault):
    good = {"table": "t", "part": "", "key": "good", "api_version": 3}
    good["value"] = base64.b64encode(b"x").decode()
    bad = {**good, "key": "bad", **WRONG_ROWS[fault]}
    bad = {name: value for name, value in bad.items() if value is not None}
    page = {"rows": [bad, good], "has_more": False, "api_version": 4, "now_ms": 1.0}

    async def answer(connection, request):
        await read_body(connection, 1024)
        send_response(connection, 200, [], msgspec.msgpack.encode(page))

    async def ask():
        server = HttpServer(answer, Timeouts())
        platform = factories_by_name["mesh"](await server.start("127.0.0.1:0"), 1.0)
        context.read = await platform.rows.read("t")
        context.watched = await platform.rows.watch("t", 1, 0.1)
        server.stop_accepting()
        server.abort()

    context.runner.run(ask())


@then("the adapter returns just the other row")
def just_other(context):
    for found in (context.read, context.watched):
        assert [row.key for row in found.rows] == ["good"], found
