"""The recovery component, which connects the state machine, the peer query, the warm state and the pacing.

The host passes datagrams and notifications in, and requests permission for each load and connection. If the
settings do not allow gossip, the component neither sends nor answers peer queries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.components.messages import MessageType, OutboundMessage
from cedarthread.components.notifications import (
    AttemptCompleted,
    Notification,
    PeersChanged,
    SettingsChanged,
    WallClockRead,
)
from cedarthread.model.actions import LogMessage
from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.outcomes import Outcome
from cedarthread.recovery.admission import DEFAULT_LOAD_TIME_MS, RecoveryAdmission
from cedarthread.recovery.fleet_view import FleetView, WorkerReportView
from cedarthread.recovery.pacing import Pacer
from cedarthread.recovery.pacing_limits import PacedAction, PacingLimits
from cedarthread.recovery.peer_exchange import PeerExchange
from cedarthread.recovery.retry_after import (
    MASS_RESTART_RETRY_AFTER_FRACTIONS,
    RETRY_AFTER_FRACTIONS,
    RetryAfterFractions,
)
from cedarthread.recovery.snapshot_exchange import MAX_CLOCK_ERROR_MS, SnapshotExchange
from cedarthread.recovery.state_machine import (
    PhaseTimeouts,
    RecoveryEvidence,
    RecoveryPhase,
    RecoveryStateMachine,
)
from cedarthread.recovery.status import (
    PAUSE_LOG_LINE,
    PhaseChange,
    RecoveryMetrics,
    phase_log_line,
    recovery_status,
)
from cedarthread.recovery.warm_fraction import WarmFractionTracker
from cedarthread.recovery.warm_state import WarmState

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cedarthread.model.instance_load import InstanceLoad
    from cedarthread.model.settings import RouterSettings

SUSPENSION_AFTER_PAUSE_MS = 500.0
"""Time after a pause without use of the warm state, because responses from before it may still arrive."""
LOAD_DEFERRAL_FRACTION = 0.25
"""Maximum wait of loads for peers in each phase before warming, as a fraction of the peer query's timeout."""


