"""Histograms: latency of calls by owner, traffic class and verdict."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from hornbeamgw.core.verdict import Verdict

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

OwnerAndClass = tuple[str, str]


class Histograms:
    """Latency histograms, one for each owner, traffic class and verdict."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_key: dict[tuple[OwnerAndClass, Verdict], Any] = {}

    def record(self, owner_and_class: OwnerAndClass, verdict: Verdict, elapsed: float) -> None:
        """Record a call that took `elapsed` seconds."""
        histogram = self._by_key.get((owner_and_class, verdict))
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._by_key[owner_and_class, verdict] = histogram
        histogram.record_value(max(MIN_LATENCY_US, round(elapsed * 1_000_000)))

    def rows(self) -> list[dict[str, Any]]:
        """Return a row for each histogram; times are in milliseconds."""
        rows = []
        for ((owner, traffic_class), verdict), histogram in sorted(self._by_key.items()):
            row: dict[str, Any] = {"owner": owner, "class": traffic_class, "verdict": verdict}
            row["count"] = histogram.get_total_count()
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1000
                row[f"p{percentile:g}_ms"] = round(value, 3)
            row["max_ms"] = round(histogram.get_max_value() / 1000, 3)
            rows.append(row)
        return rows
