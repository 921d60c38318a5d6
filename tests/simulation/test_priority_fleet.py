"""Contract tiers in a fleet on virtual time: routers with the real parts, workers with lanes and queues.

The judge reads the clients' and workers' books, which are kept here, and nothing that the parts claim.
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
from typing import Any

import msgspec
import pytest

from cedarthread.components.interface import (
    AttemptCompleted,
    Entry,
    EntryKind,
    PeersChanged,
    ReplicatedEntry,
    Version,
)
from cedarthread.fleet_config import parse_fleet_config
from cedarthread.model.actions import SendToPeer
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
from cedarthread.priority.call_priority import NO_PRIORITY, CallPriority, assign_priority
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
TENANTS = ("mill", "town", "bulk")


class FakeReplicatedState:
    """A register as one router sees it: what it holds; it is fresh."""

    staleness_bound_ms = STALENESS_BOUND_MS

    def __init__(self) -> None:
        self.entry_by_name = dict[tuple[EntryKind, str], ReplicatedEntry]()

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        return tuple(held for (one, _), held in sorted(self.entry_by_name.items()) if one is kind)

    def is_fresh(self, now: float) -> bool:
        return True

    def fresh_since(self, now: float) -> float | None:
        return 0.0


class FakeEscrow:
    """Escrow as one router sees it: parts of each total by what the routers want."""

    def __init__(
        self, router_index: int, requests: dict[str, dict[int, int]], totals: dict[str, int]
    ) -> None:
        self.router_index, self.requests, self.totals = router_index, requests, totals

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        self.totals[name] = total

    def available(self, now: float, name: str) -> int:
        requests = self.requests[name]
        return self.totals.get(name, 0) * requests.get(self.router_index, 0) // max(1, sum(requests.values()))

    def consume(self, now: float, name: str, amount: int = 1) -> bool:
        raise AssertionError("rates are not spent")

    def request(self, now: float, name: str, amount: int) -> None:
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

    def on_arrival(self, now: float, call: SimulatedCall) -> None:
        request_class, value = (
            CLASSES[call.class_index],
            CLASSES[call.class_index].priority_weight / MEAN_WORK_MS[call.class_index],
        )
        mean_value = sum(k.priority_weight / w for k, w in zip(CLASSES, MEAN_WORK_MS, strict=True)) / 3
        mean_objective_ms = sum(k.latency_objective_ms for k in CLASSES) / 3
        self.overload.on_call(now)
        objective_ms = math.sqrt(request_class.latency_objective_ms * mean_objective_ms * value / mean_value)
        utilization = self.overload.queueing_ms(now, self.overload.total_in_flight) / (
            OVERLOAD_START * mean_objective_ms
        )
        call.priority = self.component.on_arrival(
            now, call.tenant_index, value, utilization, call.is_client_retry
        )
        own_shed_probability = self.fleet.forced_shed_probability.get(
            self.router_index, 0.0
        ) or self.overload.shed_probability(now, objective_ms, range(WORKER_COUNT))
        strictest_shed_probability = self.fleet.forced_shed_probability.get(
            self.router_index, 0.0
        ) or self.overload.shed_probability(now, STRICTEST_OBJECTIVE_MS, range(WORKER_COUNT))
        shed_probability = (
            self.component.shed_probability(now, call.priority, strictest_shed_probability, value)
            if self.fleet.uses_priorities
            else None
        )
        if shed_probability is None:
            shed_probability = min(0.95, own_shed_probability * math.sqrt(mean_value / value))
        if self.rng.random() < shed_probability and not self.fleet.never_sheds:
            return self.component.record_rejected(now, call.priority, call.is_client_retry)
        worker_id = min(self.in_flight, key=lambda w: (len(self.in_flight[w]), self.rng.random()))
        if self.fleet.uses_priorities:
            worker_id = self.preempt(now, call, worker_id)
        if len(self.in_flight[worker_id]) < self.fleet.max_in_flight_per_worker:
            self.send(now, call, worker_id)
        else:
            self.queue.append(call)

    def expected_wait_ms(self, worker_id: int, fewer: int) -> float:
        """ms till a lane is free there, were the others' calls like these."""
        calls_ahead = ROUTER_COUNT * len(self.in_flight[worker_id]) - fewer + 1 - CONCURRENCY
        return max(0.0, calls_ahead * 200.0 / CONCURRENCY)

    def preempt(self, now: float, call: SimulatedCall, worker_id: int) -> int:
        service_time_ms = MEAN_WORK_MS[call.class_index]
        queue_wait_ms = len(self.queue) * 1000.0 * ROUTER_COUNT / CAPACITY_PER_SECOND
        wait_ms, wait_by_worker_ms = (
            queue_wait_ms + self.expected_wait_ms(worker_id, 0),
            {w: self.expected_wait_ms(w, 1) for w in self.in_flight},
        )
        claim = PreemptionClaim(
            call.priority,
            service_time_ms,
            CLASSES[call.class_index].latency_objective_ms,
            wait_ms,
            wait_by_worker_ms,
        )
        request_id = self.component.choose_victim(now, claim, self.candidates(worker_id))
        if request_id is None:
            return worker_id
        victim = self.fleet.calls[request_id]
        self.fleet.preemptions.append((now, victim, victim.worker_id is not None))
        self.fleet.schedule(now + 1000.0, functools.partial(self.fleet.on_client_retry, victim))
        if victim.worker_id is None:
            self.queue.remove(victim)
            return worker_id
        freed_worker_id = victim.worker_id
        self.in_flight[freed_worker_id].remove(victim)
        self.overload.on_attempt_ended(now, freed_worker_id, False)
        self.fleet.cancel(now, victim)
        return freed_worker_id

    def candidates(self, worker_id: int) -> Iterator[PreemptionCandidate]:
        queued_worker_id = (
            None if self.fleet.hides_queued_workers else worker_id
        )  # blind: whose lane they get next is not known
        queued = [
            (call, CallStage.QUEUED, queued_worker_id, 30.0 * n, 0.0) for n, call in enumerate(self.queue)
        ]
        for call, stage, candidate_worker_id, time_to_free_ms, spent_work_ms in itertools.chain(
            queued, self.running_candidates()
        ):
            request_class = CLASSES[call.class_index]
            identity = (
                call.request_id,
                call.retry_identity,
                call.priority,
                stage,
                request_class.idempotency,
                DeduplicationScope.ALL,
                request_class.priority_weight,
                call.arrived_at_ms,
            )
            yield PreemptionCandidate(
                *identity,
                candidate_worker_id,
                time_to_free_ms,
                request_class.deduplication_window_ms,
                spent_work_ms,
                call.is_client_retry,
            )

    def running_candidates(self) -> Iterator[tuple[SimulatedCall, CallStage, int, float, float]]:
        for worker_id, calls in self.in_flight.items():
            for call in calls:
                yield (
                    call,
                    CallStage.WRITTEN,
                    worker_id,
                    MEAN_WORK_MS[call.class_index] * 0.7,
                    MEAN_WORK_MS[call.class_index] * 0.3,
                )

    def on_message(self, sender: int, data: bytes, now: float) -> None:
        self.component.on_message(now, sender, data)

    def send(self, now: float, call: SimulatedCall, worker_id: int) -> None:
        call.worker_id = worker_id
        self.in_flight[worker_id].append(call)
        self.overload.on_attempt_started(worker_id)
        self.fleet.enqueue(now, call)

    def on_completed(self, now: float, call: SimulatedCall) -> None:
        assert call.worker_id is not None
        self.in_flight[call.worker_id].remove(call)
        self.overload.on_attempt_ended(now, call.worker_id, True)
        call.answered_at_ms = now
        self.component.on_notification(
            now, AttemptCompleted(call.worker_id, 0, call.tenant_index, call.work_ms, Outcome.OK, True)
        )
        while self.queue and len(self.in_flight[call.worker_id]) < self.fleet.max_in_flight_per_worker:
            queued_call = self.queue.popleft()
            if now - queued_call.arrived_at_ms < CLASSES[queued_call.class_index].deadline_ms / 2:
                self.send(now, queued_call, call.worker_id)


