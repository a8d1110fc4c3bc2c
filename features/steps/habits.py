"""Steps for what health checks teach: one server and the daemon beside it, in simulated time."""

from __future__ import annotations

import heapq
import itertools
import random

from behave import given, then, when

from hornbeamgw.core import occupancy, service_times
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.occupancy import Outcome
from hornbeamgw.core.slots import AdmissionState, AttemptId, CutRequest

MEAN_S = 0.2
PLAY_S = 120.0
MAX_QUEUED = 2
LEAVING_SHARE = 0.33
CLOSE_S = 0.001
GIVE_UP_S = 0.01
ROUTE = "work"


def mixed(rng):
    return 0.4 * MEAN_S if rng.random() < 0.8 else 3.4 * MEAN_S


WORK = {
    "constant": lambda rng: MEAN_S,
    "exponential": lambda rng: rng.expovariate(1 / MEAN_S),
    "mixed": mixed,
}


class Play:
    """One play: events by time, what the server works on, and what the daemon knows."""

    def __init__(self, seed, slots, times, drops, gives_up_checks):
        self.rng = random.Random(seed)
        self.work, self.drops, self.gives_up_checks = WORK[times], drops, gives_up_checks
        self.state = AdmissionState()
        self.state.slots, self.state.server_state = slots, ServerState.SERVING
        self.events, self.order = [], itertools.count()
        self.at_work, self.waiting, self.queue = set(), [], []
        self.check = None
        self.learned_at = None

    def after(self, now, delay, event, *arguments):
        heapq.heappush(self.events, (now + delay, next(self.order), event, arguments))

    def run(self):
        """Return the time at which the server was taken for one that drops, or None."""
        self.after(0.0, 0.0, self.arrive)
        while self.events and self.learned_at is None:
            now, _, event, arguments = heapq.heappop(self.events)
            if now > PLAY_S:
                break
            event(now, *arguments)
            if self.check is None and occupancy.is_check_due(self.state, now):
                self.check = occupancy.begin_check(self.state, now)
                self.after(now, CLOSE_S, self.check_arrives)
        return self.learned_at

    def arrive(self, now):
        self.after(now, self.rng.expovariate(self.state.slots / MEAN_S), self.arrive)
        attempt = AttemptId("caller", 1, next(self.order))
        if len(self.queue) < MAX_QUEUED:
            self.queue.append((attempt, self.work(self.rng)))
        self.admit(now)

    def admit(self, now):
        state = self.state
        while self.queue and len(state.running_by_attempt) < state.slots:
            attempt, work = self.queue.pop(0)
            state.running_by_attempt[attempt] = None
            state.started_by_attempt[attempt] = now
            self.waiting.append((attempt, work))
            if self.rng.random() < LEAVING_SHARE:
                self.after(now, self.rng.uniform(0.1, 1.0) * MEAN_S, self.leave, attempt)
        self.begin(now)

    def begin(self, now):
        while self.waiting and len(self.at_work) < self.state.slots:
            attempt, work = self.waiting.pop(0)
            if attempt is None:
                self.after(now, CLOSE_S, self.check_ends, True)
                continue
            self.at_work.add(attempt)
            self.after(now, work, self.work_ends, attempt)

    def work_ends(self, now, attempt):
        if attempt not in self.at_work:
            return
        self.at_work.remove(attempt)
        state = self.state
        if attempt in state.running_by_attempt and attempt not in state.cuts_by_attempt:
            took = now - state.started_by_attempt[attempt]
            service_times.record(state.service_time_estimates, ROUTE, took)
            self.free(now, attempt)
        self.begin(now)

    def leave(self, now, attempt):
        state = self.state
        if attempt not in state.running_by_attempt:
            return
        started = state.started_by_attempt[attempt]
        state.habits.has_cut_any = True
        cut = state.cuts_by_attempt[attempt] = CutRequest(ROUTE, started, now, MEAN_S)
        occupancy.record_cut(state.service_time_estimates, cut)
        self.after(now, CLOSE_S, self.close, attempt)
        if self.drops:
            self.at_work.discard(attempt)
            self.waiting = [entry for entry in self.waiting if entry[0] != attempt]
            self.begin(now)

    def close(self, now, attempt):
        state = self.state
        cut = state.cuts_by_attempt[attempt] = state.cuts_by_attempt[attempt]._replace(
            closed_at=now
        )
        free_at = occupancy.free_at(state.habits, state.service_time_estimates, cut)
        self.after(now, max(0.0, free_at - now), self.free, attempt)

    def free(self, now, attempt):
        del self.state.running_by_attempt[attempt]
        self.state.cuts_by_attempt.pop(attempt, None)
        self.admit(now)

    def check_arrives(self, now):
        self.waiting.append((None, 0.0))
        self.begin(now)
        if self.gives_up_checks:
            self.after(now, GIVE_UP_S, self.give_up_check, self.check)

    def give_up_check(self, now, check):
        if check is self.check and (None, 0.0) in self.waiting:
            self.waiting.remove((None, 0.0))
            self.check_ends(now, False)

    def check_ends(self, now, is_answered):
        check, self.check = self.check, None
        if occupancy.record_check(self.state, check, is_answered, now) is Outcome.LEARNED:
            self.learned_at = now


@given("health checks fail that wait for a slot")
def gives_up(context):
    context.gives_up_checks = True


def plays(context, slots, times, drops, count):
    gives_up_checks = getattr(context, "gives_up_checks", False)
    found = (Play(seed, slots, times, drops, gives_up_checks).run() for seed in range(count))
    context.learned_at = [learned_at for learned_at in found if learned_at is not None]


@when(
    "a server with {slots:d} slots and {times} service times drops what is cut off,"
    " in {count:d} plays"
)
def drops(context, slots, times, count):
    plays(context, slots, times, True, count)


@when(
    "a server with {slots:d} slots and {times} service times goes on with what is cut off,"
    " in {count:d} plays"
)
def goes_on(context, slots, times, count):
    plays(context, slots, times, False, count)


@then("it is recognised within {seconds:d} seconds in at least {count:d} of them")
def recognised(context, seconds, count):
    found = [learned_at for learned_at in context.learned_at if learned_at <= seconds]
    assert len(found) >= count, sorted(context.learned_at)


@then("it is taken for one that drops in none of them")
def not_taken(context):
    assert not context.learned_at, context.learned_at


@given("a full server with {slots:d} slots, of which a request was cut off")
def full(context, slots):
    state = context.state = AdmissionState()
    state.slots, state.server_state = slots, ServerState.SERVING
    state.habits.has_cut_any = True
    for number in range(slots):
        state.running_by_attempt[AttemptId("caller", 1, number)] = None


@when("each health check that is sent to it in {seconds:d} seconds is refused")
def refused(context, seconds):
    context.checks = 0
    for tick in range(int(seconds / CLOSE_S)):
        now = tick * CLOSE_S
        if occupancy.is_check_due(context.state, now):
            context.checks += 1
            check = occupancy.begin_check(context.state, now)
            occupancy.record_check(context.state, check, False, now)


@then("at most {count:d} have been sent")
def few(context, count):
    assert context.checks <= count, context.checks
