"""Steps for links between daemons that go silent while new ones work."""

from __future__ import annotations

import asyncio
import logging
import time

from behave import given, then, when

from hornbeamgw.core.membership import Status
from hornbeamgw.daemon import attempts, frames, heads, peers
from hornbeamgw.daemon import link as link_module
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient
from hornbeamgw.daemon.silence.link_watch import LinkWatch
from hornbeamgw.testing.local import wait_for
from hornbeamgw.testing.proxy import NO_IMPAIRMENT, Proxy
from properties import silent_links_soak

DIRECTIONS = {"both": (True, True), "there": (True, False), "back": (False, True)}
CALLER_PATIENCE_S = 0.5
CHECK_INTERVAL_S = 0.1
QUESTION_INTERVAL_S = 0.05


class Lines(logging.Handler):
    """Keeps the log records of one logger."""

    def __init__(self):
        """Start without records."""
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record)


def keep_lines(context):
    """Keep the lines on silent connections in `context.lines`."""
    context.lines = Lines()
    logger = logging.getLogger("hornbeamgw.daemon.silence.reports")
    logger.addHandler(context.lines)
    logging.disable(logging.NOTSET)

    async def close():
        logger.removeHandler(context.lines)
        logging.disable(logging.CRITICAL)

    context.closers.append(close)


@given("all links from A to B pass through a network that can silence the open ones")
def through_network(context):
    keep_lines(context)
    proxy = context.network = Proxy(context.b.control.view.me.address)

    async def dial(address, *args):
        is_b = address == proxy.target
        return await link_module.dial(proxy.address if is_b else address, *args)

    async def begin():
        await proxy.start()
        attempts.dial = dial

    async def close():
        attempts.dial = link_module.dial
        proxy.close()

    context.closers.append(close)
    context.runner.run(begin())


async def book(context, deadline_ms):
    """Make a booking, and return its status."""
    context.number = getattr(context, "number", 0) + 1
    client = HttpClient(context.fleet.callers(context.a), deadline_ms / 1000 + CALLER_PATIENCE_S)
    named = [
        (b"host", b"test.example"),
        (b"x-request-id", b"b%d" % context.number),
        (heads.DEADLINE_MS, str(deadline_ms).encode()),
    ]
    try:
        return (await client.request("POST", "/bookings", named, b"b")).status
    except (TimeoutError, ConnectionLost):
        return 0
    finally:
        client.close()


@given("the link from A to B has carried a booking")
def carried(context):
    async def run():
        assert await book(context, 2000) == 200
        context.link = context.a.links.link_if_open(context.network.target)
        assert context.link is not None

    context.runner.run(run())
    context.backend.runs_by_id.clear()


@when('the open links go silent "{direction}", and nothing is sent for {seconds:g} seconds')
def go_silent(context, direction, seconds):
    async def run():
        assert context.network.silence(*DIRECTIONS[direction]) == 1
        await asyncio.sleep(seconds)

    context.runner.run(run())


@when("a caller of A makes {count:d} bookings with a deadline of {ms:d} ms, one after the other")
def bookings(context, count, ms):
    bookings_apart(context, count, ms, 0.0)


@when(
    "a caller of A makes {count:d} bookings with a deadline of {ms:d} ms, {seconds:g} seconds apart"
)
def bookings_apart(context, count, ms, seconds):
    async def run():
        context.statuses = []
        for _ in range(count):
            context.statuses.append(await book(context, ms))
            await asyncio.sleep(seconds)

    context.runner.run(run())


@then("all of them are served, and each ran once")
def all_served(context):
    assert set(context.statuses) == {200}, context.statuses
    runs_by_id = context.backend.runs_by_id
    assert set(runs_by_id.values()) == {1}, runs_by_id
    assert len(runs_by_id) == len(context.statuses), (runs_by_id, context.statuses)


@then("all of them but {count:d} are served, and none ran twice")
def most_served(context, count):
    served = context.statuses.count(200)
    assert served >= len(context.statuses) - count, context.statuses
    assert max(context.backend.runs_by_id.values()) == 1, context.backend.runs_by_id


