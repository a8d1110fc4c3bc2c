"""Peers: accepts links from other daemons and dispatches their frames."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from typing import NamedTuple

from hornbeamgw.core.membership import Status
from hornbeamgw.core.options import split_address
from hornbeamgw.daemon import frames
from hornbeamgw.daemon.control import Control
from hornbeamgw.daemon.departures import Keeper
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.link import Link
from hornbeamgw.daemon.reader import Reader
from hornbeamgw.daemon.silence import Kind
from hornbeamgw.daemon.silence.link_watch import LinkWatch

ACK_POLL_INTERVAL_S = 0.01
# Links for a single question are closed within this time, and the hello has arrived by then.
KEPT_AFTER_S = 3.0
# Interval at which links of daemons that have ended are looked for, and the silence from which on
# they are probed.
SWEEP_INTERVAL_S = 30.0
MAX_PORT_ATTEMPTS = 20
# Below the ephemeral ports that Linux assigns to outgoing connections (32,768 and above).
PORT_RANGE = (20_000, 32_000)


class BoundSockets(NamedTuple):
    """The sockets of a daemon's address, of which that for TCP does not listen yet."""

    tcp: socket.socket
    udp: socket.socket


class Reservation(NamedTuple):
    """The address of a daemon, with the sockets that hold its port if the port was chosen."""

    address: str
    held: BoundSockets | None

    def bind(self) -> BoundSockets:
        """Return the bound sockets; raise OSError if the address is in use."""
        sockets = self.held or _open_sockets(self.address)
        # Lets the address be bound beside connections of the daemon's former process.
        sockets.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.held is None:
            _bind(sockets, self.address)
        return sockets


def reserve(address: str, rng: random.Random) -> Reservation:
    """Reserve an address, whose port 0 stands for one free for TCP and UDP; raise OSError.

    Ephemeral ports are not used, because an outgoing connection could occupy the port while the
    daemon restarts.
    """
    host, port = split_address(address)
    if port:
        return Reservation(address, None)
    for _ in range(MAX_PORT_ATTEMPTS):
        chosen = f"{host}:{rng.randrange(*PORT_RANGE)}"
        sockets = _open_sockets(chosen)
        try:
            _bind(sockets, chosen)
        except OSError:
            continue
        return Reservation(chosen, sockets)
    raise OSError(f"no port on {host} is free for both TCP and UDP")


def _open_sockets(address: str) -> BoundSockets:
    host, _ = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return BoundSockets(
        socket.socket(family, socket.SOCK_STREAM), socket.socket(family, socket.SOCK_DGRAM)
    )


def _bind(sockets: BoundSockets, address: str) -> None:
    try:
        for opened in sockets:
            opened.bind(split_address(address))
    except OSError:
        for opened in sockets:
            opened.close()
        raise


class PeerServer:
    """Server for links that other daemons open."""

    def __init__(self, control: Control, reader: Reader, gates: Gates, keeper: Keeper) -> None:
        """Initialise with the components that handle frames."""
        self._keeper = keeper
        self._control = control
        self._reader = reader
        self._gates = gates
        self._server: asyncio.Server | None = None
        self.links: set[Link] = set()
        self._watch = LinkWatch(control.record_fault)
        self._accepted: deque[Link] = deque()
        self._swept_at = 0.0

    async def start(self, bound: socket.socket) -> None:
        """Listen on a bound TCP socket; raise OSError on failure."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, sock=bound, backlog=1024)

    def _accept(self) -> Link:
        link = Link(self._control.hello, self._on_frame, self._on_lost, self._control.record_fault)
        link.kind = Kind.ACCEPTED_LINK
        link.remote_byte_counts = self._control.meter.remote_byte_counts
        self.links.add(link)
        self._accepted.append(link)
        return link

    def check(self, now: float) -> None:
        """Probe links that their daemons have replaced or left behind, and close silent ones.

        A link that merely carries nothing is not probed. Call this several times per
        `silence.STALL_S`.
        """
        self._watch.check(now)
        while self._accepted and now - self._accepted[0].signs.opened_at >= KEPT_AFTER_S:
            self._settle(self._accepted.popleft(), now)
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            self._probe_abandoned(now)

    def _settle(self, link: Link, now: float) -> None:
        """Probe the former links of a daemon that keeps a new one; close one without a hello."""
        if link not in self.links:
            return
        if link.peer is None:
            link.report_silent("closed", now)
            link.abort()
            return
        for former in self.links:
            is_same = former.peer is not None and former.peer.member == link.peer.member
            if is_same and former.signs.opened_at < link.signs.opened_at:
                self._watch.probe(former, now)

    def _probe_abandoned(self, now: float) -> None:
        """Probe links of daemons that have ended, unless they were heard lately."""
        members = self._control.view.members_by_address
        for link in self.links:
            if link.peer is None or now - link.signs.heard_at < SWEEP_INTERVAL_S:
                continue
            member = members.get(link.peer.member)
            if (
                member is None
                or member.status >= Status.DEAD
                or member.incarnation != link.peer.incarnation
            ):
                self._watch.probe(link, now)

    def _on_lost(self, link: Link) -> None:
        self.links.discard(link)
        self._gates.on_lost(link)

    def _on_frame(self, link: Link, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Pull):
            self._answer(link, "pull", self._control.answer_pull(frame.version))
        elif isinstance(frame, frames.ViewRequest):
            self._answer(link, "view", self._control.answer_view(frame.member))
        elif isinstance(frame, frames.Departures):
            assert link.peer is not None
            kept = self._keeper.answer(link.peer.member, frame)
            self._answer(link, "departures", kept)
        elif isinstance(frame, frames.FloorRequest):
            self._control.spawn(self._answer_floor(link, frame.address))
        else:
            self._gates.on_frame(link, frame)

    def _answer(self, link: Link, kind: str, answer: frames.Frame | None) -> None:
        if answer is None:
            self._control.meter.faults["transfer over rate"] += 1
            link.abort()
            return
        before = link.bytes_out
        link.send(answer)
        self._control.meter.sent(kind, link.bytes_out - before)

    async def _answer_floor(self, link: Link, address: str) -> None:
        self._answer(link, "floor", await self._reader.answer_floor(address))

    async def wait_until_read(self) -> None:
        """Wait until all peers have read the frames sent to them, or are lost."""
        loop = asyncio.get_running_loop()
        open_links = list(self.links)
        for link in open_links:
            link.request_ack(loop.time())
        while any(link.is_ack_pending(loop.time()) for link in open_links):
            await asyncio.sleep(ACK_POLL_INTERVAL_S)

    def abort(self) -> None:
        """Stop listening and abort all links."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.abort()

    def close(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.close()
