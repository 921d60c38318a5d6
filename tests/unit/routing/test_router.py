"""The ordinary path against distances worked out by hand, and the failures found so far."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from cedarthread.model.actions import (
    CancelAttempt,
    PreloadFunction,
    RejectRequest,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
)
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
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import DiscoveryMode, NotLoadedBehavior, Tenant, WeightMeaning
from cedarthread.routing import (
    attempt_tracker,
    estimators,
    feedback,
    outlier_detection,
    preload_budget,
    records,
    request_table,
    retry_budget,
    selection,
)
from cedarthread.routing.rendezvous import hash64
from tests.helpers import CLASSES, LIMITS, PRICES, RULES, SAFE, RouterDriver, finals, sends, worker


def background(drive: RouterDriver, functions: int = 40) -> None:
    """Calls of many other functions, so that one more function is a small part of all."""
    for function in range(100, 100 + functions):
        (at,) = sends(drive.send_request(function))
        drive.end_attempt(drive.last_request_id, at, after_ms=1.0)


def only_warm(
    drive: RouterDriver, affinity: dict[int, float], concurrency: float = 1.0
) -> records.FunctionRecord:
    """Function 7 with nothing but this warmth, as if sent just now."""
    function = drive.router.functions.setdefault(7, records.FunctionRecord(hash64(7), concurrency))
    function.affinity.update(affinity)
    function.last_sent_at_ms.update(dict.fromkeys(affinity, drive.now_ms))
    function.instance_seen_at_ms.update(dict.fromkeys(affinity, drive.now_ms))
    return function


def test_a_warm_instance_keeps_its_calls() -> None:
    drive = RouterDriver(worker(1), worker(2), worker(3))
    background(drive)
    (home,) = sends(drive.send_request())
    drive.end_attempt(drive.last_request_id, home)
    for _ in range(4):
        assert sends(drive.send_request(after_ms=2000.0)) == [home]
        drive.end_attempt(drive.last_request_id, home)


def test_the_home_worker_is_the_same_at_every_router() -> None:
    homes = {sends(RouterDriver(worker(1), worker(2), worker(3), seed=s).send_request())[0] for s in range(9)}
    assert len(homes) == 1


def test_affinity_follows_own_attempts_and_responses() -> None:
    drive = RouterDriver(worker(1), worker(2))
    background(drive)
    function = only_warm(drive, {1: 1.0, 2: 0.8})
    assert sends(drive.send_request()) == [1]
    assert function.affinity[2] == pytest.approx(0.8 * (1 - attempt_tracker.AFFINITY_GAIN))
    drive.end_attempt(1, 1)
    assert function.affinity[1] == 1.0


def test_placement_cost_by_hand_and_spill_once_an_instance_is_busy() -> None:
    drive = RouterDriver(worker(1), worker(2))
    function = only_warm(drive, {1: 0.75}, concurrency=2.0)
    one, two = drive.router.workers[1], drive.router.workers[2]
    assert drive.router.selector.cost(drive.now_ms, function, one, (0, None)) == pytest.approx(0.25)
    assert drive.router.selector.cost(drive.now_ms, function, two, (0, None)) == pytest.approx(1.0)
    one.in_flight = 3
    assert drive.router.selector.cost(drive.now_ms, function, one, (0, None)) == pytest.approx(
        0.25 + 3 / 2.0 / selection.LOAD_PER_AFFINITY
    )
    one.in_flight = 0
    sent = [sends(drive.send_request(concurrency=2.0))[0] for _ in range(60)]
    assert sent[0] == 1
    assert 2 in sent


def test_ties_break_by_the_seed() -> None:
    picks = set()
    for seed in range(12):
        drive = RouterDriver(worker(1), worker(2), seed=seed)
        only_warm(drive, {1: 1.0, 2: 1.0})
        picks.add(sends(drive.send_request())[0])
    assert picks == {1, 2}


def test_affinity_expires_after_the_keep_alive_time() -> None:
    drive = RouterDriver(worker(1), worker(2))
    (home,) = sends(drive.send_request())
    drive.end_attempt(1, home)
    function = drive.router.functions[7]
    keep_alive_ms = drive.router.state.settings.keep_alive_ms
    assert function.read_affinity(drive.now_ms, home, keep_alive_ms) == 1.0
    assert function.read_affinity(drive.now_ms + 10001.0, home, keep_alive_ms) == 0.0


@pytest.mark.parametrize("gone", [False, True])
def test_affinity_ends_when_the_worker_restarts_or_is_removed(gone: bool) -> None:
    drive = RouterDriver(worker(1), worker(2))
    (home,) = sends(drive.send_request())
    drive.end_attempt(1, home)
    state = EndpointState.REMOVED if gone else EndpointState.READY
    drive.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(home, state, started=drive.now_ms),)))
    assert home not in drive.router.functions[7].affinity


@pytest.mark.parametrize("klass", [0, 1, 2])
@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_LOADED])
def test_an_outcome_that_proves_no_execution_is_retried(klass: int, outcome: Outcome) -> None:
    drive = RouterDriver(worker(1), worker(2))
    (home,) = sends(drive.send_request(class_index=klass))
    assert sends(drive.end_attempt(1, home, outcome)) == [3 - home]


def test_a_timer_that_comes_rounded_early_still_counts() -> None:
    """A due time rounded to microseconds once stopped the clock of the module for good."""
    drive = RouterDriver()
    drive.send_request()
    timer = next(a for a in drive.actions if isinstance(a, SetTimer))
    drive.now_ms = timer.at_ms - 0.0004
    out = drive.feed(TimerFired(timer.token))
    assert any(isinstance(a, SetTimer) for a in out)


def test_a_queued_request_without_a_worker_is_answered_in_time() -> None:
    drive = RouterDriver()
    assert sends(drive.send_request()) == []
    out = drive.advance_to(4000.0)
    assert len(finals(out)) == 1
    assert drive.router.pending_requests == {}


def test_a_queued_request_is_sent_when_a_worker_comes() -> None:
    drive = RouterDriver()
    drive.send_request()
    assert sends(drive.feed(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 2, (worker(5),)), after_ms=50.0)) == [
        5
    ]


def test_a_silent_worker_is_ejected_and_its_idempotent_calls_are_retried() -> None:
    drive = RouterDriver(worker(1), worker(2), worker(3))
    for _ in range(6):
        (at,) = sends(drive.send_request())
        drive.end_attempt(drive.last_request_id, at)
    for _ in range(9):
        drive.send_request(after_ms=1.0)
    out = drive.advance_to(drive.now_ms + 2500.0)
    assert (
        max(record.outlier_score for record in drive.router.workers.values())
        > outlier_detection.EJECTION_THRESHOLD
    )
    assert [a for a in out if isinstance(a, CancelAttempt)]


def test_fast_failures_outweigh_an_empty_queue() -> None:
    drive = RouterDriver(worker(1), worker(2), worker(3))
    drive.send_request()
    home = sends(drive.actions)[0]
    drive.end_attempt(1, home)  # it was answered once: from here on an error is the worker's
    drive.actions.clear()
    drive.send_request()
    for number in range(2, 5):
        if not drive.router.workers[home].is_ejected:
            drive.end_attempt(number, home, Outcome.ERROR, after_ms=1.0, start_kind=StartKind.UNKNOWN)
            drive.now_ms += 1.0
            drive.router.functions[7].affinity[home] = 1.0
            drive.router.functions[7].last_sent_at_ms[home] = drive.now_ms
            drive.send_request()
    assert drive.router.workers[home].is_ejected
    assert home not in sends(drive.send_request())


def test_a_half_open_trial_ends_an_ejection() -> None:
    drive = RouterDriver(worker(1), worker(2), worker(3))
    background(drive)
    record = drive.router.workers[1]
    record.is_ejected, record.outlier_score, record.ejected_until_ms = True, 0.9, drive.now_ms + 100.0
    only_warm(drive, {1: 1.0})
    assert sends(drive.send_request()) != [1]
    drive.now_ms += 200.0
    assert sends(drive.send_request(class_index=1)) != [1], "an unsafe request is no trial"
    assert sends(drive.send_request()) == [1]
    trial = drive.last_request_id
    assert sends(drive.send_request()) != [1], "one trial at a time"
    drive.end_attempt(trial, 1)
    assert not record.is_ejected


def test_preloads_in_flight_are_bounded() -> None:
    drive = RouterDriver(
        *(worker(n) for n in range(1, 9)), when_not_loaded=NotLoadedBehavior.REJECT, router_count=2
    )
    for function in range(20):
        drive.send_request(function)
    bound = preload_budget.PRELOADS_PER_WORKER * 8 / 2
    assert sum(isinstance(a, PreloadFunction) for a in drive.actions) == bound


def test_calls_spill_from_a_busy_warm_instance() -> None:
    drive = RouterDriver(*(worker(n) for n in range(1, 5)))
    background(drive)
    only_warm(drive, {2: 1.0})
    assert sends(drive.send_request()) == [2]
    drive.router.workers[2].in_flight = 5
    assert sends(drive.send_request()) != [2]


def test_long_work_that_was_hinted_is_not_slowness_of_the_worker() -> None:
    drive = RouterDriver(worker(1))
    for number in range(1, 12):
        drive.send_request(work=10.0 * number)
        drive.end_attempt(number, 1, after_ms=20.0 * number)
    assert drive.router.workers[1].read_excess_load(drive.now_ms) == pytest.approx(0.0, abs=0.5)


def test_a_worker_that_rejects_what_is_not_loaded_is_preloaded_and_the_call_follows() -> None:
    drive = RouterDriver(worker(1), worker(2), when_not_loaded=NotLoadedBehavior.REJECT)
    out = drive.send_request()
    (order,) = [a for a in out if isinstance(a, PreloadFunction)]
    assert sends(out) == []
    assert order.instances == 1
    assert sends(drive.send_request()) == []
    assert sum(isinstance(a, PreloadFunction) for a in drive.actions) == 1
    out = drive.feed(PreloadEnded(order.worker_id, 7, Outcome.OK, 1, 300.0), after_ms=300.0)
    assert sends(out) == [order.worker_id, order.worker_id]


def test_a_failed_preload_is_not_repeated_at_once() -> None:
    drive = RouterDriver(worker(1), worker(2), when_not_loaded=NotLoadedBehavior.REJECT)
    (order,) = [a for a in drive.send_request() if isinstance(a, PreloadFunction)]
    out = drive.feed(PreloadEnded(order.worker_id, 7, Outcome.OVERLOADED, 0, 5.0), after_ms=5.0)
    assert not [a for a in out if isinstance(a, PreloadFunction)]
    assert [a for a in drive.advance_to(drive.now_ms + 500.0) if isinstance(a, PreloadFunction)]


def test_preloads_are_rationed() -> None:
    rules = dataclasses.replace(RULES, preload_window_ms=5000.0, preload_allowance=1.0, preload_share=0.1)
    drive = RouterDriver(
        *(worker(n) for n in range(1, 30)), when_not_loaded=NotLoadedBehavior.REJECT, rules=rules
    )
    for function in range(15):
        drive.send_request(function)
    assert sum(isinstance(a, PreloadFunction) for a in drive.actions) <= 1 + 0.1 * 15


def test_polled_discovery_subscribes_and_backs_off() -> None:
    drive = RouterDriver(worker(1), discovery_mode=DiscoveryMode.POLL)
    out = drive.advance_to(1100.0)
    assert SubscribeEndpoints(True) in out
    drive.feed(EndpointUpdate(EndpointUpdateKind.FAILED, 1))
    assert SubscribeEndpoints(True) not in drive.advance_to(drive.now_ms + 200.0)
    assert SubscribeEndpoints(True) in drive.advance_to(drive.now_ms + 2000.0)


def test_a_streaming_attempt_is_neither_cancelled_nor_hedged() -> None:
    drive = RouterDriver(worker(1), worker(2))
    (home,) = sends(drive.send_request(class_index=5))
    drive.feed(StreamStarted(1, 0, home, 50.0), after_ms=50.0)
    out = drive.advance_to(20000.0)
    assert not [a for a in out if not isinstance(a, SetTimer)]


def test_a_second_stream_of_a_hedged_request_does_not_cancel_the_first() -> None:
    """The cancellation of the second attempt may come too late; the client reads the first one."""
    drive = RouterDriver(worker(1), worker(2), limits=dataclasses.replace(LIMITS, allows_hedging=True))
    (home,) = sends(drive.send_request(class_index=5))
    drive.end_attempt(1, home)
    (home,) = sends(drive.send_request(class_index=5, after_ms=1.0))
    (other,) = sends(drive.advance_to(drive.now_ms + 1000.0))
    started = drive.feed(StreamStarted(2, 0, home, 1000.0))
    assert [a.attempt_index for a in started if isinstance(a, CancelAttempt)] == [1]
    started = drive.feed(StreamStarted(2, 1, other, 900.0), after_ms=1.0)
    assert not [a for a in started if isinstance(a, CancelAttempt)]


def test_what_is_not_known_any_more_is_ignored() -> None:
    drive = RouterDriver(worker(1))
    before = len(drive.actions)
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
        drive.feed(event)
    assert len(drive.actions) == before


def test_attempts_are_limited() -> None:
    drive = RouterDriver(
        *(worker(n) for n in range(1, 9)), limits=dataclasses.replace(LIMITS, max_attempts=2)
    )
    (first,) = sends(drive.send_request())
    (second,) = sends(drive.end_attempt(1, first, Outcome.OVERLOADED))
    out = drive.end_attempt(1, second, Outcome.OVERLOADED, attempt_index=1)
    (answer,) = finals(out)
    assert isinstance(answer, RejectRequest)
    assert answer.request_id == 1
    assert sends(out) == []


def steady(drive: RouterDriver, calls: int = 200, classes: int = 1, **extra: int) -> None:
    """Some calls a while, each answered 50 ms later."""
    for number in range(calls):
        drive.send_request(class_index=number % classes, **extra)
        drive.end_attempt(drive.last_request_id, sends(drive.actions)[-1], after_ms=20.0)


def sends_of(drive: RouterDriver, request: int) -> int:
    """The worker that a request was sent to last."""
    return [a.worker_id for a in drive.actions if isinstance(a, StartAttempt) and a.request_id == request][-1]


def test_what_cannot_be_answered_in_time_is_shed_until_the_overload_ends() -> None:
    """Answers' own times told of a jam when it was there: refusing swung from hardly any to nearly all."""
    drive = RouterDriver(worker(1), worker(2), worker(3))
    steady(drive)
    out = [
        finals(drive.send_request(after_ms=1.0)) for _ in range(200)
    ]  # nothing is answered late, for nothing is answered
    began = next(number for number, one in enumerate(out) if one)
    assert 20 < began < 100
    assert 20 < sum(map(bool, out[began:])) < len(out) - began
    assert all(isinstance(action, RejectRequest) and action.retry_after_ms for one in out for action in one)
    taken = drive.last_request_id
    for number, one in enumerate(out, taken - 199):
        if not one:
            drive.end_attempt(number, sends_of(drive, number), after_ms=0.0)
    assert not any(finals(drive.send_request(after_ms=10.0)) for _ in range(5)), (
        "no guard locks the gateway into refusing"
    )


