"""Admission control: decides which requests are shed, queued, preempted or rejected.

All times are ms on the monotonic clock, passed in by the caller. The policy is stateless except for the mean
latency objective, which it derives from the settings.
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

CLIENT_RETRY_SHED_FACTOR = 3.0  # multiplies the shed probability of a client's retry
MAX_SHED_PROBABILITY = 0.95  # some requests always pass, so that the end of an overload is detected
MIN_VALUE = 1e-6  # lower bound of a request's value, so that a class of weight 0 causes no division by zero
QUOTA_FACTORS = 0.5, 2.0  # bounds of a tenant's quota utilization, before it is squared
MIN_REMAINING_FRACTION = 0.5  # fraction of the expected service time; a request with less time left is shed
MAX_QUEUED_FRACTION = 0.5  # longest queueing if not executed yet, over the time from arrival to deadline
MIN_PEER_COVERAGE = 0.5  # requests wait only if this fraction of the other routers has gossiped recently
RETRY_AFTER_RANGE = 0.05, 0.15  # range of the random Retry-After, as fractions of its maximum


class AdmissionPolicy:
    """The admission control policy of one router: sheds, queues, preempts and rejects requests.

    Args:
        state: The router's state, which all policies share.
        selector: Reports whether another worker has an instance with spare capacity.
    """

    def __init__(self, state: RouterState, selector: WorkerSelector) -> None:
        self.state = state
        self.selector = selector
        self.mean_objective_ms = 0.0
        self.update_settings(state.settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """Compute the mean latency objective of the classes in the new settings."""
        objectives = [request_class.latency_objective_ms for request_class in settings.classes]
        self.mean_objective_ms = sum(objectives) / max(1, len(objectives))

    # New requests.

    def should_shed(self, now_ms: float, pending: PendingRequest, quota_use: float) -> bool:
        """Return whether to shed a new request; the decision is random and logs ``load_shed``.

        The probability depends on the value per ms of work and on the tenant's quota use or contract.

        Args:
            now_ms: Current time.
            pending: The new request.
            quota_use: The tenant's fraction of all calls, divided by its quota; 1.0 without a quota.
        """
        state = self.state
        request_class = pending.request_class
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
        # The geometric mean of the request's own objective and the mean objective of all classes, so that a
        # short objective alone does not make a request the first to be shed, nor a long one exempt it.
        # Relative value stretches the objective, so that valuable requests are shed later.
        objective_ms = math.sqrt(max(objective_ms, 1.0) * self.mean_objective_ms * value / mean_value)
        overload = state.overload.shed_probability(now_ms, objective_ms, state.workers.not_ejected_ids())
        by_contract = self._shed_probability_by_contract(now_ms, pending, value)
        if overload <= 0.0 and not by_contract:
            return False
        retry_factor = CLIENT_RETRY_SHED_FACTOR if pending.request.is_client_retry else 1.0
        if by_contract is not None:
            probability = by_contract * retry_factor
        else:
            min_factor, max_factor = QUOTA_FACTORS
            quota_factor = min(max(quota_use, min_factor), max_factor) ** 2
            probability = overload * retry_factor * quota_factor * math.sqrt(mean_value / value)
        probability = min(MAX_SHED_PROBABILITY, probability)
        state.log(now_ms, "load_shed", probability=round(probability, 2))
        return state.rng.random() < probability

    def _shed_probability_by_contract(
        self, now_ms: float, pending: PendingRequest, value: float
    ) -> float | None:
        """Return the shed probability by the fleet's priority contracts; None: use only the overload."""
        state = self.state
        if state.constraints is None:
            return None
        objective_ms = min(request_class.latency_objective_ms for request_class in state.settings.classes)
        overload = state.overload.shed_probability(now_ms, objective_ms, state.workers.not_ejected_ids())
        utilization = state.overload.utilization(now_ms, objective_ms)
        return state.constraints.shed_probability(now_ms, pending, value, utilization, overload)

    # Queueing.

    def may_queue(self, now_ms: float, pending: PendingRequest) -> bool:
        """Return whether a request that cannot be sent now may stay queued until the next queue check."""
        # A request that was never sent is rejected early, so that its client has time to retry elsewhere.
        arrived_at_ms = pending.arrived_at_ms
        deadline_ms = pending.request.deadline_ms
        if pending.possibly_executed():
            latest_ms = deadline_ms - MIN_REMAINING_MS
        else:
            latest_ms = arrived_at_ms + MAX_QUEUED_FRACTION * (deadline_ms - arrived_at_ms)
        return now_ms + QUEUE_CHECK_MS <= latest_ms

    def should_wait_for_instance(self, now_ms: float, pending: PendingRequest, worker: WorkerRecord) -> bool:
        """Return whether to wait for a busy or loading instance rather than start one at the worker.

        Retries never wait, and no request waits unless enough peers have gossiped recently.
        """
        state = self.state
        function = pending.function
        request = pending.request
        if state.gossip is None or pending.attempts:
            return False
        if state.gossip.peer_coverage(now_ms) < MIN_PEER_COVERAGE:
            return False
        worker_id = worker.endpoint.worker_id
        workers = state.workers.by_id
        is_warm = function.read_affinity(now_ms, worker_id, state.settings.instance_keep_alive_ms) > 0.0
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
            request.request_id,
            worker_id,
            instances,
            is_warm=is_warm,
            concurrency=function.concurrency,
            times=times,
        )

    def may_start_instance(self, now_ms: float, pending: PendingRequest, worker: WorkerRecord) -> bool:
        """Return whether the request may go to the worker even if that starts an instance there.

        A change freeze or the recovery after a restart may forbid new instances.
        """
        constraints = self.state.constraints
        if constraints is None or not constraints.limits_loading:
            return True
        keep_alive_ms = self.state.settings.instance_keep_alive_ms
        if pending.function.has_instance(now_ms, worker.endpoint.worker_id, keep_alive_ms):
            return True
        is_idempotent = pending.request_class.idempotency is Idempotency.IDEMPOTENT
        has_spare_instance = self.selector.has_spare_instance(now_ms, pending, is_idempotent=is_idempotent)
        return constraints.may_load(now_ms, pending, worker, has_alternative=has_spare_instance)

    # Preemption and final answers.

    def choose_preemption_victim(
        self, now_ms: float, pending: PendingRequest, worker: WorkerRecord | None
    ) -> PendingRequest | None:
        """Choose and log a request of lower priority that the caller must preempt for this one, or None."""
        state = self.state
        requests = self.state.requests
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
        """Return the final answer of a request that gets no further attempt.

        A request is rejected if it was not executed or may be repeated safely; otherwise it fails.
        """
        request_class = pending.request_class
        is_repeatable = request_class.idempotency is Idempotency.IDEMPOTENT or (
            request_class.idempotency is Idempotency.WITH_KEY
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        if not is_repeatable and pending.possibly_executed():
            return FailRequest(pending.request.request_id)
        state = self.state
        limits = self.state.settings.limits
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
