"""Steps for organisations: keys, revocation, ranks, and what catalogues and commands show."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import random
import time
from typing import NamedTuple

import h11
import msgspec
from behave import given, then, when
from explaining import Collector
from findings import call_of
from mesh_platform.catalogue import decode_version
from outside import ROUTE_COLUMNS
from result import Err, Ok

from hornbeamgw.commands.catalogue import _diff_row
from hornbeamgw.commands.organisations import last_refusals, organisation_rows
from hornbeamgw.core.catalogue import (
    Item,
    compute_digest,
    parse_file,
    resolve_digests,
    to_file,
    validate,
)
from hornbeamgw.core.declaration import Heard
from hornbeamgw.core.dialect import HORNBEAMGW
from hornbeamgw.core.edit import Catalogue, Change, Edit, requested_changes
from hornbeamgw.core.organisations import identity
from hornbeamgw.core.organisations.rank import rank
from hornbeamgw.core.organisations.validation import digest_of_key
from hornbeamgw.core.snapshot import (
    ANONYMOUS,
    Caller,
    Limits,
    Organisation,
    Route,
    build_snapshot,
)
from hornbeamgw.core.verdict import Failure, Reason, not_run
from hornbeamgw.daemon import codec, frames, heads
from hornbeamgw.daemon.call import Call, fingerprint_of_call
from hornbeamgw.daemon.http1 import HttpClient, header
from hornbeamgw.daemon.organisation_use import OTHERS, OrganisationUse
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

KEYS = {
    "north": ["north-secret-1", "north-secret-2", "north-secret-3"],
    "south": ["south-secret-1", "south-secret-2"],
    "Club QRZ": ["club-secret-1"],
}
ALL_KEYS = [key for keys in KEYS.values() for key in keys]
KEY, ORGANISATION = HORNBEAMGW.key, HORNBEAMGW.organisation
REVOCATION_LIMIT_S = 5.0


def organisation(name, keys, **fields):
    return {"name": name, "key_digests": [digest_of_key(key) for key in keys], **fields}


def route(name, **fields):
    return {
        "name": name,
        "host": "test.example",
        "prefix": f"/{name}",
        "service": "roster",
        "entry": "all",
        "idempotent": True,
        "deadline_ms": 8000,
        "priority": 2,
        **fields,
    }


PLAIN = {
    "entry/all": {"name": "all", "owner": "o", "traffic_class": "c", "limits": {"slots": 6}},
    "service/roster": {"name": "roster", "owner": "o"},
    "route/rosters": route("rosters"),
    "route/open": route("open", public=True),
}
BODIES = {
    **PLAIN,
    "organisation/north": organisation("north", KEYS["north"]),
    "organisation/south": organisation("south", KEYS["south"], priority=1, rate_per_second=40),
    "organisation/Club QRZ": organisation("Club QRZ", KEYS["Club QRZ"], burst=5.5),
}


def items_of(bodies):
    return {key: Item(1, body) for key, body in bodies.items()}


def snapshot_of(bodies, version=1):
    items = items_of(bodies)
    return build_snapshot(version, compute_digest(items), items).unwrap()


# Real daemons on loopback.


def collect_logs(context):
    context.collector = Collector()
    root, before = logging.getLogger(), logging.getLogger().level
    logging.disable(logging.NOTSET)
    root.addHandler(context.collector)
    root.setLevel(logging.INFO)

    async def stop():
        root.removeHandler(context.collector)
        root.setLevel(before)
        logging.disable(logging.CRITICAL)

    context.closers.append(stop)


def start(context, names, bodies, servers, slots=6):
    collect_logs(context)
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)
    context.response = None

    async def begin():
        context.daemons = {name: await fleet.start() for name in names}
        context.a = context.daemons["A"]
        await context.a.committer.commit(edit_from_bodies(bodies, "e"))
        context.backends = {
            name: await fleet.start_backend(context.daemons[name], "roster", slots=slots)
            for name in servers
        }
        context.gate = context.daemons[servers[0]].gate
        members = context.a.control.view.members_by_address
        for daemon in context.daemons.values():
            await wait_for(lambda d=daemon: d.control.versions.snapshot.version == 1)
        for name in servers:
            address = context.daemons[name].control.view.me.address
            await wait_for(lambda a=address: a in members and members[a].service == "roster")

    context.runner.run(begin())


@given("daemons A and B with organisations, the roster server beside B")
def two(context):
    start(context, "AB", BODIES, "B")


@given("daemons A and B with organisations, the roster server beside B with one slot")
def two_with_one_slot(context):
    start(context, "AB", BODIES, "B", slots=1)


@given("daemons A, B and C with organisations, roster servers beside B and C")
def three(context):
    start(context, "ABC", BODIES, "BC")


@given("daemons A and B without organisations, the roster server beside B")
def plain(context):
    start(context, "AB", PLAIN, "B")


@given("a daemon without a version")
def unready(context):
    collect_logs(context)
    fleet = context.fleet = LocalFleet(context.scenario.name)
    context.closers.append(fleet.close)

    async def begin():
        context.a = await fleet.start()

    context.runner.run(begin())


def client_of(context):
    return HttpClient(context.fleet.callers(context.a), 15.0)


def named(call_id, *headers):
    return [(b"host", b"test.example"), (b"hornbeamgw-call-id", call_id), *headers]


async def ask(context, call_id, *headers, target="/rosters"):
    client = client_of(context)
    # The backend stand-in records requests by this header.
    recorded = (b"x-request-id", call_id)
    try:
        return await client.request("GET", target, named(call_id, recorded, *headers))
    finally:
        client.close()


def key_of(name):
    return KEY, KEYS[name][0].encode()


async def edit(context, **bodies_by_name):
    """Put another version in force at A; return the time (s) of its acknowledgement."""
    catalogue = context.a.control.versions.catalogue
    changes = []
    for name, body in bodies_by_name.items():
        key = f"organisation/{name}"
        changes.append(Change(key=key, based_on=catalogue.items[key].revision, body=body))
    version = catalogue.version + 1
    await context.a.committer.commit(Edit(edit_id=f"e{version}", author="test", changes=changes))
    return version, time.monotonic()


async def in_force(context, version):
    for daemon in context.daemons.values():
        await wait_for(lambda d=daemon: d.control.versions.snapshot.version >= version)


WRONG_KEYS = {
    "no key": [],
    "an empty key": [b""],
    "an unknown key": [b"north-secret-9"],
    "a valid key twice": [b"north-secret-1", b"north-secret-1"],
    "a valid and another key": [b"north-secret-1", b"other"],
    "two keys in one header": [b"north-secret-1, south-secret-1"],
    "a valid key in capitals": [b"NORTH-SECRET-1"],
}


@when("a caller identifies itself with {keys}")
def with_keys(context, keys):
    values = WRONG_KEYS[keys]
    context.sent = [value.decode() for value in values if value]
    context.response = context.runner.run(ask(context, b"c1", *((KEY, v) for v in values)))


@when("a caller sends its key in a header line with a space before the colon")
def not_http(context):
    async def run():
        host, port = context.fleet.callers(context.a).rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        line = KEY + b" : north-secret-1"
        writer.write(b"GET /rosters HTTP/1.1\r\nhost: test.example\r\n" + line + b"\r\n\r\n")
        context.response = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()

    context.runner.run(run())


@then("it is told that the request is not valid")
def told_not_valid(context):
    assert context.response.startswith(b"HTTP/1.1 400 "), context.response
    assert b"illegal header line" in context.response, context.response


@when('a caller of "{name}" sends a request that claims to be "{other}"')
def claims(context, name, other):
    claimed = [(ORGANISATION, other.encode()), (b"Hornbeamgw_Organisation", other.encode())]
    context.response = context.runner.run(ask(context, b"c1", key_of(name), *claimed))


@when('a caller sends a request to a public route that claims to be "{other}"')
def claims_public(context, other):
    headers = [key_of("north"), (ORGANISATION, other.encode())]
    context.response = context.runner.run(ask(context, b"c1", *headers, target="/open"))


@when("a caller sends a request with a key and the name of an organisation")
def plain_request(context):
    headers = [key_of("north"), (ORGANISATION, b"north")]
    context.response = context.runner.run(ask(context, b"c1", *headers))


@when("a caller sends it a request without a key")
def to_unready(context):
    context.response = context.runner.run(ask(context, b"c1"))


def fail_identification(context, function):
    original = getattr(identity, function)

    def fails(*arguments):
        raise ValueError("fault with north-secret-1")

    async def restore():
        setattr(identity, function, original)

    setattr(identity, function, fails)
    context.closers.append(restore)
    context.response = context.runner.run(ask(context, b"c1", key_of("north")))


@when("the identification at A fails and a caller sends a request")
def fails_at_a(context):
    fail_identification(context, "identify")


@when("the identification at B fails and a caller sends a request")
def fails_at_b(context):
    fail_identification(context, "identify_at_server")


@then('it gets the status {status:d}, the reason "{reason}" and the verdict "{verdict}"')
def refused(context, status, reason, verdict):
    response = context.response
    assert response.status == status, response
    assert header(response.headers, heads.REASON) == reason.encode(), response.headers
    assert header(response.headers, heads.VERDICT) == verdict.encode(), response.headers


@then("it gets the status {status:d}")
def gets(context, status):
    assert context.response.status == status, context.response


@then("the answer names a scheme, but no time to retry after")
def scheme(context):
    headers = context.response.headers
    assert header(headers, b"www-authenticate"), headers
    assert header(headers, b"retry-after") is None, headers
    assert header(headers, heads.RETRY_AFTER_MS) is None, headers


@then("no request has reached a server")
def not_reached(context):
    for backend in context.backends.values():
        assert not backend.runs_by_id, backend.runs_by_id


def log_text(context):
    assert context.collector.records
    return "\n".join(repr(record.__dict__) for record in context.collector.records)


@then("no log line has a key")
def no_key_logged(context):
    text = log_text(context)
    found = [key for key in [*ALL_KEYS, *getattr(context, "sent", ())] if key in text]
    assert not found, found


@then("neither the answer nor a log line has a key")
def no_key_shown(context):
    no_key_logged(context)
    text = repr(context.response)
    found = [key for key in [*ALL_KEYS, *getattr(context, "sent", ())] if key in text]
    assert not found, found


def received(context, call_id="c1"):
    found = [
        b.headers_by_id[call_id] for b in context.backends.values() if call_id in b.headers_by_id
    ]
    assert len(found) == 1, found
    return found[0]


@then('the server has got the organisation "{name}" once, and no key')
def got_organisation(context, name):
    headers = received(context)
    values = [v for n, v in headers if n.replace(b"_", b"-") == ORGANISATION]
    assert values == [name.encode()], headers
    assert header(headers, KEY) is None, headers
    assert not any(key.encode() in value for key in ALL_KEYS for _, value in headers), headers


@then("the server has got no organisation and no key")
def got_none(context):
    headers = received(context)
    assert header(headers, KEY) is None and header(headers, ORGANISATION) is None, headers


@then("the server has got both headers as they were sent")
def got_both(context):
    headers = received(context)
    assert (KEY, b"north-secret-1") in headers and (ORGANISATION, b"north") in headers, headers


@then('the log line of the call names "{name}"')
def line_names(context, name):
    lines = [r for r in context.collector.records if r.getMessage() == "call ended"]
    assert [line.organisation for line in lines] == [name], lines


@when('a caller of "north" sends requests on one connection while its key is revoked')
def kept_connection(context):
    async def run():
        client = client_of(context)
        before = [await client.request("GET", "/rosters", named(b"k", key_of("north")))]
        connections = list(client._idle)
        without = organisation("north", KEYS["north"][1:])
        _, acknowledged = await edit(context, north=without)
        while True:
            response = await client.request("GET", "/rosters", named(b"k", key_of("north")))
            if response.status == 401:
                break
            before.append(response)
            await asyncio.sleep(0.01)
        context.revoked_after = time.monotonic() - acknowledged
        context.before, context.connections = before, connections
        context.connections_after = list(client._idle)
        client.close()

    context.runner.run(run())


@then("they are answered before, and get the status 401 within {seconds:d} s after it")
def revoked_soon(context, seconds):
    assert all(response.status == 200 for response in context.before), context.before
    assert context.revoked_after < seconds, context.revoked_after
    assert len(context.connections) == 1 and context.connections == context.connections_after


async def waits_behind(context, name):
    """Return the tasks of a running request and of one that waits for the only slot."""
    running = asyncio.create_task(
        ask(context, b"first", key_of("Club QRZ"), target="/rosters?work_ms=900")
    )
    await wait_for(lambda: context.gate.state.running_by_attempt)
    # Leaves the queue policy no reason to refuse the second request.
    context.gate.state.mean_service_time = 0.01
    waiting = asyncio.create_task(ask(context, b"second", key_of(name)))
    await wait_for(lambda: context.gate.state.queue)
    return running, waiting


@when('a request of "north" waits behind one of "Club QRZ" and the key of "north" is revoked')
def revoked_in_queue(context):
    async def run():
        running, waiting = await waits_behind(context, "north")
        await edit(context, north=organisation("north", KEYS["north"][1:]))
        context.response = await waiting
        context.was_running = not running.done()
        context.first = await running

    context.runner.run(run())


@then("the waiting one gets the status 401 while the other one still runs")
def refused_while_running(context):
    refused(context, 401, "unauthenticated", "not_run")
    assert context.was_running
    assert context.first.status == 200, context.first


@when('a request of "north" waits and its key is revoked just before the slot becomes free')
def revoked_before_start(context):
    async def run():
        # The check at intervals comes too late.
        context.gate._refuse_revoked = lambda now: None
        running, waiting = await waits_behind(context, "north")
        version, _ = await edit(context, north=organisation("north", KEYS["north"][1:]))
        await in_force(context, version)
        assert not running.done()
        await running
        context.response = await waiting

    context.runner.run(run())


@then("the waiting one gets the status 401")
def waiting_refused(context):
    refused(context, 401, "unauthenticated", "not_run")


@then("the server has run one request")
def ran_one(context):
    runs = [backend.runs_by_id for backend in context.backends.values()]
    assert [sum(counts.values()) for counts in runs] == [1], runs


@when('the key of "north" is revoked, then the server that runs its request ends')
def revoked_before_retry(context):
    async def run():
        asked = asyncio.create_task(
            ask(context, b"first", key_of("north"), target="/rosters?work_ms=4000")
        )
        backends = context.backends
        await wait_for(lambda: any(backend.running for backend in backends.values()))
        context.ran = next(name for name, backend in backends.items() if backend.running)
        version, _ = await edit(context, north=organisation("north", KEYS["north"][1:]))
        await in_force(context, version)
        backends[context.ran]._server.abort()
        context.response = await asked

    context.runner.run(run())


@then('the caller is told that the request may have run, for the reason "{reason}"')
def may_have_run(context, reason):
    refused(context, 502, reason, "may_have_run")


@then("the other server has run no request")
def other_idle(context):
    other = next(backend for name, backend in context.backends.items() if name != context.ran)
    assert not other.runs_by_id, other.runs_by_id


@when('a request of "north" waits behind one of "Club QRZ" and its key moves to "south"')
def moves_in_queue(context):
    async def run():
        running, waiting = await waits_behind(context, "north")
        version, _ = await edit(
            context,
            north=organisation("north", KEYS["north"][1:]),
            south=organisation("south", [*KEYS["south"], KEYS["north"][0]], priority=1),
        )
        await in_force(context, version)
        assert not running.done()
        context.both = [await running, await waiting]

    context.runner.run(run())


@then("both get the status 200")
def both_answered(context):
    assert [response.status for response in context.both] == [200, 200], context.both


@then('the server has got the organisation "{name}" for the one that waited')
def got_moved(context, name):
    assert header(received(context, "second"), ORGANISATION) == name.encode()


@when('a request of "{name}" waits behind one of "Club QRZ"')
def waits(context, name):
    async def run():
        running, waiting = await waits_behind(context, name)
        (context.queued,) = context.gate.state.queue
        context.both = [await running, await waiting]

    context.runner.run(run())


@then('the waiting request has the organisation "{name}" and the rank {number:d} at admission')
def at_admission(context, name, number):
    assert context.queued.organisation == name, context.queued
    assert context.queued.priority == number, context.queued


@then(
    'a query for an outlook of "{name}" arrives with the organisation "{same}" and the rank {n:d}'
)
def outlook_arrives(context, name, same, n):
    from hornbeamgw.daemon.servers import _outlook_request

    snapshot = snapshot_of(BODIES)
    known = snapshot.routes_by_host["test.example"]["/rosters"][0]
    caller = Caller(snapshot.organisations_by_name[name], b"d" * 32)
    head = heads.RequestHead(b"GET", b"/", [])
    call = Call("c", known, "roster", head, 5.0, 2, caller, snapshot)
    call.answer_by = 1.0
    sent = _outlook_request(call, 0.0)
    payload = codec.encode_frame(sent)[codec.LENGTH_PREFIX_BYTES :]
    arrived = codec.decode_frame(payload)
    assert arrived == sent and (arrived.organisation, arrived.priority) == (same, n), arrived


# Snapshots and versions.


@given('a snapshot in which "north" has 3 keys and "south" has 2')
def snapshot_given(context):
    context.bodies = {
        **PLAIN,
        **{k: BODIES[k] for k in ("organisation/north", "organisation/south")},
    }
    context.items = items_of(context.bodies)
    context.snapshot = build_snapshot(1, "d", context.items).unwrap()


def owners(snapshot):
    return {digest: known.name for digest, known in snapshot.organisations_by_digest.items()}


def digest(key):
    return hashlib.sha256(key.encode()).digest()


@when('each key of "north" moves to "south" in a version of its own')
def keys_move(context):
    north, south = list(KEYS["north"]), list(KEYS["south"])
    items, snapshot = context.items, context.snapshot
    context.expected, context.found = [], []
    while north:
        south.append(north.pop())
        moved = {
            "organisation/north": Item(1, organisation("north", north)),
            "organisation/south": Item(1, organisation("south", south, priority=1)),
        }
        updated = {**items, **moved}
        snapshot = build_snapshot(snapshot.version + 1, "d", updated, items, snapshot).unwrap()
        items = updated
        expected = {digest(key): "north" for key in north} | {digest(key): "south" for key in south}
        context.expected.append(expected)
        context.found.append(owners(snapshot))


@then("at each version each of the 5 keys has the organisation that the version gives it")
def always_one(context):
    assert context.found == context.expected
    assert [len(found) for found in context.found] == [5, 5, 5]


@when("{count:d} random versions of {names:d} organisations follow one another with seed {seed:d}")
def random_versions(context, count, names, seed):
    rng = random.Random(seed)
    items, snapshot = items_of(PLAIN), snapshot_of(PLAIN)
    owner_by_key = {f"key-{index}": rng.randrange(names) for index in range(5 * names)}
    context.built, context.unchanged = [], []
    for version in range(2, count + 2):
        updated = dict(items)
        if rng.random() < 0.8:
            for key in rng.sample(sorted(owner_by_key), rng.randint(1, 6)):
                owner_by_key[key] = rng.randrange(names) if rng.random() < 0.8 else None
            for number in range(names):
                keys = [key for key, owner in owner_by_key.items() if owner == number]
                body = organisation(f"o{number}", keys, priority=rng.choice([0, 1]))
                name = f"organisation/o{number}"
                if rng.random() < 0.1:
                    # Its keys belong to nobody until it is there again.
                    updated.pop(name, None)
                elif name not in items or items[name].body != body:
                    updated[name] = Item(version, body)
        else:
            updated["route/rosters"] = Item(version, route("rosters", deadline_ms=version))
        built = build_snapshot(version, "d", updated, items, snapshot)
        if isinstance(built, Err):
            # A removed organisation may keep a key that another one has got: take the rest over.
            continue
        after = built.ok_value
        context.built.append((after, snapshot_of({k: i.body for k, i in updated.items()})))
        if all(updated.get(k) is items.get(k) for k in {*items, *updated} if k[0] == "o"):
            context.unchanged.append((snapshot, after))
        items, snapshot = updated, after


@then("each snapshot has the organisations of one that is built from nothing")
def same_as_new(context):
    assert len(context.built) > 150, len(context.built)
    for built, new in context.built:
        assert built.organisations_by_name == new.organisations_by_name
        assert built.organisations_by_digest == new.organisations_by_digest


@then("a version without a change of them has the same mapping as the one before")
def same_mapping(context):
    assert len(context.unchanged) > 10
    for before, after in context.unchanged:
        assert before.organisations_by_digest is after.organisations_by_digest


@given("a snapshot of {count:d} organisations with {keys:d} keys each")
def large(context, count, keys):
    bodies = {
        f"organisation/o{n}": organisation(f"o{n}", [f"k-{n}-{i}" for i in range(keys)])
        for n in range(count)
    }
    context.items = items_of({**PLAIN, **bodies})
    context.snapshot = build_snapshot(1, "d", context.items).unwrap()


@when("one organisation gets another key")
def one_more(context):
    body = context.items["organisation/o7"].body
    digests = [*body["key_digests"], digest_of_key("new")]
    updated = {**context.items, "organisation/o7": Item(2, {**body, "key_digests": digests})}
    context.after = build_snapshot(2, "d", updated, context.items, context.snapshot).unwrap()


@then("the snapshot has the same objects for the other {count:d}")
def same_objects(context, count):
    before, after = context.snapshot, context.after
    by_name = before.organisations_by_name
    same = [name for name, known in after.organisations_by_name.items() if by_name[name] is known]
    assert len(same) == count, len(same)
    assert after.organisations_by_digest[digest("new")].name == "o7"
    assert len(after.organisations_by_digest) == len(before.organisations_by_digest) + 1


class Fault(NamedTuple):
    """Change of the bodies that makes a version bad."""

    key: str
    fields: dict


SOUTH = BODIES["organisation/south"]


def with_key(key):
    return {"key_digests": [*SOUTH["key_digests"], digest_of_key(key)]}


FAULTS = {
    'a key of "north" under "south"': Fault("organisation/south", with_key("north-secret-2")),
    "an empty key": Fault("organisation/south", with_key("")),
    "a negative rate": Fault("organisation/south", {"rate_per_second": -1}),
    "a negative burst": Fault("organisation/south", {"burst": -2}),
    "a rate that is no number": Fault("organisation/south", {"rate_per_second": float("nan")}),
    "a key in place of a digest": Fault("organisation/south", {"key_digests": ["south-secret-1"]}),
    "a name with a line break": Fault("organisation/a\nb", {"name": "a\nb", "key_digests": []}),
    "a route that is public in words": Fault("route/rosters", {"public": "yes"}),
}


@when("a version has {fault}")
def bad_version(context, fault):
    key, fields = FAULTS[fault]
    body = {**context.bodies.get(key, {}), **fields}
    good = {"route/more": Item(2, route("more"))}
    items = {**context.items, **good, key: Item(2, body)}
    context.built = build_snapshot(2, "d", items, context.items, context.snapshot)


@then('it is refused for "{field}" with the value "{value}"')
def refused_for(context, field, value):
    assert isinstance(context.built, Err), context.built
    context.problems = context.built.err_value
    field, value = field.replace("\\n", "\n"), value.replace("\\n", "\n")
    found = [(problem.key, str(problem.given)) for problem in context.problems]
    assert (field, value) in found, found


@then("the snapshot before it stays in force whole")
def stays(context):
    assert owners(context.snapshot) == owners(snapshot_of(context.bodies))


@then("no problem has a key or a whole digest")
def nothing_shown(context):
    text = " ".join(str(problem) for problem in context.problems)
    hidden = [*ALL_KEYS, *(digest_of_key(key) for key in ALL_KEYS)]
    assert not [secret for secret in hidden if secret in text], text


@when('an organisation has the name "{name}"')
def has_name(context, name):
    context.name = name
    context.bodies = {**PLAIN, f"organisation/{name}": organisation(name, ["k"])}


@then("the catalogue is valid and the server would get that name")
def name_valid(context):
    problems = validate(items_of(context.bodies))
    assert not problems, problems
    snapshot = snapshot_of(context.bodies)
    known = snapshot.routes_by_host["test.example"]["/rosters"][0]
    found = identity.identify(snapshot, known, [(KEY, b"k")], HORNBEAMGW)
    assert found.organisation.name == context.name, found
    value = context.name.encode()
    request = h11.Request(method="GET", target="/", headers=[("host", "h"), (ORGANISATION, value)])
    assert header(request.headers, ORGANISATION) == value


@given("a call that was identified by a catalogue without organisations")
def identified_without(context):
    context.plain = snapshot_of(PLAIN)
    context.route = context.plain.routes_by_host["test.example"]["/rosters"][0]


@when("it is identified again by one with organisations")
def again(context):
    context.runner.run(_again(context))


async def _again(context):
    fleet = LocalFleet(context.scenario.name)
    daemon = await fleet.start()
    calls = daemon.calls
    calls._snapshot = lambda: snapshot_of(BODIES, 2)
    context.calls, context.results = [], []
    for headers in ([key_of("north"), (b"accept", b"*/*")], []):
        head = heads.RequestHead(b"GET", b"/", headers)
        call = Call("c", context.route, "roster", head, 1.0, 2, ANONYMOUS, context.plain)
        context.results.append(calls._identify_again(call))
        context.calls.append(call)
    await fleet.close()


@then('with the key of "north" it belongs to "north", and its key is no longer among the headers')
def belongs(context):
    assert context.results[0] is None
    assert context.calls[0].organisation.name == "north"
    assert context.calls[0].head.headers == [(b"accept", b"*/*")]


@then("without a key it is refused as unauthenticated")
def no_longer(context):
    assert context.results[1].reason is Reason.UNAUTHENTICATED


@then("a key identified by a newer version is not refused at the server")
def newer_known(context):
    found = identity.identify_at_server(context.snapshot, "west", b"d" * 32, 2)
    assert found == "west", found


@then("an unknown key identified by the same or an older version is refused there")
def older_refused(context):
    for version in (1, 0):
        found = identity.identify_at_server(context.snapshot, "west", b"d" * 32, version)
        assert isinstance(found, Failure) and found.reason is Reason.UNAUTHENTICATED, found
    known = digest("north-secret-1")
    assert identity.identify_at_server(context.snapshot, "north", known, 1) == "north"


# Frames, ranks and fingerprints.

CALL = frames.Call(
    7, "c-1", "roster", "all", True, 500, 2, b"head", b"body", True, "rosters", 200, 250, 2, True,
    False, Limits(6, 1, 16), 99, 8080, 40, Heard(5, None, False), 10,
)  # fmt: skip
OUTLOOK_REQUEST = frames.OutlookRequest(3, "roster", "all", "rosters", 500, 200, 250, 2, True, 8080)
# First 16 bytes of the SHA-256 digests of these frames, as they were encoded at 0b27c04, before
# there were organisations.
FORMER_DIGESTS = ["3cd3667da408cbd84a6cbcb64499513b", "78176b0a1597cf3c3584c6052c4fa47e"]


@then("calls and outlook requests without an organisation are encoded as before organisations")
def same_bytes(context):
    encoded = [codec.encode_frame(frame) for frame in (CALL, OUTLOOK_REQUEST)]
    assert [hashlib.sha256(blob).hexdigest()[:32] for blob in encoded] == FORMER_DIGESTS
    identified = CALL._replace(organisation="a", key_digest=b"d" * 32, identified_by=9)
    for frame in (CALL, identified, OUTLOOK_REQUEST, OUTLOOK_REQUEST._replace(organisation="a")):
        payload = codec.encode_frame(frame)[codec.LENGTH_PREFIX_BYTES :]
        assert codec.decode_frame(payload) == frame, frame


def route_of(priority):
    return Route("r", "h", "/", frozenset({"GET"}), (), None, True, 500, 200, 2, priority)


@then("an organisation of priority {name} on a route of priority {priority:d} has rank {number:d}")
def has_rank(context, name, priority, number):
    known = None if name == "none" else Organisation("o", int(name))
    assert rank(known, route_of(priority)) == number, rank(known, route_of(priority))


def fingerprint(key, organisation=None):
    head = heads.RequestHead(b"GET", b"/a", [(b"host", b"h"), (b"authorization", b"w")])
    caller = ANONYMOUS if key is None else Caller(organisation, digest(key))
    call = Call("1", route_of(1), "s", head, 1.0, 2, caller)
    call.body, call.body_complete = b"b", True
    return fingerprint_of_call(call, HORNBEAMGW)


@then("equal requests with two keys have two fingerprints, and with one key have one")
def fingerprints_differ(context):
    known = Organisation("north")
    assert fingerprint("a", known) != fingerprint("b", known)
    assert fingerprint("a", known) == fingerprint("a", known)
    assert fingerprint("a", known) != fingerprint(None)


@then("without organisations a fingerprint is as it was before them")
def fingerprint_as_before(context):
    assert fingerprint(None) == call_of()


# Files, the adapter and output.

FILE = """
organisations:
  - {name: north, keys: [north-secret-1, north-secret-2], rate_per_second: 10}
  - {name: south, keys: [south-secret-1]}
