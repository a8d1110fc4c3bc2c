"""Steps for rollouts: one daemon's decisions, and whole ones in simulated time."""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path

import capnp
from behave import given, then, when

from benchmarks.rollouts import LOADS, TAIL_LOADS, TROUBLES, badness_of
from hornbeamgw.core import evidence, exposure, rollout, tally
from hornbeamgw.core.evidence import EvidenceState
from hornbeamgw.core.exposure import Arm, ExposureBound, ExposureState, RequestTraits
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.node import Envelope
from hornbeamgw.core.rollout import FleetView, Order, RolloutState
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Entry, Limits, Route
from hornbeamgw.core.standing import Closing, Phase, RolloutStatus
from hornbeamgw.core.tally import AttemptOutcome, Count, Tally
from hornbeamgw.core.verdict import Reason, Verdict, may_have_run, not_run
from hornbeamgw.daemon import codec, datagrams, frames, heads
from hornbeamgw.daemon.attempts import Links
from hornbeamgw.daemon.call import Call, MeshView, release_reservation
from hornbeamgw.daemon.gate import Announcement, Gate
from hornbeamgw.daemon.servers import Servers
from hornbeamgw.testing.asker import HEAD, RecordingLink
from hornbeamgw.testing.rollout_model import simulate

SERVICE = "roster"
OPEN = 0.0  # a time of day at which a trial is open

# One daemon


@given("a daemon of a fleet of {daemons:d} that may expose {share:g} of the requests and {slack:d} more")  # fmt: skip  # noqa: E501
def one_daemon(context, daemons, share, slack):
    context.state = ExposureState(ExposureBound(share, slack))
    exposure.note_members(context.state, daemons)
    context.number, context.step = 1, 0
    context.rng = random.Random(1)


def hear(context, phase, target="v2", closing=Closing.OPEN):
    context.step += 1
    length_ms = 0 if phase is Phase.MOVING else 65535
    standing = RolloutStatus(
        SERVICE, target, context.number, phase, context.step, length_ms, closing
    )
    exposure.receive(context.state, standing, 10.0)


@given('it hears that the new version is "{phase}"')
def hears(context, phase):
    hear(context, Phase[phase])


@given('it hears that the third version is "{phase}"')
def hears_third(context, phase):
    hear(context, Phase[phase], "v3")


@given("it hears of a newer order for the same version")
def newer(context):
    context.number += 1
    hear(context, Phase.HELD)


@given("it hears of a newer order for a third version")
def third(context):
    context.number += 1
    hear(context, Phase.HELD, "v3")


@given('it hears that the servers of before are "{closing}" while requests move')
@when('it hears that the servers of before are "{closing}" while requests move')
def hears_closing(context, closing):
    hear(context, Phase.MOVING, closing=Closing[closing])


def arm(context, is_first=True, is_idempotent=True):
    asked = RequestTraits(SERVICE, 0.1, is_first, is_idempotent)
    return exposure.select_arm(context.state, asked, OPEN, context.rng)


def goes_to_new(context, is_first=True):
    """Return whether a request goes to the new version, with servers of two versions there."""
    servers = members("v1", "v2")
    exposure.record_versions(context.state, SERVICE, {"v1", "v2"}, 0.0)
    if arm(context, is_first) is Arm.BEFORE:
        found = exposure.servers_in_use(context.state, SERVICE, servers, 1000.0)
    else:
        found = exposure.new_servers(context.state, SERVICE, servers)
    (version,) = {member.software for member in found}
    return version == "v2"


def send(context, count, fails):
    context.sent = 0
    for _ in range(count):
        is_new = goes_to_new(context)
        context.sent += is_new
        software = "v2" if is_new else "v1"
        exposure.record_sent(context.state, SERVICE, software)
        exposure.record_reached(context.state, SERVICE)
        exposure.record_answer(context.state, SERVICE, software, fails and is_new)


@when("{count:d} requests reach servers of the service")
def reach(context, count):
    send(context, count, False)


@when("{count:d} requests reach servers of the service, and those at the new version fail")
def reach_and_fail(context, count):
    send(context, count, True)


@then("at most {most:d} of them went to the new version")
def at_most(context, most):
    assert context.sent <= most, context.sent


@then("at least {least:d} of them went to the new version")
def at_least(context, least):
    assert context.sent >= least, context.sent


