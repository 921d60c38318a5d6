"""Creation of the snapshot for the store, and restoration of that of the previous incarnation."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.recovery import snapshot

if TYPE_CHECKING:
    from cedarthread.recovery.pacing import Pacer
    from cedarthread.recovery.warm_fraction import WarmFractionTracker
    from cedarthread.recovery.warm_state import WarmState

MAX_CLOCK_ERROR_MS = 500.0
"""Maximum assumed difference between the wall clocks of two incarnations."""


class WallClock(NamedTuple):
    """A reading of the wall clock, with the time of the monotonic clock at that moment."""

    unix_ms: float
    read_at_ms: float

    def at(self, now_ms: float) -> float:
        """Return the Unix time in ms at a time on the monotonic clock."""
        return self.unix_ms + now_ms - self.read_at_ms


class SnapshotExchange:
    """The state that a router passes to its next incarnation, and the wall clock that timestamps it.

    Without a wall clock reading, ages of observations cannot be carried across a restart, so no snapshot is
    created and no observation restored.

    Args:
        warm_state: Supplies the observations to save; receives the restored ones.
        pacer: Supplies the baseline rates to save; receives the restored ones.
        warm_fraction: Receives the restored baseline warm fraction.
    """

    def __init__(self, warm_state: WarmState, pacer: Pacer, warm_fraction: WarmFractionTracker) -> None:
        self._warm_state = warm_state
        self._pacer = pacer
        self._warm_fraction = warm_fraction
        self._wall_clock: WallClock | None = None
        self.malformed_count = 0

    def on_wall_clock_read(self, now_ms: float, unix_ms: float) -> None:
        """Record a reading of the wall clock."""
        self._wall_clock = WallClock(unix_ms, now_ms)

    def create(self, now_ms: float, baseline_warm_fraction: float | None) -> bytes | None:
        """Return a snapshot with current ages, or None without a wall clock reading."""
        if self._wall_clock is None:
            return None
        observations = self._warm_state.latest_observations(now_ms, limit=snapshot.MAX_STORED_OBSERVATIONS)
        own_rates = self._pacer.update_baseline(now_ms)
        unix_ms = self._wall_clock.at(now_ms)
        return snapshot.encode(unix_ms, baseline_warm_fraction, own_rates, observations)

    def restore(self, now_ms: float, raw: bytes, clock_error_ms: float) -> int:
        """Restore a snapshot; return the number of new observations."""
        stored = snapshot.decode(raw)
        if stored is None:
            self.malformed_count += 1
            return 0
        baseline = self._pacer.baseline
        baseline.own_per_second = stored.known_baselines() | baseline.own_per_second
        if stored.baseline_warm_fraction is not None and 0.0 <= stored.baseline_warm_fraction <= 1.0:
            self._warm_fraction.saved_baseline = stored.baseline_warm_fraction
        if self._wall_clock is None:
            return 0
        unix_ms = self._wall_clock.at(now_ms)
        return snapshot.restore_observations(stored, self._warm_state, now_ms, unix_ms, clock_error_ms)
