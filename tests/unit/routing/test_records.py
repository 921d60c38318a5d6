"""The records, the health score and the ration of orders, each by itself."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from cedarthread.model.events import AttemptEnded
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.routing import outlier_detection
from cedarthread.routing.preload_budget import PreloadBudget
from cedarthread.routing.records import BASE_EJECTION_MS, Attempt, FunctionRecord, WorkerRecord
from tests.helpers import RULES, worker


def record(number: int = 1) -> WorkerRecord:
    return WorkerRecord(worker(number), 0, 0.5)


def fail(
    outlier: WorkerRecord,
    times: int,
    others: list[WorkerRecord],
    cap: float = outlier_detection.MAX_EJECTED_FRACTION,
) -> list[bool]:
    return [
        outlier_detection.observe(outlier, others, 1.0, cap, outlier_detection.FAILURE_GAIN)
        for _ in range(times)
    ]


def test_an_ejection_lets_one_idempotent_trial_pass_and_ends() -> None:
    outlier = record()
    assert fail(outlier, 3, [outlier]) == [False, True, False]
    outlier_detection.eject(outlier, 1000.0, 1.0, random.Random(1))
    assert 1000.0 + 0.75 * BASE_EJECTION_MS <= outlier.ejected_until_ms <= 1000.0 + 1.25 * BASE_EJECTION_MS
    late = outlier.ejected_until_ms
    assert not outlier_detection.is_available(outlier, late - 1.0, is_idempotent=True)
    assert not outlier_detection.is_available(outlier, late, is_idempotent=False)
    assert outlier_detection.is_available(outlier, late, is_idempotent=True)
    outlier.has_trial_in_flight = True
    assert not outlier_detection.is_available(outlier, late, is_idempotent=True)
    for _ in range(3):
        outlier_detection.observe(
            outlier, [outlier], 0.0, outlier_detection.MAX_EJECTED_FRACTION, outlier_detection.FAILURE_GAIN
        )
    assert outlier_detection.is_available(outlier, 0.0, is_idempotent=False)
    assert not outlier.has_trial_in_flight


def test_ejections_are_limited_and_relapses_wait_longer_up_to_a_maximum() -> None:
    fleet = [record(n) for n in range(10)]
    assert sum(any(fail(outlier, 4, fleet)) for outlier in fleet) == 4
    spans = []
    for _ in range(6):
        spans.append(fleet[0].ejection_ms)
        outlier_detection.eject(fleet[0], 0.0, 1.0, random.Random(1))
    assert spans == [
        BASE_EJECTION_MS,
        2 * BASE_EJECTION_MS,
        4 * BASE_EJECTION_MS,
        *[outlier_detection.MAX_EJECTION_MS] * 3,
    ]
    outlier_detection.reset(fleet[0])
    assert (fleet[0].outlier_score, fleet[0].is_ejected, fleet[0].ejection_ms) == (
        0.0,
        False,
        BASE_EJECTION_MS,
    )


@pytest.mark.parametrize(
    ("outcome", "unreached", "known", "took", "cap"),
    [
        (Outcome.ERROR, False, True, 1.0, outlier_detection.MAX_EJECTED_FRACTION),
        (Outcome.ERROR, False, False, 1.0, None),
        (Outcome.CONNECT_FAILED, True, True, 1.0, outlier_detection.MAX_SILENT_EJECTED_FRACTION),
        (Outcome.TIMEOUT, False, True, 39.0, None),
        (Outcome.TIMEOUT, False, True, 41.0, outlier_detection.MAX_EJECTED_FRACTION),
        (Outcome.OK, False, True, 1.0, None),
    ],
)
def test_the_weight_of_a_failure(
    outcome: Outcome, unreached: bool, known: bool, took: float, cap: float | None
) -> None:
    outlier, attempt = record(), Attempt(worker(1), 0.0, 10.0, (0, None), False, False, known)
    note = StartKind.WARM
    event = AttemptEnded(1, 0, 1, outcome, took, True, note, 0, (), is_unreachable=unreached)
    blamed = outlier_detection.failure_weight(outlier, 5.0, event, attempt, 3.0)
    assert (blamed and blamed[0]) == cap
    assert attempt.has_suspect_error == (outcome is Outcome.ERROR and not known)
    assert (outlier.unreachable_at_ms == 5.0) == unreached


def test_preloads_are_earned_by_requests_of_the_window_and_bounded_by_the_workers() -> None:
    rules = replace(RULES, preload_allowance=1, preload_share=0.5, preload_window_ms=100.0)
    budget = PreloadBudget()
    budget.on_preload(0.0)
    for at in (0.0, 10.0):
        budget.on_request(at, rules)
    assert budget.may_preload(50.0, rules, 0, 8.0)
    budget.on_preload(50.0)
    assert not budget.may_preload(60.0, rules, 0, 8.0)
    assert budget.may_preload(151.0, rules, 3, 8.0)
    assert not budget.request_times
    assert not budget.may_preload(300.0, rules, 4, 8.0)


def test_a_worker_is_forgotten_in_every_record_of_a_function() -> None:
    function = FunctionRecord(1)
    for kept in (
        function.affinity,
        function.last_sent_at_ms,
        function.instance_seen_at_ms,
        function.instance_queue.instances,
    ):
        kept.update({1: 1, 2: 1})
    function.forget_worker(1)
    assert function.instance_queue.instances == {2: 1}
    assert [2] == list(function.affinity) == list(function.instance_seen_at_ms)
    assert list(function.last_sent_at_ms) == [2]