def test_calls_of_higher_priority_weight_are_shed_later_and_less() -> None:
    """0.38 of the calls of high worth were once refused against 0.60 of the others."""
    classes = (
        dataclasses.replace(SAFE, priority_weight=3.0),
        SAFE,
        dataclasses.replace(SAFE, latency_objective_ms=2000.0),
    )
    drive = RouterDriver(worker(1), worker(2), worker(3), classes=classes)
    steady(drive, classes=3)
    out = [
        (number % 3, finals(drive.send_request(class_index=number % 3, after_ms=1.0)))
        for number in range(300)
    ]
    dear, plain, patient = (sum(bool(one) for klass, one in out if klass == n) for n in range(3))
    assert dear < 0.8 * plain
    assert dear < 0.8 * patient
    first = [next(at for at, (klass, one) in enumerate(out) if one and klass == n) for n in range(3)]
    assert first[1] < first[2] < first[0]


def test_calls_that_wait_for_cold_starts_are_no_overload() -> None:
    """New workers load all they are asked for: a router once refused 95% of its calls in a release."""
    drive = RouterDriver(*(worker(n) for n in range(1, 7)))
    steady(drive)
    assert not any(finals(drive.send_request(function_id=100 + n, after_ms=10.0)) for n in range(100))
    assert not any(finals(drive.send_request(function_id=7, after_ms=10.0)) for _ in range(5))


