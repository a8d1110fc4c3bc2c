"""Reload: reloads the settings file after a signal or when it has changed."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable

from hornbeamgw.core.options import Settings, parse_settings
from hornbeamgw.daemon.containment import run_every

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0
# Settings that take effect without a restart.
RELOADABLE_KEYS = frozenset({"log_level", "budget_ratio", "budget_slack", "budget_window"})


def changed_keys(before: Settings, after: Settings) -> list[str]:
    """Return the keys of the settings that differ."""
    return [key for key in Settings._fields if getattr(before, key) != getattr(after, key)]


class Reloader:
    """Settings in force, and the file from which they are reloaded."""

    def __init__(self, path: str, settings: Settings, apply: Callable[[Settings], None]) -> None:
        """Store the file's path, its current settings, and the callback for new settings."""
        self.settings = settings
        self._path = path
        self._apply = apply
        self._mtime_ns = self._read_mtime_ns()

    def _read_mtime_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError as error:
            log.warning(
                "settings file is not accessible",
                extra={"path": self._path, "error": str(error)},
            )
            return 0

    async def run(self) -> None:
        """Poll the file and reload it when it has changed."""
        await run_every(POLL_INTERVAL_S, [self._reload_if_changed])

    def _reload_if_changed(self) -> None:
        mtime_ns = self._read_mtime_ns()
        if mtime_ns and mtime_ns != self._mtime_ns:
            self._mtime_ns = mtime_ns
            self.reload("the file has changed")

    def reload(self, why: str) -> None:
        """Reload the file; keep the settings in force if it is invalid. `why` is logged."""
        try:
            with open(self._path, encoding="utf-8") as file:
                text = file.read()
        except (OSError, UnicodeDecodeError) as error:
            log.error(
                "settings file cannot be read; keeping the settings in force",
                extra={"error": str(error)},
            )
            return
        loaded, problems = parse_settings(text, self._path)
        if loaded is None:
            lines = [str(problem) for problem in problems]
            log.error(
                "settings file is invalid; keeping the settings in force", extra={"problems": lines}
            )
            return
        changed = changed_keys(self.settings, loaded.settings)
        applied = [key for key in changed if key in RELOADABLE_KEYS]
        deferred = [key for key in changed if key not in RELOADABLE_KEYS]
        log.info(
            "settings reloaded",
            extra={"why": why, "in_force": applied, "at_next_start": deferred},
        )
        self.settings = loaded.settings
        self._apply(loaded.settings)