class RecoveryComponent:
    """Restart recovery as one component of the routing node; owns all state of one router's recovery.

    Args:
        settings: Settings of the router.
        seed: Seed of the random numbers.
        now_ms: Start of the process.
    """

    message_types: frozenset[int] = frozenset({MessageType.RECOVERY})

    def __init__(self, settings: RouterSettings, seed: int, now_ms: float = 0.0) -> None:
        self.warm_state = WarmState(settings.instance_keep_alive_ms)
        self.state_machine = RecoveryStateMachine(PhaseTimeouts.from_settings(settings), now_ms)
        self.fleet_view = FleetView(settings.router_count)
        self.worker_reports = WorkerReportView(settings.router_count)
        self.pacer = Pacer(
            settings.router_index,
            now_ms,
            PacingLimits.for_fleet(1, DEFAULT_LOAD_TIME_MS),
            settings.router_count,
        )
        self.admission = RecoveryAdmission(self.pacer)
        self.warm_fraction = WarmFractionTracker()
        self.snapshots = SnapshotExchange(self.warm_state, self.pacer, self.warm_fraction)
        self.peer_exchange = PeerExchange(
            settings,
            seed,
            now_ms,
            warm_state=self.warm_state,
            fleet_view=self.fleet_view,
            state_machine=self.state_machine,
            pacer=self.pacer,
            warm_fraction=self.warm_fraction,
        )
        self.has_unreported_pause = False

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Handle a datagram of the peer query; return the messages to send."""
        self._check_pause(now_ms)
        return self.peer_exchange.on_message(now_ms, sender, data)

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Advance the phases and the ramps, and send queries; called several times per second."""
        self._check_pause(now_ms)
        messages: list[OutboundMessage] = []
        if self.has_unreported_pause:
            self.has_unreported_pause = False
            messages.append(LogMessage(PAUSE_LOG_LINE))
        self.pacer.on_tick(now_ms)
        self.pacer.is_mass_restart = self.is_mass_restart(now_ms)
        self.warm_state.drop_expired(now_ms)
        if self.is_in_service():
            self.pacer.update_baseline(now_ms)
            self.warm_fraction.save_baseline(now_ms)
        messages += self.peer_exchange.send_queries(now_ms)
        while self.state_machine.advance(now_ms, self._evidence(now_ms)):
            if self.is_in_service():
                self.pacer.enter_service(now_ms)
            messages.append(LogMessage(phase_log_line(self._phase_change(now_ms))))
        self.admission.on_tick(now_ms, is_in_service=self.is_in_service())
        return messages

    def on_notification(self, now_ms: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Handle a change of peers, endpoints or settings, an ended attempt or a wall clock reading."""
        self._check_pause(now_ms)
        match notification:
            case AttemptCompleted():
                self._on_attempt_completed(now_ms, notification)
            case EndpointUpdate():
                self.warm_state.on_endpoint_update(now_ms, notification)
                self.pacer.worker_count = max(1, len(self.warm_state.workers))
                self.pacer.limits = PacingLimits.for_fleet(self.pacer.worker_count, DEFAULT_LOAD_TIME_MS)
            case PeersChanged():
                self.fleet_view.on_peers_changed(now_ms, notification)
                self.pacer.router_count = 1 + len(notification.alive_peers)
            case WallClockRead():
                self.snapshots.on_wall_clock_read(now_ms, notification.unix_ms)
            case SettingsChanged():
                self._on_settings_changed(notification.settings)
        return []

    def status(self, now_ms: float) -> Mapping[str, str]:
        """Return the metrics of the recovery for operators."""
        server = self.peer_exchange.server
        deferred_counts = self.pacer.deferred_counts
        return recovery_status(
            RecoveryMetrics(
                phase=self.state_machine.phase,
                cause=self.state_machine.cause,
                in_phase_ms=now_ms - self.state_machine.entered_at_ms,
                is_paced=self.admission.is_paced,
                is_mass_restart=self.is_mass_restart(now_ms),
                observation_count=self.warm_state.observation_count,
                recent_warm_fraction=self.warm_fraction.recent(now_ms),
                baseline_warm_fraction=self.baseline_warm_fraction(),
                sent_queries=self.peer_exchange.client.sent_count,
                answered_queries=server.answered_queries,
                rejected_queries=server.rejected_queries + server.dropped_queries,
                deferred_loads=deferred_counts[PacedAction.LOAD],
                deferred_connections=deferred_counts[PacedAction.CONNECT],
                unreadable_count=self.peer_exchange.rejected_count() + self.snapshots.malformed_count,
            )
        )

    def _phase_change(self, now_ms: float) -> PhaseChange:
        return PhaseChange(
            phase=self.state_machine.phase,
            cause=self.state_machine.cause,
            since_restart_ms=now_ms - self.state_machine.restarted_at_ms,
            observation_count=self.warm_state.observation_count,
            recent_warm_fraction=self.warm_fraction.recent(now_ms),
        )

    def is_in_service(self) -> bool:
        """Return whether the recovery is over."""
        return self.state_machine.phase is RecoveryPhase.IN_SERVICE

    def is_mass_restart(self, now_ms: float) -> bool:
        """Return whether most routers restart at once; without gossip, this is inferred from load reports."""
        if self.peer_exchange.can_query_peers and self.fleet_view.latest_peers is not None:
            return self.fleet_view.is_mass_restart(now_ms, self.state_machine.timeouts.total_ms())
        return self.worker_reports.is_mass_restart_possible()

    def warm_instances(self, now_ms: float, function_id: int) -> dict[int, InstanceLoad]:
        """Return the workers with a usable warm instance, in the form of ``LoadGossip.instances``."""
        self._check_pause(now_ms)
        return self.warm_state.warm_instances(now_ms, function_id)

    def try_acquire_load(self, now_ms: float, function_id: int) -> bool:
        """Return whether a load of a function may start now; consumes tokens if it returns True."""
        self._check_pause(now_ms)
        max_deferral_ms = LOAD_DEFERRAL_FRACTION * self.state_machine.timeouts.peer_query_ms
        awaits_peers = (
            self.peer_exchange.can_query_peers
            and self.state_machine.phase in (RecoveryPhase.STARTING, RecoveryPhase.PEER_QUERY)
            and now_ms - self.state_machine.entered_at_ms < max_deferral_ms
        )
        return self.admission.try_acquire_load(now_ms, function_id, awaits_peers=awaits_peers)

    def try_acquire_connection(self, now_ms: float, worker_id: int) -> bool:
        """Return whether a connection to a worker may start now; consumes a token if it returns True."""
        self._check_pause(now_ms)
        return self.admission.try_acquire_connection(now_ms, worker_id)

    def retry_after_fractions(self, now_ms: float) -> RetryAfterFractions:
        """Return the range from which a client's Retry-After is drawn, as fractions of its maximum."""
        if not self.is_in_service() and self.is_mass_restart(now_ms):
            return MASS_RESTART_RETRY_AFTER_FRACTIONS
        return RETRY_AFTER_FRACTIONS

    def on_load_report(self, reported_calls: float, own_calls: float) -> None:
        """Record a load report of a worker.

        Args:
            reported_calls: Calls in flight at the worker.
            own_calls: Calls in flight there that this router sent.
        """
        self.worker_reports.on_load_report(reported_calls, own_calls)

    def snapshot(self, now_ms: float) -> bytes | None:
        """Return the warm-state snapshot to store, with current ages; None without a wall clock reading."""
        return self.snapshots.create(now_ms, self.baseline_warm_fraction())

    def restore(self, now_ms: float, raw: bytes, clock_error_ms: float = MAX_CLOCK_ERROR_MS) -> int:
        """Restore the stored snapshot of the previous incarnation.

        The wall clock must have been read before, because the ages of observations include the downtime;
        otherwise the observations are dropped.

        Args:
            now_ms: Current time.
            raw: The stored snapshot.
            clock_error_ms: Maximum difference between the wall clocks of the two incarnations; added to each
                age.

        Returns:
            The number of new observations.
        """
        return self.snapshots.restore(now_ms, raw, clock_error_ms)

    def baseline_warm_fraction(self) -> float | None:
        """Return the baseline fraction of warm calls: reported by peers, else from before the restart."""
        reported = self.peer_exchange.client.reports.median_warm_fraction()
        return self.warm_fraction.saved_baseline if reported is None else reported

    def _check_pause(self, now_ms: float) -> None:
        """Restart the recovery if the process was paused; most public methods check this first."""
        if not self.state_machine.detect_pause(now_ms):
            return
        self.has_unreported_pause = True
        self.warm_state.suspended_until_ms = now_ms + SUSPENSION_AFTER_PAUSE_MS
        self.peer_exchange.restart(now_ms)
        self.admission.restart(now_ms)
        self.warm_fraction.restart()

    def _on_attempt_completed(self, now_ms: float, attempt: AttemptCompleted) -> None:
        if now_ms < self.warm_state.suspended_until_ms:
            return  # because the response may have been buffered during the pause
        succeeded = attempt.outcome is Outcome.OK
        is_cold_start = attempt.outcome is Outcome.NOT_LOADED or (
            attempt.was_warm is False and attempt.outcome is Outcome.ERROR
        )
        if succeeded or is_cold_start:
            self.warm_state.record_local(
                now_ms,
                attempt.worker_id,
                attempt.function_id,
                is_warm=succeeded,
                latency_ms=attempt.work_ms,
            )
        self.admission.reconcile_load(
            now_ms, attempt.function_id, was_warm=attempt.was_warm is True, succeeded=succeeded
        )
        self.pacer.record_call(attempt.worker_id)
        if attempt.was_warm is False and self.is_in_service():
            self.pacer.record_unpaced(now_ms, PacedAction.LOAD)
        if attempt.was_warm is not None:
            self.warm_fraction.record(now_ms, was_warm=attempt.was_warm)

    def _evidence(self, now_ms: float) -> RecoveryEvidence:
        return RecoveryEvidence(
            has_endpoint_list=bool(self.warm_state.workers),
            can_query_peers=self.peer_exchange.can_query_peers,
            has_majority=self.fleet_view.has_majority(),
            is_peer_query_complete=self.peer_exchange.client.is_complete(),
            recent_calls=self.warm_fraction.recent_calls(now_ms),
            warm_fraction=self.warm_fraction.recent(now_ms),
            baseline_warm_fraction=self.baseline_warm_fraction(),
            has_deferred_loads=self.admission.deferrals.has_long_deferral(now_ms),
        )

    def _on_settings_changed(self, settings: RouterSettings) -> None:
        self.warm_state.keep_alive_ms = settings.instance_keep_alive_ms
        self.peer_exchange.on_settings_changed(settings)
        self.state_machine.timeouts = PhaseTimeouts.from_settings(settings)
        self.fleet_view.router_count = settings.router_count
        self.worker_reports.router_count = settings.router_count
