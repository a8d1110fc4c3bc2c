"""Steps for link admission: one VM with a narrow link, in simulated time."""

from __future__ import annotations

import heapq
import itertools
import math
import random

from behave import given, then, when

from hornbeamgw.core import admission, link_admission, pacing, service_times, transfers
from hornbeamgw.core.admission import Admitted, AttemptId, Queued, Refused, Request
from hornbeamgw.core.link_admission import TimeLeft
from hornbeamgw.testing import simulated

KB = 1000
MEAN_BYTES, MAX_BYTES, SIZE_LOG_SIGMA = 90 * KB, 540 * KB, 0.4
DOWNLOADS_PER_S, READS_PER_S = 15.0, 36.0
SERVICE_S, OBJECTIVE_S, DEADLINE_S = 0.118, 1.081, 6.498
READ_SERVICE_S, READ_OBJECTIVE_S, READ_DEADLINE_S = 0.044, 0.244, 0.763
SLOTS = 7
RETRIES = 2
PART_S = 0.01


def link_rate(megabits):
    return pacing.usable_rate(megabits * 1e6 / 8)


class Download:
    """A request of a caller, over all its tries."""

    def __init__(self, began, size):
        self.began, self.size, self.tries = began, size, 0
        self.promised = 0.0


class Play:
    """One play of a server with 7 slots and its link, which sends the shortest rest first."""

    def __init__(self, seed, counts_promised):
        self.rng = random.Random(seed)
        self.counts_promised = counts_promised
        self.state = simulated.new_server("objective", SLOTS)
        self.sizes = transfers.TransferState()
        self.rate = link_rate(6.5)
        self.events, self.order = [], itertools.count()
        self.requests = {}
        self.link, self.is_sending = [], False
        self.pending = self.promised = 0.0
        self.asked = self.began = self.in_time = self.late = self.refused = 0
        self.bytes_in_time = 0.0
        self.reads = self.reads_in_time = 0

    def after(self, now, delay, event, *arguments):
        heapq.heappush(self.events, (now + delay, next(self.order), event, arguments))

    def run(self, seconds):
        self.seconds = seconds
        self.after(0.0, 0.0, self.ask)
        self.after(0.0, 0.0, self.read)
        while self.events:
            now, _, event, arguments = heapq.heappop(self.events)
            event(now, *arguments)
        return self

    def ask(self, now):
        if now >= self.seconds:
            return
        self.after(now, self.rng.expovariate(DOWNLOADS_PER_S), self.ask)
        scale = math.log(MEAN_BYTES) - SIZE_LOG_SIGMA**2 / 2
        self.asked += 1
        size = min(MAX_BYTES, self.rng.lognormvariate(scale, SIZE_LOG_SIGMA))
        self.attempt(now, Download(now, size))

    def attempt(self, now, download):
        download.tries += 1
        left = TimeLeft(
            download.began + OBJECTIVE_S - now, download.began + DEADLINE_S - now, OBJECTIVE_S
        )
        expected = transfers.expected_size(self.sizes, "download")
        service = service_times.expected_time(
            self.state.service_time_estimates, "download", OBJECTIVE_S
        )
        if self.counts_promised:
            backlog = self.pending + self.promised
            wait = link_admission.wait_for_room(expected, backlog, self.rate, service, left)
            if wait:
                self.refuse(now, download, wait)
                return
            transfer = link_admission.time_after_service(expected, backlog, self.rate, service)
        else:
            transfer = transfers.transfer_time(expected, self.pending, self.rate)
        attempt = AttemptId("a", 1, next(self.order))
        request = Request(
            attempt, "all", simulated.HIGH_LIMITS, now + left.deadline, "download",
            now + left.objective, OBJECTIVE_S, 2, download.tries > 1, transfer, now,
        )  # fmt: skip
        download.promised = expected
        self.requests[attempt] = download
        self.apply(now, [admission.admit(self.state, request, simulated.SERVICE, now)])

    def refuse(self, now, download, wait):
        delay = wait * self.rng.uniform(1, 1.5)
        left = download.began + DEADLINE_S - now
        if download.tries > RETRIES or delay > left / 3:
            self.refused += 1
            return
        self.after(now, delay, self.attempt, download)

    def read(self, now):
        if now >= self.seconds:
            return
        self.after(now, self.rng.expovariate(READS_PER_S), self.read)
        self.reads += 1
        attempt = AttemptId("b", 1, next(self.order))
        request = Request(
            attempt, "all", simulated.HIGH_LIMITS, now + READ_DEADLINE_S, "read",
            now + READ_OBJECTIVE_S, READ_OBJECTIVE_S, 0, arrived_at=now,
        )  # fmt: skip
        self.apply(now, [admission.admit(self.state, request, simulated.SERVICE, now)])

    def apply(self, now, decisions):
        for decision in decisions:
            attempt = decision.request.attempt
            download = self.requests.get(attempt)
            if isinstance(decision, Admitted):
                mean = READ_SERVICE_S if download is None else SERVICE_S
                work = mean * self.rng.lognormvariate(-0.125, 0.5)
                self.after(now, work, self.end_service, attempt, now, decision.request)
            if download is None:
                continue
            if isinstance(decision, Refused):
                self.promised -= download.promised
                download.promised = 0.0
                self.refuse(now, download, decision.failure.retry_after_ms / 1000)
            elif isinstance(decision, Queued) or decision.request.arrived_at == now:
                self.promised += download.promised

    def end_service(self, now, attempt, started, request):
        decisions = admission.finish(self.state, attempt, started, now)
        download = self.requests.pop(attempt, None)
        if download is None:
            # Small answers wait for one part of a large one at most.
            self.reads_in_time += now + 2 * PART_S <= request.objective
        else:
            self.began += 1
            self.promised -= download.promised
            transfers.note_size(self.sizes, "download", round(download.size))
            self.pending += download.size
            heapq.heappush(self.link, [download.size, next(self.order), download])
            self.send(now)
        self.apply(now, decisions)

    def send(self, now):
        if self.link and not self.is_sending:
            self.is_sending = True
            part = min(self.link[0][0], self.rate * PART_S)
            entry = heapq.heappop(self.link)
            self.after(now, part / self.rate, self.sent, entry, part)

    def sent(self, now, entry, part):
        self.is_sending = False
        self.pending -= part
        entry[0] -= part
        download = entry[2]
        if entry[0] > 0.5:
            heapq.heappush(self.link, entry)
        elif now <= download.began + OBJECTIVE_S:
            self.in_time += 1
            self.bytes_in_time += download.size
        elif now <= download.began + DEADLINE_S:
            self.late += 1
        self.send(now)


