"""What the change freeze scenarios count as a change, and their quick form as real processes."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from cedarthread.testing.cluster.cli import run_scenario
from cedarthread.testing.cluster.recordings import Placement
from cedarthread.testing.cluster.scenario import FaultKind, Scenario
from cedarthread.testing.cluster.scenarios import change_freeze

SCENARIO = next(iter(change_freeze.quick(1, 24)))


def test_a_window_binds_from_one_bound_after_declaration_to_one_after_revocation() -> None:
    wait = change_freeze.staleness_bound_ms(SCENARIO)
    assert 4000.0 < wait < 6000.0
    assert change_freeze.effective_window(SCENARIO) == change_freeze.EffectiveWindow(
        7000.0 + wait, 20_500.0 + wait, 3
    )
    later = [f for f in SCENARIO.faults if not (f.kind is FaultKind.FLEET_CONFIG and f.start_s > 10.0)]
    assert change_freeze.effective_window(
        replace(SCENARIO, faults=tuple(later))
    ) == change_freeze.EffectiveWindow(7000.0 + wait, 28_000.0, 3)
    assert change_freeze.effective_window(Scenario(fleet_config=change_freeze.FLEET_CONFIG)) is None


def test_a_change_is_a_first_instance_in_one_incarnation_of_a_worker() -> None:
    times = ((12_000.0, 1, 0), (13_000.0, 1, 0), (14_000.0, 1, 3), (15_500.0, 1, 0), (17_500.0, 1, 0))
    placed = [Placement(*one) for one in times]
    assert change_freeze.placement_changes_ms(SCENARIO, placed) == [12_000.0, 14_000.0, 17_500.0], (
        "runner 0 died at 15 s"
    )
    early = [Placement(12_000.0, 1, 0), Placement(17_200.0, 1, 0), Placement(17_200.0, 2, 0)]
    assert change_freeze.placement_changes_ms(SCENARIO, early) == [12_000.0, 17_200.0], (
        "the news of its start is not there yet"
    )
    assert change_freeze.changes_in_window(SCENARIO, placed) == (3, 3)
    more = [Placement(11_000.0, 9, 9), Placement(20_000.0, 2, 3), Placement(27_000.0, 9, 3)]
    assert change_freeze.changes_in_window(SCENARIO, [*placed, *more]) == (4, 3)


@pytest.mark.parametrize("plant", ["", "gate bypassed"])
def test_real_routers_place_nothing_in_a_window_unless_the_gate_is_bypassed(plant: str) -> None:
    """Six of them, under the quick form's faults of the network, a hot function and a runner back empty."""
    kinds = (
        FaultKind.LOSE,
        FaultKind.DUPLICATE,
        FaultKind.REORDER,
        FaultKind.HOT_FUNCTION,
        FaultKind.CRASH_WORKER,
        FaultKind.FLEET_CONFIG,
    )
    faults = tuple(
        f for f in next(iter(change_freeze.quick(1, 6))).faults if f.kind in kinds and f.start_s < 20.0
    )
    small = replace(
        SCENARIO,
        faults=faults,
        injected_defect=plant,
        router_count=6,
        duration_s=15.0,
        settle_s=5.0,
        calls_per_second=150.0,
        worker_count=6,
        function_count=30,
    )
    result = asyncio.run(run_scenario(small))
    made, allowed = change_freeze.changes_in_window(result.scenario, result.placements)
    assert (made > allowed) == bool(plant), change_freeze.row(result)
    assert not result.violations
    assert result.answers["served"] > 0
