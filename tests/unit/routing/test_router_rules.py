"""The operators' five rules, on long legal event sequences drawn by hypothesis (derandomized)."""

from __future__ import annotations

import dataclasses
import heapq
import random

import pytest
from hypothesis import given
from hypothesis import settings as given_settings
from hypothesis import strategies as st

from cedarthread.model.actions import StartAttempt
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, RequestArrived
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import NotLoadedBehavior
from cedarthread.routing.router import Router
from tests.helpers import CLASSES, LIMITS, RULES, settings, worker
from tests.unit.routing.builders import workers
from tests.unit.routing.rule_checking_world import RuleCheckingWorld

SERVICE_MS = 40.0
DEADLINE_MS = 3000.0
END_MS = 118000.0


def min_capacity(age_ms: float) -> float:
    """Return the least capacity that rule 4 gives a worker of this age, 0 to 1."""
    cold = RULES.slow_start_min_capacity
    return cold + (1 - cold) * age_ms / RULES.slow_start_ms


def calls_in_window(times: list[float], end_ms: float) -> int:
    """Return the number of calls in the window of rule 4 that ends at this time."""
    return sum(end_ms - RULES.collapse_window_ms < at_ms <= end_ms for at_ms in times)


@given_settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(
    seed=st.integers(0, 2**32),
    rejects_not_loaded=st.booleans(),
    allows_hedging=st.booleans(),
    max_attempts=st.integers(1, 4),
)
def test_rules_1_2_3_5_hold_on_legal_sequences(
    seed: int, rejects_not_loaded: bool, allows_hedging: bool, max_attempts: int
) -> None:
    world = RuleCheckingWorld(
        seed,
        when_not_loaded=NotLoadedBehavior.REJECT if rejects_not_loaded else NotLoadedBehavior.LOAD,
        limits=dataclasses.replace(LIMITS, allows_hedging=allows_hedging, max_attempts=max_attempts),
        rules=dataclasses.replace(RULES, preload_window_ms=3000.0, preload_allowance=2.0, preload_share=0.05),
    )
    world.run(120)
    assert world.served_count > 0


@given_settings(max_examples=25, derandomize=True, deadline=None, database=None)
@given(seed=st.integers(0, 2**32), interval_ms=st.floats(2.0, 60.0), router_count=st.integers(1, 6))
def test_rule_4_a_cold_worker_gets_no_more_than_its_part(
    seed: int, interval_ms: float, router_count: int
) -> None:
    """In any window it gets less than the multiple of its part of a warm worker's calls, or one call."""
    rng = random.Random(seed)
    now_ms = 100000.0
    router = Router(settings(router_count=router_count), seed)
    router.handle(now_ms, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(workers(4))))
    in_flight: list[tuple[float, int, int]] = []  # end, request id, worker id
    restart_at_ms = now_ms + 8000.0
    restarted = worker(1, started=restart_at_ms)
    sent_to_cold_at: list[float] = []
    request_id = 0
    is_restart_listed = False
    while now_ms < END_MS:
        now_ms += rng.expovariate(1 / interval_ms)
        for end_ms, ended_id, worker_id in sorted(attempt for attempt in in_flight if attempt[0] <= now_ms):
            response = AttemptEnded(ended_id, 0, worker_id, Outcome.OK, SERVICE_MS, True, StartKind.WARM)
            router.handle(end_ms, response)
        in_flight = [attempt for attempt in in_flight if attempt[0] > now_ms]
        if not is_restart_listed and now_ms >= restart_at_ms:
            is_restart_listed = True
            router.handle(now_ms, EndpointUpdate(EndpointUpdateKind.DELTA, 2, (restarted,)))
        request_id += 1
        request = RequestArrived(request_id, rng.randrange(9), 0, now_ms + DEADLINE_MS)
        for action in router.handle(now_ms, request):
            if isinstance(action, StartAttempt):
                in_flight.append((now_ms + SERVICE_MS, request_id, action.worker_id))
                if action.worker_id == 1 and is_restart_listed:
                    sent_to_cold_at.append(now_ms)
    warm_calls_per_ms = 40.0 / interval_ms / 4 / 40.0
    for sent_at_ms in sent_to_cold_at:
        age_ms = sent_at_ms - restart_at_ms
        if age_ms < RULES.slow_start_ms:
            warm_calls = warm_calls_per_ms * RULES.collapse_window_ms
            limit = RULES.collapse_multiple * min_capacity(age_ms) * warm_calls * 1.3
            assert calls_in_window(sent_to_cold_at, sent_at_ms) <= max(1.0, limit)


