"""Unit tests of the tables, schedules and estimators of a router."""

from __future__ import annotations

import random

import pytest

from cedarthread.model.actions import LogMessage, SetTimer
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, RequestArrived
from cedarthread.model.instance_load import InstanceLoad
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import DiscoveryMode, Tenant
from cedarthread.routing import estimators, request_table, retry_budget, timers
from cedarthread.routing.discovery_polling import DiscoveryPolling
from cedarthread.routing.function_table import FunctionTable
from cedarthread.routing.log_throttle import LOG_INTERVAL_MS, LogThrottle
from cedarthread.routing.records import Attempt, FunctionRecord, PendingRequest
from cedarthread.routing.rendezvous import placement_order
from cedarthread.routing.request_table import RequestTable
from cedarthread.routing.retry_budget import RetryBudget
from cedarthread.routing.timers import TimerSchedule
from cedarthread.routing.worker_table import WorkerTable
from cedarthread.routing.zone_reachability import ZoneReachability, _UnreachableZone
from tests.helpers import CLASSES, settings, worker

KEEP_ALIVE_MS = 10_000.0


def pending_request(request_id: int = 1, now_ms: float = 0.0, **extra: float) -> PendingRequest:
    request = RequestArrived(request_id, 7, 0, now_ms + 3000.0, **extra)  # type: ignore[arg-type]
    return PendingRequest(request, CLASSES[0], FunctionRecord(7), (0, None), now_ms)


def attempt_at(worker_id: int, now_ms: float = 0.0) -> Attempt:
    return Attempt(worker(worker_id), now_ms, 50.0, (0, None), False, False, True)


def test_one_timer_is_armed_for_the_first_due_time_and_an_obsolete_one_is_ignored() -> None:
    schedule = TimerSchedule()
    assert schedule.rearm(0.0) is None
    schedule.schedule(100.0, request_id=1, attempt_index=2)
    first = schedule.rearm(0.0)
    assert first == SetTimer(100.0, schedule.token)
    assert schedule.rearm(0.0) is None, "the timer is armed already"
    schedule.schedule(50.0)
    second = schedule.rearm(0.0)
    assert second is not None
    assert first is not None
    assert second.at_ms == 50.0
    assert not schedule.on_fired(first.token)
    assert schedule.on_fired(second.token)
    assert [due.request_id for due in schedule.pop_due(99.0)] == [timers.NO_REQUEST]
    rounded = list(schedule.pop_due(100.0 - timers.ROUNDING_MS))
    assert [(due.request_id, due.attempt_index) for due in rounded] == [(1, 2)]
    assert not schedule.entries


def test_an_overdue_entry_is_armed_a_little_later_and_one_added_while_popping_is_popped_too() -> None:
    schedule = TimerSchedule()
    schedule.schedule(10.0, request_id=1)
    assert schedule.rearm(500.0) == SetTimer(500.0 + timers.MIN_DELAY_MS, schedule.token)
    popped = []
    for due in schedule.pop_due(500.0):
        popped.append(due.request_id)
        if due.request_id < 3:
            schedule.schedule(500.0, request_id=due.request_id + 1)
    assert popped == [1, 2, 3]


def test_each_event_is_logged_once_per_interval() -> None:
    logs = LogThrottle()
    assert logs.line(0.0, "shed", fraction=0.5) == LogMessage("shed fraction=0.5")
    assert logs.line(LOG_INTERVAL_MS - 1.0, "shed", fraction=0.6) is None
    assert logs.line(1.0, "eject") is not None
    assert logs.line(LOG_INTERVAL_MS, "shed") is not None


def test_the_retry_budget_is_earned_up_to_a_bound_and_never_overdrawn() -> None:
    budget = RetryBudget()
    assert all(budget.spend(1.0) for _ in range(int(retry_budget.MAX_RETRY_BUDGET)))
    assert not budget.spend(1.0)
    assert budget.spend(0.0)
    assert budget.tokens == 0.0
    for _ in range(1000):
        budget.earn()
    assert budget.tokens == retry_budget.MAX_RETRY_BUDGET


def worker_table(*worker_ids: int) -> WorkerTable:
    table = WorkerTable(settings(), ZoneReachability(0), random.Random(1))
    listed = tuple(worker(worker_id) for worker_id in worker_ids)
    assert table.apply(0.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed)) == []
    return table


def test_a_snapshot_removes_an_unlisted_worker_once_nothing_is_in_flight_there() -> None:
    workers = worker_table(1, 2)
    workers.by_id[2].in_flight = 1
    snapshot = EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 2, (worker(1),))
    assert workers.apply(1.0, snapshot) == []
    assert workers.by_id[2].endpoint.state is EndpointState.REMOVED
    assert workers.ready_count == 1
    epoch = workers.placement_epoch
    workers.by_id[2].in_flight = 0
    assert workers.apply(2.0, EndpointUpdate(EndpointUpdateKind.DELTA, 3)) == [2]
    assert list(workers.by_id) == [1]
    assert workers.placement_epoch == epoch + 1
    assert [endpoint.worker_id for endpoint in workers.snapshot().endpoints] == [1]


