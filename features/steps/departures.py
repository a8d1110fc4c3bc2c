"""Steps for departures: daemons against the stand-in store, and a server that serves on."""

from __future__ import annotations

import asyncio
import base64
import time

import msgspec
from behave import given, then, when

from hornbeamgw.core import freshness
from hornbeamgw.core.membership import ServerState, Status
from hornbeamgw.daemon import plugins, presence
from hornbeamgw.daemon.directory import TABLE
from hornbeamgw.daemon.http1 import HttpClient, header
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response
from hornbeamgw.daemon.presence import DirectoryEntry
from hornbeamgw.testing.local import LocalFleet, wait_for
from hornbeamgw.testing.store import LATE, LOSE_ANSWER, OUTAGE, StandInStore

plugins.load("platform", ["mesh_platform"])

NAMES = ("A", "B", "C")
STARTED_MS = 1000
LATER_MS = 2000
# Longer than a late write of the stand-in store takes.
SETTLE_S = 0.8
CHECK_S = 0.3


def config(version=3, services=(("roster", "/healthz"),)):
    columns = ["name", "host", "prefix", "kind", "service", "timeout_ms", "slo_ms", "priority"]
    columns += ["attempts", "traffic_split"]
    row = ["r-0", "test.example", "/0/", "safe", "roster", 500, 200, 2, 2, None]
    document = {"version": version, "limits": {"idle_timeout_ms": 15000}}
    document["routes"] = {"columns": columns, "rows": [row]}
    document["services"] = {"columns": ["name", "health_path"], "rows": services}
    return msgspec.msgpack.encode(document)


class Server:
    """A server that says that it leaves, and goes on with what it gets."""

    def __init__(self):
        """Start as ready."""
        self.http = HttpServer(self._answer, Timeouts())
        self.address, self.started_ms, self.sequence = "", STARTED_MS, 0
        self.is_leaving, self.runs, self.declared = False, 0, []
        self.name = b"i-1"
        self.does_check_lie = False
        self.may_answer_check = asyncio.Event()
        self.may_answer_check.set()
        self.checks = 0

    async def _answer(self, connection, request):
        await read_body(connection, 100)
        headers = [(b"x-instance-id", self.name), *self.declared]
        if request.target == b"/healthz":
            self.checks += 1
            status = 503 if self.is_leaving and not self.does_check_lie else 200
            await self.may_answer_check.wait()
            send_response(connection, status, headers, b"")
            return
        self.runs += 1
        call_id = header(request.headers, b"x-request-id") or b""
        headers += [(b"x-request-id", call_id), (b"x-response-signature", b"s")]
        send_response(connection, 200, headers, b"done")

    def heartbeat(self, state="ready"):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return msgspec.msgpack.encode(
            {
                "address": self.address,
                "born": self.started_ms,
                "info": {"service": "roster", "capacity": 6},
                "status": {"state": state, "sequence": self.sequence},
            }
        )


def announcements_of_a(context):
    return context.fleet.addresses[context.fleet.daemons.index(context.a)]["announcements"]


async def tell(context, method, body, instance="i-1"):
    client = HttpClient(announcements_of_a(context), 5.0)
    try:
        return (await client.request(method, f"/-/instances/{instance}", body=body)).status
    finally:
        client.close()


async def start_daemon(context, name, address="127.0.0.1:0"):
    daemon = await context.fleet.start(
        address=address,
        seeds=(),
        directory=True,
        source="watched_row",
        platform_adapter="mesh",
        platform_address=context.store_address_by_name[name],
        platform_timeout=0.3,
        calls_dialect="mesh",
        announcements="127.0.0.1:0",
    )
    context.daemon_by_name[name] = daemon
    return daemon


async def end_daemon(context, daemon):
    daemon.announcements.stop_accepting()
    daemon.announcements.abort()
    await context.fleet.crash(daemon)


async def knows_all(context):
    living = list(context.daemon_by_name.values())
    for daemon in living:
        members = daemon.control.view.members_by_address
        for other in living:
            me = other.control.view.me
            await wait_for(
                lambda m=members, me=me: (
                    me.address in m
                    and m[me.address].status is Status.ALIVE
                    and m[me.address].incarnation == me.incarnation
                )
            )