@then("A has told which peer was silent, for how long, and what was sent into it")
def told(context):
    b = context.b.control.view.me.address
    lines = context.lines.records
    context.runner.run(wait_for(lambda: lines))
    assert len(lines) == 1 and lines[0].kind == "link" and lines[0].peer == b, lines
    assert lines[0].silent_s >= 2.9 and lines[0].open_s >= 2.9, vars(lines[0])
    assert lines[0].unanswered_s <= 0.6 and lines[0].sent.endswith("bytes"), vars(lines[0])


async def ask_question(context):
    """Ask B for an outlook if a link is open; return the link."""
    link = context.a.links.link_if_open(context.network.target)
    if link is not None:
        link.send(frames.OutlookRequest(1, "roster", "all", "rosters", 500, 500, 500, 0, False))
    await asyncio.sleep(QUESTION_INTERVAL_S)
    return link


@then(
    "A has a link that was opened since within {seconds:d} second,"
    " if it asks B a question every 0.05 seconds"
)
def new_link(context, seconds):
    async def run():
        until = asyncio.get_running_loop().time() + seconds
        while await ask_question(context) in (None, context.link):
            assert asyncio.get_running_loop().time() < until, "no new link"

    context.runner.run(run())


@when(
    "nothing is sent for {idle:d} seconds,"
    " and B stands still for {still:g} seconds while A asks it questions"
)
def still_under_questions(context, idle, still):
    async def run():
        await asyncio.sleep(idle)
        context.accepted_before = context.network.accepted
        context.network.impairment = NO_IMPAIRMENT._replace(hold=True)
        until = asyncio.get_running_loop().time() + still
        while asyncio.get_running_loop().time() < until:
            await ask_question(context)
        context.network.impairment = NO_IMPAIRMENT

    context.runner.run(run())


@when("the open links go silent, and a booking is made after {seconds:g} seconds, {count:d} times")
def silent_often(context, seconds, count):
    async def run():
        for _ in range(count):
            context.network.silence()
            await asyncio.sleep(seconds)
            assert await book(context, 2000) == 200

    context.runner.run(run())


@when("the open links go silent, and B takes A for dead and has not heard it for a sweep")
def taken_for_dead(context):
    async def run():
        context.network.silence()
        b = context.b
        view, a = b.control.view, context.a.control.view.me
        now = asyncio.get_running_loop().time()
        for link in b.peers.links:
            link.signs.heard_at -= peers.SWEEP_INTERVAL_S
        known = view.members_by_address[a.address]
        view.members_by_address[a.address] = known._replace(status=Status.DEAD)
        b.peers._swept_at = now - peers.SWEEP_INTERVAL_S
        b.peers.check(now)
        view.members_by_address[a.address] = known

    context.runner.run(run())


@when("a connection to B is opened that says nothing")
def says_nothing(context):
    async def run():
        host, _, port = context.network.target.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))

        async def close():
            writer.close()

        context.closers.append(close)
        await wait_for(lambda: any(link.peer is None for link in context.b.peers.links))

    context.runner.run(run())


@then("within {seconds:d} seconds B has no more than {count:d} link of {whom}")
def let_go(context, seconds, count, whom):
    a = context.a.control.view.me.address if whom == "A" else ""

    def found():
        members = [x.peer.member if x.peer is not None else "" for x in context.b.peers.links]
        return members.count(a)

    async def wait():
        try:
            async with asyncio.timeout(seconds):
                await wait_for(lambda: found() <= count)
        except TimeoutError:
            raise AssertionError(f"{found()} links of {whom!r}") from None

    context.runner.run(wait())


@when("nothing is sent for {idle:d} seconds, and the network is held up for {held:g} seconds")
def held_up(context, idle, held):
    async def release():
        await asyncio.sleep(held)
        context.network.impairment = NO_IMPAIRMENT

    async def run():
        await asyncio.sleep(idle)
        context.network.impairment = NO_IMPAIRMENT._replace(hold=True)
        context.releasing = asyncio.create_task(release())

    context.runner.run(run())


@then("B waits from {shortest:g} to {longest:g} seconds for its peers to have read what it sent")
def waits_until_read(context, shortest, longest):
    async def run():
        loop = asyncio.get_running_loop()
        began = loop.time()
        await context.b.peers.wait_until_read()
        return loop.time() - began

    took = context.runner.run(run())
    assert shortest <= took <= longest, took


