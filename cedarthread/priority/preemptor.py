"""The preemption of calls at one router: limits, earlier preemptions and counters.

The priority component calls the preemptor on each tick and for each claim.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from cedarthread.priority.preemption import (
    CallStage,
    PreemptionCandidate,
    PreemptionClaim,
    PreemptionLimits,
    choose_victim,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarthread.priority.contracts import EffectiveContracts
    from cedarthread.priority.preemption_budget import PreemptionBudget
    from cedarthread.priority.usage import TenantUsage

PREEMPT_QUEUED_LEVEL = 2  # overload level from which queued calls are preempted
PREEMPT_RUNNING_LEVEL = 3  # overload level from which running calls are preempted too
PREEMPTED_RETENTION_MS = 120_000.0  # how long a preempted call is remembered; its client retries sooner
# Maximum remembered preemptions; at this count no call is preempted, so that none is preempted twice.
MAX_REMEMBERED_PREEMPTIONS = 8192


class PreemptionEvent(StrEnum):
    """An event that is counted; the values are part of the names of the metrics for operators."""

    QUEUED_PREEMPTED = "waiting"
    RUNNING_PREEMPTED = "running"
    PROTECTED_BY_FLOOR = "floor"  # the tenant of a candidate is at its floor
    ALREADY_PREEMPTED = "again"  # a candidate has been preempted before
    BUDGET_EXHAUSTED = "budget"  # the preemption budget had no token


class Preemptor:
    """The preemption of calls at one router; remembers each preempted call so that none is preempted twice.

    Args:
        contracts: Contains the floors of tenants.
        usage: Counts the calls of tenants against their floors.
        budget: Limits how often calls are preempted, and the wasted work.
    """

    def __init__(self, contracts: EffectiveContracts, usage: TenantUsage, budget: PreemptionBudget) -> None:
        self.contracts = contracts
        self.usage = usage
        self.budget = budget
        self.preempted_at_ms: dict[int, float] = {}  # time of the preemption by the call's retry identity
        self.counters = dict.fromkeys(PreemptionEvent, 0)

    def on_tick(self, now_ms: float, overload_level: int) -> None:
        """Update the budget and remove old preemptions.

        ``overload_level`` is the level of the state machine, which is kept while the router is not fresh.
        """
        self.budget.on_tick(
            now_ms, self.contracts.overload_parameters, may_preempt=overload_level >= PREEMPT_QUEUED_LEVEL
        )
        for retry_identity in [
            identity
            for identity, at_ms in self.preempted_at_ms.items()
            if now_ms - at_ms > PREEMPTED_RETENTION_MS
        ]:
            del self.preempted_at_ms[retry_identity]

    def choose_victim(
        self,
        now_ms: float,
        claim: PreemptionClaim,
        candidates: Iterable[PreemptionCandidate],
        *,
        level: int,
        max_retry_after_ms: float,
    ) -> int | None:
        """Return the request id of the call to preempt, and count the preemption; None: no call.

        Args:
            now_ms: The time on the monotonic clock.
            claim: The call that would miss its latency objective.
            candidates: The open calls of this router.
            level: The level of cluster overload, at least ``PREEMPT_QUEUED_LEVEL``.
            max_retry_after_ms: The latest time at which a rejected client retries.
        """
        is_in_time = claim.expected_wait_ms + claim.service_time_ms <= claim.remaining_ms
        is_full = len(self.preempted_at_ms) >= MAX_REMEMBERED_PREEMPTIONS
        if is_full or is_in_time:
            return None
        if not self.budget.has_token(now_ms, may_preempt=True):
            self.counters[PreemptionEvent.BUDGET_EXHAUSTED] += 1
            return None
        limits = PreemptionLimits(
            allows_running=level >= PREEMPT_RUNNING_LEVEL,
            waste_budget_ms=self.budget.waste_budget_ms(now_ms),
            max_retry_after_ms=max_retry_after_ms,
            is_allowed=lambda candidate: self._can_preempt(now_ms, candidate),
        )
        victim = choose_victim(claim, candidates, limits)
        if victim is None:
            return None
        self._record_preempted(now_ms, victim)
        return victim.request_id

    def _can_preempt(self, now_ms: float, candidate: PreemptionCandidate) -> bool:
        """Return whether the call is preempted for the first time and its tenant stays above the floor."""
        if candidate.retry_identity in self.preempted_at_ms:
            self.counters[PreemptionEvent.ALREADY_PREEMPTED] += 1
            return False
        tenant_name = candidate.priority.tenant_name
        floor_permille = self.contracts.for_tenant(tenant_name).floor_permille
        if not self.usage.can_reject(now_ms, tenant_name, floor_permille):
            self.counters[PreemptionEvent.PROTECTED_BY_FLOOR] += 1
            return False
        return True

    def _record_preempted(self, now_ms: float, victim: PreemptionCandidate) -> None:
        is_running = victim.stage is CallStage.WRITTEN
        self.budget.spend(now_ms, victim.consumed_work_ms if is_running else None)
        self.preempted_at_ms[victim.retry_identity] = now_ms
        self.usage.record_rejected(now_ms, victim.priority.tenant_name)
        event = PreemptionEvent.RUNNING_PREEMPTED if is_running else PreemptionEvent.QUEUED_PREEMPTED
        self.counters[event] += 1
