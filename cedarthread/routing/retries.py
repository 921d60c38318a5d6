"""Retries and hedging: decides when a request gets another attempt, and how much retry budget it costs.

A retry budget (as in Finagle; for hedged requests see *The Tail at Scale*, Dean and Barroso, 2013) bounds the
load that retries add to a fleet with faults. All times are ms on the monotonic clock, passed in by the
caller.
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

HEDGE_AFTER_MULTIPLE = 2.5  # multiple of its expected time after which an attempt is hedged
STALL_THRESHOLD_MS = 100.0  # a timer that fires later than this indicates that the process stalled
MIN_REMAINING_MS = 20.0  # with less time before the deadline no retry starts


class RetryPolicy:
    """The retry policy of one router: decides on further attempts and cancels attempts.

    Args:
        state: The router's state.
        feedback: Counts an unresponsive worker as failing.
    """

    def __init__(self, state: RouterState, feedback: OutcomeFeedback) -> None:
        self.state = state
        self.feedback = feedback

    def has_remaining_attempts(self, pending: PendingRequest) -> bool:
        """Return whether the limit of attempts per request permits one more."""
        return len(pending.attempts) < self.state.settings.limits.max_attempts

    def may_attempt(self, now_ms: float, pending: PendingRequest) -> bool:
        """Return whether rule 2 (idempotency) permits another attempt after those that may have executed."""
        executed = pending.possibly_executed()
        idempotency = pending.request_class.idempotency
        if not executed or idempotency is Idempotency.IDEMPOTENT:
            return True
        window_end_ms = executed[0].started_at_ms + pending.request_class.deduplication_window_ms
        return idempotency is Idempotency.WITH_KEY and now_ms < window_end_ms - MIN_REMAINING_MS

    def should_retry(self, now_ms: float, pending: PendingRequest, outcome: Outcome) -> bool:
        """Return whether to retry a request with no attempt in flight, and spend the retry budget for that.

        The caller checks ``may_attempt``. NOT_SENT is never retried, because the call had no time left or its
        client disconnected.

        A retry after a failed connect or a function that was not loaded is free, because that attempt cost
        the workers nothing.
        """
        cost = 0.0 if outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_LOADED) else 1.0
        is_too_late = pending.request.deadline_ms - now_ms <= MIN_REMAINING_MS
        if is_too_late or outcome is Outcome.NOT_SENT or not self.state.retry_budget.spend(cost):
            return False
        pending.next_attempt_cost = cost
        return True

    def should_hedge(self, now_ms: float, pending: PendingRequest, attempt_index: int) -> bool:
        """Return whether to hedge an attempt that has been in flight for long, and spend the retry budget.

        A worker without a response since the attempt started counts as failing. If no hedge is due, the
        worker is ejected or removed, and attempts can be cancelled, the attempt is cancelled: its end then
        starts a retry.
        """
        attempt = pending.attempts[attempt_index]
        state = self.state
        if not attempt.is_in_flight or pending.is_streaming:
            return False
        request_id = pending.request.request_id
        if now_ms == state.stalled_at_ms:  # the process stalled: handle the responses that are waiting first
            state.timers.schedule(now_ms + STALL_THRESHOLD_MS, request_id, attempt_index)
            return False
        is_unresponsive = self.feedback.observe_unresponsiveness(now_ms, attempt)
        expected_ms = state.service_times.expected_ms(pending)
        if (
            pending.request.deadline_ms - now_ms <= expected_ms
            or pending.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
        ):
            return False
        if self._may_replace(pending, attempt_index):
            if self._is_hedge_due(now_ms, attempt, is_unresponsive=is_unresponsive):
                pending.last_replaced_attempt = attempt_index
                return self.may_attempt(now_ms, pending) and state.retry_budget.spend(1.0)
            worker = state.workers.by_id.get(attempt.endpoint.worker_id)
            if state.settings.limits.can_cancel and (worker is None or worker.is_ejected):
                pending.last_replaced_attempt = attempt_index
                state.actions.append(CancelAttempt(request_id, attempt_index))
                return False
        state.timers.schedule(now_ms + max(expected_ms, MIN_REMAINING_MS), request_id, attempt_index)
        return False

    def _may_replace(self, pending: PendingRequest, attempt_index: int) -> bool:
        """Return whether another attempt may replace this one, if this was not hedged or cancelled yet."""
        return (
            self.state.retry_budget.tokens >= 1.0
            and self.has_remaining_attempts(pending)
            and pending.last_replaced_attempt < attempt_index
        )

    def _is_hedge_due(self, now_ms: float, attempt: Attempt, *, is_unresponsive: bool) -> bool:
        """Return whether hedging is allowed and the attempt is slow or its worker unresponsive."""
        age_ms = now_ms - attempt.started_at_ms
        return self.state.settings.limits.allows_hedging and (
            is_unresponsive or age_ms >= HEDGE_AFTER_MULTIPLE * attempt.expected_ms
        )

    def hedge_check_delay_ms(self, expected_ms: float) -> float:
        """Return the delay from the start of an attempt to its check by ``should_hedge``."""
        hedges = self.state.settings.limits.allows_hedging
        return (HEDGE_AFTER_MULTIPLE if hedges else OVERDUE_MULTIPLE) * expected_ms

    def cancel_in_unreachable_zones(self, now_ms: float) -> None:
        """Find unreachable zones and cancel the attempts there that may be retried in any zone."""
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
                and self._may_retry_anywhere(now_ms, pending)
            ):
                self._cancel_to_retry(pending, len(pending.attempts) - 1)

    def _may_retry_anywhere(self, now_ms: float, pending: PendingRequest) -> bool:
        """Return whether rule 2 permits another attempt now, at any worker."""
        request_class = pending.request_class
        is_unrestricted = (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or request_class.deduplication_scope is DeduplicationScope.ALL
        )
        return is_unrestricted and self.may_attempt(now_ms, pending)

    def _cancel_to_retry(self, pending: PendingRequest, attempt_index: int) -> None:
        """Cancel an attempt so that its end starts a retry elsewhere, unless already done."""
        if self.state.settings.limits.can_cancel and pending.last_replaced_attempt < attempt_index:
            pending.last_replaced_attempt = attempt_index
            self.state.actions.append(CancelAttempt(pending.request.request_id, attempt_index))

    def cancel_attempts(self, pending: PendingRequest, excluded_index: int | None = None) -> None:
        """Cancel all attempts of a request in flight except the one with ``excluded_index``."""
        if not self.state.settings.limits.can_cancel:
            return
        for attempt_index, attempt in enumerate(pending.attempts):
            if attempt.is_in_flight and attempt_index != excluded_index:
                self.state.actions.append(CancelAttempt(pending.request.request_id, attempt_index))
