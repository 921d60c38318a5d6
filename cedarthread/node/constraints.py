"""What the fleet components tell the router, in the router's own terms.

Contracts say which call goes first; change freezes and restart recovery say which instances may be started
now. The components answer questions and never act: the router chooses, retries and rejects. Times in ms.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.change_freeze.placement_changes import PlacementChange
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
    """Priorities, change freeze and restart recovery, as one router asks them."""

    def __init__(self, priority: PriorityComponent, gate: AdmissionGate, recovery: RecoveryComponent) -> None:
        self.priority, self.gate, self.recovery = priority, gate, recovery
        self.limits_loading = False  # a freeze or the recovery limits which instances may be started now

    def refresh(self, now_ms: float) -> None:
        """Bring ``limits_loading`` up to date: at each tick, and when entries have changed."""
        self.limits_loading = self.gate.is_active or not self.recovery.is_in_service()

    def expected_instances(self, now_ms: float, function_id: int) -> dict[int, InstanceLoad]:
        """Instances by worker id as persisted state and peers know them, while this router recovers."""
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
        """May the request go to the worker? ``is_loaded``: an instance of its function is known there;
        ``has_alternative``: one is known at another worker that has capacity left.
        """
        if is_loaded:
            return True
        if has_alternative and not self.recovery.is_in_service():
            return False
        request, endpoint = pending.request, worker.endpoint
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
        """May the request start a first instance at the worker? Asked last, just before: a yes may consume
        one of the freeze's exceptions and one load of the recovery's pace.
        """
        request, endpoint = pending.request, worker.endpoint
        if self.gate.is_active:
            change = PlacementChange(
                "first-copy",
                endpoint.worker_id,
                request.function_id,
                endpoint.zone,
                request.tenant_index,
                self.gate.is_emergency(request.function_id, has_alternative),
            )
            if not self.gate.admit(now_ms, change).is_permitted:
                return False
        return self.recovery.try_acquire_load(now_ms, request.function_id)

    def home_workers(
        self, now_ms: float, function_id: int, workers: Sequence[WorkerRecord], home_count: int
    ) -> HomeWorkers:
        """The function's workers in placement order, and how many are its homes, as a freeze has it."""
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
        """Between which fractions of the longest Retry-After that of a rejected request is drawn."""
        return self.recovery.retry_after_fractions(now_ms)

    def shed_probability(
        self, now_ms: float, pending: PendingRequest, value: float, utilization: float, shed_fraction: float
    ) -> float | None:
        """Give a request that arrived its priority; returns with which probability to shed requests like it
        where ``shed_fraction`` of all must be shed, None: with ``shed_fraction`` as usual.
        """
        request = pending.request
        tenant = request.caller if request.tenant_index is None else request.tenant_index
        priority = self.priority.on_arrival(now_ms, tenant, value, utilization, request.is_client_retry)
        pending.call_priority = priority
        return self.priority.shed_probability(now_ms, priority, shed_fraction, value)

    def on_rejected(self, now_ms: float, pending: PendingRequest) -> None:
        """A request was rejected: it counts for the floor of its tenant."""
        if pending.call_priority is not None:
            self.priority.record_rejected(now_ms, pending.call_priority, pending.request.is_client_retry)

    def overload_level(self, now_ms: float) -> int:
        """How overloaded the fleet is; 0: it is not, or that is not known."""
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
        """The id of the request to preempt for this one, which is given the reason; None: there is none.

        ``worker`` and ``expected_ms``: where this one would go, and its service time there.
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
