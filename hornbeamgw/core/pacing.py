"""Pacing: large bodies leave a VM only as fast as its link, so that nothing waits behind them.

The pattern is that of the users' grown deployments: links of 3 to 6.5 Mbit/s carry rosters of
90 KB and drawing packs of 280 KB, which take 240 to 345 ms there, and share the link with
lookups whose whole objective is 262 ms. What is written to a socket leaves in the order of the
writes, so parts of large bodies are held back while the link has a backlog of such parts;
everything else is written at once.
"""

from __future__ import annotations

# What a small message may have to wait for: the time (s) that one part takes on the link.
PART_S = 0.01
PART_LEAST_BYTES = 4 * 1024
# Bodies are not cut up below this on links that are wide or of unknown width.
PART_MOST_BYTES = 256 * 1024
# A part may leave while those before it need no longer than this (s), lest the link idle while
# the writer wakes up.
BACKLOG_S = 0.01
# The rest of the link is for small messages and the headers of packets: lookups, their calls and
# gossip come to some 40 KB/s of the 375 KB/s that a link of 3 Mbit/s carries.
USABLE_PART = 0.85
# Parts of one body that may be under way before the receiver grants more.
WINDOW_PARTS = 8


class LinkState:
    """Hold when a VM's link will have sent the parts that were written to it."""

    def __init__(self, bandwidth: float) -> None:
        """Take the bandwidth (bytes/s); 0 where it is not known, and then nothing waits."""
        self.rate = rate_of(bandwidth)
        self.free_at = 0.0


def rate_of(bandwidth: float) -> float:
    """Return how fast (bytes/s) parts of bodies leave by a link."""
    return USABLE_PART * bandwidth


def part_bytes(state: LinkState) -> int:
    """Return how many bytes of a body to write at a time."""
    if state.rate <= 0:
        return PART_MOST_BYTES
    return min(PART_MOST_BYTES, max(PART_LEAST_BYTES, round(state.rate * PART_S)))


def window_bytes(state: LinkState) -> int:
    """Return how many bytes of one body may be under way; on a wide link as many as a part."""
    return min(PART_MOST_BYTES, WINDOW_PARTS * part_bytes(state))


def note_part(state: LinkState, size: int, now: float) -> None:
    """Count a part (bytes) that was written to the link."""
    if state.rate > 0:
        state.free_at = max(state.free_at, now) + size / state.rate


def wait_for_part(state: LinkState, now: float) -> float:
    """Return how long (s) the next part waits."""
    return max(0.0, state.free_at - now - BACKLOG_S)
