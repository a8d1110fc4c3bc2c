"""Steps for several backend servers beside one daemon, with scripted servers on loopback."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, StoredRow
from hornbeamgw.core import balancing, membership
from hornbeamgw.core.balancing import Load, candidate_of
from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.node import Envelope
from hornbeamgw.core.registration import Departure, Heartbeat
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Limits
from hornbeamgw.core.spreading import Have
from hornbeamgw.core.verdict import Reason, Verdict
from hornbeamgw.daemon import datagrams, frames, heads
from hornbeamgw.daemon.adoption import Adoption
from hornbeamgw.daemon.announcements import ServerRegistry
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response
from hornbeamgw.daemon.presence import TABLE, OwnRow, decode_member
from hornbeamgw.daemon.server_exchange import MAX_REPORTED_WAIT_MS
from hornbeamgw.testing.arrivals import first_arrival
from hornbeamgw.testing.asker import RecordingLink
from hornbeamgw.testing.local import wait_for

KEY = "10.0.0.9:7400"
ME = Member(KEY, "suva-1", "fiji", 1)
LIMITS = Limits(100, 0, 100)
HEAD = heads.encode_request(heads.RequestHead(b"GET", b"/0/", [(b"host", b"test.example")]))
ALONGSIDE_S = 0.02


class Rows:
    """Keep the daemon's row in memory."""

    def __init__(self):
        """Start without one."""
        self.value = None

    async def read(self, table, key=""):
        """Return the row."""
        if table != TABLE:
            raise PlatformError(table)
        return RowPage([StoredRow(KEY, self.value, 1)] if self.value else [], 1, 0.0)

    async def write(self, table, key, value, expected=None):
        """Keep the row."""
        self.value = value
        return True


class Server:
    """Answer every request at once, and count those that aren't health checks."""

    def __init__(self, name):
        """Take the id by which it names itself."""
        self.name, self.runs, self.address = name, 0, ""
        self.http = HttpServer(self._answer, Timeouts())

    async def start(self):
        """Listen on a port of its own."""
        self.address = await self.http.start("127.0.0.1:0")

    async def _answer(self, connection, request):
        await read_body(connection, 100)
        self.runs += request.target != b"/healthz"
        send_response(connection, 200, [(b"x-instance-id", self.name.encode())], b"{}")

    def close(self):
        """Stop at once."""
        self.http.stop_accepting()
        self.http.abort()


def begin_daemon(context):
    row = OwnRow(context.rows, ME)
    context.view = membership.MembershipState(ME, membership.Timing())
    context.gates = Gates(lambda: Gate(lambda: EMPTY_SNAPSHOT, lambda: on_change(context)))
    context.taker = ServerRegistry(
        context.gates,
        None,
        10,
        6.0,
        adoption=Adoption(row, Dialect(instance=b"x-instance-id")),
        health_path_of={"roster": "/healthz"}.get,
    )
    context.row = row
    context.writing = asyncio.create_task(row.run())


def on_change(context):
    membership.update_me(context.view, 0.0, **context.gates.member_fields())


async def heard(context, name, version, slots, address="", state=ServerState.SERVING):
    if not address:
        server = context.servers_by_name[name] = Server(name)
        await server.start()
        address = server.address
    context.sequence += 1
    beat = Heartbeat(name, "roster", address, slots, state, context.sequence, software=version)
    context.taker._process(beat, first_arrival())
    await asyncio.sleep(ALONGSIDE_S)


@given('a daemon beside the server "{name}" of version "{version}" with {slots:d} slots')
def beside(context, name, version, slots):
    async def begin():
        context.rows, context.servers_by_name, context.sequence = Rows(), {}, 0
        context.asker, context.number = RecordingLink(), 0
        begin_daemon(context)
        context.row.found(None)
        await heard(context, name, version, slots)

    async def close():
        context.writing.cancel()
        for server in context.servers_by_name.values():
            server.close()

    context.closers.append(close)
    context.runner.run(begin())


@when('the server "{name}" of version "{version}" with {slots:d} slots is started alongside')
def alongside(context, name, version, slots):
    context.runner.run(heard(context, name, version, slots))


@when('the server "{name}" of version "{version}" with {slots:d} slots is started at the address of'
      ' "{other}"')  # fmt: skip
def in_place(context, name, version, slots, other):
    address = context.servers_by_name[other].address
    context.runner.run(heard(context, name, version, slots, address))


@when("{count:d} more servers are started alongside")
def more(context, count):
    for index in range(count):
        context.runner.run(heard(context, f"i-{index + 10}", "v1", 1))


@when('the server "{name}" is heard at another address')
def moves(context, name):
    context.runner.run(heard(context, name, "v1", 2))


@when('the server "{name}" says goodbye')
def leaves(context, name):
    async def leave():
        context.taker._process(Departure(name), first_arrival())

    context.runner.run(leave())


@when('the server "{name}" says that it drains')
def drains(context, name):
    address = context.servers_by_name[name].address
    context.runner.run(heard(context, name, "v1", 2, address, ServerState.DRAINING))


@when("the daemon restarts")
def restarts(context):
    async def again():
        context.writing.cancel()
        begin_daemon(context)
        context.row.found((await context.rows.read(TABLE, KEY)).rows[0])
        await context.taker.adopt()

    context.runner.run(again())


