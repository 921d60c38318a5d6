"""Many routers that restart at once, in a small simulation on virtual time, judged by its own records."""

from __future__ import annotations

import copy
import dataclasses
import heapq
import itertools
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import pytest

from cedarthread import statistics
from cedarthread.components.notifications import AttemptCompleted, PeersChanged, WallClockRead
from cedarthread.model.actions import SendToPeer
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.recovery import codec, peer_query, snapshot
from cedarthread.recovery.component import RecoveryComponent
from cedarthread.recovery.pacing import Pacer
from cedarthread.recovery.pacing_limits import MIN_WORKER_CONNECTIONS_PER_WINDOW
from cedarthread.recovery.state_machine import RecoveryPhase, RecoveryStateMachine, TransitionCause
from cedarthread.recovery.warm_state import AgedObservation, Observation, Source, WarmState, start_tag
from tests.helpers import LIMITS, copier, settings, worker

if TYPE_CHECKING:
    from cedarthread.components.messages import OutboundMessage

KEEP_ALIVE_MS = 9000.0
LOAD_MS = 900.0
SERVICE_MS = 40.0
LATENCY_OBJECTIVE_MS = 700.0
DEADLINE_MS = 3000.0
FULL_SPEED_LOADS = 8  # that the package store serves at full speed
WALL_CLOCK_AT_0_MS = 1e12
WORKER_START_MS = 1000.0
SETTLED_MS = 45_000.0  # time after which an undisturbed fleet is in service


