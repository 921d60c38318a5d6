"""The same arrivals on the same runners under other choices: random, by own load, all-seeing."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from cedarthread.testing.cluster.scenario import Fault, Scenario, shares
from cedarthread.testing.fakes.worker_model import Runner, Store, Visit


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call of the schedule. ``at`` in ms."""

    name: str
    at: float
    router: int
    function: int
    unsafe: bool
    need: float
    tenant: str = ""


def runners(scenario: Scenario) -> list[Runner]:
    """The runners of a scenario, empty, at one store."""
    store = Store(scenario.load, scenario.store_at_once, scenario.store_most)
    return [Runner(n, scenario.cores, scenario.slots, store, scenario.lanes) for n in range(scenario.runners)]


def schedule(scenario: Scenario) -> list[Arrival]:
    """The calls of a run: Poisson arrivals at routers taken evenly, functions by a Zipf law."""
    rng = random.Random(scenario.seed)
    weights = [1.0 / (rank + 1) ** scenario.skew for rank in range(scenario.functions)]
    names = [rng.getrandbits(63) for _ in weights]
    found: list[Arrival] = []
    tenants = shares(scenario)
    parts = [*tenants.values(), 1.0 - sum(tenants.values())]
    bursts = [fault for fault in scenario.faults if fault.kind == "burst"]
    at, end = 0.0, 1000.0 * (scenario.warm_up + scenario.seconds)
    while True:
        times = max((f.figure for f in bursts if f.holds(at / 1000.0)), default=1.0)
        if (at := at + rng.expovariate(times * scenario.rate / 1000.0)) >= end:
            return found
        router = rng.randrange(scenario.routers)
        (function,) = rng.choices(names, weights)
        hot = [
            f
            for f in scenario.faults
            if f.kind == "hot" and f.holds(at / 1000.0) and f.who.has("router", router)
        ]
        if hot and rng.random() < hot[0].figure:
            function = names[-1]
        need = rng.uniform(0.5, 1.5) * scenario.need
        unsafe = rng.random() < scenario.unsafe
        tenant = rng.choices((*tenants, ""), parts)[0] if tenants else ""
        found.append(Arrival(f"{router:04x}{len(found):012x}", at, router, function, unsafe, need, tenant))


class Play:
    """One replay. A choice gets the router's own calls out by runner, and the runners that are ready."""

    def __init__(self, scenario: Scenario, pick: str) -> None:
        self.scenario, self.rng = scenario, random.Random(scenario.seed ^ 0x5EED)
        self.runners = runners(scenario)
        self.own = [[0] * scenario.runners for _ in range(scenario.routers)]
        self.up = [True] * scenario.runners
        self.visits: list[Visit] = []
        self.router_of: dict[str, int] = {}
        self.pick: Callable[[Arrival, list[int]], int] = getattr(self, f"_{pick}")

    def run(self, arrivals: list[Arrival]) -> list[Visit]:
        """All visits of the replay."""
        steps: list[tuple[float, int, Callable[[], None]]] = []
        for fault in self.scenario.faults:
            for number in range(self.scenario.runners):
                if fault.who.has("runner", number):
                    steps += self._steps(fault, number)
        heapq.heapify(steps)
        for arrival in arrivals:
            while steps and steps[0][0] <= arrival.at:
                at, _, do = heapq.heappop(steps)
                self._advance(at)
                do()
            self._advance(arrival.at)
            self._arrive(arrival)
        self._advance(arrivals[-1].at + 10_000.0 if arrivals else 0.0)
        return self.visits

    def _steps(self, fault: Fault, number: int) -> list[tuple[float, int, Callable[[], None]]]:
        runner = self.runners[number]

        def set_slow(figure: float) -> None:
            runner.slow = figure

        def set_up(up: bool, at: float) -> None:
            self.up[number] = up
            if not up:
                for visit in runner.die(at):
                    self._ended(visit)

        at, until, serial = 1000.0 * fault.at, 1000.0 * fault.until, 1000 * number
        if fault.kind == "slow":
            return [(at, serial, lambda: set_slow(fault.figure)), (until, serial + 1, lambda: set_slow(1.0))]
        if fault.kind in ("die", "silent"):
            return [(at, serial, lambda: set_up(False, at)), (until, serial + 1, lambda: set_up(True, until))]
        return []

    def _advance(self, now: float) -> None:
        for runner in self.runners:
            for visit in runner.advance(now) if runner.due() <= now else ():
                self._ended(visit)

    def _ended(self, visit: Visit) -> None:
        self.own[self.router_of[visit.name]][visit.runner] -= 1

    def _arrive(self, arrival: Arrival) -> None:
        self.router_of[arrival.name] = arrival.router
        left = [n for n in range(self.scenario.runners) if self.up[n]]
        for _ in range(2):  # one more try where it is turned away
            if not left:
                return
            number = self.pick(arrival, left)
            left.remove(number)
            visit = Visit(arrival.name, number, arrival.function, arrival.at, arrival.need)
            self.visits.append(visit)
            if self.runners[number].arrive(arrival.at, visit):
                self.own[arrival.router][number] += 1
                return

    def _random(self, arrival: Arrival, ready: list[int]) -> int:
        return self.rng.choice(ready)

    def _own(self, arrival: Arrival, ready: list[int]) -> int:
        mine = self.own[arrival.router]
        least = min(mine[n] for n in ready)
        return self.rng.choice([n for n in ready if mine[n] == least])

    def _two(self, arrival: Arrival, ready: list[int]) -> int:
        return min(self.rng.sample(ready, min(2, len(ready))), key=lambda n: self.own[arrival.router][n])

    def _all(self, arrival: Arrival, ready: list[int]) -> int:
        return min(ready, key=lambda n: (self._wait(arrival, self.runners[n]), self.rng.random()))

    def _wait(self, arrival: Arrival, runner: Runner) -> float:
        """About when a call would end there."""
        queue = runner.held / runner.cores * self.scenario.need * runner.slow
        copies = runner.copies.get(arrival.function)
        if copies is None or not copies.ready + copies.loading:
            return queue + self.scenario.load
        free = copies.busy + len(copies.waiting) < copies.ready * runner.lanes
        return queue + (0.0 if free else self.scenario.load / 2 if copies.loading else self.scenario.load)


CHOICES = ("random", "own", "two", "all")  # by name: a choice is the method of that name