@when(
    "nothing is sent for {idle:d} seconds, and B stands still for {still:g} seconds under a booking"
)
def stands_still(context, idle, still):
    async def run():
        await asyncio.sleep(idle)
        context.accepted_before = context.network.accepted
        context.network.impairment = NO_IMPAIRMENT._replace(hold=True)
        booking = asyncio.create_task(book(context, 2000))
        await asyncio.sleep(still)
        context.network.impairment = NO_IMPAIRMENT
        context.statuses = [await booking]

    context.runner.run(run())


@when(
    "a booking is held up for {held:g} seconds,"
    " and then all daemons stand still for {still:g} seconds"
)
def held_and_still(context, held, still):
    async def run():
        context.network.impairment = NO_IMPAIRMENT._replace(hold=True)
        booking = asyncio.create_task(book(context, 5000))
        await asyncio.sleep(held)
        context.network.impairment = NO_IMPAIRMENT
        time.sleep(still)
        context.statuses = [await booking]

    context.runner.run(run())


@then("the booking is answered on the link from before")
def same_link(context):
    assert context.statuses == [200], context.statuses
    assert not context.link.lost

    async def link():
        return context.a.links.link_if_open(context.network.target)

    assert context.runner.run(link()) is context.link


@then("at most {count:d} links were opened meanwhile")
def opened(context, count):
    assert context.network.accepted - context.accepted_before <= count, context.network.accepted


def bytes_out_of_link(context):
    accepted = [link.bytes_out for link in context.b.peers.links]
    return [context.link.bytes_out, *accepted]


@when("nothing is sent for {seconds:d} seconds")
def nothing_sent(context, seconds):
    context.bytes_before = bytes_out_of_link(context)
    context.runner.run(asyncio.sleep(seconds))


@then("neither end of the link has sent a byte")
def no_byte(context):
    assert bytes_out_of_link(context) == context.bytes_before


class SlowTransport:
    """A transport whose bytes leave at a set rate."""

    def __init__(self):
        """Start with an empty buffer."""
        self.unsent, self.is_aborted = 0, False

    def write(self, data):
        """Add to what is unsent."""
        self.unsent += len(data)

    def get_write_buffer_size(self):
        """Return what is unsent."""
        return self.unsent

    def abort(self):
        """Note the end."""
        self.is_aborted = True


def check_for(context, seconds, leaving):
    """Check the link at the interval of a daemon while bytes leave."""
    for _ in range(round(seconds / CHECK_INTERVAL_S)):
        context.now += CHECK_INTERVAL_S
        context.transport.unsent -= min(leaving, context.transport.unsent)
        context.watch.check(context.now)
        if context.transport.is_aborted:
            return


@when("a link owes an answer for {seconds:d} seconds while what is unsent leaves slowly")
def leaves_slowly(context, seconds):
    async def begin():
        hello = frames.Hello("f", "10.0.0.9:7400", 1)
        link = link_module.Link(hello, print, lambda lost: None, lambda fault: None)
        context.transport = SlowTransport()
        link.connection_made(context.transport)
        context.now = asyncio.get_running_loop().time()
        context.transport.write(b"x" * 1_000_000)
        link.bytes_out += 1_000_000
        context.watch = LinkWatch(lambda fault: None)
        context.watch.probe(link, context.now)
        check_for(context, seconds, 1000)

    context.runner.run(begin())


@then("it is not closed")
def not_closed(context):
    assert not context.transport.is_aborted


@when("nothing of it leaves any more")
def stuck(context):
    context.stuck_at = context.now

    async def run():
        check_for(context, 5.0, 0)

    context.runner.run(run())


@then("it is closed within {seconds:g} seconds")
def closed(context, seconds):
    assert context.transport.is_aborted and context.now - context.stuck_at <= seconds


@when("the soak of silent links runs with seed {seed:d} for {seconds:d} seconds")
def soak(context, seed, seconds):
    context.report = context.runner.run(silent_links_soak.run_seed(seed, seconds))


@then("nothing of it is broken, and links went silent")
def none_broken(context):
    assert not context.report.problems, context.report
    assert context.report.requests and context.report.disruptions, context.report
