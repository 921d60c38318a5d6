"""Routers without knowledge of each other's calls respect the budget of a recently started worker."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pytest

from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, PreloadEnded
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import NotLoadedBehavior
from cedarthread.statistics import DecayingMaximum
from tests.helpers import CLASSES, RouterDriver, attempted_worker_ids, settings, worker
from tests.simulation.slow_start_fleet import Fleet
from tests.simulation.slow_start_scenarios import SCENARIOS, Scenario

if TYPE_CHECKING:
    from cedarthread.routing.records import PendingRequest, WorkerRecord

SIMULATIONS = [
    ("all others leave", 3, True),
    ("all others leave", 20, False),
    ("all others leave later, load 0.9", 30, True),
    ("all others leave later, load 0.9", 200, False),
    ("all others fail, load 0.9", 20, False),
    ("six in ten leave", 30, False),
]


@pytest.mark.parametrize(("name", "router_count", "is_fleet_size_known"), SIMULATIONS)
def test_the_work_of_all_routers_stays_within_the_budget_of_a_worker_in_slow_start(
    name: str, router_count: int, is_fleet_size_known: bool
) -> None:
    """The limit is 0.7 of the upper bound, so that random variation with other seeds stays in the bound."""
    scenario = dataclasses.replace(
        SCENARIOS[name],
        router_count=router_count,
        is_fleet_size_known=is_fleet_size_known,
        duration_ms=4500.0,
    )
    result = Fleet(scenario).run()
    assert result.total > 0.0, "the worker must receive calls"
    assert result.fullest_window <= 0.7, result


def test_the_simulation_counts_each_call_as_the_mean_work_of_its_class() -> None:
    fleet = Fleet(Scenario(1))
    fleet.start_worker(1, 5000.0)
    warming_worker = fleet.workers[1]
    warming_worker.record_send(5000.0, 1.3)
    warming_worker.record_send(6999.0, 0.7)
    assert warming_worker.window_weight == pytest.approx(2.0)
    assert warming_worker.received_work == pytest.approx(2.0)
    warming_worker.record_send(7000.0, 0.7)
    # The window of 2 s excludes its start, so the call sent at 5000 ms no longer counts.
    assert warming_worker.window_weight == pytest.approx(1.4)


def idle_router() -> RouterDriver:
    """Return a router that knows six warm workers and worker 7, which is warming up."""
    warm_workers = [worker(number) for number in range(1, 7)]
    return RouterDriver(*warm_workers, worker(7, started_at_ms=1000.0), router_count=20)


def router_with_traffic() -> RouterDriver:
    """Return the same router after 40 calls of 100 ms each."""
    driver = idle_router()
    for number in range(40):
        driver.send_request(number, after_ms=20.0)
        driver.end_attempt(driver.last_request_id, attempted_worker_ids(driver.actions)[-1], after_ms=100.0)
    return driver


def max_permitted_work_ms(driver: RouterDriver) -> float:
    """Return the maximum work in ms of a call that the router may send to the warming worker."""
    record = driver.router.workers[7]
    record.jitter = 0.999999
    record.slow_start_sends.clear()
    permitted_ms = 0.0
    forbidden_ms = 20000.0
    while forbidden_ms - permitted_ms > 0.01:
        middle_ms = (permitted_ms + forbidden_ms) / 2
        if driver.router.selector.fits_slow_start(driver.now_ms, record, middle_ms):
            permitted_ms = middle_ms
        else:
            forbidden_ms = middle_ms
    return permitted_ms


def test_the_slow_start_budget_does_not_grow_when_other_workers_leave() -> None:
    """The capacity of the worker stays the same, although it is the only one left for all calls."""
    driver = router_with_traffic()
    before_ms = max_permitted_work_ms(driver)
    assert before_ms > 0.0
    draining = tuple(worker(number, EndpointState.DRAINING) for number in range(1, 7))
    driver.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 2, draining))
    assert max_permitted_work_ms(driver) == pytest.approx(before_ms, rel=0.01)
    removed = tuple(worker(number, EndpointState.REMOVED) for number in range(1, 7))
    driver.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 3, removed))
    assert max_permitted_work_ms(driver) == pytest.approx(before_ms, rel=0.01)


def test_the_slow_start_budget_in_calls_does_not_grow_when_calls_take_less_work_than_estimated() -> None:
    """Before the first response the router overestimates the work of a call by a factor of three."""
    driver = idle_router()
    for number in range(20):
        driver.send_request(number, after_ms=1.0)
    estimated_ms = CLASSES[0].latency_objective_ms / 4.0
    true_ms = estimated_ms / 3.0
    calls_before_response = max_permitted_work_ms(driver) / estimated_ms
    driver.router.state.service_times.by_class[0].add(true_ms)
    calls_after_response = max_permitted_work_ms(driver) / true_ms
    assert calls_after_response == pytest.approx(calls_before_response, rel=0.01)


def test_a_warm_instance_at_a_worker_in_slow_start_receives_no_more_than_the_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A call that would wait for a load elsewhere goes to the loaded instance only within the budget."""
    driver = RouterDriver(worker(1), when_not_loaded=NotLoadedBehavior.REJECT, router_count=1)
    driver.send_request(function_id=7)
    driver.feed(PreloadEnded(1, 7, Outcome.OK, 1, 100.0), after_ms=100.0)
    driver.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(2, started_at_ms=driver.now_ms),)))
    function = driver.router.functions[7]
    function.remove_worker(1)  # as if the warm worker had unloaded its instance
    function.affinity[2] = 1.0
    function.last_sent_at_ms[2] = driver.now_ms
    start_attempt = driver.router._start_attempt
    fits_budget: list[bool] = []  # by attempt at the warming worker

    def observe_attempt(now_ms: float, pending: PendingRequest, record: WorkerRecord) -> None:
        if record.endpoint.worker_id == 2:
            work_ms = driver.router.state.service_times.class_ms(pending.request.class_index)
            fits_budget.append(driver.router.selector.fits_slow_start(now_ms, record, work_ms))
        start_attempt(now_ms, pending, record)

    monkeypatch.setattr(driver.router, "_start_attempt", observe_attempt)
    for _ in range(60):
        driver.send_request(function_id=7, after_ms=30.0)
    assert fits_budget
    assert all(fits_budget), f"{fits_budget.count(False)} of {len(fits_budget)} sends exceed the budget"


