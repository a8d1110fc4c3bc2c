"""Event loop: runs uvloop without io_uring, or the loop of the standard library."""

from __future__ import annotations

import asyncio
import gc
import os
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from hornbeamgw.core import options
from hornbeamgw.daemon.openssl import import_uvloop

T = TypeVar("T")

# Calls create few reference cycles, so the garbage collector runs less often than by default (every
# 700 allocations).
GC_THRESHOLD = 20_000
OPEN_FILES = "/proc/self/fd"
IO_URING_FD_TARGET = "anon_inode:[io_uring]"


def _uses_io_uring() -> bool:
    paths = [os.path.join(OPEN_FILES, name) for name in os.listdir(OPEN_FILES)]
    return any(os.path.islink(path) and os.readlink(path) == IO_URING_FD_TARGET for path in paths)


def _new_uvloop() -> asyncio.AbstractEventLoop:
    import_uvloop()
    import uvloop

    return uvloop.new_event_loop()


factories_by_name: dict[str, Callable[[], asyncio.AbstractEventLoop]] = {
    options.UVLOOP: _new_uvloop,
    options.ASYNCIO: asyncio.new_event_loop,
}


def run(main: Coroutine[Any, Any, T], name: str = options.UVLOOP) -> T:
    """Run a coroutine on the named event loop; raise RuntimeError if uvloop uses io_uring.

    libuv 1.48 respects UV_USE_IO_URING, later versions do not: see docs/design/0002-event-loop.md.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    with asyncio.Runner(loop_factory=factories_by_name[name]) as runner:
        runner.get_loop()
        if _uses_io_uring():
            main.close()
            raise RuntimeError("this version of uvloop uses io_uring; install uvloop < 0.23")
        return runner.run(main)
