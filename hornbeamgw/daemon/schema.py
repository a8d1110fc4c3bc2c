"""Schema of the messages: loads it compiled if possible, else from its text.

pycapnp's parser makes 1.9 MB of its library resident for good, so the build of a deployment stores
the parsed schema in its output folder. Usage: python -m hornbeamgw.daemon.schema
"""

from __future__ import annotations

import functools
import hashlib
import os
import types
from collections.abc import Callable
from typing import Any

import capnp
import capnp.lib.capnp as library

capnp.remove_import_hook()
# importlib.resources would import 14 modules that the daemon doesn't need otherwise, pathlib three.
PACKAGE_FOLDER = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TEXT_PATH = os.path.join(PACKAGE_FOLDER, "schema", "messages.capnp")
# A build writes its output to this folder only.
BUILD_FOLDER = os.path.join(os.path.dirname(PACKAGE_FOLDER), "target")
COMPILED_PATH = os.path.join(BUILD_FOLDER, "messages.compiled")
DIGEST_BYTES = 16
LENGTH_BYTES = 4


def _digest(text: bytes, nodes: bytes) -> bytes:
    """Return the digest of a schema's text and nodes, and of the version of the library."""
    digest = hashlib.blake2b(capnp.__version__.encode(), digest_size=DIGEST_BYTES)
    digest.update(len(text).to_bytes(LENGTH_BYTES, "big") + text + nodes)
    return digest.digest()


def _collect(read_schema: Callable[[], Any], nodes_by_id: dict[int, Any]) -> None:
    """Collect the nodes of a struct or enum, or of a list's elements, and of all types in them."""
    try:
        schema = read_schema()
    except capnp.KjException:  # a number, a text or bytes, which have no schema
        return
    if isinstance(schema, library._ListSchema):
        _collect(lambda: schema.elementType, nodes_by_id)
    elif schema.node.id not in nodes_by_id:
        nodes_by_id[schema.node.id] = schema.node
        for field in getattr(schema, "fields_list", ()):
            _collect(functools.partial(getattr, field, "schema"), nodes_by_id)


def _root_structs(parsed: Any) -> dict[str, Any]:
    found = vars(parsed).items()
    return {name: struct for name, struct in found if isinstance(struct, library._StructModule)}


def compile_schema(text_path: str = TEXT_PATH) -> bytes:
    """Parse the text of a schema and return its compiled form.

    It holds a digest, then the name and the node of each struct of the file. Types that only other
    structs refer to have an empty name, so structs that the code names must not be nested.
    """
    parts: list[bytes] = []
    structs = _root_structs(capnp.load(text_path))
    names_by_id = {struct.schema.node.id: name for name, struct in structs.items()}
    nodes_by_id: dict[int, Any] = {}
    for struct in structs.values():
        _collect(functools.partial(getattr, struct, "schema"), nodes_by_id)
    for node_id, node in nodes_by_id.items():
        for part in (names_by_id.get(node_id, "").encode(), node.as_builder().to_bytes()):
            parts += [len(part).to_bytes(LENGTH_BYTES, "big"), part]
    nodes = b"".join(parts)
    with open(text_path, "rb") as file:
        return _digest(file.read(), nodes) + nodes


def _split(data: bytes) -> list[bytes]:
    parts, start = [], 0
    while start < len(data):
        end = start + LENGTH_BYTES
        length = int.from_bytes(data[start:end], "big")
        parts.append(data[end : end + length])
        start = end + length
    return parts


def load_compiled(compiled: bytes, text: bytes) -> Any:
    """Return the structs of a compiled schema; raise ValueError if it does not fit the text."""
    nodes = compiled[DIGEST_BYTES:]
    if compiled[:DIGEST_BYTES] != _digest(text, nodes):
        raise ValueError("the compiled schema is damaged, or of another text or version")
    # The schema of nodes is part of the library; an empty schema's node gives access to it.
    node_struct = library._StructModule(library._StructSchema().node.schema, "Node")
    loader = library.SchemaLoader()
    parts = _split(nodes)
    schemas = []
    for name, encoded in zip(parts[::2], parts[1::2], strict=True):
        with node_struct.from_bytes(encoded) as node:
            schemas.append((name.decode(), loader.load_dynamic(node)))
    structs = {
        name: library._StructModule(schema.as_struct(), name) for name, schema in schemas if name
    }
    # The schemas live as long as their loader.
    return types.SimpleNamespace(**structs, loader=loader)


def load(text_path: str = TEXT_PATH, compiled_path: str = COMPILED_PATH) -> Any:
    """Return the structs of the messages, by attribute."""
    try:
        with open(compiled_path, "rb") as compiled, open(text_path, "rb") as text:
            return load_compiled(compiled.read(), text.read())
    except (OSError, ValueError, AttributeError, capnp.KjException):
        return capnp.load(text_path)


if __name__ == "__main__":
    compiled_schema = compile_schema()
    os.makedirs(BUILD_FOLDER, exist_ok=True)
    with open(COMPILED_PATH, "wb") as output:
        output.write(compiled_schema)
