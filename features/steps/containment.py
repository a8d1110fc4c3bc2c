"""Steps for errors that must not end what other requests share."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import msgspec
from behave import given, then, when

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, StoredRow
from hornbeamgw.core import balancing, breaker, node, slots
from hornbeamgw.core.balancing import Load
from hornbeamgw.core.breaker import BreakerState
from hornbeamgw.core.membership import Member, Probe, ServerState
from hornbeamgw.core.options import parse_settings
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Limits
from hornbeamgw.core.verdict import Verdict
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.containment import run_every
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response
from hornbeamgw.daemon.link import Link, dial
from hornbeamgw.daemon.presence import OwnRow
from hornbeamgw.daemon.reload import Reloader
from hornbeamgw.testing.asker import HEAD
from hornbeamgw.testing.local import LocalFleet, wait_for
from hornbeamgw.testing.skipping import SkippingLoop

LIMITS = Limits(10, 0, 10)
FAULTY = "faulty"
INTERVAL_S = 0.01
SOUND, OTHER = 1, 2
ME, ASKER = frames.Hello("f", "gate", 1), frames.Hello("f", "asker", 1)


def may_start(state, request, now):
    """Decide as the deadline policy does, and raise an error for one route."""
    if request.route == FAULTY:
        raise ZeroDivisionError(FAULTY)
    return True


slots.policies_by_name[FAULTY] = slots.policies_by_name["deadline"]._replace(may_start=may_start)


def call_of(number, route):
    return frames.Call(
        number, f"c-{number}", "roster", "bulk", False, 5000, 2, HEAD, b"", True, route, 5000,
        5000, limits=LIMITS,
    )  # fmt: skip


@given('a daemon whose gate raises an error on calls of route "faulty", with a link to it')
def faulty_gate(context):
    context.release = asyncio.Event()
    context.received, context.lost = [], []
    context.is_catalogue_faulty = False

    async def answer(connection, request):
        await read_body(connection, 100)
        await context.release.wait()
        send_response(connection, 200, [], b"{}")

    def snapshot():
        if context.is_catalogue_faulty:
            raise ZeroDivisionError
        return EMPTY_SNAPSHOT

    async def begin():
        gates = context.gates = Gates(lambda: Gate(snapshot, lambda: None, policy=FAULTY))
        context.server = HttpServer(answer, Timeouts())
        address = await context.server.start("127.0.0.1:0")
        expires_at = asyncio.get_running_loop().time() + 60
        gates.announce(Announcement("roster", address, 4, 10, ServerState.SERVING, expires_at))
        loop = asyncio.get_running_loop()
        context.listener = await loop.create_server(
            lambda: Link(ME, gates.on_frame, gates.on_lost, lambda fault: None), "127.0.0.1", 0
        )
        host, port = context.listener.sockets[0].getsockname()
        context.link = await dial(
            f"{host}:{port}",
            ASKER,
            lambda link, frame: context.received.append(frame),
            context.lost.append,
            lambda fault: None,
            1.0,
        )

    async def close():
        context.release.set()
        context.link.abort()
        context.listener.close()
        context.server.stop_accepting()
        context.server.abort()

    context.closers.append(close)
    context.runner.run(begin())


@given('a call of route "sound" runs there')
def sound_runs(context):
    async def run():
        context.link.send(call_of(SOUND, "sound"))
        await wait_for(lambda: context.gates.first.state.running_by_attempt)

    context.runner.run(run())


@when('a call of route "faulty" is sent on the same link')
def send_faulty(context):
    context.link.send(call_of(OTHER, FAULTY))


@when("the gate is asked for an outlook, and reading the catalogue raises an error")
def ask_outlook(context):
    context.is_catalogue_faulty = True
    context.link.send(frames.OutlookRequest(1, "roster", "bulk", "r", 5000, 5000, 5000, 0, False))


@when("the call is sent once more, and reading the catalogue raises an error")
def send_copy(context):
    context.is_catalogue_faulty = True
    context.link.send(call_of(SOUND, "sound"))


def answer_to(context, number):
    async def wait():
        await wait_for(lambda: context.lost or any(f.attempt == number for f in context.received))
        assert not context.lost, "the link was lost"
        return next(f for f in context.received if f.attempt == number)

    return context.runner.run(wait())


@then('the call of route "faulty" is refused as not run')
def refused(context):
    answer = answer_to(context, OTHER)
    assert isinstance(answer, frames.Refusal), answer
    assert answer.failure.verdict is Verdict.NOT_RUN and answer.failure.retry_after_ms > 0, answer


@then("the copy may have run")
def copy_may_have_run(context):
    answer = answer_to(context, SOUND)
    assert isinstance(answer, frames.Refusal), answer
    assert answer.failure.verdict is Verdict.MAY_HAVE_RUN, answer
    context.received.clear()


@then('the call of route "sound" is answered on the same link')
def answered(context):
    context.release.set()
    answer = answer_to(context, SOUND)
    assert isinstance(answer, frames.Reply) and answer.status == 200, answer


@then("the gate runs no call")
def runs_none(context):
    async def wait():
        await wait_for(lambda: not context.gates.first.state.running_by_attempt)
        await asyncio.wait_for(context.gates.wait_idle(), 1.0)

    context.runner.run(wait())


@given("two periodic checks, the first of which raises an error each time")
def two_checks(context):
    context.calls = {"first": 0, "second": 0}

    def first():
        context.calls["first"] += 1
        raise ZeroDivisionError

    def second():
        context.calls["second"] += 1

    context.checks = [first, second]


@when("a few intervals have passed")
def intervals(context):
    async def run():
        task = asyncio.create_task(run_every(INTERVAL_S, context.checks))
        await asyncio.wait([task], timeout=10 * INTERVAL_S)
        assert not task.done(), task
        task.cancel()

    context.runner.run(run())


@then("both were called more than once")
def called_both(context):
    assert min(context.calls.values()) > 1, context.calls


@given("two daemons that know each other")
def two_daemons(context):
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)

    async def start():
        context.daemons = [await fleet.start(), await fleet.start()]
        await wait_for(lambda: all(len(view_of(d)) == 2 for d in context.daemons))

    context.runner.run(start())


@when(
    "a caller of A makes a booking of {seconds:g} seconds,"
    " and both daemons stand still for {still:g} seconds"
)
def stand_still(context, seconds, still):
    async def run():
        client = HttpClient(context.fleet.callers(context.a), 10.0)
        target = f"/bookings?work_ms={seconds * 1000:.0f}"
        asking = asyncio.create_task(client.request("POST", target, [(b"host", b"test.example")]))
        await wait_for(lambda: context.backend.running)
        await asyncio.sleep(0.2)
        time.sleep(still)
        context.response = await asking
        client.close()

    context.runner.run(run())


@then("the booking is answered")
def booking_answered(context):
    assert context.response.status == 200, context.response


def view_of(daemon):
    return daemon.control.view.members_by_address


@when("one of them is made to send a number that does not fit into its message")
def send_unfit(context):
    async def send():
        first, second = context.daemons
        control = first.control
        to = second.control.view.me.address
        unfit = node.Send(to, node.envelope_without_gossip(control.node, to, Probe(1 << 40)))
        fit = node.Send(to, node.envelope_without_gossip(control.node, to, Probe(7)))
        before = second.control.meter.messages_in["probe"]
        control._execute([unfit, fit])
        await wait_for(lambda: second.control.meter.messages_in["probe"] > before)

    context.runner.run(send())


@then("both still probe each other")
def still_probe(context):
    async def wait():
        before = [d.control.meter.messages_in["probe"] for d in context.daemons]
        await wait_for(
            lambda: all(
                d.control.meter.messages_in["probe"] > known + 1
                for d, known in zip(context.daemons, before, strict=True)
            )
        )

    context.runner.run(wait())


def settings_text(slack):
    document = {"fleet": "f", "data_centre": "suva-1", "region": "fiji", "budget": {"slack": slack}}
    document |= {key: "127.0.0.1:7400" for key in ("address", "callers", "admin")}
    document["platform"] = {"address": "127.0.0.1:7401"}
    return msgspec.yaml.encode(document)


@given("a daemon that watches its settings file")
def watches(context):
    context.folder = tempfile.TemporaryDirectory(prefix="hornbeamgw-")
    context.path = Path(context.folder.name) / "settings.yaml"
    context.path.write_bytes(settings_text(50))
    loaded, problems = parse_settings(context.path.read_text(), "settings")
    assert loaded is not None, problems
    context.reloader = Reloader(str(context.path), loaded.settings, lambda settings: None)

    async def begin():
        context.watch = asyncio.create_task(context.reloader.run())

    async def close():
        context.watch.cancel()
        context.folder.cleanup()

    context.closers.append(close)
    context.runner.run(begin())


@when("the file is replaced by bytes that are not text")
def not_text(context):
    async def write():
        context.path.write_bytes(b"fleet: \xff\xfe")
        await asyncio.sleep(3.0)

    context.runner.run(write())


@when("the file is replaced by valid settings with another budget")
def another_budget(context):
    context.path.write_bytes(settings_text(77))


@then("the budget is that of the file")
def budget_read(context):
    async def wait():
        await wait_for(lambda: context.reloader.settings.budget_slack == 77)

    context.runner.run(wait())


class FailingRows:
    """Fail some writes, then keep what is written."""

    def __init__(self, failures):
        """Take the number of writes that fail."""
        self.failures, self.value = failures, None

    async def read(self, table, key=""):
        """Return the row."""
        row = StoredRow(key, self.value, 1)
        return RowPage([] if self.value is None else [row], 1, 0.0)

    async def write(self, table, key, value, expected=None):
        """Fail, or keep the row."""
        if self.failures:
            self.failures -= 1
            raise PlatformError("away")
        self.value = value
        return 1


@given(
    "a store that fails the next {count:d} writes, and a clock that skips what a daemon waits for"
)
def store_away(context, count):
    context.rows = FailingRows(count)


@when("a daemon writes its row")
def writes_row(context):
    row = OwnRow(context.rows, Member("10.0.0.9:7400", "suva-1", "fiji", 1))
    with asyncio.Runner(loop_factory=SkippingLoop) as runner:
        runner.run(row.write())


@then("the store has that row")
def has_row(context):
    assert context.rows.value is not None and not context.rows.failures, context.rows.failures


@when("{count:d} attempts at a server fail in a row")
def fail_in_a_row(context, count):
    load, state, now = Load(0.0), BreakerState(), 0.0
    for _ in range(count):
        now = max(now, state.open_until)
        balancing.note_failure(load, now)
        breaker.note_early_loss(state, now)
    context.left_alone = max(load.ejected_until, state.open_until) - now


@then("it is left alone for at most {seconds:d} seconds")
def left_alone(context, seconds):
    assert context.left_alone <= seconds, context.left_alone
