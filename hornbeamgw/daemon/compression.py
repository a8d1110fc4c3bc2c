"""Compression of frame heads on links between data centres.

Each direction of a link is one deflate stream, so that a head refers to previous, similar heads.
This shrinks a head of 300 to 400 bytes to 60 to 70 bytes. Bodies are not compressed: they are
assumed to be incompressible and would displace the heads from the window.
"""

from __future__ import annotations

import zlib

# Negative for raw deflate. The window of 8 KB covers about twenty heads; zlib allocates 40 KB for a
# compressor and 15 KB for a decompressor. Smaller windows cover too few routes: with 4 KB similar
# heads take 110 bytes instead of 71. Memory level 5 takes 48 KB for 1% fewer bytes, level 3 takes
# 36 KB for 4% more.
WINDOW_BITS = -13
MEMORY_LEVEL = 4
COMPRESSION_LEVEL = 1
LENGTH_PREFIX_BYTES = 4
# End of each sync flush. It is omitted on the wire, as in permessage-deflate (RFC 7692).
SYNC_FLUSH_MARKER = b"\x00\x00\xff\xff"


class Compressor:
    """Sending end of the compressed stream of a link."""

    def __init__(self) -> None:
        """Initialise with an empty window."""
        self._stream = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    def compress(self, payload: bytes) -> bytes:
        """Return a compressed payload with a length prefix."""
        data = self._stream.compress(payload) + self._stream.flush(zlib.Z_SYNC_FLUSH)
        data = data.removesuffix(SYNC_FLUSH_MARKER)
        return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data


class Decompressor:
    """Receiving end of the compressed stream of a link."""

    def __init__(self) -> None:
        """Initialise with an empty window."""
        self._stream = zlib.decompressobj(WINDOW_BITS)

    def decompress(self, data: bytes, max_bytes: int) -> tuple[bytes, bytes]:
        """Return the decompressed payload and the uncompressed bytes after it.

        Raise ValueError if the data is invalid or the payload is larger than `max_bytes`.
        """
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
