"""A run-time check of the rules on sending: it counts violations by what was written and what was known.

It stands beside the guard and shares nothing with it, so that a fault there shows here. Times are ms of the
dispatcher's clock. It does no I/O but a log line for each violation.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.model.endpoints import EndpointState
from cedarthread.model.settings import Idempotency, RouterSettings

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarthread.dispatch.calls import Attempt

log = logging.getLogger(__name__)

CLIENT_GONE_SLACK_MS = 100.0  # after its client closed or cancelled, an attempt may still begin (STANDING)
REMEMBERED_MS = 60_000.0  # for how long a worker that is not listed any more is remembered
SOCKET_SLACK_MS = 50.0  # every time limit is longer by this on sockets (PROTOCOL)


class SendRule(StrEnum):
    """A rule on sending; the values stand in log lines."""

    DRAIN = "drain"
    CLIENT_GONE = "client_gone"
    AFTER_ANSWER = "after_answer"
    TWO_ATTEMPTS = "two_attempts"
    UNSAFE_REPEAT = "unsafe_repeat"


class SendAudit:
    """Violations by rule, since the start of the process."""

    def __init__(self) -> None:
        self.violations: Counter[SendRule] = Counter()
        self._told_at_ms: dict[int, float] = {}  # by worker: since when it is known not to be ready
        self._ready_workers: set[int] = set()

    def on_endpoints(self, now_ms: float, states: Mapping[int, EndpointState]) -> None:
        """The endpoint list is now this one, by worker id."""
        ready = {worker_id for worker_id, state in states.items() if state is EndpointState.READY}
        for worker_id in (self._ready_workers | states.keys()) - ready:
            self._told_at_ms.setdefault(worker_id, now_ms)
        for worker_id in ready:
            self._told_at_ms.pop(worker_id, None)
        # A worker that is gone is remembered as long as a connection to it could still be written to.
        horizon_ms = now_ms - REMEMBERED_MS
        self._told_at_ms = {
            worker_id: told_at_ms
            for worker_id, told_at_ms in self._told_at_ms.items()
            if worker_id in states or told_at_ms > horizon_ms
        }
        self._ready_workers = ready

    def on_preload_sent(self, now_ms: float, worker_id: int, message_id: str, grace_ms: float) -> None:
        """The first byte of a preload request has left."""
        self._check_drain(now_ms, worker_id, message_id, grace_ms)

    def on_attempt_sent(self, now_ms: float, attempt: Attempt, settings: RouterSettings) -> None:
        """The first byte of an attempt has left."""
        call = attempt.call
        self._check_drain(now_ms, attempt.worker_id, call.call_id, settings.rules.drain_grace_ms)
        if call.is_complete:
            self._report(SendRule.AFTER_ANSWER, attempt, 0.0)
        if (late_ms := now_ms - call.client_gone_at_ms) > CLIENT_GONE_SLACK_MS:
            self._report(SendRule.CLIENT_GONE, attempt, late_ms)
        if not attempt.index:
            return
        earlier = [other for other in call.attempts if other is not attempt]
        if any(not other.is_ended for other in earlier):
            self._report(SendRule.TWO_ATTEMPTS, attempt, 0.0)
        is_repeatable = settings.classes[call.class_index].idempotency is not Idempotency.NOT_IDEMPOTENT
        if not is_repeatable and any(other.may_have_executed() for other in earlier):
            self._report(SendRule.UNSAFE_REPEAT, attempt, 0.0)

    def _check_drain(self, now_ms: float, worker_id: int, request: str, grace_ms: float) -> None:
        told_at_ms = self._told_at_ms.get(worker_id)
        if told_at_ms is not None and now_ms > told_at_ms + grace_ms + SOCKET_SLACK_MS:
            self._log(SendRule.DRAIN, request, worker_id, now_ms - told_at_ms)

    def _report(self, rule: SendRule, attempt: Attempt, late_ms: float) -> None:
        self._log(rule, attempt.call.call_id, attempt.worker_id, late_ms)

    def _log(self, rule: SendRule, request: str, worker_id: int, late_ms: float) -> None:
        self.violations[rule] += 1
        log.error(
            format_event(
                "rule_violated", rule=rule, request=request, worker_id=worker_id, late_ms=round(late_ms)
            )
        )
