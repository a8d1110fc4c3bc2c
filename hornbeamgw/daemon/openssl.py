"""OpenSSL: keeps it out of the daemon's process, where no connection uses TLS."""

from __future__ import annotations

import importlib
import importlib.util
import sys
import types

# Names that uvloop reads from the module `ssl` when it is imported.
_CLASSES = ("SSLContext", "MemoryBIO")
_ERRORS = (
    "SSLError",
    "SSLWantReadError",
    "SSLSyscallError",
    "SSLZeroReturnError",
    "CertificateError",
)
_CODES_BY_NAME = {
    "SSL_ERROR_WANT_READ": 2,
    "SSL_ERROR_WANT_WRITE": 3,
    "SSL_ERROR_SYSCALL": 5,
}


def _no_tls(*args: object, **kwargs: object) -> None:
    raise NotImplementedError("the daemon's event loop has no TLS")


def _ssl_stand_in() -> types.ModuleType:
    stand_in = types.ModuleType("ssl")
    names: dict[str, object] = {name: type(name, (), {}) for name in _CLASSES}
    names |= {name: type(name, (OSError,), {}) for name in _ERRORS}
    names |= _CODES_BY_NAME
    vars(stand_in).update(names, create_default_context=_no_tls)
    return stand_in


def _import_without(name: str, blocked: str, stand_in: types.ModuleType | None) -> None:
    """Import a module for which another one can't be imported or is replaced."""
    if name in sys.modules or blocked in sys.modules:
        return
    sys.modules[blocked] = stand_in  # type: ignore[assignment]  # None makes the import fail
    try:
        importlib.import_module(name)
    finally:
        del sys.modules[blocked]


def import_without_openssl() -> None:
    """Import hashlib and asyncio without OpenSSL, which takes 4.7 MB of resident memory.

    Both support its absence. The modules `ssl` and `_hashlib` can be imported as usual afterwards.
    Modules that are loaded already stay as they are. An interpreter without its own SHA-256 keeps
    OpenSSL's.
    """
    if importlib.util.find_spec("_sha256") is not None:
        _import_without("hashlib", "_hashlib", None)
    _import_without("asyncio", "ssl", None)


def import_uvloop() -> None:
    """Import uvloop; unless OpenSSL is loaded already, with a stand-in that refuses TLS."""
    _import_without("uvloop", "ssl", _ssl_stand_in())
