"""Plug-ins: imports the modules that the settings list; they register their adapters."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Iterable


def load(folder: str, modules: Iterable[str]) -> None:
    """Import modules, with `folder` added to the search path if given; raise ImportError."""
    if folder and folder not in sys.path:
        sys.path.append(folder)
    for name in modules:
        importlib.import_module(name)
