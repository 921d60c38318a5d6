"""Defective replacements of functions of dispatch, routing and the connections, for the target ``calls``.

A replacement has the signature of the method that it replaces. Several replacements call the original method,
which this module saves at import, before a defect is injected.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, cast
from unittest import mock

from cedarthread.dispatch.actions import ActionExecutor
from cedarthread.dispatch.call_table import CallTable
from cedarthread.dispatch.calls import Attempt, AttemptResult, Call, CallFailed, CallResult
from cedarthread.model.endpoints import EndpointState
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import Idempotency, RouterSettings
from cedarthread.protocols.platform.calls import PlatformCalls
from cedarthread.routing.preloading import PreloadPolicy
from cedarthread.routing.selection import WorkerSelector

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from cedarthread.dispatch.deadlines import CallDeadlines
    from cedarthread.model.actions import StartAttempt
    from cedarthread.protocols.platform.connection import PlatformConnection
    from cedarthread.protocols.worker.connection import WorkerConnection
    from cedarthread.protocols.worker.connections import WorkerConnections
    from cedarthread.protocols.worker.requests import WorkerRequest
    from cedarthread.routing.records import PendingRequest, WorkerRecord
    from cedarthread.routing.retries import RetryPolicy

_send_call_result = PlatformCalls._send_call_result
_mark_completed = CallTable.mark_completed
_start_attempt = ActionExecutor._start_attempt
_may_preload = PreloadPolicy.may_preload
_is_eligible = WorkerSelector.is_eligible


def send_failure_twice(self: PlatformCalls, number: int, answer: CallResult) -> None:
    """Answer a failed call twice."""
    _send_call_result(self, number, answer)
    if isinstance(answer, CallFailed):
        _send_call_result(self, number, answer)


def retain_call_id(self: CallTable, call: Call) -> None:
    """Mark a call as complete but retain its id."""
    _mark_completed(self, call)
    self.pending_ids.add(call.call_id)


def retain_body_bytes(self: CallTable, call: Call) -> None:
    """Mark a call as complete but still count the bytes of its body as pending."""
    body_bytes = len(call.body)
    _mark_completed(self, call)
    self.pending_body_bytes += body_bytes


def start_attempt_twice(self: ActionExecutor, action: StartAttempt) -> None:
    """Start an attempt and, if it is a hedge, another attempt of the same call at the same time."""
    _start_attempt(self, action)
    call = self._calls.pending.get(action.request_id)
    if call is not None and len(call.attempts) == 2 and not call.attempts[1].is_ended:
        self._context.workers().send(Attempt(call, 1, action.worker_id, self._context.clock()))


def set_extra_timer(self: CallDeadlines, at_ms: float) -> None:
    """Set the wake-up timer, and another timer that expires after the run."""
    self._wakeup_at_ms = at_ms
    self._wakeup_timer = self._context.call_at(at_ms, self.on_timer)
    self._context.call_at(at_ms + 1e9, self.on_timer)


def allow_any_worker(self: WorkerSelector, request: PendingRequest, worker: WorkerRecord) -> bool:
    """Return True, so that a worker is eligible in every state."""
    return True


def allow_any_state(self: WorkerSelector, request: PendingRequest, worker: WorkerRecord) -> bool:
    """Return whether the worker would be eligible if its state were READY."""
    ready = replace(worker, endpoint=replace(worker.endpoint, state=EndpointState.READY))
    return _is_eligible(self, request, ready)


def preload_beyond_limit(self: PreloadPolicy, now_ms: float) -> bool:
    """Return whether a preload is allowed under several times the configured limit."""
    state = self.state
    budget = state.preload_budget
    budget.on_preload(now_ms) if not budget.preload_times else None
    allowance = 4 * state.settings.rules.preload_allowance + 4
    with mock.patch.object(state, "settings", _with_preload_allowance(state.settings, allowance)):
        return _may_preload(self, now_ms)


def _with_preload_allowance(settings: RouterSettings, allowance: float) -> RouterSettings:
    return replace(settings, rules=replace(settings.rules, preload_allowance=allowance))


def ignore_retry_scope(self: WorkerSelector, request: PendingRequest, worker: WorkerRecord) -> bool:
    """Return whether the worker is ready, without regard to the scope of retries."""
    return worker.endpoint.state is EndpointState.READY


def retry_always(self: RetryPolicy, now_ms: float, request: PendingRequest) -> bool:
    """Return True, so that every request may be attempted again."""
    return True


def ignore_retry_window(self: RetryPolicy, now_ms: float, request: PendingRequest) -> bool:
    """Return whether the request's idempotency permits a retry, without regard to the time window."""
    return (
        not request.possibly_executed() or request.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
    )


def write_all_lines(self: WorkerConnection, transport: asyncio.Transport, *, without_requests: bool) -> None:
    """Write all queued lines without waiting until the peer has accepted the previous line."""
    while (line := self.line_queue.next_line()) is not None:
        if line.request is not None and not self._may_write(line.request):
            self.withdraw_and_end(line.request)
            continue
        line.data = line.data or self.worker_connections.encode_attempt(cast("Attempt", line.request))
        self.line_queue.dequeue(line)
        buffered_bytes = transport.get_write_buffer_size()
        transport.write(line.data)
        unwritten_bytes = transport.get_write_buffer_size() - buffered_bytes
        self.line_queue.on_passed_to_transport(line, len(line.data) - unwritten_bytes)


def abandon_calls_and_close(self: PlatformConnection) -> None:
    """Abandon the calls of a closing connection instead of answering them."""
    calls = self.calls.open
    self.calls.open = {}
    for call in calls.values():
        self.server.dispatcher.abandon_call(call)
    self.lingering_close()


def end_without_removal(
    self: WorkerConnections,
    request: WorkerRequest,
    result: Callable[[Attempt], AttemptResult],
    outcome: Outcome,
) -> None:
    """End a request without removing it from the requests in flight."""
    if isinstance(request, Attempt):
        self.dispatcher.attempt_ended(request, result(request))
    else:
        self.preloads.finish(request, outcome)


def cancel_as_not_executed(
    self: WorkerConnections, attempt: Attempt, connection: object, cancel_line: object
) -> None:
    """Report a cancelled attempt as not executed."""
    self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))
