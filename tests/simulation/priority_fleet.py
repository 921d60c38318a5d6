"""A simulated fleet with priority tiers, on virtual time: real components, workers with slots and queues."""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cedarthread.components.notifications import AttemptCompleted, PeersChanged
from cedarthread.components.replicated_state import Entry, ReplicatedEntry, Version
from cedarthread.fleet_config import parse_fleet_config
from cedarthread.model.actions import SendToPeer
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import DeduplicationScope, Tenant
from cedarthread.priority import contract_entries
from cedarthread.priority.component import PriorityComponent
from cedarthread.priority.preemption import CallStage, PreemptionCandidate, PreemptionClaim
from cedarthread.routing.overload import OVERLOAD_START, OverloadEstimator
from tests.helpers import settings
from tests.simulation.priority_records import (
    CAPACITY_PER_SECOND,
    CLASSES,
    CONCURRENCY,
    FLEET_FILE,
    MAX_IN_FLIGHT_PER_WORKER,
    MEAN_WORK_MS,
    ROUTER_COUNT,
    STALENESS_BOUND_MS,
    STRICTEST_OBJECTIVE_MS,
    TENANTS,
    WORKER_COUNT,
    FakeEscrow,
    FakeReplicatedState,
    Preemption,
    SimulatedCall,
)


class CallProgress(NamedTuple):
    """The progress of an open call, as estimated by the router."""

    call: SimulatedCall
    stage: CallStage
    worker_id: int | None
    time_to_free_ms: float
    consumed_work_ms: float


