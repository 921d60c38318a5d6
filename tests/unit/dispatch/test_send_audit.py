"""The run-time audit of the sending rules, which counts violations and nothing else."""

from __future__ import annotations

import logging

import pytest

from cedarthread.dispatch.send_audit import (
    CLIENT_DISCONNECTED_SLACK_MS,
    SOCKET_SLACK_MS,
    SendAudit,
    SendRule,
)
from cedarthread.model.endpoints import EndpointState
from tests.unit.dispatch.builders import (
    NOT_IDEMPOTENT_INDEX,
    NOW_MS,
    RULE_SETTINGS,
    WORKER,
    attempts_of_one_call,
    mark_first_in_flight,
)


@pytest.mark.parametrize("state", [EndpointState.DRAINING, None])
def test_sends_after_the_drain_grace_are_counted_and_logged(
    state: EndpointState | None, caplog: pytest.LogCaptureFixture
) -> None:
    audit = SendAudit()
    attempt = attempts_of_one_call()[-1]
    audit.on_endpoints(NOW_MS, {WORKER: EndpointState.READY})
    audit.on_endpoints(NOW_MS + 1.0, {WORKER: state} if state is not None else {})
    limit_ms = NOW_MS + 1.0 + RULE_SETTINGS.rules.drain_grace_ms + SOCKET_SLACK_MS
    audit.on_attempt_sent(limit_ms, attempt, RULE_SETTINGS)
    assert not audit.violations
    with caplog.at_level(logging.ERROR):
        audit.on_attempt_sent(limit_ms + 1.0, attempt, RULE_SETTINGS)
        audit.on_preload_sent(limit_ms + 1.0, WORKER, "load-1", RULE_SETTINGS.rules.drain_grace_ms)
    assert audit.violations == {SendRule.DRAIN: 2}
    assert caplog.messages[0].startswith("rule_violated rule=drain request=aaaaaaaaaaaaaaaa worker_id=5 ")
    audit.on_endpoints(limit_ms + 2.0, {WORKER: EndpointState.READY})
    audit.on_attempt_sent(limit_ms + 3.0, attempt, RULE_SETTINGS)
    assert audit.violations.total() == 2


def test_sends_that_the_guard_should_have_refused_are_counted_by_rule() -> None:
    audit = SendAudit()
    (disconnected_attempt,) = attempts_of_one_call()
    disconnected_attempt.call.client_disconnected_at_ms = NOW_MS
    audit.on_attempt_sent(NOW_MS + CLIENT_DISCONNECTED_SLACK_MS, disconnected_attempt, RULE_SETTINGS)
    assert not audit.violations
    audit.on_attempt_sent(NOW_MS + CLIENT_DISCONNECTED_SLACK_MS + 1.0, disconnected_attempt, RULE_SETTINGS)
    (attempt_of_complete_call,) = attempts_of_one_call()
    attempt_of_complete_call.call.is_complete = True
    audit.on_attempt_sent(NOW_MS, attempt_of_complete_call, RULE_SETTINGS)
    unsafe_retries = attempts_of_one_call(2, NOT_IDEMPOTENT_INDEX)
    audit.on_attempt_sent(NOW_MS, unsafe_retries[-1], RULE_SETTINGS)
    concurrent_attempts = attempts_of_one_call(2)
    mark_first_in_flight(concurrent_attempts)
    audit.on_attempt_sent(NOW_MS, concurrent_attempts[-1], RULE_SETTINGS)
    assert audit.violations == {
        SendRule.CLIENT_DISCONNECTED: 1,
        SendRule.AFTER_COMPLETION: 1,
        SendRule.UNSAFE_RETRY: 1,
        SendRule.CONCURRENT_ATTEMPTS: 1,
    }
