"""Announcements: takes what backend servers say of themselves, worded by an adapter."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable

import h11

from hornbeamgw.core import registration
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.options import split_address
from hornbeamgw.core.registration import Departure, Heartbeat, RegistrationState
from hornbeamgw.daemon.adoption import Adoption
from hornbeamgw.daemon.gate import Announcement
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.http_server import json_response, read_body, send_response

log = logging.getLogger(__name__)

BODY_LIMIT = 64 * 1024

Decoder = Callable[[str, str, bytes], Heartbeat | Departure]
decoders_by_name: dict[str, Decoder] = {}


def register(name: str) -> Callable[[Decoder], Decoder]:
    """Register a decoder: a function of method, path and body that may raise ValueError."""

    def add(decoder: Decoder) -> Decoder:
        decoders_by_name[name] = decoder
        return decoder

    return add


class Announcements:
    """Own what is known of the backend servers beside this daemon."""

    def __init__(
        self,
        gates: Gates,
        decode: Decoder,
        connections: int,
        ttl: float,
        is_service: Callable[[str], bool] = lambda service: True,
        adoption: Adoption | None = None,
    ) -> None:
        """Take the gates to tell, how announcements are worded, and how long they last (s).

        An announcement for a service that the configuration does not name is refused.
        """
        self._adoption = adoption
        self._is_service = is_service
        self.states_by_address: dict[str, RegistrationState] = {}
        self._known_by_instance: registration.KnownRunsByInstance = OrderedDict()
        self._gates = gates
        self._decode = decode
        self._connections = connections
        self._ttl = ttl
        gates.on_replaced = self.on_replaced

    async def on_request(self, connection: HttpConnection, request: h11.Request) -> None:
        """Answer one heartbeat or departure."""
        body = await read_body(connection, BODY_LIMIT)
        method, path = request.method.decode(), request.target.decode("latin-1")
        try:
            told = self._decode(method, path, body)
            self._take(told)
        except ValueError as error:
            log.warning("announcement refused", extra={"error": str(error)})
            json_response(connection, 400, {"error": f"announcement: {error}"})
            return
        send_response(connection, 200, [], b"")

    def _take(self, told: Heartbeat | Departure) -> None:
        if isinstance(told, Departure):
            self._on_departure(told)
        elif not self._is_service(told.service):
            raise ValueError(f"service {told.service!r}, expected one of the configuration")
        else:
            self._on_heartbeat(told)

    def _state_at(self, address: str) -> RegistrationState:
        if address not in self.states_by_address:
            self._forget_empty_addresses()
            state = RegistrationState(self._known_by_instance)
            self.states_by_address[address] = state
        return self.states_by_address[address]

    def _forget_empty_addresses(self) -> None:
        for address, state in list(self.states_by_address.items()):
            if state.current is None:
                del self.states_by_address[address]

    def _home_of(self, instance: str) -> str | None:
        """Return the address at which a server is believed to live, or None."""
        for address, state in self.states_by_address.items():
            if state.current is not None and state.current.instance == instance:
                return address
        return None

    def _is_heard_at(self, address: str) -> bool:
        state = self.states_by_address.get(address)
        return state is not None and state.current is not None

    def _on_heartbeat(self, beat: Heartbeat) -> None:
        now = asyncio.get_running_loop().time()
        home = self._home_of(beat.instance)
        state = self._state_at(beat.address)
        if not registration.receive(state, beat, now):
            log.info("late heartbeat", extra={"instance": beat.instance, "sequence": beat.sequence})
            return
        if home is not None and home != beat.address:
            log.info("backend server moved", extra={"instance": beat.instance, "to": beat.address})
            self._forget(home)
        assert state.current is not None
        self._gates.announce(self._announcement(state.current, now, state.warm_at))
        self._keep()

    def _announcement(self, beat: Heartbeat, now: float, warm_at: float) -> Announcement:
        return Announcement(
            beat.service,
            beat.address,
            beat.slots,
            self._connections,
            beat.state,
            now + self._ttl,
            beat.instance,
            warm_at,
            beat.started_ms,
            beat.software,
        )

    def _keep(self) -> None:
        if self._adoption is not None:
            self._adoption.note(self._gates.announced().values())

    def _forget(self, address: str) -> None:
        """Take no more work for the server at an address."""
        self.states_by_address[address].current = None
        gate = self._gates.gate_for(split_address(address)[1])
        if gate.announcement is not None:
            gate.drain("the backend server leaves")
            gate.remove_server()
        self._keep()

    async def adopt(self, health_path_of: Callable[[str], str | None]) -> None:
        """Take up the servers that were here before this daemon's start, if they still are."""
        if self._adoption is None:
            return
        known = await self._adoption.last_known()
        await asyncio.gather(*(self._adopt(server, health_path_of) for server in known))

    async def _adopt(
        self, known: Announcement, health_path_of: Callable[[str], str | None]
    ) -> None:
        assert self._adoption is not None
        health_path = health_path_of(known.service)
        if health_path is None or self._is_heard_at(known.address):
            return
        if not await self._adoption.is_unchanged(known, health_path):
            return
        if not self._is_heard_at(known.address):
            now = asyncio.get_running_loop().time()
            registration.adopt(self._state_at(known.address), _as_heartbeat(known), now)
            self._gates.announce(known._replace(expires_at=now + self._ttl))

    def _on_departure(self, told: Departure) -> None:
        log.info("backend server leaves", extra={"instance": told.instance})
        home = self._home_of(told.instance)
        state = RegistrationState(self._known_by_instance) if home is None else self._state_at(home)
        if registration.retire(state, told.instance, told.started_ms) and home is not None:
            self._forget(home)

    def on_replaced(self, instance: str) -> None:
        """Note that another incarnation answers at the address of this one."""
        log.warning("backend server was replaced", extra={"instance": instance})
        home = self._home_of(instance)
        if home is None:
            return
        registration.retire(self._state_at(home), instance)
        gate = self._gates.gate_for(split_address(home)[1])
        if gate.state.server_state is not ServerState.NONE:
            gate.remove_server()
        self._keep()


def _as_heartbeat(known: Announcement) -> Heartbeat:
    return Heartbeat(
        known.instance,
        known.service,
        known.address,
        known.slots,
        known.state,
        sequence=0,
        software=known.software,
        started_ms=known.started_ms,
    )
