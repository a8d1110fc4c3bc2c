"""Crash detection: distinguish a crashed backend server from a single lost connection.

Any request that was running when the server crashed may be the cause. The server is on the same VM,
so one connection attempt is sufficient: it is refused once the process has ended. If it succeeds,
the new connection is added to the pool.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence

from hornbeamgw.daemon.backend_pool import BackendPool

# Time for the event loop to report the loss of the other connections to the crashed process.
CRASH_SETTLE_S = 0.01
# Abandoned requests count as running for this long, because a server does not necessarily stop a
# request as soon as its connection is closed.
LOST_RETENTION_S = 1.0
MAX_LOST = 64


class CrashDetector:
    """The recently lost requests of a backend server, and the check for a crash after a loss."""

    def __init__(self, pool: BackendPool, on_crash: Callable[[Sequence[int]], None]) -> None:
        """Use `pool` to connect; call `on_crash` with the fingerprints of the running requests."""
        self._pool = pool
        self._on_crash = on_crash
        self._lost: deque[tuple[float, int]] = deque(maxlen=MAX_LOST)
        self._task: asyncio.Task[None] | None = None
        self._has_crashed = False

    def note_sound(self) -> None:
        """Record that the backend server is running."""
        self._has_crashed = False

    def record_abandoned(self, fingerprint: int) -> None:
        """Record a request that was running when this daemon stopped waiting for its answer."""
        self._lost.append((asyncio.get_running_loop().time(), fingerprint))

    def record_lost(self, fingerprint: int) -> None:
        """Record a request whose connection was lost, and check whether the server crashed."""
        self.record_abandoned(fingerprint)
        if self._task is None and not self._has_crashed:
            self._task = asyncio.create_task(self._probe())
            self._task.add_done_callback(self._on_probed)

    def _on_probed(self, task: asyncio.Task[None]) -> None:
        self._task = None

    async def _probe(self) -> None:
        if not await self._pool.is_refused():
            self._lost.clear()
            return
        await asyncio.sleep(CRASH_SETTLE_S)
        self._has_crashed = True
        oldest = asyncio.get_running_loop().time() - LOST_RETENTION_S
        # The latest losses come first, because a crash report is limited in size.
        fingerprints = dict.fromkeys(
            fingerprint for lost_at, fingerprint in reversed(self._lost) if lost_at >= oldest
        )
        self._lost.clear()
        self._on_crash(tuple(fingerprints))
