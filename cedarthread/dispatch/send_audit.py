"""A run-time audit of the sending rules, which counts violations after bytes have been written.

The audit is independent of ``SendGuard`` and shares no state with it, so that the audit detects faults in the
guard. Times are in ms on the dispatcher's clock. The only I/O is a log line for each violation. Only
``SendAudit`` modifies its state.
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

# An attempt may still start within this time after its client disconnects or cancels, as the operators'
# acceptance rules specify.
CLIENT_DISCONNECTED_SLACK_MS = 100.0
REMOVED_WORKER_RETENTION_MS = 60_000.0  # how long the audit tracks a worker that left the endpoint list
# Tolerance on every time limit that is measured at sockets, as the platform's protocol specification
# states.
SOCKET_SLACK_MS = 50.0


class SendRule(StrEnum):
    """A rule on sending; its value is logged when the rule is violated."""

    DRAIN = "drain"  # nothing is sent to a worker that has not been ready for longer than the drain grace
    CLIENT_DISCONNECTED = "client_gone"  # no attempt starts after the client has disconnected or cancelled
    AFTER_COMPLETION = "after_answer"  # no attempt starts after its call is complete
    CONCURRENT_ATTEMPTS = "two_attempts"  # at most one attempt of a call is in flight
    # No retry starts of a call that is not idempotent and may have been executed.
    UNSAFE_RETRY = "unsafe_repeat"


class SendAudit:
    """Counts of rule violations since the start of the process."""

    def __init__(self) -> None:
        self.violations: Counter[SendRule] = Counter()
        # When each worker, by id, was first known to be draining or removed.
        self._not_ready_since_ms: dict[int, float] = {}
        self._ready_workers: set[int] = set()

    def on_endpoints(self, now_ms: float, states: Mapping[int, EndpointState]) -> None:
        """Record a new endpoint list, given as worker states by worker id."""
        ready = {worker_id for worker_id, state in states.items() if state is EndpointState.READY}
        for worker_id in (self._ready_workers | states.keys()) - ready:
            self._not_ready_since_ms.setdefault(worker_id, now_ms)
        for worker_id in ready:
            self._not_ready_since_ms.pop(worker_id, None)
        # A removed worker is tracked as long as a connection to it could still be written to.
        cutoff_ms = now_ms - REMOVED_WORKER_RETENTION_MS
        self._not_ready_since_ms = {
            worker_id: since_ms
            for worker_id, since_ms in self._not_ready_since_ms.items()
            if worker_id in states or since_ms > cutoff_ms
        }
        self._ready_workers = ready

    def on_preload_sent(self, now_ms: float, worker_id: int, message_id: str, grace_ms: float) -> None:
        """Check a preload request whose first byte has been written."""
        self._check_drain(now_ms, worker_id, message_id, grace_ms)

    def on_attempt_sent(self, now_ms: float, attempt: Attempt, settings: RouterSettings) -> None:
        """Check an attempt whose first byte has been written."""
        call = attempt.call
        self._check_drain(now_ms, attempt.worker_id, call.call_id, settings.rules.drain_grace_ms)
        if call.is_complete:
            self._report(SendRule.AFTER_COMPLETION, attempt, 0.0)
        if (late_ms := now_ms - call.client_disconnected_at_ms) > CLIENT_DISCONNECTED_SLACK_MS:
            self._report(SendRule.CLIENT_DISCONNECTED, attempt, late_ms)
        if not attempt.index:
            return
        earlier = [other for other in call.attempts if other is not attempt]
        if any(not other.is_ended for other in earlier):
            self._report(SendRule.CONCURRENT_ATTEMPTS, attempt, 0.0)
        is_repeatable = settings.classes[call.class_index].idempotency is not Idempotency.NOT_IDEMPOTENT
        if not is_repeatable and any(other.may_have_executed() for other in earlier):
            self._report(SendRule.UNSAFE_RETRY, attempt, 0.0)

    def _check_drain(self, now_ms: float, worker_id: int, request: str, grace_ms: float) -> None:
        since_ms = self._not_ready_since_ms.get(worker_id)
        if since_ms is not None and now_ms > since_ms + grace_ms + SOCKET_SLACK_MS:
            self._log(SendRule.DRAIN, request, worker_id, now_ms - since_ms)

    def _report(self, rule: SendRule, attempt: Attempt, late_ms: float) -> None:
        self._log(rule, attempt.call.call_id, attempt.worker_id, late_ms)

    def _log(self, rule: SendRule, request: str, worker_id: int, late_ms: float) -> None:
        self.violations[rule] += 1
        log.error(
            format_event(
                "rule_violated", rule=rule, request=request, worker_id=worker_id, late_ms=round(late_ms)
            )
        )
