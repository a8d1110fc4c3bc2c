"""Announcements: registers backend servers by their heartbeats, decoded by an adapter."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import OrderedDict
from collections.abc import Callable
from weakref import WeakKeyDictionary

import h11

from hornbeamgw.core import freshness, registration
from hornbeamgw.core.departures import LeftRun
from hornbeamgw.core.freshness import Arrival
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.options import is_address, split_address
from hornbeamgw.core.registration import Departure, Heartbeat, RegistrationState
from hornbeamgw.daemon.adoption import Adoption
from hornbeamgw.daemon.departures import Ledger
from hornbeamgw.daemon.gate import Announcement
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.http_server import json_response, read_body, send_response

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
# Servers send a heartbeat about this often.
VERIFICATION_TIMEOUT_S = 1.5

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
        ledger: Ledger | None = None,
        started_ms: int = 0,
        health_path_of: Callable[[str], str | None] = lambda service: None,
        started_at: float = -math.inf,
    ) -> None:
        """Create an empty registry.

        Registrations are passed to `gates` and expire after `ttl` seconds. `connections` is the
        connection limit of each server. Announcements are decoded by `decode`, and refused for
        services that `accepts_service` rejects. `adoption` restores servers after a restart, and
        `ledger` keeps departures across one; without it, they end with the process. `started_ms`
        is the start of this process in Unix milliseconds, and `started_at` by the clock of the
        event loop (s). `health_path_of` returns the path of a service's health check, empty if it
        has none, and None for an unknown service.
        """
        self._adoption = adoption
        self._ledger = ledger
        self._started_ms = started_ms
        self._started_at = started_at
        self._answered_at_by_connection: WeakKeyDictionary[HttpConnection, float] = (
            WeakKeyDictionary()
        )
        # Time of the latest departure that doesn't tell which run of its instance has left.
        self._unclear_departure_at = -math.inf
        self._health_path_of = health_path_of
        self._verifications_by_instance: dict[str, asyncio.Task[None]] = {}
        if ledger is not None:
            ledger.on_recalled = self._on_recalled
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
        arrival = self._arrival(connection)
        body = await read_body(connection, MAX_BODY_BYTES)
        method, path = request.method.decode(), request.target.decode("latin-1")
        try:
            message = self._decode(method, path, body)
            self._process(message, arrival)
        except ValueError as error:
            log.warning("announcement refused", extra={"error": str(error)})
            json_response(connection, 400, {"error": f"announcement: {error}"})
            return
        if not await self._may_acknowledge(message):
            error_text = "departure not acknowledged: the store has not confirmed it, send it again"
            json_response(connection, 503, {"error": error_text})
            return
        is_pipelined = connection.has_input()
        send_response(connection, 200, [], b"")
        if not is_pipelined:
            self._answered_at_by_connection[connection] = asyncio.get_running_loop().time()

    def _arrival(self, connection: HttpConnection) -> Arrival:
        answered_at = self._answered_at_by_connection.pop(connection, -math.inf)
        return Arrival(asyncio.get_running_loop().time(), time.time() * 1000, answered_at)

    async def _may_acknowledge(self, message: Heartbeat | Departure) -> bool:
        """Return whether what an acknowledgement promises would outlive this process."""
        run = registration.left_run(self._known_runs_by_instance, message)
        if run is None or self._ledger is None:
            return True
        self._ledger.note(run)
        return await self._ledger.confirm(run)

    def _process(self, message: Heartbeat | Departure, arrival: Arrival) -> None:
        if isinstance(message, Departure):
            self._on_departure(message, arrival)
        elif not is_address(message.address):
            raise ValueError(f"address {message.address!r}, expected an IP address and a port")
        elif not self._accepts_service(message.service):
            raise ValueError(f"service {message.service!r}, expected one of the configuration")
        else:
            self._on_heartbeat(message, arrival)

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

    def _on_heartbeat(self, heartbeat: Heartbeat, arrival: Arrival) -> None:
        if not self._may_have_left(heartbeat, arrival):
            self._accept(heartbeat)
        elif freshness.is_sent_after(arrival, self._doubtful_until(heartbeat)):
            _log_believed(heartbeat, "sent after this daemon's start")
            self._accept(heartbeat)
        else:
            self._verify_soon(heartbeat, arrival)

    def _may_have_left(self, heartbeat: Heartbeat, arrival: Arrival) -> bool:
        """Return whether the sender may have left, as told to this process or a former one."""
        if self._ledger is None or heartbeat.state is ServerState.DRAINING:
            return False
        if registration.may_be_left_run(self._known_runs_by_instance, heartbeat):
            return True
        if freshness.is_born_after(heartbeat, self._started_ms, arrival):
            return False
        is_unknown = registration.is_unknown_run(self._known_runs_by_instance, heartbeat)
        return is_unknown and not self._ledger.is_complete.is_set()

    def _doubtful_until(self, heartbeat: Heartbeat) -> float:
        """Return the time (s) before which the sender may have left."""
        if registration.may_be_left_run(self._known_runs_by_instance, heartbeat):
            return max(self._started_at, self._unclear_departure_at)
        return self._started_at

    def _verify_soon(self, heartbeat: Heartbeat, arrival: Arrival) -> None:
        if heartbeat.instance in self._verifications_by_instance:
            return
        task = asyncio.create_task(self._verify(heartbeat, arrival))
        self._verifications_by_instance[heartbeat.instance] = task
        task.add_done_callback(lambda _: self._verifications_by_instance.pop(heartbeat.instance))

    async def _verify(self, heartbeat: Heartbeat, arrival: Arrival) -> None:
        """Accept a heartbeat once it is known that its sender has not left.

        That is known from the ledger. If other daemons may know of a departure that was not
        acknowledged, the server itself is asked, if it has a health check. If it isn't known in
        time, the next heartbeat is verified.
        """
        assert self._ledger is not None
        loop = asyncio.get_running_loop()
        deadline = loop.time() + VERIFICATION_TIMEOUT_S
        is_asked = False
        evidence = "departures known"
        await self._ledger.wait_heard()
        while self._may_have_left(heartbeat, arrival):
            health_path = self._health_path_of(heartbeat.service)
            can_ask = health_path != "" and self._adoption is not None
            if self._is_unpromised(heartbeat):
                if not can_ask:
                    evidence = "stored row"
                    break
                if health_path and not is_asked:
                    is_asked = True
                    if await self._is_healthy(heartbeat, health_path):
                        evidence = "stored row and health check"
                        break
            if loop.time() >= deadline:
                log.info(
                    "heartbeat ignored: the server may have left before this daemon's start",
                    extra={"instance": heartbeat.instance, "sequence": heartbeat.sequence},
                )
                return
            await self._ledger.wait_complete()
        _log_believed(heartbeat, evidence)
        try:
            self._accept(heartbeat)
        except ValueError as error:
            log.warning("announcement refused", extra={"error": str(error)})

    def _is_unpromised(self, heartbeat: Heartbeat) -> bool:
        """Return whether no departure of the sender can have been acknowledged.

        All that was acknowledged is in the stored row.
        """
        assert self._ledger is not None
        is_unclear = registration.may_be_left_run(self._known_runs_by_instance, heartbeat)
        return self._ledger.knows_acknowledged and not is_unclear

    async def _is_healthy(self, heartbeat: Heartbeat, health_path: str) -> bool:
        assert self._adoption is not None
        announcement = self._announcement(heartbeat, 0.0, 0.0)
        return await self._adoption.check(announcement, health_path) is not None

    def _on_recalled(self, run: LeftRun) -> None:
        """Apply a departure that came late, or that a former process has acknowledged."""
        address = self._registered_address(run.instance)
        state = (
            RegistrationState(self._known_runs_by_instance)
            if address is None
            else self._state_at(address)
        )
        if registration.note_left(state, run) and address is not None:
            self._unregister(address)

    def _accept(self, heartbeat: Heartbeat) -> None:
        now = asyncio.get_running_loop().time()
        registered_address = self._registered_address(heartbeat.instance)
        state = self._state_at(heartbeat.address)
        if not registration.receive(state, heartbeat, now):
            log.info(
                "late heartbeat ignored",
                extra={"instance": heartbeat.instance, "sequence": heartbeat.sequence},
            )
            # It is acknowledged, whether other messages have overtaken it or not.
            run = registration.left_run(self._known_runs_by_instance, heartbeat)
            if run is not None:
                self._on_recalled(run)
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

    async def adopt(self) -> None:
        """Register the servers from before this daemon's start that are still running."""
        if self._adoption is None:
            return
        stored = await self._adoption.last_known()
        if self._ledger is not None:
            await self._ledger.wait_heard()
        await asyncio.gather(*(self._adopt_server(server) for server in stored))

    async def _adopt_server(self, stored: Announcement) -> None:
        assert self._adoption is not None
        health_path = self._health_path_of(stored.service)
        if not health_path or self._has_server_at(stored.address):
            return
        declared = await self._adoption.check(stored, health_path)
        if declared is None:
            return
        now = asyncio.get_running_loop().time()
        if not self._has_server_at(stored.address) and registration.adopt(
            self._state_at(stored.address), _as_heartbeat(stored), now
        ):
            self._gates.announce(stored._replace(expires_at=now + self._ttl))
            gate = self._gates.gate_for(split_address(stored.address)[1])
            gate.declarations.note_check(declared, now)

    def _on_departure(self, message: Departure, arrival: Arrival) -> None:
        log.info("backend server announced its departure", extra={"instance": message.instance})
        if not message.started_ms:
            self._unclear_departure_at = arrival.at
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
            self._publish_draining(instance)
            self._save_registrations()

    def _publish_draining(self, instance: str) -> None:
        if self._ledger is not None:
            known = self._known_runs_by_instance[instance]
            self._ledger.publish(LeftRun(instance, known.started_ms, known.is_gone))

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


def _log_believed(heartbeat: Heartbeat, evidence: str) -> None:
    log.info(
        "heartbeat of a backend server from before this daemon's start believed",
        extra={
            "instance": heartbeat.instance,
            "sequence": heartbeat.sequence,
            "evidence": evidence,
        },
    )


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
