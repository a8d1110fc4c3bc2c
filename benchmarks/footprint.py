"""Benchmarks of a daemon's memory: by component at start, by kind of object, and under load."""

from __future__ import annotations

import asyncio
import functools
import os
import random
import subprocess
import sys
import tempfile
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from benchmarks.data import ready
from benchmarks.report import emit, register, say
from benchmarks.start import ROUTES, _catalogue, compiled_copy
from hornbeamgw.core.catalogue import Item, compute_digest
from hornbeamgw.core.edit import Catalogue
from hornbeamgw.core.snapshot import Snapshot, build_snapshot
from hornbeamgw.core.verdict import Verdict
from hornbeamgw.core.versions import decode_catalogue, encode_catalogue
from hornbeamgw.daemon.compression import Compressor, Decompressor
from hornbeamgw.daemon.histograms import Histograms
from hornbeamgw.testing.fleet import Fleet, Node, NodeSpec, request_json
from hornbeamgw.testing.load import KINDS, LoadGenerator

RUNS = 5
OBJECTS = 100
VALUES = 500
LATENCY = (-1.8, 0.5)  # of the logarithm of seconds: median 165 ms
OPENSSL = "import hornbeamgw.daemon.openssl as openssl; openssl"
# Components in the order in which a daemon loads them; what two of them need counts for the first.
# Each is the code that loads it.
COMPONENTS = (
    ("interpreter", ""),
    ("text and types", "import re, typing, enum, functools, collections, datetime"),
    ("sockets", "import socket"),
    ("logging", "import logging"),
    ("asyncio", f"{OPENSSL}._import_without('asyncio', 'ssl', None)"),
    (
        "hashlib and random",
        f"{OPENSSL}._import_without('hashlib', '_hashlib', None); import random",
    ),
    ("uvloop", f"{OPENSSL}.import_uvloop()"),
    ("msgspec", "import msgspec"),
    ("h11", "import h11"),
    ("small modules", "import heapq, zlib, result"),
    ("pycapnp", "import capnp"),
    ("core modules", "import hornbeamgw.core.options, hornbeamgw.core.versions"),
    ("message schema", "import hornbeamgw.daemon.schema as schema; schema.load()"),
    ("own modules and the rest", "import hornbeamgw.daemon.main"),
)
ACCOUNT = """
import json, sys, time
def status():
    rows = (line.split() for line in open("/proc/self/status"))
    found = {row[0][:-1]: int(row[1]) for row in rows if row[0] in KEYS}
    return [found["VmHWM"], found["RssAnon"], found["RssFile"], time.process_time()]
KEYS = ("VmHWM:", "RssAnon:", "RssFile:")
rows = []
for code in json.loads(sys.argv[1]):
    modules = len(sys.modules)
    exec(code)
    rows.append([*status(), len(sys.modules) - modules])
print(json.dumps(rows))
"""
LOAD_CALLERS = 24
LOAD_PAUSE_S = 0.02
LOAD_S = 20.0
PLACES = [
    NodeSpec(f"dc-{number % 3 + 1}", f"region-{number % 3 + 1}", service, slots=5)
    for number, service in enumerate(["slot-desk", "planner", "slot-desk", "planner", "", ""])
]


class Memory(NamedTuple):
    """Memory of a process in KB: highest resident size, and its anonymous and file-backed parts."""

    peak: int
    anonymous: int
    file: int


def memory_of(pid: int) -> Memory:
    """Return the memory of a process."""
    rows = (line.split() for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    found = {row[0]: row[1] for row in rows if len(row) > 1}
    return Memory(int(found["VmHWM:"]), int(found["RssAnon:"]), int(found["RssFile:"]))


def _account(folder: str) -> list[list[float]]:
    """Load the components in one process; return its figures after each."""
    folders = [path for path in sys.path if path.endswith("site-packages")]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(folders)}
    codes = msgspec.json.encode([code for _, code in COMPONENTS]).decode()
    command = [sys.executable, "-S", "-c", ACCOUNT, codes]
    done = subprocess.run(command, capture_output=True, check=True, cwd=folder, env=environment)
    rows: list[list[float]] = msgspec.json.decode(done.stdout)
    return rows


