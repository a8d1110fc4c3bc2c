"""Evidence: whether a new version of a service answers worse than the servers of before.

The daemon beside a server counts what became of the requests that ran there, route by route. Each
count of the new version is set against what is seen at the servers of before at the same time: how
many answers would be bad if the versions were alike. What lies beyond that is measured in standard
deviations, over all that was seen and over the last seconds, for a version may turn bad later; over
all routes and for each, for it may be bad on one alone. A server can be slow or broken by itself,
so the few that did worst count no more than the next.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Mapping
from typing import NamedTuple

from hornbeamgw.core.tally import Count, Tally

# So many standard deviations condemn a version at once; it is looked at many times a second.
ROLLBACK_DEVIATIONS = 5.0
# At the decision, which is made once, so many are too many to go on.
DOUBT_DEVIATIONS = 2.0
# Of few servers one may be all that met what the version fails at, so at the decision one more of
# the worst counts in full; so many are too many then.
DOUBT_DEVIATIONS_WITH_ONE_MORE = 2.25
# Of many routes one looks bad by chance more often.
ROUTE_ALLOWANCE_DEVIATIONS = 0.5
MIN_BAD_RATIO = 0.02
MAX_BAD_RATIO = 0.5
# What is seen beside is forgotten within some seconds, since bursts and faults come and go.
BASELINE_HALF_LIFE_S = 2.0
BASELINE_PRIOR_ANSWERS = 40.0
RECENT_S = 3.0
# Servers that may be faulty by themselves, as a part of all that run the version.
FAULTY_SERVER_RATIO = 0.15
# Few answers scatter more than their variance says.
EXTRA_VARIANCE = 0.5
# So many answers of the new version must have been seen before it can be called good.
MIN_ANSWERS = 12

ALL_ROUTES = ""


class _Baseline:
    def __init__(self, now: float) -> None:
        self.answers = 0.0
        self.bad = 0.0
        self.at = now

    def add(self, count: Count, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self.at) / BASELINE_HALF_LIFE_S)
        self.answers = self.answers * kept + count.answers
        self.bad = self.bad * kept + count.bad
        self.at = now


class _Sample(NamedTuple):
    """Hold answers of one server on one route, and what was to be expected of them."""

    at: float
    server: str
    route: str
    excess: float  # bad answers more than expected
    variance: float


class _Sums:
    """Hold sums for each route and server."""

    def __init__(self) -> None:
        self.excess_by_route: dict[str, dict[str, float]] = {}
        self.variance_by_route: dict[str, float] = {}

    def add(self, added: _Sample, sign: int = 1) -> None:
        for route in (added.route, ALL_ROUTES):
            excess_by_server = self.excess_by_route.setdefault(route, {})
            known = excess_by_server.get(added.server, 0.0)
            excess_by_server[added.server] = known + sign * added.excess
            variance = self.variance_by_route.get(route, 0.0)
            self.variance_by_route[route] = variance + sign * added.variance


class Degradation(NamedTuple):
    """Hold how far a version answers worse, in standard deviations, and on which route.

    With one more is how far it is where one more of the worst servers counts in full.
    """

    deviations: float
    route: str = ALL_ROUTES
    with_one_more: float = -math.inf


class AnalysisState:
    """Hold what was reported of the servers of one service during one rollout."""

    def __init__(self, target: str) -> None:
        """Take the version that is rolled out."""
        self.target = target
        self.new = Count()
        self.old = Count()
        self.tallies_by_server: dict[str, Tally] = {}
        self.baselines_by_route: dict[str, _Baseline] = {}
        self.recent: deque[_Sample] = deque()
        self.sums = _Sums()
        self.recent_sums = _Sums()


def _count_since(now: Count, before: Count) -> Count:
    """Return what was counted since; a count that fell was begun anew."""
    if now.answers < before.answers or now.bad < before.bad:
        return now
    return Count(now.answers - before.answers, now.bad - before.bad)


def _sum_counts(one: Count, other: Count) -> Count:
    return Count(one.answers + other.answers, one.bad + other.bad)


def record_tally(state: AnalysisState, server: str, tally: Tally, now: float) -> None:
    """Take what was counted at a server; one that was lost is made up for by the next."""
    held = state.tallies_by_server.get(server)
    known = {} if held is None or held.software != tally.software else held.counts_by_route
    state.tallies_by_server[server] = tally
    if held is None and tally.software != state.target:
        return  # What was counted before the order came is no news.
    for route, count in tally.counts_by_route.items():
        added = _count_since(count, known.get(route, Count()))
        if not added.answers:
            continue
        if tally.software == state.target:
            state.new = _sum_counts(state.new, added)
            _add_sample(state, server, route, added, now)
        else:
            state.old = _sum_counts(state.old, added)
            for name in (route, ALL_ROUTES):
                baseline = state.baselines_by_route.setdefault(name, _Baseline(now))
                baseline.add(added, now)


def _baseline_bad_ratio(state: AnalysisState, route: str) -> float:
    """Return which part of the answers on a route is bad beside; few answers say less than all."""
    overall = state.baselines_by_route.get(ALL_ROUTES)
    if overall is None:
        return MIN_BAD_RATIO
    general = (overall.bad + MIN_BAD_RATIO * BASELINE_PRIOR_ANSWERS) / (
        overall.answers + BASELINE_PRIOR_ANSWERS
    )
    seen = state.baselines_by_route.get(route, overall)
    share = (seen.bad + general * BASELINE_PRIOR_ANSWERS) / (seen.answers + BASELINE_PRIOR_ANSWERS)
    return min(MAX_BAD_RATIO, max(MIN_BAD_RATIO, share))


def _add_sample(state: AnalysisState, server: str, route: str, count: Count, now: float) -> None:
    share = _baseline_bad_ratio(state, route)
    expected = count.answers * share
    added = _Sample(now, server, route, count.bad - expected, expected * (1 - share))
    state.sums.add(added)
    state.recent_sums.add(added)
    state.recent.append(added)


def _expire_recent(state: AnalysisState, now: float) -> None:
    while state.recent and now - state.recent[0].at > RECENT_S:
        state.recent_sums.add(state.recent.popleft(), -1)


def _deviations(excess_by_server: Mapping[str, float], variance: float, faulty: int) -> float:
    """Return how far servers lie beyond what was seen beside, where some may be faulty."""
    ordered = sorted(excess_by_server.values())
    most = ordered[-1 - faulty] if faulty < len(ordered) else 0.0
    excess = sum(min(most, value) for value in ordered)
    return excess / math.sqrt(max(0.0, variance) + EXTRA_VARIANCE)


def measure_degradation(state: AnalysisState, servers: Collection[str], now: float) -> Degradation:
    """Return how far the version answers worse; the servers are those that run it."""
    _expire_recent(state, now)
    faulty = 0 if len(servers) < 2 else math.ceil(FAULTY_SERVER_RATIO * len(servers))
    fewer = max(0, faulty - 1)
    found, with_one_more = Degradation(-math.inf), -math.inf
    for sums in (state.sums, state.recent_sums):
        for route, excess_by_server in sums.excess_by_route.items():
            variance = sums.variance_by_route[route]
            allowance = ROUTE_ALLOWANCE_DEVIATIONS if route else 0.0
            deviations = _deviations(excess_by_server, variance, faulty) - allowance
            found = max(found, Degradation(deviations, route))
            more = _deviations(excess_by_server, variance, fewer) - allowance
            with_one_more = max(with_one_more, more)
    found = found._replace(with_one_more=with_one_more)
    return found


def has_enough_answers(state: AnalysisState) -> bool:
    """Return whether so much was seen of the version that it can be called good."""
    return state.new.answers >= MIN_ANSWERS
