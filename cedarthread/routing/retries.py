"""Retries and hedging: when a request gets a further attempt, and what that costs of the retry budget.

A retry budget (Finagle's, as in *The Tail at Scale*, Dean and Barroso, 2013, for hedged requests) bounds what
retries add to the load of a fleet in trouble. All times are ms of the clock that is handed in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.model.actions import CancelAttempt
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import DeduplicationScope, Idempotency
from cedarthread.routing.outlier_detection import OVERDUE_MULTIPLE

if TYPE_CHECKING:
    from cedarthread.routing.feedback import OutcomeFeedback
    from cedarthread.routing.records import Attempt, PendingRequest
    from cedarthread.routing.router_state import RouterState

HEDGE_AFTER_MULTIPLE = 2.5  # times its expected time after which a hedged request is sent, where allowed
STALL_THRESHOLD_MS = 100.0  # ms that a timer may come late before the router takes itself for stalled
MIN_REMAINING_MS = 20.0  # ms before the client's deadline after which no attempt is worth its start


class RetryPolicy:
    """Decides on further attempts of requests that have had one."""

    def __init__(self, state: RouterState, feedback: OutcomeFeedback) -> None:
        self.state, self.feedback = state, feedback

    def has_remaining_attempts(self, pending: PendingRequest) -> bool:
        """Whether the deployment's limit permits one more attempt."""
        return len(pending.attempts) < self.state.settings.limits.max_attempts

    def may_attempt(self, now_ms: float, pending: PendingRequest) -> bool:
        """Rule 2: may the request be sent at all, after what it went through."""
        executed = pending.possibly_executed()
        idempotency = pending.request_class.idempotency
        if not executed or idempotency is Idempotency.IDEMPOTENT:
            return True
        window_end_ms = executed[0].started_at_ms + pending.request_class.deduplication_window_ms
        return idempotency is Idempotency.WITH_KEY and now_ms < window_end_ms - MIN_REMAINING_MS

    def should_retry(self, now_ms: float, pending: PendingRequest, outcome: Outcome) -> bool:
        """An attempt failed and none is in flight: whether to send another, within the retry budget.

        Retries after what is proved harmless and cheap are free.
        """
        cost = 0.0 if outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_LOADED) else 1.0
        is_too_late = pending.request.deadline_ms - now_ms <= MIN_REMAINING_MS
        if is_too_late or outcome is Outcome.NOT_SENT or not self.state.retry_budget.spend(cost):
            return False
        pending.next_attempt_cost = cost
        return True

    def should_hedge(self, now_ms: float, pending: PendingRequest, attempt_index: int) -> bool:
        """An attempt is in flight for long: whether to send another beside it.

        Silence is a symptom of its worker; an idempotent request gets another attempt in time, here or, where
        attempts can be cancelled, once this one has ended.
        """
        attempt, state = pending.attempts[attempt_index], self.state
        if not attempt.is_in_flight or pending.is_streaming:
            return False
        request_id = pending.request.request_id
        if now_ms == state.stalled_at_ms:  # what came meanwhile is read first
            state.timers.schedule(now_ms + STALL_THRESHOLD_MS, request_id, attempt_index)
            return False
        is_silent = self.feedback.observe_silence(now_ms, attempt)
        expected_ms = state.service_times.expected_ms(pending)
        if (
            pending.request.deadline_ms - now_ms <= expected_ms
            or pending.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
        ):
            return False
        if self._can_follow(pending, attempt_index):
            if self._is_hedge_due(now_ms, attempt, is_silent):
                pending.last_cancelled_attempt = attempt_index
                return self.may_attempt(now_ms, pending) and state.retry_budget.spend(1.0)
            worker = state.workers.by_id.get(attempt.endpoint.worker_id)
            if state.settings.limits.can_cancel and (worker is None or worker.is_ejected):
                pending.last_cancelled_attempt = attempt_index
                state.actions.append(CancelAttempt(request_id, attempt_index))
                return False
        state.timers.schedule(now_ms + max(expected_ms, MIN_REMAINING_MS), request_id, attempt_index)
        return False

    def _can_follow(self, pending: PendingRequest, attempt_index: int) -> bool:
        """Whether another attempt may take the place of this one, which no other has taken before."""
        return (
            self.state.retry_budget.tokens >= 1.0
            and self.has_remaining_attempts(pending)
            and pending.last_cancelled_attempt < attempt_index
        )

    def _is_hedge_due(self, now_ms: float, attempt: Attempt, is_silent: bool) -> bool:
        age_ms = now_ms - attempt.started_at_ms
        return self.state.settings.limits.allows_hedging and (
            is_silent or age_ms >= HEDGE_AFTER_MULTIPLE * attempt.expected_ms
        )

    def follow_up_ms(self, expected_ms: float) -> float:
        """How long after its start an attempt is looked at."""
        hedges = self.state.settings.limits.allows_hedging
        return (HEDGE_AFTER_MULTIPLE if hedges else OVERDUE_MULTIPLE) * expected_ms

    def recall_from_unreachable_zones(self, now_ms: float) -> None:
        """Zones that have fallen silent: what may be repeated elsewhere is cancelled there."""
        state = self.state
        if now_ms == state.stalled_at_ms or not (zones := state.zones.find_unreachable(now_ms)):
            return
        state.workers.count_ready(now_ms)
        state.log(now_ms, "zones_unreachable", zones=",".join(map(str, zones)))
        for pending in state.requests.pending.values():
            last = pending.attempts[-1] if pending.attempts else None
            if (
                last is not None
                and last.is_in_flight
                and last.endpoint.zone in zones
                and not pending.is_streaming
                and self._can_repeat_anywhere(now_ms, pending)
            ):
                self._recall(pending, len(pending.attempts) - 1)

    def _can_repeat_anywhere(self, now_ms: float, pending: PendingRequest) -> bool:
        request_class = pending.request_class
        is_free = (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or request_class.deduplication_scope is DeduplicationScope.ALL
        )
        return is_free and self.may_attempt(now_ms, pending)

    def _recall(self, pending: PendingRequest, attempt_index: int) -> None:
        if self.state.settings.limits.can_cancel and pending.last_cancelled_attempt < attempt_index:
            pending.last_cancelled_attempt = attempt_index
            self.state.actions.append(CancelAttempt(pending.request.request_id, attempt_index))

    def cancel_attempts(self, pending: PendingRequest, excluded_index: int | None = None) -> None:
        """Cancel the attempts in flight, but for one that is kept."""
        if not self.state.settings.limits.can_cancel:
            return
        for attempt_index, attempt in enumerate(pending.attempts):
            if attempt.is_in_flight and attempt_index != excluded_index:
                self.state.actions.append(CancelAttempt(pending.request.request_id, attempt_index))
