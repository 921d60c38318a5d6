"""The preemption budget of one router: its share of the fleet's rate, and the work that may be wasted."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.priority.contract_entries import FIXED_POINT_SCALE
from cedarthread.priority.usage import QuotaBucket
from cedarthread.statistics import DecayingCounter

if TYPE_CHECKING:
    import random

    from cedarthread.components.quota_escrow import QuotaEscrow
    from cedarthread.priority.contracts import OverloadParameters

PREEMPTION_POOL = "preempts"  # the escrow pool of the fleet's preemptions per second
MAX_WASTED_SHARE = 0.02  # share of the completed work that preemptions may waste
BUDGET_WINDOW_MS = 10_000.0  # time constant of the wasted share and of the demand for preemptions
MS_PER_SECOND = 1000.0


class PreemptionBudget:
    """A token bucket filled from the escrow, and decaying counters of completed and wasted work.

    Args:
        escrow: Contains the pool of preemptions.
        rng: Draws the first tokens of the bucket, so that routers do not preempt simultaneously.
    """

    def __init__(self, escrow: QuotaEscrow, rng: random.Random) -> None:
        self.escrow = escrow
        self.rng = rng
        self.bucket = QuotaBucket(rng.random())
        self.pool_total_milli_per_second = -1  # total of the open pool; -1: not opened
        self.attempts = DecayingCounter(BUDGET_WINDOW_MS)
        self.completed_work_ms = DecayingCounter(BUDGET_WINDOW_MS)
        self.wasted_work_ms = DecayingCounter(BUDGET_WINDOW_MS)

    def on_tick(self, now_ms: float, parameters: OverloadParameters | None, *, may_preempt: bool) -> None:
        """Open or update the pool, and request the amount that this router can use."""
        if parameters is None:
            return
        total = parameters.preemptions_milli_per_second
        if total != self.pool_total_milli_per_second:
            self.pool_total_milli_per_second = total
            self.escrow.open_pool(PREEMPTION_POOL, total, is_consumable=False, ends_at_ms=None)
        attempts_per_second = MS_PER_SECOND * self.attempts.read(now_ms) / BUDGET_WINDOW_MS
        requested = math.ceil(attempts_per_second * FIXED_POINT_SCALE)
        self.escrow.request(now_ms, PREEMPTION_POOL, min(requested, total))
        self._refill(now_ms, may_preempt=may_preempt)

    def has_token(self, now_ms: float, *, may_preempt: bool) -> bool:
        """Return whether one more call may be preempted now, and count the query as demand for the pool."""
        self.attempts.add(now_ms, 1.0)
        self._refill(now_ms, may_preempt=may_preempt)
        return self.bucket.tokens >= 1.0

    def waste_budget_ms(self, now_ms: float) -> float:
        """Return the work in ms of running calls that may be wasted now."""
        return MAX_WASTED_SHARE * self.completed_work_ms.read(now_ms) - self.wasted_work_ms.read(now_ms)

    def spend(self, now_ms: float, wasted_work_ms: float | None) -> None:
        """Count a preemption, and the work in ms that the preemption wastes; None if the call did not run."""
        self.bucket.try_take()
        if wasted_work_ms is not None:
            self.wasted_work_ms.add(now_ms, wasted_work_ms)

    def record_completed_work(self, now_ms: float, work_ms: float) -> None:
        """Count the work in ms of a served call."""
        self.completed_work_ms.add(now_ms, work_ms)

    def _refill(self, now_ms: float, *, may_preempt: bool) -> None:
        """Fill the bucket; without overload, draw its tokens at random instead of accumulating them.

        Accumulated tokens would let all routers preempt at the same time when overload starts.
        """
        if not may_preempt:
            self.bucket = QuotaBucket(self.rng.random(), filled_at_ms=now_ms)
        available = self.escrow.available(now_ms, PREEMPTION_POOL)
        self.bucket.refill(now_ms, min(available, max(0, self.pool_total_milli_per_second)))
