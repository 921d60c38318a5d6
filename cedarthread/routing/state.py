"""What a router keeps of workers, functions and requests: plain records, with no decision in them.

All times are ms of the clock that is handed in."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarthread.gossip.load_gossip import InstanceLoad
from cedarthread.model.endpoints import Endpoint
from cedarthread.model.events import RequestArrived
from cedarthread.model.settings import RequestClass
from cedarthread.routing.instance_queue import InstanceQueue
from cedarthread.routing.popularity import MIN_WINDOW_MS as POPULAR
from cedarthread.statistics import DecayingCounter, DecayingMean, Ewma

if TYPE_CHECKING:
    from cedarthread.priority.call_priority import CallPriority

MIN_LOAD_MEMORY_MS = 4000.0  # ms in which what answers show of a worker fades, at least
EXCESS_LOAD_PRIOR_COUNT = 0.5  # answers' worth of doubt: one answer alone counts for two thirds
BASE_EJECTION_MS = 1500.0  # ms until the half-open trial


@dataclass(slots=True)
class Attempt:
    """One send of a request, and what was expected of it."""

    endpoint: Endpoint
    started_at_ms: float
    expected_ms: float
    class_and_tenant: tuple[int, int | None]
    is_cold: bool
    is_trial: bool
    is_function_known: bool  # its function has been answered before
    is_in_flight: bool = True
    may_have_executed: bool = True
    is_overdue: bool = False
    has_suspect_error: bool = False  # it ended in an error that may be the client's doing
    retry_cost: float = 0.0  # retry budget that it has spent


@dataclass(slots=True)
class WorkerRecord:
    """What own calls and the list show of a worker."""

    endpoint: Endpoint
    hash: int
    jitter: float  # this gateway's place among those that may use a small part of a cold worker's budget
    in_flight: int = 0
    peers_in_flight: float = 0.0  # calls of other routers that are out there, as they tell
    slow_start_sends: deque[tuple[float, float]] = field(default_factory=deque)
    outlier_score: float = 0.0
    is_ejected: bool = False
    ejected_until_ms: float = 0.0
    ejection_ms: float = BASE_EJECTION_MS
    has_trial_in_flight: bool = False
    last_response_at_ms: float = -math.inf
    unreachable_at_ms: float = -math.inf  # when it was last found down: it may start anew untold
    connection_broken_at_ms: float = (
        -math.inf
    )  # the last broken connection: what broke with it is one symptom
    excess_load: DecayingMean = field(
        default_factory=lambda: DecayingMean.with_time_constant(MIN_LOAD_MEMORY_MS)
    )
    reported_in_flight: DecayingMean = field(
        default_factory=lambda: DecayingMean.with_time_constant(MIN_LOAD_MEMORY_MS)
    )  # requests of others, by its reports
    rejections: dict[tuple[int, int | None], DecayingCounter] = field(default_factory=dict)

    def read_excess_load(self, now: float) -> float:
        """Requests out there beyond what its answers should have taken: a mean that fades by time."""
        return self.excess_load.read(now, EXCESS_LOAD_PRIOR_COUNT)


@dataclass(slots=True)
class FunctionRecord:
    """What own calls and other routers show of a function."""

    hash: int
    concurrency: float = 1.0
    last_used_at_ms: float = 0.0
    recent_calls: DecayingCounter = field(default_factory=lambda: DecayingCounter(POPULAR))
    affinity: dict[int, float] = field(default_factory=dict)
    last_sent_at_ms: dict[int, float] = field(default_factory=dict)
    instance_seen_at_ms: dict[int, float] = field(default_factory=dict)
    service_ms: Ewma = field(default_factory=Ewma)
    placement_order: list[WorkerRecord] = field(default_factory=list)  # all workers, homes first
    placement_epoch: int = -1
    gossiped_instances: dict[int, InstanceLoad] = field(
        default_factory=dict
    )  # what stands where, as other routers told
    instance_queue: InstanceQueue = field(default_factory=InstanceQueue)
    preloading_workers: set[int] = field(default_factory=set)
    preload_not_before_ms: float = 0.0
    preload_backoff_ms: float = 0.0

    def forget_worker(self, worker: int) -> None:
        """No copy stands there any more, as far as is known."""
        for kept in (self.affinity, self.last_sent_at_ms, self.instance_seen_at_ms):
            kept.pop(worker, None)
        self.instance_queue.instances.pop(worker, None)


@dataclass(slots=True)
class PendingRequest:
    """A request that has no final answer yet."""

    request: RequestArrived
    request_class: RequestClass
    function: FunctionRecord
    class_and_tenant: tuple[int, int | None]  # class and tenant
    arrived_at_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    is_streaming: bool = False
    last_cancelled_attempt: int = -1
    next_attempt_cost: float = 0.0  # retry budget spent on the next attempt
    call_priority: CallPriority | None = None  # by its tenant's contract
    preemption_reason: str = ""  # why it gave way to another, for its client

    def possibly_executed(self) -> list[Attempt]:
        """The attempts that may have taken effect."""
        return [a for a in self.attempts if a.is_in_flight or a.may_have_executed]
