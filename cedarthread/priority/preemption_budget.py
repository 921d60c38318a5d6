"""How much a router may preempt: its amount of the fleet's rate, and the work that it may throw away."""

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

PREEMPTION_POOL = "preempts"  # the escrow pool of the preemptions that the fleet may make per second
MAX_WASTED_SHARE = 0.02  # of the completed work that preemption may throw away
BUDGET_WINDOW_MS = 10_000.0  # time constant of that share and of the demand for preemptions
MS_PER_SECOND = 1000.0


class PreemptionBudget:
    """A token bucket filled from the escrow, and decaying counters of completed and wasted work."""

    def __init__(self, escrow: QuotaEscrow, rng: random.Random) -> None:
        self.escrow, self.rng = escrow, rng
        self.bucket = QuotaBucket(rng.random())
        self.pool_total_milli_per_second = -1  # as the pool was last opened; -1: it was not
        self.attempts = DecayingCounter(BUDGET_WINDOW_MS)
        self.completed_work_ms = DecayingCounter(BUDGET_WINDOW_MS)
        self.wasted_work_ms = DecayingCounter(BUDGET_WINDOW_MS)

    def on_tick(self, now_ms: float, parameters: OverloadParameters | None, may_preempt: bool) -> None:
        """Open or change the pool and request what this router could use of it."""
        if parameters is None:
            return
        total = parameters.preemptions_milli_per_second
        if total != self.pool_total_milli_per_second:
            self.pool_total_milli_per_second = total
            self.escrow.open_pool(PREEMPTION_POOL, total, is_consumable=False, ends_at_ms=None)
        attempts_per_second = MS_PER_SECOND * self.attempts.read(now_ms) / BUDGET_WINDOW_MS
        requested = math.ceil(attempts_per_second * FIXED_POINT_SCALE)
        self.escrow.request(now_ms, PREEMPTION_POOL, min(requested, total))
        self._refill(now_ms, may_preempt)

    def has_token(self, now_ms: float, may_preempt: bool) -> bool:
        """Whether one more call may be preempted now. Counts as demand for the pool."""
        self.attempts.add(now_ms, 1.0)
        self._refill(now_ms, may_preempt)
        return self.bucket.tokens >= 1.0

    def waste_budget_ms(self, now_ms: float) -> float:
        """The work of running calls that may be thrown away now."""
        return MAX_WASTED_SHARE * self.completed_work_ms.read(now_ms) - self.wasted_work_ms.read(now_ms)

    def spend(self, now_ms: float, wasted_work_ms: float | None) -> None:
        """A call was preempted, and this much work was thrown away with it; None: it did not run."""
        self.bucket.try_take()
        if wasted_work_ms is not None:
            self.wasted_work_ms.add(now_ms, wasted_work_ms)

    def record_completed_work(self, now_ms: float, work_ms: float) -> None:
        """A call was served by so much work."""
        self.completed_work_ms.add(now_ms, work_ms)

    def _refill(self, now_ms: float, may_preempt: bool) -> None:
        """Save nothing up while there is no overload: all routers would spend it at once."""
        if not may_preempt:
            self.bucket = QuotaBucket(self.rng.random(), filled_at_ms=now_ms)
        available = self.escrow.available(now_ms, PREEMPTION_POOL)
        self.bucket.refill(now_ms, min(available, max(0, self.pool_total_milli_per_second)))
