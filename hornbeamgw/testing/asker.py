"""Asker: stands for the daemon that asks a gate, in tests of the gate alone."""

from __future__ import annotations

from hornbeamgw.daemon import frames, heads

HEAD = heads.encode_request(heads.RequestHead(b"GET", b"/0/", [(b"host", b"test.example")]))


class Asker:
    """Keep what a gate sends to the daemon that asks; takes the place of its link."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.hello = self.peer = frames.Hello("f", "asker", 1)
        self.sent: list[frames.Frame] = []

    def send(self, frame: frames.Frame) -> None:
        """Keep a frame."""
        self.sent.append(frame)
