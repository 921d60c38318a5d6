"""Priority tiers in a fleet on virtual time: routers with the real components, workers with slots and queues.

The checks read what clients and workers recorded, which is kept here, and nothing that the components claim.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import math
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec
import pytest

from cedarthread.components.notifications import AttemptCompleted, PeersChanged
from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.fleet_config import parse_fleet_config
from cedarthread.model.actions import SendToPeer
from cedarthread.model.call_priority import NO_PRIORITY, CallPriority
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import DeduplicationScope, Idempotency, RequestClass, Tenant
from cedarthread.priority import (
    component,
    contract_entries,
    preemption,
    preemption_budget,
    pressure_gossip,
    usage,
)
from cedarthread.priority.body_history import BodyHistory
from cedarthread.priority.call_priority import assign_priority
from cedarthread.priority.contracts import EffectiveContracts, OverloadParameters
from cedarthread.priority.overload_level import OverloadStateMachine
from cedarthread.priority.preemption import CallStage, PreemptionCandidate, PreemptionClaim
from cedarthread.routing.overload import OVERLOAD_START, OverloadEstimator
from tests.helpers import settings

STALENESS_BOUND_MS = 4000.0  # ms, B
CLASSES = (
    RequestClass(
        "price", 500.0, 3000.0, 2.0, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0, False, 0.0
    ),
    RequestClass(
        "confirm",
        1500.0,
        5000.0,
        1.0,
        0.2,
        Idempotency.NOT_IDEMPOTENT,
        DeduplicationScope.ALL,
        0.0,
        False,
        0.0,
    ),
    RequestClass(
        "nominate", 900.0, 4000.0, 1.5, 0.2, Idempotency.WITH_KEY, DeduplicationScope.ALL, 5000.0, False, 0.0
    ),
)
MEAN_WORK_MS = (100.0, 300.0, 200.0)  # ms, mean
ROUTER_COUNT, WORKER_COUNT, CONCURRENCY = 6, 8, 4
CAPACITY_PER_SECOND = WORKER_COUNT * CONCURRENCY / 200.0 * 1000.0  # calls a second
MAX_IN_FLIGHT_PER_WORKER = 3  # calls of one router at one worker
STRICTEST_OBJECTIVE_MS = 500.0  # the least aim of a class
FLEET_FILE = b"""
[overload]
dwell = 2.0
preempts = 6
[[tier]]
name = "firm"
[[tier]]
name = "standard"
[[tier]]
name = "interruptible"
[[contract]]
tenant = "mill"
tier = "firm"
rate = 60
[[contract]]
tenant = "town"
tier = "standard"
rate = 60
floor = 0.2
[[contract]]
tenant = "bulk"
tier = "interruptible"
rate = 60
floor = 0.5
"""
PREEMPTIONS_PER_SECOND = 6.0  # ``preempts`` in the file
TENANTS = ("mill", "town", "bulk")
EDITED_TENANTS = TENANTS[:2]


class FakeReplicatedState:
    """The replicated store as one fresh router sees it."""

    staleness_bound_ms = STALENESS_BOUND_MS

    def __init__(self) -> None:
        self.entry_by_name = dict[tuple[EntryKind, str], ReplicatedEntry]()

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        return tuple(entry for (each, _), entry in sorted(self.entry_by_name.items()) if each is kind)

    def is_fresh(self, now_ms: float) -> bool:
        return True

    def fresh_since(self, now_ms: float) -> float | None:
        return 0.0


class FakeEscrow:
    """The escrow as one router sees it: each total is shared out by what the routers requested."""

    def __init__(
        self, router_index: int, requests: dict[str, dict[int, int]], totals: dict[str, int]
    ) -> None:
        self.router_index, self.requests, self.totals = router_index, requests, totals

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        self.totals[name] = total

    def available(self, now_ms: float, name: str) -> int:
        requests = self.requests[name]
        return self.totals.get(name, 0) * requests.get(self.router_index, 0) // max(1, sum(requests.values()))

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        raise AssertionError("rates are not spent")

    def request(self, now_ms: float, name: str, amount: int) -> None:
        self.requests[name][self.router_index] = amount + 1


@dataclasses.dataclass(eq=False)
class SimulatedCall:
    request_id: int
    router_index: int
    tenant_index: int
    class_index: int
    arrived_at_ms: float
    work_ms: float
    retry_identity: int
    is_client_retry: bool = False
    priority: CallPriority = NO_PRIORITY
    worker_id: int | None = None
    started_at_ms: float | None = None
    ended_at_ms: float | None = None
    answered_at_ms: float | None = None


class Preemption(NamedTuple):
    at_ms: float
    call: SimulatedCall
    was_running: bool


class SimulatedRouter:
    def __init__(self, fleet: SimulatedFleet, router_index: int) -> None:
        self.fleet, self.router_index, self.replicated_state = fleet, router_index, FakeReplicatedState()
        self.rng, self.overload = random.Random(fleet.seed * 100 + router_index), OverloadEstimator()
        for kind, name, body in contract_entries.entries_from_config(parse_fleet_config(fleet.fleet_file)):
            entry = Entry(kind, name, Version(1, 0, 0), body)
            self.replicated_state.entry_by_name[kind, name] = ReplicatedEntry(
                entry, -2 * STALENESS_BOUND_MS, -STALENESS_BOUND_MS - 1
            )
        tenants = tuple(Tenant(n, 0.3, None) for n in TENANTS)
        router_settings = settings(
            classes=CLASSES, tenants=tenants, router_count=ROUTER_COUNT, router_index=router_index
        )
        self.component = component.PriorityComponent(
            self.replicated_state,
            FakeEscrow(router_index, fleet.requests, fleet.pool_totals),
            router_settings,
            fleet.seed + router_index,
        )
        self.component.on_notification(
            0.0, PeersChanged(tuple(n for n in range(ROUTER_COUNT) if n != router_index), ROUTER_COUNT, {})
        )
        self.in_flight: dict[int, list[SimulatedCall]] = {w: [] for w in range(WORKER_COUNT)}
        self.queue: deque[SimulatedCall] = deque()
        self.level_history: list[tuple[float, int]] = []

    def on_arrival(self, now_ms: float, call: SimulatedCall) -> None:
        request_class = CLASSES[call.class_index]
        value = request_class.priority_weight / MEAN_WORK_MS[call.class_index]
        values = [each.priority_weight / work_ms for each, work_ms in zip(CLASSES, MEAN_WORK_MS, strict=True)]
        mean_value = sum(values) / len(CLASSES)
        mean_objective_ms = sum(each.latency_objective_ms for each in CLASSES) / len(CLASSES)
        self.overload.on_call(now_ms)
        objective_ms = math.sqrt(request_class.latency_objective_ms * mean_objective_ms * value / mean_value)
        utilization = self.overload.queueing_ms(now_ms, self.overload.total_in_flight) / (
            OVERLOAD_START * mean_objective_ms
        )
        call.priority = self.component.on_arrival(
            now_ms, call.tenant_index, value, utilization, call.is_client_retry
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
            self.component.record_rejected(now_ms, call.priority, call.is_client_retry)
            return
        worker_id = min(self.in_flight, key=lambda w: (len(self.in_flight[w]), self.rng.random()))
        if self.fleet.uses_priorities:
            worker_id = self.preempt(now_ms, call, worker_id)
        if len(self.in_flight[worker_id]) < self.fleet.max_in_flight_per_worker:
            self.send(now_ms, call, worker_id)
        else:
            self.queue.append(call)

    def estimated_shed_probability(self, now_ms: float, objective_ms: float) -> float:
        forced = self.fleet.forced_shed_probability.get(self.router_index, 0.0)
        return forced or self.overload.shed_probability(now_ms, objective_ms, range(WORKER_COUNT))

    def expected_wait_ms(self, worker_id: int, fewer: int) -> float:
        """Until a slot is free there, if the other routers' calls are like these."""
        calls_ahead = ROUTER_COUNT * len(self.in_flight[worker_id]) - fewer + 1 - CONCURRENCY
        return max(0.0, calls_ahead * 200.0 / CONCURRENCY)

    def preempt(self, now_ms: float, call: SimulatedCall, worker_id: int) -> int:
        service_time_ms = MEAN_WORK_MS[call.class_index]
        queue_wait_ms = len(self.queue) * 1000.0 * ROUTER_COUNT / CAPACITY_PER_SECOND
        wait_ms = queue_wait_ms + self.expected_wait_ms(worker_id, 0)
        wait_by_worker_ms = {each: self.expected_wait_ms(each, 1) for each in self.in_flight}
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
        queued = [
            (call, CallStage.QUEUED, queued_worker_id, 30.0 * position, 0.0)
            for position, call in enumerate(self.queue)
        ]
        for call, stage, candidate_worker_id, time_to_free_ms, consumed_work_ms in itertools.chain(
            queued, self.running_candidates()
        ):
            request_class = CLASSES[call.class_index]
            yield PreemptionCandidate(
                request_id=call.request_id,
                retry_identity=call.retry_identity,
                priority=call.priority,
                stage=stage,
                idempotency=request_class.idempotency,
                deduplication_scope=DeduplicationScope.ALL,
                priority_weight=request_class.priority_weight,
                arrived_at_ms=call.arrived_at_ms,
                worker_id=candidate_worker_id,
                time_to_free_ms=time_to_free_ms,
                deduplication_remaining_ms=request_class.deduplication_window_ms,
                consumed_work_ms=consumed_work_ms,
                is_client_retry=call.is_client_retry,
            )

    def running_candidates(self) -> Iterator[tuple[SimulatedCall, CallStage, int, float, float]]:
        for worker_id, calls in self.in_flight.items():
            for call in calls:
                work_ms = MEAN_WORK_MS[call.class_index]
                yield call, CallStage.WRITTEN, worker_id, work_ms * 0.7, work_ms * 0.3

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
            now_ms, AttemptCompleted(call.worker_id, 0, call.tenant_index, call.work_ms, Outcome.OK, True)
        )
        while self.queue and len(self.in_flight[call.worker_id]) < self.fleet.max_in_flight_per_worker:
            queued_call = self.queue.popleft()
            if now_ms - queued_call.arrived_at_ms < CLASSES[queued_call.class_index].deadline_ms / 2:
                self.send(now_ms, queued_call, call.worker_id)


