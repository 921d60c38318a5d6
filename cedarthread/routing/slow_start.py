"""Slow start (Envoy's term): the work that may be sent to a worker that started recently.

The functions are stateless; ``WorkerRecord`` stores the sends. All times are ms on the monotonic clock,
passed in by the caller; work is in ms of service time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections import deque

    from cedarthread.model.settings import RuleParameters

# Fraction of the work at which a cold worker collapses: all routers together send no more than this.
BUDGET_FRACTION = 0.6


class SlowStartSend(NamedTuple):
    """A call that this router sent to a worker during its slow start."""

    at_ms: float
    work_ms: float


def available_capacity(rules: RuleParameters, age_ms: float) -> float:
    """Return the guaranteed fraction of its capacity that a worker of this age has."""
    if age_ms >= rules.slow_start_ms:
        return 1.0
    min_capacity = rules.slow_start_min_capacity
    return min_capacity + (1 - min_capacity) * max(0.0, age_ms) / rules.slow_start_ms


def fits_budget(
    rules: RuleParameters,
    now_ms: float,
    sends: deque[SlowStartSend],
    *,
    jitter: float,
    work_per_ms: float,
    work_ms: float,
) -> bool:
    """Return whether one more call fits this router's budget for a cold worker in the window of rule 4.

    The budget is proportional to the router's own demand, so that the budgets of all routers sum to that of
    the fleet. If the budget is less than one call, only routers with a jitter below that fraction may send
    one; their number grows as the worker warms up.

    Args:
        rules: The parameters of rule 4.
        now_ms: Current time.
        sends: The earlier sends; those before the window are dropped.
        jitter: The router's random number for the worker, 0 to 1.
        work_per_ms: This router's work per ms and ready worker, times the worker's available capacity.
        work_ms: The work of the call.
    """
    while sends and sends[0].at_ms <= now_ms - rules.collapse_window_ms:
        sends.popleft()
    budget_ms = BUDGET_FRACTION * rules.collapse_multiple * work_per_ms * rules.collapse_window_ms
    if not sends and budget_ms < work_ms:
        return jitter < budget_ms / work_ms
    return sum(send.work_ms for send in sends) + work_ms <= budget_ms


def on_attempt_ended(sends: deque[SlowStartSend], started_at_ms: float, *, was_sent: bool) -> None:
    """Restore the budget of an attempt that ended without being sent, by dropping its send."""
    if was_sent:
        return
    for send in sends:
        if send.at_ms == started_at_ms:
            sends.remove(send)
            return
