"""Kept slots: how many free slots long requests leave to short, more urgent ones.

Load pattern: a service answers short, urgent requests (122 ms, objective 312 ms), calls that other
servers make (43 ms) and long ones of little value (689 ms, objective 3,238 ms) with five slots per
server, and all of them together ask for up to 1.1 times the slots. Long requests can wait, so they
take each slot that becomes free, and a short request that arrives finds none within its objective.

What callers need: short requests find a free slot, as their callers, or the servers that made the
calls, cannot wait for the end of a long one. Long requests keep a share of the server. So as many
slots are kept as the shorter, more urgent requests use on average, less those that they use now, up
to half of the server.
"""

from __future__ import annotations

import math

# Slots are kept only on servers with at least this number of them. Others cannot spare one.
MIN_SLOTS = 4
# Slots are kept only for requests that use at least so many on average.
MIN_SLOT_USE = 0.25
# Ratio of a server's slots that are kept at most, so that long requests keep a share of it.
MAX_KEPT_RATIO = 0.5


def kept_slots(slots: int, urgent_use: float, urgent_running: int) -> int:
    """Return how many free slots are kept for shorter, more urgent requests.

    Parameters
    ----------
    slots : int
        Number of slots of the server.
    urgent_use : float
        Average number of slots that shorter, more urgent requests use.
    urgent_running : int
        Number of more urgent requests that run now.
    """
    if slots < MIN_SLOTS or urgent_use < MIN_SLOT_USE:
        return 0
    most = math.floor(MAX_KEPT_RATIO * slots)
    return max(0, min(math.ceil(urgent_use), most) - urgent_running)
