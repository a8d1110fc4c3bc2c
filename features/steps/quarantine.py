"""Steps for quarantine: real daemons and servers in one process, and decisions by themselves."""

from __future__ import annotations

import asyncio

import h11
from behave import given, then, when

from features.steps.breaker import Asker
from hornbeamgw.backends.rows import RowPage, StoredRow
from hornbeamgw.core import quarantine
from hornbeamgw.core.dialect import HORNBEAMGW
from hornbeamgw.core.finding import Finding, FindingKind
from hornbeamgw.core.fingerprint import fingerprint_of
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.quarantine import QuarantineState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.snapshot import EMPTY, Limits, Route
from hornbeamgw.core.verdict import Reason, Verdict
from hornbeamgw.daemon import codec, frames, heads
from hornbeamgw.daemon.call import Call, fingerprint_of_call
from hornbeamgw.daemon.gate import Gate
from hornbeamgw.daemon.heads import RETRY_AFTER_MS, VERDICT
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, header
from hornbeamgw.daemon.presence import OwnRow
from hornbeamgw.daemon.quarantine import Quarantine
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

HEAD = heads.encode_request(heads.RequestHead(b"GET", b"/0/", [(b"host", b"test.example")]))
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
            await context.fleet.start_backend(daemon, "lookup", work=0.05, falls_under=FALLS)
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
    return sorted(at for backend in context.fleet.backends for at in backend.fallen_at)


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
                    backend.fall()
                ends, next_end = ends + 1, loop.time() + 0.6
        context.sound = await asyncio.gather(*tasks)

    context.runner.run(run())


@then("nothing is in quarantine")
def none_quarantined(context):
    for daemon in context.fleet.daemons:
        assert not daemon.quarantine.state.sentences_by_fingerprint, daemon.quarantine.counts
    ends = sum(daemon.gate.counts["server_ended"] for daemon in context.fleet.daemons)
    assert ends >= 8, ends  # of 16 falls; at the others nothing ran


# Decisions by themselves

NOW = 1000.0
ME = Member("10.9.0.1:7400", "suva-1", "fiji", 5)


def number_for(name):
    return fingerprint_of([name.encode()])


def server(number):
    return f"10.0.0.{number}:7400"


def tell(context, number, kind, names):
    context.numbers[number] = context.numbers.get(number, 0) + 1
    fingerprints = tuple(number_for(name) for name in names)
    finding = Finding(context.numbers[number], kind, fingerprints)
    quarantine.hear(context.state, server(number), [finding], context.now)


@given("what a daemon knows of ends")
def knows(context):
    context.state, context.now, context.numbers = QuarantineState(ME.address, 1), NOW, {}


@given('its own server has answered "{name}"')
@when('"{name}" is answered')
def answered(context, name):
    quarantine.note_answered(context.state, number_for(name), context.now)


@when('servers 1, 2 and 3 end under "{name}" beside others of their own')
def beside_others(context, name):
    for number in (1, 2, 3):
        tell(context, number, FindingKind.ENDED, [f"other-{number}", name, f"more-{number}"])


@when('servers 1, 2 and 3 end under "{name}" and "{beside}"')
def both(context, name, beside):
    for number in (1, 2, 3):
        tell(context, number, FindingKind.ENDED, [name, beside])


@when('servers 1, 2 and 3 end under "{name}"')
def three(context, name):
    for number in (1, 2, 3):
        tell(context, number, FindingKind.ENDED, [name])


@when('servers 1 and 2 end under "{name}"')
def two(context, name):
    for number in (1, 2):
        tell(context, number, FindingKind.ENDED, [name])


@when('server 4 ends under "{name}" alone')
def fourth(context, name):
    tell(context, 4, FindingKind.ENDED, [name])


@when('its own server and servers 1 and 2 end under "{name}"')
def own_and_two(context, name):
    two(context, name)
    quarantine.note_end(context.state, [number_for(name)], context.now)


@when('server 1 tells 3 times of one end under "{name}"')
def thrice(context, name):
    finding = Finding(1, FindingKind.ENDED, (number_for(name),))
    for _ in range(3):
        quarantine.hear(context.state, server(1), [finding], context.now)


@when("{count:d} servers end 3 times, each under {requests:d} requests of its own")
def many(context, count, requests):
    for number in range(count):
        names = [f"r-{number}-{i}" for i in range(requests)]
        for _ in range(3):
            tell(context, number, FindingKind.ENDED, [names[0]])
            quarantine.note_end(context.state, [number_for(name) for name in names], context.now)


@when("{span:d} s have passed")
def passed(context, span):
    context.now += span
    quarantine.expire(context.state, context.now)


def refused(context):
    known = context.state.sentences_by_fingerprint
    return {f for f in known if quarantine.left(context.state, f, context.now)}


@then('"{name}" is in quarantine, and no other is')
def only(context, name):
    assert refused(context) == {number_for(name)}, context.state.sentences_by_fingerprint


@then('nothing is refused, and "{name}" must run apart')
def apart(context, name):
    assert not refused(context), context.state.sentences_by_fingerprint
    assert quarantine.must_run_apart(context.state, number_for(name))


@then('nothing is refused, and "{name}" must not run apart')
def not_refused(context, name):
    assert not refused(context), context.state.sentences_by_fingerprint
    not_apart(context, name)


