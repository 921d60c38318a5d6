"""The recovery component, which connects the state machine, the peer query, the warm state and the pacing.

The host passes datagrams and notifications in, and requests permission for each load and connection. If the
settings do not allow gossip, the component neither sends nor answers peer queries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.messages import MessageType, OutboundMessage
from cedarthread.components.notifications import (
    AttemptCompleted,
    Notification,
    PeersChanged,
    SettingsChanged,
    WallClockRead,
)
from cedarthread.model.actions import LogMessage, SendToPeer
from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.outcomes import Outcome
from cedarthread.recovery import codec, snapshot
from cedarthread.recovery.admission import DEFAULT_LOAD_TIME_MS, RecoveryAdmission
from cedarthread.recovery.fleet_view import FleetView, WorkerReportView
from cedarthread.recovery.pacing import Pacer
from cedarthread.recovery.pacing_limits import PacedAction, PacingLimits
from cedarthread.recovery.peer_query import PeerQueryClient, PeerQueryServer
from cedarthread.recovery.state_machine import (
    PhaseTimeouts,
    RecoveryEvidence,
    RecoveryPhase,
    RecoveryStateMachine,
)
from cedarthread.recovery.status import PAUSE_LOG_LINE, phase_log_line, recovery_status
from cedarthread.recovery.warm_fraction import WarmFractionTracker
from cedarthread.recovery.warm_state import WarmState

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cedarthread.model.instance_load import InstanceLoad
    from cedarthread.model.settings import RouterSettings

SUSPENSION_AFTER_PAUSE_MS = 500.0
"""Time after a pause for which the warm state is not used, because buffered responses may precede it."""
LOAD_DEFERRAL_FRACTION = 0.25
"""Fraction of the peer query's timeout for which loads wait for peers to report warm instances."""
MASS_RESTART_RETRY_AFTER_FRACTION = 0.6
"""The upper fraction of the longest Retry-After during a mass restart."""
MAX_CLOCK_ERROR_MS = 500.0
"""Largest assumed difference between the wall clocks of two incarnations."""


class RetryAfterFractions(NamedTuple):
    """The fractions of the longest Retry-After between which that of a rejected client is drawn."""

    lower: float
    upper: float


RETRY_AFTER_FRACTIONS = RetryAfterFractions(0.05, 0.15)
_MASS_RESTART_RETRY_AFTER_FRACTIONS = RETRY_AFTER_FRACTIONS._replace(upper=MASS_RESTART_RETRY_AFTER_FRACTION)


class WallClock(NamedTuple):
    """A reading of the wall clock, with the time of the steady clock at the reading."""

    unix_ms: float
    read_at_ms: float

    def at(self, now_ms: float) -> float:
        """Return the Unix time in ms at a time on the steady clock."""
        return self.unix_ms + now_ms - self.read_at_ms