class SimulatedRouter:
    """A router with the real priority component and overload estimator, and simplified routing of calls."""

    def __init__(self, fleet: SimulatedFleet, router_index: int) -> None:
        self.fleet = fleet
        self.router_index = router_index
        self.replicated_state = FakeReplicatedState()
        self.rng = random.Random(fleet.seed * 100 + router_index)
        self.overload = OverloadEstimator()
        for kind, name, body in contract_entries.entries_from_config(parse_fleet_config(fleet.fleet_file)):
            entry = Entry(kind, name, Version(1, 0, 0), body)
            self.replicated_state.entry_by_name[kind, name] = ReplicatedEntry(
                entry, -2 * STALENESS_BOUND_MS, -STALENESS_BOUND_MS - 1
            )
        tenants = tuple(Tenant(name, 0.3, None) for name in TENANTS)
        router_settings = settings(
            classes=CLASSES, tenants=tenants, router_count=ROUTER_COUNT, router_index=router_index
        )
        self.component = PriorityComponent(
            self.replicated_state,
            FakeEscrow(router_index, fleet.requests, fleet.pool_totals),
            router_settings,
            fleet.seed + router_index,
        )
        peers = tuple(index for index in range(ROUTER_COUNT) if index != router_index)
        self.component.on_notification(0.0, PeersChanged(peers, ROUTER_COUNT, {}))
        self.in_flight: dict[int, list[SimulatedCall]] = {worker_id: [] for worker_id in range(WORKER_COUNT)}
        self.queue: deque[SimulatedCall] = deque()
        self.level_history: list[tuple[float, int]] = []

    def on_arrival(self, now_ms: float, call: SimulatedCall) -> None:
        request_class = CLASSES[call.class_index]
        value = request_class.priority_weight / MEAN_WORK_MS[call.class_index]
        classes = zip(CLASSES, MEAN_WORK_MS, strict=True)
        values = [any_class.priority_weight / work_ms for any_class, work_ms in classes]
        mean_value = sum(values) / len(CLASSES)
        mean_objective_ms = sum(any_class.latency_objective_ms for any_class in CLASSES) / len(CLASSES)
        self.overload.on_call(now_ms)
        objective_ms = math.sqrt(request_class.latency_objective_ms * mean_objective_ms * value / mean_value)
        utilization = self.overload.time_in_system_ms(now_ms, self.overload.total_in_flight) / (
            OVERLOAD_START * mean_objective_ms
        )
        call.priority = self.component.on_arrival(
            now_ms, call.tenant_index, value, utilization, is_client_retry=call.is_client_retry
        )
        own_shed_probability = self.estimated_shed_probability(now_ms, objective_ms)
        strictest_shed_probability = self.estimated_shed_probability(now_ms, STRICTEST_OBJECTIVE_MS)
        shed_probability = None
        if self.fleet.uses_priorities:
            shed_probability = self.component.shed_probability(
                now_ms, call.priority, strictest_shed_probability, value
            )
        if shed_probability is None:
            shed_probability = min(0.95, own_shed_probability * math.sqrt(mean_value / value))
        if self.rng.random() < shed_probability and not self.fleet.never_sheds:
            self.component.record_rejected(now_ms, call.priority, is_client_retry=call.is_client_retry)
            return
        worker_id = min(
            self.in_flight, key=lambda candidate: (len(self.in_flight[candidate]), self.rng.random())
        )
        if self.fleet.uses_priorities:
            worker_id = self.preempt(now_ms, call, worker_id)
        if len(self.in_flight[worker_id]) < self.fleet.max_in_flight_per_worker:
            self.send(now_ms, call, worker_id)
        else:
            self.queue.append(call)

    def estimated_shed_probability(self, now_ms: float, objective_ms: float) -> float:
        forced = self.fleet.forced_shed_probability.get(self.router_index, 0.0)
        return forced or self.overload.shed_probability(now_ms, objective_ms, range(WORKER_COUNT))

    def expected_wait_ms(self, worker_id: int, *, preempted_calls: int) -> float:
        """Return the time until the worker has a free slot, if all routers have equally many calls there."""
        calls_ahead = ROUTER_COUNT * len(self.in_flight[worker_id]) - preempted_calls + 1 - CONCURRENCY
        return max(0.0, calls_ahead * 200.0 / CONCURRENCY)

    def preempt(self, now_ms: float, call: SimulatedCall, worker_id: int) -> int:
        service_time_ms = MEAN_WORK_MS[call.class_index]
        queue_wait_ms = len(self.queue) * 1000.0 * ROUTER_COUNT / CAPACITY_PER_SECOND
        wait_ms = queue_wait_ms + self.expected_wait_ms(worker_id, preempted_calls=0)
        wait_by_worker_ms = {
            other_id: self.expected_wait_ms(other_id, preempted_calls=1) for other_id in self.in_flight
        }
        objective_ms = CLASSES[call.class_index].latency_objective_ms
        claim = PreemptionClaim(call.priority, service_time_ms, objective_ms, wait_ms, wait_by_worker_ms)
        request_id = self.component.choose_victim(now_ms, claim, self.candidates(worker_id))
        if request_id is None:
            return worker_id
        victim = self.fleet.calls[request_id]
        self.fleet.preemptions.append(Preemption(now_ms, victim, was_running=victim.worker_id is not None))
        self.fleet.schedule(now_ms + 1000.0, functools.partial(self.fleet.on_client_retry, victim))
        if victim.worker_id is None:
            self.queue.remove(victim)
            return worker_id
        freed_worker_id = victim.worker_id
        self.in_flight[freed_worker_id].remove(victim)
        self.overload.on_attempt_ended(now_ms, freed_worker_id, is_success=False)
        self.fleet.cancel(now_ms, victim)
        return freed_worker_id

    def candidates(self, worker_id: int) -> Iterator[PreemptionCandidate]:
        queued_worker_id = None if self.fleet.hides_queued_workers else worker_id
        queued = (
            CallProgress(call, CallStage.QUEUED, queued_worker_id, 30.0 * position, 0.0)
            for position, call in enumerate(self.queue)
        )
        for progress in itertools.chain(queued, self.running_calls()):
            call = progress.call
            request_class = CLASSES[call.class_index]
            yield PreemptionCandidate(
                request_id=call.request_id,
                retry_identity=call.retry_identity,
                priority=call.priority,
                stage=progress.stage,
                idempotency=request_class.idempotency,
                deduplication_scope=DeduplicationScope.ALL,
                priority_weight=request_class.priority_weight,
                arrived_at_ms=call.arrived_at_ms,
                worker_id=progress.worker_id,
                time_to_free_ms=progress.time_to_free_ms,
                deduplication_remaining_ms=request_class.deduplication_window_ms,
                consumed_work_ms=progress.consumed_work_ms,
                is_client_retry=call.is_client_retry,
            )

    def running_calls(self) -> Iterator[CallProgress]:
        for worker_id, calls in self.in_flight.items():
            for call in calls:
                work_ms = MEAN_WORK_MS[call.class_index]
                yield CallProgress(call, CallStage.WRITTEN, worker_id, work_ms * 0.7, work_ms * 0.3)

    def on_message(self, sender: int, data: bytes, now_ms: float) -> None:
        self.component.on_message(now_ms, sender, data)

    def send(self, now_ms: float, call: SimulatedCall, worker_id: int) -> None:
        call.worker_id = worker_id
        self.in_flight[worker_id].append(call)
        self.overload.on_attempt_started(worker_id)
        self.fleet.enqueue(now_ms, call)

    def on_completed(self, now_ms: float, call: SimulatedCall) -> None:
        assert call.worker_id is not None
        self.in_flight[call.worker_id].remove(call)
        self.overload.on_attempt_ended(now_ms, call.worker_id, is_success=True)
        call.answered_at_ms = now_ms
        self.component.on_notification(
            now_ms,
            AttemptCompleted(call.worker_id, 0, call.tenant_index, call.work_ms, Outcome.OK, was_warm=True),
        )
        while self.queue and len(self.in_flight[call.worker_id]) < self.fleet.max_in_flight_per_worker:
            queued_call = self.queue.popleft()
            if now_ms - queued_call.arrived_at_ms < CLASSES[queued_call.class_index].deadline_ms / 2:
                self.send(now_ms, queued_call, call.worker_id)


