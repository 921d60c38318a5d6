"""The router: handles the events of one node and returns the actions for its host to carry out, in order.

Events and actions are defined in ``cedarthread/model/``; read those modules first. The router does no I/O;
its host passes in the time, and a seed at the start. Each type of event has one handler here. The policies
make the decisions: ``selection`` (which worker), ``admission`` (shed, queue, reject, preempt), ``retries``
(another attempt) and ``preloading``. They share the state in ``router_state``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cedarthread.model.actions import Action, StartAttempt, SubscribeEndpoints
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    PreloadEnded,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from cedarthread.model.outcomes import Outcome
from cedarthread.routing.admission import AdmissionPolicy
from cedarthread.routing.attempt_tracker import AttemptTracker
from cedarthread.routing.feedback import OutcomeFeedback
from cedarthread.routing.function_table import DEFAULT_MAX_FUNCTIONS
from cedarthread.routing.preloading import PreloadPolicy
from cedarthread.routing.retries import STALL_THRESHOLD_MS, RetryPolicy
from cedarthread.routing.router_state import RouterState
from cedarthread.routing.selection import WorkerSelector

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.model.settings import RouterSettings
    from cedarthread.routing.records import PendingRequest, WorkerRecord

DEQUEUED_PER_RESPONSE = 2  # with one, the free instance would be idle until its next call arrives


class Router:
    """The router of one node: its state, its policies and a handler for each kind of event.

    The host and the node's components use ``handle``, ``update_settings``, ``state`` (see ``RouterState``),
    ``feedback.reported_load``, and the records by id: ``workers``, ``functions``, ``pending_requests``,
    ``queued_requests``, ``orphaned_attempts``.

    Args:
        settings: The settings of this router.
        seed: Seed of its random generator; the same seed and events give the same actions.
        max_functions: The limit on the records of functions.
    """

    def __init__(
        self, settings: RouterSettings, seed: int, max_functions: int = DEFAULT_MAX_FUNCTIONS
    ) -> None:
        state = RouterState.create(settings, seed, max_functions)
        self.state = state
        self.feedback = OutcomeFeedback(state)
        self.tracker = AttemptTracker(state, self.feedback)
        self.retries = RetryPolicy(state, self.feedback)
        self.selector = WorkerSelector(state, self.retries)
        self.admission = AdmissionPolicy(state, self.selector)
        self.preloads = PreloadPolicy(state, self.selector, self.admission)
        self.workers = state.workers.by_id
        self.functions = state.functions.by_id
        self.pending_requests = state.requests.pending
        self.queued_requests = state.requests.queued
        self.orphaned_attempts = state.requests.orphaned
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            AttemptEnded: self._on_attempt_ended,
            RequestArrived: self._on_request,
            TimerFired: self._on_timer,
            EndpointUpdate: self._on_endpoint_update,
            StreamStarted: self._on_stream_started,
            ClientDisconnected: self._on_client_disconnected,
            PreloadEnded: self._on_preload_ended,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event and return the actions to carry out, in order."""
        state = self.state
        state.event_at_ms = now_ms
        state.actions = []
        if now_ms > state.timers.armed_at_ms + STALL_THRESHOLD_MS:
            # The armed timer is overdue, so the process stalled. Events at this time are stale; outlier
            # detection ignores them.
            state.stalled_at_ms = now_ms
        # Peer messages and health checks have no handler: the node's components handle the former, and the
        # router requests none of the latter.
        if (handler := self.handlers.get(type(event))) is not None:
            handler(now_ms, event)
        if (timer := state.timers.rearm(now_ms)) is not None:
            state.actions.append(timer)
        return state.actions

    def update_settings(self, settings: RouterSettings) -> None:
        """Apply new settings, which may append classes; a pending request stays in its class."""
        for component in (self.state, self.feedback, self.selector, self.admission):
            component.update_settings(settings)

    # Event handlers.

    def _on_endpoint_update(self, now_ms: float, update: EndpointUpdate) -> None:
        """Apply an update of the endpoint list and dispatch the queue, or back off after a failed poll."""
        state = self.state
        polling = self.state.polling
        if update.kind is EndpointUpdateKind.FAILED:
            max_delay_ms = state.settings.rules.max_poll_delay_ms
            state.timers.schedule(polling.on_failure(now_ms, max_delay_ms, state.rng))
            return
        polling.on_update()
        for worker_id in state.workers.apply(now_ms, update):
            state.remove_instances(worker_id)
        if polling.should_subscribe(now_ms, state.settings.discovery_mode):
            state.timers.schedule(now_ms)
        self._dispatch_queue(now_ms)

    def _on_request(self, now_ms: float, request: RequestArrived) -> None:
        """Shed or dispatch a new request."""
        state = self.state
        self.preloads.on_request(now_ms)
        pending = state.record_request(now_ms, request)
        quota_use = state.traffic.on_tenant_call(now_ms, request, state.settings)
        if self.admission.should_shed(now_ms, pending, quota_use):
            self._reject_or_fail(now_ms, pending)
            return
        if not request.is_client_retry:  # a client's retries would consume the retry budget of others
            state.retry_budget.earn()
            state.traffic.on_admitted(now_ms, request.class_index)
        self._dispatch(now_ms, pending)

    def _on_attempt_ended(self, now_ms: float, event: AttemptEnded) -> None:
        """Complete, retry or reject the request, then dispatch calls that wait for an instance."""
        pending = self.tracker.on_ended(now_ms, event)
        if pending is None:
            return
        if event.is_final:
            self._complete(pending)
        elif event.outcome is not Outcome.OK and not pending.has_attempt_in_flight():
            if self.retries.should_retry(now_ms, pending, event.outcome):
                self._dispatch(now_ms, pending)
            else:
                self._reject_or_fail(now_ms, pending)
        waiting = pending.function.instance_queue.waiting_requests
        dequeued = [request_id for request_id in waiting if request_id in self.queued_requests]
        for request_id in dequeued[:DEQUEUED_PER_RESPONSE]:
            self._dispatch(now_ms, self.queued_requests[request_id])

    def _on_stream_started(self, now_ms: float, event: StreamStarted) -> None:
        """Use the first stream of a request as its response and cancel the other attempts."""
        pending = self.pending_requests.get(event.request_id)
        if pending is not None and not pending.is_streaming:  # otherwise another stream was first
            pending.is_streaming = True
            self.retries.cancel_attempts(pending, excluded_index=event.attempt_index)
        self.tracker.on_stream_started(now_ms, event)

    def _on_client_disconnected(self, now_ms: float, event: ClientDisconnected) -> None:
        """Close the request without a final answer."""
        if (pending := self.pending_requests.get(event.request_id)) is not None:
            self._complete(pending)

    def _on_preload_ended(self, now_ms: float, event: PreloadEnded) -> None:
        """Dispatch the queue after the end of a preload of this router."""
        if self.feedback.record_preload(now_ms, event):
            self._dispatch_queue(now_ms)

    def _on_timer(self, now_ms: float, event: TimerFired) -> None:
        """Check the attempts that are due for hedging, the subscription and the queue."""
        state = self.state
        if not state.timers.on_fired(event.token):
            return
        for due in state.timers.pop_due(now_ms):
            pending = self.pending_requests.get(due.request_id)
            if pending is not None and self.retries.should_hedge(now_ms, pending, due.attempt_index):
                self._dispatch(now_ms, pending)
        if state.polling.is_due(now_ms):
            state.actions.append(SubscribeEndpoints(is_enabled=True))
        if state.requests.is_queue_check_due(now_ms):
            self._dispatch_queue(now_ms)

    # Request lifecycle.

    def _dispatch(self, now_ms: float, pending: PendingRequest) -> None:
        """Send the request to the selected worker, queue it, or give its final answer."""
        state = self.state
        self.queued_requests.pop(pending.request.request_id, None)
        if not (self.retries.has_remaining_attempts(pending) and self.retries.may_attempt(now_ms, pending)):
            self._reject_or_fail(now_ms, pending)
            return
        worker = self.selector.select(now_ms, pending)
        if worker is not None:
            worker = self.preloads.select_warm_worker(now_ms, pending, worker)
        if (preempted := self.admission.choose_preemption_victim(now_ms, pending, worker)) is not None:
            self._reject_or_fail(now_ms, preempted)
        if (
            worker is not None
            and not self.admission.should_wait_for_instance(now_ms, pending, worker)
            and self.admission.may_start_instance(now_ms, pending, worker)
        ):
            self._start_attempt(now_ms, pending, worker)
            return
        if pending.has_attempt_in_flight():
            return
        if not self.admission.may_queue(now_ms, pending):
            self._reject_or_fail(now_ms, pending)
            return
        state.requests.enqueue(now_ms, pending, state.timers)

    def _dispatch_queue(self, now_ms: float) -> None:
        """Dispatch each queued request; one that still cannot be sent is queued again or rejected."""
        for pending in list(self.queued_requests.values()):
            self._dispatch(now_ms, pending)

    def _start_attempt(self, now_ms: float, pending: PendingRequest, worker: WorkerRecord) -> None:
        """Start an attempt at the worker and schedule its check for hedging."""
        attempt = self.tracker.on_started(now_ms, pending, worker)
        request_id = pending.request.request_id
        self.state.actions.append(StartAttempt(request_id, worker.endpoint.worker_id))
        hedge_check_at_ms = now_ms + self.retries.hedge_check_delay_ms(attempt.expected_ms)
        self.state.timers.schedule(hedge_check_at_ms, request_id, len(pending.attempts) - 1)
        self.state.timers.prune(self.pending_requests, len(self.pending_requests))

    def _reject_or_fail(self, now_ms: float, pending: PendingRequest) -> None:
        """Give the final answer of a request that gets no further attempt."""
        self.state.actions.append(self.admission.final_answer(now_ms, pending))
        self._complete(pending)

    def _complete(self, pending: PendingRequest) -> None:
        """Close a request that has its final answer and, unless it streams, cancel its attempts."""
        self.state.requests.close(pending)
        if not pending.is_streaming:
            self.retries.cancel_attempts(pending)
