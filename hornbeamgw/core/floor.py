"""The floor: the lowest catalogue version that a restarted daemon may apply.

VMs have no persistent storage, so a restarted daemon does not know which version it had in force.
The platform's head version, read after the start, is never below that version. While the platform
is unavailable, the floor is determined from the peers of the data centre: docs/design/0004-floor.md
explains which answers are sufficient.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class FloorAnswer(NamedTuple):
    """Version reported by a peer (0 if none), and whether a read of the platform confirmed it."""

    version: int
    confirmed: bool


class FloorDecision(NamedTuple):
    """The floor, or None if it can't be determined yet, and what the daemon then waits for."""

    floor: int | None
    waits_for: str


def decide(
    answers_by_peer: Mapping[str, FloorAnswer | None], alive_peers: frozenset[str]
) -> FloorDecision:
    """Determine the floor, the lowest catalogue version that this daemon may apply.

    `answers_by_peer` contains all peers in the data centre, with None for each peer that did not
    respond.
    """
    confirmed = [a.version for a in answers_by_peer.values() if a and a.confirmed]
    if confirmed:
        return FloorDecision(max(confirmed), "")
    for peer, answer in sorted(answers_by_peer.items()):
        if answer is None and peer in alive_peers:
            return FloorDecision(None, f"peer {peer}")
    highest = max((a.version for a in answers_by_peer.values() if a), default=0)
    if highest == 0:
        return FloorDecision(None, "a peer that has a version in force, or the platform")
    return FloorDecision(highest, "")
