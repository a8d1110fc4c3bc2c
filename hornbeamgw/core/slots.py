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

# Mean service time that is assumed before the first measurement.
INITIAL_SERVICE_TIME_S = 0.005


class AttemptId(NamedTuple):
    """Id of an attempt: address and incarnation of the daemon that makes it, and a number."""

    member: str
    incarnation: int
    number: int


class Request(NamedTuple):
    """Properties of one attempt at a request, as used by admission.

    Attributes
    ----------
    deadline, objective, arrived_at : float
        Points in time (s) on the clock that is passed to admission as `now`. `objective` is the
        time at which the latency objective ends, counted from the caller's first try.
    latency_objective : float
        Latency objective of the route, in seconds.
    priority : int
        Rank of the request; lower values are more urgent.
    is_retry : bool
        Whether the caller retries after a refusal.
    transfer : float
        Expected time in seconds to send the answer from this VM.
    organisation : str
        Name of the caller's organisation, empty if there is none.
    accepts_late : bool
        Whether the request may wait although it can't be in time, since no better server is known.
    is_late : bool
        Whether the request was queued behind all that can be in time.
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
    organisation: str = ""
    accepts_late: bool = False
    is_late: bool = False


class AttemptStatus(enum.StrEnum):
    """State of an attempt at a request, as recorded by admission.

    An attempt that is FENCED was reported as not run, and is refused if it arrives later.
    """

    REFUSED = "refused"
    RUNNING = "running"
    FINISHED = "finished"
    FENCED = "fenced"


class Admitted(NamedTuple):
    """Decision that a request starts now."""

    request: Request


class Queued(NamedTuple):
    """Decision that a request waits until a slot is free."""

    request: Request


class Refused(NamedTuple):
    """Decision that a request is refused.

    `failure` states whether the request may have run: a copy of it may have been admitted earlier.
    """

    request: Request
    failure: Failure


Decision = Admitted | Queued | Refused


class Outlook(NamedTuple):
    """Forecast of the admission decision on a request.

    `would_admit` is whether the request would be admitted or queued, and `wait` its expected wait
    in seconds. If it would be refused, `retry_after_ms` is the delay before a retry.
    """

    would_admit: bool
    wait: float
    retry_after_ms: int = 0


class QueuePolicy(NamedTuple):
    """Functions of a queue policy.

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
    kept_slots : callable
        Return how many free slots are kept for requests that are more urgent than this one.
    queued : callable
        Return a request as it is queued, given that it may be.
    """

    may_start: Callable[[AdmissionState, Request, float], bool]
    refusal: Callable[[AdmissionState, Request, float], Reason | None]
    order: Callable[[AdmissionState, float], list[Request]]
    too_late: Callable[[AdmissionState, float], list[Request]]
    retry_after: Callable[[AdmissionState, Request, float], float]
    wait: Callable[[AdmissionState, Request, float], float]
    kept_slots: Callable[[AdmissionState, Request, float], int]
    queued: Callable[[AdmissionState, Request, float], Request]


policies_by_name: dict[str, QueuePolicy] = {}


class AttemptRecord(NamedTuple):
    """Latest status of an attempt, and the time (s) at which it was set."""

    status: AttemptStatus
    at: float


class RouteSlack(NamedTuple):
    """How long requests of a route can wait for a slot, and their expected service time.

    Both are in seconds and were determined when the route's last request arrived, at `seen_at` (s).
    """

    slack: float
    expected_service_time: float
    priority: int
    seen_at: float


class SlotUse(NamedTuple):
    """Average number of slots used by requests of a route, as of the time `at` (s)."""

    slots: float
    at: float


class RateLimitState:
    """Rate limit of a backend server, and the token bucket that enforces it.

    Attributes
    ----------
    limit : float or None
        Requests per second that the server takes; None if it has declared no limit.
    tokens, tokens_at : float
        Number of tokens in the bucket at a time (s).
    named_at : float
        Time (s) of the last answer that declared a limit.
    seen_at_by_priority, retry_at_by_priority : dict
        Time (s) of the last request of each priority, and the latest time at which a refused
        caller was asked to retry.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self.limit: float | None = None
        self.tokens = 0.0
        self.tokens_at = 0.0
        self.named_at = -math.inf
        self.seen_at_by_priority: dict[int, float] = {}
        self.retry_at_by_priority: dict[int, float] = {}


class CutRequest(NamedTuple):
    """A request that was cut off before its answer was complete.

    Attributes
    ----------
    route : str
        Name of its route.
    started_at, cut_at : float
        Times (s) at which it was sent to the server and cut off.
    typical : float
        Service time in seconds that is expected of the route without a measurement.
    closed_at : float or None
        Time (s) at which the server closed the connection; None if it is still open.
    alive_at : float or None
        Time (s) of the server's first sign of life after the expected end of the request.
    """

    route: str
    started_at: float
    cut_at: float
    typical: float
    closed_at: float | None = None
    alive_at: float | None = None


