"""Steps for versions built from the one before."""

from __future__ import annotations

import random
import tracemalloc

from behave import given, then, when
from result import Err, Ok

from hornbeamgw.core import invariants, snapshot
from hornbeamgw.core.catalogue import Item, compute_digest, update_digest
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, build_snapshot, match_route

SERVICES = 6
ENTRIES = 4
METHODS = (None, ["GET"], ["POST", "PUT"])
SEGMENTS = ("a", "b", "cc", "d-d")


def service_body(number):
    return {"name": f"s{number}", "owner": "o", "health_path": "/healthz"}


def entry_body(number, slots=3):
    return {"name": f"e{number}", "owner": "o", "traffic_class": "c", "limits": {"slots": slots}}


def prefix_of(rng):
    path = "/".join(rng.choice(SEGMENTS) for _ in range(rng.randrange(1, 5)))
    return f"/{path}{rng.choice(['', '/'])}"


def route_body(number, rng, hosts):
    body = {
        "name": f"r{number}",
        "host": f"h{rng.randrange(hosts)}.example",
        "prefix": f"/{number}/" if rng.random() < 0.5 else prefix_of(rng),
        "entry": f"e{rng.randrange(ENTRIES)}",
        "idempotent": rng.random() < 0.5,
        "deadline_ms": rng.randrange(1, 5000),
    }
    methods = rng.choice(METHODS)
    if methods is not None:
        body["methods"] = methods
    if rng.random() < 0.2:
        services = rng.sample(range(SERVICES), 2)
        body["split"] = [{"service": f"s{n}", "weight": rng.randrange(1, 9)} for n in services]
    else:
        body["service"] = f"s{rng.randrange(SERVICES)}"
    return body


@given("a catalogue of {routes:d} routes on {hosts:d} hosts drawn by seed {seed:d}")
def drawn(context, routes, hosts, seed):
    rng = context.rng = random.Random(seed)
    context.hosts, context.count = hosts, routes
    items = {f"service/s{n}": Item(0, service_body(n)) for n in range(SERVICES)}
    items |= {f"entry/e{n}": Item(0, entry_body(n)) for n in range(ENTRIES)}
    taken = set()
    for number in range(routes):
        body = route_body(number, rng, hosts)
        if (body["host"], body["prefix"]) in taken:
            body["prefix"] = f"/only-{number}/"
        taken.add((body["host"], body["prefix"]))
        items[f"route/r{number}"] = Item(0, body)
    context.items = items
    context.snapshot = build_snapshot(1, compute_digest(items), items).unwrap()


def edited(items, rng, hosts, count):
    """Return items after a few random changes, some of which may make them bad."""
    after = dict(items)
    for _ in range(rng.randrange(1, 6)):
        number = rng.randrange(count + 5)
        kind = rng.randrange(8)
        if kind < 4:
            after[f"route/r{number}"] = Item(0, route_body(number, rng, hosts))
        elif kind == 4:
            after.pop(f"route/r{number}", None)
        elif kind == 5:
            name = rng.randrange(ENTRIES)
            after[f"entry/e{name}"] = Item(0, entry_body(name, rng.randrange(1, 9)))
        elif kind == 6 and rng.random() < 0.3:
            after.pop(rng.choice([f"service/s{rng.randrange(SERVICES)}", "entry/e1"]), None)
        elif kind == 7 and rng.random() < 0.3:
            after[f"route/r{number}"] = Item(0, {"name": f"r{number}", "deadline_ms": -1})
    return after


@when("{count:d} random edits are made to it, good ones and bad ones")
def edit_often(context, count):
    context.outcomes = []
    items, known, digest = context.items, context.snapshot, context.snapshot.digest
    for version in range(2, count + 2):
        after = edited(items, context.rng, context.hosts, context.count)
        changed = {k for k in {*items, *after} if items.get(k) is not after.get(k)}
        new_digest = update_digest(digest, items, after, changed)
        built = build_snapshot(version, new_digest, after, items, known)
        alone = build_snapshot(version, compute_digest(after), after)
        context.outcomes.append((built, alone, known))
        if isinstance(built, Ok):
            items, known, digest = after, built.ok_value, new_digest


@then("each good version equals the one built from nothing, and each bad one has the same problems")
def same(context):
    kinds = set()
    for built, alone, before in context.outcomes:
        kinds.add(type(built))
        if isinstance(alone, Err):
            assert isinstance(built, Err), alone.err_value
            assert set(map(str, built.err_value)) == set(map(str, alone.err_value))
            continue
        assert built == alone, (built, alone)
        assert invariants.dangling_routes(built.ok_value, before) == 0
        assert invariants.dangling_routes(built.ok_value) == 0
    assert kinds == {Ok, Err}, kinds


