"""Attempt tracking: updates the tables and estimators of a router when an attempt starts and ends.

This module only keeps records: the policies decide which attempts start and how to react to their end. All
times are ms on the monotonic clock, passed in by the caller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.model.outcomes import NOT_EXECUTED, Outcome
from cedarthread.routing.records import Attempt, PendingRequest, WorkerRecord
from cedarthread.routing.slow_start import SlowStartSend

if TYPE_CHECKING:
    from cedarthread.model.events import AttemptEnded, StreamStarted
    from cedarthread.routing.feedback import OutcomeFeedback
    from cedarthread.routing.router_state import RouterState

AFFINITY_GAIN = 0.03  # fraction of affinity that an attempt moves from other workers to its worker
# Outcomes that prove that the worker, and so its zone, is reachable.
RESPONSES = (Outcome.OK, Outcome.OVERLOADED, Outcome.ERROR, Outcome.NOT_LOADED)


class AttemptTracker:
    """The tracker of one router's attempts; it has no state of its own and updates ``state``.

    Args:
        state: The router's state.
        feedback: Updates records and estimators from each outcome.
    """

    def __init__(self, state: RouterState, feedback: OutcomeFeedback) -> None:
        self.state = state
        self.feedback = feedback

    def on_started(self, now_ms: float, pending: PendingRequest, worker: WorkerRecord) -> Attempt:
        """Record an attempt of the request that starts at the worker now, and return the attempt."""
        state = self.state
        function = pending.function
        request = pending.request
        worker_id = worker.endpoint.worker_id
        service_times = state.service_times
        is_cold = not function.has_seen_instance(now_ms, worker_id, state.settings.instance_keep_alive_ms)
        warm_ms = service_times.expected_ms(pending)
        attempt = Attempt(
            endpoint=worker.endpoint,
            started_at_ms=now_ms,
            expected_ms=warm_ms + (service_times.expected_cold_start_ms(pending) if is_cold else 0.0),
            class_and_tenant=pending.class_and_tenant,
            is_cold=is_cold,
            is_trial=worker.is_ejected,
            is_function_known=function.service_ms.count > 0,
            retry_cost=pending.next_attempt_cost,
        )
        attempt_id = (request.request_id, len(pending.attempts))
        pending.attempts.append(attempt)
        pending.next_attempt_cost = 0.0
        worker.in_flight += 1
        worker.has_trial_in_flight = worker.has_trial_in_flight or worker.is_ejected
        if worker.available_capacity(now_ms, state.settings.rules) < 1.0:
            work_ms = service_times.class_ms(request.class_index)
            worker.slow_start_sends.append(SlowStartSend(now_ms, work_ms))
        if not is_cold:
            state.overload.on_attempt_started(worker_id)
        function.on_sent(now_ms, worker_id, AFFINITY_GAIN)
        function.instance_queue.remove(request.request_id)
        state.zones.on_attempt_started(now_ms, attempt_id, worker_id, worker.endpoint.zone, warm_ms)
        return attempt

    def on_ended(self, now_ms: float, event: AttemptEnded) -> PendingRequest | None:
        """Record the end of an attempt and return its request; None: request closed or attempt unknown."""
        state = self.state
        outcome = event.outcome
        pending, attempt = state.requests.end_attempt(event)
        if attempt is None:
            return None
        if not attempt.is_cold:
            state.overload.on_attempt_ended(now_ms, event.worker_id, is_success=outcome is Outcome.OK)
        attempt.may_have_executed = outcome not in NOT_EXECUTED
        attempt.has_lost_connection = outcome is Outcome.RESET
        if event.is_local:  # no worker received the attempt
            state.retry_budget.earn(attempt.retry_cost)
        attempt_id = (event.request_id, event.attempt_index)
        is_response = outcome in RESPONSES
        has_connect_failed = outcome is Outcome.CONNECT_FAILED and event.is_unreachable
        if state.zones.on_attempt_ended(
            now_ms,
            attempt_id,
            event.latency_ms,
            is_response=is_response,
            has_connect_failed=has_connect_failed,
        ):
            state.workers.count_ready(now_ms)
        self.feedback.update_worker(now_ms, event, attempt)
        if pending is not None:
            self.feedback.update_function(now_ms, event, attempt, pending)
        return pending

    def on_stream_started(self, now_ms: float, event: StreamStarted) -> None:
        """Record that the worker has started to respond, so the worker and its zone are reachable."""
        state = self.state
        if (worker := state.workers.by_id.get(event.worker_id)) is not None:
            worker.last_response_at_ms = now_ms
            if state.zones.on_response(now_ms, worker.endpoint.zone):
                state.workers.count_ready(now_ms)