@given('daemons A, B and C on the users\' platform, and a server "i-1" beside A that serves on')
def three(context):
    async def begin():
        context.store, context.server = StandInStore(), Server()
        context.store_address_by_name = {name: await context.store.start() for name in NAMES}
        context.store.put("op", "config", config())
        context.fleet, context.daemon_by_name = LocalFleet(context.scenario.name), {}
        for name in NAMES:
            daemon = await start_daemon(context, name)
            # Its row is written without waiting for a first server.
            daemon._own_row.set_servers(())
        context.a = context.daemon_by_name["A"]
        await knows_all(context)
        context.server.address = await context.server.http.start("127.0.0.1:0")
        assert await tell(context, "PUT", context.server.heartbeat()) == 200
        await wait_for(lambda: context.a.gate.state.server_state is ServerState.SERVING)
        # Held up by the network until the scenario lets it arrive.
        context.late = context.server.heartbeat()
        await wait_for(lambda: are_rows_written(context))

    async def close():
        context.server.http.stop_accepting()
        context.server.http.abort()
        await context.fleet.close()
        for daemon in context.fleet.daemons:
            daemon.announcements.abort()
        context.store.close()

    context.closers.append(close)
    context.runner.run(begin())


def are_rows_written(context):
    rows = {key[1]: row for key, row in context.store.rows_by_table_and_key.items()}
    addresses = [d.control.view.me.address for d in context.daemon_by_name.values()]
    if not all(address in rows for address in addresses):
        return False
    return b"i-1" in base64.b64decode(rows[address_of_a(context)].value)


async def leave(context, state="", body=None):
    context.server.is_leaving = True
    if state:
        return await tell(context, "PUT", context.server.heartbeat(state))
    told = {"born": context.server.started_ms} if body is None else body
    return await tell(context, "DELETE", msgspec.msgpack.encode(told))


@when("the server leaves, which is acknowledged")
def leaves(context):
    assert context.runner.run(leave(context)) == 200


@when("the server leaves, which isn't acknowledged")
def leaves_unacknowledged(context):
    assert context.runner.run(leave(context)) == 503


@when("the server says that it drains, which is acknowledged")
def drains(context):
    assert context.runner.run(leave(context, "draining")) == 200


@when("the server drains and then leaves, which is acknowledged")
def drains_and_leaves(context):
    drains(context)
    leaves(context)


@when("the server leaves without telling its start, which is acknowledged")
def leaves_without_start(context):
    assert context.runner.run(leave(context, body={})) == 200


@when("the server leaves")
def leaves_unheard(context):
    async def run():
        began = asyncio.get_running_loop().time()
        context.status = await leave(context)
        context.took = asyncio.get_running_loop().time() - began

    context.runner.run(run())


@when("the server says that it drains")
def drains_unheard(context):
    context.status = context.runner.run(leave(context, "draining"))


@then("that isn't acknowledged, within {seconds:d} second")
def not_acknowledged(context, seconds):
    assert context.status == 503, context.status
    assert context.took < seconds, context.took


@when("three other servers leave, which is acknowledged")
def others_leave(context):
    async def run():
        for name in ("i-7", "i-8", "i-9"):
            assert await tell(context, "DELETE", b"", name) == 200

    context.runner.run(run())


@when("an answer of the server has said that it leaves, and time passes")
def answer_says(context):
    async def run():
        context.server.is_leaving = True
        context.server.declared = [(b"server-leaving", b"1")]
        await ask(context, context.a)
        context.server.declared = []
        await wait_for(lambda: context.a.gate.state.server_state is ServerState.DRAINING)
        await asyncio.sleep(CHECK_S)

    context.runner.run(run())


def address_of_a(context):
    return context.a.control.view.me.address


async def kill(context, is_terminated=False):
    address = address_of_a(context)
    if is_terminated:
        context.a.on_signal()
        await context.a.run()
    await end_daemon(context, context.a)
    return address


async def start_again(context, address):
    context.a = await start_daemon(context, "A", address)
    await wait_for(lambda: context.a.control.versions.snapshot.version >= 3)


@when("A is killed and starts again")
def killed(context):
    async def run():
        await start_again(context, await kill(context))

    context.runner.run(run())


@when("A is terminated and starts again")
def terminated(context):
    async def run():
        await start_again(context, await kill(context, True))

    context.runner.run(run())


@given("the store answers nobody")
@when("the store answers nobody")
def store_away(context):
    context.store.fault = OUTAGE


@when("the store answers all daemons again")
def store_back(context):
    context.store.fault = ""


@given("the store doesn't answer A")
@when("the store doesn't answer A")
def store_away_for_a(context):
    context.store.set_fault_at(context.store_address_by_name["A"], OUTAGE)


@given("the store loses the next answer")
def store_loses(context):
    context.store.write_faults.append(LOSE_ANSWER)


@given("the store does the next write late")
def store_late(context):
    context.store.write_faults.append(LATE)


@given("the store has lost the rows of the other daemons")
def lost_rows(context):
    rows, own = context.store.rows_by_table_and_key, address_of_a(context)
    for table, key in list(rows):
        if table == TABLE and key != own:
            del rows[table, key]


