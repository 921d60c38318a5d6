"""A toy fleet on virtual time: routers with the change freeze component and fakes of what it depends on.

The replicated store and the escrow are fakes that only delay; the workers record what was newly placed on
them, and the scenarios check those records alone.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import pytest

from cedarthread.change_freeze import stale_hold, window
from cedarthread.change_freeze.admission_gate import AdmissionGate
from cedarthread.change_freeze.call_routing import PlacementCandidate, RoutingVerdict
from cedarthread.change_freeze.component import ChangeFreezeComponent
from cedarthread.change_freeze.deferred_changes import ReleaseRateLimiter
from cedarthread.change_freeze.placement_changes import (
    AdmissionAnswer,
    AdmissionDecision,
    PlacementChange,
    PlacementChangeKind,
)
from cedarthread.change_freeze.wall_clock import WallClock
from cedarthread.change_freeze.window_entries import (
    ALL_CHANGE_KINDS,
    BreakGlass,
    Revocation,
    WindowBody,
    WindowTerms,
    encode,
)
from cedarthread.components.notifications import AttemptCompleted, WallClockRead
from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.fleet_config import SharingConfig
from cedarthread.model.actions import LogMessage
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from tests.helpers import settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.model.settings import RouterSettings

EPOCH_UNIX_MS = 1_800_000_000_000.0  # true Unix ms at virtual time 0
STALENESS_BOUND_MS, FRESHNESS_WINDOW_MS, DELIVERY_SPREAD_MS, TICK_INTERVAL_MS = 4000.0, 3000.0, 1500.0, 250.0
ROUTER_COUNT, WORKER_COUNT, FUNCTION_COUNT = 6, 8, 30
MAX_DRIFT_RATE, CLOCK_ERROR_MS = 0.001, 500.0
PREFERENCE_EPOCH_MS = 5000.0  # ms after which each function is wanted elsewhere: desire to move never ends


@dataclass
class SimulatedWorker:
    worker_id: int
    incarnation: int = 0
    is_gone: bool = False
    is_draining: bool = False
    placed_functions: set[int] = field(default_factory=set)

    def endpoint(self) -> Endpoint:
        state = EndpointState.DRAINING if self.is_draining else EndpointState.READY
        return Endpoint(self.worker_id, self.worker_id % 2, 0, 0, state, 1.0, float(self.incarnation))


class FakeEscrow:
    """Amounts by router index that sum up to the total; a restarted router has none."""

    has_total_per_router = False

    def __init__(self, router_index: int, is_empty: bool) -> None:
        self.router_index, self.is_empty = router_index, is_empty
        self.totals: dict[str, int] = {}
        self.spent: dict[str, int] = {}

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        self.totals[name] = total

    def available(self, now_ms: float, name: str) -> int:
        total = self.totals.get(name, 0)
        amount = total // ROUTER_COUNT + (self.router_index < total % ROUTER_COUNT)
        if self.is_empty:
            amount = 0
        return (total if self.has_total_per_router else amount) - self.spent.get(name, 0)

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        if self.available(now_ms, name) < amount:
            return False
        self.spent[name] = self.spent.get(name, 0) + amount
        return True

    def request(self, now_ms: float, name: str, amount: int) -> None:
        pass


class Delivery(NamedTuple):
    """When an entry reaches this router, and when it has reached a majority."""

    received_at: float
    entry: Entry
    majority_at: float


class Partition(NamedTuple):
    """The time for which a router hears nobody and is heard by nobody."""

    since: float
    until: float


class FakeReplicatedState:
    """What one router holds: entries are delivered after a while, and replicated when most hold them."""

    staleness_bound_ms = STALENESS_BOUND_MS

    def __init__(self, fleet: SimulatedFleet, router: SimulatedRouter) -> None:
        self.fleet, self.router = fleet, router
        self.deliveries: dict[EntryKind, list[Delivery]] = {kind: [] for kind in EntryKind}

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        now_ms, to_local = self.fleet.now_ms, self.router.steady_clock_ms
        newest: dict[str, ReplicatedEntry] = {}
        for received_at, entry, majority_at in self.deliveries[kind]:
            previous = newest.get(entry.name)
            if received_at <= now_ms and (previous is None or previous.entry.version < entry.version):
                replicated_at = max(received_at, majority_at)
                newest[entry.name] = ReplicatedEntry(
                    entry, to_local(received_at), to_local(replicated_at) if replicated_at <= now_ms else None
                )
        return tuple(newest.values())

    def is_fresh(self, now_ms: float) -> bool:
        (since, until), started_at, true_now = (
            self.router.partition,
            self.router.started_at,
            self.fleet.now_ms,
        )
        hears_others_from = max(started_at, until) if since <= started_at else started_at
        if started_at > 0.0 and true_now < hears_others_from + DELIVERY_SPREAD_MS:
            return False
        return not since + FRESHNESS_WINDOW_MS <= true_now < until + DELIVERY_SPREAD_MS

    def fresh_since(self, now_ms: float) -> float | None:
        return now_ms if self.is_fresh(now_ms) else None


class SimulatedRouter:
    def __init__(self, fleet: SimulatedFleet, router_index: int, started_at: float = 0.0) -> None:
        self.fleet, self.router_index, self.started_at = fleet, router_index, started_at
        self.drift_rate = MAX_DRIFT_RATE * ((router_index % 3) - 1)
        self.wall_clock_error_ms = CLOCK_ERROR_MS * ((router_index % 3) - 1)
        self.wall_clock_step_ms = 0.0
        self.partition = Partition(math.inf, 0.0)  # none
        self.settings = settings(
            router_count=ROUTER_COUNT, router_index=router_index, zones=("north", "south")
        )
        self.replicated_state = FakeReplicatedState(fleet, self)
        self.escrow = fleet.escrow_type(router_index, started_at > 0)
        sharing = SharingConfig(clock_rate=MAX_DRIFT_RATE, clock_error=2 * CLOCK_ERROR_MS)
        self.component = ChangeFreezeComponent(
            self.settings,
            sharing,
            self.replicated_state,
            self.escrow,
            now_ms=self.steady_clock_ms(fleet.now_ms),
        )
        self.in_flight: dict[int, int] = {}
        self.log_lines: list[str] = []
        self.on_tick()
        workers = tuple(worker.endpoint() for worker in fleet.workers)
        self.component.on_notification(
            self.local_now, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, workers)
        )

    def steady_clock_ms(self, at: float) -> float:
        return 7000.0 * self.router_index + at * (1.0 + self.drift_rate)

    @property
    def local_now(self) -> float:
        return self.steady_clock_ms(self.fleet.now_ms)

    def on_tick(self) -> None:
        now_ms, true_unix_ms = self.local_now, EPOCH_UNIX_MS + self.fleet.now_ms
        messages = [
            *self.component.on_notification(
                now_ms, WallClockRead(true_unix_ms + self.wall_clock_error_ms + self.wall_clock_step_ms)
            ),
            *self.component.on_tick(now_ms),
        ]
        self.log_lines += [each.message for each in messages if isinstance(each, LogMessage)]
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
        for peer in self.fleet.routers:  # one request and its response a tick, where neither is partitioned
            is_cut = self.fleet.is_partitioned(self) or self.fleet.is_partitioned(peer)
            if peer is not self and not is_cut:
                peer_unix_ms = peer.component.wall_clock.unix_ms(peer.local_now)
                self.component.wall_clock.add_sample(now_ms, peer.router_index, peer_unix_ms, now_ms - 2.0)

    def on_call(self, function_id: int, attempts_left: int = 10) -> None:
        now_ms, fleet, gate = self.local_now, self.fleet, self.component.gate
        epoch = fleet.now_ms // PREFERENCE_EPOCH_MS
        present = [worker for worker in fleet.workers if not worker.is_gone]
        preferred = sorted(present, key=lambda worker: fleet.preference(worker.worker_id, function_id, epoch))
        ready = [worker.worker_id for worker in preferred if not worker.is_draining]
        ranked, home_count = gate.home_workers(now_ms, function_id, ready, 2)
        candidates = []
        for worker in preferred:
            knows_instances = self.fleet.now_ms > self.started_at + 500.0
            is_placed = knows_instances and function_id in worker.placed_functions
            rank = ranked.index(worker.worker_id) if worker.worker_id in ranked else 99
            candidates.append(
                PlacementCandidate(
                    worker.worker_id,
                    is_ready=not worker.is_draining,
                    is_open=is_placed,
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
        fleet.rejections.append((fleet.now_ms, function_id))
        if any(
            function_id in worker.placed_functions and not worker.is_draining and self._has_capacity(worker)
            for worker in present
        ):
            fleet.needless_rejections.append((fleet.now_ms, function_id))

    def _has_capacity(self, worker: SimulatedWorker) -> bool:
        return self.in_flight.get(worker.worker_id, 0) < 3

    def on_attempt_ended(self, worker_id: int, incarnation: int, function_id: int) -> None:
        self.in_flight[worker_id] -= 1
        worker = self.fleet.workers[worker_id]
        if worker.incarnation == incarnation and not worker.is_gone:
            self.component.on_notification(
                self.local_now, AttemptCompleted(worker_id, function_id, None, 30.0, Outcome.OK, True)
            )

    def request_preload(self, function_id: int) -> None:
        """Request a preload of the function where it is not placed, and an unload of it."""
        now_ms, gate = self.local_now, self.component.gate
        without_instance = [
            worker.worker_id
            for worker in self.fleet.workers
            if function_id not in worker.placed_functions and not (worker.is_gone or worker.is_draining)
        ]
        if without_instance:
            preload = PlacementChange(PlacementChangeKind.PRELOAD, without_instance[0], function_id)
            if gate.admit(now_ms, preload).is_permitted:
                self.fleet.load_function(without_instance[0], function_id)
        unload = PlacementChange(
            PlacementChangeKind.UNLOAD, without_instance[-1] if without_instance else 0, function_id
        )
        if gate.admit(now_ms, unload).is_permitted:
            self.fleet.unloads.append(self.fleet.now_ms)

    def reload_settings(self, new: RouterSettings) -> None:
        """New settings that move homes: what they move is loaded at once."""
        previous = self.settings
        self.settings = self.component.gate.admitted_settings(self.local_now, previous, new)
        if self.settings.prices != previous.prices:
            for function_id in range(5):
                for worker_id in range(WORKER_COUNT):
                    self.fleet.load_function(worker_id, function_id)


class SimulatedFleet:
    escrow_type: type[FakeEscrow] = FakeEscrow

    def __init__(self, seed: int = 1) -> None:
        self.rng, self.now_ms, self.event_count = random.Random(seed), 0.0, 0
        self.workers = [SimulatedWorker(worker_id) for worker_id in range(WORKER_COUNT)]
        self.placements: list[
            tuple[float, int, int]
        ] = []  # as the workers recorded them: when, worker, function
        self.rejections: list[tuple[float, int]] = []
        self.needless_rejections: list[tuple[float, int]] = []  # though a placed worker had capacity
        self.unloads: list[float] = []
        self.served_count = self.entry_count = 0
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

    def run(self, until: float) -> SimulatedFleet:
        while self.now_ms < until:
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
        return router.partition.since <= self.now_ms < router.partition.until

    def declare(self, kind: EntryKind, body: WindowBody, replaces_digest: int = 0) -> None:
        self.entry_count += 1
        entry = Entry(kind, body.window_id, Version(self.entry_count, 0, 1), encode(body), replaces_digest)
        received_at = [
            self.now_ms + self.rng.uniform(0.0, DELIVERY_SPREAD_MS) * (router.router_index > 0)
            for router in self.routers
        ]
        for router in self.routers:
            if self.is_partitioned(router):
                delay_ms = self.rng.uniform(0.0, DELIVERY_SPREAD_MS)
                received_at[router.router_index] = router.partition.until + delay_ms
        majority_at = sorted(received_at)[ROUTER_COUNT // 2]
        for router in self.routers:
            delivery = Delivery(received_at[router.router_index], entry, majority_at)
            router.replicated_state.deliveries[kind].append(delivery)

    def load_function(self, worker_id: int, function_id: int) -> None:
        worker = self.workers[worker_id]
        if not worker.is_gone and function_id not in worker.placed_functions:
            worker.placed_functions.add(function_id)
            self.placements.append((self.now_ms, worker_id, function_id))

    def send(self, router: SimulatedRouter, worker_id: int, function_id: int) -> None:
        self.load_function(worker_id, function_id)
        self.served_count += 1
        router.in_flight[worker_id] = router.in_flight.get(worker_id, 0) + 1
        incarnation = self.workers[worker_id].incarnation
        self.schedule(
            self.now_ms + 30.0, lambda: router.on_attempt_ended(worker_id, incarnation, function_id)
        )

    def stop_worker(self, worker_id: int, comes_back: bool = True, drains: bool = False) -> None:
        worker = self.workers[worker_id]
        worker.is_draining = drains
        if not drains:
            worker.incarnation += 1
            worker.is_gone, worker.placed_functions = not comes_back, set()
        if worker.is_gone:
            listed = tuple(each.endpoint() for each in self.workers if not each.is_gone)
            update = EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, listed)
        else:
            update = EndpointUpdate(EndpointUpdateKind.DELTA, 1, (worker.endpoint(),))
        for router in self.routers:
            router.component.on_notification(router.local_now, update)

    def restart_router(self, router_index: int, keeps_entries: bool) -> None:
        """``keeps_entries``: its disk gives back what it held; else it holds nothing until it is fresh."""
        previous = self.routers[router_index]
        restarted = SimulatedRouter(self, router_index, self.now_ms)
        restarted.wall_clock_step_ms, restarted.partition = previous.wall_clock_step_ms, previous.partition
        for kind, deliveries in previous.replicated_state.deliveries.items():
            delivered_from = max(self.now_ms, previous.partition.until) + DELIVERY_SPREAD_MS
            delayed = [
                delivery._replace(received_at=max(delivery.received_at, delivered_from))
                for delivery in deliveries
            ]
            restarted.replicated_state.deliveries[kind] = deliveries if keeps_entries else delayed
        self.routers[router_index] = restarted

    # What the scenarios check.

    def count_placements(self, from_ms: float, until_ms: float) -> int:
        return sum(from_ms <= at < until_ms for at, _, _ in self.placements)

    def peak_placements(self, from_ms: float, until_ms: float, span_ms: float = 250.0) -> int:
        times = [at for at, _, _ in self.placements if from_ms <= at < until_ms]
        return max((sum(start <= at < start + span_ms for at in times) for start in times), default=0)


WINDOW_START_MS, WINDOW_END_MS = 20_000.0, 60_000.0
RUN_END_MS = 80_000.0


def window_terms(start: float = WINDOW_START_MS, end: float = WINDOW_END_MS, **changes: Any) -> WindowTerms:
    base = WindowTerms(
        "w",
        int(EPOCH_UNIX_MS + start),
        int(EPOCH_UNIX_MS + end),
        (),
        (),
        (),
        ALL_CHANGE_KINDS,
        0,
        "ops",
        "cycle",
    )
    return msgspec.structs.replace(base, **changes)


def revocation() -> Revocation:
    return Revocation("w", "ops", "over")


# Each scenario returns what is wrong with the fleet: nothing, where all is well.
Violations = list[str]


def when(is_wrong: bool, text: str) -> Violations:
    return [text] if is_wrong else []


def changes_over_budget(
    fleet: SimulatedFleet, from_ms: float, until_ms: float, exception_budget: int = 0
) -> Violations:
    count = fleet.count_placements(from_ms, until_ms)
    text = f"{count} changes from {from_ms} to {until_ms}, {exception_budget} permitted"
    return when(count > exception_budget, text)


def quiet_window(fleet: SimulatedFleet) -> Violations:
    fleet.declare(EntryKind.FREEZE, window_terms())
    fleet.run(RUN_END_MS)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, WINDOW_END_MS),
        *when(any(WINDOW_START_MS <= at < WINDOW_END_MS for at in fleet.unloads), "unloaded"),
        *when(fleet.count_placements(WINDOW_END_MS, RUN_END_MS) == 0, "nothing was requested or released"),
        *when(bool(fleet.rejections), "calls were rejected"),
    ]


def declared_late(fleet: SimulatedFleet) -> Violations:
    fleet.run(15_000.0).declare(EntryKind.FREEZE, window_terms(15_100.0))
    fleet.run(WINDOW_END_MS)
    is_logged = all("late_in_force_from=" in "".join(router.log_lines) for router in fleet.routers)
    return [
        *changes_over_budget(fleet, 15_000.0 + STALENESS_BOUND_MS, WINDOW_END_MS),
        *when(not is_logged, "it did not say that it is late"),
    ]


def workers_die(fleet: SimulatedFleet) -> Violations:
    fleet.declare(EntryKind.FREEZE, window_terms(exception_budget=7))
    fleet.run(25_000.0)
    for worker_id in range(6):
        fleet.stop_worker(worker_id, comes_back=worker_id % 2 == 0, drains=worker_id == 5)
        fleet.run(fleet.now_ms + 4_000.0)
    fleet.run(WINDOW_END_MS)
    is_unused = fleet.count_placements(WINDOW_START_MS, WINDOW_END_MS) == 0
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, WINDOW_END_MS, 7),
        *when(is_unused, "the exception budget was not used"),
        *when(bool(fleet.needless_rejections), "a placed worker had capacity"),
    ]


def window_revoked(fleet: SimulatedFleet) -> Violations:
    fleet.declare(EntryKind.FREEZE, window_terms())
    fleet.run(30_000.0).declare(EntryKind.REVOKE, revocation())
    fleet.run(WINDOW_END_MS - 5_000.0)
    effective_from = 30_000.0 + STALENESS_BOUND_MS
    released = fleet.count_placements(effective_from + DELIVERY_SPREAD_MS, WINDOW_END_MS - 5_000.0)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, effective_from),
        *when(released == 0, "it was not revoked"),
    ]


def break_glass(fleet: SimulatedFleet) -> Violations:
    lifted = BreakGlass("w", int(EPOCH_UNIX_MS + 45_000.0), "ops", "fire")
    fleet.declare(EntryKind.FREEZE, window_terms())
    fleet.run(25_000.0).declare(EntryKind.BREAK_GLASS, lifted)
    fleet.run(WINDOW_END_MS)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, 25_000.0 + STALENESS_BOUND_MS),
        *changes_over_budget(fleet, 45_000.0, WINDOW_END_MS),
        *when(fleet.count_placements(31_000.0, 44_000.0) == 0, "it was not broken open"),
    ]


def window_edited(fleet: SimulatedFleet) -> Violations:
    """It is extended, and one overlaps it; then it is cut short: only that waits until all know."""
    fleet.declare(EntryKind.FREEZE, window_terms(end=40_000.0))
    fleet.declare(EntryKind.FREEZE, window_terms(35_000.0, 50_000.0, window_id="x", function_ids=(1, 2)))
    fleet.run(39_900.0 - STALENESS_BOUND_MS).declare(EntryKind.FREEZE, window_terms(), replaces_digest=1)
    fleet.run(45_000.0).declare(EntryKind.FREEZE, window_terms(end=46_000.0), replaces_digest=2)
    fleet.run(RUN_END_MS)
    effective_from = 45_000.0 + STALENESS_BOUND_MS
    released = fleet.count_placements(effective_from + DELIVERY_SPREAD_MS + 3000.0, WINDOW_END_MS)
    in_overlap = any(
        WINDOW_START_MS <= at < 50_000.0 and function_id in (1, 2) for at, _, function_id in fleet.placements
    )
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, effective_from),
        *when(in_overlap, "the overlap did not hold"),
        *when(released == 0, "it was not cut short"),
    ]


def clocks_step(fleet: SimulatedFleet) -> Violations:
    """Clocks of two step by hours, and one alone by 80 s; then all at once from one bad source."""
    fleet.declare(EntryKind.FREEZE, window_terms())
    fleet.run(25_000.0)
    for router_index, step_ms in ((1, 7_200_000.0), (2, -7_200_000.0), (3, 80_000.0)):
        fleet.routers[router_index].wall_clock_step_ms = step_ms
    fleet.run(40_000.0)
    for router in fleet.routers:
        router.wall_clock_step_ms = 36_000_000.0
    fleet.run(RUN_END_MS)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, WINDOW_END_MS),
        *when(fleet.count_placements(WINDOW_END_MS, RUN_END_MS) == 0, "it did not end"),
    ]


def clock_behind_from_start(fleet: SimulatedFleet) -> Violations:
    """A router whose clock is hours slow from its start: the window begins for it by the others' clocks."""
    fleet.routers[3].wall_clock_step_ms = -7_200_000.0
    fleet.restart_router(3, keeps_entries=False)
    fleet.run(16_000.0).declare(EntryKind.FREEZE, window_terms(21_000.0))
    fleet.run(WINDOW_END_MS)
    is_logged = "wall_clock_deviating offset_s=-" in "".join(fleet.routers[3].log_lines)
    return [
        *changes_over_budget(fleet, 21_000.0, WINDOW_END_MS),
        *when(not is_logged, "it did not say that its clock is off"),
    ]