class SimulatedFleet:
    """Routers, workers with instances, one package store, a network that loses and delays; records of all."""

    def __init__(
        self,
        routers: int,
        workers: int,
        functions: int,
        calls_per_second: float,
        seed: int,
        allows_gossip: bool = True,
    ) -> None:
        self.rng, self.now_ms, self.serial = random.Random(seed), 0.0, 0
        self.router_count, self.worker_ids = routers, list(range(workers))
        self.calls_per_second = calls_per_second
        self.popularity = list(itertools.accumulate((rank + 1) ** -0.9 for rank in range(functions)))
        self.limits = dataclasses.replace(LIMITS, allows_gossip=allows_gossip)
        self.schedule: list[tuple[float, int, str, tuple[object, ...]]] = []
        self.worker_starts = dict.fromkeys(self.worker_ids, WORKER_START_MS)
        self.last_used: dict[int, dict[int, float]] = {worker_id: {} for worker_id in self.worker_ids}
        self.load_ends: dict[tuple[int, int], float] = {}  # by worker and function
        self.load_times: list[float] = []
        self.connection_times: dict[int, list[float]] = defaultdict(list)  # by worker
        self.sent_datagrams: dict[int, list[tuple[float, int]]] = defaultdict(list)  # time and kind
        self.call_values: dict[int, list[float]] = defaultdict(list)  # by the tenth of a second of arrival
        self.stale_decisions = 0  # calls sent as warm to a worker that restarted since, or drains
        self.draining: set[int] = set()
        self.last_seen_warm: dict[tuple[int, int], float] = {}  # by worker and function, by any router
        self.snapshots: dict[int, bytes] = {}
        self.down: set[int] = set()
        self.router_starts = [-1e6] * routers
        self.paces_loads, self.paces_connections, self.restarts_all_knowing = True, True, False
        self.routers: list[RecoveryComponent] = []
        for index in range(routers):
            self.routers.append(self.new_router(index))
            self.at(index * 7.0, "tick", index)
            self.at(self.rng.uniform(0, 100.0), "arrive", index)
        self.connected: list[set[int]] = [set() for _ in range(routers)]

    def new_router(self, index: int) -> RecoveryComponent:
        own_settings = settings(
            router_count=self.router_count,
            router_index=index,
            keep_alive_ms=KEEP_ALIVE_MS,
            limits=self.limits,
        )
        recovery = RecoveryComponent(own_settings, self.rng.getrandbits(30), self.now_ms)
        recovery.on_notification(self.now_ms, WallClockRead(WALL_CLOCK_AT_0_MS + self.now_ms))
        recovery.on_notification(self.now_ms, self.endpoint_snapshot())
        return recovery

    def endpoint_snapshot(self) -> EndpointUpdate:
        states = dict.fromkeys(self.draining, EndpointState.DRAINING)
        endpoints = tuple(
            worker(
                worker_id,
                states.get(worker_id, EndpointState.READY),
                started=self.worker_starts[worker_id],
            )
            for worker_id in self.worker_ids
        )
        return EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, endpoints)

    def at(self, when: float, method: str, *args: object) -> None:
        self.serial += 1
        heapq.heappush(self.schedule, (when, self.serial, method, args))

    def run(self, until: float) -> SimulatedFleet:
        while self.schedule[0][0] < until:
            self.now_ms, _, method, args = heapq.heappop(self.schedule)
            getattr(self, method)(*args)
        self.now_ms = until
        return self

    # Routers.

    def tick(self, index: int) -> None:
        self.at(self.now_ms + 125.0, "tick", index)
        if index in self.down:
            return
        alive = tuple(peer for peer in range(self.router_count) if peer != index and peer not in self.down)
        alive_for_ms = {peer: self.now_ms - self.router_starts[peer] for peer in alive}
        recovery = self.routers[index]
        recovery.on_notification(self.now_ms, PeersChanged(alive, self.router_count, alive_for_ms))
        self.transmit(index, recovery.on_tick(self.now_ms))
        if (raw := recovery.snapshot(self.now_ms)) is not None and self.rng.random() < 0.125:
            self.snapshots[index] = raw

    def transmit(self, sender: int, messages: Iterable[OutboundMessage]) -> None:
        for message in messages:
            if isinstance(message, SendToPeer) and message.peer_index is not None:
                self.sent_datagrams[sender].append((self.now_ms, message.data[1]))
                if self.rng.random() > 0.1:
                    arrives_at = self.now_ms + self.rng.uniform(1.0, 20.0)
                    self.at(arrives_at, "datagram", message.peer_index, sender, message.data)

    def datagram(self, receiver: int, sender: int, data: bytes) -> None:
        if receiver not in self.down:
            self.transmit(receiver, self.routers[receiver].on_message(self.now_ms, sender, data))

    def kill(self, index: int, back_at: float, store: bool, peers: bool) -> None:
        self.down.add(index)
        self.connected[index] = set()
        self.at(back_at, "come_back", index, store, peers)

    def come_back(self, index: int, store: bool, peers: bool) -> None:
        self.down.discard(index)
        self.router_starts[index] = self.now_ms
        recovery = self.routers[index] = self.new_router(index)
        if store:
            recovery.restore(self.now_ms, self.snapshots[index])
        recovery.peer_exchange.can_query_peers = recovery.peer_exchange.can_query_peers and peers
        if self.restarts_all_knowing:
            recovery.state_machine.phase = RecoveryPhase.IN_SERVICE
            for worker_id, functions in self.last_used.items():
                for function_id, used_at in functions.items():
                    tag = start_tag(self.worker_starts[worker_id])
                    aged = AgedObservation(worker_id, tag, function_id, self.now_ms - used_at, True)
                    recovery.warm_state.merge_remote(self.now_ms, self.now_ms, aged, Source.STORE)

    # Calls.

    def arrive(self, index: int) -> None:
        self.at(self.now_ms + self.rng.expovariate(self.calls_per_second / 1000.0), "arrive", index)
        functions = range(len(self.popularity))
        function_id = self.rng.choices(functions, cum_weights=self.popularity)[0]
        self.call(index, self.now_ms, function_id)
        if self.rng.random() < 0.02 and self.connected[index]:  # connections break on any day
            self.connected[index].discard(self.rng.choice(sorted(self.connected[index])))

    def call(self, index: int, arrived_at: float, function_id: int) -> None:
        recovery, tenth = self.routers[index], int(arrived_at / 100.0)
        if index in self.down or self.now_ms - arrived_at > DEADLINE_MS:
            self.call_values[tenth].append(0.0)
            return
        connected = self.connected[index]
        warm_workers = sorted(
            recovery.warm_instances(self.now_ms, function_id),
            key=lambda worker_id: (worker_id not in connected, worker_id),
        )
        for worker_id in warm_workers:
            if worker_id in connected or self.connect(index, worker_id):
                has_restarted = self.worker_starts[worker_id] > WORKER_START_MS
                self.stale_decisions += worker_id in self.draining or (
                    function_id not in self.last_used[worker_id] and has_restarted
                )
                self.send(index, arrived_at, function_id, worker_id)
                return
        # All routers agree on a home; a third of the functions have instances elsewhere too.
        home_count = 1 if function_id % 3 else 3
        worker_id = (function_id * 7 + self.rng.randrange(home_count)) % len(self.worker_ids)
        while worker_id in self.draining:
            worker_id = (worker_id + 1) % len(self.worker_ids)
        is_connected = not warm_workers and (worker_id in connected or self.connect(index, worker_id))
        if is_connected and (not self.paces_loads or recovery.try_acquire_load(self.now_ms, function_id)):
            self.send(index, arrived_at, function_id, worker_id)
            return
        self.at(self.now_ms + 50.0, "call", index, arrived_at, function_id)

    def connect(self, index: int, worker_id: int) -> bool:
        recovery = self.routers[index]
        if self.paces_connections and not recovery.try_acquire_connection(self.now_ms, worker_id):
            return False
        self.connection_times[worker_id].append(self.now_ms)
        self.connected[index].add(worker_id)
        recovery.admission.on_connection_result(succeeded=True)
        return True

    def send(self, index: int, arrived_at: float, function_id: int, worker_id: int) -> None:
        used_at = self.last_used[worker_id].get(function_id)
        load_ends_at = self.load_ends.get((worker_id, function_id), 0.0)
        was_warm = used_at is not None and self.now_ms - used_at <= KEEP_ALIVE_MS
        if not was_warm and load_ends_at < self.now_ms:
            self.load_times.append(self.now_ms)
            in_flight = sum(1 for ends_at in self.load_ends.values() if ends_at > self.now_ms)
            load_ends_at = self.now_ms + LOAD_MS * max(1.0, (in_flight + 1) / FULL_SPEED_LOADS)
            self.load_ends[worker_id, function_id] = load_ends_at
        if load_ends_at > self.now_ms:
            was_warm = False
        starts_at = max(self.now_ms, load_ends_at)
        self.last_used[worker_id][function_id] = starts_at
        attempt = (index, self.router_starts[index], worker_id, self.worker_starts[worker_id], function_id)
        self.at(starts_at + SERVICE_MS, "complete", attempt, arrived_at, self.now_ms, was_warm)

    def complete(
        self, attempt: tuple[int, float, int, float, int], arrived_at: float, sent_at: float, was_warm: bool
    ) -> None:
        index, router_start, worker_id, worker_start, function_id = attempt
        is_lost = (
            index in self.down
            or router_start != self.router_starts[index]
            or worker_start != self.worker_starts[worker_id]
        )
        is_in_time = self.now_ms - arrived_at <= LATENCY_OBJECTIVE_MS
        value = 0.0 if is_lost else 1.0 if is_in_time else 0.2
        self.call_values[int(arrived_at / 100.0)].append(value)
        if not is_lost:
            self.last_seen_warm[worker_id, function_id] = self.now_ms
            ended = AttemptCompleted(
                worker_id, function_id, None, self.now_ms - sent_at, Outcome.OK, was_warm
            )
            self.routers[index].on_notification(self.now_ms, ended)

    # Faults.

    def restart_routers(self, fraction: float, store: bool = False, peers: bool = True) -> float:
        """Kill a part of the routers, which come back; the time when the last one is dead."""
        killed = self.rng.sample(range(self.router_count), round(fraction * self.router_count))
        for index in killed:
            self.at(
                self.now_ms + self.rng.uniform(0.0, 300.0), "kill", index, self.now_ms + 900.0, store, peers
            )
        return self.now_ms + 300.0

    def restart_workers(self, restarted: list[int], draining: set[int]) -> None:
        """Workers lose their instances by a restart, others drain; the endpoint list says so at once."""
        self.draining = draining
        for worker_id in restarted:
            self.worker_starts[worker_id] = WALL_CLOCK_AT_0_MS + self.now_ms
            self.last_used[worker_id] = {}
        for index in range(self.router_count):
            if index not in self.down:
                self.routers[index].on_notification(self.now_ms, self.endpoint_snapshot())

    # Records.

    def mean_value(self, since: float, until: float) -> float:
        """The mean value of the calls that arrived then."""
        tenths = range(round(since / 100.0), round(until / 100.0))
        values = [value for tenth in tenths for value in self.call_values[tenth]]
        return sum(values) / max(1, len(values))

    def recovery_ms(self, died_at: float, value_before: float) -> float:
        """Time from the last death until the value in windows of 1 s has stayed at 0.95 of before for 5 s."""
        good_windows = 0
        for step in range(250):
            start = died_at + 100.0 * step
            is_good = self.mean_value(start, start + 1000.0) >= 0.95 * value_before
            good_windows = good_windows + 1 if is_good else 0
            if good_windows == 41:
                return start - 4000.0 - died_at
        return 25_000.0

    def too_young_observations(self) -> list[str]:
        """Instances that a router takes for more lately seen than any router ever saw them."""
        return [
            f"router {index} takes {function_id} on {worker_id} for {instance.warm_age_ms:.0f} ms old"
            for index, recovery in enumerate(self.routers)
            for function_id in range(len(self.popularity))
            for worker_id, instance in recovery.warm_instances(self.now_ms, function_id).items()
            if instance.warm_age_ms is not None
            and self.now_ms - instance.warm_age_ms
            > self.last_seen_warm.get((worker_id, function_id), -1.0) + 0.001
        ]


