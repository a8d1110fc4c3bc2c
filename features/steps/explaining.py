"""Steps for logs, metrics and reloaded settings."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from pythonjsonlogger.msgspec import MsgspecFormatter

from hornbeamgw.core.options import parse_settings
from hornbeamgw.daemon.http1 import HttpClient
from hornbeamgw.daemon.logs import (
    DROPPED_MESSAGE,
    FORMATTER_OPTIONS,
    LINE_FORMAT,
    PlainFormatter,
    RateLimitedHandler,
)
from hornbeamgw.daemon.reload import Reloader
from hornbeamgw.testing.local import LocalFleet, edit_from_bodies, wait_for

LINE = "x" * 200
BODIES = {
    "service/roster": {"name": "roster", "owner": "spa"},
    "entry/all": {
        "name": "all",
        "owner": "spa",
        "traffic_class": "rosters",
        "limits": {"slots": 1, "queue": 0},
    },
    "route/all": {
        "name": "all",
        "host": "test.example",
        "prefix": "/",
        "service": "roster",
        "entry": "all",
        "idempotent": True,
        "deadline_ms": 2000,
    },
}
SETTINGS = """
fleet: test
data_centre: suva-1
region: fiji
address: 127.0.0.1:7400
callers: 127.0.0.1:7401
admin: 127.0.0.1:7402
platform: {{address: "127.0.0.1:7000"}}
log_level: {level}
"""


def record(level, message):
    return logging.LogRecord("test", level, "", 0, message, None, None)


def handler_on(context, fd):
    context.handler = RateLimitedHandler(fd)
    context.handler.setFormatter(logging.Formatter("%(levelname)s %(message)s"))


def fault():
    try:
        raise ValueError("seen")
    except ValueError:
        return sys.exc_info()


def each_kind_of_record():
    extra = {"member": "10.0.0.7:7400", "slots": 6, "level": "own", "at": "own", "sure": None}
    kinds = [
        {"msg": "plain"},
        {"msg": "100% plain"},
        {"msg": "with fields", **extra, "_private": 1, "daemon": "another"},
        {"msg": "of another type", "error": ValueError("x"), "status": logging.Handler},
        {"msg": "with %s", "args": ("an argument",)},
        {"msg": {"a": "dict"}},
        {"msg": 7},
        {"msg": "with a traceback", "exc_info": fault(), **extra},
        {"msg": "with a stack", "stack_info": "here"},
    ]
    return [logging.makeLogRecord({"name": "test", "levelname": "INFO", **kind}) for kind in kinds]


@when("a line is formatted with each kind of record")
def formatted(context):
    library = MsgspecFormatter(LINE_FORMAT, static_fields={"daemon": "x"}, **FORMATTER_OPTIONS)
    formatters = [PlainFormatter(daemon="x"), library]
    context.pairs = [[f.format(record) for f in formatters] for record in each_kind_of_record()]


@then("each reads as the library's formatter writes it")
def same_lines(context):
    assert all(own == library for own, library in context.pairs), context.pairs


@given("a log written to a pipe that nobody reads")
def pipe(context):
    context.reading, writing = os.pipe()
    handler_on(context, writing)


@given("a log written to a file")
def to_file(context):
    descriptor, path = tempfile.mkstemp()
    context.log_path = Path(path)
    handler_on(context, descriptor)


@when("{count:d} lines are logged")
def lines(context, count):
    began = time.monotonic()
    for _ in range(count):
        context.handler.emit(record(logging.INFO, LINE))
    context.took = time.monotonic() - began


@then("it took less than {seconds:d} seconds and lines were dropped")
def quick(context, seconds):
    assert context.took < seconds and context.handler.dropped > 0, context.took


def written(context):
    return context.log_path.read_text().splitlines()


@then("at most {count:d} lines are written")
def bounded(context, count):
    # The bound refills while the lines are logged: 500 a second.
    refilled = round(500 * context.took) + 1
    assert 0 < len(written(context)) <= count + refilled, len(written(context))


@when("{seconds:d} seconds pass for it and one more line is logged")
def later(context, seconds):
    context.handler._reported_at -= seconds
    context.handler._line_bucket.updated_at -= seconds
    context.handler.emit(record(logging.INFO, "later"))


@then("a line tells how many were dropped")
def told_dropped(context):
    assert any(DROPPED_MESSAGE in line for line in written(context))


@when("a warning is logged")
def warning(context):
    context.handler.emit(record(logging.WARNING, "dependency lost"))


@then("the warning is written")
def warning_written(context):
    assert any("dependency lost" in line for line in written(context))


class Collector(logging.Handler):
    """Keep what is logged."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, logged):
        self.records.append(logged)