def routers_restart(fleet: SimulatedFleet) -> Violations:
    """Routers lose all that they knew in the window, some of them partitioned as well."""
    fleet.declare(EntryKind.FREEZE, window_terms(exception_budget=3))
    fleet.run(28_000.0)
    fleet.routers[4].partition = Partition(28_000.0, 45_000.0)
    for router_index in (1, 2, 4):
        fleet.restart_router(router_index, keeps_entries=router_index == 2)
    return changes_over_budget(fleet.run(WINDOW_END_MS), WINDOW_START_MS, WINDOW_END_MS, 3)


def no_peer_heard(fleet: SimulatedFleet) -> Violations:
    """All routers are partitioned from long before the end: the window ends at its end."""
    fleet.declare(EntryKind.FREEZE, window_terms(end=100_000.0))
    fleet.run(25_000.0)
    for router in fleet.routers:
        router.partition = Partition(25_000.0, 1e9)
    fleet.run(110_000.0)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, 100_000.0),
        *when(fleet.count_placements(100_000.0, 110_000.0) == 0, "it did not end"),
    ]


def partitioned_router(fleet: SimulatedFleet) -> Violations:
    """A partitioned router cannot know of a window that is declared meanwhile: it freezes by itself."""
    fleet.routers[2].partition = Partition(12_000.0, 50_000.0)
    fleet.run(16_000.0).declare(EntryKind.FREEZE, window_terms(21_000.0))
    return changes_over_budget(fleet.run(WINDOW_END_MS), 21_000.0, WINDOW_END_MS)