def peak(times: Iterable[float], since: float = 0.0) -> int:
    """The most events in any 250 ms."""
    sorted_times = sorted(time for time in times if time >= since)
    first = most = 0
    for last, time in enumerate(sorted_times):
        while time - sorted_times[first] >= 250.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.fixture(scope="module")
def settled() -> SimulatedFleet:
    """A fleet that has been undisturbed for so long that all its routers are in service."""
    fleet = SimulatedFleet(16, workers=10, functions=60, calls_per_second=12.0, seed=11).run(SETTLED_MS)
    for recovery in fleet.routers:
        assert recovery.is_in_service()
        assert not recovery.admission.is_paced
    return fleet


@pytest.fixture(scope="module")
def usual_peak(settled: SimulatedFleet) -> int:
    """The peak of loads in any 250 ms of the same fleet undisturbed."""
    fleet = copy.deepcopy(settled).run(SETTLED_MS + 20_000.0)
    return peak(fleet.load_times, SETTLED_MS - 20_000.0)


# What the routers that restart have: a store, peers to query.
VARIANTS = {"nothing": (False, False), "store": (True, False), "peers": (False, True), "both": (True, True)}
ALL_KNOWING = "all-knowing"


def play(settled: SimulatedFleet, fraction: float, variant: str) -> tuple[SimulatedFleet, float]:
    """The fleet 20 s after a restart of some routers, and how long they took to recover."""
    fleet = copy.deepcopy(settled)
    fleet.restarts_all_knowing = variant == ALL_KNOWING
    fleet.paces_loads = fleet.paces_connections = variant != ALL_KNOWING
    value_before = fleet.mean_value(SETTLED_MS - 10_000.0, SETTLED_MS)
    store, peers = VARIANTS.get(variant, (False, False))
    died_at = fleet.restart_routers(fraction, store, peers)
    fleet.run(SETTLED_MS + 20_000.0)
    return fleet, fleet.recovery_ms(died_at, value_before)


