"""A network between the daemons that can be cut, or forget its open connections.

A daemon listens where it tells others to find it, so nothing can stand between two of them. Here
each daemon is known to the others by a second address, at which a forwarder listens for TCP and
UDP. The forwarder exchanges the two addresses in what passes, with the project's own codec, and in
the rows of the directory. What is passed on is otherwise unchanged.
"""

from __future__ import annotations

import asyncio
import base64
import contextvars
import socket
from collections.abc import Callable
from typing import Any

import rig

from hornbeamgw.core import rendezvous
from hornbeamgw.core.membership import Indirect, Member
from hornbeamgw.core.node import Envelope
from hornbeamgw.core.spreading import Push
from hornbeamgw.daemon import codec, datagrams, frames
from hornbeamgw.daemon.compression import Compressor, Decompressor
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.testing.store import StandInStore

FLEET = "hornbeamgw"
TABLE = "hornbeamgw-daemons"
_reader: contextvars.ContextVar[int] = contextvars.ContextVar("reader")

Name = Callable[[str], str]


class TranslatingStore(StandInStore):
    """The store, with the rows of the directory as each daemon may see them."""

    def __init__(self) -> None:
        """Create an empty store; `network` is set later."""
        super().__init__()
        self.network: Network | None = None
        self.machine_by_listener: dict[str, int] = {}

    async def handle(self, connection: HttpConnection, request: Any, fault: str = "") -> None:
        """Serve a request, and note which daemon has sent it."""
        assert connection.transport is not None
        name = connection.transport.get_extra_info("sockname")
        _reader.set(self.machine_by_listener.get(f"{name[0]}:{name[1]}", -1))
        await super().handle(connection, request, fault)

    def _row_page(self, query: dict[str, str]) -> dict[str, Any]:
        page = super()._row_page(query)
        if query["table"] == TABLE and self.network is not None:
            page["rows"] = [self.network.row_for(_reader.get(), row) for row in page["rows"]]
        return page


class Network:
    """The forwarders of all daemons."""

    def __init__(self) -> None:
        """Create a network without daemons."""
        self.real: list[str] = []
        self.known_as: list[str] = []
        self.is_cut: Callable[[int, int], bool] = lambda source, target: False
        self.epoch = 0
        self.open_links = 0
        self._fleet = datagrams.fleet_hash(FLEET)
        self._closers: list[Callable[[], object]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def add(self, address: str) -> None:
        """Add the forwarder of a daemon with this address."""
        number = len(self.real)
        ip, _, port = address.rpartition(":")
        outer = _outer_ip(ip)
        self.real.append(address)
        self.known_as.append(f"{outer}:{port}")
        server = await asyncio.start_server(
            lambda reader, writer: self._accept(number, reader, writer), outer, int(port)
        )
        self._closers.append(server.close)
        inner = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        inner.bind((outer, int(port)))
        inner.setblocking(False)
        loop = asyncio.get_running_loop()
        loop.add_reader(inner.fileno(), self._on_datagrams, number, inner)
        self._closers += [lambda: loop.remove_reader(inner.fileno()), inner.close]

    def silence(self) -> int:
        """Pass nothing on any more on the open connections; return their number."""
        self.epoch += 1
        return self.open_links

    def row_for(self, reader: int, row: dict[str, Any]) -> dict[str, Any]:
        """Return a row of the directory as a daemon may see it."""
        number = self.real.index(row["key"]) if row["key"] in self.real else -1
        if number in (-1, reader):
            return row
        real, known_as = self.real[number].encode(), self.known_as[number].encode()
        value = base64.b64decode(row["value"]).replace(b'"' + real + b'"', b'"' + known_as + b'"')
        return {
            **row,
            "key": self.known_as[number],
            "value": base64.b64encode(value).decode(),
        }

    def _namer(self, source: int, target: int) -> Name:
        names = {
            self.real[source]: self.known_as[source],
            self.known_as[target]: self.real[target],
        }
        return lambda address: names.get(address, address)

    # UDP

    def _on_datagrams(self, target: int, inner: socket.socket) -> None:
        while True:
            try:
                payload, sender = inner.recvfrom(65_536)
            except OSError:
                return
            address = f"{sender[0]}:{sender[1]}"
            if address not in self.real:
                continue
            source = self.real.index(address)
            if self.is_cut(source, target):
                continue
            name = self._namer(source, target)
            envelope = datagrams.decode_datagram(self._fleet, payload)
            changed = datagrams.encode_datagram(self._fleet, _renamed(envelope, name))
            ip, _, port = self.real[target].rpartition(":")
            try:
                inner.sendto(changed, (ip, int(port)))
            except OSError:
                continue

    # TCP

    async def _accept(
        self, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.open_links += 1
        epoch = self.epoch
        upstream: asyncio.StreamWriter | None = None
        try:
            hello = await _read_frame(reader)
            source = self.real.index(codec.decode_frame(hello).member)  # type: ignore[union-attr]
            while self.is_cut(source, target):
                await asyncio.sleep(0.05)
            ip, _, port = self.real[target].rpartition(":")
            upstream_reader, upstream = await asyncio.open_connection(ip, int(port))
            other = await _read_frame(upstream_reader)
            there, back = self._namer(source, target), self._namer(target, source)
            upstream.write(_renamed_frame(hello, there))
            writer.write(_renamed_frame(other, back))
            centres = [codec.decode_frame(h).data_centre for h in (hello, other)]  # type: ignore
            is_far = centres[0] != centres[1]

            def is_open() -> bool:
                cut = self.is_cut(source, target) or self.is_cut(target, source)
                return epoch == self.epoch and not cut

            await asyncio.gather(
                _copy(reader, upstream, there, is_far, is_open),
                _copy(upstream_reader, writer, back, is_far, is_open),
            )
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, codec.CodecError):
            pass
        finally:
            self.open_links -= 1
            self._tasks.discard(task)
            for each in (writer, upstream):
                if each is not None:
                    each.transport.abort()

    def close(self) -> None:
        """Close all forwarders."""
        for close in self._closers:
            close()
        for task in list(self._tasks):
            task.cancel()


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    size = int.from_bytes(await reader.readexactly(codec.LENGTH_PREFIX_BYTES), "big")
    return await reader.readexactly(size)


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    name: Name,
    is_far: bool,
    is_open: Callable[[], bool],
) -> None:
    compressor = Compressor() if is_far else None
    decompressor = Decompressor() if is_far else None
    while True:
        try:
            payload = await _read_frame(reader)
        except (OSError, asyncio.IncompleteReadError):
            break
        if not is_open():
            # Nothing of this connection arrives any more, nor is its end seen.
            await asyncio.Event().wait()
        if compressor is None or decompressor is None:
            writer.write(_renamed_frame(payload, name))
        else:
            head, body = decompressor.decompress(payload, codec.MAX_FRAME_BYTES)
            changed = _renamed_frame(head, name)[codec.LENGTH_PREFIX_BYTES :]
            writer.write(codec.add_length_prefix(compressor.compress(changed) + body))
        await writer.drain()
    if is_open():
        writer.transport.abort()
    else:
        await asyncio.Event().wait()