# The time that is measured: after the onset of 6 s, which docs/design/tiers.md reports by itself.
MEASURED_FROM_MS, MEASURED_UNTIL_MS = 14_000.0, 44_000.0
ArrivalRates = Callable[[float], tuple[float, float, float]]


class SimulatedFleet:
    """Routers, workers and clients on virtual time (ms).

    ``arrival_rates``: calls per second of each tenant by time; ``never_sheds``: all calls wait, none is
    rejected for overload; ``hides_queued_workers``: routers don't know whose slot a queued call gets next.
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
        self.seed, self.uses_priorities, self.rng = seed, uses_priorities, random.Random(seed)
        self.max_in_flight_per_worker = 1 if hides_queued_workers else MAX_IN_FLIGHT_PER_WORKER
        self.hides_queued_workers, self.fleet_file = hides_queued_workers, fleet_file
        self.never_sheds = never_sheds
        self.requests: dict[str, dict[int, int]] = defaultdict(dict)
        self.pool_totals: dict[str, int] = {}
        self.forced_shed_probability: dict[int, float] = {}  # by router, in place of its own estimate
        self.partitioned: set[int] = set()
        self.calls: dict[int, SimulatedCall] = {}
        self.preemptions: list[Preemption] = []
        self.wasted_work_ms = self.completed_work_ms = 0.0  # as the workers recorded it
        self.queues: list[deque[SimulatedCall]] = [deque() for _ in range(WORKER_COUNT)]
        self.running: list[set[SimulatedCall]] = [set() for _ in range(WORKER_COUNT)]
        self.scheduled: list[tuple[float, int, Callable[[float], None]]] = []
        self.event_count = 0
        self.routers = [SimulatedRouter(self, n) for n in range(ROUTER_COUNT)]
        self.arrival_rates = arrival_rates
        for router in self.routers:
            self.schedule(router.rng.uniform(0.0, 250.0), functools.partial(self.on_tick, router))
        for tenant in range(3):
            self.schedule(0.0, functools.partial(self.on_arrival, tenant, random.Random(seed * 7 + tenant)))

    def schedule(self, at_ms: float, action: Callable[[float], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.scheduled, (at_ms, self.event_count, action))

    def run(self, until: float) -> SimulatedFleet:
        while self.scheduled[0][0] < until:
            now_ms, _, action = heapq.heappop(self.scheduled)
            action(now_ms)
        return self

    def on_arrival(self, tenant_index: int, rng: random.Random, now_ms: float) -> None:
        rate = self.arrival_rates(now_ms)[tenant_index]
        if now_ms > 0.0 and rate > 0.0:
            class_index, router_index = rng.randrange(len(CLASSES)), rng.randrange(ROUTER_COUNT)
            request_id = len(self.calls)
            work_ms = rng.expovariate(1 / MEAN_WORK_MS[class_index])
            call = self.calls[request_id] = SimulatedCall(
                request_id, router_index, tenant_index, class_index, now_ms, work_ms, request_id
            )
            self.routers[router_index].on_arrival(now_ms, call)
        next_at_ms = now_ms + rng.expovariate(max(rate, 1.0) / 1000.0)
        self.schedule(next_at_ms, functools.partial(self.on_arrival, tenant_index, rng))

    def on_client_retry(self, original: SimulatedCall, now_ms: float) -> None:
        """Its client comes back, to the same router, with a marked retry."""
        request_id = len(self.calls)
        call = self.calls[request_id] = dataclasses.replace(
            original,
            request_id=request_id,
            arrived_at_ms=now_ms,
            is_client_retry=True,
            worker_id=None,
            started_at_ms=None,
            ended_at_ms=None,
        )
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

    # What the checks read.

    def value_served(
        self,
        tenant_index: int | None,
        from_ms: float = MEASURED_FROM_MS,
        until_ms: float = MEASURED_UNTIL_MS,
    ) -> float:
        """The sum of the priority weights of calls that came in this time; None: of all tenants."""
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


def double_capacity(now_ms: float) -> tuple[float, float, float]:
    """Room at first, from 8 s on twice the fleet's capacity; the first tenant the same all the time."""
    return (45.0, 120.0, 155.0) if now_ms > 8000.0 else (45.0, 15.0, 20.0)


