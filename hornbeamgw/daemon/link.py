"""Links: exchange of frames over a TCP connection between two daemons."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, cast

from hornbeamgw.core import silence
from hornbeamgw.core.options import split_address
from hornbeamgw.core.silence import Signs
from hornbeamgw.daemon import codec, frames
from hornbeamgw.daemon.compression import Compressor, Decompressor
from hornbeamgw.daemon.containment import log_contained
from hornbeamgw.daemon.silence import Kind, report_silent

# Heartbeats are answered within milliseconds, and TCP retransmits a lost packet after 0.2 s. A link
# becomes suspect only after more than one retransmission. Times count from the probe on.
PROBE_AFTER_IDLE_S = 0.15
SUSPECT_AFTER_S = 0.35
LOST_AFTER_S = 1.05


class LinkLost(Exception):
    """A link broke or could not be opened."""


def _is_between_data_centres(one: frames.Hello, other: frames.Hello) -> bool:
    """Return whether both daemons name a data centre, and these differ."""
    both_named = one.data_centre and other.data_centre
    return bool(both_named) and one.data_centre != other.data_centre


class Link(asyncio.Protocol):
    """Connection to another daemon that delivers frames in order and detects a silent peer.

    Frames are compressed, except for their bodies, between daemons in different data centres.
    """

    def __init__(
        self,
        hello: frames.Hello,
        on_frame: Callable[[Link, frames.Frame], None],
        on_lost: Callable[[Link], None],
        on_fault: Callable[[str], None],
    ) -> None:
        """Initialise with the own hello and callbacks for frames, loss of the link, and faults."""
        self.hello = hello
        self.peer: frames.Hello | None = None
        self.hello_received: asyncio.Future[frames.Hello] = (
            asyncio.get_running_loop().create_future()
        )
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self.kind = Kind.LINK
        self.signs = Signs(0.0)
        self.bytes_in = 0
        self.bytes_out = 0
        self._bytes_out_when_heard = 0
        self._bytes_taken = 0
        self._is_reported = False
        self._unanswered_probes = 0
        self._heard: asyncio.Future[None] | None = None
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._on_fault = on_fault
        self._buffer = bytearray()
        # Bytes sent to another data centre, by kind of frame, and by head and body.
        self.remote_byte_counts: Counter[str] = Counter()
        # Set when the hello of a peer in another data centre arrives. Only the own hello is sent
        # before that.
        self._compressor: Compressor | None = None
        self._decompressor: Decompressor | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and send the hello."""
        self.transport = cast(asyncio.Transport, transport)
        self.signs = Signs(asyncio.get_running_loop().time())
        self.send(self.hello)

    def send(self, frame: frames.Frame) -> None:
        """Send a frame; drop it if the link is lost."""
        if self.transport is None or self.lost:
            return
        if self._compressor is None:
            self._write(codec.encode_frame(frame))
            return
        frame_without_body, body = codec.detach_body(frame)
        head = self._compressor.compress(
            codec.encode_frame(frame_without_body)[codec.LENGTH_PREFIX_BYTES :]
        )
        kind = type(frame).__name__.lower()
        self.remote_byte_counts[f"{kind}.head"] += codec.LENGTH_PREFIX_BYTES + len(head)
        self.remote_byte_counts[f"{kind}.body"] += len(body)
        self._write(codec.add_length_prefix(head + body))

    def send_encoded(self, payload: bytes) -> None:
        """Send an encoded frame, which several links may share; drop it if the link is lost."""
        if self.transport is None or self.lost:
            return
        if self._compressor is not None:
            payload = codec.add_length_prefix(
                self._compressor.compress(payload[codec.LENGTH_PREFIX_BYTES :])
            )
            self.remote_byte_counts["question.head"] += len(payload)
        self._write(payload)

    def _write(self, payload: bytes) -> None:
        assert self.transport is not None
        self.bytes_out += len(payload)
        self.transport.write(payload)

    def data_received(self, data: bytes) -> None:
        """Split received bytes into frames; close the link on an invalid one."""
        silence.note_heard(self.signs, asyncio.get_running_loop().time())
        self._bytes_out_when_heard = self.bytes_out
        if self._heard is not None:
            self._resolve_heard()
        self.bytes_in += len(data)
        self._buffer += data
        try:
            self._read_frames()
        except codec.CodecError as error:
            self._on_fault(str(error))
            self.abort()

    def _read_frames(self) -> None:
        buffer, start = self._buffer, 0
        while len(buffer) - start >= codec.LENGTH_PREFIX_BYTES and not self.lost:
            payload_start = start + codec.LENGTH_PREFIX_BYTES
            size = int.from_bytes(buffer[start:payload_start], "big")
            if size > codec.MAX_FRAME_BYTES:
                raise codec.CodecError(
                    f"a frame of {size} bytes, expected {codec.MAX_FRAME_BYTES} at most"
                )
            if len(buffer) - payload_start < size:
                break
            start = payload_start + size
            self._handle_payload(bytes(buffer[payload_start:start]))
        del buffer[:start]

    def _handle_payload(self, payload: bytes) -> None:
        if self._decompressor is None:
            self._handle_frame(codec.decode_frame(payload))
            return
        try:
            head, body = self._decompressor.decompress(payload, codec.MAX_FRAME_BYTES)
        except ValueError as error:
            raise codec.CodecError(str(error)) from error
        self._handle_frame(codec.attach_body(codec.decode_frame(head), body))

    def _handle_frame(self, frame: frames.Frame) -> None:
        if self.peer is None:
            self._handle_hello(frame)
        elif isinstance(frame, frames.Heartbeat):
            if frame.expects_reply:
                self.send(frames.Heartbeat(False))
            else:
                self._unanswered_probes -= 1
        else:
            try:
                self._on_frame(self, frame)
            except Exception:
                log_contained(f"frame {type(frame).__name__}")

    def _handle_hello(self, frame: frames.Frame) -> None:
        if not isinstance(frame, frames.Hello):
            raise codec.CodecError("a link that does not open with a hello")
        if frame.fleet != self.hello.fleet:
            raise codec.CodecError(f"a hello of fleet {frame.fleet!r}")
        self.peer = frame
        if _is_between_data_centres(self.hello, frame):
            self._compressor, self._decompressor = Compressor(), Decompressor()
        if not self.hello_received.done():
            self.hello_received.set_result(frame)

    def probe(self, now: float) -> None:
        """Request a sign of life from the peer, unless one is outstanding."""
        if self.signs.unanswered_since is None:
            self._bytes_taken = self.bytes_out - self.unsent_bytes()
            self._send_probe(now)

    def _send_probe(self, now: float) -> None:
        silence.note_sent(self.signs, now)
        self._unanswered_probes += 1
        self.send(frames.Heartbeat(True))

    def unsent_bytes(self) -> int:
        """Return the number of bytes in the write buffer."""
        return 0 if self.transport is None or self.lost else self.transport.get_write_buffer_size()

    def note_progress(self, now: float) -> None:
        """Begin the wait for an answer anew if a part of what is unsent has left meanwhile."""
        unsent = self.unsent_bytes()
        taken = self.bytes_out - unsent
        if unsent and taken > self._bytes_taken:
            silence.note_progress(self.signs, now)
        self._bytes_taken = taken

    def next_sign(self) -> asyncio.Future[None]:
        """Return a future that is done once bytes arrive or the link is lost."""
        if self._heard is None:
            self._heard = asyncio.get_running_loop().create_future()
        return self._heard

    def _resolve_heard(self) -> None:
        heard, self._heard = self._heard, None
        if heard is not None and not heard.done():
            heard.set_result(None)

    def report_silent(self, outcome: str, now: float) -> None:
        """Count and log once that the link is silent, and what is done about it."""
        if self._is_reported:
            return
        self._is_reported = True
        peer = self.peer.member if self.peer is not None else ""
        sent = f"{self.bytes_out - self._bytes_out_when_heard} bytes"
        report_silent(self.kind, peer, self.signs, sent, outcome, now)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the loss of the link, unless this has been done."""
        self._end()

    def _end(self) -> None:
        if self.lost:
            return
        self.lost = True
        self._resolve_heard()
        if not self.hello_received.done():
            self.hello_received.cancel()
        self._on_lost(self)

    def abort(self) -> None:
        """Close the link at once, discarding unsent bytes."""
        if self.transport is not None:
            self.transport.abort()
        self._end()

    def request_ack(self, now: float) -> None:
        """Request a heartbeat reply, which shows that the peer has read all previous frames."""
        self._send_probe(now)

    def is_ack_pending(self, now: float) -> bool:
        """Return whether a requested reply is outstanding and the link is not silent."""
        if self.lost or self._unanswered_probes <= 0:
            return False
        return silence.overdue(self.signs, now) < LOST_AFTER_S

    def close(self) -> None:
        """Close the link after sending all written bytes."""
        if self.transport is not None:
            self.transport.close()


async def dial(
    address: str,
    hello: frames.Hello,
    on_frame: Callable[[Link, frames.Frame], None],
    on_lost: Callable[[Link], None],
    on_fault: Callable[[str], None],
    timeout: float,
) -> Link:
    """Open a link and wait for the peer's hello; raise LinkLost on an error or a timeout.

    `timeout` is in seconds.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, link = await loop.create_connection(
                lambda: Link(hello, on_frame, on_lost, on_fault), host, port
            )
            try:
                await asyncio.wait([link.hello_received])
            except asyncio.CancelledError:
                link.abort()
                raise
    except (OSError, TimeoutError) as error:
        raise LinkLost(f"{address}: {error or type(error).__name__}") from error
    if link.peer is None:
        raise LinkLost(f"{address}: closed before its hello")
    return link


