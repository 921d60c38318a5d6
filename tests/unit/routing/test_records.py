"""Unit tests of a router's records, outlier detection and preload budget."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from cedarthread.model.events import AttemptEnded
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.routing import outlier_detection
from cedarthread.routing.outlier_detection import (
    FAILURE_GAIN,
    MAX_EJECTED_FRACTION,
    MAX_EJECTION_MS,
    MAX_UNRESPONSIVE_EJECTED_FRACTION,
)
from cedarthread.routing.preload_budget import PreloadBudget
from cedarthread.routing.records import BASE_EJECTION_MS, Attempt, FunctionRecord, WorkerRecord
from tests.helpers import RULES, worker

HEALTHY = 0.0
FAILED = 1.0
EXPECTED_MS = 10.0


def record(worker_id: int = 1) -> WorkerRecord:
    return WorkerRecord(worker(worker_id), 0, 0.5)


def observe(observed: WorkerRecord, workers: list[WorkerRecord], failure: float, *, count: int) -> list[bool]:
    """Add this many equal observations; return which of them ejected the worker."""
    return [
        outlier_detection.observe(observed, workers, failure, MAX_EJECTED_FRACTION, FAILURE_GAIN)
        for _ in range(count)
    ]


def test_an_ejected_worker_gets_one_idempotent_trial_and_recovers() -> None:
    outlier = record()
    assert observe(outlier, [outlier], FAILED, count=3) == [False, True, False]
    outlier_detection.eject(outlier, 1000.0, 1.0, random.Random(1))
    assert 1000.0 + 0.75 * BASE_EJECTION_MS <= outlier.ejected_until_ms <= 1000.0 + 1.25 * BASE_EJECTION_MS
    trial_ms = outlier.ejected_until_ms
    assert not outlier_detection.is_available(outlier, trial_ms - 1.0, is_idempotent=True)
    assert not outlier_detection.is_available(outlier, trial_ms, is_idempotent=False)
    assert outlier_detection.is_available(outlier, trial_ms, is_idempotent=True)
    outlier.has_trial_in_flight = True
    assert not outlier_detection.is_available(outlier, trial_ms, is_idempotent=True)
    observe(outlier, [outlier], HEALTHY, count=3)
    assert outlier_detection.is_available(outlier, 0.0, is_idempotent=False)
    assert not outlier.has_trial_in_flight


def test_ejections_are_limited_and_get_longer_up_to_a_maximum() -> None:
    fleet = [record(worker_id) for worker_id in range(10)]
    assert sum(any(observe(outlier, fleet, FAILED, count=4)) for outlier in fleet) == 4
    outlier = fleet[0]
    ejection_times_ms = []
    for _ in range(6):
        ejection_times_ms.append(outlier.ejection_ms)
        outlier_detection.eject(outlier, 0.0, 1.0, random.Random(1))
    doubled = [BASE_EJECTION_MS, 2 * BASE_EJECTION_MS, 4 * BASE_EJECTION_MS]
    assert ejection_times_ms == [*doubled, *[MAX_EJECTION_MS] * 3]
    outlier_detection.reset(outlier)
    assert outlier.outlier_score == 0.0
    assert outlier.is_ejected is False
    assert outlier.ejection_ms == BASE_EJECTION_MS


@pytest.mark.parametrize(
    ("outcome", "is_unreachable", "is_function_known", "latency_ms", "max_ejected_fraction"),
    [
        (Outcome.ERROR, False, True, 1.0, MAX_EJECTED_FRACTION),
        (Outcome.ERROR, False, False, 1.0, None),
        (Outcome.CONNECT_FAILED, True, True, 1.0, MAX_UNRESPONSIVE_EJECTED_FRACTION),
        (Outcome.TIMEOUT, False, True, 39.0, None),
        (Outcome.TIMEOUT, False, True, 41.0, MAX_EJECTED_FRACTION),
        (Outcome.OK, False, True, 1.0, None),
    ],
)
def test_the_weight_of_a_failure_depends_on_its_outcome(
    outcome: Outcome,
    is_unreachable: bool,
    is_function_known: bool,
    latency_ms: float,
    max_ejected_fraction: float | None,
) -> None:
    outlier = record()
    attempt = Attempt(worker(1), 0.0, EXPECTED_MS, (0, None), False, False, is_function_known)
    event = AttemptEnded(
        1, 0, 1, outcome, latency_ms, True, StartKind.WARM, 0, (), is_unreachable=is_unreachable
    )
    weight = outlier_detection.failure_weight(outlier, 5.0, event, attempt, 3.0)
    assert (weight and weight.max_ejected_fraction) == max_ejected_fraction
    assert attempt.has_suspect_error == (outcome is Outcome.ERROR and not is_function_known)
    assert (outlier.unreachable_at_ms == 5.0) == is_unreachable


def test_preloads_are_earned_by_requests_of_the_window_and_bounded_by_the_workers() -> None:
    rules = replace(RULES, preload_allowance=1, preload_share=0.5, preload_window_ms=100.0)
    budget = PreloadBudget()
    budget.on_preload(0.0)
    for now_ms in (0.0, 10.0):
        budget.on_request(now_ms, rules)
    assert budget.may_preload(50.0, rules, 0, 8.0)
    budget.on_preload(50.0)
    assert not budget.may_preload(60.0, rules, 0, 8.0)
    assert budget.may_preload(151.0, rules, 3, 8.0)
    assert not budget.request_times
    assert not budget.may_preload(300.0, rules, 4, 8.0)


def test_a_removed_worker_is_dropped_from_all_fields_of_a_function_record() -> None:
    function = FunctionRecord(1)
    for by_worker in (
        function.affinity,
        function.last_sent_at_ms,
        function.instance_seen_at_ms,
        function.instance_queue.instances,
    ):
        by_worker.update({1: 1, 2: 1})
    function.remove_worker(1)
    assert function.instance_queue.instances == {2: 1}
    assert [2] == list(function.affinity) == list(function.instance_seen_at_ms)
    assert list(function.last_sent_at_ms) == [2]
