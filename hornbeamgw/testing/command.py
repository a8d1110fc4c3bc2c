"""Command line of the stand-ins: hornbeamgw-standin."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import msgspec

from hornbeamgw.daemon import logs, loop


def _run(main: Coroutine[Any, Any, None]) -> None:
    logs.set_up("WARNING")
    loop.run(main)


def _say(document: dict[str, Any]) -> None:
    print(msgspec.json.encode(document).decode(), flush=True)


def _stop_event() -> asyncio.Event:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    return stop


@cappa.command(name="platform", help="Serve a table service and an object store from memory.")
@dataclass
class PlatformCommand:
    """Run the stand-in platform until told to stop."""

    listen: Annotated[str, cappa.Arg(long=True, help="IP number and port")] = "127.0.0.1:0"

    def __call__(self) -> None:
        """Run it."""
        _run(self._serve())

    async def _serve(self) -> None:
        from hornbeamgw.testing.platform import StandInPlatform

        stop = _stop_event()
        _say({"listening": await StandInPlatform().start(self.listen)})
        await stop.wait()


@cappa.command(name="backend", help="Serve requests as a backend server beside a daemon.")
@dataclass
class BackendCommand:
    """Run the stand-in backend server; it drains when told to stop."""

    daemon: Annotated[str, cappa.Arg(long=True, help="the daemon's admin address")]
    service: Annotated[str, cappa.Arg(long=True, help="the service it announces")]
    slots: Annotated[int, cappa.Arg(long=True, help="requests at once")] = 6
    connections: Annotated[int, cappa.Arg(long=True, help="connections at once")] = 130
    work_ms: Annotated[float, cappa.Arg(long=True, help="time a request takes (ms)")] = 2.0
    cold_start_ms: Annotated[float, cappa.Arg(long=True, help="time to warm up (ms)")] = 0.0
    announced: Annotated[str, cappa.Arg(long=True, help="address to announce, if not its own")] = ""

    def __call__(self) -> None:
        """Run it."""
        _run(self._serve())

    async def _serve(self) -> None:
        from hornbeamgw.testing.backend import BackendOptions, StandInBackend

        stop = _stop_event()
        options = BackendOptions(
            self.service,
            self.slots,
            self.connections,
            self.daemon,
            self.work_ms / 1000,
            self.cold_start_ms / 1000,
            self.announced,
        )
        backend = StandInBackend(options)
        _say({"listening": await backend.start()})
        await stop.wait()
        await backend.drain()


@cappa.command(name="hornbeamgw-standin", help="Stand-ins to try hornbeamgw with.")
@dataclass
class StandIn:
    """Choose a stand-in."""

    command: cappa.Subcommands[PlatformCommand | BackendCommand]


def main() -> None:
    """Run the command line."""
    cappa.invoke(StandIn)


if __name__ == "__main__":
    main()
