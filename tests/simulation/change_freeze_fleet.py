"""A simulated fleet with the change freeze component, on virtual time.

The routers run the real component. The replicated store is a fake that only delays entries, and the escrow is
a fake that divides totals evenly. The workers record each function that is placed on them, and the scenarios
check only these records. All times are ms.
"""

from __future__ import annotations

import functools
import heapq
import random
from typing import TYPE_CHECKING

from cedarthread.change_freeze.call_routing import PlacementCandidate, RoutingVerdict
from cedarthread.change_freeze.component import ChangeFreezeComponent
from cedarthread.change_freeze.placement_changes import PlacementChange, PlacementChangeKind
from cedarthread.change_freeze.window_entries import WindowBody, encode
from cedarthread.components.notifications import AttemptCompleted, WallClockRead
from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.fleet_config import SharingConfig
from cedarthread.model.actions import LogMessage
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from tests.helpers import settings
from tests.simulation.change_freeze_records import (
    NO_PARTITION,
    Delivery,
    Placement,
    SimulatedWorker,
)
from tests.unit.change_freeze.builders import EPOCH_UNIX_MS, ROUTER_COUNT, FakeEscrow

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.model.settings import RouterSettings

STALENESS_BOUND_MS = 4000.0
FRESHNESS_WINDOW_MS = 3000.0
DELIVERY_SPREAD_MS = 1500.0
TICK_INTERVAL_MS = 250.0
WORKER_COUNT = 8
FUNCTION_COUNT = 30
MAX_DRIFT_RATE = 0.001
CLOCK_ERROR_MS = 500.0
PREFERENCE_EPOCH_MS = 5000.0  # after which functions prefer other workers, so that changes never stop


class FakeReplicatedState:
    """The replicated store of one router, which receives entries after a delay."""

    staleness_bound_ms = STALENESS_BOUND_MS

    def __init__(self, fleet: SimulatedFleet, router: SimulatedRouter) -> None:
        self.fleet = fleet
        self.router = router
        self.deliveries: dict[EntryKind, list[Delivery]] = {kind: [] for kind in EntryKind}

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        now_ms = self.fleet.now_ms
        to_monotonic_ms = self.router.monotonic_ms
        newest: dict[str, ReplicatedEntry] = {}
        for received_at_ms, entry, majority_at_ms in self.deliveries[kind]:
            previous = newest.get(entry.name)
            if received_at_ms <= now_ms and (previous is None or previous.entry.version < entry.version):
                replicated_at_ms = max(received_at_ms, majority_at_ms)
                is_replicated = replicated_at_ms <= now_ms
                newest[entry.name] = ReplicatedEntry(
                    entry,
                    to_monotonic_ms(received_at_ms),
                    to_monotonic_ms(replicated_at_ms) if is_replicated else None,
                )
        return tuple(newest.values())

    def is_fresh(self, now_ms: float) -> bool:
        partition = self.router.partition
        started_at_ms = self.router.started_at_ms
        true_now_ms = self.fleet.now_ms
        connected_at_ms = started_at_ms
        if partition.start_ms <= started_at_ms:
            connected_at_ms = max(started_at_ms, partition.end_ms)
        if started_at_ms > 0.0 and true_now_ms < connected_at_ms + DELIVERY_SPREAD_MS:
            return False
        stale_from_ms = partition.start_ms + FRESHNESS_WINDOW_MS
        return not stale_from_ms <= true_now_ms < partition.end_ms + DELIVERY_SPREAD_MS

    def fresh_since(self, now_ms: float) -> float | None:
        return now_ms if self.is_fresh(now_ms) else None


