"""Skipping loop: an event loop whose clock skips all waits, for tests without a network.

Nothing but waits lets time pass, so that a test with a seed does the same each time.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

# Times of 0 stand for times that are not known.
START_S = 1000.0


class SkippingSelector(selectors.SelectSelector):
    """Adds up the time (s) that a loop would wait for, and lets it go on at once."""

    def __init__(self) -> None:
        """Start with no wait skipped."""
        super().__init__()
        self.skipped = START_S

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready now."""
        self.skipped += timeout or 0.0
        return super().select(0 if timeout else timeout)


class SkippingLoop(asyncio.SelectorEventLoop):
    """Loop whose clock adds up all that it would have waited for."""

    def __init__(self) -> None:
        """Start at `START_S`."""
        self.selector = SkippingSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the time in s."""
        return self.selector.skipped
