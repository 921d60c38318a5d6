"""Event handling of a router: retries, timers, the queue, preloads, discovery, streams and stale events."""

from __future__ import annotations

import dataclasses

import pytest

from cedarthread.model.actions import RejectRequest, SetTimer, SubscribeEndpoints
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import (
    AttemptEnded,
    ClientDisconnected,
    HealthCheckEnded,
    PeerMessageReceived,
    PreloadEnded,
    StreamStarted,
    TimerFired,
)
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import DiscoveryMode, NotLoadedBehavior
from cedarthread.routing import preload_budget, request_table, retry_budget
from tests.helpers import CLASSES, LIMITS, RULES, RouterDriver, attempted_worker_ids, final_failures, worker
from tests.unit.routing.builders import FUNCTION_ID, cancellations, preloads, timers, workers

STREAMING_CLASS = 5
SUBSCRIPTION = SubscribeEndpoints(is_enabled=True)


@pytest.mark.parametrize("class_index", [0, 1, 2])
@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_LOADED])
def test_an_outcome_that_proves_no_execution_is_retried(class_index: int, outcome: Outcome) -> None:
    driver = RouterDriver(worker(1), worker(2))
    (home,) = attempted_worker_ids(driver.send_request(class_index=class_index))
    assert attempted_worker_ids(driver.end_attempt(1, home, outcome)) == [3 - home]


def test_attempts_are_limited() -> None:
    driver = RouterDriver(*workers(8), limits=dataclasses.replace(LIMITS, max_attempts=2))
    (first,) = attempted_worker_ids(driver.send_request())
    (second,) = attempted_worker_ids(driver.end_attempt(1, first, Outcome.OVERLOADED))
    actions = driver.end_attempt(1, second, Outcome.OVERLOADED, attempt_index=1)
    (final_answer,) = final_failures(actions)
    assert isinstance(final_answer, RejectRequest)
    assert final_answer.request_id == 1
    assert attempted_worker_ids(actions) == []


def test_a_hedged_request_is_sent_where_that_is_allowed() -> None:
    driver = RouterDriver(worker(1), worker(2), limits=dataclasses.replace(LIMITS, allows_hedging=True))
    (first,) = attempted_worker_ids(driver.send_request())
    driver.end_attempt(1, first)
    (first,) = attempted_worker_ids(driver.send_request(after_ms=1.0))
    assert attempted_worker_ids(driver.advance_to(driver.now_ms + 1000.0)) == [3 - first]


def test_a_client_retry_earns_no_retry_budget() -> None:
    driver = RouterDriver(worker(1), worker(2))
    budget = driver.router.state.retry_budget
    budget.tokens = 0.0
    driver.send_request(is_client_retry=True)
    assert budget.tokens == 0.0
    driver.send_request()
    assert budget.tokens == pytest.approx(retry_budget.RETRY_BUDGET_PER_REQUEST)


@pytest.mark.parametrize("class_index", range(len(CLASSES)))
def test_a_deadline_in_the_past_gets_one_final_answer(class_index: int) -> None:
    driver = RouterDriver(worker(1))
    actions = driver.send_request(class_index=class_index, remaining_ms=-5.0)
    assert len(final_failures(actions)) == 1
    assert attempted_worker_ids(actions) == []


def test_unknown_requests_workers_and_timers_are_ignored() -> None:
    driver = RouterDriver(worker(1))
    action_count = len(driver.actions)
    for event in (
        AttemptEnded(99, 0, 1, Outcome.OK, 5.0, True),
        AttemptEnded(99, 0, 77, Outcome.ERROR, 5.0, False),
        StreamStarted(99, 0, 77, 5.0),
        ClientDisconnected(99),
        TimerFired(12345),
        HealthCheckEnded(77, Outcome.OK, 5.0),
        PeerMessageReceived(3, b"\xff\x00garbled"),
        PreloadEnded(77, 5, Outcome.OK, 3, 5.0),
    ):
        driver.feed(event)
    assert len(driver.actions) == action_count


# Timers and the queue.


def test_a_timer_that_fires_early_by_rounding_counts() -> None:
    """Guards against a due time rounded to microseconds that stops all later timers."""
    driver = RouterDriver()
    driver.send_request()
    timer = timers(driver.actions)[0]
    driver.now_ms = timer.at_ms - 0.0004
    assert timers(driver.feed(TimerFired(timer.token)))


def test_no_timer_is_set_while_nothing_is_due() -> None:
    """Guards against setting the timer again at every event, which floods the host."""
    driver = RouterDriver(worker(1), worker(2))
    (worker_id,) = attempted_worker_ids(driver.send_request())
    driver.end_attempt(1, worker_id)
    driver.advance_to(60000.0)
    driver.actions.clear()
    driver.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(3),)))
    assert driver.actions == []


def test_the_queue_is_checked_once_per_interval() -> None:
    """Guards against checks that each set two timers, so that the number of timers doubles indefinitely."""
    driver = RouterDriver()
    for _ in range(5):
        driver.send_request()
    checks = timers(driver.advance_to(driver.now_ms + 1000.0))
    assert len(checks) <= 1000.0 / request_table.QUEUE_CHECK_MS + 2


def test_a_queued_request_without_a_worker_is_answered_in_time() -> None:
    driver = RouterDriver()
    assert attempted_worker_ids(driver.send_request()) == []
    assert len(final_failures(driver.advance_to(4000.0))) == 1
    assert driver.router.pending_requests == {}


