"""The stateless executor of the actions that the routing node returns."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from cedarthread.dispatch.calls import Attempt, AttemptResult, Call, CallFailed, CallRejected
from cedarthread.logs import format_event
from cedarthread.model.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    PreloadFunction,
    RejectRequest,
    SendToPeer,
    SetTimer,
    StartAttempt,
    UnloadFunction,
)
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import Idempotency

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cedarthread.dispatch.call_table import CallTable
    from cedarthread.dispatch.completion import CallCompletion
    from cedarthread.dispatch.context import DispatchContext
    from cedarthread.dispatch.node_timers import NodeTimers

log = logging.getLogger(__name__)


class ActionExecutor:
    """Executor of actions, with one handler for each action type.

    Actions for calls that are no longer in the call table are ignored.

    Args:
        context: Settings, clock and transports of the dispatcher.
        calls: The table of all calls of the process.
        completion: Ends attempts and completes calls.
        node_timers: The timers of the routing node.
    """

    def __init__(
        self,
        context: DispatchContext,
        calls: CallTable,
        completion: CallCompletion,
        node_timers: NodeTimers,
    ) -> None:
        self._context = context
        self._calls = calls
        self._completion = completion
        # Each handler takes an action of the type of its key, which a dict annotation cannot express.
        self._handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            RejectRequest: self._reject_request,
            FailRequest: self._fail_request,
            SetTimer: node_timers.set,
            PreloadFunction: self._preload_function,
            UnloadFunction: self._unload_function,
            CloseIdleConnections: self._close_idle_connections,
            SendToPeer: self._send_to_peer,
            LogMessage: self._log_message,
        }

    def execute(self, actions: Iterable[Action]) -> None:
        """Execute actions in order; actions of a type without a handler are ignored."""
        for action in actions:
            handler = self._handlers.get(type(action))
            if handler is None:
                if log.isEnabledFor(logging.DEBUG):
                    log.debug(format_event("action_ignored", action=action))
            else:
                handler(action)

    def _start_attempt(self, action: StartAttempt) -> None:
        call = self._calls.find(action.request_id)
        if call is None:
            return
        now_ms = self._context.clock()
        attempt = Attempt(call, len(call.attempts), action.worker_id, now_ms)
        if call.attempts:
            self._set_write_deadline(call, attempt)
        call.attempts.append(attempt)
        has_other_in_flight = any(not earlier.is_ended for earlier in call.attempts[:-1])
        max_attempts = self._context.settings.limits.max_attempts
        # The client may have disconnected, or the deadline may have passed, earlier in this batch of events.
        # The attempt is still recorded, and ended as NOT_SENT, because the router has already counted it.
        is_too_late = call.is_complete or call.is_client_half_closed or now_ms >= call.deadline_ms
        if is_too_late or has_other_in_flight or len(call.attempts) > max_attempts:
            self._completion.end_attempt(attempt, AttemptResult(Outcome.NOT_SENT, is_local=True))
        else:
            self._context.workers().send(attempt)

    def _set_write_deadline(self, call: Call, attempt: Attempt) -> None:
        """Limit a retry with an idempotency key to the deduplication window.

        The window starts with the first attempt that may have been executed. A worker may execute the call a
        second time if the retry arrives after the window.
        """
        request_class = self._context.settings.classes[call.class_index]
        executed_at_ms = [earlier.started_at_ms for earlier in call.attempts if earlier.may_have_executed()]
        if request_class.idempotency is Idempotency.WITH_KEY and executed_at_ms:
            attempt.write_deadline_ms = executed_at_ms[0] + request_class.deduplication_window_ms

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        call = self._calls.find(action.request_id)
        if call is not None and action.attempt_index < len(call.attempts):
            attempt = call.attempts[action.attempt_index]
            if not attempt.is_ended:
                self._context.workers().cancel(attempt)

    def _reject_request(self, action: RejectRequest) -> None:
        if (call := self._calls.pending.get(action.request_id)) is not None:
            timed_out = self._context.clock() >= call.deadline_ms
            result = CallRejected(action.retry_after_ms, timed_out, action.reason)
            self._completion.complete(call, result)

    def _fail_request(self, action: FailRequest) -> None:
        if (call := self._calls.pending.get(action.request_id)) is not None:
            timed_out = self._context.clock() >= call.deadline_ms
            self._completion.complete(call, CallFailed(timed_out))

    def _preload_function(self, action: PreloadFunction) -> None:
        self._context.workers().preload(action.worker_id, action.function_id, action.instances)

    def _unload_function(self, action: UnloadFunction) -> None:
        self._context.workers().unload(action.worker_id, action.function_id)

    def _close_idle_connections(self, action: CloseIdleConnections) -> None:
        self._context.workers().close_idle_connections(action.worker_id)

    def _send_to_peer(self, action: SendToPeer) -> None:
        self._context.send_to_peer(action.data, action.peer_index)

    def _log_message(self, action: LogMessage) -> None:
        log.info(action.message)
