"""Mutants: take one mechanism away at a time, and see that a check notices.

Each mutant is applied to a copy of the tree. A mutant that no check notices is a failure.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
LIMIT_S = 120
FLEET = "features/randomised.feature"
PACING = "features/pacing.feature"
SAMPLING = "features/sampling.feature"
CALLS = "features/calls.feature"
ADMISSION = "features/admission.feature"
COMMIT = "features/commit.feature"
RECOVERY = "features/recovery.feature"
SPREADING = "features/spreading.feature"
REBORN = "features/reborn.feature"
ADOPTION = "features/adoption.feature"
CROSSING = "features/crossing.feature"
OUTSIDE = "features/outside.feature"
BREAKER = "features/breaker.feature"
QUARANTINE = "features/quarantine.feature"
ROLLOUTS = "features/rollouts.feature"
ERA = "features/era.feature"
SERVERS = "features/servers.feature"
QUEUEING = "features/queueing.feature"
BUDGET = "features/budget.feature"
STOPPING = "features/stopping.feature"
OVERLAPS = "features/stopping_overlaps.feature"
CONTAINMENT = "features/containment.feature"
LIMITS = "features/limits.feature"
RATE_LIMITS = "features/rate_limits.feature"
ROOM = "features/room.feature"
HABITS = "features/habits.feature"
PIPELINING = "features/pipelining.feature"
ORGANISATIONS = "features/organisations.feature"
FORMER_WORK = "features/former_work.feature"
SERVER_RUNS = "features/server_runs.feature"
DEPARTURES = "features/departures.feature"
DEPARTURES_KEPT = "features/departures_kept.feature"
ACKNOWLEDGEMENTS = "features/acknowledgements.feature"
ENDLESS = "features/endless.feature"
SILENT_LINKS = "features/silent_links.feature"
SILENT_STORE = "features/silent_store.feature"
SILENT_SERVERS = "features/silent_servers.feature"
SILENT_CALLERS = "features/silent_callers.feature"


class Mutant(NamedTuple):
    """Hold a change that breaks one promise, and the feature that must notice."""

    promise: str
    file: str
    edits: tuple[tuple[str, str], ...]
    feature: str


MUTANTS = (
    Mutant(
        "a pipelined request that is not idempotent runs alone",
        "hornbeamgw/core/pipelining.py",
        (("            if position and not shares:", "            if False:"),),
        PIPELINING,
    ),
    Mutant(
        "few pipelined requests run at once",
        "hornbeamgw/core/pipelining.py",
        (("MAX_STARTED = 8", "MAX_STARTED = 80"),),
        PIPELINING,
    ),
    Mutant(
        "the answers of a connection come in order",
        "hornbeamgw/daemon/pipelining/pipeline.py",
        (("while self._exchanges and not self._is_first_open:", "while self._exchanges:"),),
        PIPELINING,
    ),
    Mutant(
        "nothing runs behind a response that closes the connection",
        "hornbeamgw/daemon/pipelining/pipeline.py",
        (("            if not _stays_open(front):", "            if False:"),),
        PIPELINING,
    ),
    Mutant(
        "pipelined requests that can't be answered are cancelled",
        "hornbeamgw/daemon/pipelining/pipeline.py",
        (("            exchange.connection_lost(None)\n", "            pass\n"),),
        PIPELINING,
    ),
    Mutant(
        "pipelined requests end with their caller's connection",
        "hornbeamgw/daemon/http1.py",
        (("            self.pipeline.connection_lost()\n", "            pass\n"),),
        PIPELINING,
    ),
    Mutant(
        "a caller that closes is noticed while reading is paused",
        "hornbeamgw/daemon/pipelining/pipeline.py",
        (("            if state in CLOSED_TCP_STATES:", "            if False:"),),
        PIPELINING,
    ),
    Mutant(
        "an answer that waits for its turn holds little memory",
        "hornbeamgw/daemon/pipelining/exchange.py",
        (("        if self._held_bytes >= MAX_HELD_BYTES:", "        if False:"),),
        PIPELINING,
    ),
    Mutant(
        "a caller that reads nothing gets no further answers",
        "hornbeamgw/daemon/http1.py",
        (("            self.pipeline.pause_writing()\n", "            pass\n"),),
        PIPELINING,
    ),
    Mutant(
        "a stopping daemon answers the pipelined requests that have begun",
        "hornbeamgw/daemon/calls.py",
        (("return self.draining and not connection.started_behind", "return self.draining"),),
        PIPELINING,
    ),
    Mutant(
        "a stopping daemon starts no pipelined request",
        "hornbeamgw/daemon/pipelining/pipeline.py",
        (
            (
                "pipelining.may_start(self._states(), self._settings.is_stopping())",
                "pipelining.may_start(self._states(), False)",
            ),
        ),
        PIPELINING,
    ),
    Mutant(
        "the deadline of a pipelined request counts from its arrival",
        "hornbeamgw/daemon/calls.py",
        (
            (
                "arrived_at = now if connection.arrived_at is None else connection.arrived_at",
                "arrived_at = now",
            ),
        ),
        PIPELINING,
    ),
    Mutant(
        "a refused request without a body leaves its connection open",
        "hornbeamgw/daemon/http1.py",
        (
            (
                "            return type(self.poll()) is not h11.EndOfMessage",
                "            return True",
            ),
        ),
        PIPELINING,
    ),
    Mutant(
        "what a server says in its answers is read",
        "hornbeamgw/daemon/server_exchange.py",
        (
            (
                "        if is_valid:\n            now",
                "        if False:\n            now",
            ),
        ),
        LIMITS,
    ),
    Mutant(
        "a request that was cut off keeps its slot",
        "hornbeamgw/daemon/server_run.py",
        (
            (
                "            self._abandon(attempt, attempt.abandoned, was_processed, now)",
                "            attempt.abandoned.abort()\n"
                "            decisions = admission.finish(self.state, attempt.id, started, now)",
            ),
        ),
        ROOM,
    ),
    Mutant(
        "a closed connection does not prove that the work has stopped",
        "hornbeamgw/core/occupancy.py",
        (
            (
                "return cut.closed_at if habits.stops_on_close else",
                "return cut.closed_at if True else",
            ),
        ),
        ROOM,
    ),
    Mutant(
        "a server that stops what is cut off is learned",
        "hornbeamgw/core/occupancy.py",
        (("    habits.stops_on_close = True", "    habits.stops_on_close = False"),),
        ROOM,
    ),
    Mutant(
        "health checks that wait for nothing teach nothing",
        "hornbeamgw/core/occupancy.py",
        (
            (
                "if is_answered and running >= state.slots:",
                "if is_answered and running >= 1000 * state.slots:",
            ),
            ("        if is_prompt or not is_answered:", "        if not is_answered:"),
        ),
        ROOM,
    ),
    Mutant(
        "a health check that fails is no sign of a free slot",
        "hornbeamgw/core/occupancy.py",
        (
            (
                "    is_explained = running <",
                "    if not is_answered:\n"
                "        return Outcome.WEIGHED\n"
                "    is_explained = running <",
            ),
        ),
        HABITS,
    ),
    Mutant(
        "a health check that waited speaks for a server that goes on",
        "hornbeamgw/core/occupancy.py",
        (("    if not is_prompt:", "    if not is_prompt and free > 1:"),),
        HABITS,
    ),
    Mutant(
        "a few prompt health checks are enough",
        "hornbeamgw/core/occupancy.py",
        (("PROMPT_PROBABILITY / (free + ESTIMATE_MARGIN)", "0.5 / math.sqrt(free + 1e-6)"),),
        HABITS,
    ),
    Mutant(
        "a server may work on for the former process of its daemon",
        "hornbeamgw/daemon/former_hold.py",
        (("        self._state.former_work_until = until", "        pass"),),
        ROOM,
    ),
    Mutant(
        "the slots of a server that the former process has used are held",
        "hornbeamgw/core/former_work.py",
        (("if any(is_same_run(known, server) for known in stored)", "if False"),),
        FORMER_WORK,
    ),
    Mutant(
        "a check lets one request start",
        "hornbeamgw/core/former_work.py",
        (("_running(state)) + 1", "_running(state)) + 2"),),
        FORMER_WORK,
    ),
    Mutant(
        "a check is sent after what was started has reached the server",
        "hornbeamgw/core/former_work.py",
        (("known.next_check_at, arrived_at)", "known.next_check_at)"),),
        FORMER_WORK,
    ),
    Mutant(
        "a check that has waited shows no free slot",
        "hornbeamgw/core/former_work.py",
        ((" or now > check.sent_at + CHECK_S", ""),),
        FORMER_WORK,
    ),
    Mutant(
        "a hold ends once the store has no row from before",
        "hornbeamgw/daemon/presence.py",
        (("            self.former_servers = ()", "            pass"),),
        ADOPTION,
    ),
    Mutant(
        "what was cut off does not make requests seem short",
        "hornbeamgw/core/admission.py",
        (("        if cut is not None and is_cut:", "        if False and cut is not None:"),),
        QUEUEING,
    ),
    Mutant(
        "what was cut off soon does not make requests seem short before any was answered",
        "hornbeamgw/core/occupancy.py",
        (("    if known is None and elapsed > cut.typical:", "    if known is None:"),),
        QUEUEING,
    ),
    Mutant(
        "work that can't end before its deadline is not begun",
        "hornbeamgw/core/queueing.py",
        (
            (
                "return start >= request.deadline or not _can_meet_deadline(",
                "return start >= request.deadline or False and not _can_meet_deadline(",
            ),
        ),
        ROOM,
    ),
    Mutant(
        "slots that a server has taken back are not told as free",
        "hornbeamgw/core/queueing.py",
        (
            (
                "    free = sorted(free)[max(0, len(free) - state.slots) :]",
                "    free = sorted(free)",
            ),
        ),
        "features/queueing.feature",
    ),
    Mutant(
        "an old report does not keep calls from a server",
        "hornbeamgw/core/balancing.py",
        (("    return now - load.reported_at <= REPORT_MAX_AGE_S", "    return True"),),
        LIMITS,
    ),
    Mutant(
        "a server gets no more requests per second than it takes",
        "hornbeamgw/core/rate_limit.py",
        (("missing / _rate(state) if missing > ROUNDING_TOLERANCE else 0.0", "0.0"),),
        RATE_LIMITS,
    ),
    Mutant(
        "tokens are left to more urgent requests",
        "hornbeamgw/core/rate_limit.py",
        (("    return (_burst(state) - 1) * more_urgent", "    return 0.0 * more_urgent"),),
        RATE_LIMITS,
    ),
    Mutant(
        "what waits when a limit is named is refused beyond it",
        "hornbeamgw/core/admission.py",
        (
            (
                "    over_limit = rate_limit.excess(state",
                "    over_limit = [] and rate_limit.excess(state",
            ),
        ),
        RATE_LIMITS,
    ),
    Mutant(
        "an answer that was overtaken ends no limit",
        "hornbeamgw/core/rate_limit.py",
        (("    if sent_at > state.named_at:", "    if True:"),),
        RATE_LIMITS,
    ),
    Mutant(
        "an answer that is not the server's own ends no limit",
        "hornbeamgw/daemon/declarations.py",
        (("has_run and is_from_server(self._dialect, answer)", "True"),),
        RATE_LIMITS,
    ),
    Mutant(
        "a server that takes next to nothing is asked from time to time",
        "hornbeamgw/core/rate_limit.py",
        (("max(state.limit, MIN_RATE_PER_S)", "max(state.limit, 1e-9)"),),
        RATE_LIMITS,
    ),
    Mutant(
        "refused callers are told different times",
        "hornbeamgw/core/rate_limit.py",
        (
            (
                "            retry_at = max(retry_at, last_at",
                "            retry_at = min(retry_at, last_at",
            ),
        ),
        RATE_LIMITS,
    ),
    Mutant(
        "what others have heard holds until the server has answered",
        "hornbeamgw/daemon/declarations.py",
        (
            (
                "heard.rate_limit if is_new and not self._has_answered else None",
                "heard.rate_limit if is_new else None",
            ),
        ),
        RATE_LIMITS,
    ),
    Mutant(
        "a daemon that was started again learns what others have heard",
        "hornbeamgw/daemon/calls.py",
        (("            attempt.load.heard,\n", "            None,\n"),),
        LIMITS,
    ),
    Mutant(
        "a server that says that it leaves drains",
        "hornbeamgw/daemon/declarations.py",
        (
            (
                "        if declared.is_leaving:\n            self._leave()",
                "        if False:\n            pass",
            ),
        ),
        LIMITS,
    ),
    Mutant(
        "the next process of a server has no limit",
        "hornbeamgw/core/admission.py",
        (("S\n    state.rate_limit = RateLimitState()\n", "S\n"),),
        ADOPTION,
    ),
    Mutant(
        "a call looks on for a server that has room though others are at their limits",
        "hornbeamgw/daemon/calls.py",
        (("            if failure.reason is Reason.RATE_LIMITED:", "            if False:"),),
        LIMITS,
    ),
    Mutant(
        "a server that leaves stays out, whatever its heartbeats say",
        "hornbeamgw/daemon/server_run.py",
        (("        draining |= self.declarations.is_leaving\n", ""),),
        RATE_LIMITS,
    ),
    Mutant(
        "a server that leaves is recorded as draining",
        "hornbeamgw/daemon/announcements.py",
        (("            registration.drain(self._state_at(registered_address), instance)\n", ""),),
        ADOPTION,
    ),
    Mutant(
        "what a server says in a health check holds",
        "hornbeamgw/daemon/announcements.py",
        (("            gate.declarations.note_check(declared, now)\n", ""),),
        ADOPTION,
    ),
    Mutant(
        "a daemon beside a server accepts only what its link can send in a stop",
        "hornbeamgw/daemon/gate.py",
        (("        refusal = refusal or self._backlog_refusal(link, call)\n", ""),),
        STOPPING,
    ),
    Mutant(
        "a daemon accepts only calls whose answers its link to callers can send in a stop",
        "hornbeamgw/daemon/calls.py",
        ((" or self._backlog_refusal(call) or call", " or call"),),
        STOPPING,
    ),
    Mutant(
        "answers that are promised count towards the backlog of a link",
        "hornbeamgw/daemon/flow.py",
        (("self.pending_for_callers + self.promised", "self.pending_for_callers"),),
        STOPPING,
    ),
    Mutant(
        "old servers refuse bookings as soon as these are kept from them",
        "hornbeamgw/core/exposure.py",
        (("closing is not Closing.OPEN else 0", "closing is Closing.CLOSED else 0"),),
        ROLLOUTS,
    ),
    Mutant(
        "requests count against the bound of a new version once they are decided",
        "hornbeamgw/core/exposure.py",
        (("counts.sent + counts.reserved + rng", "counts.sent + rng"),),
        ROLLOUTS,
    ),
    Mutant(
        "delays between tries are bounded before they overflow",
        "hornbeamgw/core/backoff.py",
        (("min(failures, MAX_DOUBLINGS)", "failures"),),
        CONTAINMENT,
    ),
    Mutant(
        "an error in the handler of a frame doesn't end the link",
        "hornbeamgw/daemon/link.py",
        (
            (
                '                log_contained(f"frame {type(frame).__name__}")',
                "                raise",
            ),
        ),
        CONTAINMENT,
    ),
    Mutant(
        "a copy of a call that runs is not said to be not run, whatever fails",
        "hornbeamgw/daemon/gate.py",
        (
            (
                "        if verdict is Verdict.NOT_RUN:\n            failure = not_run(Reason.NOT",
                "        if verdict:\n            failure = not_run(Reason.NOT",
            ),
        ),
        CONTAINMENT,
    ),
    Mutant(
        "answers go first that a daemon which stops waits for",
        "hornbeamgw/daemon/gate_attempt.py",
        (("    attempt.urgency.mark_urgent(asyncio.get_running_loop().time())\n", ""),),
        STOPPING,
    ),
    Mutant(
        "urgent answers keep the order in which they became urgent",
        "hornbeamgw/daemon/flow.py",
        (("        self.since = min(self.since, now)", "        self.since = 0.0"),),
        PACING,
    ),
    Mutant(
        "what a daemon that stops has left to send is taken at once",
        "hornbeamgw/daemon/attempts.py",
        (("link.send(frames.Credit(attempt.number, BUFFER_BYTES))", "pass"),),
        STOPPING,
    ),
    Mutant(
        "a daemon that stops takes on nothing that could outlast it",
        "hornbeamgw/core/stopping.py",
        (
            (
                "    return is_early and now + ESTIMATE_SAFETY_FACTOR * expected <= stop.ends_at",
                "    return True",
            ),
        ),
        STOPPING,
    ),
    Mutant(
        "a daemon that stops ends once others have read what it sent",
        "hornbeamgw/daemon/planned_stop.py",
        (("        await self._peers.wait_until_read()\n", ""),),
        OVERLAPS,
    ),
    Mutant(
        "callers are told what became of calls that a daemon gives up as it ends",
        "hornbeamgw/daemon/planned_stop.py",
        (("        self._calls.give_up()\n", ""),),
        OVERLAPS,
    ),
    Mutant(
        "a version on trial gets no more than its part",
        "hornbeamgw/core/exposure.py",
        (
            (
                "    return counts.sent + counts.reserved + rng.random() <= allowed",
                "    return True",
            ),
        ),
        ROLLOUTS,
    ),
    Mutant(
        "what was decided on a rollout is not undone by a later word",
        "hornbeamgw/core/standing.py",
        (("decided = status.phase if status.is_final else 0", "decided = 0"),),
        ROLLOUTS,
    ),
    Mutant(
        "a version that answers worse is taken back",
        "hornbeamgw/core/evidence.py",
        (
            (
                "    return found\n\n\ndef has_enough_answers",
                "    return Degradation(0.0)\n\n\ndef has_enough_answers",
            ),
        ),
        ROLLOUTS,
    ),
    Mutant(
        "requests that are not idempotent wait rather than go to servers that are about to stop",
        "hornbeamgw/core/exposure.py",
        (("    return Arm.BEFORE if is_bad else Arm.WAIT", "    return Arm.BEFORE"),),
        ROLLOUTS,
    ),
    Mutant(
        "a closed server runs no further request that is not idempotent",
        "hornbeamgw/daemon/gate.py",
        (
            (
                "        if not call.idempotent and run.is_closed_by_rollout():",
                "        if False:",
            ),
        ),
        ROLLOUTS,
    ),
    Mutant(
        "an order is completed only once servers of before are drained",
        "hornbeamgw/core/rollout.py",
        (("    return tally.closed_step == state.status.step", "    return True"),),
        ROLLOUTS,
    ),
    Mutant(
        "a version without an order waits for one",
        "hornbeamgw/core/exposure.py",
        (("    return is_later and now < seen + NEW_VERSION_HOLD_S", "    return False"),),
        ROLLOUTS,
    ),
    Mutant(
        "a call runs at the server that it names",
        "hornbeamgw/daemon/gates.py",
        (
            (
                "self.first if gate is None and number == UNNUMBERED else gate",
                "self.first",
            ),
        ),
        SERVERS,
    ),
    Mutant(
        "a daemon that starts takes what its peers have in force",
        "hornbeamgw/daemon/reader.py",
        (("        await self._pull_newer_than(head)\n", ""),),
        ERA,
    ),
    Mutant(
        "positions of an earlier era of the store are void",
        "hornbeamgw/daemon/sources.py",
        (("        if page.era != self._era:\n            return await self.read_head()\n", ""),),
        ERA,
    ),
    Mutant(
        "rows that the store has lost are written again",
        "hornbeamgw/daemon/presence.py",
        (("        self._stored = None\n        loop", "        loop"),),
        ERA,
    ),
    Mutant(
        "long work leaves a slot to short urgent calls",
        "hornbeamgw/core/kept_slots.py",
        (("    if slots < MIN_SLOTS or urgent_use < MIN_SLOT_USE:\n", "    if True:\n"),),
        QUEUEING,
    ),
    Mutant(
        "less urgent requests leave budget to more urgent ones",
        "hornbeamgw/core/retry_budget.py",
        (("        allowed *= LESS_URGENT_RATIO\n", "        pass\n"),),
        BUDGET,
    ),
    Mutant(
        "a request under which three servers have ended reaches no other",
        "hornbeamgw/daemon/quarantine.py",
        (("if not remaining:\n            return None", "return None"),),
        QUARANTINE,
    ),
    Mutant(
        "what the servers have answered is not held against a request",
        "hornbeamgw/core/quarantine.py",
        (("if f in state.answered]", "if False]"),),
        QUARANTINE,
    ),
    Mutant(
        "what ran beside the cause is not blamed",
        "hornbeamgw/core/quarantine.py",
        (("for i in ids))) == 1", "for i in ids))) > 0"),),
        QUARANTINE,
    ),
    Mutant(
        "requests of which as much is known don't run beside one another",
        "hornbeamgw/core/quarantine.py",
        (("    if fingerprint in state.periods_by_fingerprint:\n        return True\n", ""),),
        QUARANTINE,
    ),
    Mutant(
        "a run of a server that was followed by a later one never comes back",
        "hornbeamgw/core/registration.py",
        (("if now - state.received_at < LATE_HEARTBEAT_WINDOW_S:", "if False:"),),
        REBORN,
    ),
    Mutant(
        "what waits for a run of a server ends with it",
        "hornbeamgw/daemon/gate.py",
        (
            (
                "        if last is not None and not is_same_server(",
                "        if False and not is_same(",
            ),
        ),
        SERVER_RUNS,
    ),
    Mutant(
        "what waits for a server that is removed is refused",
        "hornbeamgw/core/admission.py",
        (("    waiting, state.queue = state.queue, []\n", "    waiting: list[Request] = []\n"),),
        SERVER_RUNS,
    ),
    Mutant(
        "nothing is sent to a server that was removed while a connection was opened",
        "hornbeamgw/daemon/backend_pool.py",
        (
            (
                "        if not self.is_open:\n            connection.abort()\n            raise",
                "        if False:\n            connection.abort()\n            raise",
            ),
        ),
        SERVER_RUNS,
    ),
    Mutant(
        "no connection to a run is used for the next one",
        "hornbeamgw/daemon/backend_pool.py",
        (("        if self.is_open and is_complete and", "        if is_complete and"),),
        SERVER_RUNS,
    ),
    Mutant(
        "a run is told by its service, too",
        "hornbeamgw/core/registration.py",
        (
            (
                "    return is_same_run(before, after) and not is_moved",
                "    return is_same_run(before, after)",
            ),
        ),
        SERVER_RUNS,
    ),
    Mutant(
        "a refusal as another instance says nothing of a later run",
        "hornbeamgw/daemon/server_run.py",
        (
            (
                "        if not self._is_superseded:\n            self._context.on_r",
                "        if True:\n            self._context.on_r",
            ),
        ),
        SERVER_RUNS,
    ),
    Mutant(
        "a departure is acknowledged once others know of it",
        "hornbeamgw/daemon/announcements.py",
        (("        return await self._ledger.confirm(run)\n", "        return True\n"),),
        DEPARTURES,
    ),
    Mutant(
        "a departure is stored",
        "hornbeamgw/daemon/departures/ledger.py",
        (
            (
                "            self._row.add_left(self._left)\n\n    def publish",
                "            pass\n\n    def publish",
            ),
        ),
        DEPARTURES,
    ),
    Mutant(
        "a started daemon asks those that keep its departures",
        "hornbeamgw/daemon/departures/ledger.py",
        (("                self._learn(answer.runs)\n", "                pass\n"),),
        DEPARTURES,
    ),
    Mutant(
        "a daemon without rows of others isn't sure to be alone",
        "hornbeamgw/daemon/departures/ledger.py",
        (("may_be_called = not answers and", "may_be_called = False and"),),
        DEPARTURES,
    ),
    Mutant(
        "a heartbeat isn't believed while nobody can tell what was acknowledged",
        "hornbeamgw/daemon/announcements.py",
        (("        if not self._may_have_left(heartbeat, arrival):\n", "        if True:\n"),),
        DEPARTURES,
    ),
    Mutant(
        "a health check isn't believed while the row can't be read",
        "hornbeamgw/daemon/announcements.py",
        (("return self._ledger.knows_acknowledged and not", "return not"),),
        ACKNOWLEDGEMENTS,
    ),
    Mutant(
        "the first heartbeat on a connection doesn't count as sent since the start",
        "hornbeamgw/core/freshness.py",
        (("return arrival.answered_at >= moment or", "return arrival.at >= moment or"),),
        ACKNOWLEDGEMENTS,
    ),
    Mutant(
        "a heartbeat counts as sent since the start once none can be that late",
        "hornbeamgw/core/freshness.py",
        ((" or arrival.at > moment + MAX_LATENESS_S", ""),),
        ACKNOWLEDGEMENTS,
    ),
    Mutant(
        "a start in the future tells nothing",
        "hornbeamgw/core/freshness.py",
        ((" <= arrival.at_ms", ""),),
        ACKNOWLEDGEMENTS,
    ),
    Mutant(
        "a departure without a start binds a run that the row tells of",
        "hornbeamgw/core/registration.py",
        (
            (
                "    if may_be_left_run(state.known_runs_by_instance, heartbeat):\n        return",
                "    if False:\n        return",
            ),
        ),
        ACKNOWLEDGEMENTS,
    ),
    Mutant(
        "a message that is acknowledged binds though others have overtaken it",
        "hornbeamgw/daemon/announcements.py",
        (
            (
                "            if run is not None:\n                self._on",
                "            if False:\n                self._on",
            ),
        ),
        ACKNOWLEDGEMENTS,
    ),
    Mutant(
        "a row from before a restore doesn't tell all departures",
        "hornbeamgw/daemon/presence.py",
        (("        self._is_whole = row_era >= self._era\n", "        self._is_whole = True\n"),),
        ACKNOWLEDGEMENTS,
    ),
    Mutant(
        "answers to nothing or to others are limited",
        "hornbeamgw/core/answer_limits.py",
        (
            ("    if skipped > MAX_SKIPPED_ANSWERS:", "    if False:"),
            ("    if received_bytes > MAX_SKIPPED_BYTES:", "    if False:"),
        ),
        ENDLESS,
    ),
    Mutant(
        "the framing of an answer is limited",
        "hornbeamgw/core/answer_limits.py",
        (
            (
                "    if received_bytes - body_bytes > body_bytes + MAX_FRAMING_BYTES:",
                "    if False:",
            ),
        ),
        ENDLESS,
    ),
    Mutant(
        "what an answer brings after the deadline is limited",
        "hornbeamgw/core/answer_limits.py",
        (("    if late_bytes > limit:", "    if False:"),),
        ENDLESS,
    ),
    Mutant(
        "an idle connection is closed when something arrives",
        "hornbeamgw/daemon/backend_pool.py",
        (("        connection.on_stray_input = lambda: self._discard_idle(connection)\n", ""),),
        ENDLESS,
    ),
    Mutant(
        "a later run of a server that left is taken at once",
        "hornbeamgw/core/registration.py",
        (
            (
                "    return known if started_ms <= known.started_ms else",
                "    return known if known else",
            ),
        ),
        DEPARTURES,
    ),
    Mutant(
        "a server that has left while it was checked isn't taken up",
        "hornbeamgw/core/registration.py",
        (
            (
                "or known.is_draining or known.is_gone:\n        return False",
                "or False:\n        return False",
            ),
        ),
        DEPARTURES,
    ),
    Mutant(
        "a keeper that has forgotten doesn't answer for what it was told",
        "hornbeamgw/daemon/departures/keeper.py",
        (
            (
                "return frames.Departures(kept, now >= self._reliable_from)",
                "return frames.Departures(kept, True)",
            ),
        ),
        DEPARTURES,
    ),
    Mutant(
        "a late write doesn't undo a departure",
        "hornbeamgw/daemon/presence.py",
        (("_encode(entry), self._revision)", "_encode(entry))"),),
        DEPARTURES_KEPT,
    ),
    Mutant(
        "a row is swept only if its daemon had ended at the last sweep",
        "hornbeamgw/daemon/directory.py",
        (
            (
                "            swept = unchanged_rows(dead, self._dead_revisions_by_key)\n",
                "            swept = dead\n",
            ),
        ),
        OUTSIDE,
    ),
    Mutant(
        "after a restart only the very same server is taken up",
        "hornbeamgw/daemon/adoption.py",
        (("answer.status == HEALTHY_STATUS and reported == known.instance.encode()", "True"),),
        ADOPTION,
    ),
    Mutant(
        "what a call moves weighs against leaving its data centre",
        "hornbeamgw/core/crossing.py",
        (("return size / (size + HALF_VALUE_BYTES)", "return 0.0"),),
        CROSSING,
    ),
    Mutant(
        "daemons that were stopped are looked for",
        "hornbeamgw/core/membership.py",
        (("RESTART_PROBE_WINDOW_S = 30.0", "RESTART_PROBE_WINDOW_S = 0.0"),),
        OUTSIDE,
    ),
    Mutant(
        "a server that breaks off all is left alone",
        "hornbeamgw/core/breaker.py",
        (("OPEN_AFTER_LOSSES = 2", "OPEN_AFTER_LOSSES = 10**9"),),
        BREAKER,
    ),
    Mutant(
        "a known version is passed on to a range not covered yet",
        "hornbeamgw/core/node.py",
        (("if message.version != known or requested_range in node.covered:", "if True:"),),
        SPREADING,
    ),
    Mutant(
        "another takes the place of a silent receiver",
        "hornbeamgw/core/node.py",
        (("if failed is None or len(excluded) > spreading.MAX_PUSH_RETRIES:", "if True:"),),
        SPREADING,
    ),
    Mutant(
        "a suspect refutes",
        "hornbeamgw/core/membership.py",
        (("_rank(received) > _rank(state.me)", "False"),),
        SPREADING,
    ),
    Mutant(
        "a restart does not go below the floor",
        "hornbeamgw/core/versions.py",
        (("if state.floor is None or known.version < state.floor:", "if False:"),),
        FLEET,
    ),
    Mutant(
        "versions only go up",
        "hornbeamgw/core/versions.py",
        (
            (
                "if catalogue.version <= state.catalogue.version:",
                "if catalogue.version == state.catalogue.version:",
            ),
        ),
        FLEET,
    ),
    Mutant(
        "a delta follows from its parent",
        "hornbeamgw/core/edit.py",
        (
            (
                "if parent_version_of(delta) != catalogue.version or "
                'delta["version"] <= catalogue.version:',
                "if False:",
            ),
            ('if delta["parent_digest"] != catalogue.digest:', "if False:"),
            (
                'if _updated_digest(catalogue, items, delta["changes"]) != delta["digest"]:',
                "if False:",
            ),
        ),
        FLEET,
    ),
    Mutant(
        "the head moves by condition only",
        "hornbeamgw/core/commit.py",
        (
            (
                "Write(HEAD_KEY, msgspec.json.encode(new_head), Condition(etag=head_etag))",
                "Write(HEAD_KEY, msgspec.json.encode(new_head), None)",
            ),
            ("absent = Condition(etag=None)", "absent = None"),
        ),
        FLEET,
    ),
    Mutant(
        "whoever hears of a higher version pulls",
        "hornbeamgw/core/node.py",
        (
            (
                "effects += request_pull(node, hint.version, hint.sender, moment)",
                "pass",
            ),
        ),
        SPREADING,
    ),
    Mutant(
        "a lost answer is resolved by the edit id",
        "hornbeamgw/daemon/committer.py",
        (("        if earlier is not None:", "        if False:"),),
        COMMIT,
    ),
    Mutant(
        "a bad version is applied nowhere",
        "hornbeamgw/core/snapshot.py",
        (
            (
                "    if problems:\n        return Err(problems)\n",
                "    items = {k: v for k, v in items.items() if 'bad' not in k}\n",
            ),
        ),
        COMMIT,
    ),
    Mutant(
        "an attempt never admitted is fenced",
        "hornbeamgw/core/admission.py",
        (("    _record_status(state, attempt, AttemptStatus.FENCED, now)\n", ""),),
        ADMISSION,
    ),
    Mutant(
        "a queued attempt told as not run never runs",
        "hornbeamgw/core/admission.py",
        (
            (
                "    withdraw(state, attempt, now)\n    _record_status(",
                "    _record_status(",
            ),
        ),
        ADMISSION,
    ),
    Mutant(
        "a running attempt may have run",
        "hornbeamgw/core/admission.py",
        (
            (
                "record.status in (AttemptStatus.RUNNING, AttemptStatus.FINISHED)",
                "record.status is AttemptStatus.FINISHED",
            ),
        ),
        ADMISSION,
    ),
    Mutant(
        "a non-idempotent request that may have run is not sent again",
        "hornbeamgw/core/retrying.py",
        (("if failure.verdict is not Verdict.NOT_RUN and not idempotent:", "if False:"),),
        CALLS,
    ),
    Mutant(
        "a broken answer is never passed on as whole",
        "hornbeamgw/daemon/relay.py",
        (
            (
                'raise ConnectionLost(f"{type(event).__name__} before the end of the answer")',
                "connection.send(h11.EndOfMessage())\n                return",
            ),
        ),
        CALLS,
    ),
    Mutant(
        "a draining server takes nothing new",
        "hornbeamgw/core/admission.py",
        (("    if state.server_state is ServerState.DRAINING:\n", "    if False:\n"),),
        ADMISSION,
    ),
    Mutant(
        "a large answer leaves at the pace of the link",
        "hornbeamgw/core/pacing.py",
        (("return max(0.0, state.free_at - now - MAX_BACKLOG_S)", "return 0.0"),),
        PACING,
    ),
    Mutant(
        "a slot is free before its answer has travelled",
        "hornbeamgw/daemon/server_exchange.py",
        (
            (
                "            await outgoing.drain()\n        transfers",
                "        await outgoing.task\n        transfers",
            ),
        ),
        PACING,
    ),
    Mutant(
        "gates of one's own data centre are asked first",
        "hornbeamgw/core/sampling.py",
        (("(c.member.data_centre == choice.me.data_centre) is is_local", "True"),),
        SAMPLING,
    ),
    Mutant(
        "asking admits nothing",
        "hornbeamgw/core/admission.py",
        (("        return Outlook(True, 0.0)\n", "        _start(state, request, now)\n"),),
        SAMPLING,
    ),
    Mutant(
        "a living peer that is silent leaves the floor unsure",
        "hornbeamgw/core/floor.py",
        (("if answer is None and peer in alive_peers:", "if False:"),),
        RECOVERY,
    ),
    Mutant(
        "a request waits no longer than its key is valid",
        "hornbeamgw/daemon/gate.py",
        (("        self._refuse_revoked(now)\n", ""),),
        ORGANISATIONS,
    ),
    Mutant(
        "a key is checked when its request leaves the queue",
        "hornbeamgw/daemon/gate.py",
        (
            (
                "return self.quarantine.refusal(attempt.call.fingerprint) or self._identify_again(",
                "return self.quarantine.refusal(attempt.call.fingerprint) or (lambda _: None)(",
            ),
        ),
        ORGANISATIONS,
    ),
    Mutant(
        "a key is checked before each attempt",
        "hornbeamgw/daemon/calls.py",
        (("        refusal = self._identify_again(call)\n", "        refusal = None\n"),),
        ORGANISATIONS,
    ),
    Mutant(
        "a queued request follows its key to another organisation",
        "hornbeamgw/daemon/gate.py",
        (("            attempt.call = call._replace(organisation=name)\n", "            pass\n"),),
        ORGANISATIONS,
    ),
    Mutant(
        "the key does not reach the server",
        "hornbeamgw/daemon/calls.py",
        (
            (
                "            headers = without_identity(headers, self._dialect)\n",
                "            pass\n",
            ),
        ),
        ORGANISATIONS,
    ),
    Mutant(
        "fingerprints tell callers apart by their keys",
        "hornbeamgw/daemon/call.py",
        (("    if call.caller.key_digest:\n", "    if False:\n"),),
        ORGANISATIONS,
    ),
    Mutant(
        "a daemon that is behind refuses no key that a newer version has",
        "hornbeamgw/core/organisations/identity.py",
        (("if snapshot.version < identified_by or not", "if not"),),
        ORGANISATIONS,
    ),
    Mutant(
        "a key belongs to one organisation",
        "hornbeamgw/core/catalogue.py",
        (("    problems += _key_problems(well_formed, changed, source)\n", ""),),
        ORGANISATIONS,
    ),
    Mutant(
        "an early refusal keeps the connection open",
        "hornbeamgw/daemon/failures.py",
        (("    unread = _has_unread_body(connection)", "    unread = True"),),
        ORGANISATIONS,
    ),
    Mutant(
        "an error does not quote a key",
        "hornbeamgw/core/catalogue.py",
        (
            (
                "        problems = _organisation_rules().hide_keys(problems, path)\n",
                "        pass\n",
            ),
        ),
        ORGANISATIONS,
    ),
    Mutant(
        "a link is verified after a silence",
        "hornbeamgw/daemon/silence/link_pool.py",
        (("        if self._is_trusted(link, now):", "        if True:"),),
        SILENT_LINKS,
    ),
    Mutant(
        "a link beside a daemon that stands still is tried once a second at most",
        "hornbeamgw/daemon/silence/link_pool.py",
        (("        if now - unanswered_at < DIAL_BESIDE_INTERVAL_S:", "        if False:"),),
        SILENT_LINKS,
    ),
    Mutant(
        "requests on a silent link are asked for on the new one",
        "hornbeamgw/daemon/silence/link_pool.py",
        (("        self._on_replaced(link)\n", ""),),
        SILENT_LINKS,
    ),
    Mutant(
        "a probe that is unanswered is remembered",
        "hornbeamgw/daemon/link.py",
        (("        silence.note_sent(self.signs, now)\n", ""),),
        SILENT_LINKS,
    ),
    Mutant(
        "bytes that leave a full link are no silence",
        "hornbeamgw/daemon/silence/link_watch.py",
        (("            link.note_progress(now)\n", ""),),
        SILENT_LINKS,
    ),
    Mutant(
        "an own pause is no silence",
        "hornbeamgw/daemon/silence/link_watch.py",
        (("            if stalled > STALL_S:", "            if False:"),),
        SILENT_LINKS,
    ),
    Mutant(
        "the accepting end probes what was replaced",
        "hornbeamgw/daemon/peers.py",
        (("                self._watch.probe(former, now)\n", "                pass\n"),),
        SILENT_LINKS,
    ),
    Mutant(
        "the accepting end probes what daemons left behind that have ended",
        "hornbeamgw/daemon/peers.py",
        (("                or member.status >= Status.DEAD\n", ""),),
        SILENT_LINKS,
    ),
    Mutant(
        "a connection without a hello is closed",
        "hornbeamgw/daemon/peers.py",
        (
            (
                "        if link.peer is None:\n            link",
                "        if False:\n            link",
            ),
        ),
        SILENT_LINKS,
    ),
    Mutant(
        "a silent connection to the store throws doubt on idle ones",
        "hornbeamgw/daemon/http1.py",
        (("        silence.note_silent(self._doubts, now)\n", ""),),
        SILENT_STORE,
    ),
    Mutant(
        "idle connections to the store are trusted for a while",
        "hornbeamgw/daemon/http1.py",
        (("CLIENT_LIMITS = Limits(trusted_s=2.5,", "CLIENT_LIMITS = Limits(trusted_s=60.0,"),),
        SILENT_STORE,
    ),
    Mutant(
        "a request without an answer throws doubt on idle connections to the server",
        "hornbeamgw/daemon/backend_pool.py",
        (("        silence.note_silent(self._doubts, sent_at)\n", ""),),
        SILENT_SERVERS,
    ),
    Mutant(
        "a server that answers others keeps its connections",
        "hornbeamgw/daemon/backend_pool.py",
        (("note_silent(self._doubts, sent_at)\n", "note_silent(self._doubts, sent_at + 60)\n"),),
        SILENT_SERVERS,
    ),
    Mutant(
        "a caller that takes nothing is let go",
        "hornbeamgw/daemon/http1.py",
        (("        if silence.overdue(self._signs, now) >= self.max_stall:", "        if False:"),),
        SILENT_CALLERS,
    ),
    Mutant(
        "a caller that takes a little is not silent",
        "hornbeamgw/daemon/http1.py",
        (("        if unsent < unsent_before:\n", "        if False:\n"),),
        SILENT_CALLERS,
    ),
    Mutant(
        "a link that is only asked questions is probed, too",
        "hornbeamgw/daemon/silence/link_pool.py",
        (
            (
                "            self._watch.probe(link, now)\n            if silence",
                "            if silence",
            ),
        ),
        SILENT_LINKS,
    ),
    Mutant(
        "a client's own pause throws no doubt on connections",
        "hornbeamgw/daemon/http1.py",
        (("limit.expired() and not silence.has_stalled(limit.when() or now, now)", "True"),),
        SILENT_STORE,
    ),
    Mutant(
        "a server's own pause is no silence of callers",
        "hornbeamgw/daemon/http1.py",
        (("        if silence.has_stalled(due, now):", "        if False:"),),
        SILENT_CALLERS,
    ),
)


def _run(tree: Path, feature: str) -> bool:
    known = ["--tags", "not @known_red"]
    command = [sys.executable, "-m", "behave", "--format", "progress", "--stop", *known, feature]
    environment = {"PYTHONPATH": str(tree), "PATH": os.defpath}
    try:
        done = subprocess.run(
            command, cwd=tree, capture_output=True, timeout=LIMIT_S, env=environment
        )
    except subprocess.TimeoutExpired:
        return True
    return done.returncode == 0


def _copy(target: Path) -> None:
    for name in ("hornbeamgw", "platform", "deploy", "docs", "features", "properties", "catalogue"):
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / name, target / name, ignore=ignored)


def passes_untouched(feature: str) -> bool:
    """Return whether a feature passes on a tree without any mutant."""
    with tempfile.TemporaryDirectory() as folder:
        _copy(Path(folder))
        return _run(Path(folder), feature)


def is_noticed(mutant: Mutant) -> bool:
    """Return whether the feature fails on a tree with the mutant."""
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder)
        _copy(tree)
        path = tree / mutant.file
        text = path.read_text(encoding="utf-8")
        for old, new in mutant.edits:
            if text.count(old) != 1:
                raise ValueError(f"{mutant.file}: {old!r} stands {text.count(old)} times")
            text = text.replace(old, new)
        path.write_text(text, encoding="utf-8")
        return not _run(tree, mutant.feature)


def main() -> None:
    """Try every mutant; exit code 1 where one goes unnoticed."""
    for feature in sorted({mutant.feature for mutant in MUTANTS}):
        if not passes_untouched(feature):
            sys.exit(f"{feature} fails without a mutant, so it can't notice one")
    unnoticed = 0
    for mutant in MUTANTS:
        noticed = is_noticed(mutant)
        unnoticed += not noticed
        print(f"{'noticed  ' if noticed else 'UNNOTICED'} {mutant.promise}", flush=True)
    print(f"{len(MUTANTS) - unnoticed} passed, {unnoticed} failed")
    sys.exit(1 if unnoticed else 0)


if __name__ == "__main__":
    main()