ArrivalRates = Callable[[float], tuple[float, float, float]]


class SimulatedFleet:
    """``rates``: calls a second of each tenant by time (ms)."""

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
        self.max_in_flight_per_worker, self.hides_queued_workers, self.fleet_file = (
            1 if hides_queued_workers else MAX_IN_FLIGHT_PER_WORKER,
            hides_queued_workers,
            fleet_file,
        )
        self.never_sheds = never_sheds  # patient: nothing is refused for a jam, all wait
        self.requests: dict[str, dict[int, int]] = defaultdict(dict)
        self.pool_totals: dict[str, int] = {}
        self.forced_shed_probability: dict[int, float] = {}  # routers that are jammed by themselves
        self.partitioned: set[int] = set()
        self.calls: dict[int, SimulatedCall] = {}
        self.preemptions: list[tuple[float, SimulatedCall, bool]] = []  # when, whom, and was it written
        self.wasted_work_ms = self.completed_work_ms = 0.0  # ms of work, by the workers' books
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
            now, _, action = heapq.heappop(self.scheduled)
            action(now)
        return self

    def on_arrival(self, tenant_index: int, rng: random.Random, now: float) -> None:
        rate = self.arrival_rates(now)[tenant_index]
        if now > 0.0 and rate > 0.0:
            class_index, router_index, request_id = (
                rng.randrange(3),
                rng.randrange(ROUTER_COUNT),
                len(self.calls),
            )
            work_ms = rng.expovariate(1 / MEAN_WORK_MS[class_index])
            call = self.calls[request_id] = SimulatedCall(
                request_id, router_index, tenant_index, class_index, now, work_ms, request_id
            )
            self.routers[router_index].on_arrival(now, call)
        next_at_ms = now + rng.expovariate(max(rate, 1.0) / 1000.0)
        self.schedule(next_at_ms, functools.partial(self.on_arrival, tenant_index, rng))

    def on_client_retry(self, original: SimulatedCall, now: float) -> None:
        """Its client comes back, to the same router, with a marked repeat."""
        request_id = len(self.calls)
        fresh: dict[str, Any] = {
            "is_client_retry": True,
            "worker_id": None,
            "started_at_ms": None,
            "ended_at_ms": None,
        }
        call = self.calls[request_id] = dataclasses.replace(
            original, request_id=request_id, arrived_at_ms=now, **fresh
        )
        self.routers[call.router_index].on_arrival(now, call)

    def on_tick(self, router: SimulatedRouter, now: float) -> None:
        for message in router.component.on_tick(now):
            if isinstance(message, SendToPeer):
                assert len(message.data) <= 256 and message.peer_index is not None
                if (
                    self.rng.random() < 0.9
                    and router.router_index not in self.partitioned
                    and message.peer_index not in self.partitioned
                ):
                    deliver = functools.partial(
                        self.routers[message.peer_index].on_message, router.router_index, message.data
                    )
                    self.schedule(now + self.rng.uniform(2, 60), deliver)
        router.level_history.append((now, router.component.overload_level(now)))
        self.schedule(now + 250.0, functools.partial(self.on_tick, router))

    # Workers.

    def enqueue(self, now: float, call: SimulatedCall) -> None:
        assert call.worker_id is not None
        self.queues[call.worker_id].append(call)
        self.start_queued(now, call.worker_id)

    def start_queued(self, now: float, worker_id: int) -> None:
        while self.queues[worker_id] and len(self.running[worker_id]) < CONCURRENCY:
            call = self.queues[worker_id].popleft()
            call.started_at_ms = now
            self.running[worker_id].add(call)
            self.schedule(now + call.work_ms, functools.partial(self.finish, call))

    def finish(self, call: SimulatedCall, now: float) -> None:
        assert call.worker_id is not None
        if call.ended_at_ms is None:
            call.ended_at_ms = now
            self.completed_work_ms += call.work_ms
            self.running[call.worker_id].discard(call)
            self.start_queued(now, call.worker_id)
            self.routers[call.router_index].on_completed(now, call)

    def cancel(self, now: float, call: SimulatedCall) -> None:
        assert call.worker_id is not None
        call.ended_at_ms = now
        if call in self.running[call.worker_id]:
            self.running[call.worker_id].discard(call)
            assert call.started_at_ms is not None
            self.wasted_work_ms += now - call.started_at_ms
        else:
            self.queues[call.worker_id].remove(call)
        self.start_queued(now, call.worker_id)

    # The judge.

    def value_served(self, tenant_index: int | None, from_ms: float, until_ms: float) -> float:
        total = 0.0
        for call in self.calls.values():
            if (
                from_ms <= call.arrived_at_ms < until_ms
                and tenant_index in (None, call.tenant_index)
                and call.answered_at_ms is not None
            ):
                request_class, latency_ms = (
                    CLASSES[call.class_index],
                    call.answered_at_ms - call.arrived_at_ms,
                )
                late_weight = (
                    request_class.late_priority_weight if latency_ms <= request_class.deadline_ms else 0.0
                )
                total += (
                    request_class.priority_weight
                    if latency_ms <= request_class.latency_objective_ms
                    else late_weight
                )
        return total

    def highest_level(self) -> int:
        return max(level for router in self.routers for _, level in router.level_history)