def settings_reloaded(fleet: SimulatedFleet) -> Violations:
    fleet.declare(EntryKind.FREEZE, window_terms())
    fleet.run(30_000.0)
    for router in fleet.routers:
        prices = dataclasses.replace(router.settings.prices, idle_memory=0.5)
        router.reload_settings(dataclasses.replace(router.settings, prices=prices))
    fleet.run(RUN_END_MS)
    are_followed = all(router.settings.prices.idle_memory == 0.5 for router in fleet.routers)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, WINDOW_END_MS),
        *when(not are_followed, "the settings were never followed"),
    ]


def released_slowly(fleet: SimulatedFleet) -> Violations:
    """What was deferred is not made all at once: the peak stays near that of the same fleet unfrozen."""
    fleet.declare(EntryKind.FREEZE, window_terms())
    peak = fleet.run(RUN_END_MS).peak_placements(WINDOW_END_MS, RUN_END_MS)
    max_peak = 1.5 * SimulatedFleet().start().run(WINDOW_END_MS).peak_placements(10_000.0, WINDOW_END_MS)
    return when(peak > max_peak, f"{peak} changes in 250 ms, {max_peak} at most")


SCENARIOS = (
    quiet_window,
    declared_late,
    workers_die,
    window_revoked,
    break_glass,
    window_edited,
    clocks_step,
    clock_behind_from_start,
    routers_restart,
    no_peer_heard,
    partitioned_router,
    settings_reloaded,
    released_slowly,
)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.__name__)
def test_no_placement_changes_beyond_the_exception_budget(
    scenario: Callable[[SimulatedFleet], Violations],
) -> None:
    assert scenario(SimulatedFleet().start().run(10_000.0)) == []


