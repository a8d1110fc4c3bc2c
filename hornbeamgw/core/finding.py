"""Findings: observations about requests that a daemon publishes in its member record."""

from __future__ import annotations

import enum
from typing import NamedTuple

# Maximum number of fingerprints (8 bytes each) in a finding. If a crash has more possible causes,
# the finding names the requests that the most earlier crash reports name. Known servers run 2 to 12
# requests at a time, and some requests were abandoned just before.
MAX_FINGERPRINTS = 16
# Maximum number of findings of each kind that a daemon publishes, so that all findings in its
# member record take about 1 KB.
MAX_FINDINGS_PER_KIND = 4
MAX_FINDINGS = 3 * MAX_FINDINGS_PER_KIND


class FindingKind(enum.IntEnum):
    """What a finding states about the requests that it names."""

    ENDED = 0  # running when the server exited
    ANSWERED = 1  # answered by the server, so they do not crash it
    QUARANTINED = 2  # identified as the cause of server crashes


class Finding(NamedTuple):
    """One finding; a daemon gives each new finding a higher number, also across restarts."""

    number: int
    kind: FindingKind
    fingerprints: tuple[int, ...]
