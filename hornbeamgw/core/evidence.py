"""Evidence: canary analysis of whether a new version of a service answers worse than the old.

The daemon next to each server counts good and bad answers per route. The counts of the new version
are compared with a baseline: the ratio of bad answers of the old servers at the same time. The
excess of bad answers is expressed in standard deviations, both since the start and over the last
seconds, as a version may turn bad later, and both per route and over all routes, as it may be bad
on one route only. A server may be slow or broken by itself, so the excess of the few worst servers
is capped at that of the next worst.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Mapping
from typing import NamedTuple

from hornbeamgw.core.tally import Count, Tally

# A version is rolled back at once at this many standard deviations. The threshold is high because
# it is checked many times a second.
ROLLBACK_DEVIATIONS = 5.0
# The version is rolled back at this many standard deviations when the rollout is decided. The
# threshold is lower, since this check is made only once.
DOUBT_DEVIATIONS = 2.0
# Threshold of the same check when the excess of one more of the worst servers is left uncapped
# (`Degradation.with_one_more`): if there are few servers, the failing requests may all have reached
# the same one, whose excess the cap would hide.
DOUBT_DEVIATIONS_WITH_ONE_MORE = 2.25
# Subtracted from the deviations of a single route: one of many routes may look bad by chance.
ROUTE_ALLOWANCE_DEVIATIONS = 0.5
# Limits of the baseline ratio of bad answers.
MIN_BAD_RATIO = 0.02
MAX_BAD_RATIO = 0.5
# The baseline decays quickly, since bursts and faults are transient.
BASELINE_HALF_LIFE_S = 2.0
# Weight, as a number of answers, of the ratio that is assumed before a route has answers.
BASELINE_PRIOR_ANSWERS = 40.0
# Length of the window in which recent answers are also evaluated separately.
RECENT_WINDOW_S = 3.0
# Fraction of the version's servers that may be faulty for reasons other than the version.
FAULTY_SERVER_RATIO = 0.15
# Added to the variance, which is too small an estimate for few answers.
EXTRA_VARIANCE = 0.5
# Answers of the new version that are required to accept it.
MIN_ANSWERS = 12

ALL_ROUTES = ""


class _Baseline:
    """Exponentially decaying counts of the old servers' answers on one route."""

    def __init__(self, now: float) -> None:
        self.answers = 0.0
        self.bad = 0.0
        self.at = now

    def add(self, count: Count, now: float) -> None:
        decay = 0.5 ** (max(0.0, now - self.at) / BASELINE_HALF_LIFE_S)
        self.answers = self.answers * decay + count.answers
        self.bad = self.bad * decay + count.bad
        self.at = now


class _Sample(NamedTuple):
    """New answers of one server on one route, compared with the baseline."""

    at: float
    server: str
    route: str
    excess: float  # bad answers minus expected bad answers
    variance: float


class _Sums:
    """Sums of the excess by route and server, and of the variance by route.

    Each sample is added to its own route and to `ALL_ROUTES`.
    """

    def __init__(self) -> None:
        self.excess_by_route: dict[str, dict[str, float]] = {}
        self.variance_by_route: dict[str, float] = {}

    def add(self, added: _Sample, sign: int = 1) -> None:
        """Add a sample, or remove it if the sign is -1."""
        for route in (added.route, ALL_ROUTES):
            excess_by_server = self.excess_by_route.setdefault(route, {})
            known = excess_by_server.get(added.server, 0.0)
            excess_by_server[added.server] = known + sign * added.excess
            variance = self.variance_by_route.get(route, 0.0)
            self.variance_by_route[route] = variance + sign * added.variance


class Degradation(NamedTuple):
    """How much worse a version answers, in standard deviations, and on which route.

    `with_one_more` is the number of standard deviations when the excess is capped for one server
    fewer, so that the excess of one more of the worst servers counts in full.
    """

    deviations: float
    route: str = ALL_ROUTES
    with_one_more: float = -math.inf


class EvidenceState:
    """Answers of the servers of one service during one rollout, from reported tallies.

    `new` and `old` are the counts of answers of the new version and of all other versions.
    """

    def __init__(self, target: str) -> None:
        """Create an empty state for the rollout of the version `target`."""
        self.target = target
        self.new = Count()
        self.old = Count()
        self.tallies_by_server: dict[str, Tally] = {}
        self.baselines_by_route: dict[str, _Baseline] = {}
        self.recent: deque[_Sample] = deque()
        self.sums = _Sums()
        self.recent_sums = _Sums()


def _count_since(now: Count, before: Count) -> Count:
    """Return the increase of a count; a count that decreased has been reset."""
    if now.answers < before.answers or now.bad < before.bad:
        return now
    return Count(now.answers - before.answers, now.bad - before.bad)


def _sum_counts(one: Count, other: Count) -> Count:
    return Count(one.answers + other.answers, one.bad + other.bad)


def record_tally(state: EvidenceState, server: str, tally: Tally, now: float) -> None:
    """Record the cumulative counts of a server, which make up for reports that were lost."""
    previous = state.tallies_by_server.get(server)
    known = (
        {} if previous is None or previous.software != tally.software else previous.counts_by_route
    )
    state.tallies_by_server[server] = tally
    if previous is None and tally.software != state.target:
        return  # These answers may have been given before the order.
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


def _baseline_bad_ratio(state: EvidenceState, route: str) -> float:
    """Return the baseline ratio of bad answers on a route.

    If the route has few answers, the ratio over all routes has more weight.
    """
    overall = state.baselines_by_route.get(ALL_ROUTES)
    if overall is None:
        return MIN_BAD_RATIO
    prior_ratio = (overall.bad + MIN_BAD_RATIO * BASELINE_PRIOR_ANSWERS) / (
        overall.answers + BASELINE_PRIOR_ANSWERS
    )
    route_baseline = state.baselines_by_route.get(route, overall)
    bad_ratio = (route_baseline.bad + prior_ratio * BASELINE_PRIOR_ANSWERS) / (
        route_baseline.answers + BASELINE_PRIOR_ANSWERS
    )
    return min(MAX_BAD_RATIO, max(MIN_BAD_RATIO, bad_ratio))


def _add_sample(state: EvidenceState, server: str, route: str, count: Count, now: float) -> None:
    bad_ratio = _baseline_bad_ratio(state, route)
    expected = count.answers * bad_ratio
    added = _Sample(now, server, route, count.bad - expected, expected * (1 - bad_ratio))
    state.sums.add(added)
    state.recent_sums.add(added)
    state.recent.append(added)


def _expire_recent(state: EvidenceState, now: float) -> None:
    while state.recent and now - state.recent[0].at > RECENT_WINDOW_S:
        state.recent_sums.add(state.recent.popleft(), -1)


def _deviations(excess_by_server: Mapping[str, float], variance: float, faulty: int) -> float:
    """Return the total excess in standard deviations.

    The excess of the `faulty` worst servers is capped at that of the next worst.
    """
    ordered = sorted(excess_by_server.values())
    cap = ordered[-1 - faulty] if faulty < len(ordered) else 0.0
    excess = sum(min(cap, value) for value in ordered)
    return excess / math.sqrt(max(0.0, variance) + EXTRA_VARIANCE)


def measure_degradation(state: EvidenceState, servers: Collection[str], now: float) -> Degradation:
    """Return how much worse the version answers than the old one.

    `servers` are the keys of the servers that run the version; their number determines how many of
    the worst servers are capped.
    """
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


def has_enough_answers(state: EvidenceState) -> bool:
    """Return whether the new version has given enough answers to be accepted."""
    return state.new.answers >= MIN_ANSWERS
