"""The budget of log lines that clients cause."""

from __future__ import annotations

from cedarthread.limits.log_budget import BURST_LINES, LINES_PER_SECOND, LogBudget


def test_a_burst_is_logged_and_the_rest_is_counted() -> None:
    budget = LogBudget()
    logged = sum(budget.allows("event", 0.0) for _ in range(1000))
    assert logged == BURST_LINES
    assert budget.take_suppressed() == {"event": 1000 - logged}
    assert budget.take_suppressed() == {}


def test_lines_are_logged_again_at_the_rate_and_events_are_independent() -> None:
    budget = LogBudget()
    for _ in range(1000):
        budget.allows("event", 0.0)
    assert sum(budget.allows("event", 1000.0) for _ in range(1000)) == LINES_PER_SECOND
    assert budget.allows("other", 1000.0)