"""


@when("a catalogue file with keys is parsed")
def file_parsed(context):
    context.parsed, problems = parse_file(FILE, "f.yaml")
    assert not problems, problems


@then("its organisations have digests, which validation accepts")
def has_digests(context):
    bodies = context.parsed.bodies_by_key
    expected = organisation("north", KEYS["north"][:2], rate_per_second=10)
    assert bodies["organisation/north"] == expected, bodies
    context.items = items_of(bodies)
    assert not validate(context.items)


@then("the catalogue shown as a file has 8 digits of each digest")
def shown(context):
    context.shown_text = msgspec.yaml.encode(to_file(context.items, 1)).decode()
    shown_digests = [
        digest
        for row in to_file(context.items, 1)["organisations"]
        for digest in row["key_digests"]
    ]
    assert [len(digest) for digest in shown_digests] == [8, 8, 8], shown_digests


@then("the shown file, parsed again, changes nothing")
def changes_nothing(context):
    parsed, problems = parse_file(context.shown_text, "f.yaml")
    assert not problems, problems
    wanted, problems = resolve_digests(parsed, context.items, "f.yaml")
    assert not problems, problems
    current = Catalogue(1, compute_digest(context.items), context.items)
    assert requested_changes(current, wanted, True, True) == []


@then("a shown digest that the organisation does not have is a problem")
def unknown_short(context):
    text = context.shown_text.replace(digest_of_key("north-secret-2")[:8], "aaaaaaaa")
    parsed, problems = parse_file(text, "f.yaml")
    assert not problems, problems
    _, problems = resolve_digests(parsed, context.items, "f.yaml")
    found = [(problem.key, problem.given) for problem in problems]
    assert found == [("organisation/north.key_digests[1]", "aaaaaaaa")], found


@then("a diff shows 8 digits of each digest")
def diff_shown(context):
    current = Catalogue(1, compute_digest(context.items), context.items)
    body = organisation("north", KEYS["north"])
    change = Change(key="organisation/north", based_on=1, body=body)
    row = _diff_row(current, change)
    assert [len(d) for d in row["current"]["key_digests"]] == [8, 8], row
    assert [len(d) for d in row["wanted"]["key_digests"]] == [8, 8, 8], row


MISTAKES = {
    "a key that is no list": "organisations: [{name: a, keys: SECRET}]",
    "a key that is a number": "organisations: [{name: a, keys: [SECRET, 12]}]",
    "a key in a misspelt field": "organisations: [{name: a, key_digests: [], kees: SECRET}]",
    "a key in a misspelt section": "organizations: [{name: a, keys: [SECRET]}]",
    "organisations that are no list": "organisations: {name: a, keys: [SECRET]}",
    "an empty key": "organisations: [{name: a, keys: [SECRET, '']}]",
    "a key with a space at its end": "organisations: [{name: a, keys: ['SECRET ']}]",
    "a quote that is not closed": "organisations: [{name: a, keys: [SECRET, 'SECRET]}]",
}


@when("the catalogue file with {mistake} is parsed")
def mistaken(context, mistake):
    _, context.problems = parse_file(MISTAKES[mistake].replace("SECRET", "k-e-y-1234"), "f.yaml")


@then("there is a problem, and none has the key")
def no_key_in_problems(context):
    assert context.problems
    assert not [p for p in context.problems if "k-e-y-1234" in str(p)], context.problems


TENANT_COLUMNS = ["name", "api_keys", "priority", "rate_per_s", "burst"]


def tenant_version(rows):
    columns = [*ROUTE_COLUMNS, "public"]
    route_rows = [
        ["r-0", "test.example", "/0/", "safe", "roster", 500, 200, 2, 2, None, None],
        ["r-1", "test.example", "/1/", "safe", "roster", 500, 200, 2, 2, None, True],
    ]
    document = {"version": 3, "services": {"columns": ["name"], "rows": [["roster"]]}}
    document["routes"] = {"columns": columns, "rows": route_rows}
    if rows is not None:
        document["tenants"] = {"columns": TENANT_COLUMNS, "rows": rows}
    return msgspec.msgpack.encode(document)


@when("a version with tenants is decoded")
def tenants_decoded(context):
    rows = [
        ["Club QRZ", ["k1", "k2", "k1"], 1, 40.5, 10],
        ["north", ["k3"], None, None, None],
        ["none", [], 0, 0, 0],
    ]
    context.decoded = decode_version(tenant_version(rows)).bodies_by_key


@then("it has the organisations and the public route, and nothing more")
def tenants_found(context):
    found = {k: body for k, body in context.decoded.items() if k.startswith("organisation/")}
    assert found == {
        "organisation/Club QRZ": organisation(
            "Club QRZ", ["k1", "k2"], priority=1, rate_per_second=40.5, burst=10
        ),
        "organisation/north": organisation("north", ["k3"]),
        "organisation/none": organisation("none", [], priority=0, rate_per_second=0, burst=0),
    }, found
    routes = {k: body for k, body in context.decoded.items() if k.startswith("route/")}
    assert {k: body.get("public") for k, body in routes.items()} == {
        "route/r-0": None,
        "route/r-1": True,
    }, routes
    assert isinstance(build_snapshot(3, "d", items_of(context.decoded)), Ok)


@then("a version without tenants has none")
def without_tenants(context):
    bodies = decode_version(tenant_version(None)).bodies_by_key
    assert not [key for key in bodies if key.startswith("organisation/")], bodies
    assert build_snapshot(3, "d", items_of(bodies)).unwrap().organisations_by_digest == {}


@then("a tenant that occurs twice, or a key that is a number, is refused without a key")
def tenants_refused(context):
    twice = [["a", ["secret-1"], 0, 1, 1], ["a", ["secret-2"], 0, 1, 1]]
    for rows in (twice, [["a", ["secret-1", 7], 0, 1, 1]], [["a", "secret-1", 0, 1, 1]]):
        try:
            decode_version(tenant_version(rows))
        except ValueError as error:
            assert "secret" not in str(error), error
        else:
            raise AssertionError(rows)


@when("1,200 organisations send requests of which some are refused")
def many_organisations(context):
    context.use = OrganisationUse()
    for number in range(1200):
        for at in range(8):
            refusal = not_run(Reason.NO_SLOT, f"at {at}") if at % 2 else None
            context.use.record(f"o{number}", refusal, 0.1, float(at))
        context.use.record(f"o{number}", not_run(Reason.QUOTA), 0.0, 8.0)
        context.use.record(f"o{number}", not_run(Reason.QUOTA), 0.0, 9.0)


@then("there are latencies for {count:d} of them and for the others together")
def latencies(context, count):
    rows = context.use.histogram_rows()
    assert len(rows) == count + 1, len(rows)
    (others,) = [row for row in rows if row["organisation"] == OTHERS]
    assert others["count"] == 4 * (1200 - count), others
    assert 95 < others["p50_ms"] < 107, others


@then("counters are kept for at most 1,000 of them, with {count:d} refusals each")
def bounded(context, count):
    assert len(context.use._use_by_name) == 1000
    found = context.use.describe("o1199")
    assert found["requests"] == 10 and found["answered"] == 4, found
    assert found["failed"] == {Reason.NO_SLOT: 4, Reason.QUOTA: 2}, found
    assert [r["at"] for r in found["last_refusals"]] == [3.0, 5.0, 7.0, 8.0, 9.0][-count:], found
    names = {name for name, _ in context.use.counters()}
    assert len(names) <= 21, names


@when('a caller of "south" has 2 requests answered and one without a key is refused')
def used(context):
    async def run():
        for call_id in (b"c1", b"c2"):
            assert (await ask(context, call_id, key_of("south"))).status == 200
        assert (await ask(context, b"c3")).status == 401
        admin = HttpClient(context.fleet.admin(context.a), 5.0)
        found = await admin.request("GET", "/organisations")
        metrics = await admin.request("GET", "/metrics")
        target = "/explain?host=test.example&path=/rosters&organisation=south"
        context.explained = msgspec.json.decode((await admin.request("GET", target)).body)
        admin.close()
        context.document = msgspec.json.decode(found.body)
        context.metrics = metrics.body.decode()
        context.response = (found, metrics)

    context.runner.run(run())


@then('the command shows for "south" 2 requests, its rate and 8 digits of its key')
def command_shows(context):
    rows = {row["name"]: row for row in organisation_rows({"x": context.document})}
    south = rows["south"]
    assert (south["requests"], south["answered"], south["rate_per_second"]) == (2, 2, 40), south
    assert south["keys"] == [digest_of_key(key)[:8] for key in KEYS["south"]], south
    assert rows["north"]["requests"] == 0 and rows["(no valid key)"]["requests"] == 1, rows


@then("it shows the last refusal without a key")
def shows_refusal(context):
    (refusal,) = last_refusals({"x": context.document})
    assert refusal["name"] == "(no valid key)", refusal
    assert refusal["reason"] == "unauthenticated", refusal


@then('the metrics count 2 requests of "south"')
def metrics_count(context):
    line = 'hornbeamgw_organisations_total{organisation="south",what="requests"} 2'
    assert line in context.metrics.splitlines(), context.metrics
    assert 'hornbeamgw_organisation_call_ms_count{organisation="south"} 2' in context.metrics


@then('explaining a request of "south" shows its rank')
def explained(context):
    assert context.explained["organisation"] == "south, rank 258", context.explained