def _member(member: Member, name: Name) -> Member:
    return member._replace(address=name(member.address))


def _renamed(envelope: Envelope, name: Name) -> Envelope:
    message = envelope.message
    if isinstance(message, Indirect):
        message = message._replace(target=name(message.target))
    elif isinstance(message, Push):
        message = message._replace(low=name(message.low), high=name(message.high))
    gossip = [_member(member, name) for member in envelope.gossip]
    return envelope._replace(sender=name(envelope.sender), gossip=gossip, message=message)


def _renamed_frame(payload: bytes, name: Name) -> bytes:
    frame = codec.decode_frame(payload)
    if isinstance(frame, frames.Hello):
        return codec.encode_frame(frame._replace(member=name(frame.member)))
    if isinstance(frame, frames.ViewRequest):
        return codec.encode_frame(frames.ViewRequest(_member(frame.member, name)))
    if isinstance(frame, frames.View):
        return codec.encode_frame(frames.View([_member(m, name) for m in frame.members]))
    if isinstance(frame, frames.FloorRequest):
        return codec.encode_frame(frames.FloorRequest(name(frame.address)))
    return codec.add_length_prefix(payload)


def _outer_ip(ip: str) -> str:
    parts = ip.split(".")
    return f"{parts[0]}.{parts[1]}.1.{parts[3]}"


def _scores(machine: rig.Machine) -> list[float]:
    """Return the scores, from 0 to 1, of both addresses of a daemon for the first partition."""
    port = machine.inner[0]
    addresses = [f"{ip}:{port}" for ip in (machine.ip, _outer_ip(machine.ip))]
    scores = [rendezvous._score("quota 0", address) for address in addresses]
    return [int.from_bytes(score, "big") / (1 << 8 * len(score)) for score in scores]


class NetworkRig(rig.Rig):
    """A deployment whose daemons reach each other through a network of this module."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Create an empty deployment."""
        super().__init__(*args, **kwargs)
        self.network = Network()
        self.store: TranslatingStore = TranslatingStore()
        self.store.network = self.network

    async def add(
        self, zone: str, service: str, band: tuple[float, float] = (0.0, 1.0)
    ) -> rig.Machine:
        """Add a machine whose daemon is not started yet.

        Owners of quotas are chosen by scores of addresses, and each daemon knows itself by another
        one than others do. The scores of both are within `band`, so that all daemons choose the
        same owner of the first partition, as they always do where all know the same addresses.
        """
        machine = rig.Machine(self, len(self.machines), zone, service)
        while not all(band[0] <= score < band[1] for score in _scores(machine)):
            machine.inner[0] = rig.free_port(machine.ip)
        listener = await self.store.start(f"127.{self.octet}.0.2:0")
        self.store.machine_by_listener[listener] = machine.number
        machine.valve = rig.Valve(listener)
        await machine.valve.start(f"127.{self.octet}.0.3")
        await self.network.add(f"{machine.ip}:{machine.inner[0]}")
        self.machines.append(machine)
        return machine

    def close(self) -> None:
        """End all that was started."""
        self.network.close()
        super().close()
