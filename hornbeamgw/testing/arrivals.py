"""Arrivals of messages of backend servers, for tests that hand them to a registry directly."""

from __future__ import annotations

import asyncio
import math
import time

from hornbeamgw.core.freshness import Arrival


def first_arrival() -> Arrival:
    """Return the arrival, at this moment, of the first message of a connection."""
    return Arrival(asyncio.get_running_loop().time(), time.time() * 1000, -math.inf)
