"""Template: fills in the deploy template as the users' platform does, as far as ours goes."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def value_at(fields: Any, path: str) -> Any:
    """Return the value at a dotted path, or None where there is none."""
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        else:
            fields = fields.get(name) if isinstance(fields, dict) else None
    return fields


def render(template: str, fields: Mapping[str, Any]) -> str:
    """Return a template as the platform fills it in, as far as ours uses its language."""

    def section(found: re.Match[str]) -> str:
        value = value_at(fields, found[2])
        is_there = value is not None and value is not False
        return render(found[3], fields) if is_there == (found[1] == "#") else ""

    def placeholder(found: re.Match[str]) -> str:
        value = value_at(fields, found[1])
        if value is None:
            return ""
        is_json = found[2] or not isinstance(value, str)
        return msgspec.json.encode(value).decode() if is_json else value

    return PLACEHOLDER.sub(placeholder, SECTION.sub(section, template))
