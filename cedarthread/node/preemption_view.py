"""Conversion of the router's records to the input of the preemption policy.

The functions are pure. Times are ms of the router's monotonic clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.priority.preemption import CallStage, PreemptionCandidate, PreemptionClaim

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from cedarthread.routing.records import Attempt, PendingRequest, WorkerRecord

MAX_PREEMPTION_CANDIDATES = 256  # only the latest pending requests are considered
# Assumed time until a queued request is considered for a worker again and gets a slot.
QUEUED_EXPECTED_MS = 50.0


def preemption_claim(
    now_ms: float, pending: PendingRequest, worker: WorkerRecord, expected_ms: float
) -> PreemptionClaim:
    """Return the claim of a request that ``worker`` would serve in ``expected_ms``."""
    assert pending.call_priority is not None
    wait_ms = expected_ms * worker.read_excess_load(now_ms)
    objective_ms = pending.arrived_at_ms + pending.request_class.latency_objective_ms
    remaining_ms = min(pending.request.deadline_ms, objective_ms) - now_ms
    in_flight = worker.in_flight + worker.peers_in_flight
    wait_with_one_less_ms = wait_ms * (1.0 - 1.0 / max(1.0, in_flight))
    return PreemptionClaim(
        pending.call_priority,
        expected_ms,
        remaining_ms,
        wait_ms,
        {worker.endpoint.worker_id: wait_with_one_less_ms},
    )


def preemption_candidates(
    now_ms: float,
    pending_requests: Mapping[int, PendingRequest],
    queue: Mapping[int, PendingRequest],
    worker: WorkerRecord,
) -> Iterator[PreemptionCandidate]:
    """Yield the requests that could free a slot of ``worker``: queued ones, and those in flight to it."""
    for request_id in list(pending_requests)[-MAX_PREEMPTION_CANDIDATES:]:
        pending = pending_requests[request_id]
        is_queued = request_id in queue
        if pending.call_priority is not None and (is_queued or _is_in_flight_at(pending, worker)):
            yield _candidate(now_ms, request_id, pending, worker, is_queued=is_queued)


def _is_in_flight_at(pending: PendingRequest, worker: WorkerRecord) -> bool:
    return any(
        attempt.is_in_flight and attempt.endpoint.worker_id == worker.endpoint.worker_id
        for attempt in pending.attempts
    )


def _stage(pending: PendingRequest, last_in_flight: Attempt | None, *, is_queued: bool) -> CallStage:
    """Return the stage of a request.

    An attempt in flight counts as written, because the router does not know how much of it has been written.
    """
    if pending.is_streaming:
        return CallStage.STREAMING
    return CallStage.QUEUED if is_queued and last_in_flight is None else CallStage.WRITTEN


def _candidate(
    now_ms: float, request_id: int, pending: PendingRequest, worker: WorkerRecord, *, is_queued: bool
) -> PreemptionCandidate:
    assert pending.call_priority is not None
    request_class = pending.request_class
    in_flight = [attempt for attempt in pending.attempts if attempt.is_in_flight]
    last: Attempt | None = in_flight[-1] if in_flight else None
    possibly_executed = pending.possibly_executed()
    deduplication_remaining_ms = request_class.deduplication_window_ms
    if possibly_executed:
        first_at_ms = possibly_executed[0].started_at_ms
        deduplication_remaining_ms = first_at_ms + request_class.deduplication_window_ms - now_ms
    expected_ms = last.expected_ms if last is not None else QUEUED_EXPECTED_MS
    elapsed_ms = now_ms - last.started_at_ms if last is not None else 0.0
    return PreemptionCandidate(
        request_id=request_id,
        retry_identity=request_id,
        priority=pending.call_priority,
        stage=_stage(pending, last, is_queued=is_queued),
        idempotency=request_class.idempotency,
        deduplication_scope=request_class.deduplication_scope,
        priority_weight=request_class.priority_weight,
        arrived_at_ms=pending.arrived_at_ms,
        worker_id=worker.endpoint.worker_id,
        time_to_free_ms=max(0.0, expected_ms - elapsed_ms),
        deduplication_remaining_ms=deduplication_remaining_ms,
        consumed_work_ms=elapsed_ms,
        is_client_retry=pending.request.is_client_retry,
        attempts_in_flight=max(1, len(in_flight)),
    )
