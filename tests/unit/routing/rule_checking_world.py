"""A simulation of random clients and workers around one router that checks rules 1, 2, 3 and 5."""

from __future__ import annotations

import dataclasses
import heapq
import random

from cedarthread.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    PreloadFunction,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import (
    AttemptEnded,
    Event,
    PreloadEnded,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import DeduplicationScope, DiscoveryMode, Idempotency
from cedarthread.routing.router import Router
from tests.helpers import CLASSES, settings, worker

NOT_EXECUTED = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.NOT_LOADED)
FAILURES = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, *NOT_EXECUTED)
WORKER_COUNT = 6
START_MS = 1000.0


@dataclasses.dataclass
class StartedAttempt:
    """The state of one attempt in the simulation."""

    worker_id: int
    started_at_ms: float
    is_in_flight: bool = True
    was_executed: bool = True


@dataclasses.dataclass
class OpenRequest:
    """A request without a final answer."""

    class_index: int
    deadline_ms: float


class RuleCheckingWorld:
    """A generator of random valid events for one router that asserts the rules for each action.

    Args:
        seed: Seed of the simulation and of the router.
        changes: Settings that differ from those of ``tests.helpers.settings``.
    """

    def __init__(self, seed: int, **changes: object) -> None:
        self.rng = random.Random(seed)
        self.settings = settings(**changes)
        self.router = Router(self.settings, seed)
        self.now_ms = START_MS
        self.event_count = 0
        self.events: list[tuple[float, int, Event]] = []
        self.open: dict[int, OpenRequest] = {}
        self.class_index_by_request: dict[int, int] = {}
        self.attempts: dict[int, list[StartedAttempt]] = {}
        self.streaming: dict[int, int] = {}  # index of the streaming attempt, by request id
        self.worker_states = dict.fromkeys(range(WORKER_COUNT), EndpointState.READY)
        self.preload_times: list[float] = []
        self.request_times: list[float] = []
        self.starts: list[tuple[float, int]] = []  # time and worker id
        self.served_count = 0
        self.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, self.endpoints()))

    def endpoint(self, worker_id: int, state: EndpointState | None = None) -> Endpoint:
        """Return a worker's entry of the endpoint list, with its current state by default."""
        shown = self.worker_states[worker_id] if state is None else state
        return worker(worker_id, shown, zone=worker_id % 2, cell=worker_id % 3)

    def endpoints(self, removed_id: int | None = None) -> tuple[Endpoint, ...]:
        """Return the endpoint list, without one worker."""
        return tuple(self.endpoint(worker_id) for worker_id in range(WORKER_COUNT) if worker_id != removed_id)

    def schedule(self, after_ms: float, event: Event) -> None:
        """Schedule the delivery of an event after this delay."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now_ms + after_ms, self.event_count, event))

    def run(self, request_count: int) -> None:
        """Schedule random requests and endpoint updates, and run until no event is left."""
        after_ms = 0.0
        for request_id in range(request_count):
            after_ms += self.rng.expovariate(1 / 40)
            class_index = self.rng.randrange(len(CLASSES))
            time_limit_ms = CLASSES[class_index].deadline_ms * self.rng.choice((0.01, 0.5, 1.0))
            deadline_ms = START_MS + after_ms + time_limit_ms
            function_id = self.rng.randrange(5)
            request = RequestArrived(request_id, function_id, class_index, deadline_ms, concurrency=1.0)
            self.schedule(after_ms, request)
            if self.rng.random() < 0.1:
                state = self.rng.choice((EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED))
                kind = self.rng.choice((EndpointUpdateKind.DELTA, EndpointUpdateKind.SNAPSHOT))
                changed = self.endpoint(self.rng.randrange(WORKER_COUNT), state)
                self.schedule(after_ms, EndpointUpdate(kind, request_id, (changed,)))
        while self.events:
            due_ms, _, event = heapq.heappop(self.events)
            self.now_ms = max(self.now_ms, due_ms)
            self.check_rule_1_deadlines()
            self.deliver(event)
        assert not self.open, "a request got no final answer"

    def check_rule_1_deadlines(self) -> None:
        """Assert that no request without a stream is open after its deadline."""
        slack_ms = self.settings.rules.answer_slack_ms
        for request_id, request in self.open.items():
            assert request_id in self.streaming or self.now_ms <= request.deadline_ms + slack_ms

    # Events.

    def deliver(self, event: Event) -> None:
        """Apply an event to the simulation and pass it to the router, unless the event is obsolete."""
        if isinstance(event, RequestArrived):
            self.request_times.append(self.now_ms)
            self.open[event.request_id] = OpenRequest(event.class_index, event.deadline_ms)
            self.class_index_by_request[event.request_id] = event.class_index
            self.attempts[event.request_id] = []
            self.feed(event)
        elif isinstance(event, AttemptEnded):
            attempt = self.attempts[event.request_id][event.attempt_index]
            if attempt.is_in_flight:
                self.feed(self.end_attempt(attempt, event))
        elif isinstance(event, StreamStarted):
            attempt = self.attempts[event.request_id][event.attempt_index]
            if attempt.is_in_flight and event.request_id in self.open:
                self.streaming.setdefault(event.request_id, event.attempt_index)
                self.feed(event)
        elif isinstance(event, EndpointUpdate):
            self.feed(self.change_endpoint(event))
        else:
            self.feed(event)

    def end_attempt(self, attempt: StartedAttempt, event: AttemptEnded) -> AttemptEnded:
        """Record the end of an attempt and return the event, marked final if the client has its response."""
        attempt.is_in_flight = False
        attempt.was_executed = event.outcome not in NOT_EXECUTED
        is_closed = event.request_id not in self.open
        is_final = is_closed or event.outcome is Outcome.OK
        if event.request_id in self.streaming:
            is_final = is_closed or event.attempt_index == self.streaming[event.request_id]
        if is_final:
            self.served_count += not is_closed
            self.open.pop(event.request_id, None)
        return dataclasses.replace(event, is_final=is_final)

    def change_endpoint(self, update: EndpointUpdate) -> EndpointUpdate:
        """Apply an update of one worker; a snapshot lists all workers except this one."""
        (changed,) = update.endpoints
        if update.kind is EndpointUpdateKind.SNAPSHOT:
            update = dataclasses.replace(update, endpoints=self.endpoints(changed.worker_id))
            self.worker_states[changed.worker_id] = EndpointState.REMOVED
        else:
            self.worker_states[changed.worker_id] = changed.state
        return update

    def feed(self, event: Event) -> None:
        """Pass an event to the router and execute the actions."""
        for action in self.router.handle(self.now_ms, event):
            self.carry_out(action)

    # Actions.

    def carry_out(self, action: Action) -> None:
        """Check the rules for one action and schedule the events that follow from the action."""
        if isinstance(action, SetTimer):
            assert action.at_ms > self.now_ms
            if self.open or self.settings.discovery_mode is DiscoveryMode.PUSH:
                self.schedule(action.at_ms - self.now_ms, TimerFired(action.token))
        elif isinstance(action, StartAttempt):
            self.check_attempt(action)
            self.start_attempt(action)
        elif isinstance(action, (RejectRequest, FailRequest)):
            assert action.request_id in self.open, "a second final answer"
            if isinstance(action, RejectRequest):
                self.check_rejection(action.request_id)
            del self.open[action.request_id]
        elif isinstance(action, CancelAttempt):
            self.cancel_attempt(action)
        elif isinstance(action, PreloadFunction):
            self.preload(action)

    def check_attempt(self, action: StartAttempt) -> None:
        """Assert rules 1 to 3 for a new attempt."""
        request_class = CLASSES[self.class_index_by_request[action.request_id]]
        attempts = self.attempts[action.request_id]
        limits = self.settings.limits
        assert action.request_id in self.open, "an attempt after the final answer"
        assert self.worker_states[action.worker_id] is EndpointState.READY, "an attempt at a drained worker"
        assert action.request_id not in self.streaming
        assert len(attempts) < limits.max_attempts
        assert limits.allows_hedging or not any(attempt.is_in_flight for attempt in attempts)
        executed = [attempt for attempt in attempts if attempt.is_in_flight or attempt.was_executed]
        if executed and request_class.idempotency is not Idempotency.IDEMPOTENT:
            window_end_ms = executed[0].started_at_ms + request_class.deduplication_window_ms
            assert request_class.idempotency is Idempotency.WITH_KEY
            assert self.now_ms <= window_end_ms
            for earlier in executed:
                if request_class.deduplication_scope is DeduplicationScope.ZONE:
                    assert earlier.worker_id % 2 == action.worker_id % 2
                if request_class.deduplication_scope is DeduplicationScope.CELL:
                    assert earlier.worker_id % 3 == action.worker_id % 3

    def start_attempt(self, action: StartAttempt) -> None:
        """Record a new attempt and schedule its stream and its end, at random."""
        request_class = CLASSES[self.class_index_by_request[action.request_id]]
        attempts = self.attempts[action.request_id]
        attempts.append(StartedAttempt(action.worker_id, self.now_ms))
        self.starts.append((self.now_ms, action.worker_id))
        attempt_index = len(attempts) - 1
        deadline_ms = self.open[action.request_id].deadline_ms
        latency_ms = self.rng.choice((0.3, 60.0, 150.0, 900.0, 5000.0))
        outcome = Outcome.OK if self.rng.random() < 0.6 else self.rng.choice(FAILURES)
        start_kind = self.rng.choice(tuple(StartKind))
        stream_after_ms = latency_ms / 2
        is_served = outcome is Outcome.OK
        if request_class.is_streaming and is_served and self.now_ms + stream_after_ms < deadline_ms:
            stream = StreamStarted(action.request_id, attempt_index, action.worker_id, stream_after_ms)
            self.schedule(stream_after_ms, stream)
        elif self.now_ms + latency_ms > deadline_ms:
            latency_ms = max(0.0, deadline_ms - self.now_ms)
            outcome = Outcome.TIMEOUT
        end = AttemptEnded(
            action.request_id, attempt_index, action.worker_id, outcome, latency_ms, False, start_kind, 0
        )
        self.schedule(latency_ms, end)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Schedule the end of a cancelled attempt."""
        assert self.streaming.get(action.request_id) != action.attempt_index
        attempt = self.attempts[action.request_id][action.attempt_index]
        end = AttemptEnded(
            action.request_id, action.attempt_index, attempt.worker_id, Outcome.CANCELLED, 1.0, False
        )
        self.schedule(1.0, end)

    def check_rejection(self, request_id: int) -> None:
        """Assert that a rejected request was not executed or may be repeated anywhere."""
        request_class = CLASSES[self.class_index_by_request[request_id]]
        may_have_executed = any(
            attempt.is_in_flight or attempt.was_executed for attempt in self.attempts[request_id]
        )
        if may_have_executed and request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert request_class.idempotency is Idempotency.WITH_KEY
            assert request_class.deduplication_scope is DeduplicationScope.ALL

    def preload(self, action: PreloadFunction) -> None:
        """Assert rules 3 and 5 for a preload and schedule its end, at random."""
        rules = self.settings.rules
        assert self.worker_states[action.worker_id] is EndpointState.READY, "a preload at a drained worker"
        self.preload_times.append(self.now_ms)
        if rules.preload_window_ms:
            window_start_ms = self.now_ms - rules.preload_window_ms
            preload_count = sum(at_ms > window_start_ms for at_ms in self.preload_times)
            request_count = sum(at_ms > window_start_ms for at_ms in self.request_times)
            assert preload_count <= rules.preload_allowance + rules.preload_share * request_count
        outcome = self.rng.choice((Outcome.OK, Outcome.OK, Outcome.OVERLOADED, Outcome.TIMEOUT))
        instances = int(outcome is Outcome.OK)
        self.schedule(300.0, PreloadEnded(action.worker_id, action.function_id, outcome, instances, 300.0))
