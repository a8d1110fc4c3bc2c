"""User of quotas: decides at every daemon whether a request of an organisation may start.

A request takes a token of the daemon's lease. Without one, it starts if its organisation is far
below its quota, twice per answered report; else it waits for an answer of the owner, or is refused
if the owner has none to give. Reports carry cumulative counts, so lost and repeated ones do no
harm. While the owner doesn't answer, a daemon goes on at about its own recent rate.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from hornbeamgw.core.node import QuotaGrant, QuotaReport, Use
from hornbeamgw.core.quotas.quota import Bound, Quota, Quotas, partition_of

# Requests that may start without a lease between two answers; the last is reported at once.
MAX_FREE_STARTS = 2
# Requests that started without a lease are reported after this time at the latest.
FREE_REPORT_S = 8.0
FREE_REPORT_MIN_RATIO = 0.25
# Part of the requests without a lease that is reported at once: a burst over many daemons shows at
# the owner after a few requests, however short it is.
PROMPT_REPORT_RATIO = 0.1
# With so many requests in the last window and no lease, it is reported at once too, since the next
# one would have to wait for the answer.
FREQUENT_USE = 2
# A lease is renewed when less than this part of it is left.
RENEW_BELOW_RATIO = 0.25
# Smaller leases that replace their tokens aren't renewed early, since they are often used up.
RENEWED_LEASE = 8
MIN_REPORT_INTERVAL_S = 0.1
# An owner without an answer for this time counts as unreachable.
ANSWER_TIMEOUT_S = 0.1
# A report is repeated after these times, the shorter one if a request waits for the answer.
REPEAT_WAITING_S = 0.01
REPEAT_S = 0.25
MAX_WAIT_S = 0.05
# A wait that ends without an answer for this time is treated like one for an unreachable owner.
UNANSWERED_WAIT_S = 0.04
# Rates at which a daemon goes on without an owner, relative to its recent one. Some growth is
# permitted to an organisation that has been within its quota.
FALLBACK_RATIO = 0.9
FREE_FALLBACK_RATIO = 1.25
# Time for which tokens of that rate are kept, by the same distinction.
FALLBACK_BURST_S = 0.25
FREE_FALLBACK_BURST_S = 1.0
# A token of a request that did not reach a server may be used again within this time.
CREDIT_S = 1.0
BIN_S = 0.5
SESSION_BITS = 32
# Refused callers are asked to come back after this time at the latest.
MAX_RETRY_AFTER_S = 5.0
NO_OWNER_RETRY_S = 0.25
# A new owner gets a report from each daemon within this time, and tells the mode.
NEW_OWNER_REPORT_S = 0.5
RETRY_SPREAD_RATIO = 0.5


# Until an owner has answered for the first time, a daemon starts this number of requests of an
# organisation besides its equal share of the rate, and the share of this time at once.
START_TOKENS = 2.0
START_BURST_S = 1.0


class Taken(NamedTuple):
    """A request may start."""


class Refused(NamedTuple):
    """A request is refused; its caller may come back after a time."""

    retry_after_ms: int


class Wait(NamedTuple):
    """A request waits for the owner's answer until a time."""

    until: float


Decision = Taken | Refused | Wait


class OrganisationUse:
    """Use of one organisation by this daemon.

    `tokens` are left at `tokens_at` of a lease of `lease` tokens, which is valid until `expires_at`
    and replaces tokens at `lease_rate`; `is_free` tells whether requests may start without one, and
    `started_free` how many did since the last answered report. `is_known` tells whether the present
    owner has answered for this organisation.
    """

    def __init__(self, name: str, quota: Quota) -> None:
        """Start metered, without tokens."""
        self.name = name
        self.partition = partition_of(name)
        self.quota = quota
        self.count = 0
        self.bins: dict[int, int] = {}
        self.is_known = False
        self.is_free = False
        self.was_free = False
        self.started_free = 0
        self.lease = 0
        self.lease_rate = 0.0
        self.tokens = 0.0
        self.tokens_at = -math.inf
        self.expires_at = -math.inf
        self.retry_at = -math.inf
        self.interval_s = MIN_REPORT_INTERVAL_S
        self.credits = 0
        self.credits_until = -math.inf
        self.wanted = 0
        self.refused = 0
        self.waiting = 0
        self.reported_count = 0
        self.reported_wanted = 0
        self.refused_since_answer = 0
        self.refused_at = -math.inf
        self.fallback_is_within = False
        self.fallback_rate = 0.0
        self.fallback_tokens = 0.0
        self.fallback_at = -math.inf


