"""Replay of a run's arrivals on the same workers under other policies, for comparison of load balance.

The policies choose a worker at random, by the router's own load, or by the workers' true state (omniscient).
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from cedarthread.testing.cluster.arrivals import Arrival
from cedarthread.testing.cluster.scenario import Fault, FaultKind, NodeKind, Scenario
from cedarthread.testing.fakes.worker_model import PackageStore, WorkerCall, WorkerModel

MAX_ATTEMPTS = 2  # Maximum attempts per call: the first attempt and one retry if it is rejected.
DRAIN_MS = 10_000.0  # Time after the last arrival in which all calls end.
REPLAY_SEED = 0x5EED  # Makes the random numbers of a replay differ from those of the arrivals.

Policy = Callable[["PolicyReplay", Arrival, list[int]], int]


def worker_models(scenario: Scenario) -> list[WorkerModel]:
    """Return the workers of a scenario, without instances, which share one package store."""
    store = PackageStore(scenario.load_ms, scenario.store_full_speed_loads, scenario.store_max_loads)
    return [
        WorkerModel(
            number, scenario.cores_per_worker, scenario.instances_per_worker, store, scenario.concurrency
        )
        for number in range(scenario.worker_count)
    ]


class _FaultEvent(NamedTuple):
    """The start or the end of a fault at a worker."""

    at_ms: float
    order: int  # Events with the same ``at_ms`` are applied in ascending ``order``.
    apply: Callable[[], None]


class PolicyReplay:
    """A replay; owns the worker models and the routers' counts of calls in flight.

    A policy receives a call and the numbers of the workers that are up, and returns one of these numbers.

    Args:
        scenario: The scenario of the run.
        policy: The name of the policy in ``POLICIES``.
    """

    def __init__(self, scenario: Scenario, policy: str) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed ^ REPLAY_SEED)
        self.policy = POLICIES[policy]
        self.workers = worker_models(scenario)
        self.in_flight = [[0] * scenario.worker_count for _ in range(scenario.router_count)]
        self.is_up = [True] * scenario.worker_count
        self.worker_calls: list[WorkerCall] = []
        self.router_by_call: dict[str, int] = {}

    def run(self, arrivals: list[Arrival]) -> list[WorkerCall]:
        """Replay the arrivals, and return all attempts in order of arrival at the workers."""
        events: list[_FaultEvent] = []
        for fault in self.scenario.faults:
            for number in range(self.scenario.worker_count):
                if fault.targets.includes(NodeKind.WORKER, number):
                    events += self._fault_events(fault, number)
        heapq.heapify(events)
        for arrival in arrivals:
            while events and events[0].at_ms <= arrival.at_ms:
                event = heapq.heappop(events)
                self._advance(event.at_ms)
                event.apply()
            self._advance(arrival.at_ms)
            self._on_arrival(arrival)
        self._advance(arrivals[-1].at_ms + DRAIN_MS if arrivals else 0.0)
        return self.worker_calls

    def _fault_events(self, fault: Fault, number: int) -> list[_FaultEvent]:
        worker = self.workers[number]

        def set_slowdown(factor: float) -> None:
            worker.slowdown = factor

        def set_availability(at_ms: float, *, is_up: bool) -> None:
            self.is_up[number] = is_up
            if not is_up:
                for call in worker.crash(at_ms):
                    self._on_ended(call)

        start_ms = 1000.0 * fault.start_s
        end_ms = 1000.0 * fault.end_s
        order = 1000 * number
        if fault.kind is FaultKind.SLOW_WORKER:
            return [
                _FaultEvent(start_ms, order, lambda: set_slowdown(fault.amount)),
                _FaultEvent(end_ms, order + 1, lambda: set_slowdown(1.0)),
            ]
        if fault.kind in (FaultKind.CRASH_WORKER, FaultKind.SILENCE_WORKER):
            return [
                _FaultEvent(start_ms, order, lambda: set_availability(start_ms, is_up=False)),
                _FaultEvent(end_ms, order + 1, lambda: set_availability(end_ms, is_up=True)),
            ]
        return []

    def _advance(self, now_ms: float) -> None:
        for worker in self.workers:
            for call in worker.advance(now_ms) if worker.next_event_at_ms() <= now_ms else ():
                self._on_ended(call)

    def _on_ended(self, call: WorkerCall) -> None:
        self.in_flight[self.router_by_call[call.call_id]][call.worker] -= 1

    def _on_arrival(self, arrival: Arrival) -> None:
        self.router_by_call[arrival.call_id] = arrival.router
        candidates = [number for number, is_up in enumerate(self.is_up) if is_up]
        for _ in range(MAX_ATTEMPTS):
            if not candidates:
                return
            number = self.policy(self, arrival, candidates)
            candidates.remove(number)
            call = WorkerCall(arrival.call_id, number, arrival.function, arrival.at_ms, arrival.service_ms)
            self.worker_calls.append(call)
            if self.workers[number].on_call(arrival.at_ms, call):
                self.in_flight[arrival.router][number] += 1
                return

    def choose_random(self, arrival: Arrival, candidates: list[int]) -> int:
        """Choose any worker at random."""
        return self.rng.choice(candidates)

    def choose_lowest_own_load(self, arrival: Arrival, candidates: list[int]) -> int:
        """Choose at random among the workers with the fewest calls in flight from the router itself."""
        own_in_flight = self.in_flight[arrival.router]
        fewest = min(own_in_flight[number] for number in candidates)
        return self.rng.choice([number for number in candidates if own_in_flight[number] == fewest])

    def choose_of_two(self, arrival: Arrival, candidates: list[int]) -> int:
        """Choose, of two random workers, the one with fewer calls in flight from the router itself."""
        sample = self.rng.sample(candidates, min(2, len(candidates)))
        return min(sample, key=lambda number: self.in_flight[arrival.router][number])

    def choose_omniscient(self, arrival: Arrival, candidates: list[int]) -> int:
        """Choose the worker with the shortest expected wait, computed from the true state of all workers."""
        return min(
            candidates,
            key=lambda number: (self._expected_wait_ms(arrival, self.workers[number]), self.rng.random()),
        )

    def _expected_wait_ms(self, arrival: Arrival, worker: WorkerModel) -> float:
        """Return an estimate of the time from a call's arrival at a worker until the call is executed."""
        load_ms = self.scenario.load_ms
        queue_ms = worker.in_flight / worker.cores * self.scenario.mean_service_ms * worker.slowdown
        instances = worker.instances_by_function.get(arrival.function)
        if instances is None or not instances.ready + instances.loading:
            return queue_ms + load_ms
        in_flight = instances.busy_slots + len(instances.waiting_calls)
        is_slot_free = in_flight < instances.ready * worker.concurrency
        return queue_ms + (0.0 if is_slot_free else load_ms / 2 if instances.loading else load_ms)


POLICIES: dict[str, Policy] = {  # Keys: names of the policies in result files.
    "random": PolicyReplay.choose_random,
    "own": PolicyReplay.choose_lowest_own_load,
    "two": PolicyReplay.choose_of_two,
    "all": PolicyReplay.choose_omniscient,
}
OMNISCIENT = "all"
