"""The probability that a call to a worker without a known warm instance starts a load.

Workers retain their instances while routers restart. Therefore most such calls find a warm instance after a
restart, although the router does not know of any.
"""

from __future__ import annotations

from cedarthread.statistics import DecayingCounter

TIME_CONSTANT_MS = 5000.0
"""Time constant of the decay of the outcomes of calls to workers without a known warm instance."""
MIN_PROBABILITY = 0.1
PRIOR_LOADS = 1.0
"""Weight, in outcomes, of the prior assumption that each of these calls starts a load."""


class LoadProbability:
    """An estimate of the probability from the outcomes of such calls; 1 before the first outcome."""

    def __init__(self) -> None:
        self._warm_starts = DecayingCounter(TIME_CONSTANT_MS)
        self._cold_starts = DecayingCounter(TIME_CONSTANT_MS)

    def record(self, now_ms: float, *, was_warm: bool) -> None:
        """Count whether a call to a worker without a known warm instance found one."""
        (self._warm_starts if was_warm else self._cold_starts).add(now_ms, 1.0)

    def read(self, now_ms: float) -> float:
        """Return the probability that the next call without a known warm instance starts a load."""
        warm_starts = self._warm_starts.read(now_ms)
        cold_starts = self._cold_starts.read(now_ms)
        return max(MIN_PROBABILITY, (cold_starts + PRIOR_LOADS) / (warm_starts + cold_starts + PRIOR_LOADS))
