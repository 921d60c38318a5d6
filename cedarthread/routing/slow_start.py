"""How much a worker that started lately may be sent, by what it can do at least and by own demand."""

from __future__ import annotations

from collections import deque

from cedarthread.model.settings import RuleParameters

BUDGET_FRACTION = 0.6  # part of a cold worker's budget that all routers together may use


def available_capacity(rules: RuleParameters, age_ms: float) -> float:
    """The part of its capacity that a worker has at least, so many ms after its start."""
    if age_ms >= rules.slow_start_ms:
        return 1.0
    return (
        rules.slow_start_min_capacity
        + (1 - rules.slow_start_min_capacity) * max(0.0, age_ms) / rules.slow_start_ms
    )


def fits_budget(
    rules: RuleParameters,
    now: float,
    sends: deque[tuple[float, float]],
    jitter: float,
    work_per_ms: float,
    work_ms: float,
) -> bool:
    """Whether ``work`` ms more fit a cold worker's budget over rule 4's window, after what was sent there.

    ``share``: the work a ms that this router would send it, times the part of its capacity that it has. It
    follows own demand, so that all routers' parts sum to the fleet's. Under one request, that part of the
    routers, by ``ration``, may send one: more of them as the worker warms."""
    while sends and sends[0][0] <= now - rules.collapse_window_ms:
        sends.popleft()
    budget = BUDGET_FRACTION * rules.collapse_multiple * work_per_ms * rules.collapse_window_ms
    if not sends and budget < work_ms:
        return jitter < budget / work_ms
    return sum(w for _, w in sends) + work_ms <= budget


def on_attempt_ended(sends: deque[tuple[float, float]], started_at_ms: float, *, was_sent: bool) -> None:
    """What was booked as sent at that time has ended; what never ``left`` takes no part of the budget."""
    for entry in () if was_sent else sends:
        if entry[0] == started_at_ms:
            sends.remove(entry)
            return