def double_capacity(now: float) -> tuple[float, float, float]:
    """Room at first, from 8 s on twice the fleet's capacity; the first tenant the same all the time."""
    return (45.0, 120.0, 155.0) if now > 8000.0 else (45.0, 15.0, 20.0)


def burst(now: float) -> tuple[float, float, float]:
    """2.4 times for 7 s, which the fleet can bear."""
    factor = 2.4 if 10_000.0 < now < 17_000.0 else 1.0
    return (18.0 * factor, 18.0 * factor, 18.0 * factor)


MEASURED_FROM_MS, MEASURED_UNTIL_MS = (
    14_000.0,
    44_000.0,
)  # of what is judged; the onset, 6 s, is told of by itself


def test_at_twice_the_capacity_the_first_tier_is_served_and_little_value_is_lost() -> None:
    seed = 1
    tiered, plain = (
        SimulatedFleet(seed, double_capacity).run(MEASURED_UNTIL_MS + 1000),
        SimulatedFleet(seed, double_capacity, uses_priorities=False).run(MEASURED_UNTIL_MS + 1000),
    )
    alone = SimulatedFleet(seed, lambda now: (45.0, 15.0, 20.0)).run(MEASURED_UNTIL_MS + 1000)
    assert tiered.value_served(0, MEASURED_FROM_MS, MEASURED_UNTIL_MS) >= 0.98 * alone.value_served(
        0, MEASURED_FROM_MS, MEASURED_UNTIL_MS
    )
    assert tiered.value_served(None, MEASURED_FROM_MS, MEASURED_UNTIL_MS) >= 0.97 * plain.value_served(
        None, MEASURED_FROM_MS, MEASURED_UNTIL_MS
    )
    assert plain.value_served(0, MEASURED_FROM_MS, MEASURED_UNTIL_MS) < 0.7 * alone.value_served(
        0, MEASURED_FROM_MS, MEASURED_UNTIL_MS
    ), "else nothing is shown"
    assert tiered.wasted_work_ms <= 0.03 * tiered.completed_work_ms


