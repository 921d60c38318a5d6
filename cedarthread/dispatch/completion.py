"""The completion of attempts and calls.

Each call gets exactly one result, except an abandoned call, which gets none. Only ``CallCompletion._deliver``
passes results to the protocol server. A call that is still pending when its deadline is handled gets its
result at most ``OVERDUE_GRACE_MS`` later: from the router, or else from ``complete_overdue``.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import (
    Attempt,
    AttemptResult,
    Call,
    CallFailed,
    CallRejected,
    CallResult,
    CallSucceeded,
    Progress,
)
from cedarthread.logs import format_event
from cedarthread.model.events import AttemptEnded, ClientDisconnected, Event
from cedarthread.model.outcomes import NOT_EXECUTED, Outcome
from cedarthread.model.settings import Idempotency

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.call_table import CallTable
    from cedarthread.dispatch.context import DispatchContext
    from cedarthread.dispatch.deadlines import CallDeadlines
    from cedarthread.dispatch.executed_ids import ExecutedIds
    from cedarthread.dispatch.figures import CallCounters
    from cedarthread.model.settings import RequestClass

log = logging.getLogger(__name__)

# Time from the end of a call until a partly written attempt is aborted; the rest of a line that a worker is
# reading arrives within it.
INCOMPLETE_SETTLE_S = 0.010
OVERDUE_GRACE_MS = 5.0  # time for the router to complete a call after its attempts ended at the deadline


class CallCompletion:
    """Handler for the ends of attempts and calls, which queues an event for each end that affects the router.

    Args:
        context: Settings, clock and worker transport of the dispatcher.
        calls: The table of all calls of the process.
        counters: Counts each result.
        deadlines: Schedules the end of the grace period of an expired call.
        enqueue_event: Queues an event for the routing node.
        executed_ids: Keeps the ids of calls that must not be executed again.
    """

    def __init__(
        self,
        context: DispatchContext,
        calls: CallTable,
        counters: CallCounters,
        deadlines: CallDeadlines,
        enqueue_event: Callable[[Event], None],
        *,
        executed_ids: ExecutedIds,
    ) -> None:
        self._context = context
        self._executed_ids = executed_ids
        self._calls = calls
        self._counters = counters
        self._deadlines = deadlines
        self._enqueue_event = enqueue_event

    def end_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt unless it has already ended, and complete its call if the outcome is OK."""
        if attempt.is_ended:
            return
        attempt.is_ended = True
        attempt.is_not_executed = result.outcome in NOT_EXECUTED
        call = attempt.call
        if result.outcome is Outcome.OK:
            self.complete(call, CallSucceeded(result.body))
        self._enqueue_event(
            AttemptEnded(
                call.request_id,
                attempt.index,
                attempt.worker_id,
                result.outcome,
                latency_ms=self._context.clock() - attempt.started_at_ms,
                is_final=call.is_complete,
                start_kind=result.start_kind,
                reported_concurrency=result.reported_concurrency,
                load_report=result.load_report,
                is_unreachable=result.is_unreachable,
                is_local=result.is_local,
            )
        )

    def complete(self, call: Call, result: CallResult) -> None:
        """Complete a call with a result, unless the call is already complete."""
        if not call.is_complete:
            self._remove_from_pending(call)
            self._deliver(call, result)

    def reject_at_once(self, call: Call) -> None:
        """Reject a call that has not become pending."""
        self._deliver(call, CallRejected(self._context.settings.limits.max_retry_after_ms))

    def abandon(self, call: Call) -> None:
        """End a pending call without a result, because its client has disconnected."""
        call.client_disconnected_at_ms = min(call.client_disconnected_at_ms, self._context.clock())
        if not call.is_complete:
            self._counters.count_client_disconnected()
            self._remove_from_pending(call)
            self._executed_ids.on_client_left(self._context.clock(), call, self._class_of(call))
            self._enqueue_event(ClientDisconnected(call.request_id))

    def fail(self, call: Call) -> None:
        """Fail a pending call whose client has sent invalid input.

        The ``ClientDisconnected`` event makes the router drop the request.
        """
        if not call.is_complete:
            self.complete(call, CallFailed())
            self._enqueue_event(ClientDisconnected(call.request_id))

    def on_client_half_closed(self, call: Call) -> None:
        """Record that the client has closed its sending side; the client may still read the result.

        An attempt that has been written may still provide the result, but no further attempt starts. One that
        is partly written reaches its worker soon or never. A call without such an attempt is completed
        immediately.
        """
        if call.is_complete or call.is_client_half_closed:
            return
        call.is_client_half_closed = True
        call.client_disconnected_at_ms = self._context.clock()
        for attempt in call.attempts:
            self._context.workers().refresh_progress(attempt)
        has_written_attempt = any(
            not attempt.is_ended and attempt.progress >= Progress.PARTLY_WRITTEN for attempt in call.attempts
        )
        if not has_written_attempt:
            self.complete_locally(call, timed_out=False)
            return
        self._executed_ids.on_client_left(self._context.clock(), call, self._class_of(call))
        for attempt in call.attempts:
            self._context.workers().abort_incomplete(attempt, settle_s=INCOMPLETE_SETTLE_S)

    def complete_locally(self, call: Call, *, timed_out: bool) -> None:
        """Complete a call without the router: as rejected if a retry is safe, else as failed.

        The ``ClientDisconnected`` event makes the router drop the request.
        """
        may_have_executed = any(attempt.may_have_executed() for attempt in call.attempts)
        request_class = self._class_of(call)
        if may_have_executed and request_class.idempotency is not Idempotency.IDEMPOTENT:
            self.complete(call, CallFailed(timed_out))
        else:
            retry_after_ms = self._context.settings.limits.max_retry_after_ms
            self.complete(call, CallRejected(retry_after_ms, timed_out))
        self._enqueue_event(ClientDisconnected(call.request_id))

    def expire(self, call: Call) -> None:
        """End the attempts of a call at its deadline, and give the router a grace period for the result.

        A partly written attempt counts as not executed, so first its rest is prevented from being written.
        """
        for attempt in call.attempts:
            if not attempt.is_ended:
                workers = self._context.workers()
                workers.abort_incomplete(attempt)
                outcome = Outcome.TIMEOUT if attempt.may_have_executed() else Outcome.CONNECT_FAILED
                self.end_attempt(attempt, AttemptResult(outcome))
                workers.cancel(attempt)  # the transport sends CANCEL if the settings allow it
        call.is_expired = True
        self._deadlines.schedule(self._context.clock() + OVERDUE_GRACE_MS, call)

    def complete_overdue(self, call: Call) -> None:
        """Complete a call that is still pending after the grace period, for example after a router fault."""
        self.complete_locally(call, timed_out=True)

    def _deliver(self, call: Call, result: CallResult) -> None:
        """Count a result and pass it to the protocol server."""
        call.is_complete = True
        self._counters.count_result(call, result)
        try:
            call.on_result(result)
        except Exception:
            log.exception(format_event("result_delivery_failed"))

    def _class_of(self, call: Call) -> RequestClass:
        return self._context.settings.classes[call.class_index]

    def _remove_from_pending(self, call: Call) -> None:
        self._calls.mark_completed(call)
        # Unsent attempts are withdrawn, because the call no longer needs a result. The others are left to the
        # router, which cancels them if the settings allow CANCEL. Without CANCEL, a worker that reads on
        # later would receive the rest of a partly written one, and start a call that has ended.
        workers = self._context.workers()
        for attempt in call.attempts:
            if not attempt.is_ended:
                workers.withdraw_unsent(attempt)
        self._executed_ids.on_call_ended(self._context.clock(), call, self._class_of(call))
        in_flight = [attempt for attempt in call.attempts if not attempt.is_ended]
        if in_flight and not self._context.settings.limits.can_cancel:
            for attempt in in_flight:
                workers.abort_incomplete(attempt, settle_s=INCOMPLETE_SETTLE_S)
            self._context.call_at(call.deadline_ms, self._cancel_abandoned_attempts, call)

    def _cancel_abandoned_attempts(self, call: Call) -> None:
        """End the attempts of a completed or abandoned call that are still in flight at its deadline.

        This is only scheduled if the settings forbid CANCEL; the transport then ends the attempts without
        sending it. Otherwise an attempt on a worker that never responds would occupy its connection, and
        count as in flight, for the lifetime of the process.
        """
        for attempt in call.attempts:
            if not attempt.is_ended:
                self._context.workers().cancel(attempt)
