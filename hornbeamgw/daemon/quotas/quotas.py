"""Quotas at a daemon: carries out what the user and the owner of quotas decide."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from hornbeamgw.core.membership import MembershipState, Status
from hornbeamgw.core.node import Lease, QuotaGrant, QuotaReport
from hornbeamgw.core.quotas import owner, usage
from hornbeamgw.core.quotas.quota import (
    PARTITIONS,
    Bound,
    Quota,
    capacity,
    choose_owners,
    eligible_owners,
    partition_of,
)
from hornbeamgw.core.snapshot import Snapshot

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
# Shorter windows are treated as this one: rates can't be measured in less.
MIN_WINDOW_S = 0.5
# Members lost for less than this time may still be running, and use their part of a quota.
LOST_MEMBER_S = 10.0
# A daemon that knows no other one owns nothing until it has run for this time.
ALONE_S = 3.0
# Refusals of an organisation are logged at most once per this time, with their number.
REFUSAL_LOG_INTERVAL_S = 5.0
MAX_REFUSALS_SHOWN = 5

Send = Callable[[str, QuotaReport | QuotaGrant], None]


class Verdict(NamedTuple):
    """Whether a request may start: `retry_after_ms` is None if it may."""

    retry_after_ms: int | None


class Refusal(NamedTuple):
    """A refused request: Unix time in seconds, and the delay that its caller was told."""

    at: float
    retry_after_ms: int


class _Refusals:
    """Refusals of one organisation, and when they were logged."""

    def __init__(self) -> None:
        self.count = 0
        self.last: deque[Refusal] = deque(maxlen=MAX_REFUSALS_SHOWN)
        self.unlogged = 0
        self.logged_at = -math.inf


class Quotas:
    """The use and the ownership of quotas at this daemon."""

    def __init__(
        self,
        view: Callable[[], MembershipState],
        send: Send,
        bound: Bound,
        rng: random.Random,
        is_alone: Callable[[float], bool],
    ) -> None:
        """Start without quotas.

        Parameters
        ----------
        view : callable
            Returns the membership view.
        send : callable
            Sends a message to the daemon at an address.
        bound : Bound
            Permitted overshoot.
        rng : random.Random
            Used for random delays.
        is_alone : callable
            Returns whether this daemon has heard of no other one at a time, but may yet.
        """
        self.counts: Counter[str] = Counter()
        self._view = view
        self._send = send
        self._rng = rng
        self._is_alone = is_alone
        self._usage = usage.UsageState(bound, rng)
        self._owner = owner.OwnerState(bound)
        self._quotas: dict[str, Quota] = {}
        self._waiting: dict[str, deque[asyncio.Future[Verdict]]] = {}
        self._refusals_by_name: dict[str, _Refusals] = {}
        self._owners: Sequence[str] = ("",) * PARTITIONS
        self._eligible: frozenset[str] = frozenset()
        self._served_until: dict[int, float] = {}
        self._share = 1.0
        self._generation = -1
        self._timer: asyncio.TimerHandle | None = None
        # uvloop returns a handle without its time for a timer that is due at once.
        self._timer_due = math.inf

    # Catalogue and membership

    def apply(self, snapshot: Snapshot, now: float) -> None:
        """Apply the quotas of a snapshot."""
        quotas = {
            name: Quota(organisation.rate_per_second, organisation.burst)
            for name, organisation in snapshot.organisations_by_name.items()
            if organisation.rate_per_second > 0
        }
        if quotas == self._quotas:
            return
        log.info("quotas changed", extra={"version": snapshot.version, "quotas": len(quotas)})
        self._quotas = quotas
        for name in [name for name in self._refusals_by_name if name not in quotas]:
            del self._refusals_by_name[name]
        usage.set_quotas(self._usage, quotas, now)
        self.check(now)
        usage.set_owners(self._usage, self._owners, now)
        self._announce(owner.set_quotas(self._owner, quotas, now), now)
        for name in list(self._waiting):
            self._wake(name, now)
        self._flush(now)

    def check(self, now: float) -> None:
        """Note that this daemon runs, and follow the membership; call this ten times a second."""
        if not self._quotas:
            return
        owner.tick(self._owner, now)
        view = self._view()
        members = view.members_by_address.values()
        self._share = _share(view, now)
        self._usage.members = len(members)
        if self._is_alone(now):
            self._eligible, self._generation = frozenset(), -1
            self._set_owners(("",) * PARTITIONS, now)
        elif view.generation != self._generation:
            self._generation = view.generation
            eligible = eligible_owners(members)
            addresses = frozenset(member.address for member in eligible)
            if addresses and addresses != self._eligible:
                self._eligible = addresses
                self._set_owners(choose_owners(eligible), now)

    def _set_owners(self, owners: Sequence[str], now: float) -> None:
        me = self._view().me.address
        for number, (before, after) in enumerate(zip(self._owners, owners, strict=True)):
            if after == me:
                self._served_until[number] = math.inf
            elif before == me:
                self._served_until[number] = now + owner.HANDOVER_S
        self._owners = owners
        usage.set_owners(self._usage, owners, now)
        served = {name for name in self._quotas if self._serves(partition_of(name), now)}
        owner.keep_only(self._owner, served)
        self._flush(now)

    def _serves(self, partition: int, now: float) -> bool:
        return now < self._served_until.get(partition, -math.inf)

    # Requests

    def take(self, name: str, now: float) -> Verdict | asyncio.Future[Verdict]:
        """Decide on a request of an organisation, at once or as soon as the owner answers."""
        if name not in self._quotas:
            return Verdict(None)
        if not self._owners[0]:
            # Another daemon may have been heard of since the last check.
            self.check(now)
        decision = usage.take(self._usage, name, now)
        result: Verdict | asyncio.Future[Verdict]
        if isinstance(decision, usage.Wait):
            self.counts["waited"] += 1
            loop = asyncio.get_running_loop()
            result = loop.create_future()
            self._waiting.setdefault(name, deque()).append(result)
            loop.call_at(decision.until, self._on_wait_over, name, result)
        else:
            result = self._verdict(name, decision, now)
        self._flush(now)
        return result

    def give_back(self, name: str, now: float) -> None:
        """Return the token of a request that did not reach a server."""
        self.counts["returned"] += 1
        usage.give_back(self._usage, name, now)

    def _verdict(self, name: str, decision: usage.Taken | usage.Refused, now: float) -> Verdict:
        if isinstance(decision, usage.Taken):
            self.counts["taken"] += 1
            return Verdict(None)
        self.counts["refused"] += 1
        refusals = self._refusals_by_name.setdefault(name, _Refusals())
        refusals.count += 1
        refusals.unlogged += 1
        refusals.last.append(Refusal(time.time(), decision.retry_after_ms))
        if now - refusals.logged_at >= REFUSAL_LOG_INTERVAL_S:
            fields = usage.describe(self._usage, name, now)
            fields |= {"organisation": name, "refused": refusals.unlogged}
            log.info("requests over quota refused", extra=fields)
            refusals.unlogged, refusals.logged_at = 0, now
        return Verdict(decision.retry_after_ms)

    def _wake(self, name: str, now: float) -> None:
        """Decide on the waiting requests that can be decided on now."""
        waiting = self._waiting.get(name)
        while waiting and usage.may_end_wait(self._usage, name, now):
            self._end_wait(name, waiting.popleft(), now)
        if not waiting:
            self._waiting.pop(name, None)

    def _end_wait(self, name: str, future: asyncio.Future[Verdict], now: float) -> None:
        if future.done():
            usage.abandon_wait(self._usage, name)
            return
        decision = usage.end_wait(self._usage, name, now)
        future.set_result(self._verdict(name, decision, now))

    def _on_wait_over(self, name: str, future: asyncio.Future[Verdict]) -> None:
        waiting = self._waiting.get(name)
        if waiting is None or future not in waiting:
            return
        waiting.remove(future)
        if not waiting:
            del self._waiting[name]
        now = asyncio.get_running_loop().time()
        self._end_wait(name, future, now)
        self._flush(now)

    # Messages

    def receive(self, sender: str, message: QuotaReport | QuotaGrant, now: float) -> None:
        """Handle a message on quotas from a daemon, which may be this one."""
        if not self._quotas:
            return
        if isinstance(message, QuotaGrant):
            self._receive_grant(sender, message, now)
            return
        if not self._serves(message.partition, now):
            self.counts["reports_to_another"] += 1
            return
        answer = owner.receive(
            self._owner, self._quotas, sender, message, self._share, now, self._rng
        )
        if answer is not None:
            self._deliver(sender, answer.grant, now)
            self._announce(answer.newly_metered, now)

    def _receive_grant(self, sender: str, grant: QuotaGrant, now: float) -> None:
        for name in usage.receive_grant(self._usage, sender, grant, now):
            self.counts["mode_changes"] += 1
            fields = usage.describe(self._usage, name, now)
            log.debug("quota mode changed", extra={"organisation": name, **fields})
        for name in list(self._waiting):
            if partition_of(name) == grant.partition:
                self._wake(name, now)
        usage.ask_again(self._usage, grant.partition, now)
        self._flush(now)

    def _announce(self, names: Sequence[str], now: float) -> None:
        """Tell all members that organisations are metered from now on."""
        for name in names:
            fields = owner.describe(self._owner, name)
            log.info("organisation is metered", extra={"organisation": name, **fields})
            self.counts["metered"] += 1
            grant = QuotaGrant(0, partition_of(name), 0, [Lease(name, False, 0, 0, 0)])
            for member in list(self._view().members_by_address.values()):
                if member.status is Status.ALIVE:
                    self._deliver(member.address, grant, now)

    def _deliver(self, address: str, message: QuotaReport | QuotaGrant, now: float) -> None:
        me = self._view().me.address
        if address == me:
            self.receive(me, message, now)
        else:
            self._send(address, message)

    def _flush(self, now: float) -> None:
        """Send the reports that are due, and set the timer for the next ones."""
        for address, report in usage.due_reports(self._usage, now):
            self.counts["reports"] += 1
            self._deliver(address, report, now)
        due = usage.next_due(self._usage)
        if self._timer is not None:
            if self._timer_due == due:
                return
            self._timer.cancel()
            self._timer = None
        if due < math.inf:
            self._timer = asyncio.get_running_loop().call_at(due, self._on_timer)
            self._timer_due = due

    def _on_timer(self) -> None:
        self._timer = None
        self._flush(asyncio.get_running_loop().time())

    # Status

    def describe(self, name: str) -> dict[str, Any] | None:
        """Return the quota of an organisation, its use here and at its owner, or None."""
        quota = self._quotas.get(name)
        if quota is None:
            return None
        now = asyncio.get_running_loop().time()
        refusals = self._refusals_by_name.get(name, _Refusals())
        document = {
            "rate_per_second": quota.rate,
            "burst": quota.burst,
            "tokens_kept": round(capacity(quota, self._usage.bound), 1),
            "owner": self._owners[partition_of(name)],
            **usage.describe(self._usage, name, now),
            "refused": refusals.count,
            "last_refusals": [refusal._asdict() for refusal in refusals.last],
        }
        if self._serves(partition_of(name), now):
            document["at_owner"] = owner.describe(self._owner, name)
        return document


def _share(view: MembershipState, now: float) -> float:
    """Return the part of the fleet that is reachable, of that which may be running."""
    alive, lost = 0, 0
    for member in view.members_by_address.values():
        if member.status is Status.ALIVE:
            alive += 1
        elif member.status is Status.SUSPECT:
            lost += 1
        elif member.status is Status.DEAD:
            down_since = view.down_since_by_address.get(member.address, -math.inf)
            lost += now - down_since < LOST_MEMBER_S
    return alive / max(1, alive + lost)