def test_a_restarted_worker_loses_its_instances_and_its_outlier_score() -> None:
    workers = worker_table(1, 2)
    record = workers.by_id[1]
    record.outlier_score = 0.9
    record.is_ejected = True
    jitter = record.jitter
    assert workers.skipped_count() == 1
    assert list(workers.not_ejected_ids()) == [2]
    restarted = EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(1, started_at_ms=5.0),))
    assert workers.apply(5.0, restarted) == [1]
    assert not record.is_ejected
    assert record.outlier_score == 0.0
    assert record.jitter != jitter
    assert workers.skipped_count() == 0


def test_workers_of_unreachable_zones_are_not_ready_unless_all_are() -> None:
    workers = WorkerTable(settings(), ZoneReachability(0), random.Random(1))
    listed = tuple(worker(worker_id, zone=worker_id % 2) for worker_id in range(4))
    workers.apply(0.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
    workers.zones.unreachable[1] = _UnreachableZone(1000.0)
    workers.count_ready(1.0)
    assert workers.ready_count == 2
    assert not workers.is_every_zone_unreachable
    workers.zones.unreachable[0] = workers.zones.unreachable[1]
    workers.count_ready(2.0)
    assert workers.ready_count == 4
    assert workers.is_every_zone_unreachable


def test_functions_are_in_the_order_of_their_last_calls_until_they_expire() -> None:
    functions = FunctionTable()
    first = functions.on_call(0.0, 1, 2.0, 100.0)
    functions.on_call(10.0, 2, 1.0, 100.0)
    assert functions.on_call(20.0, 1, 4.0, 100.0) is first
    assert first.concurrency == 4.0
    functions.start_preload(functions.by_id[2], 5)
    functions.on_call(115.0, 3, 1.0, 100.0)
    assert list(functions.by_id) == [1, 3]
    assert functions.preloads_in_flight == 0, "the preload of the expired function does not count"


def test_a_removed_worker_has_no_preload_in_flight() -> None:
    functions = FunctionTable()
    function = functions.on_call(0.0, 1, 1.0, 100.0)
    functions.start_preload(function, 5)
    for _ in range(2):
        functions.remove_worker(5)
        assert functions.preloads_in_flight == 0
        assert not function.preloading_workers


def test_an_attempt_outlives_its_request_and_ends_once() -> None:
    requests = RequestTable()
    pending = pending_request()
    requests.pending[1] = pending
    pending.attempts += [attempt_at(4), attempt_at(5)]
    first = AttemptEnded(1, 0, 4, Outcome.ERROR, 10.0, False)
    assert requests.end_attempt(first) == (pending, pending.attempts[0])
    assert requests.end_attempt(first) == (pending, None), "the attempt has ended already"
    assert requests.end_attempt(AttemptEnded(1, 2, 4, Outcome.OK, 1.0, True)) == (pending, None)
    requests.close(pending)
    assert not requests.pending
    assert list(requests.orphaned) == [(1, 1)]
    second = AttemptEnded(1, 1, 5, Outcome.OK, 20.0, True)
    assert requests.end_attempt(second) == (None, pending.attempts[1])
    assert not requests.orphaned
    assert requests.end_attempt(second) == (None, None)


def test_the_queue_is_checked_once_for_all_queued_requests() -> None:
    requests = RequestTable()
    schedule = TimerSchedule()
    for request_id in (1, 2):
        requests.enqueue(0.0, pending_request(request_id), schedule)
    assert len(schedule.entries) == 1
    assert list(requests.queued) == [1, 2]
    assert not requests.is_queue_check_due(request_table.QUEUE_CHECK_MS / 2)
    assert requests.is_queue_check_due(request_table.QUEUE_CHECK_MS)
    assert not requests.is_queue_check_due(1e12), "the next queued request schedules the next check"


def test_polls_back_off_and_one_subscription_is_sent() -> None:
    polling = DiscoveryPolling()
    rng = random.Random(1)
    delays = [polling.on_failure(0.0, 1600.0, rng) for _ in range(6)]
    for delay_ms, backoff_ms in zip(delays, (100.0, 200.0, 400.0, 800.0, 1600.0, 1600.0), strict=True):
        assert backoff_ms / 2 <= delay_ms <= backoff_ms
    polling.on_update()
    assert polling.on_failure(0.0, 1600.0, rng) <= 100.0
    assert not polling.should_subscribe(0.0, DiscoveryMode.PUSH)
    assert polling.should_subscribe(5.0, DiscoveryMode.POLL)
    assert not polling.is_due(4.0)
    assert polling.is_due(5.0)
    assert not polling.is_due(6.0)
    assert not polling.should_subscribe(7.0, DiscoveryMode.POLL)


def test_a_service_time_is_estimated_by_hint_then_function_then_class_then_objective() -> None:
    times = estimators.ServiceTimeEstimator(settings())
    pending = pending_request()
    hinted = pending_request(work=10.0)
    objective_ms = CLASSES[0].latency_objective_ms
    assert times.expected_ms(pending) == objective_ms / estimators.INITIAL_SERVICE_DIVISOR
    times.by_class[0].add(40.0)
    assert times.expected_ms(pending) == times.expected_ms(hinted) == 40.0
    times.on_warm_response(hinted, 60.0)
    assert times.expected_ms(hinted) == 60.0
    assert times.expected_ms(pending) == times.class_ms(0) == 50.0
    times.on_warm_response(pending, 70.0)
    assert times.expected_ms(pending) == 70.0
    assert times.expected_cold_start_ms(pending) == objective_ms
    times.on_cold_response(pending, 370.0)
    assert times.expected_cold_start_ms(pending) == pytest.approx(300.0)


def test_new_classes_do_not_change_earlier_estimates() -> None:
    times = estimators.ServiceTimeEstimator(settings(classes=CLASSES[:1]))
    times.by_class[0].add(40.0)
    times.update_settings(settings())
    assert times.class_ms(0) == 40.0
    assert len(times.by_class) == len(times.per_work) == len(CLASSES)


def test_calls_are_rare_where_one_worker_gets_few_of_them() -> None:
    frequent = estimators.TrafficEstimator(settings())
    rare = estimators.TrafficEstimator(settings())
    for number in range(400):
        frequent.on_call(10.0 * number, FunctionRecord(1), 1)
        rare.on_call(10.0 * number, FunctionRecord(1), 500)
    assert frequent.calls_per_ms == rare.calls_per_ms == pytest.approx(0.1, rel=0.1)
    assert frequent.sparse_traffic_factor == 1.0
    assert rare.load_decay_ms == estimators.MAX_LOAD_DECAY_MS
    assert rare.sparse_traffic_factor == 3.0


def test_quota_use_is_the_fraction_of_calls_over_the_quota() -> None:
    with_tenants = settings(tenants=(Tenant("a", 0.25, None), Tenant("b", 0.75, None)))
    traffic = estimators.TrafficEstimator(with_tenants)
    requests = [RequestArrived(request_id, 7, 0, 1.0, request_id % 2) for request_id in range(100)]
    quota_uses = [traffic.on_tenant_call(0.0, request, with_tenants) for request in requests]
    assert quota_uses[-2:] == [pytest.approx(2.0, rel=0.05), pytest.approx(0.5 / 0.75, rel=0.05)]
    assert traffic.on_tenant_call(0.0, RequestArrived(1, 7, 0, 1.0), with_tenants) == 1.0


def test_affinity_moves_to_the_worker_of_an_attempt_and_expires() -> None:
    function = FunctionRecord(1)
    function.affinity = {1: 1.0, 2: 0.5}
    function.last_sent_at_ms = {1: 0.0, 2: 0.0}
    function.on_sent(100.0, 2, 0.1)
    assert function.affinity == {1: pytest.approx(0.9), 2: pytest.approx(0.55)}
    assert function.read_affinity(KEEP_ALIVE_MS + 50.0, 2, KEEP_ALIVE_MS) == pytest.approx(0.55)
    assert function.read_affinity(KEEP_ALIVE_MS + 50.0, 1, KEEP_ALIVE_MS) == 0.0
    assert list(function.affinity) == list(function.last_sent_at_ms) == [2]


def test_gossip_of_an_instance_counts_if_newer_than_the_last_own_attempt() -> None:
    function = FunctionRecord(1)
    function.last_sent_at_ms[1] = 500.0
    function.last_sent_at_ms[2] = 100.0
    gossiped = {
        1: InstanceLoad(0, 600.0),
        2: InstanceLoad(0, 600.0),
        3: InstanceLoad(2, None),
        4: InstanceLoad(0, 1.0),
    }
    function.on_gossip(1000.0, gossiped, {1, 2, 3}, 0.9)
    assert function.affinity == {2: 0.9}
    assert function.last_sent_at_ms[2] == 400.0
    known = [function.has_instance(1000.0, worker_id, KEEP_ALIVE_MS) for worker_id in (1, 3, 9)]
    assert known == [True, False, False]
    assert not function.has_seen_instance(1000.0, 1, KEEP_ALIVE_MS)


def test_placement_orders_agree_and_equal_weights_do_not_change_them() -> None:
    workers = list(worker_table(*range(40)).by_id.values())
    order = placement_order(77, workers, is_weighted=False)
    assert (
        order
        == placement_order(77, reversed(workers), is_weighted=False)
        != placement_order(78, workers, is_weighted=False)
    )
    assert order == placement_order(77, workers, is_weighted=True), "all of weight 1"