@pytest.mark.parametrize("fraction", [0.7, 1.0])
def test_routers_that_remember_recover_soon_and_none_causes_a_stampede(
    settled: SimulatedFleet, usual_peak: int, fraction: float
) -> None:
    recovery_ms: dict[str, float] = {}
    for variant in (*VARIANTS, ALL_KNOWING):
        fleet, recovery_ms[variant] = play(settled, fraction, variant)
        if variant == ALL_KNOWING:
            continue
        assert peak(fleet.load_times, SETTLED_MS) <= max(3, 1.5 * usual_peak), variant
        connection_peak = max(peak(times, SETTLED_MS) for times in fleet.connection_times.values())
        max_ratio = 2.0 if variant in ("nothing", "peers") else 1.5
        assert connection_peak <= max_ratio * MIN_WORKER_CONNECTIONS_PER_WINDOW, variant
        assert fleet.stale_decisions == 0
        assert not fleet.too_young_observations()
        assert all(recovery.is_in_service() for recovery in fleet.routers)
    assert recovery_ms["both"] <= 1.5 * recovery_ms[ALL_KNOWING]
    assert recovery_ms["both"] <= 0.5 * recovery_ms["nothing"]
    if fraction < 1.0:
        assert recovery_ms["peers"] <= 1.7 * recovery_ms[ALL_KNOWING]
    else:
        assert recovery_ms["peers"] <= 1.5 * recovery_ms["nothing"]


