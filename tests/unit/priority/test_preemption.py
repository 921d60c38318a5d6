"""The choice of the call to preempt."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cedarthread.model.call_priority import CallPriority
from cedarthread.model.settings import DeduplicationScope, Idempotency
from cedarthread.priority.preemption import (
    CallStage,
    PreemptionCandidate,
    PreemptionClaim,
    PreemptionLimits,
    choose_victim,
)

LOW_PRIORITY = CallPriority(66, 66, 66, "bulk")
CLAIM = PreemptionClaim(
    CallPriority(0, 0, 0, "mill", is_within_quota=True),
    service_time_ms=100.0,
    remaining_ms=300.0,
    expected_wait_ms=500.0,
    wait_by_worker_ms={1: 0.0, 2: 250.0},
)
LIMITS = PreemptionLimits(
    allows_running=True,
    waste_budget_ms=50.0,
    max_retry_after_ms=2000.0,
    is_allowed=lambda candidate: True,
)
WITH_KEY = {"idempotency": Idempotency.WITH_KEY, "deduplication_remaining_ms": 2500.0}


def _candidate(request_id: int, **changes: object) -> PreemptionCandidate:
    candidate = PreemptionCandidate(
        request_id=request_id,
        retry_identity=request_id,
        priority=LOW_PRIORITY,
        stage=CallStage.WRITTEN,
        idempotency=Idempotency.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.ALL,
        priority_weight=1.0,
        arrived_at_ms=float(request_id),
        worker_id=1,
        time_to_free_ms=80.0,
        consumed_work_ms=20.0,
    )
    return replace(candidate, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("changes", "chosen"),
    [
        ({}, True),
        ({"idempotency": Idempotency.NOT_IDEMPOTENT}, False),
        ({"idempotency": Idempotency.NOT_IDEMPOTENT, "stage": CallStage.UNWRITTEN}, True),
        ({"idempotency": Idempotency.NOT_IDEMPOTENT, "stage": CallStage.QUEUED}, True),
        (WITH_KEY, True),
        (WITH_KEY | {"deduplication_remaining_ms": 1900.0}, False),
        (WITH_KEY | {"deduplication_scope": DeduplicationScope.ZONE}, False),
        ({"stage": CallStage.STREAMING}, False),
        ({"priority": CallPriority(0, 0, 0, "other", is_within_quota=True)}, False),
        ({"priority": CallPriority(0, 127, 66, "edited")}, False),
        ({"is_client_retry": True}, False),
        ({"attempts_in_flight": 2}, False),
        ({"worker_id": None}, False),
        ({"worker_id": 2}, False),
        ({"worker_id": 3}, False),
        ({"consumed_work_ms": 90.0}, False),
        ({"consumed_work_ms": 51.0, "time_to_free_ms": 99.0}, False),
        ({"stage": CallStage.QUEUED, "time_to_free_ms": 250.0}, False),
    ],
)
def test_only_safe_and_useful_candidates_are_preempted(changes: dict[str, object], *, chosen: bool) -> None:
    assert (choose_victim(CLAIM, [_candidate(1, **changes)], LIMITS) is not None) is chosen


def test_the_lowest_priority_then_least_weight_then_youngest_is_preempted() -> None:
    candidates = [
        _candidate(1, priority=CallPriority(64, 64, 64)),
        _candidate(2, priority_weight=2.0),
        _candidate(3),
        _candidate(4),
        _candidate(5, arrived_at_ms=0.0),
    ]
    preempted = []
    while (victim := choose_victim(CLAIM, candidates, LIMITS)) is not None:
        preempted.append(victim.request_id)
        candidates.remove(victim)
    assert preempted == [4, 3, 5, 2, 1]


def test_no_call_is_preempted_for_a_claim_that_is_served_in_time_anyway() -> None:
    served_in_time = replace(CLAIM, expected_wait_ms=200.0)
    assert choose_victim(served_in_time, [_candidate(1)], LIMITS) is None


def test_no_call_is_preempted_beyond_the_limits() -> None:
    assert choose_victim(CLAIM, [_candidate(1)], replace(LIMITS, is_allowed=lambda candidate: False)) is None
    assert choose_victim(CLAIM, [_candidate(1)], replace(LIMITS, allows_running=False)) is None
