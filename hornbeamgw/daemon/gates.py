"""Gates: one gate for each backend server on this VM, identified by the server's number.

The number is the port on which the server listens, so it stays the same when the daemon restarts.
Servers whose announcements have no instance name share the number `UNNUMBERED`, so that each
replaces the previous one.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from hornbeamgw.core import stopping
from hornbeamgw.core.admission import ATTEMPT_RETENTION_S, AttemptId
from hornbeamgw.core.membership import FurtherServer, ServerState
from hornbeamgw.core.options import split_address
from hornbeamgw.core.registration import Announcement
from hornbeamgw.core.tally import Tally
from hornbeamgw.core.verdict import Reason, not_run
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.gate import RETRY_AFTER_NOT_READY_MS, Gate
from hornbeamgw.daemon.link import Link
from hornbeamgw.daemon.progress import Unfinished

UNNUMBERED = 0
# During a replacement, the old, the new and a draining server can run on the same VM.
MAX_SERVERS = 4


def server_number(announcement: Announcement) -> int:
    """Return the number of the announced server."""
    return split_address(announcement.address)[1] if announcement.instance else UNNUMBERED


def _further_server(number: int, announced: Announcement) -> FurtherServer:
    return FurtherServer(
        number,
        announced.service,
        announced.state,
        announced.slots,
        announced.started_ms,
        announced.software,
    )


class Gates:
    """The gates of all backend servers on this VM."""

    def __init__(self, open_gate: Callable[[], Gate]) -> None:
        """Open one gate, which the first announced server gets; `open_gate` returns a new gate."""
        self.on_replaced: Callable[[str], None] = lambda instance: None
        self.on_leaving: Callable[[str], None] = lambda instance: None
        self._open_gate = open_gate
        self._gates_by_number: dict[int, Gate] = {}
        self._unused_since_by_number: dict[int, float] = {}
        self._stopping = False
        self._stop_plan: stopping.Plan | None = None
        self._unassigned: Gate | None = self._open()

    def _open(self) -> Gate:
        gate = self._open_gate()
        gate.on_replaced = lambda instance: self.on_replaced(instance)
        gate.on_leaving = lambda instance: self.on_leaving(instance)
        return gate

    @property
    def all(self) -> list[Gate]:
        """Return all open gates."""
        unassigned = [] if self._unassigned is None else [self._unassigned]
        return [*self._gates_by_number.values(), *unassigned]

    @property
    def first(self) -> Gate:
        """Return the gate of the registered server that was announced first."""
        serving = [gate for gate in self.all if gate.announcement is not None]
        return serving[0] if serving else self.all[0]

    @property
    def counts(self) -> Counter[str]:
        """Return the sums of the gates' counters."""
        return sum((gate.counts for gate in self.all), Counter[str]())

    def announce(self, announcement: Announcement) -> None:
        """Register a server or renew its registration; raise ValueError if there are too many."""
        self.gate_for(server_number(announcement)).announce(announcement)

    def gate_for(self, number: int) -> Gate:
        """Return the gate of a server, opened if needed; raise ValueError beyond MAX_SERVERS."""
        gate = self._gates_by_number.get(number)
        if gate is not None:
            return gate
        registered = [gate for gate in self.all if gate.announcement is not None]
        if len(registered) >= MAX_SERVERS:
            raise ValueError(f"server {number!r}, expected {MAX_SERVERS} beside a daemon at most")
        gate, self._unassigned = self._unassigned or self._open(), None
        gate.stop_plan = self._stop_plan
        if self._stopping:
            gate.stop()
        self._gates_by_number[number] = gate
        return gate

    def announced(self) -> dict[int, Announcement]:
        """Return the current announcements by server number."""
        return {
            number: gate.announcement
            for number, gate in self._gates_by_number.items()
            if gate.announcement is not None
        }

    def tallies(self, now: float) -> list[Tally]:
        """Return the tally of each registered server, including overdue attempts."""
        for gate in self._gates_by_number.values():
            gate.count_overdue(now)
        return [
            gate.tally(number, known)
            for number, gate in self._gates_by_number.items()
            if (known := gate.announcement) is not None
        ]

    def member_fields(self) -> dict[str, object]:
        """Return the fields of this daemon's membership record that describe its servers."""
        announced = self.announced()
        if not announced:
            none = {"service": "", "server_state": ServerState.NONE, "slots": 0, "software": ""}
            return {**none, "server": UNNUMBERED, "further_servers": ()}
        (number, first), *others = announced.items()
        return {
            "service": first.service,
            "server_state": first.state,
            "slots": first.slots,
            "server_started_ms": first.started_ms,
            "software": first.software,
            "server": number,
            "further_servers": tuple(_further_server(*other) for other in others),
        }

    # Frames

    def on_frame(self, link: Link, frame: frames.Frame) -> None:
        """Pass a frame from another daemon to the gate of its server."""
        if isinstance(frame, frames.Call | frames.OutlookRequest | frames.Question):
            gate = self._gate_for_number(frame.server)
            if gate is None:
                _refuse_unknown_server(link, frame)
                return
        else:
            gate = self._gate_for_frame(link, frame)
        gate.on_frame(link, frame)

    def _gate_for_number(self, number: int) -> Gate | None:
        """Return the gate of a server, or the first gate if the sender gave no number."""
        gate = self._gates_by_number.get(number)
        return self.first if gate is None and number == UNNUMBERED else gate

    def _gate_for_frame(self, link: Link, frame: frames.Frame) -> Gate:
        if len(self._gates_by_number) > 1 and isinstance(
            frame, frames.Body | frames.Credit | frames.Cancel
        ):
            assert link.peer is not None
            attempt = AttemptId(link.peer.member, link.peer.incarnation, frame.attempt)
            for gate in self._gates_by_number.values():
                if gate.has_attempt(attempt):
                    return gate
        return self.first

    def on_lost(self, link: Link) -> None:
        """Notify each gate that a link was lost."""
        for gate in self.all:
            gate.on_lost(link)

    def local_outlook(self, query: frames.OutlookRequest) -> frames.Outlook:
        """Return the outlook for a request of this daemon itself at one of its servers."""
        gate = self._gate_for_number(query.server)
        return _refused_outlook(query) if gate is None else gate.local_outlook(query)

    # Operations on all gates

    def expire(self, now: float) -> None:
        """Remove servers whose announcements have expired, and close gates that are long unused."""
        for gate in self.all:
            gate.expire(now)
        for number, gate in list(self._gates_by_number.items()):
            if gate.announcement is not None or not gate.idle.is_set():
                self._unused_since_by_number.pop(number, None)
            elif now - self._unused_since_by_number.setdefault(number, now) > ATTEMPT_RETENTION_S:
                del self._unused_since_by_number[number]
                self._close(number)

    def _close(self, number: int) -> None:
        """Close a gate that has no attempts, unless it is the only one."""
        if len(self.all) > 1:
            del self._gates_by_number[number]

    def begin_stop(self, plan: stopping.Plan) -> None:
        """Admit only requests that can be answered before the daemon ends."""
        self._stop_plan = plan
        for gate in self.all:
            gate.stop_plan = plan

    def stop(self) -> None:
        """Drain permanently because the daemon stops."""
        self._stopping = True
        for gate in self.all:
            gate.stop()

    def drain(self, why: str) -> None:
        """Admit no more requests; running ones complete."""
        for gate in self.all:
            gate.drain(why)

    async def wait_idle(self) -> None:
        """Wait until no gate has any attempts."""
        while busy := [gate for gate in self.all if not gate.idle.is_set()]:
            await asyncio.gather(*(gate.idle.wait() for gate in busy))

    def unfinished(self, now: float) -> list[Unfinished]:
        """Return the attempts that are queued, running or sending their answers."""
        return [call for gate in self.all for call in gate.unfinished(now)]

    def cut_off(self) -> list[str]:
        """Cancel the running attempts and return their call ids."""
        return [call_id for gate in self.all for call_id in gate.cut_off()]

    def retry_ratio(self) -> float:
        """Return the ratio of requests running at all servers that are retries."""
        running = [len(gate.state.running_by_attempt) for gate in self.all]
        if not any(running):
            return 0.0
        ratios = [gate.retry_ratio() for gate in self.all]
        return sum(map(float.__mul__, ratios, map(float, running))) / sum(running)


def _refused_outlook(query: frames.OutlookRequest) -> frames.Outlook:
    return frames.Outlook(query.number, False, 0, 0, RETRY_AFTER_NOT_READY_MS)


def _refuse_unknown_server(
    link: Link, frame: frames.Call | frames.OutlookRequest | frames.Question
) -> None:
    """Answer a frame for an unknown server; an attempt there may have run."""
    if isinstance(frame, frames.Question):
        link.send(frames.Resolution(frame.attempt, True))
    elif isinstance(frame, frames.OutlookRequest):
        link.send(_refused_outlook(frame))
    else:
        detail = f"no server {frame.server} here"
        failure = not_run(Reason.NO_BACKEND, detail, RETRY_AFTER_NOT_READY_MS)
        link.send(frames.Refusal(frame.attempt, failure, 0))
