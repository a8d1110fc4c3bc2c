"""Steps for the room of a server: two daemons, and a stand-in that counts what is at work."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import h11
from behave import given, then, when

from hornbeamgw.core.edit import Change, Edit
from hornbeamgw.core.membership import ServerState
from hornbeamgw.daemon.heads import VERDICT
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.testing.backend import HEALTH_PATH
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for
from hornbeamgw.testing.room import OnClose, Room

LIMIT_S = 10.0
WORK_S = 0.2
ROUTE = {
    "name": "lookups",
    "host": "test.example",
    "prefix": "/lookups",
    "methods": ["GET"],
    "service": "roster",
    "entry": "all",
    "idempotent": True,
    "deadline_ms": 3000,
}
BODIES = {
    "entry/all": {"name": "all", "owner": "o", "traffic_class": "c", "limits": {"slots": 9}},
    "service/roster": {"name": "roster", "owner": "o"},
    "route/lookups": ROUTE,
}
KINDS = {
    "works on behind a closed connection": OnClose.WORK,
    "answers all the same": OnClose.ANSWER,
    "drops what is cut off": OnClose.DROP,
}


def begin(context, slots, on_close):
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)
    context.number, context.told, context.work_s = 0, [], WORK_S

    async def start():
        context.daemon, context.other = await fleet.start(), await fleet.start()
        await context.daemon.committer.commit(edit_from_bodies(BODIES, "e"))
        context.backend = await fleet.start_backend(
            context.daemon, "roster", slots=slots, work=WORK_S, on_close=on_close
        )
        await wait_for(lambda: is_known(context))

    context.runner.run(start())


def is_serving(member):
    return member is not None and member.server_state is ServerState.SERVING


def is_known(context):
    address = context.daemon.control.view.me.address
    member = context.other.control.view.members_by_address.get(address)
    versions = {d.control.versions.snapshot.version for d in (context.daemon, context.other)}
    return is_serving(member) and versions == {1}


@given("a server with {slots:d} slots that {goes_on}, beside one of two daemons")
def server(context, slots, goes_on):
    begin(context, slots, KINDS[goes_on])


def name_health_path(context):
    async def name():
        body = {**BODIES["service/roster"], "health_path": HEALTH_PATH}
        change = Change(key="service/roster", based_on=1, body=body)
        edit = Edit(edit_id="h", author="test", changes=[change])
        await context.daemon.committer.commit(edit)
        daemons = (context.daemon, context.other)
        await wait_for(lambda: all(d.control.versions.snapshot.version == 2 for d in daemons))

    context.runner.run(name())


@given("it lets {count:d} requests wait, and its health checks wait for a slot, too")
def limits_itself(context, count):
    context.backend.room = Room(context.backend.options.slots, count)
    name_health_path(context)


@given("its health checks wait for nothing")
def checks_wait_for_nothing(context):
    name_health_path(context)


@then("the daemon knows that the server stops what is cut off")
def knows(context):
    assert context.daemon.gate.state.habits.stops_on_close, vars(context.daemon.gate.state.habits)


@then("the daemon does not know that the server stops what is cut off")
def does_not_know(context):
    habits = context.daemon.gate.state.habits
    assert habits.has_cut_any and not habits.stops_on_close, vars(habits)


@given("it allows {count:d} connections")
def allows(context, count):
    backend = context.backend
    backend.options = backend.options._replace(connections=count)
    known = context.daemon.gate.exchange.pool
    context.runner.run(wait_for(lambda: known.connections == count))
    context.open = Connections(backend)
    context.closers.append(context.open.stop)


class Connections:
    """Watch how many connections a stand-in has open to its daemon's gate."""

    def __init__(self, backend):
        """Start to watch."""
        self.most = 0
        self._backend = backend
        self._task = None

    async def watch(self):
        """Look again and again."""
        while True:
            self.most = max(self.most, len(self._backend._server.connections))
            await asyncio.sleep(0.001)

    async def stop(self):
        """Look no longer."""
        self._task.cancel()

    def start(self):
        """Begin to look."""
        self._task = asyncio.get_running_loop().create_task(self.watch())


@then("the server has never had more than {count:d} connections at once")
def most_connections(context, count):
    assert 0 < context.open.most <= count, context.open.most


@when(
    "a caller asks now and then for {seconds:g} seconds,"
    " so that the daemon knows how long requests take"
)
def now_and_then(context, seconds):
    context.runner.run(ask_steadily(context, 4, seconds, 3000))


@when(
    "callers ask {rate:d} times a second for {seconds:g} seconds,"
    " and each connection to the server is lost after {lost_ms:d} ms"
)
def connections_lost(context, rate, seconds, lost_ms):
    async def lose():
        pool = context.daemon.gate.exchange.pool
        since = {}
        while True:
            now = asyncio.get_running_loop().time()
            busy = {c for c in pool._open if c.http.our_state is h11.DONE}
            since = {c: since.get(c, now) for c in busy}
            for connection, at in since.items():
                if now - at > lost_ms / 1000:
                    connection.transport.abort()
            await asyncio.sleep(0.005)

    async def run():
        losing = asyncio.create_task(lose())
        await ask_steadily(context, rate, seconds, 3000)
        losing.cancel()

    context.runner.run(run())


