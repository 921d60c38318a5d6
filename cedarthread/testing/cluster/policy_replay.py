"""The same arrivals on the same runners under other choices: random, by own load, all-seeing."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from cedarthread.testing.cluster.scenario import Fault, Scenario, tenant_shares
from cedarthread.testing.fakes.worker_model import PackageStore, WorkerCall, WorkerModel


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call of the schedule. ``at`` in ms."""

    call_id: str
    at_ms: float
    router: int
    function: int
    is_not_idempotent: bool
    service_ms: float
    tenant: str = ""


def worker_models(scenario: Scenario) -> list[WorkerModel]:
    """The runners of a scenario, empty, at one store."""
    store = PackageStore(scenario.load, scenario.store_at_once, scenario.store_most)
    return [
        WorkerModel(n, scenario.cores, scenario.slots, store, scenario.lanes) for n in range(scenario.runners)
    ]


def generate_arrivals(scenario: Scenario) -> list[Arrival]:
    """The calls of a run: Poisson arrivals at routers taken evenly, functions by a Zipf law."""
    rng = random.Random(scenario.seed)
    weights = [1.0 / (rank + 1) ** scenario.skew for rank in range(scenario.functions)]
    names = [rng.getrandbits(63) for _ in weights]
    found: list[Arrival] = []
    tenants = tenant_shares(scenario)
    parts = [*tenants.values(), 1.0 - sum(tenants.values())]
    bursts = [fault for fault in scenario.faults if fault.kind == "burst"]
    at, end = 0.0, 1000.0 * (scenario.warm_up + scenario.seconds)
    while True:
        times = max((f.amount for f in bursts if f.is_active(at / 1000.0)), default=1.0)
        if (at := at + rng.expovariate(times * scenario.rate / 1000.0)) >= end:
            return found
        router = rng.randrange(scenario.routers)
        (function,) = rng.choices(names, weights)
        hot = [
            f
            for f in scenario.faults
            if f.kind == "hot" and f.is_active(at / 1000.0) and f.subjects.includes("router", router)
        ]
        if hot and rng.random() < hot[0].amount:
            function = names[-1]
        need = rng.uniform(0.5, 1.5) * scenario.need
        unsafe = rng.random() < scenario.unsafe
        tenant = rng.choices((*tenants, ""), parts)[0] if tenants else ""
        found.append(Arrival(f"{router:04x}{len(found):012x}", at, router, function, unsafe, need, tenant))


class PolicyReplay:
    """One replay. A choice gets the router's own calls out by runner, and the runners that are ready."""

    def __init__(self, scenario: Scenario, pick: str) -> None:
        self.scenario, self.rng = scenario, random.Random(scenario.seed ^ 0x5EED)
        self.workers = worker_models(scenario)
        self.in_flight = [[0] * scenario.runners for _ in range(scenario.routers)]
        self.is_up = [True] * scenario.runners
        self.worker_calls: list[WorkerCall] = []
        self.router_by_call: dict[str, int] = {}
        self.choose_worker: Callable[[Arrival, list[int]], int] = getattr(self, POLICIES[pick])

    def run(self, arrivals: list[Arrival]) -> list[WorkerCall]:
        """All visits of the replay."""
        steps: list[tuple[float, int, Callable[[], None]]] = []
        for fault in self.scenario.faults:
            for number in range(self.scenario.runners):
                if fault.subjects.includes("runner", number):
                    steps += self._fault_events(fault, number)
        heapq.heapify(steps)
        for arrival in arrivals:
            while steps and steps[0][0] <= arrival.at_ms:
                at, _, do = heapq.heappop(steps)
                self._advance(at)
                do()
            self._advance(arrival.at_ms)
            self._on_arrival(arrival)
        self._advance(arrivals[-1].at_ms + 10_000.0 if arrivals else 0.0)
        return self.worker_calls

    def _fault_events(self, fault: Fault, number: int) -> list[tuple[float, int, Callable[[], None]]]:
        runner = self.workers[number]

        def set_slow(figure: float) -> None:
            runner.slowdown = figure

        def set_up(up: bool, at: float) -> None:
            self.is_up[number] = up
            if not up:
                for visit in runner.crash(at):
                    self._on_ended(visit)

        at, until, serial = 1000.0 * fault.start_s, 1000.0 * fault.end_s, 1000 * number
        if fault.kind == "slow":
            return [(at, serial, lambda: set_slow(fault.amount)), (until, serial + 1, lambda: set_slow(1.0))]
        if fault.kind in ("die", "silent"):
            return [(at, serial, lambda: set_up(False, at)), (until, serial + 1, lambda: set_up(True, until))]
        return []

    def _advance(self, now: float) -> None:
        for runner in self.workers:
            for visit in runner.advance(now) if runner.next_event_at_ms() <= now else ():
                self._on_ended(visit)

    def _on_ended(self, visit: WorkerCall) -> None:
        self.in_flight[self.router_by_call[visit.call_id]][visit.worker] -= 1

    def _on_arrival(self, arrival: Arrival) -> None:
        self.router_by_call[arrival.call_id] = arrival.router
        left = [n for n in range(self.scenario.runners) if self.is_up[n]]
        for _ in range(2):  # one more try where it is turned away
            if not left:
                return
            number = self.choose_worker(arrival, left)
            left.remove(number)
            visit = WorkerCall(arrival.call_id, number, arrival.function, arrival.at_ms, arrival.service_ms)
            self.worker_calls.append(visit)
            if self.workers[number].on_call(arrival.at_ms, visit):
                self.in_flight[arrival.router][number] += 1
                return

    def _choose_random(self, arrival: Arrival, ready: list[int]) -> int:
        return self.rng.choice(ready)

    def _choose_least_own_load(self, arrival: Arrival, ready: list[int]) -> int:
        mine = self.in_flight[arrival.router]
        least = min(mine[n] for n in ready)
        return self.rng.choice([n for n in ready if mine[n] == least])

    def _choose_of_two(self, arrival: Arrival, ready: list[int]) -> int:
        return min(
            self.rng.sample(ready, min(2, len(ready))), key=lambda n: self.in_flight[arrival.router][n]
        )

    def _choose_omniscient(self, arrival: Arrival, ready: list[int]) -> int:
        return min(ready, key=lambda n: (self._expected_wait_ms(arrival, self.workers[n]), self.rng.random()))

    def _expected_wait_ms(self, arrival: Arrival, runner: WorkerModel) -> float:
        """About when a call would end there."""
        queue = runner.in_flight / runner.cores * self.scenario.need * runner.slowdown
        copies = runner.instances_by_function.get(arrival.function)
        if copies is None or not copies.ready + copies.loading:
            return queue + self.scenario.load
        free = copies.busy_slots + len(copies.waiting_calls) < copies.ready * runner.concurrency
        return queue + (0.0 if free else self.scenario.load / 2 if copies.loading else self.scenario.load)


POLICIES = {  # by the name that result files have: the method that chooses a worker
    "random": "_choose_random",
    "own": "_choose_least_own_load",
    "two": "_choose_of_two",
    "all": "_choose_omniscient",
}