def find_servers(context, count):
    """Find servers for requests before any of them is sent; return the calls at the new version."""
    route = Route(
        "r", "h", "/", frozenset(), (), Entry("e", "o", "c", Limits(6, 0, 6)), True, 5000, 200, 1, 0
    )
    links = Links(lambda: frames.Hello("f", "me", 1), lambda why: None)
    servers = Servers(
        links, lambda choice, rng: choice.candidates[0], context.rng, None, context.state
    )
    found = [m._replace(server_state=ServerState.SERVING, slots=6) for m in members("v1", "v2")]
    view = MeshView(True, EMPTY_SNAPSHOT, found[0], found, 1)
    exposure.record_versions(context.state, SERVICE, {"v1", "v2"}, -1000.0)

    async def find():
        head = heads.RequestHead(b"GET", b"/", [])
        calls = [Call(f"c-{n}", route, SERVICE, head, 1e9, 2) for n in range(count)]
        chosen = await asyncio.gather(*(servers.choose(call, view) for call in calls))
        pairs = zip(calls, chosen, strict=True)
        return [call for call, candidate in pairs if candidate.member.software == "v2"]

    return context.runner.run(find())


@when("servers are found for {count:d} requests before any of them is sent")
def servers_found(context, count):
    context.calls = find_servers(context, count)


@then("at most {most:d} of them are at the new version")
def at_most_found(context, most):
    assert 0 < len(context.calls) <= most, len(context.calls)


@then("once they have ended without being sent, {count:d} more get as many")
def as_many_again(context, count):
    for call in context.calls:
        release_reservation(call)
    again = find_servers(context, count)
    assert abs(len(again) - len(context.calls)) <= 1, (len(again), len(context.calls))


@when("{count:d} requests that are {kind} reach servers of the service")
def reach_of_kind(context, count, kind):
    context.sent = context.waited = 0
    for _ in range(count):
        where = arm(context, is_idempotent=kind == "idempotent")
        context.sent += where is Arm.NEW
        context.waited += where is Arm.WAIT
        if where is Arm.NEW:
            exposure.record_sent(context.state, SERVICE, "v2")
        exposure.record_reached(context.state, SERVICE)
    context.others = count - context.sent


@when("{count:d} requests that have waited ask {times:d} times each")
def ask_again(context, count, times):
    asked = RequestTraits(SERVICE, 0.1, True, is_idempotent=False, has_waited=True)
    arms = [
        exposure.select_arm(context.state, asked, OPEN, context.rng) for _ in range(count * times)
    ]
    context.arms_of_waiting = set(arms)


@then("none of those that have waited did")
def none_waiting(context):
    assert context.arms_of_waiting == {Arm.WAIT}, context.arms_of_waiting


@then("{part} of the others waited")
def waited(context, part):
    assert context.waited == (context.others if part == "all" else 0), context.waited


@then("a request that is not idempotent goes to the version of before")
def unsafe_before(context):
    assert {arm(context, is_idempotent=False) for _ in range(100)} == {Arm.BEFORE}


@then("the new version gets nothing until it is tried")
def nothing_yet(context):
    send(context, 500, False)
    assert context.sent == 0
    hear(context, Phase.TRIAL)
    send(context, 500, False)
    assert context.sent > 0


def members(*versions):
    return [
        Member(f"{version}-{index}", "dc", "r", 1, service=SERVICE, software=version)
        for version in versions
        for index in range(2)
    ]


def versions_before(context, now=1000.0):
    servers = members("v1", "v2", "v3")
    return {m.software for m in exposure.servers_in_use(context.state, SERVICE, servers, now)}


@then("requests go to the version of before alone")
def before_alone(context):
    now = getattr(context, "now", 1000.0)
    servers = members("v1", "v2") if hasattr(context, "now") else members("v1", "v2", "v3")
    found = exposure.servers_in_use(context.state, SERVICE, servers, now)
    assert {m.software for m in found} == {"v1"}, found


@given("it has known the version of before for a minute")
def known(context):
    context.now = 100.0
    exposure.record_versions(context.state, SERVICE, {"v1"}, context.now - 60)


@when("a server of another version appears")
def appears(context):
    exposure.record_versions(context.state, SERVICE, {"v1", "v2"}, context.now)


@then("a second later they go to both")
def both(context):
    later = context.now + 1.01
    found = exposure.servers_in_use(context.state, SERVICE, members("v1", "v2"), later)
    assert {m.software for m in found} == {"v1", "v2"}, found


