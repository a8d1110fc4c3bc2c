"""Steps for committing edits."""

from __future__ import annotations

import asyncio
from pathlib import Path

from behave import given, then, when

from hornbeamgw.core import commit, edit
from hornbeamgw.core.catalogue import Item, compute_digest
from hornbeamgw.core.edit import Change, Delta, DeltaChange, Edit, Rejection
from hornbeamgw.daemon.committer import Committed
from hornbeamgw.testing.local import LocalFleet, edit_from_file, queue_limit_edit, wait_for
from hornbeamgw.testing.memory import LOSE_ANSWER, LOSE_REQUEST

EXAMPLE = Path("catalogue/vatuwaqa.yaml")


def start_fleet(context, daemons, **settings):
    """Start daemons in this process, with the example catalogue in force."""
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)

    async def start():
        for _ in range(daemons):
            await fleet.start(**settings)
        outcome = await fleet.daemons[0].committer.commit(edit_from_file(EXAMPLE, "example"))
        assert outcome == Committed(1), outcome
        await in_force(fleet, 1)

    context.runner.run(start())
    return fleet


async def in_force(fleet, version):
    """Wait until a version is in force on every daemon."""
    for daemon in fleet.daemons:
        await wait_for(lambda d=daemon: d.control.versions.snapshot.version >= version)


def newest(context):
    """Return the version of the head row."""
    row = context.fleet.platform.rows_by_key[commit.HEAD_KEY]
    return commit.decode_head(row.value)["version"]


@given("a daemon with the example catalogue in force")
def two_daemons(context):
    start_fleet(context, 2)


@given("the platform will lose the {what} of the next write")
def lose(context, what):
    fault = {"answer": LOSE_ANSWER, "request": LOSE_REQUEST}[what]
    context.fleet.platform.write_faults.append(fault)


@when('an operator edits "{key}"')
def edit_one(context, key):
    first = context.fleet.daemons[0]
    wanted = queue_limit_edit(first, key, 33, "one")
    context.outcomes = [context.runner.run(first.committer.commit(wanted))]
    assert not context.fleet.platform.write_faults, "the fault did not happen"


@when("an operator sends one edit twice by two daemons")
def send_twice(context):
    async def send():
        wanted = queue_limit_edit(context.fleet.daemons[0], "entry/booking", 33, "one")
        tasks = [daemon.committer.commit(wanted) for daemon in context.fleet.daemons]
        return await asyncio.gather(*tasks)

    context.outcomes = context.runner.run(send())


@then("the edit is version 2 and no other version came of it")
@then("both answers name version 2 and no other version came of it")
def one_version(context):
    assert all(outcome == Committed(2) for outcome in context.outcomes), context.outcomes
    assert newest(context) == 2


def race(context, keys):
    """Edit at once by two daemons."""

    async def send():
        pairs = zip(context.fleet.daemons, keys, strict=True)
        wanted = [
            (d, queue_limit_edit(d, key, 40 + i, f"e{i}")) for i, (d, key) in enumerate(pairs)
        ]
        return await asyncio.gather(*(d.committer.commit(e) for d, e in wanted))

    context.outcomes = context.runner.run(send())


@when("two operators edit different entries at once by two daemons")
def race_two(context):
    race(context, ("entry/booking", "entry/roster"))


@when("two operators edit one entry at once by two daemons")
def race_one(context):
    race(context, ("entry/booking", "entry/booking"))


@then("both edits are in force on both daemons")
def both_in_force(context):
    assert sorted(context.outcomes) == [Committed(2), Committed(3)], context.outcomes
    context.runner.run(in_force(context.fleet, 3))
    for daemon in context.fleet.daemons:
        entries = daemon.control.versions.snapshot.entries_by_name
        assert entries["booking"].limits.queue == 40 and entries["roster"].limits.queue == 41


@then("one edit is accepted and the other shows a conflict")
def one_conflict(context):
    accepted = [o for o in context.outcomes if isinstance(o, Committed)]
    refused = [o for o in context.outcomes if isinstance(o, Rejection)]
    assert accepted == [Committed(2)] and len(refused[0].conflicts) == 1, context.outcomes


