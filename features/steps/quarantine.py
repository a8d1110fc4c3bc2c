"""Steps for quarantine: real daemons and servers in one process."""

from __future__ import annotations

import asyncio

import h11
from behave import given, then, when

from hornbeamgw.core.verdict import Verdict
from hornbeamgw.daemon.heads import RETRY_AFTER_MS, VERDICT
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

FALLS = b"falls"
SOUND = b"sound"
BODIES = {
    "entry/all": {"name": "all", "owner": "o", "traffic_class": "c", "limits": {"slots": 6}},
    "service/lookup": {"name": "lookup", "owner": "o"},
    "route/lookups": {
        "name": "lookups",
        "host": "test.example",
        "prefix": "/lookups",
        "methods": ["POST"],
        "service": "lookup",
        "entry": "all",
        "idempotent": True,
        "attempts": 2,
        "deadline_ms": 1000,
    },
}
# Within so long (s) all daemons of a fleet are to know of an end.
CONTACT_S = 3.0


async def knows_all(daemon, count):
    known = daemon.control.view.members_by_address
    await wait_for(lambda: sum(m.service == "lookup" for m in known.values()) == count)


@given("a daemon beside each of {count:d} servers that fall under one body")
def fleet(context, count):
    context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(context.fleet.close)

    async def start():
        daemons = [await context.fleet.start() for _ in range(count)]
        await daemons[0].committer.commit(edit_from_bodies(BODIES, "e"))
        for daemon in daemons:
            await context.fleet.start_backend(daemon, "lookup", work=0.05, crash_body=FALLS)
        for daemon in daemons:
            await wait_for(lambda daemon=daemon: daemon.control.versions.snapshot.version == 1)
            await knows_all(daemon, count)

    context.runner.run(start())


class Told:
    """Keep what a caller was told, and when it asked."""

    def __init__(self, at, response):
        """Take the answer, None where the connection was lost."""
        self.at = at
        self.status = 0 if response is None else response.status
        headers = [] if response is None else response.headers
        self.verdict = (header(headers, VERDICT) or b"").decode()
        self.retry_after_ms = int(header(headers, RETRY_AFTER_MS) or 0)


async def ask(context, daemon, body, request_id):
    at = asyncio.get_running_loop().time()
    client = HttpClient(context.fleet.callers(daemon), 5.0)
    headers = [(b"host", b"test.example"), (b"x-request-id", request_id.encode())]
    try:
        return Told(at, await client.request("POST", "/lookups", headers, body))
    except (ConnectionLost, h11.ProtocolError, OSError):
        return Told(at, None)
    finally:
        client.close()


def falls(context):
    return sorted(at for backend in context.fleet.backends for at in backend.crash_times)


@when(
    "that body is sent for {span:d} s, every {pause:d} ms, and another body on its path beside it"
)
def sent(context, span, pause):
    async def run():
        loop = asyncio.get_running_loop()
        end, number = loop.time() + span, 0
        context.late_runs, tasks, sound = 0, [], []
        counted = None
        while loop.time() < end:
            daemons = context.fleet.daemons
            daemon, other = daemons[number % len(daemons)], daemons[(number + 1) % len(daemons)]
            tasks.append(asyncio.create_task(ask(context, daemon, FALLS, f"f{number}")))
            sound.append(asyncio.create_task(ask(context, other, SOUND, f"s{number}")))
            number += 1
            await asyncio.sleep(pause / 1000)
            fallen = falls(context)
            if counted is None and len(fallen) >= 3 and loop.time() > fallen[2] + CONTACT_S:
                counted = sum(b.runs_by_body[FALLS] for b in context.fleet.backends)
        context.told = await asyncio.gather(*tasks)
        context.sound = await asyncio.gather(*sound)
        assert counted is not None, falls(context)
        runs = sum(b.runs_by_body[FALLS] for b in context.fleet.backends)
        context.late_runs = runs - counted

    context.runner.run(run())


@then(
    "at most {most:d} of its requests run later than {after:d} s after the third server has fallen"
)
def runs_late(context, most, after):
    assert after == CONTACT_S
    assert context.late_runs <= most, (context.late_runs, len(falls(context)))


@then("its callers are told truly that it did not run, and when to come back")
def told_truly(context):
    late = [told for told in context.told if told.at > falls(context)[2] + CONTACT_S]
    assert late
    for told in late:
        assert told.verdict == Verdict.NOT_RUN and told.retry_after_ms > 0, vars(told)


@then("after the last fall each of the others is answered")
def others(context):
    back = falls(context)[-1] + 1.0
    late = [told for told in context.sound if told.at > back]
    assert late
    assert all(told.status == 200 for told in late), [vars(t) for t in late if t.status != 200]


@when(
    "all servers are ended {times:d} times by other causes"
    " while another body is sent every {pause:d} ms"
)
def ended(context, times, pause):
    async def run():
        loop = asyncio.get_running_loop()
        daemons, tasks, ends = context.fleet.daemons, [], 0
        next_end = loop.time() + 0.5
        while ends < times or loop.time() < next_end + 1.0:
            daemon = daemons[len(tasks) % len(daemons)]
            tasks.append(asyncio.create_task(ask(context, daemon, SOUND, f"s{len(tasks)}")))
            await asyncio.sleep(pause / 1000)
            if ends < times and loop.time() >= next_end:
                for backend in context.fleet.backends:
                    backend.crash()
                ends, next_end = ends + 1, loop.time() + 0.6
        context.sound = await asyncio.gather(*tasks)

    context.runner.run(run())


@then("nothing is in quarantine")
def none_quarantined(context):
    for daemon in context.fleet.daemons:
        assert not daemon.quarantine.state.periods_by_fingerprint, daemon.quarantine.counts
    ends = sum(daemon.gate.counts["server_ended"] for daemon in context.fleet.daemons)
    assert ends >= 8, ends  # of 16 falls; at the others nothing ran
