"""Benchmarks of what a daemon's start and a version cost: processor time by part."""

from __future__ import annotations

import compileall
import resource
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.report import emit, register
from hornbeamgw.core.catalogue import Item, compute_digest
from hornbeamgw.core.snapshot import EMPTY_SNAPSHOT, Snapshot, build_snapshot

RUNS = 9
CODE = ("hornbeamgw", "platform")
REPOSITORY = Path(__file__).resolve().parent.parent
LOOP = "import hornbeamgw.daemon.openssl as o; o.import_without_openssl(); o.import_uvloop(); "
PARTS = (
    ("interpreter", "pass"),
    ("and libraries", f"{LOOP}import logging, capnp, h11, msgspec"),
    ("and the daemon", f"{LOOP}import hornbeamgw.daemon.main"),
)
ROUTES = (350, 1650)
HOSTS = 4
CHANGED = 10
VERSIONS = 20


def compiled_copy(folder: str) -> None:
    """Copy the daemon's code to a folder, and compile it and its schema as a deployment does."""
    for name in CODE:
        shutil.copytree(REPOSITORY / name, Path(folder) / name)
    subprocess.run([sys.executable, "-m", "hornbeamgw.daemon.schema"], check=True, cwd=folder)
    compileall.compile_dir(folder, quiet=1)


def _core_seconds(code: str, folder: str) -> float:
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-c", code], check=True, cwd=folder)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime - before.ru_utime + after.ru_stime - before.ru_stime


def _route(number: int, deadline_ms: int) -> Item:
    body = {
        "name": f"r{number}",
        "host": f"h{number % HOSTS}.example",
        "prefix": f"/{number}/",
        "service": "s",
        "entry": "e",
        "idempotent": True,
        "deadline_ms": deadline_ms,
    }
    return Item(0, body)


def _catalogue(routes: int) -> dict[str, Item]:
    entry = {"name": "e", "owner": "o", "traffic_class": "c", "limits": {"slots": 1}}
    items = {f"route/r{number}": _route(number, 1000) for number in range(routes)}
    service = Item(0, {"name": "s", "owner": "o"})
    return {"entry/e": Item(0, entry), "service/s": service, **items}


@register("start")
async def start() -> None:
    """Load what a daemon loads, and build its first version."""
    with tempfile.TemporaryDirectory(prefix="hornbeamgw-") as folder:
        compiled_copy(folder)
        for name, code in PARTS:
            emit(name, "core seconds", [_core_seconds(code, folder) for _ in range(RUNS)])
    for routes in ROUTES:
        samples = []
        for _ in range(RUNS):
            items = _catalogue(routes)
            began = time.process_time()
            build_snapshot(1, compute_digest(items), items).unwrap()
            samples.append(time.process_time() - began)
        emit("first version", "core seconds", samples, routes=routes)


def _next_version(
    items: dict[str, Item], known: Snapshot, version: int
) -> tuple[dict[str, Item], Snapshot, float]:
    after = dict(items)
    for number in range(version, version + CHANGED):
        after[f"route/r{number}"] = _route(number, 1000 + version)
    began = time.process_time()
    snapshot = build_snapshot(version, str(version), after, items, known).unwrap()
    return after, snapshot, time.process_time() - began


@register("storm-of-versions")
async def storm_of_versions() -> None:
    """Build versions that each change ten routes, one from the other and from nothing."""
    for routes in ROUTES:
        items, changed, whole = _catalogue(routes), [], []
        known = build_snapshot(1, "1", items, base=EMPTY_SNAPSHOT).unwrap()
        for version in range(2, 2 + VERSIONS):
            items, known, took = _next_version(items, known, version)
            changed.append(took * 1000)
            began = time.process_time()
            build_snapshot(version, str(version), items).unwrap()
            whole.append((time.process_time() - began) * 1000)
        emit("version from the one before", "ms", changed, routes=routes, changed=CHANGED)
        emit("version from nothing", "ms", whole, routes=routes)
