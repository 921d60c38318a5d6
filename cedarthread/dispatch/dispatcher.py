"""The dispatcher, which owns all calls of the process and hosts the routing node that decides on them.

The protocol servers and the worker transport report to the dispatcher, which queues each report as an event.
In the next iteration of the event loop, the dispatcher passes the queued events to the routing node and
executes the actions that the node returns. While the send gate is closed, events stay queued, but deadlines
are still enforced.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from cedarthread.dispatch.actions import ActionExecutor
from cedarthread.dispatch.call_table import DEFAULT_MAX_BODY_BYTES, CallTable
from cedarthread.dispatch.clock import monotonic_unix_clock_ms, wall_clock_ms
from cedarthread.dispatch.completion import CallCompletion
from cedarthread.dispatch.context import DispatchContext
from cedarthread.dispatch.deadlines import CallDeadlines
from cedarthread.dispatch.executed_ids import DEFAULT_MAX_IDS, ExecutedIds
from cedarthread.dispatch.figures import CallCounters
from cedarthread.dispatch.node_timers import NodeTimers
from cedarthread.dispatch.request_classes import merge_request_classes
from cedarthread.dispatch.send_audit import SendAudit
from cedarthread.dispatch.send_gate import OPEN_SEND_GATE, SendGate
from cedarthread.dispatch.send_guard import SendGuard, SendRefusal
from cedarthread.logs import format_event
from cedarthread.model.endpoints import EndpointState, EndpointUpdate
from cedarthread.model.events import Event, PeerMessageReceived, PreloadEnded, RequestArrived
from cedarthread.model.settings import Idempotency
from cedarthread.node.routing_node import RoutingNode
from cedarthread.routing.function_table import DEFAULT_MAX_FUNCTIONS

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cedarthread.dispatch.calls import Attempt, AttemptResult, Call, WorkerTransport
    from cedarthread.fleet_config import FleetConfig
    from cedarthread.model.actions import Action
    from cedarthread.model.settings import RouterSettings

log = logging.getLogger(__name__)

MAX_EVENTS_PER_BATCH = 256  # events of one iteration of the event loop


class Dispatcher:
    """Owner of all calls and attempts of the process.

    Each submitted call gets exactly one result, except an abandoned call, which gets none. Times are Unix
    times in ms on ``clock``. The class is not thread-safe: construct and use it on one running event loop.

    Args:
        settings: The settings in force.
        seed: Seed for the random decisions of the routing node.
        clock: Returns Unix time in ms; None: a clock that steps of the wall clock do not affect.
        max_pending_body_bytes: New calls are rejected while the pending bodies have this total size or more.
        incarnation: A random number that identifies this start of the process; None: derived from the seed.
        max_functions: The limit on the router's records of functions.
        max_executed_ids: The limit on the ids of calls that must not be executed again.
        flush_output: Writes the buffered output after each batch of events.
        send_gate: While this gate is closed, events stay queued.
    """

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        clock: Callable[[], float] | None = None,
        max_pending_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        incarnation: int | None = None,
        *,
        max_functions: int = DEFAULT_MAX_FUNCTIONS,
        max_executed_ids: int = DEFAULT_MAX_IDS,
        flush_output: Callable[[], None] = lambda: None,
        send_gate: SendGate = OPEN_SEND_GATE,
    ) -> None:
        self.context = DispatchContext(settings, clock or monotonic_unix_clock_ms())
        self.node = RoutingNode(settings, seed, incarnation, max_functions)
        self.router = self.node.router
        self.flush_output = flush_output
        self.shutdown_deadline_ms: float | None = None  # cap on all deadlines; None: no shutdown has started
        self.current_class_index = {
            request_class.name: index for index, request_class in enumerate(settings.classes)
        }
        self.calls = CallTable(max_pending_body_bytes)
        self.counters = CallCounters(settings)
        self.executed_ids = ExecutedIds(max_executed_ids)
        self.deadlines = CallDeadlines(self.context, self.calls, self._on_deadline)
        self.node_timers = NodeTimers(self.context, self._enqueue_event)
        self.completion = CallCompletion(
            self.context,
            self.calls,
            self.counters,
            self.deadlines,
            self._enqueue_event,
            executed_ids=self.executed_ids,
        )
        self._executor = ActionExecutor(self.context, self.calls, self.completion, self.node_timers)
        self.send_guard = SendGuard()
        self.send_audit = SendAudit()
        self.unread_refusals = 0  # attempts refused because their client's input was not read completely
        send_gate.add_reopen_callback(self.resume)
        self._send_gate = send_gate
        self._event_queue: list[Event] = []
        self._has_endpoint_update = False  # whether the queue contains an ``EndpointUpdate``
        self._last_request_id = 0

    @property
    def settings(self) -> RouterSettings:
        """Return the settings in force."""
        return self.context.settings

    @property
    def clock(self) -> Callable[[], float]:
        """Return the clock, which returns Unix time in ms."""
        return self.context.clock

    @property
    def pending_calls(self) -> dict[int, Call]:
        """Return the calls without a result by request id."""
        return self.calls.pending

    @property
    def result_counts(self) -> dict[str, int]:
        """Return the counts of calls by result, for the log."""
        return self.counters.by_result

    @property
    def class_counters(self) -> dict[str, dict[str, int]]:
        """Return the counters of the INFO report by request class name."""
        return self.counters.by_class

    def connect_workers(self, transport: WorkerTransport) -> None:
        """Connect the transport that sends attempts to workers."""
        self.context.worker_transport = transport

    def connect_peers(self, send_to_peer: Callable[[bytes, int | None], None]) -> None:
        """Connect the transport to the other routers.

        Args:
            send_to_peer: Sends data to the router with the given index; index None: to all other routers.
        """
        self.context.send_to_peer = send_to_peer

    def submit(self, call: Call) -> None:
        """Accept a call as pending, or reject it immediately if a limit on pending calls has been reached."""
        if self._is_full_for(call):
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
                memory_mb=call.memory_mb,
                is_client_retry=call.is_client_retry,
                caller=call.caller_identity,
            )
        )

    def _is_full_for(self, call: Call) -> bool:
        """Return whether a limit of the process forbids a new call."""
        if self.calls.is_full(self.context.settings.limits.max_pending_requests):
            return True
        return not self._is_repeatable(call) and self.executed_ids.is_full(self.context.clock())

    def _is_repeatable(self, call: Call) -> bool:
        request_class = self.context.settings.classes[call.class_index]
        return request_class.idempotency is Idempotency.IDEMPOTENT

    def refuse_call_id(self, call: Call) -> str | None:
        """Return why a client's call with this id cannot be accepted, or None if it can."""
        if call.call_id in self.calls.pending_ids:  # a worker could not distinguish the two calls
            return "a call of this txn is open"
        if not self._is_repeatable(call) and self.executed_ids.contains(call.call_id, self.context.clock()):
            return "a call of this txn may have been executed"
        return None

    def arrival_ms(self) -> float:
        """Return the time at which a client's time limit starts for input that is read now.

        This is the current time, less the time for which the input may have waited unread during a stall of
        the process.
        """
        return self.context.clock() - self._send_gate.input_delay_ms()

    def reject_call(self, call: Call) -> None:
        """Count a call as accepted and reject it immediately, so that it never becomes pending."""
        self._count_accepted(call)
        self.completion.reject_at_once(call)

    def _count_accepted(self, call: Call) -> None:
        self._last_request_id += 1
        call.request_id = self._last_request_id
        call.accepted_at_ms = self.context.clock()
        call.class_name = self.context.settings.classes[call.class_index].name
        self.counters.count_accepted()

    def fail_call(self, call: Call) -> None:
        """Fail a pending call because its client has sent invalid input; the client still gets the result."""
        self.completion.fail(call)

    def abandon_call(self, call: Call) -> None:
        """End a call without a result, because its client has disconnected."""
        self.completion.abandon(call)

    def client_half_closed(self, call: Call) -> None:
        """Record that the client has closed its sending side; the client may still read the result."""
        self.completion.on_client_half_closed(call)

    def may_start_attempt(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent; called immediately before its first byte is written.

        A close or CANCEL by the client may still be unread, because this process is late or has paused
        reading from a client that reads slowly. Without this check the attempt would start after its client
        disconnected. ``SendGuard`` contains the rules.
        """
        is_client_known = attempt.call.refresh_client_state()
        refusal = self.send_guard.refuse_attempt(
            self.context.clock(), attempt, self.context.settings, is_client_known=is_client_known
        )
        self.unread_refusals += refusal is SendRefusal.CLIENT_INPUT_UNREAD
        if refusal is not None and log.isEnabledFor(logging.DEBUG):
            request = attempt.call.call_id
            worker_id = attempt.worker_id
            log.debug(format_event("send_refused", request=request, worker_id=worker_id, reason=refusal))
        return refusal is None

    def may_preload(self, worker_id: int) -> bool:
        """Return whether a preload may be sent to a worker; called immediately before it is written."""
        return self.send_guard.refuse_worker(worker_id) is None

    def on_attempt_sent(self, attempt: Attempt) -> None:
        """Audit an attempt whose first byte has been written."""
        self.send_audit.on_attempt_sent(self.context.clock(), attempt, self.context.settings)

    def on_preload_sent(self, worker_id: int, message_id: str) -> None:
        """Audit a preload request whose first byte has been written."""
        grace_ms = self.context.settings.rules.drain_grace_ms
        self.send_audit.on_preload_sent(self.context.clock(), worker_id, message_id, grace_ms)

    def worker_states_changed(self, states: Mapping[int, EndpointState]) -> None:
        """Update the send guard and the audit from a new endpoint list, given as worker states by worker id.

        ``endpoints_changed`` reports the same list to the routing node.
        """
        self.send_guard.update_ready_workers(
            worker_id for worker_id, state in states.items() if state is EndpointState.READY
        )
        self.send_audit.on_endpoints(self.context.clock(), states)

    def count_attempt_written(self, attempt: Attempt) -> None:
        """Count an attempt that has been written completely to its worker."""
        self.counters.count_attempt_written(attempt.call)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt; further ends of the same attempt have no effect."""
        self.completion.end_attempt(attempt, result)

    def preload_ended(self, event: PreloadEnded) -> None:
        """Queue the result of a preload request for the routing node."""
        self._enqueue_event(event)

    def peer_message_received(self, sender: int, data: bytes) -> None:
        """Queue a datagram from another router for the routing node."""
        self._enqueue_event(PeerMessageReceived(sender, data))

    def endpoints_changed(self, event: EndpointUpdate) -> None:
        """Queue an update of the endpoint list for the routing node."""
        self._has_endpoint_update = True
        self._enqueue_event(event)

    def update_settings(self, new_settings: RouterSettings) -> RouterSettings:
        """Apply new settings, and return the settings in force.

        The settings in force keep all previous classes, so that the class index of a pending call stays
        valid.
        """
        merged = merge_request_classes(self.settings.classes, self.current_class_index, new_settings.classes)
        self.context.settings = replace(new_settings, classes=merged.classes)
        self.current_class_index = merged.current_class_index
        self.node.update_settings(self.settings, self.clock())
        self.counters.add_classes(new_settings)
        return self.settings

    def apply_fleet_config(self, fleet_config: FleetConfig) -> None:
        """Apply the declarations in the operators' fleet file."""
        actions = self.node.apply_fleet_config(self.clock(), fleet_config, wall_clock_ms)
        self._executor.execute(actions)
        self.flush_output()

    def complete_all_by(self, at_ms: float) -> None:
        """Cap the deadlines of all pending and future calls at a time, for the shutdown."""
        self.shutdown_deadline_ms = at_ms
        self.deadlines.cap_deadlines(at_ms)

    def tick_early(self, within_ms: float) -> None:
        """Run the tick of the node's components now if it is due within ``within_ms``, to save a wakeup."""
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
        """Process the events that stayed queued while the send gate was closed."""
        if self._event_queue:
            self.context.loop.call_soon(self._process_events)

    def _take_events(self) -> list[Event]:
        """Remove and return the events of one batch; the rest waits for the next iteration."""
        if self._has_endpoint_update:
            # Process updates first, so that calls queued before them are not routed to a drained worker.
            self._event_queue.sort(key=lambda event: not isinstance(event, EndpointUpdate))
            self._has_endpoint_update = False
        events = self._event_queue[:MAX_EVENTS_PER_BATCH]
        del self._event_queue[:MAX_EVENTS_PER_BATCH]
        if self._event_queue:
            self.context.loop.call_soon(self._process_events)
        return events

    def _process_events(self) -> None:
        """Handle due deadlines, pass the queued events to the node, and execute the resulting actions."""
        now_ms = self.context.clock()
        self.deadlines.run_if_due(now_ms)
        if not self._event_queue or not self._send_gate.is_open():
            self.flush_output()
            return
        events = self._take_events()
        actions: list[Action] = []
        for event in events:
            try:
                actions.extend(self.node.handle(now_ms, event))
            except Exception:  # the affected calls are completed at their deadlines
                log.exception(format_event("event_handler_failed", event_type=type(event).__name__))
        self._executor.execute(actions)
        self.calls.remove_completed()
        self.flush_output()
