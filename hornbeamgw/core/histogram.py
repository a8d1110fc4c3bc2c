"""Histogram of whole numbers with a bounded relative error; it stores only ranges in use."""

from __future__ import annotations

from array import array
from collections.abc import Iterator

# Values below this have a bucket each. Each doubling of the value above it is a range of half as
# many buckets, so that a bucket is at most 1/128 of its value wide.
UNIT_BUCKETS = 256
_UNIT_BITS = UNIT_BUCKETS.bit_length() - 1
_RANGE_BUCKETS = UNIT_BUCKETS // 2


class Histogram:
    """Counts of recorded values by range and bucket."""

    __slots__ = ("_counts_by_range", "count")

    def __init__(self) -> None:
        """Start without values."""
        self.count = 0
        self._counts_by_range: dict[int, array[int]] = {}

    def record(self, value: int) -> None:
        """Record a value of at least 0."""
        # A range is numbered by the bits by which its values are shifted; the first has all unit
        # buckets, the others those of the upper half.
        shift = max(0, value.bit_length() - _UNIT_BITS)
        first = _RANGE_BUCKETS if shift else 0
        counts = self._counts_by_range.get(shift)
        if counts is None:
            counts = self._counts_by_range[shift] = array("Q", [0]) * (UNIT_BUCKETS - first)
        counts[(value >> shift) - first] += 1
        self.count += 1

    def _buckets(self) -> Iterator[tuple[int, int]]:
        """Yield the highest value and the count of each bucket in use, in rising order."""
        for shift, counts in sorted(self._counts_by_range.items()):
            first = _RANGE_BUCKETS if shift else 0
            for position, count in enumerate(counts, first):
                if count:
                    yield ((position + 1) << shift) - 1, count

    def percentile(self, percent: float) -> int:
        """Return the highest value of the bucket at a percentile (0 to 100), or 0 if empty."""
        wanted = max(1, int(percent * self.count / 100 + 0.5))
        seen = 0
        for highest, count in self._buckets():
            seen += count
            if seen >= wanted:
                return highest
        return 0

    def maximum(self) -> int:
        """Return the highest value of the highest bucket in use, or 0 if empty."""
        return max((highest for highest, _ in self._buckets()), default=0)
