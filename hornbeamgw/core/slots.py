"""Slots: the backend server as it announced itself, what runs and waits there, and what did."""

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

FIRST_SERVICE_TIME_S = 0.005


class AttemptId(NamedTuple):
    """Identify one attempt of one daemon process."""

    member: str
    incarnation: int
    number: int


class Request(NamedTuple):
    """Hold what admission needs to know of an attempt; times as the clock of the caller shows.

    Its objective is the time by which an answer has its full worth, counted from the first time
    the caller asked. A caller that came back was refused before. The transfer (s) is what its
    answer takes to leave this VM once the server has given it.
    """

    attempt: AttemptId
    entry: str
    limits: Limits
    deadline: float
    route: str = ""
    objective: float = math.inf
    aim: float = 1.0
    priority: int = 0
    came_back: bool = False
    transfer: float = 0.0
    arrived: float = 0.0


class Fate(enum.StrEnum):
    """Say what became of an attempt that was decided here."""

    REFUSED = "refused"
    RUNNING = "running"
    FINISHED = "finished"
    FENCED = "fenced"


class Admitted(NamedTuple):
    """Let a request run now."""

    request: Request


class Queued(NamedTuple):
    """Hold a request until a slot is free."""

    request: Request


class Refused(NamedTuple):
    """Turn a request away; it does not run by this decision."""

    request: Request
    failure: Failure


Decision = Admitted | Queued | Refused


class Outlook(NamedTuple):
    """Tell whether a request would be taken, the wait (s), and else when there is room (ms)."""

    takes: bool
    wait: float
    retry_after_ms: int = 0


class QueuePolicy(NamedTuple):
    """Hold who may start, who may wait, who goes next, who gives up, and when there is room.

    The last slot that is free may be kept for more urgent requests. The time until there is room,
    and the wait of one that may wait, are in seconds from now.
    """

    may_start: Callable[[AdmissionState, Request, float], bool]
    refusal: Callable[[AdmissionState, Request, float], Reason | None]
    order: Callable[[AdmissionState, float], list[Request]]
    too_late: Callable[[AdmissionState, float], list[Request]]
    room_after: Callable[[AdmissionState, Request, float], float]
    wait: Callable[[AdmissionState, Request, float], float]
    keeps_last_slot: Callable[[AdmissionState, Request, float], bool]


policies_by_name: dict[str, QueuePolicy] = {}


class Decided(NamedTuple):
    """Hold what became of an attempt, and when."""

    fate: Fate
    at: float


class Slack(NamedTuple):
    """Hold how long (s) requests of a route can wait, and how long they hold a slot."""

    slack: float
    length: float
    priority: int
    seen_at: float


class Use(NamedTuple):
    """Hold how many slots a route used on average until a time (s)."""

    slots: float
    at: float


class AdmissionState:
    """Hold the backend server as it announced itself, and what runs and waits there."""

    def __init__(self, policy: str = "deadline") -> None:
        """Start without a backend server; take the policy of what may wait."""
        self.service = ""
        self.slots = 0
        self.server_state = ServerState.NONE
        self.running_by_attempt: dict[AttemptId, Request] = {}
        self.running_count_by_entry: dict[str, int] = {}
        self.queue: list[Request] = []
        self.fates_by_attempt: OrderedDict[AttemptId, Decided] = OrderedDict()
        self.reserved_by_entry: Mapping[str, int] = {}
        self.service_time = FIRST_SERVICE_TIME_S
        self.times = ServiceTimes()
        self.slacks_by_route: dict[str, Slack] = {}
        self.uses_by_route: dict[str, Use] = {}
        self.started_by_attempt: dict[AttemptId, float] = {}
        self.warm_at = 0.0
        self.policy = policies_by_name[policy]
