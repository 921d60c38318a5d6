"""A small simulation, on virtual time, of a fleet of routers with the recovery component.

Routing is simpler than in the program: a call is sent to a worker with a known warm instance, else to a home
worker. The simulation has one package store that slows down under many concurrent loads, a network that loses
and delays datagrams, and records of everything that the tests evaluate.
"""

from __future__ import annotations

import copy
import dataclasses
import functools
import heapq
import itertools
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.components.notifications import AttemptCompleted, PeersChanged, WallClockRead
from cedarthread.model.actions import SendToPeer
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.recovery.component import RecoveryComponent
from cedarthread.recovery.state_machine import RecoveryPhase
from cedarthread.recovery.warm_state import AgedObservation, ObservationSource, start_tag
from tests.helpers import LIMITS, settings, worker
from tests.simulation.recovery_records import FleetRecords, peak

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cedarthread.components.messages import OutboundMessage

KEEP_ALIVE_MS = 9000.0
LOAD_MS = 900.0
SERVICE_MS = 40.0
LATENCY_OBJECTIVE_MS = 700.0
DEADLINE_MS = 3000.0
FULL_SPEED_LOADS = 8  # concurrent loads that the package store serves at full speed
DATAGRAM_LOSS = 0.1
WALL_CLOCK_AT_0_MS = 1e12
WORKER_START_MS = 1000.0
SETTLED_MS = 45_000.0  # time after which all routers of a fleet without faults are in service


class ScheduledEvent(NamedTuple):
    """An event of the simulation; the serial number orders events at the same time."""

    time_ms: float
    serial: int
    action: Callable[[], None]


@dataclass(frozen=True)
class Attempt:
    """A call that was sent to a worker, with the incarnations of router and worker at that time."""

    router_index: int
    router_started_at_ms: float
    worker_id: int
    worker_started_at_ms: float
    function_id: int
    arrived_at_ms: float
    sent_at_ms: float
    was_warm: bool