class ExchangeResult(NamedTuple):
    """Answer to a request, the peer that sent it, and the bytes transferred."""

    answer: frames.Frame
    peer: frames.Hello
    bytes_in: int
    bytes_out: int


async def exchange(
    address: str,
    hello: frames.Hello,
    request: frames.Frame,
    on_fault: Callable[[str], None],
    timeout: float,
) -> ExchangeResult:
    """Send a request on a new link and wait for the answer; raise LinkLost if none arrives.

    `timeout` in seconds applies to the opening of the link and again to the wait for the answer.
    """
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[frames.Frame] = loop.create_future()

    def on_frame(link: Link, frame: frames.Frame) -> None:
        if not answer.done():
            answer.set_result(frame)

    def on_lost(link: Link) -> None:
        if not answer.done():
            answer.set_exception(LinkLost(f"{address}: lost before its answer"))
            answer.exception()

    link = await dial(address, hello, on_frame, on_lost, on_fault, timeout)
    link.send(request)
    try:
        async with asyncio.timeout(timeout):
            frame = await answer
    except TimeoutError as error:
        raise LinkLost(f"{address}: no answer in {timeout} s") from error
    finally:
        link.close()
    assert link.peer is not None
    return ExchangeResult(frame, link.peer, link.bytes_in, link.bytes_out)
