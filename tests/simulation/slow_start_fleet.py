"""Simulation of routers without gossip and workers, some of which start late, on one virtual clock.

Each worker records the work that it receives in each window of rule 4 from routers that know of its start.
The result compares this load with the budget of the rule. ``python -m tests.simulation.slow_start_fleet``
prints a table of all scenarios. Times are ms, rates are calls per second.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
import sys
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.actions import FailRequest, RejectRequest, SetTimer, StartAttempt
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, Event, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome
from cedarthread.routing.rendezvous import hash64, rendezvous_score
from cedarthread.routing.router import Router
from tests.helpers import settings
from tests.simulation.slow_start_scenarios import (
    FIRST_NEW_WORKER,
    SCENARIOS,
    Result,
    Scenario,
    Transition,
)
from tests.simulation.slow_start_worker import (
    CLASS_FRACTIONS,
    CLASS_WORK_MS,
    CLASSES,
    MEAN_WORK_MS,
    NO_LOAD,
    RULES,
    FakeWorker,
)

if TYPE_CHECKING:
    from collections.abc import Callable

TRANSITION_AT_MS = 9000.0
BURST_START_MS = TRANSITION_AT_MS + 1000.0
BURST_END_MS = TRANSITION_AT_MS + 7000.0
ZONES = 3
RETURNING_ZONE = 1
FUNCTIONS = range(1, 61)  # functions that are called in addition to the hot function
CLIENT_RETRY_DELAY_MS = 200.0
ALLOWED_WORK_STEP_MS = 100.0  # step width of the sum of a worker's budget over its lifetime
STATE_ORDER = list(EndpointState)  # the order of the states in a worker's lifecycle


class Call(NamedTuple):
    """A call without a final answer."""

    router_index: int
    function: int
    class_index: int
    deadline_ms: float
    client_retries: int  # retries by the client so far


class Fleet:
    """The simulation of one scenario: routers, workers, calls and an event queue."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.settings = settings(
            classes=CLASSES,
            router_count=scenario.router_count if scenario.is_fleet_size_known else 1,
            rules=RULES,
            instance_keep_alive_ms=8700.0,
            limits=dataclasses.replace(settings().limits, allows_hedging=False, allows_gossip=False),
        )
        self.workers = {
            number: FakeWorker(number, number % ZONES, core_free_at_ms=[0.0] * scenario.cores)
            for number in range(1, scenario.worker_count + 1)
        }
        self.endpoints: dict[int, Endpoint] = {number: self.endpoint(number) for number in self.workers}
        self.routers = [self.create_router(index) for index in range(scenario.router_count)]
        self.known_endpoints: list[dict[int, Endpoint]] = [dict(self.endpoints) for _ in self.routers]
        self.router_weights = [self.rng.choice((0.5, 0.7, 1.0, 1.3, 4.0)) for _ in self.routers]
        self.event_serial = itertools.count()  # orders events of the same time
        self.event_queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.request_ids = itertools.count(1)
        self.calls: dict[int, Call] = {}  # by request id
        self.first_requests = 0  # requests after the transition, without client retries
        self.rejected_requests = 0  # those of ``first_requests`` that were rejected
        self.cold_calls = 0  # calls that count against a budget
        self.function_weights = [1.0 / (rank + 3.0) ** 1.3 for rank in range(len(FUNCTIONS))]
        self.incarnations = [0] * scenario.router_count
        self.hot_function = 0

    def endpoint(self, number: int, state: EndpointState = EndpointState.READY) -> Endpoint:
        worker = self.workers[number]
        started_at_ms = None if worker.started_at_ms == -math.inf else worker.started_at_ms
        return Endpoint(number, worker.zone, 0, 0, state, None, started_at_ms)

    def create_router(self, index: int, incarnation: int = 0) -> Router:
        router_settings = dataclasses.replace(self.settings, router_index=index, zone=index % ZONES)
        return Router(router_settings, self.scenario.seed * 1000003 + index * 101 + incarnation)

    def schedule(self, at_ms: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self.event_queue, (at_ms, next(self.event_serial), callback))

    # Endpoint lists, and the lifecycle of workers and routers.

    def publish(self, number: int, state: EndpointState, now_ms: float) -> None:
        """Update the endpoint list; each router receives the update after a random delay."""
        endpoint = self.endpoints[number] = self.endpoint(number, state)
        for index in range(len(self.routers)):
            known_at_ms = now_ms + self.rng.uniform(0.0, self.scenario.propagation_ms)
            self.schedule(known_at_ms, partial(self.on_endpoint_changed, index, endpoint))

    def on_endpoint_changed(self, index: int, endpoint: Endpoint, now_ms: float) -> None:
        """Pass an endpoint update to a router, unless the router already has a later one."""
        known = self.known_endpoints[index].get(endpoint.worker_id)
        if known is not None and (known.started_at_ms or 0.0) > (endpoint.started_at_ms or 0.0):
            return
        if (
            known is not None
            and known.started_at_ms == endpoint.started_at_ms
            and STATE_ORDER.index(known.state) > STATE_ORDER.index(endpoint.state)
        ):
            return
        self.known_endpoints[index][endpoint.worker_id] = endpoint
        self.feed(index, EndpointUpdate(EndpointUpdateKind.DELTA, 2, (endpoint,)), now_ms)

    def start_worker(self, number: int, now_ms: float) -> None:
        self.workers[number] = FakeWorker(
            number, number % ZONES, started_at_ms=now_ms, core_free_at_ms=[now_ms] * self.scenario.cores
        )
        self.publish(number, EndpointState.READY, now_ms)

    def stop_worker(self, number: int, now_ms: float, *, is_published: bool) -> None:
        self.workers[number].is_up = False
        if is_published:
            self.publish(number, EndpointState.REMOVED, now_ms)

    def restart_router(self, index: int, now_ms: float) -> None:
        """Restart a router as a new incarnation, which loses its calls."""
        self.incarnations[index] += 1
        self.calls = {key: call for key, call in self.calls.items() if call.router_index != index}
        self.routers[index] = self.create_router(index, self.incarnations[index])
        self.known_endpoints[index] = dict(self.endpoints)
        self.feed_all_endpoints(index, now_ms)

    def feed_all_endpoints(self, index: int, now_ms: float) -> None:
        update = EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(self.endpoints.values()))
        self.feed(index, update, now_ms)

    def schedule_transition(self) -> None:
        """Schedule the transition of the workers and the restarts of routers."""
        scenario = self.scenario
        transitions = {
            Transition.JOIN: self._join,
            Transition.ZONE_RETURNS: self._return_zone,
            Transition.UNLISTED_RESTART: self._restart_workers_unlisted,
            Transition.REPLACE: self._replace_workers,
            Transition.OTHERS_FAIL: self._fail_others,
            Transition.OTHERS_LEAVE: self._drain_others,
        }
        transitions[scenario.transition]()
        for index in range(round(scenario.restarted_fraction * scenario.router_count)):
            restart_at_ms = TRANSITION_AT_MS + scenario.restart_delay_ms + index * 0.5
            self.schedule(restart_at_ms, partial(self.restart_router, index))

    def _join(self) -> None:
        self.schedule(TRANSITION_AT_MS, partial(self.start_worker, FIRST_NEW_WORKER))

    def _return_zone(self) -> None:
        for number in [number for number in self.workers if number % ZONES == RETURNING_ZONE]:
            self.schedule(TRANSITION_AT_MS - 4000.0, partial(self.stop_worker, number, is_published=True))
            self.schedule(TRANSITION_AT_MS, partial(self.start_worker, number))

    def _restart_workers_unlisted(self) -> None:
        """Stop workers for 1 s; the endpoint list changes only after their start."""
        for number in (1, 2):
            self.schedule(TRANSITION_AT_MS - 1000.0, partial(self.stop_worker, number, is_published=False))
            self.schedule(TRANSITION_AT_MS, partial(self.start_worker, number))

    def _replace_workers(self) -> None:
        new_workers = self.scenario.new_workers()
        for index, number in enumerate(new_workers):
            starts_at_ms = TRANSITION_AT_MS + 7000.0 * index / len(new_workers)
            self.schedule(starts_at_ms - 700.0, partial(self.publish, index + 1, EndpointState.DRAINING))
            self.schedule(starts_at_ms, partial(self.start_worker, number))

    def _fail_others(self) -> None:
        """Make all other workers refuse connections while the endpoint list shows them as ready."""
        self._join()
        for number in list(self.workers):
            lost_at_ms = TRANSITION_AT_MS + self.scenario.others_lost_delay_ms
            self.schedule(lost_at_ms, partial(self.stop_worker, number, is_published=False))

    def _drain_others(self) -> None:
        """Drain a fraction of the other workers; only one new worker starts."""
        self._join()
        drained = round(self.scenario.drained_fraction * self.scenario.worker_count)
        for number in list(self.workers)[:drained]:
            drains_at_ms = TRANSITION_AT_MS + self.scenario.others_lost_delay_ms
            self.schedule(drains_at_ms, partial(self.publish, number, EndpointState.DRAINING))

    def function_with_home(self, worker_number: int) -> int:
        """Return a function whose first home after the transition is this worker."""
        numbers = [*self.workers, *self.scenario.new_workers()]
        for function in range(5000, 9000):
            scores = {number: rendezvous_score(hash64(function), hash64(number), 1.0) for number in numbers}
            if min(numbers, key=scores.__getitem__) == worker_number:
                return function
        raise AssertionError("no function has this worker as its first home")

    # Calls.

    def rate(self, now_ms: float) -> float:
        """Return the call rate of the whole fleet, per second."""
        is_burst = BURST_START_MS <= now_ms < BURST_END_MS
        burst_factor = self.scenario.burst_factor if is_burst else 1.0
        return (
            self.scenario.load
            * self.scenario.worker_count
            * 1000.0
            * self.scenario.cores
            / MEAN_WORK_MS
            * burst_factor
        )

    def on_arrival(self, now_ms: float) -> None:
        """Send a new call and schedule the next one."""
        self.schedule(now_ms + self.rng.expovariate(self.rate(now_ms) / 1000.0), self.on_arrival)
        index = self.rng.choices(range(len(self.routers)), self.router_weights)[0]
        function = self.rng.choices(FUNCTIONS, self.function_weights)[0]
        class_index = random.Random(function).choices(range(3), CLASS_FRACTIONS)[0]
        if (
            self.rng.random() < self.scenario.hot_function_fraction
            and now_ms >= TRANSITION_AT_MS + self.scenario.hot_function_delay_ms
        ):
            function = self.hot_function
            class_index = 1 if self.scenario.is_hot_function_heavy else 0
        deadline_ms = now_ms + CLASSES[class_index].deadline_ms
        self.send_request(now_ms, Call(index, function, class_index, deadline_ms, 0))

    def send_request(self, now_ms: float, call: Call) -> None:
        request_id = next(self.request_ids)
        self.calls[request_id] = call
        if now_ms >= TRANSITION_AT_MS:
            self.first_requests += call.client_retries == 0
        request = RequestArrived(
            request_id,
            call.function,
            call.class_index,
            call.deadline_ms,
            is_client_retry=call.client_retries > 0,
            concurrency=4.0,
        )
        self.feed(call.router_index, request, now_ms)

    def feed(self, index: int, event: Event, now_ms: float) -> None:
        """Pass an event to a router and execute the actions."""
        router = self.routers[index]
        incarnation = self.incarnations[index]
        for action in router.handle(now_ms, event):
            if isinstance(action, StartAttempt):
                self.start_attempt(index, action, now_ms)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.on_rejected(action, now_ms)
            elif isinstance(action, SetTimer):
                self.schedule(action.at_ms, partial(self.on_timer, index, incarnation, action.token))

    def on_timer(self, index: int, incarnation: int, token: int, now_ms: float) -> None:
        if self.incarnations[index] == incarnation:
            self.feed(index, TimerFired(token), now_ms)

    def on_rejected(self, action: RejectRequest | FailRequest, now_ms: float) -> None:
        call = self.calls.pop(action.request_id, None)
        if call is None:
            return
        self.rejected_requests += now_ms >= TRANSITION_AT_MS and call.client_retries == 0
        if call.client_retries < self.scenario.client_retries:
            self.schedule(now_ms + CLIENT_RETRY_DELAY_MS, partial(self.retry, call))

    def retry(self, call: Call, now_ms: float) -> None:
        """Send the call again, with a new deadline."""
        deadline_ms = now_ms + CLASSES[call.class_index].deadline_ms
        retry = call._replace(deadline_ms=deadline_ms, client_retries=call.client_retries + 1)
        self.send_request(now_ms, retry)

    def start_attempt(self, index: int, action: StartAttempt, now_ms: float) -> None:
        """Start an attempt at its worker and schedule the end of the attempt."""
        call = self.calls[action.request_id]
        worker = self.workers[action.worker_id]
        is_start_known = self.known_endpoints[index][action.worker_id].started_at_ms == worker.started_at_ms
        if worker.started_at_ms > 0.0 and worker.is_up and is_start_known and worker.capacity(now_ms) < 1.0:
            worker.record_send(now_ms, CLASS_WORK_MS[call.class_index] / MEAN_WORK_MS)
            self.cold_calls += 1
        slowdown = self.scenario.slowdown if now_ms < TRANSITION_AT_MS else 1.0
        work_ms = self.rng.expovariate(1.0 / CLASS_WORK_MS[call.class_index]) * slowdown
        ends_at_ms, outcome, start_kind = worker.serve(now_ms, call.function, work_ms)
        if ends_at_ms > call.deadline_ms:
            ends_at_ms = call.deadline_ms
            outcome = Outcome.TIMEOUT
        attempt_index = len(self.routers[index].pending_requests[action.request_id].attempts) - 1
        ended = AttemptEnded(
            action.request_id,
            attempt_index,
            action.worker_id,
            outcome,
            ends_at_ms - now_ms,
            outcome is Outcome.OK,
            start_kind,
            0,
        )
        self.schedule(ends_at_ms, partial(self.on_attempt_ended, index, self.incarnations[index], ended))

    def on_attempt_ended(self, index: int, incarnation: int, ended: AttemptEnded, now_ms: float) -> None:
        if self.incarnations[index] != incarnation:
            return
        if ended.is_final:
            self.calls.pop(ended.request_id, None)
        self.feed(index, ended, now_ms)

    def run(self) -> Result:
        """Run the simulation; initially all functions are loaded at all workers."""
        for index in range(len(self.routers)):
            self.feed_all_endpoints(index, 0.0)
        for worker in self.workers.values():
            worker.instance_ready_at_ms = dict.fromkeys(FUNCTIONS, 0.0)
        if self.scenario.hot_function_fraction:
            self.hot_function = self.function_with_home(
                FIRST_NEW_WORKER if self.scenario.new_workers() else 1
            )
        self.schedule_transition()
        self.schedule(0.0, self.on_arrival)
        while self.event_queue and self.event_queue[0][0] < TRANSITION_AT_MS + self.scenario.duration_ms:
            now_ms, _, callback = heapq.heappop(self.event_queue)
            callback(now_ms)
        return self.result()

    def result(self) -> Result:
        late_workers = [worker for worker in self.workers.values() if worker.started_at_ms > 0.0]
        end_ms = TRANSITION_AT_MS + self.scenario.duration_ms
        allowed_work = 0.0
        for worker in late_workers:
            steps = int((end_ms - worker.started_at_ms) / ALLOWED_WORK_STEP_MS)
            budgets = (
                worker.budget(worker.started_at_ms + step * ALLOWED_WORK_STEP_MS) for step in range(steps)
            )
            allowed_work += sum(budgets) * ALLOWED_WORK_STEP_MS / RULES.collapse_window_ms
        fullest_window = max((worker.fullest_window for worker in late_workers), default=NO_LOAD)
        return Result(
            fullest_window.fraction_of_bound,
            fullest_window.total,
            fullest_window.budget,
            sum(worker.received_work for worker in late_workers) / allowed_work,
            self.rejected_requests / self.first_requests,
        )


