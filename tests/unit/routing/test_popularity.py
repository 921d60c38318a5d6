"""What a router that sees few calls makes of them: no popularity out of chance, and no copies out of that."""

from __future__ import annotations

import random

import pytest

from cedarthread.routing import popularity
from cedarthread.routing.popularity import Popularity
from cedarthread.statistics import DecayingCounter
from tests.helpers import RouterDriver, worker


def parts(rate: float, shares: list[float], seconds: float, seed: int) -> list[float]:
    """What a router of so many calls a second makes of functions with these shares."""
    rng, seen, now_ms = random.Random(seed), Popularity(), 0.0
    counts = [DecayingCounter(popularity.MIN_WINDOW_MS) for _ in shares]
    while now_ms < 1000.0 * seconds:
        now_ms += rng.expovariate(rate / 1000.0)
        (one,) = rng.choices(range(len(shares)), shares)
        seen.on_call(now_ms, counts[one], rate / 1000.0)
    return [seen.call_fraction(now_ms, count) for count in counts]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("rate", [2.0, 4.0, 20.0, 200.0])
def test_rare_functions_stay_rare_however_few_calls_are_seen(rate: float, seed: int) -> None:
    shares = [0.2, *([0.8 / 160] * 160)]
    told = parts(rate, shares, 40.0, seed)
    assert sum(told[1:]) < 0.6, "together they would get homes for more than all calls"
    assert 0.04 < told[0] < 0.35


def test_nothing_is_popular_to_a_router_that_has_just_started() -> None:
    seen, count = Popularity(), DecayingCounter(popularity.MIN_WINDOW_MS)
    for now_ms in (100.0, 300.0, 500.0):
        seen.on_call(now_ms, count, 0.005)
    assert seen.call_fraction(500.0, count) < 0.05


def test_the_window_grows_as_calls_get_rarer_within_bounds() -> None:
    seen, count = Popularity(), DecayingCounter(popularity.MIN_WINDOW_MS)
    for rate, view in (
        (1.0, popularity.MIN_WINDOW_MS),
        (0.004, 20_000.0),
        (0.0001, popularity.MAX_WINDOW_MS),
    ):
        seen.on_call(0.0, count, rate)
        assert seen.window_ms == count.time_constant_ms == view


def test_hundreds_of_routers_that_see_few_calls_give_rare_functions_few_homes() -> None:
    """Each once took what chance had sent it twice for popular: the fleet loaded what no call needed."""
    homes: list[int] = []
    for seed in range(12):
        drive, rng = (
            RouterDriver(*(worker(n) for n in range(40)), seed=seed, router_count=200),
            random.Random(seed),
        )
        for number in range(1, 120):
            drive.advance_to(drive.now_ms + rng.expovariate(0.004))
            drive.send_request(rng.randrange(100))
            drive.end_attempt(
                number, drive.router.pending_requests[number].attempts[0].endpoint.worker_id, after_ms=20.0
            )
            homes.append(
                max(
                    drive.router.selector.home_count(drive.now_ms, function)
                    for function in drive.router.functions.values()
                )
            )
    assert sum(most >= 12 for most in homes) < 0.01 * len(homes)