@given("the other daemons have ended")
def others_end(context):
    async def run():
        for name in ("B", "C"):
            daemon = context.daemon_by_name.pop(name)
            await end_daemon(context, daemon)
            members = context.a.control.view.members_by_address
            address = daemon.control.view.me.address
            await wait_for(lambda m=members, a=address: m[a].status >= Status.DEAD)

    context.runner.run(run())


@when("A is killed, and starts again when {later}")
def starts_when(context, later):
    async def run():
        address = await kill(context)
        if later == "the store answers again":
            await asyncio.sleep(SETTLE_S)
            context.store.fault = ""
            context.store.set_fault_at(context.store_address_by_name["A"], "")
        await start_again(context, address)

    context.runner.run(run())


async def start_others_again(context):
    for name in ("B", "C"):
        daemon = context.daemon_by_name[name]
        await end_daemon(context, daemon)
        await start_daemon(context, name, daemon.control.view.me.address)


@when("the other daemons start again, which forget what they were told")
def others_start_again(context):
    async def run():
        await start_others_again(context)
        await knows_all(context)

    context.runner.run(run())


@when("A is killed, the other daemons start again, and A starts when the store answers again")
def all_start_again(context):
    async def run():
        address = await kill(context)
        context.store.fault = ""
        await start_others_again(context)
        await start_again(context, address)
        await knows_all(context)

    context.runner.run(run())


async def add_silent_daemons(context):
    """Store rows of daemons whose connections open and bring nothing."""
    member = context.a.control.view.me
    for _ in range(4):
        silent = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)

        async def close(silent=silent):
            silent.close()

        context.closers.append(close)
        host, port = silent.sockets[0].getsockname()
        address = f"{host}:{port}"
        entry = DirectoryEntry(member._replace(address=address, incarnation=1))
        context.store.put(TABLE, address, presence._encode(entry))


@when("A is killed, and starts again with rows of daemons that don't answer")
def starts_among_silent(context):
    async def run():
        address = await kill(context)
        for name in ("B", "C"):
            await end_daemon(context, context.daemon_by_name.pop(name))
        await add_silent_daemons(context)
        await start_again(context, address)

    context.runner.run(run())


@when("another server at the address is heard")
def another_heard(context):
    context.server.name = b"i-2"
    context.runner.run(tell(context, "PUT", context.server.heartbeat(), "i-2"))


@when("A is killed, and was started a while ago")
def started_long_ago(context):
    killed(context)
    context.a._server_registry._started_at -= freshness.MAX_LATENESS_S


@given("the server seems to have started in an hour")
def starts_in_future(context):
    async def run():
        context.server.started_ms = round(time.time() * 1000) + 3_600_000
        context.server.sequence = 0
        assert await tell(context, "PUT", context.server.heartbeat()) == 200
        context.late = context.server.heartbeat()

    context.runner.run(run())


@when("the server starts again at this moment and is heard")
def starts_now(context):
    context.server.is_leaving, context.server.sequence = False, 0
    context.server.started_ms = round(time.time() * 1000)
    heard(context)


@when("all daemons are killed, and start again when the store answers again")
def all_killed(context):
    async def run():
        addresses = {}
        for name, daemon in context.daemon_by_name.items():
            addresses[name] = daemon.control.view.me.address
            await end_daemon(context, daemon)
        await asyncio.sleep(SETTLE_S)
        context.store.fault = ""
        for name in ("B", "C"):
            await start_daemon(context, name, addresses[name])
        await start_again(context, addresses["A"])
        await knows_all(context)

    context.runner.run(run())


@when("all daemons are killed, {loss}, and they start again")
def all_killed_with_loss(context, loss):
    async def run():
        addresses = {}
        for name, daemon in context.daemon_by_name.items():
            addresses[name] = daemon.control.view.me.address
            await end_daemon(context, daemon)
        rows = context.store.rows_by_table_and_key
        if loss.startswith("the store comes back"):
            context.store.restore(context.copy)
        if loss.endswith("without rows"):
            for key in [key for key in rows if key[0] == TABLE]:
                del rows[key]
        if loss.startswith("another writer"):
            context.store.put(TABLE, addresses["A"], b"spoilt")
        for name in ("B", "C"):
            await start_daemon(context, name, addresses[name])
        await start_again(context, addresses["A"])
        await knows_all(context)

    context.runner.run(run())


@when("a heartbeat from before arrives")
def late_arrives(context):
    async def run():
        assert await tell(context, "PUT", context.late) == 200
        registry = context.a._server_registry
        await wait_for(lambda: not registry._verifications_by_instance)
        await asyncio.sleep(CHECK_S)

    context.runner.run(run())


@when("A can't reach the others, and the network holds up a heartbeat")
def cut_off(context):
    context.a._ledger._keepers = list
    context.late = context.server.heartbeat()


