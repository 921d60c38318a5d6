"""Fake workers of the slow-start simulation, and their simulated load.

By rule 4 of the operators, all routers together may send a recently started worker only a budget of work in
each window. The budget grows with the worker's capacity. A fake worker records its fullest window.
"""

from __future__ import annotations

import dataclasses
import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import Idempotency, RuleParameters
from tests.helpers import SAFE

RULES = RuleParameters(8.0, 500.0, 0.25, 17000.0, 2.5, 2000.0, 10000.0, 0.0, 0.0, 0.0)
CHECK = dataclasses.replace(SAFE, name="check", latency_objective_ms=1200.0, deadline_ms=5000.0)
REVISE = dataclasses.replace(
    SAFE, name="revise", latency_objective_ms=800.0, deadline_ms=5000.0, priority_weight=5.0
)
CONFIRM = dataclasses.replace(
    SAFE,
    name="confirm",
    latency_objective_ms=1500.0,
    deadline_ms=5000.0,
    idempotency=Idempotency.NOT_IDEMPOTENT,
)
CLASSES = (CHECK, REVISE, CONFIRM)
CLASS_FRACTIONS = (0.43, 0.40, 0.17)  # fraction of the calls, by class
CLASS_WORK_MS = (100.0, 170.0, 170.0)  # mean time on a core, by class
MEAN_WORK_MS = sum(fraction * work for fraction, work in zip(CLASS_FRACTIONS, CLASS_WORK_MS, strict=True))
CORES = 3
MAX_QUEUED = 15  # queue length above which a worker rejects calls
COLD_START_MS = 1300.0
CONNECT_FAILURE_MS = 5.0  # latency of an attempt at a worker that is down
REJECTION_MS = 1.0  # latency of a rejection


class WindowLoad(NamedTuple):
    """The load of one window, ordered by its fraction of the upper bound."""

    fraction_of_bound: float
    total: float  # calls of mean work that the worker received in the window
    budget: float  # calls of mean work that the worker may receive in the window


NO_LOAD = WindowLoad(0.0, 0.0, 0.0)


class ServedCall(NamedTuple):
    """The end of a call at a worker."""

    ends_at_ms: float
    outcome: Outcome
    start_kind: StartKind


def upper_bound(budget: float) -> float:
    """Return the maximum load of a window by random variation if the routers respect the budget."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


@dataclass
class FakeWorker:
    """A worker with cores, a bounded queue and instances loaded on demand; it records its load."""

    number: int
    zone: int
    started_at_ms: float = -math.inf
    is_up: bool = True
    core_free_at_ms: list[float] = field(default_factory=lambda: [0.0] * CORES)  # by core
    instance_ready_at_ms: dict[int, float] = field(default_factory=dict)  # by function
    window_sends: deque[tuple[float, float]] = field(default_factory=deque)  # time in ms, calls of mean work
    window_weight: float = 0.0  # sum of the sends in the window
    fullest_window: WindowLoad = NO_LOAD
    received_work: float = 0.0  # calls of mean work

    def capacity(self, now_ms: float) -> float:
        """Return the fraction of the warm capacity by rule 4; it grows linearly from the start."""
        age_ms = now_ms - self.started_at_ms
        growth = (1.0 - RULES.slow_start_min_capacity) * age_ms / RULES.slow_start_ms
        return min(1.0, RULES.slow_start_min_capacity + growth)

    def budget(self, now_ms: float) -> float:
        """Return the calls of mean work that the worker may receive in the window that ends now."""
        return (
            RULES.collapse_multiple
            * self.capacity(now_ms)
            * len(self.core_free_at_ms)
            / MEAN_WORK_MS
            * RULES.collapse_window_ms
        )

    def record_send(self, now_ms: float, weight: float) -> None:
        """Record a call from a router that knows of the start; ``weight`` is in calls of mean work."""
        while self.window_sends and self.window_sends[0][0] <= now_ms - RULES.collapse_window_ms:
            self.window_weight -= self.window_sends.popleft()[1]
        self.window_sends.append((now_ms, weight))
        self.window_weight += weight
        self.received_work += weight
        budget = self.budget(now_ms)
        window = WindowLoad(self.window_weight / upper_bound(budget), self.window_weight, budget)
        self.fullest_window = max(self.fullest_window, window)

    def serve(self, now_ms: float, function: int, work_ms: float) -> ServedCall:
        """Execute a call on the first core to become free, and return the end of the call."""
        if not self.is_up:
            return ServedCall(now_ms + CONNECT_FAILURE_MS, Outcome.CONNECT_FAILED, StartKind.UNKNOWN)
        if min(self.core_free_at_ms) > now_ms + MAX_QUEUED * MEAN_WORK_MS / CORES:
            return ServedCall(now_ms + REJECTION_MS, Outcome.OVERLOADED, StartKind.UNKNOWN)
        start_kind = StartKind.WARM
        if function not in self.instance_ready_at_ms:
            self.instance_ready_at_ms[function] = now_ms + COLD_START_MS
            start_kind = StartKind.COLD
        elif self.instance_ready_at_ms[function] > now_ms:
            start_kind = StartKind.PENDING
        core = min(range(len(self.core_free_at_ms)), key=self.core_free_at_ms.__getitem__)
        execution_starts_at_ms = max(now_ms, self.core_free_at_ms[core])
        self.core_free_at_ms[core] = execution_starts_at_ms + work_ms / self.capacity(now_ms)
        ends_at_ms = max(self.core_free_at_ms[core], self.instance_ready_at_ms[function])
        return ServedCall(ends_at_ms, Outcome.OK, start_kind)
