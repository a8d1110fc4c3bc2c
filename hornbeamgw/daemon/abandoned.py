"""Abandoned requests: watch what becomes of requests that were cut off at a backend server."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

import h11

from hornbeamgw.core import answer_limits, former_work, occupancy
from hornbeamgw.core.admission import AdmissionState, AttemptId
from hornbeamgw.core.occupancy import Outcome, SlotCheck
from hornbeamgw.core.slots import CutRequest
from hornbeamgw.daemon.backend_pool import BackendPool
from hornbeamgw.daemon.http1 import ConnectionLost, HttpClient, HttpConnection
from hornbeamgw.daemon.silence import Kind

log = logging.getLogger(__name__)

# Interval at which the expected end is computed again, as other answers change the estimates.
RECHECK_INTERVAL_S = 0.05
CHECK_TIMEOUT_S = 0.5
# During a hold only a prompt answer is of use, and a full server may never answer.
HOLD_CHECK_TIMEOUT_S = 0.1
HEALTHY_STATUS = 200
MAX_CHECK_BYTES = 64 * 1024

OnEnded = Callable[[bool], None]


async def _is_answered(connection: HttpConnection) -> bool:
    """Discard the rest of the input; return whether the answer was complete.

    It isn't if the server sends more than an answer can be.
    """
    skipped, received_before = 0, connection.received_bytes
    try:
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return True
            skipped += isinstance(event, h11.InformationalResponse)
            received = connection.received_bytes - received_before
            if answer_limits.problem_before_answer(skipped, received):
                return False
            if isinstance(event, h11.ConnectionClosed | h11.PAUSED):
                return False
    except (ConnectionLost, h11.ProtocolError):
        return False


def _how_ended(task: asyncio.Task[str], call_id: str) -> str:
    """Return how the wait for the end of a request ended; log an error."""
    if task.cancelled():
        return "server ended"
    error = task.exception()
    if error is None:
        return task.result()
    log.error("waiting for a request failed", extra={"call_id": call_id}, exc_info=error)
    return "error"


class AbandonedRequests:
    """The requests at one backend server whose answers nobody waits for any longer."""

    def __init__(
        self,
        state: AdmissionState,
        pool: BackendPool,
        counts: Counter[str],
        on_closed: Callable[[float], None],
    ) -> None:
        """Watch connections of `pool`; the estimates and the server's habits are in `state`.

        `on_closed` is called with the time (s) at which the server has closed a connection.
        """
        self._on_closed = on_closed
        self._state = state
        self._pool = pool
        self._counts = counts
        self._tasks: dict[asyncio.Task[str], OnEnded] = {}

    def watch(
        self,
        attempt: AttemptId,
        call_id: str,
        cut: CutRequest,
        connection: HttpConnection,
        on_ended: OnEnded,
    ) -> None:
        """Close the connection of a request, and wait until its slot counts as free.

        `on_ended` is then called, with whether the server has answered.
        """
        if connection.http.our_state is h11.DONE and not connection.unsent_bytes():
            connection.half_close()
        else:
            # The server has not received the whole request.
            connection.abort()
        self._counts["cut"] += 1
        self._state.habits.has_cut_any = True
        self._state.cuts_by_attempt[attempt] = cut
        task = asyncio.create_task(self._wait(attempt, cut, connection))
        self._tasks[task] = on_ended
        task.add_done_callback(lambda done: self._on_done(done, call_id, cut, connection))

    async def _wait(self, attempt: AttemptId, cut: CutRequest, connection: HttpConnection) -> str:
        """Return how it became known that the slot is free."""
        loop = asyncio.get_running_loop()
        answer = asyncio.create_task(_is_answered(connection))
        try:
            while True:
                now = loop.time()
                if answer.done() and cut.closed_at is None:
                    if answer.result():
                        return "answered"
                    cut = self._state.cuts_by_attempt[attempt] = cut._replace(closed_at=now)
                    self._pool.discard(connection)
                    self._on_closed(now)
                times = self._state.service_time_estimates
                cut = occupancy.with_life(self._state.habits, times, cut)
                free_at = occupancy.free_at(self._state.habits, times, cut)
                if now >= free_at:
                    return "silent" if cut.closed_at is None else "closed"
                pause = min(free_at - now, RECHECK_INTERVAL_S)
                if cut.closed_at is None:
                    await asyncio.wait((answer,), timeout=pause)
                else:
                    await asyncio.sleep(pause)
        finally:
            answer.cancel()

    def _on_done(
        self, task: asyncio.Task[str], call_id: str, cut: CutRequest, connection: HttpConnection
    ) -> None:
        on_ended = self._tasks.pop(task)
        how = _how_ended(task, call_id)
        if how == "answered":
            self._pool.retire(connection)
        else:
            self._pool.discard(connection)
        self._counts[f"cut.{how.replace(' ', '_')}"] += 1
        after_ms = round((asyncio.get_running_loop().time() - cut.cut_at) * 1000, 1)
        log.info(
            "slot of a request that was cut off is free",
            extra={"call_id": call_id, "how": how, "after_ms": after_ms},
        )
        on_ended(how == "answered")

    def release(self) -> None:
        """Free all slots at once, because the server's process has ended."""
        for task in self._tasks:
            task.cancel()


