"""Control traffic: counters by message kind, and a token bucket that limits large transfers."""

from __future__ import annotations

from collections import Counter


class Meter:
    """Counters of the control traffic of this daemon, by message kind.

    Attributes
    ----------
    faults : Counter
        Communication faults, by kind.
    remote_byte_counts : Counter
        Bytes sent to other data centres, by kind of frame, and by head and body.
    """

    def __init__(self) -> None:
        """Create counters that are all zero."""
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.messages_in: Counter[str] = Counter()
        self.messages_out: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.remote_byte_counts: Counter[str] = Counter()

    def sent(self, kind: str, size: int) -> None:
        """Count a sent message of `size` bytes."""
        self.bytes_out[kind] += size
        self.messages_out[kind] += 1

    def received(self, kind: str, size: int) -> None:
        """Count a received message of `size` bytes."""
        self.bytes_in[kind] += size
        self.messages_in[kind] += 1


class TokenBucket:
    """A token bucket that keeps bursts of transfers from using all of a link's bandwidth."""

    def __init__(self, rate: float, burst: float) -> None:
        """Create a full bucket of `burst` tokens that is refilled with `rate` tokens per second."""
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = 0.0

    def try_consume(self, amount: float, now: float) -> bool:
        """Consume tokens if there are enough; a full bucket permits any amount."""
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.tokens < min(amount, self.burst):
            return False
        self.tokens -= amount
        return True