class ServerHabits:
    """What is known of how one run of a backend server treats requests that are cut off.

    Attributes
    ----------
    stops_on_close : bool
        Whether it stops the work on a request when its connection is closed.
    has_cut_any : bool
        Whether a request was cut off at this run of the server.
    evidence : float
        How much more likely the health checks that were answered are if the server stops the work
        than if it goes on.
    checks_waited : int
        Number of health checks that were seen to wait for a slot.
    is_check_useless : bool
        Whether a health check has been seen not to wait for one.
    next_check_at : float
        Earliest time (s) of the next health check.
    alive_at : float
        Time (s) of its last sign of life, such as an answer or an announcement.
    """

    def __init__(self) -> None:
        """Start without knowledge."""
        self.stops_on_close = False
        self.has_cut_any = False
        self.evidence = 1.0
        self.checks_waited = 0
        self.is_check_useless = False
        self.next_check_at = -math.inf
        self.alive_at = -math.inf


class FormerWork:
    """What is known of the requests that a former process of this daemon left at a server run.

    Attributes
    ----------
    usable_slots : int
        Number of requests of this process for which health checks have shown free slots.
    is_checkable : bool
        Whether health checks of the server take a slot.
    was_full : bool
        Whether the last check was not answered at once.
    next_check_at : float
        Earliest time (s) of the next check.
    checks : int
        Number of checks that were sent.
    started : int
        Number of requests that were started because of checks.
    """

    def __init__(self) -> None:
        """Start without knowledge."""
        self.usable_slots = 0
        self.is_checkable = False
        self.was_full = False
        self.next_check_at = -math.inf
        self.checks = 0
        self.started = 0


class ActiveOrganisation(NamedTuple):
    """Weight of an organisation, and the time (s) of its last request."""

    weight: float
    seen_at: float


class FairnessState:
    """Virtual times (s) of a server and of the organisations that use it.

    Attributes
    ----------
    weights_by_organisation : mapping
        Weight of each organisation relative to the mean; 1 if missing.
    virtual_time, advanced_at : float
        Virtual time of the server at a time (s).
    active_by_organisation : dict
        Organisations with recent demand, the longest ago first.
    active_weight : float
        Sum of their weights.
    finish_by_organisation : dict
        Virtual time at which each organisation has had what was started for it. Those that are not
        ahead of `virtual_time` may be missing.
    prune_at : int
        Number of organisations at which those are removed.
    """

    def __init__(self, weights_by_organisation: Mapping[str, float] | None = None) -> None:
        """Start without requests of organisations."""
        self.weights_by_organisation = weights_by_organisation or {}
        self.virtual_time = self.advanced_at = 0.0
        self.active_by_organisation: dict[str, ActiveOrganisation] = {}
        self.active_weight = 0.0
        self.finish_by_organisation: dict[str, float] = {}
        self.prune_at = 64


class AdmissionState:
    """State that one run of a backend server has announced, and its running and queued requests.

    Attributes
    ----------
    service : str
        Service of the server, which does not change.
    records_by_attempt : OrderedDict
        Records of attempts, also of those at former runs.
    reserved_by_entry : mapping
        Number of slots reserved for each catalogue entry (an owner's traffic class and its limits).
    mean_service_time : float
        Moving average of the service time over all routes, in seconds.
    service_time_estimates : ServiceTimes
        Estimates of the service time for each route.
    slacks_by_route, slot_use_by_route : dict
        Slack and slot use of recently seen routes, for queue policies that protect short requests.
    timely_use : SlotUse or None
        Average number of slots used by requests that could be in time; None before the first one.
    warm_at : float
        Time (s) at which the warm-up of the server ends.
    rate_limit : RateLimitState
        Requests per second that the server takes.
    fairness : FairnessState
        Shares of organisations.
    habits : ServerHabits
        How the server treats requests that are cut off. These stay in `running_by_attempt` while
        they may use a slot.
    cuts_by_attempt : dict
        The requests in `running_by_attempt` that were cut off.
    former_work_until : float
        Time (s) until which the server may work on requests of this daemon's former process, which
        are not in `running_by_attempt`.
    former_work : FormerWork
        What health checks have shown of those requests.
    """

    def __init__(
        self,
        policy: str = "deadline",
        records_by_attempt: OrderedDict[AttemptId, AttemptRecord] | None = None,
    ) -> None:
        """Start without a backend server.

        `policy` names the queue policy. `records_by_attempt` may be shared with other runs.
        """
        self.service = ""
        self.slots = 0
        self.server_state = ServerState.NONE
        self.running_by_attempt: dict[AttemptId, Request] = {}
        self.running_count_by_entry: dict[str, int] = {}
        self.queue: list[Request] = []
        self.records_by_attempt: OrderedDict[AttemptId, AttemptRecord] = (
            OrderedDict() if records_by_attempt is None else records_by_attempt
        )
        self.reserved_by_entry: Mapping[str, int] = {}
        self.mean_service_time = INITIAL_SERVICE_TIME_S
        self.service_time_estimates = ServiceTimes()
        self.slacks_by_route: dict[str, RouteSlack] = {}
        self.slot_use_by_route: dict[str, SlotUse] = {}
        self.timely_use: SlotUse | None = None
        self.started_by_attempt: dict[AttemptId, float] = {}
        self.warm_at = 0.0
        self.rate_limit = RateLimitState()
        self.fairness = FairnessState()
        self.habits = ServerHabits()
        self.cuts_by_attempt: dict[AttemptId, CutRequest] = {}
        self.former_work_until = -math.inf
        self.former_work = FormerWork()
        self.policy = policies_by_name[policy]
