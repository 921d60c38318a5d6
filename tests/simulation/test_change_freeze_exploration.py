"""Exhaustive exploration of a model of one router with the change freeze component."""

from __future__ import annotations

from tests.simulation.change_freeze_world import LIFTED, REVOKED, SHORTENED, explore

MIN_STATES = 25_000


def test_exhaustive_exploration_finds_no_violation() -> None:
    state_count = 0
    for relaxing_entry in (SHORTENED, REVOKED, LIFTED):
        explored = explore(relaxing_entry)
        state_count += explored.state_count
        assert explored.violations == set()
    print(f"freeze: {state_count} states")
    assert state_count >= MIN_STATES
