"""Steps for backend servers that send bytes without end, as processes of their own."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import resource
import sys
import time
from typing import NamedTuple

import msgspec
from behave import given, then, when
from departures import config

from hornbeamgw.core.dialect import HORNBEAMGW
from hornbeamgw.core.membership import ServerState
from hornbeamgw.daemon.adoption import Adoption
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient
from hornbeamgw.testing.local import LocalFleet, wait_for
from hornbeamgw.testing.store import StandInStore

TIMEOUT_MS = 1000
OTHERS_INTERVAL_S = 0.05
HEARTBEAT_S = 1.5
# The daemon closes the connection to the server this long after the end of the call at the latest.
CLOSE_S = 0.5
MAX_GROWTH_BYTES = 32 << 20
# What seems to be an answer goes on for the 0.5 s of the route; it has to end 0.5 s later.
MAX_TOOK_S = MAX_PROCESSOR_S = 1.0
# Other calls take a few milliseconds.
OTHERS_S = 0.25


class Measured(NamedTuple):
    """What a call cost, in seconds and bytes."""

    status: int
    took_s: float
    processor_s: float
    growth_bytes: int
    closed_after_s: float
    others: list[tuple[int, float]]


def resident_bytes():
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


@given("a daemon beside a server that sends bytes without end")
def beside(context):
    async def begin():
        context.store = StandInStore()
        store_address = await context.store.start()
        context.store.put("op", "config", config())
        context.fleet = LocalFleet(context.scenario.name)
        context.flood = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hornbeamgw.testing.endless",
            stdout=asyncio.subprocess.PIPE,
        )
        address = (await context.flood.stdout.readline()).decode().strip()
        context.a = await context.fleet.start(
            address="127.0.0.1:0",
            seeds=(),
            directory=True,
            source="watched_row",
            platform_adapter="mesh",
            platform_address=store_address,
            calls_dialect="mesh",
            announcements="127.0.0.1:0",
        )
        await wait_for(lambda: context.a.control.versions.snapshot.version >= 3)
        context.beating = asyncio.create_task(beat(context, address))
        await wait_for(lambda: context.a.gate.state.server_state is ServerState.SERVING)

    async def close():
        context.beating.cancel()
        with contextlib.suppress(ProcessLookupError):
            context.flood.kill()
        await context.flood.wait()
        await context.fleet.close()
        context.a.announcements.stop_accepting()
        context.a.announcements.abort()
        context.store.close()

    context.closers.append(close)
    context.runner.run(begin())


async def beat(context, address):
    """Send heartbeats in place of the server."""
    client = HttpClient(context.fleet.addresses[0]["announcements"], 5.0)
    body = {"address": address, "info": {"service": "roster", "capacity": 6}}
    for sequence in itertools.count(1):
        body["status"] = {"state": "ready", "sequence": sequence}
        packed = msgspec.msgpack.encode(body)
        with contextlib.suppress(OSError, ConnectionLost):
            await client.request("PUT", "/-/instances/i-1", body=packed)
        await asyncio.sleep(HEARTBEAT_S)


async def call(context, target, timeout_ms):
    """Send a request; return the status, and 0 if the answer broke off."""
    host, _, port = context.fleet.callers(context.a).partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"GET /0/{target} HTTP/1.1\r\nhost: test.example\r\nx-request-id: q\r\n"
    writer.write(f"{head}x-timeout-ms: {timeout_ms}\r\nconnection: close\r\n\r\n".encode())
    received = last = b""
    try:
        while data := await reader.read(1 << 18):
            received, last = (received + data)[:4096], data
    except ConnectionError:
        return 0
    finally:
        writer.transport.abort()
    head, _, body = received.partition(b"\r\n\r\n")
    is_chunked = b"transfer-encoding: chunked" in head.lower()
    if is_chunked and not (body + last).endswith(b"0\r\n\r\n"):
        return 0
    return int(received.split()[1]) if received else 0


async def ask_others(context, took):
    while True:
        began = time.monotonic()
        status = await call(context, "ok", TIMEOUT_MS)
        took.append((status, time.monotonic() - began))
        await asyncio.sleep(OTHERS_INTERVAL_S)


async def measure(context, form, request, do_others_ask=True):
    others, before = [], resident_bytes()
    asking = asyncio.create_task(ask_others(context, others) if do_others_ask else asyncio.sleep(0))
    await asyncio.sleep(OTHERS_INTERVAL_S)
    peak = before

    async def watch():
        nonlocal peak
        while True:
            peak = max(peak, resident_bytes())
            await asyncio.sleep(0.02)

    watching = asyncio.create_task(watch())
    began, processor = time.monotonic(), time.process_time()
    status = await request
    took = time.monotonic() - began
    async with asyncio.timeout(30.0):
        closed = msgspec.json.decode(await context.flood.stdout.readline())
    closed_after = time.monotonic() - began - took
    await asyncio.sleep(0.2)
    processor = time.process_time() - processor
    watching.cancel()
    asking.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asking
    assert closed["form"] == form, closed
    return Measured(status, took, processor, peak - before, closed_after, others)


@when('a caller\'s request is answered with "{form}" without end')
def asks(context, form):
    request = call(context, form.replace(" ", "-"), TIMEOUT_MS)
    context.measured = context.runner.run(measure(context, form, request))


@then("the caller has an answer or the end of the connection in time")
def in_time(context):
    assert context.measured.took_s < MAX_TOOK_S, context.measured


@then("the connection to the server is closed soon after")
def closed(context):
    assert context.measured.closed_after_s < CLOSE_S, context.measured


@then("memory, processor and other calls are as bounded as they have to be")
def bounded(context):
    measured = context.measured
    assert measured.growth_bytes < MAX_GROWTH_BYTES, measured
    assert measured.processor_s < MAX_PROCESSOR_S, measured
    assert all(status == 200 for status, _ in measured.others), measured
    assert max((took_s for _, took_s in measured.others), default=0.0) < OTHERS_S, measured


@when('a caller\'s request is answered with "{form}" without end, and nobody else asks')
def asks_alone(context, form):
    request = call(context, form.replace(" ", "-"), TIMEOUT_MS)
    context.measured = context.runner.run(measure(context, form, request, False))


@then("the daemon has used less than {limit:g} s of the processor")
def processor_below(context, limit):
    assert context.measured.processor_s < limit, context.measured


@when('a health check of the server is answered with "{form}" without end')
def checks(context, form):
    async def check():
        adoption = Adoption(None, HORNBEAMGW._replace(instance=b"x-instance-id"))
        return await adoption.check(context.a.gate.announcement, "/0/" + form.replace(" ", "-"))

    context.measured = context.runner.run(measure(context, form, check()))


@then("the server isn't taken for a healthy one")
def not_healthy(context):
    assert context.measured.status is None, context.measured