def test_routers_without_gossip_recover_by_their_store_alone(usual_peak: int) -> None:
    fleet = SimulatedFleet(16, 10, 60, 12.0, 11, allows_gossip=False).run(SETTLED_MS)
    value_before = fleet.mean_value(SETTLED_MS - 10_000.0, SETTLED_MS)
    died_at = fleet.restart_routers(0.7, store=True)
    fleet.run(SETTLED_MS + 20_000.0)
    assert fleet.recovery_ms(died_at, value_before) <= 3000.0
    assert peak(fleet.load_times, SETTLED_MS) <= max(4, 1.5 * usual_peak)
    assert not any(fleet.sent_datagrams.values())


# Invariant checks, which read the simulation's records, and the defects that they must find.


def responses_in_a_query_storm() -> int:
    """Response datagrams that one survivor sends within a second while 100 routers query it all the time."""
    survivor = RecoveryComponent(settings(router_count=102, router_index=0), 1, 0.0)
    endpoints = tuple(worker(worker_id) for worker_id in range(30))
    survivor.on_notification(0.0, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, endpoints))
    for function_id in range(600):
        ended = AttemptCompleted(function_id % 30, function_id, None, 1.0, Outcome.OK, True)
        survivor.on_notification(1.0, ended)
    response_count = 0
    for nonce in range(2000):
        query = codec.encode(codec.Query(nonce, nonce % 4, 4))
        response_count += sum(
            isinstance(message, SendToPeer) and message.data[1] == codec.DatagramKind.RESPONSE
            for message in survivor.on_message(1.0 + nonce / 2, 1 + nonce % 100, query)
        )
    return response_count


Violations = set[str]
Check = Callable[[SimulatedFleet, int], Violations]


def check_restart_with_store(settled: SimulatedFleet, usual_peak: int) -> Violations:
    """All routers restart with a store, while workers restart and one drains."""
    fleet = copy.deepcopy(settled)
    fleet.restart_routers(1.0, store=True)
    fleet.run(SETTLED_MS + 500.0)
    fleet.restart_workers([0, 1, 2, 4], {3})
    fleet.run(SETTLED_MS + 4000.0)
    violations = {
        # 4 to 6 loads at once by seed, 22 to 31 without pacing
        "stampede at the store": peak(fleet.load_times, SETTLED_MS) > 4 * usual_peak,
        "stale decisions": fleet.stale_decisions > 0,
        "made younger": bool(fleet.too_young_observations()),
    }
    return {name for name, is_violated in violations.items() if is_violated}


def check_restart_with_peers(settled: SimulatedFleet, usual_peak: int) -> Violations:
    """Seven of ten routers restart without a store."""
    fleet = copy.deepcopy(settled)
    value_before = fleet.mean_value(SETTLED_MS - 10_000.0, SETTLED_MS)
    died_at = fleet.restart_routers(0.7, store=False)
    fleet.run(SETTLED_MS + 10_000.0)
    violations = {
        "made younger": bool(fleet.too_young_observations()),
        "late": fleet.recovery_ms(died_at, value_before) > 1500.0,
    }
    return {name for name, is_violated in violations.items() if is_violated}


def check_survivors(settled: SimulatedFleet, usual_peak: int) -> Violations:
    max_responses = peer_query.RESPONSES_PER_SECOND + peer_query.RESPONSE_BURST
    return {"survivor overloaded"} if responses_in_a_query_storm() > max_responses else set()


def is_usable_without(
    *, ready: bool = False, start: bool = False
) -> Callable[[WarmState, float, int, int, Observation], bool]:
    """``WarmState.is_usable`` without one of its rules."""

    def is_usable(
        warm_state: WarmState, now_ms: float, worker_id: int, tag: int, observation: Observation
    ) -> bool:
        listed = warm_state.workers.get(worker_id)
        if listed is None or not (ready or listed.is_ready) or not (start or listed.start_tag == tag):
            return False
        return observation.is_warm and now_ms - observation.observed_at_ms <= warm_state.keep_alive_ms

    return is_usable


MERGE_REMOTE, RESTORE_OBSERVATION = WarmState.merge_remote, snapshot.restore_observation


def merge_without_age(
    warm_state: WarmState, now_ms: float, requested_at_ms: float, aged: AgedObservation, source: Source
) -> bool:
    return MERGE_REMOTE(warm_state, now_ms, now_ms, dataclasses.replace(aged, age_ms=0.0), source)


