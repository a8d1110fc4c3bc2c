"""Containment: an error in one step of shared work is logged and does not end the other steps.

Links, timers and gossip serve many requests at once. An unexpected error while one frame or one
periodic check is handled must not close the link or end the task that the others depend on.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterator, Sequence

log = logging.getLogger(__name__)


def log_contained(step: str) -> None:
    """Log the error that is being handled, and the step of shared work that raised it."""
    log.exception("unexpected error contained", extra={"step": step})


@contextlib.contextmanager
def contained(step: str) -> Iterator[None]:
    """Log an unexpected error in a step of shared work instead of raising it."""
    try:
        yield
    except Exception:
        log_contained(step)


async def run_every(interval: float, steps: Sequence[Callable[[], None]]) -> None:
    """Call functions in turn at an interval in seconds, until cancelled.

    An error in one of them is logged and skips neither the others nor later calls.
    """
    while True:
        await asyncio.sleep(interval)
        for step in steps:
            with contained(step.__qualname__):
                step()
