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

    def add(self, now_ms: float, was_warm: bool) -> None:
        self.warm_calls.add(now_ms, float(was_warm))
        self.calls.add(now_ms, 1.0)

    def read(self, now_ms: float) -> float:
        return self.warm_calls.read(now_ms) / max(self.calls.read(now_ms), MIN_CALLS)


class WarmFractionTracker:
    """The recent fraction and the baseline, and the baseline that was remembered from before the restart."""

    def __init__(self) -> None:
        self.remembered_baseline: float | None = None
        self._recent = _DecayingFraction(RECENT_TIME_CONSTANT_MS)
        self._baseline = _DecayingFraction(BASELINE_TIME_CONSTANT_MS)

    def restart(self) -> None:
        """Forget the recent calls; the baseline stays."""
        self._recent = _DecayingFraction(RECENT_TIME_CONSTANT_MS)

    def record(self, now_ms: float, was_warm: bool) -> None:
        """A call has ended whose answer said whether it found a warm instance."""
        self._recent.add(now_ms, was_warm)
        self._baseline.add(now_ms, was_warm)

    def recent(self, now_ms: float) -> float:
        """The fraction of the last seconds."""
        return self._recent.read(now_ms)

    def recent_calls(self, now_ms: float) -> float:
        """The decayed number of calls that ``recent`` is measured from."""
        return self._recent.calls.read(now_ms)

    def baseline(self, now_ms: float) -> float:
        """The fraction of a longer time; the usual one, if the router was in service all the while."""
        return self._baseline.read(now_ms)

    def remember_baseline(self, now_ms: float) -> None:
        """In service: take the measured baseline for the usual one, once it is from enough calls."""
        if self._baseline.calls.read(now_ms) >= MIN_RECENT_CALLS:
            self.remembered_baseline = self.baseline(now_ms)
