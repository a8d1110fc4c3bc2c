"""Server declarations: what the answers of one backend server say of it, as read by its gate."""

from __future__ import annotations

import logging
from collections import Counter

from hornbeamgw.core import declaration
from hornbeamgw.core.declaration import NOTHING, Declaration
from hornbeamgw.core.dialect import AnswerHead, Dialect

log = logging.getLogger(__name__)


class ServerDeclarations:
    """The latest declaration of a backend server."""

    def __init__(self, dialect: Dialect, counts: Counter[str]) -> None:
        """Start with nothing declared; `counts` counts changes."""
        self.latest: Declaration = NOTHING
        self._dialect = dialect
        self._counts = counts

    def note_answer(self, head: AnswerHead, instance: str) -> None:
        """Read the head of an answer of the server."""
        declared = declaration.read(self._dialect, head.headers)
        if declared == self.latest:
            return
        before, self.latest = self.latest, declared
        self._counts["declarations"] += 1
        log.info(
            "backend server changed its declaration",
            extra={"instance": instance, "before": before._asdict(), **declared._asdict()},
        )
