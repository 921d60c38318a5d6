"""Admission: which requests are shed or rejected, which wait in the router, and which give way to others.

All times are ms of the clock that is handed in.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.model.actions import FailRequest, RejectRequest
from cedarthread.model.settings import DeduplicationScope, Idempotency, RouterSettings
from cedarthread.routing.instance_queue import WaitTimes
from cedarthread.routing.request_table import QUEUE_CHECK_MS
from cedarthread.routing.retries import MIN_REMAINING_MS

if TYPE_CHECKING:
    from cedarthread.routing.records import PendingRequest, WorkerRecord
    from cedarthread.routing.router_state import RouterState
    from cedarthread.routing.selection import WorkerSelector

CLIENT_RETRY_SHED_FACTOR = 3.0  # times that a client's retry is shed as often: its first attempt had its turn
MAX_SHED_PROBABILITY = 0.95  # the rest always passes: it shows when the overload is over
MIN_VALUE = 1e-6  # least value of a request: a class of no weight is shed first, but divides nothing by zero
QUOTA_FACTORS = 0.5, 2.0  # least and most that use over quota counts, before it is squared
MIN_REMAINING_FRACTION = 0.5  # part of its expected time under which a request's time left is not enough
MAX_QUEUED_FRACTION = 0.5  # part of its time for which a request that was not sent waits at most
MIN_PEER_COVERAGE = 0.5  # part of the other routers whose gossip must come for requests to wait
RETRY_AFTER_RANGE = 0.05, 0.15  # parts of the longest Retry-After that a rejected client is told


class AdmissionPolicy:
    """Admits, queues, preempts and rejects requests."""

    def __init__(self, state: RouterState, selector: WorkerSelector) -> None:
        self.state, self.selector = state, selector
        self.mean_objective_ms = 0.0
        self.update_settings(state.settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """What follows from the settings alone."""
        objectives = [request_class.latency_objective_ms for request_class in settings.classes]
        self.mean_objective_ms = sum(objectives) / max(1, len(objectives))

    # New requests.

    def should_shed(self, now_ms: float, pending: PendingRequest, quota_use: float) -> bool:
        """Whether to reject a new request early, by its value for its time and its tenant's quota."""
        state, request_class = self.state, pending.request_class
        remaining_ms = pending.request.deadline_ms - now_ms
        expected_ms = state.service_times.expected_ms(pending)
        if remaining_ms < MIN_REMAINING_FRACTION * expected_ms:
            return True
        class_ms = state.service_times.class_ms(pending.request.class_index)
        value = max(request_class.priority_weight, MIN_VALUE) / max(class_ms, 1.0)
        state.traffic.request_value.add(value)
        mean_value = state.traffic.request_value.mean
        stretched_ms = request_class.latency_objective_work_factor * expected_ms
        objective_ms = min(remaining_ms, request_class.latency_objective_ms + stretched_ms)
        # Between a class's own time and one time for all, later for those of more value: what has little time
        # is not shed first for that alone, nor is what has much of it never.
        objective_ms = math.sqrt(max(objective_ms, 1.0) * self.mean_objective_ms * value / mean_value)
        overload = state.overload.shed_probability(now_ms, objective_ms, state.workers.not_ejected_ids())
        by_contract = self._shed_probability_by_contract(now_ms, pending, value)
        if overload <= 0.0 and not by_contract:
            return False
        retry_factor = CLIENT_RETRY_SHED_FACTOR if pending.request.is_client_retry else 1.0
        if by_contract is not None:
            probability = by_contract * retry_factor
        else:
            least, most = QUOTA_FACTORS
            quota_factor = min(max(quota_use, least), most) ** 2
            probability = overload * retry_factor * quota_factor * math.sqrt(mean_value / value)
        probability = min(MAX_SHED_PROBABILITY, probability)
        state.log(now_ms, "load_shed", probability=round(probability, 2))
        return state.rng.random() < probability

    def _shed_probability_by_contract(
        self, now_ms: float, pending: PendingRequest, value: float
    ) -> float | None:
        """What the priority contracts of the fleet say; None: nothing, the overload alone counts."""
        state = self.state
        if state.constraints is None:
            return None
        objective_ms = min(one.latency_objective_ms for one in state.settings.classes)
        overload = state.overload.shed_probability(now_ms, objective_ms, state.workers.not_ejected_ids())
        utilization = state.overload.utilization(now_ms, objective_ms)
        return state.constraints.shed_probability(now_ms, pending, value, utilization, overload)

    # Requests that wait.

    def may_queue(self, now_ms: float, pending: PendingRequest) -> bool:
        """Whether a request that can't be sent now may wait till the queue is looked at again."""
        # What has not been sent by half of its time had better be told so: its client can go elsewhere.
        arrived_at_ms, deadline_ms = pending.arrived_at_ms, pending.request.deadline_ms
        if pending.possibly_executed():
            latest_ms = deadline_ms - MIN_REMAINING_MS
        else:
            latest_ms = arrived_at_ms + MAX_QUEUED_FRACTION * (deadline_ms - arrived_at_ms)
        return now_ms + QUEUE_CHECK_MS <= latest_ms

    def should_wait_for_instance(self, now_ms: float, pending: PendingRequest, worker: WorkerRecord) -> bool:
        """Had the call better wait for an instance than start one? Only gossip can tell."""
        state, function, request = self.state, pending.function, pending.request
        if state.gossip is None or pending.attempts:
            return False
        if state.gossip.peer_coverage(now_ms) < MIN_PEER_COVERAGE:
            return False
        worker_id, workers = worker.endpoint.worker_id, state.workers.by_id
        is_warm = function.read_affinity(now_ms, worker_id, state.settings.keep_alive_ms) > 0.0
        instances = {
            other_id: instance
            for other_id, instance in function.gossiped_instances.items()
            if other_id in workers and not workers[other_id].is_ejected
        }
        times = WaitTimes(
            now_ms - pending.arrived_at_ms,
            state.service_times.expected_ms(pending),
            state.service_times.expected_cold_start_ms(pending),
        )
        return function.instance_queue.should_wait(
            request.request_id, worker_id, is_warm, instances, concurrency=function.concurrency, times=times
        )

    def may_start_instance(self, now_ms: float, pending: PendingRequest, worker: WorkerRecord) -> bool:
        """May the call go there, if that starts an instance? Freezes and restarts may forbid it."""
        constraints = self.state.constraints
        if constraints is None or not constraints.limits_loading:
            return True
        keep_alive_ms = self.state.settings.keep_alive_ms
        if pending.function.has_instance(now_ms, worker.endpoint.worker_id, keep_alive_ms):
            return True
        is_idempotent = pending.request_class.idempotency is Idempotency.IDEMPOTENT
        has_spare_instance = self.selector.has_spare_instance(now_ms, pending, is_idempotent)
        return constraints.may_load(now_ms, pending, worker, has_spare_instance)

    # Requests that end here.

    def preempted_by(
        self, now_ms: float, pending: PendingRequest, worker: WorkerRecord | None
    ) -> PendingRequest | None:
        """The request of lower priority that gives way to one that would be late, if that may go."""
        state, requests = self.state, self.state.requests
        if state.constraints is None or not state.constraints.overload_level(now_ms):
            return None
        expected_ms = state.service_times.expected_ms(pending)
        request_id = state.constraints.preemption_victim(
            now_ms, pending, worker, expected_ms, requests.pending, requests.queued
        )
        other = None if request_id is None else requests.pending.get(request_id)
        if other is not None:
            fields = {"class": other.request_class.name, "reason": other.preemption_reason}
            state.log(now_ms, "request_preempted", request_id=request_id, **fields)
        return other

    def final_answer(self, now_ms: float, pending: PendingRequest) -> RejectRequest | FailRequest:
        """The answer where there is no further attempt: rejected where that is harmless, else failed."""
        request_class = pending.request_class
        is_harmless = request_class.idempotency is Idempotency.IDEMPOTENT or (
            request_class.idempotency is Idempotency.WITH_KEY
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        if not is_harmless and pending.possibly_executed():
            return FailRequest(pending.request.request_id)
        state, limits = self.state, self.state.settings.limits
        constraints = state.constraints
        retry_after_range = (
            RETRY_AFTER_RANGE if constraints is None else constraints.retry_after_range(now_ms)
        )
        retry_after_ms = limits.max_retry_after_ms * state.rng.uniform(*retry_after_range)
        if constraints is not None and not pending.preemption_reason:
            constraints.on_rejected(now_ms, pending)
        is_sent = limits.sends_retry_after and retry_after_ms > 0
        return RejectRequest(
            pending.request.request_id, retry_after_ms if is_sent else None, pending.preemption_reason
        )
