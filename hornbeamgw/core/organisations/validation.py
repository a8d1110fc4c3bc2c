"""Validation of organisations in a catalogue, without showing their keys."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any

from hornbeamgw.core.organisations.identity import SHOWN_DIGITS
from hornbeamgw.core.problems import MISSING, Problem

# Problems state this in place of a value that may be a key.
HIDDEN = "(hidden)"
EMPTY_KEY_DIGEST = hashlib.sha256(b"").hexdigest()
_SHOWN_FIELDS = ("name", "priority", "rate_per_second", "burst")


def digest_of_key(key: str) -> str:
    """Return the digest by which a catalogue states a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def shown_digest(digest: str) -> str:
    """Return the part of a digest that is shown in output."""
    return digest[:SHOWN_DIGITS]


def shown_body(body: Mapping[str, Any]) -> dict[str, Any]:
    """Return the body of an organisation as it is shown in output."""
    shown = dict(body)
    if isinstance(digests := body.get("key_digests"), list):
        shown["key_digests"] = [shown_digest(digest) for digest in digests]
    return shown


def _is_key(value: object) -> bool:
    """Return whether a value can be sent as it is in a header."""
    return isinstance(value, str) and value == value.strip() and value.isprintable() and value != ""


def replace_keys(
    body: dict[str, Any], source: str, path: str
) -> tuple[dict[str, Any], list[Problem]]:
    """Return the body of an organisation in a file with digests instead of its keys."""
    if "keys" not in body:
        return body, []
    replaced = {field: value for field, value in body.items() if field != "keys"}
    keys = body["keys"]
    if not isinstance(keys, list):
        return replaced, [Problem(source, f"{path}.keys", HIDDEN, "a list of keys")]
    problems = [
        Problem(source, f"{path}.keys[{index}]", HIDDEN, "a key of visible characters")
        for index, key in enumerate(keys)
        if not _is_key(key)
    ]
    if problems:
        return replaced, problems
    given = replaced.get("key_digests") or []
    if isinstance(given, list):
        replaced["key_digests"] = list(dict.fromkeys([*given, *map(digest_of_key, keys)]))
    return replaced, []


def resolve_digests(
    body: dict[str, Any], current: Mapping[str, Any] | None, source: str, path: str
) -> tuple[dict[str, Any], list[Problem]]:
    """Return a body in which shortened digests are replaced by those of the current body."""
    digests = body.get("key_digests")
    if not isinstance(digests, list):
        return body, []
    known = {shown_digest(digest): digest for digest in (current or {}).get("key_digests", ())}
    resolved: list[Any] = []
    problems = []
    for index, digest in enumerate(digests):
        is_short = isinstance(digest, str) and len(digest) == SHOWN_DIGITS
        if is_short and digest not in known:
            expected = "64 digits, or the first 8 of a digest that this organisation has"
            problems.append(Problem(source, f"{path}.key_digests[{index}]", digest, expected))
        resolved.append(known.get(digest, digest) if is_short else digest)
    return {**body, "key_digests": resolved}, problems


def pad_digests(body: dict[str, Any]) -> dict[str, Any]:
    """Return a body with shortened digests filled up, for a check without a catalogue."""
    digests = body["key_digests"]
    padded = [digest.ljust(len(EMPTY_KEY_DIGEST), "0") for digest in digests]
    return {**body, "key_digests": padded}


def hide_keys(problems: Iterable[Problem], path: str) -> list[Problem]:
    """Return the problems of an organisation's body without values that may be keys."""
    shown = {f"{path}.{field}" for field in _SHOWN_FIELDS}
    return [
        (
            problem
            if problem.key in shown or problem.given == MISSING
            else problem._replace(given=HIDDEN)
        )
        for problem in problems
    ]


def hide_keys_of_file(problems: Iterable[Problem]) -> list[Problem]:
    """Return the problems of a whole file without values that may contain keys of organisations."""
    return [
        problem._replace(given=HIDDEN) if "keys" in repr(problem.given) else problem
        for problem in problems
    ]


def key_problems(
    bodies_by_key: Mapping[str, Mapping[str, Any]], changed: Iterable[str], source: str
) -> list[Problem]:
    """Return a problem for each empty key, and for each that two organisations have.

    Only the keys of changed organisations are compared with those of the others.
    """
    problems: list[Problem] = []
    owners_by_digest: dict[str, str] = {}
    for key in sorted(changed):
        for index, digest in enumerate(bodies_by_key[key]["key_digests"]):
            field, shown = f"{key}.key_digests[{index}]", shown_digest(digest)
            if digest == EMPTY_KEY_DIGEST:
                problems.append(Problem(source, field, shown, "the digest of a key, not of ''"))
            owner = owners_by_digest.setdefault(digest, key)
            if owner != key:
                problems.append(Problem(source, field, shown, f"a key that {owner} does not have"))
    is_disjoint = owners_by_digest.keys().isdisjoint
    for key in sorted(bodies_by_key.keys() - set(changed)):
        digests = bodies_by_key[key]["key_digests"]
        if is_disjoint(digests):
            continue
        for digest in digests:
            if digest in owners_by_digest:
                owner = owners_by_digest[digest]
                index = bodies_by_key[owner]["key_digests"].index(digest)
                field = f"{owner}.key_digests[{index}]"
                expected = f"a key that {key} does not have"
                problems.append(Problem(source, field, shown_digest(digest), expected))
    return problems
