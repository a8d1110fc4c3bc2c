"""Check that the users' platform is named in its adapter and its deploy files alone."""

from __future__ import annotations

import re
import subprocess
import sys

# Names of the platform's calls, headers, fields and variables.
NAMES = re.compile(
    r"rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|X-Response-Signature|X-Not-Executed"
    r"|X-Expect-Instance|X-Caller-Service|resource_kind|traffic_split|heartbeat_addr"
    r"|warmup_left_ms|listen_addrs|api_version|slo_ms|HORNBEAMGW_NODE_FILE",
    re.IGNORECASE,
)
# The adapter; stand-ins and scenarios speak as the platform does; this list.
ALLOWED = ("platform/", "features/", "hornbeamgw/testing/", "spec/names.py")


def main() -> int:
    """Print each line that names the platform where it should not; return 1 if there is one."""
    listed = subprocess.run(["git", "ls-files", "*.py"], capture_output=True, text=True, check=True)
    found = 0
    for path in listed.stdout.split():
        if path.startswith(ALLOWED):
            continue
        with open(path, encoding="utf-8") as source:
            for number, line in enumerate(source, 1):
                if NAMES.search(line):
                    print(f"{path}:{number}: {line.strip()}")
                    found += 1
    return 1 if found else 0


sys.exit(main())