class EscrowWithTotalPerRouter(FakeEscrow):
    has_total_per_router = True


def admit_all_preloads(gate: AdmissionGate, now_ms: float, change: PlacementChange) -> AdmissionDecision:
    return (
        AdmissionDecision(AdmissionAnswer.PERMITTED)
        if change.kind is PlacementChangeKind.PRELOAD
        else ORIGINAL_ADMIT(gate, now_ms, change)
    )


ORIGINAL_ADMIT, ORIGINAL_ON_HOST_READING = AdmissionGate.admit, WallClock.on_host_reading
# Planted: a name, what it is put in place of, and the scenario whose judge must find it.
INJECTED_DEFECTS: tuple[tuple[str, object, str, object, Callable[[SimulatedFleet], Violations]], ...] = (
    (
        "retune goes around",
        AdmissionGate,
        "admitted_settings",
        lambda gate, now_ms, old, new: new,
        settings_reloaded,
    ),
    ("orders go around", AdmissionGate, "admit", admit_all_preloads, quiet_window),
    ("allowance per router", SimulatedFleet, "escrow_type", EscrowWithTotalPerRouter, workers_die),
    (
        "relaxes at once: revocation",
        window._StoredVersion,
        "is_effective",
        lambda version, reading: True,
        window_revoked,
    ),
    (
        "relaxes at once: break-glass",
        window._StoredVersion,
        "is_effective",
        lambda version, reading: True,
        break_glass,
    ),
    (
        "relaxes at once: cut short",
        window._StoredVersion,
        "is_effective",
        lambda version, reading: True,
        window_edited,
    ),
    (
        "follows steps",
        WallClock,
        "on_host_reading",
        lambda clock, now_ms, unix_ms, has_window: ORIGINAL_ON_HOST_READING(
            clock, now_ms, unix_ms, has_window=False
        ),
        clocks_step,
    ),
    (
        "trusts a clock that is off",
        WallClock,
        "deviation_ms",
        lambda clock, now_ms: 0.0,
        clock_behind_from_start,
    ),
    (
        "restart forgets the window",
        ChangeFreezeComponent,
        "_update_uncertainty",
        lambda freeze, now_ms: None,
        routers_restart,
    ),
    ("cut off, it moves on", stale_hold, "STALE_HOLD_MS", 0.0, partitioned_router),
    ("all wishes at once", ReleaseRateLimiter, "__call__", lambda limiter, now_ms: True, released_slowly),
    ("ends only when heard", stale_hold, "STALE_HOLD_MS", math.inf, no_peer_heard),
)


@pytest.mark.parametrize(
    "name,owner,attribute,defect,scenario", INJECTED_DEFECTS, ids=[each[0] for each in INJECTED_DEFECTS]
)
def test_injected_defects_are_found(
    name: str,
    owner: object,
    attribute: str,
    defect: object,
    scenario: Callable[[SimulatedFleet], Violations],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(owner, attribute, defect)
    assert scenario(SimulatedFleet().start().run(10_000.0)) != []