def test_few_calls_that_come_together_are_no_overload() -> None:
    """One router of hundreds takes some calls a second: three at once say nothing."""
    drive = RouterDriver(worker(1), worker(2), worker(3))
    for _ in range(20):
        drive.send_request(after_ms=400.0)
        drive.end_attempt(drive.last_request_id, sends(drive.actions)[-1])
    assert not any(finals(drive.send_request()) for _ in range(3))


def test_with_too_little_time_left_no_attempt_starts() -> None:
    drive = RouterDriver(worker(1))
    for _ in range(5):
        drive.send_request()
        drive.end_attempt(drive.last_request_id, 1)
    (answer,) = finals(drive.send_request(remaining_ms=30.0))
    assert isinstance(answer, RejectRequest)


def test_a_class_that_a_worker_rejects_goes_elsewhere_and_others_stay() -> None:
    """A worker that says full to one class at a rate is no sick worker."""
    drive = RouterDriver(worker(1), worker(2), worker(3))
    (home,) = sends(drive.send_request(class_index=1))
    drive.end_attempt(1, home, Outcome.OVERLOADED, after_ms=200.0)
    record = drive.router.workers[home]
    assert record.rejections[(1, None)].read(drive.now_ms) == pytest.approx(1.0)
    assert (0, None) not in record.rejections
    assert record.outlier_score == 0.0
    drive.now_ms += 10 * feedback.REJECTION_TIME_CONSTANT_MS
    assert record.rejections[(1, None)].read(drive.now_ms) < 0.01


