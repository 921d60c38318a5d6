"""The constraints that the fleet components impose on routing.

Contracts determine the priority of requests. Change freezes and restart recovery determine which instances
may be started now. The components only answer the router, which selects workers, retries and rejects. Times
are ms of the router's monotonic clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.change_freeze.placement_changes import PlacementChange, PlacementChangeKind
from cedarthread.model.endpoints import EndpointState
from cedarthread.node.preemption_view import preemption_candidates, preemption_claim
from cedarthread.routing.collaborators import HomeWorkers

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cedarthread.change_freeze.admission_gate import AdmissionGate
    from cedarthread.model.instance_load import InstanceLoad
    from cedarthread.priority.component import PriorityComponent
    from cedarthread.recovery.component import RecoveryComponent
    from cedarthread.routing.records import PendingRequest, WorkerRecord


class FleetConstraints:
    """Implementation of ``routing.RoutingConstraints`` by priorities, change freeze and restart recovery.

    Args:
        priority: Assigns priorities to requests and selects requests to preempt.
        gate: Permits or denies placement changes during a change freeze.
        recovery: Limits the rate of loads after a restart of this router.
    """

    def __init__(self, priority: PriorityComponent, gate: AdmissionGate, recovery: RecoveryComponent) -> None:
        self.priority = priority
        self.gate = gate
        self.recovery = recovery
        self.limits_loading = False  # whether a change freeze or the recovery limits new instances

    def refresh(self, now_ms: float) -> None:
        """Update ``limits_loading``; called at each tick and after each change of entries."""
        self.limits_loading = self.gate.is_active or not self.recovery.is_in_service()

    def expected_instances(self, now_ms: float, function_id: int) -> dict[int, InstanceLoad]:
        """Return instances by worker id from persisted state and peers; empty unless this router recovers."""
        return {} if self.recovery.is_in_service() else self.recovery.warm_instances(now_ms, function_id)

    def may_route(
        self,
        now_ms: float,
        pending: PendingRequest,
        worker: WorkerRecord,
        *,
        is_loaded: bool,
        has_alternative: bool,
    ) -> bool:
        """Return whether the request may be sent to the worker.

        Args:
            now_ms: Current time.
            pending: The request.
            worker: The candidate.
            is_loaded: Whether an instance of the function is known at the worker.
            has_alternative: Whether an instance is known at another worker that has capacity left.
        """
        if is_loaded:
            return True
        if has_alternative and not self.recovery.is_in_service():
            return False
        request = pending.request
        endpoint = worker.endpoint
        return self.gate.can_send(
            now_ms,
            function_id=request.function_id,
            worker_id=endpoint.worker_id,
            zone_index=endpoint.zone,
            tenant_index=request.tenant_index,
            is_placed=is_loaded,
            has_alternatives=has_alternative,
        )

    def may_load(
        self, now_ms: float, pending: PendingRequest, worker: WorkerRecord, *, has_alternative: bool
    ) -> bool:
        """Return whether the request may start a first instance at the worker.

        The router calls this after all other checks, because True may consume an exception of each change
        freeze window that covers the change, and tokens of the recovery's load pacing.
        """
        request = pending.request
        endpoint = worker.endpoint
        if self.gate.is_active:
            change = PlacementChange(
                PlacementChangeKind.FIRST_INSTANCE,
                endpoint.worker_id,
                request.function_id,
                endpoint.zone,
                request.tenant_index,
                self.gate.is_emergency(request.function_id, has_alternatives=has_alternative),
            )
            if not self.gate.admit(now_ms, change).is_permitted:
                return False
        return self.recovery.try_acquire_load(now_ms, request.function_id)

    def home_workers(
        self, now_ms: float, function_id: int, workers: Sequence[WorkerRecord], home_count: int
    ) -> HomeWorkers:
        """Return the workers in placement order and the number of homes, adjusted for a change freeze.

        During a change freeze the result contains the ready workers only.
        """
        if not self.gate.is_active:
            return HomeWorkers(workers, home_count)
        ready = {
            worker.endpoint.worker_id: worker
            for worker in workers
            if worker.endpoint.state is EndpointState.READY
        }
        worker_ids, home_count = self.gate.home_workers(now_ms, function_id, list(ready), home_count)
        return HomeWorkers([ready[worker_id] for worker_id in worker_ids], home_count)

    def retry_after_range(self, now_ms: float) -> tuple[float, float]:
        """Return the range from which a rejection's Retry-After is drawn, as fractions of its maximum."""
        return self.recovery.retry_after_fractions(now_ms)

    def shed_probability(
        self, now_ms: float, pending: PendingRequest, value: float, utilization: float, shed_fraction: float
    ) -> float | None:
        """Assign the request its priority, and return the probability of shedding requests of this priority.

        None: the priority does not determine the probability; the router derives it from its own overload
        estimate for this request.

        Args:
            now_ms: Current time.
            pending: The request.
            value: The priority weight of the request, divided by its expected work.
            utilization: The expected latency, divided by the latency at which an overload starts.
            shed_fraction: The fraction of all requests that the router must shed by its overload estimate.
        """
        request = pending.request
        tenant = request.caller if request.tenant_index is None else request.tenant_index
        priority = self.priority.on_arrival(
            now_ms, tenant, value, utilization, is_client_retry=request.is_client_retry
        )
        pending.call_priority = priority
        return self.priority.shed_probability(now_ms, priority, shed_fraction, value)

    def on_rejected(self, now_ms: float, pending: PendingRequest) -> None:
        """Count a rejected request against the floor that its tenant's contract guarantees."""
        if pending.call_priority is not None:
            self.priority.record_rejected(
                now_ms, pending.call_priority, is_client_retry=pending.request.is_client_retry
            )

    def overload_level(self, now_ms: float) -> int:
        """Return the overload level of the fleet; 0: not overloaded, or unknown."""
        return self.priority.overload_level(now_ms)

    def preemption_victim(
        self,
        now_ms: float,
        pending: PendingRequest,
        worker: WorkerRecord | None,
        expected_ms: float,
        pending_requests: Mapping[int, PendingRequest],
        queue: Mapping[int, PendingRequest],
    ) -> int | None:
        """Return the id of the request to preempt for this one, and set its reason; None: there is none.

        Args:
            now_ms: Current time.
            pending: The request that needs capacity.
            worker: The worker that would receive the request.
            expected_ms: The expected service time of the request at the worker.
            pending_requests: All pending requests by id.
            queue: The queued ones by id.
        """
        if pending.call_priority is None or pending.attempts or worker is None:
            return None
        request_id = self.priority.choose_victim(
            now_ms,
            preemption_claim(now_ms, pending, worker, expected_ms),
            preemption_candidates(now_ms, pending_requests, queue, worker),
        )
        if request_id is not None:
            victim = pending_requests[request_id]
            victim.preemption_reason = ""
            if victim.call_priority is not None:
                victim.preemption_reason = self.priority.rejection_reason(victim.call_priority)
        return request_id
