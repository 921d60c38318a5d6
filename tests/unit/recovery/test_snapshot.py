"""The warm-state snapshot that a router stores for its next incarnation."""

from __future__ import annotations

import random

import pytest

from cedarthread.components.notifications import WallClockRead
from cedarthread.recovery.component import RecoveryComponent
from tests.helpers import settings, worker
from tests.unit.recovery.builders import FUNCTION, component_in_service, endpoint_update


def test_a_snapshot_is_restored_with_greater_ages_and_only_if_the_ages_are_known() -> None:
    before = component_in_service()
    assert before.snapshot(41_000.0) is None  # because there is no wall clock reading
    before.on_notification(41_000.0, WallClockRead(5e12))
    raw = before.snapshot(42_000.0)
    assert raw is not None
    for unix_ms, expected_count in ((5e12 + 3000.0, 1), (5e12 + 60_000.0, 0), (5e12 - 9000.0, 0)):
        after = RecoveryComponent(settings(router_count=3), 5, 7.0)
        after.on_notification(7.0, endpoint_update(worker(1, started_at_ms=50.0), worker(2)))
        assert after.restore(7.0, raw) == 0  # because there is no wall clock reading yet
        after.on_notification(7.0, WallClockRead(unix_ms))
        assert after.restore(7.0, raw) == expected_count
        ages = [instance.warm_age_ms for instance in after.warm_instances(7.0, FUNCTION).values()]
        assert len(ages) == expected_count
        assert all(age is not None and age >= 42_000.0 - 40_900.0 + 2500.0 for age in ages)
        assert after.warm_fraction.saved_baseline == pytest.approx(1.0)
    rng = random.Random(1)
    for _ in range(200):
        corrupted = bytearray(raw)
        corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        after.restore(7.0, bytes(corrupted[: rng.randrange(len(corrupted) + 1)]))