def test_tenants_over_their_quota_are_shed_first() -> None:
    tenants = (Tenant("x", 0.5, None), Tenant("y", 0.5, None))
    drive = RouterDriver(worker(1), worker(2), tenants=tenants)
    steady(drive, tenant_index=0)
    refused = [0, 0]
    for number in range(400):
        tenant = int(number % 10 == 0)
        refused[tenant] += bool(finals(drive.send_request(tenant_index=tenant, after_ms=1.0)))
    assert refused[0] / 360 > refused[1] / 40


def test_a_client_retry_earns_no_retry_budget() -> None:
    drive = RouterDriver(worker(1), worker(2))
    drive.router.state.retry_budget.tokens = 0.0
    drive.send_request(is_client_retry=True)
    assert drive.router.state.retry_budget.tokens == 0.0
    drive.send_request()
    assert drive.router.state.retry_budget.tokens == pytest.approx(retry_budget.RETRY_BUDGET_PER_REQUEST)


def test_functions_called_once_are_forgotten() -> None:
    drive = RouterDriver(worker(1), worker(2))
    for function in range(500):
        (at,) = sends(drive.send_request(function, after_ms=100.0))
        drive.end_attempt(drive.last_request_id, at, after_ms=10.0)
        drive.advance_to(drive.now_ms)
    assert len(drive.router.functions) <= 2 * 10000.0 / 100.0 + 1
    assert not drive.router.pending_requests
    assert not drive.router.orphaned_attempts
    assert len(drive.router.state.timers.entries) < 100


def test_no_timer_with_nothing_due() -> None:
    """A timer set anew at every event while one was due once flooded the host."""
    drive = RouterDriver(worker(1), worker(2))
    (at,) = sends(drive.send_request())
    drive.end_attempt(1, at)
    drive.advance_to(60000.0)
    drive.actions.clear()
    drive.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(3),)))
    assert drive.actions == []


def test_the_queue_is_checked_once_an_interval() -> None:
    """Each look once set two timers, which doubled until the day was cut off."""
    drive = RouterDriver()
    for _ in range(5):
        drive.send_request()
    timers = [a for a in drive.advance_to(drive.now_ms + 1000.0) if isinstance(a, SetTimer)]
    assert len(timers) <= 1000.0 / request_table.QUEUE_CHECK_MS + 2


