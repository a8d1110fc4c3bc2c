"""Steps for what is kept of departures; no network."""

from __future__ import annotations

import asyncio
import random

import msgspec
from behave import given, then, when

from hornbeamgw.backends.base import PlatformError
from hornbeamgw.backends.rows import RowPage, StoredRow
from hornbeamgw.core import departures
from hornbeamgw.core.departures import KeeperState, LeftRun
from hornbeamgw.core.membership import Member, ServerState
from hornbeamgw.core.registration import Announcement
from hornbeamgw.daemon import codec, frames
from hornbeamgw.daemon.departures import Keeper
from hornbeamgw.daemon.presence import OwnRow

KEY = "10.0.0.9:7400"
ME = Member(KEY, "suva-1", "fiji", 1)
SERVER = Announcement("roster", "10.0.0.9:8301", 6, 10, ServerState.SERVING, 0.0, "i-1")
LEFT = LeftRun("i-9", 1000, True)
EARLIER = LeftRun("i-8", 1000, True)


@then("that is so for 1 to 50 keepers, and none has to answer where there are none")
def quorum(context):
    for keepers in range(1, 51):
        confirmed = departures.confirmations_needed(keepers)
        heard = departures.answers_needed(keepers)
        assert 1 <= confirmed <= keepers and 1 <= heard <= keepers, keepers
        assert confirmed + heard > keepers, keepers
    assert departures.answers_needed(0) == 0 < departures.confirmations_needed(0)


@given("300 random messages of 10 instances with seed {seed:d}")
def messages(context, seed):
    context.rng = random.Random(seed)
    context.told = [
        LeftRun(
            f"i-{context.rng.randrange(10)}", context.rng.randrange(5), context.rng.random() < 0.5
        )
        for _ in range(300)
    ]


@then("each order of them gives the furthest stage of each instance")
def any_order(context):
    furthest = {}
    for run in context.told:
        former = furthest.get(run.instance, run)
        furthest[run.instance] = max(former, run, key=lambda r: (r.started_ms, r.is_gone))
    for _ in range(20):
        context.rng.shuffle(context.told)
        known = ()
        for run in context.told:
            known = departures.merge(known, [run])
            assert departures.includes(known, run)
        assert {run.instance: run for run in known} == furthest, known


def tell(context, address, count, now=0.0):
    if not hasattr(context, "kept"):
        context.kept = KeeperState()
    for number in range(count):
        departures.keep(context.kept, address, [LeftRun(f"i-{number}", 0, True)], now)


@when('the daemon at "{address}" tells {count:d} departures')
def one_tells(context, address, count):
    tell(context, address, count)


@when('{seconds:d} s later the daemon at "{address}" tells {count:d} departures')
def later_tells(context, seconds, address, count):
    tell(context, address, count, float(seconds))


@when("{count:d} daemons tell a departure each")
def many_tell(context, count):
    for number in range(count):
        tell(context, f"10.0.{number // 250}.{number % 250}:7", 1)


@then("the last {count:d} are kept for it")
def last_kept(context, count):
    ((kept, _),) = context.kept.kept_by_address.values()
    assert [run.instance for run in kept] == [f"i-{n}" for n in range(100 - count, 100)], kept


@then("the last {count:d} of them are kept")
def last_daemons(context, count):
    kept = list(context.kept.kept_by_address)
    assert len(kept) == count and kept[-1] == "10.0.7.249:7", (len(kept), kept[-1])


@then('nothing is kept for "{address}"')
def nothing_kept(context, address):
    assert address not in context.kept.kept_by_address and context.kept.kept_by_address


@given("a keeper that was started {when_started}")
def keeper(context, when_started):
    async def begin():
        now = asyncio.get_running_loop().time()
        ago = 0.0 if when_started == "with the fleet" else float(when_started.split()[0])
        kept = Keeper(now - ago, when_started == "with the fleet")
        context.answer = kept.answer(KEY, frames.Departures((LEFT,), False))

    context.runner.run(begin())


@then("its answer is reliable: {may}")
def reliable(context, may):
    assert context.answer == frames.Departures((LEFT,), may == "yes"), context.answer