def test_without_slow_start_a_worker_serves_again_after_draining() -> None:
    rules = dataclasses.replace(settings().rules, slow_start_ms=0.0)
    driver = RouterDriver(worker(1, started_at_ms=1000.0), rules=rules)
    driver.feed(
        EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(1, EndpointState.DRAINING),)), after_ms=100.0
    )
    driver.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 3, (worker(1),)), after_ms=100.0)
    assert attempted_worker_ids(driver.send_request()) == [1]


def test_a_decaying_maximum_is_constant_while_its_input_is_and_decays_after_it_falls() -> None:
    peak = DecayingMaximum(1000.0)
    peak.on_change(0.0, 6.0, 0.0)
    peak.on_change(50000.0, 6.0, 0.0)
    assert peak.read(50000.0) == 6.0
    peak.on_change(51000.0, 1.0, 0.0)
    assert peak.read(51000.0) == pytest.approx(6.0 / 2.718281828)
    peak.on_change(60000.0, 1.0, 0.0)
    assert peak.read(60000.0) == 1.0


def test_an_attempt_that_was_never_sent_uses_no_slow_start_budget() -> None:
    driver = RouterDriver(worker(1, started_at_ms=900.0), now_ms=1000.0, router_count=1)
    record = driver.router.workers[1]
    record.jitter = 0.0
    assert attempted_worker_ids(driver.send_request()) == [1]
    assert len(record.slow_start_sends) == 1
    ended = AttemptEnded(1, 0, 1, Outcome.NOT_SENT, 0.0, True, is_unreachable=False, is_local=True)
    driver.feed(ended)
    assert not record.slow_start_sends
    assert attempted_worker_ids(driver.send_request()) == [1]  # the budget is free for another attempt
