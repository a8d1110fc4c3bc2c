"""Steps for the platform's adapter and for metrics."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from hornbeamgw.backends import PlatformError, factories_by_name
from hornbeamgw.core.table import Condition, Write
from hornbeamgw.testing.fleet import request_json
from hornbeamgw.testing.local import LocalFleet, wait_for
from hornbeamgw.testing.platform import StandInPlatform

TIMEOUT_S = 0.3
ABSENT = Condition(None)


@given("a stand-in platform and the adapter for it")
def stand_in(context):
    async def start():
        context.standin = StandInPlatform()
        context.address = await context.standin.start("127.0.0.1:0")
        context.platform = factories_by_name["http"](context.address, TIMEOUT_S)

    async def close():
        context.standin.close()

    context.runner.run(start())
    context.closers.append(close)


def transact(context, *writes):
    return context.runner.run(context.platform.table.transact(writes))


def read(context, key):
    return context.runner.run(context.platform.table.read(key))


@when('row "a" is written where there is none')
def write_absent(context):
    assert transact(context, Write("a", b"1", ABSENT))


@then('writing rows "a" and "b" where there are none fails and leaves no row "b"')
def all_or_nothing(context):
    assert not transact(context, Write("b", b"1", ABSENT), Write("a", b"2", ABSENT))
    assert read(context, "b") is None and read(context, "a").value == b"1"


@then('writing row "a" by its tag succeeds, and by the old tag fails')
def by_tag(context):
    etag = read(context, "a").etag
    assert transact(context, Write("a", b"2", Condition(etag)))
    assert not transact(context, Write("a", b"3", Condition(etag)))
    assert read(context, "a").value == b"2"


@when('object "x" is stored twice')
def store(context):
    for _ in range(2):
        context.runner.run(context.platform.objects.put("x", b"whole"))


@then('it is read back as it was stored, and object "y" is not there')
def stored(context):
    assert context.runner.run(context.platform.objects.get("x")) == b"whole"
    assert context.runner.run(context.platform.objects.get("y")) is None


def fault(context, **document):
    return context.runner.run(request_json(context.address, "POST", "/control", document))


@given('the stand-in has the fault "{kind}" for the next {count:d} requests')
def next_requests(context, kind, count):
    fault(context, kind=kind, requests=count, delay=3 * TIMEOUT_S, rate=0)


@when('row "a" is read {count:d} times')
def read_times(context, count):
    context.errors = 0
    for _ in range(count):
        try:
            read(context, "a")
        except PlatformError:
            context.errors += 1


@then("{count:d} of the reads fail")
def reads_fail(context, count):
    assert context.errors == count, context.errors


@when('row "a" is written and the answer is lost')
def write_lost(context):
    try:
        transact(context, Write("a", b"1", ABSENT))
    except PlatformError:
        return
    raise AssertionError("the answer was not lost")


@then('row "a" is there')
def is_there(context):
    assert read(context, "a").value == b"1"


@given('the stand-in has the fault "outage" for a short time')
def for_a_time(context):
    fault(context, kind="outage", seconds=0.2)


@then('row "a" can be read again after it')
def read_again(context):
    async def read_until():
        failures = 0
        while True:
            try:
                await context.platform.table.read("a")
                return failures
            except PlatformError:
                failures += 1
                await asyncio.sleep(0.02)

    assert context.runner.run(asyncio.wait_for(read_until(), 20)) > 0


@then('the stand-in refuses the fault "{kind}"')
def refuses(context, kind):
    assert "expected one of" in fault(context, kind=kind)["error"]


class Sink(asyncio.DatagramProtocol):
    """Hold what a statsd client sends."""

    def __init__(self):
        self.lines = []

    def datagram_received(self, data, addr):
        self.lines += data.decode().splitlines()


@given("a daemon that reports to a statsd server")
def reports(context):
    fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)

    async def start():
        loop = asyncio.get_running_loop()
        transport, context.sink = await loop.create_datagram_endpoint(
            Sink, local_addr=("127.0.0.1", 0)
        )
        host, port = transport.get_extra_info("sockname")
        daemon = await fleet.start(statsd=f"{host}:{port}")
        daemon.calls.counts["calls.answered"] += 3

    context.runner.run(start())


@then("counters and gauges of the daemon arrive there")
def arrive(context):
    lines = context.sink.lines
    context.runner.run(wait_for(lambda: any("members" in line for line in lines)))
    assert "hornbeamgw.calls.answered:3|c" in lines, lines
    assert "hornbeamgw.members:1|g" in lines, lines
