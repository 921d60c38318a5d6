"""Call placement of a router: affinity, home workers, load, zones and slow start."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import WeightMeaning
from cedarthread.routing import attempt_tracker, estimators, records, selection
from tests.helpers import PRICES, RouterDriver, attempted_worker_ids, worker
from tests.unit.routing.builders import FUNCTION_ID, call_other_functions, make_warm, workers


def test_a_warm_instance_gets_the_next_calls() -> None:
    driver = RouterDriver(*workers(3))
    call_other_functions(driver)
    (home,) = attempted_worker_ids(driver.send_request())
    driver.end_attempt(driver.last_request_id, home)
    for _ in range(4):
        assert attempted_worker_ids(driver.send_request(after_ms=2000.0)) == [home]
        driver.end_attempt(driver.last_request_id, home)


def test_the_home_worker_is_the_same_at_every_router() -> None:
    homes = {
        attempted_worker_ids(RouterDriver(*workers(3), seed=seed).send_request())[0] for seed in range(9)
    }
    assert len(homes) == 1


def test_affinity_follows_own_attempts_and_responses() -> None:
    driver = RouterDriver(worker(1), worker(2))
    call_other_functions(driver)
    function = make_warm(driver, {1: 1.0, 2: 0.8})
    assert attempted_worker_ids(driver.send_request()) == [1]
    assert function.affinity[2] == pytest.approx(0.8 * (1 - attempt_tracker.AFFINITY_GAIN))
    driver.end_attempt(1, 1)
    assert function.affinity[1] == 1.0


def test_the_placement_cost_is_as_computed_by_hand_and_busy_instances_spill() -> None:
    driver = RouterDriver(worker(1), worker(2))
    function = make_warm(driver, {1: 0.75}, concurrency=2.0)
    cost = driver.router.selector.cost
    warm = driver.router.workers[1]
    cold = driver.router.workers[2]
    assert cost(driver.now_ms, function, warm, (0, None)) == pytest.approx(0.25)
    assert cost(driver.now_ms, function, cold, (0, None)) == pytest.approx(1.0)
    warm.in_flight = 3
    busy_cost = 0.25 + 3 / 2.0 / selection.LOAD_PER_AFFINITY
    assert cost(driver.now_ms, function, warm, (0, None)) == pytest.approx(busy_cost)
    warm.in_flight = 0
    selected = [attempted_worker_ids(driver.send_request(concurrency=2.0))[0] for _ in range(60)]
    assert selected[0] == 1
    assert 2 in selected


def test_ties_break_by_the_seed() -> None:
    selected = set()
    for seed in range(12):
        driver = RouterDriver(worker(1), worker(2), seed=seed)
        make_warm(driver, {1: 1.0, 2: 1.0})
        selected.add(attempted_worker_ids(driver.send_request())[0])
    assert selected == {1, 2}


def test_affinity_expires_after_the_keep_alive_time() -> None:
    driver = RouterDriver(worker(1), worker(2))
    (home,) = attempted_worker_ids(driver.send_request())
    driver.end_attempt(1, home)
    function = driver.router.functions[FUNCTION_ID]
    keep_alive_ms = driver.router.state.settings.instance_keep_alive_ms
    assert function.read_affinity(driver.now_ms, home, keep_alive_ms) == 1.0
    assert function.read_affinity(driver.now_ms + 10001.0, home, keep_alive_ms) == 0.0


@pytest.mark.parametrize("is_removed", [False, True])
def test_affinity_ends_when_the_worker_restarts_or_is_removed(is_removed: bool) -> None:
    driver = RouterDriver(worker(1), worker(2))
    (home,) = attempted_worker_ids(driver.send_request())
    driver.end_attempt(1, home)
    state = EndpointState.REMOVED if is_removed else EndpointState.READY
    changed = worker(home, state, started_at_ms=driver.now_ms)
    driver.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 2, (changed,)))
    assert home not in driver.router.functions[FUNCTION_ID].affinity


def test_calls_spill_from_a_busy_warm_instance() -> None:
    driver = RouterDriver(*workers(4))
    call_other_functions(driver)
    make_warm(driver, {2: 1.0})
    assert attempted_worker_ids(driver.send_request()) == [2]
    driver.router.workers[2].in_flight = 5
    assert attempted_worker_ids(driver.send_request()) != [2]


@pytest.mark.parametrize("router_count", [0, 1, 4, 40, 200])
def test_a_warm_idle_worker_is_preferred_to_a_cold_one_at_any_router_count(router_count: int) -> None:
    driver = RouterDriver(*workers(40), router_count=router_count)
    call_other_functions(driver)
    make_warm(driver, {17: 1.0})
    for _ in range(3):
        call_other_functions(driver)
        assert attempted_worker_ids(driver.send_request(after_ms=1000.0)) == [17]
        driver.end_attempt(driver.last_request_id, 17)


def test_of_two_warm_workers_the_one_in_the_local_zone_is_selected_until_it_is_busy() -> None:
    """Without the penalty, two thirds of all attempts cross zones by chance, and each incurs a cost."""
    prices = dataclasses.replace(PRICES, cross_zone=0.05)
    driver = RouterDriver(worker(1, zone=1), worker(2), prices=prices)
    driver.send_request()
    driver.end_attempt(1, attempted_worker_ids(driver.actions)[0])
    function = make_warm(driver, {1: 1.0, 2: 1.0})
    assert [attempted_worker_ids(driver.send_request()) for _ in range(2)] == [[2], [2]]
    assert 1 in [attempted_worker_ids(driver.send_request())[0] for _ in range(4)]
    del function.affinity[2]
    del function.last_sent_at_ms[2]
    # A warm worker in another zone still costs less than a cold one in the router's zone.
    assert driver.router.selector.cross_zone_penalty < 1.0


# Home workers.


def test_the_cost_is_computed_only_for_the_candidates_not_for_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    driver = RouterDriver(*workers(500))
    call_other_functions(driver)
    computed = []
    cost = selection.WorkerSelector.cost

    def counting_cost(*arguments: Any) -> float:
        computed.append(arguments)
        return cost(*arguments)

    monkeypatch.setattr(selection.WorkerSelector, "cost", counting_cost)
    driver.send_request(7777)
    assert 0 < len(computed) < 10


def test_routers_without_communication_agree_on_the_placement_order() -> None:
    orders = set()
    for seed in range(20):
        driver = RouterDriver(*workers(30), seed=seed)
        driver.send_request()
        order = driver.router.functions[FUNCTION_ID].placement_order
        orders.add(tuple(record.endpoint.worker_id for record in order))
    assert len(orders) == 1


def test_workers_of_higher_weight_are_home_to_more_functions_if_weights_are_capacities() -> None:
    endpoints = [
        dataclasses.replace(endpoint, weight=3.0 if endpoint.worker_id <= 5 else 1.0)
        for endpoint in workers(10)
    ]
    for weight_meaning, minimum, maximum in (
        (WeightMeaning.NOMINAL, 0.65, 0.85),
        (WeightMeaning.LIVE, 0.4, 0.6),
    ):
        driver = RouterDriver(*endpoints, weight_meaning=weight_meaning)
        is_home_heavy = []
        for function_id in range(400):
            driver.send_request(function_id)
            first_home = driver.router.functions[function_id].placement_order[0]
            is_home_heavy.append(first_home.endpoint.worker_id <= 5)
        assert minimum < sum(is_home_heavy) / len(is_home_heavy) < maximum


def test_a_price_of_idle_memory_reduces_the_homes() -> None:
    with_price = RouterDriver(worker(1), prices=dataclasses.replace(PRICES, idle_memory=0.15))
    without_price = RouterDriver(worker(1), prices=dataclasses.replace(PRICES, idle_memory=0.0))
    max_homes = without_price.router.selector.homes_per_worker / 2
    assert with_price.router.selector.homes_per_worker < max_homes


@pytest.mark.parametrize(
    ("router_count", "worker_count", "interval_ms"), [(1, 4, 24.0), (3, 12, 24.0), (40, 40, 80.0)]
)
def test_each_home_gets_enough_calls_of_the_fleet_to_stay_loaded(
    router_count: int, worker_count: int, interval_ms: float
) -> None:
    """Guards against homes that multiply with the fleet: at 40 routers a function had 28, some idle."""
    driver = RouterDriver(*workers(worker_count), router_count=router_count, instance_keep_alive_ms=4700.0)
    for number in range(300):
        function_id = FUNCTION_ID if number % 4 == 0 else 1000 + number % 50
        driver.send_request(function_id, after_ms=interval_ms)
        driver.end_attempt(driver.last_request_id, attempted_worker_ids(driver.actions)[-1], after_ms=0.0)
    home_count = driver.router.selector.home_count(driver.now_ms, driver.router.functions[FUNCTION_ID])
    fleet_calls_in_keep_alive = router_count * 4700.0 / interval_ms / 4
    assert 1 < home_count <= 1 + 2.5 * worker_count, "no more than the size of the fleet permits"
    assert fleet_calls_in_keep_alive / home_count > selection.MIN_CALLS_PER_HOME / 2


def test_the_hotspot_of_a_suddenly_popular_function_disperses() -> None:
    """Guards against routers that continue to send to the first home, however busy that worker is."""
    fleet = [RouterDriver(*workers(20), seed=seed, router_count=40) for seed in range(40)]
    max_calls_at_one_worker = []
    for _ in range(20):
        for driver in fleet:
            driver.advance_to(driver.now_ms + 300.0)
        selected = [attempted_worker_ids(driver.send_request())[0] for driver in fleet]
        for driver, worker_id in zip(fleet, selected, strict=True):
            driver.advance_to(driver.now_ms + 100.0)
            concurrency = selected.count(worker_id)
            response = AttemptEnded(
                driver.last_request_id, 0, worker_id, Outcome.OK, 100.0, True, StartKind.WARM, concurrency
            )
            driver.feed(response)
        max_calls_at_one_worker.append(max(selected.count(worker_id) for worker_id in selected))
    assert max_calls_at_one_worker[0] == 40
    assert max(max_calls_at_one_worker[12:]) <= 10


# Load of workers.


def test_long_service_times_that_were_hinted_do_not_count_as_load_of_the_worker() -> None:
    driver = RouterDriver(worker(1))
    for request_id in range(1, 12):
        driver.send_request(work=10.0 * request_id)
        driver.end_attempt(request_id, 1, after_ms=20.0 * request_id)
    assert driver.router.workers[1].read_excess_load(driver.now_ms) == pytest.approx(0.0, abs=0.5)


def test_load_observations_decay_later_where_responses_are_rare() -> None:
    """A router gets a response from each of 40 workers every few seconds, so a short memory is useless."""
    remaining = {}
    for worker_count, interval_ms in ((2, 50.0), (12, 24.0), (40, 85.0)):
        driver = RouterDriver(*workers(worker_count), router_count=worker_count)
        for _ in range(60):
            driver.send_request(after_ms=interval_ms)
            driver.end_attempt(driver.last_request_id, attempted_worker_ids(driver.actions)[-1], after_ms=0.0)
        record = records.WorkerRecord(worker(99), 0, 0.0)
        record.excess_load.add(driver.now_ms, 4.0, driver.router.state.traffic.load_decay_ms)
        later = record.read_excess_load(driver.now_ms + 8000.0)
        remaining[worker_count] = later / record.read_excess_load(driver.now_ms)
    assert remaining[2] == remaining[12] < 0.35 < 0.7 < remaining[40]


@pytest.mark.parametrize(("router_count", "worker_count"), [(1, 3), (3, 12), (40, 40)])
def test_calls_move_away_from_a_worker_that_reports_high_load(router_count: int, worker_count: int) -> None:
    """In a large fleet most load of a worker is from other routers; only load reports show it in time."""
    driver = RouterDriver(
        *workers(worker_count), router_count=router_count, load_report_columns=("inflight", "x1")
    )
    (home,) = attempted_worker_ids(driver.send_request())
    driver.end_attempt(1, home)
    last_worker_id = 0
    for number in range(300):
        function_id = FUNCTION_ID if number % 5 == 0 else number
        worker_id = attempted_worker_ids(driver.send_request(function_id, after_ms=20.0))[0]
        if function_id == FUNCTION_ID:
            last_worker_id = worker_id
        load_report = (30.0 if worker_id == home else 3.0, 1.0)
        driver.feed(
            AttemptEnded(
                driver.last_request_id, 0, worker_id, Outcome.OK, 1.0, True, StartKind.WARM, 0, load_report
            )
        )
    assert last_worker_id != home
    reported_excess = driver.router.state.traffic.reported_excess
    home_excess = reported_excess(driver.now_ms, driver.router.workers[home])
    other_excess = reported_excess(driver.now_ms, driver.router.workers[last_worker_id])
    assert home_excess > 0.3 > 0.0 > other_excess
    without_report = records.WorkerRecord(worker(99), 0, 0.0)
    assert reported_excess(driver.now_ms, without_report) == pytest.approx(0.0), "the mean is assumed"


def test_own_calls_in_flight_are_not_counted_twice_in_a_load_report() -> None:
    driver = RouterDriver(worker(1), load_report_columns=("x1", "inflight"))
    for _ in range(4):
        driver.send_request()
    driver.feed(AttemptEnded(1, 0, 1, Outcome.OK, 100.0, True, StartKind.WARM, 0, (9.0, 4.0)))
    reported_in_flight = driver.router.state.traffic.reported_in_flight
    assert reported_in_flight.read(driver.now_ms, estimators.REPORT_PRIOR_COUNT) == 0.0


@pytest.mark.parametrize(("router_count", "worker_count"), [(1, 4), (3, 12), (40, 40)])
def test_draining_workers_do_not_reduce_the_slow_start_budget(router_count: int, worker_count: int) -> None:
    """During a release up to 24 of 64 workers drain; these must not count among those that share the load."""
    ready = [*workers(worker_count - 1), worker(worker_count, started_at_ms=1000.0)]
    draining = [worker(worker_id, EndpointState.DRAINING) for worker_id in range(100, 100 + worker_count)]
    fits = []
    for endpoints in (ready, ready + draining):
        driver = RouterDriver(*endpoints, router_count=router_count)
        for function_id in range(40):
            driver.send_request(function_id, after_ms=20.0)
            driver.end_attempt(driver.last_request_id, attempted_worker_ids(driver.actions)[-1], after_ms=0.0)
        record = driver.router.workers[worker_count]
        record.jitter = 0.5
        record.slow_start_sends.clear()
        fits_slow_start = driver.router.selector.fits_slow_start
        fits.append([fits_slow_start(driver.now_ms, record, float(work_ms)) for work_ms in range(1, 9000)])
    assert fits[0] == fits[1]
    assert True in fits[0]
    assert False in fits[0]
