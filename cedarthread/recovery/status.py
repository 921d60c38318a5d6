"""The figures of the recovery for ``INFO``, under the names that operators read, and its log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.recovery.pacing_limits import PacedAction
from cedarthread.recovery.state_machine import RecoveryPhase, TransitionCause

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarthread.recovery.component import RecoveryComponent

_PHASE_FIGURES = {
    RecoveryPhase.STARTING: "starting",
    RecoveryPhase.PEER_QUERY: "asking",
    RecoveryPhase.WARMING: "warming",
    RecoveryPhase.IN_SERVICE: "in_service",
}
_CAUSE_FIGURES = {
    TransitionCause.START: "start",
    TransitionCause.EVIDENCE: "evidence",
    TransitionCause.TIMEOUT: "time",
    TransitionCause.PAUSE: "pause",
}

PAUSE_LOG_LINE = format_event("process_pause_detected")


def phase_log_line(recovery: RecoveryComponent, now_ms: float) -> str:
    """Return the log line of a change of phase."""
    machine = recovery.state_machine
    return format_event(
        "recovery_phase_changed",
        phase=machine.phase.name.lower(),
        cause=machine.cause.name.lower(),
        after_ms=f"{now_ms - recovery.restarted_at_ms:.0f}",
        known_instances=recovery.warm_state.observation_count,
        warm_fraction=f"{recovery.warm_fraction.recent(now_ms):.2f}",
    )


def recovery_status(recovery: RecoveryComponent, now_ms: float) -> Mapping[str, str]:
    """Return the figures of one router's recovery, by name."""
    machine = recovery.state_machine
    server = recovery.query_server
    deferred = recovery.pacer.deferred_counts
    baseline = recovery.baseline_warm_fraction()
    unreadable = (
        recovery.malformed_count + recovery.unknown_sender_count + recovery.query_client.unexpected_count
    )
    return {
        "return_phase": _PHASE_FIGURES[machine.phase],
        "return_phase_by": _CAUSE_FIGURES[machine.cause],
        "return_phase_ms": f"{now_ms - machine.entered_at_ms:.0f}",
        "return_bounded": str(int(recovery.admission.is_paced)),
        "return_mass": str(int(recovery.is_mass_restart(now_ms))),
        "return_places": str(recovery.warm_state.observation_count),
        "return_warm": f"{recovery.warm_fraction.recent(now_ms):.2f}",
        "return_warm_usual": "unknown" if baseline is None else f"{baseline:.2f}",
        "return_asked": str(recovery.query_client.sent_count),
        "return_answered": str(server.answered_queries),
        "return_put_off_peers": str(server.rejected_queries + server.dropped_queries),
        "return_put_off_loads": str(deferred[PacedAction.LOAD]),
        "return_put_off_connections": str(deferred[PacedAction.CONNECT]),
        "return_unreadable": str(unreadable),
    }
