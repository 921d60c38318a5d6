"""The recovery state machine: its phases, and what ends each of them.

    starting -> peer query -> warming -> in service; a pause of the process leads back to the peer query

A phase ends by evidence, or at its timeout, so that a router that hears from nobody starts to serve as well.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.model.settings import RouterSettings

MEMBERSHIP_PERIOD_MS = 500.0
"""Protocol period of the membership (SWIM)."""
STARTING_PERIODS = 4.0
"""Membership periods in which a majority is heard from, or is not there."""
MIN_PHASE_TIMEOUT_MS = 500.0
MAX_PEER_QUERY_MS = 4000.0
MAX_WARMING_MS = 30_000.0
WARMING_KEEP_ALIVES = 2.0
"""Keep-alives after which every instance that was in use has been seen again, or has been unloaded."""
PAUSE_THRESHOLD_MS = 2000.0
"""Time without any event after which the router takes itself for restarted; the membership does the same."""
TARGET_WARM_RATIO = 0.95
"""Part of the baseline warm fraction from which on the router counts as fully warm."""
DEFAULT_WARM_FRACTION = 0.9
"""Baseline warm fraction where neither the peers nor the store know one."""
MIN_RECENT_CALLS = 20.0
"""Decayed number of calls from which on a measured warm fraction is believed."""


class RecoveryPhase(IntEnum):
    """How far the recovery has come."""

    STARTING = 0
    PEER_QUERY = 1
    WARMING = 2
    IN_SERVICE = 3


class TransitionCause(IntEnum):
    """What led into the present phase."""

    START = 0
    EVIDENCE = 1
    TIMEOUT = 2
    PAUSE = 3


@dataclass(frozen=True, slots=True)
class PhaseTimeouts:
    """How long each phase lasts at most."""

    starting_ms: float
    peer_query_ms: float
    warming_ms: float

    @staticmethod
    def from_settings(settings: RouterSettings) -> PhaseTimeouts:
        """Timeouts for these settings.

        A peer query pays only while what peers remember is within the keep-alive, and must leave the calls
        that wait for it half of the shortest deadline.
        """
        shortest_deadline_ms = min(
            (request_class.deadline_ms for request_class in settings.classes), default=MAX_PEER_QUERY_MS
        )
        return PhaseTimeouts(
            starting_ms=STARTING_PERIODS * MEMBERSHIP_PERIOD_MS,
            peer_query_ms=max(
                MIN_PHASE_TIMEOUT_MS,
                min(settings.keep_alive_ms / 2, shortest_deadline_ms / 2, MAX_PEER_QUERY_MS),
            ),
            warming_ms=max(
                2 * MIN_PHASE_TIMEOUT_MS, min(WARMING_KEEP_ALIVES * settings.keep_alive_ms, MAX_WARMING_MS)
            ),
        )

    def for_phase(self, phase: RecoveryPhase) -> float:
        """The timeout of one phase, ms; infinite for the last."""
        return (self.starting_ms, self.peer_query_ms, self.warming_ms, math.inf)[phase]

    def total_ms(self) -> float:
        """The longest time that a whole recovery may take."""
        return self.starting_ms + self.peer_query_ms + self.warming_ms


@dataclass(frozen=True, slots=True)
class RecoveryEvidence:
    """What the router has seen of its recovery so far."""

    has_endpoint_list: bool
    can_query_peers: bool
    has_majority: bool  # of the configured routers has been heard from
    is_peer_query_complete: bool
    recent_calls: float  # decayed number of calls whose answers said whether they found a warm instance
    warm_fraction: float  # of these calls
    baseline_warm_fraction: float | None  # as it was before the restart, or as peers report it
    has_deferred_loads: bool


class RecoveryStateMachine:
    """Holds the present phase, since when, and why; decides when to go on."""

    def __init__(self, timeouts: PhaseTimeouts, now_ms: float) -> None:
        self.timeouts = timeouts
        self.phase = RecoveryPhase.STARTING
        self.cause = TransitionCause.START
        self.entered_at_ms = now_ms
        self.last_event_ms = now_ms

    def detect_pause(self, now_ms: float) -> bool:
        """Whether the process stood still since the last event; if so, the recovery begins again.

        To be called first with each event.
        """
        was_paused = now_ms - self.last_event_ms > PAUSE_THRESHOLD_MS
        self.last_event_ms = now_ms
        if was_paused and self.phase is not RecoveryPhase.STARTING:
            self._enter(now_ms, RecoveryPhase.PEER_QUERY, TransitionCause.PAUSE)
        return was_paused

    def advance(self, now_ms: float, evidence: RecoveryEvidence) -> bool:
        """Enter the next phase if the evidence or the timeout of this one says so; whether it did."""
        if self.phase is RecoveryPhase.IN_SERVICE:
            return False
        is_timed_out = now_ms - self.entered_at_ms >= self.timeouts.for_phase(self.phase)
        is_goal_reached = self._is_goal_reached(evidence)
        if not is_timed_out and not is_goal_reached:
            return False
        next_phase = RecoveryPhase(self.phase + 1)
        if next_phase is RecoveryPhase.PEER_QUERY and not evidence.can_query_peers:
            next_phase = RecoveryPhase.WARMING
        self._enter(
            now_ms, next_phase, TransitionCause.EVIDENCE if is_goal_reached else TransitionCause.TIMEOUT
        )
        return True

    def _is_goal_reached(self, evidence: RecoveryEvidence) -> bool:
        """Whether the present phase has reached what it is for."""
        if self.phase is RecoveryPhase.STARTING:
            return evidence.has_endpoint_list and (evidence.has_majority or not evidence.can_query_peers)
        if self.phase is RecoveryPhase.PEER_QUERY:
            return evidence.is_peer_query_complete or not evidence.can_query_peers
        baseline = evidence.baseline_warm_fraction
        if baseline is None:
            baseline = DEFAULT_WARM_FRACTION
        return (
            evidence.recent_calls >= MIN_RECENT_CALLS
            and evidence.warm_fraction >= TARGET_WARM_RATIO * baseline
            and not evidence.has_deferred_loads
        )

    def _enter(self, now_ms: float, phase: RecoveryPhase, cause: TransitionCause) -> None:
        self.phase, self.cause, self.entered_at_ms = phase, cause, now_ms
