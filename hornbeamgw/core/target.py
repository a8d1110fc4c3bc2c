"""Targets: where a request goes, by its request line and Host (RFC 9112, section 3.2)."""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import unquote, urlsplit

SCHEMES = ("http://", "https://")
DOT_SEGMENTS = frozenset({".", ".."})


class Target(NamedTuple):
    """Hold the host and the path with its query, as a route is matched by them."""

    host: str
    path: str


def has_dot_segment(path: str) -> bool:
    """Return whether a path climbs or stands still: its route and its server could differ on it."""
    segments = unquote(path.partition("?")[0]).split("/")
    return not DOT_SEGMENTS.isdisjoint(segments)


def parse_target(target: str, host: str) -> Target:
    """Return host and path; the absolute form goes before Host. Raise ValueError."""
    if target.lower().startswith(SCHEMES):
        url = urlsplit(target)
        query = f"?{url.query}" if url.query else ""
        host, target = url.netloc, f"{url.path or '/'}{query}"
    if has_dot_segment(target):
        raise ValueError(f"target {target!r}: expected a path without dot segments")
    return Target(host, target)