def test_a_queued_request_is_sent_when_a_worker_is_listed() -> None:
    driver = RouterDriver()
    driver.send_request()
    snapshot = EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 2, (worker(5),))
    assert attempted_worker_ids(driver.feed(snapshot, after_ms=50.0)) == [5]


def test_a_request_never_sent_is_rejected_by_half_of_its_time() -> None:
    driver = RouterDriver(worker(1, EndpointState.DRAINING))
    driver.send_request(remaining_ms=2000.0)
    (final_answer,) = final_failures(driver.advance_to(driver.now_ms + 1000.0))
    assert isinstance(final_answer, RejectRequest)


def test_functions_called_once_are_dropped() -> None:
    driver = RouterDriver(worker(1), worker(2))
    for function_id in range(500):
        (worker_id,) = attempted_worker_ids(driver.send_request(function_id, after_ms=100.0))
        driver.end_attempt(driver.last_request_id, worker_id, after_ms=10.0)
        driver.advance_to(driver.now_ms)
    assert len(driver.router.functions) <= 2 * 10000.0 / 100.0 + 1
    assert not driver.router.pending_requests
    assert not driver.router.orphaned_attempts
    assert len(driver.router.state.timers.entries) < 100


# Preloads.


def test_preloads_in_flight_are_bounded() -> None:
    driver = RouterDriver(*workers(8), when_not_loaded=NotLoadedBehavior.REJECT, router_count=2)
    for function_id in range(20):
        driver.send_request(function_id)
    assert len(preloads(driver.actions)) == preload_budget.PRELOADS_PER_WORKER * 8 / 2


def test_a_call_of_a_function_not_loaded_is_sent_after_its_preload() -> None:
    driver = RouterDriver(worker(1), worker(2), when_not_loaded=NotLoadedBehavior.REJECT)
    actions = driver.send_request()
    (preload,) = preloads(actions)
    assert attempted_worker_ids(actions) == []
    assert preload.instances == 1
    assert attempted_worker_ids(driver.send_request()) == []
    assert len(preloads(driver.actions)) == 1
    loaded = PreloadEnded(preload.worker_id, FUNCTION_ID, Outcome.OK, 1, 300.0)
    assert attempted_worker_ids(driver.feed(loaded, after_ms=300.0)) == [preload.worker_id, preload.worker_id]


def test_a_failed_preload_is_not_repeated_at_once() -> None:
    driver = RouterDriver(worker(1), worker(2), when_not_loaded=NotLoadedBehavior.REJECT)
    (preload,) = preloads(driver.send_request())
    failure = PreloadEnded(preload.worker_id, FUNCTION_ID, Outcome.OVERLOADED, 0, 5.0)
    assert not preloads(driver.feed(failure, after_ms=5.0))
    assert preloads(driver.advance_to(driver.now_ms + 500.0))


def test_rule_5_limits_preloads_per_window() -> None:
    rules = dataclasses.replace(RULES, preload_window_ms=5000.0, preload_allowance=1.0, preload_share=0.1)
    driver = RouterDriver(*workers(29), when_not_loaded=NotLoadedBehavior.REJECT, rules=rules)
    for function_id in range(15):
        driver.send_request(function_id)
    assert len(preloads(driver.actions)) <= 1 + 0.1 * 15


def test_the_request_times_of_the_preload_window_do_not_grow() -> None:
    driver = RouterDriver(worker(1), rules=dataclasses.replace(RULES, preload_window_ms=5000.0))
    for _ in range(100):
        driver.send_request(after_ms=1000.0)
    assert len(driver.router.state.preload_budget.request_times) <= 6


# Discovery and streams.


def test_polled_discovery_subscribes_and_backs_off() -> None:
    driver = RouterDriver(worker(1), discovery_mode=DiscoveryMode.POLL)
    assert SUBSCRIPTION in driver.advance_to(1100.0)
    driver.feed(EndpointUpdate(EndpointUpdateKind.FAILED, 1))
    assert SUBSCRIPTION not in driver.advance_to(driver.now_ms + 200.0)
    assert SUBSCRIPTION in driver.advance_to(driver.now_ms + 2000.0)


def test_a_streaming_attempt_is_neither_cancelled_nor_hedged() -> None:
    driver = RouterDriver(worker(1), worker(2))
    (home,) = attempted_worker_ids(driver.send_request(class_index=STREAMING_CLASS))
    driver.feed(StreamStarted(1, 0, home, 50.0), after_ms=50.0)
    actions = driver.advance_to(20000.0)
    assert not [action for action in actions if not isinstance(action, SetTimer)]


def test_a_second_stream_of_a_hedged_request_does_not_cancel_the_first() -> None:
    """The cancellation of the second attempt may arrive too late; the client reads the first stream."""
    driver = RouterDriver(worker(1), worker(2), limits=dataclasses.replace(LIMITS, allows_hedging=True))
    (home,) = attempted_worker_ids(driver.send_request(class_index=STREAMING_CLASS))
    driver.end_attempt(1, home)
    (home,) = attempted_worker_ids(driver.send_request(class_index=STREAMING_CLASS, after_ms=1.0))
    (hedge,) = attempted_worker_ids(driver.advance_to(driver.now_ms + 1000.0))
    cancelled = cancellations(driver.feed(StreamStarted(2, 0, home, 1000.0)))
    assert [action.attempt_index for action in cancelled] == [1]
    assert not cancellations(driver.feed(StreamStarted(2, 1, hedge, 900.0), after_ms=1.0))