@when("the server is heard")
def heard(context):
    context.runner.run(tell(context, "PUT", context.server.heartbeat()))


@when("the server is heard twice on one connection")
def heard_twice(context):
    async def run():
        client = HttpClient(announcements_of_a(context), 5.0)
        for _ in range(2):
            body = context.server.heartbeat()
            assert (await client.request("PUT", "/-/instances/i-1", body=body)).status == 200
        client.close()

    context.runner.run(run())


@when("two heartbeats from before arrive, each on its own connection")
def two_late_arrive(context):
    latest = context.server.heartbeat()
    late_arrives(context)
    context.late = latest
    late_arrives(context)


@when("the server starts again under its name and is heard")
def server_starts_again(context):
    context.server.is_leaving, context.server.started_ms = False, LATER_MS
    context.server.sequence = 0
    heard(context)


@then("A serves for it within {seconds:d} second")
def serves_within(context, seconds):
    async def run():
        async with asyncio.timeout(seconds):
            await wait_for(lambda: context.a.gate.state.server_state is ServerState.SERVING)
        await ask(context, context.a)
        assert context.server.runs == 1, context.server.runs

    context.runner.run(run())


async def ask(context, daemon):
    client = HttpClient(context.fleet.callers(daemon), 5.0)
    headers = [(b"host", b"test.example"), (b"x-request-id", b"q"), (b"x-timeout-ms", b"400")]
    try:
        return (await client.request("GET", "/0/", headers)).status
    finally:
        client.close()


@then("no daemon sends the server a request")
def none_sends(context):
    async def run():
        before = context.server.runs
        statuses = [await ask(context, daemon) for daemon in context.daemon_by_name.values()]
        assert context.server.runs == before, statuses
        assert set(statuses) == {503}, statuses

    context.runner.run(run())


@then("no daemon sends the server a request, if it was acknowledged")
def none_sends_if_acknowledged(context):
    if context.status == 200:
        none_sends(context)


@then("A doesn't send the server a request")
def a_sends_none(context):
    async def run():
        assert await ask(context, context.a) == 503
        assert not context.server.runs

    context.runner.run(run())


@given("the server's health checks say that it serves")
def checks_lie(context):
    context.server.does_check_lie = True


@given("services have no health checks")
def no_checks(context):
    async def run():
        context.store.put("op", "config", config(4, (("roster", None),)))
        for daemon in context.daemon_by_name.values():
            await wait_for(lambda d=daemon: d.control.versions.snapshot.version == 4)
            assert not daemon.control.versions.snapshot.health_paths_by_service

    context.runner.run(run())


@given("the store answers")
def store_answers(context):
    assert not context.store.fault


@given("the server's health checks take a while")
def checks_take(context):
    context.server.may_answer_check.clear()


@when("A is killed, and the server leaves while A checks it")
def leaves_during_check(context):
    async def run():
        await start_again(context, await kill(context))
        await wait_for(lambda: context.server.checks)
        assert await leave(context) == 200
        context.server.may_answer_check.set()
        await asyncio.sleep(CHECK_S)

    context.runner.run(run())


@when("A is killed, and the server leaves without telling its start while A checks it")
def leaves_unclearly_during_check(context):
    async def run():
        await start_again(context, await kill(context))
        await wait_for(lambda: context.server.checks)
        assert await leave(context, body={}) == 200
        context.server.may_answer_check.set()
        await asyncio.sleep(CHECK_S)

    context.runner.run(run())


@given("the server starts again at this moment, and the network holds up its heartbeat")
def starts_unheard(context):
    async def run():
        await end_server(context)
        context.server.started_ms = round(time.time() * 1000)
        context.server.sequence = 0
        context.late = context.server.heartbeat()

    context.runner.run(run())


async def end_server(context):
    """Let A know nothing of the server, as after a start."""
    registry = context.a._server_registry
    registry.on_replaced("i-1")
    registry._known_runs_by_instance.clear()


@when("the server's message that it drains is overtaken by a heartbeat, and acknowledged")
def overtaken(context):
    async def run():
        draining, ready = context.server.heartbeat("draining"), context.server.heartbeat()
        assert await tell(context, "PUT", ready) == 200
        assert await tell(context, "PUT", draining) == 200
        await asyncio.sleep(CHECK_S)

    context.runner.run(run())


@when("a message of its earlier run that it drains arrives")
def earlier_run_drains(context):
    async def run():
        context.server.started_ms = STARTED_MS
        context.server.sequence = 50
        await tell(context, "PUT", context.server.heartbeat("draining"))

    context.runner.run(run())


@when("A has taken up the server")
def taken_up(context):
    async def run():
        await wait_for(lambda: context.a.gate.state.server_state is ServerState.SERVING)

    context.runner.run(run())