def restore_without_growth(
    warm_state: WarmState, now_ms: float, age_growth_ms: float, row: snapshot.ObservationRow
) -> bool:
    return RESTORE_OBSERVATION(warm_state, now_ms, 0.0, row)


# Owner, name and replacement of what is broken; the check that must find it, and what it must say.
INJECTED_DEFECTS: dict[str, tuple[object, str, object, Check, str]] = {
    "loads not paced": (
        Pacer,
        "try_acquire_load",
        lambda pacer, now_ms: 1.0,
        check_restart_with_store,
        "stampede at the store",
    ),
    "stale start believed": (
        WarmState,
        "is_usable",
        is_usable_without(start=True),
        check_restart_with_store,
        "stale decisions",
    ),
    "draining worker believed": (
        WarmState,
        "is_usable",
        is_usable_without(ready=True),
        check_restart_with_store,
        "stale decisions",
    ),
    "age counted from the response": (
        WarmState,
        "merge_remote",
        merge_without_age,
        check_restart_with_peers,
        "made younger",
    ),
    "responses unbounded": (
        statistics.TokenBucket,
        "take",
        lambda *_: True,
        check_survivors,
        "survivor overloaded",
    ),
    "phases ended by timeouts alone": (
        RecoveryStateMachine,
        "_is_phase_complete",
        lambda machine, evidence: False,
        check_restart_with_peers,
        "late",
    ),
    "stored ages not grown": (
        snapshot,
        "restore_observation",
        restore_without_growth,
        check_restart_with_store,
        "made younger",
    ),
}


@pytest.mark.parametrize("check", [check_restart_with_store, check_restart_with_peers, check_survivors])
def test_the_checks_find_nothing_in_the_component_as_it_is(
    settled: SimulatedFleet, usual_peak: int, check: Check
) -> None:
    assert check(settled, usual_peak) == set()


