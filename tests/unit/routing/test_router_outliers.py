"""Outlier detection of a router: ejection, half-open trials, and failures not caused by the worker."""

from __future__ import annotations

import pytest

from cedarthread.model.actions import StartAttempt
from cedarthread.model.events import TimerFired
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.routing import feedback, outlier_detection, records
from tests.helpers import RULES, RouterDriver, attempted_worker_ids, worker
from tests.unit.routing.builders import (
    FUNCTION_ID,
    call_other_functions,
    cancellations,
    fail_connection,
    make_warm,
    timers,
    workers,
)

NOT_IDEMPOTENT_CLASS = 1


def test_an_unresponsive_worker_is_ejected_and_its_idempotent_calls_are_cancelled() -> None:
    driver = RouterDriver(*workers(3))
    for _ in range(6):
        (worker_id,) = attempted_worker_ids(driver.send_request())
        driver.end_attempt(driver.last_request_id, worker_id)
    for _ in range(9):
        driver.send_request(after_ms=1.0)
    actions = driver.advance_to(driver.now_ms + 2500.0)
    max_score = max(record.outlier_score for record in driver.router.workers.values())
    assert max_score > outlier_detection.EJECTION_THRESHOLD
    assert cancellations(actions)


def test_fast_failures_outweigh_low_load() -> None:
    driver = RouterDriver(*workers(3))
    driver.send_request()
    home = attempted_worker_ids(driver.actions)[0]
    # An error counts against the worker only after the function has sent a response.
    driver.end_attempt(1, home)
    driver.actions.clear()
    driver.send_request()
    for request_id in range(2, 5):
        if not driver.router.workers[home].is_ejected:
            driver.end_attempt(request_id, home, Outcome.ERROR, after_ms=1.0, start_kind=StartKind.UNKNOWN)
            driver.now_ms += 1.0
            driver.router.functions[FUNCTION_ID].affinity[home] = 1.0
            driver.router.functions[FUNCTION_ID].last_sent_at_ms[home] = driver.now_ms
            driver.send_request()
    assert driver.router.workers[home].is_ejected
    assert home not in attempted_worker_ids(driver.send_request())


def test_a_half_open_trial_ends_an_ejection() -> None:
    driver = RouterDriver(*workers(3))
    call_other_functions(driver)
    record = driver.router.workers[1]
    record.is_ejected = True
    record.outlier_score = 0.9
    record.ejected_until_ms = driver.now_ms + 100.0
    make_warm(driver, {1: 1.0})
    assert attempted_worker_ids(driver.send_request()) != [1]
    driver.now_ms += 200.0
    assert attempted_worker_ids(driver.send_request(class_index=NOT_IDEMPOTENT_CLASS)) != [1], (
        "not idempotent, so no trial"
    )
    assert attempted_worker_ids(driver.send_request()) == [1]
    trial_request_id = driver.last_request_id
    assert attempted_worker_ids(driver.send_request()) != [1], "one trial at a time"
    driver.end_attempt(trial_request_id, 1)
    assert not record.is_ejected


def test_an_ejected_worker_gets_its_trial_though_others_cost_less() -> None:
    """Guards against an outlier score that prevents the trial, so that a healthy worker remains ejected."""
    driver = RouterDriver(worker(1), worker(2))
    (home,) = attempted_worker_ids(driver.send_request())
    driver.end_attempt(1, home)
    record = driver.router.workers[home]
    other = 3 - home
    for _ in range(3):
        driver.router.feedback.observe_health(driver.now_ms, record, 1.0)
    assert record.is_ejected
    assert attempted_worker_ids(driver.send_request()) == [other]
    driver.end_attempt(2, other)
    assert (
        attempted_worker_ids(driver.send_request(after_ms=record.ejected_until_ms - driver.now_ms))[0] == home
    )
    assert record.has_trial_in_flight
    assert attempted_worker_ids(driver.send_request()) == [other], "one trial at a time"
    driver.end_attempt(3, home)
    driver.end_attempt(4, other)
    for request_id in range(5, 8):
        (worker_id,) = attempted_worker_ids(driver.send_request())
        driver.end_attempt(request_id, worker_id)
    assert not record.is_ejected


def test_one_of_two_workers_can_be_ejected() -> None:
    driver = RouterDriver(worker(1), worker(2))
    for worker_id in (1, 2):
        driver.router.feedback.observe_health(driver.now_ms, driver.router.workers[worker_id], 2.0)
    assert [record.is_ejected for record in driver.router.workers.values()] == [True, False]


