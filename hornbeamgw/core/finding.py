"""Findings: observations about requests that a daemon publishes in its member record."""

from __future__ import annotations

import enum
from typing import NamedTuple

# Maximum number of fingerprints in a finding: enough for the requests that are running when a
# server crashes and those that were cancelled shortly before.
MAX_FINGERPRINTS = 16
# Limits the size of all findings in a member record to about 1 KB.
MAX_FINDINGS_PER_KIND = 4
MAX_FINDINGS = 3 * MAX_FINDINGS_PER_KIND


class FindingKind(enum.IntEnum):
    """What a finding states about the requests that it names."""

    ENDED = 0  # running when the server exited
    ANSWERED = 1  # answered by the server, so they do not crash it
    QUARANTINED = 2  # identified as the cause of server crashes


class Finding(NamedTuple):
    """One finding; numbers increase with each finding of a daemon, also across restarts."""

    number: int
    kind: FindingKind
    fingerprints: tuple[int, ...]
