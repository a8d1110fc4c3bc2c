"""Use by organisations: counts, latency and last refusals of their requests at this daemon."""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from hornbeamgw.core.verdict import Failure

# Latency is recorded for this many organisations, those that sent the first requests. The others
# share one histogram.
MAX_HISTOGRAMS = 20
OTHERS = "other"
# Key of that histogram, which no organisation's name equals.
OTHERS_KEY = "\0other"
# Name under which requests without a valid key are counted; no organisation has an empty name.
UNIDENTIFIED = ""
# Counts are kept for the organisations that sent the latest requests.
MAX_COUNTED = 1000
MAX_REFUSALS = 5
MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
# A histogram of one digit takes 4 KB instead of 27 KB, and its values are at most 6% off.
SIGNIFICANT_DIGITS = 1
PERCENTILES = (50.0, 90.0, 99.0)


class Refusal(NamedTuple):
    """A request that was not answered: Unix time in seconds, reason and detail."""

    at: float
    reason: str
    detail: str


class _Use:
    """Counts and last refusals of one organisation."""

    def __init__(self) -> None:
        self.requests = 0
        self.answered = 0
        self.failures_by_reason: Counter[str] = Counter()
        self.refusals: deque[Refusal] = deque(maxlen=MAX_REFUSALS)


class OrganisationUse:
    """Requests of each organisation that callers sent to this daemon since it started."""

    def __init__(self) -> None:
        """Start without requests."""
        self._use_by_name: OrderedDict[str, _Use] = OrderedDict()
        self._histograms_by_name: dict[str, Any] = {}

    def record(self, name: str, failure: Failure | None, elapsed: float, now: float) -> None:
        """Record how a request ended after `elapsed` seconds, at the Unix time `now`."""
        use = self._use_by_name.get(name)
        if use is None:
            use = self._use_by_name[name] = _Use()
            if len(self._use_by_name) > MAX_COUNTED:
                self._use_by_name.popitem(last=False)
        self._use_by_name.move_to_end(name)
        use.requests += 1
        if failure is None:
            use.answered += 1
            latency_us = max(MIN_LATENCY_US, round(elapsed * 1_000_000))
            self._histogram(name).record_value(min(MAX_LATENCY_US, latency_us))
        else:
            use.failures_by_reason[failure.reason] += 1
            use.refusals.append(Refusal(now, failure.reason, failure.detail))

    def _histogram(self, name: str) -> Any:
        histogram = self._histograms_by_name.get(name)
        if histogram is not None:
            return histogram
        if len(self._histograms_by_name) >= MAX_HISTOGRAMS:
            name = OTHERS_KEY
        if name not in self._histograms_by_name:
            self._histograms_by_name[name] = HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
        return self._histograms_by_name[name]

    def describe(self, name: str) -> dict[str, Any]:
        """Return the counts and the last refusals of one organisation."""
        use = self._use_by_name.get(name) or _Use()
        return {
            "requests": use.requests,
            "answered": use.answered,
            "failed": dict(use.failures_by_reason),
            "last_refusals": [refusal._asdict() for refusal in use.refusals],
        }

    def histogram_rows(self) -> list[dict[str, Any]]:
        """Return the latency of answered requests, in milliseconds, by organisation."""
        rows = []
        for name, histogram in sorted(self._histograms_by_name.items()):
            row: dict[str, Any] = {"organisation": OTHERS if name == OTHERS_KEY else name}
            row["count"] = histogram.get_total_count()
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1000
                row[f"p{percentile:g}_ms"] = round(value, 3)
            row["max_ms"] = round(histogram.get_max_value() / 1000, 3)
            rows.append(row)
        return rows

    def counters(self) -> dict[tuple[str, str], int]:
        """Return the counts by organisation and kind, with a bounded number of organisations."""
        counts: Counter[tuple[str, str]] = Counter()
        for name, use in self._use_by_name.items():
            is_own = name in self._histograms_by_name or name == UNIDENTIFIED
            shown = name if is_own else OTHERS
            counts[shown, "requests"] += use.requests
            counts[shown, "answered"] += use.answered
            for reason, count in use.failures_by_reason.items():
                counts[shown, f"failed.{reason}"] += count
        return dict(counts)