def test_more_unresponsive_workers_are_ejected_than_failing_ones_but_never_all() -> None:
    """With the limit for errors, unresponsive workers would continue to receive calls."""
    driver = RouterDriver(*workers(6))
    for request_id in range(1, 7):
        driver.send_request(function_id=request_id, class_index=NOT_IDEMPOTENT_CLASS)
        driver.end_attempt(request_id, attempted_worker_ids(driver.actions)[-1])
    by_id = driver.router.workers
    observe_health = driver.router.feedback.observe_health
    for worker_id in range(1, 5):  # four of six are unresponsive
        for _ in range(3):
            observe_health(
                driver.now_ms, by_id[worker_id], 1.0, outlier_detection.MAX_UNRESPONSIVE_EJECTED_FRACTION
            )
    assert sum(record.is_ejected for record in by_id.values()) == 4
    for worker_id in (5, 6):  # failing workers, not ejected because the limit for errors is reached
        for _ in range(3):
            observe_health(driver.now_ms, by_id[worker_id], 1.0)
    assert sum(record.is_ejected for record in by_id.values()) == 4


def test_all_workers_that_refuse_connections_are_ejected() -> None:
    """With the limit for errors, the rest of a lost zone would remain in use and fail call after call."""
    driver = RouterDriver(*workers(10))
    for function_id in range(300):
        worker_id = attempted_worker_ids(driver.send_request(function_id, after_ms=10.0))[0]
        for attempt_index in range(4):
            if worker_id > 6:
                driver.end_attempt(
                    driver.last_request_id, worker_id, attempt_index=attempt_index, after_ms=0.0
                )
                break
            actions = driver.end_attempt(
                driver.last_request_id,
                worker_id,
                Outcome.CONNECT_FAILED,
                attempt_index=attempt_index,
                after_ms=0.0,
                start_kind=StartKind.UNKNOWN,
            )
            if not (retries := attempted_worker_ids(actions)):
                break
            worker_id = retries[0]
    assert sum(driver.router.workers[worker_id].is_ejected for worker_id in range(1, 7)) == 6


@pytest.mark.parametrize(
    ("router_count", "worker_count", "interval_ms"), [(1, 4, 24.0), (3, 12, 24.0), (40, 40, 85.0)]
)
def test_a_failing_worker_costs_each_router_few_calls(
    router_count: int, worker_count: int, interval_ms: float
) -> None:
    """Guards against 40 routers each losing two calls before the ejection, then a trial every few seconds."""
    driver = RouterDriver(*workers(worker_count), router_count=router_count)
    for number in range(400):
        driver.advance_to(driver.now_ms + interval_ms)
        worker_id = attempted_worker_ids(driver.send_request(number % 90))[0]
        if worker_id != 1:
            driver.end_attempt(driver.last_request_id, worker_id, after_ms=0.0)
            continue
        actions = driver.end_attempt(
            driver.last_request_id, 1, Outcome.ERROR, after_ms=0.0, start_kind=StartKind.UNKNOWN
        )
        driver.end_attempt(
            driver.last_request_id, attempted_worker_ids(actions)[0], attempt_index=1, after_ms=0.0
        )
    lost_count = sum(action.worker_id == 1 for action in driver.actions if isinstance(action, StartAttempt))
    assert driver.router.workers[1].is_ejected
    duration_ms = driver.now_ms - 1000.0
    rarity_divisor = 3 if worker_count == 40 else 1
    assert lost_count <= 2 + duration_ms / records.BASE_EJECTION_MS / rarity_divisor / 2


# Outcomes that do not count against the worker.


def test_a_class_that_a_worker_rejects_goes_elsewhere_and_others_stay() -> None:
    """A worker may rate-limit one class, so its rejections do not indicate an outlier."""
    driver = RouterDriver(*workers(3))
    (home,) = attempted_worker_ids(driver.send_request(class_index=1))
    driver.end_attempt(1, home, Outcome.OVERLOADED, after_ms=200.0)
    record = driver.router.workers[home]
    assert record.rejections[(1, None)].read(driver.now_ms) == pytest.approx(1.0)
    assert (0, None) not in record.rejections
    assert record.outlier_score == 0.0
    driver.now_ms += 10 * feedback.REJECTION_TIME_CONSTANT_MS
    assert record.rejections[(1, None)].read(driver.now_ms) < 0.01


def test_a_router_that_stalled_ejects_no_worker() -> None:
    driver = RouterDriver(worker(1), worker(2))
    (worker_id,) = attempted_worker_ids(driver.send_request())
    driver.now_ms += 2000.0
    driver.feed(TimerFired(timers(driver.actions)[-1].token))
    assert driver.router.workers[worker_id].outlier_score == 0.0
    driver.end_attempt(1, worker_id, after_ms=0.0)
    assert driver.router.workers[worker_id].read_excess_load(driver.now_ms) == 0.0