def test_a_function_that_turns_hot_at_all_routers_at_once_is_no_hotspot_for_long() -> None:
    """Every gateway once stayed on the first home, however crowded it was."""
    fleet = [
        RouterDriver(*(worker(n) for n in range(1, 21)), seed=seed, router_count=40) for seed in range(40)
    ]
    most = []
    for _ in range(20):
        for drive in fleet:
            drive.advance_to(drive.now_ms + 300.0)
        at = [sends(drive.send_request())[0] for drive in fleet]
        for drive, where in zip(fleet, at, strict=True):
            drive.advance_to(drive.now_ms + 100.0)
            done = AttemptEnded(
                drive.last_request_id, 0, where, Outcome.OK, 100.0, True, StartKind.WARM, at.count(where)
            )
            drive.feed(done)
        most.append(max(at.count(where) for where in at))
    assert most[0] == 40
    assert max(most[12:]) <= 10


def test_a_router_that_stalled_ejects_nobody() -> None:
    drive = RouterDriver(worker(1), worker(2))
    (at,) = sends(drive.send_request())
    drive.now_ms += 2000.0
    timer = [a for a in drive.actions if isinstance(a, SetTimer)][-1]
    drive.feed(TimerFired(timer.token))
    assert drive.router.workers[at].outlier_score == 0.0
    drive.end_attempt(1, at, after_ms=0.0)
    assert drive.router.workers[at].read_excess_load(drive.now_ms) == 0.0


def test_a_hedged_request_is_sent_where_that_is_allowed() -> None:
    drive = RouterDriver(worker(1), worker(2), limits=dataclasses.replace(LIMITS, allows_hedging=True))
    (first,) = sends(drive.send_request())
    drive.end_attempt(1, first)
    (first,) = sends(drive.send_request(after_ms=1.0))
    assert sends(drive.advance_to(drive.now_ms + 1000.0)) == [3 - first]


def test_a_worker_that_was_down_starts_slowly_before_the_endpoint_list_tells() -> None:
    """Twelve workers came back untold and fell over under what 85 gateways sent (ic6be0e)."""
    drive = RouterDriver(worker(1), worker(2))
    record = drive.router.workers[1]
    assert record.available_capacity(drive.now_ms, RULES) == 1.0
    drive.send_request()
    (at,) = sends(drive.actions)
    drive.end_attempt(1, at, Outcome.CONNECT_FAILED, after_ms=250.0)
    assert drive.router.workers[at].available_capacity(drive.now_ms, RULES) == pytest.approx(
        RULES.slow_start_min_capacity
    )
    drive.now_ms += RULES.slow_start_ms
    assert drive.router.workers[at].available_capacity(drive.now_ms, RULES) == 1.0


def test_a_few_of_two_workers_can_still_be_ejected() -> None:
    drive = RouterDriver(worker(1), worker(2))
    drive.router.feedback.observe_health(drive.now_ms, drive.router.workers[1], 2.0)
    drive.router.feedback.observe_health(drive.now_ms, drive.router.workers[2], 2.0)
    assert [record.is_ejected for record in drive.router.workers.values()] == [True, False]


@pytest.mark.parametrize("gateways", [0, 1, 4, 40, 200])
def test_warm_and_not_busy_comes_before_cold_at_any_router_count(gateways: int) -> None:
    drive = RouterDriver(*(worker(n) for n in range(1, 41)), router_count=gateways)
    background(drive)
    only_warm(drive, {17: 1.0})
    for _ in range(3):
        background(drive)
        assert sends(drive.send_request(after_ms=1000.0)) == [17]
        drive.end_attempt(drive.last_request_id, 17)


def test_work_for_a_request_follows_its_homes_not_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    drive = RouterDriver(*(worker(n) for n in range(1, 501)))
    background(drive)
    looked = []
    plain = selection.WorkerSelector.cost

    def counted(*args: Any) -> float:
        looked.append(args)
        return plain(*args)

    monkeypatch.setattr(selection.WorkerSelector, "cost", counted)
    drive.send_request(7777)
    assert 0 < len(looked) < 10


def test_routers_that_share_nothing_agree_on_the_homes_and_on_the_next() -> None:
    entries = [worker(n) for n in range(1, 31)]
    orders = set()
    for seed in range(20):
        drive = RouterDriver(*entries, seed=seed)
        drive.send_request()
        orders.add(tuple(record.endpoint.worker_id for record in drive.router.functions[7].placement_order))
    assert len(orders) == 1


def test_larger_workers_are_home_to_more_where_sizes_are_told() -> None:
    entries = [dataclasses.replace(worker(n), weight=3.0 if n <= 5 else 1.0) for n in range(1, 11)]
    for weights, least, most in ((WeightMeaning.NOMINAL, 0.65, 0.85), (WeightMeaning.LIVE, 0.4, 0.6)):
        drive = RouterDriver(*entries, weight_meaning=weights)
        homes = []
        for number in range(400):
            drive.send_request(number)
            homes.append(drive.router.functions[number].placement_order[0].endpoint.worker_id <= 5)
        assert least < sum(homes) / len(homes) < most


@pytest.mark.parametrize("klass", range(6))
def test_a_deadline_already_past_gets_one_answer(klass: int) -> None:
    drive = RouterDriver(worker(1))
    out = drive.send_request(class_index=klass, remaining_ms=-5.0)
    assert len(finals(out)) == 1
    assert sends(out) == []


def test_a_timeout_of_a_client_with_little_time_is_no_symptom() -> None:
    drive = RouterDriver(worker(1))
    for _ in range(3):
        drive.send_request()
        drive.end_attempt(drive.last_request_id, 1)
    drive.send_request(remaining_ms=150.0)
    drive.end_attempt(drive.last_request_id, 1, Outcome.TIMEOUT, after_ms=150.0, start_kind=StartKind.UNKNOWN)
    assert drive.router.workers[1].outlier_score == 0.0


