"""The load pressure at one router: the ratio of offered calls to served calls.

docs/design/priority.md, step 8, gives the reasons for the two factors.
"""

from __future__ import annotations

from cedarthread.statistics import DecayingCounter

PRESSURE_TIME_CONSTANT_MS = 2000.0  # time constant over which arrivals and completions decay
# Utilization from which a router counts as overloaded. The value is below 1 because calls of high weight are
# rejected only at a longer wait.
OVERLOAD_UTILIZATION = 0.5
PRIOR_CALLS = 3.0  # calls added to numerator and denominator, because a ratio of few calls is unreliable
MS_PER_SECOND = 1000.0


class LoadPressureEstimator:
    """Estimator of load pressure: arrivals over completions, scaled down while the wait shows no overload.

    The ratio shows by how much the offered load exceeds the served load, both for a router that rejects calls
    and for one that queues them, but failing workers raise the ratio too. The wait does not show by how much
    capacity is exceeded, but failing workers do not raise the wait.
    """

    def __init__(self) -> None:
        self.arrivals = DecayingCounter(PRESSURE_TIME_CONSTANT_MS)
        self.completions = DecayingCounter(PRESSURE_TIME_CONSTANT_MS)
        self.utilization = DecayingCounter(PRESSURE_TIME_CONSTANT_MS)

    def record_arrival(self, now_ms: float, utilization: float) -> None:
        """Count the arrival of a call that is not a retry.

        Args:
            now_ms: The time on the monotonic clock.
            utilization: The expected wait divided by the wait at which overload starts.
        """
        self.arrivals.add(now_ms, 1.0)
        self.utilization.add(now_ms, min(1.0, max(0.0, utilization)))

    def record_completion(self, now_ms: float) -> None:
        """Count a served call."""
        self.completions.add(now_ms, 1.0)

    def pressure(self, now_ms: float) -> float:
        """Return the load pressure: below 1 capacity is spare; at 2 twice the served load is offered."""
        arrivals = self.arrivals.read(now_ms)
        utilization = self.utilization.read(now_ms) / (arrivals + PRIOR_CALLS)
        return (
            min(1.0, utilization / OVERLOAD_UTILIZATION)
            * (arrivals + PRIOR_CALLS)
            / (self.completions.read(now_ms) + PRIOR_CALLS)
        )

    def calls_per_second(self, now_ms: float) -> float:
        """Return the rate of calls per second, without clients' retries."""
        return self.arrivals.read(now_ms) / PRESSURE_TIME_CONSTANT_MS * MS_PER_SECOND
