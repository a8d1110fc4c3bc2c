"""Steps for adoption: a store in memory, and a server on loopback that answers health checks."""

from __future__ import annotations

import asyncio
import random

import msgspec
from behave import given, then, when

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, StoredRow
from hornbeamgw.core import admission, membership, node
from hornbeamgw.core.dialect import AnswerHead, Dialect
from hornbeamgw.core.former_work import Startup
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.registration import Announcement, Departure, Heartbeat
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT
from hornbeamgw.daemon.adoption import Adoption
from hornbeamgw.daemon.announcements import ServerRegistry
from hornbeamgw.daemon.former_hold import FormerProcess
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response
from hornbeamgw.daemon.presence import TABLE, OwnRow
from hornbeamgw.testing.arrivals import first_arrival

KEY = "10.0.0.9:7400"
HEALTH = {"roster": "/healthz"}
SILENT_S = 5.0
ADOPTED_WITHIN_S = 1.0
STARTED_MS = 5000
DIALECT = Dialect(instance=b"x-instance-id")


class Rows:
    """Keep rows in memory."""

    def __init__(self):
        """Start without rows."""
        self.values = {}
        self.is_away = False

    async def read(self, table, key=""):
        """Return a row."""
        if self.is_away:
            raise PlatformError("away")
        value = self.values.get((table, key))
        return RowPage([StoredRow(key, value, 1)] if value else [], 1, 0.0)

    async def write(self, table, key, value, expected=None):
        """Write a row or delete it."""
        self.values[table, key] = value
        return True


class Server:
    """Answer health checks."""

    def __init__(self):
        """Start healthy, as i-1."""
        self.name, self.status, self.asked, self.is_silent = b"i-1", 200, 0, False
        self.declared = []
        self.http = HttpServer(self._answer, Timeouts())

    async def _answer(self, connection, request):
        await read_body(connection, 100)
        assert request.target == b"/healthz", request
        self.asked += 1
        if self.is_silent:
            await asyncio.sleep(SILENT_S)
        headers = [(b"x-instance-id", self.name), *self.declared]
        send_response(connection, self.status, headers, b"")


def heartbeat(context, instance="i-1", started=2000, **changed):
    beat = Heartbeat(instance, "roster", context.address, 6, ServerState.SERVING, 5)
    return beat._replace(started_ms=started, **changed)


async def begin(context):
    """Start a daemon's part that knows its server, with nothing known."""
    row = context.row = OwnRow(context.rows, Member(KEY, "suva-1", "fiji", 1))
    adoption = Adoption(row, DIALECT)
    startup = Startup(asyncio.get_running_loop().time(), STARTED_MS, False)
    former = FormerProcess(startup, adoption)
    context.gate = Gate(lambda: EMPTY_SNAPSHOT, lambda: None, former_process=former)
    spare = iter([context.gate])
    context.gates = Gates(lambda: next(spare, None) or Gate(lambda: EMPTY_SNAPSHOT, lambda: None))
    context.taker = ServerRegistry(
        context.gates, None, 10, 6.0, adoption=adoption, health_path_of=HEALTH.get
    )
    context.writing = asyncio.create_task(row.run())
    try:
        page = await context.rows.read(TABLE, KEY)
    except PlatformError:
        return
    row.found(page.rows[0] if page.rows else None)


@given('a daemon that has heard of the server "i-1", and a store that keeps its row')
def heard(context):
    async def start():
        context.rows, context.server = Rows(), Server()
        context.address = await context.server.http.start("127.0.0.1:0")
        await begin(context)
        context.taker._on_heartbeat(heartbeat(context), first_arrival())
        await asyncio.sleep(0.01)
        assert context.rows.values[TABLE, KEY], context.rows.values

    async def close():
        context.writing.cancel()
        context.server.http.stop_accepting()
        context.server.http.abort()

    context.closers.append(close)
    context.runner.run(start())


@given('the server there names itself "{name}"')
def names(context, name):
    context.server.name = name.encode()


@given("the server there answers 503")
def leaving(context):
    context.server.status = 503


@given("the server there says that it leaves")
def says_leaving(context):
    context.server.declared = [(DIALECT.leaving, b"1")]


@given("the server there names a limit of {limit:g} a second")
def names_limit(context, limit):
    context.server.declared = [(DIALECT.rate_limit, b"%g" % limit)]


@then("it keeps to {limit:g} a second")
def keeps_to(context, limit):
    assert context.gate.state.rate_limit.limit == limit, context.gate.state.rate_limit.limit


@when("an answer of the server says that it leaves")
def answer_says(context):
    async def say():
        now = asyncio.get_running_loop().time()
        head = AnswerHead(200, [(DIALECT.leaving, b"1")])
        context.gate.declarations.note_answer(head, True, now, now)
        await asyncio.sleep(0.01)

    context.sequence = 6
    context.runner.run(say())


@when("an answer of the server names a limit of {limit:g} a second")
def answer_names(context, limit):
    async def say():
        now = asyncio.get_running_loop().time()
        head = AnswerHead(200, [(DIALECT.rate_limit, b"%g" % limit)])
        context.gate.declarations.note_answer(head, True, now, now)

    context.runner.run(say())
    keeps_to(context, limit)


@then("it has no limit from the process before")
def no_limit(context):
    assert context.gate.state.rate_limit.limit is None, context.gate.state.rate_limit.limit


@when("nothing else happens")
def nothing_happens(context):
    pass


@when("its registration expires")
def expires(context):
    async def expire():
        context.gate.expire(asyncio.get_running_loop().time() + 60)
        assert context.gate.announcement is None

    context.runner.run(expire())