class SlotChecker:
    """Health checks of one backend server, at most one at a time."""

    def __init__(
        self,
        state: AdmissionState,
        pool: BackendPool,
        counts: Counter[str],
        on_free_slot: Callable[[], None],
    ) -> None:
        """Check the server of `pool`; what is learned of it is kept in `state`.

        `on_free_slot` is called after a check during a hold, which may have found a free slot.
        """
        self._on_free_slot = on_free_slot
        self._state = state
        self._pool = pool
        self._counts = counts
        self._task: asyncio.Task[None] | None = None

    def consider(self, health_path: str | None, now: float) -> None:
        """Send a check if it is due and the server has a path for it."""
        if health_path is None or self._task is not None or not self._pool.has_spare():
            return
        if former_work.is_held(self._state, now):
            # Other checks would be misread, as the former requests are not known one by one.
            due_at = former_work.check_due_at(self._state, now)
            if due_at is not None and due_at <= now:
                former = former_work.begin_check(self._state, now)
                self._task = asyncio.create_task(self._send_during_hold(former, health_path))
                self._task.add_done_callback(self._on_done_during_hold)
            return
        if occupancy.is_check_due(self._state, now):
            check = occupancy.begin_check(self._state, now)
            self._task = asyncio.create_task(self._send(check, health_path))
            self._task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._task = None

    def _on_done_during_hold(self, task: asyncio.Task[None]) -> None:
        self._task = None
        self._on_free_slot()

    async def _send_during_hold(self, check: former_work.Check, health_path: str) -> None:
        self._counts["former_work.checks"] += 1
        known = self._state.former_work
        status = await self._status(health_path, HOLD_CHECK_TIMEOUT_S)
        if known is not self._state.former_work:
            return
        now = asyncio.get_running_loop().time()
        is_answered = status == HEALTHY_STATUS
        if former_work.record_check(self._state, check, is_answered, now):
            self._counts["former_work.free_slots"] += 1

    async def _send(self, check: SlotCheck, health_path: str) -> None:
        self._counts["slot_checks"] += 1
        habits = self._state.habits
        status = await self._status(health_path, CHECK_TIMEOUT_S)
        if habits is not self._state.habits:
            return
        now = asyncio.get_running_loop().time()
        outcome = occupancy.record_check(self._state, check, status == HEALTHY_STATUS, now)
        took_ms = round(1000 * (now - check.sent_at), 1)
        fields = {"outcome": outcome, "took_ms": took_ms, "evidence": round(habits.evidence, 2)}
        log.info("check for a free slot ended", extra={"status": status, **fields})
        if outcome is Outcome.LEARNED:
            log.info("backend server stops requests whose connection is closed")

    async def _status(self, health_path: str, timeout_s: float) -> int | None:
        """Return the status of the answer, None if there is none in time."""
        client = HttpClient(self._pool.address, timeout_s, MAX_CHECK_BYTES, Kind.SERVER)
        try:
            answer = await client.request("GET", health_path)
        except (OSError, TimeoutError, ConnectionLost, h11.ProtocolError, ValueError) as error:
            detail = str(error) or type(error).__name__
            log.info("check for a free slot failed", extra={"error": detail})
            return None
        finally:
            client.close()
        return answer.status
