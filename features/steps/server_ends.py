"""Steps for ends of servers: a gate beside a scripted server on loopback."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from hornbeamgw.core import quarantine
from hornbeamgw.core.finding import FindingKind
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Limits
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.end_watch import CrashDetector
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.testing.asker import HEAD, RecordingLink
from hornbeamgw.testing.local import wait_for


async def start_ending(context, how):
    sent = []

    async def on_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        sent.append(writer)
        if len(sent) < 2:
            return
        context.ending.close()
        for connection in sent:
            connection.transport.abort() if how == "resetting" else connection.close()

    context.ending = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    host, port = context.ending.sockets[0].getsockname()
    context.gate, context.asker = Gate(lambda: EMPTY_SNAPSHOT, lambda: None), RecordingLink()
    serving = ServerState.SERVING
    context.gate.announce(Announcement("lookup", f"{host}:{port}", 6, 9, serving, 1e12, "i-1"))


@given("a gate beside a server that ends under the second of two requests, by {how}")
def ending(context, how):
    context.runner.run(start_ending(context, how))


@when("both are sent")
def both_sent(context):
    async def run():
        for number in (1, 2):
            call = frames.Call(
                number, f"c-{number}", "lookup", "safe-2", True, 3000, 2, HEAD, b"", True, "r-0",
                limits=Limits(100, 0, 100), fingerprint=number,
            )  # fmt: skip
            context.gate.on_frame(context.asker, call)
        await wait_for(lambda: len(context.asker.sent) == 2)
        await wait_for(lambda: context.gate.counts["server_ended"])
        await asyncio.sleep(0.05)

    context.runner.run(run())


@then("one end is told, with both of them")
def one_end(context):
    assert context.gate.counts["server_ended"] == 1
    (finding,) = quarantine.findings(context.gate.quarantine.state)
    assert finding.kind is FindingKind.ENDED and set(finding.fingerprints) == {1, 2}, finding


@then("no end is told")
def no_end(context):
    context.runner.run(asyncio.sleep(0.1))
    assert not context.gate.counts["server_ended"], context.gate.counts


class Gone:
    """Stand for the connections to a server that is gone."""

    async def is_refused(self):
        """Say that nobody listens."""
        return True


@given("a watch over a server that is gone")
def watch_gone(context):
    context.ran = []
    context.watch = CrashDetector(Gone(), context.ran.extend)


@when("{count:d} requests are given up on, and then one is lost")
def given_up(context, count):
    async def run():
        for fingerprint in range(1, count + 1):
            context.watch.record_abandoned(fingerprint)
        context.watch.record_lost(count + 1)
        await wait_for(lambda: context.ran)

    context.lost = count + 1
    context.runner.run(run())


@then("the one that was lost is named first")
def lost_first(context):
    assert context.ran[0] == context.lost, context.ran