class SimulatedRouter:
    """A router with the real component, drifting clocks and simplified routing of calls."""

    def __init__(self, fleet: SimulatedFleet, router_index: int, started_at_ms: float = 0.0) -> None:
        self.fleet = fleet
        self.router_index = router_index
        self.started_at_ms = started_at_ms
        self.drift_rate = MAX_DRIFT_RATE * ((router_index % 3) - 1)
        self.wall_clock_error_ms = CLOCK_ERROR_MS * ((router_index % 3) - 1)
        self.wall_clock_step_ms = 0.0
        self.partition = NO_PARTITION
        self.settings = settings(
            router_count=ROUTER_COUNT, router_index=router_index, zones=("north", "south")
        )
        self.replicated_state = FakeReplicatedState(fleet, self)
        self.escrow = fleet.escrow_type(router_index, is_empty=started_at_ms > 0)
        sharing = SharingConfig(clock_rate=MAX_DRIFT_RATE, clock_error=2 * CLOCK_ERROR_MS)
        self.component = ChangeFreezeComponent(
            self.settings,
            sharing,
            self.replicated_state,
            self.escrow,
            now_ms=self.monotonic_ms(fleet.now_ms),
        )
        self.in_flight: dict[int, int] = {}
        self.log_lines: list[str] = []
        self.on_tick()
        workers = tuple(worker.endpoint() for worker in fleet.workers)
        self.component.on_notification(
            self.local_now_ms, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, workers)
        )

    def monotonic_ms(self, true_ms: float) -> float:
        return 7000.0 * self.router_index + true_ms * (1.0 + self.drift_rate)

    @property
    def local_now_ms(self) -> float:
        return self.monotonic_ms(self.fleet.now_ms)

    def on_tick(self) -> None:
        now_ms = self.local_now_ms
        true_unix_ms = EPOCH_UNIX_MS + self.fleet.now_ms
        messages = [
            *self.component.on_notification(
                now_ms, WallClockRead(true_unix_ms + self.wall_clock_error_ms + self.wall_clock_step_ms)
            ),
            *self.component.on_tick(now_ms),
        ]
        self.log_lines += [message.message for message in messages if isinstance(message, LogMessage)]
        for deferred in self.component.release_deferred_changes(now_ms):
            if (
                deferred.kind is PlacementChangeKind.SETTINGS
                and self.component.gate.deferred_settings is not None
            ):
                self.reload_settings(self.component.gate.deferred_settings)
            elif (
                deferred.worker_id is not None
                and deferred.function_id is not None
                and deferred.kind is not PlacementChangeKind.UNLOAD
            ):
                self.fleet.load_function(deferred.worker_id, deferred.function_id)
        for peer in self.fleet.routers:  # one clock request and its response on each tick
            is_partitioned = self.fleet.is_partitioned(self) or self.fleet.is_partitioned(peer)
            if peer is not self and not is_partitioned:
                peer_unix_ms = peer.component.wall_clock.unix_ms(peer.local_now_ms)
                self.component.wall_clock.add_sample(now_ms, peer.router_index, peer_unix_ms, now_ms - 2.0)

    def on_call(self, function_id: int, attempts_left: int = 10) -> None:
        now_ms = self.local_now_ms
        fleet = self.fleet
        gate = self.component.gate
        epoch = fleet.now_ms // PREFERENCE_EPOCH_MS
        present = [worker for worker in fleet.workers if not worker.is_removed]
        preferred = sorted(present, key=lambda worker: fleet.preference(worker.worker_id, function_id, epoch))
        ready = [worker.worker_id for worker in preferred if not worker.is_draining]
        ranked, home_count = gate.home_workers(now_ms, function_id, ready, 2)
        candidates = []
        for worker in preferred:
            has_observed_instances = self.fleet.now_ms > self.started_at_ms + 500.0
            is_placed = has_observed_instances and function_id in worker.placed_functions
            rank = ranked.index(worker.worker_id) if worker.worker_id in ranked else 99
            candidates.append(
                PlacementCandidate(
                    worker.worker_id,
                    is_ready=not worker.is_draining,
                    is_permitted=is_placed,
                    has_capacity=self._has_capacity(worker),
                    distance=float(rank >= home_count) * 10.0 + rank,
                    zone_index=worker.worker_id % 2,
                )
            )
            if is_placed:
                gate.placements.record(now_ms, function_id, worker.worker_id)
        verdict, worker_id = gate.route_call(now_ms, function_id, None, candidates)
        if worker_id is not None and verdict in (RoutingVerdict.SEND, RoutingVerdict.LOAD):
            change = PlacementChange(
                PlacementChangeKind.FIRST_INSTANCE,
                worker_id,
                function_id,
                worker_id % 2,
                None,
                verdict is RoutingVerdict.LOAD,
            )
            if gate.admit(now_ms, change).is_permitted:
                fleet.send(self, worker_id, function_id)
                return
        if attempts_left:
            fleet.schedule(fleet.now_ms + 100.0, lambda: self.on_call(function_id, attempts_left - 1))
            return
        fleet.rejections_at_ms.append(fleet.now_ms)
        if any(
            function_id in worker.placed_functions and not worker.is_draining and self._has_capacity(worker)
            for worker in present
        ):
            fleet.needless_rejections_at_ms.append(fleet.now_ms)

    def _has_capacity(self, worker: SimulatedWorker) -> bool:
        return self.in_flight.get(worker.worker_id, 0) < 3

    def on_attempt_ended(self, worker_id: int, incarnation: int, function_id: int) -> None:
        self.in_flight[worker_id] -= 1
        worker = self.fleet.workers[worker_id]
        if worker.incarnation == incarnation and not worker.is_removed:
            self.component.on_notification(
                self.local_now_ms,
                AttemptCompleted(worker_id, function_id, None, 30.0, Outcome.OK, was_warm=True),
            )

    def request_preload(self, function_id: int) -> None:
        """Request a preload of the function on a worker where it is not placed, and an unload."""
        now_ms = self.local_now_ms
        gate = self.component.gate
        without_instance = [
            worker.worker_id
            for worker in self.fleet.workers
            if function_id not in worker.placed_functions and not (worker.is_removed or worker.is_draining)
        ]
        if without_instance:
            preload = PlacementChange(PlacementChangeKind.PRELOAD, without_instance[0], function_id)
            if gate.admit(now_ms, preload).is_permitted:
                self.fleet.load_function(without_instance[0], function_id)
        unload = PlacementChange(
            PlacementChangeKind.UNLOAD, without_instance[-1] if without_instance else 0, function_id
        )
        if gate.admit(now_ms, unload).is_permitted:
            self.fleet.unloads_at_ms.append(self.fleet.now_ms)

    def reload_settings(self, new: RouterSettings) -> None:
        """Apply new settings; if the prices change, load five functions at all workers at once."""
        previous = self.settings
        self.settings = self.component.gate.admitted_settings(self.local_now_ms, previous, new)
        if self.settings.prices != previous.prices:
            for function_id in range(5):
                for worker_id in range(WORKER_COUNT):
                    self.fleet.load_function(worker_id, function_id)


