"""The table of actions that conflict with each other, and of their fallbacks."""

from __future__ import annotations

import pytest

from cedarthread.replication import conflicts
from cedarthread.replication.conflicts import RouterAction


@pytest.mark.parametrize("action", RouterAction, ids=lambda action: action.name)
def test_each_action_has_a_rule_whose_fallback_conflicts_with_nothing(action: RouterAction) -> None:
    rule = conflicts.ACTION_RULES[action]
    assert all(conflicts.are_conflicting(other, action) for other in rule.conflicts_with)
    assert conflicts.action_or_fallback(action, is_fresh=True) is action
    assert conflicts.action_or_fallback(action, is_fresh=False) is rule.fallback
    assert not any(conflicts.are_conflicting(rule.fallback, other) for other in RouterAction)
    assert rule.fallback is conflicts.ACTION_RULES[rule.fallback].fallback
    assert rule.reason