# Judges: each looks at books, and says what is wrong, or nothing.


def _local_overload(seed: int) -> str | None:
    """One router jammed by itself, all cut off from one: no overload of the cluster."""
    fleet = SimulatedFleet(seed, lambda now: (20.0, 20.0, 20.0))
    fleet.forced_shed_probability[2] = 0.8
    fleet.routers[2].component.pressure_estimator.pressure = lambda now: 3.0  # type: ignore[method-assign]
    fleet.partitioned.add(4)
    fleet.routers[4].component.pressure_estimator.pressure = lambda now: 3.0  # type: ignore[method-assign]
    return "overload where there is none" if fleet.run(30_000.0).highest_level() else None


def _short_burst(seed: int) -> str | None:
    fleet = SimulatedFleet(seed, burst).run(25_000.0)
    lost = sum(call.answered_at_ms is None for call in fleet.calls.values() if call.arrived_at_ms < 24_000.0)
    assert lost < 0.04 * len(fleet.calls), "the fleet must be able to bear it"
    return "overload where there is none" if fleet.highest_level() else None


def _queued_preempted(seed: int) -> str | None:
    """Where all wait and nothing is refused, preempting is all there is: of those that wait, and that run."""
    return _check_preemptions(SimulatedFleet(seed, double_capacity, never_sheds=True), False)


def _running_preempted(seed: int) -> str | None:
    return _check_preemptions(
        SimulatedFleet(seed, double_capacity, never_sheds=True, hides_queued_workers=True), True
    )


def _check_preemptions(fleet: SimulatedFleet, written: bool) -> str | None:
    preemptions = fleet.run(40_000.0).preemptions
    if len(preemptions) < 60 or sum(one == written for _, _, one in preemptions) < 30:
        return f"too few are displaced to show anything: {len(preemptions)}"
    if any(
        written and CLASSES[call.class_index].idempotency is Idempotency.NOT_IDEMPOTENT
        for _, call, written in preemptions
    ):
        return "a written call that must not run twice was displaced"
    if max(Counter(call.retry_identity for _, call, _ in preemptions).values()) > 1:
        return "one call was displaced twice"
    if fleet.wasted_work_ms > 0.03 * fleet.completed_work_ms:
        return f"{fleet.wasted_work_ms / fleet.completed_work_ms:.3f} of the work is thrown away"
    for begin, span in [
        (preemptions[0][0], 40_000.0),
        *((begin, 2000.0) for begin in range(9000, 38_000, 500)),
    ]:
        count = sum(begin <= at < begin + span for at, _, _ in preemptions)
        if count > 6.0 * (min(span, 40_000.0 - begin) / 1000.0 + 1.0) + ROUTER_COUNT:
            return f"{count} displaced within {span:.0f} ms"
    return None


