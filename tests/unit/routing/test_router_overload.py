"""Load shedding of a router: which calls are shed, for how long, and what does not count as overload."""

from __future__ import annotations

import dataclasses

from cedarthread.model.actions import RejectRequest
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import Tenant
from tests.helpers import CLASSES, SAFE, RouterDriver, attempted_worker_ids, final_failures, worker
from tests.unit.routing.builders import FUNCTION_ID, last_worker_of, serve_calls, workers


def test_calls_that_cannot_be_in_time_are_shed_until_the_overload_ends() -> None:
    """Response times alone detect an overload too late: shedding oscillates between almost none and all."""
    driver = RouterDriver(*workers(3))
    serve_calls(driver)
    # The workers become overloaded, because no attempt ends.
    answers = [final_failures(driver.send_request(after_ms=1.0)) for _ in range(200)]
    first_shed = next(number for number, answer in enumerate(answers) if answer)
    assert 20 < first_shed < 100
    assert 20 < sum(map(bool, answers[first_shed:])) < len(answers) - first_shed
    assert all(
        isinstance(action, RejectRequest) and action.retry_after_ms for answer in answers for action in answer
    )
    last_request_id = driver.last_request_id
    for request_id, answer in enumerate(answers, last_request_id - 199):
        if not answer:
            driver.end_attempt(request_id, last_worker_of(driver, request_id), after_ms=0.0)
    assert not any(final_failures(driver.send_request(after_ms=10.0)) for _ in range(5)), (
        "shedding ends with the overload"
    )


def test_calls_of_higher_priority_weight_are_shed_later_and_less() -> None:
    """Guards against shedding 0.38 of the calls of high weight against 0.60 of the others."""
    classes = (
        dataclasses.replace(SAFE, priority_weight=3.0),
        SAFE,
        dataclasses.replace(SAFE, latency_objective_ms=2000.0),
    )
    driver = RouterDriver(*workers(3), classes=classes)
    serve_calls(driver, class_count=3)
    is_shed = [
        (number % 3, bool(final_failures(driver.send_request(class_index=number % 3, after_ms=1.0))))
        for number in range(300)
    ]
    high_weight, normal, long_objective = (
        sum(shed for class_index, shed in is_shed if class_index == wanted) for wanted in range(3)
    )
    assert high_weight < 0.8 * normal
    assert high_weight < 0.8 * long_objective
    first_shed = [is_shed.index((class_index, True)) for class_index in range(3)]
    assert first_shed[1] < first_shed[2] < first_shed[0]


def test_calls_that_wait_for_cold_starts_do_not_count_as_overload() -> None:
    """New workers load every called function; as overload this shed 95% of a router's calls in a release."""
    driver = RouterDriver(*workers(6))
    serve_calls(driver)
    assert not any(
        final_failures(driver.send_request(function_id=100 + number, after_ms=10.0)) for number in range(100)
    )
    assert not any(
        final_failures(driver.send_request(function_id=FUNCTION_ID, after_ms=10.0)) for _ in range(5)
    )


def test_few_simultaneous_calls_do_not_count_as_overload() -> None:
    """One router of hundreds receives a few calls per second, so three at once are random variation."""
    driver = RouterDriver(*workers(3))
    for _ in range(20):
        driver.send_request(after_ms=400.0)
        driver.end_attempt(driver.last_request_id, attempted_worker_ids(driver.actions)[-1])
    assert not any(final_failures(driver.send_request()) for _ in range(3))


def test_an_unresponsive_worker_does_not_count_as_overload() -> None:
    """Guards against one unresponsive worker making the router shed the calls of all others."""
    driver = RouterDriver(*workers(6))
    serve_calls(driver)
    overload = driver.router.state.overload
    overload.in_flight[1] = 200
    overload.total_in_flight += 200
    assert not any(final_failures(driver.send_request()) for _ in range(5)), (
        "also before the worker is ejected"
    )
    for worker_id in range(2, 7):
        overload.in_flight[worker_id] = 40
    assert any(final_failures(driver.send_request()) for _ in range(20)), (
        "with all workers as busy, it is one"
    )


def test_no_attempt_starts_with_too_little_time_left() -> None:
    driver = RouterDriver(worker(1))
    for _ in range(5):
        driver.send_request()
        driver.end_attempt(driver.last_request_id, 1)
    (final_answer,) = final_failures(driver.send_request(remaining_ms=30.0))
    assert isinstance(final_answer, RejectRequest)


def test_tenants_over_their_quota_are_shed_first() -> None:
    tenants = (Tenant("x", 0.5, None), Tenant("y", 0.5, None))
    driver = RouterDriver(worker(1), worker(2), tenants=tenants)
    serve_calls(driver, tenant_index=0)
    shed_counts = [0, 0]
    for number in range(400):
        tenant_index = int(number % 10 == 0)
        shed_counts[tenant_index] += bool(
            final_failures(driver.send_request(tenant_index=tenant_index, after_ms=1.0))
        )
    assert shed_counts[0] / 360 > shed_counts[1] / 40


def test_a_class_of_weight_0_and_responses_in_0_ms_raise_no_error() -> None:
    weightless = dataclasses.replace(CLASSES[0], priority_weight=0.0, latency_objective_ms=0.0)
    driver = RouterDriver(worker(1), worker(2), classes=(weightless, *CLASSES[1:]))
    for outcome in (Outcome.OK, Outcome.OK, Outcome.OVERLOADED, Outcome.TIMEOUT):
        (worker_id,) = attempted_worker_ids(driver.send_request())
        driver.end_attempt(driver.last_request_id, worker_id, outcome, after_ms=0.0)
    assert len(final_failures(driver.send_request(remaining_ms=-1.0))) == 1
