"""Announcements: registers backend servers by their heartbeats, decoded by an adapter."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable

import h11

from hornbeamgw.core import registration
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.options import is_address, split_address
from hornbeamgw.core.registration import Departure, Heartbeat, RegistrationState
from hornbeamgw.daemon.adoption import Adoption
from hornbeamgw.daemon.gate import Announcement
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.http_server import json_response, read_body, send_response

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024

Decoder = Callable[[str, str, bytes], Heartbeat | Departure]
decoders_by_name: dict[str, Decoder] = {}


def register(name: str) -> Callable[[Decoder], Decoder]:
    """Register a decoder by name.

    It is called with method, path and body of a request, and may raise ValueError.
    """

    def add(decoder: Decoder) -> Decoder:
        decoders_by_name[name] = decoder
        return decoder

    return add


class ServerRegistry:
    """Registry of the backend servers next to this daemon."""

    def __init__(
        self,
        gates: Gates,
        decode: Decoder,
        connections: int,
        ttl: float,
        accepts_service: Callable[[str], bool] = lambda service: True,
        adoption: Adoption | None = None,
    ) -> None:
        """Create an empty registry.

        Registrations are passed to `gates` and expire after `ttl` seconds. `connections` is the
        connection limit of each server. Announcements are decoded by `decode`, and refused for
        services that `accepts_service` rejects. `adoption` restores servers after a restart.
        """
        self._adoption = adoption
        self._accepts_service = accepts_service
        self.states_by_address: dict[str, RegistrationState] = {}
        self._known_runs_by_instance: registration.KnownRunsByInstance = OrderedDict()
        self._gates = gates
        self._decode = decode
        self._connections = connections
        self._ttl = ttl
        gates.on_replaced = self.on_replaced
        gates.on_leaving = self.on_leaving

    async def on_request(self, connection: HttpConnection, request: h11.Request) -> None:
        """Handle a request with a heartbeat or departure."""
        body = await read_body(connection, MAX_BODY_BYTES)
        method, path = request.method.decode(), request.target.decode("latin-1")
        try:
            message = self._decode(method, path, body)
            self._process(message)
        except ValueError as error:
            log.warning("announcement refused", extra={"error": str(error)})
            json_response(connection, 400, {"error": f"announcement: {error}"})
            return
        send_response(connection, 200, [], b"")

    def _process(self, message: Heartbeat | Departure) -> None:
        if isinstance(message, Departure):
            self._on_departure(message)
        elif not is_address(message.address):
            raise ValueError(f"address {message.address!r}, expected an IP address and a port")
        elif not self._accepts_service(message.service):
            raise ValueError(f"service {message.service!r}, expected one of the configuration")
        else:
            self._on_heartbeat(message)

    def _state_at(self, address: str) -> RegistrationState:
        if address not in self.states_by_address:
            self._remove_empty_states()
            state = RegistrationState(self._known_runs_by_instance)
            self.states_by_address[address] = state
        return self.states_by_address[address]

    def _remove_empty_states(self) -> None:
        for address, state in list(self.states_by_address.items()):
            if state.current is None:
                del self.states_by_address[address]

    def _registered_address(self, instance: str) -> str | None:
        """Return the address at which an instance is registered, or None."""
        for address, state in self.states_by_address.items():
            if state.current is not None and state.current.instance == instance:
                return address
        return None

    def _has_server_at(self, address: str) -> bool:
        state = self.states_by_address.get(address)
        return state is not None and state.current is not None

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = asyncio.get_running_loop().time()
        registered_address = self._registered_address(heartbeat.instance)
        state = self._state_at(heartbeat.address)
        if not registration.receive(state, heartbeat, now):
            log.info(
                "late heartbeat ignored",
                extra={"instance": heartbeat.instance, "sequence": heartbeat.sequence},
            )
            return
        if registered_address is not None and registered_address != heartbeat.address:
            log.info(
                "backend server moved to another address",
                extra={"instance": heartbeat.instance, "to": heartbeat.address},
            )
            self._unregister(registered_address)
        assert state.current is not None
        self._gates.announce(self._announcement(state.current, now, state.warm_at))
        self._save_registrations()

    def _announcement(self, heartbeat: Heartbeat, now: float, warm_at: float) -> Announcement:
        return Announcement(
            heartbeat.service,
            heartbeat.address,
            heartbeat.slots,
            self._connections,
            heartbeat.state,
            now + self._ttl,
            heartbeat.instance,
            warm_at,
            heartbeat.started_ms,
            heartbeat.software,
        )

    def _save_registrations(self) -> None:
        if self._adoption is not None:
            self._adoption.note(self._gates.announced().values())

    def _unregister(self, address: str) -> None:
        """Remove the server at an address and drain its gate."""
        self.states_by_address[address].current = None
        gate = self._gates.gate_for(split_address(address)[1])
        if gate.announcement is not None:
            gate.drain("the backend server leaves")
            gate.remove_server()
        self._save_registrations()

    async def adopt(self, health_path_of: Callable[[str], str | None]) -> None:
        """Register the servers from before this daemon's start that are still running.

        `health_path_of` returns the path of a service's health check, or None.
        """
        if self._adoption is None:
            return
        stored = await self._adoption.last_known()
        await asyncio.gather(*(self._adopt_server(server, health_path_of) for server in stored))

    async def _adopt_server(
        self, stored: Announcement, health_path_of: Callable[[str], str | None]
    ) -> None:
        assert self._adoption is not None
        health_path = health_path_of(stored.service)
        if health_path is None or self._has_server_at(stored.address):
            return
        declared = await self._adoption.check(stored, health_path)
        if declared is None:
            return
        if not self._has_server_at(stored.address):
            now = asyncio.get_running_loop().time()
            registration.adopt(self._state_at(stored.address), _as_heartbeat(stored), now)
            self._gates.announce(stored._replace(expires_at=now + self._ttl))
            gate = self._gates.gate_for(split_address(stored.address)[1])
            gate.declarations.note_check(declared, now)

    def _on_departure(self, message: Departure) -> None:
        log.info("backend server announced its departure", extra={"instance": message.instance})
        registered_address = self._registered_address(message.instance)
        state = (
            RegistrationState(self._known_runs_by_instance)
            if registered_address is None
            else self._state_at(registered_address)
        )
        if (
            registration.retire(state, message.instance, message.started_ms)
            and registered_address is not None
        ):
            self._unregister(registered_address)

    def on_leaving(self, instance: str) -> None:
        """Record that an instance drains because its answers say that it leaves."""
        registered_address = self._registered_address(instance)
        if registered_address is not None:
            registration.drain(self._state_at(registered_address), instance)
            self._save_registrations()

    def on_replaced(self, instance: str) -> None:
        """Remove an instance after another one has answered at its address."""
        log.warning(
            "backend server was replaced by another at its address", extra={"instance": instance}
        )
        registered_address = self._registered_address(instance)
        if registered_address is None:
            return
        registration.retire(self._state_at(registered_address), instance)
        gate = self._gates.gate_for(split_address(registered_address)[1])
        if gate.state.server_state is not ServerState.NONE:
            gate.remove_server()
        self._save_registrations()


def _as_heartbeat(stored: Announcement) -> Heartbeat:
    return Heartbeat(
        stored.instance,
        stored.service,
        stored.address,
        stored.slots,
        stored.state,
        sequence=0,
        software=stored.software,
        started_ms=stored.started_ms,
    )