@then("a second attempt may go to the new version too")
def second_too(context):
    assert goes_to_new(context, is_first=False)


@then("a second attempt goes to the version of before")
def second_before(context):
    for _ in range(500):
        exposure.record_reached(context.state, SERVICE)
    assert Arm.NEW in {arm(context) for _ in range(100)}
    assert {arm(context, is_first=False) for _ in range(100)} == {Arm.BEFORE}


@when("a server of a third version appears later")
def third_appears(context):
    exposure.record_versions(context.state, SERVICE, {"v1", "v2"}, 0.0)
    exposure.record_versions(context.state, SERVICE, {"v1", "v2", "v3"}, 60.0)


@then("requests go to the new and the third version, and no more to the one before")
def new_and_third(context):
    assert versions_before(context) == {"v2", "v3"}


# Answers

ENDS = {
    "status 200": (None, 200),
    "status 404": (None, 404),
    "status 500": (None, 500),
    "a broken answer": (may_have_run(Reason.BACKEND_BROKE), 0),
    "its deadline": (may_have_run(Reason.DEADLINE), 0),
    "a refusal": (not_run(Reason.BACKEND_REFUSED), 0),
    "its caller gone": (may_have_run(Reason.CALLER_GONE), 0),
}
VERDICTS = {True: "bad", False: "good", None: "unknown"}


@given("an attempt that ended with {how} after {held:g} of its typical time")
def ended(context, how, held):
    failure, status = ENDS[how]
    context.ended = AttemptOutcome(failure, status, held * 0.2, 0.2, 1.0)


@given("an attempt at a cold server that took {times:g} times its typical time")
def ended_cold(context, times):
    context.ended = AttemptOutcome(None, 200, times * 0.2, 0.2, 1.0, is_cold=True)


@then('that answer is "{verdict}"')
def is_so(context, verdict):
    assert VERDICTS[tally.is_bad(context.ended)] == verdict


@given("reports of a new server: {first:d} answers, {second:d} answers, then {third:d} after it has started again")  # fmt: skip  # noqa: E501
def reports(context, first, second, third):
    context.evidence = EvidenceState("v2")
    for now, answers in enumerate((first, second, third)):
        counts = {"r-0": Count(answers, 0)}
        evidence.record_tally(context.evidence, "n0", Tally(SERVICE, 0, "v2", counts), float(now))


@then("{answers:d} answers of the new version were seen")
def seen(context, answers):
    assert context.evidence.new.answers == answers, context.evidence.new


# A gate whose server is about to stop


