"""Histograms: latency by owner, class of traffic and verdict."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from hornbeamgw.core.verdict import Verdict

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Owner = tuple[str, str]


class Histograms:
    """Hold one histogram for each owner, class and verdict."""

    def __init__(self) -> None:
        """Start empty."""
        self._by_key: dict[tuple[Owner, Verdict], Any] = {}

    def record(self, owner: Owner, verdict: Verdict, elapsed: float) -> None:
        """Count one call that took this long (s)."""
        histogram = self._by_key.get((owner, verdict))
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._by_key[owner, verdict] = histogram
        histogram.record_value(max(LOWEST_US, round(elapsed * 1_000_000)))

    def rows(self) -> list[dict[str, Any]]:
        """Return a row for each owner, class and verdict; times in ms."""
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
