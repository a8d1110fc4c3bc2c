"""End watch: tells a backend server that has ended from a connection that it broke off.

Whatever ran when a connection was lost may be why. The server is on the same VM, so one dial tells:
it refuses once the process is gone. A dial that succeeds takes the place of the connection lost.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence

from hornbeamgw.daemon.backend_pool import BackendPool

# A process that ends loses all of its connections within a turn of the loop or two.
SETTLE_S = 0.01
# What was given up on so shortly before may still have run: a server that is told so by a closed
# connection need not stop at once.
RECENT_S = 1.0
MOST_LOST = 64


class EndWatch:
    """Own what was lost of late, and the dial that tells whether the server has ended."""

    def __init__(self, pool: BackendPool, on_end: Callable[[Sequence[int]], None]) -> None:
        """Take the connections to dial with, and what to tell of all that ran at an end."""
        self._pool = pool
        self._on_end = on_end
        self._lost: deque[tuple[float, int]] = deque(maxlen=MOST_LOST)
        self._task: asyncio.Task[None] | None = None
        self._has_ended = False

    def note_sound(self) -> None:
        """Take anything that shows that a server lives here."""
        self._has_ended = False

    def note_given_up(self, fingerprint: int) -> None:
        """Take a request that ran, and whose answer is no longer waited for."""
        self._lost.append((asyncio.get_running_loop().time(), fingerprint))

    def note_lost(self, fingerprint: int) -> None:
        """Take a request whose connection was lost, and find out whether the server has ended."""
        self.note_given_up(fingerprint)
        if self._task is None and not self._has_ended:
            self._task = asyncio.create_task(self._look())
            self._task.add_done_callback(self._looked)

    def _looked(self, task: asyncio.Task[None]) -> None:
        self._task = None

    async def _look(self) -> None:
        if not await self._pool.is_refused():
            self._lost.clear()
            return
        await asyncio.sleep(SETTLE_S)
        self._has_ended = True
        oldest = asyncio.get_running_loop().time() - RECENT_S
        # What was lost with the server goes first, as a report may not hold all that was given up.
        ran = dict.fromkeys(fingerprint for at, fingerprint in reversed(self._lost) if at >= oldest)
        self._lost.clear()
        self._on_end(tuple(ran))