def test_homes_are_fewer_at_a_price_of_idle_memory() -> None:
    dear = RouterDriver(worker(1), prices=dataclasses.replace(PRICES, idle_memory=0.15))
    free = RouterDriver(worker(1), prices=dataclasses.replace(PRICES, idle_memory=0.0))
    assert dear.router.selector.homes_per_worker < free.router.selector.homes_per_worker / 2


def test_a_class_without_weight_and_responses_in_no_time_never_raise() -> None:
    idle = dataclasses.replace(CLASSES[0], priority_weight=0.0, latency_objective_ms=0.0)
    drive = RouterDriver(worker(1), worker(2), classes=(idle, *CLASSES[1:]))
    for outcome in (Outcome.OK, Outcome.OK, Outcome.OVERLOADED, Outcome.TIMEOUT):
        (at,) = sends(drive.send_request())
        drive.end_attempt(drive.last_request_id, at, outcome, after_ms=0.0)
    assert len(finals(drive.send_request(remaining_ms=-1.0))) == 1


def broke(
    drive: RouterDriver, request: int, at: int, outcome: Outcome, unreached: bool, after_ms: float = 10.0
) -> None:
    drive.feed(
        AttemptEnded(
            request, 0, at, outcome, after_ms, False, StartKind.UNKNOWN, 0, is_unreachable=unreached
        ),
        after_ms,
    )


def test_a_broken_connection_is_no_sign_of_a_restart() -> None:
    """Each reset once made its worker count as cold, till all were and every call was held to its end."""
    drive = RouterDriver(worker(1))
    for outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
        (at,) = sends(drive.send_request(class_index=1))
        broke(drive, drive.last_request_id, at, outcome, unreached=False)
        assert drive.router.workers[1].available_capacity(drive.now_ms, RULES) == 1.0
    (at,) = sends(drive.send_request(class_index=1))
    broke(drive, drive.last_request_id, at, Outcome.CONNECT_FAILED, unreached=True)
    assert drive.router.workers[1].available_capacity(drive.now_ms, RULES) < 1.0


def test_all_attempts_of_one_broken_connection_are_one_symptom() -> None:
    drive = RouterDriver(worker(1))
    at = [sends(drive.send_request(class_index=1))[0] for _ in range(5)]
    for number, one in enumerate(at, 1):
        broke(drive, number, one, Outcome.RESET, unreached=False, after_ms=0.0)
    assert drive.router.workers[1].outlier_score == outlier_detection.FAILURE_GAIN
    assert not drive.router.workers[1].is_ejected


def test_an_error_of_a_function_never_answered_is_no_symptom() -> None:
    drive = RouterDriver(worker(1))
    for _ in range(4):
        (at, *_) = sends(drive.send_request(class_index=1, function_id=99))
        drive.end_attempt(drive.last_request_id, at, Outcome.ERROR)
    assert drive.router.workers[1].outlier_score == 0.0
    drive.send_request(class_index=1, function_id=7)
    drive.end_attempt(drive.last_request_id, 1)
    drive.send_request(class_index=1, function_id=7)
    drive.end_attempt(drive.last_request_id, 1, Outcome.ERROR)
    assert drive.router.workers[1].outlier_score > 0.0


def test_silence_is_no_sign_of_load() -> None:
    """One silent worker once made the gateway refuse the calls of all others."""
    drive = RouterDriver(*(worker(n) for n in range(1, 7)))
    steady(drive)
    drive.router.state.overload.in_flight[1] = 200
    drive.router.state.overload.total_in_flight += 200
    assert not any(finals(drive.send_request()) for _ in range(5)), "before it is set aside too"
    for number in range(2, 7):
        drive.router.state.overload.in_flight[number] = 40
    assert any(finals(drive.send_request()) for _ in range(20)), "with all as full it is a jam"


def test_a_request_never_sent_is_rejected_by_half_of_its_time() -> None:
    drive = RouterDriver(worker(1, EndpointState.DRAINING))
    drive.send_request(remaining_ms=2000.0)
    began = drive.now_ms
    (end,) = finals(drive.advance_to(began + 1000.0))
    assert isinstance(end, RejectRequest)


def test_the_request_times_of_the_preload_window_do_not_grow() -> None:
    rules = dataclasses.replace(RULES, preload_window_ms=5000.0)
    drive = RouterDriver(worker(1), rules=rules)
    for _ in range(100):
        drive.send_request(after_ms=1000.0)
    assert len(drive.router.state.preload_budget.request_times) <= 6


def test_of_two_warm_workers_the_one_nearby_is_taken_until_it_is_busy() -> None:
    """Two thirds of all attempts once crossed zones, as chance has it, and each of them costs."""
    drive = RouterDriver(worker(1, zone=1), worker(2), prices=dataclasses.replace(PRICES, cross_zone=0.05))
    drive.send_request()
    drive.end_attempt(1, sends(drive.actions)[0])
    function = drive.router.functions[7]
    for at in (1, 2):
        function.affinity[at], function.last_sent_at_ms[at], function.instance_seen_at_ms[at] = (
            1.0,
            drive.now_ms,
            drive.now_ms,
        )
    assert [sends(drive.send_request()) for _ in range(2)] == [[2], [2]]
    assert 1 in [sends(drive.send_request())[0] for _ in range(4)]
    del function.affinity[2], function.last_sent_at_ms[2]
    assert drive.router.selector.cross_zone_penalty < 1.0  # a warm worker abroad still beats a cold one here


