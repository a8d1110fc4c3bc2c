"""Validation of YAML documents: report all problems of a document at once."""

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
    """Validation problem of one value: where it is, what was given and what was expected."""

    source: str
    key: str
    given: object
    expected: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        return f"{self.source}: {self.key}: got {self.given!r}, expected {self.expected}"


class Unit(NamedTuple):
    """Annotation of a field that is written as a number with a unit suffix.

    The factors convert a value with the given suffix to the base unit.
    """

    description: str
    factors_by_suffix: Mapping[str, float]
    minimum: float = 0.0


DURATION = Unit("duration, such as 500ms, 2s or 1m", {"ms": 0.001, "s": 1.0, "m": 60.0})
SIZE = Unit("size, such as 512B, 64KiB or 16MiB", {"B": 1, "KiB": 1024, "MiB": 1024**2})

Duration = Annotated[float, DURATION]
Size = Annotated[float, SIZE]

MISSING = "(missing)"
_QUANTITY = re.compile(r"([0-9]+(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?)\s*([A-Za-z]+)")


def parse_quantity(value: object, unit: Unit) -> float | None:
    """Return the value in its base unit (seconds or bytes), or None if it does not parse."""
    match = _QUANTITY.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in unit.factors_by_suffix:
        return None
    return float(match[1]) * unit.factors_by_suffix[match[2]]


def _unit_of(hint: Any) -> Unit | None:
    for annotation in getattr(hint, "__metadata__", ()):
        if isinstance(annotation, Unit):
            return annotation
    return None


def _strip_optional(hint: Any) -> Any:
    if get_origin(hint) not in (Union, types.UnionType):
        return hint
    alternatives = [part for part in get_args(hint) if part is not type(None)]
    return alternatives[0] if len(alternatives) == 1 else hint


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
        return parsed, [] if parsed is not None else [Problem(source, key, value, unit.description)]
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
def _type_hints(schema: type) -> dict[str, Any]:
    return get_type_hints(schema, include_extras=True)


@functools.cache
def _is_unitless(schema: type) -> bool:
    """Return whether no field of a TypedDict, nested ones included, is written with a unit."""
    for hint in _type_hints(schema).values():
        inner = get_args(hint)[0] if get_origin(hint) is NotRequired else hint
        inner = get_args(inner)[0] if get_origin(inner) is list else _strip_optional(inner)
        if _unit_of(inner) is not None or (_is_typed_dict(inner) and not _is_unitless(inner)):
            return False
    return True


def _try_convert(document: Mapping[Any, Any], schema: type) -> dict[str, Any] | None:
    """Return the values of a valid document, or None if it needs the full check.

    Converting the whole document at once is much faster than checking it field by field, which
    shortens the start of a daemon with a large catalogue.
    """
    try:
        values: dict[str, Any] = msgspec.convert(document, schema)
    except msgspec.ValidationError:
        return None
    # The conversion drops unknown keys; the full check reports them.
    return values if values == document else None


def check_mapping(
    document: object, schema: type, source: str, path: str = ""
) -> tuple[dict[str, Any], list[Problem]]:
    """Check a mapping against a TypedDict and return the values with all problems.

    An optional key whose value is null is treated as absent.
    """
    if not isinstance(document, Mapping):
        return {}, [Problem(source, path or "(document)", document, "a mapping")]
    if _is_unitless(schema):
        converted = _try_convert(document, schema)
        if converted is not None:
            return converted, []
    hints = _type_hints(schema)
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
            values[key], value_problems = _check_value(
                document[key], inner, f"{prefix}{key}", source
            )
            problems += value_problems
        elif not optional:
            problems.append(Problem(source, f"{prefix}{key}", MISSING, "a value"))
    return values, problems


def read_yaml(text: str, source: str) -> tuple[object, list[Problem]]:
    """Parse YAML text and return the document, or a problem that locates the syntax error.

    JSON, a subset of YAML, is decoded without importing the YAML library, which shortens startup.
    """
    if text.lstrip().startswith("{"):
        try:
            return msgspec.json.decode(text), []
        except msgspec.DecodeError:
            pass  # Possibly a YAML flow mapping; the YAML library reports any syntax error.
    try:
        return msgspec.yaml.decode(text), []
    except msgspec.DecodeError as error:
        line = " ".join(str(error).split())
        return None, [Problem(source, "(document)", line, "well-formed YAML")]
