"""Steps for names: where the users' platform may be named."""

from __future__ import annotations

import re
from pathlib import Path

from behave import then, when

# Names of the platform's calls, headers, fields and variables.
NAMES = re.compile(
    r"rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|X-Response-Signature|X-Not-Executed"
    r"|X-Expect-Instance|X-Caller-Service|resource_kind|traffic_split|heartbeat_addr"
    r"|warmup_left_ms|listen_addrs|api_version|slo_ms|HORNBEAMGW_NODE_FILE"
    r"|X-Tenant-Id|Api-Key|api_keys|\btenants?\b|\brate_per_s\b",
    re.IGNORECASE,
)
FOLDERS = ("hornbeamgw", "benchmarks", "properties", "spec")
# The stand-ins speak as the platform does.
STAND_INS = Path("hornbeamgw/testing")


@when("each source file outside the adapter, stand-ins and scenarios is read")
def read(context):
    paths = [path for folder in FOLDERS for path in sorted(Path(folder).rglob("*.py"))]
    context.texts_by_path = {
        path: path.read_text(encoding="utf-8") for path in paths if STAND_INS not in path.parents
    }
    assert len(context.texts_by_path) > 50, list(context.texts_by_path)


@then("no line of it names the platform")
def unnamed(context):
    found = [
        f"{path}:{number}: {line.strip()}"
        for path, text in context.texts_by_path.items()
        for number, line in enumerate(text.splitlines(), 1)
        if NAMES.search(line)
    ]
    assert not found, found
