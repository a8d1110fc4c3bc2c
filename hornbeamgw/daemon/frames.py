"""Frames: the typed messages on a TCP link between two daemons."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from hornbeamgw.core import fingerprint
from hornbeamgw.core.membership import Member
from hornbeamgw.core.snapshot import Limits
from hornbeamgw.core.verdict import Failure

NO_OBJECTIVE_MS = 3_600_000
NO_LIMITS = Limits(0, 0, 0)


class Hello(NamedTuple):
    """Open a link: the first frame of either side."""

    fleet: str
    member: str
    incarnation: int
    data_centre: str = ""


class Heartbeat(NamedTuple):
    """Show that a link is alive; one that asks is answered by one that does not."""

    expects_reply: bool


class Call(NamedTuple):
    """Ask for an attempt: the head of the request and the start of its body.

    The objective (ms) is what is left of it, and the aim its whole; what is left may be negative.
    The limits are those of the entry in the caller's snapshot, for a receiver that has none yet.
    The fingerprint is that of the request, 0 where the caller's daemon tells none. The server is
    known by its number beside the receiver. What such a request typically takes (ms) is 0 where the
    caller's daemon has seen none.
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


class Body(NamedTuple):
    """Carry more of a request's or a reply's body; a sender that is leaving needs it taken soon."""

    attempt: int
    data: bytes
    end: bool
    leaving: bool = False


class Reply(NamedTuple):
    """Carry the head and the start of the body of an answer.

    With it goes how long a newcomer would wait there, and how long this one held its slot (ms).
    """

    attempt: int
    status: int
    head: bytes
    body: bytes
    end: bool
    free_slots: int
    wait_ms: int = 0
    service_ms: int = 0


class Refusal(NamedTuple):
    """End an attempt without an answer."""

    attempt: int
    failure: Failure
    free_slots: int
    wait_ms: int = 0


class Credit(NamedTuple):
    """Let the other side send more of a body (bytes); an urgent one goes before others."""

    attempt: int
    size: int
    urgent: bool = False


class Cancel(NamedTuple):
    """Give up an attempt."""

    attempt: int


class Question(NamedTuple):
    """Ask what became of an attempt whose link was lost."""

    attempt: int
    age_ms: int
    server: int = 0


class Resolution(NamedTuple):
    """Answer a question: whether the attempt may have run."""

    attempt: int
    may_have_run: bool


class OutlookRequest(NamedTuple):
    """Ask what a request could expect at a gate; nothing is admitted or kept by it."""

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


class Outlook(NamedTuple):
    """Answer whether a request would be taken, the wait there, and else when to come back (ms)."""

    number: int
    takes: bool
    free_slots: int
    wait_ms: int
    retry_after_ms: int = 0


class Pull(NamedTuple):
    """Ask for what follows a version."""

    version: int


class Deltas(NamedTuple):
    """Answer a pull with consecutive deltas."""

    blobs: Sequence[bytes]


class WholeCatalogue(NamedTuple):
    """Answer a pull with a whole catalogue."""

    blob: bytes


class ViewRequest(NamedTuple):
    """Join or reconcile: one's own record, answered by a view."""

    member: Member


class View(NamedTuple):
    """Carry every member that the sender knows."""

    members: Sequence[Member]


class FloorRequest(NamedTuple):
    """Ask below which version the daemon at an address must not go."""

    address: str


class Floor(NamedTuple):
    """Answer with a version; confirmed by a read of the platform begun after the request."""

    version: int
    confirmed: bool


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
)
