"""Steps for the requests of a former process: decisions, a simulated server, and a real one."""

from __future__ import annotations

import asyncio
import heapq
import itertools

from behave import given, then, when

from features.steps.room import BODIES, ROUTE, ask, begin, is_serving, name_health_path, occupy
from hornbeamgw.core import admission, former_work
from hornbeamgw.core.admission import AdmissionState, Admitted, AttemptId
from hornbeamgw.core.catalogue import Item
from hornbeamgw.core.dialect import HORNBEAMGW, dialects_by_name
from hornbeamgw.core.former_work import Startup
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.slots import Request
from hornbeamgw.core.snapshot import Limits, build_snapshot
from hornbeamgw.testing.local import wait_for
from hornbeamgw.testing.room import OnClose, Room

STARTED_AT_S = 100.0
CHECK_TIME_S = 0.002
SERVICE_TIME_S = 0.2
DEADLINE_S = 4.0
LIMITS = Limits(16, 0, 16)
DIALECT = "checks_take_slots"


def announced(instance, started_ms):
    address = "10.0.0.9:8000"
    return Announcement(
        "s", address, 4, 100, ServerState.SERVING, 0.0, instance, started_ms=started_ms
    )


@given("a process that was started at {started:d} ms, {address}, and a row {row}")
def process(context, started, address, row):
    context.startup = Startup(STARTED_AT_S, started, address != "at a fixed address")
    if row == "that is not known":
        context.stored = None
    elif row == "that is missing":
        context.stored = ()
    else:
        context.stored = (announced("i-1", int(row.split()[-1])),)


@when('the server "{instance}", started at {started:d} ms, is announced')
def is_announced(context, instance, started):
    server = announced(instance, started)
    context.why = former_work.reason(context.startup, context.stored, server)


@then("its slots are held: {held}")
def are_held(context, held):
    assert bool(context.why) == (held == "yes"), context.why


def held_state(slots, hold_s, takes_slots):
    state = AdmissionState("objective")
    state.service, state.slots, state.server_state = "s", slots, ServerState.SERVING
    state.former_work_until = STARTED_AT_S + hold_s
    state.former_work.is_checkable = takes_slots
    return state


def request(number, now):
    return Request(
        AttemptId("caller", 1, number),
        "e",
        LIMITS,
        now + DEADLINE_S,
        "r",
        now + DEADLINE_S / 2,
        DEADLINE_S / 2,
        arrived_at=now,
    )


class Play:
    """A server with former requests and the gate beside it, in simulated time."""

    def __init__(self, slots, former, ends_after):
        """Start with the former requests at the server."""
        self.slots, self.takes_slots = slots, True
        self.numbers, self.order, self.events = itertools.count(), itertools.count(), []
        self.at_server, self.peak, self.started_at, self.full_at = set(), 0, [], None
        self.check = None
        for number in range(former):
            self.begin(("former", number), STARTED_AT_S, ends_after)

    def at(self, when, event, *arguments):
        heapq.heappush(self.events, (when, next(self.order), event, arguments))

    def begin(self, key, now, seconds):
        self.at_server.add(key)
        self.peak = max(self.peak, len(self.at_server))
        self.at(now + seconds, self.end, key, now)

    def end(self, now, key, started):
        self.at_server.discard(key)
        if isinstance(key, AttemptId):
            self.apply(admission.finish(self.state, key, started, now), now)
        if self.check == "waits":
            self.run_check(now)

    def run(self, interval, seconds, hold_s):
        self.state = held_state(self.slots, hold_s, self.takes_slots)
        arrivals = int(seconds / interval)
        for number in range(arrivals):
            self.at(STARTED_AT_S + (number + 1) * interval, self.arrive)
        self.at(STARTED_AT_S + hold_s, self.tick)
        while self.events and self.events[0][0] < STARTED_AT_S + seconds:
            now, _, event, arguments = heapq.heappop(self.events)
            event(now, *arguments)

    def arrive(self, now):
        self.apply([admission.admit(self.state, request(next(self.numbers), now), "s", now)], now)
        self.consider(now)

    def tick(self, now):
        self.apply(admission.next_decisions(self.state, now), now)

    def apply(self, decisions, now):
        for decision in decisions:
            if isinstance(decision, Admitted):
                self.started_at.append(now)
                self.begin(decision.request.attempt, now, SERVICE_TIME_S)
        if self.full_at is None and len(self.at_server) >= self.slots and self.started_at:
            self.full_at = now

    def consider(self, now):
        due_at = former_work.check_due_at(self.state, now)
        if self.check is None and due_at is not None and due_at <= now:
            self.sent = former_work.begin_check(self.state, now)
            self.run_check(now)

    def run_check(self, now):
        self.check = "waits" if len(self.at_server) >= self.slots else "runs"
        if self.check == "runs":
            self.at(now + CHECK_TIME_S, self.check_ends)

    def check_ends(self, now):
        self.check = None
        former_work.record_check(self.state, self.sent, True, now)
        self.tick(now)
        due_at = former_work.check_due_at(self.state, now)
        if self.state.queue and due_at is not None:
            self.at(due_at, self.consider)


@given(
    "a simulated server with {slots:d} slots"
    " and {former:d} former requests that end after {ms:d} ms"
)
def simulated(context, slots, former, ms):
    context.play = Play(slots, former, ms / 1000)


@given("its health checks take a slot")
def checks_take_slots(context):
    context.play.takes_slots = True


@given("its health checks tell nothing")
def checks_tell_nothing(context):
    context.play.takes_slots = False


@when(
    "a request arrives every {interval:d} ms for {seconds:d} seconds,"
    " after a start with a hold of {hold:d} ms"
)
def play(context, interval, seconds, hold):
    context.play.run(interval / 1000, seconds, hold / 1000)