async def begin_gate(context):
    context.answers = asyncio.Queue()

    async def on_connection(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            await context.answers.get()
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")

    context.scripted = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    host, port = context.scripted.sockets[0].getsockname()
    one_daemon(context, 1, 0.1, 50)
    context.gate = Gate(lambda: EMPTY_SNAPSHOT, lambda: None, exposure_state=context.state)
    serving = ServerState.SERVING
    told = Announcement(SERVICE, f"{host}:{port}", 6, 9, serving, 1e12, "i-1", software="v1")
    context.gate.announce(told)
    context.asker, context.asked = RecordingLink(), 0


def ask(context, idempotent):
    context.asked += 1
    call = frames.Call(
        context.asked, f"c-{context.asked}", SERVICE, "safe-2", idempotent, 3000, 2, HEAD, b"",
        True, "r-0", 900, 900, 2, limits=Limits(100, 0, 100),
    )  # fmt: skip
    context.gate.on_frame(context.asker, call)
    return context.asked


async def answer_to(context, number):
    async with asyncio.timeout(2):
        while True:
            for frame in context.asker.sent:
                if getattr(frame, "attempt", None) == number:
                    return frame
            await asyncio.sleep(0.001)


@given("a gate beside a server of the version of before, at work on a booking")
def gate_at_work(context):
    async def begin():
        await begin_gate(context)
        context.booking = ask(context, idempotent=False)
        await asyncio.sleep(0.05)
        assert not context.asker.sent, context.asker.sent

    async def close():
        context.gate.cut_off()
        context.scripted.close()

    context.closers.append(close)
    context.runner.run(begin())


@then("it refuses a further booking, which surely has not run")
def refuses(context):
    async def check():
        answer = await answer_to(context, ask(context, idempotent=False))
        assert isinstance(answer, frames.Refusal), answer
        assert answer.failure.verdict is Verdict.NOT_RUN, answer

    context.runner.run(check())


async def is_answered(context, number):
    context.answers.put_nowait(None)
    answer = await answer_to(context, number)
    assert isinstance(answer, frames.Reply), answer


@then("it still takes a lookup")
def takes_lookup(context):
    async def check():
        number = ask(context, idempotent=True)
        await asyncio.sleep(0.05)
        assert not any(getattr(f, "attempt", None) == number for f in context.asker.sent)

    context.runner.run(check())


@when("that booking is answered")
def booking_answered(context):
    async def check():
        context.answers.put_nowait(None)
        await is_answered(context, context.booking)
        await asyncio.sleep(0.05)

    context.runner.run(check())


@when("it hears that requests no longer move")
def no_longer(context):
    hear(context, Phase.TRIAL)


@then("it takes a further booking")
def takes_booking(context):
    context.runner.run(is_answered(context, ask_within(context)))


def ask_within(context):
    async def send():
        return ask(context, idempotent=False)

    return context.runner.run(send())


def told_by_gate(context):
    told = context.gate.tally(0, context.gate.announcement)
    return told.closed_step, told.unsafe


@then("its tally tells that it is closed and holds {count:d} booking")
@then("its tally tells that it is closed and holds {count:d} bookings")
def tells_closed(context, count):
    assert told_by_gate(context) == (context.step, count), told_by_gate(context)


@then("its tally tells that it is open")
def tells_open(context):
    assert told_by_gate(context) == (0, 0), told_by_gate(context)


# A leader

DUE_S = 10.0
BEFORE = ("n1/1", "n2/1")


@given("a leader of an order that is due, by which 2 servers of before are closed")
def leader_due(context):
    order = Order(SERVICE, "v2", DUE_S, 1)
    context.leading = RolloutState(order, ExposureBound(0.1, 50.0), 0.0)
    evidence.record_tally(context.leading.evidence, "n3/2", Tally(SERVICE, 2, "v2", {}), 0.0)
    good = {"r-0": Count(200, 0)}
    evidence.record_tally(context.leading.evidence, "n3/2", Tally(SERVICE, 2, "v2", good), 5.0)
    context.seen = FleetView(["n3/2"], BEFORE, True)
    context.now = 0.0
    while context.leading.status.closing is not Closing.CLOSED:
        assert context.now < DUE_S, context.leading.status
        lead(context)


def lead(context, passed=0.05):
    context.now += passed
    step = rollout.next_step(context.leading, context.seen, context.now)
    if step is not None:
        rollout.apply(context.leading, step.status, context.now)
    return context.leading.status


def tell_leader(context, server, closed_step, unsafe):
    counts = {"r-0": Count(100, 0)}
    told = Tally(SERVICE, 1, "v1", counts, closed_step, unsafe)
    evidence.record_tally(context.leading.evidence, server, told, context.now)


@then("it completes the order only after both have told that they hold no booking")
def after_both(context):
    step = context.leading.status.step
    assert lead(context).phase is Phase.MOVING
    tell_leader(context, BEFORE[0], step, 0)
    assert lead(context).phase is Phase.MOVING
    tell_leader(context, BEFORE[1], step, 1)
    assert lead(context).phase is Phase.MOVING
    context.held = context.leading.status
    tell_leader(context, BEFORE[1], step, 0)
    assert lead(context).phase is Phase.DONE


@then("what they told of an earlier closing does not count")
def earlier(context):
    context.leading.status = context.held
    for server in BEFORE:
        tell_leader(context, server, context.held.step - 1, 0)
    assert lead(context).phase is Phase.MOVING


@then("it completes the order {seconds:g} s before the deadline")
def before_deadline(context, seconds):
    while lead(context, 0.01).phase is not Phase.DONE:
        assert context.now < DUE_S
    assert abs(DUE_S - seconds - context.now) < 0.02, context.now


# Daemons of the version before

NEW_FIELDS = ("closing @6 :UInt8;", "closedStep @4 :UInt16;", "unsafe @5 :UInt16;")


@given("what a daemon tells of a closed server and of a rollout")
def tells(context):
    closed = RolloutStatus(SERVICE, "v2", 1, Phase.MOVING, 7, 0, Closing.CLOSED)
    me = Member("127.0.0.1:1", "dc", "r", 1, service=SERVICE, standings=(closed,))
    context.tally = Tally(SERVICE, 2, "v1", {"r-0": Count(3, 1)}, 7, 4)
    context.envelope = Envelope(me.address, 1, 2, 3, [me], context.tally)
    context.payload = datagrams.encode_datagram(5, context.envelope)
    assert datagrams.decode_datagram(5, context.payload) == context.envelope


@then("a daemon that knows of no closing reads the rest of it")
def reads_rest(context):
    text = Path(codec.__file__).parents[1].joinpath("schema", "messages.capnp").read_text()
    for field in NEW_FIELDS:
        assert field in text, field
        text = text.replace(field, "")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "before.capnp")
        path.write_text(text.replace("@0xb5f0c2a41e7d9c63", "@0xb5f0c2a41e7d9c64"))
        before = capnp.load(str(path))
    raw = before.Datagram.from_bytes_packed(context.payload)
    standing = raw.gossip[0].standings[0]
    assert (standing.phase, standing.step, standing.lengthMs) == (Phase.MOVING, 7, 0)
    assert (raw.tally.service, raw.tally.server) == (SERVICE, 2)
    assert [(c.route, c.answers, c.bad) for c in raw.tally.counts] == [("r-0", 3, 1)]
    # Built anew, since a copy would keep the fields that it does not know.
    older = before.Datagram.new_message(fleet=5, sender=raw.sender)
    told = older.init("gossip", 1)[0]
    told.address, told.dataCentre, told.region = "127.0.0.1:1", "dc", "r"
    moving = told.init("standings", 1)[0]
    moving.service, moving.target, moving.phase = SERVICE, "v2", int(Phase.MOVING)
    counted = older.init("tally")
    counted.service, counted.software = SERVICE, "v1"
    context.older = older.to_bytes_packed()