@when("the daemon restarts and no server has announced itself yet")
def restarts_without_server(context):
    async def again():
        context.writing.cancel()
        begin_daemon(context)

    context.runner.run(again())
    assert not context.gates.announced(), context.gates.announced()


def records(context):
    return membership.split_by_server(context.view.me)


def number_of(context, name):
    return int(context.servers_by_name[name].address.partition(":")[2])


@then('its record tells of "{name}" with version "{version}" and {slots:d} slots')
def tells_of(context, name, version, slots):
    server = context.servers_by_name.get(name) or context.servers_by_name["i-1"]
    number = int(server.address.partition(":")[2])
    told = [(m.server, m.software, m.slots, m.server_state) for m in records(context)]
    assert (number, version, slots, ServerState.SERVING) in told, told


@then('its record does not tell of "{name}"')
def tells_nothing(context, name):
    announced = context.gates.announced().values()
    assert name not in [known.instance for known in announced], announced
    assert len(records(context)) == len(announced), records(context)


@then("its record tells of one server")
def one_server(context):
    (record,) = records(context)
    (announced,) = context.gates.announced().values()
    assert record.server == int(announced.address.partition(":")[2]), record


def targets(context):
    return [member.server for member in balancing.serving([context.view.me], "roster")]


@then("others may send calls to either of them")
def either(context):
    expected = {number_of(context, name) for name in ("i-1", "i-2")}
    assert set(targets(context)) == expected, targets(context)
    members = balancing.serving([context.view.me], "roster")
    keys = {candidate_of(member, Load(0.0)).key for member in members}
    assert len(keys) == 2, keys


@then('others may send calls to "{name}" alone')
def alone(context, name):
    assert targets(context) == [number_of(context, name)], targets(context)


async def call(context, server):
    """Send a call for a server by its number and return its first answer."""
    context.number += 1
    context.gates.on_frame(
        context.asker,
        frames.Call(
            context.number, f"c-{context.number}", "roster", "safe-2", True, 5000, 2, HEAD, b"",
            True, "r-0", 900, 900, 2, limits=LIMITS, server=server,
        ),
    )  # fmt: skip
    await wait_for(lambda: any(f.attempt == context.number for f in context.asker.sent))
    return next(f for f in context.asker.sent if f.attempt == context.number)


@then('a call for "{name}" runs there alone')
def runs_there(context, name):
    only_runs(context, name, number_of(context, name))


@then('a call that names no server runs at "{name}" alone')
def runs_at_first(context, name):
    only_runs(context, name, 0)


def only_runs(context, name, number):
    before = {each: server.runs for each, server in context.servers_by_name.items()}
    answer = context.runner.run(call(context, number))
    assert isinstance(answer, frames.Reply), answer
    ran = {each: server.runs - before[each] for each, server in context.servers_by_name.items()}
    assert ran == {each: int(each == name) for each in ran}, ran


@when('a call for "{name}" runs')
def runs(context, name):
    context.runner.run(call(context, number_of(context, name)))


@then("a call for a server that isn't here is refused as not run")
def refused(context):
    answer = context.runner.run(call(context, 9))
    assert isinstance(answer, frames.Refusal), answer
    assert answer.failure.verdict is Verdict.NOT_RUN, answer


@then("a call that names no server is refused as not run, with a finite wait")
def refused_with_finite_wait(context):
    answer = context.runner.run(call(context, 0))
    assert context.asker.sent == [answer], context.asker.sent
    assert isinstance(answer, frames.Refusal), answer
    assert answer.failure.verdict is Verdict.NOT_RUN, answer
    assert answer.failure.reason is Reason.NO_BACKEND, answer
    assert answer.free_slots == 0 and 0 <= answer.wait_ms <= MAX_REPORTED_WAIT_MS, answer
    assert [server.runs for server in context.servers_by_name.values()] == [0], answer


@then('it may have run by the word for "{name}", and an unknown one never will')
def resolved(context, name):
    server = number_of(context, name)

    async def ask(attempt):
        context.asker.sent.clear()
        context.gates.on_frame(context.asker, frames.Question(attempt, 10, server))
        return context.asker.sent[-1].may_have_run

    assert context.runner.run(ask(context.number))
    assert not context.runner.run(ask(context.number + 1))


@then('a late heartbeat of "{name}" changes nothing')
def late(context, name):
    before = context.gates.announced()
    address = context.servers_by_name[name].address
    context.runner.run(heard(context, name, "v1", 2, address))
    assert context.gates.announced() == before


@when('the server "{name}" is heard at "{address}"')
def heard_at(context, name, address):
    context.refusal = ""
    try:
        context.runner.run(heard(context, name, "v1", 1, address))
    except ValueError as error:
        context.refusal = str(error)


@then('it is refused with a line that names "{address}"')
def refused_by_address(context, address):
    assert address in context.refusal, context.refusal


@then("one more is refused with a line that names it")
def one_too_many(context):
    try:
        context.runner.run(heard(context, "i-99", "v1", 1))
    except ValueError as error:
        assert str(number_of(context, "i-99")) in str(error), error
        return
    raise AssertionError("taken")


@then("the record is the same after a datagram and after a row")
def same(context):
    me = context.view.me
    fleet = datagrams.fleet_hash("f")
    sent = datagrams.encode_datagram(fleet, Envelope(KEY, 1, 1, 1, [me], Have()))
    assert datagrams.decode_datagram(fleet, sent).gossip == [me]
    row = StoredRow(KEY, context.rows.value, 1)
    assert decode_member(row).address == KEY
