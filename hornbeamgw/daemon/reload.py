"""Reload: takes up a changed settings file, with a signal or without one."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from hornbeamgw.core.options import Settings, parse_settings

log = logging.getLogger(__name__)

# The file is small and read only where its time of change moved.
LOOK_EVERY_S = 1.0
# What takes effect at once; the rest binds sockets or parts that exist already.
LIVE_KEYS = frozenset({"log_level", "budget_ratio", "budget_slack", "budget_window"})


def changed_keys(before: Settings, after: Settings) -> list[str]:
    """Return the keys whose values differ."""
    return [key for key in Settings._fields if getattr(before, key) != getattr(after, key)]


class Reloader:
    """Own the settings in force and where they came from."""

    def __init__(self, path: str, settings: Settings, apply: Callable[[Settings], None]) -> None:
        """Take the file, what was read from it, and what to call with new settings."""
        self.settings = settings
        self._path = Path(path)
        self._apply = apply
        self._changed_at = self._time_of_change()

    def _time_of_change(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            log.warning("settings not found", extra={"path": str(self._path), "error": str(error)})
            return 0

    async def run(self) -> None:
        """Look for changes from time to time."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            changed_at = self._time_of_change()
            if changed_at and changed_at != self._changed_at:
                self._changed_at = changed_at
                self.reload("the file has changed")

    def reload(self, why: str) -> None:
        """Read the file again; settings with a problem change nothing."""
        try:
            text = self._path.read_text(encoding="utf-8")
        except OSError as error:
            log.error("settings not read; the last ones stay", extra={"error": str(error)})
            return
        loaded, problems = parse_settings(text, str(self._path))
        if loaded is None:
            lines = [str(problem) for problem in problems]
            log.error("settings refused; the last ones stay", extra={"problems": lines})
            return
        changed = changed_keys(self.settings, loaded.settings)
        live = [key for key in changed if key in LIVE_KEYS]
        later = [key for key in changed if key not in LIVE_KEYS]
        log.info(
            "settings reloaded",
            extra={"why": why, "in_force": live, "at_next_start": later},
        )
        self.settings = loaded.settings
        self._apply(loaded.settings)
