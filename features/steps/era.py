"""Steps for a store that comes back from a copy; the daemons are those of the outside versions."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from hornbeamgw.core.membership import Probe
from hornbeamgw.core.node import Envelope
from hornbeamgw.daemon import datagrams
from hornbeamgw.daemon.presence import BACKUP_MAX_AGE_S


@given("a copy of the store is kept")
def kept(context):
    context.copy = context.store.copy()


@when("the store comes back from that copy")
def comes_back(context):
    async def come():
        context.store.restore(context.copy)

    context.runner.run(come())


@when("{count:d} other rows are written")
def others(context, count):
    async def write():
        for index in range(count):
            context.store.put("other", f"row-{index}", b"x")

    context.runner.run(write())


@when('the store answers with "{fault}" from now on')
def fails(context, fault):
    context.store.fault = fault


@when("the store answers again")
def answers_again(context):
    context.store.fault = ""


@then("it has had no older version in force")
def no_older(context):
    for daemon in context.living:
        applied = daemon.control.versions.applied_at_by_version
        if daemon.control.versions.floor == 9:
            assert min(applied) >= 9, applied
    assert any(daemon.control.versions.floor == 9 for daemon in context.living)


@given("the daemons have been up for a long time")
def long_up(context):
    for daemon in context.living:
        daemon._own_row._stored_at -= 2 * BACKUP_MAX_AGE_S


@then("after {seconds:d} seconds no row was written")
def none_written(context, seconds):
    context.runner.run(asyncio.sleep(seconds))
    writes = context.store.calls_by_operation["rows-tx", ""] - context.counted["rows-tx", ""]
    assert writes == 0, context.store.calls_by_operation


@then("after {seconds:d} seconds version {number:d} still has the routes that it had")
def same_routes(context, seconds, number):
    context.runner.run(asyncio.sleep(seconds))
    for daemon in context.living:
        snapshot = daemon.control.versions.snapshot
        assert snapshot.version == number
        prefixes = [p for routes in snapshot.routes_by_host.values() for p in routes]
        assert len(prefixes) == 2, prefixes


@then("a datagram that tells of era {era:d} is read as such")
def era_told(context, era):
    sent = Envelope("127.0.0.1:1", 1, 2, 3, [], Probe(7), era)
    payload = datagrams.encode_datagram(5, sent)
    assert datagrams.decode_datagram(5, payload) == sent