class Partition:
    """Reports to the owner of a partition.

    `due` is when the next report is sent, and `unanswered_since` when the first of the reports that
    the owner has not answered was sent, infinite if there is none.
    """

    def __init__(self, session: int) -> None:
        """Start without an owner."""
        self.owner = ""
        self.session = session
        self.sequence = 0
        self.sent_at = -math.inf
        self.due = math.inf
        self.unanswered_since = math.inf
        self.answered_at = -math.inf
        self.repeats = 0
        self.counts_by_sequence: dict[int, tuple[float, dict[str, int]]] = {}


class UsageState:
    """Use of all organisations with quotas by this daemon, one of `members`."""

    def __init__(self, bound: Bound, rng: random.Random) -> None:
        """Start without quotas."""
        self.bound = bound
        self.rng = rng
        self.members = 1
        self.uses_by_name: dict[str, OrganisationUse] = {}
        self.names_by_partition: dict[int, set[str]] = {}
        self.partitions: dict[int, Partition] = {}


def set_quotas(state: UsageState, quotas: Quotas, now: float) -> None:
    """Apply the quotas of a catalogue version; organisations whose quota changed are metered."""
    for name in [name for name in state.uses_by_name if name not in quotas]:
        del state.uses_by_name[name]
    for name, quota in quotas.items():
        use = state.uses_by_name.get(name)
        if use is None:
            state.uses_by_name[name] = OrganisationUse(name, quota)
        elif use.quota != quota:
            use.quota = quota
            _end_lease(use)
            use.was_free = False
    state.names_by_partition = {}
    for name, use in state.uses_by_name.items():
        state.names_by_partition.setdefault(use.partition, set()).add(name)
    for number in state.names_by_partition:
        if number not in state.partitions:
            state.partitions[number] = Partition(state.rng.getrandbits(SESSION_BITS))


def set_owners(state: UsageState, owners: Sequence[str], now: float) -> None:
    """Store the owner of each partition; a new owner has to answer before tokens are used."""
    for number, partition in state.partitions.items():
        if partition.owner == owners[number]:
            continue
        partition.owner = owners[number]
        partition.session = (partition.session + 1) % 2**SESSION_BITS
        partition.sequence = 0
        partition.unanswered_since = math.inf
        partition.counts_by_sequence.clear()
        partition.repeats = 0
        partition.due = now + NEW_OWNER_REPORT_S * state.rng.random()
        for name in state.names_by_partition.get(number, ()):
            use = state.uses_by_name[name]
            _end_lease(use)
            if use.waiting:
                partition.due = now


def _end_lease(use: OrganisationUse) -> None:
    use.was_free = use.is_free or use.was_free
    use.is_free = use.is_known = False
    use.tokens = use.lease_rate = 0.0
    use.lease = 0
    use.retry_at = -math.inf


def recent_use(use: OrganisationUse, window_s: float, now: float) -> int:
    """Return the number of requests that started in the last window."""
    oldest = math.floor((now - window_s) / BIN_S)
    for number in [number for number in use.bins if number < oldest]:
        del use.bins[number]
    outside_ratio = (now - window_s) / BIN_S - oldest
    return round(sum(use.bins.values()) - outside_ratio * use.bins.get(oldest, 0))


def take(state: UsageState, name: str, now: float, waited: bool = False) -> Decision:
    """Decide on a request of an organisation; `waited` is whether it was told to wait before."""
    use = state.uses_by_name.get(name)
    if use is None:
        return Taken()
    partition = state.partitions[use.partition]
    if not waited:
        use.wanted += 1
    if use.credits and now < use.credits_until:
        use.credits -= 1
        return Taken()
    if _tokens(use, now) >= 1:
        use.tokens -= 1
        is_low = use.tokens < RENEW_BELOW_RATIO * use.lease
        is_replaced_soon = use.lease_rate > 0 and use.lease < RENEWED_LEASE
        if is_low and not is_replaced_soon and now >= use.retry_at:
            _report_by(partition, max(now, partition.sent_at + MIN_REPORT_INTERVAL_S))
        return _start(state, use, partition, now)
    if is_unreachable(partition, now):
        if _take_fallback(state, use, partition, now):
            return _start(state, use, partition, now)
        return _refuse(state, use, partition, now, NO_OWNER_RETRY_S)
    if use.is_free and use.started_free < MAX_FREE_STARTS:
        use.started_free += 1
        has_lease = use.lease > 0 and now < use.expires_at
        recent = recent_use(use, state.bound.window_s, now)
        is_frequent = recent >= FREQUENT_USE and not has_lease
        is_last = use.started_free == MAX_FREE_STARTS
        if is_last or is_frequent or state.rng.random() < PROMPT_REPORT_RATIO:
            _report_by(partition, now)
        return _start(state, use, partition, now)
    if now < use.retry_at:
        return _refuse(state, use, partition, now, use.retry_at - now)
    if not waited:
        # A report that was sent with requests waiting is repeated until it is answered.
        is_asked = use.waiting > 0 and partition.unanswered_since < math.inf
        use.waiting += 1
        if not is_asked:
            partition.due = now
    return Wait(now + MAX_WAIT_S)


