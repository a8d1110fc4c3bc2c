"""Configuration distribution for a service mesh: catalogue, gossip, routing and admission."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hornbeamgw.core.edit import Catalogue, Change, Delta, Edit
    from hornbeamgw.core.options import Settings, parse_settings
    from hornbeamgw.core.problems import Problem
    from hornbeamgw.core.snapshot import Snapshot
    from hornbeamgw.core.verdict import Failure, Reason, Verdict

__all__ = [
    "Catalogue",
    "Change",
    "Delta",
    "Edit",
    "Failure",
    "Problem",
    "Reason",
    "Settings",
    "Snapshot",
    "Verdict",
    "parse_settings",
]

_MODULES_BY_NAME = {
    "Catalogue": "edit",
    "Change": "edit",
    "Delta": "edit",
    "Edit": "edit",
    "Failure": "verdict",
    "Problem": "problems",
    "Reason": "verdict",
    "Settings": "options",
    "Snapshot": "snapshot",
    "Verdict": "verdict",
    "parse_settings": "options",
}


def __getattr__(name: str) -> object:
    """Return a re-exported name, whose module is imported when it is first used.

    Importing any module of the package would otherwise import all of these, before the entry point
    of a daemon runs.
    """
    if name not in _MODULES_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    import importlib

    return getattr(importlib.import_module(f"hornbeamgw.core.{_MODULES_BY_NAME[name]}"), name)