@then("a frame with departures is decoded as it was")
def crosses(context):
    sent = frames.Departures((LEFT, LeftRun("i-ü", (1 << 63) + 1, False)), True)
    assert codec.decode_frame(codec.encode_frame(sent)[codec.LENGTH_PREFIX_BYTES :]) == sent


def left_rows(left):
    return {"servers": [SERVER], "left": left}


LOCAL_BY_CASE = {
    "of the former release": [SERVER],
    "with a departure": left_rows([LEFT]),
    "with a text for a departure": left_rows(["i-9"]),
    "with a negative start of a departure": left_rows([["i-9", -1, True]]),
    "with too many departures": left_rows([[f"i-{n}", 0, True] for n in range(17)]),
}


@given("the row of a daemon {case}")
def row_of(context, case):
    async def read():
        context.row = OwnRow(None, ME)
        value = msgspec.json.encode([ME, LOCAL_BY_CASE[case]])
        context.row.found(StoredRow(KEY, value, 1))
        context.servers = await context.row.last_known()

    context.runner.run(read())


@then("it names {result}")
def names(context, result):
    assert list(context.servers) == ([] if result == "nothing" else [SERVER]), context.servers
    assert context.row.left == ((LEFT,) if "who left" in result else ()), context.row.left


class LateStore:
    """Keep one row at revisions, and do the first write late."""

    def __init__(self):
        """Start without a row."""
        self.row, self.late, self.writes = None, None, 0

    async def read(self, table, key=""):
        """Return the row."""
        return RowPage([] if self.row is None else [self.row], 1, 0.0)

    async def write(self, table, key, value, expected=None):
        """Keep the first write for later and fail; do the others, if the revision is right."""
        self.writes += 1
        if self.writes == 1:
            self.late = (value, expected)
            raise PlatformError("no answer")
        return self.put(value, expected)

    def put(self, value, expected):
        """Do a write if its condition holds, and return the revision."""
        current = 0 if self.row is None else self.row.revision
        if expected not in (None, current):
            return 0
        self.row = StoredRow(KEY, value, current + 1)
        return current + 1


@given("a store that does a write of {whom} later, without an answer")
def late_store(context, whom):
    async def begin():
        context.store = LateStore()
        context.store.put(msgspec.json.encode([ME, []]), None)
        former = OwnRow(context.store, ME)
        former.found(context.store.row)
        former.set_servers([SERVER])
        writing = asyncio.create_task(former.write())
        while not context.store.late:
            await asyncio.sleep(0)
        if whom == "this process":
            await writing
            context.row = former
            return
        writing.cancel()
        context.row = OwnRow(context.store, ME)
        context.row.found(context.store.row)

    context.runner.run(begin())


@when("a departure is stored, and the late write is done")
def late_done(context):
    async def run():
        context.row.add_left((LEFT,))
        await context.row.write()
        await asyncio.wait_for(context.row.wait_stored(LEFT), 1.0)
        context.store.put(*context.store.late)

    context.runner.run(run())


@then("the stored row still has that departure")
def still_stored(context):
    async def read():
        row = OwnRow(context.store, ME)
        row.found(context.store.row)
        assert row.left == (LEFT,), row.left

    context.runner.run(read())


@given("a store that does a write of the former process later, with a departure")
def late_departure(context):
    async def begin():
        context.store = LateStore()
        context.store.put(msgspec.json.encode([ME, []]), None)
        former = OwnRow(context.store, ME)
        former.found(context.store.row)
        former.add_left((EARLIER,))
        writing = asyncio.create_task(former.write())
        while not context.store.late:
            await asyncio.sleep(0)
        writing.cancel()
        context.row, context.reported = OwnRow(context.store, ME), []
        context.row.on_left_found = context.reported.extend
        context.row.found(context.store.row)

    context.runner.run(begin())


@when("the late write is done, and then another departure is stored")
def done_then_stored(context):
    async def run():
        context.store.put(*context.store.late)
        context.row.add_left((LEFT,))
        await context.row.write()

    context.runner.run(run())


@then("the stored row has both departures, and the first one was reported")
def both_stored(context):
    async def read():
        row = OwnRow(context.store, ME)
        row.found(context.store.row)
        assert set(row.left) == {EARLIER, LEFT}, row.left
        assert context.reported == [EARLIER], context.reported

    context.runner.run(read())
