"""The dispatcher: it owns all calls of the process and hosts the routing node that decides on them.

The protocol servers and the worker transport report what happened. Once in an iteration of the event loop the
dispatcher hands all of it to the node as events and carries out the actions that come back. It knows no wire.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from cedarthread.dispatch.actions import ActionExecutor
from cedarthread.dispatch.call_table import DEFAULT_MAX_BODY_BYTES, CallTable
from cedarthread.dispatch.calls import (
    Attempt,
    AttemptResult,
    Call,
    CallFailed,
    Progress,
    WorkerTransport,
)
from cedarthread.dispatch.clock import steady_unix_clock_ms, wall_clock_ms
from cedarthread.dispatch.completion import CallCompletion
from cedarthread.dispatch.context import DispatchContext
from cedarthread.dispatch.deadlines import CallDeadlines
from cedarthread.dispatch.figures import CallFigures
from cedarthread.dispatch.node_timers import NodeTimers
from cedarthread.dispatch.send_audit import SendAudit
from cedarthread.dispatch.send_gate import OpenSendGate
from cedarthread.dispatch.send_guard import SendGuard
from cedarthread.logs import format_event
from cedarthread.model.endpoints import EndpointState, EndpointUpdate
from cedarthread.model.events import (
    ClientDisconnected,
    Event,
    PeerMessageReceived,
    PreloadEnded,
    RequestArrived,
)
from cedarthread.node.routing_node import RoutingNode

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cedarthread.dispatch.send_gate import SendGate
    from cedarthread.fleet_config import FleetConfig
    from cedarthread.model.actions import Action
    from cedarthread.model.settings import RouterSettings

log = logging.getLogger(__name__)


class Dispatcher:
    """Owns calls and attempts: each call that is submitted gets exactly one result, unless it is abandoned.

    Times are Unix ms of ``clock``. Not thread-safe: all methods run on the event loop it was made on.
    """

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        clock: Callable[[], float] | None = None,
        max_pending_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        incarnation: int | None = None,
        *,
        flush_output: Callable[[], None] = lambda: None,
        send_gate: SendGate | None = None,
    ) -> None:
        self.context = DispatchContext(settings, clock or steady_unix_clock_ms())
        self.node = RoutingNode(settings, seed, incarnation)
        self.router = self.node.router
        self.flush_output = flush_output  # writes what one batch of events brought
        self.shutdown_deadline_ms: float | None = None  # when all must be complete, once shutdown has begun
        self.current_class_index = {
            request_class.name: index for index, request_class in enumerate(settings.classes)
        }
        self.calls = CallTable(max_pending_body_bytes)
        self.figures = CallFigures(settings)
        self.deadlines = CallDeadlines(self.context, self.calls, self._on_deadline)
        self.node_timers = NodeTimers(self.context, self._enqueue_event)
        self.completion = CallCompletion(
            self.context, self.calls, self.figures, self.deadlines, self._enqueue_event
        )
        self._executor = ActionExecutor(self.context, self.calls, self.completion, self.node_timers)
        self.send_guard = SendGuard()
        self.send_audit = SendAudit()
        gate = send_gate if send_gate is not None else OpenSendGate()
        gate.add_waiter(self.resume)
        self._may_proceed = gate.is_open  # False: events wait until ``resume``
        self._input_delay_ms = gate.input_delay_ms
        self._event_queue: list[Event] = []
        self._has_endpoint_update = False  # one is among the queued events
        self._last_request_id = 0

    @property
    def settings(self) -> RouterSettings:
        """The settings in force."""
        return self.context.settings

    @property
    def clock(self) -> Callable[[], float]:
        """The clock, Unix ms."""
        return self.context.clock

    @property
    def pending_calls(self) -> dict[int, Call]:
        """The calls without a result yet, by request id."""
        return self.calls.pending

    @property
    def result_counts(self) -> dict[str, int]:
        """Calls by their result, as the log counts them."""
        return self.figures.by_result

    @property
    def class_figures(self) -> dict[str, dict[str, int]]:
        """The operators' figures by the name of the request class."""
        return self.figures.by_class

    def connect_workers(self, transport: WorkerTransport) -> None:
        """Send attempts by this transport."""
        self.context.worker_transport = transport

    def connect_peers(self, send_to_peer: Callable[[bytes, int | None], None]) -> None:
        """Send messages to other routers by this function: data, and the peer's index or None for all."""
        self.context.send_to_peer = send_to_peer

    def submit(self, call: Call) -> None:
        """Accept a call, or reject it at once where the bounds on pending calls are reached."""
        if self.calls.is_full(self.context.settings.limits.max_pending_requests):
            self.reject_call(call)
            return
        self._count_accepted(call)
        if self.shutdown_deadline_ms is not None:
            call.deadline_ms = min(call.deadline_ms, self.shutdown_deadline_ms)
        self.calls.add(call)
        self.deadlines.schedule(call.deadline_ms, call)
        self._enqueue_event(
            RequestArrived(
                call.request_id,
                function_id=call.function_id,
                class_index=call.class_index,
                deadline_ms=call.deadline_ms,
                concurrency=call.concurrency,
                memory=call.memory_mb,
                is_client_retry=call.is_client_retry,
                caller=call.caller_identity,
            )
        )

    def arrival_ms(self) -> float:
        """Since when input that is read now may have been here: its sender's time limit runs from then on."""
        return self.context.clock() - self._input_delay_ms()

    def reject_call(self, call: Call) -> None:
        """Reject a call at once, before anything is done for it, since a bound is reached."""
        self._count_accepted(call)
        self.completion.reject_at_once(call)

    def _count_accepted(self, call: Call) -> None:
        self._last_request_id += 1
        call.request_id, call.accepted_at_ms = self._last_request_id, self.context.clock()
        call.class_name = self.context.settings.classes[call.class_index].name
        self.figures.count_accepted()

    def fail_call(self, call: Call) -> None:
        """Fail a call whose client can still be written to, but not read from any more."""
        if not call.is_complete:
            self.completion.complete(call, CallFailed())
            self._enqueue_event(ClientDisconnected(call.request_id))

    def abandon_call(self, call: Call) -> None:
        """The client has disconnected: no result is owed any more."""
        call.client_gone_at_ms = min(call.client_gone_at_ms, self.context.clock())
        self.completion.abandon(call)

    def client_closing(self, call: Call) -> None:
        """The client has closed its writing half, and may or may not read on.

        An attempt in flight may yet bring the result, and no further one begins; a call without one in flight
        is completed now.
        """
        if call.is_complete or call.is_client_closing:
            return
        call.is_client_closing = True
        call.client_gone_at_ms = self.context.clock()
        for attempt in call.attempts:
            self.context.workers().refresh_progress(attempt)
        has_left = (not a.is_ended and a.progress >= Progress.PARTLY_WRITTEN for a in call.attempts)
        if not any(has_left):
            self.completion.complete_locally(call, timed_out=False)

    def may_start_attempt(self, attempt: Attempt) -> bool:
        """May the attempt be sent? Asked at the last moment before its bytes leave; see ``SendGuard``.

        The client's close or CANCEL may stand unread while this process is late, or while it reads nothing
        from a client that reads slowly; without this check the attempt would begin after its client left.
        """
        attempt.call.refresh_client_state()
        refusal = self.send_guard.refuse_attempt(self.context.clock(), attempt, self.context.settings)
        if refusal is not None and log.isEnabledFor(logging.DEBUG):
            request, worker_id = attempt.call.call_id, attempt.worker_id
            log.debug(format_event("send_refused", request=request, worker_id=worker_id, reason=refusal))
        return refusal is None

    def may_preload(self, worker_id: int) -> bool:
        """May a preload request be sent to this worker? Asked at the last moment, likewise."""
        return self.send_guard.refuse_worker(worker_id) is None

    def on_attempt_sent(self, attempt: Attempt) -> None:
        """The first byte of an attempt has left."""
        self.send_audit.on_attempt_sent(self.context.clock(), attempt, self.context.settings)

    def on_preload_sent(self, worker_id: int, message_id: str) -> None:
        """The first byte of a preload request has left."""
        grace_ms = self.context.settings.rules.drain_grace_ms
        self.send_audit.on_preload_sent(self.context.clock(), worker_id, message_id, grace_ms)

    def worker_states_changed(self, states: Mapping[int, EndpointState]) -> None:
        """The endpoint list is now this one, by worker id: it holds for all that is sent from now on."""
        self.send_guard.update_ready_workers(
            worker_id for worker_id, state in states.items() if state is EndpointState.READY
        )
        self.send_audit.on_endpoints(self.context.clock(), states)

    def count_attempt_written(self, attempt: Attempt) -> None:
        """An attempt has been written whole to its worker."""
        self.figures.count_attempt_written(attempt.call)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """An attempt has ended; only its first end counts."""
        self.completion.end_attempt(attempt, result)

    def preload_ended(self, event: PreloadEnded) -> None:
        """A preload request to a worker has ended."""
        self._enqueue_event(event)

    def peer_message_received(self, sender: int, data: bytes) -> None:
        """A datagram of another router has come."""
        self._enqueue_event(PeerMessageReceived(sender, data))

    def endpoints_changed(self, event: EndpointUpdate) -> None:
        """The endpoint list of the workers has changed."""
        self._has_endpoint_update = True
        self._enqueue_event(event)

    def update_settings(self, new_settings: RouterSettings) -> RouterSettings:
        """Take new settings; returns them as they are in force.

        Classes are only added: a pending call keeps its class by index. A class that is new or changed takes
        a new index; one that is no longer named gets no new calls.
        """
        classes, current_class_index = list(self.settings.classes), {}
        for request_class in new_settings.classes:
            class_index = self.current_class_index.get(request_class.name)
            if class_index is None or classes[class_index] != request_class:
                classes.append(request_class)
                class_index = len(classes) - 1
            current_class_index[request_class.name] = class_index
        self.context.settings = replace(new_settings, classes=tuple(classes))
        self.current_class_index = current_class_index
        self.node.update_settings(self.settings, self.clock())
        self.figures.add_classes(new_settings)
        return self.settings

    def apply_fleet_config(self, fleet_config: FleetConfig) -> None:
        """Take what the operators' fleet file declares."""
        actions = self.node.apply_fleet_config(self.clock(), fleet_config, wall_clock_ms)
        self._executor.execute(actions)
        self.flush_output()

    def complete_all_by(self, at_ms: float) -> None:
        """Complete every call by then, also those that are submitted from now on."""
        self.shutdown_deadline_ms = at_ms
        for call in list(self.calls.pending.values()):
            if call.deadline_ms > at_ms:
                call.deadline_ms = at_ms
                self.deadlines.schedule(at_ms, call)

    def tick_early(self, within_ms: float) -> None:
        """Run the components' tick now if it is due within that time, as the process is awake anyway."""
        self.node_timers.fire_component_timer_within(within_ms)

    def _on_deadline(self, call: Call) -> None:
        if call.is_expired:
            self.completion.complete_overdue(call)
        else:
            self.completion.expire(call)

    def _enqueue_event(self, event: Event) -> None:
        if not self._event_queue:
            self.context.loop.call_soon(self._process_events)
        self._event_queue.append(event)

    def resume(self) -> None:
        """Process the events that had to wait."""
        if self._event_queue:
            self.context.loop.call_soon(self._process_events)

    def _process_events(self) -> None:
        now_ms = self.context.clock()
        self.deadlines.run_if_due(now_ms)
        if not self._event_queue or not self._may_proceed():
            self.flush_output()
            return
        events, self._event_queue = self._event_queue, []
        if self._has_endpoint_update:
            # It comes first: a worker that it drains is not chosen for a call that came before it.
            events.sort(key=lambda event: not isinstance(event, EndpointUpdate))
            self._has_endpoint_update = False
        actions: list[Action] = []
        for event in events:
            try:
                actions.extend(self.node.handle(now_ms, event))
            except Exception:
                log.exception(format_event("event_handler_failed", event_type=type(event).__name__))
        self._executor.execute(actions)
        self.calls.forget_completed()
        self.flush_output()
