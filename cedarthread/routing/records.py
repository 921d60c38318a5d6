"""Records of one router: workers, functions, pending requests and their attempts. None of them decides.

All times are ms of the clock that is handed in.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarthread.routing import slow_start
from cedarthread.routing.instance_queue import InstanceQueue
from cedarthread.routing.popularity import MIN_WINDOW_MS
from cedarthread.statistics import DecayingCounter, DecayingMean, Ewma

if TYPE_CHECKING:
    from collections.abc import Container

    from cedarthread.model.call_priority import CallPriority
    from cedarthread.model.endpoints import Endpoint
    from cedarthread.model.events import RequestArrived
    from cedarthread.model.instance_load import InstanceLoad
    from cedarthread.model.settings import RequestClass, RuleParameters

MIN_LOAD_MEMORY_MS = 4000.0  # ms in which what answers show of a worker fades, at least
EXCESS_LOAD_PRIOR_COUNT = 0.5  # answers' worth of doubt: one answer alone counts for two thirds
BASE_EJECTION_MS = 1500.0  # ms until the first half-open trial of an ejected worker
MIN_AFFINITY = 0.01  # affinity under this is forgotten

ClassAndTenant = tuple[int, int | None]  # indexes in the settings; None: of no tenant


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, and what was expected of it."""

    endpoint: Endpoint
    started_at_ms: float
    expected_ms: float
    class_and_tenant: ClassAndTenant
    is_cold: bool  # no instance was known at the worker
    is_trial: bool  # half-open: the worker was ejected
    is_function_known: bool  # the function has been answered before
    is_in_flight: bool = True
    may_have_executed: bool = True
    is_overdue: bool = False
    has_suspect_error: bool = False  # it ended in an error that may be the client's doing
    retry_cost: float = 0.0  # retry budget that it has spent


@dataclass(slots=True)
class WorkerRecord:
    """What own calls and the endpoint list show of a worker."""

    endpoint: Endpoint
    hash: int
    jitter: float  # this router's place, 0 to 1, among those that may use a small part of a cold worker
    in_flight: int = 0
    peers_in_flight: float = 0.0  # attempts of other routers in flight there, by gossip
    slow_start_sends: deque[tuple[float, float]] = field(default_factory=deque)  # time and work, ms
    outlier_score: float = 0.0  # 0 healthy to 1 failed
    is_ejected: bool = False
    ejected_until_ms: float = 0.0  # when a half-open trial may go there
    ejection_ms: float = BASE_EJECTION_MS  # how long the next ejection lasts
    has_trial_in_flight: bool = False
    last_response_at_ms: float = -math.inf
    unreachable_at_ms: float = -math.inf  # when it was last found down: it may start anew untold
    connection_broken_at_ms: float = -math.inf  # what broke with one connection is one symptom
    excess_load: DecayingMean = field(default_factory=lambda: DecayingMean(MIN_LOAD_MEMORY_MS))
    reported_in_flight: DecayingMean = field(  # of others, by its load reports
        default_factory=lambda: DecayingMean(MIN_LOAD_MEMORY_MS)
    )
    rejections: dict[ClassAndTenant, DecayingCounter] = field(default_factory=dict)

    def read_excess_load(self, now_ms: float) -> float:
        """Requests in flight there beyond what its answers should have taken: a mean that fades by time."""
        return self.excess_load.read(now_ms, EXCESS_LOAD_PRIOR_COUNT)

    def available_capacity(self, now_ms: float, rules: RuleParameters) -> float:
        """The part of its capacity that it has at least, by its told start or what looked like one."""
        age_ms = now_ms - max(self.endpoint.started_at_ms or -math.inf, self.unreachable_at_ms)
        if age_ms >= rules.slow_start_ms:  # the usual case, asked for each candidate of each call
            return 1.0
        return slow_start.available_capacity(rules, age_ms)


