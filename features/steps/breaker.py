"""Steps for the breaker: its state by itself, and a gate beside a scripted server on loopback."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from hornbeamgw.core import breaker
from hornbeamgw.core.breaker import BreakerState
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Limits
from hornbeamgw.core.verdict import Verdict
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.testing.asker import HEAD, RecordingLink

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NOW = 100.0


@given("a breaker that has seen {count:d} early losses")
def seen(context, count):
    context.breaker, context.now = BreakerState(), NOW
    for _ in range(count):
        breaker.note_early_loss(context.breaker, context.now)


def pause_of(context):
    return breaker.refusal(context.breaker, True, context.now)


@then("nothing is sent for {ms:d} ms")
def nothing(context, ms):
    assert round(pause_of(context) * 1000) == ms, pause_of(context)


@then("after that one idempotent request is sent, and no other beside it")
def one(context):
    context.now += pause_of(context) + 0.001
    assert not pause_of(context)
    assert pause_of(context) > 0


@then("a request that may not be repeated is not the one to try")
def not_unsafe(context):
    context.now += 1.0
    assert breaker.refusal(context.breaker, False, context.now) > 0
    assert not pause_of(context)


@when("the try after each pause is lost {count:d} times")
def lost(context, count):
    for _ in range(count):
        context.now += pause_of(context) + 0.001
        assert not pause_of(context)
        breaker.note_early_loss(context.breaker, context.now)


@when("the try after the pause is answered")
def answered_try(context):
    context.now += pause_of(context) + 0.001
    breaker.note_sound(context.breaker)


@when("a request is answered")
def answered(context):
    breaker.note_sound(context.breaker)


@when("1 more early loss comes")
def one_more(context):
    breaker.note_early_loss(context.breaker, context.now)


@then("all is sent at once")
def all_sent(context):
    assert not pause_of(context) and not pause_of(context)


@then("all is sent at once, and the pause after 2 more losses is {ms:d} ms again")
def again(context, ms):
    all_sent(context)
    for _ in range(2):
        breaker.note_early_loss(context.breaker, context.now)
    nothing(context, ms)


@then("a loss after {early:d} ms of {expected:d} is early, and one after {late:d} ms is not")
def early_or_not(context, early, expected, late):
    assert breaker.is_early_loss(early / 1000, expected / 1000)
    assert not breaker.is_early_loss(late / 1000, expected / 1000)


# A gate


async def start_gate(context, answers):
    context.answers = answers

    async def on_connection(reader, writer):
        if context.answers and await reader.readuntil(b"\r\n\r\n"):
            writer.write(ANSWER)
        writer.close()

    context.scripted = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    host, port = context.scripted.sockets[0].getsockname()
    context.gate, context.asker, context.number = (
        Gate(lambda: EMPTY_SNAPSHOT, lambda: None),
        RecordingLink(),
        0,
    )
    serving = ServerState.SERVING
    context.gate.announce(Announcement("roster", f"{host}:{port}", 6, 9, serving, 1e12, "i-1"))

    async def close():
        context.scripted.close()

    context.closers.append(close)


@given("a gate beside a server that closes each connection at once")
def closing(context):
    context.runner.run(start_gate(context, False))


@given("a gate beside a server that closes each connection after its first answer")
def answering(context):
    context.runner.run(start_gate(context, True))


async def ask(context, idempotent=True):
    context.number += 1
    call = frames.Call(
        context.number, f"c-{context.number}", "roster", "safe-2", idempotent, 3000, 2, HEAD, b"",
        True, "r-0", 900, 900, 2, limits=Limits(100, 0, 100),
    )  # fmt: skip
    before = len(context.asker.sent)
    context.gate.on_frame(context.asker, call)
    async with asyncio.timeout(2):
        while len(context.asker.sent) == before:
            await asyncio.sleep(0.001)
    return context.asker.sent[-1]


@when("{count:d} lookups come one after the other")
def lookups(context, count):
    async def run():
        context.told = [await ask(context) for _ in range(count)]

    context.runner.run(run())


@then("at most {count:d} of them may have run")
def may_have_run(context, count):
    failures = [told.failure for told in context.told]
    context.not_run = [f for f in failures if f.verdict is Verdict.NOT_RUN]
    assert len(failures) - len(context.not_run) <= count, failures


@then("nothing is known of how long a lookup takes")
def nothing_known(context):
    assert (
        not context.gate.state.service_time_estimates.estimates_by_route
    ), context.gate.state.service_time_estimates


@then("the rest did not run and are told when to come back")
def rest(context):
    assert context.not_run and all(f.retry_after_ms > 0 for f in context.not_run)


@when("the server answers again")
def answers_again(context):
    context.answers = True


@when("the server announces itself")
def announces(context):
    async def announce():
        context.gate.announce(context.gate.announcement)

    context.runner.run(announce())


@then("an entry that may not be repeated is answered at once")
def entry_answered(context):
    told = context.runner.run(ask(context, idempotent=False))
    assert isinstance(told, frames.Reply), told


@then("a lookup is answered within a second")
def within_a_second(context):
    async def run():
        async with asyncio.timeout(1):
            while not isinstance(await ask(context), frames.Reply):
                await asyncio.sleep(0.02)

    context.runner.run(run())


@then("no lookup is refused")
def none_refused(context):
    assert not context.gate.counts["refused.breaker"], context.gate.counts
