"""Exhaustive test that routers with different versions of a contract never contradict each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.priority.body_history import BodyHistory
from tests.unit.priority.contract_world import BOUND_TICKS, explore

if TYPE_CHECKING:
    import pytest

    from cedarthread.priority.contract_entries import ContractTerms


def test_no_two_routers_contradict_each_other_for_longer_than_the_bound() -> None:
    explored = explore("a")
    print(explored)
    assert explored.state_count > 10_000
    assert explored.precedence_count > 1000
    assert explored.longest_contradiction_ticks == 0


def _is_converged_too_early(self: BodyHistory[ContractTerms]) -> bool:
    return self.stable_body is not None


def test_exploration_finds_an_edit_that_takes_effect_too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(BodyHistory, "is_converged", _is_converged_too_early)
    assert explore("a", BOUND_TICKS).longest_contradiction_ticks > BOUND_TICKS
