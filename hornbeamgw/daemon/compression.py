"""Compression: shrinks what repeats from frame to frame on a link between data centres.

The heads of calls and answers there are 300 to 400 bytes, and all but ids repeats: 60 to 70 are
left. Each direction of a link is one stream, so that a frame refers to those before it. Bodies stay
out of it: the users' answers don't compress, and would push the heads out of the window.
"""

from __future__ import annotations

import zlib

# A window of 8 KB spans some twenty heads. By zlib's formulas a sender takes 48 KB, a receiver 15;
# with 2 KB they take 12 and 9, but heads of several routes 100 to 130 bytes in place of 60 to 90.
WINDOW_BITS = -13
MEMORY_LEVEL = 5
COMPRESSION_LEVEL = 1
LENGTH_PREFIX_BYTES = 4
# Ends each flush of a stream, and is left out.
SYNC_FLUSH_MARKER = b"\x00\x00\xff\xff"


class Compressor:
    """Own one direction of a link, at its sender."""

    def __init__(self) -> None:
        """Start without anything to refer to."""
        self._stream = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    def compress(self, payload: bytes) -> bytes:
        """Return a payload as the other end of the stream reads it, with its length before it."""
        data = self._stream.compress(payload) + self._stream.flush(zlib.Z_SYNC_FLUSH)
        data = data.removesuffix(SYNC_FLUSH_MARKER)
        return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data


class Decompressor:
    """Own one direction of a link, at its receiver."""

    def __init__(self) -> None:
        """Start without anything to refer to."""
        self._stream = zlib.decompressobj(WINDOW_BITS)

    def decompress(self, data: bytes, max_bytes: int) -> tuple[bytes, bytes]:
        """Return a payload of this many bytes at most, and what follows it; raise ValueError."""
        end = LENGTH_PREFIX_BYTES + int.from_bytes(data[:LENGTH_PREFIX_BYTES], "big")
        if not LENGTH_PREFIX_BYTES < end <= len(data):
            raise ValueError(f"a payload that ends at byte {end} of {len(data)}")
        try:
            payload = self._stream.decompress(
                data[LENGTH_PREFIX_BYTES:end] + SYNC_FLUSH_MARKER, max_bytes
            )
        except zlib.error as error:
            raise ValueError(f"not compressed as expected: {error}") from error
        if self._stream.unconsumed_tail:
            raise ValueError(f"a payload of more than {max_bytes} bytes")
        return payload, data[end:]