def burst(now_ms: float) -> tuple[float, float, float]:
    """2.4 times for 7 s, which the fleet can bear."""
    factor = 2.4 if 10_000.0 < now_ms < 17_000.0 else 1.0
    return (18.0 * factor, 18.0 * factor, 18.0 * factor)


def test_at_twice_the_capacity_the_first_tier_is_served_and_little_value_is_lost() -> None:
    seed = 1
    until_ms = MEASURED_UNTIL_MS + 1000.0
    tiered = SimulatedFleet(seed, double_capacity).run(until_ms)
    plain = SimulatedFleet(seed, double_capacity, uses_priorities=False).run(until_ms)
    alone = SimulatedFleet(seed, lambda now_ms: (45.0, 15.0, 20.0)).run(until_ms)
    assert tiered.value_served(0) >= 0.98 * alone.value_served(0)
    assert tiered.value_served(None) >= 0.97 * plain.value_served(None)
    assert plain.value_served(0) < 0.7 * alone.value_served(0), "else nothing is shown"
    assert tiered.wasted_work_ms <= 0.03 * tiered.completed_work_ms


# Checks: each runs a fleet and says what is wrong, or nothing.


def _local_overload(seed: int) -> str | None:
    """One router is overloaded by itself, one is partitioned: that is no overload of the cluster."""
    fleet = SimulatedFleet(seed, lambda now_ms: (20.0, 20.0, 20.0))
    fleet.forced_shed_probability[2] = 0.8
    fleet.routers[2].component.pressure_estimator.pressure = lambda now_ms: 3.0  # type: ignore[method-assign]
    fleet.partitioned.add(4)
    fleet.routers[4].component.pressure_estimator.pressure = lambda now_ms: 3.0  # type: ignore[method-assign]
    return "overload where there is none" if fleet.run(30_000.0).highest_level() else None


