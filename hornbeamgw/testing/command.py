"""Command hornbeamgw-standin: run a stand-in for the platform's store or a backend server."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import msgspec

from hornbeamgw.daemon import logs, loop
from hornbeamgw.testing.room import OnClose


def _run(main: Coroutine[Any, Any, None]) -> None:
    logs.set_up("WARNING")
    loop.run(main)


def _print_json(document: dict[str, Any]) -> None:
    print(msgspec.json.encode(document).decode(), flush=True)


def _stop_event() -> asyncio.Event:
    stop_event = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop_event.set)
    return stop_event


@cappa.command(name="platform", help="Run an in-memory table service and object store.")
@dataclass
class PlatformCommand:
    """Run the stand-in platform until SIGTERM or SIGINT."""

    listen: Annotated[str, cappa.Arg(long=True, help="IP address and port to listen on")] = (
        "127.0.0.1:0"
    )

    def __call__(self) -> None:
        """Run the stand-in until it is stopped."""
        _run(self._serve())

    async def _serve(self) -> None:
        from hornbeamgw.testing.platform import StandInPlatform

        stop_event = _stop_event()
        _print_json({"listening": await StandInPlatform().start(self.listen)})
        await stop_event.wait()


@cappa.command(name="backend", help="Run a backend server that announces itself to a daemon.")
@dataclass
class BackendCommand:
    """Run the stand-in backend server; it drains on SIGTERM or SIGINT."""

    daemon: Annotated[str, cappa.Arg(long=True, help="admin address of the daemon")]
    service: Annotated[str, cappa.Arg(long=True, help="service to announce")]
    slots: Annotated[int, cappa.Arg(long=True, help="maximum number of concurrent requests")] = 6
    connections: Annotated[int, cappa.Arg(long=True, help="maximum number of connections")] = 130
    work_ms: Annotated[float, cappa.Arg(long=True, help="processing time of a request in ms")] = 2.0
    cold_start_ms: Annotated[float, cappa.Arg(long=True, help="warm-up time in ms")] = 0.0
    announced: Annotated[
        str, cappa.Arg(long=True, help="address to announce instead of its own")
    ] = ""
    instance: Annotated[str, cappa.Arg(long=True, help="name to announce for its process")] = ""
    queue: Annotated[
        int | None,
        cappa.Arg(long=True, help="requests that wait for a slot; without it, all run at once"),
    ] = None
    on_close: Annotated[
        OnClose, cappa.Arg(long=True, help="what becomes of a request that the daemon cuts off")
    ] = OnClose.WORK

    def __call__(self) -> None:
        """Run the stand-in until it is stopped."""
        _run(self._serve())

    async def _serve(self) -> None:
        from hornbeamgw.testing.backend import BackendOptions, StandInBackend

        stop_event = _stop_event()
        options = BackendOptions(
            self.service,
            self.slots,
            self.connections,
            self.daemon,
            self.work_ms / 1000,
            self.cold_start_ms / 1000,
            self.announced,
            instance=self.instance,
            queue=self.queue,
            on_close=self.on_close,
        )
        backend = StandInBackend(options)
        _print_json({"listening": await backend.start()})
        await stop_event.wait()
        await backend.drain()


@cappa.command(name="hornbeamgw-standin", help="Stand-ins for trying out hornbeamgw.")
@dataclass
class StandIn:
    """Run a stand-in."""

    command: cappa.Subcommands[PlatformCommand | BackendCommand]


def main() -> None:
    """Run the command line."""
    cappa.invoke(StandIn)


if __name__ == "__main__":
    main()
