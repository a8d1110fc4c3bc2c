"""Slots: admission state of one backend server, and the interface of queue policies."""

from __future__ import annotations

import enum
import math
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.service_times import ServiceTimes
from hornbeamgw.core.snapshot import Limits
from hornbeamgw.core.verdict import Failure, Reason

INITIAL_SERVICE_TIME_S = 0.005


class AttemptId(NamedTuple):
    """Identify an attempt by the daemon that makes it, its incarnation, and a number."""

    member: str
    incarnation: int
    number: int


class Request(NamedTuple):
    """Hold the properties of an attempt that admission uses.

    Attributes
    ----------
    deadline, objective, arrived_at : float
        Points in time (s) on the clock that is passed to admission as `now`. The objective is the
        time by which the answer should arrive, counted from the caller's first try.
    latency_objective : float
        Latency objective of the route, in seconds.
    priority : int
        Lower values are more urgent.
    is_retry : bool
        Whether the caller retries after a refusal.
    transfer : float
        Expected time in seconds to send the answer from this VM.
    """

    attempt: AttemptId
    entry: str
    limits: Limits
    deadline: float
    route: str = ""
    objective: float = math.inf
    latency_objective: float = 1.0
    priority: int = 0
    is_retry: bool = False
    transfer: float = 0.0
    arrived_at: float = 0.0


class AttemptStatus(enum.StrEnum):
    """Enumerate the states of an attempt that reached admission."""

    REFUSED = "refused"
    RUNNING = "running"
    FINISHED = "finished"
    FENCED = "fenced"


class Admitted(NamedTuple):
    """Decide that a request runs now."""

    request: Request


class Queued(NamedTuple):
    """Decide that a request waits until a slot is free."""

    request: Request


class Refused(NamedTuple):
    """Decide that a request is refused; `failure` says if an earlier copy may have run."""

    request: Request
    failure: Failure


Decision = Admitted | Queued | Refused


class Outlook(NamedTuple):
    """Hold whether a request would be admitted or queued, its wait (s), and else a retry delay."""

    would_admit: bool
    wait: float
    retry_after_ms: int = 0


class QueuePolicy(NamedTuple):
    """Hold the functions of a queue policy.

    Attributes
    ----------
    may_start : callable
        Return whether a request may take a free slot at once.
    refusal : callable
        Return why a request may not be queued, or None.
    order : callable
        Return the queued requests in the order in which they start.
    too_late : callable
        Return the queued requests to refuse because they would end too late.
    retry_after : callable
        Return the delay in seconds after which a refused request may find a slot.
    wait : callable
        Return the expected wait of a queued request in seconds.
    keeps_last_slot : callable
        Return whether the last free slot is kept for more urgent requests.
    """

    may_start: Callable[[AdmissionState, Request, float], bool]
    refusal: Callable[[AdmissionState, Request, float], Reason | None]
    order: Callable[[AdmissionState, float], list[Request]]
    too_late: Callable[[AdmissionState, float], list[Request]]
    retry_after: Callable[[AdmissionState, Request, float], float]
    wait: Callable[[AdmissionState, Request, float], float]
    keeps_last_slot: Callable[[AdmissionState, Request, float], bool]


policies_by_name: dict[str, QueuePolicy] = {}


class AttemptRecord(NamedTuple):
    """Hold the latest status of an attempt, and the time (s) it was set."""

    status: AttemptStatus
    at: float


class RouteSlack(NamedTuple):
    """Hold how long requests of a route can wait, their service time and the last arrival (s)."""

    slack: float
    expected_service_time: float
    priority: int
    seen_at: float


class SlotUse(NamedTuple):
    """Hold the average number of slots that a route used up to a time (s)."""

    slots: float
    at: float


class AdmissionState:
    """Hold a backend server's announced state, its running and its queued requests.

    Attributes
    ----------
    reserved_by_entry : mapping
        Number of slots reserved for requests of each catalogue entry.
    mean_service_time : float
        Moving average of the service time over all routes, in seconds.
    service_time_estimates : ServiceTimes
        Estimates of the service time for each route.
    slacks_by_route, slot_use_by_route : dict
        Recently seen routes, for queue policies that protect short requests.
    warm_at : float
        Time (s) from which the server is no longer cold.
    """

    def __init__(self, policy: str = "deadline") -> None:
        """Start without a backend server; `policy` names the queue policy."""
        self.service = ""
        self.slots = 0
        self.server_state = ServerState.NONE
        self.running_by_attempt: dict[AttemptId, Request] = {}
        self.running_count_by_entry: dict[str, int] = {}
        self.queue: list[Request] = []
        self.records_by_attempt: OrderedDict[AttemptId, AttemptRecord] = OrderedDict()
        self.reserved_by_entry: Mapping[str, int] = {}
        self.mean_service_time = INITIAL_SERVICE_TIME_S
        self.service_time_estimates = ServiceTimes()
        self.slacks_by_route: dict[str, RouteSlack] = {}
        self.slot_use_by_route: dict[str, SlotUse] = {}
        self.started_by_attempt: dict[AttemptId, float] = {}
        self.warm_at = 0.0
        self.policy = policies_by_name[policy]