def test_of_silent_workers_all_but_some_are_ejected() -> None:
    """Past two in six, silent workers once went on drawing calls that nobody answered."""
    drive = RouterDriver(*(worker(n) for n in range(1, 7)))
    for number in range(1, 7):
        drive.send_request(function_id=number, class_index=1)
        drive.end_attempt(number, sends(drive.actions)[-1])
    record = drive.router.workers
    for number in range(1, 5):  # four of six fall silent
        for _ in range(3):
            drive.router.feedback.observe_health(
                drive.now_ms, record[number], 1.0, outlier_detection.MAX_SILENT_EJECTED_FRACTION
            )
    assert sum(record.is_ejected for record in record.values()) == 4
    for number in (5, 6):  # but errors alone never set as many aside, nor silence all
        for _ in range(3):
            drive.router.feedback.observe_health(drive.now_ms, record[number], 1.0)
    assert sum(record.is_ejected for record in record.values()) == 4


def test_an_ejected_worker_gets_its_trial_though_others_cost_less() -> None:
    """Its trouble once kept every call away when its time had come, so that it stayed out though sound."""
    drive = RouterDriver(worker(1), worker(2))
    (home,) = sends(drive.send_request())
    drive.end_attempt(1, home)
    record = drive.router.workers[home]
    for _ in range(3):
        drive.router.feedback.observe_health(drive.now_ms, record, 1.0)
    assert record.is_ejected
    assert sends(drive.send_request()) == [3 - home]
    drive.end_attempt(2, 3 - home)
    trials = [sends(drive.send_request(after_ms=record.ejected_until_ms - drive.now_ms))[0]]
    assert trials == [home]
    assert record.has_trial_in_flight
    assert sends(drive.send_request()) == [3 - home]  # one at a time
    drive.end_attempt(3, home)
    drive.end_attempt(4, 3 - home)
    for number in range(5, 8):
        (at,) = sends(drive.send_request())
        drive.end_attempt(number, at)
    assert not record.is_ejected


@pytest.mark.parametrize(("gateways", "workers", "every"), [(1, 4, 24.0), (3, 12, 24.0), (40, 40, 80.0)])
def test_each_home_gets_enough_calls_of_the_fleet_to_stay_loaded(
    gateways: int, workers: int, every: float
) -> None:
    """Copies multiplied with the fleet: at 40 routers a hot function had 28 homes, idle ones among them."""
    entries = [worker(n) for n in range(1, workers + 1)]
    drive = RouterDriver(*entries, router_count=gateways, keep_alive_ms=4700.0)
    for number in range(300):
        drive.send_request(7 if number % 4 == 0 else 1000 + number % 50, after_ms=every)
        drive.end_attempt(drive.last_request_id, sends(drive.actions)[-1], after_ms=0.0)
    homes = drive.router.selector.home_count(drive.now_ms, drive.router.functions[7])
    kept = gateways * 4700.0 / every / 4  # calls of the function by all gateways while a copy may lie idle
    assert 1 < homes <= 1 + 2.5 * workers, "no more than the fleet's size ever asked for"
    assert kept / homes > selection.MIN_CALLS_PER_HOME / 2


def test_a_rare_response_is_remembered_longer_than_one_of_many() -> None:
    """Of 40 workers each router hears every few seconds: what one showed had faded by then."""
    left = {}
    for workers, every in ((2, 50.0), (12, 24.0), (40, 85.0)):
        drive = RouterDriver(*(worker(n) for n in range(1, workers + 1)), router_count=workers)
        for _ in range(60):
            drive.send_request(after_ms=every)
            drive.end_attempt(drive.last_request_id, sends(drive.actions)[-1], after_ms=0.0)
        record = records.WorkerRecord(worker(99), 0, 0.0)
        record.excess_load.add(drive.now_ms, 4.0, drive.router.state.traffic.load_time_constant_ms)
        left[workers] = record.read_excess_load(drive.now_ms + 8000.0) / record.read_excess_load(drive.now_ms)
    assert left[2] == left[12] < 0.35 < 0.7 < left[40]


@pytest.mark.parametrize(("gateways", "workers"), [(1, 3), (3, 12), (40, 40)])
def test_a_worker_that_reports_much_load_is_left_for_another(gateways: int, workers: int) -> None:
    """With many gateways a worker's load is others' calls: only reports tell of them before it is late."""
    entries = [worker(n) for n in range(1, workers + 1)]
    drive = RouterDriver(*entries, router_count=gateways, load_report_columns=("inflight", "x1"))
    home, at = sends(drive.send_request())[0], 0
    drive.end_attempt(1, home)
    for number in range(300):
        function = 7 if number % 5 == 0 else number
        sent = sends(drive.send_request(function, after_ms=20.0))[0]
        at = sent if function == 7 else at
        report = (30.0 if sent == home else 3.0, 1.0)
        drive.feed(
            AttemptEnded(drive.last_request_id, 0, sent, Outcome.OK, 1.0, True, StartKind.WARM, 0, report)
        )
    assert at != home
    crowded = drive.router.state.traffic.reported_excess(drive.now_ms, drive.router.workers[home])
    assert (
        crowded
        > 0.3
        > 0.0
        > drive.router.state.traffic.reported_excess(drive.now_ms, drive.router.workers[at])
    )
    assert drive.router.state.traffic.reported_excess(
        drive.now_ms, records.WorkerRecord(worker(99), 0, 0.0)
    ) == pytest.approx(0.0), "not known: usual"