@then("what such a daemon tells is read as open")
def read_as_open(context):
    heard = datagrams.decode_datagram(5, context.older)
    assert heard.gossip[0].standings[0].closing is Closing.OPEN
    assert (heard.message.closed_step, heard.message.unsafe) == (0, 0)


# Simulated


@when('{count:d} rollouts of a version that is bad "{badness}" are played from seed {seed:d}')
def played(context, count, badness, seed):
    context.outcomes, context.is_good = [], badness == "none"
    for index in range(count):
        rng = random.Random(f"{badness} {seed} {index}")
        load = LOADS[index % len(LOADS)]
        trouble = TROUBLES[sorted(TROUBLES)[index % len(TROUBLES)]]
        version = badness_of(badness, load, rng)
        outcome, _ = simulate(load, version, trouble, rng.uniform(10.0, 20.0), seed + index)
        context.outcomes.append(outcome)


def play_with_bookings(context, count, badness, trouble, seed):
    context.outcomes, context.is_good, context.durations = [], badness == "none", []
    for index in range(count):
        rng = random.Random(f"bookings {badness} {seed} {index}")
        load = TAIL_LOADS[index % len(TAIL_LOADS)]
        beside = TROUBLES[trouble or sorted(TROUBLES)[index % len(TROUBLES)]]
        version = badness_of(badness, load, rng)
        duration = rng.uniform(10.0, 20.0)
        outcome, _ = simulate(load, version, beside, duration, seed + index)
        context.outcomes.append(outcome)
        context.durations.append(duration)


@when('{count:d} rollouts of a good version are played beside "{trouble}" with bookings from seed {seed:d}')  # fmt: skip  # noqa: E501
def played_good(context, count, trouble, seed):
    play_with_bookings(context, count, "none", trouble, seed)


@when('{count:d} rollouts of a version that is bad "{badness}" are played with bookings from seed {seed:d}')  # fmt: skip  # noqa: E501
def played_bad(context, count, badness, seed):
    play_with_bookings(context, count, badness, "", seed)


@then("no booking was cut off where the order was completed")
def none_cut_off(context):
    cut_off = [outcome.non_idempotent_cut_off for outcome in context.outcomes]
    assert not any(cut_off), cut_off


@then("all that were completed were so before the deadline")
def in_time(context):
    for outcome, duration in zip(context.outcomes, context.durations, strict=True):
        assert outcome.phase is not Phase.DONE or outcome.decided_at < duration, outcome


@then("at least {least:d} of them are decided rightly")
def rightly(context, least):
    wanted = Phase.DONE if context.is_good else Phase.BACK
    right = sum(outcome.phase is wanted for outcome in context.outcomes)
    assert right >= least, context.outcomes


@then("no bad version got more than its bound")
def within_bound(context):
    over = [o for o in context.outcomes if o.is_over_bound or o.sent_after_rollback]
    assert not over, over
