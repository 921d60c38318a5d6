"""How jammed the workers are, from own calls alone, by Little's law.

What own calls take is what is out over what is answered a ms. That tells of a jam as it grows; the times of
answers tell of it a second late, and for a second after it. Calls that wait for a load say nothing of a jam:
they take no core, and where workers are new all of them wait.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from cedarthread.statistics import DecayingCounter

OVERLOAD_START, OVERLOAD_SPAN = (
    0.25,
    0.2,
)  # calls' least time over the wanted one where a jam begins; on to a full one
CHANCE_DEVIATIONS = (
    1.0  # standard deviations by which the calls that are out may be more than usual by chance
)
TYPICAL_WORKER_FRACTION = (
    0.75  # part of the workers that a jam must show at: some are slow or silent on any day
)
RATE_WINDOW_MS = 2000.0  # ms in which calls and answers fade from their counts


class OverloadEstimator:
    """The calls of one router that are out and wait for no load, and their answers."""

    def __init__(self) -> None:
        self.arrivals, self.completions = DecayingCounter(RATE_WINDOW_MS), DecayingCounter(RATE_WINDOW_MS)
        self.first_call_at_ms = math.inf  # when the first call came
        self.in_flight: dict[int, int] = {}  # by worker
        self.total_in_flight = 0

    def on_call(self, now: float) -> None:
        """A call came."""
        self.first_call_at_ms = min(self.first_call_at_ms, now)
        self.arrivals.add(now, 1.0)

    def on_attempt_started(self, worker_id: int) -> None:
        """An attempt was sent that waits for no load."""
        self.in_flight[worker_id] = self.in_flight.get(worker_id, 0) + 1
        self.total_in_flight += 1

    def on_attempt_ended(self, now: float, worker_id: int, is_success: bool) -> None:
        """Such an attempt has ended."""
        self.total_in_flight -= 1
        self.in_flight[worker_id] -= 1
        if not self.in_flight[worker_id]:
            del self.in_flight[worker_id]
        if is_success:
            self.completions.add(now, 1.0)

    def queueing_ms(self, now: float, in_flight: float) -> float:
        """The ms that so many calls out would take, less what chance may add to their number."""
        unseen = math.exp(
            min(0.0, self.first_call_at_ms - now) / RATE_WINDOW_MS
        )  # before the start, all that came was answered
        came = self.arrivals.read(now) / RATE_WINDOW_MS / max(1.0 - unseen, 1.0 / RATE_WINDOW_MS)
        rate = self.completions.read(now) / RATE_WINDOW_MS + unseen * came
        return max(0.0, in_flight - CHANCE_DEVIATIONS * math.sqrt(in_flight)) / max(rate, 1e-6)

    def utilization(self, now: float, objective_ms: float) -> float:
        """What calls must wait over what begins a jam of calls that want an answer within ``aim`` ms."""
        return self.queueing_ms(now, self.total_in_flight) / (OVERLOAD_START * objective_ms)

    def shed_probability(self, now: float, objective_ms: float, worker_ids: Iterable[int]) -> float:
        """0 where calls that want an answer within ``aim`` ms are in no jam, 1 where all had better be
        refused. ``workers``: those that are not set aside; read only where there may be a jam."""
        if self.queueing_ms(now, self.total_in_flight) <= OVERLOAD_START * objective_ms:
            return 0.0
        held = sorted(self.in_flight.get(worker, 0) for worker in worker_ids)
        usual = held[: math.ceil(TYPICAL_WORKER_FRACTION * len(held))]
        out = sum(usual) * len(held) / max(1, len(usual))
        return max(0.0, (self.queueing_ms(now, out) / objective_ms - OVERLOAD_START) / OVERLOAD_SPAN)
