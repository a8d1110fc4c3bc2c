"""Pacing: send large bodies no faster than the VM's link, so that small messages are not delayed.

A large body can occupy a narrow link for longer than the latency objective of a small request that
shares it. Data written to a socket is sent in order, so large bodies are written in parts, and a
part is delayed while the link has a backlog of earlier parts. Small messages are written at once.
"""

from __future__ import annotations

# Time to send one part. A small message waits for the parts written before it, so short parts keep
# its delay short.
PART_DURATION_S = 0.01
PART_MIN_BYTES = 4 * 1024
# Size of a part on links that are fast or of unknown bandwidth.
PART_MAX_BYTES = 256 * 1024
# The next part is written once the backlog takes at most this time to send, so that the link does
# not become idle before the writer wakes up.
MAX_BACKLOG_S = 0.01
# Ratio of the bandwidth used for bodies. The rest is left for small messages and packet headers.
# Lookups, their calls and gossip take some 40 KB/s of the 375 KB/s that a link of 3 Mbit/s carries.
USABLE_BANDWIDTH_RATIO = 0.85
# Parts of one body that may be in flight before the receiver grants more flow-control credit.
WINDOW_PARTS = 8


class LinkState:
    """Send rate of a VM's link (bytes/s), and the time (s) at which all written parts are sent."""

    def __init__(self, bandwidth: float) -> None:
        """Create the state of a link of a bandwidth in bytes/s; 0 (unknown) disables pacing."""
        self.rate = usable_rate(bandwidth)
        self.free_at = 0.0


def usable_rate(bandwidth: float) -> float:
    """Return the rate in bytes/s at which bodies are sent on a link."""
    return USABLE_BANDWIDTH_RATIO * bandwidth


def part_bytes(state: LinkState) -> int:
    """Return the size in bytes of one part of a body; the maximum if the bandwidth is unknown."""
    if state.rate <= 0:
        return PART_MAX_BYTES
    return min(PART_MAX_BYTES, max(PART_MIN_BYTES, round(state.rate * PART_DURATION_S)))


def window_bytes(state: LinkState) -> int:
    """Return how many bytes of one body may be in flight."""
    return min(PART_MAX_BYTES, WINDOW_PARTS * part_bytes(state))


def note_part(state: LinkState, size: int, now: float) -> None:
    """Add a written part of `size` bytes to the backlog of the link."""
    if state.rate > 0:
        state.free_at = max(state.free_at, now) + size / state.rate


def wait_for_part(state: LinkState, now: float) -> float:
    """Return the time in seconds until the next part may be written."""
    return max(0.0, state.free_at - now - MAX_BACKLOG_S)
