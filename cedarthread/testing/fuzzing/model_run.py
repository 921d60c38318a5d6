"""A run of a small model, which applies events to the production dispatcher and router."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import AttemptResult, Call, CallRejected, CallResult, CallSucceeded
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import PreloadEnded
from cedarthread.model.outcomes import Outcome
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as fuzz_settings
from cedarthread.testing.fuzzing.router_under_test import call_guarantees, invariant_limits
from cedarthread.testing.fuzzing.scripted_transport import ScriptedTransport
from cedarthread.testing.fuzzing.small_models import Event, EventChoice, SmallModel
from cedarthread.testing.fuzzing.state_digest import state_digest
from cedarthread.testing.invariants import InvariantChecker

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop

FUNCTION_ID = 7
LOOP_ITERATIONS = 4  # iterations that run every callback that an event schedules without a delay
INTERNAL_DEADLINE_SHARE = 0.9  # share of a client's timeout within which the dispatcher must answer
WAIT_S = 0.6  # duration of the event WAIT
SHUTDOWN_MS = 700.0  # time from the event SHUTDOWN until every call must be answered
LOAD_MS = 50.0  # reported duration of a preload

ATTEMPT_OUTCOMES = {
    Event.OVERLOADED: Outcome.OVERLOADED,
    Event.FAILED: Outcome.ERROR,
    Event.RESET: Outcome.RESET,
    Event.NOT_LOADED: Outcome.NOT_LOADED,
}


class ModelRun:
    """A run of a model, in the state after the events that were applied to it.

    Args:
        model: The model.
        loop: The virtual loop that the run owns.
    """

    def __init__(self, model: SmallModel, loop: VirtualLoop) -> None:
        self.model = model
        self.loop = loop
        self.raw_settings = fuzz_settings.settings(preloads_on_miss=model.preloads_on_miss)
        self.checker = InvariantChecker(invariant_limits(self.raw_settings, 0.0))
        self.dispatcher = Dispatcher(settings_from_object(self.raw_settings), 3, clock=loop.unix_ms)
        self.transport = ScriptedTransport(self.dispatcher, self.checker, loop)
        self.dispatcher.connect_workers(self.transport)
        self.remaining_events = list(model.events)
        self.calls: list[Call] = []
        self.list_version = 0
        self.worker_states = dict.fromkeys(range(1, model.workers + 1), EndpointState.READY)
        self._publish_workers(*self.worker_states)

    def _publish_workers(self, *workers: int) -> None:
        self.list_version += 1
        endpoints = tuple(
            Endpoint(number, number % 2, 0, number, self.worker_states[number], None, None)
            for number in workers
        )
        for number in workers:
            state = self.worker_states[number].value
            self.checker.on_worker_state(self.loop.unix_ms(), number, state, number % 2, number)
        kind = EndpointUpdateKind.CACHED if self.list_version == 1 else EndpointUpdateKind.DELTA
        self.dispatcher.endpoints_changed(EndpointUpdate(kind, self.list_version, endpoints))

    def enabled_choices(self) -> list[EventChoice]:
        """Return each event that is possible in this state, with each possible subject."""
        choices: list[EventChoice] = []
        if len(self.calls) < len(self.model.calls):
            choices.append(EventChoice(Event.CALL, len(self.calls)))
        for event in dict.fromkeys(self.remaining_events):
            choices += [EventChoice(event, subject) for subject in range(self._subject_count(event))]
        return choices

    def _subject_count(self, event: Event) -> int:
        match event:
            case Event.SERVED | Event.OVERLOADED | Event.FAILED | Event.RESET | Event.NOT_LOADED:
                return len(self.transport.in_flight)
            case Event.LATE_ANSWER:
                return len(self.transport.cancelled)
            case Event.PRELOADED | Event.PRELOAD_REJECTED:
                return min(1, len(self.transport.preloads))
            case Event.ABANDON:
                return sum(not call.is_complete for call in self.calls)
            case Event.CRASH | Event.DRAIN:
                return len(self.worker_states)
        return 1

    async def apply(self, choice: EventChoice) -> None:
        """Apply an event, and run every callback that it schedules without a delay."""
        if choice.event is Event.CALL:
            self._submit_call(choice.subject)
        else:
            self.remaining_events.remove(choice.event)
            await self._apply_event(*choice)
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)

    def _submit_call(self, number: int) -> None:
        class_index = self.model.calls[number]
        call_id = f"c{number}"
        now_ms = self.loop.unix_ms()
        timeout_ms = self.model.call_timeout_ms
        guarantees = call_guarantees(self.raw_settings, class_index)
        self.checker.on_call_submitted(now_ms, call_id, guarantees, now_ms + timeout_ms)

        def on_result(result: CallResult) -> None:
            body = result.body if isinstance(result, CallSucceeded) else b""
            self.checker.on_answer(self.loop.unix_ms(), call_id, _result_name(result), body)

        key = call_id if self.raw_settings["classes"][class_index]["effect"] == "dedup" else None
        deadline_ms = now_ms + INTERNAL_DEADLINE_SHARE * timeout_ms
        call = Call(call_id, class_index, FUNCTION_ID, deadline_ms, b"", on_result, key)
        self.calls.append(call)
        self.dispatcher.submit(call)

    async def _apply_event(self, event: Event, subject: int) -> None:
        transport = self.transport
        dispatcher = self.dispatcher
        match event:
            case Event.SERVED:
                attempt = list(transport.in_flight)[subject]
                body = f"{attempt.call.call_id}@{attempt.worker_id}".encode()
                self.checker.on_body_produced(attempt.call.call_id, body)
                transport.end(attempt, Outcome.OK, body)
            case Event.OVERLOADED | Event.FAILED | Event.RESET | Event.NOT_LOADED:
                transport.end(list(transport.in_flight)[subject], ATTEMPT_OUTCOMES[event])
            case Event.LATE_ANSWER:
                result = AttemptResult(Outcome.OK, b"late")
                dispatcher.attempt_ended(transport.cancelled[subject], result)
            case Event.PRELOADED | Event.PRELOAD_REJECTED:
                self._end_preload(is_loaded=event is Event.PRELOADED)
            case Event.CRASH:
                self._crash(list(self.worker_states)[subject])
            case Event.DRAIN | Event.READY:
                worker = list(self.worker_states)[subject]
                state = EndpointState.DRAINING if event is Event.DRAIN else EndpointState.READY
                self.worker_states[worker] = state
                self._publish_workers(worker)
            case Event.ABANDON:
                call = [call for call in self.calls if not call.is_complete][subject]
                self.checker.on_call_abandoned(self.loop.unix_ms(), call.call_id)
                dispatcher.abandon_call(call)
            case Event.SHUTDOWN:
                dispatcher.complete_all_by(self.loop.unix_ms() + SHUTDOWN_MS)
            case Event.WAIT:
                await asyncio.sleep(WAIT_S)

    def _end_preload(self, *, is_loaded: bool) -> None:
        worker, function = self.transport.preloads.pop(0)
        outcome = Outcome.OK if is_loaded else Outcome.OVERLOADED
        self.dispatcher.preload_ended(PreloadEnded(worker, function, outcome, int(is_loaded), LOAD_MS))

    def _crash(self, worker: int) -> None:
        self.transport.crashed_workers.add(worker)
        for attempt in list(self.transport.in_flight):
            if attempt.worker_id == worker:
                self.transport.end(attempt, Outcome.RESET)

    async def run_to_end(self) -> None:
        """Let every deadline pass, end attempts and preloads in flight, and check that no resource leaks."""
        await asyncio.sleep(self.model.call_timeout_ms / 1000.0 + 0.2)
        self.checker.check_all_answered(self.loop.unix_ms())
        for attempt in list(self.transport.in_flight):
            self.transport.end(attempt, Outcome.RESET)
        for worker, function in self.transport.preloads:
            self.dispatcher.preload_ended(PreloadEnded(worker, function, Outcome.TIMEOUT, 0, 1.0))
        await asyncio.sleep(1.0)
        self._check_nothing_remains()

    def _check_nothing_remains(self) -> None:
        dispatcher = self.dispatcher
        router = self.dispatcher.router
        now_ms = self.loop.unix_ms()
        calls = dispatcher.calls
        open_calls = len(dispatcher.pending_calls) + len(calls.pending_ids) + len(calls.completed)
        requests = len(router.pending_requests) + len(router.queued_requests) + len(router.orphaned_attempts)
        worker_loads = sum(abs(worker.in_flight) for worker in router.workers.values())
        loads = abs(router.state.functions.preloads_in_flight) + worker_loads
        self.checker.check_remaining(now_ms, "pending calls", open_calls)
        self.checker.check_remaining(now_ms, "bytes of call bodies", abs(calls.pending_body_bytes))
        self.checker.check_remaining(now_ms, "requests and orphaned attempts in the router", requests)
        self.checker.check_remaining(now_ms, "preloads and worker load in the router", loads)

    def digest(self) -> bytes:
        """Return a digest of the dispatcher, the router, the requests in flight and the remaining events."""
        transport = self.transport
        dispatcher = self.dispatcher
        return state_digest(
            dispatcher.router.state,
            dispatcher.pending_calls,
            sorted(event.value for event in self.remaining_events),
            sorted(transport.crashed_workers),
            transport.preloads,
            dispatcher.shutdown_deadline_ms,
            self.loop.unix_ms(),
            [call.is_complete for call in self.calls],
            [(attempt.call.call_id, attempt.index, attempt.worker_id) for attempt in transport.in_flight],
            [(attempt.call.call_id, attempt.index) for attempt in transport.cancelled],
        )


def _result_name(result: CallResult) -> str:
    if isinstance(result, CallSucceeded):
        return "served"
    return "refused" if isinstance(result, CallRejected) else "failed"