def _emit_account(folder: str) -> None:
    runs = [_account(folder) for _ in range(RUNS)]
    for index, (name, _) in enumerate(COMPONENTS):
        after = [run[index] for run in runs]
        before = [run[index - 1] if index else [0.0] * 5 for run in runs]
        parts = list(zip(after, before, strict=True))
        more = {
            "anonymous_kb": round(sum(a[1] - b[1] for a, b in parts) / RUNS),
            "file_kb": round(sum(a[2] - b[2] for a, b in parts) / RUNS),
            "cpu_ms": round(sum(a[3] - b[3] for a, b in parts) / RUNS * 1000, 1),
            "modules": int(after[0][4]),
        }
        emit(f"resident: {name}", "KB", [a[1] + a[2] - b[1] - b[2] for a, b in parts], **more)
    emit("resident: peak of the start", "KB", [run[-1][0] for run in runs])
    emit("processor time of the start", "ms", [run[-1][3] * 1000 for run in runs])


def _allocated(build: Callable[[], Any]) -> tuple[float, float]:
    """Return the bytes (KB) that a function's result keeps, and the peak while it is built."""
    tracemalloc.start()
    kept = build()
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1024, peak / 1024


def _snapshot(items: dict[str, Item]) -> Snapshot:
    return build_snapshot(1, compute_digest(items), items).unwrap()


def _emit_objects() -> None:
    for routes in ROUTES:
        items = _catalogue(routes)
        blob = encode_catalogue(Catalogue(1, compute_digest(items), items))
        kept, peak = _allocated(functools.partial(decode_catalogue, blob))
        emit("allocated: catalogue", "KB", [kept], routes=routes, peak_kb=round(peak))
        kept, peak = _allocated(functools.partial(_snapshot, items))
        emit("allocated: snapshot", "KB", [kept], routes=routes, peak_kb=round(peak))
    kept, _ = _allocated(_histograms)
    emit("allocated: histogram", "KB", [kept / OBJECTS], values=VALUES)
    # zlib's buffers are not traced, so their size is read from the process.
    before = memory_of(os.getpid()).anonymous
    streams = [_streams() for _ in range(OBJECTS)]
    grown = memory_of(os.getpid()).anonymous - before
    emit("resident: streams of a compressed link", "KB", [grown / len(streams)])


def _histograms() -> Histograms:
    rng = random.Random(1)
    histograms = Histograms()
    for number in range(OBJECTS):
        for _ in range(VALUES):
            latency_s = rng.lognormvariate(*LATENCY)
            histograms.record(("o", f"c{number}"), Verdict.ANSWERED, latency_s)
    return histograms


def _streams() -> tuple[Compressor, Decompressor]:
    compressor, decompressor = Compressor(), Decompressor()
    framed = compressor.compress(os.urandom(8192))
    decompressor.decompress(framed, 16_384)
    return compressor, decompressor


def _emit_memory(stage: str, nodes: Sequence[Node]) -> None:
    rows = [memory_of(node.daemon.process.pid) for node in nodes]
    emit(f"peak of a daemon, {stage}", "KB", [row.peak for row in rows])
    emit(f"anonymous memory of a daemon, {stage}", "KB", [row.anonymous for row in rows])
    emit(f"file pages of a daemon, {stage}", "KB", [row.file for row in rows])


async def _emit_fleet(folder: str) -> None:
    async with Fleet("footprint", daemon_code=folder, as_deployed=True) as fleet:
        await ready(fleet, PLACES, "slot-desk")
        _emit_memory("catalogue in force", fleet.nodes)
        before = [await request_json(node.admin, "GET", "/counters") for node in fleet.nodes]
        load = LoadGenerator(lambda: [n.callers for n in fleet.nodes], random.Random(1), KINDS)
        load.start(LOAD_CALLERS, LOAD_PAUSE_S)
        say(f"load for {LOAD_S:g} s")
        await asyncio.sleep(LOAD_S)
        await load.stop()
        _emit_memory("under load", fleet.nodes)
        after = [await request_json(node.admin, "GET", "/counters") for node in fleet.nodes]
        used_s = sum(a["cpu_s"] - b["cpu_s"] for a, b in zip(after, before, strict=True))
        emit("processor time of a call", "ms", [used_s * 1000 / len(load.outcomes)])
        emit("calls", "1", [float(len(load.outcomes))])


@register("footprint")
async def footprint() -> None:
    """Account for a daemon's memory at start by component, by kind of object, and under load."""
    with tempfile.TemporaryDirectory(prefix="hornbeamgw-") as folder:
        compiled_copy(folder)
        _emit_account(folder)
        _emit_objects()
        await _emit_fleet(folder)
