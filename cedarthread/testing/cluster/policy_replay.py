"""The same arrivals on the same workers under other policies: random, by the router's own load, omniscient.

They are what a run's load balance is compared with.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from cedarthread.testing.cluster.arrivals import Arrival
from cedarthread.testing.cluster.scenario import Fault, FaultKind, Scenario, SubjectKind
from cedarthread.testing.fakes.worker_model import PackageStore, WorkerCall, WorkerModel

MAX_ATTEMPTS = 2  # one retry of a rejected call
DRAIN_MS = 10_000.0  # after the last arrival, in which all calls end
REPLAY_SEED = 0x5EED  # so that a replay's choices are not the arrivals' numbers

Policy = Callable[["PolicyReplay", Arrival, list[int]], int]


def worker_models(scenario: Scenario) -> list[WorkerModel]:
    """The workers of a scenario, empty, at one package store."""
    store = PackageStore(scenario.load_ms, scenario.store_full_speed_loads, scenario.store_max_loads)
    return [
        WorkerModel(
            number, scenario.cores_per_worker, scenario.instances_per_worker, store, scenario.concurrency
        )
        for number in range(scenario.worker_count)
    ]


class _FaultEvent(NamedTuple):
    """The beginning or the end of a fault at a worker."""

    at_ms: float
    order: int  # among those of one time
    apply: Callable[[], None]


class PolicyReplay:
    """One replay. A policy gets a call and the numbers of the workers that are up, and gives one of them."""

    def __init__(self, scenario: Scenario, policy: str) -> None:
        self.scenario, self.rng = scenario, random.Random(scenario.seed ^ REPLAY_SEED)
        self.policy = POLICIES[policy]
        self.workers = worker_models(scenario)
        self.in_flight = [[0] * scenario.worker_count for _ in range(scenario.router_count)]
        self.is_up = [True] * scenario.worker_count
        self.worker_calls: list[WorkerCall] = []
        self.router_by_call: dict[str, int] = {}

    def run(self, arrivals: list[Arrival]) -> list[WorkerCall]:
        """All attempts of the replay, by arrival."""
        events: list[_FaultEvent] = []
        for fault in self.scenario.faults:
            for number in range(self.scenario.worker_count):
                if fault.subjects.includes(SubjectKind.WORKER, number):
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

        def set_up(is_up: bool, at_ms: float) -> None:
            self.is_up[number] = is_up
            if not is_up:
                for call in worker.crash(at_ms):
                    self._on_ended(call)

        start_ms, end_ms, order = 1000.0 * fault.start_s, 1000.0 * fault.end_s, 1000 * number
        if fault.kind is FaultKind.SLOW_WORKER:
            return [
                _FaultEvent(start_ms, order, lambda: set_slowdown(fault.amount)),
                _FaultEvent(end_ms, order + 1, lambda: set_slowdown(1.0)),
            ]
        if fault.kind in (FaultKind.CRASH_WORKER, FaultKind.SILENCE_WORKER):
            return [
                _FaultEvent(start_ms, order, lambda: set_up(False, start_ms)),
                _FaultEvent(end_ms, order + 1, lambda: set_up(True, end_ms)),
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
        """Any worker."""
        return self.rng.choice(candidates)

    def choose_lowest_own_load(self, arrival: Arrival, candidates: list[int]) -> int:
        """One of those with the fewest of the router's own calls in flight."""
        own = self.in_flight[arrival.router]
        fewest = min(own[number] for number in candidates)
        return self.rng.choice([number for number in candidates if own[number] == fewest])

    def choose_of_two(self, arrival: Arrival, candidates: list[int]) -> int:
        """The one with fewer of the router's own calls, of two at random (power of two choices)."""
        sample = self.rng.sample(candidates, min(2, len(candidates)))
        return min(sample, key=lambda number: self.in_flight[arrival.router][number])

    def choose_omniscient(self, arrival: Arrival, candidates: list[int]) -> int:
        """The one at which the call would wait least, by the workers' true state."""
        return min(
            candidates,
            key=lambda number: (self._expected_wait_ms(arrival, self.workers[number]), self.rng.random()),
        )

    def _expected_wait_ms(self, arrival: Arrival, worker: WorkerModel) -> float:
        """About when a call would end there."""
        load_ms = self.scenario.load_ms
        queue_ms = worker.in_flight / worker.cores * self.scenario.mean_service_ms * worker.slowdown
        instances = worker.instances_by_function.get(arrival.function)
        if instances is None or not instances.ready + instances.loading:
            return queue_ms + load_ms
        in_flight = instances.busy_slots + len(instances.waiting_calls)
        is_slot_free = in_flight < instances.ready * worker.concurrency
        return queue_ms + (0.0 if is_slot_free else load_ms / 2 if instances.loading else load_ms)


POLICIES: dict[str, Policy] = {  # by the names that result files have
    "random": PolicyReplay.choose_random,
    "own": PolicyReplay.choose_lowest_own_load,
    "two": PolicyReplay.choose_of_two,
    "all": PolicyReplay.choose_omniscient,
}
OMNISCIENT = "all"