def _short_burst(seed: int) -> str | None:
    fleet = SimulatedFleet(seed, burst).run(25_000.0)
    lost = sum(call.answered_at_ms is None for call in fleet.calls.values() if call.arrived_at_ms < 24_000.0)
    assert lost < 0.04 * len(fleet.calls), "the fleet must be able to bear it"
    return "overload where there is none" if fleet.highest_level() else None


def _queued_preempted(seed: int) -> str | None:
    """Where all calls wait and none is rejected, preemption is all there is: here of queued calls."""
    return _check_preemptions(SimulatedFleet(seed, double_capacity, never_sheds=True), False)


def _running_preempted(seed: int) -> str | None:
    """The same of running calls, where it is not known whose slot a queued call gets next."""
    return _check_preemptions(
        SimulatedFleet(seed, double_capacity, never_sheds=True, hides_queued_workers=True), True
    )


def _check_preemptions(fleet: SimulatedFleet, were_running: bool) -> str | None:
    until_ms = 40_000.0
    preemptions = fleet.run(until_ms).preemptions
    if len(preemptions) < 60 or sum(each.was_running == were_running for each in preemptions) < 30:
        return f"too few calls are preempted to show anything: {len(preemptions)}"
    if any(
        each.was_running and CLASSES[each.call.class_index].idempotency is Idempotency.NOT_IDEMPOTENT
        for each in preemptions
    ):
        return "a written call that must not run twice was preempted"
    if max(Counter(each.call.retry_identity for each in preemptions).values()) > 1:
        return "one call was preempted twice"
    if fleet.wasted_work_ms > 0.03 * fleet.completed_work_ms:
        return f"{fleet.wasted_work_ms / fleet.completed_work_ms:.3f} of the work is wasted"
    spans = [(preemptions[0].at_ms, until_ms), *((from_ms, 2000.0) for from_ms in range(9000, 38_000, 500))]
    for from_ms, span_ms in spans:
        count = sum(from_ms <= each.at_ms < from_ms + span_ms for each in preemptions)
        budget = PREEMPTIONS_PER_SECOND * (min(span_ms, until_ms - from_ms) / 1000.0 + 1.0) + ROUTER_COUNT
        if count > budget:
            return f"{count} preempted within {span_ms:.0f} ms"
    return None


