"""Histograms: latency of calls by owner, traffic class and verdict."""

from __future__ import annotations

from typing import Any

from hornbeamgw.core.histogram import Histogram
from hornbeamgw.core.verdict import Verdict

MIN_LATENCY_US = 1
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

OwnerAndClass = tuple[str, str]


class Histograms:
    """Latency histograms, one for each owner, traffic class and verdict."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_key: dict[tuple[OwnerAndClass, Verdict], Histogram] = {}

    def record(self, owner_and_class: OwnerAndClass, verdict: Verdict, elapsed: float) -> None:
        """Record a call that took `elapsed` seconds."""
        histogram = self._by_key.get((owner_and_class, verdict))
        if histogram is None:
            histogram = self._by_key[owner_and_class, verdict] = Histogram()
        histogram.record(max(MIN_LATENCY_US, round(elapsed * 1_000_000)))

    def rows(self) -> list[dict[str, Any]]:
        """Return a row for each histogram; times are in milliseconds."""
        rows = []
        for ((owner, traffic_class), verdict), histogram in sorted(self._by_key.items()):
            row: dict[str, Any] = {"owner": owner, "class": traffic_class, "verdict": verdict}
            row["count"] = histogram.count
            for percentile in PERCENTILES:
                value = histogram.percentile(percentile) / 1000
                row[f"p{percentile:g}_ms"] = round(value, 3)
            row["max_ms"] = round(histogram.maximum() / 1000, 3)
            rows.append(row)
        return rows
