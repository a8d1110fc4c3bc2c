"""Floor: the version below which a restarted daemon must not go.

A VM keeps nothing, so a restarted daemon does not know what its address had in force. The
platform's head, read after the start, is never below it. While the platform is away, the peers
of its data centre are asked: see docs/design/0004-floor.md for which ones suffice, and why.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class FloorAnswer(NamedTuple):
    """Hold a peer's answer: a version, and whether a read of the platform confirmed it."""

    version: int
    confirmed: bool


class Decision(NamedTuple):
    """Hold the floor, or whom the daemon waits for until it can be sure."""

    floor: int | None
    waits_for: str


def decide(
    answers_by_peer: Mapping[str, FloorAnswer | None], alive_peers: frozenset[str]
) -> Decision:
    """Decide on the floor from the answers of all peers of the data centre; None is silence."""
    confirmed = [a.version for a in answers_by_peer.values() if a and a.confirmed]
    if confirmed:
        return Decision(max(confirmed), "")
    for peer, answer in sorted(answers_by_peer.items()):
        if answer is None and peer in alive_peers:
            return Decision(None, f"peer {peer}")
    highest = max((a.version for a in answers_by_peer.values() if a), default=0)
    if highest == 0:
        return Decision(None, "a peer that has a version in force, or the platform")
    return Decision(highest, "")