class SimulatedFleet:
    """Routers, workers with instances, the package store, the network, and the records.

    Args:
        routers: Number of routers.
        workers: Number of workers.
        functions: Number of functions; the popularity of a function falls with its number.
        calls_per_second: Rate of calls at each router.
        seed: Seed of the random numbers.
        allows_gossip: Whether the settings allow gossip.
    """

    def __init__(
        self,
        routers: int,
        workers: int,
        functions: int,
        calls_per_second: float,
        seed: int,
        *,
        allows_gossip: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.records = FleetRecords()
        self.router_count = routers
        self.worker_ids = list(range(workers))
        self.calls_per_second = calls_per_second
        self.cumulative_popularity = list(
            itertools.accumulate((rank + 1) ** -0.9 for rank in range(functions))
        )
        self.limits = dataclasses.replace(LIMITS, allows_gossip=allows_gossip)
        self.worker_started_at_ms = dict.fromkeys(self.worker_ids, WORKER_START_MS)
        self.last_used_ms: dict[int, dict[int, float]] = {worker_id: {} for worker_id in self.worker_ids}
        """Time of the last use of an instance, by worker, then by function."""
        self.load_ends_ms: dict[tuple[int, int], float] = {}
        """Time at which the load of an instance ends, by worker and function."""
        self.draining: set[int] = set()
        self.snapshots: dict[int, bytes] = {}
        self.down: set[int] = set()
        self.router_started_at_ms = [-1e6] * routers
        self.paces_loads = True
        self.paces_connections = True
        self.restores_all_instances = False
        """Whether restarted routers know all instances, which gives the best possible recovery."""
        self.connected: list[set[int]] = [set() for _ in range(routers)]
        """The workers to which each router has a connection."""
        self._schedule: list[ScheduledEvent] = []
        self._serial = 0
        self.routers: list[RecoveryComponent] = []
        for index in range(routers):
            self.routers.append(self._new_router(index))
            self._schedule_at(index * 7.0, functools.partial(self._tick, index))
            self._schedule_at(self.rng.uniform(0, 100.0), functools.partial(self._arrive, index))

    def _new_router(self, index: int) -> RecoveryComponent:
        router_settings = settings(
            router_count=self.router_count,
            router_index=index,
            instance_keep_alive_ms=KEEP_ALIVE_MS,
            limits=self.limits,
        )
        recovery = RecoveryComponent(router_settings, self.rng.getrandbits(30), self.now_ms)
        recovery.on_notification(self.now_ms, WallClockRead(WALL_CLOCK_AT_0_MS + self.now_ms))
        recovery.on_notification(self.now_ms, self._endpoint_snapshot())
        return recovery

    def _endpoint_snapshot(self) -> EndpointUpdate:
        endpoints = tuple(
            worker(
                worker_id,
                EndpointState.DRAINING if worker_id in self.draining else EndpointState.READY,
                started_at_ms=self.worker_started_at_ms[worker_id],
            )
            for worker_id in self.worker_ids
        )
        return EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, endpoints)

    def _schedule_at(self, time_ms: float, action: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._schedule, ScheduledEvent(time_ms, self._serial, action))

    def run(self, until_ms: float) -> SimulatedFleet:
        """Run all events before a time; return this fleet."""
        while self._schedule[0].time_ms < until_ms:
            event = heapq.heappop(self._schedule)
            self.now_ms = event.time_ms
            event.action()
        self.now_ms = until_ms
        return self

    # Routers.

    def _tick(self, index: int) -> None:
        self._schedule_at(self.now_ms + 125.0, functools.partial(self._tick, index))
        if index in self.down:
            return
        alive = tuple(peer for peer in range(self.router_count) if peer != index and peer not in self.down)
        alive_for_ms = {peer: self.now_ms - self.router_started_at_ms[peer] for peer in alive}
        recovery = self.routers[index]
        recovery.on_notification(self.now_ms, PeersChanged(alive, self.router_count, alive_for_ms))
        self._transmit(index, recovery.on_tick(self.now_ms))
        raw = recovery.snapshot(self.now_ms)
        if raw is not None and self.rng.random() < 0.125:
            self.snapshots[index] = raw

    def _transmit(self, sender: int, messages: Iterable[OutboundMessage]) -> None:
        for message in messages:
            if isinstance(message, SendToPeer) and message.peer_index is not None:
                self.records.sent_datagrams[sender].append(self.now_ms)
                if self.rng.random() > DATAGRAM_LOSS:
                    arrives_at_ms = self.now_ms + self.rng.uniform(1.0, 20.0)
                    deliver = functools.partial(self._deliver, message.peer_index, sender, message.data)
                    self._schedule_at(arrives_at_ms, deliver)

    def _deliver(self, receiver: int, sender: int, data: bytes) -> None:
        if receiver not in self.down:
            self._transmit(receiver, self.routers[receiver].on_message(self.now_ms, sender, data))

    def _kill(self, index: int, starts_at_ms: float, *, has_store: bool, may_query: bool) -> None:
        self.down.add(index)
        self.connected[index] = set()
        start = functools.partial(self._start, index, has_store=has_store, may_query=may_query)
        self._schedule_at(starts_at_ms, start)

    def _start(self, index: int, *, has_store: bool, may_query: bool) -> None:
        self.down.discard(index)
        self.router_started_at_ms[index] = self.now_ms
        recovery = self._new_router(index)
        self.routers[index] = recovery
        if has_store:
            recovery.restore(self.now_ms, self.snapshots[index])
        if not may_query:
            recovery.peer_exchange.can_query_peers = False
        if self.restores_all_instances:
            recovery.state_machine.phase = RecoveryPhase.IN_SERVICE
            self._restore_all_instances(recovery)

    def _restore_all_instances(self, recovery: RecoveryComponent) -> None:
        for worker_id, functions in self.last_used_ms.items():
            tag = start_tag(self.worker_started_at_ms[worker_id])
            for function_id, used_at_ms in functions.items():
                aged = AgedObservation(worker_id, tag, function_id, self.now_ms - used_at_ms, True)
                recovery.warm_state.merge_remote(self.now_ms, self.now_ms, aged, ObservationSource.STORE)

    # Calls.

    def _arrive(self, index: int) -> None:
        next_arrival_ms = self.now_ms + self.rng.expovariate(self.calls_per_second / 1000.0)
        self._schedule_at(next_arrival_ms, functools.partial(self._arrive, index))
        functions = range(len(self.cumulative_popularity))
        function_id = self.rng.choices(functions, cum_weights=self.cumulative_popularity)[0]
        self._call(index, self.now_ms, function_id)
        if self.rng.random() < 0.02 and self.connected[index]:  # connections sometimes break
            self.connected[index].discard(self.rng.choice(sorted(self.connected[index])))

    def _call(self, index: int, arrived_at_ms: float, function_id: int) -> None:
        """Send a call, or retry every 50 ms until its deadline."""
        if index in self.down or self.now_ms - arrived_at_ms > DEADLINE_MS:
            self.records.call_values[int(arrived_at_ms / 100.0)].append(0.0)
            return
        recovery = self.routers[index]
        connected = self.connected[index]
        warm_workers = sorted(
            recovery.warm_instances(self.now_ms, function_id),
            key=lambda worker_id: (worker_id not in connected, worker_id),
        )
        for worker_id in warm_workers:
            if worker_id in connected or self._connect(index, worker_id):
                self.records.stale_decisions += self._is_stale(worker_id, function_id)
                self._send(index, arrived_at_ms, function_id, worker_id)
                return
        worker_id = self._home_worker(function_id)
        is_connected = not warm_workers and (worker_id in connected or self._connect(index, worker_id))
        if is_connected and (not self.paces_loads or recovery.try_acquire_load(self.now_ms, function_id)):
            self._send(index, arrived_at_ms, function_id, worker_id)
            return
        retry = functools.partial(self._call, index, arrived_at_ms, function_id)
        self._schedule_at(self.now_ms + 50.0, retry)

    def _is_stale(self, worker_id: int, function_id: int) -> bool:
        has_restarted = self.worker_started_at_ms[worker_id] > WORKER_START_MS
        return worker_id in self.draining or (
            function_id not in self.last_used_ms[worker_id] and has_restarted
        )

    def _home_worker(self, function_id: int) -> int:
        """Return a home worker of a function; a third of the functions have three homes, the others one."""
        home_count = 1 if function_id % 3 else 3
        worker_id = (function_id * 7 + self.rng.randrange(home_count)) % len(self.worker_ids)
        while worker_id in self.draining:
            worker_id = (worker_id + 1) % len(self.worker_ids)
        return worker_id

    def _connect(self, index: int, worker_id: int) -> bool:
        recovery = self.routers[index]
        if self.paces_connections and not recovery.try_acquire_connection(self.now_ms, worker_id):
            return False
        self.records.connection_times[worker_id].append(self.now_ms)
        self.connected[index].add(worker_id)
        recovery.admission.on_connection_result(succeeded=True)
        return True

    def _send(self, index: int, arrived_at_ms: float, function_id: int, worker_id: int) -> None:
        used_at_ms = self.last_used_ms[worker_id].get(function_id)
        load_ends_at_ms = self.load_ends_ms.get((worker_id, function_id), 0.0)
        was_warm = used_at_ms is not None and self.now_ms - used_at_ms <= KEEP_ALIVE_MS
        if not was_warm and load_ends_at_ms < self.now_ms:
            load_ends_at_ms = self._load(worker_id, function_id)
        if load_ends_at_ms > self.now_ms:
            was_warm = False
        starts_at_ms = max(self.now_ms, load_ends_at_ms)
        self.last_used_ms[worker_id][function_id] = starts_at_ms
        attempt = Attempt(
            router_index=index,
            router_started_at_ms=self.router_started_at_ms[index],
            worker_id=worker_id,
            worker_started_at_ms=self.worker_started_at_ms[worker_id],
            function_id=function_id,
            arrived_at_ms=arrived_at_ms,
            sent_at_ms=self.now_ms,
            was_warm=was_warm,
        )
        self._schedule_at(starts_at_ms + SERVICE_MS, functools.partial(self._complete, attempt))

    def _load(self, worker_id: int, function_id: int) -> float:
        """Start a load; return when it ends, which is later if more loads are in flight."""
        self.records.load_times.append(self.now_ms)
        in_flight = sum(1 for ends_at_ms in self.load_ends_ms.values() if ends_at_ms > self.now_ms)
        ends_at_ms = self.now_ms + LOAD_MS * max(1.0, (in_flight + 1) / FULL_SPEED_LOADS)
        self.load_ends_ms[worker_id, function_id] = ends_at_ms
        return ends_at_ms

    def _complete(self, attempt: Attempt) -> None:
        index = attempt.router_index
        is_lost = (
            index in self.down
            or attempt.router_started_at_ms != self.router_started_at_ms[index]
            or attempt.worker_started_at_ms != self.worker_started_at_ms[attempt.worker_id]
        )
        is_in_time = self.now_ms - attempt.arrived_at_ms <= LATENCY_OBJECTIVE_MS
        value = 0.0 if is_lost else 1.0 if is_in_time else 0.2
        self.records.call_values[int(attempt.arrived_at_ms / 100.0)].append(value)
        if is_lost:
            return
        self.records.last_seen_warm_ms[attempt.worker_id, attempt.function_id] = self.now_ms
        completed = AttemptCompleted(
            attempt.worker_id,
            attempt.function_id,
            None,
            self.now_ms - attempt.sent_at_ms,
            Outcome.OK,
            attempt.was_warm,
        )
        self.routers[index].on_notification(self.now_ms, completed)

    # Faults.

    def restart_routers(self, fraction: float, *, has_store: bool = False, may_query: bool = True) -> float:
        """Kill a fraction of the routers within 300 ms and restart them; return when all are down."""
        killed = self.rng.sample(range(self.router_count), round(fraction * self.router_count))
        starts_at_ms = self.now_ms + 900.0
        for index in killed:
            kill = functools.partial(
                self._kill, index, starts_at_ms, has_store=has_store, may_query=may_query
            )
            self._schedule_at(self.now_ms + self.rng.uniform(0.0, 300.0), kill)
        return self.now_ms + 300.0

    def restart_workers(self, restarted: list[int], draining: set[int]) -> None:
        """Restart workers, which lose their instances, drain others, and update all endpoint lists."""
        self.draining = draining
        for worker_id in restarted:
            self.worker_started_at_ms[worker_id] = WALL_CLOCK_AT_0_MS + self.now_ms
            self.last_used_ms[worker_id] = {}
        for index in range(self.router_count):
            if index not in self.down:
                self.routers[index].on_notification(self.now_ms, self._endpoint_snapshot())

    # Invariants.

    def understated_ages(self) -> list[str]:
        """Return the instances whose age at a router is less than the time since they were last seen warm."""
        return [
            f"router {index}: function {function_id} on worker {worker_id} aged {instance.warm_age_ms:.0f} ms"
            for index, recovery in enumerate(self.routers)
            for function_id in range(len(self.cumulative_popularity))
            for worker_id, instance in recovery.warm_instances(self.now_ms, function_id).items()
            if instance.warm_age_ms is not None
            and self.now_ms - instance.warm_age_ms
            > self.records.last_seen_warm_ms.get((worker_id, function_id), -1.0) + 0.001
        ]


@functools.cache
def settled_fleet() -> SimulatedFleet:
    """Return a fleet that ran without faults until all its routers are in service; copy it before use."""
    fleet = SimulatedFleet(16, workers=10, functions=60, calls_per_second=12.0, seed=11).run(SETTLED_MS)
    for recovery in fleet.routers:
        assert recovery.is_in_service()
        assert not recovery.admission.is_paced
    return fleet


@functools.cache
def fault_free_load_peak() -> int:
    """Return the maximum number of loads in any 250 ms of the settled fleet without faults."""
    fleet = copy.deepcopy(settled_fleet()).run(SETTLED_MS + 20_000.0)
    return peak(fleet.records.load_times, SETTLED_MS - 20_000.0)