@then('"{name}" must not run apart')
def not_apart(context, name):
    assert not quarantine.must_run_apart(context.state, number_for(name))


@then('its record tells the others that "{name}" was answered')
def tells(context, name):
    told = quarantine.findings(context.state)
    assert [(f.kind, f.fingerprints) for f in told] == [
        (FindingKind.ANSWERED, (number_for(name),))
    ], told


@then('"{name}" is refused for {span:d} s')
def refused_for(context, name, span):
    assert quarantine.left(context.state, number_for(name), context.now) == span


@then("nothing at all is known")
def nothing_known(context):
    state = context.state
    assert not state.told and not state.reports_by_id, (state.told, state.reports_by_id)
    assert not state.ends_by_fingerprint and not state.sentences_by_fingerprint


@then("at most {ends:d} ends, {quarantines:d} quarantines and {findings:d} findings are held")
def bounded(context, ends, quarantines, findings):
    state = context.state
    assert len(state.reports_by_id) <= ends
    assert len(state.sentences_by_fingerprint) <= quarantines
    assert len(quarantine.findings(state)) <= findings
    assert len(state.heard) <= quarantine.MOST_HEARD
    named = sum(len(report.fingerprints) for report in state.reports_by_id.values())
    assert len(state.ends_by_fingerprint) <= named


@when("another daemon hears only its record")
def joins(context):
    told = quarantine.findings(context.state)
    context.other = QuarantineState("10.0.0.77:7400", 1)
    quarantine.hear(context.other, ME.address, told, context.now)


@then('that daemon refuses "{name}"')
def that_refuses(context, name):
    assert quarantine.left(context.other, number_for(name), context.now) > 0


class OneRow:
    """Hold the row that a daemon writes."""

    def __init__(self):
        """Start without a row."""
        self.row = None

    async def write(self, table, key, value, state=None):
        """Keep the row."""
        self.row = StoredRow(key, value, 1)


@when("its row is written, and every daemon starts anew")
def starts_anew(context):
    async def run():
        rows, published = OneRow(), []
        before = OwnRow(rows, ME)
        before.note_findings(quarantine.kept_findings(context.state))
        await before.write()
        me = ME._replace(incarnation=ME.incarnation + 1)
        context.anew = Quarantine(me, lambda findings, kept, urgent: published.append(findings))
        OwnRow(rows, me, context.anew.hear).tell_findings(RowPage([rows.row], 1, 0.0))
        context.refusals = [context.anew.refusal(number_for("cause"))]
        context.published = published

    context.runner.run(run())


@then('the daemon of that row refuses "{name}", and tells so in its record again')
def anew_refuses(context, name):
    assert context.refusals[0] is not None and context.refusals[0].verdict is Verdict.NOT_RUN
    told = [(f.kind, f.fingerprints) for f in context.published[-1]]
    assert told == [(FindingKind.QUARANTINED, (number_for(name),))], told


def with_findings(count):
    named = tuple(2**64 - 1 - i for i in range(16))
    return ME._replace(findings=tuple(Finding(i, FindingKind.ENDED, named) for i in range(count)))


@then("a record with {count:d} findings of 16 requests comes out of a message as it went in")
def carried(context, count):
    member = with_findings(count)
    frame = codec.decode_frame(codec.encode_frame(frames.View([member]))[codec.LENGTH_BYTES :])
    assert frame.members == [member], frame


@then("a record with {count:d} findings is refused")
def too_many(context, count):
    payload = codec.encode_frame(frames.View([with_findings(count)]))[codec.LENGTH_BYTES :]
    try:
        codec.decode_frame(payload)
    except codec.CodecError:
        return
    raise AssertionError("taken")


def call_of(path=b"/a", host=b"h", who=b"w", body=b"b", call_id="1", deadline=1.0):
    headers = [(b"host", host), (b"authorization", who)]
    route = Route("r", "h", "/", frozenset({"GET"}), (), None, True, 500, 200, 2, 1)
    call = Call(call_id, route, "s", heads.RequestHead(b"GET", path, headers), deadline, 2)
    call.body, call.body_complete = body, True
    return fingerprint_of_call(call, HORNBEAMGW)


@then("two calls that differ only in id and time left have one fingerprint")
def one_fingerprint(context):
    assert call_of() == call_of(call_id="2", deadline=2.0)


@then("calls that differ in path, body, host or who asks have others")
def other_fingerprints(context):
    others = [call_of(path=b"/b"), call_of(body=b"c"), call_of(host=b"i"), call_of(who=b"x")]
    assert len({call_of(), *others}) == 5, others


# A gate


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
    context.gate, context.asker = Gate(lambda: EMPTY, lambda: None), Asker()
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


@when('a refusal for the reason "{reason}" comes that says that nothing ran')
def newer(context, reason):
    message = codec.schema.Frame.new_message()
    refusal = message.init("refusal")
    refusal.reason, refusal.mayHaveRun = reason, False
    context.frame = codec.decode_frame(message.to_bytes())


@then("it is a refusal of the server, and nothing ran")
def as_refused(context):
    failure = context.frame.failure
    assert (failure.verdict, failure.reason) == (Verdict.NOT_RUN, Reason.BACKEND_REFUSED), failure
