"""How likely a call to a worker that is not known to be warm begins a load there.

Workers keep their instances while routers restart, so after a restart most such calls find one all the same.
"""

from __future__ import annotations

from cedarthread.statistics import DecayingCounter

TIME_CONSTANT_MS = 5000.0
"""Time over which the outcomes of such calls decay."""
MIN_PROBABILITY = 0.1
PRIOR_LOADS = 1.0
"""Outcomes' worth of belief, before any is known, that all such calls begin a load."""


class LoadProbability:
    """An estimate from the outcomes of such calls, which starts at 1."""

    def __init__(self) -> None:
        self._warm_starts = DecayingCounter(TIME_CONSTANT_MS)
        self._cold_starts = DecayingCounter(TIME_CONSTANT_MS)

    def record(self, now_ms: float, was_warm: bool) -> None:
        """Such a call ended."""
        (self._warm_starts if was_warm else self._cold_starts).add(now_ms, 1.0)

    def read(self, now_ms: float) -> float:
        """The probability for the next such call."""
        warm_starts, cold_starts = self._warm_starts.read(now_ms), self._cold_starts.read(now_ms)
        return max(MIN_PROBABILITY, (cold_starts + PRIOR_LOADS) / (warm_starts + cold_starts + PRIOR_LOADS))
