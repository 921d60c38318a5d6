"""The send guard, which refuses violations of each rule and permits all other attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import pytest

from cedarthread.dispatch.send_guard import SendGuard, SendRefusal
from tests.unit.dispatch.builders import (
    NOT_IDEMPOTENT_INDEX,
    NOW_MS,
    RULE_SETTINGS,
    WORKER,
    attempts_of_one_call,
    mark_first_in_flight,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.calls import Attempt


class Violation(NamedTuple):
    """A refusal, and how to build an attempt that causes it."""

    refusal: SendRefusal
    attempt_count: int
    class_index: int
    violate: Callable[[list[Attempt]], None]


VIOLATIONS = [
    Violation(SendRefusal.ATTEMPT_ENDED, 1, 0, lambda attempts: setattr(attempts[-1], "is_ended", True)),
    Violation(
        SendRefusal.CALL_COMPLETE, 1, 0, lambda attempts: setattr(attempts[-1].call, "is_complete", True)
    ),
    Violation(
        SendRefusal.CLIENT_DISCONNECTED,
        1,
        0,
        lambda attempts: setattr(attempts[-1].call, "is_client_half_closed", True),
    ),
    Violation(
        SendRefusal.DEADLINE_PASSED, 1, 0, lambda attempts: setattr(attempts[-1].call, "deadline_ms", NOW_MS)
    ),
    Violation(
        SendRefusal.RETRY_WINDOW_PASSED,
        2,
        0,
        lambda attempts: setattr(attempts[-1], "write_deadline_ms", NOW_MS - 1.0),
    ),
    Violation(
        SendRefusal.WORKER_NOT_READY, 1, 0, lambda attempts: setattr(attempts[-1], "worker_id", WORKER + 1)
    ),
    Violation(SendRefusal.TOO_MANY_ATTEMPTS, 5, 0, lambda attempts: None),
    Violation(SendRefusal.ATTEMPT_IN_FLIGHT, 2, 0, mark_first_in_flight),
    Violation(SendRefusal.MAY_HAVE_EXECUTED, 2, NOT_IDEMPOTENT_INDEX, lambda attempts: None),
]


@pytest.mark.parametrize("violation", VIOLATIONS, ids=[violation.refusal for violation in VIOLATIONS])
def test_each_rule_refuses_an_attempt(violation: Violation) -> None:
    guard = SendGuard()
    attempts = attempts_of_one_call(violation.attempt_count, violation.class_index)
    guard.update_ready_workers([WORKER])
    violation.violate(attempts)
    assert guard.refuse_attempt(NOW_MS, attempts[-1], RULE_SETTINGS) is violation.refusal


def test_attempts_within_the_rules_may_be_sent() -> None:
    guard = SendGuard()
    assert guard.refuse_worker(WORKER) is None, "no worker is known to drain before the first list"
    guard.update_ready_workers([WORKER])
    assert guard.refuse_attempt(NOW_MS, attempts_of_one_call()[-1], RULE_SETTINGS) is None
    assert guard.refuse_attempt(NOW_MS, attempts_of_one_call(2)[-1], RULE_SETTINGS) is None
    not_executed_attempts = attempts_of_one_call(2, NOT_IDEMPOTENT_INDEX)
    not_executed_attempts[0].is_not_executed = True
    assert guard.refuse_attempt(NOW_MS, not_executed_attempts[-1], RULE_SETTINGS) is None
    guard.update_ready_workers([])
    assert guard.refuse_worker(WORKER) is SendRefusal.WORKER_NOT_READY
