"""Whom a call displaces: pure choice among the open calls of one router, one pass over them.

Only one of strictly lower rank, only what may be given up without breaking a promise, and only where what is
freed serves the higher call in its wanted time. Else nobody: work thrown away for nothing serves no tier.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from cedarthread.model.settings import DeduplicationScope, Idempotency
from cedarthread.priority.call_priority import CallPriority, preemption_key

CANCELLATION_DELAY_MS = 10.0  # ms for a cancellation to reach a worker and free its lane
MAX_COMPLETED_SHARE = (
    0.5  # part of its work from which a call that runs is left to end: it frees its lane soon itself
)


class CallStage(IntEnum):
    """How far an open call has come."""

    QUEUED = 0  # in the router
    UNWRITTEN = 1  # an attempt is out of which no byte has left
    WRITTEN = 2  # a byte has left, or that is not known: it may run
    STREAMING = 3  # its answer is under way


@dataclass(frozen=True, slots=True)
class PreemptionCandidate:
    """An open call, as far as the choice needs it. Times in ms."""

    request_id: int
    retry_identity: int  # the same for a call and its client's repeats of it
    priority: CallPriority
    stage: CallStage
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    priority_weight: float
    arrived_at_ms: float  # when it came
    worker_id: int | None  # where it runs; of one that waits, whose lane it will have next; None: not known
    time_to_free_ms: float  # till it frees its lane by itself; of one that waits, till it would have its lane
    deduplication_left_ms: float = 0.0  # left in which a keyed repeat is dropped
    spent_work_ms: float = 0.0  # work that the worker has put into it
    is_client_retry: bool = (
        False  # its client's marked repeat: its first try may have been displaced, here or elsewhere
    )
    attempts_in_flight: int = 1  # out now: one of several copies frees no lane alone


@dataclass(frozen=True, slots=True)
class PreemptionClaim:
    """A call that would be too late as things stand."""

    priority: CallPriority
    service_time_ms: float  # ms from a free lane to its answer
    time_left_ms: float  # ms of its wanted time that are left
    expected_wait_ms: float  # ms till it has a lane if nobody is displaced
    wait_by_worker_ms: Mapping[
        int, float
    ]  # where it may go: ms till a lane is its own there, with one less out there


@dataclass(frozen=True, slots=True)
class PreemptionLimits:
    """What may be given up now."""

    allows_running: bool  # also calls that run
    waste_budget_ms: float  # ms of work that may be thrown away
    max_retry_after_ms: float  # ms after which a refused client comes back at the latest
    is_allowed: Callable[[PreemptionCandidate], bool]  # floors, and who was displaced before


def is_safe_to_reject(candidate: PreemptionCandidate, max_retry_after_ms: float) -> bool:
    """May it be refused, with a repeat promised to be harmless?

    What was written may have run: it must be safe, or keyed with all workers knowing its key until its client
    has come back. One that must not run twice never is, once a byte of it has left."""
    if candidate.stage is CallStage.STREAMING:
        return False
    if candidate.stage is not CallStage.WRITTEN or candidate.idempotency is Idempotency.IDEMPOTENT:
        return True
    return (
        candidate.idempotency is Idempotency.WITH_KEY
        and candidate.deduplication_scope is DeduplicationScope.ALL
        and candidate.deduplication_left_ms > max_retry_after_ms
    )


def frees_capacity_in_time(claim: PreemptionClaim, candidate: PreemptionCandidate) -> bool:
    """Would what is freed answer the claim in its wanted time? A free lane goes to who waits there first."""
    if (
        candidate.worker_id is None
        or candidate.worker_id not in claim.wait_by_worker_ms
        or candidate.attempts_in_flight > 1
    ):
        return False
    wait_ms = (
        candidate.time_to_free_ms
        if candidate.stage is CallStage.QUEUED
        else CANCELLATION_DELAY_MS + claim.wait_by_worker_ms[candidate.worker_id]
    )
    return wait_ms < claim.expected_wait_ms and wait_ms + claim.service_time_ms <= claim.time_left_ms


def choose_victim(
    claim: PreemptionClaim, candidates: Iterable[PreemptionCandidate], limits: PreemptionLimits
) -> PreemptionCandidate | None:
    """Whom the claim displaces: the lowest rank, then least worth, then the youngest; None: nobody."""
    if claim.expected_wait_ms + claim.service_time_ms <= claim.time_left_ms:
        return None  # it is served in time as things stand
    victim: PreemptionCandidate | None = None
    victim_key: tuple[float, ...] = ()
    for candidate in candidates:
        if (
            not claim.priority.outranks(candidate.priority)
            or candidate.is_client_retry
            or not frees_capacity_in_time(claim, candidate)
        ):
            continue
        if (
            not is_safe_to_reject(candidate, limits.max_retry_after_ms)
            or not _is_cheap_enough(candidate, limits)
            or not limits.is_allowed(candidate)
        ):
            continue
        key = preemption_key(
            candidate.priority, candidate.priority_weight, candidate.arrived_at_ms, candidate.request_id
        )
        if victim is None or key < victim_key:
            victim, victim_key = candidate, key
    return victim


def _is_cheap_enough(candidate: PreemptionCandidate, limits: PreemptionLimits) -> bool:
    if candidate.stage is not CallStage.WRITTEN:
        return True
    is_nearly_done = candidate.spent_work_ms > MAX_COMPLETED_SHARE * (
        candidate.spent_work_ms + candidate.time_to_free_ms
    )
    return limits.allows_running and not is_nearly_done and candidate.spent_work_ms <= limits.waste_budget_ms
