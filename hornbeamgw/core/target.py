"""Request targets: host and path of a request (RFC 9112, section 3.2)."""

from __future__ import annotations

from typing import NamedTuple

URL_SCHEMES = ("http://", "https://")
DOT_SEGMENTS = frozenset({".", ".."})


class Target(NamedTuple):
    """Host, and path with query, by which a route is matched."""

    host: str
    path: str


def has_dot_segment(path: str) -> bool:
    """Return whether a path contains `.` or `..` segments.

    Route matching and the backend server could resolve such a path differently.
    """
    path = path.partition("?")[0]
    if "%" in path:
        # Imported only for encoded paths, to save 0.5 MB.
        from urllib.parse import unquote

        path = unquote(path)
    return not DOT_SEGMENTS.isdisjoint(path.split("/"))


def parse_target(target: str, host: str) -> Target:
    """Return the host and path of a request.

    The host in a target that is a full URL takes precedence over the Host header. Raises
    ValueError if the path has dot segments.
    """
    if target.lower().startswith(URL_SCHEMES):
        from urllib.parse import urlsplit

        url = urlsplit(target)
        query = f"?{url.query}" if url.query else ""
        host, target = url.netloc, f"{url.path or '/'}{query}"
    if has_dot_segment(target):
        raise ValueError(f"target {target!r}: expected a path without dot segments")
    return Target(host, target)
