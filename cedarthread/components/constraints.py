"""What the parts that the fleet shares tell the router, in the router's own terms: asked, never acting.

Contracts say whose call goes first, freezes and returns what load may begin. The router chooses, repeats and
refuses; here its records are only read. Pure; times in ms."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from cedarthread.change_freeze.admission_gate import AdmissionGate
from cedarthread.change_freeze.placement_changes import PlacementChange
from cedarthread.gossip.load_gossip import InstanceLoad
from cedarthread.model.endpoints import EndpointState
from cedarthread.priority.component import PriorityComponent
from cedarthread.priority.preemption import CallStage, PreemptionCandidate, PreemptionClaim
from cedarthread.recovery.component import RecoveryComponent
from cedarthread.routing.records import Attempt, PendingRequest, WorkerRecord

MAX_PREEMPTION_CANDIDATES = 256  # open calls that are looked at for one to give way, the youngest
QUEUED_EXPECTED_MS = 50.0  # ms till a call that waits in the router is looked at again


class RoutingConstraints:
    """The parts as one router asks them. ``holds``: a freeze or a return bounds what may be loaded now."""

    def __init__(self, tiers: PriorityComponent, gate: AdmissionGate, recovery: RecoveryComponent) -> None:
        self.priority, self.gate, self.recovery = tiers, gate, recovery
        self.limits_loading = False

    def refresh(self, now: float) -> None:
        """At each turn, and when something changed."""
        self.limits_loading = self.gate.is_active or not self.recovery.in_service(now)

    # Loads.

    def expected_instances(self, now: float, function: int) -> dict[int, InstanceLoad]:
        """What stood where, as store and peers tell one that comes back."""
        return {} if self.recovery.in_service(now) else self.recovery.warm_instances(now, function)

    def may_route(
        self, now: float, pending: PendingRequest, view: WorkerRecord, is_loaded: bool, has_alternative: bool
    ) -> bool:
        """May the call go there? ``stands``: a copy is known to; ``standing``: one elsewhere with room."""
        if is_loaded:
            return True
        if has_alternative and not self.recovery.in_service(now):
            return False
        request, entry = pending.request, view.endpoint
        return self.gate.can_send(
            now,
            function_id=request.function_id,
            worker_id=entry.worker_id,
            zone_index=entry.zone,
            tenant_index=request.tenant_index,
            is_placed=is_loaded,
            has_alternatives=has_alternative,
        )

    def may_load(self, now: float, job: PendingRequest, view: WorkerRecord, has_alternative: bool) -> bool:
        """The last word before a load begins: it may use up one of an allowance, or of a return's budget."""
        request, entry = job.request, view.endpoint
        if self.gate.is_active:
            needed = self.gate.is_emergency(request.function_id, has_alternative)
            change = PlacementChange(
                "first-copy", entry.worker_id, request.function_id, entry.zone, request.tenant_index, needed
            )
            if not self.gate.admit(now, change).is_permitted:
                return False
        return self.recovery.try_acquire_load(now, request.function_id, entry.worker_id)

    def home_workers(
        self, now: float, function: int, order: Sequence[WorkerRecord], count: int
    ) -> tuple[Sequence[WorkerRecord], int]:
        """The function's homes as a freeze has them."""
        if not self.gate.is_active:
            return order, count
        ready = {
            view.endpoint.worker_id: view for view in order if view.endpoint.state is EndpointState.READY
        }
        numbers, count = self.gate.home_workers(now, function, list(ready), count)
        return [ready[number] for number in numbers], count

    def retry_after_range(self, now: float) -> tuple[float, float]:
        """The parts of the longest wait between which a refused client is told to keep away."""
        return self.recovery.retry_after_fractions(now)

    # Contracts.

    def shed_probability(
        self, now: float, job: PendingRequest, value: float, utilization: float, shed_fraction: float
    ) -> float | None:
        """A call came; the part of calls like it to refuse where ``late`` of all must be, None: as usual."""
        request = job.request
        tenant = request.caller if request.tenant_index is None else request.tenant_index
        job.call_priority = self.priority.on_arrival(now, tenant, value, utilization, request.is_client_retry)
        return self.priority.shed_probability(now, job.call_priority, shed_fraction, value)

    def on_rejected(self, now: float, job: PendingRequest) -> None:
        """A call was refused: its tenant's floor knows."""
        if job.call_priority is not None:
            self.priority.record_rejected(now, job.call_priority, job.request.is_client_retry)

    def overload_level(self, now: float) -> int:
        """How overloaded the fleet is; 0: not, or that is not known."""
        return self.priority.overload_level(now)

    def preemption_victim(
        self,
        now: float,
        job: PendingRequest,
        view: WorkerRecord | None,
        expected: float,
        pending_requests: Mapping[int, PendingRequest],
        queue: Mapping[int, PendingRequest],
    ) -> int | None:
        """The call that gives way to this one, told why; None: nobody does."""
        if job.call_priority is None or job.attempts or view is None:
            return None
        number = self.priority.choose_victim(
            now,
            self._preemption_claim(now, job, view, expected),
            self._preemption_candidates(now, pending_requests, queue, view),
        )
        if number is not None:
            other = pending_requests[number]
            other.preemption_reason = (
                self.priority.rejection_reason(other.call_priority) if other.call_priority is not None else ""
            )
        return number

    def _preemption_claim(
        self, now: float, job: PendingRequest, view: WorkerRecord, expected: float
    ) -> PreemptionClaim:
        assert job.call_priority is not None
        wait = expected * view.read_excess_load(now)
        left = min(job.request.deadline_ms, job.arrived_at_ms + job.request_class.latency_objective_ms) - now
        less = wait * (1.0 - 1.0 / max(1.0, view.in_flight + view.peers_in_flight))
        return PreemptionClaim(job.call_priority, expected, left, wait, {view.endpoint.worker_id: less})

    def _preemption_candidates(
        self,
        now: float,
        opened: Mapping[int, PendingRequest],
        held: Mapping[int, PendingRequest],
        near: WorkerRecord,
    ) -> Iterator[PreemptionCandidate]:
        """Open calls that might free what the claim wants, as the choice sees them."""
        for number in list(opened)[-MAX_PREEMPTION_CANDIDATES:]:
            other = opened[number]
            if other.call_priority is not None and (number in held or self._is_in_flight_at(other, near)):
                yield _candidate_view(now, number, other, near, number in held)

    @staticmethod
    def _is_in_flight_at(other: PendingRequest, near: WorkerRecord) -> bool:
        return any(a.is_in_flight and a.endpoint.worker_id == near.endpoint.worker_id for a in other.attempts)


