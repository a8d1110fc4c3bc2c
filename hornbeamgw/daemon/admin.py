"""Admin: HTTP API of a daemon for operators and for the backend servers next to it."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Annotated, Any, Literal, NotRequired, TypedDict

import h11
import msgspec

from hornbeamgw.core import balancing, invariants, membership, rate_limit, versions
from hornbeamgw.core.catalogue import ORGANISATION, Name, shown_body, to_file
from hornbeamgw.core.edit import Edit, Rejection, decode_delta
from hornbeamgw.core.fingerprint import as_text
from hornbeamgw.core.membership import ServerState, split_by_server
from hornbeamgw.core.organisations.rank import rank
from hornbeamgw.core.problems import Problem, check_mapping
from hornbeamgw.core.snapshot import Route, Snapshot, match_route
from hornbeamgw.daemon.calls import Calls
from hornbeamgw.daemon.control import Control
from hornbeamgw.daemon.gate import Announcement
from hornbeamgw.daemon.gates import Gates
from hornbeamgw.daemon.http1 import HttpConnection
from hornbeamgw.daemon.http_server import (
    MAX_ADMIN_BODY_BYTES,
    json_response,
    read_body,
    send_response,
)
from hornbeamgw.daemon.quarantine import Quarantine
from hornbeamgw.daemon.reader import Reader
from hornbeamgw.daemon.rollouts import Rollouts
from hornbeamgw.daemon.silence import connection_counts

if TYPE_CHECKING:
    from hornbeamgw.daemon.committer import Committer

log = logging.getLogger(__name__)


class AnnouncementBody(TypedDict):
    """Request body with which a backend server registers at its daemon."""

    service: Name
    address: Annotated[str, msgspec.Meta(pattern=r"^127\.[0-9.]+:[0-9]{1,5}$|^\[::1\]:[0-9]{1,5}$")]
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    state: Literal["starting", "serving", "draining"]
    ttl_ms: NotRequired[Annotated[int, msgspec.Meta(ge=100, le=600_000)]]
    instance: NotRequired[Annotated[str, msgspec.Meta(min_length=1, max_length=128)]]


DEFAULT_TTL_MS = 10_000
METRICS_PATH = "/metrics"
Query = dict[str, str]
Handler = Callable[[Query, bytes], Awaitable[tuple[int, Any]]]


class Admin:
    """Request handler of the admin API, with one method for each endpoint."""

    def __init__(
        self,
        control: Control,
        reader: Reader,
        committer: Committer | None,
        gates: Gates,
        calls: Calls,
        quarantine: Quarantine,
        rollouts: Rollouts,
    ) -> None:
        """Store the components to query; `committer` is None if edits are not supported."""
        self._control = control
        self._reader = reader
        self._committer = committer
        self._gates = gates
        self._calls = calls
        self._quarantine = quarantine
        self._rollouts = rollouts
        # Returns what this daemon knows of an organisation's quota, None if it meters none.
        self.quota_counts: Mapping[str, int] = {}
        self.quota_of: Callable[[str], dict[str, Any] | None] = lambda name: None
        self._handlers_by_path: dict[str, Handler] = {
            "GET /status": self._status,
            "GET /version": self._version,
            "GET /catalogue": self._catalogue,
            "GET /history": self._history,
            "GET /organisations": self._organisations,
            "GET /explain": self._explain,
            "GET /histograms": self._histograms,
            "GET /timeline": self._timeline,
            "GET /counters": self._counters,
            "GET /quarantine": self._get_quarantine,
            "GET /rollouts": self._get_rollouts,
            "POST /edits": self._edit,
            "PUT /announce": self._announce,
            "POST /drain": self._drain,
        }

    async def on_request(self, connection: HttpConnection, request: h11.Request) -> None:
        """Handle one request."""
        body = await read_body(connection, MAX_ADMIN_BODY_BYTES)
        target = request.target.decode("latin-1")
        if target == METRICS_PATH:
            self._send_metrics(connection)
            return
        # Imported only for other requests than the regular ones for metrics, to save memory.
        from urllib.parse import parse_qs, urlsplit

        url = urlsplit(target)
        if url.path == METRICS_PATH:
            self._send_metrics(connection)
            return
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        name = f"{request.method.decode()} {url.path}"
        handler = self._handlers_by_path.get(name)
        if handler is None:
            known = sorted(self._handlers_by_path)
            json_response(connection, 404, {"error": f"{name!r}: expected one of {known}"})
            return
        status, document = await handler(query, body)
        json_response(connection, status, document)

    def _send_metrics(self, connection: HttpConnection) -> None:
        send_response(connection, 200, [(b"content-type", b"text/plain")], self.metrics())

    def metrics(self) -> bytes:
        """Return counters, gauges and histograms in the Prometheus text format."""
        # Imported only here, to save memory.
        from hornbeamgw.daemon import exposition

        meter, state = self._control.meter, self._control.versions
        reads = {"reads": self._reader.reads, "errors": self._reader.errors}
        gates = [gate.state for gate in self._gates.all]
        lines = [
            *exposition.counters("calls", self._calls.counts),
            *exposition.counters("gate", self._gates.counts),
            *exposition.counters("platform", reads),
            *exposition.counters("quarantine", self._quarantine.counts),
            *exposition.counters("rollouts", self._rollouts.counts),
            *exposition.counters("quotas", self.quota_counts),
            *exposition.counters("connections", connection_counts),
            exposition.gauge("quarantined", len(self._quarantine.state.periods_by_fingerprint)),
            *exposition.counters("control_bytes_in", meter.bytes_in),
            *exposition.counters("control_bytes_out", meter.bytes_out),
            *exposition.counters("bytes_between_data_centres", meter.remote_byte_counts),
            *exposition.counters("faults", meter.faults),
            *exposition.counters("invariant_violations", invariants.violations_by_name),
            exposition.gauge("version_in_force", state.snapshot.version),
            exposition.gauge("ready", versions.is_ready(state)),
            exposition.gauge("members", len(membership.reachable(self._control.view))),
            exposition.gauge("slots", sum(gate.slots for gate in gates)),
            exposition.gauge("running", sum(len(gate.running_by_attempt) for gate in gates)),
            exposition.gauge("cut_off", sum(len(gate.cuts_by_attempt) for gate in gates)),
            exposition.gauge("waiting", sum(len(gate.queue) for gate in gates)),
            exposition.gauge(
                "rate_limited", sum(rate_limit.is_limited(gate.rate_limit) for gate in gates)
            ),
            *exposition.histograms(self._calls.histograms.rows()),
        ]
        use = self._calls.organisation_use
        if use is not None:
            lines += exposition.organisations(use.counters(), use.histogram_rows())
        return "\n".join([*lines, ""]).encode()

    async def _version(self, query: Query, body: bytes) -> tuple[int, Any]:
        return 200, self._own_version()

    def _own_version(self) -> dict[str, Any]:
        state = self._control.versions
        return {
            "address": self._control.view.me.address,
            "data_centre": self._control.view.me.data_centre,
            "ready": versions.is_ready(state),
            "in_force": state.snapshot.version,
            "known": state.catalogue.version,
            "digest": state.snapshot.digest,
            "floor": state.floor,
            "applied_at": state.applied_at_by_version.get(state.snapshot.version),
            "rejected": {
                str(version): [str(problem) for problem in problems]
                for version, problems in state.rejected_by_version.items()
            },
            **self._reader.describe(),
        }

    async def _status(self, query: Query, body: bytes) -> tuple[int, Any]:
        view = self._control.view
        members = [
            {
                "address": m.address,
                "admin": m.admin,
                "data_centre": m.data_centre,
                "region": m.region,
                "status": m.status.name.lower(),
                "service": m.service,
                "server_state": m.server_state.name.lower(),
                "slots": m.slots,
                "software": m.software,
                "server": m.server,
                "version": m.version,
            }
            for member in sorted(view.members_by_address.values())
            for m in split_by_server(member)
        ]
        for member in members:
            if member["address"] == view.me.address:
                member["version"] = self._control.versions.snapshot.version
        return 200, {"me": self._own_version(), "members": members}

    async def _catalogue(self, query: Query, body: bytes) -> tuple[int, Any]:
        known = self._control.versions.catalogue
        items = {key: [item.revision, item.body] for key, item in known.items.items()}
        document = {"version": known.version, "digest": known.digest, "items": items}
        return 200, {**document, "file": to_file(known.items, known.version)}

    async def _history(self, query: Query, body: bytes) -> tuple[int, Any]:
        blobs = self._control.versions.deltas_by_version.values()
        deltas = [decode_delta(blob) for blob in blobs]
        for delta in deltas:
            for change in delta["changes"]:
                change["body"] = shown_body(change["key"], change["body"])
        return 200, deltas

    async def _organisations(self, query: Query, body: bytes) -> tuple[int, Any]:
        # Imported only here, to save memory.
        from hornbeamgw.core.organisations.validation import shown_digest
        from hornbeamgw.daemon import organisation_use

        versions_state = self._control.versions
        use = self._calls.organisation_use or organisation_use.OrganisationUse()
        snapshot, items = versions_state.snapshot, versions_state.built_items
        wanted = query.get("name")
        rows = [
            {
                **organisation._asdict(),
                "keys": [
                    shown_digest(digest)
                    for digest in items[f"{ORGANISATION}/{name}"].body["key_digests"]
                ],
                **use.describe(name),
                "quota": self.quota_of(name),
            }
            for name, organisation in sorted(snapshot.organisations_by_name.items())
            if wanted in (None, name)
        ]
        document = {
            "address": self._control.view.me.address,
            "version": snapshot.version,
            "organisations": rows,
            "unidentified": use.describe(organisation_use.UNIDENTIFIED),
            "latency": use.histogram_rows(),
        }
        return 200, document

    async def _timeline(self, query: Query, body: bytes) -> tuple[int, Any]:
        state = self._control.versions
        version = int(query.get("version", "0") or 0)
        arrival = state.arrivals_by_version.get(version)
        document: dict[str, Any] = {"address": self._control.view.me.address}
        document["data_centre"] = self._control.view.me.data_centre
        document["in_force_at"] = state.applied_at_by_version.get(version)
        document["in_force"] = state.snapshot.version
        document["waiting_for"] = self._reader.describe()["waiting_for"]
        blob = state.deltas_by_version.get(version)
        document["accepted_at"] = decode_delta(blob)["at_ms"] / 1000 if blob else None
        document["arrival"] = arrival._asdict() if arrival else None
        return 200, document

    async def _explain(self, query: Query, body: bytes) -> tuple[int, Any]:
        snapshot = self._control.versions.snapshot
        host, method = query.get("host", ""), query.get("method", "GET")
        route = match_route(snapshot, host, method, query.get("path", "/"))
        document: dict[str, Any] = {"version": snapshot.version}
        if route is None:
            known = sorted(snapshot.routes_by_host)
            why = f"no route takes {method} {query.get('path')!r} of host {host!r}"
            return 200, {**document, "route": None, "why": why, "hosts": known}
        members = list(self._control.view.members_by_address.values())
        endpoints = [
            {
                "address": m.address,
                "data_centre": m.data_centre,
                "status": m.status.name.lower(),
                "local": m.data_centre == self._control.view.me.data_centre,
                "slots": m.slots,
                "software": m.software,
            }
            for m in balancing.serving(members, route.service)
        ]
        why = f"longest prefix {route.prefix!r} of host {route.host!r} that takes {method}"
        document |= {"route": route.name, "why": why, "service": route.service}
        document |= {"entry": route.entry.name, "owner": route.entry.owner}
        document |= {"class": route.entry.traffic_class, "limits": route.entry.limits._asdict()}
        document |= {"idempotent": route.idempotent, "deadline_ms": route.deadline_ms}
        document |= {"priority": route.priority}
        if snapshot.organisations_by_name:
            document |= {"public": route.public, "organisation": "none"}
            if not route.public:
                document["organisation"] = self._explain_organisation(
                    snapshot, route, query.get("organisation", "")
                )
        return 200, {**document, "endpoints": endpoints}

    def _explain_organisation(self, snapshot: Snapshot, route: Route, name: str) -> str:
        """Return which organisation a request to a route that is not public would belong to."""
        if not name:
            return "that of the key; a request without one is refused with status 401"
        organisation = snapshot.organisations_by_name.get(name)
        if organisation is None:
            return f"{name}: not in the catalogue"
        return f"{name}, rank {rank(organisation, route, snapshot.usual_priority)}"

    async def _histograms(self, query: Query, body: bytes) -> tuple[int, Any]:
        return 200, self._calls.histograms.rows()

    async def _counters(self, query: Query, body: bytes) -> tuple[int, Any]:
        meter = self._control.meter
        # Imported only here, to save memory.
        import resource

        usage = resource.getrusage(resource.RUSAGE_SELF)
        return 200, {
            "at": time.time(),
            "pid": os.getpid(),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "rss_kb": usage.ru_maxrss,
            "bytes_in": meter.bytes_in,
            "bytes_out": meter.bytes_out,
            "messages_in": meter.messages_in,
            "messages_out": meter.messages_out,
            "faults": meter.faults,
            "invariants": invariants.violations_by_name,
            "calls": self._calls.counts,
            "gate": self._gates.counts,
            "quarantine": self._quarantine.counts,
            "quotas": self.quota_counts,
            "platform_reads": self._reader.reads,
            "members": len(membership.reachable(self._control.view)),
            "gossip_left": len(self._control.view.gossip_left_by_address),
            "in_force": self._control.versions.snapshot.version,
            "dangling_routes": invariants.dangling_routes(self._control.versions.snapshot),
        }

    async def _get_quarantine(self, query: Query, body: bytes) -> tuple[int, Any]:
        now = asyncio.get_running_loop().time()
        state = self._quarantine.state
        return 200, [
            {
                "fingerprint": as_text(fingerprint),
                "refused_for_s": round(max(0.0, period.until - now), 1),
                "ends": [
                    address for address, _ in state.report_ids_by_fingerprint.get(fingerprint, ())
                ],
            }
            for fingerprint, period in state.periods_by_fingerprint.items()
        ]

    async def _get_rollouts(self, query: Query, body: bytes) -> tuple[int, Any]:
        return 200, self._rollouts.describe()

    async def _edit(self, query: Query, body: bytes) -> tuple[int, Any]:
        try:
            edit = msgspec.json.decode(body, type=Edit)
        except msgspec.MsgspecError as error:
            return 400, {"error": f"edit: {error}"}
        if self._committer is None:
            return 409, {"error": "edits: this fleet's catalogue comes from outside; edit it there"}
        # Imported only here, since daemons that watch a row support no edits.
        from hornbeamgw.daemon.committer import Committed

        outcome = await self._committer.commit(edit)
        if isinstance(outcome, Committed):
            log.info("edit accepted", extra={"edit": edit["edit_id"], "version": outcome.version})
            return 200, {"version": outcome.version}
        if isinstance(outcome, Rejection):
            problems = [problem._asdict() for problem in outcome.problems]
            conflicts = [conflict._asdict() for conflict in outcome.conflicts]
            log.info("edit refused", extra={"edit": edit["edit_id"]})
            return 409, {"problems": problems, "conflicts": conflicts}
        detail = {"verdict": "may_have_run", "detail": outcome.detail}
        return 503, {**detail, "what_to_do": "send the same edit id again"}

    async def _announce(self, query: Query, body: bytes) -> tuple[int, Any]:
        try:
            document = msgspec.json.decode(body)
        except msgspec.MsgspecError as error:
            return 400, {"error": f"announce: {error}"}
        values, problems = check_mapping(document, AnnouncementBody, "announce")
        if problems:
            return 400, {"problems": _lines(problems)}
        ttl = values.get("ttl_ms", DEFAULT_TTL_MS) / 1000
        announcement = Announcement(
            values["service"],
            values["address"],
            values["slots"],
            values["connections"],
            ServerState[values["state"].upper()],
            asyncio.get_running_loop().time() + ttl,
            values.get("instance", ""),
        )
        try:
            self._gates.announce(announcement)
        except ValueError as error:
            return 400, {"error": f"announce: {error}"}
        return 200, {"renew_within_ms": values.get("ttl_ms", DEFAULT_TTL_MS)}

    async def _drain(self, query: Query, body: bytes) -> tuple[int, Any]:
        """Drain the backend servers and respond once no request is in flight at them."""
        self._gates.drain("asked by an operator")
        await self._gates.wait_idle()
        return 200, {"drained": True}


def _lines(problems: list[Problem]) -> list[str]:
    return [str(problem) for problem in problems]
