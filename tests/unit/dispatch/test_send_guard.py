"""The guard of all sending and the run-time check beside it: each rule, kept and broken."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import pytest

from cedarthread.dispatch.calls import Attempt, Call, Progress
from cedarthread.dispatch.send_audit import CLIENT_DISCONNECTED_SLACK_MS, SOCKET_SLACK_MS, SendAudit, SendRule
from cedarthread.dispatch.send_guard import SendGuard, SendRefusal
from cedarthread.dispatch.stall_hold import StallHold
from cedarthread.model.endpoints import EndpointState
from tests.helpers import CLASSES, UNSAFE, settings

if TYPE_CHECKING:
    from collections.abc import Callable

NOW_MS = 10_000.0
WORKER = 5
SETTINGS = settings()
UNSAFE_INDEX = CLASSES.index(UNSAFE)


def attempts_of_one_call(count: int = 1, class_index: int = 0) -> list[Attempt]:
    """A call with so many attempts; all but the last have ended, and were executed."""
    call = Call("a" * 16, class_index, 7, NOW_MS + 1000.0, b"", lambda result: None)
    for index in range(count):
        call.attempts.append(Attempt(call, index, WORKER, NOW_MS))
    for earlier in call.attempts[:-1]:
        earlier.is_ended, earlier.progress = True, Progress.WRITTEN
    return call.attempts


def end_first(attempts: list[Attempt]) -> None:
    attempts[0].is_ended = False


def not_executed(attempts: list[Attempt]) -> None:
    attempts[0].is_not_executed = True


BROKEN: list[tuple[SendRefusal, int, int, Callable[[list[Attempt]], None]]] = [
    (SendRefusal.ATTEMPT_ENDED, 1, 0, lambda a: setattr(a[-1], "is_ended", True)),
    (SendRefusal.CALL_COMPLETE, 1, 0, lambda a: setattr(a[-1].call, "is_complete", True)),
    (SendRefusal.CLIENT_DISCONNECTED, 1, 0, lambda a: setattr(a[-1].call, "is_client_closing", True)),
    (SendRefusal.DEADLINE_PASSED, 1, 0, lambda a: setattr(a[-1].call, "deadline_ms", NOW_MS)),
    (SendRefusal.RETRY_WINDOW_PASSED, 2, 0, lambda a: setattr(a[-1], "write_deadline_ms", NOW_MS - 1.0)),
    (SendRefusal.WORKER_NOT_READY, 1, 0, lambda a: setattr(a[-1], "worker_id", WORKER + 1)),
    (SendRefusal.TOO_MANY_ATTEMPTS, 5, 0, lambda a: None),
    (SendRefusal.ATTEMPT_IN_FLIGHT, 2, 0, end_first),
    (SendRefusal.MAY_HAVE_EXECUTED, 2, UNSAFE_INDEX, lambda a: None),
]


@pytest.mark.parametrize(("refusal", "count", "class_index", "spoil"), BROKEN, ids=[b[0] for b in BROKEN])
def test_each_rule_refuses_an_attempt(
    refusal: SendRefusal, count: int, class_index: int, spoil: Callable[[list[Attempt]], None]
) -> None:
    guard, attempts = SendGuard(), attempts_of_one_call(count, class_index)
    guard.update_ready_workers([WORKER])
    spoil(attempts)
    assert guard.refuse_attempt(NOW_MS, attempts[-1], SETTINGS) is refusal


def test_attempts_that_keep_the_rules_are_sent() -> None:
    guard = SendGuard()
    assert guard.refuse_worker(WORKER) is None, "before the first list nobody is known to drain"
    guard.update_ready_workers([WORKER])
    assert guard.refuse_attempt(NOW_MS, attempts_of_one_call()[-1], SETTINGS) is None
    assert guard.refuse_attempt(NOW_MS, attempts_of_one_call(2)[-1], SETTINGS) is None
    proven = attempts_of_one_call(2, UNSAFE_INDEX)
    not_executed(proven)
    assert guard.refuse_attempt(NOW_MS, proven[-1], SETTINGS) is None
    guard.update_ready_workers([])
    assert guard.refuse_worker(WORKER) is SendRefusal.WORKER_NOT_READY


@pytest.mark.parametrize("state", [EndpointState.DRAINING, None])
def test_the_check_counts_a_send_after_the_grace_once_and_says_which(
    state: EndpointState | None, caplog: pytest.LogCaptureFixture
) -> None:
    audit, attempt = SendAudit(), attempts_of_one_call()[-1]
    audit.on_endpoints(NOW_MS, {WORKER: EndpointState.READY})
    audit.on_endpoints(NOW_MS + 1.0, {WORKER: state} if state is not None else {})
    limit_ms = NOW_MS + 1.0 + SETTINGS.rules.drain_grace_ms + SOCKET_SLACK_MS
    audit.on_attempt_sent(limit_ms, attempt, SETTINGS)
    assert not audit.violations
    with caplog.at_level(logging.ERROR):
        audit.on_attempt_sent(limit_ms + 1.0, attempt, SETTINGS)
        audit.on_preload_sent(limit_ms + 1.0, WORKER, "load-1", SETTINGS.rules.drain_grace_ms)
    assert audit.violations == {SendRule.DRAIN: 2}
    assert caplog.messages[0].startswith("rule_violated rule=drain request=aaaaaaaaaaaaaaaa worker_id=5 ")
    audit.on_endpoints(limit_ms + 2.0, {WORKER: EndpointState.READY})
    audit.on_attempt_sent(limit_ms + 3.0, attempt, SETTINGS)
    assert audit.violations.total() == 2


def test_the_check_counts_what_the_guard_should_have_refused() -> None:
    audit = SendAudit()
    (gone,) = attempts_of_one_call()
    gone.call.client_disconnected_at_ms = NOW_MS
    audit.on_attempt_sent(NOW_MS + CLIENT_DISCONNECTED_SLACK_MS, gone, SETTINGS)
    assert not audit.violations
    audit.on_attempt_sent(NOW_MS + CLIENT_DISCONNECTED_SLACK_MS + 1.0, gone, SETTINGS)
    (late,) = attempts_of_one_call()
    late.call.is_complete = True
    audit.on_attempt_sent(NOW_MS, late, SETTINGS)
    repeated = attempts_of_one_call(2, UNSAFE_INDEX)
    audit.on_attempt_sent(NOW_MS, repeated[-1], SETTINGS)
    doubled = attempts_of_one_call(2)
    end_first(doubled)
    audit.on_attempt_sent(NOW_MS, doubled[-1], SETTINGS)
    assert audit.violations == {
        SendRule.CLIENT_DISCONNECTED: 1,
        SendRule.AFTER_ANSWER: 1,
        SendRule.UNSAFE_REPEAT: 1,
        SendRule.TWO_ATTEMPTS: 1,
    }


def test_after_a_stall_work_is_held_until_the_list_is_fresh_or_for_a_fifth_of_the_grace() -> None:
    hold, grace_s = StallHold(), 0.5
    assert hold.begin_if_stalled(10.1, 10.0, grace_s) is None, "a timer that is a little late is no stall"
    assert not hold.is_holding(10.1)
    assert hold.begin_if_stalled(13.0, 10.0, grace_s) == pytest.approx(0.1)
    assert hold.is_holding(13.05)
    assert hold.begin_if_stalled(13.05, 10.0, grace_s) is None, "one stall is one hold"
    assert not hold.on_fresh(9.9), "a reply to a query of before the stall"
    assert hold.is_holding(13.05)
    assert hold.on_fresh(13.0)
    assert not hold.is_holding(13.05)
    assert hold.begin_if_stalled(20.0, 15.0, grace_s) is not None
    assert not hold.is_holding(20.11), "discovery may be down"
