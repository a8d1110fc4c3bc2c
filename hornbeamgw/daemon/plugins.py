"""Plug-ins: modules that register themselves, named by the settings."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Iterable


def load(folder: str, modules: Iterable[str]) -> None:
    """Import modules, from a folder if one is named; raise ImportError."""
    if folder and folder not in sys.path:
        sys.path.append(folder)
    for name in modules:
        importlib.import_module(name)