def abandon_wait(state: UsageState, name: str) -> None:
    """Forget a waiting request."""
    use = state.uses_by_name.get(name)
    if use is not None:
        use.waiting = max(0, use.waiting - 1)


def end_wait(state: UsageState, name: str, now: float) -> Taken | Refused:
    """Decide on a request whose wait has ended."""
    use = state.uses_by_name.get(name)
    if use is None:
        return Taken()
    use.waiting = max(0, use.waiting - 1)
    decision = take(state, name, now, waited=True)
    if isinstance(decision, Wait):
        partition = state.partitions[use.partition]
        is_unanswered = now - partition.unanswered_since >= UNANSWERED_WAIT_S
        may_go_on = is_unanswered and _was_within(state, use, now)
        if may_go_on and _take_fallback(state, use, partition, now):
            return _start(state, use, partition, now)
        return _refuse(state, use, partition, now, NO_OWNER_RETRY_S)
    return decision


def may_end_wait(state: UsageState, name: str, now: float) -> bool:
    """Return whether a waiting request could be decided on now."""
    use = state.uses_by_name.get(name)
    if use is None or _tokens(use, now) >= 1 or now < use.retry_at:
        return True
    return use.is_free and use.started_free < MAX_FREE_STARTS


def give_back(state: UsageState, name: str, now: float) -> None:
    """Return the token of an attempt that did not reach a server."""
    use = state.uses_by_name.get(name)
    if use is not None:
        use.credits = use.credits + 1 if now < use.credits_until else 1
        use.credits_until = now + CREDIT_S


def _tokens(use: OrganisationUse, now: float) -> float:
    """Return the tokens left after replacing some of those used."""
    if now >= use.expires_at:
        return 0.0
    if use.lease_rate and now > use.tokens_at:
        replaced = use.lease_rate * (now - use.tokens_at)
        use.tokens = min(use.lease, use.tokens + replaced)
        use.tokens_at = now
    return use.tokens


def _start(state: UsageState, use: OrganisationUse, partition: Partition, now: float) -> Taken:
    use.count += 1
    number = math.floor(now / BIN_S)
    use.bins[number] = use.bins.get(number, 0) + 1
    if len(use.bins) > 2 * 5 / BIN_S:
        recent_use(use, 5.0, now)
    if not use.is_free or partition.due == math.inf:
        _report_by(partition, now + _report_delay(state, use))
    return Taken()


def _report_delay(state: UsageState, use: OrganisationUse) -> float:
    """Return the time until a started request is reported.

    It is random while an organisation is free. After a change of mode, the reports of all daemons
    would otherwise arrive at the same time, and look like a burst to the owner.
    """
    if not use.is_free:
        return use.interval_s
    return FREE_REPORT_S * state.rng.uniform(FREE_REPORT_MIN_RATIO, 1)


def _was_within(state: UsageState, use: OrganisationUse, now: float) -> bool:
    """Return whether an organisation has been within its quota, as far as this daemon knows."""
    if use.is_free or use.was_free:
        return True
    return use.count > 0 and now - use.refused_at > state.bound.window_s


def _report_by(partition: Partition, at: float) -> None:
    partition.due = min(partition.due, at)


def _refuse(
    state: UsageState, use: OrganisationUse, partition: Partition, now: float, wait_s: float
) -> Refused:
    """Return a refusal; callers refused after one another come back after one another."""
    use.refused += 1
    use.refused_since_answer += 1
    use.refused_at = now
    if not use.is_free:
        _report_by(partition, max(now, partition.sent_at + use.interval_s))
    rate = max(recent_use(use, state.bound.window_s, now) / state.bound.window_s, 0.2)
    queue_s = use.refused_since_answer / rate
    spread = 1 + RETRY_SPREAD_RATIO * state.rng.random()
    retry_after_s = min(MAX_RETRY_AFTER_S, wait_s + queue_s) * spread
    return Refused(math.ceil(1000 * retry_after_s))


