"""Placement changes as the change freeze scenarios count them, and a quick scenario with real processes."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from cedarthread.testing.cluster.cli import run_scenario
from cedarthread.testing.cluster.recordings import Placement
from cedarthread.testing.cluster.scenario import FaultKind, Scenario
from cedarthread.testing.cluster.scenarios import change_freeze

SCENARIO = next(iter(change_freeze.quick(1, 24)))


def test_a_window_is_in_effect_from_one_bound_after_declaration_to_one_after_revocation() -> None:
    bound_ms = change_freeze.staleness_bound_ms(SCENARIO)
    assert 4000.0 < bound_ms < 6000.0
    assert change_freeze.effective_window(SCENARIO) == change_freeze.EffectiveWindow(
        7000.0 + bound_ms, 20_500.0 + bound_ms, 3
    )
    without_revocation = [
        fault
        for fault in SCENARIO.faults
        if not (fault.kind is FaultKind.FLEET_CONFIG and fault.start_s > 10.0)
    ]
    assert change_freeze.effective_window(
        replace(SCENARIO, faults=tuple(without_revocation))
    ) == change_freeze.EffectiveWindow(7000.0 + bound_ms, 28_000.0, 3)
    assert change_freeze.effective_window(Scenario(fleet_config=change_freeze.FLEET_CONFIG)) is None


def test_a_change_is_the_first_instance_in_one_incarnation_of_a_worker() -> None:
    """Worker 0 crashes at 15 s and is started again at 17 s."""
    placements = [
        Placement(12_000.0, 1, 0),
        Placement(13_000.0, 1, 0),
        Placement(14_000.0, 1, 3),
        Placement(15_500.0, 1, 0),
        Placement(17_500.0, 1, 0),
    ]
    assert change_freeze.placement_changes_ms(SCENARIO, placements) == [12_000.0, 14_000.0, 17_500.0], (
        "worker 0 crashed at 15 s"
    )
    soon_after_restart = [
        Placement(12_000.0, 1, 0),
        Placement(17_200.0, 1, 0),
        Placement(17_200.0, 2, 0),
    ]
    assert change_freeze.placement_changes_ms(SCENARIO, soon_after_restart) == [12_000.0, 17_200.0], (
        "routers may not know of the restart yet"
    )
    assert change_freeze.changes_in_window(SCENARIO, placements) == (3, 3)
    later = [Placement(11_000.0, 9, 9), Placement(20_000.0, 2, 3), Placement(27_000.0, 9, 3)]
    assert change_freeze.changes_in_window(SCENARIO, [*placements, *later]) == (4, 3)


@pytest.mark.parametrize("defect", ["", "gate bypassed"])
def test_real_routers_place_nothing_in_a_window_unless_the_gate_is_bypassed(defect: str) -> None:
    """Six routers, with network faults, a hot function, and workers that restart without instances."""
    kinds = (
        FaultKind.LOSE,
        FaultKind.DUPLICATE,
        FaultKind.REORDER,
        FaultKind.HOT_FUNCTION,
        FaultKind.CRASH_WORKER,
        FaultKind.FLEET_CONFIG,
    )
    faults = tuple(
        fault
        for fault in next(iter(change_freeze.quick(1, 6))).faults
        if fault.kind in kinds and fault.start_s < 20.0
    )
    small = replace(
        SCENARIO,
        faults=faults,
        injected_defect=defect,
        router_count=6,
        duration_s=15.0,
        settle_s=5.0,
        calls_per_second=150.0,
        worker_count=6,
        function_count=30,
    )
    result = asyncio.run(run_scenario(small))
    changes = change_freeze.changes_in_window(result.scenario, result.placements)
    assert (changes.made > changes.allowed) == bool(defect), change_freeze.table_row(result)
    assert not result.violations
    assert result.answers["served"] > 0