class RecoveryComponent:
    """Restart recovery as one component of the routing node; owns all state of one router's recovery.

    Args:
        settings: Settings of the router.
        seed: Seed of the random numbers.
        now_ms: Start of the process.
    """

    message_types: frozenset[int] = frozenset({MessageType.RECOVERY})

    def __init__(self, settings: RouterSettings, seed: int, now_ms: float = 0.0) -> None:
        self.settings = settings
        self.can_query_peers = _can_query_peers(settings)
        self.restarted_at_ms = now_ms  # start, or end of the last pause
        self.warm_state = WarmState(settings.keep_alive_ms)
        self.query_client = PeerQueryClient(seed, now_ms)
        self.query_server = PeerQueryServer(now_ms)
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
        self.wall_clock: WallClock | None = None
        self.has_unreported_pause = False
        self.malformed_count = 0
        self.unknown_sender_count = 0

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Handle a datagram of the peer query; return the datagrams to send."""
        self._check_pause(now_ms)
        if not self.can_query_peers or not self._is_peer(sender):
            self.unknown_sender_count += 1
            return []
        message = codec.decode(data)
        if isinstance(message, MalformedDatagram):
            self.malformed_count += 1
            return []
        self.fleet_view.seen_peers.add(sender)
        if isinstance(message, codec.Query):
            template = self._response_template(now_ms)
            return self.query_server.on_query(now_ms, sender, message, self.warm_state, template)
        if isinstance(message, codec.Busy):
            self.query_client.on_busy(now_ms, sender, message)
        else:
            self._on_response(now_ms, sender, message)
        return self._query_peers(now_ms)

    def _is_peer(self, sender: int) -> bool:
        return sender != self.settings.router_index and 0 <= sender < self.settings.router_count

    def _response_template(self, now_ms: float) -> codec.Response:
        """Return a response with the fields that describe this router itself."""
        own_rates = self.pacer.baseline.own_per_second
        return codec.Response(
            nonce=0,
            part=0,
            part_count=1,
            warm_fraction=self.warm_fraction.baseline(now_ms) if self.is_in_service() else None,
            uptime_ms=now_ms - self.restarted_at_ms,
            baseline_rates=(
                codec.BaselineRates(own_rates[PacedAction.LOAD], own_rates[PacedAction.CONNECT])
                if len(own_rates) == len(PacedAction)
                else None
            ),
        )

    def _on_response(self, now_ms: float, sender: int, response: codec.Response) -> None:
        has_older_peers = self.fleet_view.has_older_peers(now_ms, self.restarted_at_ms)
        self.query_client.on_response(
            now_ms, sender, response, self.warm_state, has_older_peers=has_older_peers
        )
        self.pacer.record_result(PacedAction.PEER_QUERY, succeeded=True)
        peer_baseline = self.query_client.reports.median_baseline_rates()
        if peer_baseline is not None and not self.pacer.baseline.own_per_second:
            self.pacer.baseline.peer_per_second = {
                PacedAction.LOAD: peer_baseline.loads_per_second,
                PacedAction.CONNECT: peer_baseline.connections_per_second,
            }

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Advance the phases and the ramps, and send queries; called some times per second."""
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
            self.warm_fraction.remember_baseline(now_ms)
        messages += self._query_peers(now_ms)
        while self.state_machine.advance(now_ms, self._evidence(now_ms)):
            if self.is_in_service():
                self.pacer.enter_service(now_ms)
            messages.append(LogMessage(phase_log_line(self, now_ms)))
        self.admission.on_tick(now_ms, is_in_service=self.is_in_service())
        return messages

    def on_notification(self, now_ms: float, fact: Notification) -> Sequence[OutboundMessage]:
        """Handle a change of peers, endpoints or settings, an ended attempt or a wall clock reading."""
        self._check_pause(now_ms)
        match fact:
            case AttemptCompleted():
                self._on_attempt_completed(now_ms, fact)
            case EndpointUpdate():
                self.warm_state.on_endpoint_update(now_ms, fact)
                self.pacer.worker_count = max(1, len(self.warm_state.workers))
                self.pacer.limits = PacingLimits.for_fleet(self.pacer.worker_count, DEFAULT_LOAD_TIME_MS)
            case PeersChanged():
                self.fleet_view.on_peers_changed(now_ms, fact)
                self.pacer.router_count = 1 + len(fact.alive_peers)
            case WallClockRead():
                self.wall_clock = WallClock(fact.unix_ms, now_ms)
            case SettingsChanged():
                self._on_settings_changed(fact.settings)
        return []

    def status(self, now_ms: float) -> Mapping[str, str]:
        """Return the figures for operators."""
        return recovery_status(self, now_ms)

    def is_in_service(self) -> bool:
        """Return whether the recovery is over."""
        return self.state_machine.phase is RecoveryPhase.IN_SERVICE

    def is_mass_restart(self, now_ms: float) -> bool:
        """Return whether most routers restart at once, or, without gossip, may do so."""
        if self.can_query_peers and self.fleet_view.latest_peers is not None:
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
            self.can_query_peers
            and self.state_machine.phase in (RecoveryPhase.STARTING, RecoveryPhase.PEER_QUERY)
            and now_ms - self.state_machine.entered_at_ms < max_deferral_ms
        )
        return self.admission.try_acquire_load(now_ms, function_id, awaits_peers=awaits_peers)

    def try_acquire_connection(self, now_ms: float, worker_id: int) -> bool:
        """Return whether a connection to a worker may start now; consumes a token if it returns True."""
        self._check_pause(now_ms)
        return self.admission.try_acquire_connection(now_ms, worker_id)

    def retry_after_fractions(self, now_ms: float) -> RetryAfterFractions:
        """Return the fractions of the longest Retry-After between which that of a client is drawn."""
        if not self.is_in_service() and self.is_mass_restart(now_ms):
            return _MASS_RESTART_RETRY_AFTER_FRACTIONS
        return RETRY_AFTER_FRACTIONS

    def on_load_report(self, reported_calls: float, own_calls: float) -> None:
        """Record a load report of a worker.

        Args:
            reported_calls: Calls in flight at the worker.
            own_calls: Those of them that this router had sent.
        """
        self.worker_reports.on_load_report(reported_calls, own_calls)

    def snapshot(self, now_ms: float) -> bytes | None:
        """Return the warm-state snapshot to store, with present ages; None without a wall clock reading."""
        if self.wall_clock is None:
            return None
        observations = self.warm_state.digest(now_ms, limit=snapshot.MAX_STORED_OBSERVATIONS)
        own_rates = self.pacer.update_baseline(now_ms)
        unix_ms = self.wall_clock.at(now_ms)
        return snapshot.encode(unix_ms, self.baseline_warm_fraction(), own_rates, observations)

    def restore(self, now_ms: float, raw: bytes, clock_error_ms: float = MAX_CLOCK_ERROR_MS) -> int:
        """Restore the stored snapshot of the previous incarnation.

        Observations are restored only after a wall clock reading, because their ages need the downtime.

        Args:
            now_ms: Present time.
            raw: The stored snapshot.
            clock_error_ms: Largest difference between the wall clocks of the two incarnations; added to each
                age.

        Returns:
            How many observations changed the warm state.
        """
        stored = snapshot.decode(raw)
        if stored is None:
            self.malformed_count += 1
            return 0
        baseline = self.pacer.baseline
        baseline.own_per_second = stored.known_baselines() | baseline.own_per_second
        if stored.baseline_warm_fraction is not None and 0.0 <= stored.baseline_warm_fraction <= 1.0:
            self.warm_fraction.remembered_baseline = stored.baseline_warm_fraction
        if self.wall_clock is None:
            return 0
        unix_ms = self.wall_clock.at(now_ms)
        return snapshot.restore_observations(stored, self.warm_state, now_ms, unix_ms, clock_error_ms)

    def baseline_warm_fraction(self) -> float | None:
        """Return the baseline fraction of warm calls: reported by peers, else from before the restart."""
        reported = self.query_client.reports.median_warm_fraction()
        return self.warm_fraction.remembered_baseline if reported is None else reported

    def _check_pause(self, now_ms: float) -> None:
        """Restart the recovery if the process was paused; every event calls this method first."""
        if not self.state_machine.detect_pause(now_ms):
            return
        self.has_unreported_pause = True
        self.restarted_at_ms = now_ms
        self.warm_state.suspended_until_ms = now_ms + SUSPENSION_AFTER_PAUSE_MS
        self.query_client.restart(now_ms)
        self.admission.restart(now_ms)
        self.warm_fraction.restart()

    def _query_peers(self, now_ms: float) -> list[SendToPeer]:
        if not self.can_query_peers or self.state_machine.phase is not RecoveryPhase.PEER_QUERY:
            return []
        peer_uptimes_ms = self.fleet_view.peer_uptimes_ms(now_ms)
        return self.query_client.on_tick(
            now_ms, peer_uptimes_ms, lambda: self.pacer.try_acquire(now_ms, PacedAction.PEER_QUERY)
        )

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
        self.admission.settle_load(
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
            can_query_peers=self.can_query_peers,
            has_majority=self.fleet_view.has_majority(),
            is_peer_query_complete=self.query_client.is_complete(),
            recent_calls=self.warm_fraction.recent_calls(now_ms),
            warm_fraction=self.warm_fraction.recent(now_ms),
            baseline_warm_fraction=self.baseline_warm_fraction(),
            has_deferred_loads=self.admission.deferrals.has_long_deferral(now_ms),
        )

    def _on_settings_changed(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.warm_state.keep_alive_ms = settings.keep_alive_ms
        self.can_query_peers = _can_query_peers(settings)
        self.state_machine.timeouts = PhaseTimeouts.from_settings(settings)
        self.fleet_view.router_count = settings.router_count
        self.worker_reports.router_count = settings.router_count


def _can_query_peers(settings: RouterSettings) -> bool:
    return settings.limits.allows_gossip and settings.router_count > 1
