"""A fleet of routers without gossip, on one virtual clock, and workers that count what comes to them.

Each worker records what routers that know of its start have sent it within any window of rule 4, each call as
the mean work of its class, against what the rule allows it then.
``python -m tests.simulation.slow_start_fleet`` prints the table of all transitions. Times are ms, rates are
calls a second.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
import sys
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from cedarthread.model.actions import FailRequest, RejectRequest, SetTimer, StartAttempt
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, Event, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import Idempotency, RuleParameters
from cedarthread.routing.rendezvous import hash64, rendezvous_score
from cedarthread.routing.router import Router
from tests.helpers import SAFE, settings

if TYPE_CHECKING:
    from collections.abc import Callable

RULES = RuleParameters(8.0, 500.0, 0.25, 17000.0, 2.5, 2000.0, 10000.0, 0.0, 0.0, 0.0)
CHECK = dataclasses.replace(SAFE, name="check", latency_objective_ms=1200.0, deadline_ms=5000.0)
REVISE = dataclasses.replace(
    SAFE, name="revise", latency_objective_ms=800.0, deadline_ms=5000.0, priority_weight=5.0
)
CONFIRM = dataclasses.replace(
    SAFE,
    name="confirm",
    latency_objective_ms=1500.0,
    deadline_ms=5000.0,
    idempotency=Idempotency.NOT_IDEMPOTENT,
)
CLASSES = (CHECK, REVISE, CONFIRM)
CLASS_FRACTIONS = (0.43, 0.40, 0.17)  # of the calls, by class
CLASS_WORK_MS = (100.0, 170.0, 170.0)  # ms, mean of each class
MEAN_WORK_MS = sum(p * w for p, w in zip(CLASS_FRACTIONS, CLASS_WORK_MS, strict=True))
CORES = 3
MAX_QUEUED = 15  # calls that wait at a worker before it rejects others
COLD_START_MS = 1300.0
FIRST_NEW_WORKER = 1000  # first number of those that start late
TRANSITION_AT_MS = 9000.0  # when the transition begins
ZONES = 3
REPLACED_FRACTION = 0.6  # of the workers, where they are replaced
STATE_ORDER = list(EndpointState)  # in which a worker's states follow each other


@dataclass
class FakeWorker:
    """Some cores, a bounded queue, instances that are loaded on demand, and the record of sends."""

    number: int
    zone: int
    started_at_ms: float = -math.inf
    is_up: bool = True
    core_free_at_ms: list[float] = field(default_factory=lambda: [0.0] * CORES)  # when each core is
    instance_ready_at_ms: dict[int, float] = field(default_factory=dict)  # when each is loaded
    window_sends: deque[tuple[float, float]] = field(default_factory=deque)
    window_weight: float = 0.0
    # Its parts of the upper bound, and sum and budget there.
    fullest_window: tuple[float, float, float] = (0.0, 0.0, 0.0)
    received_work: float = 0.0
    allowed_work: float = 0.0

    def capacity(self, now_ms: float) -> float:
        """The least part of its capacity that rule 4 counts: it grows evenly from the start on."""
        age = now_ms - self.started_at_ms
        return min(
            1.0,
            RULES.slow_start_min_capacity + (1.0 - RULES.slow_start_min_capacity) * age / RULES.slow_start_ms,
        )

    def budget(self, now_ms: float) -> float:
        """N: calls of mean work that it may get within a window that ends now."""
        return (
            RULES.collapse_multiple
            * self.capacity(now_ms)
            * len(self.core_free_at_ms)
            / MEAN_WORK_MS
            * RULES.collapse_window_ms
        )

    def record_send(self, now_ms: float, window_weight: float) -> None:
        """One more call of a router that knows of the start."""
        while self.window_sends and self.window_sends[0][0] <= now_ms - RULES.collapse_window_ms:
            self.window_weight -= self.window_sends.popleft()[1]
        self.window_sends.append((now_ms, window_weight))
        self.window_weight += window_weight
        self.received_work += window_weight
        allowed_work = self.budget(now_ms)
        self.fullest_window = max(
            self.fullest_window,
            (self.window_weight / upper_bound(allowed_work), self.window_weight, allowed_work),
        )

    def serve(self, now_ms: float, function: int, work: float) -> tuple[float, Outcome, StartKind]:
        """When the call ends, and how."""
        if not self.is_up:
            return now_ms + 5.0, Outcome.CONNECT_FAILED, StartKind.UNKNOWN
        if min(self.core_free_at_ms) > now_ms + MAX_QUEUED * MEAN_WORK_MS / CORES:
            return now_ms + 1.0, Outcome.OVERLOADED, StartKind.UNKNOWN
        start_kind = StartKind.WARM
        if function not in self.instance_ready_at_ms:
            self.instance_ready_at_ms[function], start_kind = now_ms + COLD_START_MS, StartKind.COLD
        elif self.instance_ready_at_ms[function] > now_ms:
            start_kind = StartKind.PENDING
        core = min(range(len(self.core_free_at_ms)), key=self.core_free_at_ms.__getitem__)
        begins = max(now_ms, self.core_free_at_ms[core])
        self.core_free_at_ms[core] = begins + work / self.capacity(now_ms)
        return max(self.core_free_at_ms[core], self.instance_ready_at_ms[function]), Outcome.OK, start_kind


def upper_bound(budget: float) -> float:
    """What chance may make of N."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


