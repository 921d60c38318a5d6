"""Records of one router: workers, functions, pending requests and their attempts.

The records contain no policy. The tables own them; the attempt tracker, the outcome feedback, outlier
detection and the policies update their fields. All times are ms on the monotonic clock, passed in by the
caller.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarthread.model.settings import DeduplicationScope
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

MIN_LOAD_DECAY_MS = 4000.0  # lower bound of the time constant of a worker's load observations
EXCESS_LOAD_PRIOR_COUNT = 0.5  # weight of the prior, in responses: a single response counts for two thirds
BASE_EJECTION_MS = 1500.0  # ms until the first half-open trial of an ejected worker
MIN_AFFINITY = 0.01  # an affinity below this is dropped

ClassAndTenant = tuple[int, int | None]  # class index and tenant index in the settings; None: no tenant


@dataclass(slots=True)
class Attempt:
    """An attempt of a request, and the router's expectations when it started."""

    endpoint: Endpoint
    started_at_ms: float
    expected_ms: float
    class_and_tenant: ClassAndTenant
    is_cold: bool  # no instance was known at the worker when the attempt started
    is_trial: bool  # a half-open trial: the worker was ejected
    is_function_known: bool  # the function has had a warm response before
    is_in_flight: bool = True
    may_have_executed: bool = True
    has_lost_connection: bool = False  # may have executed, and its connection broke before a response
    is_overdue: bool = False  # was counted as a failure of its worker for lack of any response
    has_suspect_error: bool = False  # the attempt ended in an error that the client may have caused
    retry_cost: float = 0.0  # retry budget that the attempt has spent


@dataclass(slots=True)
class WorkerRecord:
    """The record of one worker: its entry in the endpoint list, its load and its health."""

    endpoint: Endpoint
    hash: int
    jitter: float  # random, 0 to 1: spreads routers over cold workers and over several homes
    in_flight: int = 0
    peers_in_flight: float = 0.0  # attempts of other routers in flight at the worker, from gossip
    slow_start_sends: deque[slow_start.SlowStartSend] = field(default_factory=deque)
    outlier_score: float = 0.0  # 0 healthy to 1 failed
    is_ejected: bool = False
    ejected_until_ms: float = 0.0  # time from which a half-open trial may be sent
    ejection_ms: float = BASE_EJECTION_MS  # duration of the next ejection
    has_trial_in_flight: bool = False
    last_response_at_ms: float = -math.inf
    unreachable_at_ms: float = -math.inf  # when a connect last failed; the worker may have restarted since
    # Time of the last broken connection; attempts that fail with one connection count as one failure.
    connection_broken_at_ms: float = -math.inf
    excess_load: DecayingMean = field(default_factory=lambda: DecayingMean(MIN_LOAD_DECAY_MS))
    reported_in_flight: DecayingMean = field(  # requests of other routers in flight there, from load reports
        default_factory=lambda: DecayingMean(MIN_LOAD_DECAY_MS)
    )
    rejections: dict[ClassAndTenant, DecayingCounter] = field(default_factory=dict)

    def read_excess_load(self, now_ms: float) -> float:
        """Return the load above the expected one, in requests in flight: a decaying mean over responses."""
        return self.excess_load.read(now_ms, EXCESS_LOAD_PRIOR_COUNT)

    def available_capacity(self, now_ms: float, rules: RuleParameters) -> float:
        """Return the guaranteed fraction of the worker's capacity during slow start; 1.0 afterwards.

        Slow start begins at the reported start or, if later, at the last failed connect, which may have been
        a restart.
        """
        age_ms = now_ms - max(self.endpoint.started_at_ms or -math.inf, self.unreachable_at_ms)
        if age_ms >= rules.slow_start_ms:  # checked here, because this runs for each candidate of each call
            return 1.0
        return slow_start.available_capacity(rules, age_ms)


