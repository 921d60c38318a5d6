"""How overloaded the workers are, from own calls alone, by Little's law (Little, 1961).

What own calls take is what is in flight over what is answered a ms. That tells of an overload as it grows;
the times of answers tell of it a second late, and for a second after it. Calls that wait for a cold start say
nothing of an overload: they take no core, and where workers are new all of them wait.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.statistics import DecayingCounter

if TYPE_CHECKING:
    from collections.abc import Iterable

OVERLOAD_START = 0.25  # calls' least time over the latency objective where an overload begins...
OVERLOAD_SPAN = 0.2  # ...and how much more it takes until all calls had better be shed
CHANCE_DEVIATIONS = 1.0  # standard deviations by which calls in flight may be more than usual by chance
TYPICAL_WORKER_FRACTION = 0.75  # of the workers must show it: some are slow or silent on any day
RATE_WINDOW_MS = 2000.0  # ms in which calls and answers fade from their counts
MIN_RATE_PER_MS = 1e-6  # of answers: where none came, what is in flight takes very long


class OverloadEstimator:
    """The calls of one router that are in flight and wait for no cold start, and their answers."""

    def __init__(self) -> None:
        self.arrivals = DecayingCounter(RATE_WINDOW_MS)
        self.completions = DecayingCounter(RATE_WINDOW_MS)
        self.first_call_at_ms = math.inf
        self.in_flight: dict[int, int] = {}  # by worker id
        self.total_in_flight = 0

    def on_call(self, now_ms: float) -> None:
        """A call came."""
        self.first_call_at_ms = min(self.first_call_at_ms, now_ms)
        self.arrivals.add(now_ms, 1.0)

    def on_attempt_started(self, worker_id: int) -> None:
        """An attempt was sent that waits for no cold start."""
        self.in_flight[worker_id] = self.in_flight.get(worker_id, 0) + 1
        self.total_in_flight += 1

    def on_attempt_ended(self, now_ms: float, worker_id: int, is_success: bool) -> None:
        """Such an attempt has ended."""
        self.total_in_flight -= 1
        self.in_flight[worker_id] -= 1
        if not self.in_flight[worker_id]:
            del self.in_flight[worker_id]
        if is_success:
            self.completions.add(now_ms, 1.0)

    def queueing_ms(self, now_ms: float, in_flight: float) -> float:
        """The ms that so many calls in flight would take, less what chance may add to their number."""
        # Before the start, all that came counts as answered.
        unseen_fraction = math.exp(min(0.0, self.first_call_at_ms - now_ms) / RATE_WINDOW_MS)
        seen_fraction = max(1.0 - unseen_fraction, 1.0 / RATE_WINDOW_MS)
        arrivals_per_ms = self.arrivals.read(now_ms) / RATE_WINDOW_MS / seen_fraction
        completions_per_ms = (
            self.completions.read(now_ms) / RATE_WINDOW_MS + unseen_fraction * arrivals_per_ms
        )
        beyond_chance = max(0.0, in_flight - CHANCE_DEVIATIONS * math.sqrt(in_flight))
        return beyond_chance / max(completions_per_ms, MIN_RATE_PER_MS)

    def utilization(self, now_ms: float, objective_ms: float) -> float:
        """What calls must wait over what begins an overload of calls with this latency objective."""
        return self.queueing_ms(now_ms, self.total_in_flight) / (OVERLOAD_START * objective_ms)

    def shed_probability(self, now_ms: float, objective_ms: float, worker_ids: Iterable[int]) -> float:
        """0 where calls with this latency objective meet no overload, 1 and up where all had better be shed.

        ``worker_ids``: workers that are not ejected; read only where there may be an overload.
        """
        if self.queueing_ms(now_ms, self.total_in_flight) <= OVERLOAD_START * objective_ms:
            return 0.0
        in_flight = sorted(self.in_flight.get(worker_id, 0) for worker_id in worker_ids)
        typical = in_flight[: math.ceil(TYPICAL_WORKER_FRACTION * len(in_flight))]
        typical_total = sum(typical) * len(in_flight) / max(1, len(typical))
        queueing_ms = self.queueing_ms(now_ms, typical_total)
        return max(0.0, (queueing_ms / objective_ms - OVERLOAD_START) / OVERLOAD_SPAN)
