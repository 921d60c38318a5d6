"""The change freeze component, which tracks the declared windows and sets the rules of the admission gate.

The component is pure: the caller passes the monotonic clock (ms) and readings of the host's wall clock.
Design: docs/design/change-freeze.md.
"""

from __future__ import annotations

import math
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from cedarthread.change_freeze.admission_gate import AdmissionGate
from cedarthread.change_freeze.deferred_changes import DeferredChange, ReleaseRateLimiter
from cedarthread.change_freeze.exception_pools import ExceptionPools
from cedarthread.change_freeze.freeze_rules import rule_from_terms
from cedarthread.change_freeze.stale_hold import StaleHold
from cedarthread.change_freeze.wall_clock import WallClock
from cedarthread.change_freeze.window import ClockReading, FreezeWindow, WindowState
from cedarthread.change_freeze.window_registry import WINDOW_ENTRY_KINDS, UnreadableEntry, WindowRegistry
from cedarthread.components.notifications import (
    AttemptCompleted,
    EntriesChanged,
    Notification,
    SettingsChanged,
    WallClockRead,
)
from cedarthread.logs import format_event
from cedarthread.model.actions import LogMessage
from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.outcomes import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from cedarthread.change_freeze.placement_changes import FreezeRule
    from cedarthread.change_freeze.window_entries import WindowTerms
    from cedarthread.components.messages import OutboundMessage
    from cedarthread.components.quota_escrow import QuotaEscrow
    from cedarthread.components.replicated_state import ReplicatedEntry, ReplicatedState
    from cedarthread.fleet_config import SharingConfig
    from cedarthread.model.settings import RouterSettings

WINDOW_LEAD_MS = 500.0  # how early windows start; twice the longest interval between ticks
PLACEMENT_EXPIRY_INTERVAL_MS = 5000.0  # time between removals of expired placements
# States in which a window's exception pool is open.
BUDGETED_STATES = (WindowState.PENDING, WindowState.IN_FORCE)
ACTIVE_STATES = (*BUDGETED_STATES, WindowState.LIFTED)  # states of a window in which placements are tracked