@when(
    "one of these VMs is asked in {count:d} plays of {seconds:d} seconds,"
    " by pending bytes and by all accepted ones"
)
def plays(context, count, seconds):
    context.before, context.after = (
        [Play(seed, counts_promised).run(seconds) for seed in range(count)]
        for counts_promised in (False, True)
    )
    context.seconds = seconds


def total(plays, name):
    return sum(getattr(play, name) for play in plays)


@then("at most {ratio:g} of the downloads that begin don't end before their deadline")
def few_lost(context, ratio):
    began = total(context.after, "began")
    lost = began - total(context.after, "in_time") - total(context.after, "late")
    assert lost <= ratio * began, (lost, began)


@then("at least {ratio:g} of the downloads that begin are in time")
def begun_in_time(context, ratio):
    counts = total(context.after, "in_time"), total(context.after, "began")
    assert counts[0] >= ratio * counts[1], counts


@then("at least {ratio:g} of the bytes that the link can send are those of downloads in time")
def used(context, ratio):
    sendable = sum(play.rate * context.seconds for play in context.after)
    found = total(context.after, "bytes_in_time") / sendable
    assert found >= ratio, found


@then("callers get no less than with pending bytes alone, where a late answer counts half")
def no_less(context):
    values = [
        (total(plays, "in_time") + total(plays, "late") / 2) / total(plays, "asked")
        for plays in (context.before, context.after)
    ]
    assert values[1] >= values[0], values


@then("at least {ratio:g} of the small reads are in time")
def reads_in_time(context, ratio):
    found = total(context.after, "reads_in_time") / total(context.after, "reads")
    assert found >= ratio, found


@given("a link of {megabits:g} Mbit/s that is promised {count:d} answers of {size:d} KB")
def promised(context, megabits, count, size):
    context.rate, context.size = link_rate(megabits), size * KB
    context.backlog = count * context.size


@then("another one is refused, and told to return in {least:g} to {most:g} seconds")
def refused(context, least, most):
    left = TimeLeft(OBJECTIVE_S, DEADLINE_S, OBJECTIVE_S)
    wait = link_admission.wait_for_room(
        context.size, context.backlog, context.rate, SERVICE_S, left
    )
    assert least <= wait <= most, wait


@then("one with an objective of {objective:d} ms and a deadline of {deadline:d} ms may begin")
def may_begin(context, objective, deadline):
    left = TimeLeft(objective / 1000, deadline / 1000, objective / 1000)
    wait = link_admission.wait_for_room(context.size, context.backlog, context.rate, 0.05, left)
    assert wait == 0, wait
