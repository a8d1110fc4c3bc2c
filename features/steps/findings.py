"""Steps for findings: what daemons decide by them, and how records and rows carry them."""

from __future__ import annotations

from behave import given, then, when

from hornbeamgw.backends.rows import RowPage, StoredRow
from hornbeamgw.core import quarantine
from hornbeamgw.core.dialect import HORNBEAMGW
from hornbeamgw.core.finding import Finding, FindingKind
from hornbeamgw.core.fingerprint import fingerprint_of
from hornbeamgw.core.membership import Member
from hornbeamgw.core.quarantine import QuarantineState
from hornbeamgw.core.snapshot import Route
from hornbeamgw.core.verdict import Reason, Verdict
from hornbeamgw.daemon import codec, frames, heads
from hornbeamgw.daemon.call import Call, fingerprint_of_call
from hornbeamgw.daemon.presence import OwnRow
from hornbeamgw.daemon.quarantine import Quarantine

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
    quarantine.receive(context.state, server(number), [finding], context.now)


@given("what a daemon knows of ends")
def knows(context):
    context.state, context.now, context.numbers = QuarantineState(ME.address, 1), NOW, {}


@given('its own server has answered "{name}"')
@when('"{name}" is answered')
def answered(context, name):
    quarantine.record_answer(context.state, number_for(name), context.now)


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
    quarantine.record_crash(context.state, [number_for(name)], context.now)


@when('server 1 tells 3 times of one end under "{name}"')
def thrice(context, name):
    finding = Finding(1, FindingKind.ENDED, (number_for(name),))
    for _ in range(3):
        quarantine.receive(context.state, server(1), [finding], context.now)


@when("{count:d} servers end 3 times, each under {requests:d} requests of its own")
def many(context, count, requests):
    for number in range(count):
        names = [f"r-{number}-{i}" for i in range(requests)]
        for _ in range(3):
            tell(context, number, FindingKind.ENDED, [names[0]])
            quarantine.record_crash(
                context.state, [number_for(name) for name in names], context.now
            )


@when("{span:d} s have passed")
def passed(context, span):
    context.now += span
    quarantine.expire(context.state, context.now)


def refused(context):
    known = context.state.periods_by_fingerprint
    return {f for f in known if quarantine.remaining(context.state, f, context.now)}


@then('"{name}" is in quarantine, and no other is')
def only(context, name):
    assert refused(context) == {number_for(name)}, context.state.periods_by_fingerprint


@then('nothing is refused, and "{name}" must run apart')
def apart(context, name):
    assert not refused(context), context.state.periods_by_fingerprint
    assert quarantine.is_crash_suspect(context.state, number_for(name))


@then('nothing is refused, and "{name}" must not run apart')
def not_refused(context, name):
    assert not refused(context), context.state.periods_by_fingerprint
    not_apart(context, name)


@then('"{name}" must not run apart')
def not_apart(context, name):
    assert not quarantine.is_crash_suspect(context.state, number_for(name))


@then('its record tells the others that "{name}" was answered')
def tells(context, name):
    told = quarantine.findings(context.state)
    assert [(f.kind, f.fingerprints) for f in told] == [
        (FindingKind.ANSWERED, (number_for(name),))
    ], told


@then('"{name}" is refused for {span:d} s')
def refused_for(context, name, span):
    assert quarantine.remaining(context.state, number_for(name), context.now) == span


@then("nothing at all is known")
def nothing_known(context):
    state = context.state
    assert not state.announced and not state.reports_by_id, (state.announced, state.reports_by_id)
    assert not state.report_ids_by_fingerprint and not state.periods_by_fingerprint


@then("at most {ends:d} ends, {quarantines:d} quarantines and {findings:d} findings are held")
def bounded(context, ends, quarantines, findings):
    state = context.state
    assert len(state.reports_by_id) <= ends
    assert len(state.periods_by_fingerprint) <= quarantines
    assert len(quarantine.findings(state)) <= findings
    assert len(state.seen_findings) <= quarantine.MAX_SEEN_FINDINGS
    named = sum(len(report.fingerprints) for report in state.reports_by_id.values())
    assert len(state.report_ids_by_fingerprint) <= named


@when("another daemon hears only its record")
def joins(context):
    told = quarantine.findings(context.state)
    context.other = QuarantineState("10.0.0.77:7400", 1)
    quarantine.receive(context.other, ME.address, told, context.now)


@then('that daemon refuses "{name}"')
def that_refuses(context, name):
    assert quarantine.remaining(context.other, number_for(name), context.now) > 0


class OneRow:
    """Hold the row that a daemon writes."""

    def __init__(self):
        """Start without a row."""
        self.row = None

    async def read(self, table, key=""):
        """Return the row."""
        return RowPage([] if self.row is None else [self.row], 1, 0.0)

    async def write(self, table, key, value, state=None):
        """Keep the row."""
        self.row = StoredRow(key, value, 1)
        return 1


@when("its row is written, and every daemon starts anew")
def starts_anew(context):
    async def run():
        rows, published = OneRow(), []
        before = OwnRow(rows, ME)
        before.set_findings(quarantine.persistent_findings(context.state))
        await before.write()
        me = ME._replace(incarnation=ME.incarnation + 1)
        context.anew = Quarantine(me, lambda findings, kept, urgent: published.append(findings))
        OwnRow(rows, me, context.anew.receive).report_findings(RowPage([rows.row], 1, 0.0))
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
    frame = codec.decode_frame(
        codec.encode_frame(frames.View([member]))[codec.LENGTH_PREFIX_BYTES :]
    )
    assert frame.members == [member], frame


@then("a record with {count:d} findings is refused")
def too_many(context, count):
    payload = codec.encode_frame(frames.View([with_findings(count)]))[codec.LENGTH_PREFIX_BYTES :]
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


@when('server 1 tells that "{name}" was answered')
def told_answered(context, name):
    tell(context, 1, FindingKind.ANSWERED, [name])


@when('server 1 tells that "{name}" is in quarantine')
def told_quarantined(context, name):
    tell(context, 1, FindingKind.QUARANTINED, [name])