class ChangeFreezeComponent:
    """The change freeze of one router; owns its windows, its wall clock and the admission gate.

    The host must call ``on_tick`` before any event that is more than ``WINDOW_LEAD_MS`` after the last tick,
    because windows take effect on ticks.

    Args:
        settings: The router's settings.
        sharing: The fleet's limits of clock error and clock drift.
        replicated_state: Contains the entries that declare, revoke and lift windows.
        escrow: Contains the exception budgets of the windows.
        now_ms: The time on the monotonic clock.
        has_completed_bootstrap: Returns whether the entries of several peers were read completely in this
            incarnation. If so, the entries known at the start count even without confirmation by a
            majority (docs/design/change-freeze.md, step 21).
        try_acquire_release: Returns whether one deferred change may be released at a time on the monotonic
            clock, and consumes a token if so; None: a ``ReleaseRateLimiter`` of this component.
    """

    message_types: frozenset[int] = frozenset()

    def __init__(
        self,
        settings: RouterSettings,
        sharing: SharingConfig,
        replicated_state: ReplicatedState,
        escrow: QuotaEscrow,
        *,
        now_ms: float = 0.0,
        has_completed_bootstrap: Callable[[], bool] = bool,
        try_acquire_release: Callable[[float], bool] | None = None,
    ) -> None:
        self.replicated_state = replicated_state
        self.settings = settings
        self.wall_clock = WallClock(max(1, settings.router_count), sharing.clock_error, sharing.clock_rate)
        self.gate = AdmissionGate(escrow, try_acquire_release or ReleaseRateLimiter(refilled_at_ms=now_ms))
        self.registry = WindowRegistry()
        self.stale_hold = StaleHold(now_ms, has_completed_bootstrap)
        self.exception_pools = ExceptionPools(escrow, self.wall_clock.max_error_ms + WINDOW_LEAD_MS)
        self.last_expiry_at_ms = now_ms
        self.reported_deviation_ms = 0.0
        self.pending_messages: list[OutboundMessage] = []
        self._update_gate(now_ms)

    # Methods of the component interface.

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Ignore the datagram: the component has no message type."""
        return ()

    def on_notification(self, now_ms: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Process new entries, settings, endpoints, wall clock readings and completed attempts."""
        if isinstance(notification, AttemptCompleted):
            self._on_attempt_completed(now_ms, notification)
        elif isinstance(notification, EndpointUpdate):
            self.gate.placements.on_endpoint_update(notification)
        elif isinstance(notification, WallClockRead):
            unix_ms = notification.unix_ms
            requires_confirmation = self._requires_step_confirmation(unix_ms)
            self._log(
                self.wall_clock.on_host_reading(now_ms, unix_ms, requires_confirmation=requires_confirmation)
            )
        elif isinstance(notification, SettingsChanged):
            self.settings = notification.settings
            self.wall_clock.router_count = max(1, notification.settings.router_count)
            self._update_gate(now_ms)
        elif isinstance(notification, EntriesChanged):
            self._add_entries(now_ms, notification.entries)
            self._update_gate(now_ms)
        return self._drain_messages()

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Read the replicated store and the clocks, and update the gate."""
        for kind in WINDOW_ENTRY_KINDS:
            self._add_entries(now_ms, self.replicated_state.entries(kind))
        for window_id in self.registry.prune(self.replicated_state):
            self.exception_pools.remove(window_id)
        self._report_clock_deviation(now_ms)
        self._update_gate(now_ms)
        if now_ms - self.last_expiry_at_ms >= PLACEMENT_EXPIRY_INTERVAL_MS:
            self.last_expiry_at_ms = now_ms
            self.gate.placements.expire(now_ms)
        return self._drain_messages()

    def status(self, now_ms: float) -> Mapping[str, str]:
        """Return the metrics for operators; their names are part of the operators' interface."""
        metrics = {
            "freeze_wanted": str(len(self.gate.deferred_changes)),
            "freeze_denied": str(self.gate.denied_count),
            "freeze_allowance_used": str(self.gate.exceptions_used),
            "freeze_unsure": str(int(self.gate.is_uncertain)),
            "freeze_clock_off_ms": f"{self.reported_deviation_ms:.0f}",
            "freeze_clock_steps": str(self.wall_clock.step_count),
            "freeze_unreadable": str(len(self.registry.unreadable)),
        }
        windows = self.registry.windows.items()
        return metrics | {f"freeze_window_{name}": window.state.value for name, window in windows}

    # Methods for the host.

    def release_deferred_changes(self, now_ms: float) -> list[DeferredChange]:
        """Return the deferred changes that the host must make now, at the gate's release rate."""
        released = self.gate.release(now_ms) if self.gate.deferred_changes else []
        self._update_gate(now_ms)
        return released

    def on_worker_down(self, now_ms: float, worker_id: int) -> None:
        """Remove the placements of a worker whose process accepts no connection."""
        self.gate.placements.on_worker_down(worker_id)

    # Entries and clocks.

    def _add_entries(self, now_ms: float, entries: Iterable[ReplicatedEntry]) -> None:
        for finding in self.registry.add(entries):
            if isinstance(finding, UnreadableEntry):
                entry = finding.entry
                self._log(
                    format_event(
                        "change_freeze_entry_unreadable",
                        kind=entry.kind,
                        name=entry.name,
                        error=finding.reason,
                    )
                )
            else:
                self._on_window_declared(now_ms, finding.window, finding.terms)

    def _on_window_declared(self, now_ms: float, window: FreezeWindow, terms: WindowTerms) -> None:
        unix_ms = self.wall_clock.unix_ms(now_ms)
        earliest_start_unix_ms = max(
            float(terms.start_unix_ms), unix_ms + self.replicated_state.staleness_bound_ms
        )
        window.was_declared_late = (
            not math.isnan(unix_ms)
            and terms.start_unix_ms < earliest_start_unix_ms
            and unix_ms < terms.end_unix_ms
        )
        late = (
            {"late_in_force_from": _format_time(earliest_start_unix_ms)} if window.was_declared_late else {}
        )
        self._log(
            format_event(
                "change_freeze_window_declared",
                window=terms.window_id,
                author=terms.author,
                reason=terms.reason,
                start=_format_time(terms.start_unix_ms),
                end=_format_time(terms.end_unix_ms),
                **late,
            )
        )

    def _requires_step_confirmation(self, unix_ms: float) -> bool:
        """Return whether other routers must confirm a step of the wall clock to this time."""
        is_sensitive = self.registry.has_step_sensitive_window(
            unix_ms, self.wall_clock.max_error_ms, self.replicated_state.staleness_bound_ms
        )
        return is_sensitive or self.gate.is_uncertain

    def _report_clock_deviation(self, now_ms: float) -> None:
        deviation_ms = self.wall_clock.deviation_ms(now_ms)
        reported_ms = self.reported_deviation_ms
        has_changed = abs(deviation_ms - reported_ms) > 2 * self.wall_clock.max_error_ms
        if (deviation_ms != 0.0) != (reported_ms != 0.0) or has_changed:
            if deviation_ms:
                # A positive deviation means that this clock is behind the median clock.
                self._log(format_event("wall_clock_deviating", offset_s=f"{-deviation_ms / 1000.0:+.1f}"))
            else:
                self._log(format_event("wall_clock_synchronized"))
            self.reported_deviation_ms = deviation_ms

    def _clock_reading(self, now_ms: float) -> ClockReading:
        earliest_unix_ms, latest_unix_ms = self.wall_clock.unix_ms_bounds(now_ms)
        return ClockReading(
            now_ms,
            earliest_unix_ms,
            latest_unix_ms,
            self.replicated_state.staleness_bound_ms,
            WINDOW_LEAD_MS,
        )

    # Updates of the admission gate.

    def _update_uncertainty(self, now_ms: float) -> None:
        is_fresh = self.replicated_state.is_fresh(now_ms)
        is_uncertain = self.stale_hold.is_uncertain(
            now_ms, is_fresh=is_fresh, has_entries=self.registry.has_entries
        )
        if is_uncertain != self.gate.is_uncertain and now_ms > self.stale_hold.started_at_ms:
            self._log(
                format_event(
                    "change_freeze_hold_started", reason="this router may not have received a declared window"
                )
                if is_uncertain
                else format_event("change_freeze_hold_ended")
            )
        self.gate.is_uncertain = is_uncertain

    def _update_gate(self, now_ms: float) -> None:
        """Update the states of all windows, and the gate's rules from the windows in force."""
        self._update_uncertainty(now_ms)
        reading = self._clock_reading(now_ms)
        rules: list[FreezeRule] = []
        for window in self.registry.windows.values():
            previous_state = window.state
            in_force = window.update(reading)
            if window.state is not previous_state:
                state = window.state.name.lower()
                self._log(
                    format_event("change_freeze_window_state_changed", window=window.window_id, state=state)
                )
            budget = window.minimum_exception_budget()
            rules += [rule_from_terms(terms, budget, self.settings) for terms in in_force]
            if window.state in BUDGETED_STATES:
                remaining_ms = max(0.0, window.latest_end_unix_ms() - reading.earliest_unix_ms)
                self.exception_pools.update(window.window_id, budget, now_ms + remaining_ms)
        has_active_window = any(window.state in ACTIVE_STATES for window in self.registry.windows.values())
        self.gate.set_rules(rules, has_active_window=has_active_window)

    def _on_attempt_completed(self, now_ms: float, completed: AttemptCompleted) -> None:
        if completed.outcome is Outcome.OK or completed.was_warm:
            self.gate.placements.record(now_ms, completed.function_id, completed.worker_id)

    # Messages.

    def _log(self, line: str | None) -> None:
        if line is not None:
            self.pending_messages.append(LogMessage(line))

    def _drain_messages(self) -> list[OutboundMessage]:
        messages, self.pending_messages = self.pending_messages, []
        return messages


def _format_time(unix_ms: float) -> str:
    return datetime.fromtimestamp(unix_ms / 1000.0, UTC).isoformat(timespec="seconds")
