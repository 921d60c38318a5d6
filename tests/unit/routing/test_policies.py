"""Unit tests of the policies of a router, with a state that each test sets up."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.model.actions import CancelAttempt, FailRequest, PreloadFunction, RejectRequest
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import PreloadEnded, RequestArrived
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import NotLoadedBehavior
from cedarthread.routing.admission import MAX_QUEUED_FRACTION, AdmissionPolicy
from cedarthread.routing.attempt_tracker import AttemptTracker
from cedarthread.routing.feedback import OutcomeFeedback
from cedarthread.routing.preloading import PreloadPolicy
from cedarthread.routing.request_table import QUEUE_CHECK_MS
from cedarthread.routing.retries import HEDGE_AFTER_MULTIPLE, MIN_REMAINING_MS, RetryPolicy
from cedarthread.routing.router_state import RouterState
from cedarthread.routing.selection import WorkerSelector
from tests.helpers import CLASSES, LIMITS, settings, worker

if TYPE_CHECKING:
    from cedarthread.routing.records import PendingRequest

IDEMPOTENT = 0  # class indexes in CLASSES
NOT_IDEMPOTENT = 1
WITH_KEY = 2
WITH_KEY_IN_ZONE = 3
WITH_KEY_IN_CELL = 4
HEDGING = dataclasses.replace(LIMITS, allows_hedging=True)


class Policies:
    """A router state with three workers of two zones and three cells, and the policies that share it."""

    def __init__(self, **changes: Any) -> None:
        self.state = RouterState.create(settings(**changes), 1)
        self.feedback = OutcomeFeedback(self.state)
        self.tracker = AttemptTracker(self.state, self.feedback)
        self.retries = RetryPolicy(self.state, self.feedback)
        self.selector = WorkerSelector(self.state, self.retries)
        self.admission = AdmissionPolicy(self.state, self.selector)
        self.preloads = PreloadPolicy(self.state, self.selector, self.admission)
        listed = tuple(worker(worker_id, zone=worker_id % 2, cell=worker_id) for worker_id in (1, 2, 3))
        self.state.workers.apply(0.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))

    def request(self, class_index: int = IDEMPOTENT, now_ms: float = 0.0, **extra: Any) -> PendingRequest:
        deadline_ms = now_ms + CLASSES[class_index].deadline_ms
        return self.state.record_request(now_ms, RequestArrived(1, 7, class_index, deadline_ms, **extra))

    def attempt(self, pending: PendingRequest, worker_id: int, now_ms: float = 0.0) -> None:
        self.tracker.on_started(now_ms, pending, self.state.workers.by_id[worker_id])


@pytest.mark.parametrize(
    ("class_index", "now_ms", "is_permitted"),
    [
        (IDEMPOTENT, 2900.0, True),
        (NOT_IDEMPOTENT, 1.0, False),
        (WITH_KEY, 2000.0 - MIN_REMAINING_MS - 1.0, True),
        (WITH_KEY, 2000.0 - MIN_REMAINING_MS, False),
    ],
)
def test_rule_2_bounds_attempts_after_one_that_may_have_executed(
    class_index: int, now_ms: float, is_permitted: bool
) -> None:
    policies = Policies()
    pending = policies.request(class_index)
    assert policies.retries.may_attempt(now_ms, pending), "no attempt has started"
    policies.attempt(pending, 1)
    assert policies.retries.may_attempt(now_ms, pending) is is_permitted
    pending.attempts[0].is_in_flight = False
    pending.attempts[0].may_have_executed = False
    assert policies.retries.may_attempt(now_ms, pending), "the attempt provably did not execute"


@pytest.mark.parametrize(
    ("outcome", "cost"),
    [
        (Outcome.ERROR, 1.0),
        (Outcome.OVERLOADED, 1.0),
        (Outcome.CONNECT_FAILED, 0.0),
        (Outcome.NOT_LOADED, 0.0),
    ],
)
def test_a_retry_spends_retry_budget_unless_the_failure_was_cheap(outcome: Outcome, cost: float) -> None:
    policies = Policies()
    pending = policies.request()
    budget = policies.state.retry_budget
    initial_tokens = budget.tokens
    assert policies.retries.should_retry(0.0, pending, outcome)
    assert budget.tokens == initial_tokens - cost
    assert pending.next_attempt_cost == cost
    budget.tokens = 0.5
    assert policies.retries.should_retry(0.0, pending, outcome) is (cost == 0.0)
    assert not policies.retries.should_retry(3000.0 - MIN_REMAINING_MS, pending, outcome), "too late"
    assert not policies.retries.should_retry(0.0, pending, Outcome.NOT_SENT)


@pytest.mark.parametrize(("limits", "is_hedged"), [(HEDGING, True), (LIMITS, False)])
def test_a_slow_attempt_is_hedged_once_where_that_is_allowed(limits: Any, is_hedged: bool) -> None:
    policies = Policies(limits=limits)
    pending = policies.request()
    state = policies.state
    pending.function.instance_seen_at_ms[1] = 0.0  # a warm worker, so no cold start is expected
    policies.attempt(pending, 1)
    state.workers.by_id[1].last_response_at_ms = 1.0  # the worker is slow, but responsive
    slow_at_ms = HEDGE_AFTER_MULTIPLE * pending.attempts[0].expected_ms
    initial_tokens = state.retry_budget.tokens
    assert not policies.retries.should_hedge(slow_at_ms - 1.0, pending, 0)
    assert policies.retries.should_hedge(slow_at_ms, pending, 0) is is_hedged
    assert state.retry_budget.tokens == initial_tokens - is_hedged
    assert not policies.retries.should_hedge(slow_at_ms, pending, 0)
    assert not state.actions


def test_an_attempt_at_an_ejected_worker_is_cancelled_where_no_hedge_is_allowed() -> None:
    policies = Policies()
    pending = policies.request()
    policies.attempt(pending, 1)
    policies.state.workers.by_id[1].is_ejected = True
    for _ in range(2):
        assert not policies.retries.should_hedge(10.0, pending, 0)
    assert policies.state.actions == [CancelAttempt(1, 0)]


@pytest.mark.parametrize(
    ("class_index", "eligible"),
    [(IDEMPOTENT, [1, 2, 3]), (WITH_KEY, [1, 2, 3]), (WITH_KEY_IN_ZONE, [1, 3]), (WITH_KEY_IN_CELL, [1])],
)
def test_rule_2_limits_retries_to_the_workers_that_deduplicate(class_index: int, eligible: list[int]) -> None:
    policies = Policies()
    pending = policies.request(class_index)
    policies.attempt(pending, 1)
    workers = policies.state.workers.by_id
    is_eligible = policies.selector.is_eligible
    assert [worker_id for worker_id in workers if is_eligible(pending, workers[worker_id])] == eligible
    workers[1].endpoint = dataclasses.replace(workers[1].endpoint, state=EndpointState.DRAINING)
    assert not policies.selector.is_eligible(pending, workers[1])


def test_a_worker_without_an_attempt_is_preferred_then_one_with_an_attempt_then_an_ejected_one() -> None:
    policies = Policies()
    pending = policies.request()
    workers = policies.state.workers.by_id
    for worker_id in (1, 2):
        policies.attempt(pending, worker_id)
    assert policies.selector.select(1.0, pending) is workers[3]
    for record in (workers[2], workers[3]):
        record.is_ejected = True
        record.ejected_until_ms = 100.0
    assert policies.selector.select(1.0, pending) is workers[1]
    workers[1].is_ejected = True
    workers[1].ejected_until_ms = 100.0
    assert policies.selector.select(1.0, pending) in workers.values()


def test_the_cost_depends_on_affinity_load_and_zone() -> None:
    policies = Policies()
    pending = policies.request()
    workers = policies.state.workers.by_id
    cost = policies.selector.cost
    costs = [cost(0.0, pending.function, workers[worker_id], (0, None)) for worker_id in (1, 2)]
    assert costs[0] == pytest.approx(costs[1] + policies.selector.cross_zone_penalty), "the local zone is 0"
    pending.function.affinity[2] = 1.0
    assert cost(0.0, pending.function, workers[2], (0, None)) == pytest.approx(0.0)
    workers[2].in_flight = 2
    assert cost(0.0, pending.function, workers[2], (0, None)) > 0.0


@pytest.mark.parametrize(
    ("class_index", "may_have_executed", "final_answer"),
    [
        (IDEMPOTENT, True, RejectRequest),
        (NOT_IDEMPOTENT, True, FailRequest),
        (NOT_IDEMPOTENT, False, RejectRequest),
        (WITH_KEY, True, RejectRequest),
        (WITH_KEY_IN_ZONE, True, FailRequest),
    ],
)
def test_a_request_that_may_have_executed_is_rejected_only_if_it_is_safe_to_retry(
    class_index: int, may_have_executed: bool, final_answer: type
) -> None:
    policies = Policies()
    pending = policies.request(class_index)
    if may_have_executed:
        policies.attempt(pending, 1)
    assert type(policies.admission.final_answer(1.0, pending)) is final_answer


def test_a_request_without_an_attempt_waits_for_only_a_fraction_of_its_time_limit() -> None:
    policies = Policies()
    pending = policies.request()
    latest_ms = MAX_QUEUED_FRACTION * 3000.0 - QUEUE_CHECK_MS
    assert policies.admission.may_queue(latest_ms, pending)
    assert not policies.admission.may_queue(latest_ms + 1.0, pending)
    policies.attempt(pending, 1)
    assert policies.admission.may_queue(3000.0 - MIN_REMAINING_MS - QUEUE_CHECK_MS, pending)


def test_a_request_with_too_little_time_left_is_shed() -> None:
    policies = Policies()
    pending = policies.request()
    policies.state.service_times.by_class[IDEMPOTENT].add(4000.0)
    assert policies.admission.should_shed(1001.0, pending, 1.0)
    assert not policies.admission.should_shed(999.0, pending, 1.0)


def test_a_selected_cold_worker_is_preloaded_once_and_again_after_a_failure_and_backoff() -> None:
    policies = Policies(when_not_loaded=NotLoadedBehavior.REJECT)
    pending = policies.request()
    state = policies.state
    selected = state.workers.by_id[2]
    for _ in range(2):
        assert policies.preloads.select_warm_worker(0.0, pending, selected) is None, "no worker is warm"
    assert state.actions == [PreloadFunction(2, 7, 1)]
    assert state.functions.preloads_in_flight == 1
    assert policies.feedback.record_preload(50.0, PreloadEnded(2, 7, Outcome.TIMEOUT, 0, 50.0))
    assert pending.function.preload_not_before_ms > 50.0
    assert policies.preloads.select_warm_worker(50.0, pending, selected) is None
    assert len(state.actions) == 1
    assert policies.preloads.select_warm_worker(60.0, pending, selected) is None
    assert len(state.actions) == 2
    assert policies.feedback.record_preload(90.0, PreloadEnded(2, 7, Outcome.OK, 1, 30.0))
    assert policies.preloads.select_warm_worker(90.0, pending, selected) is selected
    assert policies.preloads.select_warm_worker(90.0, pending, state.workers.by_id[3]) is selected, (
        "the warm worker"
    )
    assert not policies.feedback.record_preload(99.0, PreloadEnded(1, 7, Outcome.OK, 1, 30.0)), (
        "no such preload is in flight"
    )
