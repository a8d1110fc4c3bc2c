"""Link stub for tests of a gate without a network."""

from __future__ import annotations

from hornbeamgw.daemon import frames, heads

HEAD = heads.encode_request(heads.RequestHead(b"GET", b"/0/", [(b"host", b"test.example")]))


class RecordingLink:
    """Replacement for the link to a requesting daemon; records the frames that a gate sends."""

    def __init__(self) -> None:
        """Create a link without recorded frames."""
        self.hello = self.peer = frames.Hello("f", "asker", 1)
        self.sent: list[frames.Frame] = []

    def send(self, frame: frames.Frame) -> None:
        """Record a frame."""
        self.sent.append(frame)
