"""Steps for runs of backend servers: a gate beside a server on loopback whose address is reused."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import given, then, when

from hornbeamgw.core.dialect import Dialect
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Limits
from hornbeamgw.core.verdict import Verdict
from hornbeamgw.daemon import backend_pool, frames
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http1 import dial, header
from hornbeamgw.daemon.http_server import HttpServer, Timeouts, read_body, send_response
from hornbeamgw.testing.asker import HEAD, RecordingLink
from hornbeamgw.testing.local import wait_for
from properties import server_runs_soak

EXPECTED = b"x-expect-instance"
DIALECT = Dialect(expected_instance=EXPECTED, instance=b"x-instance-id", other_instance_status=421)
LIMITS = Limits(100, 0, 100)
# Long enough for a request that is wrongly sent to arrive.
SETTLE_S = 0.1
TTL_S = 0.5
# Seeds 1, 2 and 4 showed requests at the server of another service.
SEEDS = (1, 2, 3, 4)


class Server:
    """Record which requests arrive on which connections, and answer them when told to."""

    def __init__(self):
        """Start with nothing received."""
        self.http = HttpServer(self._answer, Timeouts())
        self.expected, self.connections = [], []
        self.may_answer, self.status = asyncio.Event(), 200

    async def _answer(self, connection, request):
        await read_body(connection, 100)
        self.expected.append((header(request.headers, EXPECTED) or b"").decode())
        self.connections.append(connection)
        await self.may_answer.wait()
        send_response(connection, self.status, [], b"")


def call_for(service, number):
    return frames.Call(
        number, f"c-{number}", service, f"unsafe-{service}", False, 5000, 2, HEAD, b"", True,
        f"r-{service}", 4000, 4000, limits=LIMITS,
    )  # fmt: skip


def announce(context, instance, service, started_ms=0, state=ServerState.SERVING):
    expires_at = asyncio.get_running_loop().time() + TTL_S
    context.gate.announce(
        Announcement(
            service, context.address, 1, 10, state, expires_at, instance, 0.0, started_ms, "v1"
        )
    )


async def begin(context, requests, instance="i-1", started_ms=1000):
    context.server = Server()
    context.address = await context.server.http.start("127.0.0.1:0")
    context.gate = Gate(lambda: EMPTY_SNAPSHOT, lambda: None, DIALECT)
    context.replaced = []
    Gates(lambda: context.gate).on_replaced = context.replaced.append
    context.link = RecordingLink()
    announce(context, instance, "entries", started_ms)
    for number in range(requests):
        context.gate.on_frame(context.link, call_for("entries", number))
    if requests:
        await wait_for(lambda: context.server.expected)
    assert not context.link.sent, context.link.sent

    async def close():
        context.server.http.stop_accepting()
        context.server.http.abort()

    context.closers.append(close)


def later_start(context):
    announce(context, "i-2", "racebook", 2000)


def unknown_start(context):
    announce(context, "i-2", "racebook")


def expires(context):
    context.gate.expire(asyncio.get_running_loop().time() + TTL_S)


def after_expiry(context):
    expires(context)
    later_start(context)


def without_name(context):
    announce(context, "", "racebook")


def replaced(context):
    context.gate.remove_server()


def leaves(context):
    context.gate.drain("the backend server leaves")
    context.gate.remove_server()


HAPPENS = {
    "another service has the address and was started later": later_start,
    "another service has the address and its start isn't known": unknown_start,
    'another service has the address, after "i-1" has expired': after_expiry,
    "a server without a name announces another service there": without_name,
    '"i-1" is replaced, as an answer of another server says': replaced,
    '"i-1" leaves': leaves,
    '"i-1" expires': expires,
}


@given('a gate beside a server of "entries" with 1 slot, and {count:d} requests for it')
@given('a gate beside a server of "entries" with 1 slot, and {count:d} request for it')
def gate_with_requests(context, count):
    context.runner.run(begin(context, count))


@given('a gate beside a server of "entries" without a name, and {count:d} requests for it')
def gate_without_name(context, count):
    context.runner.run(begin(context, count, "", 0))


@given('a gate beside a server of "entries" with 1 slot')
def gate_without_requests(context):
    context.runner.run(begin(context, 0))


def add_event_steps():
    """Add a step for each event, by which servers change at the address."""

    def step_of(event):
        def step(context):
            async def run():
                event(context)
                await asyncio.sleep(SETTLE_S)

            context.runner.run(run())

        return step

    for text, event in HAPPENS.items():
        when(text)(step_of(event))


add_event_steps()


@when("a request for it is accepted, and before it is sent {happens}")
def before_sent(context, happens):
    async def run():
        context.gate.on_frame(context.link, call_for("entries", 0))
        HAPPENS[happens](context)
        await asyncio.sleep(SETTLE_S)

    context.runner.run(run())


@when("a request for it is accepted, and while a connection is opened, {happens}")
def while_opened(context, happens):
    async def run():
        opening, may_open = asyncio.Event(), asyncio.Event()

        async def dial_slowly(address):
            opening.set()
            await may_open.wait()
            return await dial(address)

        with mock.patch.object(backend_pool, "dial", dial_slowly):
            context.gate.on_frame(context.link, call_for("entries", 0))
            await opening.wait()
            HAPPENS[happens](context)
            may_open.set()
            await asyncio.sleep(SETTLE_S)

    context.runner.run(run())


@when('"i-1" says that it is starting')
def says_starting(context):
    async def run():
        announce(context, "i-1", "entries", 1000, ServerState.STARTING)

    context.runner.run(run())


@when('the server has the name "i-1" and another start')
def same_name(context):
    async def run():
        # An earlier start, as after a clock was set back, so that the first request goes on.
        announce(context, "i-1", "entries", 900)

    context.runner.run(run())


@when("the server answers what it has got")
def answers(context):
    async def run():
        context.server.may_answer.set()
        await asyncio.sleep(SETTLE_S)

    context.runner.run(run())


@when("the first request is answered")
def answered(context):
    async def run():
        context.server.may_answer.set()
        await wait_for(lambda: context.link.sent)
        await asyncio.sleep(SETTLE_S)

    context.runner.run(run())
    assert isinstance(context.link.sent[0], frames.Reply), context.link.sent


@when("the first request is answered as one for another instance")
def answered_other(context):
    async def run():
        context.server.status = 421
        context.server.may_answer.set()
        await wait_for(lambda: context.link.sent)

    context.runner.run(run())
    assert context.link.sent[0].failure.verdict is Verdict.NOT_RUN, context.link.sent


@then('"i-1" still serves at the gate')
def still_serves(context):
    assert not context.replaced, context.replaced
    assert context.gate.state.server_state is ServerState.SERVING


@when('a request for "racebook" is accepted')
def accepted(context):
    async def run():
        context.gate.on_frame(context.link, call_for("racebook", 9))
        await wait_for(lambda: len(context.server.expected) == 2)

    context.runner.run(run())


@then('it was sent on a connection of its own, for "i-2"')
def own_connection(context):
    first, second = context.server.connections
    assert first is not second
    assert context.server.expected == ["i-1", "i-2"], context.server.expected


@when('"i-1" is heard again')
def heard_again(context):
    async def run():
        announce(context, "i-1", "entries", 1000)

    context.runner.run(run())


@when('another request for "entries" is accepted or refused')
def another(context):
    async def run():
        context.gate.on_frame(context.link, call_for("entries", 9))
        await asyncio.sleep(SETTLE_S)

    context.runner.run(run())


@then("the {count:d} that waited are refused as not run")
def waited_refused(context, count):
    refused = [f for f in context.link.sent if isinstance(f, frames.Refusal) and f.attempt]
    verdicts = [f.failure.verdict for f in refused]
    assert verdicts == [Verdict.NOT_RUN] * count, context.link.sent


@then("it is refused as not run")
def one_refused(context):
    (refusal,) = context.link.sent
    assert isinstance(refusal, frames.Refusal), refusal
    assert refusal.failure.verdict is Verdict.NOT_RUN, refusal


@then('the server has got just the first one, for "{instance}"')
def got_first(context, instance):
    assert context.server.expected == [instance], context.server.expected


@then('the server has got just the first one, for ""')
def got_first_without_name(context):
    got_first(context, "")


@then("the first connection is closed")
def first_closed(context):
    first, second = context.server.connections
    assert first.lost and not second.lost


@then("the server has got nothing")
def got_nothing(context):
    assert not context.server.expected, context.server.expected


@then("nothing is counted for the server that is there now")
def nothing_counted(context):
    told = context.gate.tally(0, context.gate.announcement)
    assert not told.counts_by_route, told


@when("servers of two services get an address in turn with fixed seeds")
def in_turn(context):
    context.seeds, context.soaks = SEEDS, server_runs_soak.play(SEEDS)


@when("servers of two services get an address in turn with seeds {first:d} to {last:d}")
def in_turn_with_seeds(context, first, last):
    context.seeds, context.soaks = range(first, last + 1), []
    at_once = server_runs_soak.SEEDS_AT_ONCE
    for start in range(0, len(context.seeds), at_once):
        context.soaks += server_runs_soak.play(context.seeds[start : start + at_once])


@then("each ran only what was for it, and each request was answered once, truthfully")
def each_for_it(context):
    played = zip(context.seeds, context.soaks, strict=True)
    broken = {seed: soak.broken[:3] for seed, soak in played if soak.broken}
    assert not broken, broken
    assert all(soak.counts["ran"] > 20 for soak in context.soaks)
