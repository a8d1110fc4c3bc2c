"""Finding: what a daemon learned of requests at its server, as its record tells others."""

from __future__ import annotations

import enum
from typing import NamedTuple

# A server of the users' runs 2 to 12 requests at a time; some were given up on just before.
MOST_FINGERPRINTS = 16
# Of each kind a record carries so many at most, 1 KB with all of them; mostly it carries none.
MOST_OF_A_KIND = 4
MOST_FINDINGS = 3 * MOST_OF_A_KIND


class FindingKind(enum.IntEnum):
    """Say what was learned of the requests that a finding names."""

    ENDED = 0  # they ran as the server ended
    ANSWERED = 1  # the server answered them, so they are not what ends servers
    QUARANTINED = 2  # servers end under them


class Finding(NamedTuple):
    """Hold one finding; numbers rise with each that a daemon makes, also over its restarts."""

    number: int
    kind: FindingKind
    fingerprints: tuple[int, ...]
