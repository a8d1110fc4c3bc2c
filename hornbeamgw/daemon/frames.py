"""Frames: the typed messages on a TCP link between two daemons.

The lower-case names of the types are labels of the metric `bytes_between_data_centres`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from hornbeamgw.core import fingerprint
from hornbeamgw.core.declaration import Heard
from hornbeamgw.core.departures import LeftRun
from hornbeamgw.core.membership import Member
from hornbeamgw.core.snapshot import Limits
from hornbeamgw.core.verdict import Failure

NO_OBJECTIVE_MS = 3_600_000
NO_LIMITS = Limits(0, 0, 0)


class Hello(NamedTuple):
    """First frame of each side of a link."""

    fleet: str
    member: str
    incarnation: int
    data_centre: str = ""


class Heartbeat(NamedTuple):
    """Keep-alive frame; one that expects a reply is answered by one that doesn't."""

    expects_reply: bool


class Call(NamedTuple):
    """Start of an attempt: the head of the request and the first part of its body.

    Attributes
    ----------
    end : bool
        Whether `body` is complete.
    remaining_objective_ms : int
        Time until the latency objective is exceeded; negative if it is exceeded already.
    latency_objective_ms : int
        Latency objective of the route.
    is_retry : bool
        Whether the caller retries after a refusal.
    repeat : bool
        Whether an earlier attempt of the same call has reached a backend server.
    limits : Limits
        Limits of the catalogue entry, used by a receiver without a catalogue.
    fingerprint : int
        Hash of the request, 0 if unknown.
    server : int
        Number of the backend server on the receiver's VM.
    typical_service_ms : int
        Typical service time of the route, 0 if unknown.
    heard : Heard or None
        What the server declared in its last answer to the sender.
    former_work_ms : int
        How long requests of the sender may go on that it had sent through the receiver's former
        process, 0 if there are none.
    organisation : str
        Name of the caller's organisation, empty if there is none.
    key_digest : bytes
        SHA-256 digest of the caller's key, empty without an organisation.
    identified_by : int
        Catalogue version by which the organisation was identified.
    accepts_late : bool
        Whether the request may wait although it can't be in time, since no better server is known.
    """

    attempt: int
    call_id: str
    service: str
    entry: str
    idempotent: bool
    deadline_ms: int
    retry_budget: int
    head: bytes
    body: bytes
    end: bool
    route: str = ""
    remaining_objective_ms: int = NO_OBJECTIVE_MS
    latency_objective_ms: int = 1000
    priority: int = 0
    is_retry: bool = False
    repeat: bool = False
    limits: Limits = NO_LIMITS
    fingerprint: int = fingerprint.UNKNOWN
    server: int = 0
    typical_service_ms: int = 0
    heard: Heard | None = None
    former_work_ms: int = 0
    organisation: str = ""
    key_digest: bytes = b""
    identified_by: int = 0
    accepts_late: bool = False


class Body(NamedTuple):
    """Further part of a body; `leaving` tells the peer that the sender is stopping."""

    attempt: int
    data: bytes
    end: bool
    leaving: bool = False


class Reply(NamedTuple):
    """Head of a response and the first part of its body.

    Attributes
    ----------
    end : bool
        Whether `body` is complete.
    free_slots, wait_ms : int
        Load of the backend server: its free slots and the expected wait of a new request.
    service_ms : int
        Time for which this request occupied its slot.
    declared : Heard or None
        What the server declares.
    """

    attempt: int
    status: int
    head: bytes
    body: bytes
    end: bool
    free_slots: int
    wait_ms: int = 0
    service_ms: int = 0
    declared: Heard | None = None


class Refusal(NamedTuple):
    """End of an attempt without a response."""

    attempt: int
    failure: Failure
    free_slots: int
    wait_ms: int = 0


class Credit(NamedTuple):
    """Permission to send `size` more bytes of a body, with priority if `urgent`."""

    attempt: int
    size: int
    urgent: bool = False


class Cancel(NamedTuple):
    """Cancellation of an attempt by the caller's daemon."""

    attempt: int


class Question(NamedTuple):
    """Query for the outcome of an attempt whose link was lost; answered by a Resolution.

    `age_ms` is the time since the attempt started.
    """

    attempt: int
    age_ms: int
    server: int = 0


class Resolution(NamedTuple):
    """Answer to a Question: whether the attempt may have run."""

    attempt: int
    may_have_run: bool


class OutlookRequest(NamedTuple):
    """Query for the expected wait of a request, without admitting it; answered by an Outlook."""

    number: int
    service: str
    entry: str
    route: str
    deadline_ms: int
    remaining_objective_ms: int
    latency_objective_ms: int
    priority: int
    is_retry: bool
    server: int = 0
    accepts_late: bool = False
    organisation: str = ""


class Outlook(NamedTuple):
    """Answer to an OutlookRequest.

    It contains the expected wait if the request would be admitted, otherwise when to retry.
    """

    number: int
    takes: bool
    free_slots: int
    wait_ms: int
    retry_after_ms: int = 0


class Pull(NamedTuple):
    """Request for the changes after a catalogue version."""

    version: int


class Deltas(NamedTuple):
    """Answer to a Pull with consecutive deltas."""

    blobs: Sequence[bytes]


class WholeCatalogue(NamedTuple):
    """Answer to a Pull with a complete catalogue snapshot."""

    blob: bytes


class ViewRequest(NamedTuple):
    """Request for a membership view, with the sender's own record."""

    member: Member


class View(NamedTuple):
    """Answer to a ViewRequest with all members known to the sender."""

    members: Sequence[Member]


class FloorRequest(NamedTuple):
    """Request for the lowest catalogue version that the daemon at an address may apply."""

    address: str


class Floor(NamedTuple):
    """Answer to a FloorRequest; `confirmed` if read from the platform after the request."""

    version: int
    confirmed: bool


class Departures(NamedTuple):
    """Runs of the sender's servers that leave, or the answer with all that is kept of them.

    An answer `is_reliable` if its sender was running before anything could have been told to it
    that still matters.
    """

    runs: tuple[LeftRun, ...]
    is_reliable: bool


Frame = (
    Hello
    | Heartbeat
    | Call
    | Body
    | Reply
    | Refusal
    | Credit
    | Cancel
    | Question
    | Resolution
    | Pull
    | Deltas
    | WholeCatalogue
    | ViewRequest
    | View
    | FloorRequest
    | Floor
    | OutlookRequest
    | Outlook
    | Departures
)
