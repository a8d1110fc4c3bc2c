"""Meter: control bytes and messages by kind, and a bucket that bounds large transfers."""

from __future__ import annotations

from collections import Counter


class Meter:
    """Count what control costs this daemon."""

    def __init__(self) -> None:
        """Start at zero."""
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.messages_in: Counter[str] = Counter()
        self.messages_out: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.crossed: Counter[str] = Counter()

    def sent(self, kind: str, size: int) -> None:
        """Count a message sent (bytes)."""
        self.bytes_out[kind] += size
        self.messages_out[kind] += 1

    def received(self, kind: str, size: int) -> None:
        """Count a message received (bytes)."""
        self.bytes_in[kind] += size
        self.messages_in[kind] += 1


class Bucket:
    """Hold tokens that refill at a rate, so that a storm can't take all of a link."""

    def __init__(self, rate: float, burst: float) -> None:
        """Take the refill (per second) and the most that can be saved up."""
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.at = 0.0

    def take(self, amount: float, now: float) -> bool:
        """Return whether this much may be used now; a full bucket lets any amount through."""
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < min(amount, self.burst):
            return False
        self.tokens -= amount
        return True
