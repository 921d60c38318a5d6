"""Popularity estimates at a router with few calls, where chance must not make a function popular."""

from __future__ import annotations

import random

import pytest

from cedarthread.routing import popularity
from cedarthread.routing.popularity import Popularity
from cedarthread.statistics import DecayingCounter
from tests.helpers import RouterDriver, worker


def estimated_fractions(
    calls_per_second: float, call_fractions: list[float], duration_s: float, seed: int
) -> list[float]:
    """Return a router's estimates of the call fractions, from random calls with the given fractions."""
    rng = random.Random(seed)
    estimator = Popularity()
    now_ms = 0.0
    counters = [DecayingCounter(popularity.MIN_WINDOW_MS) for _ in call_fractions]
    while now_ms < 1000.0 * duration_s:
        now_ms += rng.expovariate(calls_per_second / 1000.0)
        (function_index,) = rng.choices(range(len(call_fractions)), call_fractions)
        estimator.on_call(now_ms, counters[function_index], calls_per_second / 1000.0)
    return [estimator.call_fraction(now_ms, counter) for counter in counters]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("calls_per_second", [2.0, 4.0, 20.0, 200.0])
def test_rare_functions_are_not_estimated_as_popular_at_any_call_rate(
    calls_per_second: float, seed: int
) -> None:
    call_fractions = [0.2, *([0.8 / 160] * 160)]
    estimated = estimated_fractions(calls_per_second, call_fractions, 40.0, seed)
    assert sum(estimated[1:]) < 0.6, "together they would get homes for more than all calls"
    assert 0.04 < estimated[0] < 0.35


def test_no_function_is_popular_at_a_router_that_has_just_started() -> None:
    estimator = Popularity()
    counter = DecayingCounter(popularity.MIN_WINDOW_MS)
    for now_ms in (100.0, 300.0, 500.0):
        estimator.on_call(now_ms, counter, 0.005)
    assert estimator.call_fraction(500.0, counter) < 0.05


def test_the_window_grows_as_calls_get_rarer_within_bounds() -> None:
    estimator = Popularity()
    counter = DecayingCounter(popularity.MIN_WINDOW_MS)
    for calls_per_ms, window_ms in (
        (1.0, popularity.MIN_WINDOW_MS),
        (0.004, 20_000.0),
        (0.0001, popularity.MAX_WINDOW_MS),
    ):
        estimator.on_call(0.0, counter, calls_per_ms)
        assert estimator.window_ms == counter.time_constant_ms == window_ms


def test_hundreds_of_routers_with_few_calls_give_rare_functions_few_homes() -> None:
    """Guards against functions called twice by chance counting as popular, which loads unneeded instances."""
    max_home_counts: list[int] = []
    for seed in range(12):
        endpoints = [worker(worker_id) for worker_id in range(40)]
        driver = RouterDriver(*endpoints, seed=seed, router_count=200)
        rng = random.Random(seed)
        home_count = driver.router.selector.home_count
        for request_id in range(1, 120):
            driver.advance_to(driver.now_ms + rng.expovariate(0.004))
            driver.send_request(rng.randrange(100))
            attempt = driver.router.pending_requests[request_id].attempts[0]
            driver.end_attempt(request_id, attempt.endpoint.worker_id, after_ms=20.0)
            functions = driver.router.functions.values()
            max_home_counts.append(max(home_count(driver.now_ms, function) for function in functions))
    assert sum(count >= 12 for count in max_home_counts) < 0.01 * len(max_home_counts)
