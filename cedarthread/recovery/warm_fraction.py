"""The fraction of calls that find a warm instance: lately, and as it is on any day."""

from __future__ import annotations

from cedarthread.recovery.state_machine import MIN_RECENT_CALLS
from cedarthread.statistics import DecayingCounter

RECENT_TIME_CONSTANT_MS = 2500.0
"""Short enough to see a recovery of some seconds come to its end."""
BASELINE_TIME_CONSTANT_MS = 20_000.0
"""Long enough that one burst of cold starts does not pass for the usual."""
MIN_CALLS = 1e-9
"""Keeps the fraction of no calls at all at 0."""


class _DecayingFraction:
    """The fraction of warm calls among calls that decay with a time constant."""

    def __init__(self, time_constant_ms: float) -> None:
        self.warm_calls = DecayingCounter(time_constant_ms)
        self.calls = DecayingCounter(time_constant_ms)

    def add(self, now: float, was_warm: bool) -> None:
        self.warm_calls.add(now, float(was_warm))
        self.calls.add(now, 1.0)

    def read(self, now: float) -> float:
        return self.warm_calls.read(now) / max(self.calls.read(now), MIN_CALLS)


class WarmFractionTracker:
    """The recent fraction and the baseline, and the baseline that was remembered from before the restart."""

    def __init__(self) -> None:
        self.remembered_baseline: float | None = None
        self._recent = _DecayingFraction(RECENT_TIME_CONSTANT_MS)
        self._baseline = _DecayingFraction(BASELINE_TIME_CONSTANT_MS)

    def restart(self) -> None:
        """Forget the recent calls; the baseline stays."""
        self._recent = _DecayingFraction(RECENT_TIME_CONSTANT_MS)

    def record(self, now: float, was_warm: bool) -> None:
        """A call has ended whose answer said whether it found a warm instance."""
        self._recent.add(now, was_warm)
        self._baseline.add(now, was_warm)

    def recent(self, now: float) -> float:
        """The fraction of the last seconds."""
        return self._recent.read(now)

    def recent_calls(self, now: float) -> float:
        """The decayed number of calls that ``recent`` is measured from."""
        return self._recent.calls.read(now)

    def baseline(self, now: float) -> float:
        """The fraction of a longer time; the usual one, if the router was in service all the while."""
        return self._baseline.read(now)

    def remember_baseline(self, now: float) -> None:
        """In service: take the measured baseline for the usual one, once it is from enough calls."""
        if self._baseline.calls.read(now) >= MIN_RECENT_CALLS:
            self.remembered_baseline = self.baseline(now)