@pytest.mark.parametrize("defect", INJECTED_DEFECTS)
def test_a_check_finds_each_injected_defect(
    settled: SimulatedFleet, usual_peak: int, defect: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner, name, replacement, check, violation = INJECTED_DEFECTS[defect]
    monkeypatch.setattr(owner, name, replacement)
    assert violation in check(settled, usual_peak)


# Model checking of a small fleet: every order of ticks, datagrams that arrive, are lost or doubled, restarts.

FUNCTION = 7
SETTINGS = {
    (router_count, index): settings(router_count=router_count, router_index=index, keep_alive_ms=1200.0)
    for router_count in (2, 3)
    for index in range(router_count)
}


class SmallFleet:
    """Two or three routers of which the first is old and knows one warm instance; datagrams are in flight."""

    def __init__(self, router_count: int) -> None:
        self.now_ms = 30_000.0
        self.ticks_left, self.restarts_left = 3, 1
        self.has_worker_restarted = False
        self.router_starts = [-90_000.0] + [self.now_ms] * (router_count - 1)
        self.in_flight: list[tuple[int, int, bytes]] = []  # receiver, sender, data
        self.routers = [self.new_router(index, router_count) for index in range(router_count)]
        self.routers[0].on_notification(
            self.now_ms, AttemptCompleted(1, FUNCTION, None, 1.0, Outcome.OK, True)
        )
        self.last_seen_warm = self.now_ms

    def new_router(self, index: int, router_count: int) -> RecoveryComponent:
        recovery = RecoveryComponent(SETTINGS[router_count, index], index, self.now_ms)
        endpoints = (worker(1, started=5.0 + self.has_worker_restarted),)
        recovery.on_notification(self.now_ms, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, endpoints))
        return recovery

    def events(self) -> list[tuple[str, int]]:
        """What may happen next."""
        events = [("tick", 0)] if self.ticks_left else []
        events += [("pause", 0)] if self.ticks_left == 2 else []  # all processes are paused
        for number in range(min(2, len(self.in_flight))):
            events += [(name, number) for name in ("arrive", "lose", "duplicate")]
        events += [("restart", index) for index in range(len(self.routers)) if self.restarts_left]
        return events + ([] if self.has_worker_restarted else [("restart worker", 0)])

    def apply(self, event: str, number: int) -> None:
        if event in ("tick", "pause"):
            self.ticks_left -= 1
            self.now_ms += 300.0 if event == "tick" else 2500.0
            self._tick()
        elif event in ("arrive", "lose", "duplicate"):
            datagram = self.in_flight[number] if event == "duplicate" else self.in_flight.pop(number)
            receiver, sender, data = datagram
            if event != "lose":
                self._transmit(receiver, self.routers[receiver].on_message(self.now_ms, sender, data))
        elif event == "restart":
            self.restarts_left, self.router_starts[number] = 0, self.now_ms
            self.routers[number] = self.new_router(number, len(self.routers))
        else:
            self.has_worker_restarted = True
            update = EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(1, started=6.0),))
            for recovery in self.routers:
                recovery.on_notification(self.now_ms, update)

    def _tick(self) -> None:
        for index, recovery in enumerate(self.routers):
            peers = tuple(peer for peer in range(len(self.routers)) if peer != index)
            alive_for_ms = {peer: self.now_ms - self.router_starts[peer] for peer in peers}
            recovery.on_notification(self.now_ms, PeersChanged(peers, len(self.routers), alive_for_ms))
            self._transmit(index, recovery.on_tick(self.now_ms))

    def _transmit(self, sender: int, messages: Iterable[OutboundMessage]) -> None:
        for message in messages:
            if isinstance(message, SendToPeer) and message.peer_index is not None:
                self.in_flight.append((message.peer_index, sender, message.data))
        del self.in_flight[2:]  # the rest is lost

    def check(self) -> None:
        """The invariants of any state."""
        for recovery in self.routers:
            for instance in recovery.warm_instances(self.now_ms, FUNCTION).values():
                assert not self.has_worker_restarted
                assert instance.warm_age_ms is not None
                assert self.now_ms - instance.warm_age_ms <= self.last_seen_warm
                assert instance.warm_age_ms <= 1200.0
            assert len(recovery.peer_exchange.client.pending) <= peer_query.MAX_PENDING_QUERIES
            machine = recovery.state_machine
            if machine.phase is RecoveryPhase.PEER_QUERY and machine.cause is TransitionCause.EVIDENCE:
                alive_count = 1 + len(recovery.fleet_view.peer_uptimes_ms(self.now_ms))
                assert 2 * alive_count > len(self.routers)
            if machine.phase is RecoveryPhase.IN_SERVICE:  # no call came: by timeouts alone
                assert self.now_ms - recovery.state_machine.restarted_at_ms >= machine.timeouts.warming_ms

    def key(self) -> object:
        """What tells two states apart; times in whole milliseconds, without nonces."""
        in_flight = tuple(
            sorted((receiver, sender, data[1], len(data)) for receiver, sender, data in self.in_flight)
        )
        return (
            tuple(self._router_key(recovery) for recovery in self.routers),
            in_flight,
            self.now_ms,
            self.ticks_left,
            self.restarts_left,
            self.has_worker_restarted,
        )

    def _router_key(self, recovery: RecoveryComponent) -> object:
        client = recovery.peer_exchange.client
        return (
            recovery.state_machine.phase,
            round(self.now_ms - recovery.state_machine.entered_at_ms),
            round(self.now_ms - recovery.state_machine.restarted_at_ms),
            tuple(
                (segment.responses, segment.is_complete, tuple(sorted(segment.responders)))
                for segment in client.segments
            ),
            tuple(sorted((query.peer, query.segment, query.sent_at_ms) for query in client.pending.values())),
            tuple(
                (key, round(observation.observed_at_ms))
                for by_start in recovery.warm_state.observations.values()
                for key, observation in by_start.items()
            ),
        )


def explore(router_count: int, max_states: int) -> int:
    """The number of states reached, each of which was checked."""
    first = SmallFleet(router_count)
    to_visit, known = deque([first]), {first.key()}
    while to_visit and len(known) < max_states:
        copy_of_state = copier(to_visit[0], SETTINGS.values())
        for event, number in to_visit.popleft().events():
            fleet = copy_of_state()
            fleet.apply(event, number)
            fleet.check()
            if (key := fleet.key()) not in known:
                known.add(key)
                to_visit.append(fleet)
    return len(known)


def test_two_routers_explored_completely_and_three_in_part_keep_the_invariants() -> None:
    states = [explore(2, 10_000), explore(3, 1000)]
    print("states", states)
    assert 1900 <= states[0] < 10_000
    assert states[1] >= 1000
