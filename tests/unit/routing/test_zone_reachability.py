"""Which zones can be reached: by itself, and in the decisions of a router."""

from __future__ import annotations

import pytest

from cedarthread.model.actions import CancelAttempt
from cedarthread.routing.zone_reachability import (
    BASE_TRIAL_DELAY_MS,
    CONNECT_FAILURE_SURPRISE,
    MAX_TRIAL_DELAY_MS,
    MAX_WORKER_SURPRISE,
    MIN_RESPONSES,
    UNREACHABLE_SURPRISE,
    ZoneReachability,
)
from tests.helpers import RouterDriver, sends, worker

USUAL = 200.0


def known(zones: int = 3) -> ZoneReachability:
    reach = ZoneReachability(0)
    for number in range(MIN_RESPONSES * zones):
        reach.on_attempt_started(0.0, (number, 0), number, number % zones, USUAL)
        assert not reach.on_attempt_ended(0.0, (number, 0), USUAL, is_response=True, has_connect_failed=False)
    return reach


@pytest.mark.parametrize("workers", [1, 2, 5])
def test_a_zone_is_unreachable_by_the_silence_of_several_workers_alone(workers: int) -> None:
    reach = known()
    for number in range(5):
        reach.on_attempt_started(1000.0, (100 + number, 0), number % workers, 1, USUAL)
    assert reach.find_unreachable(1000.0 + USUAL / 2) == []
    assert reach.find_unreachable(1000.0 + 50 * USUAL) == (
        [] if workers * MAX_WORKER_SURPRISE < UNREACHABLE_SURPRISE else [1]
    )
    assert reach.may_send(9000.0, 2, is_idempotent=False)
    assert reach.may_send(9000.0, 1, is_idempotent=False) == (
        workers * MAX_WORKER_SURPRISE < UNREACHABLE_SURPRISE
    )


def test_one_response_makes_a_zone_reachable() -> None:
    reach = known()
    for number in range(4):
        reach.on_attempt_started(1000.0, (100 + number, 0), number, 1, USUAL)
    assert reach.find_unreachable(1000.0 + 50 * USUAL) == [1]
    assert reach.on_attempt_ended(
        1000.0 + 51 * USUAL, (100, 0), USUAL, is_response=True, has_connect_failed=False
    )
    assert reach.may_send(1000.0 + 51 * USUAL, 1, is_idempotent=False)
    assert reach.find_unreachable(1000.0 + 51 * USUAL) == []


def test_all_zones_but_the_own_one_fall_silent_together() -> None:
    """One call to each says too little of either."""
    reach = known()
    for number in range(2):
        reach.on_attempt_started(1000.0, (100 + number, 0), number, 1 + number, USUAL)
    assert reach.find_unreachable(1000.0 + 50 * USUAL) == [1, 2]


def test_failed_connections_show_an_unreachable_zone_sooner() -> None:
    reach = known()
    for number in range(2):
        reach.on_attempt_started(1000.0, (100 + number, 0), number, 1, USUAL)
        reach.on_attempt_ended(1250.0, (100 + number, 0), 250.0, is_response=False, has_connect_failed=True)
    assert 2 * CONNECT_FAILURE_SURPRISE >= UNREACHABLE_SURPRISE
    assert reach.find_unreachable(1300.0) == [1]


def test_quick_responses_do_not_make_a_short_pause_a_silence() -> None:
    reach = ZoneReachability(0)
    for number in range(MIN_RESPONSES):
        reach.on_attempt_started(0.0, (number, 0), number, 1, 1.0)
        reach.on_attempt_ended(0.0, (number, 0), 0.0, is_response=True, has_connect_failed=False)
    for number in range(4):
        reach.on_attempt_started(1000.0, (100 + number, 0), number, 1, 1.0)
    assert reach.find_unreachable(1090.0) == []
    assert reach.find_unreachable(1000.0 + 300.0) == [1]


def test_one_idempotent_call_tries_an_unreachable_zone_and_a_lost_trial_backs_off() -> None:
    reach = known()
    for number in range(4):
        reach.on_attempt_started(1000.0, (100 + number, 0), number, 1, USUAL)
    now_ms = 1000.0 + 50 * USUAL
    assert reach.find_unreachable(now_ms) == [1]
    assert not reach.may_send(now_ms + BASE_TRIAL_DELAY_MS - 1.0, 1, is_idempotent=True)
    assert not reach.may_send(now_ms + BASE_TRIAL_DELAY_MS, 1, is_idempotent=False)
    assert reach.may_send(now_ms + BASE_TRIAL_DELAY_MS, 1, is_idempotent=True)
    assert reach.may_send(now_ms + BASE_TRIAL_DELAY_MS + MAX_TRIAL_DELAY_MS, 1, is_idempotent=False)
    reach.on_attempt_started(now_ms + BASE_TRIAL_DELAY_MS, (200, 0), 7, 1, USUAL)
    assert not reach.may_send(now_ms + BASE_TRIAL_DELAY_MS, 1, is_idempotent=True)
    late = now_ms + BASE_TRIAL_DELAY_MS + 10 * USUAL
    assert reach.find_unreachable(late) == [1]
    assert not reach.may_send(late + 2 * BASE_TRIAL_DELAY_MS - 1.0, 1, is_idempotent=True)
    reach.on_worker_restarted(1)
    assert reach.may_send(late, 1, is_idempotent=False)


def test_idempotent_calls_are_recalled_from_an_unreachable_zone() -> None:
    """At 200 routers a zone that was cut off took calls all that time: no worker was called twice."""
    drive = RouterDriver(*(worker(n, zone=n % 3) for n in range(1, 31)), router_count=200)
    for function in range(60):
        drive.end_attempt(drive.last_request_id + 1, sends(drive.send_request(function))[0])
    lost: list[int] = []
    for function in range(100, 140):
        drive.advance_to(drive.now_ms + 250.0)
        for at in sends(drive.send_request(function, class_index=function % 2)):
            if at % 3 == drive.router.state.settings.zone:
                drive.end_attempt(drive.last_request_id, at, after_ms=0.0)
            else:
                lost.append(drive.last_request_id)
    assert 0 < len(lost) < 12
    assert any(isinstance(action, CancelAttempt) for action in drive.actions)