def main() -> None:
    """Print the table: ``python -m tests.simulation.slow_start_fleet [SEEDS [ROUTERS... [WORDS...]]]``.

    SEEDS is the number of seeds, ROUTERS are router counts. With WORDS, only scenarios whose name contains
    one of the words are run.
    """
    seed_count = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    router_counts = [int(argument) for argument in sys.argv[2:] if argument.isdigit()] or [3, 20, 30, 200]
    words = [argument for argument in sys.argv[2:] if not argument.isdigit()] or [""]
    print("| scenario | routers | max load/bound | load | budget | budget used | rejected |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, scenario in SCENARIOS.items():
        if not any(word in name for word in words):
            continue
        for router_count in router_counts:
            results = [_run(scenario, router_count, seed) for seed in range(seed_count)]
            worst = max(results, key=lambda result: result.fullest_window)
            used = sum(result.budget_used for result in results) / seed_count
            rejected = sum(result.rejected_fraction for result in results) / seed_count
            print(
                f"| {name} | {router_count} | {worst.fullest_window:.2f} | {worst.total:.1f} "
                f"| {worst.budget:.1f} | {used:.2f} | {rejected:.3f} |",
                flush=True,
            )


def _run(scenario: Scenario, router_count: int, seed: int) -> Result:
    """Run a scenario; with every other seed the routers know the fleet size."""
    seeded_scenario = dataclasses.replace(
        scenario, router_count=router_count, seed=seed, is_fleet_size_known=seed % 2 == 0
    )
    return Fleet(seeded_scenario).run()


if __name__ == "__main__":
    main()