@dataclass(frozen=True)
class Scenario:
    """One day: who is there, what is called, and what its transition is."""

    routers: int
    transition: str = "join"
    seed: int = 1
    is_fleet_size_known: bool = True  # routers are told the fleet's size
    workers: int = 12
    cores: int = CORES  # of each worker
    load: float = 0.6  # of the warm capacity of all workers
    hot_function_fraction: float = 0.0  # of the calls; the function's home is the cold worker
    is_hot_function_heavy: bool = False  # that function is of the class of most work
    hot_function_delay_ms: float = 0.0  # ms after the start from which it is called
    burst_factor: float = 1.0  # times the rate, for 6 s from 1 s after the start
    client_retries: int = 0  # retries of clients after a rejection, marked as such
    restarted_routers: float = 0.0  # part of the routers that start anew,
    restart_delay_ms: float = -300.0  # ms after the workers' start
    propagation_ms: float = 1500.0  # ms within which the routers hear of a start
    drained_fraction: float = 0.6  # part of the others that leave, where the transition is "drain"
    slowdown: float = 1.0  # times that all workers need for a call, till the start
    others_lost_at_ms: float = 0.0  # after the start, where the transition is "alone" or "drain"
    duration_ms: float = 14000.0


class Fleet:
    """Plays one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.rng = scenario, random.Random(scenario.seed)
        self.settings = settings(
            classes=CLASSES,
            router_count=scenario.routers if scenario.is_fleet_size_known else 1,
            rules=RULES,
            keep_alive_ms=8700.0,
            limits=dataclasses.replace(settings().limits, allows_hedging=False, allows_gossip=False),
        )  # fmt: skip
        self.workers = {
            n: FakeWorker(n, n % ZONES, core_free_at_ms=[0.0] * scenario.cores)
            for n in range(1, scenario.workers + 1)
        }
        self.endpoints: dict[int, Endpoint] = {n: self.endpoint(n) for n in self.workers}
        self.routers = [self.router(n) for n in range(scenario.routers)]
        self.known_endpoints: list[dict[int, Endpoint]] = [dict(self.endpoints) for _ in self.routers]
        self.weights = [self.rng.choice((0.5, 0.7, 1.0, 1.3, 4.0)) for _ in self.routers]
        self.serial = itertools.count()
        self.event_queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.number = itertools.count(1)
        self.calls: dict[
            int, tuple[int, int, int, float, int]
        ] = {}  # router, function, class, deadline, client retries
        self.first_requests = self.rejected_requests = self.cold_calls = 0
        self.function_weights = [1.0 / (k + 3.0) ** 1.3 for k in range(60)]
        self.incarnations = [0] * scenario.routers
        self.hot_function = 0

    def endpoint(self, number: int, state: EndpointState = EndpointState.READY) -> Endpoint:
        worker = self.workers[number]
        started_at_ms = None if worker.started_at_ms == -math.inf else worker.started_at_ms
        return Endpoint(number, worker.zone, 0, 0, state, None, started_at_ms)

    def router(self, number: int, incarnation: int = 0) -> Router:
        zone = dataclasses.replace(self.settings, router_index=number, zone=number % ZONES)
        return Router(zone, self.scenario.seed * 1000003 + number * 101 + incarnation)

    def schedule(self, when: float, what: Callable[[float], None]) -> None:
        heapq.heappush(self.event_queue, (when, next(self.serial), what))

    # What happens.

    def publish(self, number: int, state: EndpointState, now_ms: float) -> None:
        """The list changes; each router hears of it in its own time."""
        endpoint = self.endpoints[number] = self.endpoint(number, state)
        for who in range(len(self.routers)):
            known_at_ms = now_ms + self.rng.uniform(0.0, self.scenario.propagation_ms)
            self.schedule(known_at_ms, partial(self.on_list_update, who, endpoint))

    def on_list_update(self, who: int, endpoint: Endpoint, now_ms: float) -> None:
        held = self.known_endpoints[who].get(endpoint.worker_id)
        if held is not None and (held.started_at_ms or 0.0) > (endpoint.started_at_ms or 0.0):
            return
        if (
            held is not None
            and held.started_at_ms == endpoint.started_at_ms
            and STATE_ORDER.index(held.state) > STATE_ORDER.index(endpoint.state)
        ):
            return  # the later news came first
        self.known_endpoints[who][endpoint.worker_id] = endpoint
        self.feed(who, EndpointUpdate(EndpointUpdateKind.DELTA, 2, (endpoint,)), now_ms)

    def start_worker(self, number: int, now_ms: float) -> None:
        self.workers[number] = FakeWorker(
            number, number % ZONES, started_at_ms=now_ms, core_free_at_ms=[now_ms] * self.scenario.cores
        )
        self.publish(number, EndpointState.READY, now_ms)

    def restart_router(self, who: int, now_ms: float) -> None:
        self.incarnations[who] += 1
        for request in [n for n, call in self.calls.items() if call[0] == who]:
            del self.calls[request]
        self.routers[who] = self.router(who, self.incarnations[who])
        self.known_endpoints[who] = dict(self.endpoints)
        self.feed(who, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(self.endpoints.values())), now_ms)

    def schedule_transition(self) -> None:
        """Schedule what happens to the workers and routers."""
        scenario = self.scenario
        transitions = {
            "join": self._join,
            "zone": self._zone_returns,
            "untold": self._untold_restart,
            "replace": self._replace_workers,
            "alone": self._others_fail,
            "drain": self._others_leave,
        }
        transitions[scenario.transition]()
        for who in range(round(scenario.restarted_routers * scenario.routers)):
            restart_at_ms = TRANSITION_AT_MS + scenario.restart_delay_ms + who * 0.5
            self.schedule(restart_at_ms, partial(self.restart_router, who))

    def _join(self) -> None:
        self.schedule(TRANSITION_AT_MS, partial(self.start_worker, FIRST_NEW_WORKER))

    def _zone_returns(self) -> None:
        for number in [number for number in self.workers if number % ZONES == 1]:
            self.schedule(TRANSITION_AT_MS - 4000.0, partial(self.stop_worker, number, is_published=True))
            self.schedule(TRANSITION_AT_MS, partial(self.start_worker, number))

    def _untold_restart(self) -> None:
        """Workers are down for a moment; the endpoint list tells of it only after that."""
        for number in (1, 2):
            self.schedule(TRANSITION_AT_MS - 1000.0, partial(self.stop_worker, number, is_published=False))
            self.schedule(TRANSITION_AT_MS, partial(self.start_worker, number))

    def _replace_workers(self) -> None:
        replaced = round(REPLACED_FRACTION * self.scenario.workers)
        for index in range(replaced):
            starts_at_ms = TRANSITION_AT_MS + 7000.0 * index / replaced
            self.schedule(starts_at_ms - 700.0, partial(self.publish, index + 1, EndpointState.DRAINING))
            self.schedule(starts_at_ms, partial(self.start_worker, FIRST_NEW_WORKER + index))

    def _others_fail(self) -> None:
        """All others refuse connections, and the endpoint list still has them ready."""
        self._join()
        for number in list(self.workers):
            lost_at_ms = TRANSITION_AT_MS + self.scenario.others_lost_at_ms
            self.schedule(lost_at_ms, partial(self.stop_worker, number, is_published=False))

    def _others_leave(self) -> None:
        """Part of the others leave the list before any more have come."""
        self._join()
        leaving = round(self.scenario.drained_fraction * self.scenario.workers)
        for number in list(self.workers)[:leaving]:
            leaves_at_ms = TRANSITION_AT_MS + self.scenario.others_lost_at_ms
            self.schedule(leaves_at_ms, partial(self.publish, number, EndpointState.DRAINING))

    def stop_worker(self, number: int, now_ms: float, is_published: bool) -> None:
        self.workers[number].is_up = False
        if is_published:
            self.publish(number, EndpointState.REMOVED, now_ms)

    def function_at_home(self, target: int) -> int:
        """A function whose first home is that worker, in the fleet after the transition."""
        gone = round(REPLACED_FRACTION * self.scenario.workers)
        there = {
            "join": [FIRST_NEW_WORKER],
            "drain": [FIRST_NEW_WORKER],
            "alone": [FIRST_NEW_WORKER],
            "replace": list(range(FIRST_NEW_WORKER, FIRST_NEW_WORKER + gone)),
        }.get(self.scenario.transition, [])
        numbers = [*self.workers, *there]
        for function in range(5000, 9000):
            if min(numbers, key=lambda n: rendezvous_score(hash64(function), hash64(n), 1.0)) == target:
                return function
        raise AssertionError("no such function")

    # Calls.

    def rate(self, now_ms: float) -> float:
        """Calls a second of the whole fleet."""
        burst_factor = (
            self.scenario.burst_factor
            if TRANSITION_AT_MS + 1000.0 <= now_ms < TRANSITION_AT_MS + 7000.0
            else 1.0
        )
        return (
            self.scenario.load
            * self.scenario.workers
            * 1000.0
            * self.scenario.cores
            / MEAN_WORK_MS
            * burst_factor
        )

    def on_arrival(self, now_ms: float) -> None:
        self.schedule(now_ms + self.rng.expovariate(self.rate(now_ms) / 1000.0), self.on_arrival)
        who = self.rng.choices(range(len(self.routers)), self.weights)[0]
        function = self.rng.choices(range(1, 61), self.function_weights)[0]
        class_index = random.Random(function).choices(range(3), CLASS_FRACTIONS)[0]
        if (
            self.rng.random() < self.scenario.hot_function_fraction
            and now_ms >= TRANSITION_AT_MS + self.scenario.hot_function_delay_ms
        ):
            function, class_index = self.hot_function, 1 if self.scenario.is_hot_function_heavy else 0
        self.send_request(now_ms, who, function, class_index, 0)

    def send_request(
        self, now_ms: float, who: int, function: int, class_index: int, client_retries: int
    ) -> None:
        number, deadline_ms = next(self.number), now_ms + CLASSES[class_index].deadline_ms
        self.calls[number] = who, function, class_index, deadline_ms, client_retries
        if now_ms >= TRANSITION_AT_MS:
            self.first_requests += client_retries == 0
        self.feed(
            who,
            RequestArrived(
                number,
                function,
                class_index,
                deadline_ms,
                is_client_retry=client_retries > 0,
                concurrency=4.0,
            ),
            now_ms,
        )

    def feed(self, who: int, event: Event, now_ms: float) -> None:
        router, incarnation = self.routers[who], self.incarnations[who]
        for action in router.handle(now_ms, event):
            if isinstance(action, StartAttempt):
                self.send(who, action, now_ms)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.on_rejected(who, action, now_ms)
            elif isinstance(action, SetTimer):
                self.schedule(action.at_ms, partial(self.on_timer, who, incarnation, action.token))

    def on_timer(self, who: int, incarnation: int, token: int, now_ms: float) -> None:
        if self.incarnations[who] == incarnation:
            self.feed(who, TimerFired(token), now_ms)

    def on_rejected(self, who: int, action: RejectRequest | FailRequest, now_ms: float) -> None:
        call = self.calls.pop(action.request_id, None)
        if call is None:
            return
        _, function, class_index, _, client_retries = call
        self.rejected_requests += now_ms >= TRANSITION_AT_MS and client_retries == 0
        if client_retries < self.scenario.client_retries:
            self.schedule(
                now_ms + 200.0,
                lambda at_ms: self.send_request(at_ms, who, function, class_index, client_retries + 1),
            )

    def send(self, who: int, action: StartAttempt, now_ms: float) -> None:
        call = self.calls[action.request_id]
        worker, incarnation = self.workers[action.worker_id], self.incarnations[who]
        known_start_ms = self.known_endpoints[who][action.worker_id].started_at_ms
        if (
            worker.started_at_ms > 0.0
            and worker.is_up
            and known_start_ms == worker.started_at_ms
            and worker.capacity(now_ms) < 1.0
        ):
            worker.record_send(now_ms, CLASS_WORK_MS[call[2]] / MEAN_WORK_MS)
            self.cold_calls += 1
        work = self.rng.expovariate(1.0 / CLASS_WORK_MS[call[2]]) * (
            self.scenario.slowdown if now_ms < TRANSITION_AT_MS else 1.0
        )
        at_ms, outcome, start_kind = worker.serve(now_ms, call[1], work)
        if at_ms > call[3]:
            at_ms, outcome = call[3], Outcome.TIMEOUT
        attempt = len(self.routers[who].pending_requests[action.request_id].attempts) - 1
        ends = AttemptEnded(
            action.request_id,
            attempt,
            action.worker_id,
            outcome,
            at_ms - now_ms,
            outcome is Outcome.OK,
            start_kind,
            0,
        )
        self.schedule(at_ms, lambda now_ms: self.on_attempt_ended(who, incarnation, ends, now_ms))

    def on_attempt_ended(self, who: int, incarnation: int, ends: AttemptEnded, now_ms: float) -> None:
        if self.incarnations[who] != incarnation:
            return
        if ends.is_final:
            self.calls.pop(ends.request_id, None)
        self.feed(who, ends, now_ms)

    def run(self) -> Result:
        """The whole day, from loaded instances at the start."""
        for who in range(len(self.routers)):
            self.feed(who, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(self.endpoints.values())), 0.0)
        for worker in self.workers.values():
            worker.instance_ready_at_ms = dict.fromkeys(range(1, 61), 0.0)
        if self.scenario.hot_function_fraction:
            self.hot_function = self.function_at_home(
                FIRST_NEW_WORKER if self.scenario.transition in ("join", "replace", "alone", "drain") else 1
            )
        self.schedule_transition()
        self.schedule(0.0, self.on_arrival)
        while self.event_queue and self.event_queue[0][0] < TRANSITION_AT_MS + self.scenario.duration_ms:
            now_ms, _, what = heapq.heappop(self.event_queue)
            what(now_ms)
        return self.result()

    def result(self) -> Result:
        cold = [r for r in self.workers.values() if r.started_at_ms > 0.0]
        ends, step = TRANSITION_AT_MS + self.scenario.duration_ms, 100.0
        allowed_work = 0.0
        for worker in cold:
            steps = int((ends - worker.started_at_ms) / step)
            allowed_work += (
                sum(worker.budget(worker.started_at_ms + k * step) for k in range(steps))
                * step
                / RULES.collapse_window_ms
            )
        fullest_window = max((r.fullest_window for r in cold), default=(0.0, 0.0, 0.0))
        return Result(
            fullest_window[0],
            fullest_window[1],
            fullest_window[2],
            sum(r.received_work for r in cold) / allowed_work,
            self.rejected_requests / self.first_requests,
        )


@dataclass(frozen=True)
class Result:
    """Of one day: the fullest window of any cold worker, and what it cost."""

    fullest_window: float  # its sum over N + 2 x root of N + 2
    total: float  # that sum, in calls of mean work
    budget: float  # N then
    received_work: float  # all that cold workers got over all their budgets
    rejected_requests: float  # of the first attempts from the start on


SMALL_FLEET = Scenario(0, workers=6, cores=1, duration_ms=6000.0)
OTHERS_FAIL = dataclasses.replace(SMALL_FLEET, transition="alone")
OTHERS_LEAVE = dataclasses.replace(SMALL_FLEET, transition="drain")
SCENARIOS: dict[str, Scenario] = {
    "join": Scenario(0),
    "join, load 1.3": Scenario(0, load=1.3),
    "popular home": Scenario(0, hot_function_fraction=0.4),
    "popular home, heavy class": Scenario(0, hot_function_fraction=0.4, is_hot_function_heavy=True),
    "popular from 5 s on": Scenario(0, hot_function_fraction=0.6, hot_function_delay_ms=5000.0, load=0.9),
    "burst of 2.0, repeats": Scenario(
        0, load=0.9, burst_factor=2.0, client_retries=3, hot_function_fraction=0.4
    ),
    "zone returns": Scenario(0, transition="zone", hot_function_fraction=0.3),
    "six in ten replaced": Scenario(0, transition="replace", hot_function_fraction=0.3, client_retries=2),
    "six in ten replaced, load 0.9": Scenario(
        0, transition="replace", hot_function_fraction=0.3, load=0.9, client_retries=2
    ),
    "routers restart before": Scenario(0, restarted_routers=0.9, hot_function_fraction=0.4),
    "routers restart, heavy class, load 0.9": Scenario(
        0, restarted_routers=0.9, hot_function_fraction=0.4, is_hot_function_heavy=True, load=0.9
    ),
    "untold start": Scenario(0, transition="untold", hot_function_fraction=0.3),
    "all others fail": OTHERS_FAIL,
    "all others fail, load 0.9": dataclasses.replace(OTHERS_FAIL, load=0.9),
    "all others fail, routers restarted": dataclasses.replace(
        OTHERS_FAIL, load=0.9, restarted_routers=0.9, restart_delay_ms=-1500.0, hot_function_fraction=0.5
    ),
    "all others fail, burst of 2.4": dataclasses.replace(OTHERS_FAIL, burst_factor=2.4),
    "six in ten leave": dataclasses.replace(OTHERS_LEAVE, hot_function_fraction=0.4),
    "five in six leave": dataclasses.replace(OTHERS_LEAVE, hot_function_fraction=0.4, drained_fraction=0.84),
    "all others leave": dataclasses.replace(OTHERS_LEAVE, drained_fraction=1.0),
    "all others leave later, load 0.9": dataclasses.replace(
        OTHERS_LEAVE, drained_fraction=1.0, load=0.9, others_lost_at_ms=2500.0
    ),
    "all others leave, routers restart after": dataclasses.replace(
        OTHERS_LEAVE, drained_fraction=1.0, restarted_routers=0.9, restart_delay_ms=2500.0
    ),
}


def main() -> None:
    """``python -m tests.simulation.slow_start_fleet [SEEDS [ROUTERS... [WORDS...]]]``.

    WORDS: of the scenarios' names.
    """
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    fleets = [int(n) for n in sys.argv[2:] if n.isdigit()] or [3, 20, 30, 200]
    words = [word for word in sys.argv[2:] if not word.isdigit()] or [""]
    print("| transition | routers | worst of its bound | its sum | N | used of budgets | rejected |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, scenario in SCENARIOS.items():
        if not any(word in name for word in words):
            continue
        for routers in fleets:
            days = [_run(scenario, routers, seed) for seed in range(seeds)]
            worst = max(days, key=lambda day: day.fullest_window)
            used = sum(day.received_work for day in days) / seeds
            rejected = sum(day.rejected_requests for day in days) / seeds
            print(
                f"| {name} | {routers} | {worst.fullest_window:.2f} | {worst.total:.1f} | {worst.budget:.1f} "
                f"| {used:.2f} | {rejected:.3f} |",
                flush=True,
            )


def _run(scenario: Scenario, routers: int, seed: int) -> Result:
    """One day; every other seed's routers are told the fleet's size."""
    is_known = seed % 2 == 0
    return Fleet(
        dataclasses.replace(scenario, routers=routers, seed=seed, is_fleet_size_known=is_known)
    ).run()


if __name__ == "__main__":
    main()