def is_unreachable(partition: Partition, now: float) -> bool:
    """Return whether the owner is unknown or doesn't answer."""
    return not partition.owner or now - partition.unanswered_since > ANSWER_TIMEOUT_S


def _take_start_share(state: UsageState, use: OrganisationUse, now: float) -> bool:
    """Take a token of this daemon's equal share, as no owner has answered since it started.

    After a start of the whole fleet, owners are known only after seconds, and organisations are
    usually within their quotas.
    """
    rate = use.quota.rate / max(1, state.members)
    most = START_TOKENS + rate * START_BURST_S
    if use.fallback_at == -math.inf:
        use.fallback_tokens = most
    else:
        gained = rate * (now - use.fallback_at)
        use.fallback_tokens = min(most, use.fallback_tokens + gained)
    use.fallback_at = now
    if use.fallback_tokens < 1:
        return False
    use.fallback_tokens -= 1
    return True


def _take_fallback(
    state: UsageState, use: OrganisationUse, partition: Partition, now: float
) -> bool:
    """Take a token of the rate at which this daemon goes on without an owner."""
    if partition.answered_at == -math.inf:
        return _take_start_share(state, use, now)
    if use.fallback_at < partition.answered_at or use.fallback_at == -math.inf:
        use.fallback_is_within = _was_within(state, use, now)
        ratio = FREE_FALLBACK_RATIO if use.fallback_is_within else FALLBACK_RATIO
        use.fallback_rate = ratio * recent_use(use, state.bound.window_s, now)
        use.fallback_rate /= state.bound.window_s
        # One request per outage, where an organisation was within its quota.
        start = use.fallback_rate * FREE_FALLBACK_BURST_S
        # A random part of a token, so that rates of less than one per outage are kept on average.
        since_answer_s = min(FREE_FALLBACK_BURST_S, max(0.0, now - partition.answered_at))
        gained = use.fallback_rate * since_answer_s
        use.fallback_tokens = state.rng.random() + gained
        if use.fallback_is_within:
            use.fallback_tokens = max(1.0, start)
        use.fallback_at = now
    burst_s = FREE_FALLBACK_BURST_S if use.fallback_is_within else FALLBACK_BURST_S
    gained = use.fallback_rate * (now - use.fallback_at)
    most = max(1.0, use.fallback_rate * burst_s)
    use.fallback_tokens = min(most, use.fallback_tokens + gained)
    use.fallback_at = now
    if use.fallback_tokens < 1:
        _report_by(partition, max(now, partition.sent_at + REPEAT_S))
        return False
    use.fallback_tokens -= 1
    return True


def next_due(state: UsageState) -> float:
    """Return when reports are due next, infinite if there is nothing to report."""
    return min((partition.due for partition in state.partitions.values()), default=math.inf)


def due_reports(state: UsageState, now: float) -> list[tuple[str, QuotaReport]]:
    """Return the reports that are due, with the addresses of their owners."""
    reports = []
    for number, partition in state.partitions.items():
        if partition.due > now:
            continue
        partition.due = math.inf
        uses = [
            _report_use(state, state.uses_by_name[name], now)
            for name in sorted(state.names_by_partition.get(number, ()))
            if _has_news(state.uses_by_name[name], partition)
        ]
        if not uses or not partition.owner:
            continue
        _record_sent(partition, uses, now)
        reports.append(
            (partition.owner, QuotaReport(partition.session, number, partition.sequence, uses))
        )
    return reports


def _has_news(use: OrganisationUse, partition: Partition) -> bool:
    has_unused = not use.is_free and use.tokens > 0
    is_unanswered = any(use.name in counts for _, counts in partition.counts_by_sequence.values())
    return bool(
        not use.is_known
        or use.count > use.reported_count
        or use.wanted
        or use.waiting
        or has_unused
        or is_unanswered
        or (use.reported_wanted and not use.is_free)
    )


def _report_use(state: UsageState, use: OrganisationUse, now: float) -> Use:
    recent = recent_use(use, state.bound.window_s, now)
    is_within = not use.is_known and _was_within(state, use, now)
    reported = Use(use.name, use.count, recent, use.wanted, use.refused, use.waiting, is_within)
    use.reported_count, use.reported_wanted = use.count, use.wanted
    use.wanted = use.refused = 0
    return reported


