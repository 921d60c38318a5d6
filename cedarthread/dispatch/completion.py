"""The ends of attempts and calls.

Each call gets exactly one result: ``CallCompletion._deliver`` is the one place where a result is handed to
the client's side, and ``CallDeadlines`` sees to it that no call stays without.
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
    from cedarthread.dispatch.figures import CallFigures

log = logging.getLogger(__name__)

OVERDUE_GRACE_MS = 5.0  # time that the router has to answer a call whose attempts have just timed out


class CallCompletion:
    """Ends attempts, completes calls and reports both to the node by ``enqueue_event``."""

    def __init__(
        self,
        context: DispatchContext,
        calls: CallTable,
        figures: CallFigures,
        deadlines: CallDeadlines,
        enqueue_event: Callable[[Event], None],
    ) -> None:
        self._context = context
        self._calls = calls
        self._figures = figures
        self._deadlines = deadlines
        self._enqueue_event = enqueue_event

    def end_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt, once; a response of the worker goes to the client at once."""
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
        """Complete a call with a result, unless it is complete already."""
        if not call.is_complete:
            self._release(call)
            self._deliver(call, result)

    def reject_at_once(self, call: Call) -> None:
        """Reject a call that was counted but never became pending."""
        self._deliver(call, CallRejected(self._context.settings.limits.max_retry_after_ms))

    def abandon(self, call: Call) -> None:
        """The client has disconnected: no result is owed any more."""
        if not call.is_complete:
            self._figures.count_client_disconnected()
            self._release(call)
            self._enqueue_event(ClientDisconnected(call.request_id))

    def complete_locally(self, call: Call, *, timed_out: bool) -> None:
        """Complete a call without the router: rejected where a retry is harmless, else failed."""
        may_have_executed = any(attempt.may_have_executed() for attempt in call.attempts)
        request_class = self._context.settings.classes[call.class_index]
        if may_have_executed and request_class.idempotency is not Idempotency.IDEMPOTENT:
            self.complete(call, CallFailed(timed_out))
        else:
            retry_after_ms = self._context.settings.limits.max_retry_after_ms
            self.complete(call, CallRejected(retry_after_ms, timed_out))
        self._enqueue_event(ClientDisconnected(call.request_id))

    def expire(self, call: Call) -> None:
        """The deadline of a call has come: its attempts time out; the router has a moment for a result."""
        for attempt in call.attempts:
            if not attempt.is_ended:
                workers = self._context.workers()
                workers.refresh_progress(attempt)
                outcome = Outcome.TIMEOUT if attempt.may_have_executed() else Outcome.CONNECT_FAILED
                self.end_attempt(attempt, AttemptResult(outcome))
                workers.cancel(attempt)  # which tells the worker where the settings allow that
        call.is_expired = True
        self._deadlines.schedule(self._context.clock() + OVERDUE_GRACE_MS, call)

    def complete_overdue(self, call: Call) -> None:
        """Complete a call that the router kept past its deadline, or lost by an exception of its own."""
        self.complete_locally(call, timed_out=True)

    def _deliver(self, call: Call, result: CallResult) -> None:
        """Count a result and hand it to the client's side."""
        call.is_complete = True
        self._figures.count_result(call, result)
        try:
            call.on_result(result)
        except Exception:
            log.exception(format_event("result_delivery_failed"))

    def _release(self, call: Call) -> None:
        self._calls.release(call)
        for attempt in call.attempts:  # nobody waits for it: what has not left need not run
            if not attempt.is_ended:
                self._context.workers().withdraw_unsent(attempt)
        can_cancel = self._context.settings.limits.can_cancel
        if not can_cancel and any(not attempt.is_ended for attempt in call.attempts):
            self._context.call_at(call.deadline_ms, self._cancel_abandoned_attempts, call)

    def _cancel_abandoned_attempts(self, call: Call) -> None:
        """End at the deadline what nobody waits for, where the settings forbid to cancel it before: a silent
        worker would otherwise keep a connection and its share of the figures for good.
        """
        for attempt in call.attempts:
            if not attempt.is_ended:
                self._context.workers().cancel(attempt)