def _floor_held(seed: int) -> str | None:
    """All that may be preempted is one small tenant's, and all others' calls ask for it."""
    fleet_file = FLEET_FILE.replace(b"rate = 60", b"rate = 900").replace(b"preempts = 6", b"preempts = 60")
    fleet = SimulatedFleet(
        seed,
        lambda now_ms: (290.0, 0.0, 8.0) if now_ms > 5000.0 else (30.0, 0.0, 8.0),
        never_sheds=True,
        fleet_file=fleet_file,
    )
    fleet.run(22_000.0)
    calls = sum(
        call.tenant_index == 2 and call.arrived_at_ms > 12_000.0
        for call in fleet.calls.values()
        if not call.is_client_retry
    )
    preempted = sum(each.call.arrived_at_ms > 12_000.0 for each in fleet.preemptions)
    assert preempted > 0.1 * calls, "else nothing is shown"
    return f"{preempted} of {calls} preempted with a floor of a half" if preempted > 0.5 * calls else None


def _tenant_floods(seed: int) -> str | None:
    """The first tenant floods far over its quota: another's calls within quota stay served."""
    until_ms = MEASURED_UNTIL_MS - 1000.0  # calls that came later may not have ended
    flooded = SimulatedFleet(
        seed, lambda now_ms: (250.0, 45.0, 5.0) if now_ms > 8000.0 else (45.0, 45.0, 5.0)
    )
    alone = SimulatedFleet(seed, lambda now_ms: (0.0, 45.0, 0.0))
    value = flooded.run(MEASURED_UNTIL_MS).value_served(1, until_ms=until_ms)
    served_share = value / alone.run(MEASURED_UNTIL_MS).value_served(1, until_ms=until_ms)
    return f"{served_share:.2f} of a tenant's value within quota is served" if served_share < 0.6 else None


def _level_flaps(seed: int) -> str | None:
    """Pressure that goes slowly up and down about the onset, then fast and far: the level must not follow."""
    machine, rng, changes = OverloadStateMachine(), random.Random(seed), 0
    parameters = OverloadParameters(1.1, 0.9, 2000.0, 6000)
    for step in range(2000):
        now_ms, previous_level = step * 250.0, machine.level
        slow_wave = 1.1 + 0.15 * math.sin(now_ms / 3000.0)
        machine.update(now_ms, slow_wave if step < 1000 else rng.uniform(0.7, 1.5), parameters)
        changes += machine.level != previous_level
    return f"{changes} changes of level" if changes != 1 else None