def _record_sent(partition: Partition, uses: Sequence[Use], now: float) -> None:
    partition.sequence += 1
    counts = {use.organisation: use.started for use in uses}
    partition.counts_by_sequence[partition.sequence] = (now, counts)
    partition.counts_by_sequence.pop(partition.sequence - 2, None)
    partition.sent_at = now
    if partition.unanswered_since == math.inf:
        partition.unanswered_since = now
        partition.repeats = 0
    partition.repeats += 1
    is_waited_for = any(use.waiting for use in uses)
    first_s = REPEAT_WAITING_S if is_waited_for else ANSWER_TIMEOUT_S / 2
    _report_by(partition, now + min(REPEAT_S, first_s * 2 ** (partition.repeats - 1)))


def receive_grant(state: UsageState, sender: str, grant: QuotaGrant, now: float) -> list[str]:
    """Apply a grant of the owner; return the organisations whose mode has changed."""
    partition = state.partitions.get(grant.partition)
    if partition is None or sender != partition.owner:
        return []
    if not grant.sequence:
        return _receive_announcement(state, partition, grant, now)
    sent = partition.counts_by_sequence.get(grant.sequence)
    if sent is None or grant.session != partition.session:
        return []
    sent_at, counts = sent
    for sequence in [known for known in partition.counts_by_sequence if known <= grant.sequence]:
        del partition.counts_by_sequence[sequence]
    partition.answered_at = now
    is_last = grant.sequence == partition.sequence
    partition.unanswered_since = math.inf if is_last else partition.sent_at
    partition.repeats = 0
    partition.due = math.inf
    changed = []
    for lease in grant.leases:
        use = state.uses_by_name.get(lease.organisation)
        if use is None:
            continue
        if lease.organisation not in counts:
            use.is_free = use.is_free or lease.is_free
            continue
        if use.is_free != lease.is_free:
            changed.append(use.name)
        use.is_known = True
        use.is_free, use.was_free = lease.is_free, lease.is_free
        used_since = use.count - counts[lease.organisation]
        use.lease = lease.tokens
        use.lease_rate = lease.rate
        use.tokens = max(0.0, lease.tokens - used_since)
        use.tokens_at = now
        valid_s = lease.valid_ms / 1000
        use.expires_at = sent_at + valid_s
        use.interval_s = max(MIN_REPORT_INTERVAL_S, valid_s / 2)
        use.retry_at = now + lease.retry_after_ms / 1000 if lease.retry_after_ms else -math.inf
        use.started_free = 0
        use.refused_since_answer = 0
    for name in state.names_by_partition.get(grant.partition, ()):
        use = state.uses_by_name[name]
        if use.count > use.reported_count:
            _report_by(partition, now + _report_delay(state, use))
        if not use.is_free and (use.tokens or use.reported_wanted):
            # Returns unused tokens before they expire, and tells when the demand has ended.
            _report_by(partition, now + use.interval_s)
    return changed


def ask_again(state: UsageState, number: int, now: float) -> None:
    """Report at once for requests of a partition that an answer didn't have tokens for."""
    partition = state.partitions.get(number)
    if partition is not None and any(
        state.uses_by_name[name].waiting for name in state.names_by_partition.get(number, ())
    ):
        _report_by(partition, max(now, partition.sent_at + REPEAT_WAITING_S))


def _receive_announcement(
    state: UsageState, partition: Partition, grant: QuotaGrant, now: float
) -> list[str]:
    """Switch organisations to metered; report at once what is not yet reported of them."""
    changed = []
    for lease in grant.leases:
        use = state.uses_by_name.get(lease.organisation)
        if use is None or not use.is_free:
            continue
        use.is_free = use.was_free = False
        changed.append(use.name)
        if use.tokens or use.count > use.reported_count:
            _report_by(partition, now)
    return changed


def describe(state: UsageState, name: str, now: float) -> dict[str, object]:
    """Return the use of an organisation and what its decisions are based on."""
    use = state.uses_by_name.get(name)
    if use is None:
        return {}
    partition = state.partitions[use.partition]
    is_answered = partition.answered_at > -math.inf
    age_ms = round(1000 * (now - partition.answered_at)) if is_answered else None
    if is_unreachable(partition, now):
        mode = "owner unreachable"
    elif not use.is_known:
        mode = "unknown"
    else:
        mode = "free" if use.is_free else "metered"
    return {
        "mode": mode,
        "used": use.count,
        "used_recently": recent_use(use, state.bound.window_s, now),
        "tokens": math.floor(_tokens(use, now)),
        "waiting": use.waiting,
        "answer_age_ms": age_ms,
    }