@dataclass(slots=True)
class FunctionRecord:
    """The record of one function: calls, service time and instances; dicts are by worker id."""

    hash: int
    concurrency: float = 1.0  # requests that one instance serves at a time
    last_used_at_ms: float = 0.0
    recent_calls: DecayingCounter = field(default_factory=lambda: DecayingCounter(MIN_WINDOW_MS))
    affinity: dict[int, float] = field(default_factory=dict)  # 0 cold to 1 warm, by worker id
    last_sent_at_ms: dict[int, float] = field(default_factory=dict)
    # Time of the last response of an instance to this router, by worker id.
    instance_seen_at_ms: dict[int, float] = field(default_factory=dict)
    service_ms: Ewma = field(default_factory=Ewma)
    placement_order: list[WorkerRecord] = field(default_factory=list)  # all workers by rendezvous score
    placement_epoch: int = -1  # epoch of the worker table for which placement_order was computed
    gossiped_instances: dict[int, InstanceLoad] = field(default_factory=dict)
    instance_queue: InstanceQueue = field(default_factory=InstanceQueue)
    preloading_workers: set[int] = field(default_factory=set)
    preload_not_before_ms: float = 0.0
    preload_backoff_ms: float = 0.0
    open_requests: int = 0  # requests of the function without a final answer

    def is_in_use(self) -> bool:
        """Return whether a request of the function is open, or a preload of it is in flight."""
        return bool(self.open_requests or self.preloading_workers)

    def remove_worker(self, worker_id: int) -> None:
        """Remove the instances at a worker that restarted or left, and the time of the last send."""
        self.remove_instances(worker_id)
        self.last_sent_at_ms.pop(worker_id, None)

    def remove_instances(self, worker_id: int) -> None:
        """Remove the instances at a worker, because a response showed that none runs there."""
        self.affinity.pop(worker_id, None)
        self.instance_seen_at_ms.pop(worker_id, None)
        self.instance_queue.instances.pop(worker_id, None)

    def read_affinity(self, now_ms: float, worker_id: int, keep_alive_ms: float) -> float:
        """Return the affinity to a worker; the affinity expires after the keep-alive time of the instance."""
        affinity = self.affinity.get(worker_id, 0.0)
        if affinity and (affinity < MIN_AFFINITY or now_ms - self.last_sent_at_ms[worker_id] > keep_alive_ms):
            del self.affinity[worker_id], self.last_sent_at_ms[worker_id]
            return 0.0
        return affinity

    def on_sent(self, now_ms: float, worker_id: int, gain: float) -> None:
        """Move affinity to the worker of a new attempt, away from all others."""
        self.affinity = {other: (1.0 - gain) * affinity for other, affinity in self.affinity.items()}
        self.affinity[worker_id] = self.affinity.get(worker_id, 0.0) + gain
        self.last_sent_at_ms[worker_id] = now_ms

    def on_gossip(
        self, now_ms: float, instances: dict[int, InstanceLoad], workers: Container[int], affinity: float
    ) -> None:
        """Store gossiped instances; raise affinity to workers where one ran after this router's last attempt.

        Args:
            now_ms: Current time.
            instances: Load and warm instances by worker id.
            workers: Ids of the listed workers; affinity to others is not raised.
            affinity: Minimum affinity to a worker with such an instance.
        """
        self.gossiped_instances = instances
        for worker_id, instance in instances.items():
            warm_at_ms = -math.inf if instance.warm_age_ms is None else now_ms - instance.warm_age_ms
            if worker_id in workers and warm_at_ms > self.last_sent_at_ms.get(worker_id, -math.inf):
                self.affinity[worker_id] = max(self.affinity.get(worker_id, 0.0), affinity)
                self.last_sent_at_ms[worker_id] = warm_at_ms

    def has_seen_instance(self, now_ms: float, worker_id: int, keep_alive_ms: float) -> bool:
        """Return whether an instance at the worker responded to this router within the keep-alive time."""
        return now_ms - self.instance_seen_at_ms.get(worker_id, -math.inf) <= keep_alive_ms

    def has_instance(self, now_ms: float, worker_id: int, keep_alive_ms: float) -> bool:
        """Return whether an instance is known at the worker, from own calls or gossip."""
        gossiped = self.gossiped_instances.get(worker_id)
        return self.has_seen_instance(now_ms, worker_id, keep_alive_ms) or (
            gossiped is not None and gossiped.warm_age_ms is not None
        )


@dataclass(slots=True)
class PendingRequest:
    """A request without a final answer, and its attempts."""

    request: RequestArrived
    request_class: RequestClass
    function: FunctionRecord
    class_and_tenant: ClassAndTenant
    arrived_at_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    is_streaming: bool = False
    last_replaced_attempt: int = -1  # index of the last attempt hedged or cancelled to be retried; -1: none
    next_attempt_cost: float = 0.0  # retry budget already spent on the next attempt
    call_priority: CallPriority | None = None  # priority under the contract of the request's tenant
    preemption_reason: str = ""  # reason for the client; "": the request was not preempted

    def possibly_executed(self) -> list[Attempt]:
        """Return the attempts that may have executed the request."""
        return [attempt for attempt in self.attempts if attempt.is_in_flight or attempt.may_have_executed]

    def may_repeat_key_at(self, endpoint: Endpoint, scope: DeduplicationScope) -> bool:
        """Return whether a worker knows the idempotency key if an attempt has been executed.

        A worker to which a connection broke meanwhile may have gone. Before the endpoint list shows that,
        another process, of another zone or cell, may be at its address.
        """
        for attempt in self.possibly_executed():
            other = attempt.endpoint
            if attempt.has_lost_connection and other.worker_id == endpoint.worker_id:
                return False
            if scope is DeduplicationScope.ZONE and other.zone != endpoint.zone:
                return False
            if scope is DeduplicationScope.CELL and other.cell != endpoint.cell:
                return False
        return True

    def has_attempt_in_flight(self) -> bool:
        """Return whether any attempt is in flight."""
        return any(attempt.is_in_flight for attempt in self.attempts)
