"""Percentiles of measured samples."""

from __future__ import annotations

import math
from collections.abc import Sequence


def percentile(samples: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile; raise ValueError without samples."""
    if not samples:
        raise ValueError("no samples to take a percentile of")
    ordered = sorted(samples)
    rank = max(1, math.ceil(percent / 100 * len(ordered)))
    return ordered[rank - 1]
