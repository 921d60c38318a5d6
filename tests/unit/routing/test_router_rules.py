"""The five rules, on long legal event sequences drawn by hypothesis (derandomized)."""

from __future__ import annotations

import dataclasses
import heapq
import random

import pytest
from hypothesis import given
from hypothesis import settings as given_settings
from hypothesis import strategies as st

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
from cedarthread.model.settings import DeduplicationScope, DiscoveryMode, Idempotency, NotLoadedBehavior
from cedarthread.routing.router import Router
from tests.helpers import CLASSES, LIMITS, RULES, settings, worker

NOT_RUN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.NOT_LOADED)
ENDS = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, *NOT_RUN)
WORKERS = 6


@dataclasses.dataclass
class Tried:
    worker: int
    at: float
    pending: bool = True
    ran: bool = True


class World:
    """Plays a legal world against one router and asserts the rules at every action."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.dice = random.Random(seed)
        self.s = settings(**changes)
        self.router = Router(self.s, seed)
        self.now_ms, self.count = 1000.0, 0
        self.queue: list[tuple[float, int, Event]] = []
        self.open: dict[int, tuple[int, float]] = {}
        self.klass: dict[int, int] = {}
        self.tried: dict[int, list[Tried]] = {}
        self.streaming: dict[int, int] = {}  # request to the attempt that streams
        self.told = dict.fromkeys(range(WORKERS), (EndpointState.READY, 0.0))
        self.orders: list[float] = []
        self.taken: list[float] = []
        self.sent: list[tuple[float, int]] = []
        self.answered = 0
        self.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(self.entry(n) for n in range(WORKERS))))

    def entry(self, n: int) -> Endpoint:
        return worker(n, self.told[n][0], zone=n % 2, cell=n % 3)

    def named(self, state: EndpointState) -> Endpoint:
        n = self.dice.randrange(WORKERS)
        return worker(n, state, zone=n % 2, cell=n % 3)

    def later(self, after: float, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now_ms + after, self.count, event))

    def run(self, requests: int) -> None:
        at = 0.0
        for number in range(requests):
            at += self.dice.expovariate(1 / 40)
            klass = self.dice.randrange(len(CLASSES))
            give_up = 1000.0 + at + CLASSES[klass].deadline_ms * self.dice.choice((0.01, 0.5, 1.0))
            self.later(at, RequestArrived(number, self.dice.randrange(5), klass, give_up, concurrency=1.0))
            if self.dice.random() < 0.1:
                state = self.dice.choice((EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED))
                kind = self.dice.choice((EndpointUpdateKind.DELTA, EndpointUpdateKind.SNAPSHOT))
                self.later(at, EndpointUpdate(kind, number, (self.named(state),)))
        while self.queue:
            due, _, event = heapq.heappop(self.queue)
            self.now_ms = max(self.now_ms, due)
            self.check_late()
            self.deliver(event)
        assert not self.open, "a request was lost"

    def check_late(self) -> None:
        for number, (_, give_up) in self.open.items():
            assert number in self.streaming or self.now_ms <= give_up + self.s.rules.answer_slack_ms

    def deliver(self, event: Event) -> None:
        if isinstance(event, RequestArrived):
            self.taken.append(self.now_ms)
            self.open[event.request_id] = (event.class_index, event.deadline_ms)
            self.klass[event.request_id], self.tried[event.request_id] = event.class_index, []
        elif isinstance(event, AttemptEnded):
            tried = self.tried[event.request_id][event.attempt_index]
            if not tried.pending:
                return
            tried.pending, tried.ran = False, event.outcome not in NOT_RUN
            final = event.request_id not in self.open or event.outcome is Outcome.OK
            if event.request_id in self.streaming:
                final = (
                    event.attempt_index == self.streaming[event.request_id]
                    or event.request_id not in self.open
                )
            if final:
                self.answered += event.request_id in self.open
                self.open.pop(event.request_id, None)
            event = dataclasses.replace(event, is_final=final)
        elif isinstance(event, StreamStarted):
            tried = self.tried[event.request_id][event.attempt_index]
            if not tried.pending or event.request_id not in self.open:
                return
            self.streaming.setdefault(event.request_id, event.attempt_index)
        elif isinstance(event, EndpointUpdate):
            if event.kind is EndpointUpdateKind.SNAPSHOT:
                entry = event.endpoints[0]
                event = dataclasses.replace(
                    event, endpoints=tuple(self.entry(n) for n in range(WORKERS) if n != entry.worker_id)
                )
                self.told[entry.worker_id] = (EndpointState.REMOVED, self.now_ms)
            else:
                self.told[event.endpoints[0].worker_id] = (event.endpoints[0].state, self.now_ms)
        self.feed(event)

    def feed(self, event: Event) -> None:
        for action in self.router.handle(self.now_ms, event):
            self.act(action)

    def act(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.at_ms > self.now_ms
            if self.open or self.s.discovery_mode is DiscoveryMode.PUSH:
                self.later(action.at_ms - self.now_ms, TimerFired(action.token))
        elif isinstance(action, StartAttempt):
            self.send(action)
        elif isinstance(action, (RejectRequest, FailRequest)):
            assert action.request_id in self.open, "answered twice"
            if isinstance(action, RejectRequest):
                self.harmless(action.request_id)
            del self.open[action.request_id]
        elif isinstance(action, CancelAttempt):
            assert self.streaming.get(action.request_id) != action.attempt_index
            tried = self.tried[action.request_id][action.attempt_index]
            self.later(
                1.0,
                AttemptEnded(
                    action.request_id, action.attempt_index, tried.worker, Outcome.CANCELLED, 1.0, False
                ),
            )
        elif isinstance(action, PreloadFunction):
            self.order(action)

    def send(self, action: StartAttempt) -> None:
        assert action.request_id in self.open, "sent after the final answer"
        assert self.told[action.worker_id][0] is EndpointState.READY, "sent to a drained worker"
        tried, klass = self.tried[action.request_id], CLASSES[self.klass[action.request_id]]
        assert action.request_id not in self.streaming and len(tried) < self.s.limits.max_attempts
        assert self.s.limits.allows_hedging or not any(t.pending for t in tried)
        ran = [t for t in tried if t.pending or t.ran]
        if ran and klass.idempotency is not Idempotency.IDEMPOTENT:
            assert (
                klass.idempotency is Idempotency.WITH_KEY
                and self.now_ms <= ran[0].at + klass.deduplication_window_ms
            )
            for earlier in ran:
                assert (
                    klass.deduplication_scope is not DeduplicationScope.ZONE
                    or earlier.worker % 2 == action.worker_id % 2
                )
                assert (
                    klass.deduplication_scope is not DeduplicationScope.CELL
                    or earlier.worker % 3 == action.worker_id % 3
                )
        tried.append(Tried(action.worker_id, self.now_ms))
        self.sent.append((self.now_ms, action.worker_id))
        number, give_up = len(tried) - 1, self.open[action.request_id][1]
        took = self.dice.choice((0.3, 60.0, 150.0, 900.0, 5000.0))
        outcome = Outcome.OK if self.dice.random() < 0.6 else self.dice.choice(ENDS)
        note = self.dice.choice(tuple(StartKind))
        if klass.is_streaming and outcome is Outcome.OK and self.now_ms + took / 2 < give_up:
            self.later(took / 2, StreamStarted(action.request_id, number, action.worker_id, took / 2))
        elif self.now_ms + took > give_up:
            took, outcome = max(0.0, give_up - self.now_ms), Outcome.TIMEOUT
        self.later(
            took, AttemptEnded(action.request_id, number, action.worker_id, outcome, took, False, note, 0)
        )

    def harmless(self, request: int) -> None:
        klass = CLASSES[self.klass[request]]
        if (
            any(t.pending or t.ran for t in self.tried[request])
            and klass.idempotency is not Idempotency.IDEMPOTENT
        ):
            assert (
                klass.idempotency is Idempotency.WITH_KEY
                and klass.deduplication_scope is DeduplicationScope.ALL
            )

    def order(self, action: PreloadFunction) -> None:
        rules = self.s.rules
        assert self.told[action.worker_id][0] is EndpointState.READY, "ordered from a drained worker"
        self.orders.append(self.now_ms)
        if rules.preload_window_ms:
            since = self.now_ms - rules.preload_window_ms
            orders = sum(at > since for at in self.orders)
            assert orders <= rules.preload_allowance + rules.preload_share * sum(
                at > since for at in self.taken
            )
        outcome = self.dice.choice((Outcome.OK, Outcome.OK, Outcome.OVERLOADED, Outcome.TIMEOUT))
        copies = int(outcome is Outcome.OK)
        self.later(300.0, PreloadEnded(action.worker_id, action.function_id, outcome, copies, 300.0))


@given_settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(seed=st.integers(0, 2**32), miss=st.booleans(), second=st.booleans(), cap=st.integers(1, 4))
def test_rules_1_2_3_5_hold_on_legal_sequences(seed: int, miss: bool, second: bool, cap: int) -> None:
    world = World(
        seed,
        when_not_loaded=NotLoadedBehavior.REJECT if miss else NotLoadedBehavior.LOAD,
        limits=dataclasses.replace(LIMITS, allows_hedging=second, max_attempts=cap),
        rules=dataclasses.replace(RULES, preload_window_ms=3000.0, preload_allowance=2.0, preload_share=0.05),
    )
    world.run(120)
    assert world.answered > 0


@given_settings(max_examples=25, derandomize=True, deadline=None, database=None)
@given(seed=st.integers(0, 2**32), gap=st.floats(2.0, 60.0), gateways=st.integers(1, 6))
def test_rule_4_a_cold_worker_gets_no_more_than_its_part(seed: int, gap: float, gateways: int) -> None:
    """Over any window it gets under the multiple of its part of what a warm one served, or one call."""
    dice, now_ms = random.Random(seed), 100000.0
    router = Router(settings(router_count=gateways), seed)
    entries = [worker(n) for n in range(1, 5)]
    router.handle(now_ms, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(entries)))
    pending: list[tuple[float, int, int]] = []
    cold_at, cold, sent, number = now_ms + 8000.0, worker(1, started=now_ms + 8000.0), [], 0
    told = False
    while now_ms < 118000.0:
        now_ms += dice.expovariate(1 / gap)
        for due, request, host in sorted(p for p in pending if p[0] <= now_ms):
            router.handle(due, AttemptEnded(request, 0, host, Outcome.OK, 40.0, True, StartKind.WARM))
        pending = [p for p in pending if p[0] > now_ms]
        if not told and now_ms >= cold_at:
            told = True
            router.handle(now_ms, EndpointUpdate(EndpointUpdateKind.DELTA, 2, (cold,)))
        number += 1
        for action in router.handle(now_ms, RequestArrived(number, dice.randrange(9), 0, now_ms + 3000.0)):
            if isinstance(action, StartAttempt):
                pending.append((now_ms + 40.0, number, action.worker_id))
                if action.worker_id == 1 and told:
                    sent.append(now_ms)
    rules, usual = RULES, 40.0 / gap / 4 / 40.0  # calls a ms that a warm worker takes
    for at in sent:
        age = at - cold_at
        if age < rules.slow_start_ms:
            part = (
                rules.slow_start_min_capacity
                + (1 - rules.slow_start_min_capacity) * age / rules.slow_start_ms
            )
            window = sum(at - rules.collapse_window_ms < other <= at for other in sent)
            assert window <= max(1.0, rules.collapse_multiple * part * usual * rules.collapse_window_ms * 1.3)


@pytest.mark.parametrize("klass", range(len(CLASSES)))
def test_the_same_events_give_the_same_actions(klass: int) -> None:
    def play() -> list[tuple[float, int]]:
        world = World(7 + klass)
        world.run(60)
        return world.sent

    first = play()
    assert first and first == play()


@pytest.mark.parametrize("gateways", [1, 4, 40, 200])
def test_rule_4_holds_for_what_all_gateways_send_together(gateways: int) -> None:
    """Each sees only its part, and one whole request of each would already be too much."""
    dice, now_ms, count = random.Random(gateways), 100000.0, 6
    routers = [Router(settings(router_count=gateways), seed) for seed in range(gateways)]
    listed = tuple(worker(n) for n in range(1, count + 1))
    for router in routers:
        router.handle(now_ms, EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
    pending: list[tuple[float, int, int, int]] = []
    cold_at, told, sent, number, gap = now_ms + 6000.0, False, [], 0, 3.0
    while now_ms < 118000.0:
        now_ms += dice.expovariate(1 / gap)
        while pending and pending[0][0] <= now_ms:
            due, request, who, host = heapq.heappop(pending)
            done = AttemptEnded(request, 0, host, Outcome.OK, 40.0, True, StartKind.WARM)
            routers[who].handle(due, done)
        if not told and now_ms >= cold_at:
            told = True
            for router in routers:
                router.handle(
                    now_ms, EndpointUpdate(EndpointUpdateKind.DELTA, 2, (worker(1, started=cold_at),))
                )
        number, who = number + 1, dice.randrange(gateways)
        for action in routers[who].handle(
            now_ms, RequestArrived(number, dice.randrange(30), 0, now_ms + 3000.0)
        ):
            if isinstance(action, StartAttempt):
                heapq.heappush(pending, (now_ms + 40.0, number, who, action.worker_id))
                if action.worker_id == 1 and told:
                    sent.append(now_ms)
    assert sent, "the safe way does not starve it"
    usual = RULES.collapse_window_ms / gap / count  # calls in a window that a warm worker takes
    for at in sent:
        if (age := at - cold_at) < RULES.slow_start_ms:
            part = (
                RULES.slow_start_min_capacity
                + (1 - RULES.slow_start_min_capacity) * age / RULES.slow_start_ms
            )
            window = sum(at - RULES.collapse_window_ms < other <= at for other in sent)
            assert window <= RULES.collapse_multiple * part * usual


def test_a_fleet_that_is_all_cold_is_not_starved() -> None:
    now_ms = 100000.0
    listed = tuple(worker(n, started=now_ms - 500.0) for n in range(1, 21))
    sent = 0
    for seed in range(50):
        router = Router(settings(router_count=50), seed)
        router.handle(now_ms, EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
        for number in range(20):
            at = now_ms + 100.0 * number
            actions = router.handle(at, RequestArrived(number, number % 5, 0, at + 3000.0))
            sent += sum(isinstance(action, StartAttempt) for action in actions)
    assert sent > 100
