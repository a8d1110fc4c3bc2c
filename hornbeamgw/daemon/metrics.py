"""Metrics: sends metrics to statsd."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from statsd import StatsClient

from hornbeamgw.core.options import split_address

PREFIX = "hornbeamgw"


class Metrics:
    """Statsd client that sends the increase of each counter since the last report."""

    def __init__(self, address: str) -> None:
        """Create a client for the statsd server at an address."""
        host, port = split_address(address)
        self._client = StatsClient(host, port, prefix=PREFIX)
        self._reported: Counter[str] = Counter()

    def report(self, counts: Mapping[str, float], gauges: Mapping[str, float]) -> None:
        """Send the counters that have increased, and all gauges."""
        with self._client.pipeline() as batch:
            for name, value in counts.items():
                if value > self._reported[name]:
                    batch.incr(name, value - self._reported[name])
            for name, value in gauges.items():
                batch.gauge(name, value)
        self._reported.update(
            {name: value - self._reported[name] for name, value in counts.items()}
        )
