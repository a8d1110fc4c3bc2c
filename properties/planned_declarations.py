"""Planned declarations: servers that name limits and leave while daemons stop as planned."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

from hornbeamgw.testing.declaring import DRAIN_S
from hornbeamgw.testing.fleet import Node, request_json
from properties.planned_load import Told

PAUSE_S = (0.5, 2.0)
DECLARED_S = (4.5, 6.0)  # longer than the window in which a limit is judged
LIMIT_PER_S = (0.5, 20.0)
LEAVE_PROBABILITY = 0.4


async def declare(
    nodes: Sequence[Node], rng: random.Random, goes_on: Callable[[], bool], faults: Counter[str]
) -> None:
    """Let one server after the other name two limits, or leave and be started again."""
    while goes_on():
        await asyncio.sleep(rng.uniform(*PAUSE_S))
        node = rng.choice(nodes)
        assert node.backend is not None
        address = str(node.backend.bound_addresses["listening"])
        seconds = rng.uniform(*DECLARED_S)
        if rng.random() < LEAVE_PROBABILITY:
            faults["leave"] += 1
            await request_json(address, "POST", f"/control/leave?for_s={seconds}", {})
            await asyncio.sleep(seconds + 1.0)
            continue
        faults["limit"] += 1
        for _ in range(2):
            limit = rng.uniform(*LIMIT_PER_S)
            await request_json(address, "POST", f"/control/limit?per_s={limit:g}", {})
            await asyncio.sleep(seconds)
        await request_json(address, "POST", "/control/limit", {})


class Late(NamedTuple):
    """Hold a request to a leaving server, and the answer by which its daemon knew."""

    late: Told
    knew_by: Told


def late_at_leaving(
    told: Sequence[Told], ends: Sequence[tuple[str, float]], report: Mapping[str, Any]
) -> list[Late]:
    """Return the requests that a server got from daemons that knew for long that it leaves.

    `ends` has the callers' address of a daemon and when one of its processes ended (s); the next
    one knows nothing of what was passed on before.
    """
    told_by_id = {one.outcome.request_id: one for one in told}
    found = []
    for leaving in report["leavings"]:
        knew = [told_by_id[call_id] for call_id in leaving["told"] if call_id in told_by_id]
        for call_id in leaving["late"]:
            late = told_by_id.get(call_id)
            if late is not None:
                found += [Late(late, one) for one in knew if _is_known(late, one, ends)][:1]
    return found


def _is_known(late: Told, one: Told, ends: Sequence[tuple[str, float]]) -> bool:
    """Return whether the daemon of a late request had passed on an answer long before."""
    ended_at = [at for daemon, at in ends if daemon == late.daemon and at <= late.outcome.at]
    since = max(ended_at, default=0.0)
    is_long_before = one.ended_at + DRAIN_S < late.outcome.at
    return one.daemon == late.daemon and one.outcome.at >= since and is_long_before
