"""Which call a call of higher priority preempts: a pure choice among one router's open calls, in one pass.

Only a call of strictly lower priority, only one that can be given up without breaking a promise, and only
where the freed capacity answers the higher call within its latency objective. Otherwise none: work that is
thrown away for nothing serves no tier.
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

CANCELLATION_DELAY_MS = 10.0  # for a cancellation to reach a worker and free its concurrency slot
MAX_COMPLETED_SHARE = (
    0.5  # of its work, past which a running call is left to end: it soon frees its slot itself
)


class CallStage(IntEnum):
    """How far an open call has come."""

    QUEUED = 0  # in the router
    UNWRITTEN = 1  # an attempt is in flight of which no byte has been written
    WRITTEN = 2  # a byte has been written, or that is not known: the worker may run it
    STREAMING = 3  # its response has begun


@dataclass(frozen=True, slots=True)
class PreemptionCandidate:
    """An open call as far as the choice needs it."""

    request_id: int
    retry_identity: int  # the same for a call and its client's retries of it
    priority: CallPriority
    stage: CallStage
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    priority_weight: float
    arrived_at_ms: float
    worker_id: int | None  # where it runs; of a queued call, whose slot it gets next; None: not known
    time_to_free_ms: float  # until it frees its slot by itself; of a queued call, until it would get its slot
    deduplication_remaining_ms: float = 0.0  # during which workers still drop a retry with the same key
    consumed_work_ms: float = 0.0  # that the worker has done for it
    is_client_retry: bool = False  # its first attempt may have been preempted, here or at another router
    attempts_in_flight: int = 1  # one of several hedged attempts frees no slot alone


@dataclass(frozen=True, slots=True)
class PreemptionClaim:
    """A call that would miss its latency objective as things stand."""

    priority: CallPriority
    service_time_ms: float  # from a free slot to its response
    remaining_ms: float  # of its latency objective
    expected_wait_ms: float  # until it gets a slot if no call is preempted
    wait_by_worker_ms: Mapping[int, float]  # where it may go: its wait there with one call less in flight


@dataclass(frozen=True, slots=True)
class PreemptionLimits:
    """What may be given up now."""

    allows_running: bool  # calls that run may be preempted too
    waste_budget_ms: float  # of work that may be thrown away
    max_retry_after_ms: float  # by which a rejected client has come back at the latest
    is_allowed: Callable[[PreemptionCandidate], bool]  # by its tenant's floor, and not preempted before


def is_safe_to_reject(candidate: PreemptionCandidate, max_retry_after_ms: float) -> bool:
    """Whether the call may be rejected with the promise that a retry does no harm.

    A written call may have run: it must be idempotent, or have an idempotency key that all workers know until
    its client has come back. One that must not run twice is never safe once a byte of it has been written.
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
    """Whether the freed capacity answers the claim in time. A free slot goes to the queue's head there."""
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
    """The call that the claim preempts: the least by ``preemption_key``; None: none may be preempted."""
    if claim.expected_wait_ms + claim.service_time_ms <= claim.remaining_ms:
        return None  # it is served in time as things stand
    victim: PreemptionCandidate | None = None
    victim_key: tuple[float, ...] = ()
    for candidate in candidates:
        if not _may_be_preempted(claim, candidate, limits):
            continue
        key = preemption_key(
            candidate.priority, candidate.priority_weight, candidate.arrived_at_ms, candidate.request_id
        )
        if victim is None or key < victim_key:
            victim, victim_key = candidate, key
    return victim


def _may_be_preempted(
    claim: PreemptionClaim, candidate: PreemptionCandidate, limits: PreemptionLimits
) -> bool:
    """All conditions on one candidate. ``is_allowed`` comes last: it counts whom it protects."""
    return (
        claim.priority.outranks(candidate.priority)
        and not candidate.is_client_retry
        and frees_capacity_in_time(claim, candidate)
        and is_safe_to_reject(candidate, limits.max_retry_after_ms)
        and _is_cheap_enough(candidate, limits)
        and limits.is_allowed(candidate)
    )


def _is_cheap_enough(candidate: PreemptionCandidate, limits: PreemptionLimits) -> bool:
    """Whether preempting it throws away no more work than the limits permit."""
    if candidate.stage is not CallStage.WRITTEN:
        return True
    total_work_ms = candidate.consumed_work_ms + candidate.time_to_free_ms
    is_nearly_done = candidate.consumed_work_ms > MAX_COMPLETED_SHARE * total_work_ms
    return (
        limits.allows_running and not is_nearly_done and candidate.consumed_work_ms <= limits.waste_budget_ms
    )