@when("it is heard at another address")
def moves(context):
    context.address = "127.0.0.1:9"
    context.runner.run(told(context, heartbeat(context, sequence=context.sequence)))
    context.sequence += 1


@when("a heartbeat says that it is ready")
def ready(context):
    context.runner.run(told(context, heartbeat(context, sequence=context.sequence)))


@when('the server is heard as "{instance}"')
def heard_as(context, instance):
    context.runner.run(told(context, heartbeat(context, instance, started=3000)))


@then("it is draining")
def is_draining(context):
    announced = [gate.announcement for gate in context.gates.all if gate.announcement]
    assert [a.state for a in announced] == [ServerState.DRAINING], announced


@given("the server there is gone")
def gone(context):
    async def stop():
        context.server.http.stop_accepting()

    context.runner.run(stop())


@given("the server there never answers")
def silent(context):
    context.server.is_silent = True


@given("the store is away")
def away(context):
    context.rows.is_away = True


async def told(context, what):
    if isinstance(what, Departure):
        context.taker._on_departure(what, first_arrival())
    else:
        context.taker._on_heartbeat(what, first_arrival())
    await asyncio.sleep(0.01)


@when("the server drains")
def drains(context):
    beat = heartbeat(context, state=ServerState.DRAINING, sequence=6)
    context.runner.run(told(context, beat))


@when("the server departs")
def departs(context):
    context.runner.run(told(context, Departure("i-1")))


@when('a heartbeat of "{instance}" comes that was started before')
def older(context, instance):
    context.runner.run(told(context, heartbeat(context, instance, 1000, sequence=99)))


@when("the daemon starts again")
def starts_again(context):
    async def again():
        context.writing.cancel()
        await begin(context)
        adopting = asyncio.create_task(context.taker.adopt())
        await asyncio.wait([adopting], timeout=ADOPTED_WITHIN_S)
        adopting.cancel()

    context.runner.run(again())


@given('another server at the address says that it is "{name}"')
def says_name(context, name):
    context.server.name = name.encode()


@given("the store has lost the row")
def lost_row(context):
    context.rows.values.clear()


@when('the server is heard as "{instance}", started at {started:d} ms')
def heard_started(context, instance, started):
    async def hear():
        context.taker._on_heartbeat(heartbeat(context, instance, started), first_arrival())
        await asyncio.sleep(0.01)

    context.runner.run(hear())


@when("the store is back and has no row")
def store_back(context):
    async def back():
        context.rows.is_away = False
        context.row.found(None)
        context.gate.expire(asyncio.get_running_loop().time())

    context.runner.run(back())


@then("slots are held for the former process: {held}")
def slots_held(context, held):
    async def free():
        return admission.free_slots(context.gate.state, asyncio.get_running_loop().time())

    assert context.gate.announcement is not None
    assert context.runner.run(free()) == (0 if held == "yes" else 6)


@then("its slots are held for the former process")
def all_held(context):
    slots_held(context, "yes")


@then("no slot is held for the former process")
def none_held(context):
    slots_held(context, "no")


@then('it serves for "{instance}"')
def serves(context, instance):
    assert context.gate.state.server_state is ServerState.SERVING
    assert context.gate.announcement.instance == instance, context.gate.announcement


@then("it serves for no one")
def serves_none(context):
    assert context.gate.state.server_state is ServerState.NONE, context.gate.announcement


@then("it serves for no one, and has asked no one")
def asked_none(context):
    serves_none(context)
    assert not context.server.asked


@given("a member of a fleet of {size:d}, {near:d} in its data centre")
def member_of(context, size, near):
    members = [
        Member(f"10.0.{i // 250}.{i % 250}:7400", "a" if i < near else "b", "r", 1)
        for i in range(size)
    ]
    context.near = {member.address for member in members[1:near]}
    context.node = node.Node(members[0], membership.Timing())
    membership.merge(context.node.view, members[1:], 0.0)


@when("the server beside it changes")
def changes(context):
    moment = node.Moment(1.0, 1.0)
    context.effects = node.update_own_record(
        context.node, moment, random.Random(1), server_state=ServerState.SERVING
    )


@then("between {least:d} and {most:d} members are told at once")
def told_at_once(context, least, most):
    sent = [effect for effect in context.effects if isinstance(effect, node.Send)]
    told = {effect.to for effect in sent}
    assert least <= len(told) <= most, len(told)
    assert context.near <= told, context.near - told
    for effect in sent:
        (word,) = effect.envelope.gossip
        assert word.address == context.node.view.me.address, word
        assert word.server_state is ServerState.SERVING, word


@when("it leaves, and time passes")
def leaves(context):
    moment, rng = node.Moment(1.0, 1.0), random.Random(1)
    node.leave(context.node, moment, rng)
    context.effects = node.tick(context.node, moment, rng)


@then("nothing fails")
def nothing_fails(context):
    assert not [effect for effect in context.effects if not isinstance(effect, node.Send)]


WRONG = {
    "no slots": {"slots": 0},
    "an address that is none": {"address": "nowhere"},
    "a text for the slots": {"slots": "six"},
}


@given("the row there has {fault}")
def wrong_row(context, fault):
    member, (kept,) = msgspec.json.decode(context.rows.values[TABLE, KEY])
    named = dict(zip(Announcement._fields, kept, strict=True))
    wrong = msgspec.json.encode([member, [list({**named, **WRONG.get(fault, {})}.values())]])
    context.rows.values[TABLE, KEY] = wrong if fault in WRONG else b"\xff\x00"
