"""The metrics of the recovery for ``INFO``, and its log lines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.recovery.state_machine import RecoveryPhase, TransitionCause

if TYPE_CHECKING:
    from collections.abc import Mapping

_PHASE_VALUES = {
    RecoveryPhase.STARTING: "starting",
    RecoveryPhase.PEER_QUERY: "asking",
    RecoveryPhase.WARMING: "warming",
    RecoveryPhase.IN_SERVICE: "in_service",
}
_CAUSE_VALUES = {
    TransitionCause.START: "start",
    TransitionCause.EVIDENCE: "evidence",
    TransitionCause.TIMEOUT: "time",
    TransitionCause.PAUSE: "pause",
}

PAUSE_LOG_LINE = format_event("process_pause_detected")


@dataclass(frozen=True, slots=True)
class PhaseChange:
    """A phase transition, as it is logged."""

    phase: RecoveryPhase
    cause: TransitionCause
    since_restart_ms: float
    observation_count: int
    recent_warm_fraction: float


@dataclass(frozen=True, slots=True)
class RecoveryMetrics:
    """The current values of all metrics."""

    phase: RecoveryPhase
    cause: TransitionCause  # cause of the transition to the phase
    in_phase_ms: float
    is_paced: bool
    is_mass_restart: bool
    observation_count: int
    recent_warm_fraction: float
    baseline_warm_fraction: float | None
    sent_queries: int
    answered_queries: int
    rejected_queries: int  # peers' queries that this router answered as busy or not at all
    deferred_loads: int
    deferred_connections: int
    unreadable_count: int  # number of rejected datagrams and snapshots


def phase_log_line(change: PhaseChange) -> str:
    """Return the log line of a phase transition."""
    return format_event(
        "recovery_phase_changed",
        phase=change.phase.name.lower(),
        cause=change.cause.name.lower(),
        after_ms=f"{change.since_restart_ms:.0f}",
        known_instances=change.observation_count,
        warm_fraction=f"{change.recent_warm_fraction:.2f}",
    )


def recovery_status(metrics: RecoveryMetrics) -> Mapping[str, str]:
    """Return the metrics by their names in ``INFO``, which must not change."""
    baseline = metrics.baseline_warm_fraction
    return {
        "return_phase": _PHASE_VALUES[metrics.phase],
        "return_phase_by": _CAUSE_VALUES[metrics.cause],
        "return_phase_ms": f"{metrics.in_phase_ms:.0f}",
        "return_bounded": str(int(metrics.is_paced)),
        "return_mass": str(int(metrics.is_mass_restart)),
        "return_places": str(metrics.observation_count),
        "return_warm": f"{metrics.recent_warm_fraction:.2f}",
        "return_warm_usual": "unknown" if baseline is None else f"{baseline:.2f}",
        "return_asked": str(metrics.sent_queries),
        "return_answered": str(metrics.answered_queries),
        "return_put_off_peers": str(metrics.rejected_queries),
        "return_put_off_loads": str(metrics.deferred_loads),
        "return_put_off_connections": str(metrics.deferred_connections),
        "return_unreadable": str(metrics.unreadable_count),
    }
