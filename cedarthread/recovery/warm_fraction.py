"""The fraction of calls that find a warm instance, over the last seconds and over a longer time."""

from __future__ import annotations

from cedarthread.recovery.state_machine import MIN_RECENT_CALLS
from cedarthread.statistics import DecayingCounter

RECENT_TIME_CONSTANT_MS = 2500.0
"""Time constant short enough that the fraction shows the end of a recovery that lasts some seconds."""
BASELINE_TIME_CONSTANT_MS = 20_000.0
"""Time constant long enough that one burst of cold starts changes the baseline only slightly."""
MIN_CALLS = 1e-9
"""Minimum divisor, so that the fraction is 0 without any calls."""


class _DecayingFraction:
    """The fraction of warm calls, as an average that decays with a time constant."""

    def __init__(self, time_constant_ms: float) -> None:
        self.warm_calls = DecayingCounter(time_constant_ms)
        self.calls = DecayingCounter(time_constant_ms)

    def add(self, now_ms: float, *, was_warm: bool) -> None:
        self.warm_calls.add(now_ms, float(was_warm))
        self.calls.add(now_ms, 1.0)

    def read(self, now_ms: float) -> float:
        return self.warm_calls.read(now_ms) / max(self.calls.read(now_ms), MIN_CALLS)


class WarmFractionTracker:
    """The recent fraction of warm calls, the baseline fraction, and the last baseline measured in service.

    ``saved_baseline`` survives a restart, because the component restores it from the stored snapshot.
    """

    def __init__(self) -> None:
        self.saved_baseline: float | None = None
        self._recent = _DecayingFraction(RECENT_TIME_CONSTANT_MS)
        self._baseline = _DecayingFraction(BASELINE_TIME_CONSTANT_MS)

    def restart(self) -> None:
        """Forget the recent calls, but not the baseline."""
        self._recent = _DecayingFraction(RECENT_TIME_CONSTANT_MS)

    def record(self, now_ms: float, *, was_warm: bool) -> None:
        """Count a call that ended and reported whether it found a warm instance."""
        self._recent.add(now_ms, was_warm=was_warm)
        self._baseline.add(now_ms, was_warm=was_warm)

    def recent(self, now_ms: float) -> float:
        """Return the fraction of warm calls over the last seconds."""
        return self._recent.read(now_ms)

    def recent_calls(self, now_ms: float) -> float:
        """Return the decayed number of calls on which ``recent`` is based."""
        return self._recent.calls.read(now_ms)

    def baseline(self, now_ms: float) -> float:
        """Return the fraction of warm calls over the longer time; meaningful only while in service."""
        return self._baseline.read(now_ms)

    def save_baseline(self, now_ms: float) -> None:
        """Save the measured baseline if it is based on enough calls; call only while in service."""
        if self._baseline.calls.read(now_ms) >= MIN_RECENT_CALLS:
            self.saved_baseline = self.baseline(now_ms)