def _floor_held(seed: int) -> str | None:
    """All that may be displaced is one small tenant, and all others' calls ask for it."""
    fleet_file = FLEET_FILE.replace(b"rate = 60", b"rate = 900").replace(b"preempts = 6", b"preempts = 60")
    fleet = SimulatedFleet(
        seed,
        lambda now: (290.0, 0.0, 8.0) if now > 5000.0 else (30.0, 0.0, 8.0),
        never_sheds=True,
        fleet_file=fleet_file,
    )
    fleet.run(22_000.0)
    calls = sum(
        call.tenant_index == 2 and call.arrived_at_ms > 12_000.0
        for call in fleet.calls.values()
        if not call.is_client_retry
    )
    preempted = sum(call.arrived_at_ms > 12_000.0 for _, call, _ in fleet.preemptions)
    assert preempted > 0.1 * calls, "else nothing is shown"
    return f"{preempted} of {calls} displaced with a floor of a half" if preempted > 0.5 * calls else None


def _tenant_floods(seed: int) -> str | None:
    """The first tenant takes far beyond its contract: another's calls within contract stay served."""
    fleet = SimulatedFleet(seed, lambda now: (250.0, 45.0, 5.0) if now > 8000.0 else (45.0, 45.0, 5.0)).run(
        MEASURED_UNTIL_MS
    )
    alone = SimulatedFleet(seed, lambda now: (0.0, 45.0, 0.0)).run(MEASURED_UNTIL_MS)
    served_share = fleet.value_served(1, MEASURED_FROM_MS, MEASURED_UNTIL_MS - 1000.0) / alone.value_served(
        1, MEASURED_FROM_MS, MEASURED_UNTIL_MS - 1000.0
    )
    return f"{served_share:.2f} of a tenant's worth within contract is left" if served_share < 0.6 else None


def _level_flaps(seed: int) -> str | None:
    """Pressure that goes slowly up and down about the onset, then fast and far: the level must not follow."""
    machine, rng, changes = OverloadStateMachine(), random.Random(seed), 0
    parameters = OverloadParameters(1.1, 0.9, 2000.0, 6000)
    for step in range(2000):
        now, previous_level = step * 250.0, machine.level
        slow_wave = 1.1 + 0.15 * math.sin(now / 3000.0)
        machine.update(now, slow_wave if step < 1000 else rng.uniform(0.7, 1.5), parameters)
        changes += machine.level != previous_level
    return f"{changes} changes of level" if changes != 1 else None


class PullingReplicatedState(FakeReplicatedState):
    """A register that pulls: what it took, who confirmed what until when, who is known to hold what."""

    def __init__(self, router_index: int, router_count: int) -> None:
        super().__init__()
        self.router_index, self.router_count = router_index, router_count
        self.confirmed_at_ms = [-math.inf] * router_count
        self.holders: dict[Entry, set[int]] = defaultdict(set)

    def pull(self, now: float, other: PullingReplicatedState) -> None:
        self.confirmed_at_ms[self.router_index] = other.confirmed_at_ms[other.router_index] = now
        self.confirmed_at_ms = [
            max(pair) for pair in zip(self.confirmed_at_ms, other.confirmed_at_ms, strict=True)
        ]
        for entry, holders in other.holders.items():
            self.holders[entry] |= holders
        for held in other.entry_by_name.values():
            self.take(now, held.entry)
            self.holders[held.entry] |= {self.router_index, other.router_index}
        self.settle(now)

    def take(self, now: float, entry: Entry) -> None:
        previous = self.entry_by_name.get((entry.kind, entry.name))
        if previous is None or previous.entry.version < entry.version:
            self.entry_by_name[entry.kind, entry.name] = ReplicatedEntry(entry, now, None)
            self.holders[entry].add(self.router_index)

    def settle(self, now: float) -> None:
        for key, held in self.entry_by_name.items():
            if held.replicated_at_ms is None and 2 * len(self.holders[held.entry]) > self.router_count:
                self.entry_by_name[key] = dataclasses.replace(held, replicated_at_ms=now)

    def is_fresh(self, now: float) -> bool:
        lately = sum(
            at > now - (STALENESS_BOUND_MS - 500.0) or n == self.router_index
            for n, at in enumerate(self.confirmed_at_ms)
        )
        return 2 * lately > self.router_count


