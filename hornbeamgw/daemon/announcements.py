"""Announcements: takes what backend servers say of themselves, worded by an adapter."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import h11

from hornbeamgw.core import registration
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Departure, Heartbeat, RegistrationState
from hornbeamgw.daemon.adoption import Adoption
from hornbeamgw.daemon.gate import Announcement, Gate
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
    """Own what is known of the backend server beside this daemon."""

    def __init__(
        self,
        gate: Gate,
        decode: Decoder,
        connections: int,
        ttl: float,
        is_service: Callable[[str], bool] = lambda service: True,
        adoption: Adoption | None = None,
    ) -> None:
        """Take the gate to tell, how announcements are worded, and how long they last (s).

        An announcement for a service that the configuration does not name is refused.
        """
        self._adoption = adoption
        self._is_service = is_service
        self.state = RegistrationState()
        self._gate = gate
        self._decode = decode
        self._connections = connections
        self._ttl = ttl
        gate.exchange.on_replaced = self.on_replaced

    async def on_request(self, connection: HttpConnection, request: h11.Request) -> None:
        """Answer one heartbeat or departure."""
        body = await read_body(connection, BODY_LIMIT)
        method, path = request.method.decode(), request.target.decode("latin-1")
        try:
            told = self._decode(method, path, body)
            self._check_service(told)
        except ValueError as error:
            log.warning("announcement refused", extra={"error": str(error)})
            json_response(connection, 400, {"error": f"announcement: {error}"})
            return
        if isinstance(told, Departure):
            self._on_departure(told)
        else:
            self._on_heartbeat(told)
        send_response(connection, 200, [], b"")

    def _check_service(self, told: Heartbeat | Departure) -> None:
        if isinstance(told, Heartbeat) and not self._is_service(told.service):
            raise ValueError(f"service {told.service!r}, expected one of the configuration")

    def _on_heartbeat(self, beat: Heartbeat) -> None:
        now = asyncio.get_running_loop().time()
        if not registration.take(self.state, beat, now):
            log.info("late heartbeat", extra={"instance": beat.instance, "sequence": beat.sequence})
            return
        current = self.state.current
        assert current is not None
        announcement = Announcement(
            current.service,
            current.address,
            current.slots,
            self._connections,
            current.state,
            now + self._ttl,
            current.instance,
            self.state.warm_at,
            current.started_ms,
        )
        self._gate.announce(announcement)
        self._keep(announcement)

    def _keep(self, announcement: Announcement | None) -> None:
        if self._adoption is not None:
            self._adoption.note(announcement)

    async def adopt(self, health_path_of: Callable[[str], str | None]) -> None:
        """Take up the server that was here before this daemon's start, if it still is."""
        if self._adoption is None:
            return
        known = await self._adoption.last_known()
        if known is None or self.state.current is not None:
            return
        health_path = health_path_of(known.service)
        if health_path is None or not await self._adoption.is_there(known, health_path):
            return
        if self.state.current is None and self._gate.announcement is None:
            now = asyncio.get_running_loop().time()
            registration.assume(self.state, _as_heartbeat(known), now)
            self._gate.announce(known._replace(expires_at=now + self._ttl))

    def _on_departure(self, told: Departure) -> None:
        log.info("backend server leaves", extra={"instance": told.instance})
        if registration.retire(self.state, told.instance, told.started_ms):
            self._gate.drain("the backend server leaves")
            self._gate.forget_server()
            self._keep(None)

    def on_replaced(self, instance: str) -> None:
        """Note that another incarnation answers at the address of this one."""
        log.warning("backend server was replaced", extra={"instance": instance})
        registration.retire(self.state, instance)
        self._keep(None)
        if self._gate.state.server_state is not ServerState.NONE:
            self._gate.forget_server()


def _as_heartbeat(known: Announcement) -> Heartbeat:
    return Heartbeat(
        known.instance,
        known.service,
        known.address,
        known.slots,
        known.state,
        sequence=0,
        started_ms=known.started_ms,
    )
