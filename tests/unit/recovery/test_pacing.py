"""The token buckets of a recovery: even refill, ramps, load probability, connections, baseline."""

from __future__ import annotations

import itertools

import pytest

from cedarthread.recovery import pacing
from cedarthread.recovery.pacing import Pacer
from cedarthread.recovery.pacing_limits import PacedAction, PacingLimits


def test_tokens_arrive_evenly_over_the_fleet_and_double_with_successes() -> None:
    limits = PacingLimits(loads=1.0, discovery_queries=1.0)
    pacers = [Pacer(router_index, 0.0, limits, 40) for router_index in range(40)]
    action = PacedAction.DISCOVERY_QUERY
    granted_at_once = sum(pacer.try_acquire(0.0, action) for pacer in pacers)
    granted_by_window = []
    for window in range(8):
        granted_by_window.append(0)
        for offset_ms in range(0, 250, 10):
            now_ms = window * 250.0 + offset_ms
            for pacer in pacers:
                if pacer.try_acquire(now_ms, action):
                    granted_by_window[-1] += 1
                    pacer.record_result(action, succeeded=True)
                pacer.on_tick(now_ms)
    assert granted_at_once == 0
    assert granted_by_window[0] <= 0.5 * 40
    assert max(granted_by_window) <= 1.25 * 40
    assert granted_by_window[-1] >= 0.9 * 40
    for round_number in range(10):
        pacers[0].record_result(action, succeeded=False)
        pacers[0].on_tick(9000.0 + 250.0 * round_number)
    assert pacers[0].ramp_levels[action] == pacing.MIN_RAMP_LEVEL


def test_a_call_that_may_start_a_load_consumes_part_of_a_token_and_is_corrected_later() -> None:
    for was_warm in (True, False):
        pacer = Pacer(0, 0.0, PacingLimits(loads=1.0), 1)
        granted_by_step = []
        for step in range(200):
            consumed = [pacer.try_acquire_load(step * 50.0) for _ in range(40)]
            granted_by_step.append(sum(tokens > 0 for tokens in consumed))
            for tokens in consumed:
                if tokens:
                    pacer.reconcile_load(step * 50.0 + 40.0, tokens, was_warm=was_warm)
        assert all(after <= 2 * before + 1 for before, after in itertools.pairwise(granted_by_step))
        if was_warm:
            assert sum(granted_by_step[-20:]) >= 190
        else:
            assert sum(granted_by_step) <= 4 * 10 + 1  # limited by pacing, because all calls start loads


def test_recovering_routers_share_the_connections_to_one_worker() -> None:
    limits = PacingLimits(loads=1.0, connections_per_worker=5.0, connections=50.0)
    # Either all calls are sent to the worker, or one in fifty.
    for other_workers, max_peak in ((0, 8), (49, 60)):
        pacers = [Pacer(router_index, 0.0, limits, 50) for router_index in range(50)]
        connected_at_ms: list[int] = []
        for now_ms in range(0, 5000, 50):
            for pacer in pacers:
                pacer.worker_count = 50
                pacer.ramp_levels = dict.fromkeys(PacedAction, 1.0)
                pacer.record_call(3)
                for other in range(other_workers):
                    pacer.record_call(100 + other)
                has_connected = pacer.connection_scheduler.has_connected(3)
                if not has_connected and pacer.try_acquire_connection(float(now_ms), 3):
                    connected_at_ms.append(now_ms)
        peak = max(
            sum(start_ms <= time_ms < start_ms + 250 for time_ms in connected_at_ms)
            for start_ms in range(0, 5000, 50)
        )
        assert peak <= max_peak
        assert len(connected_at_ms) == 50
        assert other_workers or connected_at_ms[-1] >= 2000


def test_the_baseline_limits_the_load_rate_of_a_recovery() -> None:
    pacer = Pacer(1, 0.0, PacingLimits(loads=100.0), 10)
    pacer.enter_service(0.0)
    for now_ms in range(0, 40_000, 500):
        pacer.record_unpaced(float(now_ms), PacedAction.LOAD)
    pacer.update_baseline(40_000.0)
    pacer.restart(40_000.0)
    pacer.ramp_levels[PacedAction.LOAD] = 1.0
    baseline = pacer.baseline.own_per_second[PacedAction.LOAD]
    assert baseline == pytest.approx(2.0, rel=0.15)
    mean_in_service = baseline * 10 / 4
    mean_allowed = pacer.rate_per_second(PacedAction.LOAD) * 10 / 4
    assert mean_allowed + mean_allowed**0.5 == pytest.approx(
        1.5 * (mean_in_service + 3 * mean_in_service**0.5 + 1.0)
    )