@dataclass(slots=True)
class FunctionRecord:
    """What own calls and other routers show of a function; dicts are by worker id."""

    hash: int
    concurrency: float = 1.0  # requests that one instance takes at a time
    last_used_at_ms: float = 0.0
    recent_calls: DecayingCounter = field(default_factory=lambda: DecayingCounter(MIN_WINDOW_MS))
    affinity: dict[int, float] = field(default_factory=dict)  # 0 cold to 1 warm
    last_sent_at_ms: dict[int, float] = field(default_factory=dict)
    instance_seen_at_ms: dict[int, float] = field(default_factory=dict)  # by own calls' answers
    service_ms: Ewma = field(default_factory=Ewma)
    placement_order: list[WorkerRecord] = field(default_factory=list)  # all workers, homes first
    placement_epoch: int = -1  # of the worker table when they were ordered
    gossiped_instances: dict[int, InstanceLoad] = field(default_factory=dict)
    instance_queue: InstanceQueue = field(default_factory=InstanceQueue)
    preloading_workers: set[int] = field(default_factory=set)
    preload_not_before_ms: float = 0.0
    preload_backoff_ms: float = 0.0

    def forget_worker(self, worker_id: int) -> None:
        """No instance runs there any more, as far as is known."""
        self.forget_instance(worker_id)
        self.last_sent_at_ms.pop(worker_id, None)

    def forget_instance(self, worker_id: int) -> None:
        """An answer showed that no instance runs there."""
        self.affinity.pop(worker_id, None)
        self.instance_seen_at_ms.pop(worker_id, None)
        self.instance_queue.instances.pop(worker_id, None)

    def read_affinity(self, now_ms: float, worker_id: int, keep_alive_ms: float) -> float:
        """The affinity to a worker; it is dropped once its instance must have been unloaded."""
        affinity = self.affinity.get(worker_id, 0.0)
        if affinity and (affinity < MIN_AFFINITY or now_ms - self.last_sent_at_ms[worker_id] > keep_alive_ms):
            del self.affinity[worker_id], self.last_sent_at_ms[worker_id]
            return 0.0
        return affinity

    def on_sent(self, now_ms: float, worker_id: int, gain: float) -> None:
        """An attempt goes to the worker: affinity moves there, away from all others."""
        self.affinity = {other: (1.0 - gain) * affinity for other, affinity in self.affinity.items()}
        self.affinity[worker_id] = self.affinity.get(worker_id, 0.0) + gain
        self.last_sent_at_ms[worker_id] = now_ms

    def on_gossip(
        self, now_ms: float, instances: dict[int, InstanceLoad], workers: Container[int], affinity: float
    ) -> None:
        """Others told of instances: where one ran after the last own attempt, affinity is at least so."""
        self.gossiped_instances = instances
        for worker_id, instance in instances.items():
            warm_at_ms = -math.inf if instance.warm_age_ms is None else now_ms - instance.warm_age_ms
            if worker_id in workers and warm_at_ms > self.last_sent_at_ms.get(worker_id, -math.inf):
                self.affinity[worker_id] = max(self.affinity.get(worker_id, 0.0), affinity)
                self.last_sent_at_ms[worker_id] = warm_at_ms

    def has_seen_instance(self, now_ms: float, worker_id: int, keep_alive_ms: float) -> bool:
        """Is an instance known to run there by own calls?"""
        return now_ms - self.instance_seen_at_ms.get(worker_id, -math.inf) <= keep_alive_ms

    def has_instance(self, now_ms: float, worker_id: int, keep_alive_ms: float) -> bool:
        """Is an instance known to run there: by own calls, or told by other routers?"""
        gossiped = self.gossiped_instances.get(worker_id)
        return self.has_seen_instance(now_ms, worker_id, keep_alive_ms) or (
            gossiped is not None and gossiped.warm_age_ms is not None
        )


@dataclass(slots=True)
class PendingRequest:
    """A request that has no final answer yet."""

    request: RequestArrived
    request_class: RequestClass
    function: FunctionRecord
    class_and_tenant: ClassAndTenant
    arrived_at_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    is_streaming: bool = False
    last_cancelled_attempt: int = -1  # index; the last one that another was to take the place of
    next_attempt_cost: float = 0.0  # retry budget spent on the next attempt
    call_priority: CallPriority | None = None  # by its tenant's contract
    preemption_reason: str = ""  # why it gave way to another, for its client

    def possibly_executed(self) -> list[Attempt]:
        """The attempts that may have taken effect."""
        return [a for a in self.attempts if a.is_in_flight or a.may_have_executed]

    def has_attempt_in_flight(self) -> bool:
        """Whether the outcome of an attempt is still to come."""
        return any(attempt.is_in_flight for attempt in self.attempts)
