"""Load balance metrics, on call records few enough to compute by hand."""

from __future__ import annotations

import json

import pytest

from cedarthread.testing.fakes.worker_model import WorkerCall
from cedarthread.testing.load_balance import Hotspot, LoadBalanceMetrics, WorkerAvailability, measure

ALWAYS = ((0.0, 10_000.0),)
TWO_WORKERS = {0: WorkerAvailability(1, ALWAYS), 1: WorkerAvailability(1, ALWAYS)}


def worker_call(
    worker_id: int, arrived_at_ms: float, started_at_ms: float, ended_at_ms: float, remark: str = "hit"
) -> WorkerCall:
    """Return a call of function 1 that queued from its arrival, or from its start if it waited for a load."""
    return WorkerCall(
        f"{arrived_at_ms}",
        worker_id,
        1,
        arrived_at_ms,
        ended_at_ms - started_at_ms,
        arrived_at_ms if remark == "hit" else started_at_ms,
        started_at_ms,
        ended_at_ms,
        remark,
    )


def test_peak_to_mean_and_variation_are_of_the_work_per_core() -> None:
    metrics = measure(
        [worker_call(0, 0.0, 0.0, 4000.0), worker_call(1, 0.0, 0.0, 4000.0)], TWO_WORKERS, 0.0, 4000.0, 1
    )
    assert metrics.peak_to_mean == 1.0
    assert metrics.coefficient_of_variation == 0.0
    uneven = measure([worker_call(0, 0.0, 0.0, 4000.0)], TWO_WORKERS, 0.0, 4000.0, 1)
    assert uneven.peak_to_mean == 2.0
    assert uneven.coefficient_of_variation == 1.0
    cores = {0: WorkerAvailability(3, ALWAYS), 1: WorkerAvailability(1, ALWAYS)}
    three_calls = [
        worker_call(0, 0.0, 0.0, 4000.0),
        worker_call(0, 1.0, 1.0, 4000.0),
        worker_call(0, 2.0, 2.0, 4000.0),
    ]
    assert (
        measure([*three_calls, worker_call(1, 0.0, 0.0, 4000.0)], cores, 0.0, 4000.0, 1).peak_to_mean < 1.01
    )


def test_a_worker_counts_as_idle_only_while_it_is_ready_and_a_call_waits_elsewhere() -> None:
    waiting_calls = [worker_call(0, 0.0, 0.0, 3000.0), worker_call(0, 500.0, 3000.0, 4000.0)]
    assert measure(waiting_calls, TWO_WORKERS, 0.0, 4000.0, 1).longest_idle_ms == 2500.0
    with_busy_worker = [*waiting_calls, worker_call(1, 0.0, 0.0, 2800.0)]
    assert measure(with_busy_worker, TWO_WORKERS, 0.0, 4000.0, 1).longest_idle_ms == pytest.approx(200.0)
    availability_with_crash = {0: TWO_WORKERS[0], 1: WorkerAvailability(1, ((0.0, 600.0),))}
    assert measure(waiting_calls, availability_with_crash, 0.0, 4000.0, 1).longest_idle_ms == 100.0
    loading_call = [worker_call(0, 0.0, 3000.0, 4000.0, remark="spawn")]
    assert measure(loading_call, TWO_WORKERS, 0.0, 4000.0, 1).longest_idle_ms == 0.0, (
        "the call waited for a load, not for a core"
    )


def test_a_hotspot_is_more_than_three_shares_and_more_than_chance_explains() -> None:
    workers = {number: WorkerAvailability(1, ALWAYS) for number in range(10)}
    spread_calls = [
        worker_call(number % 10, 20.0 * number, 20.0 * number, 20.0 * number + 5.0) for number in range(200)
    ]
    assert not measure(spread_calls, workers, 0.0, 4000.0, 1).hotspots
    burst = [worker_call(3, 2000.0 + 10.0 * number, 2000.0, 2100.0) for number in range(60)]
    (hotspot,) = measure([*spread_calls, *burst], workers, 0.0, 4000.0, 1).hotspots
    assert hotspot.worker_id == 3
    assert 1500.0 <= hotspot.start_ms <= 2000.0
    assert hotspot.arrivals >= 50
    assert hotspot.fair_share < 20.0
    four_calls = [worker_call(3, 2000.0 + number, 2000.0, 2001.0) for number in range(4)]
    assert not measure(four_calls, workers, 0.0, 4000.0, 1).hotspots, "four calls alone are within chance"


def test_excess_loads_are_those_beyond_the_instances_needed_at_the_same_time() -> None:
    records = [worker_call(number, 0.0, 400.0, 500.0, remark="spawn") for number in range(2)] + [
        worker_call(0, 600.0, 600.0, 700.0)
    ]
    metrics = measure(records, TWO_WORKERS, 0.0, 4000.0, 2)
    assert metrics.excess_loads == 1
    assert metrics.call_count == 3
    assert metrics.loads_per_1000_calls == pytest.approx(2000 / 3)


def test_result_files_contain_the_metrics_under_their_own_names() -> None:
    metrics = LoadBalanceMetrics(1.5, 0.25, 40.0, (Hotspot(1000.0, 3, 50, 9.0),), 5.0, 2, 1000)
    assert json.dumps(metrics.as_json()) == (
        '{"peak_to_mean": 1.5, "variation": 0.25, "idle": 40.0, "herds": [[1000.0, 3, 50, 9.0]], '
        '"loads": 5.0, "beyond": 2, "calls": 1000}'
    )