@then("at most {count:d} requests have been at the server at once")
def at_most(context, count):
    assert context.play.peak <= count, context.play.peak


@then(
    "the first request has started after {first:d} ms at the earliest"
    " and {latest:d} ms at the latest"
)
def first_started(context, first, latest):
    after_ms = 1000 * (context.play.started_at[0] - STARTED_AT_S)
    assert first - 0.01 <= after_ms <= latest, after_ms


@then("{count:d} requests have been at the server at once after at most {most:d} ms")
def full_after(context, count, most):
    assert context.play.full_at is not None, context.play.peak
    after_ms = 1000 * (context.play.full_at - STARTED_AT_S)
    assert after_ms <= most, after_ms


@given("a server with {slots:d} slots that are held for {hold:d} ms, and checks that {tell}")
def held(context, slots, hold, tell):
    context.state = held_state(slots, hold / 1000, tell == "take a slot")
    context.now = STARTED_AT_S


def end_check(context, answered, ms):
    context.now = former_work.check_due_at(context.state, context.now)
    check = former_work.begin_check(context.state, context.now)
    context.now += ms / 1000
    former_work.record_check(context.state, check, answered, context.now)
    context.decisions = admission.next_decisions(context.state, context.now)


@when("{count:d} requests wait and a check is answered at once")
def wait_and_check(context, count):
    for number in range(count):
        decision = admission.admit(context.state, request(number, context.now), "s", context.now)
        assert not isinstance(decision, Admitted), decision
    end_check(context, True, 2)


@when("a check is answered at once")
def check_answered(context):
    end_check(context, True, 2)


@when("a check is answered after {ms:d} ms")
def check_waited(context, ms):
    end_check(context, True, ms)


@when("a check is refused")
def check_refused(context):
    end_check(context, False, 1)


@when("a request that runs ends")
def request_ends(context):
    attempt, started = next(iter(context.state.started_by_attempt.items()))
    context.now += SERVICE_TIME_S
    context.decisions = admission.finish(context.state, attempt, started, context.now)


@then("{count} request starts")
def starts(context, count):
    started = [decision for decision in context.decisions if isinstance(decision, Admitted)]
    assert len(started) == (0 if count == "no" else int(count)), context.decisions


@then("the next check is due {ms:d} ms later")
def due_later(context, ms):
    due_at = former_work.check_due_at(context.state, context.now)
    assert abs(due_at - context.now - ms / 1000) < 1e-6, due_at - context.now


@then("{count:d} slots are free after {ms:d} ms")
def free_after(context, count, ms):
    assert admission.free_slots(context.state, STARTED_AT_S + ms / 1000) == count


@given("routes to a service with objectives of {objectives} ms")
def routes(context, objectives):
    context.objectives = [int(objective) for objective in objectives.split(",")]


@then("its slots are held for {hold:d} ms after a start")
def hold_is(context, hold):
    bodies = {key: body for key, body in BODIES.items() if not key.startswith("route/")}
    for number, objective in enumerate(context.objectives):
        route = {"name": f"r{number}", "prefix": f"/{number}", "objective_ms": objective}
        bodies[f"route/r{number}"] = {**ROUTE, "deadline_ms": 30_000, **route}
    items = {key: Item(1, body) for key, body in bodies.items()}
    context.snapshot = build_snapshot(1, "d", items).unwrap()
    held_ms = 1000 * former_work.longest_hold(context.snapshot, "roster")
    assert round(held_ms) == hold, held_ms
    assert former_work.longest_hold(context.snapshot, "other") == 0.0


@given("a server with {slots:d} slots that goes on with what is cut off, whose checks take a slot")
def real_server(context, slots):
    dialects_by_name[DIALECT] = HORNBEAMGW._replace(health_checks_take_slots=True)
    begin(context, slots, OnClose.WORK)
    context.backend.room = Room(slots, 8)
    name_health_path(context)


@when(
    "{count:d} callers beside it ask for {work:g} seconds of work,"
    " and its daemon is killed and started again"
)
def killed(context, count, work):
    async def run():
        context.backend.options = context.backend.options._replace(work=work)
        asking = await occupy(context, count, 3000, context.daemon)
        address = context.daemon.control.view.me.address
        admin = context.fleet.admin(context.daemon)
        await context.fleet.crash(context.daemon)
        context.daemon.admin.abort()
        context.daemon = await context.fleet.start(
            address=address, admin=admin, calls_dialect=DIALECT
        )
        await wait_for(lambda: context.daemon.gate.announcement is not None)
        await wait_for(lambda: context.daemon.control.versions.snapshot.version == 2)
        members = context.other.control.view.members_by_address
        incarnation = context.daemon.control.view.me.incarnation
        await wait_for(lambda: members[address].incarnation == incarnation)
        await wait_for(lambda: is_serving(members[address]))
        await asyncio.gather(*asking)

    context.runner.run(run())


@when("{count:d} callers ask for {work:g} seconds of work")
def callers_ask(context, count, work):
    async def run():
        clock = asyncio.get_running_loop().time
        began = clock()
        context.asking = [asyncio.create_task(ask(context, 3000)) for _ in range(count)]
        context.started, context.most = [], 0
        while not all(task.done() for task in context.asking):
            running = len(context.daemon.gate.state.running_by_attempt)
            while len(context.started) < running:
                context.started.append((clock() - began, context.backend.running))
            await asyncio.sleep(0.002)

    context.runner.run(run())


@then(
    "{count:d} of their requests have started within {seconds:g} seconds,"
    " and {running:d} requests run at the server"
)
def started_within(context, count, seconds, running):
    after, _ = context.started[count - 1]
    assert after <= seconds, context.started
    assert context.backend.room.peak_running == running, vars(context.backend.room)