@given("daemons that log, and a busy roster server beside the second")
def logging_daemons(context):
    context.collector = Collector()
    logging.disable(logging.NOTSET)
    root = logging.getLogger()
    before = root.level
    root.addHandler(context.collector)
    root.setLevel(logging.INFO)
    fleet = context.fleet = LocalFleet(context.scenario.name)

    async def close():
        await fleet.close()
        root.removeHandler(context.collector)
        root.setLevel(before)
        logging.disable(logging.CRITICAL)

    context.closers.append(close)

    async def begin():
        first, second = await fleet.start(), await fleet.start()
        await first.committer.commit(edit_from_bodies(BODIES, "e"))
        await fleet.start_backend(second, "roster")
        address = second.control.view.me.address
        members = first.control.view.members_by_address
        await wait_for(lambda: address in members and members[address].service == "roster")
        await wait_for(lambda: second.control.versions.snapshot.version == 1)

    context.runner.run(begin())


@when("two calls arrive of which one finds no slot")
def two_calls(context):
    async def ask(name, target):
        client = HttpClient(context.fleet.callers(context.fleet.daemons[0]), 5.0)
        named = [(b"host", b"test.example"), (b"hornbeamgw-call-id", name)]
        try:
            return await client.request("GET", target, named)
        finally:
            client.close()

    async def both():
        first = asyncio.ensure_future(ask(b"call-1", "/rosters?work_ms=300"))
        gate = context.fleet.daemons[1].gate
        await wait_for(lambda: gate.state.running_by_attempt)
        second = await ask(b"call-2", "/rosters?work_ms=10")
        assert second.status == 503, second
        assert (await first).status == 200

    context.runner.run(both())


def found(context, call_id, message):
    return [
        r
        for r in context.collector.records
        if getattr(r, "call_id", "") == call_id and r.getMessage() == message
    ]


@then('the first one\'s line tells "{verdict}" and where it was placed by which report')
def first_line(context, verdict):
    (ended,) = found(context, "call-1", "call ended")
    assert ended.verdict == verdict and ended.version == 1, vars(ended)
    (placed,) = ended.placed
    assert placed["server"] == context.fleet.daemons[1].control.view.me.address
    assert placed["report_age_ms"] >= 0
    (attempt,) = found(context, "call-1", "attempt ended")
    assert attempt.held_ms >= 300


@then('the second one\'s lines tell "{reason}", the slots that were used and when to come back')
def second_lines(context, reason):
    (ended,) = found(context, "call-2", "call ended")
    assert ended.reason == reason and ended.retry_after_ms > 0, vars(ended)
    refused = found(context, "call-2", "attempt refused")
    assert refused and all(r.running == 1 and r.reason == reason for r in refused)


@then("the metrics of the first daemon count both and give latencies by owner and class")
def metrics(context):
    async def scrape():
        client = HttpClient(context.fleet.admin(context.fleet.daemons[0]), 5.0)
        try:
            return await client.request("GET", "/metrics")
        finally:
            client.close()

    text = context.runner.run(scrape()).body.decode()
    assert 'hornbeamgw_calls_total{what="calls.answered"} 1' in text, text
    assert 'hornbeamgw_calls_total{what="failed.no_slot"} 1' in text, text
    labels = 'owner="spa",class="rosters",verdict="answered"'
    assert f"hornbeamgw_call_ms_count{{{labels}}} 1" in text, text
    assert f'hornbeamgw_call_ms{{{labels},quantile="0.99"}}' in text, text


@given('a daemon\'s settings file with log level "{level}"')
def settings_file(context, level):
    folder = tempfile.mkdtemp()
    context.path = Path(folder) / "daemon.yaml"
    context.path.write_text(SETTINGS.format(level=level))
    loaded, problems = parse_settings(context.path.read_text(), str(context.path), {})
    assert loaded is not None, problems
    context.applied = [loaded.settings]
    context.reloader = Reloader(str(context.path), loaded.settings, context.applied.append)


@when('the file changes to log level "{level}" and is read again')
def file_changes(context, level):
    context.path.write_text(SETTINGS.format(level=level))
    context.reloader.reload("test")


@then('the level in force is "{level}"')
def level_is(context, level):
    assert context.applied[-1].log_level == level
    assert context.reloader.settings.log_level == level
