"""The table of acts that contradict each other, and of their fallbacks."""

from __future__ import annotations

import pytest

from cedarthread.replication import conflicts
from cedarthread.replication.conflicts import Act


@pytest.mark.parametrize("act", Act, ids=lambda act: act.name)
def test_each_act_has_a_rule_whose_fallback_contradicts_nothing(act: Act) -> None:
    rule = conflicts.ACT_RULES[act]
    assert all(conflicts.are_contradictory(other, act) for other in rule.contradicts)
    assert conflicts.act_or_fallback(act, is_fresh=True) is act
    assert conflicts.act_or_fallback(act, is_fresh=False) is rule.fallback
    assert not any(conflicts.are_contradictory(rule.fallback, other) for other in Act)
    assert rule.fallback is conflicts.ACT_RULES[rule.fallback].fallback
    assert rule.reason
