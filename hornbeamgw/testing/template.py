"""Renderer for the subset of the template language that the deployment template uses."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

SECTION_PATTERN = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER_PATTERN = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def value_at(fields: Any, path: str) -> Any:
    """Return the value at a dotted path, or None if it does not exist."""
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        else:
            fields = fields.get(name) if isinstance(fields, dict) else None
    return fields


def render(template: str, fields: Mapping[str, Any]) -> str:
    """Render sections and placeholders as the deployment platform does."""

    def render_section(match: re.Match[str]) -> str:
        value = value_at(fields, match[2])
        is_present = value is not None and value is not False
        return render(match[3], fields) if is_present == (match[1] == "#") else ""

    def render_placeholder(match: re.Match[str]) -> str:
        value = value_at(fields, match[1])
        if value is None:
            return ""
        is_json = match[2] or not isinstance(value, str)
        return msgspec.json.encode(value).decode() if is_json else value

    return PLACEHOLDER_PATTERN.sub(
        render_placeholder, SECTION_PATTERN.sub(render_section, template)
    )