# The measurement starts after the onset phase of 6 s, which docs/design/priority.md reports separately.
MEASURED_FROM_MS = 14_000.0
MEASURED_UNTIL_MS = 44_000.0
ArrivalRates = Callable[[float], tuple[float, float, float]]


class SimulatedFleet:
    """Routers, workers and clients on virtual time, and the records that the checks use. Times are ms.

    Args:
        seed: Seeds all random draws.
        arrival_rates: Returns the calls per second of each tenant at a time.
        uses_priorities: Whether the routers shed and preempt by priority.
        never_sheds: Whether all calls wait and none is rejected for overload.
        hides_queued_workers: Whether the routers do not know the next worker of a queued call.
        fleet_file: Declares the tiers and contracts.
    """

    def __init__(
        self,
        seed: int,
        arrival_rates: ArrivalRates,
        *,
        uses_priorities: bool = True,
        never_sheds: bool = False,
        hides_queued_workers: bool = False,
        fleet_file: bytes = FLEET_FILE,
    ) -> None:
        self.seed = seed
        self.uses_priorities = uses_priorities
        self.rng = random.Random(seed)
        self.max_in_flight_per_worker = 1 if hides_queued_workers else MAX_IN_FLIGHT_PER_WORKER
        self.hides_queued_workers = hides_queued_workers
        self.fleet_file = fleet_file
        self.never_sheds = never_sheds
        self.requests: dict[str, dict[int, int]] = defaultdict(dict)
        self.pool_totals: dict[str, int] = {}
        self.forced_shed_probability: dict[int, float] = {}  # by router; replaces the router's own estimate
        self.partitioned: set[int] = set()
        self.calls: dict[int, SimulatedCall] = {}
        self.preemptions: list[Preemption] = []
        self.wasted_work_ms = 0.0  # as recorded by the workers
        self.completed_work_ms = 0.0
        self.queues: list[deque[SimulatedCall]] = [deque() for _ in range(WORKER_COUNT)]
        self.running: list[set[SimulatedCall]] = [set() for _ in range(WORKER_COUNT)]
        self.scheduled: list[tuple[float, int, Callable[[float], None]]] = []
        self.event_count = 0
        self.routers = [SimulatedRouter(self, index) for index in range(ROUTER_COUNT)]
        self.arrival_rates = arrival_rates
        for router in self.routers:
            self.schedule(router.rng.uniform(0.0, 250.0), functools.partial(self.on_tick, router))
        for tenant in range(3):
            self.schedule(0.0, functools.partial(self.on_arrival, tenant, random.Random(seed * 7 + tenant)))

    def schedule(self, at_ms: float, action: Callable[[float], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.scheduled, (at_ms, self.event_count, action))

    def run(self, until_ms: float) -> SimulatedFleet:
        while self.scheduled[0][0] < until_ms:
            now_ms, _, action = heapq.heappop(self.scheduled)
            action(now_ms)
        return self

    def on_arrival(self, tenant_index: int, rng: random.Random, now_ms: float) -> None:
        rate = self.arrival_rates(now_ms)[tenant_index]
        if now_ms > 0.0 and rate > 0.0:
            class_index = rng.randrange(len(CLASSES))
            router_index = rng.randrange(ROUTER_COUNT)
            request_id = len(self.calls)
            work_ms = rng.expovariate(1 / MEAN_WORK_MS[class_index])
            call = SimulatedCall(
                request_id, router_index, tenant_index, class_index, now_ms, work_ms, request_id
            )
            self.calls[request_id] = call
            self.routers[router_index].on_arrival(now_ms, call)
        next_at_ms = now_ms + rng.expovariate(max(rate, 1.0) / 1000.0)
        self.schedule(next_at_ms, functools.partial(self.on_arrival, tenant_index, rng))

    def on_client_retry(self, original: SimulatedCall, now_ms: float) -> None:
        """Send the retry of a preempted call, marked as such, to the same router."""
        request_id = len(self.calls)
        call = dataclasses.replace(
            original,
            request_id=request_id,
            arrived_at_ms=now_ms,
            is_client_retry=True,
            worker_id=None,
            started_at_ms=None,
            ended_at_ms=None,
        )
        self.calls[request_id] = call
        self.routers[call.router_index].on_arrival(now_ms, call)

    def on_tick(self, router: SimulatedRouter, now_ms: float) -> None:
        for message in router.component.on_tick(now_ms):
            if isinstance(message, SendToPeer):
                assert len(message.data) <= 256
                assert message.peer_index is not None
                if (
                    self.rng.random() < 0.9
                    and router.router_index not in self.partitioned
                    and message.peer_index not in self.partitioned
                ):
                    deliver = functools.partial(
                        self.routers[message.peer_index].on_message, router.router_index, message.data
                    )
                    self.schedule(now_ms + self.rng.uniform(2, 60), deliver)
        router.level_history.append((now_ms, router.component.overload_level(now_ms)))
        self.schedule(now_ms + 250.0, functools.partial(self.on_tick, router))

    # Workers.

    def enqueue(self, now_ms: float, call: SimulatedCall) -> None:
        assert call.worker_id is not None
        self.queues[call.worker_id].append(call)
        self.start_queued(now_ms, call.worker_id)

    def start_queued(self, now_ms: float, worker_id: int) -> None:
        while self.queues[worker_id] and len(self.running[worker_id]) < CONCURRENCY:
            call = self.queues[worker_id].popleft()
            call.started_at_ms = now_ms
            self.running[worker_id].add(call)
            self.schedule(now_ms + call.work_ms, functools.partial(self.finish, call))

    def finish(self, call: SimulatedCall, now_ms: float) -> None:
        assert call.worker_id is not None
        if call.ended_at_ms is None:
            call.ended_at_ms = now_ms
            self.completed_work_ms += call.work_ms
            self.running[call.worker_id].discard(call)
            self.start_queued(now_ms, call.worker_id)
            self.routers[call.router_index].on_completed(now_ms, call)

    def cancel(self, now_ms: float, call: SimulatedCall) -> None:
        assert call.worker_id is not None
        call.ended_at_ms = now_ms
        if call in self.running[call.worker_id]:
            self.running[call.worker_id].discard(call)
            assert call.started_at_ms is not None
            self.wasted_work_ms += now_ms - call.started_at_ms
        else:
            self.queues[call.worker_id].remove(call)
        self.start_queued(now_ms, call.worker_id)

    # Measurements for the checks.

    def value_served(
        self,
        tenant_index: int | None,
        from_ms: float = MEASURED_FROM_MS,
        until_ms: float = MEASURED_UNTIL_MS,
    ) -> float:
        """Return the sum of priority weights of the calls that arrived in this time; None: of all tenants."""
        total = 0.0
        for call in self.calls.values():
            if (
                from_ms <= call.arrived_at_ms < until_ms
                and tenant_index in (None, call.tenant_index)
                and call.answered_at_ms is not None
            ):
                request_class = CLASSES[call.class_index]
                latency_ms = call.answered_at_ms - call.arrived_at_ms
                if latency_ms <= request_class.latency_objective_ms:
                    total += request_class.priority_weight
                elif latency_ms <= request_class.deadline_ms:
                    total += request_class.late_priority_weight
        return total

    def highest_level(self) -> int:
        return max(level for router in self.routers for _, level in router.level_history)