def _contracts_edited(seed: int) -> str | None:
    """Two contracts are edited again and again, while pulls are lost and routers cut off, one way too: does
    one go before the other here, and the other before the one there, for longer than B?"""
    count, rng = 5, random.Random(seed)
    states = [PullingReplicatedState(n, count) for n in range(count)]
    contracts = [EffectiveContracts(board) for board in states]
    names, tier_names = ("mill", "town"), ("firm", "standard", "interruptible")
    initial = [
        Entry(k, n, Version(0, 0, 0), body)
        for k, n, body in contract_entries.entries_from_config(parse_fleet_config(FLEET_FILE))
    ]
    for board in states:
        for entry in initial:
            board.take(0.0, entry)
    deaf, mute, longest, act_count, since = set[int](), set[int](), 0.0, 0, dict[tuple[int, int], float]()
    for step in range(4000):
        now = step * 100.0
        if step % 200 == 100:  # each 20 s some are cut off, some only from being heard
            deaf, mute = {rng.randrange(count)}, {rng.randrange(count)}
        for me, other in ((n, rng.randrange(count)) for n in range(count)):
            if rng.random() < 0.2 and me != other and me not in deaf and other not in deaf | mute:
                states[me].pull(now, states[other])
        if step % 40 == 20 and step > 200:
            author = rng.choice([*mute, rng.randrange(count)])
            name, body = rng.choice(names), contract_entries.ContractTerms(rng.choice(tier_names), 60_000, 0)
            number = states[author].entry_by_name[EntryKind.CONTRACT, name].entry.version.counter + 1
            version = Version(number, author, 0)
            states[author].take(now, Entry(EntryKind.CONTRACT, name, version, msgspec.msgpack.encode(body)))
        signs: list[int] = []
        for part in contracts:
            part.refresh(now)
            a, b = (assign_priority(name, part.for_tenant(name), True) for name in names)
            signs.append(a.outranks(b) - b.outranks(a))
        act_count += sum(map(abs, signs))
        for pair in ((x, y) for x in range(count) for y in range(count)):
            if signs[pair[0]] * signs[pair[1]] < 0:
                longest = max(longest, now - since.setdefault(pair, now))
            else:
                since.pop(pair, None)
    if act_count < 0.1 * 4000 * count:
        return f"only {act_count} acts: nothing is shown"
    return f"a contradiction for {longest:.0f} ms" if longest > STALENESS_BOUND_MS else None


CHECKS = {
    judge.__name__: judge
    for judge in (
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


def _can_preempt_twice(self: component.PriorityComponent, now: float, candidate: PreemptionCandidate) -> bool:
    return self.usage.can_reject(
        now,
        candidate.priority.tenant_name,
        self.contracts.for_tenant(candidate.priority.tenant_name).floor_permille,
    )


def _ignores_retry_mark(
    claim: PreemptionClaim, candidates: list[PreemptionCandidate], limits: preemption.PreemptionLimits
) -> PreemptionCandidate | None:
    return preemption.choose_victim(
        claim, [dataclasses.replace(view, is_client_retry=False) for view in candidates], limits
    )


def _own_pressure_only(self: pressure_gossip.PressureGossip, now: float) -> float | None:
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


def _no_dwell(self: OverloadStateMachine, now: float, pressure: float, parameters: OverloadParameters) -> int:
    self.level += self._requested_step(pressure, parameters)
    return self.level


def _newest_body_only(
    self: BodyHistory[contract_entries.ContractTerms], now: float, staleness_bound_ms: float
) -> tuple[contract_entries.ContractTerms, ...]:
    return (self.pending[-1].value,) if self.pending else (self.certain_body,) if self.certain_body else ()


def _unlimited_budget(self: preemption_budget.PreemptionBudget, now: float, may_preempt: bool) -> None:
    self.bucket.tokens = 9.0


DEFECTS: dict[str, tuple[str, list[tuple[object, str, object]]]] = {
    "floor ignored": ("_floor_held", [(usage.TenantUsage, "can_reject", lambda *_: True)]),
    "written confirm preempted": ("_running_preempted", [(preemption, "is_safe_to_reject", lambda *_: True)]),
    "rate per router": (
        "_tenant_floods",
        [(FakeEscrow, "available", lambda self, now, name: self.totals.get(name, 0))],
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
