"""Freeze windows as a part beside the router: what is held of them, when they act, and the gate they shut."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime

from cedarthread.change_freeze.admission_gate import (
    AdmissionGate,
    DeferredChange,
    FreezeRule,
    exception_pool_name,
)
from cedarthread.change_freeze.wall_clock import WallClock
from cedarthread.change_freeze.window import ClockReading, FreezeWindow, WindowState, WindowTerms, decode
from cedarthread.components.interface import (
    AttemptCompleted,
    EntriesChanged,
    Entry,
    EntryKind,
    Notification,
    OutboundMessage,
    QuotaEscrow,
    ReplicatedEntry,
    ReplicatedState,
    SettingsChanged,
    WallClockRead,
)
from cedarthread.fleet_config import SharingConfig
from cedarthread.gossip.codec import MalformedDatagram
from cedarthread.model.actions import LogMessage
from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import RouterSettings

WINDOW_LEAD_MS = 500.0  # ms by which windows begin early: the longest wait between turns, twice
# How long a router that is not fresh takes anything to be frozen, ms at most:
STALE_HOLD_MS = 60_000.0  # one that was fresh in this life, from then on: windows end though nobody is heard
RESTART_HOLD_MS = 600_000.0  # one that came back and holds an entry about windows
FIRST_START_HOLD_MS = 60_000.0  # one that came back, or first comes, and holds none
MAX_UNREADABLE_ENTRIES = 256  # entries that could not be read, remembered at most
RELEASES_PER_MS, RELEASE_BURST = 0.004, 4.0  # releases a ms after a window, and most saved up
PLACEMENT_EXPIRY_INTERVAL_MS = 5000.0  # ms between looks at what stood long ago
FINAL_STATES = (WindowState.ENDED, WindowState.REVOKED)
WINDOW_ENTRY_KINDS = (EntryKind.FREEZE, EntryKind.REVOKE, EntryKind.BREAK_GLASS)


@dataclass(slots=True)
class ReleaseRateLimiter:
    """A pace: some a ms, some saved up. A call of it takes one."""

    rate_per_ms: float = RELEASES_PER_MS
    burst: float = RELEASE_BURST
    tokens: float = RELEASE_BURST
    refilled_at_ms: float = 0.0

    def __call__(self, now: float) -> int:
        """1 where one may be released now."""
        self.tokens = min(self.burst, self.tokens + self.rate_per_ms * max(0.0, now - self.refilled_at_ms))
        self.refilled_at_ms = now
        if self.tokens < 1.0:
            return 0
        self.tokens -= 1.0
        return 1


class ChangeFreezeComponent:
    """The part. ``turn`` comes before any event that is later than ``LEAD`` after the last turn."""

    message_types: frozenset[int] = frozenset()

    def __init__(
        self,
        settings: RouterSettings,
        fleet_settings: SharingConfig,
        replicated_state: ReplicatedState,
        escrow: QuotaEscrow,
        now: float = 0.0,
        has_read_enough_peers: Callable[[], bool] = bool,
    ) -> None:
        """``read_enough``: whether several others were read whole in this life: what a start then knows
        counts, though no majority has confirmed it (design page, step 21)."""
        self.has_read_enough_peers = has_read_enough_peers
        self.replicated_state, self.escrow, self.settings = replicated_state, escrow, settings
        self.wall_clock = WallClock(
            max(1, settings.router_count), fleet_settings.clock_error, fleet_settings.clock_rate
        )
        self.gate = AdmissionGate(escrow)
        self.gate.take_release = ReleaseRateLimiter(refilled_at_ms=now)
        self.windows: dict[str, FreezeWindow] = {}
        self.last_seen_entries: dict[tuple[EntryKind, str], ReplicatedEntry] = {}  # as last taken
        self.unreadable_entries: dict[Entry, str] = {}
        self.opened_pools: dict[str, tuple[int, float]] = {}  # by window: total and end as last told
        self.last_fresh_at_ms: float | None = None  # when this router was last fresh
        self.started_at_ms, self.last_tick_at_ms, self.last_expiry_at_ms = now, now, now
        self.reported_deviation_ms = 0.0
        self.pending_messages: list[OutboundMessage] = []
        self._update_gate(now)

    def on_message(self, now: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """No datagram is its own."""
        return ()

    def on_notification(self, now: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Take a fact."""
        if isinstance(notification, AttemptCompleted):
            self._on_attempt_completed(now, notification)
        elif isinstance(notification, EndpointUpdate):
            self.gate.placements.on_endpoint_update(notification)
        elif isinstance(notification, WallClockRead):
            line = self.wall_clock.on_host_reading(
                now, notification.unix_ms, self._has_relevant_window(notification.unix_ms)
            )
            self._log(line)
        elif isinstance(notification, SettingsChanged):
            self.settings = notification.settings
            self.wall_clock.router_count = max(1, notification.settings.router_count)
            self._update_gate(now)
        elif isinstance(notification, EntriesChanged):
            self._take_entries(now, notification.entries)
            self._update_gate(now)
        return self._take_messages()

    def on_tick(self, now: float) -> Sequence[OutboundMessage]:
        """Look at the clocks and the register, and set the gate by them."""
        for kind in WINDOW_ENTRY_KINDS:
            self._take_entries(now, self.replicated_state.entries(kind))
        self._forget_removed_windows()
        self._report_clock_deviation(now)
        self._update_gate(now)
        self.last_tick_at_ms = now
        if now - self.last_expiry_at_ms >= PLACEMENT_EXPIRY_INTERVAL_MS:
            self.last_expiry_at_ms = now
            self.gate.placements.expire(now)
        return self._take_messages()

    def release_deferred_changes(self, now: float) -> list[DeferredChange]:
        """What was held back and may now be done, under the pace: the host carries it out."""
        released = self.gate.release(now) if self.gate.deferred_changes else []
        self._update_gate(now)
        return released

    def status(self, now: float) -> Mapping[str, str]:
        """What operators read."""
        figures = {
            "freeze_wanted": str(len(self.gate.deferred_changes)),
            "freeze_denied": str(self.gate.denied_count),
            "freeze_allowance_used": str(self.gate.exceptions_used),
            "freeze_unsure": str(int(self.gate.is_uncertain)),
            "freeze_clock_off_ms": f"{self.reported_deviation_ms:.0f}",
            "freeze_clock_steps": str(self.wall_clock.step_count),
            "freeze_unreadable": str(len(self.unreadable_entries)),
        }
        return figures | {
            f"freeze_window_{name}": window.state.value for name, window in self.windows.items()
        }

    # Inside.

    def _forget_removed_windows(self) -> None:
        """What the register has forgotten, long after its end, is forgotten here too."""
        names = {
            held.entry.name for kind in WINDOW_ENTRY_KINDS for held in self.replicated_state.entries(kind)
        }
        for name in [n for n, w in self.windows.items() if n not in names and w.state in FINAL_STATES]:
            del self.windows[name]
            self.opened_pools.pop(name, None)
        for key in [key for key in self.last_seen_entries if key[1] not in names]:
            del self.last_seen_entries[key]

    def _has_relevant_window(self, unix_ms: float) -> bool:
        """Whether there is a window that a step of the clock to this time could open, skip or bring back.

        Not so one that is still to come by both times: a clock that is set right before it is followed."""
        for window in self.windows.values():
            if (
                window.state is WindowState.ENDED
                and window.latest_end_unix_ms() <= unix_ms - self.wall_clock.max_error_ms
            ):
                continue
            if (
                window.state is WindowState.DECLARED
                and window.earliest_start_unix_ms() > unix_ms + self.replicated_state.staleness_bound_ms
            ):
                continue
            if window.state is not WindowState.REVOKED:
                return True
        return self.gate.is_uncertain

    def _clock_reading(self, now: float) -> ClockReading:
        return ClockReading(
            now,
            *self.wall_clock.unix_ms_bounds(now),
            self.replicated_state.staleness_bound_ms,
            WINDOW_LEAD_MS,
        )

    def _take_entries(self, now: float, entries: Sequence[ReplicatedEntry]) -> None:
        for entry in entries:
            key = (entry.entry.kind, entry.entry.name)
            if (
                entry.entry.kind not in WINDOW_ENTRY_KINDS
                or entry == self.last_seen_entries.get(key)
                or entry.entry in self.unreadable_entries
            ):
                continue
            self.last_seen_entries[key] = entry
            body = decode(entry.entry.kind, entry.entry.name, entry.entry.body)
            if isinstance(body, MalformedDatagram):
                self.unreadable_entries[entry.entry] = body.reason
                while len(self.unreadable_entries) > MAX_UNREADABLE_ENTRIES:
                    del self.unreadable_entries[next(iter(self.unreadable_entries))]
                self._log(f"{entry.entry.kind} {entry.entry.name!r} can't be read: {body.reason}")
                continue
            window = self.windows.setdefault(body.window_id, FreezeWindow(body.window_id))
            if window.add(entry, body) and isinstance(body, WindowTerms):
                self._on_window_declared(now, window, body)

    def _on_window_declared(self, now: float, window: FreezeWindow, terms: WindowTerms) -> None:
        unix_ms = self.wall_clock.unix_ms(now)
        earliest_start = max(float(terms.start_unix_ms), unix_ms + self.replicated_state.staleness_bound_ms)
        window.was_declared_late = (
            not math.isnan(unix_ms) and terms.start_unix_ms < earliest_start and unix_ms < terms.end_unix_ms
        )
        line = f"window {terms.window_id} by {terms.author} ({terms.reason}): "
        line += f"{_format_time(terms.start_unix_ms)} to {_format_time(terms.end_unix_ms)}"
        if window.was_declared_late:
            line += (
                f"; too late to begin then: it is in force everywhere from {_format_time(earliest_start)} on"
            )
        self._log(line)

    def _report_clock_deviation(self, now: float) -> None:
        deviation_ms = self.wall_clock.deviation_ms(now)
        if (deviation_ms != 0.0) != (self.reported_deviation_ms != 0.0) or abs(
            deviation_ms - self.reported_deviation_ms
        ) > 2 * self.wall_clock.max_error_ms:
            side = "behind" if deviation_ms > 0 else "ahead of"
            distance = f"{abs(deviation_ms) / 1000.0:.1f} s {side} most others'"
            wider = f"the wall clock is {distance}: windows are wider by that"
            self._log(wider if deviation_ms else "the wall clock agrees with others again")
            self.reported_deviation_ms = deviation_ms

    def _update_uncertainty(self, now: float) -> None:
        """Not fresh: a window may have been declared untold. Not for ever: service comes first in the end."""
        if self.replicated_state.is_fresh(now):
            self.last_fresh_at_ms = now
        since, hold_ms = (
            self.started_at_ms,
            RESTART_HOLD_MS if self.windows or self.unreadable_entries else FIRST_START_HOLD_MS,
        )
        if self.last_fresh_at_ms is not None:
            since, hold_ms = self.last_fresh_at_ms, STALE_HOLD_MS
        has_started = self.last_fresh_at_ms is None and self.has_read_enough_peers()
        is_uncertain = not self.replicated_state.is_fresh(now) and not has_started and now - since < hold_ms
        if is_uncertain != self.gate.is_uncertain and now > self.started_at_ms:
            self._log(
                "not fresh: placement stays as it is"
                if is_uncertain
                else "no more frozen for what may be missed"
            )
        self.gate.is_uncertain = is_uncertain

    def _update_gate(self, now: float) -> None:
        """Set the gate by what acts at this moment."""
        self._update_uncertainty(now)
        clock_reading = self._clock_reading(now)
        rules: list[FreezeRule] = []
        for window in self.windows.values():
            previous_state = window.state
            covering = window.update(clock_reading)
            if window.state is not previous_state:
                self._log(f"window {window.window_id}: {window.state.value}")
            for terms in covering:
                rules.append(self._rule_for(window, terms))
            if window.state in (WindowState.PENDING, WindowState.IN_FORCE):
                self._update_exception_pool(
                    window, now + max(0.0, window.latest_end_unix_ms() - clock_reading.earliest_unix_ms)
                )
        gate = self.gate
        gate.rules = _distinct(rules)
        gate.placements.is_frozen = bool(rules) or gate.is_uncertain
        live_states = (WindowState.PENDING, WindowState.IN_FORCE, WindowState.LIFTED)
        has_live_window = any(window.state in live_states for window in self.windows.values())
        gate.is_active = gate.is_uncertain or has_live_window or bool(gate.deferred_changes)
        if not gate.is_active:
            gate.kept_homes.clear()

    def _update_exception_pool(self, window: FreezeWindow, until_ms: float) -> None:
        previous_budget, previous_until_ms = self.opened_pools.get(window.window_id, (-1, 0.0))
        if (
            previous_budget != window.minimum_exception_budget()
            or abs(until_ms - previous_until_ms) > self.wall_clock.max_error_ms + WINDOW_LEAD_MS
        ):
            self.opened_pools[window.window_id] = window.minimum_exception_budget(), until_ms
            self.escrow.open_pool(
                exception_pool_name(window.window_id),
                window.minimum_exception_budget(),
                is_consumable=True,
                ends_at_ms=until_ms,
            )

    def _rule_for(self, window: FreezeWindow, terms: WindowTerms) -> FreezeRule:
        return FreezeRule(
            window.window_id,
            frozenset(terms.frozen_kinds),
            _indexes_of(terms.zone_names, self.settings.zones),
            frozenset(terms.function_ids) if terms.function_ids else None,
            _indexes_of(terms.tenant_names, tuple(tenant.name for tenant in self.settings.tenants)),
            window.minimum_exception_budget(),
        )

    def _on_attempt_completed(self, now: float, notification: AttemptCompleted) -> None:
        placements = self.gate.placements
        if notification.outcome is Outcome.OK or notification.was_warm:
            placements.record(now, notification.function_id, notification.worker_id)

    def on_worker_down(self, now: float, worker_id: int) -> None:
        """The host found a runner's process gone: no connection to it comes up."""
        self.gate.placements.on_worker_down(worker_id)

    def _log(self, line: str | None) -> None:
        if line is not None:
            self.pending_messages.append(LogMessage(f"freeze: {line}"))

    def _take_messages(self) -> list[OutboundMessage]:
        words, self.pending_messages = self.pending_messages, []
        return words


def _distinct(rules: list[FreezeRule]) -> tuple[FreezeRule, ...]:
    return tuple(dict.fromkeys(rules))


def _indexes_of(names: tuple[str, ...], known_names: tuple[str, ...]) -> frozenset[int] | None:
    """Numbers of names; one that these settings do not know may be any, so all are meant."""
    if not names or any(name not in known_names for name in names):
        return None
    return frozenset(known_names.index(name) for name in names)


def _format_time(unix_ms: float) -> str:
    return datetime.fromtimestamp(unix_ms / 1000.0, UTC).isoformat(timespec="seconds")