def test_own_calls_in_flight_are_not_counted_twice_in_a_load_report() -> None:
    drive = RouterDriver(worker(1), load_report_columns=("x1", "inflight"))
    for _ in range(4):
        drive.send_request()
    drive.feed(AttemptEnded(1, 0, 1, Outcome.OK, 100.0, True, StartKind.WARM, 0, (9.0, 4.0)))
    assert (
        drive.router.state.traffic.reported_in_flight.read(drive.now_ms, estimators.REPORT_PRIOR_COUNT) == 0.0
    )


def erring(gateways: int, workers: int, every: float) -> tuple[RouterDriver, int]:
    """A router whose worker 1 errs at once from the first second on, and the calls that it lost there."""
    drive = RouterDriver(*(worker(n) for n in range(1, workers + 1)), router_count=gateways)
    for number in range(400):
        drive.advance_to(drive.now_ms + every)
        at = sends(drive.send_request(number % 90))[0]
        if at != 1:
            drive.end_attempt(drive.last_request_id, at, after_ms=0.0)
            continue
        again = drive.end_attempt(
            drive.last_request_id, 1, Outcome.ERROR, after_ms=0.0, start_kind=StartKind.UNKNOWN
        )
        drive.end_attempt(drive.last_request_id, sends(again)[0], attempt_index=1, after_ms=0.0)
    return drive, sum(a.worker_id == 1 for a in drive.actions if isinstance(a, StartAttempt))


@pytest.mark.parametrize(("gateways", "workers", "every"), [(1, 4, 24.0), (3, 12, 24.0), (40, 40, 85.0)])
def test_a_failing_worker_costs_each_router_little(gateways: int, workers: int, every: float) -> None:
    """Each of 40 routers once lost two calls before it set it aside, and a trial every few seconds then."""
    drive, lost = erring(gateways, workers, every)
    assert drive.router.workers[1].is_ejected
    spent = drive.now_ms - 1000.0
    assert lost <= 2 + spent / records.BASE_EJECTION_MS / (3 if workers == 40 else 1) / 2


def test_an_error_that_another_worker_disproves_is_a_symptom_though_the_function_is_new() -> None:
    drive = RouterDriver(worker(1), worker(2))
    first = sends(drive.send_request(99))[0]
    again = drive.end_attempt(1, first, Outcome.ERROR, start_kind=StartKind.UNKNOWN)
    assert drive.router.workers[first].outlier_score == 0.0, "it may be the client's doing"
    drive.end_attempt(1, sends(again)[0], attempt_index=1)
    assert drive.router.workers[first].outlier_score > outlier_detection.EJECTION_THRESHOLD


def test_as_many_workers_are_ejected_as_refuse_connections() -> None:
    """At the loss of a zone the bound on workers set aside left the rest of it in use, call after call."""
    drive = RouterDriver(*(worker(n) for n in range(1, 11)))
    for number in range(300):
        at = sends(drive.send_request(number, after_ms=10.0))[0]
        for attempt in range(4):
            if at > 6:
                drive.end_attempt(drive.last_request_id, at, attempt_index=attempt, after_ms=0.0)
                break
            out = drive.end_attempt(
                drive.last_request_id,
                at,
                Outcome.CONNECT_FAILED,
                attempt_index=attempt,
                after_ms=0.0,
                start_kind=StartKind.UNKNOWN,
            )
            if not (sent := sends(out)):
                break
            at = sent[0]
    assert sum(drive.router.workers[n].is_ejected for n in range(1, 7)) == 6


@pytest.mark.parametrize(("gateways", "workers"), [(1, 4), (3, 12), (40, 40)])
def test_draining_workers_take_nothing_from_the_budget_of_cold_ones(gateways: int, workers: int) -> None:
    """At a release up to 24 of 64 drained, and new workers were held to the part of a fleet of 64."""
    ready = [worker(n) for n in range(1, workers)] + [worker(workers, started=1000.0)]
    leaving = [worker(n, EndpointState.DRAINING) for n in range(100, 100 + workers)]
    taken = []
    for entries in (ready, ready + leaving):
        drive = RouterDriver(*entries, router_count=gateways)
        for number in range(40):
            drive.send_request(number, after_ms=20.0)
            drive.end_attempt(drive.last_request_id, sends(drive.actions)[-1], after_ms=0.0)
        record = drive.router.workers[workers]
        record.jitter = 0.5
        record.slow_start_sends.clear()
        taken.append(
            [
                drive.router.selector.fits_slow_start(drive.now_ms, record, float(work))
                for work in range(1, 9000)
            ]
        )
    assert taken[0] == taken[1]
    assert True in taken[0]
    assert False in taken[0]
