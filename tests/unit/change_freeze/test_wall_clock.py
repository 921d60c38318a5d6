"""The wall clock: deviation from other routers' clocks, and steps of the host's clock."""

from __future__ import annotations

from cedarthread.change_freeze.wall_clock import WallClock
from tests.unit.change_freeze.builders import EPOCH_UNIX_MS

MAX_ERROR_MS = 500.0
MAX_DRIFT_RATE = 0.001


def test_a_deviating_clock_widens_windows_and_one_wrong_peer_does_not() -> None:
    clock = WallClock(5, MAX_ERROR_MS, MAX_DRIFT_RATE)
    clock.on_host_reading(0.0, EPOCH_UNIX_MS, requires_confirmation=True)
    for peer, offset_ms in ((1, 0.0), (2, 40.0), (3, 9e6)):
        clock.add_sample(10.0, peer, EPOCH_UNIX_MS + offset_ms, 0.0)
    assert clock.deviation_ms(10.0) == 0.0
    for peer in (1, 2):
        clock.add_sample(10.0, peer, EPOCH_UNIX_MS + 9e6, 0.0)
    earliest_unix_ms, latest_unix_ms = clock.unix_ms_bounds(10.0)
    assert clock.deviation_ms(10.0) > 8.9e6
    assert earliest_unix_ms < EPOCH_UNIX_MS + 10.0
    assert latest_unix_ms > EPOCH_UNIX_MS + 9e6
    clock.add_sample(10.0, 99, EPOCH_UNIX_MS, 0.0)
    clock.add_sample(10.0, 1, float("nan"), 0.0)
    assert clock.invalid_sample_count == 2
    assert clock.deviation_ms(200_000.0) == 0.0, "the samples have expired"


def test_a_clock_step_is_applied_once_most_peers_confirm_it() -> None:
    clock = WallClock(3, MAX_ERROR_MS, MAX_DRIFT_RATE)
    clock.on_host_reading(0.0, EPOCH_UNIX_MS, requires_confirmation=True)
    stepped_unix_ms = EPOCH_UNIX_MS + 7.2e6
    line = clock.on_host_reading(100.0, stepped_unix_ms, requires_confirmation=True)
    assert line == "wall_clock_stepped step_s=+7199.9 followed=false"
    assert clock.unix_ms(100.0) == EPOCH_UNIX_MS + 100.0
    assert clock.on_host_reading(200.0, stepped_unix_ms + 100.0, requires_confirmation=True) is None
    for peer in (1, 2):
        clock.add_sample(300.0, peer, stepped_unix_ms + 200.0, 298.0)
    line = clock.on_host_reading(300.0, stepped_unix_ms + 200.0, requires_confirmation=True)
    assert line == "wall_clock_stepped step_s=+7199.9 followed=true"
    assert clock.unix_ms(300.0) > EPOCH_UNIX_MS + 7e6
