"""Server declarations: what the answers of one backend server say of it, as read by its gate."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

from hornbeamgw.core import declaration, rate_limit
from hornbeamgw.core.admission import AdmissionState
from hornbeamgw.core.declaration import NOTHING, Declaration, Heard
from hornbeamgw.core.dialect import AnswerHead, Dialect, is_from_server
from hornbeamgw.core.fingerprint import UNKNOWN
from hornbeamgw.core.registration import Announcement

log = logging.getLogger(__name__)


class ServerDeclarations:
    """What one run of a backend server has declared, by its answers or by what others heard.

    Attributes
    ----------
    is_leaving : bool
        Whether the run has said that it leaves.
    """

    def __init__(
        self,
        dialect: Dialect,
        counts: Counter[str],
        state: AdmissionState,
        on_limit: Callable[[], None],
        on_leaving: Callable[[str], None],
    ) -> None:
        """Start with nothing declared.

        Parameters
        ----------
        dialect : Dialect
            Names of the headers.
        counts : Counter
            Counts the changes.
        state : AdmissionState
            Admission state of the server, in which its rate limit is kept.
        on_limit : callable
            Called when the rate limit has changed.
        on_leaving : callable
            Called with the instance when it has first said that it leaves.
        """
        self._dialect = dialect
        self._counts = counts
        self._state = state
        self._on_limit = on_limit
        self._on_leaving = on_leaving
        self._instance = ""
        self._run = UNKNOWN
        self.is_leaving = False
        self._has_answered = False
        self._latest: Declaration = NOTHING

    def begin_run(self, announced: Announcement) -> None:
        """Forget what the former run of the server has declared."""
        self._instance = announced.instance
        self._run = declaration.run_fingerprint(announced.instance, announced.started_ms)
        self.is_leaving = self._has_answered = False
        self._latest = NOTHING

    def current(self) -> Heard | None:
        """Return what holds now, for other daemons; None if that is nothing."""
        limit = self._state.rate_limit.limit
        if limit is None and not self.is_leaving:
            return None
        return Heard(self._run, limit, self.is_leaving)

    def note_answer(self, answer: AnswerHead, has_run: bool, sent_at: float, now: float) -> None:
        """Read an answer to a request that was sent to this run of the server at `sent_at` (s).

        `has_run` is whether the server ran the request; an answer that refuses it may omit what
        the server declares otherwise.
        """
        declared = declaration.read(self._dialect, answer.headers)
        is_certain = has_run and is_from_server(self._dialect, answer)
        # What others have heard is older than any answer to this daemon.
        is_newest = not self._has_answered
        if is_certain or declared != NOTHING:
            self._has_answered = True
            self._log_change(declared)
        if declared.rate_limit is not None:
            self._set_limit(declared.rate_limit, now)
        elif is_certain and not declared.problem:
            self._end_limit(now if is_newest else sent_at)
        if declared.is_leaving:
            self._leave()

    def note_check(self, declared: Declaration, now: float) -> None:
        """Take over what this run has declared in its answer to a health check."""
        self._has_answered |= declared != NOTHING
        self._log_change(declared)
        if declared.rate_limit is not None:
            self._set_limit(declared.rate_limit, now)

    def note_heard(self, heard: Heard, now: float) -> None:
        """Take over what another daemon has heard from this run, unless it has answered since.

        A daemon that has just been started knows nothing of a server that has run for long.
        """
        if heard.run == UNKNOWN or heard.run != self._run:
            return
        is_new = heard.rate_limit != self._state.rate_limit.limit
        limit = heard.rate_limit if is_new and not self._has_answered else None
        if limit is None and (self.is_leaving or not heard.is_leaving):
            return
        self._counts["declarations.heard"] += 1
        log.info(
            "learned from another daemon what the backend server has declared",
            extra={"instance": self._instance, **heard._asdict()},
        )
        if heard.is_leaving:
            self._leave()
        if limit is not None:
            self._set_limit(limit, now)

    def _set_limit(self, limit: float, now: float) -> None:
        before = self._state.rate_limit.limit
        rate_limit.name(self._state.rate_limit, limit, now)
        if before != limit:
            self._on_limit()

    def _end_limit(self, sent_at: float) -> None:
        if not rate_limit.is_limited(self._state.rate_limit):
            return
        rate_limit.end(self._state.rate_limit, sent_at)
        if not rate_limit.is_limited(self._state.rate_limit):
            self._on_limit()

    def _leave(self) -> None:
        if not self.is_leaving:
            self.is_leaving = True
            self._on_leaving(self._instance)

    def _log_change(self, declared: Declaration) -> None:
        if declared == self._latest:
            return
        before, self._latest = self._latest, declared
        self._counts["declarations"] += 1
        log.info(
            "backend server changed its declaration",
            extra={"instance": self._instance, "before": before._asdict(), **declared._asdict()},
        )
