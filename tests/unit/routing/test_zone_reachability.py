"""Zone reachability: the detector in isolation, and a router that uses it."""

from __future__ import annotations

import pytest

from cedarthread.routing.zone_reachability import (
    BASE_TRIAL_DELAY_MS,
    CONNECT_FAILURE_SUSPICION,
    MAX_TRIAL_DELAY_MS,
    MAX_WORKER_SUSPICION,
    MIN_RESPONSES,
    SUSPICION_THRESHOLD,
    ZoneReachability,
)
from tests.helpers import RouterDriver, attempted_worker_ids, worker
from tests.unit.routing.builders import cancellations

USUAL_MS = 200.0
START_MS = 1000.0
ZONE = 1
OTHER_ZONE = 2


def zones_with_responses(zone_count: int = 3) -> ZoneReachability:
    """Return a detector with the required number of responses from each zone, at time 0."""
    zones = ZoneReachability(own_zone=0)
    for number in range(MIN_RESPONSES * zone_count):
        zones.on_attempt_started(0.0, (number, 0), number, number % zone_count, USUAL_MS)
        assert not zones.on_attempt_ended(
            0.0, (number, 0), USUAL_MS, is_response=True, has_connect_failed=False
        )
    return zones


def start_attempts(
    zones: ZoneReachability, count: int, *, worker_count: int | None = None, expected_ms: float = USUAL_MS
) -> None:
    """Start attempts in the zone with request ids from 100, each at another worker by default."""
    for number in range(count):
        worker_id = number if worker_count is None else number % worker_count
        zones.on_attempt_started(START_MS, (100 + number, 0), worker_id, ZONE, expected_ms)


@pytest.mark.parametrize("worker_count", [1, 2, 5])
def test_a_zone_is_unreachable_only_if_several_workers_do_not_respond(worker_count: int) -> None:
    zones = zones_with_responses()
    start_attempts(zones, 5, worker_count=worker_count)
    is_reachable = worker_count * MAX_WORKER_SUSPICION < SUSPICION_THRESHOLD
    assert zones.find_unreachable(START_MS + USUAL_MS / 2) == []
    assert zones.find_unreachable(START_MS + 50 * USUAL_MS) == ([] if is_reachable else [ZONE])
    assert zones.may_send(9000.0, OTHER_ZONE, is_idempotent=False)
    assert zones.may_send(9000.0, ZONE, is_idempotent=False) == is_reachable


def test_one_response_makes_a_zone_reachable() -> None:
    zones = zones_with_responses()
    start_attempts(zones, 4)
    response_ms = START_MS + 51 * USUAL_MS
    assert zones.find_unreachable(START_MS + 50 * USUAL_MS) == [ZONE]
    assert zones.on_attempt_ended(response_ms, (100, 0), USUAL_MS, is_response=True, has_connect_failed=False)
    assert zones.may_send(response_ms, ZONE, is_idempotent=False)
    assert zones.find_unreachable(response_ms) == []


def test_remote_zones_that_stop_responding_together_are_unreachable() -> None:
    """One call to each zone would not suffice for any zone by itself."""
    zones = zones_with_responses()
    for number, zone in enumerate((ZONE, OTHER_ZONE)):
        zones.on_attempt_started(START_MS, (100 + number, 0), number, zone, USUAL_MS)
    assert zones.find_unreachable(START_MS + 50 * USUAL_MS) == [ZONE, OTHER_ZONE]


def test_failed_connects_show_an_unreachable_zone_sooner() -> None:
    zones = zones_with_responses()
    for number in range(2):
        zones.on_attempt_started(START_MS, (100 + number, 0), number, ZONE, USUAL_MS)
        zones.on_attempt_ended(1250.0, (100 + number, 0), 250.0, is_response=False, has_connect_failed=True)
    assert 2 * CONNECT_FAILURE_SUSPICION >= SUSPICION_THRESHOLD
    assert zones.find_unreachable(1300.0) == [ZONE]


def test_a_short_pause_after_fast_responses_does_not_make_a_zone_unreachable() -> None:
    zones = ZoneReachability(own_zone=0)
    for number in range(MIN_RESPONSES):
        zones.on_attempt_started(0.0, (number, 0), number, ZONE, 1.0)
        zones.on_attempt_ended(0.0, (number, 0), 0.0, is_response=True, has_connect_failed=False)
    start_attempts(zones, 4, expected_ms=1.0)
    assert zones.find_unreachable(START_MS + 90.0) == []
    assert zones.find_unreachable(START_MS + 300.0) == [ZONE]


def test_one_idempotent_call_is_the_trial_of_an_unreachable_zone_and_a_lost_trial_backs_off() -> None:
    zones = zones_with_responses()
    start_attempts(zones, 4)
    found_ms = START_MS + 50 * USUAL_MS
    trial_ms = found_ms + BASE_TRIAL_DELAY_MS
    assert zones.find_unreachable(found_ms) == [ZONE]
    assert not zones.may_send(trial_ms - 1.0, ZONE, is_idempotent=True)
    assert not zones.may_send(trial_ms, ZONE, is_idempotent=False)
    assert zones.may_send(trial_ms, ZONE, is_idempotent=True)
    assert zones.may_send(trial_ms + MAX_TRIAL_DELAY_MS, ZONE, is_idempotent=False)
    zones.on_attempt_started(trial_ms, (200, 0), 7, ZONE, USUAL_MS)
    assert not zones.may_send(trial_ms, ZONE, is_idempotent=True)
    lost_ms = trial_ms + 10 * USUAL_MS
    assert zones.find_unreachable(lost_ms) == [ZONE]
    assert not zones.may_send(lost_ms + 2 * BASE_TRIAL_DELAY_MS - 1.0, ZONE, is_idempotent=True)
    zones.on_worker_restarted(ZONE)
    assert zones.may_send(lost_ms, ZONE, is_idempotent=False)


def test_idempotent_calls_in_an_unreachable_zone_are_cancelled() -> None:
    """With 200 routers no worker of an unreachable zone is called twice, so none is ejected in time."""
    endpoints = [worker(worker_id, zone=worker_id % 3) for worker_id in range(1, 31)]
    driver = RouterDriver(*endpoints, router_count=200)
    for function_id in range(60):
        (worker_id,) = attempted_worker_ids(driver.send_request(function_id))
        driver.end_attempt(driver.last_request_id, worker_id)
    lost_request_ids: list[int] = []
    for function_id in range(100, 140):
        driver.advance_to(driver.now_ms + 250.0)
        for worker_id in attempted_worker_ids(driver.send_request(function_id, class_index=function_id % 2)):
            if worker_id % 3 == driver.router.state.settings.zone:
                driver.end_attempt(driver.last_request_id, worker_id, after_ms=0.0)
            else:
                lost_request_ids.append(driver.last_request_id)
    assert 0 < len(lost_request_ids) < 12
    assert cancellations(driver.actions)
