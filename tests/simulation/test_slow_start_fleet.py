"""What all routers together send a worker that started lately, where none knows of the others' calls."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pytest

from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, PreloadEnded
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import NotLoadedBehavior
from cedarthread.statistics import WindowedMaximum
from tests.helpers import CLASSES, RouterDriver, sends, settings, worker
from tests.simulation.slow_start_fleet import SCENARIOS, Fleet, Scenario

if TYPE_CHECKING:
    from cedarthread.routing.records import PendingRequest, WorkerRecord

DAYS = [
    ("all others leave", 3, True),
    ("all others leave", 20, False),
    ("all others leave later, load 0.9", 30, True),
    ("all others leave later, load 0.9", 200, False),
    ("all others fail, load 0.9", 20, False),
    ("six in ten leave", 30, False),
]


@pytest.mark.parametrize(("name", "routers", "named"), DAYS)
def test_the_sum_over_the_fleet_stays_inside_a_cold_workers_budget(
    name: str, routers: int, named: bool
) -> None:
    """Under N, where N + 2 x root of N + 2 is let pass: what chance adds on another day has room."""
    scenario = dataclasses.replace(
        SCENARIOS[name], routers=routers, is_fleet_size_known=named, duration_ms=4500.0
    )
    day = Fleet(scenario).run()
    assert day.total > 0.0, "the safe way does not starve it"
    assert day.fullest_window <= 0.7, day


def test_the_world_counts_each_call_as_the_mean_work_of_its_class() -> None:
    fleet = Fleet(Scenario(1))
    fleet.start_worker(1, 5000.0)
    cold = fleet.workers[1]
    cold.record_send(5000.0, 1.3)
    cold.record_send(6999.0, 0.7)
    assert cold.window_weight == pytest.approx(2.0)
    assert cold.received_work == pytest.approx(2.0)
    cold.record_send(7000.0, 0.7)
    assert cold.window_weight == pytest.approx(1.4)  # a window is open at its start


def busy(*, calls: int = 40, took: float = 100.0) -> RouterDriver:
    """A router with some traffic that knows six warm workers and a cold one."""
    drive = RouterDriver(*(worker(n) for n in range(1, 7)), worker(7, started=1000.0), router_count=20)
    for number in range(calls):
        drive.send_request(number, after_ms=20.0)
        drive.end_attempt(
            drive.last_request_id, sends(drive.actions)[-1], after_ms=0.0 if took == 0.0 else took
        )
    return drive


def fits(drive: RouterDriver) -> float:
    """The most work, ms, that one more call to the cold worker may be of."""
    record = drive.router.workers[7]
    record.jitter = 0.999999
    record.slow_start_sends.clear()
    low, high = 0.0, 20000.0
    while high - low > 0.01:
        half = (low + high) / 2
        low, high = (
            (half, high) if drive.router.selector.fits_slow_start(drive.now_ms, record, half) else (low, half)
        )
    return low


def test_workers_that_leave_raise_no_cold_workers_budget() -> None:
    """Its capacity is no more for it: six left at once, and all their calls were its share."""
    drive = busy()
    before = fits(drive)
    assert before > 0.0
    leaving = tuple(worker(n, EndpointState.DRAINING) for n in range(1, 7))
    drive.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 2, leaving))
    assert fits(drive) == pytest.approx(before, rel=0.01)
    drive.feed(
        EndpointUpdate(
            EndpointUpdateKind.DELTA, 3, tuple(worker(n, EndpointState.REMOVED) for n in range(1, 7))
        )
    )
    assert fits(drive) == pytest.approx(before, rel=0.01)


def test_an_initial_estimate_of_service_times_is_no_budget_for_cheaper_calls() -> None:
    """Before its first answer a router took calls for three times their work, and kept to that sum."""
    drive = RouterDriver(*(worker(n) for n in range(1, 7)), worker(7, started=1000.0), router_count=20)
    for number in range(20):
        drive.send_request(number, after_ms=1.0)
    guess = CLASSES[0].latency_objective_ms / 4.0
    unanswered = fits(drive) / guess
    drive.router.state.service_times.by_class[0].add(guess / 3.0)
    assert fits(drive) / (guess / 3.0) == pytest.approx(unanswered, rel=0.01)


def test_a_warm_instance_on_a_cold_worker_takes_no_more_than_the_slow_start_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The call that was to wait for a load elsewhere went to the copy that stands, whatever came there."""
    drive = RouterDriver(worker(1), when_not_loaded=NotLoadedBehavior.REJECT, router_count=1)
    drive.send_request(function_id=7)
    drive.feed(PreloadEnded(1, 7, Outcome.OK, 1, 100.0), after_ms=100.0)
    drive.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(2, started=drive.now_ms),)))
    function, send, fitted = drive.router.functions[7], drive.router._start_attempt, list[bool]()
    function.forget_worker(1)  # what stood at the warm worker has been unloaded
    function.affinity[2], function.last_sent_at_ms[2] = 1.0, drive.now_ms

    def seen(now_ms: float, pending: PendingRequest, record: WorkerRecord) -> None:
        if record.endpoint.worker_id == 2:
            fitted.append(
                drive.router.selector.fits_slow_start(
                    now_ms, record, drive.router.state.service_times.class_ms(pending.request.class_index)
                )
            )
        send(now_ms, pending, record)

    monkeypatch.setattr(drive.router, "_start_attempt", seen)
    for _ in range(60):
        drive.send_request(function_id=7, after_ms=30.0)
    assert fitted and all(fitted), f"{fitted.count(False)} of {len(fitted)} sends beyond the budget"


def test_a_site_without_slow_start_is_served() -> None:
    rules = dataclasses.replace(settings().rules, slow_start_ms=0.0)
    drive = RouterDriver(worker(1, started=1000.0), rules=rules)
    drive.feed(
        EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(1, EndpointState.DRAINING),)), after_ms=100.0
    )
    drive.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 3, (worker(1),)), after_ms=100.0)
    assert sends(drive.send_request()) == [1]


def test_a_windowed_maximum_holds_while_its_quantity_does_and_fades_once_it_has_fallen() -> None:
    peak = WindowedMaximum(1000.0)
    peak.on_change(0.0, 6.0, 0.0)
    peak.on_change(50000.0, 6.0, 0.0)
    assert peak.read(50000.0) == 6.0
    peak.on_change(51000.0, 1.0, 0.0)
    assert peak.read(51000.0) == pytest.approx(6.0 / 2.718281828)
    peak.on_change(60000.0, 1.0, 0.0)
    assert peak.read(60000.0) == 1.0


def test_an_attempt_never_sent_takes_no_part_of_a_cold_workers_budget() -> None:
    drive = RouterDriver(worker(1, started=900.0), now_ms=1000.0, router_count=1)
    record = drive.router.workers[1]
    record.jitter = 0.0
    assert sends(drive.send_request()) == [1]
    assert len(record.slow_start_sends) == 1
    ended = AttemptEnded(1, 0, 1, Outcome.NOT_SENT, 0.0, True, is_unreachable=False, is_local=True)
    drive.feed(ended)
    assert not record.slow_start_sends
    assert sends(drive.send_request()) == [1]  # the place is free for another
