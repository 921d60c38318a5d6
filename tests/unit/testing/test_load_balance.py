"""Load balance metrics, on call records few enough to compute by hand."""

from __future__ import annotations

import json

import pytest

from cedarthread.testing.fakes.worker_model import PackageStore, WorkerCall, WorkerModel
from cedarthread.testing.load_balance import Hotspot, LoadBalanceMetrics, WorkerAvailability, measure

ALWAYS = ((0.0, 10_000.0),)
TWO = {0: WorkerAvailability(1, ALWAYS), 1: WorkerAvailability(1, ALWAYS)}


def visit(
    runner: int, at: float, began: float, ended: float, function: int = 1, note: str = "hit"
) -> WorkerCall:
    return WorkerCall(
        f"{at}", runner, function, at, ended - began, at if note == "hit" else began, began, ended, note
    )


def test_peak_to_mean_and_variation_are_of_the_work_per_core() -> None:
    metrics = measure([visit(0, 0.0, 0.0, 4000.0), visit(1, 0.0, 0.0, 4000.0)], TWO, 0.0, 4000.0, 1)
    assert metrics.peak_to_mean == 1.0
    assert metrics.coefficient_of_variation == 0.0
    uneven = measure([visit(0, 0.0, 0.0, 4000.0)], TWO, 0.0, 4000.0, 1)
    assert uneven.peak_to_mean == 2.0
    assert uneven.coefficient_of_variation == 1.0
    cores = {0: WorkerAvailability(3, ALWAYS), 1: WorkerAvailability(1, ALWAYS)}
    three = [visit(0, 0.0, 0.0, 4000.0), visit(0, 1.0, 1.0, 4000.0), visit(0, 2.0, 2.0, 4000.0)]
    assert measure([*three, visit(1, 0.0, 0.0, 4000.0)], cores, 0.0, 4000.0, 1).peak_to_mean < 1.01


def test_a_worker_counts_as_idle_only_while_a_call_waits_elsewhere_and_it_is_ready() -> None:
    waits = [visit(0, 0.0, 0.0, 3000.0), visit(0, 500.0, 3000.0, 4000.0)]
    assert measure(waits, TWO, 0.0, 4000.0, 1).longest_idle_ms == 2500.0
    busy = [*waits, visit(1, 0.0, 0.0, 2800.0)]
    assert measure(busy, TWO, 0.0, 4000.0, 1).longest_idle_ms == pytest.approx(200.0)
    dead = {0: TWO[0], 1: WorkerAvailability(1, ((0.0, 600.0),))}
    assert measure(waits, dead, 0.0, 4000.0, 1).longest_idle_ms == 100.0
    loads = [visit(0, 0.0, 3000.0, 4000.0, note="spawn")]
    assert measure(loads, TWO, 0.0, 4000.0, 1).longest_idle_ms == 0.0, "it waited for a load, not for a core"


def test_a_hotspot_is_more_than_three_shares_and_more_than_chance() -> None:
    workers = {n: WorkerAvailability(1, ALWAYS) for n in range(10)}
    fair = [visit(n % 10, 20.0 * n, 20.0 * n, 20.0 * n + 5.0) for n in range(200)]
    assert not measure(fair, workers, 0.0, 4000.0, 1).hotspots
    rush = [visit(3, 2000.0 + 10.0 * n, 2000.0, 2100.0) for n in range(60)]
    (hotspot,) = measure([*fair, *rush], workers, 0.0, 4000.0, 1).hotspots
    assert hotspot.worker_id == 3
    assert 1500.0 <= hotspot.begin_ms <= 2000.0
    assert hotspot.arrivals >= 50
    assert hotspot.fair_share < 20.0
    few = [visit(3, 2000.0 + n, 2000.0, 2001.0) for n in range(4)]
    assert not measure(few, workers, 0.0, 4000.0, 1).hotspots, "four calls where none else came are chance"


def test_excess_loads_are_those_beyond_what_ran_at_the_same_time() -> None:
    records = [visit(n, 0.0, 400.0, 500.0, note="spawn") for n in range(2)] + [visit(0, 600.0, 600.0, 700.0)]
    metrics = measure(records, TWO, 0.0, 4000.0, 2)
    assert metrics.excess_loads == 1
    assert metrics.call_count == 3
    assert metrics.loads_per_1000_calls == pytest.approx(2000 / 3)


def test_result_files_hold_the_metrics_under_their_own_names() -> None:
    metrics = LoadBalanceMetrics(1.5, 0.25, 40.0, (Hotspot(1000.0, 3, 50, 9.0),), 5.0, 2, 1000)
    assert json.dumps(metrics.as_json()) == (
        '{"peak_to_mean": 1.5, "variation": 0.25, "idle": 40.0, "herds": [[1000.0, 3, 50, 9.0]], '
        '"loads": 5.0, "beyond": 2, "calls": 1000}'
    )


def test_the_worker_model_loads_queues_evicts_and_rejects() -> None:
    store = PackageStore(400.0, 1, 2)
    runner = WorkerModel(0, cores=1, max_instances=1, store=store, concurrency=2)
    first, second, third = (WorkerCall(str(n), 0, n // 2, 0.0, 50.0) for n in range(3))
    assert runner.on_call(0.0, first)
    assert runner.on_call(0.0, second)
    assert not runner.on_call(0.0, third) and third.remark == "spawn_failed", (
        "no room: the one copy is loading"
    )
    assert [v.call_id for v in runner.advance(1000.0)] == ["0", "1"]
    assert (first.remark, first.started_at_ms, first.ended_at_ms) == ("spawn", 400.0, 450.0)
    assert (second.remark, second.started_at_ms, second.ended_at_ms) == ("pending", 450.0, 500.0)
    again = WorkerCall("3", 0, 1, 1000.0, 50.0)
    assert runner.on_call(1000.0, again) and again.remark == "spawn" and runner.instance_count == 1, (
        "the idle copy went"
    )
    assert runner.crash(1100.0) == [again]
    assert store.loads_in_flight == 0
    assert runner.next_event_at_ms() == float("inf")
