"""Steps for quotas: a seeded simulation of daemons that run the core functions."""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random
from collections import Counter, defaultdict

from behave import given, then, when

from hornbeamgw.core.membership import Member, Status
from hornbeamgw.core.node import Envelope, Lease, QuotaGrant, QuotaReport, Use
from hornbeamgw.core.quotas import owner, quota, usage
from hornbeamgw.core.quotas.quota import Bound, Quota
from hornbeamgw.daemon import datagrams

BOUND = Bound()
DATA_CENTRES = 3
TICK_S = 0.1
FLEET = datagrams.fleet_hash("hornbeamgw")


class Daemon:
    """One simulated daemon with its own view of the members."""

    def __init__(self, address, incarnation, quotas, rng):
        """Start with the quotas in force and no answer of any owner."""
        self.address, self.incarnation, self.quotas = address, incarnation, quotas
        self.usage = usage.UsageState(BOUND, rng)
        self.owner = owner.OwnerState(BOUND)
        self.is_running, self.is_frozen, self.is_cut_off = True, False, False
        self.inbox, self.waiting = [], defaultdict(list)
        self.members, self.owners, self.share, self.due = [], (), 1.0, math.inf
        self.served_until = {}

    def set_owners(self, owners, now):
        """Note the owners in this daemon's view."""
        for number, address in enumerate(owners):
            was_owner = self.owners and self.owners[number] == self.address
            if address == self.address:
                self.served_until[number] = math.inf
            elif was_owner:
                self.served_until[number] = now + owner.HANDOVER_S
        self.owners = owners

    def serves(self, partition, now):
        """Return whether this daemon answers reports on a partition."""
        return now < self.served_until.get(partition, 0.0)


