"""The load pressure at one router: how much more is offered than can be served.

Why these two factors: docs/design/priority.md, step 8.
"""

from __future__ import annotations

from cedarthread.statistics import DecayingCounter

PRESSURE_TIME_CONSTANT_MS = 2000.0  # over which arrivals and completions decay
# Part of the wait that begins to reject, from which a router counts as overloaded: calls of high weight are
# rejected only at a longer wait.
OVERLOAD_UTILIZATION = 0.5
PRIOR_CALLS = 3.0  # calls assumed on both sides of the ratio: few calls are weak evidence
MS_PER_SECOND = 1000.0


class LoadPressureEstimator:
    """Arrivals over completions, scaled down while the wait shows no overload.

    The first factor shows how much more is offered than is served, whether a router rejects or lets all
    calls wait; failing workers raise it too. The wait does not show how much, but failing workers do not
    raise it.
    """

    def __init__(self) -> None:
        self.arrivals = DecayingCounter(PRESSURE_TIME_CONSTANT_MS)
        self.completions = DecayingCounter(PRESSURE_TIME_CONSTANT_MS)
        self.utilization = DecayingCounter(PRESSURE_TIME_CONSTANT_MS)

    def record_arrival(self, now_ms: float, utilization: float) -> None:
        """A call came, no retry. ``utilization``: the expected wait over the one at which overload begins."""
        self.arrivals.add(now_ms, 1.0)
        self.utilization.add(now_ms, min(1.0, max(0.0, utilization)))

    def record_completion(self, now_ms: float) -> None:
        """A call was served."""
        self.completions.add(now_ms, 1.0)

    def pressure(self, now_ms: float) -> float:
        """Under 1: there is spare capacity; 2: twice what is served is offered."""
        arrivals = self.arrivals.read(now_ms)
        utilization = self.utilization.read(now_ms) / (arrivals + PRIOR_CALLS)
        return (
            min(1.0, utilization / OVERLOAD_UTILIZATION)
            * (arrivals + PRIOR_CALLS)
            / (self.completions.read(now_ms) + PRIOR_CALLS)
        )

    def calls_per_second(self, now_ms: float) -> float:
        """First attempts per second."""
        return self.arrivals.read(now_ms) / PRESSURE_TIME_CONSTANT_MS * MS_PER_SECOND