@pytest.mark.parametrize("class_index", range(len(CLASSES)))
def test_the_same_events_give_the_same_actions(class_index: int) -> None:
    def play() -> list[tuple[float, int]]:
        world = RuleCheckingWorld(7 + class_index)
        world.run(60)
        return world.starts

    first = play()
    assert first
    assert first == play()


@pytest.mark.parametrize("router_count", [1, 4, 40, 200])
def test_rule_4_holds_for_the_calls_of_all_routers_together(router_count: int) -> None:
    """Each router knows only its own calls, and one call of each would already exceed the limit."""
    rng = random.Random(router_count)
    now_ms = 100000.0
    worker_count = 6
    routers = [Router(settings(router_count=router_count), seed) for seed in range(router_count)]
    listed = EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(workers(worker_count)))
    for router in routers:
        router.handle(now_ms, listed)
    in_flight: list[tuple[float, int, int, int]] = []  # end, request id, router index, worker id
    restart_at_ms = now_ms + 6000.0
    restart = EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(1, started=restart_at_ms),))
    is_restart_listed = False
    sent_to_cold_at: list[float] = []
    request_id = 0
    interval_ms = 3.0
    while now_ms < END_MS:
        now_ms += rng.expovariate(1 / interval_ms)
        while in_flight and in_flight[0][0] <= now_ms:
            end_ms, ended_id, router_index, worker_id = heapq.heappop(in_flight)
            response = AttemptEnded(ended_id, 0, worker_id, Outcome.OK, SERVICE_MS, True, StartKind.WARM)
            routers[router_index].handle(end_ms, response)
        if not is_restart_listed and now_ms >= restart_at_ms:
            is_restart_listed = True
            for router in routers:
                router.handle(now_ms, restart)
        request_id += 1
        router_index = rng.randrange(router_count)
        request = RequestArrived(request_id, rng.randrange(30), 0, now_ms + DEADLINE_MS)
        for action in routers[router_index].handle(now_ms, request):
            if isinstance(action, StartAttempt):
                heapq.heappush(in_flight, (now_ms + SERVICE_MS, request_id, router_index, action.worker_id))
                if action.worker_id == 1 and is_restart_listed:
                    sent_to_cold_at.append(now_ms)
    assert sent_to_cold_at, "slow start does not starve the worker"
    warm_calls = RULES.collapse_window_ms / interval_ms / worker_count
    for sent_at_ms in sent_to_cold_at:
        if (age_ms := sent_at_ms - restart_at_ms) < RULES.slow_start_ms:
            limit = RULES.collapse_multiple * min_capacity(age_ms) * warm_calls
            assert calls_in_window(sent_to_cold_at, sent_at_ms) <= limit


def test_a_fleet_of_only_cold_workers_is_not_starved() -> None:
    now_ms = 100000.0
    listed = tuple(worker(worker_id, started=now_ms - 500.0) for worker_id in range(1, 21))
    start_count = 0
    for seed in range(50):
        router = Router(settings(router_count=50), seed)
        router.handle(now_ms, EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
        for request_id in range(20):
            at_ms = now_ms + 100.0 * request_id
            request = RequestArrived(request_id, request_id % 5, 0, at_ms + DEADLINE_MS)
            actions = router.handle(at_ms, request)
            start_count += sum(isinstance(action, StartAttempt) for action in actions)
    assert start_count > 100
