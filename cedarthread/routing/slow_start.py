"""Slow start: how much a worker that started lately may be sent (Envoy's term), by its least capacity.

Pure; all times are ms of the clock that is handed in, work is ms of service time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import deque

    from cedarthread.model.settings import RuleParameters

BUDGET_FRACTION = 0.6  # part of a cold worker's budget that all routers together may use


def available_capacity(rules: RuleParameters, age_ms: float) -> float:
    """The part of its capacity that a worker has at least, so many ms after its start."""
    if age_ms >= rules.slow_start_ms:
        return 1.0
    least = rules.slow_start_min_capacity
    return least + (1 - least) * max(0.0, age_ms) / rules.slow_start_ms


def fits_budget(
    rules: RuleParameters,
    now_ms: float,
    sends: deque[tuple[float, float]],
    *,
    jitter: float,
    work_per_ms: float,
    work_ms: float,
) -> bool:
    """Whether ``work_ms`` more fit a cold worker's budget over rule 4's window, after what was sent there.

    ``sends``: time and work of each send, of which those before the window are dropped. ``work_per_ms``: the
    work a ms that this router would send it, times the part of its capacity that it has. It follows own
    demand, so that all routers' parts sum to the fleet's. Where the budget is less than one request, that
    part of the routers, by ``jitter`` (0 to 1), may send one: more of them as the worker warms up.
    """
    while sends and sends[0][0] <= now_ms - rules.collapse_window_ms:
        sends.popleft()
    budget_ms = BUDGET_FRACTION * rules.collapse_multiple * work_per_ms * rules.collapse_window_ms
    if not sends and budget_ms < work_ms:
        return jitter < budget_ms / work_ms
    return sum(sent_ms for _, sent_ms in sends) + work_ms <= budget_ms


def on_attempt_ended(sends: deque[tuple[float, float]], started_at_ms: float, *, was_sent: bool) -> None:
    """An attempt that began then has ended; one that was never sent takes no part of the budget."""
    if was_sent:
        return
    for send in sends:
        if send[0] == started_at_ms:
            sends.remove(send)
            return
