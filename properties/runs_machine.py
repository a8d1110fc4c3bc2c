"""Runs of a backend server: heartbeats and farewells in any order, delayed, doubled and lost.

A true server is started, drains, ends and is started again, under its id or another, and sends
heartbeats that arrive whenever they do. Whatever arrives, no run comes back that has been followed
by a later one, that has left, or that began to drain.
"""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hornbeamgw.core import registration
from hornbeamgw.core.membership import ServerState
from hornbeamgw.core.registration import Departure, Heartbeat, RegistrationState

PROFILE = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.generate, Phase.shrink),
    suppress_health_check=list(HealthCheck),
)
IDS = ("i-1", "i-2", "i-3")


class _Run(NamedTuple):
    instance: str
    started_ms: int


class RunsMachine(RuleBasedStateMachine):
    """Play one server's life and what arrives of it at the daemon beside it."""

    def __init__(self) -> None:
        """Start with a server that has said nothing."""
        super().__init__()
        self.state = RegistrationState()
        self.now_ms = 1_000
        self.run = _Run("i-1", self.now_ms)
        self.sequence = 0
        self.is_draining = False
        self.under_way: list[Heartbeat | Departure] = []
        self.latest_taken = 0
        self.left: set[_Run] = set()
        self.drained: set[_Run] = set()

    def _say(self, state: ServerState) -> None:
        self.sequence += 1
        beat = Heartbeat(self.run.instance, "s", "10.0.0.1:1", 6, state, self.sequence)
        self.under_way.append(beat._replace(started_ms=self.run.started_ms))

    @rule()
    def heartbeat(self) -> None:
        """Say how the server is."""
        self._say(ServerState.DRAINING if self.is_draining else ServerState.SERVING)

    @rule()
    def drain(self) -> None:
        """Begin to leave."""
        self.is_draining = True
        self._say(ServerState.DRAINING)

    @rule()
    def depart(self) -> None:
        """Say farewell; what follows is another run."""
        self.under_way.append(Departure(self.run.instance, self.run.started_ms))
        self.start(self.run.instance)

    @rule(instance=st.sampled_from(IDS))
    def start(self, instance: str) -> None:
        """Start a run, under the same id or another, with nothing known of before."""
        self.now_ms += 1
        self.run, self.sequence, self.is_draining = _Run(instance, self.now_ms), 0, False

    @rule(data=st.data(), twice=st.booleans())
    def arrive(self, data: st.DataObject, twice: bool) -> None:
        """Let any of what is under way arrive, and perhaps again later."""
        if not self.under_way:
            return
        index = data.draw(st.integers(0, len(self.under_way) - 1))
        told = self.under_way[index] if twice else self.under_way.pop(index)
        if isinstance(told, Departure):
            registration.retire(self.state, told.instance, told.started_ms)
            self.left.add(_Run(told.instance, told.started_ms))
            return
        if registration.receive(self.state, told, self.now_ms / 1000):
            run = _Run(told.instance, told.started_ms)
            assert told.started_ms >= self.latest_taken, "an earlier run came back"
            assert run not in self.left, "a run that left came back"
            self.latest_taken = told.started_ms
            if told.state is ServerState.DRAINING:
                self.drained.add(run)

    @invariant()
    def no_run_returns(self) -> None:
        """Check the run that is believed to live here."""
        current = self.state.current
        if current is None:
            return
        run = _Run(current.instance, current.started_ms)
        assert run not in self.left
        assert run not in self.drained or current.state is ServerState.DRAINING