def _candidate_view(
    now: float, number: int, other: PendingRequest, near: WorkerRecord, waits: bool
) -> PreemptionCandidate:
    assert other.call_priority is not None
    out = [attempt for attempt in other.attempts if attempt.is_in_flight]
    last: Attempt | None = out[-1] if out else None
    stage = (
        CallStage.QUEUED if waits and last is None else CallStage.WRITTEN
    )  # what has left is not known here
    if other.is_streaming:
        stage = CallStage.STREAMING
    ran = other.possibly_executed()
    expected = last.expected_ms if last is not None else QUEUED_EXPECTED_MS
    spent = now - last.started_at_ms if last is not None else 0.0
    return PreemptionCandidate(
        request_id=number,
        retry_identity=number,
        priority=other.call_priority,
        stage=stage,
        idempotency=other.request_class.idempotency,
        deduplication_scope=other.request_class.deduplication_scope,
        priority_weight=other.request_class.priority_weight,
        arrived_at_ms=other.arrived_at_ms,
        worker_id=near.endpoint.worker_id,
        time_to_free_ms=max(0.0, expected - spent),
        deduplication_left_ms=(ran[0].started_at_ms + other.request_class.deduplication_window_ms - now)
        if ran
        else other.request_class.deduplication_window_ms,
        spent_work_ms=spent,
        is_client_retry=other.request.is_client_retry,
        attempts_in_flight=max(1, len(out)),
    )
