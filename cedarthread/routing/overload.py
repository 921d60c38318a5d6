"""Overload estimation: how overloaded the workers are, from the router's own calls by Little's law (1961).

The latency of calls is the number in flight over the completions per ms. This detects an overload as it
grows, whereas response times show it a second late and for a second after its end. Calls that wait for a cold
start are excluded: they use no core, and at new workers all calls wait. All times are ms on the monotonic
clock, passed in by the caller.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.statistics import DecayingCounter

if TYPE_CHECKING:
    from collections.abc import Iterable

OVERLOAD_START = 0.25  # an overload starts when latency reaches this fraction of the latency objective
# All calls are shed when latency exceeds the start of the overload by this fraction of the latency objective.
OVERLOAD_SPAN = 0.2
NOISE_DEVIATIONS = 1.0  # standard deviations of the calls in flight that count as random variation
# Fraction of the workers that count, the least loaded; the others may be slow or unresponsive at any time.
TYPICAL_WORKER_FRACTION = 0.75
RATE_WINDOW_MS = 2000.0  # time constant of the counts of calls and completions
MIN_RATE_PER_MS = 1e-6  # lower bound of completions, so that no completions means a very long latency


class OverloadEstimator:
    """The arrivals, completions and calls in flight of one router, except calls in a cold start."""

    def __init__(self) -> None:
        self.arrivals = DecayingCounter(RATE_WINDOW_MS)
        self.completions = DecayingCounter(RATE_WINDOW_MS)
        self.first_call_at_ms = math.inf
        self.in_flight: dict[int, int] = {}  # number of calls in flight by worker id
        self.total_in_flight = 0

    def on_call(self, now_ms: float) -> None:
        """Count a call that arrived."""
        self.first_call_at_ms = min(self.first_call_at_ms, now_ms)
        self.arrivals.add(now_ms, 1.0)

    def on_attempt_started(self, worker_id: int) -> None:
        """Count an attempt that was sent and does not wait for a cold start."""
        self.in_flight[worker_id] = self.in_flight.get(worker_id, 0) + 1
        self.total_in_flight += 1

    def on_attempt_ended(self, now_ms: float, worker_id: int, *, is_success: bool) -> None:
        """Remove an attempt that ``on_attempt_started`` counted, and count its completion if it succeeded."""
        self.total_in_flight -= 1
        self.in_flight[worker_id] -= 1
        if not self.in_flight[worker_id]:
            del self.in_flight[worker_id]
        if is_success:
            self.completions.add(now_ms, 1.0)

    def time_in_system_ms(self, now_ms: float, in_flight: float) -> float:
        """Return the ms until this many calls in flight complete, less a margin for random variation."""
        # For the part of the window before the first call, completions are assumed to equal arrivals.
        unseen_fraction = math.exp(min(0.0, self.first_call_at_ms - now_ms) / RATE_WINDOW_MS)
        seen_fraction = max(1.0 - unseen_fraction, 1.0 / RATE_WINDOW_MS)
        arrivals_per_ms = self.arrivals.read(now_ms) / RATE_WINDOW_MS / seen_fraction
        completions_per_ms = (
            self.completions.read(now_ms) / RATE_WINDOW_MS + unseen_fraction * arrivals_per_ms
        )
        excess_in_flight = max(0.0, in_flight - NOISE_DEVIATIONS * math.sqrt(in_flight))
        return excess_in_flight / max(completions_per_ms, MIN_RATE_PER_MS)

    def utilization(self, now_ms: float, objective_ms: float) -> float:
        """Return the latency of calls over the latency at which an overload starts for this objective."""
        return self.time_in_system_ms(now_ms, self.total_in_flight) / (OVERLOAD_START * objective_ms)

    def shed_probability(self, now_ms: float, objective_ms: float, worker_ids: Iterable[int]) -> float:
        """Return the fraction of calls with this latency objective to shed: 0 without overload, may exceed 1.

        ``worker_ids`` are the workers that are not ejected; they are read only if there may be an overload.
        """
        if self.time_in_system_ms(now_ms, self.total_in_flight) <= OVERLOAD_START * objective_ms:
            return 0.0
        in_flight = sorted(self.in_flight.get(worker_id, 0) for worker_id in worker_ids)
        typical = in_flight[: math.ceil(TYPICAL_WORKER_FRACTION * len(in_flight))]
        typical_total = sum(typical) * len(in_flight) / max(1, len(typical))
        time_in_system_ms = self.time_in_system_ms(now_ms, typical_total)
        return max(0.0, (time_in_system_ms / objective_ms - OVERLOAD_START) / OVERLOAD_SPAN)
