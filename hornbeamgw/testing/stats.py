"""Percentiles of samples."""

from __future__ import annotations

import math
from collections.abc import Sequence


def percentile(samples: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile; raise ValueError if there are no samples."""
    if not samples:
        raise ValueError("percentile of an empty sequence")
    ordered = sorted(samples)
    rank = max(1, math.ceil(percent / 100 * len(ordered)))
    return ordered[rank - 1]