def test_a_timeout_due_to_a_short_deadline_does_not_count_against_the_worker() -> None:
    driver = RouterDriver(worker(1))
    for _ in range(3):
        driver.send_request()
        driver.end_attempt(driver.last_request_id, 1)
    driver.send_request(remaining_ms=150.0)
    driver.end_attempt(
        driver.last_request_id, 1, Outcome.TIMEOUT, after_ms=150.0, start_kind=StartKind.UNKNOWN
    )
    assert driver.router.workers[1].outlier_score == 0.0


def test_an_error_of_a_function_without_a_response_does_not_count_against_the_worker() -> None:
    driver = RouterDriver(worker(1))
    for _ in range(4):
        (worker_id, *_) = attempted_worker_ids(
            driver.send_request(class_index=NOT_IDEMPOTENT_CLASS, function_id=99)
        )
        driver.end_attempt(driver.last_request_id, worker_id, Outcome.ERROR)
    assert driver.router.workers[1].outlier_score == 0.0
    driver.send_request(class_index=NOT_IDEMPOTENT_CLASS)
    driver.end_attempt(driver.last_request_id, 1)
    driver.send_request(class_index=NOT_IDEMPOTENT_CLASS)
    driver.end_attempt(driver.last_request_id, 1, Outcome.ERROR)
    assert driver.router.workers[1].outlier_score > 0.0


def test_an_error_counts_if_another_worker_serves_the_request_though_the_function_is_new() -> None:
    driver = RouterDriver(worker(1), worker(2))
    first = attempted_worker_ids(driver.send_request(99))[0]
    actions = driver.end_attempt(1, first, Outcome.ERROR, start_kind=StartKind.UNKNOWN)
    assert driver.router.workers[first].outlier_score == 0.0, "the client may have caused the error"
    driver.end_attempt(1, attempted_worker_ids(actions)[0], attempt_index=1)
    assert driver.router.workers[first].outlier_score > outlier_detection.EJECTION_THRESHOLD


def test_all_attempts_of_one_broken_connection_count_as_one_failure() -> None:
    driver = RouterDriver(worker(1))
    worker_ids = [
        attempted_worker_ids(driver.send_request(class_index=NOT_IDEMPOTENT_CLASS))[0] for _ in range(5)
    ]
    for request_id, worker_id in enumerate(worker_ids, 1):
        fail_connection(driver, request_id, worker_id, Outcome.RESET, is_unreachable=False, after_ms=0.0)
    assert driver.router.workers[1].outlier_score == outlier_detection.FAILURE_GAIN
    assert not driver.router.workers[1].is_ejected


def test_a_broken_connection_does_not_indicate_a_restart() -> None:
    """Guards against resets that make their workers count as cold, until every call waits to its deadline."""
    driver = RouterDriver(worker(1))
    record = driver.router.workers[1]
    for outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
        (worker_id,) = attempted_worker_ids(driver.send_request(class_index=NOT_IDEMPOTENT_CLASS))
        fail_connection(driver, driver.last_request_id, worker_id, outcome, is_unreachable=False)
        assert record.available_capacity(driver.now_ms, RULES) == 1.0
    (worker_id,) = attempted_worker_ids(driver.send_request(class_index=NOT_IDEMPOTENT_CLASS))
    fail_connection(driver, driver.last_request_id, worker_id, Outcome.CONNECT_FAILED, is_unreachable=True)
    assert record.available_capacity(driver.now_ms, RULES) < 1.0


def test_an_unreachable_worker_is_in_slow_start_before_the_endpoint_list_reports_a_restart() -> None:
    """Guards against the collapse of twelve workers that restarted unreported, under calls of 85 routers."""
    driver = RouterDriver(worker(1), worker(2))
    assert driver.router.workers[1].available_capacity(driver.now_ms, RULES) == 1.0
    driver.send_request()
    (worker_id,) = attempted_worker_ids(driver.actions)
    driver.end_attempt(1, worker_id, Outcome.CONNECT_FAILED, after_ms=250.0)
    record = driver.router.workers[worker_id]
    min_capacity = pytest.approx(RULES.slow_start_min_capacity)
    assert record.available_capacity(driver.now_ms, RULES) == min_capacity
    driver.now_ms += RULES.slow_start_ms
    assert record.available_capacity(driver.now_ms, RULES) == 1.0
