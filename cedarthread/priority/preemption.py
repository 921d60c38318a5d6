"""The choice of the call to preempt among one router's open calls, as a pure function in one pass.

The victim must have a strictly lower priority, must be safe to reject, and must free capacity early enough
for the claiming call to meet its latency objective. Otherwise no call is preempted, because wasted work
benefits no tier.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

from cedarthread.model.settings import DeduplicationScope, Idempotency
from cedarthread.priority.call_priority import preemption_key

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from cedarthread.model.call_priority import CallPriority

CANCELLATION_DELAY_MS = 10.0  # time until a cancellation frees the concurrency slot at the worker
# A running call that has completed more than this share of its work is not preempted, because the call soon
# frees its slot itself.
MAX_COMPLETED_SHARE = 0.5


class CallStage(IntEnum):
    """The progress of an open call."""

    QUEUED = 0  # the call waits in the router
    UNWRITTEN = 1  # an attempt is in flight of which no byte has been written
    WRITTEN = 2  # a byte has been written, or may have been, so the worker may run the call
    STREAMING = 3  # the response has started


@dataclass(frozen=True, slots=True)
class PreemptionCandidate:
    """An open call that may be preempted."""

    request_id: int
    retry_identity: int  # identity that a call and its client's retries share
    priority: CallPriority
    stage: CallStage
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    priority_weight: float
    arrived_at_ms: float
    # Worker that runs the call, or for a queued call the next worker to run it; None: unknown.
    worker_id: int | None
    # Time until the call frees its slot, or for a queued call until the call gets a slot.
    time_to_free_ms: float
    deduplication_remaining_ms: float = 0.0  # time for which workers still reject a retry with the same key
    consumed_work_ms: float = 0.0  # work of the worker for the call so far
    # Whether the call is a retry; if so, the first call may have been preempted, here or at another router.
    is_client_retry: bool = False
    # Number of attempts in flight; with several hedged ones, no single cancellation frees the call's slots.
    attempts_in_flight: int = 1


@dataclass(frozen=True, slots=True)
class PreemptionClaim:
    """A call that would miss its latency objective without preemption."""

    priority: CallPriority
    service_time_ms: float  # time from a free slot to the response
    remaining_ms: float  # time until the latency objective is missed
    expected_wait_ms: float  # time until the call gets a slot if no call is preempted
    # Wait at each eligible worker, by id, with one call less in flight.
    wait_by_worker_ms: Mapping[int, float]


@dataclass(frozen=True, slots=True)
class PreemptionLimits:
    """The limits on which call may be preempted now."""

    allows_running: bool  # whether running calls may be preempted too
    waste_budget_ms: float  # completed work that preemptions may waste
    max_retry_after_ms: float  # longest time until a rejected client retries
    is_allowed: Callable[[PreemptionCandidate], bool]  # check of the tenant's floor and earlier preemptions


def is_safe_to_reject(candidate: PreemptionCandidate, max_retry_after_ms: float) -> bool:
    """Return whether the client can retry the call safely after a rejection.

    A written call may have run. The call must therefore be idempotent, or have an idempotency key that all
    workers remember until the client retries. Otherwise a written call is never safe to reject.
    """
    if candidate.stage is CallStage.STREAMING:
        return False
    if candidate.stage is not CallStage.WRITTEN or candidate.idempotency is Idempotency.IDEMPOTENT:
        return True
    return (
        candidate.idempotency is Idempotency.WITH_KEY
        and candidate.deduplication_scope is DeduplicationScope.ALL
        and candidate.deduplication_remaining_ms > max_retry_after_ms
    )


def frees_capacity_in_time(claim: PreemptionClaim, candidate: PreemptionCandidate) -> bool:
    """Return whether the freed capacity serves the claim within its latency objective.

    The worker assigns a free slot to the head of its queue, so the claiming call still waits for the calls
    ahead of it.
    """
    worker_id = candidate.worker_id
    if worker_id is None or worker_id not in claim.wait_by_worker_ms or candidate.attempts_in_flight > 1:
        return False
    if candidate.stage is CallStage.QUEUED:
        wait_ms = candidate.time_to_free_ms
    else:
        wait_ms = CANCELLATION_DELAY_MS + claim.wait_by_worker_ms[worker_id]
    return wait_ms < claim.expected_wait_ms and wait_ms + claim.service_time_ms <= claim.remaining_ms


def choose_victim(
    claim: PreemptionClaim, candidates: Iterable[PreemptionCandidate], limits: PreemptionLimits
) -> PreemptionCandidate | None:
    """Return the call to preempt, the least by ``preemption_key``; None if no call may be preempted."""
    if claim.expected_wait_ms + claim.service_time_ms <= claim.remaining_ms:
        return None  # the claim meets its latency objective without preemption
    victim: PreemptionCandidate | None = None
    victim_key: tuple[float, ...] = ()
    for candidate in candidates:
        if not _may_be_preempted(claim, candidate, limits):
            continue
        key = preemption_key(
            candidate.priority, candidate.priority_weight, candidate.arrived_at_ms, candidate.request_id
        )
        if victim is None or key < victim_key:
            victim = candidate
            victim_key = key
    return victim


def _may_be_preempted(
    claim: PreemptionClaim, candidate: PreemptionCandidate, limits: PreemptionLimits
) -> bool:
    """Return whether a candidate satisfies all conditions.

    ``is_allowed`` is evaluated last because the function counts the candidates that it protects.
    """
    return (
        claim.priority.outranks(candidate.priority)
        and not candidate.is_client_retry
        and frees_capacity_in_time(claim, candidate)
        and is_safe_to_reject(candidate, limits.max_retry_after_ms)
        and _is_cheap_enough(candidate, limits)
        and limits.is_allowed(candidate)
    )


def _is_cheap_enough(candidate: PreemptionCandidate, limits: PreemptionLimits) -> bool:
    """Return whether the preemption wastes no more work than the limits permit."""
    if candidate.stage is not CallStage.WRITTEN:
        return True
    total_work_ms = candidate.consumed_work_ms + candidate.time_to_free_ms
    is_nearly_done = candidate.consumed_work_ms > MAX_COMPLETED_SHARE * total_work_ms
    return (
        limits.allows_running and not is_nearly_done and candidate.consumed_work_ms <= limits.waste_budget_ms
    )