class PullingReplicatedState(FakeReplicatedState):
    """A store that pulls: its entries, when each router last confirmed, and who is known to hold what."""

    def __init__(self, router_index: int, router_count: int) -> None:
        super().__init__()
        self.router_index, self.router_count = router_index, router_count
        self.confirmed_at_ms = [-math.inf] * router_count
        self.holders: dict[Entry, set[int]] = defaultdict(set)

    def pull(self, now_ms: float, other: PullingReplicatedState) -> None:
        self.confirmed_at_ms[self.router_index] = other.confirmed_at_ms[other.router_index] = now_ms
        self.confirmed_at_ms = [
            max(pair) for pair in zip(self.confirmed_at_ms, other.confirmed_at_ms, strict=True)
        ]
        for entry, holders in other.holders.items():
            self.holders[entry] |= holders
        for held in other.entry_by_name.values():
            self.take(now_ms, held.entry)
            self.holders[held.entry] |= {self.router_index, other.router_index}
        self.settle(now_ms)

    def take(self, now_ms: float, entry: Entry) -> None:
        previous = self.entry_by_name.get((entry.kind, entry.name))
        if previous is None or previous.entry.version < entry.version:
            self.entry_by_name[entry.kind, entry.name] = ReplicatedEntry(entry, now_ms, None)
            self.holders[entry].add(self.router_index)

    def settle(self, now_ms: float) -> None:
        for key, held in self.entry_by_name.items():
            if held.replicated_at_ms is None and 2 * len(self.holders[held.entry]) > self.router_count:
                self.entry_by_name[key] = dataclasses.replace(held, replicated_at_ms=now_ms)

    def is_fresh(self, now_ms: float) -> bool:
        lately = sum(
            at > now_ms - (STALENESS_BOUND_MS - 500.0) or n == self.router_index
            for n, at in enumerate(self.confirmed_at_ms)
        )
        return 2 * lately > self.router_count


def _contracts_edited(seed: int) -> str | None:
    """Two contracts are edited again and again, while pulls are lost and routers partitioned, one way too.

    Does one tenant go before the other at one router, and after it at another, for longer than the bound?
    """
    count, step_count, rng = 5, 4000, random.Random(seed)
    states = [PullingReplicatedState(router_index, count) for router_index in range(count)]
    contracts = [EffectiveContracts(state) for state in states]
    for kind, name, body in contract_entries.entries_from_config(parse_fleet_config(FLEET_FILE)):
        for state in states:
            state.take(0.0, Entry(kind, name, Version(0, 0, 0), body))
    deaf, mute = set[int](), set[int]()
    longest_ms, act_count, contradicts_since = 0.0, 0, dict[tuple[int, int], float]()
    for step in range(step_count):
        now_ms = step * 100.0
        if step % 200 == 100:  # every 20 s one is partitioned, and one is not heard
            deaf, mute = {rng.randrange(count)}, {rng.randrange(count)}
        for router_index in range(count):
            peer_index = rng.randrange(count)
            is_lost = rng.random() >= 0.2 or router_index == peer_index
            if not is_lost and router_index not in deaf and peer_index not in deaf | mute:
                states[router_index].pull(now_ms, states[peer_index])
        if step % 40 == 20 and step > 200:
            author = rng.choice([*mute, rng.randrange(count)])
            _edit_contract(now_ms, states[author], rng)
        signs = [_preemption_sign(now_ms, each) for each in contracts]
        act_count += sum(map(abs, signs))
        for first, second in itertools.product(range(count), range(count)):
            if signs[first] * signs[second] < 0:
                longest_ms = max(longest_ms, now_ms - contradicts_since.setdefault((first, second), now_ms))
            else:
                contradicts_since.pop((first, second), None)
    if act_count < 0.1 * step_count * count:
        return f"only {act_count} acts: nothing is shown"
    return f"a contradiction for {longest_ms:.0f} ms" if longest_ms > STALENESS_BOUND_MS else None


def _edit_contract(now_ms: float, author: PullingReplicatedState, rng: random.Random) -> None:
    name = rng.choice(EDITED_TENANTS)
    terms = contract_entries.ContractTerms(rng.choice(("firm", "standard", "interruptible")), 60_000, 0)
    counter = author.entry_by_name[EntryKind.CONTRACT, name].entry.version.counter + 1
    version = Version(counter, author.router_index, 0)
    author.take(now_ms, Entry(EntryKind.CONTRACT, name, version, msgspec.msgpack.encode(terms)))


def _preemption_sign(now_ms: float, contracts: EffectiveContracts) -> int:
    """1: the first of ``EDITED_TENANTS`` goes before the second here; -1: the other way; 0: neither."""
    contracts.refresh(now_ms)
    first, second = (assign_priority(name, contracts.for_tenant(name), True) for name in EDITED_TENANTS)
    return first.outranks(second) - second.outranks(first)