class Simulation:
    """Daemons in three data centres, 0.9 ms apart, with datagrams that may be lost."""

    def __init__(self, count, quotas, seed, loss=0.0):
        """Start all daemons, which have known each other for long."""
        self.rng = random.Random(seed)
        self.now, self.queue, self.order = 0.0, [], itertools.count()
        self.loss, self.quotas = loss, quotas
        self.daemons = {}
        self.starts, self.asked, self.refusals = defaultdict(list), Counter(), defaultdict(list)
        self.waits, self.messages = Counter(), Counter()
        self.bytes_by_address = Counter()
        self.retry_ratio = 0.0
        for index in range(count):
            self.add(f"10.0.{index // 200}.{index % 200}:7400", 1000)
        self.set_views(list(self.daemons))

    def add(self, address, incarnation):
        """Start a daemon, or start it again under its address."""
        held = Daemon(address, incarnation, self.quotas, random.Random(self.rng.random()))
        old = self.daemons.get(address)
        self.daemons[address] = held
        if old is not None:
            old.is_running = False
            held.members = old.members
        usage.set_quotas(held.usage, self.quotas, self.now)
        self.at(self.now + self.rng.random() * TICK_S, lambda: self.tick(held))
        return held

    def data_centre(self, address):
        """Return the data centre of a daemon."""
        return list(self.daemons).index(address) % DATA_CENTRES

    def in_data_centre(self, number):
        """Return the addresses of a data centre."""
        return list(self.daemons)[number::DATA_CENTRES]

    def at(self, when, action):
        """Run an action at a time."""
        heapq.heappush(self.queue, (when, next(self.order), action))

    def set_views(self, addresses, statuses=None, share=1.0):
        """Let the daemons at some addresses see all members, some of them with another status."""
        statuses = statuses or {}
        members = [
            Member(a, f"dc{i % 3}", "r", d.incarnation, status=statuses.get(a, Status.ALIVE))
            for i, (a, d) in enumerate(self.daemons.items())
        ]
        owners = quota.choose_owners(quota.eligible_owners(members))
        for address in addresses:
            held = self.daemons[address]
            held.set_owners(owners, self.now)
            held.members, held.share = members, share
            usage.set_owners(held.usage, owners, self.now)
            self.flush(held)

    def owner_of(self, name):
        """Return the address of the owner that most daemons see."""
        owners = Counter(d.owners[quota.partition_of(name)] for d in self.daemons.values())
        return owners.most_common(1)[0][0]

    def set_quotas(self, quotas):
        """Put a version with other quotas in force everywhere."""
        self.quotas = quotas
        for held in self.daemons.values():
            held.quotas = quotas
            usage.set_quotas(held.usage, quotas, self.now)
            metered = owner.set_quotas(held.owner, quotas, self.now)
            self.announce(held, metered)
            self.flush(held)

    def tick(self, held):
        """Run what a daemon does ten times a second."""
        if not held.is_running:
            return
        if not held.is_frozen:
            owner.tick(held.owner, self.now)
        self.at(self.now + TICK_S, lambda: self.tick(held))

    def freeze(self, address):
        """Stop a daemon; what arrives for it waits."""
        self.daemons[address].is_frozen = True

    def wake(self, address):
        """Let a frozen daemon go on with what has arrived."""
        held = self.daemons[address]
        held.is_frozen = False
        owner.tick(held.owner, self.now)
        inbox, held.inbox = held.inbox, []
        for sender, message in inbox:
            self.receive(held, sender, message)
        self.flush(held)

    def send(self, sender, address, message):
        """Send a message, which may be lost."""
        kind = type(message).__name__
        self.messages[kind] += 1
        target = self.daemons[address]
        if sender.address == address:
            self.receive(target, sender.address, message)
            return
        envelope = Envelope(sender.address, 0, 0, 0, [], message)
        size = len(datagrams.encode_datagram(FLEET, envelope))
        self.bytes_by_address[sender.address] += size
        self.bytes_by_address[address] += size
        if self.rng.random() < self.loss or sender.is_cut_off or target.is_cut_off:
            return
        delay = 0.0009 + 0.002 * self.rng.random()
        self.at(self.now + delay, lambda: self.receive(target, sender.address, message))

    def receive(self, held, sender, message):
        """Handle a message at a daemon."""
        if not held.is_running:
            return
        if held.is_frozen:
            held.inbox.append((sender, message))
        elif isinstance(message, QuotaGrant):
            usage.receive_grant(held.usage, sender, message, self.now)
            self.wake_waiting(held)
            usage.ask_again(held.usage, message.partition, self.now)
            self.flush(held)
        elif held.serves(message.partition, self.now):
            answer = owner.receive(
                held.owner, held.quotas, sender, message, held.share, self.now, self.rng
            )
            if answer is not None:
                self.send(held, sender, answer.grant)
                self.announce(held, answer.newly_metered)

    def announce(self, held, names):
        """Tell all members that organisations are metered."""
        for name in names:
            lease = Lease(name, False, 0, 0, 0)
            grant = QuotaGrant(0, quota.partition_of(name), 0, [lease])
            for member in held.members:
                self.send(held, member.address, grant)

    def flush(self, held):
        """Send the reports that are due, and come back when the next are."""
        if not held.is_running or held.is_frozen:
            return
        for address, report in usage.due_reports(held.usage, self.now):
            self.send(held, address, report)
        due = usage.next_due(held.usage)
        if due < held.due - 1e-9 or held.due <= self.now:
            held.due = due
            if due < math.inf:
                self.at(max(due, self.now + 1e-4), lambda: self.flush(held))

    def ask(self, address, name):
        """Let a request of an organisation arrive at a daemon."""
        held = self.daemons[address]
        self.asked[name] += 1
        if not held.is_running or held.is_frozen:
            return
        decision = usage.take(held.usage, name, self.now)
        if isinstance(decision, usage.Wait):
            self.waits[name] += 1
            entry = [name]
            held.waiting[name].append(entry)
            self.at(decision.until, lambda: self.end_wait(held, entry))
        else:
            self.note(held, name, decision)
        self.flush(held)

    def wake_waiting(self, held):
        """Decide on the waiting requests for which an answer has arrived."""
        for name, entries in held.waiting.items():
            while entries and usage.may_end_wait(held.usage, name, self.now):
                entry = entries.pop(0)
                entry.clear()
                self.note(held, name, usage.end_wait(held.usage, name, self.now))

    def end_wait(self, held, entry):
        """Decide on a request that has waited as long as it may."""
        if entry and held.is_running:
            name = entry[0]
            held.waiting[name].remove(entry)
            self.note(held, name, usage.end_wait(held.usage, name, self.now))
            self.flush(held)

    def note(self, held, name, decision):
        """Count a started or a refused request; some are sent to a server again."""
        if isinstance(decision, usage.Taken):
            self.starts[name].append(self.now)
            if self.retry_ratio and self.rng.random() < self.retry_ratio:
                self.at(self.now + 0.2, lambda: self.ask(held.address, name))
        else:
            self.refusals[name].append((self.now, decision.retry_after_ms))

    def demand(self, name, rate, choose, until):
        """Let requests arrive at random at a rate, a number or a function of time."""
        rate_at = rate if callable(rate) else lambda now: rate

        def arrive():
            if self.now < until:
                self.ask(choose(self.now), name)
                self.at(self.now + self.rng.expovariate(max(rate_at(self.now), 1e-3)), arrive)

        self.at(self.now + self.rng.expovariate(max(rate_at(self.now), 1e-3)), arrive)

    def totals(self):
        """Return what has been counted so far."""
        return {
            "asked": sum(self.asked.values()),
            "waited": sum(self.waits.values()),
            "refused": sum(map(len, self.refusals.values())),
            "reports": self.messages["QuotaReport"],
            "bytes": Counter(self.bytes_by_address),
        }

    def run(self, until):
        """Run until a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    def anywhere(self, now):
        """Return any daemon that runs."""
        return self.rng.choice(list(self.daemons))


def most_in_window(times, window_s=BOUND.window_s):
    """Return the largest number of times in any window."""
    return max((bisect.bisect(times, t + window_s) - i for i, t in enumerate(times)), default=0)


def permitted(limit):
    """Return the number of requests that a window may hold."""
    return (limit.rate * 5 + limit.burst) * 1.1 + 20


def organisations(count=84, total=2000.0):
    """Return usual rates by name and quotas of 1.6 times of them, sizes falling as 1/rank^1.2."""
    weights = [1 / rank**1.2 for rank in range(1, count + 1)]
    usual = {f"org-{i + 1:02d}": total * w / sum(weights) for i, w in enumerate(weights)}
    return usual, {name: Quota(1.6 * rate, 1.6 * rate) for name, rate in usual.items()}


# Steps.


def names_in(text):
    return text.replace('"', "").split(" and ")


@given("a simulated fleet of {count:d} daemons")
def simulated(context, count, loss=0.0, is_limited=True):
    usual, limits = organisations()
    context.usual, context.limits = usual, limits
    context.sim = Simulation(count, limits if is_limited else {}, seed=1, loss=loss)
    context.choose = context.sim.anywhere


@given("a simulated fleet of {count:d} daemons that loses {loss:g} of the messages")
def simulated_with_loss(context, count, loss):
    simulated(context, count, loss)


@given("a simulated fleet of {count:d} daemons without quotas")
def simulated_without_quotas(context, count):
    simulated(context, count, is_limited=False)


@given("callers use one data centre, another one each second")
def moving(context):
    sim = context.sim
    context.choose = lambda now: sim.rng.choice(sim.in_data_centre(int(now) % DATA_CENTRES))


def send(context, names, times, start=0.0):
    for name in names:
        rate = context.usual[name]
        context.sim.demand(
            name,
            lambda now, r=rate: r * (times if now >= start else 1),
            lambda now: context.choose(now),
            60.0,
        )


@given("all organisations send at their usual rates")
def all_usual(context):
    send(context, context.usual, 1)


@given("{names} send at their usual rates")
@given("{names} sends at its usual rate")
def usual_rates(context, names):
    send(context, names_in(names), 1)


@given("{names} send at {times:g} times their usual rates")
def times_usual(context, names, times):
    send(context, names_in(names), times)


@given("{names} sends at {times:g} times its usual rate from second {start:d}")
def times_usual_from(context, names, times, start):
    send(context, names_in(names), times, start)


@given("a third of the requests is sent to a server a second time")
def second_time(context):
    context.sim.retry_ratio = 1 / 3


@when("the fleet runs for {seconds:d} s to settle")
def settle(context, seconds):
    context.sim.run(seconds)
    context.since = seconds
    context.before = context.sim.totals()


@when("it runs for {seconds:d} s")
def run_for(context, seconds):
    context.sim.run(context.sim.now + seconds)


@when("each organisation sends its burst at once to {where}")
def bursts(context, where):
    sim = context.sim
    for number, (name, limit) in enumerate(context.limits.items()):
        one = list(sim.daemons)[number]
        for _ in range(math.floor(limit.burst)):
            address = one if where == "one daemon" else sim.anywhere(0)
            at = sim.now + 0.002 * sim.rng.random()
            sim.at(at, lambda a=address, n=name: sim.ask(a, n))


HOT = ("org-01", "org-20", "org-84")


def owners_of_hot(context):
    return {context.sim.owner_of(name) for name in HOT}


def doubt(context, doubted, by, at, status=Status.SUSPECT, spread=1.0):
    """Let daemons see others as lost, each at its own time."""
    sim = context.sim
    share = 1.0 if status is Status.DEAD else 1 - len(doubted) / len(sim.daemons)
    statuses = dict.fromkeys(doubted, status)
    for address in by:
        when = at + spread * sim.rng.random()
        sim.at(when, lambda a=address: sim.set_views([a], statuses, share))


def rest(context, some):
    return [address for address in context.sim.daemons if address not in some]


@when("the owners are killed")
def kill(context):
    sim, killed = context.sim, owners_of_hot(context)
    others = rest(context, killed)
    context.choose = lambda now: sim.rng.choice(others)
    for address in killed:
        sim.daemons[address].is_running = False
    doubt(context, killed, others, sim.now + 2.5)
    doubt(context, killed, others, sim.now + 12, Status.DEAD)


@when("the owners are frozen for 6 s and woken")
def freeze(context):
    sim, frozen = context.sim, owners_of_hot(context)
    for address in frozen:
        sim.freeze(address)
        sim.at(sim.now + 6, lambda a=address: sim.wake(a))
    doubt(context, frozen, rest(context, frozen), sim.now + 2.5)
    doubt(context, [], list(sim.daemons), sim.now + 6.2, spread=1.5)


@when("the owners are frozen for 0.9 s every 3 s")
def freeze_often(context):
    sim = context.sim
    for address in owners_of_hot(context):
        for number in range(4):
            at = sim.now + 3 * number
            sim.at(at, lambda a=address: sim.freeze(a))
            sim.at(at + 0.9, lambda a=address: sim.wake(a))


@when("the owners are cut off")
def cut_off(context):
    sim, gone = context.sim, owners_of_hot(context)
    others = rest(context, gone)
    for address in gone:
        sim.daemons[address].is_cut_off = True
        doubt(context, [a for a in sim.daemons if a != address], [address], sim.now + 2.5)
    doubt(context, gone, others, sim.now + 2.5)


@when("the owners are doubted by half of the fleet for 3 s")
def differing_views(context):
    sim, doubted = context.sim, owners_of_hot(context)
    half = [address for address in sim.daemons if address not in doubted][::2]
    doubt(context, doubted, half, sim.now, spread=0.0)
    doubt(context, [], list(sim.daemons), sim.now + 3, spread=0.5)


@when("the owners restart under their addresses")
def restart(context):
    sim = context.sim
    for address in owners_of_hot(context):
        sim.add(address, 100_000)
    doubt(context, [], list(sim.daemons), sim.now + 0.1, spread=1.5)


@when("{count:d} daemons restart with clocks that were set back")
def restart_in_past(context, count):
    sim = context.sim
    for address in sim.rng.sample(list(sim.daemons), count):
        sim.add(address, 1)
    doubt(context, [], list(sim.daemons), sim.now + 0.1)


@when("half of the daemons are killed and started 2 s later")
def half(context):
    sim = context.sim
    again = list(sim.daemons)[::2]
    others = rest(context, again)
    choose, restarted_at = context.choose, sim.now + 2
    context.choose = lambda now: choose(now) if now > restarted_at else sim.rng.choice(others)
    for address in again:
        sim.daemons[address].is_running = False
        sim.at(restarted_at, lambda a=address: sim.add(a, 100_000))
    doubt(context, [], list(sim.daemons), restarted_at + 0.05, spread=0.5)


@when("their quotas are divided by {divisor:d}")
def lower(context, divisor):
    context.limits = {
        name: Quota(limit.rate / divisor, limit.burst / divisor) if name in HOT else limit
        for name, limit in context.limits.items()
    }
    context.sim.starts.clear()
    context.sim.set_quotas(context.limits)


@then("no window holds more than permitted")
@then("no window since then holds more than permitted")
def bound_holds(context):
    sim = context.sim
    most = {name: most_in_window(sim.starts[name]) for name in sim.starts}
    over = {n: (m, permitted(context.limits[n])) for n, m in most.items()}
    assert most
    assert not any(m > limit for m, limit in over.values()), {
        name: found for name, found in over.items() if found[0] > found[1]
    }


@then("{names} uses at least {ratio:g} of its quota from second {start:d} to {end:d}")
@then("{names} use at least {ratio:g} of their quotas from second {start:d} to {end:d}")
def used(context, names, ratio, start, end):
    ratios = {}
    for name in names_in(names):
        started = sum(start <= at < end for at in context.sim.starts[name])
        # The tokens of a part of a request are kept for the next window.
        ratios[name] = (started + 1) / (end - start) / context.limits[name].rate
    assert all(found >= ratio for found in ratios.values()), ratios


def refusals_since(context, names, since):
    found = {n: [at for at, _ in context.sim.refusals[n] if at >= since] for n in names}
    return {name: len(times) for name, times in found.items() if times}


@then("nothing is refused")
def no_refusal(context):
    found = refusals_since(context, list(context.usual), context.since)
    assert not found, found
    assert sum(context.sim.asked.values()) > 0


@then("nothing of {names} is refused")
def no_refusal_of(context, names):
    found = refusals_since(context, names_in(names), context.since)
    assert not found, found


@then('nothing of "{name}" is refused after second {since:d}')
def no_refusal_after(context, name, since):
    found = refusals_since(context, [name], since)
    assert not found, found


@then('refused callers of "{name}" are told different times')
def different_times(context, name):
    told = [delay for at, delay in context.sim.refusals[name] if at >= context.since]
    assert len(told) > 50
    assert min(told) > 0
    assert max(told) - min(told) > 100, (min(told), max(told))
    assert len(set(told)) > 0.5 * min(len(told), 500), (len(set(told)), len(told))


@then("at most {ratio:g} of the requests wait for an answer")
def few_wait(context, ratio):
    asked = sum(context.sim.asked.values()) - context.before["asked"]
    waited = sum(context.sim.waits.values()) - context.before["waited"]
    assert waited <= ratio * asked, (waited, asked)


def bytes_per_second(context):
    sim, seconds = context.sim, context.sim.now - context.since
    return {
        address: (sim.bytes_by_address[address] - context.before["bytes"][address]) / seconds
        for address in sim.daemons
    }


@then("each daemon sends and receives at most {count} bytes/s of messages on quotas")
def bytes_each(context, count):
    most = sorted(bytes_per_second(context).values())[-5:]
    assert most[-1] <= int(count.replace(",", "")), most


@then("on average a daemon sends and receives at most {count} bytes/s of them")
def bytes_on_average(context, count):
    found = list(bytes_per_second(context).values())
    assert sum(found) / len(found) <= int(count.replace(",", "")), sum(found) / len(found)


@then("there are at least {count:d} refusals for each report")
def local_refusals(context, count):
    refused = sum(map(len, context.sim.refusals.values())) - context.before["refused"]
    reports = context.sim.messages["QuotaReport"] - context.before["reports"]
    assert refused >= count * reports, (refused, reports)


@then("no message was sent")
def no_message(context):
    assert not context.sim.messages, context.sim.messages


@then("no daemon keeps anything about organisations")
def no_state(context):
    for held in context.sim.daemons.values():
        assert not held.usage.uses_by_name
        assert not held.usage.partitions
        assert not held.owner.buckets_by_name


@given("a user that has sent three reports which were not answered")
def unanswered(context):
    context.state = usage.UsageState(BOUND, random.Random(1))
    usage.set_quotas(context.state, {"north": Quota(10, 10)}, 0.0)
    usage.set_owners(context.state, ["owner"] * quota.PARTITIONS, 0.0)
    # Without an answer since the start, a request would start by the daemon's equal share.
    context.state.partitions[quota.partition_of("north")].answered_at = 0.0
    context.reports = []
    for now in (1.0, 1.3, 1.6):
        assert isinstance(usage.take(context.state, "north", now), usage.Wait | usage.Refused)
        context.reports += [report for _, report in usage.due_reports(context.state, now)]
    assert len(context.reports) == 3, context.reports


def grant(context, index):
    report = context.reports[index]
    lease = Lease("north", False, 3, 1000, 0)
    message = QuotaGrant(report.session, report.partition, report.sequence, [lease])
    usage.receive_grant(context.state, "owner", message, 1.7)


@when("the grant for the first of them arrives")
def first_grant(context):
    grant(context, 0)


@when("the grant for the third of them arrives")
def third_grant(context):
    grant(context, 2)


def started_of(context, count):
    decisions = [usage.take(context.state, "north", 1.71) for _ in range(count)]
    return sum(isinstance(decision, usage.Taken) for decision in decisions)


@then("it starts nothing")
def starts_nothing(context):
    assert context.state.uses_by_name["north"].tokens == 0


@then("it starts as many as granted")
def starts_granted(context):
    assert started_of(context, 10) == 3


def report_of(count, sequence=1):
    reported = Use("north", count, count, count, 0, 2)
    return QuotaReport(7, quota.partition_of("north"), sequence, [reported])


@given("an owner that gets a report")
def owner_with_report(context):
    context.owner = owner.OwnerState(BOUND)
    for sequence, count in ((1, 2), (2, 5)):
        context.answer = owner.receive(
            context.owner,
            {"north": Quota(10, 10)},
            "user",
            report_of(count, sequence),
            1.0,
            float(sequence) / 10,
            random.Random(1),
        )
    context.described = owner.describe(context.owner, "north")


@when("the same report arrives again")
def again(context):
    context.answer = owner.receive(
        context.owner,
        {"north": Quota(10, 10)},
        "user",
        report_of(5, 2),
        1.0,
        0.2,
        random.Random(1),
    )


@then("it isn't answered, and the tokens left are the same")
def not_answered(context):
    assert context.answer is None
    assert owner.describe(context.owner, "north") == context.described


@then("a report and a grant are the same after encoding and decoding")
def same_after_encoding(context):
    report = QuotaReport(2**32 - 1, 3, 70_000, [Use("Club QRZ", 9, 8, 7, 6, 5, True)])
    leases = [Lease("north", True, 5, 4000, 0, 2.5), Lease("south", False, 0, 100, 300, 0.0)]
    for message in (report, QuotaGrant(7, 15, 1, leases)):
        sent = Envelope("10.0.0.1:7400", 0, 0, 0, [], message)
        received = datagrams.decode_datagram(5, datagrams.encode_datagram(5, sent))
        assert received.message == message, received


def members_started(*ages_ms):
    return [Member(f"m{i}", "dc", "r", 1_000_000 - age) for i, age in enumerate(ages_ms)]


@then("of members of which half started just now, the others are chosen")
def senior_owners(context):
    members = members_started(0, 10, 20, 60_000, 70_000, 80_000)
    owners = set(quota.choose_owners(quota.eligible_owners(members)))
    assert owners <= {"m3", "m4", "m5"}, owners


@then("of members that all started just now, some are chosen")
def all_new(context):
    assert len(quota.eligible_owners(members_started(0, 10, 20))) == 3


@given(
    "one of {members:d} daemons that has just started, "
    "and an organisation with {rate:d} requests/s"
)
def just_started(context, members, rate):
    context.usage = usage.UsageState(BOUND, random.Random(1))
    context.usage.members = members
    usage.set_quotas(context.usage, {"org": Quota(rate, rate)}, 0.0)
    context.now = 0.0


@when("{rate:d} requests/s of it arrive for {seconds:d} s and no owner answers")
def no_owner_answers(context, rate, seconds):
    context.started = []
    for number in range(rate * seconds):
        now = context.now + number / rate
        context.started.append(isinstance(usage.take(context.usage, "org", now), usage.Taken))
    context.now += seconds


@then("all of them start")
def all_start(context):
    assert all(context.started), context.started


@then("at most {count:d} of them start")
def few_start(context, count):
    assert 0 < sum(context.started) <= count, sum(context.started)