def routes_of(known):
    return {
        route.name: route
        for routes_by_prefix in known.routes_by_host.values()
        for routes in routes_by_prefix.values()
        for route in routes
    }


@when("{count:d} routes get another deadline")
def slower(context, count):
    after = dict(context.items)
    for number in context.rng.sample(range(context.count), count):
        body = {**after[f"route/r{number}"].body, "deadline_ms": 5001}
        after[f"route/r{number}"] = Item(0, body)
    context.after = build_snapshot(
        2, compute_digest(after), after, context.items, context.snapshot
    ).unwrap()


@then("{count:d} routes were built anew and the others are the very objects from before")
def taken_over(context, count):
    before, after = routes_of(context.snapshot), routes_of(context.after)
    assert before.keys() == after.keys()
    assert sum(before[name] is not after[name] for name in after) == count


def covers(prefix, path):
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


def match_by_looking(known, host, method, path):
    """Return the route that takes a request, by a look at each."""
    ordered = sorted(routes_of(known).values(), key=lambda r: (-len(r.prefix), r.name))
    for route in ordered:
        is_taken = "*" in route.methods or method in route.methods
        if route.host == host and is_taken and covers(route.prefix, path):
            return route
    return None


@then("{count:d} random requests find the routes that a look at each route finds")
def found(context, count):
    rng, hits = context.rng, 0
    for _ in range(count):
        host = f"h{rng.randrange(context.hosts + 1)}.example"
        method = rng.choice(["GET", "POST", "PUT"])
        path = f"/{rng.randrange(context.count)}/x" if rng.random() < 0.4 else prefix_of(rng)
        expected = match_by_looking(context.snapshot, host, method, path)
        assert match_route(context.snapshot, host, method, path) is expected, (host, method, path)
        hits += expected is not None
    assert hits > count / 10, hits


@then("a path of {length:d} slashes is looked up at most {count:d} times")
def bounded(context, length, count):
    assert sum(1 for _ in snapshot._candidate_prefixes("/" * length)) <= count
    assert match_route(context.snapshot, "h0.example", "GET", "/" * length) is None
    assert match_route(EMPTY_SNAPSHOT, "h0.example", "GET", "/" * length) is None


def shared_route(number, services):
    body = {
        "name": f"r{number}",
        "host": f"h{number % 4}.example",
        "prefix": f"/{number}/",
        "entry": "e",
        "idempotent": True,
        "deadline_ms": 1000,
    }
    if number % 3 == 0:
        body["methods"] = ["GET", "PUT"][: 1 + number % 2]
    if number % 5 == 0:
        weights = [(number % services, 3), ((number + 1) % services, 1)]
        body["split"] = [{"service": f"s{s}", "weight": weight} for s, weight in weights]
    else:
        body["service"] = f"s{number % services}"
    return body


@when("a snapshot of {routes:d} routes to {services:d} services is built")
def shared_snapshot(context, routes, services):
    entry = {"name": "e", "owner": "o", "traffic_class": "c", "limits": {"slots": 1}}
    bodies = {"entry/e": entry}
    bodies |= {f"service/s{n}": {"name": f"s{n}", "owner": "o"} for n in range(services)}
    bodies |= {f"route/r{n}": shared_route(n, services) for n in range(routes)}
    items = {key: Item(1, body) for key, body in bodies.items()}
    tracemalloc.start()
    context.snapshot = build_snapshot(1, "1", items).unwrap()
    context.bytes_a_route = tracemalloc.get_traced_memory()[0] / routes
    tracemalloc.stop()
    context.routes = {key: item.body for key, item in items.items() if key.startswith("route/")}


@then("it takes at most {most:d} bytes a route")
def bytes_a_route(context, most):
    assert context.bytes_a_route <= most, context.bytes_a_route


@then("each route has the methods, destinations and shares of its body")
def as_stated(context):
    built = {
        f"route/{route.name}": route
        for by_prefix in context.snapshot.routes_by_host.values()
        for routes in by_prefix.values()
        for route in routes
    }
    assert built.keys() == context.routes.keys()
    for key, body in context.routes.items():
        assert built[key].methods == frozenset(body.get("methods", ("*",)))
        split = body.get("split") or [{"service": body.get("service"), "weight": 1}]
        total = sum(part["weight"] for part in split)
        expected = [(part["service"], part["weight"] / total) for part in split]
        assert [tuple(found) for found in built[key].destinations] == expected, key