CHECKS = {
    check.__name__: check
    for check in (
        _local_overload,
        _short_burst,
        _queued_preempted,
        _running_preempted,
        _floor_held,
        _tenant_floods,
        _level_flaps,
        _contracts_edited,
    )
}


@pytest.mark.parametrize("check", CHECKS.values(), ids=CHECKS)
def test_checks_find_no_violation(check: Callable[[int], str | None]) -> None:
    assert check(3) is None


def _can_preempt_twice(
    self: component.PriorityComponent, now_ms: float, candidate: PreemptionCandidate
) -> bool:
    return self.usage.can_reject(
        now_ms,
        candidate.priority.tenant_name,
        self.contracts.for_tenant(candidate.priority.tenant_name).floor_permille,
    )


def _ignores_retry_mark(
    claim: PreemptionClaim, candidates: list[PreemptionCandidate], limits: preemption.PreemptionLimits
) -> PreemptionCandidate | None:
    return preemption.choose_victim(
        claim, [dataclasses.replace(view, is_client_retry=False) for view in candidates], limits
    )


def _own_pressure_only(self: pressure_gossip.PressureGossip, now_ms: float) -> float | None:
    return self.reports[self.router_index].pressure if self.router_index in self.reports else None


def _greatest_value(weighted_values: list[tuple[float, float]]) -> float:
    return max(value for value, _ in weighted_values)


def _no_hysteresis(self: OverloadStateMachine, pressure: float, parameters: OverloadParameters) -> int:
    return (
        1
        if pressure >= parameters.onset and not self.level
        else -1
        if pressure < parameters.onset and self.level
        else 0
    )


def _no_dwell(
    self: OverloadStateMachine, now_ms: float, pressure: float, parameters: OverloadParameters
) -> int:
    self.level += self._requested_step(pressure, parameters)
    return self.level


def _newest_body_only(
    self: BodyHistory[contract_entries.ContractTerms], now_ms: float, staleness_bound_ms: float
) -> tuple[contract_entries.ContractTerms, ...]:
    return (self.pending[-1].value,) if self.pending else (self.certain_body,) if self.certain_body else ()


def _unlimited_budget(self: preemption_budget.PreemptionBudget, now_ms: float, may_preempt: bool) -> None:
    self.bucket.tokens = 9.0


DEFECTS: dict[str, tuple[str, list[tuple[object, str, object]]]] = {
    "floor ignored": ("_floor_held", [(usage.TenantUsage, "can_reject", lambda *_: True)]),
    "written confirm preempted": ("_running_preempted", [(preemption, "is_safe_to_reject", lambda *_: True)]),
    "rate per router": (
        "_tenant_floods",
        [(FakeEscrow, "available", lambda self, now_ms, name: self.totals.get(name, 0))],
    ),
    "use beyond contract not told apart": (
        "_tenant_floods",
        [(usage.QuotaBucket, "try_take", lambda self: True)],
    ),
    "acted at once": (
        "_contracts_edited",
        [
            (BodyHistory, "effective_bodies", _newest_body_only),
            (BodyHistory, "is_certain", lambda self: True),
        ],
    ),
    "own view alone": (
        "_local_overload",
        [(pressure_gossip.PressureGossip, "fleet_pressure", _own_pressure_only)],
    ),
    "the greatest pressure told": (
        "_local_overload",
        [(pressure_gossip, "_lower_weighted_median", _greatest_value)],
    ),
    "same call twice": (
        "_queued_preempted",
        [
            (component.PriorityComponent, "_can_preempt", _can_preempt_twice),
            (component, "choose_victim", _ignores_retry_mark),
        ],
    ),
    "no hysteresis": ("_level_flaps", [(OverloadStateMachine, "_requested_step", _no_hysteresis)]),
    "no dwell": ("_level_flaps", [(OverloadStateMachine, "update", _no_dwell)]),
    "no budget": ("_running_preempted", [(preemption_budget.PreemptionBudget, "_refill", _unlimited_budget)]),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_injected_defects_are_found(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    check, changes = DEFECTS[defect]
    for owner, name, value in changes:
        monkeypatch.setattr(owner, name, value)
    assert CHECKS[check](3) is not None