@given("each request takes {seconds:g} seconds")
def takes(context, seconds):
    context.backend.options = context.backend.options._replace(work=seconds)


async def ask(context, deadline_ms, leave_s=LIMIT_S, daemon=None):
    context.number += 1
    client = HttpClient(context.fleet.callers(daemon or context.other), leave_s)
    headers = [
        (b"host", b"test.example"),
        (b"x-request-id", b"r%d" % context.number),
        (b"hornbeamgw-deadline-ms", b"%d" % deadline_ms),
    ]
    try:
        answer = await client.request("GET", "/lookups", headers)
        told = (header(answer.headers, VERDICT) or b"answered").decode()
    except TimeoutError:
        told = "left"
    except (ConnectionLost, OSError, h11.ProtocolError):
        told = "broken"
    finally:
        client.close()
    context.told.append(told)


async def ask_steadily(context, rate, seconds, deadline_ms, leave_s=LIMIT_S, leavers=0):
    """Ask at a rate; of three callers, so many leave after a time."""
    if "open" in context:
        context.open.start()
    clock = asyncio.get_running_loop().time
    began, asking = clock(), []
    while clock() < began + seconds:
        patience = leave_s if len(asking) % 3 < leavers else LIMIT_S
        asking.append(asyncio.create_task(ask(context, deadline_ms, patience)))
        await asyncio.sleep(max(0.0, began + len(asking) / rate - clock()))
    await asyncio.gather(*asking)
    await wait_for(lambda: not context.backend.running)


LEAVERS = {"all of them": 3, "two thirds of them": 2, "a third of them": 1}


@when(
    "callers ask {rate:d} times a second for {seconds:g} seconds,"
    " and {who} leave after {leave_ms:d} ms"
)
def leave(context, rate, seconds, who, leave_ms):
    context.told = []
    context.runner.run(ask_steadily(context, rate, seconds, 3000, leave_ms / 1000, LEAVERS[who]))


@when(
    "callers ask {rate:d} times a second for {seconds:g} seconds,"
    " and their deadlines pass after {deadline_ms:d} ms"
)
@when(
    "callers ask {rate:d} times a second for {seconds:g} second,"
    " and their deadlines pass after {deadline_ms:d} ms"
)
def deadlines(context, rate, seconds, deadline_ms):
    context.seconds = seconds
    context.runner.run(ask_steadily(context, rate, seconds, deadline_ms))


async def occupy(context, count, deadline_ms, daemon=None):
    """Let callers ask, and return their tasks once their requests run."""
    asking = [asyncio.create_task(ask(context, deadline_ms, daemon=daemon)) for _ in range(count)]
    await wait_for(lambda: context.backend.running == count)
    return asking


@when("{count:d} callers {where}, and the daemon beside the server is started again")
def started_again(context, count, where):
    asked = {"ask": context.other, "beside it ask": context.daemon}[where]

    async def run():
        asking = await occupy(context, count, 3000, asked)
        address = context.daemon.control.view.me.address
        admin = context.fleet.admin(context.daemon)
        await context.fleet.crash(context.daemon)
        context.daemon.admin.abort()
        context.daemon = await context.fleet.start(address=address, admin=admin)
        await wait_for(lambda: context.daemon.gate.announcement is not None)
        incarnation = context.daemon.control.view.me.incarnation
        members = context.other.control.view.members_by_address
        await wait_for(lambda: members[address].incarnation == incarnation)
        await wait_for(lambda: is_serving(members[address]))
        await asyncio.gather(*asking)

    context.runner.run(run())


@when(
    "{count:d} callers ask with deadlines of {deadline_ms:d} ms,"
    " and the daemon stands still for {pause_ms:d} ms"
)
def stands_still(context, count, deadline_ms, pause_ms):
    async def run():
        asking = await occupy(context, count, deadline_ms)
        # The daemons share the thread of this step, so both stand still.
        time.sleep(pause_ms / 1000)
        await asyncio.gather(*asking)

    context.runner.run(run())


@then("the server has never had more than {count:d} requests at once")
def at_most(context, count):
    room = context.backend.room
    assert room.peak_running <= count, (room.peak_running, room.over_room, Counter(context.told))


@then("at least {count:d} in 100 of those that stayed are answered, the second time")
def answered(context, count):
    stayed = [told for told in context.told if told != "left"]
    assert stayed.count("answered") >= count / 100 * len(stayed), Counter(context.told)


@then("at most {count:d} in 100 of what the server ran is not answered")
def wasted(context, count):
    ran = len(context.backend.runs_by_id)
    unanswered = ran - context.told.count("answered")
    assert unanswered <= count / 100 * ran, (unanswered, ran, Counter(context.told))


@then("the server has been used for at least {count:d} in 100 of the time")
def used(context, count):
    intervals = context.backend.work_intervals_by_id.values()
    worked = sum(end - begin for times in intervals for begin, end in times)
    available = context.backend.options.slots * context.seconds
    assert worked >= count / 100 * available, (worked, available, Counter(context.told))
