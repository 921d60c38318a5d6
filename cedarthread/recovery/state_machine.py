"""The state machine of a recovery: its phases, and the conditions under which each phase ends.

    starting -> peer query -> warming -> in service; a pause of the process returns to the peer query

A phase ends when its condition is satisfied, at the latest at its timeout. With the timeouts a router enters
service even if no peer responds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.model.settings import RouterSettings

MEMBERSHIP_PERIOD_MS = 500.0
"""Protocol period of the SWIM membership."""
STARTING_TIMEOUT_PERIODS = 4.0
"""Timeout of STARTING, in membership periods; by then it is known whether a majority is alive."""
MIN_PHASE_TIMEOUT_MS = 500.0
MAX_PEER_QUERY_MS = 4000.0
MAX_WARMING_MS = 30_000.0
WARMING_TIMEOUT_KEEP_ALIVES = 2.0
"""Number of keep-alives after which each instance from before the restart has been reused or unloaded."""
PAUSE_THRESHOLD_MS = 2000.0
"""Time without events after which the process counts as paused; the membership uses the same time."""
TARGET_WARM_RATIO = 0.95
"""Fraction of the baseline warm fraction that the recent one must reach to end the warming phase."""
DEFAULT_WARM_FRACTION = 0.9
"""Baseline warm fraction if neither the peers nor the stored snapshot supply one."""
MIN_RECENT_CALLS = 20.0
"""Minimum decayed number of calls for a usable warm fraction."""


class RecoveryPhase(IntEnum):
    """A phase of the recovery."""

    STARTING = 0
    PEER_QUERY = 1
    WARMING = 2
    IN_SERVICE = 3


class TransitionCause(IntEnum):
    """The cause of the last phase transition."""

    START = 0  # the process started
    EVIDENCE = 1  # the condition of the previous phase was satisfied
    TIMEOUT = 2
    PAUSE = 3  # the process paused


@dataclass(frozen=True, slots=True)
class PhaseTimeouts:
    """The maximum duration of each phase."""

    starting_ms: float
    peer_query_ms: float
    warming_ms: float

    @staticmethod
    def from_settings(settings: RouterSettings) -> PhaseTimeouts:
        """Return the timeouts for the settings.

        The peer query lasts at most half of the keep-alive, because observations older than the keep-alive
        are not usable, and at most half of the shortest deadline, so that waiting calls can still be served.
        """
        shortest_deadline_ms = min(
            (request_class.deadline_ms for request_class in settings.classes), default=MAX_PEER_QUERY_MS
        )
        return PhaseTimeouts(
            starting_ms=STARTING_TIMEOUT_PERIODS * MEMBERSHIP_PERIOD_MS,
            peer_query_ms=max(
                MIN_PHASE_TIMEOUT_MS,
                min(settings.instance_keep_alive_ms / 2, shortest_deadline_ms / 2, MAX_PEER_QUERY_MS),
            ),
            warming_ms=max(
                2 * MIN_PHASE_TIMEOUT_MS,
                min(WARMING_TIMEOUT_KEEP_ALIVES * settings.instance_keep_alive_ms, MAX_WARMING_MS),
            ),
        )

    def for_phase(self, phase: RecoveryPhase) -> float:
        """Return the timeout of one phase in ms; infinite for the last phase."""
        return (self.starting_ms, self.peer_query_ms, self.warming_ms, math.inf)[phase]

    def total_ms(self) -> float:
        """Return the maximum duration of a complete recovery."""
        return self.starting_ms + self.peer_query_ms + self.warming_ms


@dataclass(frozen=True, slots=True)
class RecoveryEvidence:
    """The inputs of the conditions that end phases."""

    has_endpoint_list: bool
    can_query_peers: bool
    has_majority: bool  # more than half of the configured routers are known to be alive
    is_peer_query_complete: bool
    recent_calls: float  # decayed number of calls that reported whether they found a warm instance
    warm_fraction: float  # fraction of the recent calls that found a warm instance
    baseline_warm_fraction: float | None  # warm fraction reported by peers, or measured before the restart
    has_deferred_loads: bool


class RecoveryStateMachine:
    """The current phase, the cause and time of the transition to it, and the rules for the next transition.

    ``RecoveryComponent`` calls ``detect_pause`` first for each event, and ``advance`` at each tick.
    """

    def __init__(self, timeouts: PhaseTimeouts, now_ms: float) -> None:
        self.timeouts = timeouts
        self.phase = RecoveryPhase.STARTING
        self.cause = TransitionCause.START
        self.entered_at_ms = now_ms
        self.restarted_at_ms = now_ms  # time of the start of the process, or of the end of its last pause
        self.last_event_ms = now_ms

    def detect_pause(self, now_ms: float) -> bool:
        """Return whether the process was paused since the last event; if so, restart the recovery.

        Must be called first for each event.
        """
        was_paused = now_ms - self.last_event_ms > PAUSE_THRESHOLD_MS
        self.last_event_ms = now_ms
        if was_paused:
            self.restarted_at_ms = now_ms
        if was_paused and self.phase is not RecoveryPhase.STARTING:
            self._enter(now_ms, RecoveryPhase.PEER_QUERY, TransitionCause.PAUSE)
        return was_paused

    def advance(self, now_ms: float, evidence: RecoveryEvidence) -> bool:
        """Enter the next phase if the condition of the current one is satisfied or its timeout has passed.

        Returns:
            Whether the phase changed.
        """
        if self.phase is RecoveryPhase.IN_SERVICE:
            return False
        has_timed_out = now_ms - self.entered_at_ms >= self.timeouts.for_phase(self.phase)
        is_complete = self._is_phase_complete(evidence)
        if not has_timed_out and not is_complete:
            return False
        next_phase = RecoveryPhase(self.phase + 1)
        if next_phase is RecoveryPhase.PEER_QUERY and not evidence.can_query_peers:
            next_phase = RecoveryPhase.WARMING
        self._enter(now_ms, next_phase, TransitionCause.EVIDENCE if is_complete else TransitionCause.TIMEOUT)
        return True

    def _is_phase_complete(self, evidence: RecoveryEvidence) -> bool:
        """Return whether the condition that ends the current phase is satisfied."""
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
        self.phase = phase
        self.cause = cause
        self.entered_at_ms = now_ms
