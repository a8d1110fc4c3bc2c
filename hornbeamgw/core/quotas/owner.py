"""Owner of quotas: meters the use of organisations that users report, and leases tokens.

Each organisation has a token bucket. A use is charged when it is reported, and a lease reserves
tokens until the next report of its user. Uses in any window then exceed `rate` x window + `burst`
by no more than the leases that the bucket does not cover, plus what users start without a lease.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from hornbeamgw.core.node import Lease, QuotaGrant, QuotaReport, Use
from hornbeamgw.core.quotas.quota import (
    Bound,
    Quota,
    Quotas,
    capacity,
    margin,
    partition_of,
)

# While an organisation is far below its quota, a lease has the tokens of this time at the user's
# recent rate, and replaces them at a higher rate than that.
FREE_LEASE_S = 2.0
FREE_GROWTH_RATIO = 1.3
FREE_MIN_LEASE = 1
FREE_VALID_S = 12.0
# Part of an organisation's rate that leases may replace tokens at.
FREE_RATE_RATIO = 0.9
# Part of the tokens and of the permitted overshoot that leases may take while an organisation is
# free. The rest covers requests that users start without a lease.
FREE_LEASED_RATIO = 0.85
FREE_MARGIN_RATIO = 0.85
# An organisation is free again after this time with a nearly full bucket.
MIN_METERED_S = 5.0
FREE_LEVEL_RATIO = 0.8
# A metered user reports once per interval. The interval grows with the number of users, so that
# an owner answers at most about this number of reports per second and organisation.
MAX_REPORTS_PER_S = 80.0
MIN_INTERVAL_S = 0.25
MAX_INTERVAL_S = 2.0
# Leases outlive the interval, so that one lost report doesn't leave a user without tokens.
METERED_VALID_INTERVALS = 2.0
# Demand of a user counts for this number of intervals after its report.
DEMAND_INTERVALS = 2.0
# A metered user with demand counts as cut off after so many intervals without a report. A report
# without demand comes when the demand has ended.
LOST_INTERVALS = 1.3
# A metered user whose organisation is within its quota gets this multiple of its demand.
DEMAND_HEADROOM_RATIO = 1.3
# Demand up to this multiple of the rate counts as within the quota, since it varies.
WITHIN_RATIO = 1.1
# Part of the permitted overshoot that metered leases may take.
METERED_MARGIN_RATIO = 0.15
# Unreserved tokens are handed out by halves, so that one user doesn't take those of all.
SURPLUS_RATIO = 0.5
# The former owner of an organisation over its quota may still be answering. Its new owner raises
# its rate from zero to all within this time. If no user has been over the quota recently, as after
# a start of the whole fleet, it grants the whole rate at once.
RAMP_S = 4.0
# It reaches what its users used recently within this time, at once if they were within the
# quota. A former owner that still answers others takes about as long to notice that these are gone,
# and grants their tokens to others until then.
RECENT_RAMP_S = 2.0
# Part of the capacity with which a new bucket starts. What was granted before is not known, so it
# isn't full; an empty one would refuse requests that are within the quota.
START_LEVEL_RATIO = 0.5
# An owner that didn't run for this time has been replaced by others, and starts anew.
STALL_S = 1.0
# After that, it ignores reports for this time: those that arrived meanwhile are out of date.
IGNORE_S = 0.1
# An owner that another one has replaced answers for this time, as other members may not know yet.
HANDOVER_S = 2.0
# Users without a report for this time are forgotten.
USER_RETENTION_S = 60.0
RATE_SMOOTHING_S = 2.0
SUM_INTERVAL_S = 0.1
RETRY_SPREAD_RATIO = 0.25


class User:
    """What an owner knows of one organisation at one user.

    `lease` are the tokens reserved until `expires_at`, replaced at `lease_rate`, and `assumed`
    those of an expired lease that were charged without a report. `demand` is in requests per
    second, and `recent` the requests of the last window.
    """

    def __init__(self, session: int, count: int) -> None:
        """Start with the first reported count of a session."""
        self.session = session
        self.count = count
        self.lease = 0
        self.lease_rate = 0.0
        self.is_metered = True
        self.is_told_free = False
        self.was_within = False
        self.expires_at = 0.0
        self.assumed = 0
        self.demand = 0.0
        self.recent = 0
        self.reported_at = -math.inf


class Bucket:
    """Token bucket of one organisation at its owner.

    `level` are the tokens not yet used, negative after more use than was leased; `leased` the sum
    of all leases, and `leased_rate` the sum of their rates.
    """

    def __init__(self, quota: Quota, level: float, now: float) -> None:
        """Start metered."""
        self.quota = quota
        self.level = level
        self.leased = 0
        self.leased_rate = 0.0
        self.at = now
        self.started_at = now
        self.is_free = False
        self.metered_at = now
        self.used_rate = 0.0
        self.users: dict[str, User] = {}
        self.lost_rate = 0.0
        self.swept_at = now
        self.total_demand = 0.0
        self.demanding_users = 0
        self.refused = 0


class OwnerState:
    """Buckets of the organisations that this daemon owns, and the reports received."""

    def __init__(self, bound: Bound) -> None:
        """Start without organisations."""
        self.bound = bound
        self.buckets_by_name: dict[str, Bucket] = {}
        # (session, sequence) of the last report, by sender and partition
        self.reports_by_user: dict[tuple[str, int], tuple[int, int]] = {}
        self.ran_at = -math.inf
        self.ignores_until = -math.inf


class Answer(NamedTuple):
    """Grant for the sender of a report, and organisations that are metered from now on."""

    grant: QuotaGrant
    newly_metered: Sequence[str]


def tick(state: OwnerState, now: float) -> None:
    """Record that this daemon runs; call several times per STALL_S."""
    if now - state.ran_at > STALL_S and state.ran_at > -math.inf:
        state.buckets_by_name.clear()
        state.reports_by_user.clear()
        state.ignores_until = now + IGNORE_S
    state.ran_at = now


def keep_only(state: OwnerState, names: set[str]) -> None:
    """Forget organisations other than the given ones."""
    for name in [name for name in state.buckets_by_name if name not in names]:
        del state.buckets_by_name[name]
    if not state.buckets_by_name:
        state.reports_by_user.clear()


def set_quotas(state: OwnerState, quotas: Quotas, now: float) -> list[str]:
    """Apply changed quotas; return the organisations that are metered because of this."""
    changed = []
    for name, bucket in list(state.buckets_by_name.items()):
        quota = quotas.get(name)
        if quota is None:
            del state.buckets_by_name[name]
        elif quota != bucket.quota:
            # Requests before the change are not held against the new quota.
            state.buckets_by_name[name] = _new_bucket(state, quota, now)
            changed.append(name)
    return changed


def receive(
    state: OwnerState,
    quotas: Quotas,
    sender: str,
    report: QuotaReport,
    share: float,
    now: float,
    rng: random.Random,
) -> Answer | None:
    """Handle a report; return None if it was received before or is out of order.

    `share` is the part of the fleet that this owner may grant tokens for.
    """
    tick(state, now)
    if now < state.ignores_until:
        return None
    session, sequence = state.reports_by_user.get((sender, report.partition), (0, 0))
    if session == report.session and report.sequence <= sequence:
        return None
    state.reports_by_user[sender, report.partition] = report.session, report.sequence
    leases, newly_metered = [], []
    for use in report.uses:
        quota = quotas.get(use.organisation)
        if quota is None:
            continue
        bucket = _bucket(state, use.organisation, quota, now)
        was_free = bucket.is_free
        _refill(bucket, state.bound, share, now)
        _sweep(bucket, state.bound.window_s, now)
        user = _charge(bucket, state.bound, sender, report.session, use, now)
        leases.append(_lease(bucket, state.bound, user, use, share, now, rng))
        if was_free and not bucket.is_free:
            newly_metered.append(use.organisation)
    leases += _freed(state, sender, report)
    grant = QuotaGrant(report.session, report.partition, report.sequence, leases)
    return Answer(grant, newly_metered)


def _freed(state: OwnerState, sender: str, report: QuotaReport) -> list[Lease]:
    """Return leases without tokens of organisations that are free, unknown to the user so far."""
    reported = {use.organisation for use in report.uses}
    leases = []
    for name, bucket in state.buckets_by_name.items():
        if not bucket.is_free or name in reported or partition_of(name) != report.partition:
            continue
        user = bucket.users.get(sender)
        if user is not None and not user.is_told_free:
            user.is_told_free = True
            leases.append(Lease(name, True, 0, 0, 0))
    return leases


def _bucket(state: OwnerState, name: str, quota: Quota, now: float) -> Bucket:
    bucket = state.buckets_by_name.get(name)
    if bucket is None:
        bucket = state.buckets_by_name[name] = _new_bucket(state, quota, now)
    return bucket


def _new_bucket(state: OwnerState, quota: Quota, now: float) -> Bucket:
    return Bucket(quota, START_LEVEL_RATIO * capacity(quota, state.bound), now)


def _rate(bucket: Bucket, bound: Bound, share: float, now: float) -> float:
    """Return the tokens per second that this owner grants.

    Users whose reports stay away are cut off and go on at their recent rate. Until a new owner has
    raised its rate, it grants what its users used recently.
    """
    age_s = now - bucket.started_at
    ramp = age_s / RAMP_S
    if not any(user.recent and not user.was_within for user in bucket.users.values()):
        ramp = 1.0
    if ramp < 1:
        part = min(1.0, age_s / RECENT_RAMP_S)
        recent = sum(
            user.recent * (FREE_GROWTH_RATIO if user.was_within else part)
            for user in bucket.users.values()
        )
        ramp = max(ramp, recent / bound.window_s / bucket.quota.rate)
    return max(0.0, bucket.quota.rate * min(1.0, ramp) * share - bucket.lost_rate)


def _refill(bucket: Bucket, bound: Bound, share: float, now: float) -> None:
    elapsed = max(0.0, now - bucket.at)
    bucket.at = max(now, bucket.at)
    gained = elapsed * _rate(bucket, bound, share, now)
    bucket.level = min(capacity(bucket.quota, bound), bucket.level + gained)
    bucket.used_rate *= math.exp(-elapsed / RATE_SMOOTHING_S)


def _sweep(bucket: Bucket, window_s: float, now: float) -> None:
    """Charge expired leases, forget absent users, and sum up demand and users cut off."""
    if now - bucket.swept_at < SUM_INTERVAL_S:
        return
    bucket.swept_at = now
    horizon_s = DEMAND_INTERVALS * _interval(bucket)
    lost_s = LOST_INTERVALS * _interval(bucket)
    bucket.total_demand, bucket.demanding_users, bucket.lost_rate = 0.0, 0, 0.0
    for key, user in list(bucket.users.items()):
        if user.lease and now >= user.expires_at:
            # Users return what is left of a metered lease, and nothing of others: a user that was
            # idle doesn't report.
            if user.is_metered:
                bucket.level -= user.lease
                user.assumed += user.lease
            _release(bucket, user)
        age = now - user.reported_at
        if age > USER_RETENTION_S:
            del bucket.users[key]
        elif user.demand and age <= horizon_s:
            bucket.total_demand += user.demand
            bucket.demanding_users += 1
        if user.demand and lost_s < age < window_s and not bucket.is_free:
            bucket.lost_rate += user.recent / window_s


def _interval(bucket: Bucket) -> float:
    """Return the time in seconds between two reports of a metered user."""
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, bucket.demanding_users / MAX_REPORTS_PER_S))


def _charge(bucket: Bucket, bound: Bound, sender: str, session: int, use: Use, now: float) -> User:
    user = bucket.users.get(sender)
    if user is not None and user.session != session:
        # The former process may have used its lease before it ended.
        bucket.level -= user.lease if user.is_metered else 0
        _release(bucket, user)
        user = None
    is_first = user is None
    if user is None:
        user = bucket.users[sender] = User(session, use.started)
        # What a new owner's users did before was metered by the former owner.
        is_new_owner = now - bucket.started_at < bound.window_s
        used = 0 if is_new_owner else use.recent
        elapsed = bound.window_s
    else:
        used = max(0, use.started - user.count)
        elapsed = now - user.reported_at
    bucket.used_rate += used / RATE_SMOOTHING_S
    _release(bucket, user)
    charged = used - user.assumed
    user.count, user.assumed = use.started, 0
    user.recent, user.reported_at = use.recent, now
    user.demand = use.wanted / max(elapsed, MIN_INTERVAL_S)
    if is_first:
        user.was_within = use.was_within
        user.demand = max(user.demand, use.recent / bound.window_s)
    bucket.refused += use.refused
    level = bucket.level - charged
    # Windows that ended are not made up for.
    lowest = -bucket.quota.rate * bound.window_s - margin(bucket.quota, bound)
    bucket.level = max(lowest, min(level, capacity(bucket.quota, bound)))
    return user


def _meter(bucket: Bucket, now: float) -> None:
    bucket.is_free = False
    bucket.metered_at = now
    for user in bucket.users.values():
        user.is_told_free = False


def _lease(
    bucket: Bucket,
    bound: Bound,
    user: User,
    use: Use,
    share: float,
    now: float,
    rng: random.Random,
) -> Lease:
    if not bucket.is_free:
        is_full = bucket.level >= FREE_LEVEL_RATIO * capacity(bucket.quota, bound)
        bucket.is_free = is_full and now - bucket.metered_at >= MIN_METERED_S
    if bucket.is_free:
        lease = _free_lease(bucket, bound, use)
        if lease is not None:
            _reserve(bucket, user, lease, now)
            return lease
        _meter(bucket, now)
    lease = _metered_lease(bucket, bound, user, use, share, now, rng)
    _reserve(bucket, user, lease, now)
    return lease


def _reserve(bucket: Bucket, user: User, lease: Lease, now: float) -> None:
    user.lease, user.lease_rate, user.is_metered = lease.tokens, lease.rate, not lease.is_free
    user.is_told_free = lease.is_free
    user.expires_at = now + lease.valid_ms / 1000
    bucket.leased += lease.tokens
    bucket.leased_rate += lease.rate


def _release(bucket: Bucket, user: User) -> None:
    bucket.leased -= user.lease
    bucket.leased_rate -= user.lease_rate
    user.lease, user.lease_rate = 0, 0.0


def _free_lease(bucket: Bucket, bound: Bound, use: Use) -> Lease | None:
    """Return a lease while the organisation is far below its quota, else None."""
    allowed = margin(bucket.quota, bound)
    if bucket.level < (capacity(bucket.quota, bound) - allowed) / 2:
        return None
    covered = bucket.level + FREE_MARGIN_RATIO * allowed
    spare = covered - bucket.leased
    if use.waiting > spare:
        return None
    lease_s = FREE_LEASE_S
    if bucket.used_rate > 0:
        lease_s = min(lease_s, FREE_LEASED_RATIO * covered / bucket.used_rate)
    usual = use.recent / bound.window_s
    room = FREE_LEASED_RATIO * covered - bucket.leased
    wanted = max(FREE_MIN_LEASE, math.ceil(usual * lease_s)) if use.recent > 1 else 0
    tokens = max(use.waiting, math.floor(min(wanted, room)))
    rate_room = FREE_RATE_RATIO * bucket.quota.rate - bucket.leased_rate
    rate = max(0.0, min(FREE_GROWTH_RATIO * usual, rate_room)) if wanted else 0.0
    return Lease(use.organisation, True, tokens, round(1000 * FREE_VALID_S), 0, rate)


def _metered_lease(
    bucket: Bucket,
    bound: Bound,
    user: User,
    use: Use,
    share: float,
    now: float,
    rng: random.Random,
) -> Lease:
    interval_s = _interval(bucket)
    rate = _rate(bucket, bound, share, now)
    reserve = METERED_MARGIN_RATIO * margin(bucket.quota, bound)
    available = bucket.level - bucket.leased + reserve
    demand = user.demand
    total = max(bucket.total_demand, demand)
    fair = 0.0
    if total > 0:
        fair = demand / total * (rate * interval_s + SURPLUS_RATIO * max(0.0, available))
    needed = max(DEMAND_HEADROOM_RATIO * demand * interval_s, use.waiting)
    retry_after_s = 0.0
    if total <= WITHIN_RATIO * rate:
        # Within the quota, users ask again for what the bucket doesn't have yet.
        fair = max(SURPLUS_RATIO / 2 * available, use.waiting)
    # Each waiting request may take a token where there is less than one for each user.
    tokens = max(0, math.floor(min(needed, max(fair, min(1, use.waiting)), available)))
    is_short = tokens < min(needed, use.waiting) or (use.refused and tokens < math.floor(needed))
    if is_short and total > WITHIN_RATIO * rate:
        missing_s = (1 - available + tokens) / max(rate, 1e-6)
        retry_after_s = max(interval_s, min(missing_s, bound.window_s))
        retry_after_s *= rng.uniform(1 - RETRY_SPREAD_RATIO, 1 + RETRY_SPREAD_RATIO)
    valid_ms = round(1000 * METERED_VALID_INTERVALS * interval_s)
    return Lease(use.organisation, False, tokens, valid_ms, math.ceil(1000 * retry_after_s))


def describe(state: OwnerState, name: str) -> dict[str, object]:
    """Return the bucket of an organisation, empty if no user has reported on it."""
    bucket = state.buckets_by_name.get(name)
    if bucket is None:
        return {}
    return {
        "mode": "free" if bucket.is_free else "metered",
        "level": round(bucket.level, 1),
        "leased": bucket.leased,
        "used_per_second": round(bucket.used_rate, 1),
        "demand_per_second": round(bucket.total_demand, 1),
        "users": len(bucket.users),
        "users_cut_off_per_second": round(bucket.lost_rate, 1),
        "refused": bucket.refused,
    }
