"""Steps for pacing: simulated time, and one large answer over real sockets."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from calls import BODIES

from hornbeamgw.core import pacing, placement, transfers
from hornbeamgw.core.balancing import Load
from hornbeamgw.core.pacing import LinkState
from hornbeamgw.core.placement import RouteTraits
from hornbeamgw.core.transfers import TransferState
from hornbeamgw.daemon.flow import Pacer, Urgency
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

BYTES_PER_MEGABIT = 125_000
ROSTER_BYTES = 90_000
SMALL_BYTES = 300
EVERY_S = 0.001


@given("a link of {width:g} Mbit/s")
def link(context, width):
    context.bandwidth = width * BYTES_PER_MEGABIT
    context.link = LinkState(context.bandwidth)


@when("{count:d} answers of 90 KB are written to it at once")
def written(context, count):
    """Write parts by turns as the pace allows; keep when each was written and is across."""
    size = pacing.part_bytes(context.link)
    left = [ROSTER_BYTES] * count
    context.parts, now, across = [], 0.0, 0.0
    while any(left):
        for answer in range(count):
            part = min(size, left[answer])
            if not part:
                continue
            left[answer] -= part
            now += pacing.wait_for_part(context.link, now)
            pacing.note_part(context.link, part, now)
            if context.bandwidth:
                across = max(across, now) + part / context.bandwidth
            context.parts.append((now, across, answer))


@then("no small message waits longer than {wait:d} ms")
def small_waits(context, wait):
    end = context.parts[-1][0]
    moments = [step * EVERY_S for step in range(round(end / EVERY_S))]
    longest = 0.0
    for moment in moments:
        before = [across for at, across, _ in context.parts if at <= moment]
        longest = max(longest, before[-1] - moment)
    assert longest <= wait / 1000, longest


@then("the link is used to at least {part:g} of its width")
def used(context, part):
    last = context.parts[-1][1]
    ideal = sum(ROSTER_BYTES for _ in {answer for _, _, answer in context.parts})
    assert ideal / context.bandwidth / last >= part, last


@given("a pacer for a link of {width:g} Mbit/s")
def pacer(context, width):
    context.bandwidth = width * BYTES_PER_MEGABIT
    context.order, context.sent_at = [], {}


async def send_by(pacer, context, kilobytes, began, urgency=None):
    left = kilobytes * 1000
    while left:
        part = min(pacer.part_bytes, left)
        await pacer.wait_to_send(part, left, urgency)
        left -= part
    context.order.append(kilobytes)
    context.sent_at[kilobytes] = asyncio.get_running_loop().time() - began


def send_all(context, sizes, given_up=()):
    async def run():
        pacer, began = Pacer(context.bandwidth), asyncio.get_running_loop().time()
        tasks = {size: asyncio.create_task(send_by(pacer, context, size, began)) for size in sizes}
        await asyncio.sleep(0.02)
        for size in given_up:
            tasks[size].cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)

    context.runner.run(run())


@when("answers of {first:d}, {second:d}, {third:d} and {fourth:d} KB are sent by it at once")
def sent_at_once(context, first, second, third, fourth):
    send_all(context, (first, second, third, fourth))


@when(
    "answers of {first:d} and {second:d} KB are sent by it at once, and that of {gone:d} given up"
)
def given_up(context, first, second, gone):
    send_all(context, (first, second), (gone,))


def send_some_urgent(context, sizes, *urgent):
    async def run():
        loop = asyncio.get_running_loop()
        pacer, began = Pacer(context.bandwidth), loop.time()
        urgencies = {size: Urgency() for size in sizes}
        sending = [send_by(pacer, context, size, began, urgencies[size]) for size in sizes]
        tasks = [asyncio.create_task(each) for each in sending]
        for size in urgent:
            await asyncio.sleep(0.02)
            urgencies[size].mark_urgent(loop.time())
            pacer.reorder()
        await asyncio.gather(*tasks)

    context.runner.run(run())


@when(
    "answers of {first:d}, {second:d}, {third:d} and {fourth:d} KB are sent by it at once,"
    " and that of {urgent:d} becomes urgent"
)
def becomes_urgent(context, first, second, third, fourth, urgent):
    send_some_urgent(context, (first, second, third, fourth), urgent)


@when(
    "answers of {first:d}, {second:d}, {third:d} and {fourth:d} KB are sent by it at once,"
    " and that of {one:d} becomes urgent before that of {other:d}"
)
def both_urgent(context, first, second, third, fourth, one, other):
    send_some_urgent(context, (first, second, third, fourth), one, other)


@then("they are sent in the order {first:d}, {second:d}, {third:d} and {fourth:d}")
def in_order(context, first, second, third, fourth):
    assert context.order == [first, second, third, fourth], context.order


@then("they are sent in the order {only:d}")
def only_one(context, only):
    assert context.order == [only], context.order


@then("the one of {size:d} KB is sent within {ms:d} ms")
def sent_within(context, size, ms):
    assert context.sent_at[size] <= ms / 1000, context.sent_at


@then("all of it is written at once")
def at_once(context):
    assert {at for at, _, _ in context.parts} == {0.0}


@given("a daemon with a link of {width:g} Mbit/s beside a server with 1 slot that answers 60 KB")
def narrow(context, width):
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)

    async def start():
        context.a = await fleet.start()
        context.b = await fleet.start(bandwidth=width)
        await context.a.committer.commit(edit_from_bodies(BODIES, "e"))
        context.backend = await fleet.start_backend(context.b, "roster", slots=1)
        await wait_for(lambda: context.b.control.versions.snapshot.version == 1)
        known = context.a.control.view.members_by_address
        b = context.b.control.view.me.address
        await wait_for(lambda: b in known and known[b].service == "roster")

    context.runner.run(start())


async def ask(context, name):
    client = HttpClient(context.fleet.callers(context.a), 15.0)
    headers = [(b"host", b"test.example"), (b"x-request-id", name.encode())]
    try:
        answer = await client.request("GET", "/rosters?size=60000", headers)
    finally:
        client.close()
    return asyncio.get_running_loop().time(), answer


@when("a caller elsewhere asks for a large answer, and another {ms:d} ms later")
def both(context, ms):
    async def run():
        first = asyncio.create_task(ask(context, "first"))
        await asyncio.sleep(ms / 1000)
        second = asyncio.create_task(ask(context, "second"))
        await wait_for(lambda: context.backend.runs_by_id["second"] == 1)
        context.begun_at = asyncio.get_running_loop().time()
        context.answers = [await first, await second]

    context.runner.run(run())


@then("the server has begun the second before the first has arrived")
def overlapping(context):
    assert context.begun_at < context.answers[0][0] - 0.1, (context.begun_at, context.answers[0][0])


@then("both callers get the whole answer")
def whole(context):
    assert [len(answer.body) for _, answer in context.answers] == [60000, 60000]


@when("answers of {sizes} KB have been sent")
def answers_sent(context, sizes):
    context.transfers, context.traits = TransferState(), RouteTraits(1.0)
    for kilobytes in map(int, sizes.split(",")):
        transfers.note_size(context.transfers, "r", kilobytes * 1000)
        placement.note_answer(context.traits, Load(0.0), 0.1, kilobytes * 1000)


@then(
    "the next one is expected to have {kilobytes:d} KB,"
    " by the daemon of its server and that of its caller"
)
def expected_size(context, kilobytes):
    expected = (transfers.expected_size(context.transfers, "r"), context.traits.size)
    assert [round(size / 1000) for size in expected] == [kilobytes] * 2, expected
