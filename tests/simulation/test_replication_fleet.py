"""Fleets of replicated stores under faults, and a small model of them, satisfy the theorem of the design.

The theorem (docs/design/replication.md, step 9): a router with a fresh state stores every entry that was
replicated to a majority longer than the staleness bound ago. The injected defects show that the observer and
the model find violations.
"""

from __future__ import annotations

import pytest

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.testing.replication_defects import DEFECTS
from cedarthread.testing.replication_model import explore_states
from cedarthread.testing.replication_scenarios import (
    observed_simulations,
    simulate_chaos,
    simulate_lost_entry,
    simulate_restart_during_sync,
)

MAX_STATES = 12_000  # limit for the exploration of the small model


def test_a_router_that_lost_an_entry_does_not_count_as_its_holder() -> None:
    simulation = simulate_lost_entry()
    assert simulation.replicated_at_ms[0], "replicated because of what the router stored before its restart"
    assert not simulation.observer.violations
    assert not simulation.is_fresh(4)
    simulation = simulate_restart_during_sync()
    assert simulation.replicated_at_ms[1]
    assert not simulation.observer.violations
    assert not simulation.has_converged()


@pytest.mark.parametrize("seed", range(8))
def test_a_fresh_router_stores_what_was_replicated_a_staleness_bound_ago(seed: int) -> None:
    simulation = simulate_chaos(seed)
    assert not simulation.observer.violations
    for paused in list(simulation.paused):
        simulation.resume(paused)
    simulation.cut_links.clear()
    simulation.run(30_000.0)
    assert simulation.has_converged()
    assert not simulation.observer.violations
    assert simulation.longest_datagram_bytes <= MAX_DATAGRAM_BYTES
    assert simulation.all_fresh()
    assert sum(map(len, simulation.replicated_at_ms.values())) > 3


@pytest.mark.parametrize("name", DEFECTS)
def test_the_observer_finds_injected_defects(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*DEFECTS[name])
    assert any(simulation.observer.violations for simulation in observed_simulations())


@pytest.mark.parametrize(
    ("router_count", "max_windows", "max_restarts", "min_states"), [(2, 2, 1, 4_800), (3, 2, 1, 10_000)]
)
def test_no_state_of_a_small_model_contradicts_the_theorem(
    router_count: int, max_windows: int, max_restarts: int, min_states: int
) -> None:
    """Explore all 4832 states of two routers and, breadth first, the first 12,000 states of three routers."""
    exploration = explore_states(router_count, max_windows, max_restarts, MAX_STATES)
    print(
        f"{router_count} routers, {max_windows} windows, {max_restarts} starts without memory: "
        f"{exploration.state_count} states"
    )
    assert not exploration.violations
    assert exploration.state_count > min_states


@pytest.mark.parametrize("name", ["a minority of holders makes replicated", "ages count from the reception"])
def test_the_small_model_finds_injected_defects(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*DEFECTS[name])
    assert explore_states(3, 2, 0, MAX_STATES).violations