BAD_ROUTE = {
    "name": "bad",
    "host": "h",
    "prefix": "/",
    "methods": ["GET"],
    "service": "missing",
    "entry": "booking",
    "idempotent": True,
    "deadline_ms": 5,
}


@when("an operator adds a route to a service that is not there")
def bad_edit(context):
    change = Change(key="route/bad", based_on=0, body=BAD_ROUTE)
    wanted = Edit(edit_id="bad", author="t", changes=[change])
    context.outcomes = [context.runner.run(context.fleet.daemons[0].committer.commit(wanted))]


@then("the edit is refused and version 1 stays in force")
def refused(context):
    (outcome,) = context.outcomes
    assert [p.key for p in outcome.problems] == ["route/bad.service"], outcome
    assert newest(context) == 1
    assert all(d.control.versions.snapshot.version == 1 for d in context.fleet.daemons)


def write_past_acceptance(context, body, edit_id):
    """Write the next version without the checks of acceptance."""
    platform = context.fleet.platform
    known = context.fleet.daemons[0].control.versions.catalogue
    version = known.version + 1
    items = {**known.items, "route/bad": Item(version, body)}
    delta = Delta(
        version=version,
        edit_id=edit_id,
        author="t",
        at_ms=0,
        parent_digest=known.digest,
        digest=compute_digest(items),
        changes=[DeltaChange(key="route/bad", body=body)],
    )
    row = platform.rows_by_key[commit.HEAD_KEY]
    plan = commit.plan(commit.decode_head(row.value), row.etag, delta, False)
    assert context.runner.run(platform.transact(plan.writes))


@when("a bad version is written straight into the platform")
def bad_version(context):
    write_past_acceptance(context, BAD_ROUTE, "bad")
    known = [d.control.versions for d in context.fleet.daemons]
    context.runner.run(wait_for(lambda: all(v.catalogue.version == 2 for v in known)))


@then("every daemon keeps version 1 whole and says why it rejects version 2")
def keeps(context):
    for daemon in context.fleet.daemons:
        state = daemon.control.versions
        assert state.snapshot.version == 1 and "bookings" in str(state.snapshot.routes_by_host)
        assert [p.key for p in state.rejected_by_version[2]] == ["route/bad.service"]


@when("a good version follows the bad one")
def good_version(context):
    write_past_acceptance(context, {**BAD_ROUTE, "service": "roster"}, "good")


@when("an edit is written by a committer that dies before it spreads")
def dead_committer(context):
    first = context.fleet.daemons[0]
    known = first.control.versions.catalogue
    wanted = queue_limit_edit(first, "entry/booking", 33, "one")
    delta = edit.accept(known, wanted, 0).unwrap()
    row = context.fleet.platform.rows_by_key[commit.HEAD_KEY]
    plan = commit.plan(commit.decode_head(row.value), row.etag, delta, False)
    assert context.runner.run(context.fleet.platform.transact(plan.writes))


@then("version {version:d} is in force on both daemons")
def version_in_force(context, version):
    context.runner.run(in_force(context.fleet, version))


@when("{count:d} edits are accepted")
def many_edits(context, count):
    async def send():
        first = context.fleet.daemons[0]
        for number in range(count):
            wanted = queue_limit_edit(first, "entry/booking", 50 + number, f"many{number}")
            outcome = await first.committer.commit(wanted)
            assert outcome == Committed(number + 2), outcome

    context.runner.run(send())


@then("at most {count:d} delta rows are kept")
def compacted(context, count):
    rows = [key for key in context.fleet.platform.rows_by_key if key.startswith("delta-")]
    assert 0 < len(rows) <= count, len(rows)


@then("a daemon that starts from nothing gets version {version:d} from the platform alone")
def newcomer(context, version):
    async def start():
        late = await context.fleet.start(seeds=())
        await wait_for(lambda: late.control.versions.snapshot.version == version)
        return late

    late = context.runner.run(start())
    first = context.fleet.daemons[0].control.versions.snapshot
    assert late.control.versions.snapshot.digest == first.digest
