"""Gates: one for each backend server beside this daemon, told apart by their numbers.

A server's number is the port that it listens on, so it stays the same when the daemon restarts. A
server that does not name itself has none; it takes the place of the one before it.
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
# Beside a VM's server the next version of it may run, and for a while one that is leaving.
MOST_SERVERS = 4


def number_of(announcement: Announcement) -> int:
    """Return the number of the server that announces itself."""
    return split_address(announcement.address)[1] if announcement.instance else UNNUMBERED


def _further(number: int, announced: Announcement) -> FurtherServer:
    return FurtherServer(
        number,
        announced.service,
        announced.state,
        announced.slots,
        announced.started_ms,
        announced.software,
    )


class Gates:
    """Own the gates of all backend servers beside this daemon."""

    def __init__(self, open_gate: Callable[[], Gate]) -> None:
        """Take what opens a gate; one is open before any server is known."""
        self.on_replaced: Callable[[str], None] = lambda instance: None
        self._open_gate = open_gate
        self._gates_by_number: dict[int, Gate] = {}
        self._unused_at_by_number: dict[int, float] = {}
        self._stopping = False
        self._stop_plan: stopping.Plan | None = None
        self._unassigned: Gate | None = self._open()

    def _open(self) -> Gate:
        gate = self._open_gate()
        gate.exchange.on_replaced = lambda instance: self.on_replaced(instance)
        return gate

    @property
    def all(self) -> list[Gate]:
        """Return every gate that is open."""
        unassigned = [] if self._unassigned is None else [self._unassigned]
        return [*self._gates_by_number.values(), *unassigned]

    @property
    def first(self) -> Gate:
        """Return the gate of the server that was announced first of those that are here."""
        serving = [gate for gate in self.all if gate.announcement is not None]
        return serving[0] if serving else self.all[0]

    @property
    def counts(self) -> Counter[str]:
        """Return what the gates have counted together."""
        return sum((gate.counts for gate in self.all), Counter[str]())

    def announce(self, announcement: Announcement) -> None:
        """Take what a server says of itself; raise ValueError where there are too many."""
        self.at(number_of(announcement)).announce(announcement)

    def at(self, number: int) -> Gate:
        """Return the gate of a server, opening one; raise ValueError where there are too many."""
        gate = self._gates_by_number.get(number)
        if gate is not None:
            return gate
        living = [gate for gate in self.all if gate.announcement is not None]
        if len(living) >= MOST_SERVERS:
            raise ValueError(f"server {number!r}, expected {MOST_SERVERS} beside a daemon at most")
        gate, self._unassigned = self._unassigned or self._open(), None
        gate.stop_plan = self._stop_plan
        if self._stopping:
            gate.stop()
        self._gates_by_number[number] = gate
        return gate

    def announced(self) -> dict[int, Announcement]:
        """Return what the servers here last said of themselves, by number."""
        return {
            number: gate.announcement
            for number, gate in self._gates_by_number.items()
            if gate.announcement is not None
        }

    def tallies(self, now: float) -> list[Tally]:
        """Return what was counted at each server here."""
        for gate in self._gates_by_number.values():
            gate.tally_overdue(now)
        return [
            gate.tally(number, known)
            for number, gate in self._gates_by_number.items()
            if (known := gate.announcement) is not None
        ]

    def record(self) -> dict[str, object]:
        """Return what this daemon's record says of the servers here."""
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
            "further_servers": tuple(_further(*other) for other in others),
        }

    # Frames

    def on_frame(self, link: Link, frame: frames.Frame) -> None:
        """Hand a frame of a call to the gate of its server."""
        if isinstance(frame, frames.Call | frames.OutlookRequest | frames.Question):
            gate = self._named(frame.server)
            if gate is None:
                _answer_for_none(link, frame)
                return
        else:
            gate = self._that_knows(link, frame)
        gate.on_frame(link, frame)

    def _named(self, number: int) -> Gate | None:
        """Return the gate of a server; a daemon that knows no numbers means the first."""
        gate = self._gates_by_number.get(number)
        return self.first if gate is None and number == UNNUMBERED else gate

    def _that_knows(self, link: Link, frame: frames.Frame) -> Gate:
        if len(self._gates_by_number) > 1 and isinstance(
            frame, frames.Body | frames.Credit | frames.Cancel
        ):
            assert link.peer is not None
            attempt = AttemptId(link.peer.member, link.peer.incarnation, frame.attempt)
            for gate in self._gates_by_number.values():
                if gate.holds(attempt):
                    return gate
        return self.first

    def on_lost(self, link: Link) -> None:
        """Note at each gate that a link was lost."""
        for gate in self.all:
            gate.on_lost(link)

    def own_outlook(self, asked: frames.OutlookRequest) -> frames.Outlook:
        """Return what a request that begins here could expect at one of the servers here."""
        gate = self._named(asked.server)
        return _no_outlook(asked) if gate is None else gate.own_outlook(asked)

    # All of them

    def expire(self, now: float) -> None:
        """Forget servers that no longer renew what they announced, and gates long unused."""
        for gate in self.all:
            gate.expire(now)
        for number, gate in list(self._gates_by_number.items()):
            if gate.announcement is not None or not gate.idle.is_set():
                self._unused_at_by_number.pop(number, None)
            elif now - self._unused_at_by_number.setdefault(number, now) > ATTEMPT_RETENTION_S:
                del self._unused_at_by_number[number]
                self._close(number)

    def _close(self, number: int) -> None:
        """Close a gate that knows of no attempt any more; one always stays open."""
        if len(self.all) > 1:
            del self._gates_by_number[number]

    def begin_stop(self, plan: stopping.Plan) -> None:
        """Take on no more than can be answered before the daemon ends."""
        self._stop_plan = plan
        for gate in self.all:
            gate.stop_plan = plan

    def stop(self) -> None:
        """Drain for good, as the daemon stops."""
        self._stopping = True
        for gate in self.all:
            gate.stop()

    def drain(self, why: str) -> None:
        """Take no new work from now on; what runs goes on to its end."""
        for gate in self.all:
            gate.drain(why)

    async def wait_idle(self) -> None:
        """Wait until nothing runs or waits at any gate."""
        while busy := [gate for gate in self.all if not gate.idle.is_set()]:
            await asyncio.gather(*(gate.idle.wait() for gate in busy))

    def unfinished(self, now: float) -> list[Unfinished]:
        """Return what is under way at all gates."""
        return [told for gate in self.all for told in gate.unfinished(now)]

    def cut_off(self) -> list[str]:
        """End what still runs and return the call ids that were cut off."""
        return [call_id for gate in self.all for call_id in gate.cut_off()]

    def retry_ratio(self) -> float:
        """Return which part of what runs at the servers here has reached one before."""
        running = [len(gate.state.running_by_attempt) for gate in self.all]
        if not any(running):
            return 0.0
        shares = [gate.retry_ratio() for gate in self.all]
        return sum(map(float.__mul__, shares, map(float, running))) / sum(running)


def _no_outlook(asked: frames.OutlookRequest) -> frames.Outlook:
    return frames.Outlook(asked.number, False, 0, 0, RETRY_AFTER_NOT_READY_MS)


def _answer_for_none(
    link: Link, frame: frames.Call | frames.OutlookRequest | frames.Question
) -> None:
    """Answer for a server that is not here; whether an attempt has run there nobody knows now."""
    if isinstance(frame, frames.Question):
        link.send(frames.Resolution(frame.attempt, True))
    elif isinstance(frame, frames.OutlookRequest):
        link.send(_no_outlook(frame))
    else:
        detail = f"no server {frame.server} here"
        failure = not_run(Reason.NO_BACKEND, detail, RETRY_AFTER_NOT_READY_MS)
        link.send(frames.Refusal(frame.attempt, failure, 0))