class SimulatedFleet:
    """Routers and workers on virtual time, and the records that the scenarios check."""

    escrow_type: type[FakeEscrow] = FakeEscrow

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.event_count = 0
        self.workers = [SimulatedWorker(worker_id) for worker_id in range(WORKER_COUNT)]
        self.placements: list[Placement] = []  # as recorded by the workers
        self.rejections_at_ms: list[float] = []
        # Times of rejections although a worker on which the function is placed had capacity.
        self.needless_rejections_at_ms: list[float] = []
        self.unloads_at_ms: list[float] = []
        self.served_count = 0
        self.entry_count = 0
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.routers: list[SimulatedRouter] = []

    def start(self) -> SimulatedFleet:
        for router_index in range(ROUTER_COUNT):
            self.routers.append(SimulatedRouter(self, router_index))
        return self

    @staticmethod
    @functools.cache
    def preference(worker_id: int, function_id: int, epoch: float) -> float:
        return random.Random(f"{worker_id} {function_id} {epoch}").random()

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.scheduled, (at_ms, self.event_count, action))

    def run(self, until_ms: float) -> SimulatedFleet:
        while self.now_ms < until_ms:
            self.now_ms += 10.0
            while self.scheduled and self.scheduled[0][0] <= self.now_ms:
                heapq.heappop(self.scheduled)[2]()
            for router in self.routers:
                if (self.now_ms + 40.0 * router.router_index) % TICK_INTERVAL_MS == 0.0:
                    router.on_tick()
            if self.now_ms % 20.0 == 0.0:
                self.rng.choice(self.routers).on_call(int(self.rng.paretovariate(0.8)) % FUNCTION_COUNT)
            if self.now_ms % 1000.0 == 0.0:
                self.rng.choice(self.routers).request_preload(self.rng.randrange(FUNCTION_COUNT))
        return self

    def is_partitioned(self, router: SimulatedRouter) -> bool:
        return router.partition.start_ms <= self.now_ms < router.partition.end_ms

    def declare(self, kind: EntryKind, body: WindowBody, replaces_digest: int = 0) -> None:
        self.entry_count += 1
        entry = Entry(kind, body.window_id, Version(self.entry_count, 0, 1), encode(body), replaces_digest)
        received_at_ms = [
            self.now_ms + self.rng.uniform(0.0, DELIVERY_SPREAD_MS) * (router.router_index > 0)
            for router in self.routers
        ]
        for router in self.routers:
            if self.is_partitioned(router):
                delay_ms = self.rng.uniform(0.0, DELIVERY_SPREAD_MS)
                received_at_ms[router.router_index] = router.partition.end_ms + delay_ms
        majority_at_ms = sorted(received_at_ms)[ROUTER_COUNT // 2]
        for router in self.routers:
            delivery = Delivery(received_at_ms[router.router_index], entry, majority_at_ms)
            router.replicated_state.deliveries[kind].append(delivery)

    def load_function(self, worker_id: int, function_id: int) -> None:
        worker = self.workers[worker_id]
        if not worker.is_removed and function_id not in worker.placed_functions:
            worker.placed_functions.add(function_id)
            self.placements.append(Placement(self.now_ms, worker_id, function_id))

    def send(self, router: SimulatedRouter, worker_id: int, function_id: int) -> None:
        self.load_function(worker_id, function_id)
        self.served_count += 1
        router.in_flight[worker_id] = router.in_flight.get(worker_id, 0) + 1
        incarnation = self.workers[worker_id].incarnation
        self.schedule(
            self.now_ms + 30.0, lambda: router.on_attempt_ended(worker_id, incarnation, function_id)
        )

    def stop_worker(self, worker_id: int, *, restarts: bool = True, drains: bool = False) -> None:
        """Restart, remove or drain a worker, and update the endpoint list of all routers."""
        worker = self.workers[worker_id]
        worker.is_draining = drains
        if not drains:
            worker.incarnation += 1
            worker.is_removed = not restarts
            worker.placed_functions = set()
        if worker.is_removed:
            listed = tuple(other.endpoint() for other in self.workers if not other.is_removed)
            update = EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, listed)
        else:
            update = EndpointUpdate(EndpointUpdateKind.DELTA, 1, (worker.endpoint(),))
        for router in self.routers:
            router.component.on_notification(router.local_now_ms, update)

    def restart_router(self, router_index: int, *, has_disk: bool) -> None:
        """Restart a router. Without a disk, the router receives its entries again only when connected."""
        previous = self.routers[router_index]
        restarted = SimulatedRouter(self, router_index, self.now_ms)
        restarted.wall_clock_step_ms = previous.wall_clock_step_ms
        restarted.partition = previous.partition
        for kind, deliveries in previous.replicated_state.deliveries.items():
            delivered_from_ms = max(self.now_ms, previous.partition.end_ms) + DELIVERY_SPREAD_MS
            delayed = [
                delivery._replace(received_at_ms=max(delivery.received_at_ms, delivered_from_ms))
                for delivery in deliveries
            ]
            restarted.replicated_state.deliveries[kind] = deliveries if has_disk else delayed
        self.routers[router_index] = restarted

    # Measurements for the scenarios.

    def count_placements(self, from_ms: float, until_ms: float) -> int:
        return sum(from_ms <= placement.at_ms < until_ms for placement in self.placements)

    def peak_placements(self, from_ms: float, until_ms: float, span_ms: float = 250.0) -> int:
        """Return the greatest number of placements in any interval of ``span_ms``."""
        times_ms = [each.at_ms for each in self.placements if from_ms <= each.at_ms < until_ms]
        counts = (sum(start_ms <= at_ms < start_ms + span_ms for at_ms in times_ms) for start_ms in times_ms)
        return max(counts, default=0)
